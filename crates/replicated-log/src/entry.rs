//! What the log is made of, and who keeps it.

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{Entry as LogEntry, Snapshot};
use serde::{Deserialize, Serialize};

/// Who a keeper is: its name, and a number drawn with its empty store. One that has forgotten is somebody else.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// Its front door's name.
    pub name: String,
    /// Drawn with its store.
    pub life: u64,
}

/// Who keeps a group's log from one change to the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Counts the changes, from one.
    pub number: u32,
    /// The keepers; each one's seat is its place, counted from one.
    pub keepers: Vec<Id>,
}

impl Config {
    /// The seat of a keeper.
    pub fn seat(&self, id: &Id) -> Option<u64> {
        self.keepers
            .iter()
            .position(|keeper| keeper == id)
            .map(|place| place as u64 + 1)
    }

    /// Who has a seat.
    pub fn at(&self, seat: u64) -> Option<&Id> {
        self.keepers
            .get(usize::try_from(seat).ok()?.checked_sub(1)?)
    }

    /// How many make a majority.
    pub fn majority(&self) -> usize {
        self.keepers.len() / 2 + 1
    }
}

/// A place in the record: the configuration, and how many of its entries come before.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The configuration's number.
    pub config: u32,
    /// Entries of that configuration before it.
    pub index: u64,
}

/// A term of leadership. Its holder alone moves the record's time on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Office {
    /// The configuration.
    pub config: u32,
    /// The ballot's number.
    pub ballot: u32,
    /// The leader's seat.
    pub seat: u64,
}

impl Office {
    pub(crate) fn of(ballot: &Ballot) -> Office {
        Office {
            config: ballot.config_id,
            ballot: ballot.n,
            seat: ballot.pid,
        }
    }
}

/// A client's write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// The session that the record gave the client.
    pub session: u64,
    /// Counts the client's writes: a repeat carries the same.
    pub number: u64,
    /// The client has the answers to all below this.
    pub below: u64,
    /// For the state machine.
    pub bytes: Vec<u8>,
}

/// One entry of the log. No entry carries a wall clock's time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A client asks for a session; the number is its own, drawn, and tells its answer from those of others.
    Open(u64),
    /// A write.
    Write(Command),
    /// A leader takes office.
    Office(Office),
    /// So many ms have passed while this leader was in office, by its steady clock.
    Passed(Office, u64),
}

/// The library's own snapshots are not used: a lagging keeper is caught up in pieces instead, so that no message is as
/// large as the state. Compaction, which goes through them, keeps nothing here.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Nothing;

impl Snapshot<Entry> for Nothing {
    fn create(_: &[Entry]) -> Nothing {
        Nothing
    }

    fn merge(&mut self, _: Nothing) {}

    fn use_snapshots() -> bool {
        false
    }
}

impl LogEntry for Entry {
    type Snapshot = Nothing;
}
