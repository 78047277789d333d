//! Queue of scheduled events. Events are ordered by time; events with the same time keep the order in which they were
//! scheduled.

use super::Simulation;
use cometspool::connection_pool::DialId;
use cometspool::{BackendEntry, Millis, Outcome, TimerId};
use std::cmp::{Ordering, Reverse};

/// An event of the simulation. Its fields are indices into the tables of the [`Simulation`].
#[derive(Clone, Debug)]
pub(super) enum SimEvent {
    /// The next request arrives at a gateway; only in scenarios without customers.
    RequestArrival { gateway: usize },
    /// A customer sends its next request, or (`is_request` is false) only the rate of its requests changes.
    CustomerRequest { customer: usize, is_request: bool },
    /// A client retries a rejected request.
    Retry { request: u32 },
    /// A gateway reads a request.
    RequestReceived { request: u32 },
    /// A timer of a gateway's policy expires.
    PolicyTimer { gateway: usize, timer: TimerId },
    /// A call arrives at its backend.
    CallArrival { call: usize },
    /// A core has finished the work of a call.
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
    /// The fault with this index in the scenario is due.
    Fault { index: usize },
    /// A dial is answered or times out.
    DialCompleted {
        gateway: usize,
        backend: usize,
        dial: DialId,
        is_answered: bool,
    },
    /// A call has waited for a connection for the duration of the dial timeout.
    CheckoutTimeout { call: usize },
    /// A gateway's pool evicts its expired connections.
    EvictExpired { gateway: usize },
    /// The wake-up that a gateway's pool requested for a backend is due.
    PoolWake { gateway: usize, backend: usize },
}

/// An entry of the queue.
pub(super) struct Scheduled {
    /// Simulated time at which the event is due, ms.
    pub(super) at: Millis,
    /// Number of the event in the order of scheduling; breaks ties between events that are due at the same time.
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
    /// Schedules an event for the simulated time `at`, ms.
    pub(super) fn schedule(&mut self, at: Millis, event: SimEvent) {
        self.scheduled_count += 1;
        self.queue.push(Reverse(Scheduled {
            at,
            sequence: self.scheduled_count,
            event,
        }));
    }
}
