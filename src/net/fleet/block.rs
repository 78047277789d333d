//! The `fleet` block of the configuration. Without it nothing here is used.

use crate::net::config::ConfigError;
use cometspool_membership::{LONGEST_NAME, LONGEST_ZONE};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

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
pub struct Pace {
    /// Calls for the list of backends that were turned away.
    pub discovery: bool,
    /// Dials to backends; never for fewer front doors than the settings tell.
    pub dials: bool,
    /// Trials of ejected backends; never for fewer either.
    pub trials: bool,
}

/// The block as it stands.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Raw {
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
pub struct Block {
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

impl Raw {
    /// The block of the front door called `own`, if it is usable; an error names the key.
    pub fn check(self, own: &str) -> Result<Block, ConfigError> {
        let wrong = |key: &str, what: String| ConfigError::Fleet(format!("fleet.{key}: {what}"));
        let address = |key: &str, text: &str| {
            text.parse::<SocketAddr>()
                .ok()
                .filter(|address| address.port() != 0)
                .ok_or_else(|| wrong(key, format!("{text:?} is not an address with a port")))
        };
        let name = |key: &str, text: &str, longest: usize| match text.len() {
            length if length <= longest => Ok(()),
            length => Err(wrong(key, format!("{length} bytes where {longest} are the most"))),
        };
        name("name", &self.name, LONGEST_NAME)?;
        name("zone", &self.zone, LONGEST_ZONE)?;
        if self.name.is_empty() || own.is_empty() || own.len() > LONGEST_NAME {
            return Err(wrong(
                "name",
                format!("the fleet and its front doors need names of 1 to {LONGEST_NAME} bytes"),
            ));
        }
        let listen = address("listen", &self.listen)?;
        let advertise = self.advertise.as_deref().map_or(Ok(listen), |text| address("advertise", text))?;
        let mut peers = BTreeMap::new();
        for (i, peer) in self.peers.into_iter().enumerate() {
            let key = format!("peers[{i}]");
            if peer.name.is_empty() {
                return Err(wrong(&format!("{key}.name"), "it is empty".to_owned()));
            }
            name(&format!("{key}.name"), &peer.name, LONGEST_NAME)?;
            let dial = address(&format!("{key}.dial"), &peer.dial)?;
            // One list may serve all front doors, so its own entry is passed over; a repeat says nothing new.
            if peer.name != own && peers.insert(peer.name.clone(), dial).is_some_and(|before| before != dial)
            {
                return Err(wrong(
                    &format!("{key}.name"),
                    format!("{:?} stands here with two addresses", peer.name),
                ));
            }
        }
        let within = |key: &str, value: u64, least: u64, most: u64| match (least..=most).contains(&value) {
            true => Ok(value),
            false => Err(wrong(key, format!("{value} is not between {least} and {most}"))),
        };
        Ok(Block {
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

impl Block {
    /// Descriptors that the fleet layer may hold: its links, both listeners, and one dial in passing.
    pub fn descriptors(&self) -> usize {
        self.links + self.accepted + 3
    }
}
