//! The state that a replica keeps for each of its peers.

use super::Replica;
use crate::identity::{Position, ReplicaId};
use crate::message::{MessageNumber, VoterProgress};
use crate::settings::Millis;
use crate::state_machine::StateMachine;

/// Maximum number of peers that a replica keeps. Voters of its configuration are never evicted,
/// even above this limit.
const MAX_PEERS: usize = 1_024;

/// The state of one peer.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    /// When the last message from the peer arrived.
    pub(super) last_received: Millis,
    /// The number of that message.
    pub(super) last_number: MessageNumber,
    /// The highest ballot that the peer promised and the entries that it accepted, as far as known.
    pub(super) progress: VoterProgress,
    /// The peer's position, if it is a standby that is ready to become a voter.
    pub(super) standby: Option<Position>,
    /// Whether the peer's last message announced an empty store and the same founders as this
    /// replica's.
    pub(super) is_uninitialized: bool,
}

impl<M: StateMachine> Replica<M> {
    /// Evicts the peers without a vote that have been silent for longest. Names come from outside,
    /// and the number of incarnations is unbounded.
    pub(super) fn evict_peers(&mut self) {
        while self.peers.len() > MAX_PEERS {
            let configuration = self.configuration.as_ref();
            let has_no_vote = |id: &ReplicaId| configuration.is_none_or(|own| !own.has_voter(id));
            let oldest = self
                .peers
                .iter()
                .filter(|(id, _)| has_no_vote(id))
                .min_by(|a, b| a.1.last_received.total_cmp(&b.1.last_received))
                .map(|(id, _)| id.clone());
            let Some(oldest) = oldest else { return };
            self.peers.remove(&oldest);
        }
    }

    /// Merges new information on what a peer has promised and accepted.
    pub(super) fn record_progress(&mut self, of: &ReplicaId, progress: VoterProgress) {
        let Some(peer) = self.peers.get_mut(of) else {
            return;
        };
        peer.progress = if progress.configuration > peer.progress.configuration {
            progress
        } else {
            peer.progress.merge(progress)
        };
    }
}
