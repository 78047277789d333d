//! Injection of the scenario's faults, and notification of the gateways about changes of the endpoint list.

use super::event_queue::SimEvent;
use super::Simulation;
use crate::scenario::{BackendFault, BackendSpec, FleetFault};
use cometspool::Availability;

impl Simulation {
    /// Injects the fault with this index in the scenario.
    pub(super) fn inject_fault(&mut self, index: usize) {
        match self.scenario.faults[index].fault.clone() {
            FleetFault::Backend { backend, fault } => self.set_backend_fault(backend, fault),
            FleetFault::Partition {
                zone,
                is_partitioned,
            } => {
                self.partitioned_zones.insert(zone, is_partitioned);
            }
            FleetFault::Announce {
                backend,
                availability,
            } => self.announce_endpoint(backend, availability),
            FleetFault::RestartGateway(gateway) => self.restart_gateway(gateway),
            FleetFault::SetRequestRate(rate) => self.scenario.requests_per_second = rate,
            FleetFault::RestartBackend(backend) => self.restart_backend(backend),
            FleetFault::StartBackend(backend) => self.start_backend_copy(backend),
        }
    }

    fn set_backend_fault(&mut self, backend: usize, fault: BackendFault) {
        self.backends[backend].spec.fault = fault;
        if fault == BackendFault::Crashed {
            self.reset_connections(backend);
            self.statistics.incarnations[backend].ended_at = self.now;
            self.backends[backend].queued_calls.clear();
        }
    }

    /// Starts a healthy backend with the properties of another one and announces it to the gateways.
    fn start_backend_copy(&mut self, backend: usize) {
        let spec = BackendSpec {
            started_at: Some(self.now),
            fault: BackendFault::None,
            ..self.backends[backend].spec.clone()
        };
        let copy = self.add_backend(spec);
        self.announce_endpoint(copy, Availability::Ready);
    }

    /// Restarts a backend in slow start under its old id. Its connections are reset and its queued calls are lost.
    fn restart_backend(&mut self, index: usize) {
        self.reset_connections(index);
        let backend = &mut self.backends[index];
        backend.queued_calls.clear();
        backend.spec.started_at = Some(self.now);
        backend.spec.fault = BackendFault::None;
        backend.notified_of_start = vec![false; self.gateways.len()];
        self.statistics.incarnations[index].started_at = self.now;
        self.announce_endpoint(index, Availability::Ready);
    }

    /// Notifies all gateways of a backend's availability, each after a random delay of its own.
    fn announce_endpoint(&mut self, backend: usize, availability: Availability) {
        let entry = self.endpoint(backend, availability);
        for gateway in 0..self.gateways.len() {
            let at = self.now + self.scenario.propagation_delay * self.random.uniform();
            let entries = vec![entry];
            self.schedule(at, SimEvent::EndpointsChanged { gateway, entries });
        }
    }
}
