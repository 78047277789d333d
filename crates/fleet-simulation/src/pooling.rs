//! Adapter for the production connection pool: translates its ids to and from indices of the simulation.

use cometspool::connection_pool::{
    Checkout, ConnectionId, ConnectionPool, DialFailure, DialId, PoolAction, PoolError, PoolLimits,
    WaiterId,
};
use cometspool::Millis;

/// An action that a pool requests from the simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PoolStep {
    /// Dial a backend.
    Dial { backend: usize, dial: DialId },
    /// Send a waiting call over this connection.
    Assign { call: usize, connection: usize },
    /// Fail a waiting call that gets no connection, because its backend has no room for another one (`is_full`) or is
    /// unreachable.
    Fail { call: usize, is_full: bool },
    /// Close a connection.
    Close { connection: usize },
    /// Call [`Pool::wake`] for this backend at the simulated time `at`, ms.
    Wake { backend: usize, at: Millis },
}

/// The immediate result of a checkout.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CheckoutResult {
    /// The call gets this pooled connection.
    Reused { connection: usize },
    /// The call is queued until a connection is available.
    Queued,
    /// The gateway has reached its connection limit.
    Exhausted,
}

/// Result of a checkout, and the steps to execute before the result is used.
pub(crate) struct PoolCheckout {
    pub(crate) result: CheckoutResult,
    pub(crate) steps: Vec<PoolStep>,
}

/// Result of a dial.
#[derive(Clone, Copy, Debug)]
pub(crate) enum DialResult {
    /// The dial opened this connection.
    Connected { connection: usize },
    /// The backend rejected the connection, or the dial timed out.
    Failed,
}

/// Maximum number of connections of a gateway, about two fifths of a limit of 576 file descriptors.
const MAX_CONNECTIONS: usize = 220;
/// Idle time after which a backend closes a connection, ms.
const BACKEND_IDLE_TIMEOUT: Millis = 30_000.0;
/// Cost of a handshake in the limits of the pool, for each first attempt of the fleet.
const HANDSHAKE_COST: f64 = 0.02;

/// The connection pool of one gateway. Times are in milliseconds; `backend`, `call` and `connection` are indices of the
/// simulation.
pub(crate) struct Pool(ConnectionPool<usize>);

impl Pool {
    /// Creates an empty pool for one of `gateway_count` gateways.
    pub(crate) fn new(gateway_count: u32, seed: u64) -> Pool {
        let limits = PoolLimits {
            max_connections: MAX_CONNECTIONS,
            endpoint_idle_timeout: BACKEND_IDLE_TIMEOUT,
            gateway_count,
            handshake_cost: HANDSHAKE_COST,
            connection_cost: 0.0,
        };
        Pool(ConnectionPool::new(limits, seed))
    }

    /// Checks out a connection for a call, or queues the call. A call that must execute at most once (`at_most_once`)
    /// gets no connection that has been idle for as long as connections that broke recently.
    pub(crate) fn checkout(
        &mut self,
        now: Millis,
        backend: usize,
        call: usize,
        at_most_once: bool,
    ) -> PoolCheckout {
        let mut actions = Vec::new();
        let waiter = WaiterId(call as u64);
        let checkout = self
            .0
            .checkout(now, backend, waiter, at_most_once, &mut actions);
        let result = match checkout {
            Checkout::Reused { connection, .. } => CheckoutResult::Reused {
                connection: connection.0 as usize,
            },
            Checkout::Queued => CheckoutResult::Queued,
            Checkout::Exhausted => CheckoutResult::Exhausted,
        };
        PoolCheckout {
            result,
            steps: steps(actions),
        }
    }

    /// Reports the end of a dial.
    pub(crate) fn dial_finished(
        &mut self,
        now: Millis,
        backend: usize,
        dial: DialId,
        result: DialResult,
    ) -> Vec<PoolStep> {
        let mut actions = Vec::new();
        match result {
            DialResult::Connected { connection } => {
                let connection = ConnectionId(connection as u64);
                self.0
                    .dial_succeeded(now, backend, dial, connection, &mut actions);
            }
            DialResult::Failed => {
                self.0
                    .dial_failed(now, backend, dial, DialFailure::Remote, &mut actions);
            }
        }
        steps(actions)
    }

    /// Removes a call from the queue for a connection.
    pub(crate) fn cancel_wait(&mut self, now: Millis, backend: usize, call: usize) {
        self.0.cancel_wait(now, backend, WaiterId(call as u64));
    }

    /// Returns a reusable connection to the pool.
    pub(crate) fn release(
        &mut self,
        now: Millis,
        backend: usize,
        connection: usize,
    ) -> Vec<PoolStep> {
        let mut actions = Vec::new();
        self.0
            .release(now, backend, ConnectionId(connection as u64), &mut actions);
        steps(actions)
    }

    /// Reports that a checked-out connection was closed.
    pub(crate) fn connection_closed(&mut self, now: Millis, backend: usize) -> Vec<PoolStep> {
        let mut actions = Vec::new();
        self.0.connection_closed(now, backend, &mut actions);
        steps(actions)
    }

    /// Removes a backend that is draining or has left the endpoint list.
    pub(crate) fn remove_endpoint(&mut self, backend: usize) -> Vec<PoolStep> {
        let mut actions = Vec::new();
        self.0.remove_endpoint(backend, &mut actions);
        steps(actions)
    }

    /// Closes the idle connections to a backend.
    pub(crate) fn close_idle(&mut self, backend: usize) -> Vec<PoolStep> {
        let mut actions = Vec::new();
        self.0.close_idle(backend, &mut actions);
        steps(actions)
    }

    /// Opens a connection to a backend in advance, at some time within the next `within` ms.
    pub(crate) fn preconnect(
        &mut self,
        now: Millis,
        backend: usize,
        within: Millis,
    ) -> Vec<PoolStep> {
        let mut actions = Vec::new();
        self.0.preconnect(now, backend, within, &mut actions);
        steps(actions)
    }

    /// Closes connections whose idle time has expired.
    pub(crate) fn evict_expired(&mut self, now: Millis) -> Vec<PoolStep> {
        let mut actions = Vec::new();
        self.0.evict_expired(now, &mut actions);
        steps(actions)
    }

    /// Handles the wake-up that the pool requested for a backend with [`PoolStep::Wake`].
    pub(crate) fn wake(&mut self, now: Millis, backend: usize) -> Vec<PoolStep> {
        let mut actions = Vec::new();
        self.0.wake(now, backend, &mut actions);
        steps(actions)
    }
}

fn steps(actions: Vec<PoolAction<usize>>) -> Vec<PoolStep> {
    actions.into_iter().map(PoolStep::from).collect()
}

impl From<PoolAction<usize>> for PoolStep {
    fn from(action: PoolAction<usize>) -> PoolStep {
        match action {
            PoolAction::Dial(backend, dial) => PoolStep::Dial { backend, dial },
            PoolAction::Assign(waiter, connection) => PoolStep::Assign {
                call: waiter.0 as usize,
                connection: connection.0 as usize,
            },
            PoolAction::Fail(waiter, error) => PoolStep::Fail {
                call: waiter.0 as usize,
                is_full: error != PoolError::Unreachable,
            },
            PoolAction::Close(connection) => PoolStep::Close {
                connection: connection.0 as usize,
            },
            PoolAction::Wake(backend, at) => PoolStep::Wake { backend, at },
        }
    }
}
