//! The nodes of a simulation. Each node has a disk and runs one replica at a time.

use super::disk::Disk;
use super::events::Event;
use super::{node_name, AppendList, Simulation};
use crate::fault::Fault;
use crate::identity::ReplicaId;
use crate::log::LogRecord;
use crate::replica::{Effect, Replica, Role, Start};
use crate::settings::Millis;
use crate::store;
use rand::RngExt;

/// Default duration of a durable disk write, in milliseconds.
pub(super) const DEFAULT_WRITE_LATENCY: Millis = 0.5;
/// Maximum number of events that are queued for a paused node; further events are lost.
const MAX_DELAYED_EVENTS: usize = 512;
/// Number of zones over which the nodes are spread.
const ZONES: usize = 3;

/// A simulated machine with a disk and, while it runs, a replica.
pub(super) struct Node {
    /// The node's replica; `None` while it is not running.
    pub(super) replica: Option<Replica<AppendList>>,
    pub(super) disk: Disk,
    /// The number of replica identities that the node has created.
    incarnations: u64,
    /// When the pause ends; `None` if the node is not paused.
    pub(super) paused_until: Option<Millis>,
    /// Events that arrived during the pause.
    delayed_events: Vec<Event>,
    /// Duration of a durable disk write, in milliseconds.
    pub(super) write_latency: Millis,
    /// Number of starts and kills of the replica. A write that completes is reported only to the
    /// run that issued it.
    run: u64,
    /// When the replica's next tick is due.
    next_tick: Millis,
}

impl Default for Node {
    fn default() -> Node {
        Node {
            replica: None,
            disk: Disk::default(),
            incarnations: 0,
            paused_until: None,
            delayed_events: Vec::new(),
            write_latency: DEFAULT_WRITE_LATENCY,
            run: 0,
            next_tick: 0.0,
        }
    }
}

impl Simulation {
    /// Starts the replica of a node from the content of the node's disk.
    pub fn start(&mut self, node: usize) {
        let own = &mut self.nodes[node];
        own.run += 1;
        own.next_tick = self.now;
        own.paused_until = None;
        own.delayed_events.clear();
        let start = self.load_store(node);
        let zones = (0..self.nodes.len())
            .map(|node| (node_name(node), format!("zone-{}", node % ZONES)))
            .collect();
        let (replica, effects) = Replica::new(
            self.now,
            start,
            self.settings.clone(),
            self.is_durable,
            zones,
            self.rng.random(),
        );
        self.nodes[node].replica = Some(replica);
        self.schedule(self.now, node, Event::Tick);
        self.execute_effects(node, effects);
    }

    /// Loads a node's store. A store that cannot be used is replaced by an empty one under a new
    /// identity.
    fn load_store(&mut self, node: usize) -> Start {
        let founders = (0..self.founders).map(node_name).collect();
        let disk = &mut self.nodes[node].disk;
        let mut bytes = std::mem::take(&mut disk.durable);
        if self.is_durable && !bytes.is_empty() {
            if let Ok(store) = store::decode(&bytes, &disk.file_tag) {
                bytes.truncate(store.valid_length);
                disk.durable = bytes;
                return Start::Stored {
                    store: Box::new(store),
                    founders,
                };
            }
            self.statistics.discarded_stores += 1;
        }
        let id = self.create_store(node);
        Start::Empty { id, founders }
    }

    fn create_store(&mut self, node: usize) -> ReplicaId {
        let mut id = ReplicaId {
            name: node_name(node),
            incarnation: self.rng.random(),
        };
        if Fault::VoteAfterDataLoss.is_enabled() {
            id.incarnation = node as u64 + 1;
        }
        let own = &mut self.nodes[node];
        own.incarnations += 1;
        own.disk.file_tag = format!("{node}/{}", own.incarnations);
        own.disk.begin_store(id.clone());
        id
    }

    /// Kills the replica of a node. A random prefix of its unflushed bytes remains on the disk.
    pub fn kill(&mut self, node: usize) {
        let own = &mut self.nodes[node];
        if own.replica.take().is_none() {
            return;
        }
        own.run += 1;
        self.statistics.kills += 1;
        self.discard_unflushed(node);
    }

    /// Pauses a node. Events that arrive meanwhile are queued until the pause ends.
    pub fn pause(&mut self, node: usize, duration: Millis) {
        let end = self.now + duration;
        self.nodes[node].paused_until = Some(end);
        self.nodes[node].next_tick = end;
        self.schedule(end, node, Event::Tick);
    }

    pub(super) fn handle_node_event(&mut self, node: usize, event: Event) {
        let own = &mut self.nodes[node];
        if let Some(until) = own.paused_until {
            if self.now < until {
                let is_tick = matches!(event, Event::Tick);
                if !is_tick && own.delayed_events.len() < MAX_DELAYED_EVENTS {
                    own.delayed_events.push(event);
                }
                return;
            }
            own.paused_until = None;
            for delayed in std::mem::take(&mut own.delayed_events) {
                self.handle_node_event(node, delayed);
            }
        }
        self.deliver_to_replica(node, event);
    }

    fn deliver_to_replica(&mut self, node: usize, event: Event) {
        let now = self.now;
        let own = &mut self.nodes[node];
        let current_run = own.run;
        if let Event::Written { run, bytes, .. } = &event {
            if *run == current_run {
                own.disk.flush(*bytes);
            }
        }
        let is_tick = matches!(event, Event::Tick);
        if is_tick && now < own.next_tick {
            return;
        }
        let Some(replica) = &mut own.replica else {
            return;
        };
        let effects = match event {
            Event::Tick => replica.tick(now),
            Event::Message(envelope) => replica.receive(now, *envelope),
            Event::Request { client, request } => {
                replica.request(now, &client.to_string(), request)
            }
            Event::Written { run, write, .. } if run == current_run => replica.written(now, write),
            _ => return,
        };
        if is_tick {
            let next = replica.next_tick().max(now + 1.0);
            own.next_tick = next;
            self.schedule(next, node, Event::Tick);
        }
        self.execute_effects(node, effects);
        self.observe_replica(node);
    }

    fn execute_effects(&mut self, node: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Append { write, records } => self.append(node, write, &records),
                Effect::Rewrite { write, records } => self.rewrite(node, write, &records),
                Effect::Send { to, envelope } => self.send(node, &to, &envelope),
                Effect::Respond { client, response } => {
                    let Ok(client) = client.parse::<usize>() else {
                        continue;
                    };
                    let at = self.now + self.sample_delay();
                    if !self.sample_bool(self.link_conditions.loss) {
                        self.schedule(at, 0, Event::Response { client, response });
                    }
                }
                Effect::DiscardStore => {
                    self.statistics.discarded_stores += 1;
                    self.nodes[node].replica = None;
                    self.nodes[node].disk.clear();
                    self.start(node);
                    return;
                }
            }
        }
    }

    fn append(&mut self, node: usize, write: u64, records: &[LogRecord]) {
        let bytes = store::encode(records);
        let length = bytes.len();
        self.nodes[node].disk.unflushed.extend(bytes);
        self.schedule_written(node, write, length);
    }

    /// Atomically replaces the file with a new one, as by a rename, so that after a crash one of
    /// the two exists. The new file contains everything that was still being written to the old
    /// one.
    fn rewrite(&mut self, node: usize, write: u64, records: &[LogRecord]) {
        let own = &mut self.nodes[node];
        let Some(replica) = &own.replica else { return };
        own.disk.begin_store(replica.id().clone());
        own.disk.durable.extend(store::encode(records));
        own.disk.unflushed.clear();
        self.schedule_written(node, write, 0);
    }

    fn schedule_written(&mut self, node: usize, write: u64, bytes: usize) {
        let run = self.nodes[node].run;
        let at = self.now + self.nodes[node].write_latency;
        self.schedule(at, node, Event::Written { run, write, bytes });
    }

    /// Compares what a replica has applied with the reference list, and counts changes of the
    /// leader and of the configuration.
    fn observe_replica(&mut self, node: usize) {
        let Some(replica) = &self.nodes[node].replica else {
            return;
        };
        let list = &replica.state().state_machine.0;
        let known = self.reference.len().min(list.len());
        // Only the last common item is compared here; `violations` compares all items at the end.
        if known > 0 && self.reference[known - 1] != list[known - 1] {
            let violation = format!(
                "{} at {} ms: another replica had a different item at index {}",
                node_name(node),
                self.now,
                known - 1
            );
            self.run_violations.push(violation);
        }
        self.reference.extend_from_slice(&list[known..]);
        let configuration = replica.configuration().map_or(1, |own| own.number);
        if configuration > self.latest_configuration {
            self.statistics.reconfigurations +=
                u64::from(configuration - self.latest_configuration);
            self.latest_configuration = configuration;
        }
        if replica.role() == Role::Leader && self.last_leader != Some(node) {
            self.last_leader = Some(node);
            self.statistics.leader_changes += 1;
        }
    }
}
