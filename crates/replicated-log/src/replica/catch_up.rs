//! Catching up: how a replica that lags or has no vote fetches the entries that it lacks, and how
//! other replicas serve it.

use super::{Phase, Replica};
use crate::entry::Entry;
use crate::fault::Fault;
use crate::identity::{Configuration, Position, ReplicaId};
use crate::message::{PeerMessage, SnapshotChunk, SnapshotOffer};
use crate::replicated_state::ReplicatedState;
use crate::settings::Millis;
use crate::state_machine::StateMachine;
use crate::transfer::{CatchUp, CatchUpSource, PreviousConfiguration, Snapshot};
use rand::RngExt;

/// Estimated size of an entry in a reply without its payload, in bytes.
const ENTRY_OVERHEAD: usize = 32;
/// A snapshot transfer counts as stalled after this many response timeouts without progress.
const STALL_FACTOR: f64 = 4.0;

impl<M: StateMachine> Replica<M> {
    /// Starts to catch up from a peer, unless another source is already chosen.
    pub(super) fn catch_up_from(&mut self, now: Millis, source: &ReplicaId) {
        if self.catch_up.source.is_none() {
            self.set_source(now, source.clone());
            self.catch_up.next_request = now;
        }
    }

    fn set_source(&mut self, now: Millis, replica: ReplicaId) {
        self.catch_up.source = Some(CatchUpSource {
            replica,
            last_progress: now,
        });
    }

    /// The interval between two requests while the source answers.
    fn request_interval(&self) -> Millis {
        self.settings.timing.response_timeout / 2.0
    }

    /// Requests the next missing entries or the next chunk of a snapshot.
    pub(super) fn request_missing(&mut self, now: Millis) {
        self.drop_silent_source(now);
        self.choose_source(now);
        if now < self.catch_up.next_request {
            return;
        }
        let Some(source) = &self.catch_up.source else {
            return;
        };
        let to = source.replica.clone();
        let message = match &self.catch_up.incoming {
            Some(incoming) => PeerMessage::SnapshotRequest {
                position: incoming.offer.position,
                offset: incoming.bytes.len() as u64,
            },
            None => PeerMessage::FetchEntries {
                after: self.configuration.is_some().then(|| self.position()),
            },
        };
        self.catch_up.next_request = now + self.request_interval();
        self.send(&to, message);
    }

    /// Drops a source that made no progress within the response timeout. The chunks of a snapshot
    /// that have already arrived are kept.
    fn drop_silent_source(&mut self, now: Millis) {
        let timeout = self.settings.timing.response_timeout;
        self.catch_up
            .source
            .take_if(|source| now - source.last_progress > timeout);
    }

    /// If this replica is a learner without a source, chooses a random voter to catch up from.
    fn choose_source(&mut self, now: Millis) {
        let is_learner = matches!(self.phase, Phase::Learner);
        if self.catch_up.source.is_some() || !is_learner || now < self.catch_up.next_request {
            return;
        }
        let voters = self.other_voters();
        let index = self.rng.random_range(0..voters.len().max(1));
        match voters.get(index) {
            Some(voter) => self.set_source(now, voter.clone()),
            None => {
                self.catch_up.next_request = now + self.request_interval();
                self.announce_uninitialized();
            }
        }
    }

    /// Answers with the entries after a position if this replica still has them, and otherwise with
    /// an offer of a snapshot.
    pub(super) fn handle_fetch_entries(&mut self, to: &ReplicaId, after: Option<Position>) {
        let Some(configuration) = &self.configuration else {
            return;
        };
        let answer = after
            .and_then(|after| {
                self.entries_after(after, configuration.number)
                    .or_else(|| self.previous_entries_after(after))
            })
            .or_else(|| {
                let snapshot = self.snapshot.as_ref()?;
                Some(PeerMessage::SnapshotOffer(snapshot.offer()))
            });
        if let Some(answer) = answer {
            self.send(to, answer);
        }
    }

    /// Entries of this replica's current configuration after a position.
    fn entries_after(&self, after: Position, configuration: u32) -> Option<PeerMessage> {
        let log = self.log.borrow();
        let is_voter = matches!(self.phase, Phase::Voter(_));
        if !is_voter || after.configuration != configuration {
            return None;
        }
        if !(log.first_index..=self.applied).contains(&after.index) {
            return None;
        }
        Some(PeerMessage::Entries {
            after,
            entries: self
                .limit_to_reply_size(log.decided_from(after.index))
                .to_vec(),
            next_configuration: None,
        })
    }

    /// Entries of the previous configuration after a position. If they reach its end, the reply
    /// also has the configuration that follows.
    fn previous_entries_after(&self, after: Position) -> Option<PeerMessage> {
        let previous = self.previous_configuration.as_ref()?;
        if after.configuration != previous.number || after.index < previous.first_index {
            return None;
        }
        let rest = previous
            .entries
            .get((after.index - previous.first_index) as usize..)
            .unwrap_or_default();
        let entries = self.limit_to_reply_size(rest);
        let reaches_end = entries.len() == rest.len();
        Some(PeerMessage::Entries {
            after,
            entries: entries.to_vec(),
            next_configuration: reaches_end.then(|| previous.next.clone()),
        })
    }

    /// The longest prefix of `entries` that fits into one reply. It has at least one entry, however
    /// large that entry is.
    fn limit_to_reply_size<'a>(&self, entries: &'a [Entry]) -> &'a [Entry] {
        let mut remaining = self.settings.limits.chunk_bytes;
        let mut count = 0;
        for entry in entries {
            let payload = match entry {
                Entry::Write(command) => command.payload.len(),
                _ => 0,
            };
            let size = payload + ENTRY_OVERHEAD;
            if remaining < size {
                break;
            }
            remaining -= size;
            count += 1;
        }
        &entries[..count.max(1).min(entries.len())]
    }

    pub(super) fn handle_snapshot_request(
        &mut self,
        to: &ReplicaId,
        position: Position,
        offset: u64,
    ) {
        let Some(snapshot) = &self.snapshot else {
            return;
        };
        let message = if snapshot.position == position {
            let chunk_bytes = self.settings.limits.chunk_bytes;
            PeerMessage::SnapshotChunk(snapshot.chunk(offset, chunk_bytes))
        } else {
            PeerMessage::SnapshotOffer(snapshot.offer())
        };
        self.send(to, message);
    }

    pub(super) fn handle_snapshot_offer(
        &mut self,
        now: Millis,
        sender: ReplicaId,
        offer: SnapshotOffer,
    ) {
        if self.configuration.is_some() && offer.position <= self.position() {
            return;
        }
        let stalled_since = now - STALL_FACTOR * self.settings.timing.response_timeout;
        self.catch_up.consider_offer(now, stalled_since, offer);
        self.set_source(now, sender);
        self.catch_up.next_request = now + self.settings.timing.chunk_interval;
    }

    pub(super) fn handle_snapshot_chunk(&mut self, now: Millis, chunk: &SnapshotChunk) {
        if let Some(source) = &mut self.catch_up.source {
            source.last_progress = now;
        }
        self.catch_up.next_request = now + self.settings.timing.chunk_interval;
        let Some(complete) = self.catch_up.add_chunk(now, chunk) else {
            return;
        };
        self.catch_up = CatchUp::default();
        if let Ok(state) = ReplicatedState::restore(&complete.bytes) {
            let offer = complete.offer;
            let snapshot = Snapshot::new(offer.position, offer.configuration, complete.bytes);
            self.install(snapshot, state);
        }
    }

    /// Applies decided entries that a peer has sent for this replica's position.
    pub(super) fn handle_entries(
        &mut self,
        now: Millis,
        sender: ReplicaId,
        after: Position,
        entries: Vec<Entry>,
        next_configuration: Option<Configuration>,
    ) {
        let is_other_position =
            after != self.position() && !Fault::EntriesAtAnyPosition.is_enabled();
        if is_other_position || matches!(self.phase, Phase::Empty | Phase::Recovering(_)) {
            return;
        }
        self.catch_up = CatchUp {
            next_request: now + self.request_interval(),
            ..CatchUp::default()
        };
        let has_entries = !entries.is_empty();
        for entry in &entries {
            self.state.apply(entry);
            self.applied += 1;
        }
        if matches!(self.phase, Phase::Voter(_)) && has_entries {
            self.log.borrow_mut().insert_decided(after.index, entries);
            if next_configuration.is_none() {
                // Consensus resumes after the fetched entries, and keeps the entries beyond them
                // that this replica has accepted.
                self.start_voting();
            }
        }
        if let Some(next) = next_configuration {
            self.leave_configuration(next);
        } else if has_entries {
            // A peer that sent entries may have more.
            self.set_source(now, sender);
            self.catch_up.next_request = now;
        }
    }

    /// Replaces this replica's state by that of a snapshot, if the snapshot is later.
    fn install(&mut self, snapshot: Snapshot, state: ReplicatedState<M>) {
        let is_same_configuration = self
            .configuration
            .as_ref()
            .is_some_and(|own| own.number == snapshot.position.configuration);
        if self.configuration.is_some() && snapshot.position <= self.position() {
            return;
        }
        let is_voter = snapshot.configuration.has_voter(&self.id);
        if is_voter && matches!(self.phase, Phase::Recovering(_)) {
            // A recovering replica first has to learn from its peers what it has promised.
            return;
        }
        self.state = state;
        self.applied = snapshot.position.index;
        match &self.phase {
            Phase::Voter(_) if is_same_configuration => self.install_as_voter(snapshot),
            _ if is_voter => {
                self.enter_configuration(snapshot.configuration, snapshot.position.index);
            }
            _ => self.become_learner(snapshot),
        }
    }

    /// Installs a snapshot of the current configuration as a voter. The vote, its promises and the
    /// entries after the snapshot are kept.
    fn install_as_voter(&mut self, snapshot: Snapshot) {
        let index = snapshot.position.index;
        {
            let mut log = self.log.borrow_mut();
            log.unwritten.clear();
            if index > log.end_index() {
                log.mark_as_fetched();
            }
            log.discard_before(index);
            log.decided = log.decided.max(index);
        }
        self.snapshot = Some(snapshot);
        self.rewrite_store();
        self.start_voting();
    }

    /// Continues as a learner, from the state of a snapshot.
    fn become_learner(&mut self, snapshot: Snapshot) {
        self.configuration = Some(snapshot.configuration.clone());
        self.snapshot = Some(snapshot);
        self.phase = Phase::Learner;
    }

    /// Moves to the next configuration, once all entries of the current one are applied to the
    /// state.
    pub(super) fn leave_configuration(&mut self, next: Configuration) {
        self.keep_previous_configuration(&next);
        if next.has_voter(&self.id) {
            self.enter_configuration(next, 0);
            return;
        }
        let position = Position {
            configuration: next.number,
            index: 0,
        };
        self.applied = 0;
        self.become_learner(Snapshot::new(position, next, self.state.snapshot()));
        self.log.borrow_mut().unwritten.clear();
    }

    /// Keeps the last entries of the configuration, for voters that missed its end.
    fn keep_previous_configuration(&mut self, next: &Configuration) {
        let Some(configuration) = &self.configuration else {
            return;
        };
        if !matches!(self.phase, Phase::Voter(_)) {
            return;
        }
        let log = self.log.borrow();
        let mut entries = log.entries.clone();
        if Fault::DropLastEntry.is_enabled() {
            entries.pop();
        }
        self.previous_configuration = Some(PreviousConfiguration {
            number: configuration.number,
            first_index: log.first_index,
            entries,
            next: next.clone(),
        });
    }
}
