//! Time budgets of requests.
//!
//! One [`Budget`] is created when the first byte of a request arrives. Every subsequent wait (for the rest of the body,
//! a pooled connection, a dial, a write, the response, a retry, the final answer) derives its limit from that budget
//! and from no other timer.
//!
//! This module reads no clock. All times are [`Millis`] on the gateway's monotonic [`Clock`](super::clock::Clock),
//! which does not follow steps of the wall clock.

use cometspool::Millis;

/// Maximum timeout that a client may request, as a multiple of the limit of its class. A timeout up to this multiple is
/// clamped to the limit of the class. A larger timeout is a client error and is rejected like a malformed one.
const MAX_REQUESTED_MULTIPLE: f64 = 10.0;

/// The time that a request has, fixed when the request arrives. Copies of a budget end at the same time, so all
/// attempts of a request share one end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Budget {
    end: Millis,
}

impl Budget {
    /// Creates the budget of a request whose first byte arrived at `started_at` and whose client sent `seconds` as the
    /// timeout. The timeout is clamped to `class_limit`, the limit of the request's class in milliseconds.
    ///
    /// Returns `None` if `seconds` is not a valid timeout: not a number, not positive, or more than ten times
    /// `class_limit`.
    pub(crate) fn from_header(
        seconds: &str,
        started_at: Millis,
        class_limit: Millis,
    ) -> Option<Budget> {
        let requested = 1000.0 * seconds.parse::<f64>().ok()?;
        let is_valid = requested > 0.0 && requested <= MAX_REQUESTED_MULTIPLE * class_limit;
        (is_valid && started_at.is_finite()).then(|| Budget {
            end: started_at + requested.min(class_limit),
        })
    }

    /// The time at which the client stops waiting.
    pub(crate) fn end(&self) -> Millis {
        self.end
    }

    /// The remaining time at `now`, in milliseconds; never negative.
    pub(crate) fn remaining(&self, now: Millis) -> Millis {
        (self.end - now).max(0.0)
    }

    /// Whether no time remains at `now`.
    pub(crate) fn is_expired(&self, now: Millis) -> bool {
        self.remaining(now) <= 0.0
    }

    /// This budget, shortened to end no later than `end`. `end` is the end of a graceful shutdown, or of the budget
    /// that a previous process granted to the same request.
    pub(crate) fn capped_at(&self, end: Millis) -> Budget {
        Budget {
            end: self.end.min(end),
        }
    }

    /// The deadline of an attempt that begins at `now` and may take at most `limit` milliseconds, if a limit is given.
    /// Returns `None` if no time remains for an attempt.
    pub(crate) fn attempt_deadline(
        &self,
        now: Millis,
        limit: Option<Millis>,
    ) -> Option<AttemptDeadline> {
        let end = self.end.min(now + limit.unwrap_or(f64::INFINITY));
        (end > now).then_some(AttemptDeadline {
            end,
            begin_before: f64::INFINITY,
        })
    }
}

/// The part of a budget that one attempt may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AttemptDeadline {
    end: Millis,
    /// The time before which the attempt must reach its backend; infinite if there is no such limit.
    begin_before: Millis,
}

impl AttemptDeadline {
    /// The time at which the attempt is abandoned.
    pub(crate) fn end(&self) -> Millis {
        self.end
    }

    /// This deadline for an attempt that must reach its backend before `time`, if one is given. After that time, the
    /// backends may have forgotten the idempotency key of an earlier attempt, and the attempt could run the request
    /// again.
    pub(crate) fn begin_before(self, time: Option<Millis>) -> AttemptDeadline {
        AttemptDeadline {
            begin_before: time.unwrap_or(f64::INFINITY),
            ..self
        }
    }

    /// Whether the attempt may still reach its backend at `now`.
    pub(crate) fn may_begin(&self, now: Millis) -> bool {
        now < self.begin_before
    }

    /// How long the attempt may wait for a connection from `now` on, in milliseconds. The wait itself is limited to
    /// `max` milliseconds.
    pub(crate) fn wait(&self, now: Millis, max: Millis) -> Millis {
        (self.begin_before.min(self.end) - now).clamp(0.0, max.max(0.0))
    }

    /// The value of the `Request-Timeout` header for the backend, in seconds with three decimals. It is the time
    /// remaining at `now` less `response_delay`, the milliseconds that the response takes to arrive here: the response
    /// of a backend that finishes just before its own timeout would otherwise be late. The value is at least 0.001,
    /// since a backend could interpret zero as "no timeout".
    pub(crate) fn header_value(&self, now: Millis, response_delay: Millis) -> String {
        let remaining = self.end - now - response_delay.max(0.0);
        // Rounded down, so that a backend never gets more time than remains.
        let whole_millis = remaining.max(1.0).floor();
        format!("{:.3}", whole_millis / 1000.0)
    }
}

#[cfg(test)]
mod tests;
