//! Timers on the time in which this process ran.

use crate::time_queue::TimeQueue;
use crate::timing::Millis;

/// By how much two sums of the same spans may differ through rounding: a timer that is due within
/// it is due.
const TIME_RESOLUTION: Millis = 1e-3;

/// Whether the process was kept from running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// It ran when it was due.
    OnTime,
    /// It ran later than it tolerates: a pause, a full machine or a debugger.
    Stalled,
}

/// Timers that run on active time: the time since the start, without the time in which the process
/// was kept from running. So whatever was under way when it stalled still gets its full time.
#[derive(Debug)]
pub(crate) struct Timers<E> {
    queue: TimeQueue<E>,
    /// The last time that the caller gave, on its clock.
    now: Millis,
    active: Millis,
}

impl<E> Timers<E> {
    /// No timers; `now` is the time on the caller's clock.
    pub(crate) fn new(now: Millis) -> Timers<E> {
        Timers {
            queue: TimeQueue::new(),
            now,
            active: 0.0,
        }
    }

    /// The last time that the caller gave, on its clock.
    pub(crate) fn now(&self) -> Millis {
        self.now
    }

    /// The time since the start in which this process ran.
    pub(crate) fn active_time(&self) -> Millis {
        self.active
    }

    /// When the first timer is due, on the caller's clock.
    pub(crate) fn next_deadline(&self) -> Option<Millis> {
        let first = self.queue.first_time()?;
        Some(self.now + (first - self.active).max(0.0))
    }

    /// Moves the time on to `now`. If that is later than the first timer by more than `tolerance`,
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

    /// Sets a timer that is due after this much active time.
    pub(crate) fn schedule(&mut self, after: Millis, event: E) {
        self.queue.insert(self.active + after, event);
    }

    /// Removes the first timer if it is due.
    pub(crate) fn pop_due(&mut self) -> Option<E> {
        let first = self.queue.first_time()?;
        if first > self.active + TIME_RESOLUTION {
            return None;
        }
        self.queue.pop_first()
    }
}
