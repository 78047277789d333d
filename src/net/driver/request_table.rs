//! The request table: requests in progress, their attempts, and the ids on the wire that are taken.
//!
//! Bounds: a request stays until it has its final answer and its last attempt has ended. Both have timers that end them
//! at the deadline that the request came with, at the latest. Each request has at most two attempts in flight. Ids of
//! finished requests are kept until [`FINISHED_ID_RETENTION`] after their deadline, and at most [`MAX_FINISHED_IDS`]
//! of them; they are evicted when the next request arrives.

use crate::net::messages::{Answer, UpstreamRequest};
use crate::net::runtime::budget::Budget;
use crate::net::upstream::pool_driver::AttemptHandle;
use cometspool::{BackendId, Millis, RequestId, Settings};
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;
use tokio::sync::oneshot;

/// How long after its deadline the id of a finished request is still refused, in milliseconds. Every request has an
/// id of its own, a client's retry too: forwarding a request whose id has come before would run it a second time.
const FINISHED_ID_RETENTION: Millis = 5000.0;
/// Ids of finished requests that are kept at most.
const MAX_FINISHED_IDS: usize = 8192;

/// An attempt that is in flight.
pub(super) struct Attempt {
    /// Which attempt of its request it is, from 0.
    pub number: u32,
    /// Where it went.
    pub backend: BackendId,
    /// When it was sent, on the gateway's clock.
    pub sent_at: Millis,
    /// Cancels it, and knows whether it is fully written.
    pub handle: AttemptHandle,
}

/// A request that has no final answer yet, or an attempt of which is still in flight.
pub(super) struct PendingRequest {
    /// What is forwarded with every attempt.
    pub upstream_request: Rc<UpstreamRequest>,
    /// Its time.
    pub budget: Budget,
    /// Present until the one final answer has been handed over, or the client has disconnected.
    pub answer: Option<oneshot::Sender<Answer>>,
    /// Whether running it again is harmless.
    pub is_idempotent: bool,
    /// Attempts begun so far.
    pub attempts: u32,
    /// The attempts that have not ended: one, or two where hedging is permitted.
    pub in_flight: Vec<Attempt>,
}

impl PendingRequest {
    /// A request without attempts, whose final answer goes to `answer`.
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

    /// Whether its client still waits for the final answer.
    pub(super) fn is_waiting(&self) -> bool {
        self.answer.is_some()
    }

    /// Whether the settings permit that attempt `number` goes to `backend` now.
    pub(super) fn permits_attempt(
        &self,
        number: u32,
        backend: BackendId,
        settings: &Settings,
    ) -> bool {
        let max_in_flight = if settings.hedging { 2 } else { 1 };
        // A hedged request goes to another backend than the first attempt: the result tells which of the two ended.
        let is_new_backend = self
            .in_flight
            .iter()
            .all(|attempt| attempt.backend != backend);
        self.is_waiting()
            && self.in_flight.len() < max_in_flight
            && number < settings.max_attempts
            && is_new_backend
    }

    /// Whether attempt `number` has not ended.
    pub(super) fn is_in_flight(&self, number: u32) -> bool {
        self.in_flight
            .iter()
            .any(|attempt| attempt.number == number)
    }

    /// Removes attempt `number` from those in flight.
    pub(super) fn take_attempt(&mut self, number: u32) -> Option<Attempt> {
        let index = self
            .in_flight
            .iter()
            .position(|attempt| attempt.number == number)?;
        Some(self.in_flight.remove(index))
    }
}

/// A finished request whose id is still refused.
struct FinishedRequest {
    wire_id: Rc<str>,
    deadline: Millis,
}

/// The requests in progress, and the ids on the wire that are taken.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: HashMap<RequestId, PendingRequest>,
    /// Ids on the wire of the requests in the table and of those in `finished`.
    wire_ids: HashSet<Rc<str>>,
    /// Those whose ids are still taken, in the order in which they finished.
    finished: VecDeque<FinishedRequest>,
    /// The id that was given last.
    last_id: u32,
}

impl RequestTable {
    /// The request, while it is in the table.
    pub(super) fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    /// The request, while it is in the table.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// Marks an id on the wire as taken; returns `false` if it was taken before.
    pub(super) fn claim_wire_id(&mut self, wire_id: Rc<str>) -> bool {
        self.wire_ids.insert(wire_id)
    }

    /// Adds a request, whose id on the wire has been claimed, under a free id.
    pub(super) fn insert(&mut self, request: PendingRequest) -> RequestId {
        let id = self.next_id();
        self.requests.insert(id, request);
        id
    }

    /// The next id that no request in the table has: ids wrap around.
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

    /// Whether attempt `number` of a request has not ended.
    pub(super) fn is_in_flight(&self, id: RequestId, number: u32) -> bool {
        self.get(id)
            .is_some_and(|request| request.is_in_flight(number))
    }

    /// Requests whose clients wait for the final answer.
    pub(super) fn waiting_count(&self) -> usize {
        self.requests
            .values()
            .filter(|request| request.is_waiting())
            .count()
    }

    /// Of a request that nobody waits for, the attempts that are not fully written: they cannot have run.
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

    /// Ends all budgets at `end` at the latest; returns the requests that have less time from now on.
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

    /// Removes a request if nobody waits for it and none of its attempts is in flight. Its id on the wire stays
    /// taken for a while.
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

    /// Frees the ids of requests that finished long enough ago, and the oldest beyond the bound.
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

    /// Requests in the table.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }
}
