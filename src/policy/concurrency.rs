//! This gateway's shares of two limits that a customer has over all gateways: the hard ceiling on forwarded units, and
//! the limit on concurrent attempts.

use crate::policy_api::*;

/// Fraction of a ceiling's slack that the gateways' shares use together; the rest is left for rounding.
const USED_SLACK_FRACTION: f64 = 0.9;

/// Maximum limit on concurrent attempts that credit is computed with; it keeps the arithmetic finite for a plan without
/// a limit.
const MAX_COUNTED_LIMIT: f64 = 1e6;

/// This gateway's share of a customer's hard ceiling: an equal part of it, as a token bucket. The bucket starts empty,
/// so that a restarted gateway does not forward a burst a second time.
#[derive(Default)]
pub(super) struct CeilingShare {
    /// Units that may still be forwarded.
    units: f64,
}

impl CeilingShare {
    /// A share that holds `units`.
    pub(super) fn with_units(units: f64) -> CeilingShare {
        CeilingShare { units }
    }

    /// Units that may still be forwarded.
    pub(super) fn units(&self) -> f64 {
        self.units
    }

    /// Adds the units that accrue in `seconds` to the bucket.
    pub(super) fn refill(&mut self, plan: &Plan, gateway_count: f64, seconds: f64) {
        let Some(ceiling) = plan.ceiling else { return };
        let depth = (ceiling.burst + USED_SLACK_FRACTION * ceiling.slack) / gateway_count;
        self.units = (self.units + ceiling.rate / gateway_count * seconds).min(depth);
    }

    /// Whether the share holds too few units for a request of `units`; never if the plan has no ceiling.
    pub(super) fn lacks_units_for(&self, plan: &Plan, units: f64) -> bool {
        plan.ceiling.is_some() && self.units < units
    }

    /// Takes the units of an admitted request from the bucket.
    pub(super) fn consume(&mut self, units: f64) {
        self.units -= units;
    }
}

/// This gateway's share of a customer's limit on concurrent attempts.
///
/// A share is seldom a whole number of attempts. Its fractional part is used as a share of time: one more attempt than
/// the whole part may start while the credit is positive. The credit is the integral over time of the share less the
/// attempts in flight.
#[derive(Default)]
pub(super) struct ConcurrencyShare {
    /// Number of the customer's attempts in flight from this gateway.
    pub in_flight: u32,
    /// Integral over time of the share less the attempts in flight, in attempts × ms.
    credit: Millis,
    /// Time up to which the credit is computed, ms.
    updated_at: Millis,
}

impl ConcurrencyShare {
    pub(super) fn new(now: Millis) -> ConcurrencyShare {
        ConcurrencyShare {
            updated_at: now,
            ..ConcurrencyShare::default()
        }
    }

    /// Adds the credit of the time since the last call. The credit stays between `-max_credit` and `max_credit`.
    pub(super) fn advance(&mut self, now: Millis, limit: f64, max_credit: Millis) {
        let unused = limit.min(MAX_COUNTED_LIMIT) - f64::from(self.in_flight);
        let gained = unused * (now - self.updated_at).max(0.0);
        self.credit = (self.credit + gained).clamp(-max_credit, max_credit);
        self.updated_at = now;
    }

    /// Whether one more attempt may start, where this gateway's share is `limit` attempts.
    pub(super) fn allows_another(&self, plan: &Plan, limit: f64) -> bool {
        let in_flight = f64::from(self.in_flight + 1);
        let max_in_flight = if limit < 1.0 {
            f64::from(plan.max_concurrency)
        } else {
            limit
        };
        in_flight <= max_in_flight.ceil()
            && (in_flight <= max_in_flight.floor() || self.credit > 0.0)
    }

    /// The fraction of requests to admit so that all gateways together stay within the plan's limit, if this gateway's
    /// share `limit` is less than one attempt. By Little's law a limit on concurrent attempts is also a limit on the
    /// rate. `attempts_elsewhere` is the number of attempts that the other gateways have in flight by this law; as they
    /// cannot be observed, one standard deviation of a Poisson count is added.
    pub(super) fn admit_fraction(&self, plan: &Plan, limit: f64, attempts_elsewhere: f64) -> f64 {
        let available = f64::from(plan.max_concurrency) - f64::from(self.in_flight);
        let is_binding = limit < 1.0
            && attempts_elsewhere > 0.0
            && plan.over_quota_weight <= plan.over_quota_cost;
        if is_binding {
            available / (attempts_elsewhere + attempts_elsewhere.sqrt())
        } else {
            1.0
        }
    }
}
