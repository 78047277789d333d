//! The entries of the log.

use crate::identity::LeaderTerm;
use omnipaxos::storage::{Entry as LibraryEntry, Snapshot as LibrarySnapshot};
use serde::{Deserialize, Serialize};

/// A client's write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// The session that the log assigned to the client.
    pub session: u64,
    /// The client's number for this write; a retry carries the same number.
    pub sequence: u64,
    /// The client has the answers to all writes below this number, so they need not be kept.
    pub answered_below: u64,
    /// The command for the state machine.
    pub payload: Vec<u8>,
}

/// One entry of the log. No entry carries the time of a wall clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A client opens a session.
    OpenSession {
        /// Drawn by the client, so that it recognises the answer to its own request.
        nonce: u64,
    },
    /// A client's write.
    Write(Command),
    /// A leader begins its term.
    LeaderElected(LeaderTerm),
    /// Time has passed during a leader's term, by that leader's steady clock.
    AdvanceTime {
        /// The term in which it was measured.
        term: LeaderTerm,
        /// How much time has passed, in milliseconds.
        elapsed_ms: u64,
    },
}

/// The agreement library's own snapshots are not used: a lagging replica receives a snapshot in
/// chunks instead, so that no message is as large as the state. The library compacts its log
/// through this type, which holds nothing.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct EmptySnapshot;

impl LibrarySnapshot<Entry> for EmptySnapshot {
    fn create(_: &[Entry]) -> EmptySnapshot {
        EmptySnapshot
    }

    fn merge(&mut self, _: EmptySnapshot) {}

    fn use_snapshots() -> bool {
        false
    }
}

impl LibraryEntry for Entry {
    type Snapshot = EmptySnapshot;
}
