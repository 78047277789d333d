//! Requests of clients, and the results of their attempts.

use super::ids::{BackendId, ClassId, CustomerId, Millis, PlanId, RequestId};
use super::settings::Settings;

/// A request of a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Identifies the request in later events and actions.
    pub id: RequestId,
    /// The customer that sent the request.
    pub customer: CustomerId,
    /// The customer's plan, which sets its quota.
    pub plan: PlanId,
    /// The request's class, which sets its latency objective and its idempotency.
    pub class: ClassId,
    /// Units that the request takes from the quota. This is an estimate where the response reports the actual units.
    pub units: f64,
    /// Time at which the client stops waiting for the response, ms.
    pub deadline: Millis,
    /// Number of gateways over which this customer's requests are spread.
    pub gateway_count: f64,
    /// Whether the client marked the request as a retry; always false where clients do not mark retries.
    pub is_retry: bool,
    /// How long the request waited to be read before it was reported, because the driver was stalled, ms.
    pub queued_for: Millis,
}

impl Request {
    /// Returns the request with its numbers clamped to what the settings allow, since clients can send any number.
    /// Returns `None` if the settings do not define its plan or class.
    pub fn bounded(self, now: Millis, settings: &Settings) -> Option<Request> {
        settings.plans.get(self.plan.0)?;
        let longest = settings.classes.get(self.class.0)?.deadline;
        let gateways = f64::from(settings.gateways.max(1));
        Some(Request {
            units: clamp_finite(self.units, 0.0, settings.max_units.max(1.0), 1.0),
            gateway_count: clamp_finite(self.gateway_count, 1.0, gateways, 1.0).round(),
            deadline: clamp_finite(self.deadline, now, now + longest, now + longest),
            queued_for: clamp_finite(self.queued_for, 0.0, longest, 0.0),
            ..self
        })
    }
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend served the request.
    Ok,
    /// The backend responded with an error; the request may have executed.
    Error,
    /// The backend rejected the request without processing it; the request has not executed.
    Rejected,
    /// No response came in time; the request may have executed or may still execute.
    Timeout,
    /// No connection could be established; the request has not executed.
    ConnectFailed,
    /// The connection broke; the request may have executed.
    Reset,
    /// The gateway cancelled the attempt; the request may have executed.
    Cancelled,
    /// The request was not sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the backend has not executed the request.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// A backend's report of its load. It arrives late and is inexact; a value is `None` if it was not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of requests in flight.
    pub in_flight: Option<f64>,
    /// Number of queued requests.
    pub queue: Option<f64>,
    /// Fraction of the backend's processors that is busy.
    pub utilisation: Option<f64>,
    /// Recent service time, ms.
    pub latency: Option<Millis>,
    /// Requests served per second.
    pub throughput: Option<f64>,
    /// Errors per second.
    pub errors: Option<f64>,
}

/// The end of one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptCompleted {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Index of the attempt within the request, from 0.
    pub attempt: u32,
    /// The backend that the attempt was sent to.
    pub backend: BackendId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time from the send to the end of the attempt, ms.
    pub elapsed: Millis,
    /// Whether the request has its final answer or its client has disconnected, so that no attempt is to follow.
    pub request_closed: bool,
    /// The customer's usage over all gateways in the last meter period, as a fraction of its plan's rate; `None` if the
    /// response does not report it.
    pub quota_usage: Option<f64>,
    /// Units that the request actually took, if the response reports them.
    pub actual_units: Option<f64>,
    /// The backend's load, as far as the response reports it.
    pub load_report: LoadReport,
    /// Number of established connections that broke during this attempt. The attempt may have continued on another
    /// connection.
    pub broken_connections: u32,
}

/// Clamps a number from outside the gateway to a range; returns `otherwise` if the number is not finite.
pub(crate) fn clamp_finite(value: f64, least: f64, most: f64, otherwise: f64) -> f64 {
    if value.is_finite() {
        value.clamp(least, most.max(least))
    } else {
        otherwise
    }
}
