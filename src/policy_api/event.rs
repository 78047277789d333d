//! Events that the driver reports to the policy.

use super::endpoint::{BackendEntry, ListKind};
use super::ids::{BackendId, Millis, RequestId, TimerId};
use super::request::{AttemptCompleted, LoadReport, Outcome, Request};

/// Something that happened at a gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list was received, completely or as changes, or could not be received.
    EndpointsChanged(ListKind, Vec<BackendEntry>),
    /// A request of a client arrived.
    RequestArrived(Request),
    /// The streamed response to a request began.
    StreamStarted(RequestId),
    /// An attempt ended, with or without a response.
    AttemptCompleted(AttemptCompleted),
    /// The client closed its connection before its request had a final answer.
    ClientDisconnected(RequestId),
    /// A timer that the policy had set fired.
    TimerFired(TimerId),
    /// A graceful shutdown began, which ends at this time (ms). Requests that arrive from now on are rejected, with a
    /// Retry-After that ends at this time at the latest.
    ShutdownStarted(Millis),
    /// The estimated number of live gateways changed. The policy uses it where the sum of what all gateways do counts,
    /// as for the trial requests to an ejected backend.
    FleetSizeChanged(u32),
    /// A health check ended.
    HealthCheckCompleted {
        /// The backend that was checked.
        backend: BackendId,
        /// How the health check ended.
        outcome: Outcome,
        /// Duration of the health check, ms.
        elapsed: Millis,
        /// The backend's load, where the response to the health check reports it.
        load_report: LoadReport,
    },
}
