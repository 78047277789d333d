//! The clock of the gateway.

use cometspool::Millis;
use serde::Deserialize;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A monotonic clock that shows Unix milliseconds, so that the start times that backends report can be compared with
/// it. The wall clock is read only once, at start-up. Later steps of the wall clock therefore do not move any deadline.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started_at: Instant,
    /// The Unix time at `started_at`, in milliseconds.
    unix_at_start: Millis,
    /// Milliseconds that this clock advances per second of the runtime's clock: 1000, unless a test simulates a clock
    /// that is fast or slow.
    millis_per_second: f64,
}

/// The skew of a clock. Only tests set it, to simulate machines with wrong clocks.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Skew {
    /// The speed of the clock as a factor; 1 for a correct clock.
    pub(crate) rate: f64,
    /// How far the clock is ahead at start-up, in milliseconds.
    pub(crate) ahead_ms: Millis,
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
    /// Whether the skew is within the supported range: a rate from 0.1 to 10 and a finite offset.
    pub(crate) fn is_valid(&self) -> bool {
        (0.1..=10.0).contains(&self.rate) && self.ahead_ms.is_finite()
    }
}

impl Clock {
    /// Creates a clock without skew that starts now.
    #[cfg(test)]
    pub(crate) fn new() -> Clock {
        Clock::skewed(Skew::default())
    }

    /// Creates a clock with the given `skew` that starts now.
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

    /// The current time, in Unix milliseconds.
    pub(crate) fn now(&self) -> Millis {
        self.unix_at_start + self.started_at.elapsed().as_secs_f64() * self.millis_per_second
    }

    /// The time that this clock would have shown at `instant`, which must not be after the start of the clock. A later
    /// `instant` yields the time of the start.
    pub(crate) fn millis_at(&self, instant: std::time::Instant) -> Millis {
        let before_start = self
            .started_at
            .into_std()
            .saturating_duration_since(instant);
        self.unix_at_start - before_start.as_secs_f64() * self.millis_per_second
    }

    /// The instant of the runtime at which this clock shows `at`. If that is before the start of the clock, or exceeds
    /// the range of a [`Duration`], returns the start of the clock.
    pub(crate) fn instant_at(&self, at: Millis) -> Instant {
        let seconds = (at - self.unix_at_start) / self.millis_per_second;
        let after_start = Duration::try_from_secs_f64(seconds).unwrap_or_default();
        self.started_at + after_start
    }
}
