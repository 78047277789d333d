//! Graceful shutdown: continues to accept connections for a while, completes the requests in flight, then closes idle
//! connections.

use super::DownstreamConnections;
use std::time::Duration;
use tokio::time::Instant;

/// How long after SIGTERM idle connections stay open. The load balancer in front of the gateways continues to open
/// connections for up to 0.4 s.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(550);
/// Longest request deadline that a shutdown waits for. SIGKILL arrives before a longer one ends.
const LONGEST_DRAINED_DEADLINE: Duration = Duration::from_secs(3);
/// How long a shutdown may take beyond the longest deadline. SIGKILL arrives 0.7 s after that deadline.
const DRAIN_GRACE: Duration = Duration::from_millis(550);
/// Time that the accept loop gets, after a connection has closed, to register one that arrived just before the end of
/// the shutdown.
const FINAL_ACCEPT_WAIT: Duration = Duration::from_millis(5);

/// The phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShutdownPhase {
    /// No shutdown is in progress.
    Serving,
    /// Each response closes its connection; idle connections stay open.
    Draining,
    /// Idle connections are closed as well.
    ClosingIdle,
}

impl DownstreamConnections {
    /// Shuts down gracefully: continues to accept connections, answers the requests that arrive, and returns once every
    /// connection has closed or the shutdown deadline has passed.
    pub(crate) async fn shut_down(&self) {
        let longest_deadline =
            Duration::try_from_secs_f64(self.context.longest_deadline() / 1000.0)
                .unwrap_or_default()
                .min(LONGEST_DRAINED_DEADLINE);
        let drain_time = longest_deadline + DRAIN_GRACE;
        let end = Instant::now() + drain_time;
        self.handler
            .begin_shutdown(self.context.clock.now() + drain_time.as_secs_f64() * 1000.0);
        self.phase.send_replace(ShutdownPhase::Draining);
        tokio::time::sleep(IDLE_CLOSE_DELAY).await;
        self.phase.send_replace(ShutdownPhase::ClosingIdle);
        // By now the load balancer sends no more requests to this gateway. One that arrives nevertheless is left to
        // another gateway or to the successor of this process.
        self.handler.reject_new_requests();
        self.wait_until_closed(end).await;
    }

    /// Waits until no connection is open, but no longer than `end`.
    async fn wait_until_closed(&self, end: Instant) {
        while !self.open.borrow().is_empty() {
            let closed = tokio::time::timeout_at(end, self.closed.notified()).await;
            if closed.is_err() {
                let unanswered = self.handler.pending_requests();
                tracing::warn!(
                    unanswered,
                    "shutdown deadline reached before all connections closed"
                );
                return;
            }
            tokio::time::sleep(FINAL_ACCEPT_WAIT).await;
        }
    }
}
