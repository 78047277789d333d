//! Eviction: chooses the connection to close for a new one when the connection limit is reached.

use super::eviction_rank::EvictionKind;
use super::state::{CloseMode, ConnectionState};
use super::DownstreamConnections;
use cometspool::Millis;
use std::rc::Rc;
use std::time::Duration;

/// How long to wait for an evicted connection to close before the next candidate is chosen.
const EVICTION_WAIT: Duration = Duration::from_millis(20);

/// A connection that may be evicted, and its kind.
struct EvictionCandidate {
    kind: EvictionKind,
    connection: Rc<ConnectionState>,
}

impl DownstreamConnections {
    /// Waits until the number of open connections is below the limit, evicting one connection at a time.
    ///
    /// A new connection has already been accepted and takes a file descriptor of this process, so a free slot has to be
    /// found quickly. While no connection may be evicted, each response closes its connection until a slot is free.
    pub(super) async fn wait_for_free_slot(&self) {
        while self.open.borrow().len() >= self.limit {
            match self.eviction_candidate(self.context.clock.now()) {
                Some(candidate) => candidate.evict(),
                None => self.keep_alive_disabled.set(true),
            }
            // The loop checks the limit again in both cases, after a close and after the timeout.
            let _ = tokio::time::timeout(EVICTION_WAIT, self.closed.notified()).await;
        }
        self.keep_alive_disabled.set(false);
    }

    /// The connection with the highest eviction rank among those without unread bytes; `None` if no connection may be
    /// evicted.
    fn eviction_candidate(&self, now: Millis) -> Option<EvictionCandidate> {
        let open = self.open.borrow();
        let mut ranked = Vec::new();
        for connection in open.values() {
            if let Some(rank) = connection.eviction_rank(now) {
                ranked.push((rank, connection));
            }
        }
        ranked.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        // Sorted before the check for unread bytes, since each check is a system call.
        let (rank, connection) = ranked
            .into_iter()
            .find(|(_, connection)| !connection.has_unread_bytes())?;
        Some(EvictionCandidate {
            kind: rank.kind,
            connection: connection.clone(),
        })
    }
}

impl EvictionCandidate {
    fn evict(&self) {
        let mode = match self.kind {
            // A graceful close still answers a request that has begun to arrive in the meantime.
            EvictionKind::Idle => CloseMode::Graceful,
            EvictionKind::SlowRequest | EvictionKind::Unused => CloseMode::UnlessRequestRead,
        };
        self.connection.request_close(mode);
    }
}
