//! What is due in simulated time, in the order of its time; of two for one time, the one set first comes first.

use super::Simulation;
use cometspool::{BackendEntry, Millis, Outcome, TimerId};
use std::cmp::{Ordering, Reverse};

/// Something that happens at a set time.
#[derive(Clone, Debug)]
pub(super) enum SimEvent {
    Arrive(usize),
    /// A customer's next request is due, or its rate changes.
    CustomerRequest(usize, bool),
    /// A client comes again after a refusal of this try.
    Retry(u32),
    /// A gateway reads a request.
    RequestReceived(u32),
    PolicyTimer(usize, TimerId),
    /// An attempt's last byte comes to its backend.
    RequestAtBackend(usize),
    /// A core has done the work of an attempt.
    WorkCompleted(usize),
    /// An answer comes to whoever sent the attempt.
    AttemptEnded(usize, Outcome),
    AttemptTimeout(usize),
    Deadline(u32),
    /// A gateway sees that a client has gone.
    ClientDisconnected(u32),
    EndpointsChanged(usize, Vec<BackendEntry>),
    Fault(usize),
    /// A dial of a gateway to a backend, for a call or for nobody: whether it is answered, and how.
    DialCompleted(usize, usize, Option<usize>, bool),
    /// A call has waited for a connection for as long as a dial may take.
    CheckoutTimeout(usize),
    EvictExpired(usize),
    PoolWake(usize, usize),
}

/// An entry of the heap.
pub(super) struct Scheduled {
    pub(super) at: Millis,
    pub(super) order: u64,
    pub(super) event: SimEvent,
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at
            .total_cmp(&other.at)
            .then(self.order.cmp(&other.order))
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
    pub(super) fn schedule(&mut self, at: Millis, event: SimEvent) {
        self.order += 1;
        self.queue.push(Reverse(Scheduled {
            at,
            order: self.order,
            event,
        }));
    }
}
