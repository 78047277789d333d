//! The lifecycle of an attempt: started on the policy's request, completed exactly once, and then reported to the
//! policy.
//!
//! Each attempt runs in a task of its own and has a timer for its deadline. An attempt ends with a result, at its
//! deadline, or by cancellation; in the last two cases its task is aborted. The task holds a weak reference to the
//! driver.
//!
//! This module has no state of its own: attempts in flight are in the
//! [`RequestTable`](super::request_table::RequestTable), with their requests.

use super::request_table::{Attempt, PendingRequest};
use super::timers::TimerKind;
use super::Driver;
use crate::net::messages::{Answer, AttemptResult, UpstreamRequest};
use crate::net::runtime::budget::AttemptDeadline;
use crate::net::upstream::pool_driver::AttemptHandle;
use cometspool::{AttemptCompleted, BackendId, DeliveryMode, Event, Millis, Outcome, RequestId};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

/// A running attempt; resolves to its result.
pub(super) type AttemptFuture = Pin<Box<dyn Future<Output = AttemptResult>>>;

/// Runs one attempt: over sockets in the gateway, by a script in tests.
pub(super) type AttemptExecutor = dyn Fn(
    BackendId,
    Rc<UpstreamRequest>,
    AttemptDeadline,
    DeliveryMode,
    AttemptHandle,
) -> AttemptFuture;

/// The policy's time limits for an attempt.
pub(super) struct AttemptLimits {
    /// How long the attempt may take, in milliseconds; `None` for as long as the request's budget permits.
    pub timeout: Option<Millis>,
    /// The time before which the attempt has to start at its backend, on the gateway's clock; `None` for no limit.
    pub begin_before: Option<Millis>,
}

/// Identifies an attempt in its report to the policy.
struct AttemptKey {
    request: RequestId,
    number: u32,
    backend: BackendId,
}

impl Driver {
    /// Starts an attempt of a request if the request's budget and the settings permit one; otherwise reports the
    /// attempt to the policy as not sent.
    pub(super) fn send(
        &self,
        id: RequestId,
        backend: BackendId,
        limits: AttemptLimits,
        delivery: DeliveryMode,
    ) {
        let now = self.context.clock.now();
        let mut requests = self.requests.borrow_mut();
        let Some(request) = requests.get_mut(id) else {
            return;
        };
        let number = request.attempts;
        request.attempts += 1;
        let is_permitted = request.permits_attempt(number, backend, &self.context.settings);
        let deadline = request
            .budget
            .attempt_deadline(now, limits.timeout)
            .filter(|_| is_permitted);
        let Some(deadline) = deadline else {
            drop(requests);
            self.report_not_sent(now, id, number, backend);
            return;
        };
        let deadline = deadline.begin_before(limits.begin_before);
        self.record_sent(request);
        let handle = AttemptHandle::default();
        let attempt = (self.executor)(
            backend,
            request.upstream_request.clone(),
            deadline,
            delivery,
            handle.clone(),
        );
        self.spawn_attempt(id, number, attempt, &handle);
        request.in_flight.push(Attempt {
            number,
            backend,
            sent_at: now,
            handle,
        });
        drop(requests);
        let timeout = TimerKind::AttemptTimeout {
            request: id,
            number,
        };
        self.set_timer(deadline.end(), timeout);
    }

    /// Records in the hand-over file that a non-idempotent request may have run from now on, so that the next process
    /// does not run it again.
    fn record_sent(&self, request: &PendingRequest) {
        if request.is_idempotent {
            return;
        }
        if let Some(handover) = self.handover.borrow_mut().as_mut() {
            handover.record_sent(&request.upstream_request.id, request.budget.end());
        }
    }

    /// Runs an attempt in a task of its own, which completes the attempt with its result. `handle` can abort the task.
    fn spawn_attempt(
        &self,
        id: RequestId,
        number: u32,
        attempt: AttemptFuture,
        handle: &AttemptHandle,
    ) {
        let weak_self = self.weak_self.clone();
        let task = tokio::task::spawn_local(async move {
            let result = attempt.await;
            if let Some(driver) = weak_self.upgrade() {
                driver.complete_attempt(id, number, result);
            }
        });
        handle.set_task(task.abort_handle());
    }

    /// Reports an attempt that was not permitted to the policy, which then decides again about the request.
    fn report_not_sent(&self, now: Millis, request: RequestId, number: u32, backend: BackendId) {
        let key = AttemptKey {
            request,
            number,
            backend,
        };
        let result = AttemptResult::without_response(Outcome::NotSent);
        let completed = completion_report(key, 0.0, &result, false);
        self.post(now, Event::AttemptCompleted(completed));
    }

    /// Completes an attempt and reports its result to the policy. An attempt may end in several ways at about the same
    /// time: the first call determines its result, and later calls do nothing.
    pub(super) fn complete_attempt(&self, id: RequestId, number: u32, result: AttemptResult) {
        let now = self.context.clock.now();
        if let Some(completed) = self.record_result(now, id, number, result) {
            self.post(now, Event::AttemptCompleted(completed));
            self.finish(id);
        }
    }

    /// Removes an attempt from those in flight and passes a successful response on to the client; `None` if the attempt
    /// has already been completed.
    fn record_result(
        &self,
        now: Millis,
        id: RequestId,
        number: u32,
        mut result: AttemptResult,
    ) -> Option<AttemptCompleted> {
        let mut requests = self.requests.borrow_mut();
        let request = requests.get_mut(id)?;
        let attempt = request.take_attempt(number)?;
        if matches!(result.outcome, Outcome::Cancelled | Outcome::Timeout) {
            // If the connection is closed before the request is fully written, the backend cannot run the request.
            if result.outcome == Outcome::Timeout && !attempt.handle.is_fully_written() {
                result.outcome = Outcome::ConnectFailed;
            }
            attempt.handle.abandon();
        }
        if result.outcome == Outcome::Ok {
            if let Some(sender) = request.answer.take() {
                // An error means that the client has disconnected and needs no answer.
                let _ = sender.send(Answer::Served(result.body.clone()));
            }
        }
        // No further attempt is made for a client that has disconnected.
        if request.is_waiting() && request.upstream_request.client.is_disconnected() {
            request.answer = None;
        }
        let key = AttemptKey {
            request: id,
            number,
            backend: attempt.backend,
        };
        let elapsed = now - attempt.sent_at;
        Some(completion_report(
            key,
            elapsed,
            &result,
            !request.is_waiting(),
        ))
    }
}

/// Builds the report to the policy on an attempt that ended after `elapsed` milliseconds.
fn completion_report(
    key: AttemptKey,
    elapsed: Millis,
    result: &AttemptResult,
    request_closed: bool,
) -> AttemptCompleted {
    AttemptCompleted {
        request: key.request,
        attempt: key.number,
        backend: key.backend,
        outcome: result.outcome,
        elapsed,
        request_closed,
        quota_usage: result.quota_usage,
        actual_units: result.actual_units,
        load_report: result.load_report,
        broken_connections: result.broken_connections,
    }
}
