//! Detection of event loop stalls. Bytes that arrive during a stall wait unread in the operating system; that time is
//! charged to the budget of the request that they belong to.
//!
//! All times are [`Millis`] on the gateway's [`Clock`](super::clock::Clock) unless a name or comment says otherwise.

use cometspool::Millis;
use std::cell::Cell;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Instant;

/// Delay of a timer up to which it does not indicate a stall, in milliseconds. Timers have a resolution of 1 ms, and
/// one iteration of a loop that is merely busy can take this long.
const TIMER_TOLERANCE: Millis = 20.0;
/// How long a loop that is too busy to sleep may take to read the bytes that arrived during a stall, in milliseconds.
const MAX_CATCH_UP_TIME: Millis = 50.0;

/// Records when the event loop wakes up from its sleeps.
///
/// The loop polls for input at the end of each sleep. Bytes read after a sleep therefore arrived after the wake-up that
/// preceded that sleep. The wake-ups are recorded by the unpark hook of the runtime. A time recorded before a sleep
/// would not be reliable, since the process may be paused between the recording and the poll.
#[derive(Clone, Debug)]
pub(crate) struct WakeRecorder {
    started_at: Instant,
    wakes: Arc<WakeTimes>,
}

/// The times of the last two wake-ups, in microseconds since the recorder started, and the number of all wake-ups.
#[derive(Debug, Default)]
struct WakeTimes {
    previous_micros: AtomicU64,
    latest_micros: AtomicU64,
    count: AtomicU64,
}

impl WakeRecorder {
    /// Creates a recorder for a loop that has not slept yet.
    pub(crate) fn new() -> WakeRecorder {
        WakeRecorder {
            started_at: Instant::now(),
            wakes: Arc::default(),
        }
    }

    /// The instant from which the times of wake-ups are measured.
    pub(crate) fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Records that the loop wakes up now.
    pub(crate) fn record_wake(&self) {
        let elapsed = self.started_at.elapsed().as_micros();
        self.record_wake_at(u64::try_from(elapsed).unwrap_or(u64::MAX));
    }

    fn record_wake_at(&self, micros: u64) {
        let previous = self.wakes.latest_micros.swap(micros, Ordering::Relaxed);
        self.wakes
            .previous_micros
            .store(previous, Ordering::Relaxed);
        self.wakes.count.fetch_add(1, Ordering::Relaxed);
    }

    /// The wake-up before the latest one, in milliseconds since the recorder started.
    fn previous_wake(&self) -> Millis {
        self.wakes.previous_micros.load(Ordering::Relaxed) as f64 / 1000.0
    }

    fn wake_count(&self) -> u64 {
        self.wakes.count.load(Ordering::Relaxed)
    }
}

/// A period in which the loop did not run.
#[derive(Clone, Copy, Debug)]
struct Stall {
    /// When the loop last had no unread input.
    since: Millis,
    /// When the stall was detected.
    detected_at: Millis,
    /// The number of wake-ups when the stall was detected.
    wakes_at_detection: u64,
}

/// Detects that the event loop did not run because the process was paused, got no CPU time, or was blocked by a task.
///
/// Bytes that arrived during a stall waited unread while the timeout of their client ran. The bytes read next are
/// therefore assumed to have arrived when the loop last had no unread input. If they arrived later, the request is
/// merely answered sooner than necessary.
///
/// A stall is detected by a timer that fires late. It is charged until the loop has slept once more: the signal that
/// resumes a paused process may also end the current sleep, and then only the next sleep polls for the bytes.
#[derive(Debug)]
pub(crate) struct StallMonitor {
    wakes: WakeRecorder,
    /// When `wakes` started, on the gateway's clock.
    recorder_started_at: Millis,
    /// When the most recent timer fired.
    last_timer: Cell<Millis>,
    /// When the next expected timer is due; infinite if none is expected.
    next_timer: Cell<Millis>,
    /// The most recent stall; `None` once it is no longer charged.
    stall: Cell<Option<Stall>>,
    /// The longest stall since the last call of [`StallMonitor::take_longest_stall`], in milliseconds; 0 if none.
    longest_stall: Cell<Millis>,
}

impl StallMonitor {
    /// Creates a monitor for the loop whose wake-ups `wakes` records. `wakes` started at `recorder_started_at` on the
    /// gateway's clock.
    pub(crate) fn new(wakes: WakeRecorder, recorder_started_at: Millis) -> StallMonitor {
        StallMonitor {
            wakes,
            recorder_started_at,
            last_timer: Cell::new(recorder_started_at),
            next_timer: Cell::new(f64::INFINITY),
            stall: Cell::new(None),
            longest_stall: Cell::new(0.0),
        }
    }

    /// Announces a timer that is due at `at`. If the timer has not fired [`TIMER_TOLERANCE`] after that, the loop has
    /// stalled.
    pub(crate) fn expect_timer(&self, at: Millis) {
        self.next_timer.set(at);
    }

    /// Records that a timer that was due at `at` fires at `now`.
    pub(crate) fn timer_fired(&self, at: Millis, now: Millis) {
        self.check_next_timer(now);
        if now - at > TIMER_TOLERANCE {
            self.record_stall(now);
        } else if self
            .active_stall(now)
            .is_none_or(|stall| now - stall.detected_at > MAX_CATCH_UP_TIME)
        {
            self.stall.set(None);
        }
        self.last_timer.set(self.last_timer.get().max(now));
    }

    /// The time at which bytes that are read at `now` are assumed to have arrived: `now`, or the start of a stall if
    /// the bytes may have arrived during that stall.
    pub(crate) fn arrival_time(&self, now: Millis) -> Millis {
        self.check_next_timer(now);
        match self.active_stall(now) {
            Some(stall) => stall.since.min(now),
            None => now,
        }
    }

    /// Detects a stall even before the expected timer fires, since readers and later timers may run before that timer.
    fn check_next_timer(&self, now: Millis) {
        if now - self.next_timer.get() > TIMER_TOLERANCE {
            self.next_timer.set(f64::INFINITY);
            self.record_stall(now);
        }
    }

    fn record_stall(&self, now: Millis) {
        let previous_wake = self.recorder_started_at + self.wakes.previous_wake();
        let last_idle = self.last_timer.get().max(previous_wake).min(now);
        let since = self
            .active_stall(now)
            .map_or(last_idle, |stall| stall.since);
        self.stall.set(Some(Stall {
            since,
            detected_at: now,
            wakes_at_detection: self.wakes.wake_count(),
        }));
        self.longest_stall
            .set(self.longest_stall.get().max(now - since));
    }

    /// The most recent stall, as long as bytes that arrived during it may still be unread.
    fn active_stall(&self, now: Millis) -> Option<Stall> {
        let stall = self.stall.get()?;
        let has_slept_once_at_most = self.wakes.wake_count() <= stall.wakes_at_detection + 1;
        (has_slept_once_at_most && now >= stall.detected_at).then_some(stall)
    }

    /// The longest stall since the last call of this method, in milliseconds; `None` if there was none.
    pub(crate) fn take_longest_stall(&self) -> Option<Millis> {
        let longest = self.longest_stall.replace(0.0);
        (longest > 0.0).then_some(longest)
    }
}

#[cfg(test)]
mod tests;
