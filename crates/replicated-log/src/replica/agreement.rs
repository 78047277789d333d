//! Messages of the agreement library: which are handed to it, and what is corrected in them on the
//! way.

use super::{Phase, Replica};
use crate::entry::Entry;
use crate::fault::Fault;
use crate::identity::ReplicaId;
use crate::log::{Log, SharedLog};
use crate::message::{AcceptedPrefix, VoterProgress};
use crate::state_machine::StateMachine;
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::sequence_paxos::{AcceptSync, PaxosMsg, Promise};
use omnipaxos::messages::Message;
use omnipaxos::OmniPaxos;

impl<M: StateMachine> Replica<M> {
    pub(super) fn handle_agreement(
        &mut self,
        sender: &ReplicaId,
        configuration: u32,
        mut message: Message<Entry>,
    ) {
        if !self.is_between_voters(sender, configuration, &message) {
            return;
        }
        self.record_progress_in(sender, &message);
        let Phase::Voter(paxos) = &mut self.phase else {
            return;
        };
        if lacks_compacted_entries(&self.log.borrow(), &message) {
            // Compacted entries cannot be sent: the sender fetches a snapshot first, and then
            // repeats this message.
            self.send_position(sender);
            return;
        }
        let sender_voter_id = message.get_sender();
        if let Message::SequencePaxos(message) = &mut message {
            match &mut message.msg {
                PaxosMsg::Promise(promise) => sync_from_decided_index(paxos, promise),
                PaxosMsg::AcceptSync(sync) => {
                    let is_useful = correct_accept_sync(&self.log.borrow(), sync);
                    if !is_useful {
                        return;
                    }
                }
                // The library ignores a stop sign that it has accepted and receives again, so that
                // a lost acknowledgement is never repeated (0.2.4, `handle_accept_stopsign` and its
                // sequence numbers). Synchronizing with the leader anew repeats it.
                PaxosMsg::AcceptStopSign(accept)
                    if is_accepted_in(&self.log.borrow(), accept.n) =>
                {
                    paxos.reconnected(sender_voter_id);
                    return;
                }
                _ => {}
            }
        }
        paxos.handle_incoming(message);
    }

    /// Whether a message is of the own configuration, and its voter ids are those of its sender and
    /// of this replica.
    fn is_between_voters(
        &self,
        sender: &ReplicaId,
        configuration: u32,
        message: &Message<Entry>,
    ) -> bool {
        let Some(own) = &self.configuration else {
            return false;
        };
        own.number == configuration
            && own.voter_id(sender) == Some(message.get_sender())
            && own.voter_id(&self.id) == Some(message.get_receiver())
    }

    /// Records what a message tells of its sender's promises.
    fn record_progress_in(&mut self, sender: &ReplicaId, message: &Message<Entry>) {
        let Message::SequencePaxos(message) = message else {
            return;
        };
        let (highest_ballot, ballot, length) = match &message.msg {
            PaxosMsg::Promise(promise) => (promise.n, promise.n_accepted, promise.accepted_idx),
            PaxosMsg::Prepare(prepare) => (prepare.n, prepare.n_accepted, prepare.accepted_idx),
            PaxosMsg::Accepted(accepted) => (accepted.n, accepted.n, accepted.accepted_idx),
            PaxosMsg::NotAccepted(rejection) => (rejection.n, Ballot::default(), 0),
            _ => return,
        };
        let progress = VoterProgress {
            configuration: self.configuration_number(),
            highest_ballot,
            accepted: AcceptedPrefix {
                ballot,
                length: length as u64,
            },
        };
        self.record_progress(sender, progress);
    }
}

/// Whether the sender of a message would have to be sent entries that are compacted here.
fn lacks_compacted_entries(log: &Log, message: &Message<Entry>) -> bool {
    let Message::SequencePaxos(message) = message else {
        return false;
    };
    let decided = match &message.msg {
        PaxosMsg::Promise(promise) => promise.decided_idx,
        PaxosMsg::Prepare(prepare) => prepare.decided_idx,
        _ => return false,
    };
    (decided as u64) < log.first_index && !Fault::SendCompactedEntries.is_enabled()
}

/// Corrects the promise of a voter that comes after the majority's. If the voter last accepted in
/// the same ballot as the majority's longest log, the library would send it entries from the end of
/// that log on. But its state may have been fetched and reach further, and this log be compacted
/// beyond: so the voter is made to look as if it had accepted in another ballot, and is sent what
/// follows its decided entries.
fn sync_from_decided_index(paxos: &OmniPaxos<Entry, SharedLog>, promise: &mut Promise<Entry>) {
    let ballot = paxos.get_promise();
    let is_leader = paxos.get_current_leader() == Some((paxos.get_pid(), true));
    if is_leader && promise.n == ballot && promise.n_accepted != ballot {
        promise.n_accepted = Ballot::with(0, 0, 2, 0);
    }
}

/// Corrects the log that a leader sends. Returns whether there is anything in it to accept.
fn correct_accept_sync(log: &Log, sync: &mut AcceptSync<Entry>) -> bool {
    let log_sync = &mut sync.log_sync;
    // The library counts an accepted stop sign as an entry, and begins the next one after it: the
    // stop sign is counted twice, and the accepted log seems one entry longer than it is (0.2.4,
    // `send_accsync`), so that it could never be decided.
    if log_sync.suffix.is_empty() {
        log_sync.sync_idx = log_sync.sync_idx.min(log.end_index() as usize);
    }
    // Entries that were fetched meanwhile are not written again, and an answer to what is no longer
    // missing is of no use.
    let decided = log.decided.min(log.end_index()) as usize;
    let known = decided.saturating_sub(log_sync.sync_idx);
    if known > log_sync.suffix.len() {
        return false;
    }
    log_sync.suffix.drain(..known);
    log_sync.sync_idx += known;
    true
}

/// Whether a stop sign has been accepted in this ballot.
fn is_accepted_in(log: &Log, ballot: Ballot) -> bool {
    log.stop_sign.is_some() && log.accepted_ballot == Some(ballot)
}
