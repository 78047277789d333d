//! The connections between gateways and backends: the pools as they serve, with numbers for names.

use cometspool::connection_pool::{
    Checkout, ConnectionId, ConnectionPool, DialFailure, DialId, PoolAction, PoolError, PoolLimits,
    WaiterId,
};
use cometspool::Millis;

/// Something for the simulated world to do.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PoolStep {
    /// Dial a backend.
    Dial { backend: usize, dial: Option<usize> },
    /// Send a call on this connection.
    Assign { call: usize, connection: u64 },
    /// A call gets no connection, as its backend is full or cannot be reached.
    Fail { call: usize, is_full: bool },
    /// Close a connection.
    Close(u64),
    /// Wake the pool for a backend at this time.
    Wake { backend: usize, at: Millis },
}

/// What a call gets at once.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CheckoutResult {
    /// A pooled connection.
    Reused(u64),
    /// A place in the queue.
    Queued,
    /// Nothing: the gateway holds as many connections as it may.
    Exhausted,
}

/// How a dial ended.
pub(crate) enum DialResult {
    /// With this connection.
    Connected(u64),
    /// Without one: refused, or not answered in time.
    Failed,
}

/// Connections that a gateway may have: two fifths of 576 descriptors, as on the test days with
/// many clients.
const MAX_CONNECTIONS: usize = 220;
/// Idle time after which a backend closes a connection.
const BACKEND_IDLE_TIMEOUT: Millis = 30_000.0;

/// The pools' core as it serves.
pub(crate) struct Pool(ConnectionPool<usize>);

impl Pool {
    pub(crate) fn new(gateways: u32, seed: u64) -> Pool {
        let limits = PoolLimits {
            max_connections: MAX_CONNECTIONS,
            endpoint_idle_timeout: BACKEND_IDLE_TIMEOUT,
            gateway_count: gateways,
            handshake_cost: 0.02,
            connection_cost: 0.0,
        };
        Pool(ConnectionPool::new(limits, seed))
    }

    /// Reports an event to the pool and translates the actions that come of it.
    fn report<T>(
        &mut self,
        steps: &mut Vec<PoolStep>,
        event: impl FnOnce(&mut ConnectionPool<usize>, &mut Vec<PoolAction<usize>>) -> T,
    ) -> T {
        let mut actions = Vec::new();
        let result = event(&mut self.0, &mut actions);
        steps.extend(actions.into_iter().map(PoolStep::from));
        result
    }

    pub(crate) fn checkout(
        &mut self,
        now: Millis,
        backend: usize,
        call: usize,
        run_once: bool,
        steps: &mut Vec<PoolStep>,
    ) -> CheckoutResult {
        let waiter = WaiterId(call as u64);
        let checkout = self.report(steps, |pool, actions| {
            pool.checkout(now, backend, waiter, run_once, actions)
        });
        match checkout {
            Checkout::Reused { connection, .. } => CheckoutResult::Reused(connection.0),
            Checkout::Queued => CheckoutResult::Queued,
            Checkout::Exhausted => CheckoutResult::Exhausted,
        }
    }

    pub(crate) fn dial_finished(
        &mut self,
        now: Millis,
        backend: usize,
        dial: Option<usize>,
        result: DialResult,
        steps: &mut Vec<PoolStep>,
    ) {
        let dial = DialId(dial.unwrap_or_default() as u64);
        self.report(steps, |pool, actions| match result {
            DialResult::Connected(connection) => {
                pool.dial_succeeded(now, backend, dial, ConnectionId(connection), actions);
            }
            DialResult::Failed => {
                pool.dial_failed(now, backend, dial, DialFailure::Remote, actions);
            }
        });
    }

    pub(crate) fn cancel_wait(&mut self, now: Millis, backend: usize, call: usize) {
        self.0.cancel_wait(now, backend, WaiterId(call as u64));
    }

    pub(crate) fn release(
        &mut self,
        now: Millis,
        backend: usize,
        connection: u64,
        steps: &mut Vec<PoolStep>,
    ) {
        self.report(steps, |pool, actions| {
            pool.release(now, backend, ConnectionId(connection), actions);
        });
    }

    pub(crate) fn connection_closed(
        &mut self,
        now: Millis,
        backend: usize,
        steps: &mut Vec<PoolStep>,
    ) {
        self.report(steps, |pool, actions| {
            pool.connection_closed(now, backend, actions);
        });
    }

    pub(crate) fn remove_endpoint(&mut self, backend: usize, steps: &mut Vec<PoolStep>) {
        self.report(steps, |pool, actions| {
            pool.remove_endpoint(backend, actions);
        });
    }

    pub(crate) fn close_idle(&mut self, backend: usize, steps: &mut Vec<PoolStep>) {
        self.report(steps, |pool, actions| pool.close_idle(backend, actions));
    }

    pub(crate) fn preconnect(
        &mut self,
        now: Millis,
        backend: usize,
        within: Millis,
        steps: &mut Vec<PoolStep>,
    ) {
        self.report(steps, |pool, actions| {
            pool.preconnect(now, backend, within, actions);
        });
    }

    pub(crate) fn evict_expired(&mut self, now: Millis, steps: &mut Vec<PoolStep>) {
        self.report(steps, |pool, actions| pool.evict_expired(now, actions));
    }

    pub(crate) fn wake(&mut self, now: Millis, backend: usize, steps: &mut Vec<PoolStep>) {
        self.report(steps, |pool, actions| pool.wake(now, backend, actions));
    }
}

impl From<PoolAction<usize>> for PoolStep {
    fn from(action: PoolAction<usize>) -> PoolStep {
        match action {
            PoolAction::Dial(backend, dial) => PoolStep::Dial {
                backend,
                dial: Some(dial.0 as usize),
            },
            PoolAction::Assign(waiter, connection) => PoolStep::Assign {
                call: waiter.0 as usize,
                connection: connection.0,
            },
            PoolAction::Fail(waiter, error) => PoolStep::Fail {
                call: waiter.0 as usize,
                is_full: error != PoolError::Unreachable,
            },
            PoolAction::Close(connection) => PoolStep::Close(connection.0),
            PoolAction::Wake(backend, at) => PoolStep::Wake { backend, at },
        }
    }
}
