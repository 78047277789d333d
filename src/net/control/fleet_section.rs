//! The `fleet` section of the configuration: as it is written, and as it is once checked. Without it the fleet layer is off.

use cometspool_membership::{MAX_NAME_BYTES, MAX_ZONE_BYTES};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Descriptors that the fleet layer holds besides its links: both listeners, and one dial in passing.
const OTHER_DESCRIPTORS: usize = 3;

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
        "fleet.accepted: {accepted} and fleet.links: {links} leave too little of {sockets} sockets"
    )]
    Descriptors {
        /// Connections that are accepted at most.
        accepted: usize,
        /// Connections that are dialled at most.
        links: usize,
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

/// Another front door, as the configuration tells of it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Peer {
    name: String,
    dial: String,
}

/// What is paced by how many front doors seem present.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Pace {
    /// Calls for the list of backends that were turned away.
    pub discovery: bool,
    /// Dials to backends; never for fewer front doors than the settings tell.
    pub dials: bool,
    /// Trials of ejected backends; never for fewer either.
    pub trials: bool,
}

/// The section as it is written. The parser names this type where it finds another than an object.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    name: String,
    #[serde(default)]
    generation: u32,
    listen: String,
    advertise: Option<String>,
    peers: Vec<Peer>,
    #[serde(default)]
    zone: String,
    #[serde(default = "yes")]
    membership: bool,
    #[serde(default)]
    pace: Pace,
    #[serde(default = "links")]
    links: usize,
    #[serde(default = "accepted")]
    accepted: usize,
    #[serde(default = "frame_bytes")]
    frame_bytes: usize,
    #[serde(default = "queue_bytes")]
    queue_bytes: usize,
    #[serde(default = "hello_ms")]
    hello_ms: u64,
    #[serde(default = "beat_ms")]
    beat_ms: u64,
    #[serde(default = "keep_ms")]
    keep_ms: u64,
    #[serde(default = "tell_ms")]
    tell_ms: u64,
}

fn yes() -> bool {
    true
}
fn links() -> usize {
    12
}
fn accepted() -> usize {
    64
}
fn frame_bytes() -> usize {
    256 * 1024
}
fn queue_bytes() -> usize {
    1024 * 1024
}
fn hello_ms() -> u64 {
    1000
}
fn beat_ms() -> u64 {
    1000
}
fn keep_ms() -> u64 {
    60_000
}
fn tell_ms() -> u64 {
    10_000
}

/// What a front door is told of its fleet.
#[derive(Clone, Debug)]
pub(crate) struct FleetSection {
    /// Its own name among the others.
    pub own: String,
    /// The fleet's name: frames of another fleet are foreign.
    pub fleet: String,
    /// Which of those that had this name it is.
    pub generation: u32,
    /// Where others are heard, TCP and UDP.
    pub listen: SocketAddr,
    /// Where others are told that this one is to be reached.
    pub advertise: SocketAddr,
    /// The others by name, and where to dial them.
    pub peers: BTreeMap<String, SocketAddr>,
    /// The zone.
    pub zone: String,
    /// Whether membership runs.
    pub membership: bool,
    /// What is paced by it.
    pub pace: Pace,
    /// Connections that are dialled and kept at most.
    pub links: usize,
    /// Connections that are accepted at most.
    pub accepted: usize,
    /// Greatest body of a frame, bytes.
    pub frame_bytes: usize,
    /// Bytes that wait for one peer in one lane at most.
    pub queue_bytes: usize,
    /// For a dial with its greeting, ms.
    pub hello_ms: u64,
    /// Between two signs of life on a link, ms; after four without one whole frame it ends.
    pub beat_ms: u64,
    /// How long a dialled link without traffic is kept, ms.
    pub keep_ms: u64,
    /// Between two lines of counters, ms.
    pub tell_ms: u64,
}

impl FleetSection {
    /// Reads and checks the section of the front door called `own`.
    pub(crate) fn parse(value: &Value, own: &str) -> Result<FleetSection, SectionError> {
        let raw: Raw = serde_json::from_value(value.clone())?;
        raw.check(own)
    }

    /// Descriptors that the fleet layer may hold: its links, both listeners, and one dial in passing.
    pub(crate) fn descriptors(&self) -> usize {
        self.links + self.accepted + OTHER_DESCRIPTORS
    }
}

impl Raw {
    fn check(self, own: &str) -> Result<FleetSection, SectionError> {
        check_length("name", &self.name, MAX_NAME_BYTES)?;
        check_length("zone", &self.zone, MAX_ZONE_BYTES)?;
        if self.name.is_empty() || own.is_empty() || own.len() > MAX_NAME_BYTES {
            let fault =
                format!("the fleet and its front doors need names of 1 to {MAX_NAME_BYTES} bytes");
            return Err(SectionError::value("name", fault));
        }
        let listen = parse_address("listen", &self.listen)?;
        let advertise = match &self.advertise {
            Some(text) => parse_address("advertise", text)?,
            None => listen,
        };
        let peers = check_peers(self.peers, own)?;
        Ok(FleetSection {
            own: own.to_owned(),
            fleet: self.name,
            generation: self.generation,
            listen,
            advertise,
            peers,
            zone: self.zone,
            membership: self.membership,
            pace: self.pace,
            links: within("links", self.links as u64, 1, 4096)? as usize,
            accepted: within("accepted", self.accepted as u64, 1, 4096)? as usize,
            frame_bytes: within("frame_bytes", self.frame_bytes as u64, 4096, 16 << 20)? as usize,
            queue_bytes: within("queue_bytes", self.queue_bytes as u64, 4096, 64 << 20)? as usize,
            hello_ms: within("hello_ms", self.hello_ms, 10, 60_000)?,
            beat_ms: within("beat_ms", self.beat_ms, 10, 60_000)?,
            keep_ms: within("keep_ms", self.keep_ms, 100, 3_600_000)?,
            tell_ms: within("tell_ms", self.tell_ms, 50, 3_600_000)?,
        })
    }
}

/// The other front doors by name. One list may serve all, so the entry called `own` is passed over; a repeat adds nothing.
fn check_peers(peers: Vec<Peer>, own: &str) -> Result<BTreeMap<String, SocketAddr>, SectionError> {
    let mut addresses = BTreeMap::new();
    for (index, peer) in peers.into_iter().enumerate() {
        let name_key = format!("peers[{index}].name");
        if peer.name.is_empty() {
            return Err(SectionError::value(&name_key, "it is empty".to_owned()));
        }
        check_length(&name_key, &peer.name, MAX_NAME_BYTES)?;
        let address = parse_address(&format!("peers[{index}].dial"), &peer.dial)?;
        if peer.name == own {
            continue;
        }
        let before = addresses.insert(peer.name.clone(), address);
        if before.is_some_and(|before| before != address) {
            let fault = format!("{:?} stands here with two addresses", peer.name);
            return Err(SectionError::value(&name_key, fault));
        }
    }
    Ok(addresses)
}

fn check_length(key: &str, text: &str, longest: usize) -> Result<(), SectionError> {
    let length = text.len();
    if length > longest {
        return Err(SectionError::value(
            key,
            format!("{length} bytes where {longest} are the most"),
        ));
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

fn within(key: &str, value: u64, least: u64, most: u64) -> Result<u64, SectionError> {
    if !(least..=most).contains(&value) {
        return Err(SectionError::value(
            key,
            format!("{value} is not between {least} and {most}"),
        ));
    }
    Ok(value)
}

#[cfg(test)]
mod tests;
