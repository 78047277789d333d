//! Events: what the driver reports to the policy.

use super::endpoint::{BackendEntry, ListKind};
use super::ids::{BackendId, Millis, RequestId, TimerId};
use super::request::{AttemptCompleted, LoadReport, Outcome, Request};

/// Something that happened at a gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list, or changes of it.
    EndpointsChanged(ListKind, Vec<BackendEntry>),
    /// A request arrived.
    RequestArrived(Request),
    /// A streamed response began.
    StreamStarted(RequestId),
    /// An attempt ended.
    AttemptCompleted(AttemptCompleted),
    /// The client closed its connection before its final answer.
    ClientDisconnected(RequestId),
    /// A timer came due.
    TimerFired(TimerId),
    /// A graceful shutdown began: requests that arrive from now on are rejected with a Retry-After that ends,
    /// at the latest, at this time (ms).
    ShutdownStarted(Millis),
    /// An estimate of how many gateways are alive, for what depends on all of them acting at once.
    FleetSizeChanged(u32),
    /// A health check ended.
    HealthCheckCompleted {
        /// The backend.
        backend: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took, ms.
        elapsed: Millis,
        /// The load report, if one came with it.
        load_report: LoadReport,
    },
}
