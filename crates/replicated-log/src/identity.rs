//! The identity of replicas, and the coordinates within a log: configurations, positions and leader
//! terms.

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::ClusterConfig;
use serde::{Deserialize, Serialize};

/// The identity of a replica: its name and the incarnation of its store. A replica that lost its
/// store must rejoin under a new identity, because it no longer knows which ballots it has
/// promised.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId {
    /// The name of the gateway that runs the replica.
    pub name: String,
    /// Random number that was chosen when the empty store was created.
    pub incarnation: u64,
}

/// The voters of a log between two reconfigurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// The number of this configuration. Configurations of a log are numbered from one.
    pub number: u32,
    /// The voters. A voter's id is its one-based index in this list.
    pub voters: Vec<ReplicaId>,
}

impl Configuration {
    /// The voter id of a replica, or `None` if it has no vote in this configuration.
    pub fn voter_id(&self, replica: &ReplicaId) -> Option<u64> {
        self.voters
            .iter()
            .position(|voter| voter == replica)
            .map(|index| index as u64 + 1)
    }

    /// Whether a replica has a vote in this configuration.
    pub fn has_voter(&self, replica: &ReplicaId) -> bool {
        self.voters.contains(replica)
    }

    /// The voter with this voter id, or `None` if there is none.
    pub fn voter(&self, voter_id: u64) -> Option<&ReplicaId> {
        self.voters
            .get(usize::try_from(voter_id).ok()?.checked_sub(1)?)
    }

    /// The number of voters in a majority quorum.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// The configuration in the consensus library's form.
    pub(crate) fn to_cluster(&self) -> ClusterConfig {
        ClusterConfig {
            configuration_id: self.number,
            nodes: (1..=self.voters.len() as u64).collect(),
            flexible_quorum: None,
        }
    }
}

/// A position in the log: a configuration, and the number of its entries that precede the position.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The number of the configuration.
    pub configuration: u32,
    /// The number of entries of that configuration before this position.
    pub index: u64,
}

/// A leader's term, identified by its ballot. Only the leader of the current term advances the
/// log's time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaderTerm {
    /// The number of the configuration.
    pub configuration: u32,
    /// The number of the leader's ballot within the configuration.
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
