//! Hands each thing that comes due to the part that it concerns.

use super::schedule::What;
use super::World;
use cometspool::{Availability, Event, ListKind, Millis, Outcome, RequestId};

impl World {
    pub(super) fn happen(&mut self, what: What) {
        if let Some(end) = self.paused(&what) {
            self.at(end, what);
            return;
        }
        match what {
            What::Read(request) => self.read(request),
            What::Gone(request) => {
                let door = self.asked[request as usize].door;
                self.tell(door, Event::ClientGone(RequestId(request)));
            }
            What::Arrive(door) => self.arrive(door),
            What::Ask(customer, asks) => self.ask(customer, asks),
            What::Again(before) => self.again(before),
            What::Alarm(door, alarm) => self.tell(door, Event::Alarm(alarm)),
            What::Begin(call) => self.begin(call),
            What::Worked(call) => self.worked(call),
            What::Back(call, outcome) => self.back(call, outcome),
            What::TimeOut(call) => self.back(call, Outcome::Timeout),
            What::Deadline(request) => {
                if !self.asked[request as usize].answered {
                    self.answered(request, 2);
                    self.at(self.now, What::Gone(request));
                }
            }
            What::Told(door, entries) => {
                for entry in entries.iter().filter(|entry| entry.availability != Availability::Ready) {
                    let backend = self.by_id[&entry.id];
                    self.pool(door, |pool, _, acts| pool.gone(backend, acts));
                }
                self.tell(door, Event::Backends(ListKind::Changes, entries));
            }
            What::Dialled(door, backend, call, answered) => self.dialled(door, backend, call, answered),
            What::Waited(call) => {
                if self.calls[call].waits && !self.calls[call].settled {
                    self.back(call, Outcome::ConnectFailed);
                }
            }
            What::Tidy(door) => {
                self.pool(door, |pool, now, acts| pool.tidy(now, acts));
                if self.now < self.spec.length {
                    self.at(self.now + 500.0, What::Tidy(door));
                }
            }
            What::Wake(door, backend) => self.pool(door, |pool, now, acts| pool.wake(now, backend, acts)),
            What::Fault(fault) => self.fault(fault),
        }
    }

    /// When the front door that this happens at stands still: the end of that.
    fn paused(&self, what: &What) -> Option<Millis> {
        let door = match what {
            What::Read(request) | What::Gone(request) => self.asked[*request as usize].door,
            What::Alarm(door, _) | What::Told(door, _) | What::Dialled(door, ..) => *door,
            What::Back(call, _) | What::TimeOut(call) => self.calls[*call].from.ok()?.0,
            _ => return None,
        };
        let still =
            self.spec.pauses.iter().find(|(who, from, to)| *who == door && (*from..*to).contains(&self.now));
        still.map(|(_, _, to)| *to)
    }
}
