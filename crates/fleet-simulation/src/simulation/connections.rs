//! Connections between gateways and backends: checkouts, dials, handshakes and resets.

use super::event_queue::SimEvent;
use super::Simulation;
use crate::pooling::{CheckoutResult, DialResult, PoolStep};
use crate::scenario::BackendFault;
use cometspool::connection_pool::DialId;
use cometspool::{Idempotency, Millis, Outcome};

/// Time after which an unanswered dial, or the wait of a queued call for a connection, fails, ms.
const DIAL_TIMEOUT: Millis = 250.0;
/// Work of a handshake at the backend, in milliseconds on one core of reference speed.
const HANDSHAKE_WORK: f64 = 1.0;

/// A connection between a gateway and a backend.
pub(super) struct Connection {
    backend: usize,
    /// Whether neither the gateway nor the backend has closed the connection.
    is_open: bool,
    /// Whether the connection was reset because the backend's process ended.
    is_reset: bool,
}

impl Simulation {
    /// Executes the steps that a gateway's pool returned.
    pub(super) fn apply_pool_steps(&mut self, gateway: usize, steps: Vec<PoolStep>) {
        for step in steps {
            match step {
                PoolStep::Dial { backend, dial } => self.dial(gateway, backend, dial),
                PoolStep::Assign { call, connection } => {
                    self.calls[call].waits_for_connection = false;
                    self.calls[call].connection = Some(connection);
                    self.transmit(call);
                }
                PoolStep::Fail { call, is_full } => {
                    self.calls[call].waits_for_connection = false;
                    let outcome = if is_full {
                        Outcome::Rejected
                    } else {
                        Outcome::ConnectFailed
                    };
                    self.complete_call(call, outcome);
                }
                PoolStep::Close { connection } => self.close_connection(connection),
                PoolStep::Wake { backend, at } => {
                    self.schedule(at, SimEvent::PoolWake { gateway, backend });
                }
            }
        }
    }

    /// Checks out a connection for a gateway's call, and transmits the call as soon as it has one.
    pub(super) fn check_out_connection(&mut self, call: usize) {
        let Some(gateway) = self.calls[call].origin.gateway() else {
            return;
        };
        let backend = self.calls[call].backend;
        let class = self.requests[self.calls[call].request as usize].class;
        let idempotency = &self.scenario.classes[class].class.idempotency;
        let at_most_once = *idempotency == Idempotency::NonIdempotent;
        loop {
            let checkout =
                self.gateways[gateway]
                    .pool
                    .checkout(self.now, backend, call, at_most_once);
            self.apply_pool_steps(gateway, checkout.steps);
            match checkout.result {
                // The gateway detects a reset of a pooled connection at checkout, without delay, and checks out
                // another.
                CheckoutResult::Reused { connection } if self.connections[connection].is_reset => {
                    let steps = self.gateways[gateway]
                        .pool
                        .connection_closed(self.now, backend);
                    self.apply_pool_steps(gateway, steps);
                }
                CheckoutResult::Reused { connection } => {
                    self.calls[call].connection = Some(connection);
                    self.transmit(call);
                    return;
                }
                CheckoutResult::Queued => {
                    self.wait_for_connection(call);
                    return;
                }
                CheckoutResult::Exhausted => {
                    self.complete_call(call, Outcome::NotSent);
                    return;
                }
            }
        }
    }

    /// Marks a queued call as waiting and schedules its checkout timeout, unless a step of the checkout has already
    /// assigned it a connection or completed it.
    fn wait_for_connection(&mut self, call: usize) {
        if self.calls[call].connection.is_none() && !self.calls[call].is_completed {
            self.calls[call].waits_for_connection = true;
            self.schedule(self.now + DIAL_TIMEOUT, SimEvent::CheckoutTimeout { call });
        }
    }

    fn dial(&mut self, gateway: usize, backend: usize, dial: DialId) {
        self.statistics.dials += 1;
        let second = (self.now / 1000.0) as usize;
        let by_second = &mut self.statistics.dials_by_second;
        by_second.resize(by_second.len().max(second + 1), 0);
        by_second[second] += 1;
        let is_answered = self.is_backend_reachable(gateway, backend)
            && self.backends[backend].spec.fault != BackendFault::Silent;
        let duration = if is_answered {
            2.0 * self.delay_to_backend(gateway, backend)
        } else {
            DIAL_TIMEOUT
        };
        self.schedule(
            self.now + duration,
            SimEvent::DialCompleted {
                gateway,
                backend,
                dial,
                is_answered,
            },
        );
    }

    /// Handles the end of a dial: opens the connection if the backend answered and accepts it, and reports the result
    /// to the pool.
    pub(super) fn finish_dial(
        &mut self,
        gateway: usize,
        backend: usize,
        dial: DialId,
        is_answered: bool,
    ) {
        let open_connections = self.backends[backend].open_connections;
        let is_full = self
            .scenario
            .max_connections_per_backend
            .is_some_and(|limit| open_connections >= limit);
        let has_crashed = self.backends[backend].spec.fault == BackendFault::Crashed;
        let result = if is_answered && !has_crashed && !is_full {
            self.record_load(backend, Some(gateway), HANDSHAKE_WORK);
            DialResult::Connected {
                connection: self.open_connection(backend),
            }
        } else {
            self.statistics.rejected_dials += u64::from(is_answered && is_full);
            DialResult::Failed
        };
        let steps = self.gateways[gateway]
            .pool
            .dial_finished(self.now, backend, dial, result);
        self.apply_pool_steps(gateway, steps);
    }

    /// Adds a connection to a backend and returns its index.
    fn open_connection(&mut self, backend: usize) -> usize {
        self.backends[backend].open_connections += 1;
        let peak = &mut self.statistics.peak_connections[backend];
        *peak = (*peak).max(self.backends[backend].open_connections);
        self.connections.push(Connection {
            backend,
            is_open: true,
            is_reset: false,
        });
        self.connections.len() - 1
    }

    fn close_connection(&mut self, connection: usize) {
        let connection = &mut self.connections[connection];
        if std::mem::replace(&mut connection.is_open, false) {
            let backend = &mut self.backends[connection.backend];
            backend.open_connections = backend.open_connections.saturating_sub(1);
        }
    }

    /// Resets the connections of a backend whose process ends.
    pub(super) fn reset_connections(&mut self, backend: usize) {
        for connection in &mut self.connections {
            if connection.backend == backend {
                connection.is_open = false;
                connection.is_reset = true;
            }
        }
        self.backends[backend].open_connections = 0;
    }

    /// Returns the connection of a completed call to its pool, or closes it if there was no complete response. A call
    /// that still waits for a connection is removed from the pool's queue.
    pub(super) fn return_connection(&mut self, call: usize, outcome: Outcome) {
        let Some(gateway) = self.calls[call].origin.gateway() else {
            return;
        };
        let backend = self.calls[call].backend;
        if std::mem::take(&mut self.calls[call].waits_for_connection) {
            self.gateways[gateway]
                .pool
                .cancel_wait(self.now, backend, call);
        }
        let Some(connection) = self.calls[call].connection.take() else {
            return;
        };
        let has_response = matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected);
        let pool = &mut self.gateways[gateway].pool;
        let steps = if has_response && !self.connections[connection].is_reset {
            pool.release(self.now, backend, connection)
        } else {
            let steps = pool.connection_closed(self.now, backend);
            self.close_connection(connection);
            steps
        };
        self.apply_pool_steps(gateway, steps);
    }
}
