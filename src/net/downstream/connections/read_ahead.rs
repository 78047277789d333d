//! Pipelined bytes that are read behind a request that awaits its response.

use crate::net::runtime::capacity::{CONNECTION_BUFFER_BYTES, MAX_UNRESERVED_BYTES};
use crate::net::runtime::memory::{MemoryBudget, Reservation};
use std::collections::VecDeque;
use tokio::io::ReadBuf;

/// A buffer of at most [`CONNECTION_BUFFER_BYTES`], or of [`MAX_UNRESERVED_BYTES`] while no memory is available for
/// more.
#[derive(Debug)]
pub(super) struct ReadAhead {
    bytes: VecDeque<u8>,
    budget: MemoryBudget,
    /// The reservation of a buffer that is longer than [`MAX_UNRESERVED_BYTES`].
    reservation: Option<Reservation>,
    overflowed: bool,
}

impl ReadAhead {
    /// An empty buffer that reserves memory from `budget`.
    pub(super) fn new(budget: MemoryBudget) -> ReadAhead {
        ReadAhead {
            bytes: VecDeque::new(),
            budget,
            reservation: None,
            overflowed: false,
        }
    }

    /// Stores as many of these bytes as fit, and drops the rest.
    pub(super) fn store(&mut self, bytes: &[u8]) {
        let total = self.bytes.len() + bytes.len();
        if total > MAX_UNRESERVED_BYTES && self.reservation.is_none() && !self.overflowed {
            self.reservation = self.budget.try_reserve(CONNECTION_BUFFER_BYTES).ok();
        }
        let capacity = match self.reservation {
            Some(_) => CONNECTION_BUFFER_BYTES,
            None => MAX_UNRESERVED_BYTES,
        };
        let free = capacity.saturating_sub(self.bytes.len());
        let fitting = bytes.len().min(free);
        if !self.overflowed {
            self.bytes.extend(&bytes[..fitting]);
        }
        self.overflowed |= fitting < bytes.len();
    }

    /// Moves stored bytes to `buf`, at most `limit`. Returns whether there were any.
    pub(super) fn take(&mut self, buf: &mut ReadBuf<'_>, limit: usize) -> bool {
        let (front, _) = self.bytes.as_slices();
        let count = front.len().min(buf.remaining()).min(limit);
        buf.put_slice(&front[..count]);
        self.bytes.drain(..count);
        if self.bytes.is_empty() {
            self.bytes = VecDeque::new();
            self.reservation = None;
        }
        count > 0
    }

    /// Whether bytes were dropped. The bytes after them can then not be trusted to begin a request.
    pub(super) fn has_overflowed(&self) -> bool {
        self.overflowed
    }

    /// Whether the next byte of the stream was dropped, so that nothing more can be read from the connection.
    pub(super) fn next_byte_was_dropped(&self) -> bool {
        self.overflowed && self.bytes.is_empty()
    }
}
