//! The events of a simulation and the queue that orders them.

use super::Simulation;
use crate::message::{Envelope, Request, Response};
use crate::settings::Millis;
use std::collections::BTreeMap;

/// An event at a node or a client.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A replica's next tick is due.
    Tick,
    /// A message arrives at a replica.
    Message(Box<Envelope>),
    /// A client's request arrives at a replica.
    Request { client: usize, request: Request },
    /// A disk write is durable.
    Written {
        /// The run of the node in which the write was issued.
        run: u64,
        /// The number of the write.
        write: u64,
        /// The number of unflushed bytes that become durable.
        bytes: usize,
    },
    /// A client's next tick is due.
    ClientTick { client: usize },
    /// A response arrives at a client.
    Response { client: usize, response: Response },
}

/// The key that orders events by time. Events at the same time are handled in the order in which
/// they were scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    /// The bits of the time in milliseconds. Times are never negative, so the bits sort in the same
    /// order as the times.
    time_bits: u64,
    sequence: u64,
}

/// An event with its time and its target node. Events of clients have target 0.
pub(super) struct ScheduledEvent {
    pub(super) at: Millis,
    pub(super) target: usize,
    pub(super) event: Event,
}

/// The queue of future events.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BTreeMap<EventKey, ScheduledEvent>,
    /// The number of events scheduled so far.
    sequence: u64,
}

impl EventQueue {
    fn push(&mut self, scheduled: ScheduledEvent) {
        self.sequence += 1;
        let key = EventKey {
            time_bits: scheduled.at.to_bits(),
            sequence: self.sequence,
        };
        self.events.insert(key, scheduled);
    }

    /// Removes and returns the first event, unless it is later than `end`.
    pub(super) fn pop_until(&mut self, end: Millis) -> Option<ScheduledEvent> {
        let first = self.events.first_entry()?;
        (first.get().at <= end).then(|| first.remove())
    }
}

impl Simulation {
    pub(super) fn schedule(&mut self, at: Millis, target: usize, event: Event) {
        let at = at.max(0.0);
        self.events.push(ScheduledEvent { at, target, event });
    }

    pub(super) fn handle_event(&mut self, target: usize, event: Event) {
        match event {
            Event::ClientTick { client } => self.tick_client(client),
            Event::Response { client, response } => {
                let effects = self.clients[client].receive(self.now, response);
                self.execute_client_effects(client, effects);
            }
            event => self.handle_node_event(target, event),
        }
    }
}
