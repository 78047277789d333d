//! The `fleet` section of the configuration: as it is written, and as it is once checked. Without
//! it the fleet layer is off.

use cometspool_membership::{MAX_NAME_BYTES, MAX_ZONE_BYTES};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Descriptors that the fleet layer holds besides its connections: both listeners, and one dial in
/// passing.
const OTHER_DESCRIPTORS: usize = 3;

const CONNECTION_RANGE: RangeInclusive<u64> = 1..=4096;
const BODY_BYTES_RANGE: RangeInclusive<u64> = 4096..=16 << 20;
const QUEUE_BYTES_RANGE: RangeInclusive<u64> = 4096..=64 << 20;
const TIMEOUT_MS_RANGE: RangeInclusive<u64> = 10..=60_000;
const IDLE_MS_RANGE: RangeInclusive<u64> = 100..=3_600_000;
const REPORT_MS_RANGE: RangeInclusive<u64> = 50..=3_600_000;

/// Why a `fleet` section cannot be used; each is one plain line that names the key.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SectionError {
    /// It does not have the keys and types that it should.
    #[error("fleet: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A value is out of bounds.
    #[error("fleet.{key}: {fault}")]
    Value {
        /// The key, below `fleet`.
        key: String,
        /// What is wrong with its value.
        fault: String,
    },
    /// It leaves too few descriptors for clients and backends.
    #[error(
        "fleet.accepted: {max_inbound} and fleet.links: {max_outbound} leave too little of {sockets} sockets"
    )]
    Descriptors {
        /// Connections that are accepted at most.
        max_inbound: usize,
        /// Connections that are dialed at most.
        max_outbound: usize,
        /// Descriptors of the process.
        sockets: usize,
    },
}

impl SectionError {
    fn value(key: &str, fault: String) -> SectionError {
        SectionError::Value {
            key: key.to_owned(),
            fault,
        }
    }
}

/// Another gateway, as it is written. Operators read the type's name where the parser finds
/// something else, so it stays.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Peer {
    name: String,
    #[serde(rename = "dial")]
    address: String,
}

/// What is paced by the number of gateways that seem present.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Pace {
    /// Calls for the endpoint list that were rejected.
    pub discovery: bool,
    /// Dials to backends; never for fewer gateways than are configured.
    pub dials: bool,
    /// Trial requests to ejected backends; never for fewer gateways than are configured either.
    pub trials: bool,
}

/// The section as it is written. Operators read the type's name where the parser finds something
/// else, so it stays.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    #[serde(rename = "name")]
    fleet_name: String,
    #[serde(default, rename = "generation")]
    epoch: u32,
    listen: String,
    advertise: Option<String>,
    peers: Vec<Peer>,
    #[serde(default)]
    zone: String,
    #[serde(default = "default_membership", rename = "membership")]
    membership_enabled: bool,
    #[serde(default)]
    pace: Pace,
    #[serde(default = "default_max_outbound", rename = "links")]
    max_outbound: usize,
    #[serde(default = "default_max_inbound", rename = "accepted")]
    max_inbound: usize,
    #[serde(default = "default_max_body_bytes", rename = "frame_bytes")]
    max_body_bytes: usize,
    #[serde(default = "default_max_queue_bytes", rename = "queue_bytes")]
    max_queue_bytes: usize,
    #[serde(default = "default_handshake_timeout_ms", rename = "hello_ms")]
    handshake_timeout_ms: u64,
    #[serde(default = "default_heartbeat_interval_ms", rename = "beat_ms")]
    heartbeat_interval_ms: u64,
    #[serde(default = "default_idle_timeout_ms", rename = "keep_ms")]
    idle_timeout_ms: u64,
    #[serde(default = "default_report_interval_ms", rename = "tell_ms")]
    report_interval_ms: u64,
}

fn default_membership() -> bool {
    true
}

fn default_max_outbound() -> usize {
    12
}

fn default_max_inbound() -> usize {
    64
}

fn default_max_body_bytes() -> usize {
    256 * 1024
}

fn default_max_queue_bytes() -> usize {
    1024 * 1024
}

fn default_handshake_timeout_ms() -> u64 {
    1000
}

fn default_heartbeat_interval_ms() -> u64 {
    1000
}

fn default_idle_timeout_ms() -> u64 {
    60_000
}

fn default_report_interval_ms() -> u64 {
    10_000
}

/// The checked section: a gateway's fleet, and the limits of its transport.
#[derive(Clone, Debug)]
pub(crate) struct FleetSection {
    /// The name of this gateway among the others.
    pub local_name: String,
    /// The fleet's name: frames of another fleet are rejected.
    pub fleet_name: String,
    /// Distinguishes fleets of the same name: frames of another epoch are rejected.
    pub epoch: u32,
    /// Where this gateway listens for others, on TCP and UDP.
    pub listen: SocketAddr,
    /// The address that others are given for this gateway.
    pub advertise: SocketAddr,
    /// The configured addresses of others, by name.
    pub peers: BTreeMap<String, SocketAddr>,
    /// The zone of this gateway, empty if it has none.
    pub zone: String,
    /// Whether membership runs.
    pub membership_enabled: bool,
    /// What is paced by membership.
    pub pace: Pace,
    /// Connections that are dialed and kept at most.
    pub max_outbound: usize,
    /// Connections that are accepted at most.
    pub max_inbound: usize,
    /// Longest body of a frame, bytes.
    pub max_body_bytes: usize,
    /// Bytes that wait for one peer in one lane at most.
    pub max_queue_bytes: usize,
    /// For a dial and its handshake.
    pub handshake_timeout: Duration,
    /// Between two heartbeats on a connection without other frames; after four without a complete
    /// frame it ends.
    pub heartbeat_interval: Duration,
    /// How long a dialed connection without traffic is kept.
    pub idle_timeout: Duration,
    /// Between two status lines in the log.
    pub report_interval: Duration,
}

impl FleetSection {
    /// Reads and checks the section of the gateway called `local_name`.
    pub(crate) fn parse(value: &Value, local_name: &str) -> Result<FleetSection, SectionError> {
        let raw: Raw = serde_json::from_value(value.clone())?;
        raw.check(local_name)
    }

    /// Descriptors that the fleet layer holds at most: its connections, both listeners, and one
    /// dial in passing.
    pub(crate) fn max_descriptors(&self) -> usize {
        self.max_outbound + self.max_inbound + OTHER_DESCRIPTORS
    }

    /// Checks that of `sockets` descriptors at least `reserved` are left for clients and backends.
    pub(crate) fn check_descriptors(
        &self,
        sockets: usize,
        reserved: usize,
    ) -> Result<(), SectionError> {
        if sockets < self.max_descriptors() + reserved {
            return Err(SectionError::Descriptors {
                max_inbound: self.max_inbound,
                max_outbound: self.max_outbound,
                sockets,
            });
        }
        Ok(())
    }
}

impl Raw {
    fn check(self, local_name: &str) -> Result<FleetSection, SectionError> {
        self.check_names(local_name)?;
        let listen = parse_address("listen", &self.listen)?;
        let advertise = match &self.advertise {
            Some(text) => parse_address("advertise", text)?,
            None => listen,
        };
        let peers = check_peers(self.peers, local_name)?;
        Ok(FleetSection {
            local_name: local_name.to_owned(),
            fleet_name: self.fleet_name,
            epoch: self.epoch,
            listen,
            advertise,
            peers,
            zone: self.zone,
            membership_enabled: self.membership_enabled,
            pace: self.pace,
            max_outbound: check_count("links", self.max_outbound, CONNECTION_RANGE)?,
            max_inbound: check_count("accepted", self.max_inbound, CONNECTION_RANGE)?,
            max_body_bytes: check_count("frame_bytes", self.max_body_bytes, BODY_BYTES_RANGE)?,
            max_queue_bytes: check_count("queue_bytes", self.max_queue_bytes, QUEUE_BYTES_RANGE)?,
            handshake_timeout: check_time("hello_ms", self.handshake_timeout_ms, TIMEOUT_MS_RANGE)?,
            heartbeat_interval: check_time(
                "beat_ms",
                self.heartbeat_interval_ms,
                TIMEOUT_MS_RANGE,
            )?,
            idle_timeout: check_time("keep_ms", self.idle_timeout_ms, IDLE_MS_RANGE)?,
            report_interval: check_time("tell_ms", self.report_interval_ms, REPORT_MS_RANGE)?,
        })
    }

    fn check_names(&self, local_name: &str) -> Result<(), SectionError> {
        check_length("name", &self.fleet_name, MAX_NAME_BYTES)?;
        check_length("zone", &self.zone, MAX_ZONE_BYTES)?;
        let local_length = local_name.len();
        if self.fleet_name.is_empty() || !(1..=MAX_NAME_BYTES).contains(&local_length) {
            let fault =
                format!("the fleet and its front doors need names of 1 to {MAX_NAME_BYTES} bytes");
            return Err(SectionError::value("name", fault));
        }
        Ok(())
    }
}

/// The addresses of the other gateways by name. One list may serve all of them, so the entry of
/// this one is skipped; a repeated entry adds nothing.
fn check_peers(
    peers: Vec<Peer>,
    local_name: &str,
) -> Result<BTreeMap<String, SocketAddr>, SectionError> {
    let mut addresses = BTreeMap::new();
    for (index, peer) in peers.into_iter().enumerate() {
        let name_key = format!("peers[{index}].name");
        if peer.name.is_empty() {
            return Err(SectionError::value(&name_key, "it is empty".to_owned()));
        }
        check_length(&name_key, &peer.name, MAX_NAME_BYTES)?;
        let address = parse_address(&format!("peers[{index}].dial"), &peer.address)?;
        if peer.name == local_name {
            continue;
        }
        let previous = addresses.insert(peer.name.clone(), address);
        if previous.is_some_and(|previous| previous != address) {
            let fault = format!("{:?} stands here with two addresses", peer.name);
            return Err(SectionError::value(&name_key, fault));
        }
    }
    Ok(addresses)
}

fn check_length(key: &str, text: &str, max: usize) -> Result<(), SectionError> {
    let length = text.len();
    if length > max {
        let fault = format!("{length} bytes where {max} are the most");
        return Err(SectionError::value(key, fault));
    }
    Ok(())
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr, SectionError> {
    let address = text
        .parse::<SocketAddr>()
        .ok()
        .filter(|address| address.port() != 0);
    address
        .ok_or_else(|| SectionError::value(key, format!("{text:?} is not an address with a port")))
}

fn check_count(key: &str, value: usize, range: RangeInclusive<u64>) -> Result<usize, SectionError> {
    check_range(key, value as u64, range)?;
    Ok(value)
}

fn check_time(
    key: &str,
    millis: u64,
    range: RangeInclusive<u64>,
) -> Result<Duration, SectionError> {
    check_range(key, millis, range)?;
    Ok(Duration::from_millis(millis))
}

fn check_range(key: &str, value: u64, range: RangeInclusive<u64>) -> Result<(), SectionError> {
    if range.contains(&value) {
        return Ok(());
    }
    let fault = format!(
        "{value} is not between {} and {}",
        range.start(),
        range.end()
    );
    Err(SectionError::value(key, fault))
}

#[cfg(test)]
mod tests;
