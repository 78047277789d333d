//! State of a simulated fleet, setup of a run, and its event loop.

mod attempts;
mod backends;
mod clients;
mod connections;
mod dispatch;
mod event_queue;
mod faults;
mod gateways;
mod network;
mod statistics;

use crate::client_population::ClientPopulation;
use crate::random::RandomSource;
use crate::scenario::Scenario;
use crate::statistics::RunStatistics;
use attempts::Call;
use backends::Backend;
use clients::ClientRequest;
use cometspool::{Availability, BackendEntry, BackendId, Event, ListKind, Millis};
use connections::Connection;
use event_queue::{Scheduled, SimEvent};
use gateways::SimulatedGateway;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Interval at which a pool evicts expired connections, ms. The first eviction of each pool is at a random time within
/// the first interval.
const EVICTION_INTERVAL: Millis = 500.0;

/// The state of the fleet at the current simulated time. Gateways, backends, requests, calls and connections refer to
/// each other by their indices and are never removed during a run.
pub(crate) struct Simulation {
    scenario: Scenario,
    /// Current simulated time, ms.
    now: Millis,
    /// Number of events scheduled so far; the source of [`Scheduled::sequence`].
    scheduled_count: u64,
    queue: BinaryHeap<Reverse<Scheduled>>,
    gateways: Vec<SimulatedGateway>,
    backends: Vec<Backend>,
    backend_by_id: BTreeMap<BackendId, usize>,
    requests: Vec<ClientRequest>,
    calls: Vec<Call>,
    /// Whether each zone is partitioned now; a zone that never was has no entry.
    partitioned_zones: BTreeMap<u32, bool>,
    random: RandomSource,
    connections: Vec<Connection>,
    statistics: RunStatistics,
    clients: Option<ClientPopulation>,
}

/// Runs a scenario to its end and returns its statistics.
pub fn run(scenario: Scenario) -> RunStatistics {
    let mut simulation = Simulation::new(scenario);
    while let Some(Reverse(next)) = simulation.queue.pop() {
        simulation.now = next.at;
        simulation.dispatch(next.event);
    }
    simulation.into_statistics()
}

impl Simulation {
    /// Sets up the fleet of a scenario and schedules its first events.
    ///
    /// The random draws are made in a fixed order: gateways, backends, first events of each gateway, customers. Another
    /// order would change the results of every seed.
    fn new(scenario: Scenario) -> Simulation {
        let mut random = RandomSource::new(scenario.seed);
        let gateways = (0..scenario.settings.gateways)
            .map(|index| SimulatedGateway::new(&scenario, index, &mut random))
            .collect();
        let mut simulation = Simulation {
            scenario,
            now: 0.0,
            scheduled_count: 0,
            queue: BinaryHeap::new(),
            gateways,
            backends: Vec::new(),
            backend_by_id: BTreeMap::new(),
            requests: Vec::new(),
            calls: Vec::new(),
            partitioned_zones: BTreeMap::new(),
            random,
            connections: Vec::new(),
            statistics: RunStatistics::default(),
            clients: None,
        };
        for backend in simulation.scenario.backends.clone() {
            simulation.add_backend(backend);
        }
        let endpoints = simulation.listed_endpoints();
        for gateway in 0..simulation.gateways.len() {
            simulation.start_gateway(gateway, endpoints.clone());
        }
        simulation.add_customers();
        for index in 0..simulation.scenario.faults.len() {
            let at = simulation.scenario.faults[index].at;
            simulation.schedule(at, SimEvent::Fault { index });
        }
        simulation
    }

    /// Returns the endpoint list at the start of a run.
    fn listed_endpoints(&self) -> Vec<BackendEntry> {
        let mut endpoints = Vec::new();
        for (index, backend) in self.backends.iter().enumerate() {
            if backend.spec.is_listed {
                endpoints.push(self.endpoint(index, Availability::Ready));
            }
        }
        endpoints
    }

    /// Passes the initial endpoint list to a gateway and schedules its first request and its first eviction.
    fn start_gateway(&mut self, gateway: usize, endpoints: Vec<BackendEntry>) {
        self.notify_gateway(
            gateway,
            Event::EndpointsChanged(ListKind::Cached, endpoints),
        );
        let mean_interval = 1000.0 / self.scenario.requests_per_second;
        let first_arrival = self.random.exponential(mean_interval);
        if self.models_connections() {
            let first_eviction = EVICTION_INTERVAL * self.random.uniform();
            self.schedule(first_eviction, SimEvent::EvictExpired { gateway });
        }
        if self.scenario.clients.is_none() {
            self.schedule(first_arrival, SimEvent::RequestArrival { gateway });
        }
    }

    /// Draws the customers, if the scenario has any, and schedules their first requests.
    fn add_customers(&mut self) {
        let Some(spec) = self.scenario.clients.clone() else {
            return;
        };
        let clients = ClientPopulation::new(
            spec,
            &self.scenario.settings.plans,
            self.gateways.len(),
            &mut self.random,
        );
        let customer_count = clients.customers.len();
        self.clients = Some(clients);
        for customer in 0..customer_count {
            self.schedule_next_request(customer);
        }
    }

    /// Whether connections between gateways and backends are part of the model.
    fn models_connections(&self) -> bool {
        self.scenario.max_connections_per_backend.is_some()
    }
}
