//! The fleet as it is played: its state, and how a day of it begins and ends.

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
use crate::pooling::Pool;
use crate::random::RandomSource;
use crate::scenario::Scenario;
use crate::statistics::RunStatistics;
use attempts::Call;
use backends::Backend;
use clients::ClientRequest;
use cometspool::{Availability, BackendId, Event, ListKind, Millis, PolicyEngine};
use connections::Connection;
use event_queue::{Scheduled, SimEvent};
use gateways::{gateway_settings, SimulatedGateway};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// The fleet at one time of its day.
pub struct Simulation {
    scenario: Scenario,
    now: Millis,
    order: u64,
    queue: BinaryHeap<Reverse<Scheduled>>,
    gateways: Vec<SimulatedGateway>,
    backends: Vec<Backend>,
    by_id: BTreeMap<BackendId, usize>,
    requests: Vec<ClientRequest>,
    calls: Vec<Call>,
    partitioned_zones: BTreeMap<u32, bool>,
    random: RandomSource,
    connections: Vec<Connection>,
    statistics: RunStatistics,
    clients: Option<ClientPopulation>,
}

/// Plays a day and tells what it gave.
pub fn run(spec: Scenario) -> RunStatistics {
    let mut simulation = Simulation::new(spec);
    while let Some(Reverse(due)) = simulation.queue.pop() {
        simulation.now = due.at;
        simulation.dispatch(due.event);
    }
    simulation.into_tally()
}

impl Simulation {
    fn new(spec: Scenario) -> Simulation {
        let mut random = RandomSource::new(spec.seed);
        let count = spec.settings.gateways;
        let gateways = (0..count)
            .map(|me| {
                let zone = me % spec.zones;
                let settings = gateway_settings(&spec, me, zone);
                let seed = u64::from(random.next_u32());
                SimulatedGateway {
                    engine: PolicyEngine::new(settings, seed),
                    zone,
                    pool: Pool::new(count, seed),
                }
            })
            .collect();
        let mut simulation = Simulation {
            now: 0.0,
            order: 0,
            queue: BinaryHeap::new(),
            gateways,
            backends: Vec::new(),
            by_id: BTreeMap::new(),
            requests: Vec::new(),
            calls: Vec::new(),
            partitioned_zones: BTreeMap::new(),
            random,
            connections: Vec::new(),
            statistics: RunStatistics::default(),
            clients: None,
            scenario: spec,
        };
        for spec in simulation.scenario.backends.clone() {
            simulation.add_backend(spec);
        }
        let list: Vec<_> = (0..simulation.backends.len())
            .filter(|i| simulation.backends[*i].spec.is_listed)
            .collect();
        let list: Vec<_> = list
            .into_iter()
            .map(|i| simulation.entry(i, Availability::Ready))
            .collect();
        for gateway in 0..simulation.gateways.len() {
            let mut actions = Vec::new();
            simulation.gateways[gateway].engine.handle(
                0.0,
                Event::EndpointsChanged(ListKind::Cached, list.clone()),
                &mut actions,
            );
            simulation.carry_out(gateway, actions);
            let first = simulation
                .random
                .exponential(1000.0 / simulation.scenario.requests_per_second);
            if simulation.scenario.max_connections_per_backend.is_some() {
                let at = 500.0 * simulation.random.uniform();
                simulation.schedule(at, SimEvent::EvictExpired(gateway));
            }
            if simulation.scenario.clients.is_none() {
                simulation.schedule(first, SimEvent::Arrive(gateway));
            }
        }
        if let Some(spec) = simulation.scenario.clients.clone() {
            let gateways = simulation.gateways.len();
            let clients = ClientPopulation::new(
                spec,
                &simulation.scenario.settings.plans,
                gateways,
                &mut simulation.random,
            );
            let customers = clients.customers.len();
            simulation.clients = Some(clients);
            (0..customers).for_each(|customer| simulation.schedule_next_request(customer));
        }
        for fault in 0..simulation.scenario.faults.len() {
            simulation.schedule(simulation.scenario.faults[fault].at, SimEvent::Fault(fault));
        }
        simulation
    }
}
