//! Attempts: started when the policy asks for one, settled once, and then reported to the policy.
//!
//! Each runs in a task of its own, with a timer for its deadline. It ends by its result, by that timer, or by being
//! cancelled; the task holds the driver only weakly and is aborted in the last two cases.
//!
//! Holds no state of its own: attempts in flight are in the [`RequestTable`](super::request_table::RequestTable)
//! with their request.

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

/// An attempt that is being carried out.
pub(super) type AttemptFuture = Pin<Box<dyn Future<Output = AttemptResult>>>;

/// Carries out one attempt: over sockets, or as a test scripts it.
pub(super) type AttemptExecutor = dyn Fn(
    BackendId,
    Rc<UpstreamRequest>,
    AttemptDeadline,
    DeliveryMode,
    AttemptHandle,
) -> AttemptFuture;

/// The policy's bounds on the time of an attempt.
pub(super) struct AttemptLimits {
    /// How long it may take, in milliseconds.
    pub timeout: Option<Millis>,
    /// The time before which it has to reach its backend, on the gateway's clock.
    pub begin_before: Option<Millis>,
}

/// Which attempt of which request went where.
struct AttemptKey {
    request: RequestId,
    number: u32,
    backend: BackendId,
}

impl Driver {
    /// Starts an attempt of a request, if its budget and the settings permit one; else reports it as not sent.
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

    /// Records for a successor that a request which must not run twice may have run from now on.
    fn record_sent(&self, request: &PendingRequest) {
        if request.is_idempotent {
            return;
        }
        if let Some(handover) = self.handover.borrow_mut().as_mut() {
            handover.record_sent(&request.upstream_request.id, request.budget.end());
        }
    }

    /// Runs an attempt in a task of its own, which settles it. The handle can cancel that task.
    fn spawn_attempt(
        &self,
        id: RequestId,
        number: u32,
        attempt: AttemptFuture,
        handle: &AttemptHandle,
    ) {
        let own = self.own.clone();
        let task = tokio::task::spawn_local(async move {
            let result = attempt.await;
            if let Some(driver) = own.upgrade() {
                driver.settle(id, number, result);
            }
        });
        handle.set_task(task.abort_handle());
    }

    /// Reports to the policy an attempt that was not permitted, so that it decides anew.
    fn report_not_sent(&self, now: Millis, request: RequestId, number: u32, backend: BackendId) {
        let key = AttemptKey {
            request,
            number,
            backend,
        };
        let result = AttemptResult::without_response(Outcome::NotSent);
        let completed = completed(key, 0.0, &result, false);
        self.post(now, Event::AttemptCompleted(completed));
    }

    /// Settles an attempt and reports it to the policy. An attempt may end in several ways at about the same time; only the
    /// first one counts, and later calls do nothing.
    pub(super) fn settle(&self, id: RequestId, number: u32, result: AttemptResult) {
        let now = self.context.clock.now();
        if let Some(completed) = self.record_result(now, id, number, result) {
            self.post(now, Event::AttemptCompleted(completed));
            self.finish(id);
        }
    }

    /// Removes an attempt from those in flight and passes a good response to the client; `None` if the attempt has
    /// been settled before.
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
            // What is not fully written when its connection is closed cannot run.
            if result.outcome == Outcome::Timeout && !attempt.handle.is_fully_written() {
                result.outcome = Outcome::ConnectFailed;
            }
            attempt.handle.abandon();
        }
        if result.outcome == Outcome::Ok {
            if let Some(sender) = request.answer.take() {
                // An error means that the client has disconnected: there is nobody to answer.
                let _ = sender.send(Answer::Served(result.body.clone()));
            }
        }
        // A client that has disconnected gets no further attempt.
        if request.is_waiting() && request.upstream_request.client.is_disconnected() {
            request.answer = None;
        }
        let key = AttemptKey {
            request: id,
            number,
            backend: attempt.backend,
        };
        let elapsed = now - attempt.sent_at;
        Some(completed(key, elapsed, &result, !request.is_waiting()))
    }
}

/// The report to the policy of an attempt that ended after `elapsed` milliseconds.
fn completed(
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
