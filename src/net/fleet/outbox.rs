//! Frames that wait to be sent to one peer: three lanes, each with a limit.

use std::collections::VecDeque;
use tokio_util::bytes::Bytes;

const LANE_COUNT: usize = 3;

/// The priority of a frame: frames of a lane are sent only while the lanes before it are empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lane {
    /// Messages of the replicated log's consensus.
    #[allow(dead_code, reason = "the replicated log will use it")]
    Consensus,
    /// Entries of the replicated log.
    #[allow(dead_code, reason = "the replicated log will use it")]
    Replication,
    /// Hints: where too many wait, the oldest are dropped.
    BestEffort,
}

/// The lane has no space for the frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the lane has no space for the frame")]
pub(super) struct OutboxFull;

/// The frames of one lane, in the order in which they are sent.
#[derive(Debug, Default)]
struct LaneQueue {
    frames: VecDeque<Bytes>,
    /// Bytes of all the frames.
    bytes: usize,
}

impl LaneQueue {
    fn push(&mut self, frame: Bytes) {
        self.bytes += frame.len();
        self.frames.push_back(frame);
    }

    fn pop(&mut self) -> Option<Bytes> {
        let frame = self.frames.pop_front()?;
        self.bytes -= frame.len();
        Some(frame)
    }
}

/// Frames that wait for one peer.
#[derive(Debug)]
pub(super) struct Outbox {
    lanes: [LaneQueue; LANE_COUNT],
    /// Bytes in each lane at most.
    limit: usize,
    /// Best-effort frames that were dropped for newer ones.
    pub dropped: u64,
}

impl Outbox {
    /// An empty outbox with space for `limit` bytes in each lane.
    pub(super) fn new(limit: usize) -> Outbox {
        Outbox {
            lanes: Default::default(),
            limit,
            dropped: 0,
        }
    }

    /// Puts a frame at the end of its lane. In the best-effort lane older frames are dropped for
    /// it; in others it is refused with [`OutboxFull`], as is a frame that is longer than the
    /// limit.
    pub(super) fn push(&mut self, lane: Lane, frame: Bytes) -> Result<(), OutboxFull> {
        if frame.len() > self.limit {
            return Err(OutboxFull);
        }
        let queue = &mut self.lanes[lane as usize];
        while queue.bytes + frame.len() > self.limit {
            if lane != Lane::BestEffort {
                return Err(OutboxFull);
            }
            if queue.pop().is_none() {
                break;
            }
            self.dropped += 1;
        }
        queue.push(frame);
        Ok(())
    }

    /// Removes the frame that is to be sent next.
    pub(super) fn pop(&mut self) -> Option<Bytes> {
        self.lanes.iter_mut().find_map(LaneQueue::pop)
    }

    /// Whether no frame waits.
    pub(super) fn is_empty(&self) -> bool {
        self.lanes.iter().all(|lane| lane.frames.is_empty())
    }

    /// Drops all frames: what a peer could not be sent for long is out of date.
    pub(super) fn clear(&mut self) {
        self.lanes = Default::default();
    }
}

#[cfg(test)]
mod tests;
