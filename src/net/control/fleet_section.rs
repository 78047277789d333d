//! The `fleet` section of the configuration, in its JSON form and in its validated form. Without this section the fleet
//! layer is disabled.

use cometspool_membership::{MAX_NAME_BYTES, MAX_ZONE_BYTES};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Number of file descriptors that the fleet layer uses besides its established connections: the TCP listener, the UDP
/// socket, and one connection that is being established.
const BASE_DESCRIPTORS: usize = 3;

/// Accepted values of `links` and `accepted`, in connections.
const CONNECTION_RANGE: RangeInclusive<u64> = 1..=4096;
/// Accepted values of `frame_bytes`, in bytes.
const BODY_BYTES_RANGE: RangeInclusive<u64> = 4096..=16 << 20;
/// Accepted values of `queue_bytes`, in bytes.
const QUEUE_BYTES_RANGE: RangeInclusive<u64> = 4096..=64 << 20;
/// Accepted values of `hello_ms` and `beat_ms`, in milliseconds.
const TIMEOUT_MS_RANGE: RangeInclusive<u64> = 10..=60_000;
/// Accepted values of `keep_ms`, in milliseconds.
const IDLE_MS_RANGE: RangeInclusive<u64> = 100..=3_600_000;
/// Accepted values of `tell_ms`, in milliseconds.
const REPORT_MS_RANGE: RangeInclusive<u64> = 50..=3_600_000;

/// Reasons why a `fleet` section is invalid. Each message is one line that names the key.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SectionError {
    /// A key is missing, unknown or of the wrong type.
    #[error("fleet: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A value is invalid.
    #[error("fleet.{key}: {reason}")]
    Value {
        /// The key, relative to `fleet`.
        key: String,
        /// What was expected and what was found.
        reason: String,
    },
    /// The fleet layer would leave too few file descriptors for clients and backends.
    #[error(
        "fleet.accepted: {max_inbound} and fleet.links: {max_outbound} require limits.sockets of at least {required}, got {sockets}"
    )]
    Descriptors {
        /// The configured maximum of accepted connections.
        max_inbound: usize,
        /// The configured maximum of dialed connections.
        max_outbound: usize,
        /// File descriptors that the fleet layer, clients and backends need together.
        required: usize,
        /// The limit on file descriptors of the process.
        sockets: usize,
    },
}

impl SectionError {
    fn value(key: &str, reason: String) -> SectionError {
        SectionError::Value {
            key: key.to_owned(),
            reason,
        }
    }
}

/// Another gateway, in the JSON form. The name of this type appears in the parser's error messages to operators, so it
/// must not change.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Peer {
    name: String,
    #[serde(rename = "dial")]
    address: String,
}

/// Which rates are scaled by the number of gateways that membership reports as present.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Pace {
    /// Retries of calls to discovery that were rejected.
    pub discovery: bool,
    /// Dials to backends. They are never scaled for fewer gateways than are configured.
    pub dials: bool,
    /// Trial requests to ejected backends. They are never scaled for fewer gateways than are configured either.
    pub trials: bool,
}

/// The section in its JSON form. The name of this type appears in the parser's error messages to operators, so it must
/// not change.
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

/// The validated section: the fleet of a gateway, and the limits of its transport.
#[derive(Clone, Debug)]
pub(crate) struct FleetSection {
    /// The name of this gateway, which is unique in the fleet.
    pub local_name: String,
    /// The name of the fleet. Frames of another fleet are rejected.
    pub fleet_name: String,
    /// Distinguishes fleets with the same name. Frames of another epoch are rejected.
    pub epoch: u32,
    /// The address on which this gateway listens for other gateways, on TCP and UDP.
    pub listen: SocketAddr,
    /// The address of this gateway that is announced to the other gateways.
    pub advertise: SocketAddr,
    /// The configured addresses of the other gateways, by name.
    pub peers: BTreeMap<String, SocketAddr>,
    /// The zone of this gateway; empty if it has none.
    pub zone: String,
    /// Whether the membership protocol runs.
    pub membership_enabled: bool,
    /// Which rates are scaled by the fleet size that membership reports.
    pub pace: Pace,
    /// Maximum number of dialed connections.
    pub max_outbound: usize,
    /// Maximum number of accepted connections.
    pub max_inbound: usize,
    /// Maximum length of a frame body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum number of bytes queued for one peer in one lane.
    pub max_queue_bytes: usize,
    /// Timeout for a dial and its handshake together.
    pub handshake_timeout: Duration,
    /// Interval between heartbeats on a connection without other frames. A connection that receives no complete frame
    /// for four intervals is closed.
    pub heartbeat_interval: Duration,
    /// How long a dialed connection is kept without traffic.
    pub idle_timeout: Duration,
    /// Interval between status lines in the log.
    pub report_interval: Duration,
}

impl FleetSection {
    /// Parses and validates the section for the gateway named `local_name`.
    pub(crate) fn parse(value: &Value, local_name: &str) -> Result<FleetSection, SectionError> {
        let raw: Raw = serde_json::from_value(value.clone())?;
        raw.check(local_name)
    }

    /// Maximum number of file descriptors that the fleet layer uses: its established connections, the TCP listener, the
    /// UDP socket, and one connection that is being established.
    pub(crate) fn max_descriptors(&self) -> usize {
        self.max_outbound + self.max_inbound + BASE_DESCRIPTORS
    }

    /// Checks that the fleet layer leaves at least `reserved` of the `sockets` file descriptors for clients and
    /// backends.
    pub(crate) fn check_descriptors(
        &self,
        sockets: usize,
        reserved: usize,
    ) -> Result<(), SectionError> {
        if sockets < self.max_descriptors() + reserved {
            return Err(SectionError::Descriptors {
                max_inbound: self.max_inbound,
                max_outbound: self.max_outbound,
                required: self.max_descriptors() + reserved,
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
            let reason = format!(
                "expected names of 1 to {MAX_NAME_BYTES} bytes for the fleet and the gateway, got {} and {local_length} bytes",
                self.fleet_name.len()
            );
            return Err(SectionError::value("name", reason));
        }
        Ok(())
    }
}

/// The addresses of the other gateways by name. All gateways may share one list, so the entry of this gateway is
/// skipped. Repeated entries with the same address are accepted.
fn check_peers(
    peers: Vec<Peer>,
    local_name: &str,
) -> Result<BTreeMap<String, SocketAddr>, SectionError> {
    let mut addresses = BTreeMap::new();
    for (index, peer) in peers.into_iter().enumerate() {
        let name_key = format!("peers[{index}].name");
        if peer.name.is_empty() {
            let reason =
                format!("expected a name of 1 to {MAX_NAME_BYTES} bytes, got an empty one");
            return Err(SectionError::value(&name_key, reason));
        }
        check_length(&name_key, &peer.name, MAX_NAME_BYTES)?;
        let address = parse_address(&format!("peers[{index}].dial"), &peer.address)?;
        if peer.name == local_name {
            continue;
        }
        let previous = addresses.insert(peer.name.clone(), address);
        if let Some(previous) = previous.filter(|previous| *previous != address) {
            let reason = format!(
                "expected one address for {:?}, got {previous} and {address}",
                peer.name
            );
            return Err(SectionError::value(&name_key, reason));
        }
    }
    Ok(addresses)
}

fn check_length(key: &str, text: &str, max: usize) -> Result<(), SectionError> {
    let length = text.len();
    if length > max {
        let reason = format!("expected at most {max} bytes, got {length}");
        return Err(SectionError::value(key, reason));
    }
    Ok(())
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr, SectionError> {
    let address = text
        .parse::<SocketAddr>()
        .ok()
        .filter(|address| address.port() != 0);
    address.ok_or_else(|| {
        SectionError::value(
            key,
            format!("expected an IP address with a nonzero port, got {text:?}"),
        )
    })
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
    let reason = format!("expected {} to {}, got {value}", range.start(), range.end());
    Err(SectionError::value(key, reason))
}

#[cfg(test)]
mod tests;
