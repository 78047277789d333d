//! The inputs of a replica: completed disk writes, the passing of time, and messages from peers.

use super::{Effect, Phase, Replica};
use crate::identity::{Position, ReplicaId};
use crate::message::{Envelope, PeerMessage};
use crate::settings::Millis;
use crate::state_machine::StateMachine;

/// The parts of an envelope that describe its sender.
struct Sender {
    id: ReplicaId,
    log_id: u64,
    configuration: u32,
}

impl<M: StateMachine> Replica<M> {
    /// Handles the completion of disk writes: all writes up to the number `write` have become
    /// durable at `now`.
    pub fn written(&mut self, now: Millis, write: u64) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.writes.durable = self.writes.durable.max(write);
        self.process_ready(now, &mut effects);
        effects
    }

    /// Runs the periodic work that is due at `now`. The caller calls this when
    /// [`Replica::next_tick`] is reached; an earlier call has no effect.
    pub fn tick(&mut self, now: Millis) -> Vec<Effect> {
        let mut effects = Vec::new();
        if now < self.next_tick || self.has_lost_data {
            return effects;
        }
        // Missed ticks are not made up for: a process that was paused did not wait for anyone
        // during the pause.
        self.next_tick = now + self.settings.timing.tick_interval;
        self.ticks += 1;
        let is_new_heartbeat_round = self.is_new_heartbeat_round();
        match self.phase {
            Phase::Voter(ref mut paxos) => {
                paxos.tick();
                self.tick_leader(now);
            }
            Phase::Recovering(_) if self.recovery_is_impossible(now) => {
                self.discard_store(&mut effects);
                return effects;
            }
            Phase::Empty if is_new_heartbeat_round => self.announce_uninitialized(),
            Phase::Learner if is_new_heartbeat_round && self.configuration.is_some() => {
                self.announce_standby();
            }
            Phase::Recovering(_) | Phase::Empty | Phase::Learner => {}
        }
        self.finish_recovery(now);
        if is_new_heartbeat_round {
            self.send_recovery_queries();
        }
        self.request_missing(now);
        self.process_ready(now, &mut effects);
        effects
    }

    /// Whether this tick starts a heartbeat round.
    pub(super) fn is_new_heartbeat_round(&self) -> bool {
        self.ticks
            .is_multiple_of(self.settings.timing.election_ticks)
    }

    fn announce_standby(&mut self) {
        let position = self.position();
        for voter in self.other_voters() {
            self.send(&voter, PeerMessage::Standby(position));
        }
    }

    /// Handles a message that arrived at `now`. Messages of other logs and stale messages are
    /// counted and ignored.
    pub fn receive(&mut self, now: Millis, envelope: Envelope) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Envelope {
            log_id,
            configuration,
            sender,
            number,
            first_index,
            message,
        } = envelope;
        if self.has_lost_data || sender == self.id {
            return effects;
        }
        if log_id != 0 && self.log_id != 0 && log_id != self.log_id {
            self.foreign_messages += 1;
            return effects;
        }
        let peer = self.peers.entry(sender.clone()).or_default();
        if number <= peer.last_number {
            self.stale_messages += 1;
            return effects;
        }
        peer.last_received = now;
        peer.last_number = number;
        peer.is_uninitialized = matches!(
            &message,
            PeerMessage::Uninitialized { founders } if *founders == self.founders
        );
        self.evict_peers();
        if matches!(message, PeerMessage::Paxos(_)) {
            self.compare_progress(now, &sender, configuration, first_index);
        }
        let sender = Sender {
            id: sender,
            log_id,
            configuration,
        };
        self.handle_message(now, sender, message, &mut effects);
        self.process_ready(now, &mut effects);
        effects
    }

    /// Checks a consensus message for signs that one side lags: the sender may have a later or
    /// earlier configuration, or may have compacted entries that are not decided here.
    fn compare_progress(
        &mut self,
        now: Millis,
        sender: &ReplicaId,
        configuration: u32,
        first_index: u64,
    ) {
        let Some(own) = self.configuration.as_ref().map(|own| own.number) else {
            return;
        };
        let lacks_entries = configuration == own && first_index > self.log.borrow().decided;
        let is_voter = matches!(self.phase, Phase::Voter(_));
        if configuration > own || (lacks_entries && is_voter) {
            self.catch_up_from(now, sender);
        } else if configuration < own {
            self.send_position(sender);
        }
    }

    fn handle_message(
        &mut self,
        now: Millis,
        sender: Sender,
        message: PeerMessage,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            PeerMessage::Paxos(message) => {
                self.handle_paxos_message(&sender.id, sender.configuration, message);
            }
            PeerMessage::RecoveryQuery => {
                self.handle_recovery_query(&sender.id, sender.configuration);
            }
            PeerMessage::RecoveryReply(progress) => {
                self.handle_recovery_reply(now, &sender.id, progress, effects);
            }
            PeerMessage::Uninitialized { founders } => {
                self.handle_uninitialized(&sender.id, &founders);
            }
            PeerMessage::Bootstrap(configuration) => {
                self.handle_bootstrap(sender.log_id, configuration);
            }
            PeerMessage::PositionNotice(position) => {
                self.handle_position_notice(now, &sender, position);
            }
            PeerMessage::FetchEntries { after } => self.handle_fetch_entries(&sender.id, after),
            PeerMessage::Standby(position) => {
                if let Some(peer) = self.peers.get_mut(&sender.id) {
                    peer.standby = Some(position);
                }
            }
            PeerMessage::SnapshotRequest { position, offset } => {
                self.handle_snapshot_request(&sender.id, position, offset);
            }
            PeerMessage::Entries {
                after,
                entries,
                next_configuration,
            } => self.handle_entries(now, sender.id, after, entries, next_configuration),
            PeerMessage::SnapshotOffer(offer) => self.handle_snapshot_offer(now, sender.id, offer),
            PeerMessage::SnapshotChunk(chunk) => self.handle_snapshot_chunk(now, &chunk),
        }
    }

    fn handle_position_notice(&mut self, now: Millis, sender: &Sender, position: Position) {
        let own = self.position();
        self.is_superseded |= position.configuration > own.configuration;
        if position <= own {
            return;
        }
        if matches!(self.phase, Phase::Empty) {
            self.log_id = sender.log_id;
            self.phase = Phase::Learner;
        }
        self.catch_up_from(now, &sender.id);
    }
}
