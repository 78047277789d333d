//! Property tests: the accounting and the memory use of the connection pools under random events.

use super::*;
use proptest::prelude::{any, proptest, ProptestConfig as Config};
use proptest::test_runner::RngSeed;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeSet;

/// A pool under random events, and a model of the connections, dials and waiters that it must have.
struct ChurnSimulation {
    rng: Pcg32,
    pool: ConnectionPool<u32>,
    driver: RecordingDriver,
    now: Millis,
    /// The id for a waiter or a connection that is created in the current step.
    next_id: u64,
    dialing: Vec<(u32, DialId)>,
    busy: Vec<(u32, ConnectionId)>,
    idle: BTreeSet<ConnectionId>,
    waiting: Vec<(u32, WaiterId)>,
}

impl ChurnSimulation {
    fn new(seed: u64) -> ChurnSimulation {
        let free_handshakes = PoolLimits {
            handshake_cost: 0.0,
            ..limits()
        };
        ChurnSimulation {
            rng: Pcg32::seed_from_u64(seed),
            pool: ConnectionPool::new(free_handshakes, seed),
            driver: RecordingDriver::default(),
            now: 0.0,
            next_id: 0,
            dialing: Vec::new(),
            busy: Vec::new(),
            idle: BTreeSet::new(),
            waiting: Vec::new(),
        }
    }

    /// Draws a random number below `n`.
    fn random_below(&mut self, n: u32) -> u32 {
        self.rng.next_u32() % n
    }

    /// Performs one random event. Backends are replaced over time: each is in use for 300 steps.
    fn step(&mut self, step: u32) {
        self.now += f64::from(self.random_below(200));
        self.next_id += 1;
        let endpoint = step / 300 * 3 + self.random_below(3);
        match self.random_below(10) {
            0..=3 => self.check_out(endpoint),
            4..=5 if !self.dialing.is_empty() => self.finish_dial(),
            6..=7 if !self.busy.is_empty() => self.finish_attempt(),
            8 if !self.waiting.is_empty() => self.cancel_wait(),
            _ => self.change_endpoint(endpoint),
        }
        self.wake();
        self.apply_actions();
        self.check(step);
    }

    fn check_out(&mut self, endpoint: u32) {
        let waiter = WaiterId(self.next_id);
        let at_most_once = self.random_below(2) == 0;
        let actions = &mut self.driver.actions;
        match self
            .pool
            .checkout(self.now, endpoint, waiter, at_most_once, actions)
        {
            Checkout::Reused { connection, .. } => {
                assert!(
                    self.idle.remove(&connection),
                    "a connection was reused that was not idle"
                );
                self.busy.push((endpoint, connection));
            }
            Checkout::Queued => self.waiting.push((endpoint, waiter)),
            Checkout::Exhausted => {
                assert!(self.pool.open_connections() >= limits().max_connections);
            }
        }
    }

    fn finish_dial(&mut self) {
        let index = self.random_below(self.dialing.len() as u32) as usize;
        let (endpoint, dial) = self.dialing.swap_remove(index);
        if self.random_below(3) > 0 {
            let connection = ConnectionId(self.next_id);
            self.idle.insert(connection);
            let actions = &mut self.driver.actions;
            self.pool
                .dial_succeeded(self.now, endpoint, dial, connection, actions);
            return;
        }
        let failure = if self.random_below(4) == 0 {
            DialFailure::Local
        } else {
            DialFailure::Remote
        };
        let actions = &mut self.driver.actions;
        self.pool
            .dial_failed(self.now, endpoint, dial, failure, actions);
    }

    fn finish_attempt(&mut self) {
        let index = self.random_below(self.busy.len() as u32) as usize;
        let (endpoint, connection) = self.busy.swap_remove(index);
        let is_reusable = self.random_below(4) > 0;
        let actions = &mut self.driver.actions;
        if is_reusable {
            self.idle.insert(connection);
            self.pool.release(self.now, endpoint, connection, actions);
        } else {
            self.pool.connection_closed(self.now, endpoint, actions);
        }
    }

    fn cancel_wait(&mut self) {
        let index = self.random_below(self.waiting.len() as u32) as usize;
        let (endpoint, waiter) = self.waiting.swap_remove(index);
        self.pool.cancel_wait(self.now, endpoint, waiter);
    }

    /// Resets, closes, removes, preconnects or otherwise changes the pool of a backend.
    fn change_endpoint(&mut self, endpoint: u32) {
        let kind = self.random_below(6);
        let is_reset = kind == 0 && self.random_below(2) == 0;
        let actions = &mut self.driver.actions;
        match kind {
            0 if is_reset => self.pool.reset_endpoint(endpoint, actions),
            0 => self.pool.close_idle(endpoint, actions),
            1 => self.pool.remove_endpoint(endpoint, actions),
            2 => self.pool.preconnect(self.now, endpoint, 500.0, actions),
            3 => self.pool.record_table_full(self.now, endpoint),
            _ => self.pool.evict_expired(self.now, actions),
        }
    }

    /// Wakes the pool for the requested times that have been reached.
    fn wake(&mut self) {
        let now = self.now;
        let (due, later) = self.driver.wakes.iter().partition(|(_, at)| *at <= now);
        self.driver.wakes = later;
        let due: Vec<(u32, Millis)> = due;
        for (endpoint, _) in due {
            self.pool.wake(now, endpoint, &mut self.driver.actions);
        }
    }

    /// Applies the recorded actions of the pool to the model.
    fn apply_actions(&mut self) {
        self.driver.record_actions();
        self.dialing.append(&mut self.driver.in_flight);
        for (waiter, connection) in std::mem::take(&mut self.driver.assigned) {
            let endpoint = self.end_wait(waiter);
            assert!(
                self.idle.remove(&connection),
                "a connection was assigned twice"
            );
            self.busy.push((endpoint, connection));
        }
        for (waiter, _) in std::mem::take(&mut self.driver.failed) {
            self.end_wait(waiter);
        }
        for connection in self.driver.closed.drain(..) {
            assert!(
                self.idle.remove(&connection),
                "a connection was closed that is busy or closed already"
            );
        }
    }

    /// Removes a waiter and returns the backend that it waits for; panics if it does not wait.
    fn end_wait(&mut self, waiter: WaiterId) -> u32 {
        let index = self
            .waiting
            .iter()
            .position(|(_, waits)| *waits == waiter)
            .expect("a waiter");
        self.waiting.swap_remove(index).0
    }

    /// Checks the invariants of the pool against the model.
    fn check(&self, step: u32) {
        let open = self.pool.open_connections();
        assert_eq!(
            open,
            self.dialing.len() + self.busy.len() + self.idle.len(),
            "step {step}"
        );
        assert!(
            open <= limits().max_connections,
            "more connections than the limit"
        );
        for (endpoint, waiter) in &self.waiting {
            let may_be_served = self.dialing.iter().any(|(at, _)| at == endpoint)
                || self.busy.iter().any(|(at, _)| at == endpoint)
                || self.driver.wakes.iter().any(|(at, _)| at == endpoint);
            let has_room = open < limits().max_connections;
            assert!(
                may_be_served || !has_room,
                "{waiter:?} waits although nothing pending can serve it"
            );
        }
        let endpoints = self.pool.endpoint_count();
        assert!(endpoints <= 64, "{endpoints} endpoints are kept");
    }
}

fn simulate_churn(seed: u64, steps: u32) {
    let mut simulation = ChurnSimulation::new(seed);
    for step in 0..steps {
        simulation.step(step);
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 64,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards the accounting under events in any order: each connection and each waiter is accounted
    /// for exactly once, the connection limit holds, no waiter is left without a pending event that
    /// can serve it, and pools of removed backends are dropped.
    #[test]
    fn every_connection_and_every_waiter_is_accounted_for(seed in any::<u64>()) {
        simulate_churn(seed, 600);
    }
}

/// Guards memory over an hour of simulated churn: ten steps per second on average, and all backends
/// replaced every 30 s.
#[test]
fn an_hour_of_endpoint_churn_leaves_nothing_behind() {
    simulate_churn(1, 36_000);
}
