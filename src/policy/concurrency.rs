//! This gateway's shares of what a customer may have over all gateways: the hard ceiling on forwarded units, and
//! the limit on concurrent attempts.

use crate::policy_api::*;

/// Fraction of a ceiling's slack that the shares use; the rest is left for rounding.
const SLACK_USED: f64 = 0.9;

/// Largest share of concurrent attempts that credit is counted for: it keeps the arithmetic finite where a
/// plan has no limit.
const MAX_COUNTED_LIMIT: f64 = 1e6;

/// This gateway's share of a customer's hard ceiling: an even part of it in a token bucket that starts empty,
/// so that a restarted gateway forwards no burst a second time.
#[derive(Default)]
pub(super) struct CeilingShare {
    /// Units that may still be forwarded.
    units: f64,
}

impl CeilingShare {
    /// Adds what the even part of the ceiling has earned in this time.
    pub(super) fn refill(&mut self, plan: &Plan, gateway_count: f64, seconds: f64) {
        let Some(ceiling) = plan.ceiling else { return };
        let depth = (ceiling.burst + SLACK_USED * ceiling.slack) / gateway_count;
        self.units = (self.units + ceiling.rate / gateway_count * seconds).min(depth);
    }

    /// Whether the share does not hold a request of so many units.
    pub(super) fn is_short_of(&self, plan: &Plan, units: f64) -> bool {
        plan.ceiling.is_some() && self.units < units
    }

    /// Takes the units of an admitted request.
    pub(super) fn take(&mut self, units: f64) {
        self.units -= units;
    }
}

/// This gateway's share of a customer's limit on concurrent attempts.
///
/// A share is seldom a whole number of attempts. What it has beyond whole attempts is a share of the time: the
/// credit is the integral of the share less the attempts in flight, and the attempt that only the fraction covers
/// may start while the credit is positive.
#[derive(Default)]
pub(super) struct ConcurrencyShare {
    /// Attempts in flight.
    pub in_flight: u32,
    /// Attempts that the share covered beyond those in flight, times the time, in attempt-ms.
    credit: Millis,
    /// Time up to which the credit is counted, ms.
    updated_at: Millis,
}

impl ConcurrencyShare {
    pub(super) fn new(now: Millis) -> ConcurrencyShare {
        ConcurrencyShare {
            updated_at: now,
            ..ConcurrencyShare::default()
        }
    }

    /// Counts the credit of the time since the last call, within `max_credit` on either side of zero.
    pub(super) fn advance(&mut self, now: Millis, limit: f64, max_credit: Millis) {
        let unused = limit.min(MAX_COUNTED_LIMIT) - f64::from(self.in_flight);
        let gained = unused * (now - self.updated_at).max(0.0);
        self.credit = (self.credit + gained).clamp(-max_credit, max_credit);
        self.updated_at = now;
    }

    /// Whether one more attempt may start under this gateway's `limit`.
    pub(super) fn allows_another(&self, plan: &Plan, limit: f64) -> bool {
        let in_flight = f64::from(self.in_flight + 1);
        let most = if limit < 1.0 {
            f64::from(plan.max_concurrency)
        } else {
            limit
        };
        in_flight <= most.ceil() && (in_flight <= most.floor() || self.credit > 0.0)
    }

    /// The fraction of requests to admit so that the attempts of all gateways keep to the limit, where this
    /// gateway's share is less than one attempt. By Little's law a limit on concurrent attempts is a rate too;
    /// `others` are the attempts that the other gateways have in flight by it, since they cannot be seen, with one
    /// standard deviation of a Poisson count added.
    pub(super) fn admit_fraction(&self, plan: &Plan, limit: f64, others: f64) -> f64 {
        let available = f64::from(plan.max_concurrency) - f64::from(self.in_flight);
        let is_binding =
            limit < 1.0 && others > 0.0 && plan.over_quota_weight <= plan.over_quota_cost;
        if is_binding {
            available / (others + others.sqrt())
        } else {
            1.0
        }
    }
}
