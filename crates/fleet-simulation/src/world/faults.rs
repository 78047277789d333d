//! The faults of a scenario, and how the front doors hear of a state of a backend.

use super::schedule::SimEvent;
use super::World;
use crate::scenario::{BackendSpec, Fault, Ill};
use cometspool::Availability;

impl World {
    pub(super) fn inject_fault(&mut self, fault: usize) {
        match self.spec.faults[fault].1.clone() {
            Fault::Ill(node, ill) => {
                self.backends[node].spec.ill = ill;
                if ill == Ill::Dead {
                    self.reset_links(node);
                    self.tally.lives[node].1 = self.now;
                    self.backends[node].waiting.clear();
                }
            }
            Fault::Cut(zone, cut) => {
                self.cut.insert(zone, cut);
            }
            Fault::Told(node, state) => self.announce(node, state),
            Fault::Restart(door) => self.restart(door),
            Fault::Rate(rate) => self.spec.rate = rate,
            Fault::Reborn(node) => self.restart_backend(node),
            Fault::Start(node) => {
                let spec = BackendSpec {
                    started: Some(self.now),
                    ill: Ill::No,
                    ..self.backends[node].spec.clone()
                };
                let fresh = self.add_backend(spec);
                self.announce(fresh, Availability::Ready);
            }
        }
    }

    fn restart_backend(&mut self, node: usize) {
        self.reset_links(node);
        let backend = &mut self.backends[node];
        backend.waiting.clear();
        backend.spec.started = Some(self.now);
        backend.spec.ill = Ill::No;
        backend.told = vec![false; self.doors.len()];
        self.tally.lives[node].0 = self.now;
        self.announce(node, Availability::Ready);
    }

    /// All front doors hear of a state of a backend, each at a time of its own.
    fn announce(&mut self, node: usize, state: Availability) {
        let entry = self.entry(node, state);
        for door in 0..self.doors.len() {
            let at = self.now + self.spec.told_within * self.chance.even();
            self.schedule(at, SimEvent::Told(door, vec![entry]));
        }
    }
}
