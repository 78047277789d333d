//! The disk of a node, and its faults.

use super::Simulation;
use crate::identity::ReplicaId;
use crate::settings::Millis;
use crate::store::{self, StoreHeader};
use rand::RngExt;

/// One disk.
#[derive(Clone, Debug, Default)]
pub(super) struct Disk {
    /// What is durable.
    pub(super) durable: Vec<u8>,
    /// What was written and not flushed: after a crash, any part of it from the front may be there.
    pub(super) unflushed: Vec<u8>,
    /// Distinguishes this file from a copy of it.
    pub(super) file_tag: String,
    backup: Option<Vec<u8>>,
}

impl Disk {
    /// Begins a new file that holds only the header of a store.
    pub(super) fn begin_store(&mut self, replica: ReplicaId) {
        self.durable = store::encode_header(&StoreHeader {
            replica,
            file_tag: self.file_tag.clone(),
        });
    }

    /// Makes the first unflushed bytes durable.
    pub(super) fn flush(&mut self, bytes: usize) {
        let flushed = bytes.min(self.unflushed.len());
        self.durable.extend(self.unflushed.drain(..flushed));
    }

    /// Removes the store.
    pub(super) fn clear(&mut self) {
        self.durable.clear();
        self.unflushed.clear();
    }
}

impl Simulation {
    /// Wipes the disk of a node whose replica does not run.
    pub fn wipe(&mut self, node: usize) {
        self.statistics.disk_faults += 1;
        self.nodes[node].disk = Disk::default();
    }

    /// Backs up what a node's disk holds now.
    pub fn back_up(&mut self, node: usize) {
        let disk = &mut self.nodes[node].disk;
        disk.backup = Some(disk.durable.clone());
    }

    /// Replaces what a node's disk holds by its backup, if there is one. `is_detectable` is whether
    /// the system can tell the copy from the file; it cannot if the whole disk was restored.
    pub fn restore_backup(&mut self, node: usize, is_detectable: bool) {
        self.statistics.disk_faults += 1;
        let disk = &mut self.nodes[node].disk;
        let Some(backup) = disk.backup.clone() else {
            return;
        };
        disk.durable = backup;
        if is_detectable {
            disk.file_tag.push_str(" (copy)");
        }
    }

    /// Changes a byte in the middle of what a node's disk holds.
    pub fn corrupt(&mut self, node: usize) {
        self.statistics.disk_faults += 1;
        let durable = &mut self.nodes[node].disk.durable;
        let middle = durable.len() / 2;
        if let Some(byte) = durable.get_mut(middle) {
            *byte ^= 0x10;
        }
    }

    /// Sets how long a node's disk takes for a write.
    pub fn set_write_latency(&mut self, node: usize, latency: Millis) {
        self.nodes[node].write_latency = latency;
    }

    /// Leaves on the disk of a node that crashed a part of what was not flushed.
    pub(super) fn discard_unflushed(&mut self, node: usize) {
        let disk = &mut self.nodes[node].disk;
        let unflushed = std::mem::take(&mut disk.unflushed);
        let kept = self.rng.random_range(0..=unflushed.len());
        disk.durable.extend(&unflushed[..kept]);
    }
}
