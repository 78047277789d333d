//! Deterministic simulation of a group of replicas and its clients in one process. The behavior of
//! the network and the disks is drawn from a seed.
//!
//! Time is simulated. Links may delay, lose, duplicate, reorder or block messages. A replica may be
//! killed between any two events, and its unflushed writes are then lost or torn. Its disk may be
//! wiped, restored from a backup or corrupted, and its process may be paused. The results of all
//! client writes are kept for the checker (see [`Simulation::violations`]). The same seed leads to
//! the same run.

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

/// Response timeout of the simulated clients, in milliseconds.
const CLIENT_RESPONSE_TIMEOUT: Millis = 300.0;

/// The configuration of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// The number of replicas. All of them start at time zero.
    pub nodes: usize,
    /// The number of replicas that bootstrap the log, counted from node 0; the rest are standbys.
    pub founders: usize,
    /// The number of clients that can write.
    pub clients: usize,
    /// Whether the replicas have disks. If not, they keep everything in memory.
    pub is_durable: bool,
    /// The settings of each replica.
    pub settings: Settings,
    /// Seed of the random number generator; determines the whole run.
    pub seed: u64,
}

/// The completion of a client's write.
#[derive(Clone, Debug)]
pub struct CompletedWrite {
    /// When the client learned the result, in simulated milliseconds.
    pub at: Millis,
    /// Whether the write was acknowledged, with its answer.
    pub result: WriteResult,
}

/// A write that a client has started.
#[derive(Clone, Debug)]
pub struct ClientWrite {
    /// The index of the client.
    pub client: usize,
    /// The sequence number that the client assigned to the write.
    pub sequence: u64,
    /// When the client started the write, in simulated milliseconds.
    pub started: Millis,
    /// The completion of the write; `None` while it is pending.
    pub completed: Option<CompletedWrite>,
}

/// Counts of events, by which a run without violations shows that its faults took effect.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunStatistics {
    /// Messages between replicas that were lost.
    pub lost: u64,
    /// Messages between replicas that arrived twice.
    pub duplicated: u64,
    /// Messages between replicas that were delayed so that later ones could overtake them.
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

/// A simulated group of replicas with its clients.
pub struct Simulation {
    /// The current simulated time, in milliseconds.
    pub now: Millis,
    /// Delay, loss, duplication and reordering of messages between replicas. Clients' messages have
    /// the same delay and loss, and their requests the same duplication.
    pub link_conditions: LinkConditions,
    /// Blocked links between replicas. Clients can reach every running replica.
    pub blocked_links: BTreeSet<Link>,
    /// The writes of all clients, in the order in which they started.
    pub writes: Vec<ClientWrite>,
    /// Counts of the events so far.
    pub statistics: RunStatistics,
    /// The reference list: at each index, the item that the first replica to reach that index
    /// applied.
    reference: Vec<Vec<u8>>,
    /// Violations that were detected while events were handled.
    run_violations: Vec<String>,
    nodes: Vec<Node>,
    clients: Vec<Client>,
    /// The time of each client's next scheduled tick.
    client_ticks: Vec<Millis>,
    /// Per link, when the last message that was not reordered arrives.
    last_arrivals: BTreeMap<Link, Millis>,
    settings: Settings,
    is_durable: bool,
    founders: usize,
    events: EventQueue,
    rng: StdRng,
    /// The last node that was seen to lead.
    last_leader: Option<usize>,
    /// The highest configuration number that was seen.
    latest_configuration: u32,
}

/// The replica name of a node. The names of up to ten nodes have the same length, and sort in the
/// order of the nodes.
fn node_name(node: usize) -> String {
    format!("r{node}")
}

/// The node with a replica name, or `None` if the name is not of the form of [`node_name`].
fn parse_node_name(name: &str) -> Option<usize> {
    name.strip_prefix('r')?.parse().ok()
}

impl Simulation {
    /// Creates a simulation and starts all replicas.
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

    /// Whether a node's replica is running. A paused replica counts as running.
    pub fn is_running(&self, node: usize) -> bool {
        self.nodes[node].replica.is_some()
    }

    /// The replica of a node, or `None` while it is not running.
    pub fn replica(&self, node: usize) -> Option<&Replica<AppendList>> {
        self.nodes[node].replica.as_ref()
    }

    /// The node of the current leader: of the replicas that consider themselves leader and are not
    /// paused, the one with the latest term.
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
            .filter_map(|write| write.completed.as_ref())
            .filter(|completed| matches!(completed.result, WriteResult::Acknowledged(_)))
            .count()
    }

    /// The number of writes whose result is not yet known.
    pub fn pending_writes(&self) -> usize {
        self.writes
            .iter()
            .filter(|write| write.completed.is_none())
            .count()
    }

    /// Handles events until the simulated time is `end`.
    pub fn run_until(&mut self, end: Millis) {
        self.run_while(end, |_| true);
    }

    /// Handles events until the simulated time is `end`, or until the condition is false after an
    /// event. Returns whether the condition is false.
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

    /// Returns true with this probability.
    fn sample_bool(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random_bool(probability)
    }
}
