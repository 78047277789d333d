//! How long a call to discovery and the pause after it may take, so that a change takes effect in time.
//!
//! Each chain from the moment at which discovery has a change to the response that brings it stays below
//! [`UPDATE_DEADLINE`]:
//!
//! | chain | longest |
//! | --- | --- |
//! | a silent watch, a short pause, a response | 4.25 + 0.2 + 1.4 = 5.85 s |
//! | a call that times out, a short pause, a response | 1.4 + 0.2 + 2.8 = 4.4 s |
//! | a further call that times out, a short pause, a response | 2.8 + 0.2 + 2.8 = 5.8 s |
//! | a call that is rejected at any time, a long pause, a response | 6 - 0.25 = 5.75 s |
//! | a silent watch, a short pause, a rejected call, a short pause, a response | 4.65 s and both responses |
//!
//! The long pause takes what the rejected call and a response leave of the time: at most [`MAX_BACKOFF`].

use std::time::Duration;
use tokio::time::Instant;

/// How long a watch may bring neither an object nor a heartbeat.
///
/// Discovery sends a heartbeat every 2 s. A watch that has missed two of these, with 250 ms for the way, has lost its other
/// end. It cannot wait for the third: a change that it misses has to be in effect 6 s after the watch fell silent. The
/// gateways of a fleet whose agents fall silent together reconnect within this time, each at its own moment.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_millis(4250);
/// How long after discovery has a change, and can be reached, the change has to be in effect.
const UPDATE_DEADLINE: Duration = Duration::from_secs(6);
/// The same after a configuration that may have given discovery another address.
const UPDATE_DEADLINE_AFTER_MOVE: Duration = Duration::from_secs(4);
/// Kept back of both for late timers and for applying a list.
const SAFETY_MARGIN: Duration = Duration::from_millis(250);
/// Timeout of the connection and the response's head together. It outlasts one lost packet, which the system sends again
/// after 1 s.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1400);
/// The same after a call that timed out, so that a slow service gets through. Twice this and a short pause stay below
/// [`UPDATE_DEADLINE`].
const SLOW_RESPONSE_TIMEOUT: Duration = Duration::from_millis(2800);
/// The longest pause, after a call that was rejected at once: it leaves time for one response.
pub(crate) const MAX_BACKOFF: Duration = UPDATE_DEADLINE
    .saturating_sub(SAFETY_MARGIN)
    .saturating_sub(RESPONSE_TIMEOUT);

/// How a call or the watch that it opened ended, as far as time goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WatchEnd {
    /// The response ended or became unreadable; no change can have been missed before.
    Closed,
    /// A response began and fell silent.
    Silent,
    /// Discovery rejected the call because it had too many.
    Rejected,
    /// No response within its timeout.
    TimedOut,
    /// The connection failed, or the response had another status.
    Failed,
}

/// By when a change that this gateway may have missed has to be in effect.
#[derive(Debug, Default)]
pub(super) struct Deadline {
    /// Of changes from before the present call. A rejected call uses it up, and the next one counts from its own start.
    update_due: Option<Instant>,
    last_call_timed_out: bool,
}

impl Deadline {
    /// Timeout for the connection and the head of the next call's response.
    pub(super) fn response_timeout(&self) -> Duration {
        if self.last_call_timed_out {
            SLOW_RESPONSE_TIMEOUT
        } else {
            RESPONSE_TIMEOUT
        }
    }

    /// Discovery may have another address from now on.
    pub(super) fn address_changed(&mut self) {
        *self = Deadline {
            update_due: Some(Instant::now() + UPDATE_DEADLINE_AFTER_MOVE),
            last_call_timed_out: false,
        };
    }

    /// A call that started at `started_at` has ended. Returns the longest pause that leaves time for a response after it;
    /// zero if the time is up.
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
