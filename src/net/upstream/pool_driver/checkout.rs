//! Checkout of connections: how an attempt gets a connection to a backend, and how the connection
//! returns to the pool.

use super::connection::Connection;
use super::pool_state::{PoolState, WaitResult};
use cometspool::connection_pool::{Checkout, ConnectionId, PoolError, WaiterId, SETTLE_TIME};
use cometspool::{BackendId, Millis, Outcome};
use std::ops::{Deref, DerefMut};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Why an attempt gets no connection to its backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CheckoutError {
    /// The backend was removed or is draining.
    #[error("backend is removed or draining")]
    EndpointUnavailable,
    /// This gateway holds as many connections as it may, and none of them is idle.
    #[error("connection limit of this gateway reached, and no connection is idle")]
    Exhausted,
    /// The pool ended the wait without a connection.
    #[error("the pool could not provide a connection")]
    Pool(#[from] PoolError),
    /// A dial to the backend was still in flight when the checkout timed out.
    #[error("checkout timed out while a dial was in flight")]
    DialTimeout,
    /// No dial to the backend was in flight when the checkout timed out, and no connection had been
    /// released.
    #[error("checkout timed out: no connection was released")]
    WaitTimeout,
    /// The pool was dropped during the wait.
    #[error("the pool was closed")]
    PoolClosed,
}

impl CheckoutError {
    /// The outcome of the attempt that gets no connection: `ConnectFailed` if the backend is at
    /// fault, `Rejected` if the backend accepts no further connection, and `NotSent` otherwise.
    pub(crate) fn outcome(self) -> Outcome {
        match self {
            CheckoutError::Pool(PoolError::Unreachable) | CheckoutError::DialTimeout => {
                Outcome::ConnectFailed
            }
            CheckoutError::Pool(PoolError::EndpointFull) | CheckoutError::WaitTimeout => {
                Outcome::Rejected
            }
            CheckoutError::Pool(PoolError::EndpointRemoved | PoolError::LocalLimit)
            | CheckoutError::EndpointUnavailable
            | CheckoutError::Exhausted
            | CheckoutError::PoolClosed => Outcome::NotSent,
        }
    }
}

/// Checks out a connection to a backend within `timeout` milliseconds: an idle one, or else the
/// first that another attempt releases or that a dial establishes. If the request must run at most
/// once, no idle connection is reused at an idle age at which connections have broken recently.
///
/// # Errors
///
/// If no connection is available in time or at all; see [`CheckoutError`].
pub(super) async fn checkout(
    state: &Rc<PoolState>,
    backend: BackendId,
    at_most_once: bool,
    timeout: Millis,
) -> Result<CheckedOutConnection, CheckoutError> {
    let deadline = state.clock.now() + timeout;
    loop {
        if state.address_of(backend).is_none() {
            return Err(CheckoutError::EndpointUnavailable);
        }
        let waiter = Waiter::register(state, backend);
        let id = waiter.id;
        let checkout = state
            .update(|pool, now, actions| pool.checkout(now, backend, id, at_most_once, actions));
        let candidate = match checkout {
            Checkout::Reused { connection, .. } => {
                CheckedOutConnection::take(state, backend, connection)
            }
            Checkout::Exhausted => return Err(CheckoutError::Exhausted),
            Checkout::Queued => {
                let remaining = (deadline - state.clock.now()) / 1000.0;
                let remaining = Duration::try_from_secs_f64(remaining).unwrap_or_default();
                waiter.wait(remaining.min(state.dial_timeout)).await?
            }
        };
        if let Some(connection) = candidate {
            if let Some(settled) = wait_until_settled(connection).await {
                return Ok(settled);
            }
        }
    }
}

/// Waits until [`SETTLE_TIME`] has passed since the last response on a connection, even if the
/// connection comes directly from another attempt. Otherwise bytes that the backend sends after a
/// response could be taken for the next response. `None` if the connection has closed or has input
/// to be read.
async fn wait_until_settled(connection: CheckedOutConnection) -> Option<CheckedOutConnection> {
    if let Some(last_response_at) = connection.last_response_at {
        let remaining = last_response_at + SETTLE_TIME - connection.state.clock.now();
        if remaining > 0.0 {
            tokio::time::sleep(Duration::from_secs_f64(remaining / 1000.0)).await;
        }
    }
    connection.is_reusable().then_some(connection)
}

/// An attempt that waits for a connection. On drop it leaves the pool's queue, and a connection that
/// was assigned to it but not taken returns to the pool.
struct Waiter<'a> {
    state: &'a Rc<PoolState>,
    backend: BackendId,
    id: WaiterId,
    receiver: oneshot::Receiver<WaitResult>,
}

impl<'a> Waiter<'a> {
    /// Creates a waiter to which a connection can be assigned from now on.
    fn register(state: &'a Rc<PoolState>, backend: BackendId) -> Waiter<'a> {
        let id = WaiterId(state.next_id());
        let (sender, receiver) = oneshot::channel();
        state.waiters.borrow_mut().insert(id, sender);
        Waiter {
            state,
            backend,
            id,
            receiver,
        }
    }

    /// Waits for a connection; `Ok(None)` if the assigned connection has closed meanwhile.
    async fn wait(
        mut self,
        timeout: Duration,
    ) -> Result<Option<CheckedOutConnection>, CheckoutError> {
        match tokio::time::timeout(timeout, &mut self.receiver).await {
            Ok(Ok(Ok(connection))) => Ok(CheckedOutConnection::take(
                self.state,
                self.backend,
                connection,
            )),
            Ok(Ok(Err(error))) => Err(error.into()),
            Ok(Err(_)) => Err(CheckoutError::PoolClosed),
            Err(_) if self.state.pool.borrow().is_dialing(self.backend) => {
                Err(CheckoutError::DialTimeout)
            }
            Err(_) => Err(CheckoutError::WaitTimeout),
        }
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let backend = self.backend;
        let id = self.id;
        if self.state.waiters.borrow_mut().remove(&id).is_some() {
            self.state
                .update(|pool, now, _| pool.cancel_wait(now, backend, id));
        }
        self.receiver.close();
        if let Ok(Ok(connection)) = self.receiver.try_recv() {
            self.state
                .update(|pool, now, actions| pool.release(now, backend, connection, actions));
        }
    }
}

/// A connection that is checked out by an attempt. If it is dropped without being released, it is
/// closed at once and the pool is told.
pub(crate) struct CheckedOutConnection {
    state: Rc<PoolState>,
    backend: BackendId,
    id: ConnectionId,
    /// How long the connection had been idle since its last response, in milliseconds; `None` if it
    /// is new.
    pub idle_for: Option<Millis>,
    /// `None` only after the checked-out connection has been released or dropped.
    connection: Option<Connection>,
}

impl CheckedOutConnection {
    /// Takes a connection that the pool has checked out; `None` if the connection no longer exists.
    fn take(
        state: &Rc<PoolState>,
        backend: BackendId,
        id: ConnectionId,
    ) -> Option<CheckedOutConnection> {
        let connection = state.take_idle(backend, id)?;
        let idle_for = connection
            .last_response_at
            .map(|last_response_at| state.clock.now() - last_response_at);
        Some(CheckedOutConnection {
            state: state.clone(),
            backend,
            id,
            idle_for,
            connection: Some(connection),
        })
    }

    /// Returns the connection to the pool after a complete exchange.
    pub(crate) fn release(mut self) {
        let now = self.state.clock.now();
        self.last_response_at = Some(now);
        self.return_to_pool(0.0);
    }

    /// Returns the connection to the pool without having sent a request on it; it keeps its idle
    /// age.
    pub(crate) fn release_unused(self) {
        let now = self.state.clock.now();
        let idle_for = self
            .last_response_at
            .map_or(0.0, |last_response_at| now - last_response_at);
        self.return_to_pool(idle_for);
    }

    /// Returns the connection to the pool, unless it has closed or its backend takes no new requests
    /// at its address. In these cases the connection is dropped.
    fn return_to_pool(mut self, idle_for: Millis) {
        let current_address = self.state.address_of(self.backend);
        if current_address != Some(self.address) || self.sender.is_closed() {
            return;
        }
        let Some(connection) = self.connection.take() else {
            return;
        };
        let backend = self.backend;
        let id = self.id;
        self.state.idle.borrow_mut().insert(id, connection);
        self.state.update(|pool, now, actions| {
            pool.release_unused(now, backend, id, idle_for, actions);
        });
    }
}

impl Deref for CheckedOutConnection {
    type Target = Connection;

    fn deref(&self) -> &Connection {
        self.connection
            .as_ref()
            .expect("the connection is taken only when its owner is consumed")
    }
}

impl DerefMut for CheckedOutConnection {
    fn deref_mut(&mut self) -> &mut Connection {
        self.connection
            .as_mut()
            .expect("the connection is taken only when its owner is consumed")
    }
}

impl Drop for CheckedOutConnection {
    fn drop(&mut self) {
        let backend = self.backend;
        if self.connection.take().is_some() {
            self.state
                .update(|pool, now, actions| pool.connection_closed(now, backend, actions));
        }
    }
}
