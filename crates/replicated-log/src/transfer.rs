//! How a lagging replica catches up: with entries where others still have them, else with a
//! snapshot in chunks.

use crate::entry::Entry;
use crate::identity::{Configuration, Position, ReplicaId};
use crate::message::{SnapshotChunk, SnapshotOffer};
use crate::settings::Millis;
use std::sync::Arc;

/// The state at a position, as bytes, kept until there is a later one.
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

    /// The chunk at an offset, of at most `max_length` bytes.
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

/// The end of the previous configuration, for its voters that missed it.
#[derive(Clone, Debug)]
pub(crate) struct PreviousConfiguration {
    /// Its number.
    pub number: u32,
    /// The index of the first of `entries`.
    pub first_index: u64,
    /// Its entries from there to its end.
    pub entries: Vec<Entry>,
    /// The configuration that follows it.
    pub next: Configuration,
}

/// A snapshot of which some chunks have arrived.
#[derive(Clone, Debug)]
pub(crate) struct IncomingSnapshot {
    pub offer: SnapshotOffer,
    /// The bytes that have arrived, from the first on.
    pub bytes: Vec<u8>,
    /// When a part of it last arrived.
    last_progress: Millis,
}

impl IncomingSnapshot {
    fn is_of(&self, offer: &SnapshotOffer) -> bool {
        self.offer.position == offer.position
            && self.offer.checksum == offer.checksum
            && self.offer.length == offer.length
    }

    fn missing(&self) -> u64 {
        self.offer.length.saturating_sub(self.bytes.len() as u64)
    }
}

/// The peer that a replica catches up from.
#[derive(Clone, Debug)]
pub(crate) struct CatchUpSource {
    pub replica: ReplicaId,
    /// When it was chosen or last sent a chunk.
    pub last_progress: Millis,
}

/// The progress of catching up.
#[derive(Clone, Debug, Default)]
pub(crate) struct CatchUp {
    /// The peer that is asked; none while there is nothing to ask for, or no peer to ask.
    pub source: Option<CatchUpSource>,
    /// A snapshot that is arriving. The transfer resumes where it stopped, also from another peer
    /// that has the same snapshot.
    pub incoming: Option<IncomingSnapshot>,
    /// Nothing is asked for before this time.
    pub next_request: Millis,
}

impl CatchUp {
    /// Considers an offer. What has arrived of the same snapshot stays. One that is arriving is
    /// given up only for a later one, unless none of it has arrived since `stalled_since`:
    /// otherwise two peers with different snapshots would alternate forever.
    pub(crate) fn offered(&mut self, now: Millis, stalled_since: Millis, offer: SnapshotOffer) {
        let keeps_current = self.incoming.as_ref().is_some_and(|current| {
            let is_later = current.offer.position > offer.position;
            let advances = current.last_progress > stalled_since;
            current.is_of(&offer) || (is_later && advances)
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

    /// Adds a chunk. Returns the snapshot once it is complete and its checksum is right; one whose
    /// checksum is wrong is dropped, to be asked for again.
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
        if !is_next || chunk.bytes.len() as u64 > incoming.missing() {
            return None;
        }
        incoming.bytes.extend_from_slice(&chunk.bytes);
        incoming.last_progress = now;
        if incoming.missing() > 0 {
            return None;
        }
        self.incoming
            .take()
            .filter(|complete| crc32c::crc32c(&complete.bytes) == complete.offer.checksum)
    }
}
