//! The records that a store consists of.

use crate::entry::Entry;
use crate::identity::{Configuration, Position};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::StopSign;
use serde::{Deserialize, Serialize};

/// A snapshot of the state at which a log begins. It replaces all earlier entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The id of the log.
    pub log_id: u64,
    /// The configuration at `position`.
    pub configuration: Configuration,
    /// The position up to which entries are applied to the state.
    pub position: Position,
    /// The encoded [`ReplicatedState`](crate::ReplicatedState).
    pub state: Vec<u8>,
}

/// One change of a replica's durable state. Records that are written together become durable
/// atomically.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LogRecord {
    /// A configuration begins, or the log was compacted. This record supersedes all earlier ones.
    Checkpoint(Checkpoint),
    /// The replica has started, for the given number of times.
    Started(u64),
    /// The highest ballot that this replica has promised.
    HighestBallot(Ballot),
    /// The ballot in which entries were last accepted.
    AcceptedBallot(Ballot),
    /// The number of decided entries, including the stop sign.
    Decided(u64),
    /// Entries from an index on. They replace all entries that were there before.
    Entries {
        /// The index of the first entry.
        from: u64,
        /// The entries, in order.
        entries: Vec<Entry>,
    },
    /// The stop sign that ends the configuration; `None` if there is none any more.
    StopSign(Option<StopSign>),
}
