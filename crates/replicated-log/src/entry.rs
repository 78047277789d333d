//! The entries of the log, and their traits for the consensus library.

use crate::identity::LeaderTerm;
use omnipaxos::storage::{Entry as LibraryEntry, Snapshot as LibrarySnapshot};
use serde::{Deserialize, Serialize};

/// A client's write command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// The session that the log assigned to the client.
    pub session: u64,
    /// The client's sequence number for this write; a retry carries the same number.
    pub sequence: u64,
    /// The client has received the answers to all writes below this sequence number, so replicas
    /// need not keep those answers.
    pub answered_below: u64,
    /// The command that is passed to the state machine.
    pub payload: Vec<u8>,
}

/// One entry of the log. No entry carries wall-clock time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A client opens a session.
    OpenSession {
        /// Random number chosen by the client, by which it recognises the response to its own
        /// request.
        nonce: u64,
    },
    /// A client's write command.
    Write(Command),
    /// A leader begins its term.
    LeaderElected(LeaderTerm),
    /// Advances the log's time by the time that has passed on the monotonic clock of a leader
    /// during its term.
    AdvanceTime {
        /// The term in which the time was measured.
        term: LeaderTerm,
        /// The time that has passed, in milliseconds.
        elapsed_ms: u64,
    },
}

/// A placeholder for the consensus library's own snapshots, which are not used: a lagging replica
/// receives a snapshot in chunks instead, so that no message is as large as the state. The library
/// compacts its log through this type, which holds no data.
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
