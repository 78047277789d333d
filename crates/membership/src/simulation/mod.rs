//! A deterministic simulation of a fleet: any number of members in one process, on a simulated
//! network. The tests and the published measurements run on it.
//!
//! Time is simulated, so nothing waits. All randomness comes from one seed, so a seed replays the
//! same run. Between two members a datagram can be delayed, lost, duplicated, corrupted or
//! replayed, and a link can be blocked. A member can be killed, paused, restarted, or started under
//! another member's name.

mod network;
mod node;

use crate::effect::{Change, Effect};
use crate::member::Member;
use crate::membership::Membership;
use crate::time_queue::TimeQueue;
use crate::timing::{Millis, Timing};
use node::Node;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

pub use network::{DelayRange, Link, NetworkConditions};

/// Simulated time between two checks of the condition of [`Simulation::run_while`], in
/// milliseconds.
const CHECK_INTERVAL: Millis = 250.0;
/// Generation of a member that starts at simulated time 0.
const FIRST_GENERATION: f64 = 1_000_000.0;
/// Number of nodes whose members may hold replicas: those with an index below it.
const REPLICA_HOLDERS: usize = 3;
/// Number of zones that members are spread over.
const ZONES: usize = 3;

/// A change that a member reported.
#[derive(Clone, Debug)]
pub struct ObservedChange {
    /// When the change was reported, in simulated time.
    pub at: Millis,
    /// The node whose member reported it.
    pub observer: usize,
    /// The change.
    pub change: Change,
}

/// Number and total length of the datagrams that were sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Total length of the datagrams, in bytes.
    pub bytes: u64,
}

/// An event at a node.
#[derive(Clone, Debug)]
enum Event {
    /// The member's timers are due.
    Tick,
    /// A datagram arrives.
    Datagram(Vec<u8>),
    /// An anti-entropy message arrives.
    AntiEntropy { from: usize, bytes: Vec<u8> },
}

#[derive(Clone, Debug)]
struct ScheduledEvent {
    node: usize,
    event: Event,
}

/// A simulated fleet. Its nodes are numbered from 0. Each node has a name and an address, and runs
/// at most one member.
pub struct Simulation {
    /// The current simulated time.
    pub now: Millis,
    /// The conditions on every link.
    pub network: NetworkConditions,
    /// Links that deliver nothing.
    pub blocked_links: BTreeSet<Link>,
    /// All reported changes, in the order in which they were reported.
    pub observed_changes: Vec<ObservedChange>,
    /// Total length of the anti-entropy messages that were sent, in bytes.
    pub anti_entropy_bytes: u64,
    /// Number of datagrams that were dropped because their checksum did not match.
    pub corrupted_datagrams: u64,
    /// Offset of the wall clock from the simulated time when a member is started; negative if the
    /// clock was set back.
    pub wall_clock_offset: Millis,
    nodes: Vec<Node>,
    /// The node that receives what is sent to each address.
    nodes_by_address: BTreeMap<SocketAddr, usize>,
    timing: Timing,
    events: TimeQueue<ScheduledEvent>,
    rng: StdRng,
}

impl Simulation {
    /// Creates a fleet of `count` nodes, none of which runs a member yet. Each node is configured
    /// with `peers_each` other nodes that are chosen at random, or with all of them if there are no
    /// more.
    pub fn new(
        count: usize,
        peers_each: usize,
        timing: Timing,
        network: NetworkConditions,
        seed: u64,
    ) -> Simulation {
        let mut rng = StdRng::seed_from_u64(seed);
        let nodes: Vec<Node> = (0..count)
            .map(|index| Node::new(index, sample_peers(index, count, peers_each, &mut rng)))
            .collect();
        Simulation {
            now: 0.0,
            network,
            blocked_links: BTreeSet::new(),
            observed_changes: Vec::new(),
            anti_entropy_bytes: 0,
            corrupted_datagrams: 0,
            wall_clock_offset: 0.0,
            nodes_by_address: nodes
                .iter()
                .enumerate()
                .map(|(index, node)| (node.address, index))
                .collect(),
            nodes,
            timing,
            events: TimeQueue::new(),
            rng,
        }
    }

    /// Changes the name under which a node starts its next member, so that two processes can run
    /// under one name.
    pub fn set_name(&mut self, node: usize, name: &str) {
        name.clone_into(&mut self.nodes[node].name);
    }

    /// Changes the peers that the next member of a node is configured with.
    pub fn set_configured_peers(&mut self, node: usize, peers: Vec<usize>) {
        self.nodes[node].configured_peers = peers;
    }

    /// Moves the address of node `of` to `node`: whatever is sent to that address from now on
    /// arrives at `node`.
    pub fn take_over_address(&mut self, node: usize, of: usize) {
        self.nodes_by_address.insert(self.nodes[of].address, node);
    }

    /// Starts a member on a node. It replaces the one that ran there.
    pub fn start(&mut self, node: usize) {
        let generation = (FIRST_GENERATION + self.now + self.wall_clock_offset) as u64;
        let instance_id = self.rng.random();
        let peers = self.nodes[node].configured_peers.iter();
        let configured_peers = peers.map(|peer| self.nodes[*peer].contact()).collect();
        let local = Member {
            generation,
            instance_id,
            zone: format!("zone-{}", node % ZONES),
            version: 1,
            may_hold_replicas: node < REPLICA_HOLDERS,
            ..self.nodes[node].contact()
        };
        let membership = Membership::new(
            self.now,
            local,
            configured_peers,
            self.timing.clone(),
            self.nodes.len() as u32,
            self.rng.random(),
        );
        self.nodes[node].start(membership);
        self.schedule_tick(node);
    }

    /// Kills the member on a node.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].kill();
    }

    /// Lets the member on a node leave voluntarily.
    pub fn leave(&mut self, node: usize) {
        let now = self.now;
        if let Some(member) = &mut self.nodes[node].member {
            let effects = member.leave(now);
            self.apply(node, effects);
        }
        self.kill(node);
    }

    /// Pauses the process on a node for `duration`. Messages that arrive meanwhile are queued.
    pub fn pause(&mut self, node: usize, duration: Millis) {
        let end = self.now + duration;
        self.nodes[node].paused_until = Some(end);
        self.schedule(end, node, Event::Tick);
    }

    /// Partitions nodes into groups. Nothing is delivered from one group to another.
    pub fn partition(&mut self, groups: &[Vec<usize>]) {
        for (index, group) in groups.iter().enumerate() {
            for (other_index, other) in groups.iter().enumerate() {
                if other_index != index {
                    self.block_links(group, other);
                }
            }
        }
    }

    /// The member that runs on a node, if any.
    pub fn member(&self, node: usize) -> Option<&Membership> {
        self.nodes[node].member.as_ref()
    }

    /// The nodes whose members participate.
    pub fn active_nodes(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|node| self.nodes[*node].is_active())
            .collect()
    }

    /// Whether the view of each of these nodes' members contains the members of all of them, and no
    /// others.
    pub fn has_converged(&self, nodes: &[usize]) -> bool {
        let names: BTreeSet<&str> = nodes
            .iter()
            .map(|node| self.nodes[*node].name.as_str())
            .collect();
        nodes.iter().all(|node| {
            self.member(*node).is_some_and(|member| {
                let present = member.view().present.keys();
                present.map(|name| &**name).eq(names.iter().copied())
            })
        })
    }

    /// The traffic of all members since the start, including members that were killed.
    pub fn traffic(&self) -> Traffic {
        let mut traffic = Traffic::default();
        for node in &self.nodes {
            let counters = node
                .member
                .as_ref()
                .map(Membership::counters)
                .unwrap_or_default();
            traffic.datagrams += node.earlier_traffic.datagrams + counters.sent;
            traffic.bytes += node.earlier_traffic.bytes + counters.sent_bytes;
        }
        traffic
    }

    /// Lets the member on a node report its load, in thousandths of its capacity.
    pub fn report_load(&mut self, node: usize, load: u16) {
        let now = self.now;
        if let Some(member) = &mut self.nodes[node].member {
            member.report_load(now, load);
        }
    }

    /// Runs until the simulated time is `end`.
    pub fn run_until(&mut self, end: Millis) {
        self.run_while(end, |_| true);
    }

    /// Runs until the simulated time is `end`, or until `condition` no longer holds, which is
    /// checked every 250 ms of simulated time. Returns whether it no longer holds.
    pub fn run_while(&mut self, end: Millis, condition: impl Fn(&Simulation) -> bool) -> bool {
        let mut next_check = self.now;
        while let Some(at) = self.events.first_time().filter(|at| *at <= end) {
            if at >= next_check {
                next_check = at + CHECK_INTERVAL;
                if !condition(self) {
                    return true;
                }
            }
            if let Some(scheduled) = self.events.pop_first() {
                self.now = self.now.max(at);
                self.handle(at, scheduled);
            }
        }
        self.now = self.now.max(end);
        !condition(self)
    }

    fn block_links(&mut self, from: &[usize], to: &[usize]) {
        for from in from {
            for to in to {
                self.blocked_links.insert(Link {
                    from: *from,
                    to: *to,
                });
            }
        }
    }

    fn schedule(&mut self, at: Millis, node: usize, event: Event) {
        self.events.insert(at, ScheduledEvent { node, event });
    }

    /// Schedules the member's next tick, unless a tick is scheduled that is at least as early.
    fn schedule_tick(&mut self, node: usize) {
        let Some(at) = self.nodes[node].earlier_tick() else {
            return;
        };
        let at = at.max(self.now);
        self.nodes[node].next_tick = at;
        self.schedule(at, node, Event::Tick);
    }

    /// Handles an event that was scheduled for `at`: delivers it, or queues it while its node is
    /// paused.
    fn handle(&mut self, at: Millis, scheduled: ScheduledEvent) {
        let now = self.now;
        let node = &mut self.nodes[scheduled.node];
        if matches!(scheduled.event, Event::Tick) && at >= node.next_tick {
            node.next_tick = f64::INFINITY;
        }
        if let Some(end) = node.paused_until {
            if now < end {
                node.enqueue_while_paused(scheduled.event);
                return;
            }
            node.paused_until = None;
            for event in std::mem::take(&mut node.backlog) {
                self.deliver(scheduled.node, event);
            }
        }
        self.deliver(scheduled.node, scheduled.event);
    }

    fn deliver(&mut self, node: usize, event: Event) {
        let now = self.now;
        let Some(member) = &mut self.nodes[node].member else {
            return;
        };
        let effects = match event {
            Event::Tick => member.tick(now),
            Event::Datagram(bytes) => member.handle_datagram(now, &bytes),
            Event::AntiEntropy { from, bytes } => {
                let outcome = member.handle_anti_entropy(now, &bytes);
                if let Some(reply) = outcome.reply {
                    self.send_anti_entropy(node, from, reply);
                }
                outcome.effects
            }
        };
        self.apply(node, effects);
        self.schedule_tick(node);
    }

    fn apply(&mut self, node: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Changed(change) => self.observed_changes.push(ObservedChange {
                    at: self.now,
                    observer: node,
                    change,
                }),
                Effect::SendAntiEntropy { to, bytes } => {
                    let receiver = self.nodes_by_address.get(&to.address).copied();
                    // The handshake of a connection checks the name of the member that it reaches.
                    if let Some(receiver) = receiver.filter(|at| self.nodes[*at].name == *to.name) {
                        self.send_anti_entropy(node, receiver, bytes);
                    }
                }
                Effect::SendDatagram { to, bytes } => {
                    if let Some(receiver) = self.nodes_by_address.get(&to.address).copied() {
                        self.send_datagram(node, receiver, bytes.to_vec());
                    }
                }
            }
        }
    }
}

/// Chooses at random the peers that a node is configured with.
fn sample_peers(node: usize, count: usize, peers_each: usize, rng: &mut StdRng) -> Vec<usize> {
    if peers_each + 1 >= count {
        return (0..count).filter(|other| *other != node).collect();
    }
    let mut peers = BTreeSet::new();
    while peers.len() < peers_each {
        peers.insert(rng.random_range(0..count));
        peers.remove(&node);
    }
    peers.into_iter().collect()
}
