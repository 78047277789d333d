//! Detection of stalls of the event loop, so that the time that bytes spent unread in the system is charged to the
//! request that they belong to.
//!
//! All times are [`Millis`] on the gateway's [`Clock`](super::clock::Clock) unless a name or comment says otherwise.

use cometspool::Millis;
use std::cell::Cell;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Instant;

/// Delay, in milliseconds, up to which a late timer is no sign of a stall: timers have a grain of 1 ms, and a turn of a
/// loop that is merely busy takes this long.
const TIMER_TOLERANCE: Millis = 20.0;
/// Time, in milliseconds, for which a loop that is too busy to sleep may go on reading what arrived during a stall.
const CATCH_UP: Millis = 50.0;

/// Records when the event loop wakes from its sleeps.
///
/// Each sleep polls for input before it ends, so what is read after one sleep arrived after the wake-up that preceded it.
/// The runtime's own unpark hook writes this. A time recorded before a sleep would not do: the process may be paused
/// between that record and the poll.
#[derive(Clone, Debug)]
pub(crate) struct WakeRecorder {
    started_at: Instant,
    wakes: Arc<WakeTimes>,
}

/// The last two wake-ups, in microseconds since the recorder started, and the number of all.
#[derive(Debug, Default)]
struct WakeTimes {
    previous_micros: AtomicU64,
    latest_micros: AtomicU64,
    count: AtomicU64,
}

impl WakeRecorder {
    /// A recorder for a loop that has not slept yet.
    pub(crate) fn new() -> WakeRecorder {
        WakeRecorder {
            started_at: Instant::now(),
            wakes: Arc::default(),
        }
    }

    /// The instant from which wake-ups are counted.
    pub(crate) fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Records that the loop wakes now.
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

/// A time for which the loop did not run.
#[derive(Clone, Copy, Debug)]
struct Stall {
    /// When the loop last had nothing left to read.
    since: Millis,
    /// When the stall was detected.
    detected_at: Millis,
    /// How often the loop had woken by then.
    wakes_at_detection: u64,
}

/// Detects that the process did not run: paused, starved of its core, or blocked by a task.
///
/// Bytes that arrived meanwhile waited unread while their client's time ran. What is read next is therefore taken to have
/// arrived when the loop last had nothing left to read. It may have arrived later; then the request is answered sooner
/// than necessary.
///
/// A stall shows in a timer that fires late. It is charged until the loop has slept once more: the signal that ends a
/// pause may end the current sleep too, and then only the next sleep polls the bytes.
#[derive(Debug)]
pub(crate) struct StallMonitor {
    wakes: WakeRecorder,
    /// The start of `wakes` on the gateway's clock.
    recorder_started_at: Millis,
    /// When a timer last fired.
    last_timer: Cell<Millis>,
    /// When the next timer is due at the latest.
    next_timer: Cell<Millis>,
    stall: Cell<Option<Stall>>,
    longest_stall: Cell<Millis>,
}

impl StallMonitor {
    /// A monitor of the loop whose wake-ups `wakes` records, which started at `recorder_started_at`.
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

    /// Notes that a timer is due at `at`. If it has not fired well after that, the loop has stalled.
    pub(crate) fn expect_timer(&self, at: Millis) {
        self.next_timer.set(at);
    }

    /// Notes that a timer that was due at `at` fires at `now`.
    pub(crate) fn timer_fired(&self, at: Millis, now: Millis) {
        self.check_next_timer(now);
        if now - at > TIMER_TOLERANCE {
            self.record_stall(now);
        } else if self
            .active_stall(now)
            .is_none_or(|stall| now - stall.detected_at > CATCH_UP)
        {
            self.stall.set(None);
        }
        self.last_timer.set(self.last_timer.get().max(now));
    }

    /// The earliest time at which bytes that are read at `now` can have arrived: `now`, unless a stall is being made up
    /// for.
    pub(crate) fn arrival_time(&self, now: Millis) -> Millis {
        self.check_next_timer(now);
        match self.active_stall(now) {
            Some(stall) => stall.since.min(now),
            None => now,
        }
    }

    /// Detects a stall before the expected timer fires: readers, and timers set later, may be woken before it.
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

    /// The stall, as long as bytes that arrived during it may still be unread.
    fn active_stall(&self, now: Millis) -> Option<Stall> {
        let stall = self.stall.get()?;
        let has_slept_once_at_most = self.wakes.wake_count() <= stall.wakes_at_detection + 1;
        (has_slept_once_at_most && now >= stall.detected_at).then_some(stall)
    }

    /// The longest stall since the last call, in milliseconds, if there was any.
    pub(crate) fn take_longest_stall(&self) -> Option<Millis> {
        let longest = self.longest_stall.replace(0.0);
        (longest > 0.0).then_some(longest)
    }
}

#[cfg(test)]
mod tests;
