//! Graceful shutdown: goes on accepting for a while, lets the requests in flight finish, then closes idle connections.

use super::DownstreamConnections;
use std::time::Duration;
use tokio::time::Instant;

/// How long after SIGTERM idle connections stay open: the load balancer in front goes on opening connections for up to
/// 0.4 s.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(550);
/// Longest request deadline that a shutdown waits for: SIGKILL does not wait for longer ones.
const LONGEST_DRAINED_DEADLINE: Duration = Duration::from_secs(3);
/// How long beyond the longest deadline a shutdown may take: SIGKILL comes 0.7 s after that deadline.
const DRAIN_GRACE: Duration = Duration::from_millis(550);
/// How long after a connection has closed the accept loop gets to take one that arrived just before the end.
const FINAL_ACCEPT_WAIT: Duration = Duration::from_millis(5);

/// How far a graceful shutdown has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShutdownPhase {
    /// No shutdown has begun.
    Serving,
    /// Responses close their connections.
    Draining,
    /// Idle connections are closed too.
    ClosingIdle,
}

impl DownstreamConnections {
    /// Shuts down gracefully: goes on accepting, answers what has arrived, and returns once every connection has closed
    /// or the time for it is over.
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
        // By now the load balancer sends nothing here; a request that comes all the same is for another gateway or for the
        // successor.
        self.handler.reject_new_requests();
        self.wait_until_closed(end).await;
    }

    /// Waits until no connection is open, until `end` at most.
    async fn wait_until_closed(&self, end: Instant) {
        while !self.open.borrow().is_empty() {
            let closed = tokio::time::timeout_at(end, self.closed.notified()).await;
            if closed.is_err() {
                let unanswered = self.handler.pending_requests();
                tracing::warn!(unanswered, "shutdown deadline reached");
                return;
            }
            tokio::time::sleep(FINAL_ACCEPT_WAIT).await;
        }
    }
}
