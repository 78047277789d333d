//! Actions that the policy asks the driver to carry out.

use super::ids::{BackendId, Millis, RequestId, TimerId};

/// How the driver writes a request to a connection. A connection may have broken unnoticed, and a request written to it
/// is lost; the modes differ in how far they guard against that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryMode {
    /// The whole request is written immediately, to a new or a pooled connection.
    Normal,
    /// The last byte of the request is held back until the connection has proved to be alive. If the connection breaks
    /// before that, the backend has not executed the request.
    Cautious,
    /// As [`Cautious`](DeliveryMode::Cautious); in addition, a pooled connection is reused only at an idle age at which
    /// recently reused connections were still alive.
    Once,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RejectReason {
    /// The request names a plan or a class that the settings do not define.
    UnknownPlanOrClass,
    /// The gateway is shutting down.
    ShuttingDown,
    /// The customer's recent average rate exceeds the limit of the penalty box.
    PenaltyBox,
    /// Only a fraction of the customer's requests is admitted, because the customer is over its quota or the backends
    /// are short of capacity, and this request was not among them.
    LoadShedding,
    /// The customer's token bucket at this gateway holds too few units.
    TokenBucket,
    /// The customer has used up this gateway's share of its limit on concurrent attempts.
    ConcurrencyLimit,
    /// This gateway's share of the customer's hard ceiling holds too few units.
    Ceiling,
    /// No backend may be sent the request, or the response would come too late.
    NoCapacity,
    /// The request was sent, and all of its attempts failed.
    AttemptsFailed,
}

/// An instruction to the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request to send.
        request: RequestId,
        /// The backend to send it to.
        backend: BackendId,
        /// Attempt timeout, ms; with `None` the attempt lasts until the client disconnects at the latest.
        timeout: Option<Millis>,
        /// Time before which the request must reach the backend, ms: later than that, its idempotency key may have been
        /// forgotten and it could execute twice. `None` if there is no such limit.
        begin_before: Option<Millis>,
        /// How the request is written to the connection.
        delivery: DeliveryMode,
    },
    /// Final answer: the request is rejected, and the client can safely retry it.
    Reject {
        /// The rejected request.
        request: RequestId,
        /// Delay after which the client is advised to retry, ms; `None` if it gets no Retry-After.
        retry_after: Option<Millis>,
        /// Why the request is rejected, for the operators.
        reason: RejectReason,
    },
    /// Final answer: the request failed and may have been executed.
    Fail(RequestId),
    /// Cancel an attempt in flight.
    CancelAttempt {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// Index of the attempt within the request, from 0.
        attempt: u32,
    },
    /// Report [`Event::TimerFired`](crate::Event::TimerFired) at a given time.
    SetTimer {
        /// Time at which the timer fires, ms.
        at: Millis,
        /// The timer that the event names.
        timer: TimerId,
    },
    /// Start a health check of a backend.
    CheckHealth(BackendId),
    /// Close all idle connections to a backend.
    CloseIdleConnections(BackendId),
    /// Open a connection to a backend before the first request is sent there.
    Preconnect {
        /// The backend to connect to.
        backend: BackendId,
        /// Time within which the next request to this backend is expected, ms.
        within: Millis,
    },
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// Poll the complete endpoint list once.
    FetchList,
    /// Write a line to the log, for the operators.
    Log(String),
}
