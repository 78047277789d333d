//! How the gateway's file descriptors and memory are divided between client and backend connections.

use std::time::Duration;

/// Most bytes that a connection buffers in each direction; a longer request head is answered 431.
pub(crate) const CONNECTION_BUFFER_BYTES: usize = 32 * 1024;

/// Pause before the next `accept` when one failed, as it does when no descriptor is free.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Descriptors that no connection may take: those of discovery, the listeners and the runtime.
const RESERVED_DESCRIPTORS: usize = 24;
/// Backend connections may take one part in this many of the memory, with the read and write buffer of each full.
const UPSTREAM_MEMORY_DIVISOR: usize = 3;
/// Backend connections that a small memory limit leaves in any case, as far as descriptors allow.
const MIN_UPSTREAM_CONNECTIONS: usize = 16;

/// The descriptors, out of `descriptors` of the process, that backend connections may take: two fifths of those not
/// reserved. Clients' requests hold a third of the descriptors at most, and a request has one attempt in flight.
fn upstream_descriptors(descriptors: usize) -> usize {
    descriptors.saturating_sub(RESERVED_DESCRIPTORS) * 2 / 5
}

/// The most connections to backends, for a process with `descriptors` descriptors and `memory` bytes; the scarcer of the
/// two decides.
pub(crate) fn upstream_connection_limit(descriptors: usize, memory: usize) -> usize {
    let buffers_per_connection = 2 * CONNECTION_BUFFER_BYTES;
    let within_memory = memory / UPSTREAM_MEMORY_DIVISOR / buffers_per_connection;
    upstream_descriptors(descriptors).min(within_memory.max(MIN_UPSTREAM_CONNECTIONS))
}

/// The most client connections, idle ones included, for a process with `descriptors` descriptors: all that are neither
/// reserved nor the backends'.
pub(crate) fn client_connection_limit(descriptors: usize) -> usize {
    descriptors.saturating_sub(RESERVED_DESCRIPTORS) - upstream_descriptors(descriptors)
}

#[cfg(test)]
mod tests;
