//! The connection pools as a state machine without I/O: which connection an attempt gets, when a
//! connection is dialed, and which idle connections are kept.
//!
//! This module owns no sockets and reads no clock. The driver of the pools reports events with the
//! time at which they happened, and executes the [`PoolAction`]s that the pools return. Connections,
//! waiters and dials are represented by ids that the driver or the pool assigns. The gateway drives
//! the pools with sockets (`src/net/upstream/pool_driver`), and `crates/fleet-simulation` with
//! simulated connections.
//!
//! A backend's connection table limits the connections that it accepts. The backend does not
//! announce the size of the table, and all gateways share the table. Each gateway therefore holds
//! the number of connections that its own attempts need by Little's law, plus a margin for random
//! variation. If a dial is refused while other connections to the backend work, the gateway assumes
//! that the table is full: it halves its limit for the backend, which then grows back slowly.

mod endpoint_pool;
mod idle_age;
mod limits;
mod pool;

pub use limits::PoolLimits;
pub use pool::ConnectionPool;

use crate::policy_api::Millis;

/// Identifies a connection; assigned by the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Identifies an attempt that waits for a connection; assigned by the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// Identifies a dial; assigned by the pool when the dial starts. The driver reports the result of
/// the dial with the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DialId(pub u64);

/// An action for the driver to execute; `B` identifies a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PoolAction<B> {
    /// Dial a backend and report the result.
    Dial(B, DialId),
    /// Assign a connection to a waiter.
    Assign(WaiterId, ConnectionId),
    /// Tell a waiter that it gets no connection.
    Fail(WaiterId, PoolError),
    /// Close an idle connection.
    Close(ConnectionId),
    /// Call [`ConnectionPool::wake`] for a backend at this time, when a dial may be due.
    Wake(B, Millis),
}

/// Why a waiter gets no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PoolError {
    /// The dial failed at the backend or on the way to it, and no connection to the backend works.
    #[error("the backend is unreachable")]
    Unreachable,
    /// The dial failed at the backend or on the way to it, although other connections to the backend
    /// work: it accepts no further connection, or accepts it too slowly.
    #[error("the backend accepts no further connections")]
    EndpointFull,
    /// The backend takes no new requests, or another process has replaced it.
    #[error("the backend was removed, is draining or was replaced")]
    EndpointRemoved,
    /// This gateway cannot open a connection, for example because it lacks a file descriptor.
    #[error("this gateway cannot open a connection")]
    LocalLimit,
}

/// Which side caused a dial to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialFailure {
    /// This gateway, for example because it lacks a file descriptor.
    Local,
    /// The backend or the network.
    Remote,
}

/// The immediate result of the checkout of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Checkout {
    /// An idle connection is reused.
    Reused {
        /// The reused connection, now checked out.
        connection: ConnectionId,
        /// How long the connection had been idle, in whole milliseconds.
        idle_ms: u32,
    },
    /// The attempt waits in the queue until a [`PoolAction::Assign`] or [`PoolAction::Fail`] for it.
    Queued,
    /// This gateway holds as many connections as it may, and none of them is idle.
    Exhausted,
}

/// How long after its last response a connection is settled: any bytes that the backend sends after
/// a response have arrived by then. Settled connections are reused first; an attempt that gets
/// another one waits for the rest of this time. In milliseconds.
pub const SETTLE_TIME: Millis = 3.0;

#[cfg(test)]
mod tests;
