//! The one clock of a front door.

use cometspool::Millis;
use serde::Deserialize;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A monotonic clock that reads as Unix milliseconds, so that start times of backends compare with it. The wall clock is
/// read once: a step of it later moves no deadline.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
    unix: Millis,
    /// What it shows in a second, ms: 1000, unless a test has it run fast or slow.
    second: Millis,
}

/// How far off a clock is: a switch for tests, which stand for machines whose clocks are wrong.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Skew {
    /// How fast it runs; 1 is right.
    rate: f64,
    /// How far it is ahead at the start, ms.
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
    /// Whether a clock can run so.
    pub(crate) fn is_valid(&self) -> bool {
        (0.1..=10.0).contains(&self.rate) && self.ahead_ms.is_finite()
    }
}

impl Clock {
    /// A clock that starts now and is right.
    #[cfg(test)]
    pub(crate) fn new() -> Clock {
        Clock::skewed(Skew::default())
    }

    /// A clock that starts now and is that far off.
    pub(crate) fn skewed(skew: Skew) -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            unix: unix.as_secs_f64() * 1000.0 + skew.ahead_ms,
            second: 1000.0 * skew.rate,
        }
    }

    /// The time now.
    pub(crate) fn now(&self) -> Millis {
        self.unix + self.start.elapsed().as_secs_f64() * self.second
    }

    /// A time of the runtime's on this clock.
    pub(crate) fn millis_at(&self, instant: std::time::Instant) -> Millis {
        let before = self.start.into_std().saturating_duration_since(instant);
        self.unix - before.as_secs_f64() * self.second
    }

    /// A time of this clock as the runtime counts it.
    pub(crate) fn instant_at(&self, at: Millis) -> Instant {
        let after = Duration::try_from_secs_f64((at - self.unix) / self.second).unwrap_or_default();
        self.start + after
    }
}
