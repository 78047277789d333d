//! The queue of frames for one peer. It has three lanes, each with a limit in bytes.

use std::collections::VecDeque;
use tokio_util::bytes::Bytes;

const LANE_COUNT: usize = 3;

/// The priority of a frame. Frames of a lane are sent only while all earlier lanes are empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lane {
    /// Messages of the replicated log's consensus.
    #[allow(dead_code, reason = "the replicated log will use it")]
    Consensus,
    /// Entries of the replicated log.
    #[allow(dead_code, reason = "the replicated log will use it")]
    Replication,
    /// Hints. When the lane is full, its oldest frames are dropped to make room for new ones.
    BestEffort,
}

/// The lane has no space for the frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the outbox lane is full")]
pub(super) struct OutboxFull;

/// The frames of one lane, in the order in which they are sent.
#[derive(Debug, Default)]
struct LaneQueue {
    frames: VecDeque<Bytes>,
    /// Total length of the frames, in bytes.
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

/// The frames that are queued for one peer.
#[derive(Debug)]
pub(super) struct Outbox {
    lanes: [LaneQueue; LANE_COUNT],
    /// Maximum total length of the frames in each lane, in bytes.
    limit: usize,
    /// Number of best-effort frames that were dropped for newer ones.
    pub dropped: u64,
}

impl Outbox {
    /// Creates an empty outbox with space for `limit` bytes in each lane.
    pub(super) fn new(limit: usize) -> Outbox {
        Outbox {
            lanes: Default::default(),
            limit,
            dropped: 0,
        }
    }

    /// Appends a frame to its lane. When the best-effort lane is full, its oldest frames are
    /// dropped. When another lane is full, or the frame alone exceeds the limit, the frame is
    /// refused with [`OutboxFull`].
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

    /// Removes the next frame to send: the first one of the highest-priority lane that is not
    /// empty.
    pub(super) fn pop(&mut self) -> Option<Bytes> {
        self.lanes.iter_mut().find_map(LaneQueue::pop)
    }

    /// Whether no frame is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.lanes.iter().all(|lane| lane.frames.is_empty())
    }

    /// Drops all frames. They are out of date once the peer could not be reached for long.
    pub(super) fn clear(&mut self) {
        self.lanes = Default::default();
    }
}

#[cfg(test)]
mod tests;
