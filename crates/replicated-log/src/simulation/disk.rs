//! The simulated disk of a node, and its faults.

use super::Simulation;
use crate::identity::ReplicaId;
use crate::settings::Millis;
use crate::store::{self, StoreHeader};
use rand::RngExt;

/// A disk that holds one store file.
#[derive(Clone, Debug, Default)]
pub(super) struct Disk {
    /// The durable bytes of the store file.
    pub(super) durable: Vec<u8>,
    /// Bytes that were written and not flushed. After a crash, any prefix of them may be on the
    /// disk.
    pub(super) unflushed: Vec<u8>,
    /// A tag that distinguishes the file from a copy of it.
    pub(super) file_tag: String,
    backup: Option<Vec<u8>>,
}

impl Disk {
    /// Starts a new file that contains only the header of a store.
    pub(super) fn begin_store(&mut self, replica: ReplicaId) {
        self.durable = store::encode_header(&StoreHeader {
            replica,
            file_tag: self.file_tag.clone(),
        });
    }

    /// Makes the first `bytes` unflushed bytes durable.
    pub(super) fn flush(&mut self, bytes: usize) {
        let flushed = bytes.min(self.unflushed.len());
        self.durable.extend(self.unflushed.drain(..flushed));
    }

    /// Removes the store file.
    pub(super) fn clear(&mut self) {
        self.durable.clear();
        self.unflushed.clear();
    }
}

impl Simulation {
    /// Wipes the disk of a node whose replica is not running.
    pub fn wipe(&mut self, node: usize) {
        self.statistics.disk_faults += 1;
        self.nodes[node].disk = Disk::default();
    }

    /// Backs up the durable bytes of a node's disk.
    pub fn back_up(&mut self, node: usize) {
        let disk = &mut self.nodes[node].disk;
        disk.backup = Some(disk.durable.clone());
    }

    /// Restores a node's disk from its backup, if there is one. If `is_detectable` is set, the file
    /// tag changes, so that the replica can tell the copy from the original file. It cannot tell if
    /// the whole disk was restored.
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

    /// Flips a bit in the middle of a node's store file.
    pub fn corrupt(&mut self, node: usize) {
        self.statistics.disk_faults += 1;
        let durable = &mut self.nodes[node].disk.durable;
        let middle = durable.len() / 2;
        if let Some(byte) = durable.get_mut(middle) {
            *byte ^= 0x10;
        }
    }

    /// Sets the duration of a durable write on a node's disk.
    pub fn set_write_latency(&mut self, node: usize, latency: Millis) {
        self.nodes[node].write_latency = latency;
    }

    /// Keeps a random prefix of the unflushed bytes on the disk of a node that crashed.
    pub(super) fn discard_unflushed(&mut self, node: usize) {
        let disk = &mut self.nodes[node].disk;
        let unflushed = std::mem::take(&mut disk.unflushed);
        let kept = self.rng.random_range(0..=unflushed.len());
        disk.durable.extend(&unflushed[..kept]);
    }
}
