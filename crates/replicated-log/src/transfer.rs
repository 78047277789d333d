//! Data types for catching up: a lagging replica fetches entries where its peers still have them,
//! and otherwise a snapshot in chunks.

use crate::entry::Entry;
use crate::identity::{Configuration, Position, ReplicaId};
use crate::message::{SnapshotChunk, SnapshotOffer};
use crate::settings::Millis;
use std::sync::Arc;

/// An encoded snapshot of the state at a position. It is kept until a later one replaces it.
#[derive(Clone, Debug)]
pub(crate) struct Snapshot {
    pub position: Position,
    pub configuration: Configuration,
    pub bytes: Arc<Vec<u8>>,
    /// The CRC-32C of the bytes.
    pub checksum: u32,
}

impl Snapshot {
    pub(crate) fn new(
        position: Position,
        configuration: Configuration,
        bytes: Vec<u8>,
    ) -> Snapshot {
        let checksum = crc32c::crc32c(&bytes);
        Snapshot {
            position,
            configuration,
            bytes: Arc::new(bytes),
            checksum,
        }
    }

    pub(crate) fn offer(&self) -> SnapshotOffer {
        SnapshotOffer {
            position: self.position,
            length: self.bytes.len() as u64,
            checksum: self.checksum,
            configuration: self.configuration.clone(),
        }
    }

    /// The chunk at an offset, with at most `max_length` bytes.
    pub(crate) fn chunk(&self, offset: u64, max_length: usize) -> SnapshotChunk {
        let from = (offset as usize).min(self.bytes.len());
        let to = (from + max_length).min(self.bytes.len());
        SnapshotChunk {
            position: self.position,
            offset,
            bytes: self.bytes[from..to].to_vec(),
        }
    }
}

/// The last entries of the previous configuration, for voters that missed its end.
#[derive(Clone, Debug)]
pub(crate) struct PreviousConfiguration {
    /// The number of the previous configuration.
    pub number: u32,
    /// The index of the first of `entries`.
    pub first_index: u64,
    /// The entries from `first_index` to the end of the configuration.
    pub entries: Vec<Entry>,
    /// The configuration that follows the previous one.
    pub next: Configuration,
}

/// A snapshot that is being received.
#[derive(Clone, Debug)]
pub(crate) struct IncomingSnapshot {
    pub offer: SnapshotOffer,
    /// The bytes received so far, from the start of the snapshot.
    pub bytes: Vec<u8>,
    /// When the last chunk of the snapshot arrived.
    last_progress: Millis,
}

impl IncomingSnapshot {
    fn matches_offer(&self, offer: &SnapshotOffer) -> bool {
        self.offer.position == offer.position
            && self.offer.checksum == offer.checksum
            && self.offer.length == offer.length
    }

    fn missing_bytes(&self) -> u64 {
        self.offer.length.saturating_sub(self.bytes.len() as u64)
    }
}

/// The peer that a replica catches up from.
#[derive(Clone, Debug)]
pub(crate) struct CatchUpSource {
    pub replica: ReplicaId,
    /// When the peer was chosen or last sent a chunk.
    pub last_progress: Millis,
}

/// The state of catching up.
#[derive(Clone, Debug, Default)]
pub(crate) struct CatchUp {
    /// The peer that receives the requests. `None` while nothing is missing, or no peer is known
    /// that could have it.
    pub source: Option<CatchUpSource>,
    /// The snapshot that is being received. The transfer resumes where it stopped, also from
    /// another peer that has the same snapshot.
    pub incoming: Option<IncomingSnapshot>,
    /// No request is sent before this time.
    pub next_request: Millis,
}

impl CatchUp {
    /// Decides whether to switch to an offered snapshot. Chunks that were already received of the
    /// same snapshot are kept. A snapshot at a later position than the offer is kept as well,
    /// unless no chunk of it has arrived since `stalled_since`: otherwise the transfer would
    /// alternate forever between two peers with different snapshots.
    pub(crate) fn consider_offer(
        &mut self,
        now: Millis,
        stalled_since: Millis,
        offer: SnapshotOffer,
    ) {
        let keeps_current = self.incoming.as_ref().is_some_and(|current| {
            let is_later = current.offer.position > offer.position;
            let advances = current.last_progress > stalled_since;
            current.matches_offer(&offer) || (is_later && advances)
        });
        if keeps_current {
            return;
        }
        self.incoming = Some(IncomingSnapshot {
            offer,
            bytes: Vec::new(),
            last_progress: now,
        });
    }

    /// Adds a chunk. Returns the snapshot once it is complete and its checksum matches. A snapshot
    /// with a wrong checksum is dropped and requested again.
    pub(crate) fn add_chunk(
        &mut self,
        now: Millis,
        chunk: &SnapshotChunk,
    ) -> Option<IncomingSnapshot> {
        let incoming = self
            .incoming
            .as_mut()
            .filter(|incoming| incoming.offer.position == chunk.position)?;
        let is_next = chunk.offset == incoming.bytes.len() as u64;
        if !is_next || chunk.bytes.len() as u64 > incoming.missing_bytes() {
            return None;
        }
        incoming.bytes.extend_from_slice(&chunk.bytes);
        incoming.last_progress = now;
        if incoming.missing_bytes() > 0 {
            return None;
        }
        self.incoming
            .take()
            .filter(|complete| crc32c::crc32c(&complete.bytes) == complete.offer.checksum)
    }
}
