//! Overload of the backends, as one gateway observes it: how much of the quotas it admits, how short of capacity
//! the backends are, and when a response counts as slow.

use super::PolicyContext;
use crate::policy_api::*;
use std::sync::Arc;

/// Longest expected queueing delay at a backend, in shortest latency objectives, before a request is rejected.
const MAX_QUEUE_DELAY: f64 = 0.33;
/// Shortest latency objectives over which pressure is averaged.
const PRESSURE_MEMORY: f64 = 2.0;
/// Fraction of its latency objective beyond which a response is slow.
const SLOW_FRACTION: f64 = 0.5;

/// Step of the admitted fraction of a lone gateway for a response that took no time, for each shortest latency
/// objective since the last response. The step of many grows with the cube root of their number.
const WINDOW_STEP: f64 = 0.12;
/// Fraction of their latency objectives that responses take where the window rests; a slow one counts as 1.
const TARGET_LATENCY: f64 = 0.25;
/// Admitted fraction at the start of one of very many gateways.
const INITIAL_FRACTION: f64 = 0.6;
/// Least admitted fraction: some requests must be forwarded, so that there are responses to observe.
const MIN_FRACTION: f64 = 0.05;
/// Admitted fraction above which, and lack of pressure by which, there is capacity for retries.
const RETRY_FRACTION: f64 = 0.95;

/// What admission needs to know of the gateway and of the backends' capacity.
pub(super) struct AdmissionSignals {
    /// Time since the gateway's start, ms.
    pub uptime: Millis,
    /// How short of capacity the backends are, from 0 to 1.
    pub pressure: f64,
    /// Fraction of the quotas that the backends can serve.
    pub admit_fraction: f64,
    /// Seconds that the backends take for a unit.
    pub seconds_per_unit: f64,
    /// A random number from `[0, 1)`.
    pub random_draw: f64,
}

/// The fraction of the quotas that a gateway admits, by the latency of responses, and the pressure on the
/// backends, by the queues of its own attempts.
pub(super) struct AdmissionWindow {
    context: Arc<PolicyContext>,
    /// Fraction of the quotas that the backends can serve, as slow responses show.
    pub admit_fraction: f64,
    /// Time of the last response that was observed, ms.
    response_at: Millis,
    /// How short of capacity the backends are found, from 0 to 1.
    pub pressure: f64,
    /// Time of the last observation of pressure, ms.
    pressure_at: Millis,
}

impl AdmissionWindow {
    /// One of many gateways cannot see what all admit at once, so it starts partly open; one alone, open.
    pub(super) fn new(context: Arc<PolicyContext>) -> AdmissionWindow {
        let admit_fraction = INITIAL_FRACTION + (1.0 - INITIAL_FRACTION) / context.gateways;
        AdmissionWindow {
            context,
            admit_fraction,
            response_at: 0.0,
            pressure: 0.0,
            pressure_at: 0.0,
        }
    }

    /// Observes the least queueing delay at any backend.
    pub(super) fn observe_queue_delay(&mut self, now: Millis, least_delay: Millis) {
        let objective = self.context.latency_objective;
        let retained = (-(now - self.pressure_at) / (PRESSURE_MEMORY * objective)).exp();
        let observed = (2.0 * least_delay / (MAX_QUEUE_DELAY * objective) - 1.0).clamp(0.0, 1.0);
        self.pressure = self.pressure * retained + observed * (1.0 - retained);
        self.pressure_at = now;
    }

    /// Observes the latency of a response, as a fraction of its objective.
    ///
    /// It bounds queues that other gateways fill: where many share the backends, each has hardly any attempt in
    /// flight at one, so its own load shows nothing while responses become slow everywhere. All admit less by the
    /// same rule, until responses take the target fraction of their objectives on average.
    pub(super) fn observe_latency(&mut self, now: Millis, latency_fraction: f64) {
        let gateways = self.context.gateways;
        let elapsed = ((now - self.response_at) / self.context.latency_objective).min(1.0);
        // One of many observes so little that each response has to count for more.
        let step = WINDOW_STEP * gateways.cbrt() * elapsed;
        // One alone, or one of two, sees much of the queues itself.
        let target = TARGET_LATENCY * (1.0 + 1.0 / gateways.powi(2));
        let change = step * (1.0 - latency_fraction / target);
        self.admit_fraction = (self.admit_fraction + change).clamp(MIN_FRACTION, 1.0);
        self.response_at = now;
    }

    /// Whether the backends have capacity for retries: where responses are slow everywhere these would add to
    /// the queues.
    pub(super) fn has_capacity_for_retries(&self) -> bool {
        self.admit_fraction > RETRY_FRACTION && self.pressure < 1.0 - RETRY_FRACTION
    }

    /// The pressure on quotas: that of the queues, or that of slow responses where it is greater.
    pub(super) fn quota_pressure(&self) -> f64 {
        self.pressure.max(1.0 - self.admit_fraction)
    }

    /// Whether the expected queueing delay at a backend is too long to forward a request there.
    pub(super) fn exceeds_queue_limit(&self, queue_delay: Millis) -> bool {
        queue_delay > MAX_QUEUE_DELAY * self.context.latency_objective
    }
}

/// Time after its arrival from which a request's response is slow, ms. A request that is larger than the mean has
/// more time in proportion, up to its whole objective.
pub(super) fn slow_after(units: f64, mean_request_units: f64, latency_objective: Millis) -> Millis {
    let relative_size = (units / mean_request_units.max(0.01)).max(1.0);
    (SLOW_FRACTION * relative_size).min(1.0) * latency_objective
}

/// The latency of a response in terms of what [`AdmissionWindow::observe_latency`] expects, where `slow_after` is
/// the time from which it would be slow: a response at that time counts [`SLOW_FRACTION`].
pub(super) fn latency_fraction(elapsed: Millis, slow_after: Millis) -> f64 {
    (SLOW_FRACTION * elapsed / slow_after).min(1.0)
}
