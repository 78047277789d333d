//! The records of which a store consists.

use crate::entry::Entry;
use crate::identity::{Configuration, Position};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::StopSign;
use serde::{Deserialize, Serialize};

/// The state at which a log begins, in place of all entries before it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Identifies the log.
    pub log_id: u64,
    /// The configuration.
    pub configuration: Configuration,
    /// The position of the state.
    pub position: Position,
    /// A snapshot of the state.
    pub state: Vec<u8>,
}

/// One change of a replica's durable state. Records that are written together become durable
/// together or not at all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LogRecord {
    /// A configuration begins, or the log was compacted: earlier records no longer count.
    Checkpoint(Checkpoint),
    /// The replica has started; starts are counted.
    Started(u64),
    /// The highest ballot that this replica promised to follow.
    HighestBallot(Ballot),
    /// The ballot of the latest accepted entries.
    AcceptedBallot(Ballot),
    /// The number of decided entries.
    Decided(u64),
    /// The entries from an index on; any that were there before are replaced.
    Entries {
        /// The index of the first.
        from: u64,
        /// The entries, in order.
        entries: Vec<Entry>,
    },
    /// The entry that ends the configuration, if there is one.
    StopSign(Option<StopSign>),
}
