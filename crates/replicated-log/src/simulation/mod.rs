//! A group of replicas and its clients in one process, over a network and disks whose behavior is
//! drawn from a seed.
//!
//! Time is simulated. Links may delay, lose, duplicate, reorder or block messages. A replica may be
//! killed between any two events, with its unflushed writes lost or torn; its disk may be wiped,
//! restored from a backup or corrupted; its process may be paused. What every client was answered
//! is kept for the checker (see [`Simulation::violations`]). The same seed leads to the same run.

mod append_list;
mod checker;
mod clients;
mod disk;
mod events;
mod links;
mod node;
mod random_run;

pub use append_list::AppendList;
pub use links::{DelayRange, Link, LinkConditions};
pub use random_run::run_random;

use crate::client::{Client, WriteResult};
use crate::replica::{Replica, Role};
use crate::settings::{Millis, Settings};
use events::{EventQueue, ScheduledEvent};
use node::Node;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// How long a simulated client waits for a response before it asks another replica.
const CLIENT_RESPONSE_TIMEOUT: Millis = 300.0;

/// What a simulation consists of.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// The number of replicas. All start at once.
    pub nodes: usize,
    /// The number of replicas that found the log, from the first on; the rest are standbys.
    pub founders: usize,
    /// The number of clients.
    pub clients: usize,
    /// Whether the replicas have disks; otherwise they keep everything in memory.
    pub is_durable: bool,
    /// The settings of each replica.
    pub settings: Settings,
    /// Determines the run.
    pub seed: u64,
}

/// The end of a client's write.
#[derive(Clone, Debug)]
pub struct EndedWrite {
    /// When the client learned of it.
    pub at: Millis,
    /// The result.
    pub result: WriteResult,
}

/// A client's write.
#[derive(Clone, Debug)]
pub struct ClientWrite {
    /// The client.
    pub client: usize,
    /// The client's number for it.
    pub sequence: u64,
    /// When the client asked for it.
    pub started: Millis,
    /// Its end; `None` while it has not ended.
    pub ended: Option<EndedWrite>,
}

/// Counts of what happened, by which a run without violations shows that its faults took effect.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunStatistics {
    /// Messages between replicas that were lost.
    pub lost: u64,
    /// Messages between replicas that arrived twice.
    pub duplicated: u64,
    /// Messages between replicas that were delayed beyond their order.
    pub delayed: u64,
    /// Changes of the leader that were observed.
    pub leader_changes: u64,
    /// Replicas that were killed.
    pub kills: u64,
    /// Disks that were wiped, restored from a backup or corrupted.
    pub disk_faults: u64,
    /// Stores that were discarded: older than their replica's messages, copied, or corrupt.
    pub discarded_stores: u64,
    /// Configurations that began after the first.
    pub reconfigurations: u64,
    /// Bytes sent between replicas.
    pub bytes: u64,
}

/// A simulated group with its clients.
pub struct Simulation {
    /// The simulated time.
    pub now: Millis,
    /// The conditions of all links.
    pub link_conditions: LinkConditions,
    /// Links between replicas that carry nothing. Clients reach every replica that runs.
    pub blocked_links: BTreeSet<Link>,
    /// The writes of all clients, in the order in which they started.
    pub writes: Vec<ClientWrite>,
    /// What happened so far.
    pub statistics: RunStatistics,
    /// The list as the first replica applied it that reached each place.
    reference: Vec<Vec<u8>>,
    /// Violations that were found during the run.
    run_violations: Vec<String>,
    nodes: Vec<Node>,
    clients: Vec<Client>,
    /// When each client is to be called next.
    client_ticks: Vec<Millis>,
    /// When the last message in order arrives, by link.
    last_arrivals: BTreeMap<Link, Millis>,
    settings: Settings,
    is_durable: bool,
    founders: usize,
    events: EventQueue,
    rng: StdRng,
    /// The last replica that was seen to lead.
    last_leader: Option<usize>,
    /// The number of the latest configuration that was seen.
    latest_configuration: u32,
}

/// The name of the replica of a node. Names of up to ten nodes are of one length, and sort as the
/// nodes do.
fn node_name(node: usize) -> String {
    format!("r{node}")
}

/// The node of a replica's name.
fn parse_node_name(name: &str) -> Option<usize> {
    name.strip_prefix('r')?.parse().ok()
}

impl Simulation {
    /// A simulation in which all replicas have just started.
    pub fn new(config: SimulationConfig) -> Simulation {
        let mut rng = StdRng::seed_from_u64(config.seed);
        let names: Vec<String> = (0..config.founders).map(node_name).collect();
        let clients = (0..config.clients)
            .map(|_| Client::new(names.clone(), CLIENT_RESPONSE_TIMEOUT, rng.random()))
            .collect();
        let mut simulation = Simulation {
            now: 0.0,
            link_conditions: LinkConditions::default(),
            blocked_links: BTreeSet::new(),
            writes: Vec::new(),
            statistics: RunStatistics::default(),
            reference: Vec::new(),
            run_violations: Vec::new(),
            nodes: (0..config.nodes).map(|_| Node::default()).collect(),
            clients,
            client_ticks: vec![0.0; config.clients],
            last_arrivals: BTreeMap::new(),
            settings: config.settings,
            is_durable: config.is_durable,
            founders: config.founders,
            events: EventQueue::default(),
            rng,
            last_leader: None,
            latest_configuration: 1,
        };
        for node in 0..config.nodes {
            simulation.start(node);
        }
        simulation
    }

    /// Whether a node's replica runs. A paused one does.
    pub fn is_running(&self, node: usize) -> bool {
        self.nodes[node].replica.is_some()
    }

    /// The replica of a node, if it runs.
    pub fn replica(&self, node: usize) -> Option<&Replica<AppendList>> {
        self.nodes[node].replica.as_ref()
    }

    /// The node whose replica leads: of those that take themselves for the leader and are not
    /// paused, the one in the latest term.
    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len())
            .filter(|node| self.nodes[*node].paused_until.is_none())
            .filter(|node| {
                self.replica(*node)
                    .is_some_and(|replica| replica.role() == Role::Leader)
            })
            .max_by_key(|node| {
                self.replica(*node)
                    .map(|replica| replica.state().leader_term())
            })
    }

    /// The number of acknowledged writes.
    pub fn acknowledged_writes(&self) -> usize {
        self.writes
            .iter()
            .filter_map(|write| write.ended.as_ref())
            .filter(|ended| matches!(ended.result, WriteResult::Acknowledged(_)))
            .count()
    }

    /// The number of writes that have not ended.
    pub fn pending_writes(&self) -> usize {
        self.writes
            .iter()
            .filter(|write| write.ended.is_none())
            .count()
    }

    /// Runs until a time.
    pub fn run_until(&mut self, end: Millis) {
        self.run_while(end, |_| true);
    }

    /// Runs until a time, or until a condition no longer holds after an event. Returns whether it
    /// no longer holds.
    pub fn run_while(&mut self, end: Millis, condition: impl Fn(&Simulation) -> bool) -> bool {
        while let Some(ScheduledEvent { at, target, event }) = self.events.pop_until(end) {
            self.now = self.now.max(at);
            self.handle_event(target, event);
            if !condition(self) {
                return true;
            }
        }
        self.now = self.now.max(end);
        !condition(self)
    }

    fn sample_delay(&mut self) -> Millis {
        let range = self.link_conditions.delay;
        self.rng.random_range(range.min..=range.max)
    }

    /// Draws whether something of this probability happens.
    fn sample_bool(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random_bool(probability)
    }
}
