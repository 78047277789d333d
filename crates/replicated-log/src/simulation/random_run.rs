//! Simulation runs with random faults, drawn from a seed.

use super::node::DEFAULT_WRITE_LATENCY;
use super::{LinkConditions, Simulation, SimulationConfig};
use crate::identity::{Configuration, ReplicaId};
use crate::replica::Role;
use crate::settings::{Limits, Millis, Settings, Timing};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const CLIENTS: usize = 4;
/// Duration of the phase in which faults are injected, in milliseconds.
const FAULT_DURATION: Millis = 30_000.0;
/// Maximum additional delay of reordered messages, in milliseconds.
const MAX_REORDERING_DELAY: Millis = 3000.0;

/// Runs a simulation with random faults, followed by a phase without faults in which all writes
/// must complete. At most one replica loses its disk before the group is complete again, as
/// survival of more lost disks is not guaranteed.
pub fn run_random(seed: u64) -> Simulation {
    let mut run = RandomRun::new(seed);
    run.wait_for_leader();
    run.inject_faults();
    run.recover();
    run.simulation
}

struct RandomRun {
    simulation: Simulation,
    rng: StdRng,
    nodes: usize,
    founders: usize,
}

impl RandomRun {
    fn new(seed: u64) -> RandomRun {
        let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
        let founders = if rng.random_bool(0.7) { 3 } else { 5 };
        let nodes = founders + rng.random_range(0..=1);
        let is_durable = rng.random_bool(0.8);
        let settings = Settings {
            timing: Timing {
                replacement_delay: 3000.0,
                ..Timing::default()
            },
            limits: Limits {
                chunk_bytes: 256,
                log_entries: 64,
                retained_entries: 16,
                ..Limits::default()
            },
        };
        let simulation = Simulation::new(SimulationConfig {
            nodes,
            founders,
            clients: CLIENTS,
            is_durable,
            settings,
            seed: rng.random(),
        });
        RandomRun {
            simulation,
            rng,
            nodes,
            founders,
        }
    }

    fn wait_for_leader(&mut self) {
        self.simulation
            .run_while(20_000.0, |simulation| simulation.leader().is_none());
    }

    fn inject_faults(&mut self) {
        let end = self.simulation.now + FAULT_DURATION;
        while self.simulation.now < end {
            let next_fault = self.simulation.now + self.rng.random_range(50.0..800.0);
            while self.simulation.now < next_fault {
                self.simulation.write(self.rng.random_range(0..CLIENTS));
                let pause = self.rng.random_range(2.0..40.0);
                self.simulation.run_until(self.simulation.now + pause);
            }
            self.inject_fault();
        }
    }

    /// Ends all faults, and runs until all writes are complete.
    fn recover(&mut self) {
        let simulation = &mut self.simulation;
        simulation.blocked_links.clear();
        simulation.link_conditions = LinkConditions::default();
        for node in 0..self.nodes {
            simulation.set_write_latency(node, DEFAULT_WRITE_LATENCY);
        }
        for node in 0..self.nodes {
            if !simulation.is_running(node) {
                simulation.start(node);
            }
        }
        let end = simulation.now + 120_000.0;
        simulation.run_while(end, |simulation| simulation.pending_writes() > 0);
        simulation.run_until(simulation.now + 5000.0);
    }

    fn inject_fault(&mut self) {
        let node = self.rng.random_range(0..self.nodes);
        let may_lose_disk = self.may_lose_disk(node);
        match self.rng.random_range(0..16) {
            0 | 1 => self.change_link_conditions(),
            2 => self.simulation.blocked_links.clear(),
            3 => self.block_links(node),
            4 => self.partition(),
            5 => {
                let duration = self.rng.random_range(100.0..8000.0);
                self.simulation.pause(node, duration);
            }
            6 => {
                let latency = self.pick(&[0.5, 5.0, 50.0, 500.0]);
                self.simulation.set_write_latency(node, latency);
            }
            7..=10 if may_lose_disk && self.simulation.is_running(node) => self.lose_disk(node),
            11 if self.simulation.is_durable => self.restart_all(),
            _ => self.start_or_kill(node, may_lose_disk),
        }
    }

    fn pick(&mut self, values: &[f64]) -> f64 {
        values[self.rng.random_range(0..values.len())]
    }

    fn change_link_conditions(&mut self) {
        self.simulation.link_conditions = LinkConditions {
            loss: self.pick(&[0.0, 0.02, 0.1, 0.3]),
            duplication: self.pick(&[0.0, 0.05, 0.2]),
            reordering: self.pick(&[0.0, 0.05, 0.2]),
            max_reordering_delay: MAX_REORDERING_DELAY,
            ..LinkConditions::default()
        };
    }

    fn block_links(&mut self, node: usize) {
        let other = self.rng.random_range(0..self.nodes);
        if self.rng.random_bool(0.5) {
            self.simulation.disconnect(node, other);
        } else {
            self.simulation.block(node, other);
        }
    }

    fn partition(&mut self) {
        let (one_side, other_side): (Vec<usize>, Vec<usize>) =
            (0..self.nodes).partition(|_| self.rng.random_bool(0.5));
        self.simulation.partition(&[&one_side, &other_side]);
    }

    fn lose_disk(&mut self, node: usize) {
        if self.rng.random_bool(0.5) {
            self.simulation.back_up(node);
        }
        self.simulation.kill(node);
        match self.rng.random_range(0..3) {
            0 => self.simulation.wipe(node),
            1 => self.simulation.restore_backup(node, true),
            _ => self.simulation.corrupt(node),
        }
    }

    /// Kills all replicas at once and restarts them from their disks.
    fn restart_all(&mut self) {
        for node in 0..self.nodes {
            self.simulation.kill(node);
        }
        for node in 0..self.nodes {
            self.simulation.start(node);
        }
    }

    fn start_or_kill(&mut self, node: usize, may_lose_disk: bool) {
        let stopped = (0..self.nodes).find(|node| !self.simulation.is_running(*node));
        if let Some(stopped) = stopped {
            if self.rng.random_bool(0.6) {
                self.simulation.start(stopped);
                return;
            }
        }
        // A replica without a disk loses its whole state when it is killed.
        if self.simulation.is_durable || may_lose_disk {
            self.simulation.kill(node);
        }
    }

    /// Whether a node may lose its disk. It must be a voter's, and all voters of the group must be
    /// running and voting. A standby must keep its disk, as it may be about to become a voter.
    fn may_lose_disk(&self, node: usize) -> bool {
        let simulation = &self.simulation;
        let configuration = simulation
            .leader()
            .and_then(|leader| simulation.replica(leader)?.configuration());
        let Some(configuration) = configuration else {
            return false;
        };
        let is_voter = simulation
            .replica(node)
            .is_some_and(|replica| configuration.has_voter(replica.id()));
        let voters = &configuration.voters;
        is_voter
            && voters.len() == self.founders
            && voters.iter().all(|voter| self.votes(voter, configuration))
    }

    /// Whether a voter is running and votes in this configuration.
    fn votes(&self, voter: &ReplicaId, configuration: &Configuration) -> bool {
        (0..self.nodes)
            .filter_map(|node| self.simulation.replica(node))
            .filter(|replica| replica.id() == voter)
            .filter(|replica| matches!(replica.role(), Role::Leader | Role::Follower))
            .filter_map(|replica| replica.configuration())
            .any(|own| own.number == configuration.number)
    }
}
