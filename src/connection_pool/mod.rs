//! The connection pools as a pure state machine: which connection an attempt takes, when one is
//! dialed, which are kept.
//!
//! Nothing here owns a socket or reads a clock. Events come in with the time at which they
//! happened, and what the driver has to do goes out as [`PoolAction`]s. Connections, waiters and
//! dials are numbers that the driver or the pool assigns. The gateway drives this with sockets
//! (`src/net/upstream/pool_driver`), and `crates/fleet-simulation` with simulated connections.
//!
//! A backend announces the size of its connection table nowhere, and all gateways share it. Each
//! gateway therefore holds what its own attempts need by Little's law, with a margin for random
//! variation. It takes a refused dial beside working connections as a sign that the table is full,
//! halves what it holds there, and grows slowly again.

mod endpoint_pool;
mod idle_age;
mod limits;
mod pool;

pub use limits::PoolLimits;
pub use pool::ConnectionPool;

use crate::policy_api::Millis;

/// A connection, numbered by the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// An attempt that waits for a connection, numbered by the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// A dial, numbered by the pool when it starts; the driver reports its result under the same
/// number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DialId(pub u64);

/// Something for the driver to do; `B` names a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PoolAction<B> {
    /// Dial a backend and report the result.
    Dial(B, DialId),
    /// Hand a connection to a waiter.
    Assign(WaiterId, ConnectionId),
    /// Tell a waiter that it gets no connection.
    Fail(WaiterId, PoolError),
    /// Close an idle connection.
    Close(ConnectionId),
    /// Call [`ConnectionPool::wake`] for a backend at this time: a dial may be due then.
    Wake(B, Millis),
}

/// Why a waiter gets no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PoolError {
    /// The backend refuses, does not answer or cannot be reached.
    #[error("the backend cannot be reached")]
    Unreachable,
    /// The backend works, but accepts no further connection, or accepts it too slowly.
    #[error("the backend accepts no further connection")]
    EndpointFull,
    /// The backend no longer takes requests, or another process has replaced it.
    #[error("the backend was removed or replaced")]
    EndpointRemoved,
    /// This gateway cannot open a connection, for example for want of a file descriptor.
    #[error("this gateway cannot open a connection")]
    LocalLimit,
}

/// Which side made a dial fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialFailure {
    /// This gateway, for example for want of a file descriptor.
    Local,
    /// The backend or the way to it.
    Remote,
}

/// What an attempt gets at once when it asks for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Checkout {
    /// A pooled connection.
    Reused {
        /// The connection.
        connection: ConnectionId,
        /// How long it had been idle, in whole milliseconds.
        idle_ms: u32,
    },
    /// A place in the queue: a later [`PoolAction::Assign`] or [`PoolAction::Fail`] ends the wait.
    Queued,
    /// This gateway holds as many connections as it may, and none of them is idle.
    Exhausted,
}

/// An attempt takes a connection that has been idle for this long since its last response rather
/// than a more recent one. Whatever a backend sends after a response has arrived by then. Where
/// there is no other connection, the attempt waits for the rest of this time.
pub const SETTLE_TIME: Millis = 3.0;

#[cfg(test)]
mod tests;
