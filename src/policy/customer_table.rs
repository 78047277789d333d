//! A table of bounded size with one entry for each customer, in the order of their last requests. Each operation takes a
//! constant time on average, however many customers there are.

use crate::policy_api::CustomerId;
use std::collections::HashMap;

/// Position of an entry in [`CustomerTable::slots`].
type SlotIndex = u32;

/// Marks the end of the list in either direction.
const NO_SLOT: SlotIndex = SlotIndex::MAX;

/// An entry, and its neighbors in the order of the last requests.
struct Slot<T> {
    customer: CustomerId,
    entry: T,
    newer: SlotIndex,
    older: SlotIndex,
}

/// Entries by customer, from the one used last to the one used longest ago.
pub(super) struct CustomerTable<T> {
    slots: Vec<Slot<T>>,
    /// The slots whose entries have been removed.
    vacant: Vec<SlotIndex>,
    /// Never iterated, so that its order has no influence.
    positions: HashMap<CustomerId, SlotIndex>,
    newest: SlotIndex,
    oldest: SlotIndex,
}

impl<T> CustomerTable<T> {
    /// An empty table.
    pub(super) fn new() -> CustomerTable<T> {
        CustomerTable {
            slots: Vec::new(),
            vacant: Vec::new(),
            positions: HashMap::new(),
            newest: NO_SLOT,
            oldest: NO_SLOT,
        }
    }

    /// Number of entries.
    pub(super) fn len(&self) -> usize {
        self.positions.len()
    }

    /// The entry of a customer. Its place in the order stays.
    pub(super) fn get(&self, customer: CustomerId) -> Option<&T> {
        let slot = *self.positions.get(&customer)?;
        Some(&self.slots[slot as usize].entry)
    }

    /// The entry of a customer, to be changed. Its place in the order stays.
    pub(super) fn get_mut(&mut self, customer: CustomerId) -> Option<&mut T> {
        let slot = *self.positions.get(&customer)?;
        Some(&mut self.slots[slot as usize].entry)
    }

    /// Makes the entry of a customer the newest. Returns `None` if there is none.
    pub(super) fn touch(&mut self, customer: CustomerId) -> Option<()> {
        let slot = *self.positions.get(&customer)?;
        self.make_newest(slot);
        Some(())
    }

    /// The entry that was used last.
    pub(super) fn newest_mut(&mut self) -> Option<&mut T> {
        let slot = self.slots.get_mut(self.newest as usize)?;
        Some(&mut slot.entry)
    }

    /// Adds the entry of a customer that has none, as the newest.
    pub(super) fn insert(&mut self, customer: CustomerId, entry: T) {
        let added = Slot {
            customer,
            entry,
            newer: NO_SLOT,
            older: NO_SLOT,
        };
        let slot = match self.vacant.pop() {
            Some(slot) => {
                self.slots[slot as usize] = added;
                slot
            }
            None => {
                self.slots.push(added);
                (self.slots.len() - 1) as SlotIndex
            }
        };
        self.positions.insert(customer, slot);
        self.link_newest(slot);
    }

    /// The entry that was used longest ago.
    pub(super) fn oldest(&self) -> Option<(CustomerId, &T)> {
        let slot = self.slots.get(self.oldest as usize)?;
        Some((slot.customer, &slot.entry))
    }

    /// Makes the oldest entry the newest.
    pub(super) fn keep_oldest(&mut self) {
        if self.oldest != NO_SLOT {
            self.make_newest(self.oldest);
        }
    }

    /// Removes the oldest entry.
    pub(super) fn remove_oldest(&mut self) {
        let slot = self.oldest;
        if slot == NO_SLOT {
            return;
        }
        self.unlink(slot);
        self.positions.remove(&self.slots[slot as usize].customer);
        self.vacant.push(slot);
    }

    fn make_newest(&mut self, slot: SlotIndex) {
        self.unlink(slot);
        self.link_newest(slot);
    }

    fn unlink(&mut self, slot: SlotIndex) {
        let Slot { newer, older, .. } = self.slots[slot as usize];
        match self.slots.get_mut(newer as usize) {
            Some(neighbor) => neighbor.older = older,
            None => self.newest = older,
        }
        match self.slots.get_mut(older as usize) {
            Some(neighbor) => neighbor.newer = newer,
            None => self.oldest = newer,
        }
    }

    fn link_newest(&mut self, slot: SlotIndex) {
        let older = self.newest;
        let added = &mut self.slots[slot as usize];
        added.newer = NO_SLOT;
        added.older = older;
        match self.slots.get_mut(older as usize) {
            Some(neighbor) => neighbor.newer = slot,
            None => self.oldest = slot,
        }
        self.newest = slot;
    }
}
