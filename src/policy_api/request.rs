//! A client's request, and how its attempts end.

use super::ids::{BackendId, ClassId, CustomerId, Millis, PlanId, RequestId};
use super::settings::Settings;

/// A client's request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// The customer that sent it.
    pub customer: CustomerId,
    /// The customer's plan.
    pub plan: PlanId,
    /// Its class.
    pub class: ClassId,
    /// Units that it takes from the quota; an estimate where the response reports the actual units.
    pub units: f64,
    /// Time at which the client stops waiting for this request, ms.
    pub deadline: Millis,
    /// Number of gateways over which this customer's requests are spread.
    pub gateway_count: f64,
    /// Whether the client marked it as a retry; never where clients mark none.
    pub is_retry: bool,
    /// How long it waited unread, because the driver was stalled, before this event, ms.
    pub queued_for: Millis,
}

impl Request {
    /// The request with its numbers clamped to what the settings allow, or `None` where the settings have no
    /// such plan or class. Clients can write anything into them.
    pub fn bounded(self, now: Millis, settings: &Settings) -> Option<Request> {
        settings.plans.get(self.plan.0)?;
        let longest = settings.classes.get(self.class.0)?.deadline;
        let gateways = f64::from(settings.gateways.max(1));
        Some(Request {
            units: in_range(self.units, 0.0, settings.max_units.max(1.0), 1.0),
            gateway_count: in_range(self.gateway_count, 1.0, gateways, 1.0).round(),
            deadline: in_range(self.deadline, now, now + longest, now + longest),
            queued_for: in_range(self.queued_for, 0.0, longest, 0.0),
            ..self
        })
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend served it.
    Ok,
    /// The backend answered with an error; the request may have executed.
    Error,
    /// The backend rejected it unprocessed; it never executed.
    Rejected,
    /// No response in time; it may have executed or may yet execute.
    Timeout,
    /// No connection could be opened; it never executed.
    ConnectFailed,
    /// The connection broke; it may have executed.
    Reset,
    /// The gateway cancelled it; it may have executed.
    Cancelled,
    /// It was never sent.
    NotSent,
}

impl Outcome {
    /// Whether it proves that the backend has not executed the request.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// A load report of a backend; late and inexact.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: Option<f64>,
    /// Requests queued.
    pub queue: Option<f64>,
    /// Fraction of its processors that is busy.
    pub utilisation: Option<f64>,
    /// Recent service time, ms.
    pub latency: Option<Millis>,
    /// Requests served a second.
    pub throughput: Option<f64>,
    /// Errors a second.
    pub errors: Option<f64>,
}

/// The end of one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptCompleted {
    /// The request.
    pub request: RequestId,
    /// Index of the attempt within the request, from 0.
    pub attempt: u32,
    /// The backend that it was sent to.
    pub backend: BackendId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent, ms.
    pub elapsed: Millis,
    /// Whether the request has its final answer.
    pub request_closed: bool,
    /// The customer's usage over all gateways in the last meter period, as a fraction of its rate.
    pub quota_usage: Option<f64>,
    /// Units that the request actually took, where the response reports them.
    pub actual_units: Option<f64>,
    /// The backend's load, where the response reports it.
    pub load_report: LoadReport,
    /// Established connections that broke under this attempt; others may have replaced them.
    pub broken_connections: u32,
}

/// A number from outside clamped to a range; `otherwise` replaces what is not a finite number.
pub(crate) fn in_range(value: f64, least: f64, most: f64, otherwise: f64) -> f64 {
    if value.is_finite() {
        value.clamp(least, most.max(least))
    } else {
        otherwise
    }
}
