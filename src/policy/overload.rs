//! Overload of the backends, as one gateway observes it: the fraction of the quotas that it admits, how short of
//! capacity the backends are, and when a response counts as slow.

use super::PolicyContext;
use crate::policy_api::*;
use std::sync::Arc;

/// Maximum expected queueing delay at a backend, in multiples of the shortest latency objective; a request that would
/// wait longer is rejected.
const MAX_QUEUE_DELAY: f64 = 0.33;
/// Time constant of the average of the pressure, in multiples of the shortest latency objective.
const PRESSURE_MEMORY: f64 = 2.0;
/// Fraction of its latency objective after which the response to a request of mean size is slow.
const SLOW_FRACTION: f64 = 0.5;

/// How much a response that took no time raises the admitted fraction of a single gateway, one shortest latency
/// objective after the previous response. With more gateways, the step is multiplied by the cube root of their number.
const WINDOW_STEP: f64 = 0.12;
/// Average latency of responses, as a fraction of their latency objectives, at which the admitted fraction stays the
/// same. A slow response counts as 1.
const TARGET_LATENCY_FRACTION: f64 = 0.25;
/// Admitted fraction at the start where there are very many gateways.
const INITIAL_ADMIT_FRACTION: f64 = 0.6;
/// Minimum admitted fraction: some requests have to be forwarded, so that there are responses to observe.
const MIN_ADMIT_FRACTION: f64 = 0.05;
/// Admitted fraction above which the backends have capacity for retries, provided that the pressure is below 1 less
/// this value.
const RETRY_ADMIT_FRACTION: f64 = 0.95;

/// What admission has to know about the gateway and about the capacity of the backends.
pub(super) struct AdmissionSignals {
    /// Time since the gateway started, ms.
    pub uptime: Millis,
    /// How short of capacity the backends are, from 0 (not at all) to 1.
    pub pressure: f64,
    /// Fraction of the quotas that the backends can serve.
    pub admit_fraction: f64,
    /// Time that the backends take for a unit, in seconds.
    pub seconds_per_unit: f64,
    /// A random number from `[0, 1)`, new for each request.
    pub random_draw: f64,
}

/// The admission window of one gateway: the fraction of the quotas that it admits, which follows the latency of
/// responses. Also holds the pressure: how short of capacity the backends are, judged by the queueing delays of this
/// gateway's own attempts.
pub(super) struct AdmissionWindow {
    context: Arc<PolicyContext>,
    /// Fraction of the quotas that the backends can serve, estimated from the latency of responses.
    pub admit_fraction: f64,
    /// When a response was last observed, ms.
    response_at: Millis,
    /// How short of capacity the backends are, from 0 to 1, averaged over recent observations of the queueing delay.
    pub pressure: f64,
    /// When the queueing delay was last observed, ms.
    pressure_at: Millis,
}

impl AdmissionWindow {
    /// One of many gateways cannot see what all of them admit at once, so its window starts partly open. The window of
    /// a single gateway starts fully open.
    pub(super) fn new(context: Arc<PolicyContext>) -> AdmissionWindow {
        let admit_fraction =
            INITIAL_ADMIT_FRACTION + (1.0 - INITIAL_ADMIT_FRACTION) / context.gateways;
        AdmissionWindow {
            context,
            admit_fraction,
            response_at: 0.0,
            pressure: 0.0,
            pressure_at: 0.0,
        }
    }

    /// Observes the shortest expected queueing delay at any backend, `least_delay`, in ms.
    pub(super) fn observe_queue_delay(&mut self, now: Millis, least_delay: Millis) {
        let objective = self.context.latency_objective;
        let retained = (-(now - self.pressure_at) / (PRESSURE_MEMORY * objective)).exp();
        let observed = (2.0 * least_delay / (MAX_QUEUE_DELAY * objective) - 1.0).clamp(0.0, 1.0);
        self.pressure = self.pressure * retained + observed * (1.0 - retained);
        self.pressure_at = now;
    }

    /// Observes the latency of a response, as a fraction of its latency objective.
    ///
    /// This bounds the queues that other gateways cause. Where many gateways share the backends, each has hardly any
    /// attempts in flight at one backend, so its own load shows nothing while responses become slow everywhere. All
    /// gateways apply the same rule, and admit less until responses take the target fraction of their latency
    /// objectives on average.
    pub(super) fn observe_latency(&mut self, now: Millis, latency_fraction: f64) {
        let gateways = self.context.gateways;
        let elapsed = ((now - self.response_at) / self.context.latency_objective).min(1.0);
        // One of many gateways observes few responses, so each has to count for more.
        let step = WINDOW_STEP * gateways.cbrt() * elapsed;
        // One or two gateways see much of the queues in their own load, so their target is higher.
        let target = TARGET_LATENCY_FRACTION * (1.0 + 1.0 / gateways.powi(2));
        let change = step * (1.0 - latency_fraction / target);
        self.admit_fraction = (self.admit_fraction + change).clamp(MIN_ADMIT_FRACTION, 1.0);
        self.response_at = now;
    }

    /// Whether the backends have capacity for retries. Where responses are slow everywhere, retries would make the
    /// queues longer.
    pub(super) fn has_capacity_for_retries(&self) -> bool {
        self.admit_fraction > RETRY_ADMIT_FRACTION && self.pressure < 1.0 - RETRY_ADMIT_FRACTION
    }

    /// The pressure that quotas are reduced by: that of the queues or that of slow responses, whichever is greater.
    pub(super) fn quota_pressure(&self) -> f64 {
        self.pressure.max(1.0 - self.admit_fraction)
    }

    /// Whether the expected queueing delay at a backend is too long to forward a request to it.
    pub(super) fn exceeds_queue_limit(&self, queue_delay: Millis) -> bool {
        queue_delay > MAX_QUEUE_DELAY * self.context.latency_objective
    }
}

/// Time after its arrival from which a request is slow, ms. A request larger than the mean has proportionally more
/// time, up to its whole latency objective.
pub(super) fn slow_after(units: f64, mean_request_units: f64, latency_objective: Millis) -> Millis {
    let relative_size = (units / mean_request_units.max(0.01)).max(1.0);
    (SLOW_FRACTION * relative_size).min(1.0) * latency_objective
}

/// The latency of a response as [`AdmissionWindow::observe_latency`] expects it. `slow_after` is the time, in ms, from
/// which the response would be slow; a response at exactly that time counts as [`SLOW_FRACTION`].
pub(super) fn latency_fraction(elapsed: Millis, slow_after: Millis) -> f64 {
    (SLOW_FRACTION * elapsed / slow_after).min(1.0)
}
