//! A queue of entries in the order of their times.

use crate::timing::Millis;
use std::collections::BTreeMap;

/// The bits of a time, which are ordered as the time is because no time is negative, and then the
/// order of insertion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    time_bits: u64,
    sequence: u64,
}

/// Entries in the order of their times; those of the same time in the order in which they were
/// inserted.
#[derive(Debug)]
pub(crate) struct TimeQueue<E> {
    entries: BTreeMap<Key, E>,
    inserted: u64,
}

impl<E> TimeQueue<E> {
    /// An empty queue.
    pub(crate) fn new() -> TimeQueue<E> {
        TimeQueue {
            entries: BTreeMap::new(),
            inserted: 0,
        }
    }

    /// Inserts an entry. `time` is never negative.
    pub(crate) fn insert(&mut self, time: Millis, entry: E) {
        self.inserted += 1;
        let key = Key {
            time_bits: time.to_bits(),
            sequence: self.inserted,
        };
        self.entries.insert(key, entry);
    }

    /// The time of the first entry.
    pub(crate) fn first_time(&self) -> Option<Millis> {
        let (key, _) = self.entries.first_key_value()?;
        Some(f64::from_bits(key.time_bits))
    }

    /// Removes the first entry.
    pub(crate) fn pop_first(&mut self) -> Option<E> {
        let (_, entry) = self.entries.pop_first()?;
        Some(entry)
    }
}
