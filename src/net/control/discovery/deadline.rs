//! Limits the duration of each call to discovery and of the pause after it, so that a change takes effect in time.
//!
//! The time from when discovery has a change until the gateway has received the response with it must stay below
//! [`UPDATE_DEADLINE`]. These are the possible sequences:
//!
//! | sequence | maximum time |
//! | --- | --- |
//! | a silent watch, a short pause, a response | 4.25 + 0.2 + 1.4 = 5.85 s |
//! | a call that times out, a short pause, a response | 1.4 + 0.2 + 2.8 = 4.4 s |
//! | a further call that times out, a short pause, a response | 2.8 + 0.2 + 2.8 = 5.8 s |
//! | a call that is rejected at any time, a long pause, a response | 6 - 0.25 = 5.75 s |
//! | a silent watch, a short pause, a rejected call, a short pause, a response | 4.65 s plus both responses |
//!
//! The long pause may use the time that the rejected call and a response leave, at most [`MAX_BACKOFF`].

use std::time::Duration;
use tokio::time::Instant;

/// Time without an object or heartbeat after which a watch counts as silent.
///
/// Discovery sends a heartbeat every 2 s. A watch that has missed two heartbeats, with 250 ms allowed for transit, has
/// lost its peer. It cannot wait for a third one, since a change that it misses must take effect 6 s after the watch
/// fell silent. If the agents of a whole fleet fall silent together, the gateways reconnect at different times within
/// this period.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_millis(4250);
/// Time within which a change must take effect once discovery has the change and can be reached.
const UPDATE_DEADLINE: Duration = Duration::from_secs(6);
/// Time within which a change must take effect after a reload that may have changed the address of discovery.
const UPDATE_DEADLINE_AFTER_ADDRESS_CHANGE: Duration = Duration::from_secs(4);
/// Time reserved in both update deadlines for late timers and for applying a list.
const SAFETY_MARGIN: Duration = Duration::from_millis(250);
/// Timeout for the connection and the response head together. It allows for one lost packet, which the system
/// retransmits after 1 s.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1400);
/// Timeout for the connection and the response head after a call that timed out, so that a slow service can answer.
/// Twice this timeout plus a short pause stays below [`UPDATE_DEADLINE`].
const SLOW_RESPONSE_TIMEOUT: Duration = Duration::from_millis(2800);
/// Maximum pause, which follows a call that was rejected immediately; 4.35 s. It leaves time for one response.
pub(crate) const MAX_BACKOFF: Duration = UPDATE_DEADLINE
    .saturating_sub(SAFETY_MARGIN)
    .saturating_sub(RESPONSE_TIMEOUT);

/// How a call or the watch that it opened ended, as far as the update deadline depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WatchEnd {
    /// The response ended or became invalid. No change can have been missed before that.
    Closed,
    /// A response began, but fell silent.
    Silent,
    /// Discovery rejected the call because it is overloaded.
    Rejected,
    /// No response head arrived within the response timeout.
    TimedOut,
    /// The connection failed, or the response had a status other than 200 that does not indicate overload.
    Failed,
}

/// Tracks the time by which a change that this gateway may have missed must take effect.
#[derive(Debug, Default)]
pub(super) struct UpdateDeadline {
    /// When changes from before the current call must take effect. A rejected call consumes this value; after a further
    /// rejected call, the deadline counts from the start of that call.
    update_due: Option<Instant>,
    last_call_timed_out: bool,
}

impl UpdateDeadline {
    /// The timeout for the connection and the response head of the next call.
    pub(super) fn response_timeout(&self) -> Duration {
        if self.last_call_timed_out {
            SLOW_RESPONSE_TIMEOUT
        } else {
            RESPONSE_TIMEOUT
        }
    }

    /// Called when the address of discovery may have changed.
    pub(super) fn address_changed(&mut self) {
        *self = UpdateDeadline {
            update_due: Some(Instant::now() + UPDATE_DEADLINE_AFTER_ADDRESS_CHANGE),
            last_call_timed_out: false,
        };
    }

    /// Called when the call that started at `started_at` has ended. Returns the longest pause that leaves time for a
    /// response after it; zero if no time is left.
    pub(super) fn call_ended(&mut self, started_at: Instant, watch_end: WatchEnd) -> Duration {
        let now = Instant::now();
        let update_due = match watch_end {
            WatchEnd::Closed => now + UPDATE_DEADLINE,
            WatchEnd::Silent => now + UPDATE_DEADLINE - SILENCE_TIMEOUT,
            WatchEnd::TimedOut | WatchEnd::Failed => started_at + UPDATE_DEADLINE,
            WatchEnd::Rejected => self
                .update_due
                .take()
                .unwrap_or(started_at + UPDATE_DEADLINE),
        };
        self.last_call_timed_out = watch_end == WatchEnd::TimedOut;
        if watch_end != WatchEnd::Rejected {
            self.update_due = Some(update_due);
        }
        update_due
            .saturating_duration_since(now)
            .saturating_sub(SAFETY_MARGIN + RESPONSE_TIMEOUT)
            .min(MAX_BACKOFF)
    }
}

#[cfg(test)]
mod tests;
