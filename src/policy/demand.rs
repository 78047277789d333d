//! Demand: the load within the quotas that reaches this gateway, and how much of it the backends are known to serve.
//!
//! Each gateway sends a backend in slow start a share of its demand, and the shares of all gateways add up to what the
//! backend gets. A request that comes again after a rejection is offered twice, to any gateway, and is still one request:
//! a marked retry was counted by the gateway that rejected it. Where clients mark none, a request that was rejected for
//! want of capacity may come back as often as [`MAX_CLIENT_RETRIES`]. All gateways reject alike, so the fraction that this
//! one rejects tells how often each request comes.

use super::PolicyContext;
use crate::measure::Cewma;
use crate::policy_api::*;
use std::f64::consts::LN_2;
use std::sync::Arc;

/// Halflives of the demand's average in the time in which a backend warms up.
pub(super) const HALFLIVES_PER_WARM_UP: f64 = 4.0;
/// Times that clients who mark no retries are assumed to retry a rejected request.
const MAX_CLIENT_RETRIES: i32 = 2;
/// Halflives of the demand's average over which what was served is remembered.
const SERVED_MEMORY: f64 = 4.0;
/// Halflife of the rejected fraction, in shortest latency objectives.
const REJECTION_MEMORY: f64 = 2.0;

/// The demand at one gateway.
pub(super) struct Demand {
    context: Arc<PolicyContext>,
    /// Units within the quotas, retries included.
    offered: Cewma,
    /// The same with each request counted once.
    distinct: Cewma,
    /// Requests within the quotas.
    requests: Cewma,
    /// Those of them that were rejected for want of capacity.
    rejected: Cewma,
    /// Units served in time.
    served: Cewma,
    /// The same over a longer time.
    served_before: Cewma,
    /// Whether a client has marked a retry, so that all can be taken to mark theirs.
    are_retries_marked: bool,
}

impl Demand {
    pub(super) fn new(context: Arc<PolicyContext>) -> Demand {
        Demand {
            context,
            offered: Cewma::default(),
            distinct: Cewma::default(),
            requests: Cewma::default(),
            rejected: Cewma::default(),
            served: Cewma::default(),
            served_before: Cewma::default(),
            are_retries_marked: false,
        }
    }

    /// Records a request within the quotas.
    pub(super) fn record(&mut self, now: Millis, request: &Request) {
        let decay_rate = self.decay_rate();
        self.offered.record(now, request.units, decay_rate);
        self.are_retries_marked |= request.is_retry;
        if request.is_retry {
            return;
        }
        let counted_times = 1.0 + self.expected_retries(now);
        self.requests.record(now, 1.0, self.rejection_decay_rate());
        self.distinct
            .record(now, request.units / counted_times, decay_rate);
    }

    /// Records that a request within the quotas is rejected for want of capacity.
    pub(super) fn record_rejection(&mut self, now: Millis) {
        self.rejected.record(now, 1.0, self.rejection_decay_rate());
    }

    /// Records units that were served within their latency objective.
    pub(super) fn record_served(&mut self, now: Millis, units: f64) {
        let decay_rate = self.decay_rate();
        self.served.record(now, units, decay_rate);
        self.served_before
            .record(now, units, decay_rate / SERVED_MEMORY);
    }

    /// Units a second, retries included.
    pub(super) fn offered_rate(&self, now: Millis) -> f64 {
        self.offered.rate(now, self.decay_rate())
    }

    /// Units a second, each request counted once.
    pub(super) fn distinct_rate(&self, now: Millis) -> f64 {
        self.distinct.rate(now, self.decay_rate())
    }

    /// Units a second that the backends have served in time, of late or before if that is more.
    pub(super) fn served_rate(&self, now: Millis) -> f64 {
        let decay_rate = self.decay_rate();
        let before = self.served_before.rate(now, decay_rate / SERVED_MEMORY);
        self.served.rate(now, decay_rate).max(before)
    }

    /// How often each request is recorded again on average, since its client retries it unmarked.
    fn expected_retries(&self, now: Millis) -> f64 {
        if self.are_retries_marked {
            return 0.0;
        }
        let decay_rate = self.rejection_decay_rate();
        let requests = self.requests.decayed(now, decay_rate).max(1.0);
        let rejected_fraction = (self.rejected.decayed(now, decay_rate) / requests).min(1.0);
        (1..=MAX_CLIENT_RETRIES)
            .map(|retries| rejected_fraction.powi(retries))
            .sum()
    }

    /// Decay rate of the demand's average, 1/ms.
    fn decay_rate(&self) -> f64 {
        LN_2 / (self.context.settings.warm_up / HALFLIVES_PER_WARM_UP).max(1.0)
    }

    /// Decay rate of the rejected fraction, 1/ms.
    fn rejection_decay_rate(&self) -> f64 {
        LN_2 / (REJECTION_MEMORY * self.context.latency_objective)
    }
}
