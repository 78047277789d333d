//! Eviction: which connection is closed to make room for a new one when as many are open as the descriptors allow.

use super::eviction_rank::EvictionKind;
use super::state::{CloseMode, ConnectionState};
use super::DownstreamConnections;
use cometspool::Millis;
use std::rc::Rc;
use std::time::Duration;

/// How long a new connection waits for an evicted one to close before the next candidate is chosen.
const EVICTION_WAIT: Duration = Duration::from_millis(20);

/// A connection that may be evicted.
struct EvictionCandidate {
    kind: EvictionKind,
    connection: Rc<ConnectionState>,
}

impl DownstreamConnections {
    /// Waits until one more connection may be open, evicting one at a time.
    ///
    /// A connection that the system has accepted takes a descriptor of this process already, so it is never left waiting
    /// for long. Where nothing may be evicted, responses close their connections until there is room.
    pub(super) async fn wait_for_free_slot(&self) {
        while self.open.borrow().len() >= self.limit {
            match self.eviction_candidate(self.context.clock.now()) {
                Some(candidate) => candidate.evict(),
                None => self.keep_alive_disabled.set(true),
            }
            // Whether one has closed or the wait is over, the loop looks again.
            let _ = tokio::time::timeout(EVICTION_WAIT, self.closed.notified()).await;
        }
        self.keep_alive_disabled.set(false);
    }

    /// The connection of the highest rank on which no bytes wait unread, if any may be evicted.
    fn eviction_candidate(&self, now: Millis) -> Option<EvictionCandidate> {
        let open = self.open.borrow();
        let mut ranked = Vec::new();
        for connection in open.values() {
            if let Some(rank) = connection.eviction_rank(now) {
                ranked.push((rank, connection));
            }
        }
        ranked.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        // Sorted first, since each check for unread bytes is a system call.
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
            // A request that has begun to arrive meanwhile is still answered.
            EvictionKind::Idle => CloseMode::Graceful,
            EvictionKind::SlowRequest | EvictionKind::Unused => CloseMode::Immediate,
        };
        self.connection.request_close(mode);
    }
}
