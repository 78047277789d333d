//! The queue of scheduled events: ordered by time, those of one instant in the order in which they were scheduled.

use super::Simulation;
use cometspool::connection_pool::DialId;
use cometspool::{BackendEntry, Millis, Outcome, TimerId};
use std::cmp::{Ordering, Reverse};

/// Something that happens at a scheduled time. Fields are indices in the [`Simulation`].
#[derive(Clone, Debug)]
pub(super) enum SimEvent {
    /// A gateway's next request arrives, where the scenario has no customers.
    RequestArrival { gateway: usize },
    /// A customer's next request is due, or only the rate of its requests changes.
    CustomerRequest { customer: usize, is_request: bool },
    /// A client retries a rejected request.
    Retry { request: u32 },
    /// A gateway reads a request.
    RequestReceived { request: u32 },
    /// A timer that a gateway's policy set fires.
    PolicyTimer { gateway: usize, timer: TimerId },
    /// A call arrives at its backend.
    RequestAtBackend { call: usize },
    /// A core has done the work of a call.
    WorkCompleted { call: usize },
    /// A call's response, or the error of its connection, arrives at its origin.
    CallEnded { call: usize, outcome: Outcome },
    /// A call's timeout expires at its origin.
    CallTimeout { call: usize },
    /// A client stops waiting for a response.
    Deadline { request: u32 },
    /// A gateway notices that a client has disconnected.
    ClientDisconnected { request: u32 },
    /// A gateway receives changed entries of the endpoint list.
    EndpointsChanged {
        gateway: usize,
        entries: Vec<BackendEntry>,
    },
    /// A fault of the scenario happens, by its index there.
    Fault { index: usize },
    /// A dial is answered or times out.
    DialCompleted {
        gateway: usize,
        backend: usize,
        dial: DialId,
        is_answered: bool,
    },
    /// A call has waited for a connection for as long as a dial may take.
    CheckoutTimeout { call: usize },
    /// A gateway's pool closes expired connections.
    EvictExpired { gateway: usize },
    /// A gateway's pool is woken for a backend, as it requested.
    PoolWake { gateway: usize, backend: usize },
}

/// An entry of the queue.
pub(super) struct Scheduled {
    /// When it is due, ms.
    pub(super) at: Millis,
    /// Its number among all events scheduled in the run.
    pub(super) sequence: u64,
    pub(super) event: SimEvent,
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at
            .total_cmp(&other.at)
            .then(self.sequence.cmp(&other.sequence))
    }
}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl Simulation {
    /// Schedules an event at a time, ms.
    pub(super) fn schedule(&mut self, at: Millis, event: SimEvent) {
        self.scheduled_count += 1;
        self.queue.push(Reverse(Scheduled {
            at,
            sequence: self.scheduled_count,
            event,
        }));
    }
}
