//! The lifecycle of a request, from its arrival to its one final answer.
//!
//! This module has no state of its own: requests are in the
//! [`RequestTable`](super::request_table::RequestTable).

use super::request_table::PendingRequest;
use super::timers::TimerKind;
use super::Driver;
use crate::net::downstream::connections::RequestHandler;
use crate::net::messages::{Answer, AttemptResult, IncomingRequest, UpstreamRequest};
use crate::net::runtime::budget::Budget;
use cometspool::{ClassId, Event, Idempotency, Millis, Outcome, Request, RequestId};
use tokio::sync::oneshot;

/// How long before the end of a graceful shutdown all requests are answered, so that the last answers can be written
/// before the process ends, in milliseconds.
pub(super) const FINAL_WRITE_MARGIN: Millis = 100.0;

/// A request that has been added to the table.
struct AcceptedRequest {
    id: RequestId,
    /// The time that the request may take: its own budget, shortened by a shutdown or by a deadline in the hand-over
    /// record.
    budget: Budget,
    /// Receives the final answer.
    answer: oneshot::Receiver<Answer>,
}

impl Driver {
    /// Sends a request its final answer, unless it has one already.
    pub(super) fn answer(&self, id: RequestId, answer: Answer) {
        let sender = self
            .requests
            .borrow_mut()
            .get_mut(id)
            .and_then(|request| request.answer.take());
        if let Some(sender) = sender {
            // An error means that the client has disconnected and needs no answer.
            let _ = sender.send(answer);
        }
        self.finish(id);
    }

    /// Finishes a request that has its final answer or whose client has disconnected. Attempts that are not fully
    /// written are cancelled, because nobody would receive their responses. An attempt that is fully written is
    /// cancelled only by the policy, which knows whether the settings permit cancellation.
    pub(super) fn finish(&self, id: RequestId) {
        let unwritten = self.requests.borrow().unwritten_attempts(id);
        for number in unwritten {
            let result = AttemptResult::without_response(Outcome::Cancelled);
            self.complete_attempt(id, number, result);
        }
        self.requests.borrow_mut().remove_if_finished(id);
    }

    /// Adds a request to the table; `None` if its wire id is in use, or if the hand-over record says that the request
    /// may have run in the previous process.
    fn accept(
        &self,
        now: Millis,
        class: ClassId,
        budget: Budget,
        upstream_request: UpstreamRequest,
    ) -> Option<AcceptedRequest> {
        let mut requests = self.requests.borrow_mut();
        let mut handover = self.handover.borrow_mut();
        requests.evict_finished_ids(now);
        let wire_id = upstream_request.id.clone();
        let previous = handover
            .as_ref()
            .and_then(|handover| handover.previous_record(&wire_id));
        if previous.is_some_and(|previous| previous.may_have_run) {
            return None;
        }
        if !requests.claim_wire_id(wire_id.clone()) {
            return None;
        }
        let mut budget = budget;
        if let Some(end) = self.shutdown_deadline.get() {
            budget = budget.capped_at(end);
        }
        if let Some(previous) = previous {
            budget = budget.capped_at(previous.deadline);
        }
        if let Some(handover) = handover.as_mut() {
            handover.record_accepted(&wire_id, budget.end());
        }
        let idempotency = self.context.settings.classes[class.0].idempotency;
        let is_idempotent = idempotency == Idempotency::Idempotent;
        let (sender, answer) = oneshot::channel();
        let request = PendingRequest::new(upstream_request, budget, is_idempotent, sender);
        let id = requests.insert(request);
        Some(AcceptedRequest { id, budget, answer })
    }
}

impl RequestHandler for Driver {
    fn is_ready(&self) -> bool {
        !self.endpoints.borrow().is_empty()
    }

    fn submit(&self, incoming: IncomingRequest) -> Option<(RequestId, oneshot::Receiver<Answer>)> {
        let now = self.context.clock.now();
        let accepted = self.accept(
            now,
            incoming.class,
            incoming.budget,
            incoming.upstream_request,
        )?;
        let id = accepted.id;
        let deadline = accepted.budget.end();
        self.set_timer(deadline, TimerKind::RequestDeadline(id));
        let request = Request {
            id,
            customer: incoming.customer,
            plan: incoming.plan,
            class: incoming.class,
            units: incoming.units,
            deadline,
            gateway_count: incoming.gateway_count,
            is_retry: incoming.is_retry,
            queued_for: (now - incoming.received_at).max(0.0),
        };
        if incoming.budget.is_expired(now) {
            // The request lay unread until its client stopped waiting, so the policy has nothing to decide.
            self.answer(id, Answer::Failed);
        } else {
            self.post(now, Event::RequestArrived(request));
        }
        Some((id, accepted.answer))
    }

    fn client_disconnected(&self, id: RequestId) {
        let sender = self
            .requests
            .borrow_mut()
            .get_mut(id)
            .and_then(|request| request.answer.take());
        if sender.is_some() {
            self.post(self.context.clock.now(), Event::ClientDisconnected(id));
            self.finish(id);
        }
    }

    fn begin_shutdown(&self, end: Millis) {
        let end = end - FINAL_WRITE_MARGIN;
        self.shutdown_deadline.set(Some(end));
        let capped = self.requests.borrow_mut().cap_budgets(end);
        for id in capped {
            self.set_timer(end, TimerKind::RequestDeadline(id));
        }
    }

    fn reject_new_requests(&self) {
        let end = self.shutdown_deadline.get().unwrap_or_default();
        self.post(self.context.clock.now(), Event::ShutdownStarted(end));
    }

    fn pending_requests(&self) -> usize {
        self.requests.borrow().waiting_count()
    }
}
