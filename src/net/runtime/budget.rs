//! Time budgets of requests.
//!
//! One [`Budget`] is made when the first byte of a request arrives. Every wait that follows (for the rest of the body, a
//! pooled connection, a dial, a write, the response, a retry, the final answer) takes its limit from that budget and from
//! no other timer.
//!
//! Nothing here reads a clock. All times are [`Millis`] on the gateway's monotonic [`Clock`](super::clock::Clock), which
//! does not follow steps of the wall clock.

use cometspool::Millis;

/// Largest timeout that a client may request, as a multiple of the longest that its class allows. Up to this multiple the
/// timeout is clamped to the class's limit; a larger one is an error of the client and is rejected like an unreadable one.
const MAX_REQUESTED_MULTIPLE: f64 = 10.0;

/// The time that a request has, fixed once. Copies of it are the same budget: two attempts of one request end together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Budget {
    end: Millis,
}

impl Budget {
    /// The budget of a request whose first byte arrived at `started_at` and whose client sent `seconds` as its timeout,
    /// clamped to `class_limit`, the longest that its class allows, in milliseconds.
    ///
    /// `None` if `seconds` is not a usable timeout: not a number, not positive, or more than ten times `class_limit`.
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

    /// The time that is left at `now`, in milliseconds; never negative.
    pub(crate) fn remaining(&self, now: Millis) -> Millis {
        (self.end - now).max(0.0)
    }

    /// Whether no time is left at `now`.
    pub(crate) fn is_expired(&self, now: Millis) -> bool {
        self.remaining(now) <= 0.0
    }

    /// The same budget, ending no later than `end`: the end of a graceful shutdown, or of the budget that a previous
    /// process had granted to the same request.
    pub(crate) fn capped_at(&self, end: Millis) -> Budget {
        Budget {
            end: self.end.min(end),
        }
    }

    /// The deadline of an attempt that begins at `now` and may take `limit` milliseconds at most, if there is a limit;
    /// `None` if no time is left for it.
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

/// The portion of a budget that one attempt may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AttemptDeadline {
    end: Millis,
    begin_before: Millis,
}

impl AttemptDeadline {
    /// The time at which the attempt is abandoned.
    pub(crate) fn end(&self) -> Millis {
        self.end
    }

    /// The same deadline for an attempt that may reach its backend only before `time`, if one is given. After that the
    /// backends may have forgotten the idempotency key of an earlier attempt, and this one would run the request again.
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

    /// How long, in milliseconds from `now`, the attempt may wait for a connection when that wait has a limit of `most`
    /// milliseconds of its own.
    pub(crate) fn wait(&self, now: Millis, most: Millis) -> Millis {
        (self.begin_before.min(self.end) - now).clamp(0.0, most.max(0.0))
    }

    /// The value of `Request-Timeout` that goes to the backend, in seconds with three decimals: the time left at `now`
    /// less `way_back`, the milliseconds that the response needs to travel, because a backend that finishes at the very
    /// end of its own timer would be late here. At least 0.001, since a zero could be read as "no timeout".
    pub(crate) fn header_value(&self, now: Millis, way_back: Millis) -> String {
        let left = self.end - now - way_back.max(0.0);
        // Rounded down, so that a backend never gets more time than there is.
        let whole_millis = left.max(1.0).floor();
        format!("{:.3}", whole_millis / 1000.0)
    }
}

#[cfg(test)]
mod tests;
