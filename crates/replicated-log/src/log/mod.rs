//! The in-memory log of one configuration. Each change is also queued as a record for the disk.

mod record;
mod storage;

pub use record::{Checkpoint, LogRecord};
pub(crate) use storage::SharedLog;

use crate::entry::Entry;
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::StopSign;

/// The log of one configuration: ballots, entries and the stop sign.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    /// The highest ballot that this replica has promised.
    pub highest_ballot: Option<Ballot>,
    /// The ballot in which entries were last accepted.
    pub accepted_ballot: Option<Ballot>,
    /// The number of decided entries, including the stop sign.
    pub decided: u64,
    /// The index of the first entry that is not compacted.
    pub first_index: u64,
    /// The entries from `first_index` on.
    pub entries: Vec<Entry>,
    /// The stop sign that ends the configuration, if one was accepted.
    pub stop_sign: Option<StopSign>,
    /// Records of changes that have not yet been issued to the disk.
    pub unwritten: Vec<LogRecord>,
}

impl Log {
    /// The index after the last entry, excluding the stop sign.
    pub(crate) fn end_index(&self) -> u64 {
        self.first_index + self.entries.len() as u64
    }

    /// The number of accepted entries, including the stop sign.
    pub(crate) fn accepted_index(&self) -> u64 {
        self.end_index() + u64::from(self.stop_sign.is_some())
    }

    /// The stop sign, if it is decided.
    pub(crate) fn decided_stop_sign(&self) -> Option<&StopSign> {
        self.stop_sign
            .as_ref()
            .filter(|_| self.decided > self.end_index())
    }

    /// The decided entries from an index on. Empty if that index is already compacted.
    pub(crate) fn decided_from(&self, from: u64) -> &[Entry] {
        let end = self.decided.min(self.end_index());
        if from < self.first_index || from >= end {
            return &[];
        }
        self.range(from, end)
    }

    /// The entries of a range that lies within the log.
    fn range(&self, from: u64, to: u64) -> &[Entry] {
        let start = (from - self.first_index) as usize;
        let end = (to - self.first_index) as usize;
        &self.entries[start..end]
    }

    /// Discards the entries before an index.
    pub(crate) fn discard_before(&mut self, index: u64) {
        if index <= self.first_index {
            return;
        }
        if index > self.end_index() {
            // Other entries were decided in place of the suffix that this log had accepted.
            self.stop_sign = None;
        }
        let discarded = ((index - self.first_index) as usize).min(self.entries.len());
        self.entries.drain(..discarded);
        self.first_index = index;
    }

    /// Marks the whole log as fetched: it was taken from a peer's decided state, and was not
    /// accepted from a leader. The log counts as accepted in a ballot that is lower than that of
    /// any leader and the same on every replica. It therefore supports no leader's proposal, and of
    /// two such logs the longer one is the later one.
    ///
    /// No acknowledged write is lost by this. The entry before the first index was decided by a
    /// majority without this replica, because this replica's log was shorter. So any majority that
    /// includes this replica has another member with all entries up to the first index, accepted in
    /// a leader's ballot or in this lowest ballot.
    pub(crate) fn mark_as_fetched(&mut self) {
        let lowest = Ballot::with(0, 0, 1, 0);
        self.accepted_ballot = Some(lowest);
        self.unwritten.push(LogRecord::AcceptedBallot(lowest));
    }

    /// Inserts decided entries that were fetched. They must begin within the log or at its end.
    pub(crate) fn insert_decided(&mut self, from: u64, entries: Vec<Entry>) {
        let to = from + entries.len() as u64;
        // Accepted entries after the inserted ones are kept.
        let beyond = self
            .entries
            .get(to.saturating_sub(self.first_index) as usize..)
            .unwrap_or_default()
            .to_vec();
        if to > self.end_index() {
            self.record(LogRecord::StopSign(None));
            self.mark_as_fetched();
        }
        self.record(LogRecord::Entries {
            from,
            entries: [entries, beyond].concat(),
        });
        self.record(LogRecord::Decided(self.decided.max(to)));
    }

    fn replace_from(&mut self, from: u64, mut entries: Vec<Entry>) {
        // Compacted entries are decided and therefore the same on every replica, so they are
        // skipped.
        let compacted = self
            .first_index
            .saturating_sub(from)
            .min(entries.len() as u64);
        entries.drain(..compacted as usize);
        let from = from.max(self.first_index);
        self.entries.truncate((from - self.first_index) as usize);
        self.entries.extend(entries);
    }

    /// Applies a record to this log without queueing it for the disk.
    pub(crate) fn replay(&mut self, record: LogRecord) {
        match record {
            LogRecord::Checkpoint(checkpoint) => {
                *self = Log {
                    first_index: checkpoint.position.index,
                    decided: checkpoint.position.index,
                    ..Log::default()
                }
            }
            LogRecord::Started(_) => {}
            LogRecord::HighestBallot(ballot) => self.highest_ballot = Some(ballot),
            LogRecord::AcceptedBallot(ballot) => self.accepted_ballot = Some(ballot),
            LogRecord::Decided(index) => self.decided = index,
            LogRecord::Entries { from, entries } => self.replace_from(from, entries),
            LogRecord::StopSign(stop_sign) => self.stop_sign = stop_sign,
        }
    }

    /// Applies a record and queues it for the disk.
    fn record(&mut self, record: LogRecord) {
        self.unwritten.push(record.clone());
        self.replay(record);
    }

    /// The records that reproduce this log when a store is rewritten.
    pub(crate) fn to_records(&self) -> Vec<LogRecord> {
        let mut records = Vec::new();
        records.extend(self.highest_ballot.map(LogRecord::HighestBallot));
        records.extend(self.accepted_ballot.map(LogRecord::AcceptedBallot));
        records.push(LogRecord::Decided(self.decided));
        records.push(LogRecord::Entries {
            from: self.first_index,
            entries: self.entries.clone(),
        });
        records.push(LogRecord::StopSign(self.stop_sign.clone()));
        records
    }
}
