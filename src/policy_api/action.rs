//! Actions: what the policy has the driver do.

use super::ids::{BackendId, Millis, RequestId, TimerId};

/// How a request is written to a connection, so that a connection that breaks does not lose it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryMode {
    /// At once, to any connection.
    Normal,
    /// Its last byte is held back until the connection has proved alive: if it breaks before, nothing executed.
    Cautious,
    /// Cautiously, and a pooled connection is reused only at an idle age at which others survived lately.
    Once,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RejectReason {
    /// It names a plan or class that the settings do not have.
    UnknownPlanOrClass,
    /// The gateway is shutting down.
    ShuttingDown,
    /// Its customer's recent average rate is over the limit of the penalty box.
    PenaltyBox,
    /// Its customer's usage, or the capacity of the backends, admits only a fraction of its requests.
    LoadShedding,
    /// Its customer's token bucket holds too few units.
    TokenBucket,
    /// Its customer has as many concurrent attempts here as it may.
    ConcurrencyLimit,
    /// This gateway's share of its customer's hard ceiling holds too few units.
    Ceiling,
    /// No backend may be sent it, or it would be served too late.
    NoCapacity,
    /// It was sent, and all attempts failed.
    AttemptsFailed,
}

/// Something that the driver is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The backend.
        backend: BackendId,
        /// Attempt timeout, ms; `None` until the client disconnects.
        timeout: Option<Millis>,
        /// Time before which it must reach the backend, if there is one, ms: later it could execute twice.
        begin_before: Option<Millis>,
        /// How it is written.
        delivery: DeliveryMode,
    },
    /// Final answer: rejected, and safe to retry.
    Reject {
        /// The request.
        request: RequestId,
        /// Time after which to retry, if advised, ms.
        retry_after: Option<Millis>,
        /// The reason, for the operators.
        reason: RejectReason,
    },
    /// Final answer: failed, and possibly executed.
    Fail(RequestId),
    /// Cancel an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// Index of the attempt, from 0.
        attempt: u32,
    },
    /// Report an [`Event::TimerFired`](crate::Event::TimerFired) at a time.
    SetTimer {
        /// When, ms.
        at: Millis,
        /// The timer.
        timer: TimerId,
    },
    /// Check the health of a backend.
    CheckHealth(BackendId),
    /// Close the idle connections to a backend.
    CloseIdleConnections(BackendId),
    /// Open a connection to a backend to which requests are expected to go.
    Preconnect {
        /// The backend.
        backend: BackendId,
        /// Time within which the next request is expected there, ms.
        within: Millis,
    },
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// Poll the whole endpoint list once.
    FetchList,
    /// Log a line for the operators.
    Log(String),
}
