//! What is due in simulated time, in the order of its time; of two for one time, the one set first comes first.

use super::World;
use cometspool::{BackendEntry, Millis, Outcome, TimerId};
use std::cmp::{Ordering, Reverse};

/// Something that happens at a set time.
#[derive(Clone, Debug)]
pub(super) enum SimEvent {
    Arrive(usize),
    /// A customer's next request is due, or its rate changes.
    Ask(usize, bool),
    /// A client comes again after a refusal of this try.
    Again(u32),
    /// A front door reads a request.
    Read(u32),
    Alarm(usize, TimerId),
    /// An attempt's last byte comes to its backend.
    Begin(usize),
    /// A core has done the work of an attempt.
    Worked(usize),
    /// An answer comes to whoever sent the attempt.
    Back(usize, Outcome),
    TimeOut(usize),
    Deadline(u32),
    /// A front door sees that a client has gone.
    Gone(u32),
    Told(usize, Vec<BackendEntry>),
    Fault(usize),
    /// A dial of a front door to a backend, for a call or for nobody: whether it is answered, and how.
    Dialled(usize, usize, Option<usize>, bool),
    /// A call has waited for a link for as long as a dial may take.
    Waited(usize),
    Tidy(usize),
    Wake(usize, usize),
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

impl World {
    pub(super) fn schedule(&mut self, at: Millis, event: SimEvent) {
        self.order += 1;
        self.queue.push(Reverse(Scheduled {
            at,
            order: self.order,
            event,
        }));
    }
}
