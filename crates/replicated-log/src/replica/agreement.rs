//! Filters and corrects incoming messages before they reach the consensus library.

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
    pub(super) fn handle_paxos_message(
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
        if needs_compacted_entries(&self.log.borrow(), &message) {
            // Compacted entries cannot be sent. The sender first fetches a snapshot, and then
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
                // The library ignores a stop sign that it has already accepted and receives again,
                // so a lost acknowledgement is never repeated (0.2.4, `handle_accept_stopsign` and
                // its sequence numbers). A new synchronization with the leader repeats the
                // acknowledgement.
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

    /// Whether a message belongs to the current configuration, and its voter ids match its sender
    /// and this replica.
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

    /// Records what a message reveals of its sender's promises and accepted entries.
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

/// Whether the sender of a message needs entries that are already compacted here.
fn needs_compacted_entries(log: &Log, message: &Message<Entry>) -> bool {
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

/// Corrects a promise that arrives after a majority has already promised. If the voter last
/// accepted entries in the same ballot as the longest log of that majority, the library would send
/// it entries from the end of that log on, or from the end of the voter's own log if that is
/// shorter. But the voter's state may have been fetched and reach further, and the log of this
/// leader may be compacted beyond that index. The promise is therefore changed to name another
/// accepted ballot, so that the library sends the entries after the voter's decided index.
fn sync_from_decided_index(paxos: &OmniPaxos<Entry, SharedLog>, promise: &mut Promise<Entry>) {
    let ballot = paxos.get_promise();
    let is_leader = paxos.get_current_leader() == Some((paxos.get_pid(), true));
    if is_leader && promise.n == ballot && promise.n_accepted != ballot {
        promise.n_accepted = Ballot::with(0, 0, 2, 0);
    }
}

/// Corrects the log suffix that a leader sends. Returns whether it contains anything to accept.
fn correct_accept_sync(log: &Log, sync: &mut AcceptSync<Entry>) -> bool {
    let log_sync = &mut sync.log_sync;
    // The library counts an accepted stop sign as an entry, and starts the next suffix after it.
    // The stop sign is then counted twice, and the accepted log appears one entry longer than it is
    // (0.2.4, `send_accsync`), so that the stop sign could never be decided.
    if log_sync.suffix.is_empty() {
        log_sync.sync_idx = log_sync.sync_idx.min(log.end_index() as usize);
    }
    // Entries that were fetched in the meantime are not written again. If all entries of the suffix
    // and more are already decided here, the message is outdated.
    let decided = log.decided.min(log.end_index()) as usize;
    let known = decided.saturating_sub(log_sync.sync_idx);
    if known > log_sync.suffix.len() {
        return false;
    }
    log_sync.suffix.drain(..known);
    log_sync.sync_idx += known;
    true
}

/// Whether a stop sign has been accepted and `ballot` is the accepted ballot.
fn is_accepted_in(log: &Log, ballot: Ballot) -> bool {
    log.stop_sign.is_some() && log.accepted_ballot == Some(ballot)
}
