//! The timer queue, and the loop that fires what is due.
//!
//! Bound: a timer of a request or an attempt is kept until its time, which its request's budget limits, and is
//! dropped early once it is first and has nothing left to do. How many timers the policy has is up to the policy.

use super::request_table::RequestTable;
use super::Driver;
use crate::net::messages::{Answer, AttemptResult};
use cometspool::{Event, Millis, Outcome, RequestId, TimerId};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::rc::Rc;

/// What a timer is for.
#[derive(Clone, Copy, Debug)]
pub(super) enum TimerKind {
    /// The policy asked for it and alone knows its meaning: it always fires.
    Policy(TimerId),
    /// An attempt has taken all the time that it has.
    AttemptTimeout {
        /// Whose attempt.
        request: RequestId,
        /// Which attempt of the request, from 0.
        number: u32,
    },
    /// The client of a request stops waiting.
    RequestDeadline(RequestId),
}

impl TimerKind {
    /// Whether firing would do nothing: the attempt has ended, or nobody waits for the request.
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

/// A timer in the queue, ordered by time; of two for one time, the one set first comes first.
#[derive(Clone, Copy, Debug)]
struct Timer {
    /// When it is due, on the gateway's clock.
    at: Millis,
    /// Counts the timers in the order in which they were set.
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

/// What the head of the queue says at some time.
enum NextTimer {
    /// This timer is due, and has left the queue.
    Due(Timer),
    /// The first timer is due at this time, on the gateway's clock.
    At(Millis),
    /// No timer is set.
    Empty,
}

/// The timers that are set, the earliest first.
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

    /// Removes timers from the head that have nothing left to do, so that the loop does not wake for them. Most
    /// requests finish long before their deadlines.
    pub(super) fn remove_stale_timers(&mut self, requests: &RequestTable) {
        while let Some(Reverse(first)) = self.heap.peek() {
            if !first.kind.is_stale(requests) {
                return;
            }
            self.heap.pop();
        }
    }

    /// Takes the first timer that has something to do, if it is due at `now`.
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

    /// Timers of requests and attempts, stale ones behind the head included.
    #[cfg(test)]
    pub(super) fn request_timer_count(&self) -> usize {
        self.heap
            .iter()
            .filter(|Reverse(timer)| !matches!(timer.kind, TimerKind::Policy(_)))
            .count()
    }
}

impl Driver {
    /// Sets a timer for `at`, on the gateway's clock. A timer in the past fires in the next turn of the loop, not here.
    pub(super) fn set_timer(&self, at: Millis, kind: TimerKind) {
        if self.timers.borrow_mut().push(at, kind) {
            self.earlier_timer.notify_one();
        }
    }

    /// Fires timers when they are due, for as long as the gateway runs, and tells the stall monitor how late each was.
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
                    () = self.earlier_timer.notified() => {}
                },
                NextTimer::Empty => self.earlier_timer.notified().await,
            }
        }
    }

    /// Does what a timer is for.
    fn fire(&self, now: Millis, kind: TimerKind) {
        match kind {
            TimerKind::Policy(timer) => self.post(now, Event::TimerFired(timer)),
            TimerKind::AttemptTimeout { request, number } => {
                let result = AttemptResult::without_response(Outcome::Timeout);
                self.settle(request, number, result);
            }
            TimerKind::RequestDeadline(id) => self.expire_request(now, id),
        }
    }

    /// Fails a request whose deadline has passed. The policy answers before that; a request that it holds back must
    /// not stay without an answer.
    fn expire_request(&self, now: Millis, id: RequestId) {
        let is_waiting = self.requests.borrow().is_waiting(id);
        if is_waiting {
            self.answer(id, Answer::Failed);
            self.post(now, Event::ClientDisconnected(id));
        }
    }
}
