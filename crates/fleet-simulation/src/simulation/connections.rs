//! The connections between gateways and backends: dials, handshakes and ends.

use super::event_queue::SimEvent;
use super::Simulation;
use crate::pooling::{CheckoutResult, DialResult, Pool, PoolStep};
use crate::scenario::BackendFault;
use cometspool::{Idempotency, Millis, Outcome};

/// Time after which a dial that nobody answers is given up.
const DIAL_TIMEOUT: Millis = 250.0;
/// Work of a handshake.
const HANDSHAKE: f64 = 1.0;

/// A connection between a gateway and a backend.
pub(super) struct Connection {
    pub(super) backend: usize,
    /// Whether the backend's process still has it, and whether its gateway has heard that it is gone.
    pub(super) open: bool,
    pub(super) reset: bool,
}

impl Simulation {
    /// Tells a gateway's pool something and does what comes of it.
    pub(super) fn pool<T>(
        &mut self,
        gateway: usize,
        tell: impl FnOnce(&mut Pool, Millis, &mut Vec<PoolStep>) -> T,
    ) -> T {
        let mut steps = Vec::new();
        let told = tell(&mut self.gateways[gateway].pool, self.now, &mut steps);
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
                    self.settle(
                        call,
                        if is_full {
                            Outcome::Rejected
                        } else {
                            Outcome::ConnectFailed
                        },
                    );
                }
                PoolStep::Close(connection) => self.close_connection(connection),
                PoolStep::Wake { backend, at } => {
                    self.schedule(at, SimEvent::PoolWake(gateway, backend));
                }
            }
        }
        told
    }

    pub(super) fn check_out_connection(&mut self, call: usize) {
        let (Some(gateway), backend) =
            (self.calls[call].origin.gateway(), self.calls[call].backend)
        else {
            return;
        };
        let class = self.requests[self.calls[call].request as usize].class;
        let once = self.scenario.classes[class].class.idempotency == Idempotency::NonIdempotent;
        loop {
            match self.pool(gateway, |pool, now, steps| {
                pool.checkout(now, backend, call, once, steps)
            }) {
                // One that was reset is seen to be, and is none.
                CheckoutResult::Reused(connection)
                    if self.connections[connection as usize].reset =>
                {
                    self.pool(gateway, |pool, now, steps| {
                        pool.connection_closed(now, backend, steps);
                    });
                }
                CheckoutResult::Reused(connection) => {
                    self.calls[call].connection = Some(connection);
                    self.transmit(call);
                    return;
                }
                CheckoutResult::Queued => {
                    // It may have been given one, or none, by what came of asking.
                    if self.calls[call].connection.is_none() && !self.calls[call].settled {
                        self.calls[call].waits_for_connection = true;
                        self.schedule(self.now + DIAL_TIMEOUT, SimEvent::CheckoutTimeout(call));
                    }
                    return;
                }
                CheckoutResult::Exhausted => {
                    self.settle(call, Outcome::NotSent);
                    return;
                }
            }
        }
    }

    fn dial(&mut self, gateway: usize, backend: usize, call: Option<usize>) {
        self.statistics.dials += 1;
        let second = (self.now / 1000.0) as usize;
        let by_second = &mut self.statistics.dials_by_second;
        by_second.resize(by_second.len().max(second + 1), 0);
        by_second[second] += 1;
        let (from, to) = (
            self.gateways[gateway].zone,
            self.backends[backend].spec.zone,
        );
        let silent =
            !self.reaches(from, to) || self.backends[backend].spec.fault == BackendFault::Silent;
        let (takes, answered) = if silent {
            (DIAL_TIMEOUT, false)
        } else {
            (2.0 * self.one_way_delay(from, to), true)
        };
        self.schedule(
            self.now + takes,
            SimEvent::DialCompleted(gateway, backend, call, answered),
        );
    }

    pub(super) fn finish_dial(
        &mut self,
        gateway: usize,
        backend: usize,
        call: Option<usize>,
        answered: bool,
    ) {
        let node = &self.backends[backend];
        let full = self
            .scenario
            .max_connections_per_backend
            .is_some_and(|table| node.open_connections >= table);
        let up = answered && node.spec.fault != BackendFault::Crashed && !full;
        let result = if up {
            self.record_load(backend, Some(gateway), HANDSHAKE);
            self.backends[backend].open_connections += 1;
            let peak = &mut self.statistics.peak_connections[backend];
            *peak = (*peak).max(self.backends[backend].open_connections);
            self.connections.push(Connection {
                backend,
                open: true,
                reset: false,
            });
            DialResult::Connected(self.connections.len() as u64 - 1)
        } else {
            self.statistics.refused_dials += u64::from(answered && full);
            DialResult::Failed
        };
        self.pool(gateway, |pool, now, steps| {
            pool.dial_finished(now, backend, call, result, steps);
        });
    }

    fn close_connection(&mut self, connection: u64) {
        let connection = &mut self.connections[connection as usize];
        if std::mem::replace(&mut connection.open, false) {
            let node = &mut self.backends[connection.backend];
            node.open_connections = node.open_connections.saturating_sub(1);
        }
    }

    /// A process that dies resets its connections.
    pub(super) fn reset_connections(&mut self, backend: usize) {
        for connection in self
            .connections
            .iter_mut()
            .filter(|connection| connection.backend == backend)
        {
            (connection.open, connection.reset) = (false, true);
        }
        self.backends[backend].open_connections = 0;
    }

    /// An attempt is over for its gateway: its connection is free again, or goes with it.
    pub(super) fn return_connection(&mut self, call: usize, outcome: Outcome) {
        let (Some(gateway), backend) =
            (self.calls[call].origin.gateway(), self.calls[call].backend)
        else {
            return;
        };
        if std::mem::take(&mut self.calls[call].waits_for_connection) {
            self.pool(gateway, |pool, now, _| pool.cancel_wait(now, backend, call));
        }
        let Some(connection) = self.calls[call].connection.take() else {
            return;
        };
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected)
            && !self.connections[connection as usize].reset
        {
            self.pool(gateway, |pool, now, steps| {
                pool.release(now, backend, connection, steps);
            });
        } else {
            self.close_connection(connection);
            self.pool(gateway, |pool, now, steps| {
                pool.connection_closed(now, backend, steps);
            });
        }
    }
}
