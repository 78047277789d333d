//! A priority queue of entries, ordered by time.

use crate::timing::Millis;
use std::collections::BTreeMap;

/// Orders entries by time, then by insertion. The bits of a time sort as the time does, because no
/// time is negative.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    time_bits: u64,
    sequence: u64,
}

/// Entries in the order of their times. Entries of the same time keep the order in which they were
/// inserted.
#[derive(Debug)]
pub(crate) struct TimeQueue<E> {
    entries: BTreeMap<Key, E>,
    inserted: u64,
}

impl<E> TimeQueue<E> {
    /// Creates an empty queue.
    pub(crate) fn new() -> TimeQueue<E> {
        TimeQueue {
            entries: BTreeMap::new(),
            inserted: 0,
        }
    }

    /// Inserts an entry. `time` must not be negative.
    pub(crate) fn insert(&mut self, time: Millis, entry: E) {
        self.inserted += 1;
        let key = Key {
            time_bits: time.to_bits(),
            sequence: self.inserted,
        };
        self.entries.insert(key, entry);
    }

    /// The time of the first entry; `None` if the queue is empty.
    pub(crate) fn first_time(&self) -> Option<Millis> {
        let (key, _) = self.entries.first_key_value()?;
        Some(f64::from_bits(key.time_bits))
    }

    /// Removes and returns the first entry.
    pub(crate) fn pop_first(&mut self) -> Option<E> {
        let (_, entry) = self.entries.pop_first()?;
        Some(entry)
    }
}
