//! Hands each thing that comes due to the part that it concerns.

use super::clients::End;
use super::schedule::SimEvent;
use super::World;
use cometspool::{Availability, Event, ListKind, Millis, Outcome, RequestId};

impl World {
    pub(super) fn dispatch(&mut self, event: SimEvent) {
        if let Some(end) = self.paused(&event) {
            self.schedule(end, event);
            return;
        }
        match event {
            SimEvent::Read(request) => self.read(request),
            SimEvent::Gone(request) => {
                let door = self.requests[request as usize].door;
                self.notify_door(door, Event::ClientDisconnected(RequestId(request)));
            }
            SimEvent::Arrive(door) => self.arrive(door),
            SimEvent::Ask(customer, asks) => self.ask(customer, asks),
            SimEvent::Again(before) => self.again(before),
            SimEvent::Alarm(door, alarm) => self.notify_door(door, Event::TimerFired(alarm)),
            SimEvent::Begin(call) => self.begin(call),
            SimEvent::Worked(call) => self.worked(call),
            SimEvent::Back(call, outcome) => self.settle(call, outcome),
            SimEvent::TimeOut(call) => self.settle(call, Outcome::Timeout),
            SimEvent::Deadline(request) => {
                if !self.requests[request as usize].answered {
                    self.finish(request, End::Failed);
                    self.schedule(self.now, SimEvent::Gone(request));
                }
            }
            SimEvent::Told(door, entries) => {
                for entry in entries
                    .iter()
                    .filter(|entry| entry.availability != Availability::Ready)
                {
                    let backend = self.by_id[&entry.id];
                    self.pool(door, |pool, _, steps| pool.remove_endpoint(backend, steps));
                }
                for entry in &entries {
                    let backend = &mut self.backends[self.by_id[&entry.id]];
                    backend.told[door] |= entry.started_at == backend.spec.started;
                }
                self.notify_door(door, Event::EndpointsChanged(ListKind::Changes, entries));
            }
            SimEvent::Dialled(door, backend, call, answered) => {
                self.dialled(door, backend, call, answered);
            }
            SimEvent::Waited(call) => {
                if self.calls[call].waits && !self.calls[call].settled {
                    self.settle(call, Outcome::ConnectFailed);
                }
            }
            SimEvent::Tidy(door) => {
                self.pool(door, super::super::pooling::Pool::evict_expired);
                if self.now < self.spec.length {
                    self.schedule(self.now + 500.0, SimEvent::Tidy(door));
                }
            }
            SimEvent::Wake(door, backend) => {
                self.pool(door, |pool, now, steps| pool.wake(now, backend, steps));
            }
            SimEvent::Fault(fault) => self.inject_fault(fault),
        }
    }

    /// When the front door that this happens at stands still: the end of that.
    fn paused(&self, event: &SimEvent) -> Option<Millis> {
        let door = match event {
            SimEvent::Read(request) | SimEvent::Gone(request) => {
                self.requests[*request as usize].door
            }
            SimEvent::Alarm(door, _) | SimEvent::Told(door, _) | SimEvent::Dialled(door, ..) => {
                *door
            }
            SimEvent::Back(call, _) | SimEvent::TimeOut(call) => self.calls[*call].from.ok()?.0,
            _ => return None,
        };
        let still = self
            .spec
            .pauses
            .iter()
            .find(|(who, from, to)| *who == door && (*from..*to).contains(&self.now));
        still.map(|(_, _, to)| *to)
    }
}
