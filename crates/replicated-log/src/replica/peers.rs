//! What a replica knows of its peers.

use super::Replica;
use crate::identity::{Position, ReplicaId};
use crate::message::{MessageNumber, VoterProgress};
use crate::settings::Millis;
use crate::state_machine::StateMachine;

/// Peers that a replica remembers, beside the voters of its configuration.
const MAX_PEERS: usize = 1_024;

/// What is known of one peer.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    /// When a message from it last arrived.
    pub(super) last_received: Millis,
    /// The number of that message.
    pub(super) last_number: MessageNumber,
    /// What it promised and accepted.
    pub(super) progress: VoterProgress,
    /// Its position, if it is ready to become a voter.
    pub(super) standby: Option<Position>,
    /// Its last message said that its store is empty, and that it would found a log with the same
    /// replicas.
    pub(super) is_uninitialized: bool,
}

impl<M: StateMachine> Replica<M> {
    /// Removes the peers without a vote that were silent for longest: names come from outside, and
    /// the number of incarnations has no bound.
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

    /// Records what a peer has promised and accepted.
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
