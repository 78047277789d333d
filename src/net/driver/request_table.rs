//! The request table: pending requests, their attempts, and the wire ids that are in use.
//!
//! The wire id of a request is the id that its client has given it in a header. A [`RequestId`] is the gateway's own
//! number for the request.
//!
//! Bounds: a request stays in the table until it has its final answer and its last attempt has ended. Timers enforce
//! both by the deadline that the request arrived with. Each request has at most two attempts in flight. The wire ids
//! of finished requests are kept until [`FINISHED_ID_RETENTION`] after their deadlines, at most [`MAX_FINISHED_IDS`] of
//! them, and are evicted when the next request arrives.

use crate::net::messages::{Answer, UpstreamRequest};
use crate::net::runtime::budget::Budget;
use crate::net::upstream::pool_driver::AttemptHandle;
use cometspool::{BackendId, Millis, RequestId, Settings};
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;
use tokio::sync::oneshot;

/// How long after its deadline the wire id of a finished request is still refused, in milliseconds. Every request has
/// a wire id of its own, even when a client retries, so a wire id that comes again is a duplicate: forwarding it would
/// run the request a second time.
const FINISHED_ID_RETENTION: Millis = 5000.0;
/// The maximum number of wire ids of finished requests that are kept.
const MAX_FINISHED_IDS: usize = 8192;

/// An attempt that is in flight.
pub(super) struct Attempt {
    /// The number of the attempt within its request, from 0.
    pub number: u32,
    /// The backend that the attempt was sent to.
    pub backend: BackendId,
    /// When the attempt started, on the gateway's clock.
    pub sent_at: Millis,
    /// Cancels the attempt, and tells whether its request has been fully written.
    pub handle: AttemptHandle,
}

/// A request that has no final answer yet, or has at least one attempt in flight.
pub(super) struct PendingRequest {
    /// The request that each attempt sends to its backend.
    pub upstream_request: Rc<UpstreamRequest>,
    /// The time that the request may take.
    pub budget: Budget,
    /// The channel for the final answer; `None` once the answer has been sent or the client has disconnected.
    pub answer: Option<oneshot::Sender<Answer>>,
    /// Whether the request may be executed more than once without harm.
    pub is_idempotent: bool,
    /// The number of attempts started so far, those that were not permitted included.
    pub attempts: u32,
    /// The attempts that have not ended: at most one, or two if hedging is permitted.
    pub in_flight: Vec<Attempt>,
}

impl PendingRequest {
    /// Creates a request without attempts whose final answer is sent to `answer`.
    pub(super) fn new(
        upstream_request: UpstreamRequest,
        budget: Budget,
        is_idempotent: bool,
        answer: oneshot::Sender<Answer>,
    ) -> PendingRequest {
        PendingRequest {
            upstream_request: Rc::new(upstream_request),
            budget,
            answer: Some(answer),
            is_idempotent,
            attempts: 0,
            in_flight: Vec::new(),
        }
    }

    /// Whether the client still waits for the final answer.
    pub(super) fn is_waiting(&self) -> bool {
        self.answer.is_some()
    }

    /// Whether attempt `number` may be sent to `backend` now: the client waits, and the settings permit a further
    /// attempt.
    pub(super) fn permits_attempt(
        &self,
        number: u32,
        backend: BackendId,
        settings: &Settings,
    ) -> bool {
        let max_in_flight = if settings.hedging { 2 } else { 1 };
        // A hedged request must go to another backend than the first attempt: the policy tells their results apart by
        // the backend.
        let is_new_backend = self
            .in_flight
            .iter()
            .all(|attempt| attempt.backend != backend);
        self.is_waiting()
            && self.in_flight.len() < max_in_flight
            && number < settings.max_attempts
            && is_new_backend
    }

    /// Whether attempt `number` is in flight.
    pub(super) fn is_in_flight(&self, number: u32) -> bool {
        self.in_flight
            .iter()
            .any(|attempt| attempt.number == number)
    }

    /// Removes and returns attempt `number`, if it is in flight.
    pub(super) fn take_attempt(&mut self, number: u32) -> Option<Attempt> {
        let index = self
            .in_flight
            .iter()
            .position(|attempt| attempt.number == number)?;
        Some(self.in_flight.remove(index))
    }
}

/// A finished request whose wire id is still refused.
struct FinishedRequest {
    wire_id: Rc<str>,
    deadline: Millis,
}

/// The pending requests, and the wire ids that are in use.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: HashMap<RequestId, PendingRequest>,
    /// The wire ids in use: those of the requests in the table and of those in `finished`.
    wire_ids: HashSet<Rc<str>>,
    /// Finished requests whose wire ids are still in use, in the order in which they finished.
    finished: VecDeque<FinishedRequest>,
    /// The request id that was assigned last.
    last_id: u32,
}

impl RequestTable {
    /// Returns a request, if it is in the table.
    pub(super) fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    /// Returns a request for modification, if it is in the table.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// Marks a wire id as in use; returns `false` if it was in use already.
    pub(super) fn claim_wire_id(&mut self, wire_id: Rc<str>) -> bool {
        self.wire_ids.insert(wire_id)
    }

    /// Adds a request whose wire id has been claimed, and assigns it a request id.
    pub(super) fn insert(&mut self, request: PendingRequest) -> RequestId {
        let id = self.next_id();
        self.requests.insert(id, request);
        id
    }

    /// Returns the next request id that no request in the table has. Ids wrap around, so an id may still be in use.
    fn next_id(&mut self) -> RequestId {
        loop {
            self.last_id = self.last_id.wrapping_add(1);
            let id = RequestId(self.last_id);
            if !self.requests.contains_key(&id) {
                return id;
            }
        }
    }

    /// Whether the client of a request still waits for its final answer.
    pub(super) fn is_waiting(&self, id: RequestId) -> bool {
        self.get(id).is_some_and(PendingRequest::is_waiting)
    }

    /// Whether attempt `number` of a request is in flight.
    pub(super) fn is_in_flight(&self, id: RequestId, number: u32) -> bool {
        self.get(id)
            .is_some_and(|request| request.is_in_flight(number))
    }

    /// The number of requests whose clients wait for the final answer.
    pub(super) fn waiting_count(&self) -> usize {
        self.requests
            .values()
            .filter(|request| request.is_waiting())
            .count()
    }

    /// Returns the numbers of a request's attempts that are not fully written and therefore cannot have run. Empty
    /// while the client waits for the answer.
    pub(super) fn unwritten_attempts(&self, id: RequestId) -> Vec<u32> {
        let Some(request) = self.get(id) else {
            return Vec::new();
        };
        if request.is_waiting() {
            return Vec::new();
        }
        request
            .in_flight
            .iter()
            .filter(|attempt| !attempt.handle.is_fully_written())
            .map(|attempt| attempt.number)
            .collect()
    }

    /// Caps all budgets at `end`, on the gateway's clock; returns the requests whose budgets were longer.
    pub(super) fn cap_budgets(&mut self, end: Millis) -> Vec<RequestId> {
        let mut capped = Vec::new();
        for (id, request) in &mut self.requests {
            if request.budget.end() > end {
                request.budget = request.budget.capped_at(end);
                capped.push(*id);
            }
        }
        capped
    }

    /// Removes a request if its client does not wait for an answer and none of its attempts is in flight. Its wire id
    /// stays in use until [`RequestTable::evict_finished_ids`] frees it.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        let is_finished = self
            .get(id)
            .is_some_and(|request| !request.is_waiting() && request.in_flight.is_empty());
        if !is_finished {
            return;
        }
        if let Some(request) = self.requests.remove(&id) {
            self.finished.push_back(FinishedRequest {
                wire_id: request.upstream_request.id.clone(),
                deadline: request.budget.end(),
            });
        }
    }

    /// Frees the wire ids of requests whose deadlines passed more than [`FINISHED_ID_RETENTION`] ago, and the oldest
    /// ones beyond [`MAX_FINISHED_IDS`].
    pub(super) fn evict_finished_ids(&mut self, now: Millis) {
        while let Some(oldest) = self.finished.front() {
            let is_retained = now - oldest.deadline < FINISHED_ID_RETENTION;
            if is_retained && self.finished.len() <= MAX_FINISHED_IDS {
                return;
            }
            if let Some(oldest) = self.finished.pop_front() {
                self.wire_ids.remove(&oldest.wire_id);
            }
        }
    }

    /// The number of requests in the table.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }
}
