//! The log as the agreement library uses it: in memory, with each change noted for the disk.

use crate::entry::{Config, Entry, Nothing, Position};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{StopSign, Storage, StorageOp, StorageResult};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::rc::Rc;

/// A change, as a store keeps it. What was noted together is kept together or not at all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Note {
    /// A configuration begins, or the log is cut off: what came before counts no more. The record, the configuration, where
    /// the state stands, and the state.
    Begin(u64, Config, Position, Vec<u8>),
    /// This start of the process, counted.
    Start(u64),
    /// A ballot was promised.
    Promise(Ballot),
    /// A ballot was accepted in.
    Accepted(Ballot),
    /// So many entries are decided.
    Decided(u64),
    /// The entries from this one on are these.
    Entries(u64, Vec<Entry>),
    /// What ends the configuration, if anything is to.
    Stop(Option<StopSign>),
}

/// The log of one configuration.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    pub promise: Option<Ballot>,
    pub accepted: Option<Ballot>,
    pub decided: u64,
    /// Entries before this one are cut off.
    pub cut: u64,
    pub entries: Vec<Entry>,
    pub stop: Option<StopSign>,
    /// What has changed since it was last taken.
    pub notes: Vec<Note>,
}

impl Log {
    /// Entries up to here, cut off or not, the stop sign not counted.
    pub(crate) fn length(&self) -> u64 {
        self.cut + self.entries.len() as u64
    }

    /// How many are accepted, the stop sign counted.
    pub(crate) fn accepted_index(&self) -> u64 {
        self.length() + u64::from(self.stop.is_some())
    }

    /// Whether what ends the configuration is decided.
    pub(crate) fn stopped(&self) -> Option<&StopSign> {
        self.stop.as_ref().filter(|_| self.decided > self.length())
    }

    /// Decided entries from here on; none if they are cut off.
    pub(crate) fn decided_from(&self, from: u64) -> &[Entry] {
        let end = self.decided.min(self.length());
        if from < self.cut || from >= end {
            return &[];
        }
        &self.entries[(from - self.cut) as usize..(end - self.cut) as usize]
    }

    /// Cuts off what lies before this.
    pub(crate) fn cut_off(&mut self, at: u64) {
        if at > self.cut {
            if at > self.length() {
                // What it had accepted as the end has been decided otherwise.
                self.stop = None;
            }
            let gone = ((at - self.cut) as usize).min(self.entries.len());
            self.entries.drain(..gone);
            self.cut = at;
        }
    }

    /// The whole log is a state that was fetched, and nothing of it was accepted from a leader. It counts as accepted in a
    /// ballot below all that leaders have, the same for all: so it is no leader's claim, and the longer of two is the later.
    ///
    /// Why no promise is lost by it: the entry before the cut is decided, by a majority without this keeper, as its log was
    /// shorter; so of any majority that this keeper is in, another has all up to the cut, in a leader's ballot or in this one.
    pub(crate) fn accept_by_state(&mut self) {
        let below = Ballot::with(0, 0, 1, 0);
        self.accepted = Some(below);
        self.notes.push(Note::Accepted(below));
    }

    /// Takes in entries that are decided, from a place that lies within it or at its end.
    pub(crate) fn learn(&mut self, from: u64, entries: Vec<Entry>) {
        let to = from + entries.len() as u64;
        // What this one accepted beyond them stays.
        let beyond = self
            .entries
            .get(to.saturating_sub(self.cut) as usize..)
            .unwrap_or_default()
            .to_vec();
        if to > self.length() {
            self.note(Note::Stop(None));
            self.accept_by_state();
        }
        self.note(Note::Entries(from, [entries, beyond].concat()));
        self.note(Note::Decided(self.decided.max(to)));
    }

    fn put(&mut self, from: u64, mut entries: Vec<Entry>) {
        // What is cut off is decided, and the same everywhere.
        let known = self.cut.saturating_sub(from).min(entries.len() as u64);
        entries.drain(..known as usize);
        let from = from.max(self.cut);
        self.entries.truncate((from - self.cut) as usize);
        self.entries.extend(entries);
    }

    /// Takes a note up as it was made.
    pub(crate) fn replay(&mut self, note: Note) {
        match note {
            Note::Begin(_, _, at, _) => {
                *self = Log {
                    cut: at.index,
                    decided: at.index,
                    ..Log::default()
                }
            }
            Note::Start(_) => {}
            Note::Promise(ballot) => self.promise = Some(ballot),
            Note::Accepted(ballot) => self.accepted = Some(ballot),
            Note::Decided(index) => self.decided = index,
            Note::Entries(from, entries) => self.put(from, entries),
            Note::Stop(stop) => self.stop = stop,
        }
    }

    fn note(&mut self, note: Note) {
        self.notes.push(note.clone());
        self.replay(note);
    }

    /// All that it holds, for a store that is written anew.
    pub(crate) fn whole(&self) -> Vec<Note> {
        let mut notes: Vec<Note> = self.promise.map(Note::Promise).into_iter().collect();
        notes.extend(self.accepted.map(Note::Accepted));
        notes.push(Note::Decided(self.decided));
        notes.push(Note::Entries(self.cut, self.entries.clone()));
        notes.push(Note::Stop(self.stop.clone()));
        notes
    }
}

/// The log, shared between the library and its keeper.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shared(pub Rc<RefCell<Log>>);

// Nothing here can fail: whether a disk takes what was noted is known later, and nothing is said before.
impl Storage<Entry> for Shared {
    fn write_atomically(&mut self, ops: Vec<StorageOp<Entry>>) -> StorageResult<()> {
        ops.into_iter().try_for_each(|op| match op {
            StorageOp::AppendEntry(entry) => self.append_entry(entry),
            StorageOp::AppendEntries(entries) => self.append_entries(entries),
            StorageOp::AppendOnPrefix(from, entries) => self.append_on_prefix(from, entries),
            StorageOp::SetPromise(ballot) => self.set_promise(ballot),
            StorageOp::SetDecidedIndex(index) => self.set_decided_idx(index),
            StorageOp::SetAcceptedRound(ballot) => self.set_accepted_round(ballot),
            StorageOp::SetCompactedIdx(index) => self.set_compacted_idx(index),
            StorageOp::Trim(index) => self.trim(index),
            StorageOp::SetStopsign(stop) => self.set_stopsign(stop),
            StorageOp::SetSnapshot(snapshot) => self.set_snapshot(snapshot),
        })
    }

    fn append_entry(&mut self, entry: Entry) -> StorageResult<()> {
        self.append_entries(vec![entry])
    }

    fn append_entries(&mut self, entries: Vec<Entry>) -> StorageResult<()> {
        let mut log = self.0.borrow_mut();
        let from = log.length();
        if !entries.is_empty() {
            log.note(Note::Entries(from, entries));
        }
        Ok(())
    }

    fn append_on_prefix(&mut self, from: usize, entries: Vec<Entry>) -> StorageResult<()> {
        self.0
            .borrow_mut()
            .note(Note::Entries(from as u64, entries));
        Ok(())
    }

    fn set_promise(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.0.borrow_mut().note(Note::Promise(ballot));
        Ok(())
    }

    fn set_decided_idx(&mut self, index: usize) -> StorageResult<()> {
        self.0.borrow_mut().note(Note::Decided(index as u64));
        Ok(())
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.0.borrow().decided as usize)
    }

    fn set_accepted_round(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.0.borrow_mut().note(Note::Accepted(ballot));
        Ok(())
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.0.borrow().accepted)
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Entry>> {
        let log = self.0.borrow();
        let (from, to) = (from as u64, to as u64);
        if from < log.cut || to > log.length() || from >= to {
            return Ok(Vec::new());
        }
        Ok(log.entries[(from - log.cut) as usize..(to - log.cut) as usize].to_vec())
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.0.borrow().entries.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Entry>> {
        let length = self.0.borrow().length();
        self.get_entries(from, length as usize)
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.0.borrow().promise)
    }

    fn set_stopsign(&mut self, stop: Option<StopSign>) -> StorageResult<()> {
        self.0.borrow_mut().note(Note::Stop(stop));
        Ok(())
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(self.0.borrow().stop.clone())
    }

    // A cut is written with the state that stands in its place, by the keeper.
    fn trim(&mut self, index: usize) -> StorageResult<()> {
        self.0.borrow_mut().cut_off(index as u64);
        Ok(())
    }

    fn set_compacted_idx(&mut self, _: usize) -> StorageResult<()> {
        Ok(())
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(self.0.borrow().cut as usize)
    }

    fn set_snapshot(&mut self, _: Option<Nothing>) -> StorageResult<()> {
        Ok(())
    }

    fn get_snapshot(&self) -> StorageResult<Option<Nothing>> {
        Ok(None)
    }
}
