//! How an attempt gets a connection to a backend, and how the connection returns to the pool.

use super::connection::Connection;
use super::pool_state::{PoolState, WaitResult};
use cometspool::connection_pool::{Checkout, ConnectionId, PoolError, WaiterId, SETTLE_TIME};
use cometspool::{BackendId, Millis, Outcome};
use std::ops::{Deref, DerefMut};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Why an attempt gets no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CheckoutError {
    /// The backend was removed or drains.
    #[error("the backend takes no new requests")]
    EndpointUnavailable,
    /// This gateway holds as many connections as it may, and none of them is idle.
    #[error("this gateway has no room for a further connection")]
    Exhausted,
    /// The pool ended the wait without a connection.
    #[error("the wait for a connection failed")]
    Pool(#[from] PoolError),
    /// A dial to the backend was still in flight when the time for the wait was over.
    #[error("no connection was made in time")]
    DialTimeout,
    /// No dial was in flight when the time for the wait was over, and no connection had been
    /// released.
    #[error("no connection was released in time")]
    WaitTimeout,
    /// The pool went away.
    #[error("the pool has ended")]
    PoolClosed,
}

impl CheckoutError {
    /// How the attempt ends that gets no connection: whether the fault is the backend's, or it is
    /// full, or neither.
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

/// Takes a connection to a backend: a pooled one, the first that is released, or a new one,
/// whichever comes first, within `timeout` milliseconds in all. For a request that must run only
/// once, none of an idle age at which connections have broken of late.
///
/// # Errors
///
/// If there is no connection in time, or none can be had; see [`CheckoutError`].
pub(super) async fn checkout(
    state: &Rc<PoolState>,
    backend: BackendId,
    run_once: bool,
    timeout: Millis,
) -> Result<CheckedOutConnection, CheckoutError> {
    let deadline = state.clock.now() + timeout;
    loop {
        if state.address_of(backend).is_none() {
            return Err(CheckoutError::EndpointUnavailable);
        }
        let waiter = Waiter::register(state, backend);
        let id = waiter.id;
        let checkout =
            state.report(|pool, now, actions| pool.checkout(now, backend, id, run_once, actions));
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
            if let Some(settled) = settle(connection).await {
                return Ok(settled);
            }
        }
    }
}

/// Waits for the rest of [`SETTLE_TIME`] since the last response of a connection, also where the
/// connection comes straight from another attempt: whatever a backend sends after a response would
/// be taken for the next response. `None` if the connection has ended, or holds something to be
/// read.
async fn settle(connection: CheckedOutConnection) -> Option<CheckedOutConnection> {
    if let Some(last_response_at) = connection.last_response_at {
        let rest = last_response_at + SETTLE_TIME - connection.state.clock.now();
        if rest > 0.0 {
            tokio::time::sleep(Duration::from_secs_f64(rest / 1000.0)).await;
        }
    }
    connection.is_reusable().then_some(connection)
}

/// An attempt that waits for a connection. Dropped, it leaves the queue, and a connection that it
/// has been assigned but has not taken returns to the pool.
struct Waiter<'a> {
    state: &'a Rc<PoolState>,
    backend: BackendId,
    id: WaiterId,
    receiver: oneshot::Receiver<WaitResult>,
}

impl<'a> Waiter<'a> {
    /// A waiter that can be assigned a connection from now on.
    fn register(state: &'a Rc<PoolState>, backend: BackendId) -> Waiter<'a> {
        let id = WaiterId(state.next_number());
        let (sender, receiver) = oneshot::channel();
        state.waiters.borrow_mut().insert(id, sender);
        Waiter {
            state,
            backend,
            id,
            receiver,
        }
    }

    /// Waits for the connection; `Ok(None)` if the one that was assigned has ended meanwhile.
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
                .report(|pool, now, _| pool.cancel_wait(now, backend, id));
        }
        self.receiver.close();
        if let Ok(Ok(connection)) = self.receiver.try_recv() {
            self.state
                .report(|pool, now, actions| pool.release(now, backend, connection, actions));
        }
    }
}

/// A connection in use by an attempt. Dropped before it is released, it is closed at once and
/// reported to the pool.
pub(crate) struct CheckedOutConnection {
    state: Rc<PoolState>,
    backend: BackendId,
    id: ConnectionId,
    /// How long it had been idle since its last response, in milliseconds; `None` if it is new.
    pub idle_for: Option<Millis>,
    /// Taken only when the whole is released or dropped.
    connection: Option<Connection>,
}

impl CheckedOutConnection {
    /// Takes a connection that the pool has checked out; `None` if it is gone.
    fn take(
        state: &Rc<PoolState>,
        backend: BackendId,
        id: ConnectionId,
    ) -> Option<CheckedOutConnection> {
        let connection = state.take_idle(backend, id)?;
        let idle_for = connection
            .last_response_at
            .map(|ended_at| state.clock.now() - ended_at);
        Some(CheckedOutConnection {
            state: state.clone(),
            backend,
            id,
            idle_for,
            connection: Some(connection),
        })
    }

    /// Returns the connection to the pool after a request that it has carried to the end.
    pub(crate) fn release(mut self) {
        let now = self.state.clock.now();
        self.last_response_at = Some(now);
        self.return_to_pool(0.0);
    }

    /// Returns the connection to the pool without a request on it, as idle as it was.
    pub(crate) fn release_unused(self) {
        let now = self.state.clock.now();
        let idle_for = self.last_response_at.map_or(0.0, |ended_at| now - ended_at);
        self.return_to_pool(idle_for);
    }

    /// Returns the connection to the pool, unless it has ended or leads to what its backend was
    /// before.
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
        self.state.report(|pool, now, actions| {
            pool.release_unused(now, backend, id, idle_for, actions);
        });
    }
}

impl Deref for CheckedOutConnection {
    type Target = Connection;

    fn deref(&self) -> &Connection {
        self.connection
            .as_ref()
            .expect("a connection is taken out only when its owner is consumed")
    }
}

impl DerefMut for CheckedOutConnection {
    fn deref_mut(&mut self) -> &mut Connection {
        self.connection
            .as_mut()
            .expect("a connection is taken out only when its owner is consumed")
    }
}

impl Drop for CheckedOutConnection {
    fn drop(&mut self) {
        let backend = self.backend;
        if self.connection.take().is_some() {
            self.state
                .report(|pool, now, actions| pool.connection_closed(now, backend, actions));
        }
    }
}
