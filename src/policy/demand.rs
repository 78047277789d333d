//! Demand: the load within the quotas that arrives at this gateway, and how much of it the backends are known to serve.
//!
//! Each gateway sends a warming backend a share of its own demand, and the shares of all gateways add up to the load of
//! that backend. A request that a client retries after a rejection arrives twice, perhaps at different gateways, but
//! must add to that load only once. A retry that the client marked is therefore not counted: the gateway that rejected
//! the request has counted it. Where clients mark no retries, a request that was rejected for lack of capacity may be
//! retried up to [`MAX_CLIENT_RETRIES`] times. All gateways reject about the same fraction of requests, so the fraction
//! that this gateway rejects tells how often each request arrives.

use super::PolicyContext;
use crate::measure::Cewma;
use crate::policy_api::*;
use std::f64::consts::LN_2;
use std::sync::Arc;

/// Number of halflives of the demand's average in the time that a backend takes to warm up.
pub(super) const HALFLIVES_PER_WARM_UP: f64 = 4.0;
/// How often clients that mark no retries are assumed to retry a rejected request.
const MAX_CLIENT_RETRIES: i32 = 2;
/// Halflife of the long-term average of served units, in halflives of the demand's average.
const LONG_TERM_HALFLIFE_FACTOR: f64 = 4.0;
/// Halflife of the rejected fraction, in multiples of the shortest latency objective.
const REJECTION_HALFLIFE: f64 = 2.0;

/// Averages of the demand at one gateway, and of what was rejected and served.
pub(super) struct Demand {
    context: Arc<PolicyContext>,
    /// Units of requests within the quotas, retries included.
    offered: Cewma,
    /// The same units, with each request counted once.
    distinct: Cewma,
    /// Number of requests within the quotas, marked retries excluded.
    requests: Cewma,
    /// Number of requests within the quotas that were rejected for lack of capacity.
    rejected: Cewma,
    /// Units that were served within their latency objective.
    served: Cewma,
    /// The same units, averaged over a longer time.
    served_long_term: Cewma,
    /// Whether any client has marked a retry. From then on, all clients are assumed to mark theirs.
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
            served_long_term: Cewma::default(),
            are_retries_marked: false,
        }
    }

    /// Records a request that is within its customer's quota.
    pub(super) fn record(&mut self, now: Millis, request: &Request) {
        let decay_rate = self.decay_rate();
        self.offered.record(now, request.units, decay_rate);
        self.are_retries_marked |= request.is_retry;
        if request.is_retry {
            return;
        }
        let times_recorded = 1.0 + self.expected_retries(now);
        self.requests.record(now, 1.0, self.rejection_decay_rate());
        self.distinct
            .record(now, request.units / times_recorded, decay_rate);
    }

    /// Records that a request within its customer's quota is rejected for lack of capacity.
    pub(super) fn record_rejection(&mut self, now: Millis) {
        self.rejected.record(now, 1.0, self.rejection_decay_rate());
    }

    /// Records units that were served within their latency objective.
    pub(super) fn record_served(&mut self, now: Millis, units: f64) {
        let decay_rate = self.decay_rate();
        self.served.record(now, units, decay_rate);
        self.served_long_term
            .record(now, units, decay_rate / LONG_TERM_HALFLIFE_FACTOR);
    }

    /// Average demand, retries included, units a second.
    pub(super) fn offered_rate(&self, now: Millis) -> f64 {
        self.offered.rate(now, self.decay_rate())
    }

    /// Average demand with each request counted once, units a second.
    pub(super) fn distinct_rate(&self, now: Millis) -> f64 {
        self.distinct.rate(now, self.decay_rate())
    }

    /// Rate that the backends have served within the latency objectives, units a second: the recent or the long-term
    /// average, whichever is higher.
    pub(super) fn served_rate(&self, now: Millis) -> f64 {
        let decay_rate = self.decay_rate();
        let long_term = self
            .served_long_term
            .rate(now, decay_rate / LONG_TERM_HALFLIFE_FACTOR);
        self.served.rate(now, decay_rate).max(long_term)
    }

    /// How often each request is recorded again on average because its client retries it without marking the retry.
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

    /// Decay rate of the average of demand, 1/ms.
    fn decay_rate(&self) -> f64 {
        LN_2 / (self.context.settings.warm_up / HALFLIVES_PER_WARM_UP).max(1.0)
    }

    /// Decay rate of the rejected fraction, 1/ms.
    fn rejection_decay_rate(&self) -> f64 {
        LN_2 / (REJECTION_HALFLIFE * self.context.latency_objective)
    }
}
