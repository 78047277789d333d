//! Implements the consensus library's `Storage` trait for the log.

use super::{Log, LogRecord};
use crate::entry::{EmptySnapshot, Entry};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{StopSign, Storage, StorageOp, StorageResult};
use std::cell::{Ref, RefCell, RefMut};
use std::rc::Rc;

/// The log, shared between the consensus library and its replica.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedLog(Rc<RefCell<Log>>);

impl SharedLog {
    pub(crate) fn borrow(&self) -> Ref<'_, Log> {
        self.0.borrow()
    }

    pub(crate) fn borrow_mut(&self) -> RefMut<'_, Log> {
        self.0.borrow_mut()
    }

    /// Replaces the whole log.
    pub(crate) fn replace(&self, log: Log) {
        self.0.replace(log);
    }

    fn record(&self, record: LogRecord) {
        self.borrow_mut().record(record);
    }
}

// No operation here can fail. The disk reports the result of a write later, and no message that
// depends on a record is sent before the record is durable.
impl Storage<Entry> for SharedLog {
    fn write_atomically(&mut self, operations: Vec<StorageOp<Entry>>) -> StorageResult<()> {
        operations
            .into_iter()
            .try_for_each(|operation| match operation {
                StorageOp::AppendEntry(entry) => self.append_entry(entry),
                StorageOp::AppendEntries(entries) => self.append_entries(entries),
                StorageOp::AppendOnPrefix(from, entries) => self.append_on_prefix(from, entries),
                StorageOp::SetPromise(ballot) => self.set_promise(ballot),
                StorageOp::SetDecidedIndex(index) => self.set_decided_idx(index),
                StorageOp::SetAcceptedRound(ballot) => self.set_accepted_round(ballot),
                StorageOp::SetCompactedIdx(index) => self.set_compacted_idx(index),
                StorageOp::Trim(index) => self.trim(index),
                StorageOp::SetStopsign(stop_sign) => self.set_stopsign(stop_sign),
                StorageOp::SetSnapshot(snapshot) => self.set_snapshot(snapshot),
            })
    }

    fn append_entry(&mut self, entry: Entry) -> StorageResult<()> {
        self.append_entries(vec![entry])
    }

    fn append_entries(&mut self, entries: Vec<Entry>) -> StorageResult<()> {
        let mut log = self.borrow_mut();
        let from = log.end_index();
        if !entries.is_empty() {
            log.record(LogRecord::Entries { from, entries });
        }
        Ok(())
    }

    fn append_on_prefix(&mut self, from: usize, entries: Vec<Entry>) -> StorageResult<()> {
        let from = from as u64;
        self.record(LogRecord::Entries { from, entries });
        Ok(())
    }

    fn set_promise(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.record(LogRecord::HighestBallot(ballot));
        Ok(())
    }

    fn set_decided_idx(&mut self, index: usize) -> StorageResult<()> {
        self.record(LogRecord::Decided(index as u64));
        Ok(())
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.borrow().decided as usize)
    }

    fn set_accepted_round(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.record(LogRecord::AcceptedBallot(ballot));
        Ok(())
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.borrow().accepted_ballot)
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Entry>> {
        let log = self.borrow();
        let from = from as u64;
        let to = to as u64;
        if from < log.first_index || to > log.end_index() || from >= to {
            return Ok(Vec::new());
        }
        Ok(log.range(from, to).to_vec())
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.borrow().entries.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Entry>> {
        let end = self.borrow().end_index();
        self.get_entries(from, end as usize)
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.borrow().highest_ballot)
    }

    fn set_stopsign(&mut self, stop_sign: Option<StopSign>) -> StorageResult<()> {
        self.record(LogRecord::StopSign(stop_sign));
        Ok(())
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(self.borrow().stop_sign.clone())
    }

    // The replica records a compaction itself, together with the snapshot that replaces the
    // discarded entries.
    fn trim(&mut self, index: usize) -> StorageResult<()> {
        self.borrow_mut().discard_before(index as u64);
        Ok(())
    }

    fn set_compacted_idx(&mut self, _: usize) -> StorageResult<()> {
        Ok(())
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(self.borrow().first_index as usize)
    }

    fn set_snapshot(&mut self, _: Option<EmptySnapshot>) -> StorageResult<()> {
        Ok(())
    }

    fn get_snapshot(&self) -> StorageResult<Option<EmptySnapshot>> {
        Ok(None)
    }
}
