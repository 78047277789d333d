//! The timer queue, and the loop that fires due timers.
//!
//! Bound: the timer of a request or an attempt is kept until it is due, at most for the request's budget. It is dropped
//! earlier if it is stale when it reaches the head of the queue. The policy bounds the number of its own timers.

use super::request_table::RequestTable;
use super::Driver;
use crate::net::messages::{Answer, AttemptResult};
use cometspool::{Event, Millis, Outcome, RequestId, TimerId};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::rc::Rc;

/// The purpose of a timer.
#[derive(Clone, Copy, Debug)]
pub(super) enum TimerKind {
    /// A timer that the policy has set. Only the policy knows its meaning, so it always fires.
    Policy(TimerId),
    /// The deadline of an attempt.
    AttemptTimeout {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The number of the attempt within its request, from 0.
        number: u32,
    },
    /// The deadline of a request, when its client stops waiting.
    RequestDeadline(RequestId),
}

impl TimerKind {
    /// Whether firing would do nothing: the attempt has ended, or the client no longer waits for the answer.
    fn is_stale(self, requests: &RequestTable) -> bool {
        match self {
            TimerKind::Policy(_) => false,
            TimerKind::RequestDeadline(id) => !requests.is_waiting(id),
            TimerKind::AttemptTimeout { request, number } => {
                !requests.is_in_flight(request, number)
            }
        }
    }
}

/// A timer in the queue. Timers are ordered by due time, and timers with the same due time by when they were set.
#[derive(Clone, Copy, Debug)]
struct Timer {
    /// When the timer is due, on the gateway's clock.
    at: Millis,
    /// The number of the timer in the order in which timers were set.
    sequence: u64,
    kind: TimerKind,
}

impl Ord for Timer {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at
            .total_cmp(&other.at)
            .then(self.sequence.cmp(&other.sequence))
    }
}

impl PartialOrd for Timer {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Timer {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Timer {}

/// The state of the head of the timer queue at a given time.
enum NextTimer {
    /// This timer is due; it has been removed from the queue.
    Due(Timer),
    /// The earliest timer is due at this later time, on the gateway's clock.
    At(Millis),
    /// No timer is set.
    Empty,
}

/// The pending timers, the earliest first.
#[derive(Default)]
pub(super) struct TimerQueue {
    heap: BinaryHeap<Reverse<Timer>>,
    last_sequence: u64,
}

impl TimerQueue {
    /// Sets a timer for `at`; returns whether it is now the earliest.
    fn push(&mut self, at: Millis, kind: TimerKind) -> bool {
        let is_earliest = self.heap.peek().is_none_or(|Reverse(first)| at < first.at);
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.heap.push(Reverse(Timer { at, sequence, kind }));
        is_earliest
    }

    /// Removes stale timers from the head of the queue, so that the timer loop does not wake for them. There are many,
    /// because most requests finish long before their deadlines.
    pub(super) fn remove_stale_timers(&mut self, requests: &RequestTable) {
        while let Some(Reverse(first)) = self.heap.peek() {
            if !first.kind.is_stale(requests) {
                return;
            }
            self.heap.pop();
        }
    }

    /// Removes and returns the earliest timer that is not stale, if it is due at `now`.
    fn next(&mut self, now: Millis, requests: &RequestTable) -> NextTimer {
        self.remove_stale_timers(requests);
        match self.heap.peek().copied() {
            Some(Reverse(first)) if first.at <= now => {
                self.heap.pop();
                NextTimer::Due(first)
            }
            Some(Reverse(first)) => NextTimer::At(first.at),
            None => NextTimer::Empty,
        }
    }

    /// The number of timers of requests and attempts, including stale ones behind the head of the queue.
    #[cfg(test)]
    pub(super) fn request_timer_count(&self) -> usize {
        self.heap
            .iter()
            .filter(|Reverse(timer)| !matches!(timer.kind, TimerKind::Policy(_)))
            .count()
    }
}

impl Driver {
    /// Sets a timer for `at`, on the gateway's clock. A timer in the past fires in the next iteration of the timer
    /// loop, not within this call.
    pub(super) fn set_timer(&self, at: Millis, kind: TimerKind) {
        if self.timers.borrow_mut().push(at, kind) {
            self.earliest_timer_changed.notify_one();
        }
    }

    /// Fires timers when they are due, for as long as the gateway runs, and reports to the stall monitor when each was
    /// due and when it fired.
    pub(crate) async fn run_timers(self: Rc<Self>) {
        loop {
            let now = self.context.clock.now();
            let next = self.timers.borrow_mut().next(now, &self.requests.borrow());
            match next {
                NextTimer::Due(timer) => {
                    self.context.stall_monitor.timer_fired(timer.at, now);
                    self.fire(now, timer.kind);
                }
                NextTimer::At(at) => tokio::select! {
                    () = tokio::time::sleep_until(self.context.clock.instant_at(at)) => {}
                    () = self.earliest_timer_changed.notified() => {}
                },
                NextTimer::Empty => self.earliest_timer_changed.notified().await,
            }
        }
    }

    /// Performs the action of a timer that is due.
    fn fire(&self, now: Millis, kind: TimerKind) {
        match kind {
            TimerKind::Policy(timer) => self.post(now, Event::TimerFired(timer)),
            TimerKind::AttemptTimeout { request, number } => {
                let result = AttemptResult::without_response(Outcome::Timeout);
                self.complete_attempt(request, number, result);
            }
            TimerKind::RequestDeadline(id) => self.expire_request(now, id),
        }
    }

    /// Fails a request whose deadline has passed. The policy normally answers earlier; this makes sure that a request
    /// that the policy still holds gets an answer as well.
    fn expire_request(&self, now: Millis, id: RequestId) {
        let is_waiting = self.requests.borrow().is_waiting(id);
        if is_waiting {
            self.answer(id, Answer::Failed);
            self.post(now, Event::ClientDisconnected(id));
        }
    }
}
