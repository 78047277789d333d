//! Divides the file descriptors and the memory of the process between client and backend connections.

use std::time::Duration;

/// Maximum number of bytes that a connection buffers in each direction. A longer request head is answered with 431.
pub(crate) const CONNECTION_BUFFER_BYTES: usize = 32 * 1024;

/// Longest request or response body for which no memory is reserved, in bytes.
pub(crate) const MAX_UNRESERVED_BYTES: usize = 4 * 1024;

/// Maximum size of a read buffer for which no memory is reserved, and of one read into it, in bytes.
pub(crate) const SMALL_READ_BUFFER_BYTES: usize = 4 * 1024;

/// Memory reserved for a larger read buffer, in bytes. Its capacity grows by half beyond [`CONNECTION_BUFFER_BYTES`].
pub(crate) const LARGE_READ_BUFFER_BYTES: usize = CONNECTION_BUFFER_BYTES * 3 / 2;

/// Pause after a failed `accept` before the next one. `accept` fails when no file descriptor is free.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Number of file descriptors that are not available to connections: those of discovery, the listeners and the runtime.
const RESERVED_DESCRIPTORS: usize = 24;
/// Memory of the process itself, in bytes: the program's own structures, its runtime and its endpoint list.
const PROCESS_BYTES: usize = 2 << 20;
/// Memory that one client connection takes without a reservation, in bytes: a small read buffer, a short body, a short
/// read-ahead, and the state of the connection and of its request.
const CLIENT_CONNECTION_BYTES: usize = 16 * 1024;
/// Memory that one backend connection takes without a reservation, in bytes: a small read buffer, the head of a request,
/// a short response, and the state of the connection and of its attempt.
const UPSTREAM_CONNECTION_BYTES: usize = 16 * 1024;

/// Memory that one customer takes that the policy remembers, in bytes: its entry, its place in the index, and what is
/// kept of one that was evicted.
const CUSTOMER_BYTES: usize = 256;

/// Divisor of the memory limit that gives what is left to the allocator.
const ALLOCATOR_DIVISOR: usize = 20;
/// Minimum number of customers under a small memory limit.
const MIN_CUSTOMERS: usize = 1024;

/// Share of client connections, in thousandths of the divided memory.
const CLIENT_CONNECTION_PERMILLE: usize = 320;
/// Divisor of the memory limit that gives the share of backend connections.
const UPSTREAM_CONNECTION_DIVISOR: usize = 12;
/// Share of read buffers of clients with long request heads, in thousandths of the divided memory.
const READ_BUFFER_PERMILLE: usize = 40;
/// Share of request bodies, in thousandths of the divided memory.
const REQUEST_BODY_PERMILLE: usize = 170;
/// Share of responses up to the agreed length, in thousandths of the divided memory.
const RESPONSE_PERMILLE: usize = 130;
/// Share of what exceeds that length, in thousandths of the divided memory.
const LONG_RESPONSE_PERMILLE: usize = 90;
/// Minimum of the shares of read buffers, request bodies and responses under a small memory limit, in bytes: one of the
/// longest fits.
const MIN_SHARE_BYTES: usize = 128 * 1024;
/// Minimum number of client connections under a small memory limit, as far as the descriptors allow.
const MIN_CLIENT_CONNECTIONS: usize = 64;
/// Minimum number of backend connections under a small memory limit, as far as the descriptors allow.
const MIN_UPSTREAM_CONNECTIONS: usize = 16;

/// The shares of memory that are reserved byte by byte. Together with the process itself and what each connection takes
/// without a reservation, they stay below the memory limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MemoryShares {
    /// Read buffers of clients whose request heads are long, and long read-ahead.
    pub read_buffers: usize,
    /// Request bodies that are not short, from the first byte read until the last attempt has ended.
    pub request_bodies: usize,
    /// Responses that are not short, from before they are read until they are written to the client.
    pub responses: usize,
    /// Responses beyond the agreed length, and long response heads.
    pub long_responses: usize,
}

impl MemoryShares {
    /// The shares of a process with `memory` bytes.
    pub(crate) fn of(memory: usize) -> MemoryShares {
        let share = |permille: usize| divisible(memory) / 1000 * permille;
        MemoryShares {
            read_buffers: share(READ_BUFFER_PERMILLE).max(MIN_SHARE_BYTES),
            request_bodies: share(REQUEST_BODY_PERMILLE).max(MIN_SHARE_BYTES),
            responses: share(RESPONSE_PERMILLE).max(MIN_SHARE_BYTES),
            long_responses: share(LONG_RESPONSE_PERMILLE),
        }
    }

    /// The sum of the shares.
    fn total(&self) -> usize {
        self.read_buffers + self.request_bodies + self.responses + self.long_responses
    }
}

/// The memory that is divided into shares, of a process with `memory` bytes.
fn divisible(memory: usize) -> usize {
    memory.saturating_sub(PROCESS_BYTES)
}

/// The number of file descriptors for backend connections: two fifths of those of the process that are not reserved.
/// Requests of clients take at most a third of the descriptors, and each request has one attempt in flight.
fn upstream_descriptors(descriptors: usize) -> usize {
    descriptors.saturating_sub(RESERVED_DESCRIPTORS) * 2 / 5
}

/// Maximum number of backend connections for a process with `descriptors` file descriptors and `memory` bytes of
/// memory. The scarcer of the two resources determines the limit.
pub(crate) fn upstream_connection_limit(descriptors: usize, memory: usize) -> usize {
    let within_memory = memory / UPSTREAM_CONNECTION_DIVISOR / UPSTREAM_CONNECTION_BYTES;
    upstream_descriptors(descriptors).min(within_memory.max(MIN_UPSTREAM_CONNECTIONS))
}

/// Maximum number of client connections, including idle ones, for a process with `descriptors` file descriptors and
/// `memory` bytes of memory: all descriptors that are neither reserved nor available to backend connections, as far as
/// the memory suffices.
pub(crate) fn client_connection_limit(descriptors: usize, memory: usize) -> usize {
    let share = divisible(memory) / 1000 * CLIENT_CONNECTION_PERMILLE;
    let within_memory = share / CLIENT_CONNECTION_BYTES;
    let available =
        descriptors.saturating_sub(RESERVED_DESCRIPTORS) - upstream_descriptors(descriptors);
    available.min(within_memory.max(MIN_CLIENT_CONNECTIONS))
}

/// Maximum number of customers that the policy of a process with `descriptors` file descriptors and `memory` bytes of
/// memory remembers: the memory that nothing else can take.
pub(crate) fn customer_limit(descriptors: usize, memory: usize) -> usize {
    let available = memory - memory / ALLOCATOR_DIVISOR;
    let free = available.saturating_sub(most_without_customers(descriptors, memory));
    (free / CUSTOMER_BYTES).max(MIN_CUSTOMERS)
}

/// The most memory that a process with `descriptors` file descriptors and `memory` bytes of memory takes, apart from the
/// customers that the policy remembers.
fn most_without_customers(descriptors: usize, memory: usize) -> usize {
    let clients = client_connection_limit(descriptors, memory) * CLIENT_CONNECTION_BYTES;
    let backends = upstream_connection_limit(descriptors, memory) * UPSTREAM_CONNECTION_BYTES;
    PROCESS_BYTES + clients + backends + MemoryShares::of(memory).total()
}

#[cfg(test)]
mod tests;
