//! Recovery of a replica that restarts with its store.
//!
//! The store may be older than the replica's last messages, for example if the disk was restored
//! from a backup. Before it votes again, the replica therefore queries the other voters for what
//! they know of its promises. If they know of more than the store holds, the replica has lost data
//! and must rejoin under a new identity.

use super::{Effect, Phase, Replica};
use crate::identity::ReplicaId;
use crate::message::{AcceptedPrefix, PeerMessage, VoterProgress};
use crate::replicated_state::ReplicatedState;
use crate::settings::Millis;
use crate::state_machine::StateMachine;
use crate::store::LoadedStore;
use crate::transfer::Snapshot;
use std::collections::BTreeSet;

impl<M: StateMachine> Replica<M> {
    /// Loads the state, the log and the configuration from a store, if the store holds a log.
    pub(super) fn load(&mut self, store: LoadedStore, effects: &mut Vec<Effect>) {
        let Some(checkpoint) = store.checkpoint else {
            return;
        };
        self.log.replace(store.log);
        self.log_id = checkpoint.log_id;
        let configuration = checkpoint.configuration;
        match ReplicatedState::restore(&checkpoint.state) {
            Ok(state) if configuration.has_voter(&self.id) => {
                let position = checkpoint.position;
                self.state = state;
                self.applied = position.index;
                self.snapshot = Some(Snapshot::new(
                    position,
                    configuration.clone(),
                    checkpoint.state,
                ));
                self.configuration = Some(configuration);
                self.phase = Phase::Recovering(BTreeSet::new());
                self.recovery_queries = self.other_voters().into_iter().collect();
            }
            // The checksum matches and the state cannot be decoded: another program wrote the
            // store.
            _ => effects.push(Effect::DiscardStore),
        }
    }

    pub(super) fn send_recovery_queries(&mut self) {
        for voter in self.recovery_queries.clone() {
            self.send(&voter, PeerMessage::RecoveryQuery);
        }
    }

    pub(super) fn handle_recovery_query(&mut self, sender: &ReplicaId, configuration: u32) {
        let progress = self.known_progress(sender);
        self.send(sender, PeerMessage::RecoveryReply(progress));
        let has_later = self
            .configuration
            .as_ref()
            .is_some_and(|own| own.number > configuration);
        if has_later {
            self.send_position(sender);
        }
    }

    /// The highest ballot that this replica has promised, and the entries that it has accepted.
    fn own_progress(&self) -> VoterProgress {
        let log = self.log.borrow();
        VoterProgress {
            configuration: self.configuration_number(),
            highest_ballot: log.highest_ballot.unwrap_or_default(),
            accepted: AcceptedPrefix {
                ballot: log.accepted_ballot.unwrap_or_default(),
                length: log.accepted_index(),
            },
        }
    }

    /// What this replica knows of another voter's promises. Part of it comes from that voter's own
    /// messages. Part follows from this replica's log: a leader has accepted every entry that was
    /// decided in its ballot.
    fn known_progress(&self, other: &ReplicaId) -> VoterProgress {
        let sent = self
            .peers
            .get(other)
            .map(|peer| peer.progress)
            .unwrap_or_default();
        let own = self.own_progress();
        let was_leader = self
            .voter_id_of(other)
            .is_some_and(|voter_id| voter_id == own.accepted.ballot.pid);
        if !was_leader || sent.configuration > own.configuration {
            return sent;
        }
        // A leader may send entries before its own write of them is durable, but sends a decision
        // only afterwards. So only the decided entries imply that the leader has them.
        let implied = VoterProgress {
            configuration: own.configuration,
            highest_ballot: own.accepted.ballot,
            accepted: AcceptedPrefix {
                ballot: own.accepted.ballot,
                length: self.log.borrow().decided,
            },
        };
        if sent.configuration < own.configuration {
            implied
        } else {
            sent.merge(implied)
        }
    }

    /// Starts to vote once all other voters have replied. After the response timeout, replies from
    /// enough voters to form a majority together with this replica are sufficient: with fewer
    /// voters no progress is possible anyway, and waiting for all of them would stop a group that
    /// has lost one voter. The remaining voters are still queried.
    pub(super) fn finish_recovery(&mut self, now: Millis) {
        let (Phase::Recovering(replied), Some(configuration)) = (&self.phase, &self.configuration)
        else {
            return;
        };
        let known = replied.len() + 1;
        let has_timed_out = now - self.started_at >= self.settings.timing.response_timeout;
        let is_majority = known >= configuration.majority();
        if known >= configuration.voters.len() || (has_timed_out && is_majority) {
            self.start_voting();
        }
    }

    /// Whether recovery can no longer succeed: the group has moved to a later configuration, and
    /// too few voters of this replica's configuration have replied within the replacement delay.
    pub(super) fn recovery_is_impossible(&self, now: Millis) -> bool {
        self.is_superseded && now - self.started_at > self.settings.timing.replacement_delay
    }

    pub(super) fn handle_recovery_reply(
        &mut self,
        now: Millis,
        sender: &ReplicaId,
        known: VoterProgress,
        effects: &mut Vec<Effect>,
    ) {
        let Some(voter_id) = self.voter_id_of(sender) else {
            return;
        };
        self.recovery_queries.remove(sender);
        if self.store_is_behind(known) {
            self.discard_store(effects);
            return;
        }
        let Phase::Recovering(replied) = &mut self.phase else {
            return;
        };
        replied.insert(voter_id);
        self.finish_recovery(now);
    }

    /// Whether the store is behind: `known`, a peer's knowledge of this replica, has a promise or
    /// an accepted entry that the store lacks.
    fn store_is_behind(&self, known: VoterProgress) -> bool {
        let own = self.own_progress();
        if known.configuration != own.configuration {
            return known.configuration > own.configuration;
        }
        // Entries that are decided in this log are not lost, whatever the ballot in which they were
        // accepted.
        let is_undecided = known.accepted.length > self.log.borrow().decided;
        let lost_entries = known.accepted > own.accepted && is_undecided;
        known.highest_ballot > own.highest_ballot || lost_entries
    }

    /// Stops this replica because it has lost data. It must rejoin under a new identity.
    pub(super) fn discard_store(&mut self, effects: &mut Vec<Effect>) {
        self.has_lost_data = true;
        effects.push(Effect::DiscardStore);
    }
}
