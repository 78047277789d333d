//! The faults of a scenario, and how the gateways hear of a state of a backend.

use super::event_queue::SimEvent;
use super::Simulation;
use crate::scenario::{BackendFault, BackendSpec, FleetFault};
use cometspool::Availability;

impl Simulation {
    pub(super) fn inject_fault(&mut self, fault: usize) {
        match self.scenario.faults[fault].fault.clone() {
            FleetFault::Backend(node, ill) => {
                self.backends[node].spec.fault = ill;
                if ill == BackendFault::Crashed {
                    self.reset_connections(node);
                    self.statistics.incarnations[node].ended_at = self.now;
                    self.backends[node].waiting.clear();
                }
            }
            FleetFault::Partition(zone, cut) => {
                self.partitioned_zones.insert(zone, cut);
            }
            FleetFault::Announce(node, state) => self.announce_endpoint(node, state),
            FleetFault::RestartGateway(gateway) => self.restart(gateway),
            FleetFault::SetRequestRate(rate) => self.scenario.requests_per_second = rate,
            FleetFault::RestartBackend(node) => self.restart_backend(node),
            FleetFault::StartBackend(node) => {
                let spec = BackendSpec {
                    started_at: Some(self.now),
                    fault: BackendFault::None,
                    ..self.backends[node].spec.clone()
                };
                let fresh = self.add_backend(spec);
                self.announce_endpoint(fresh, Availability::Ready);
            }
        }
    }

    fn restart_backend(&mut self, node: usize) {
        self.reset_connections(node);
        let backend = &mut self.backends[node];
        backend.waiting.clear();
        backend.spec.started_at = Some(self.now);
        backend.spec.fault = BackendFault::None;
        backend.knows_start = vec![false; self.gateways.len()];
        self.statistics.incarnations[node].started_at = self.now;
        self.announce_endpoint(node, Availability::Ready);
    }

    /// All gateways hear of a state of a backend, each at a time of its own.
    fn announce_endpoint(&mut self, node: usize, state: Availability) {
        let entry = self.entry(node, state);
        for gateway in 0..self.gateways.len() {
            let at = self.now + self.scenario.propagation_delay * self.random.uniform();
            self.schedule(at, SimEvent::EndpointsChanged(gateway, vec![entry]));
        }
    }
}
