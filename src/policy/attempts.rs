//! The part of the engine that handles attempts: it sends, hedges and retries them, and gives a request its final
//! answer.

use super::backends::InFlightAttempt;
use super::load_balancing::Selection;
use super::overload;
use super::pending::{Attempt, PendingRequest};
use super::retry::RetryScope;
use super::timers::PolicyTimer;
use super::{PolicyEngine, Rejection};
use crate::policy_api::*;

/// Minimum units that an attempt counts as load: a request of zero units takes time as well.
const MIN_LOAD_UNITS: f64 = 0.01;

/// The time limits of one attempt.
struct AttemptTiming {
    /// Attempt timeout, ms.
    timeout: Millis,
    /// Time after which the request may be hedged, ms; `None` if it must not be.
    hedge_after: Option<Millis>,
}

impl PolicyEngine {
    /// Sends an attempt of a pending request to the selected backend.
    pub(super) fn send_attempt(
        &mut self,
        now: Millis,
        id: RequestId,
        selection: Selection,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let Some(index) = self.backends.find(selection.backend) else {
            return;
        };
        let units = pending.request.units.max(MIN_LOAD_UNITS);
        let load = self.backends.all[index].load() + units;
        let expected = self.backends.unit_time(&self.backends.all[index]) * load;
        let timing = self.attempt_timing(now, pending, expected);
        if let Some(hedge_after) = timing.hedge_after.filter(|_| pending.in_flight.is_empty()) {
            let timer = PolicyTimer::Hedge {
                request: id,
                attempt: pending.attempts_sent,
            };
            actions.push(Action::SetTimer {
                at: now + hedge_after,
                timer: timer.id(),
            });
        }
        actions.push(Action::Send {
            request: id,
            backend: selection.backend,
            timeout: Some(timing.timeout),
            begin_before: self.retry.key_expires_at(pending),
            delivery: self.retry.delivery(now, pending),
        });
        let in_flight = InFlightAttempt {
            sent_at: now,
            class: pending.request.class,
            load,
            units,
        };
        self.record_sent(now, id, index, in_flight, selection.warm_backend_rate);
    }

    /// Computes the time limits of a request's next attempt, whose expected time is `expected`, in ms.
    fn attempt_timing(
        &self,
        now: Millis,
        pending: &PendingRequest,
        expected: Millis,
    ) -> AttemptTiming {
        let settings = &self.context.settings;
        let time_left = self.retry.final_deadline(pending) - now;
        let has_capacity = self.window.has_capacity_for_retries();
        let timeout = self
            .retry
            .attempt_timeout(now, pending, expected, has_capacity);
        // A hedge costs less than a timeout, since the first attempt may still be answered.
        let is_hedged = settings.hedging && timeout < time_left;
        let limit = if is_hedged {
            time_left
        } else {
            timeout.min(time_left)
        };
        AttemptTiming {
            timeout: limit.max(settings.tick),
            hedge_after: is_hedged.then_some(timeout),
        }
    }

    /// Counts an attempt that is sent, for its customer, its backend and its request.
    fn record_sent(
        &mut self,
        now: Millis,
        id: RequestId,
        index: usize,
        in_flight: InFlightAttempt,
        warm_backend_rate: f64,
    ) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let backend = &mut self.backends.all[index];
        let settings = &self.context.settings;
        self.quotas.attempt_sent(pending.request.customer);
        backend.attempt_sent(now, id, in_flight, warm_backend_rate, settings);
        pending.in_flight.push(Attempt {
            index: pending.attempts_sent,
            backend: backend.entry.id,
            sent_at: now,
            zone: backend.entry.zone,
            cell: backend.entry.cell,
        });
        pending.attempts_sent += 1;
    }

    /// Records the end of an attempt. Then closes its request, retries it or gives it a final answer, as needed.
    pub(super) fn attempt_completed(
        &mut self,
        now: Millis,
        completed: &AttemptCompleted,
        actions: &mut Vec<Action>,
    ) {
        let id = completed.request;
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let Some(attempt) = pending.remove_attempt(completed) else {
            return;
        };
        if !completed.outcome.never_ran() {
            pending.record_execution(attempt);
        }
        let pending = pending.clone();
        self.observe_completion(now, &pending, completed, actions);
        let is_served = completed.outcome == Outcome::Ok;
        if completed.request_closed || pending.is_answered || is_served {
            // A hedged attempt that is still in flight is of no use any more.
            if pending.in_flight.is_empty() || !pending.is_answered {
                self.close_request(id, actions);
            }
            return;
        }
        // No retry: the other attempt in flight may use all of the time that both had.
        if !pending.in_flight.is_empty() {
            return;
        }
        let is_retried = !pending.stream_started
            && self.retry.may_retry(now, &pending)
            && self.send_retry(now, &pending, actions);
        if !is_retried {
            actions.push(self.final_answer(now, &pending));
            self.pending.remove(&id);
        }
    }

    /// Records what the end of an attempt shows about latency, its backend and its customer.
    fn observe_completion(
        &mut self,
        now: Millis,
        pending: &PendingRequest,
        completed: &AttemptCompleted,
        actions: &mut Vec<Action>,
    ) {
        let request = &pending.request;
        if completed.outcome == Outcome::Ok {
            let elapsed = completed.elapsed.max(0.0);
            self.retry.observe_service_time(request.class, elapsed);
            let objective = self.context.class(request.class).latency_objective;
            if now - pending.arrived_at <= objective {
                self.load_balancer.record_served(now, request.units);
            }
            if !pending.is_slow {
                let slow_after = self.slow_at(pending) - pending.arrived_at;
                let elapsed = now - pending.arrived_at;
                let latency = overload::latency_fraction(elapsed, slow_after);
                self.window.observe_latency(now, latency);
            }
        }
        if completed.broken_connections > 0 {
            self.retry.record_broken_connection(now);
        }
        let backend_actions =
            self.backends
                .attempt_completed(now, request, completed, &mut self.rng);
        actions.extend(backend_actions);
        self.quotas.attempt_completed(now, request, completed);
    }

    /// Sends one more attempt and charges it to the retry budget. Returns `false` if no backend may be sent it.
    fn send_retry(
        &mut self,
        now: Millis,
        pending: &PendingRequest,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(selection) = self.select_backend(now, pending) else {
            return false;
        };
        self.retry.withdraw();
        self.send_attempt(now, pending.request.id, selection, actions);
        true
    }

    /// Hedges a request whose attempt has been in flight too long: sends a second attempt, with the same final
    /// deadline.
    pub(super) fn hedge(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: u32,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.unanswered(id) else {
            return;
        };
        let is_only_attempt = pending.in_flight.len() == 1 && pending.in_flight[0].index == attempt;
        let may_hedge = is_only_attempt
            && self.window.has_capacity_for_retries()
            && self.retry.may_retry(now, pending);
        if may_hedge {
            let pending = pending.clone();
            self.send_retry(now, &pending, actions);
        }
    }

    /// Handles the timer of a request: records that the request is slow, or gives it its final answer at its final
    /// deadline.
    pub(super) fn request_timer_fired(
        &mut self,
        now: Millis,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.unanswered(id) else {
            return;
        };
        let final_deadline = self.retry.final_deadline(pending);
        if now >= final_deadline || pending.is_slow {
            actions.push(self.final_answer(now, pending));
            self.close_request(id, actions);
            return;
        }
        actions.push(Action::SetTimer {
            at: final_deadline,
            timer: PolicyTimer::RequestDeadline(id).id(),
        });
        // An attempt that hangs is no sign of queues. If it narrowed the admission window, requests would be rejected
        // that the backends have capacity for.
        let is_hanging = pending
            .in_flight
            .first()
            .is_some_and(|attempt| self.backends.is_hanging(now, attempt.backend, id));
        if !is_hanging {
            self.window.observe_latency(now, 1.0);
        }
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.is_slow = true;
        }
    }

    /// The final answer of a request that was not served: a rejection only if the client can safely retry.
    fn final_answer(&self, now: Millis, pending: &PendingRequest) -> Action {
        let id = pending.request.id;
        if self.retry.scope(now, pending) == RetryScope::Anywhere {
            self.reject(id, &Rejection::new(RejectReason::AttemptsFailed))
        } else {
            Action::Fail(id)
        }
    }

    /// Closes a request and cancels its attempts in flight.
    pub(super) fn close_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.is_answered = true;
        if pending.in_flight.is_empty() {
            self.pending.remove(&id);
            return;
        }
        if self.context.settings.cancellation && !pending.stream_started {
            for attempt in &pending.in_flight {
                actions.push(Action::CancelAttempt {
                    request: id,
                    attempt: attempt.index,
                });
            }
        }
    }

    /// A pending request, unless any part of an answer has gone to the client.
    fn unanswered(&self, id: RequestId) -> Option<&PendingRequest> {
        self.pending
            .get(&id)
            .filter(|pending| pending.is_unanswered())
    }
}
