//! The state that dials, waiting attempts and checked-out connections share: the pool state machine,
//! the connections and waiters behind its ids, and the execution of its actions.

use super::connection::{Connection, DialError};
use crate::net::runtime::clock::Clock;
use crate::net::runtime::memory::MemoryBudget;
use cometspool::connection_pool::{
    ConnectionId, ConnectionPool, DialId, PoolAction, PoolError, PoolLimits, WaiterId,
};
use cometspool::{BackendId, Millis};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The factor by which the estimated round-trip time grows with each dial, so that an increase is
/// learned within some tens of dials.
const ROUND_TRIP_GROWTH: f64 = 1.05;

/// The pool state machine for the gateway's backends.
type Pool = ConnectionPool<BackendId>;

/// The result of waiting for a connection.
pub(super) type WaitResult = Result<ConnectionId, PoolError>;

/// A backend: its address, its process, and whether it takes new requests.
#[derive(Clone, Copy)]
pub(super) struct Endpoint {
    pub(super) address: SocketAddr,
    /// When the backend's process started, as last reported, in Unix milliseconds; 0 if it started
    /// long ago.
    pub(super) started_at: Millis,
    pub(super) takes_new: bool,
}

impl Endpoint {
    /// Whether this and `other` are the same process at the same address.
    pub(super) fn is_same_process(&self, other: &Endpoint) -> bool {
        self.address == other.address && self.started_at == other.started_at
    }
}

/// The pool state machine together with the connections and waiters behind its ids.
pub(super) struct PoolState {
    pub(super) clock: Clock,
    pub(super) pool: RefCell<Pool>,
    /// The connections that are not checked out.
    pub(super) idle: RefCell<HashMap<ConnectionId, Connection>>,
    /// For each attempt that waits for a connection, the channel for the result of the wait.
    pub(super) waiters: RefCell<HashMap<WaiterId, oneshot::Sender<WaitResult>>>,
    pub(super) endpoints: RefCell<HashMap<BackendId, Endpoint>>,
    pub(super) dial_timeout: Duration,
    /// The memory of long response heads.
    head_budget: MemoryBudget,
    /// The id that was assigned last to a connection or a waiter.
    last_id: Cell<u64>,
    /// The estimated round-trip time to a backend, in milliseconds: about the shortest recent dial.
    /// `None` before the first dial.
    round_trip: Cell<Option<Millis>>,
}

impl PoolState {
    pub(super) fn new(
        limits: PoolLimits,
        dial_timeout: Duration,
        head_budget: MemoryBudget,
        seed: u64,
        clock: Clock,
    ) -> PoolState {
        PoolState {
            clock,
            pool: RefCell::new(ConnectionPool::new(limits, seed)),
            idle: RefCell::default(),
            waiters: RefCell::default(),
            endpoints: RefCell::default(),
            dial_timeout,
            head_budget,
            last_id: Cell::new(0),
            round_trip: Cell::default(),
        }
    }

    /// Returns an id that no connection and no waiter has had.
    pub(super) fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }

    /// The address of a backend; `None` if it takes no new requests.
    pub(super) fn address_of(&self, backend: BackendId) -> Option<SocketAddr> {
        self.endpoints
            .borrow()
            .get(&backend)
            .filter(|endpoint| endpoint.takes_new)
            .map(|endpoint| endpoint.address)
    }

    /// Calls `update` with the pool and the current time, and executes the actions that it appends.
    pub(super) fn update<T>(
        self: &Rc<Self>,
        update: impl FnOnce(&mut Pool, Millis, &mut Vec<PoolAction<BackendId>>) -> T,
    ) -> T {
        let mut actions = Vec::new();
        let result = update(&mut self.pool.borrow_mut(), self.clock.now(), &mut actions);
        for action in actions {
            self.execute_action(action);
        }
        result
    }

    fn execute_action(self: &Rc<Self>, action: PoolAction<BackendId>) {
        match action {
            PoolAction::Dial(backend, dial) => self.start_dial(backend, dial),
            PoolAction::Assign(waiter, connection) => self.end_wait(waiter, Ok(connection)),
            PoolAction::Fail(waiter, error) => self.end_wait(waiter, Err(error)),
            PoolAction::Close(connection) => drop(self.idle.borrow_mut().remove(&connection)),
            PoolAction::Wake(backend, at) => self.wake_at(backend, at),
        }
    }

    fn end_wait(&self, waiter: WaiterId, result: WaitResult) {
        // A waiter that was dropped earlier has removed itself from this map and from the pool. If
        // it is dropped after the send, it returns the connection itself.
        if let Some(sender) = self.waiters.borrow_mut().remove(&waiter) {
            let _ = sender.send(result);
        }
    }

    fn wake_at(self: &Rc<Self>, backend: BackendId, at: Millis) {
        let state = self.clone();
        let at = self.clock.instant_at(at);
        tokio::task::spawn_local(async move {
            tokio::time::sleep_until(at).await;
            state.update(|pool, now, actions| pool.wake(now, backend, actions));
        });
    }

    /// Takes a connection that the pool has checked out; `None` if the connection no longer exists.
    pub(super) fn take_idle(
        self: &Rc<Self>,
        backend: BackendId,
        id: ConnectionId,
    ) -> Option<Connection> {
        let connection = self.idle.borrow_mut().remove(&id);
        if connection.is_none() {
            // The pool still counts the connection as busy.
            self.update(|pool, now, actions| pool.connection_closed(now, backend, actions));
        }
        connection
    }

    /// Dials a backend in a task of its own. The connection goes to the pool, even if the attempt
    /// that caused the dial has ended by then.
    fn start_dial(self: &Rc<Self>, backend: BackendId, dial: DialId) {
        let state = self.clone();
        tokio::task::spawn_local(async move {
            match state.dial(backend).await {
                Ok(connection) => {
                    let id = ConnectionId(state.next_id());
                    state.idle.borrow_mut().insert(id, connection);
                    state.update(|pool, now, actions| {
                        pool.dial_succeeded(now, backend, dial, id, actions);
                    });
                }
                Err(error) => {
                    let failure = error.failure();
                    state.update(|pool, now, actions| {
                        pool.dial_failed(now, backend, dial, failure, actions);
                    });
                }
            }
        });
    }

    /// Opens a connection to a backend within the dial timeout.
    async fn dial(&self, backend: BackendId) -> Result<Connection, DialError> {
        let address = self
            .address_of(backend)
            .ok_or(DialError::EndpointUnavailable)?;
        tokio::time::timeout(self.dial_timeout, self.connect(address))
            .await
            .unwrap_or(Err(DialError::Timeout))
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, DialError> {
        let started_at = Instant::now();
        let stream = TcpStream::connect(address).await?;
        self.record_round_trip(started_at.elapsed());
        Connection::start(stream, address, self.head_budget.clone()).await
    }

    /// Updates the estimated round-trip time with the duration of a dial. A dial takes one round
    /// trip plus any delays, so the shortest recent dial is the best estimate.
    fn record_round_trip(&self, elapsed: Duration) {
        let measured = elapsed.as_secs_f64() * 1000.0;
        let round_trip = self
            .round_trip
            .get()
            .map_or(measured, |known| measured.min(known * ROUND_TRIP_GROWTH));
        self.round_trip.set(Some(round_trip));
    }

    /// The estimated one-way network delay of a response, in milliseconds; 0 before the first dial.
    pub(super) fn one_way_delay(&self) -> Millis {
        self.round_trip.get().unwrap_or(0.0) / 2.0
    }
}
