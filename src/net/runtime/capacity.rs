//! How a front door's descriptors and memory are shared out between its two sides.

use crate::net::messages::CONNECTION_BUFFER_BYTES;
use std::time::Duration;

/// Pause when the system has no descriptor for a new connection.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Descriptors kept for discovery, listening and the runtime.
const SPARE_SOCKETS: usize = 24;
/// Part of the memory that connections to backends may take, with both buffers of each full.
const MEMORY_PART: usize = 3;

/// Connections to backends that `sockets` descriptors leave room for. Clients hold a third of the descriptors
/// for requests at most, and a request has one attempt out.
fn descriptors(sockets: usize) -> usize {
    sockets.saturating_sub(SPARE_SOCKETS) * 2 / 5
}

/// Connections to backends that there is room for, in descriptors and in `memory` bytes; a few at least.
pub(crate) fn upstream_connection_limit(sockets: usize, memory: usize) -> usize {
    let within = memory / MEMORY_PART / (2 * CONNECTION_BUFFER_BYTES);
    descriptors(sockets).min(within.max(16))
}

/// Connections of clients that there is room for, besides: also of such that ask nothing.
pub(crate) fn client_connection_limit(sockets: usize) -> usize {
    sockets.saturating_sub(SPARE_SOCKETS) - descriptors(sockets)
}

#[cfg(test)]
mod tests;
