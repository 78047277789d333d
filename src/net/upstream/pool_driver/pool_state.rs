//! What dials, waiting attempts and connections in use share: the pure pool, the connections that
//! it numbers, and the actions that it asks for.

use super::connection::{Connection, DialError};
use crate::net::runtime::clock::Clock;
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

/// The known round trip grows by this factor with each dial, so that a longer one is learned within
/// some tens of dials.
const ROUND_TRIP_GROWTH: f64 = 1.05;

/// The pure pool over backends.
type Pool = ConnectionPool<BackendId>;

/// What ends a wait for a connection.
pub(super) type WaitResult = Result<ConnectionId, PoolError>;

/// Where a backend is, and whether it takes new requests.
#[derive(Clone, Copy)]
pub(super) struct Endpoint {
    pub(super) address: SocketAddr,
    /// When its process started, as it was last reported; 0 for long ago.
    pub(super) started_at: Millis,
    pub(super) takes_new: bool,
}

impl Endpoint {
    /// Whether connections to `other` lead to the same process as those to this one.
    pub(super) fn is_same_process(&self, other: &Endpoint) -> bool {
        self.address == other.address && self.started_at == other.started_at
    }
}

/// The pure pool together with the sockets, tasks and waiters of its numbers.
pub(super) struct PoolState {
    pub(super) clock: Clock,
    pub(super) pool: RefCell<Pool>,
    /// The connections that are not checked out.
    pub(super) idle: RefCell<HashMap<ConnectionId, Connection>>,
    /// The attempts that wait for a connection, by where they learn how the wait ends.
    pub(super) waiters: RefCell<HashMap<WaiterId, oneshot::Sender<WaitResult>>>,
    pub(super) endpoints: RefCell<HashMap<BackendId, Endpoint>>,
    pub(super) dial_timeout: Duration,
    /// The last number of a connection or a waiter.
    last_number: Cell<u64>,
    /// The round trip to a backend: the least that dials have taken of late. `None` before the
    /// first.
    round_trip: Cell<Option<Millis>>,
}

impl PoolState {
    pub(super) fn new(
        limits: PoolLimits,
        dial_timeout: Duration,
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
            last_number: Cell::new(0),
            round_trip: Cell::default(),
        }
    }

    /// A number that no connection and no waiter has had.
    pub(super) fn next_number(&self) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.last_number.get()
    }

    /// The address of a backend, if it takes new requests.
    pub(super) fn address_of(&self, backend: BackendId) -> Option<SocketAddr> {
        self.endpoints
            .borrow()
            .get(&backend)
            .filter(|endpoint| endpoint.takes_new)
            .map(|endpoint| endpoint.address)
    }

    /// Reports an event to the pool and carries out the actions that come of it.
    pub(super) fn report<T>(
        self: &Rc<Self>,
        event: impl FnOnce(&mut Pool, Millis, &mut Vec<PoolAction<BackendId>>) -> T,
    ) -> T {
        let mut actions = Vec::new();
        let result = event(&mut self.pool.borrow_mut(), self.clock.now(), &mut actions);
        for action in actions {
            self.carry_out(action);
        }
        result
    }

    fn carry_out(self: &Rc<Self>, action: PoolAction<BackendId>) {
        match action {
            PoolAction::Dial(backend, dial) => self.start_dial(backend, dial),
            PoolAction::Assign(waiter, connection) => self.end_wait(waiter, Ok(connection)),
            PoolAction::Fail(waiter, error) => self.end_wait(waiter, Err(error)),
            PoolAction::Close(connection) => drop(self.idle.borrow_mut().remove(&connection)),
            PoolAction::Wake(backend, at) => self.wake_at(backend, at),
        }
    }

    fn end_wait(&self, waiter: WaiterId, result: WaitResult) {
        // A waiter that has been dropped is gone from here, and has told the pool. If it is dropped
        // after this, it returns the connection itself.
        if let Some(sender) = self.waiters.borrow_mut().remove(&waiter) {
            let _ = sender.send(result);
        }
    }

    fn wake_at(self: &Rc<Self>, backend: BackendId, at: Millis) {
        let state = self.clone();
        let at = self.clock.instant_at(at);
        tokio::task::spawn_local(async move {
            tokio::time::sleep_until(at).await;
            state.report(|pool, now, actions| pool.wake(now, backend, actions));
        });
    }

    /// Takes a connection that the pool has checked out; `None` if it is gone.
    pub(super) fn take_idle(
        self: &Rc<Self>,
        backend: BackendId,
        id: ConnectionId,
    ) -> Option<Connection> {
        let connection = self.idle.borrow_mut().remove(&id);
        if connection.is_none() {
            // The pool counts it as busy.
            self.report(|pool, now, actions| pool.connection_closed(now, backend, actions));
        }
        connection
    }

    /// Dials a backend in a task of its own. The result is the pool's, also if the attempt that it
    /// was for has ended.
    fn start_dial(self: &Rc<Self>, backend: BackendId, dial: DialId) {
        let state = self.clone();
        tokio::task::spawn_local(async move {
            match state.dial(backend).await {
                Ok(connection) => {
                    let id = ConnectionId(state.next_number());
                    state.idle.borrow_mut().insert(id, connection);
                    state.report(|pool, now, actions| {
                        pool.dial_succeeded(now, backend, dial, id, actions);
                    });
                }
                Err(error) => {
                    let failure = error.failure();
                    state.report(|pool, now, actions| {
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
        Connection::start(stream, address).await
    }

    /// Records how long a dial took: a round trip and whatever delayed it, so the least of late is
    /// the best estimate.
    fn record_round_trip(&self, elapsed: Duration) {
        let measured = elapsed.as_secs_f64() * 1000.0;
        let round_trip = self
            .round_trip
            .get()
            .map_or(measured, |known| measured.min(known * ROUND_TRIP_GROWTH));
        self.round_trip.set(Some(round_trip));
    }

    /// How long a response takes to arrive, in milliseconds; 0 before the first dial.
    pub(super) fn one_way_delay(&self) -> Millis {
        self.round_trip.get().unwrap_or(0.0) / 2.0
    }
}
