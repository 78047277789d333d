//! Divides the file descriptors and the memory of the process between client and backend connections.

use std::time::Duration;

/// Maximum number of bytes that a connection buffers in each direction. A longer request head is answered with 431.
pub(crate) const CONNECTION_BUFFER_BYTES: usize = 32 * 1024;

/// Longest request or response body for which no memory is reserved on the side of the client, in bytes.
pub(crate) const MAX_UNRESERVED_BYTES: usize = 4 * 1024;

/// Pause after a failed `accept` before the next one. `accept` fails when no file descriptor is free.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Number of file descriptors that are not available to connections: those of discovery, the listeners and the runtime.
const RESERVED_DESCRIPTORS: usize = 24;
/// Divisor of the memory limit that gives the share of backend connections when all their read and write buffers are
/// full.
const UPSTREAM_MEMORY_DIVISOR: usize = 3;
/// Divisor of the memory limit that gives the share of requests: read buffers of clients and request bodies.
const REQUEST_MEMORY_DIVISOR: usize = 6;
/// Divisor of the memory limit that gives the share of responses that are being written to clients.
const RESPONSE_MEMORY_DIVISOR: usize = 8;
/// Minimum of the shares of requests and of responses under a small memory limit, in bytes: one of the longest fits.
const MIN_CLIENT_MEMORY: usize = 128 * 1024;
/// Minimum number of backend connections under a small memory limit, as far as the descriptors allow.
const MIN_UPSTREAM_CONNECTIONS: usize = 16;

/// The number of file descriptors for backend connections: two fifths of those of the process that are not reserved.
/// Requests of clients take at most a third of the descriptors, and each request has one attempt in flight.
fn upstream_descriptors(descriptors: usize) -> usize {
    descriptors.saturating_sub(RESERVED_DESCRIPTORS) * 2 / 5
}

/// Maximum number of backend connections for a process with `descriptors` file descriptors and `memory` bytes of
/// memory. The scarcer of the two resources determines the limit.
pub(crate) fn upstream_connection_limit(descriptors: usize, memory: usize) -> usize {
    let buffers_per_connection = 2 * CONNECTION_BUFFER_BYTES;
    let within_memory = memory / UPSTREAM_MEMORY_DIVISOR / buffers_per_connection;
    upstream_descriptors(descriptors).min(within_memory.max(MIN_UPSTREAM_CONNECTIONS))
}

/// The memory that all requests of clients may take in a process with `memory` bytes, beyond what each connection may
/// hold without a reservation.
pub(crate) fn request_memory(memory: usize) -> usize {
    (memory / REQUEST_MEMORY_DIVISOR).max(MIN_CLIENT_MEMORY)
}

/// The memory that all responses may take that are being written to clients, beyond the short ones.
pub(crate) fn response_memory(memory: usize) -> usize {
    (memory / RESPONSE_MEMORY_DIVISOR).max(MIN_CLIENT_MEMORY)
}

/// Maximum number of client connections, including idle ones, for a process with `descriptors` file descriptors: all
/// that are neither reserved nor available to backend connections.
pub(crate) fn client_connection_limit(descriptors: usize) -> usize {
    descriptors.saturating_sub(RESERVED_DESCRIPTORS) - upstream_descriptors(descriptors)
}

#[cfg(test)]
mod tests;
