//! The gateway's one clock.

use cometspool::Millis;
use serde::Deserialize;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A monotonic clock that reads as Unix milliseconds, so that the start times that backends report compare with it. The
/// wall clock is read once, at the start: a later step of it moves no deadline.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started_at: Instant,
    /// Unix time at `started_at`, ms.
    unix_at_start: Millis,
    /// Milliseconds that the clock shows for each second of the runtime: 1000, unless a test has it run fast or slow.
    millis_per_second: f64,
}

/// By how much a clock is wrong. Only tests set it, to stand for machines whose clocks are wrong.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Skew {
    /// How fast the clock runs, as a factor; 1 is right.
    rate: f64,
    /// How far the clock is ahead at the start, ms.
    ahead_ms: Millis,
}

impl Default for Skew {
    fn default() -> Skew {
        Skew {
            rate: 1.0,
            ahead_ms: 0.0,
        }
    }
}

impl Skew {
    /// Whether a clock can run with this skew: a rate between a tenth and ten, and a finite offset.
    pub(crate) fn is_valid(&self) -> bool {
        (0.1..=10.0).contains(&self.rate) && self.ahead_ms.is_finite()
    }
}

impl Clock {
    /// A clock without skew that starts now.
    #[cfg(test)]
    pub(crate) fn new() -> Clock {
        Clock::skewed(Skew::default())
    }

    /// A clock that starts now, wrong by `skew`.
    pub(crate) fn skewed(skew: Skew) -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started_at: Instant::now(),
            unix_at_start: unix.as_secs_f64() * 1000.0 + skew.ahead_ms,
            millis_per_second: 1000.0 * skew.rate,
        }
    }

    /// The time now, in Unix milliseconds.
    pub(crate) fn now(&self) -> Millis {
        self.unix_at_start + self.started_at.elapsed().as_secs_f64() * self.millis_per_second
    }

    /// What this clock would have shown at `instant`, which is not after the clock's start; a later one counts as the
    /// start.
    pub(crate) fn millis_at(&self, instant: std::time::Instant) -> Millis {
        let before_start = self
            .started_at
            .into_std()
            .saturating_duration_since(instant);
        self.unix_at_start - before_start.as_secs_f64() * self.millis_per_second
    }

    /// The runtime's instant at which this clock shows `at`; the clock's start if that is earlier, or beyond what a
    /// [`Duration`] holds.
    pub(crate) fn instant_at(&self, at: Millis) -> Instant {
        let seconds = (at - self.unix_at_start) / self.millis_per_second;
        let after_start = Duration::try_from_secs_f64(seconds).unwrap_or_default();
        self.started_at + after_start
    }
}
