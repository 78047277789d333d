//! Timers that run on active time: the time in which the process was not stalled.

use crate::time_queue::TimeQueue;
use crate::timing::Millis;

/// Rounding error that is allowed for when spans are summed, in milliseconds: a timer that is due
/// within this time fires.
const ROUNDING_TOLERANCE: Millis = 1e-3;

/// Whether the process was stalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// The process ran when its first timer was due.
    OnTime,
    /// The process ran later than it tolerates. Causes are a pause, an overloaded machine or a
    /// debugger.
    Stalled,
}

/// Timers that run on active time: the time since the start without the time in which the process
/// was stalled. So whatever was in progress at a stall still gets its full timeout.
#[derive(Debug)]
pub(crate) struct Timers<E> {
    queue: TimeQueue<E>,
    /// The latest time that the caller passed in, on the caller's clock.
    now: Millis,
    /// The active time since the start.
    active: Millis,
}

impl<E> Timers<E> {
    /// Creates an empty set of timers. `now` is the time on the caller's clock.
    pub(crate) fn new(now: Millis) -> Timers<E> {
        Timers {
            queue: TimeQueue::new(),
            now,
            active: 0.0,
        }
    }

    /// The latest time that the caller passed in, on the caller's clock.
    pub(crate) fn now(&self) -> Millis {
        self.now
    }

    /// The active time since the start.
    pub(crate) fn active_time(&self) -> Millis {
        self.active
    }

    /// When the first timer is due, on the caller's clock; `None` if there is no timer.
    pub(crate) fn next_deadline(&self) -> Option<Millis> {
        let first = self.queue.first_time()?;
        Some(self.now + (first - self.active).max(0.0))
    }

    /// Advances the time to `now`. If that is later than the first timer by more than `tolerance`,
    /// the process was stalled, and the time after that timer's deadline does not count as active.
    pub(crate) fn advance(&mut self, now: Millis, tolerance: Millis) -> Progress {
        let deadline = self.next_deadline().unwrap_or(now).max(self.now);
        let stalled = now - deadline > tolerance;
        self.active += if stalled {
            deadline - self.now
        } else {
            (now - self.now).max(0.0)
        };
        self.now = self.now.max(now);
        if stalled {
            Progress::Stalled
        } else {
            Progress::OnTime
        }
    }

    /// Sets a timer that is due after the active time `after`.
    pub(crate) fn schedule(&mut self, after: Millis, event: E) {
        self.queue.insert(self.active + after, event);
    }

    /// Removes and returns the first timer if it is due.
    pub(crate) fn pop_due(&mut self) -> Option<E> {
        let first = self.queue.first_time()?;
        if first > self.active + ROUNDING_TOLERANCE {
            return None;
        }
        self.queue.pop_first()
    }
}
