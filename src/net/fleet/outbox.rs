//! What waits to go out to one peer: three lanes, each with a limit.

use std::collections::VecDeque;
use tokio_util::bytes::Bytes;

/// How urgent a frame is: a lane goes out only while those before it are empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lane {
    /// Messages of the record's consensus.
    #[allow(dead_code, reason = "the record is its user")]
    Consensus,
    /// Copies of the record.
    #[allow(dead_code, reason = "the record is its user")]
    Replication,
    /// Hints: of too many, the oldest are dropped.
    BestEffort,
}

/// There is no room in a lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Full;

/// Frames on their way to one peer.
#[derive(Debug)]
pub(super) struct Outbox {
    lanes: [VecDeque<Bytes>; 3],
    bytes: [usize; 3],
    /// Bytes in each lane at most.
    limit: usize,
    /// Best-effort frames that were dropped for newer ones.
    pub dropped: u64,
}

impl Outbox {
    /// An empty one with room for `limit` bytes in each lane.
    pub(super) fn new(limit: usize) -> Outbox {
        Outbox {
            lanes: Default::default(),
            bytes: [0; 3],
            limit,
            dropped: 0,
        }
    }

    /// Puts a frame at the end of its lane.
    pub(super) fn push(&mut self, lane: Lane, frame: Bytes) -> Result<(), Full> {
        let (at, limit) = (lane as usize, self.limit);
        if frame.len() > limit {
            return Err(Full);
        }
        while self.bytes[at] + frame.len() > limit {
            if lane != Lane::BestEffort {
                return Err(Full);
            }
            let Some(oldest) = self.lanes[at].pop_front() else {
                break;
            };
            self.bytes[at] -= oldest.len();
            self.dropped += 1;
        }
        self.bytes[at] += frame.len();
        self.lanes[at].push_back(frame);
        Ok(())
    }

    /// Takes the frame that goes next.
    pub(super) fn pop(&mut self) -> Option<Bytes> {
        let at = self.lanes.iter().position(|lane| !lane.is_empty())?;
        let frame = self.lanes[at].pop_front()?;
        self.bytes[at] -= frame.len();
        Some(frame)
    }

    /// Whether nothing waits.
    pub(super) fn is_empty(&self) -> bool {
        self.lanes.iter().all(VecDeque::is_empty)
    }

    /// Forgets all that waits: what is told to nobody for too long is old.
    pub(super) fn clear(&mut self) {
        (self.lanes, self.bytes) = Default::default();
    }
}

#[cfg(test)]
mod tests;
