//! The memory that clients make the gateway hold while it reads their requests: read buffers and request bodies.
//!
//! Each connection may hold a little without a reservation: a small read buffer, a short body and a short read-ahead.
//! All beyond that is reserved from one budget for read buffers and one for bodies. A connection that waits for the
//! memory of a body may hold a read buffer and never the other way round, so that no two wait for each other. When a
//! budget does not suffice, a connection reads no further until memory has been returned, and the connections that have
//! held the most memory for the longest time while the gateway waits for their clients are closed. A request that has
//! been read completely keeps its memory until its last attempt has ended, and its connection is not closed for memory
//! before it has been answered.

use super::state::{CloseMode, ConnectionState};
use super::DownstreamConnections;
use crate::net::runtime::capacity::{MemoryShares, SMALL_READ_BUFFER_BYTES};
use crate::net::runtime::memory::{MemoryBudget, OutOfMemory, Reservation};
use cometspool::Millis;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// Shortest time between two searches for connections to close, in milliseconds: a search looks at all connections, and
/// hundreds may wait.
const EVICTION_INTERVAL: Millis = 10.0;
/// How long to wait for the memory of closed connections before the next search.
const EVICTION_WAIT: Duration = Duration::from_millis(20);
/// How long a connection may hold memory before it can be closed for that, in milliseconds. A client that sends or reads
/// at full speed needs it for less.
pub(super) const HOLDING_GRACE: Millis = 100.0;
/// How long a connection waits for memory, in milliseconds.
const MAX_MEMORY_WAIT: Millis = 1000.0;

/// What memory is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MemoryUse {
    /// Read buffers of long request heads, and long read-ahead.
    ReadBuffer,
    /// Request bodies.
    Body,
}

/// The memory for all connections.
pub(super) struct ClientMemory {
    read_buffers: SharedBudget,
    bodies: SharedBudget,
}

/// A budget, and the memory that connections wait for.
struct SharedBudget {
    budget: MemoryBudget,
    waiting_bytes: Cell<usize>,
    /// When connections to close were searched for last.
    searched_at: Cell<Millis>,
}

impl SharedBudget {
    fn new(bytes: usize) -> SharedBudget {
        SharedBudget {
            budget: MemoryBudget::new(bytes),
            waiting_bytes: Cell::new(0),
            searched_at: Cell::new(f64::NEG_INFINITY),
        }
    }
}

impl ClientMemory {
    /// The shares of client connections in a process with `memory` bytes.
    pub(super) fn new(memory: usize) -> ClientMemory {
        let shares = MemoryShares::of(memory);
        ClientMemory {
            read_buffers: SharedBudget::new(shares.read_buffers),
            bodies: SharedBudget::new(shares.request_bodies),
        }
    }

    /// The budget of read buffers.
    pub(super) fn read_buffer_budget(&self) -> &MemoryBudget {
        &self.read_buffers.budget
    }

    fn shared_budget(&self, usage: MemoryUse) -> &SharedBudget {
        match usage {
            MemoryUse::ReadBuffer => &self.read_buffers,
            MemoryUse::Body => &self.bodies,
        }
    }
}

/// The memory that one connection holds beyond what needs no reservation.
#[derive(Debug, Default)]
pub(super) struct ConnectionMemory {
    /// Bytes read from the client since the last complete request.
    received_bytes: Cell<usize>,
    /// The reservation of a large read buffer. It is held until the connection ends, since hyper keeps the buffer.
    read_buffer: RefCell<Option<Reservation>>,
    /// Memory reserved for the body that is being read, in bytes.
    body_bytes: Cell<usize>,
    /// Whether a body is being read. hyper then reads only when its read buffer is empty.
    is_reading_body: Cell<bool>,
    /// When memory was reserved last.
    reserved_at: Cell<Millis>,
}

impl ConnectionMemory {
    /// How many bytes may be read into the read buffer now; 0 if memory has to be reserved first.
    pub(super) fn readable_bytes(&self) -> usize {
        if self.has_large_read_buffer() {
            return usize::MAX;
        }
        if self.is_reading_body.get() {
            return SMALL_READ_BUFFER_BYTES;
        }
        SMALL_READ_BUFFER_BYTES.saturating_sub(self.received_bytes.get())
    }

    /// Records that bytes were read into the read buffer.
    pub(super) fn record_received(&self, bytes: usize) {
        let total = self.received_bytes.get().saturating_add(bytes);
        self.received_bytes.set(total);
    }

    /// Records that a request is complete, so that the next bytes belong to another one.
    pub(super) fn request_completed(&self) {
        self.received_bytes.set(0);
        self.body_ended();
    }

    /// Whether a large read buffer is reserved.
    pub(super) fn has_large_read_buffer(&self) -> bool {
        self.read_buffer.borrow().is_some()
    }

    /// Keeps the reservation of a large read buffer.
    pub(super) fn set_read_buffer(&self, now: Millis, reservation: Reservation) {
        self.reserved_at.set(now);
        self.read_buffer.replace(Some(reservation));
    }

    /// Records that a body is being read from now on.
    pub(super) fn body_started(&self) {
        self.is_reading_body.set(true);
    }

    /// Records the memory that is reserved for the body that is being read.
    pub(super) fn set_body_bytes(&self, now: Millis, bytes: usize) {
        self.reserved_at.set(now);
        self.body_bytes.set(bytes);
    }

    /// Records that no body is being read any more.
    pub(super) fn body_ended(&self) {
        self.is_reading_body.set(false);
        self.body_bytes.set(0);
    }

    /// When memory was reserved last.
    pub(super) fn reserved_at(&self) -> Millis {
        self.reserved_at.get()
    }

    /// The memory of this use that is returned when the connection is closed, in bytes.
    pub(super) fn held_bytes(&self, usage: MemoryUse) -> usize {
        match usage {
            MemoryUse::ReadBuffer => {
                let read_buffer = self.read_buffer.borrow();
                read_buffer.as_ref().map_or(0, Reservation::bytes)
            }
            MemoryUse::Body => self.body_bytes.get(),
        }
    }
}

/// How a connection may be closed for its memory.
pub(super) struct MemoryEviction {
    pub(super) mode: CloseMode,
    /// How long the connection has held its memory, or has been idle, in milliseconds.
    pub(super) held_for: Millis,
}

/// A connection that may be closed to get its memory back.
struct MemoryHolder {
    connection: Rc<ConnectionState>,
    close_mode: CloseMode,
    held_bytes: usize,
    /// The product of the held bytes and the time for which they have been held.
    byte_millis: f64,
}

impl DownstreamConnections {
    /// Reserves memory for a connection, and closes connections to get it if the budget does not suffice.
    ///
    /// # Errors
    ///
    /// [`OutOfMemory`] if the memory cannot be had within [`MAX_MEMORY_WAIT`].
    pub(super) async fn reserve_memory(
        &self,
        usage: MemoryUse,
        bytes: usize,
    ) -> Result<Reservation, OutOfMemory> {
        let shared = self.memory.shared_budget(usage);
        if let Ok(reservation) = shared.budget.try_reserve(bytes) {
            return Ok(reservation);
        }
        let _waiting = MemoryWait::begin(&shared.waiting_bytes, bytes);
        let give_up_at = self.context.clock.now() + MAX_MEMORY_WAIT;
        let mut reserving = std::pin::pin!(shared.budget.reserve(bytes));
        loop {
            let now = self.context.clock.now();
            if now >= give_up_at {
                return Err(OutOfMemory);
            }
            self.evict_for_memory(usage, now);
            if let Ok(reserved) = tokio::time::timeout(EVICTION_WAIT, reserving.as_mut()).await {
                return reserved;
            }
        }
    }

    /// Closes connections until the memory that they return covers what connections wait for, as far as there are any
    /// that may be closed.
    fn evict_for_memory(&self, usage: MemoryUse, now: Millis) {
        let shared = self.memory.shared_budget(usage);
        if now - shared.searched_at.get() < EVICTION_INTERVAL {
            return;
        }
        shared.searched_at.set(now);
        let waiting_bytes = shared.waiting_bytes.get();
        let mut missing = waiting_bytes.saturating_sub(self.closing_bytes(usage));
        for holder in self.memory_holders(usage, now) {
            if missing == 0 {
                break;
            }
            holder.connection.request_close(holder.close_mode);
            missing = missing.saturating_sub(holder.held_bytes);
        }
    }

    /// The memory that connections return whose close has been requested.
    fn closing_bytes(&self, usage: MemoryUse) -> usize {
        let open = self.open.borrow();
        let closing = open.values().filter(|connection| connection.is_closing());
        closing
            .map(|connection| connection.memory().held_bytes(usage))
            .sum()
    }

    /// The connections that may be closed for their memory, those that have held the most for the longest time first.
    fn memory_holders(&self, usage: MemoryUse, now: Millis) -> Vec<MemoryHolder> {
        let mut holders = Vec::new();
        for connection in self.open.borrow().values() {
            let held_bytes = connection.memory().held_bytes(usage);
            if held_bytes == 0 {
                continue;
            }
            let Some(eviction) = connection.memory_eviction(now) else {
                continue;
            };
            holders.push(MemoryHolder {
                connection: connection.clone(),
                close_mode: eviction.mode,
                held_bytes,
                byte_millis: held_bytes as f64 * eviction.held_for,
            });
        }
        holders.sort_by(|a, b| b.byte_millis.total_cmp(&a.byte_millis));
        holders
    }
}

/// The wait of a connection for memory. Dropping it ends the wait.
struct MemoryWait<'a> {
    waiting_bytes: &'a Cell<usize>,
    bytes: usize,
}

impl<'a> MemoryWait<'a> {
    fn begin(waiting_bytes: &'a Cell<usize>, bytes: usize) -> MemoryWait<'a> {
        waiting_bytes.set(waiting_bytes.get() + bytes);
        MemoryWait {
            waiting_bytes,
            bytes,
        }
    }
}

impl Drop for MemoryWait<'_> {
    fn drop(&mut self) {
        let others = self.waiting_bytes.get() - self.bytes;
        self.waiting_bytes.set(others);
    }
}
