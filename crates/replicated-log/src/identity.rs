//! Who replicates a log, and the coordinates within it: configurations, positions and leader terms.

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::ClusterConfig;
use serde::{Deserialize, Serialize};

/// The identity of a replica: its name and the incarnation of its store. A replica that lost its
/// store must rejoin under a new identity, because it no longer knows which ballots it promised.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId {
    /// The name of its gateway.
    pub name: String,
    /// Drawn at random when its empty store was created.
    pub incarnation: u64,
}

/// The voters of a log from one reconfiguration to the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Counts the configurations of a log, from one.
    pub number: u32,
    /// The voters; a voter's id is its place in this list, counted from one.
    pub voters: Vec<ReplicaId>,
}

impl Configuration {
    /// The voter id of a replica, or `None` if it has no vote here.
    pub fn voter_id(&self, replica: &ReplicaId) -> Option<u64> {
        self.voters
            .iter()
            .position(|voter| voter == replica)
            .map(|place| place as u64 + 1)
    }

    /// Whether a replica has a vote here.
    pub fn has_voter(&self, replica: &ReplicaId) -> bool {
        self.voters.contains(replica)
    }

    /// The voter with an id.
    pub fn voter(&self, voter_id: u64) -> Option<&ReplicaId> {
        self.voters
            .get(usize::try_from(voter_id).ok()?.checked_sub(1)?)
    }

    /// The number of voters in a majority quorum.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// The same configuration as the agreement library describes it.
    pub(crate) fn to_cluster(&self) -> ClusterConfig {
        ClusterConfig {
            configuration_id: self.number,
            nodes: (1..=self.voters.len() as u64).collect(),
            flexible_quorum: None,
        }
    }
}

/// A position in the log: a configuration, and the number of its entries that come before.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The configuration's number.
    pub configuration: u32,
    /// Entries of that configuration before this position.
    pub index: u64,
}

/// A term of leadership. Only the leader of the current term advances the log's time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaderTerm {
    /// The configuration's number.
    pub configuration: u32,
    /// The number of the leader's ballot.
    pub ballot: u32,
    /// The leader's voter id.
    pub voter_id: u64,
}

impl LeaderTerm {
    pub(crate) fn from_ballot(ballot: &Ballot) -> LeaderTerm {
        LeaderTerm {
            configuration: ballot.config_id,
            ballot: ballot.n,
            voter_id: ballot.pid,
        }
    }
}
