//! The output of a replica: records for the disk, messages and responses that are held back until
//! those records are durable, and decided entries that are applied to the state.

use super::client_requests::RequestKey;
use super::{Effect, LedTerm, Phase, Replica};
use crate::entry::Entry;
use crate::fault::Fault;
use crate::identity::{Configuration, LeaderTerm, ReplicaId};
use crate::log::LogRecord;
use crate::message::{Envelope, MessageNumber, PeerMessage, Response};
use crate::replicated_state::Applied;
use crate::settings::Millis;
use crate::state_machine::StateMachine;
use omnipaxos::messages::sequence_paxos::PaxosMsg;
use omnipaxos::messages::Message;
use omnipaxos::storage::StopSign;

/// A message to a replica or a response to a client.
pub(super) enum Output {
    Send {
        to: ReplicaId,
        /// The number of the sender's configuration at the time the message was created.
        configuration: u32,
        message: PeerMessage,
    },
    Respond {
        client: String,
        response: Response,
    },
}

/// Output that is held back until the writes it depends on are durable.
pub(super) struct PendingOutput {
    /// The number of the last write that must be durable first.
    after_write: u64,
    output: Output,
}

impl<M: StateMachine> Replica<M> {
    /// Queues a message, to be sent once every write issued so far is durable.
    pub(super) fn send(&mut self, to: &ReplicaId, message: PeerMessage) {
        let output = Output::Send {
            to: to.clone(),
            configuration: self.configuration_number(),
            message,
        };
        self.queue(self.writes.issued, output);
    }

    /// Queues a response, to be sent once every write issued so far is durable.
    pub(super) fn respond(&mut self, client: String, response: Response) {
        self.queue(self.writes.issued, Output::Respond { client, response });
    }

    fn queue(&mut self, after_write: u64, output: Output) {
        self.pending_output.push(PendingOutput {
            after_write,
            output,
        });
    }

    /// Notifies a peer that lags or has no vote of this replica's position.
    pub(super) fn send_position(&mut self, to: &ReplicaId) {
        let position = self.position();
        self.send(to, PeerMessage::PositionNotice(position));
    }

    /// Issues records to the disk, applies decided entries, and releases the output whose writes
    /// are durable.
    pub(super) fn process_ready(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        if self.has_lost_data {
            return;
        }
        self.issue_records(effects);
        self.collect_paxos_messages();
        while self.apply_decided(now) {
            self.issue_records(effects);
            self.collect_paxos_messages();
        }
        self.compact();
        self.issue_records(effects);
        if self.writes.durable >= self.writes.issued {
            self.writes.decided_when_durable = self.log.borrow().decided;
        }
        self.release_output(effects);
    }

    fn issue_records(&mut self, effects: &mut Vec<Effect>) {
        let Some(records) = self.take_unwritten_records() else {
            return;
        };
        if !self.writes.is_durable {
            return;
        }
        self.writes.issued += 1;
        let write = self.writes.issued;
        // A checkpoint replaces all earlier records, so the store is rewritten.
        let has_checkpoint = records
            .iter()
            .any(|record| matches!(record, LogRecord::Checkpoint(_)));
        effects.push(if has_checkpoint {
            Effect::Rewrite { write, records }
        } else {
            Effect::Append { write, records }
        });
    }

    /// Takes the records that have to be written now. A change of the decided index alone does not
    /// cause a write: the index can be learned again from other replicas, no output waits for it,
    /// and it is written together with the next records.
    fn take_unwritten_records(&mut self) -> Option<Vec<LogRecord>> {
        let mut log = self.log.borrow_mut();
        let mut records = std::mem::take(&mut log.unwritten);
        let only_decided = records
            .iter()
            .all(|record| matches!(record, LogRecord::Decided(_)));
        if only_decided {
            log.unwritten.extend(records.pop());
            return None;
        }
        Some(records)
    }

    /// Queues the outgoing messages of the consensus library.
    fn collect_paxos_messages(&mut self) {
        let Phase::Voter(paxos) = &mut self.phase else {
            return;
        };
        let mut messages = Vec::new();
        paxos.take_outgoing_messages(&mut messages);
        let Some(configuration) = &self.configuration else {
            return;
        };
        for message in messages {
            let Some(to) = configuration.voter(message.get_receiver()) else {
                continue;
            };
            let after_write = if self.may_send_before_durable(to, &message) {
                self.writes.durable
            } else {
                self.writes.issued
            };
            self.pending_output.push(PendingOutput {
                after_write: after_write.min(self.writes.issued),
                output: Output::Send {
                    to: to.clone(),
                    configuration: configuration.number,
                    message: PeerMessage::Paxos(message),
                },
            });
        }
    }

    /// Whether a message may be sent before the issued writes are durable.
    fn may_send_before_durable(&self, to: &ReplicaId, message: &Message<Entry>) -> bool {
        let Message::SequencePaxos(message) = message else {
            // Heartbeats carry no promise.
            return true;
        };
        // The leader sends new entries while its own disk still writes them, so that all disks
        // write in parallel. This is safe because a leader may lose entries that it has only
        // proposed. A message with a decision that depends on the leader's own acceptance waits
        // until that write is durable.
        let PaxosMsg::AcceptDecide(accept) = &message.msg else {
            return false;
        };
        let rests_on_durable = accept.decided_idx as u64 <= self.writes.decided_when_durable;
        rests_on_durable && !self.has_pending_message(to)
    }

    /// Whether an earlier message to this replica still waits for the disk. Messages to one replica
    /// must not be reordered.
    fn has_pending_message(&self, replica: &ReplicaId) -> bool {
        self.pending_output.iter().any(|pending| {
            let is_to_replica = matches!(&pending.output, Output::Send { to, .. } if to == replica);
            is_to_replica && pending.after_write > self.writes.durable
        })
    }

    /// Applies the decided entries. Returns whether a stop sign among them has ended the
    /// configuration.
    fn apply_decided(&mut self, now: Millis) -> bool {
        if !matches!(self.phase, Phase::Voter(_)) {
            return false;
        }
        let (entries, stop_sign) = self.unapplied_decided_entries();
        for entry in entries {
            let applied = self.state.apply(&entry);
            self.applied += 1;
            self.handle_applied(now, applied);
        }
        let next = stop_sign.and_then(|stop_sign| decode_configuration(&stop_sign));
        let Some(next) = next else { return false };
        self.waiting_clients.clear();
        self.leave_configuration(next);
        true
    }

    /// The decided entries that are not applied yet, and the decided stop sign, if there is one,
    /// that ends the configuration.
    fn unapplied_decided_entries(&self) -> (Vec<Entry>, Option<StopSign>) {
        let log = self.log.borrow();
        let entries = if self.is_leader() && Fault::RespondBeforeMajority.is_enabled() {
            let first = self.applied.saturating_sub(log.first_index);
            &log.entries[first as usize..]
        } else {
            log.decided_from(self.applied)
        };
        (entries.to_vec(), log.decided_stop_sign().cloned())
    }

    /// Sends the result of an applied entry to the clients that wait for it.
    fn handle_applied(&mut self, now: Millis, applied: Applied) {
        match applied {
            Applied::SessionOpened { nonce, session } => {
                let response = Response::SessionOpened { nonce, session };
                self.respond_to_waiting(RequestKey::open_session(nonce), &response);
            }
            Applied::Written {
                session,
                sequence,
                outcome,
            } => {
                let response = Response::Written {
                    session,
                    sequence,
                    outcome,
                };
                self.respond_to_waiting(RequestKey::write(session, sequence), &response);
            }
            Applied::LeaderElected(term) => self.confirm_term(now, term),
            Applied::Nothing => {}
        }
    }

    fn respond_to_waiting(&mut self, key: RequestKey, response: &Response) {
        for client in self.waiting_clients.remove(&key).unwrap_or_default() {
            self.respond(client, response.clone());
        }
    }

    /// Handles a decided `LeaderElected` entry. If the term is this replica's own, the replica
    /// advances the log's time from now on.
    fn confirm_term(&mut self, now: Millis, term: LeaderTerm) {
        let is_own = self.is_leader() && self.proposed_term == term;
        self.led_term = is_own.then_some(LedTerm {
            term,
            measured_until: now,
        });
    }

    /// Releases the output whose writes are durable.
    fn release_output(&mut self, effects: &mut Vec<Effect>) {
        let releases_all = Fault::SendBeforeDurable.is_enabled();
        let pending = std::mem::take(&mut self.pending_output);
        for pending in pending {
            if pending.after_write <= self.writes.durable || releases_all {
                effects.push(self.release(pending.output));
            } else {
                self.pending_output.push(pending);
            }
        }
    }

    fn release(&mut self, output: Output) -> Effect {
        match output {
            Output::Respond { client, response } => Effect::Respond { client, response },
            Output::Send {
                to,
                configuration,
                message,
            } => {
                self.messages_sent += 1;
                let envelope = Envelope {
                    log_id: self.log_id,
                    configuration,
                    sender: self.id.clone(),
                    number: MessageNumber {
                        start: self.start_count,
                        sequence: self.messages_sent,
                    },
                    first_index: self.log.borrow().first_index,
                    message,
                };
                Effect::Send {
                    to: to.name,
                    envelope: Box::new(envelope),
                }
            }
        }
    }
}

/// Decodes the next configuration, which the leader of the previous one stored in the stop sign's
/// metadata.
fn decode_configuration(stop_sign: &StopSign) -> Option<Configuration> {
    let metadata = stop_sign.metadata.as_ref()?;
    postcard::from_bytes(metadata).ok()
}
