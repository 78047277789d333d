//! Evidence of a customer's usage at one gateway, and the ratio of that usage to the customer's quota.
//!
//! Where a customer's requests are spread over few gateways, the usage meter decides. Where they are spread over many,
//! a gateway has a *small share*: its equal share of the burst holds fewer than two requests of mean size. No gateway
//! then knows which part of the customer's requests it gets. The usage that the meter reports and the requests that
//! arrive here are therefore each compared with the whole quota.

use super::local_quota::LocalQuota;
use super::overload::AdmissionSignals;
use super::rate_limit;
use crate::measure::{normal_quantile, zipf_share, Cewma};
use crate::policy_api::*;

/// Number of requests of mean size that the evidence of a new customer starts with, since few observations prove
/// little.
const PRIOR_REQUESTS: f64 = 0.5;
/// Local rate, as a multiple of the rate that the meter reports for all gateways, from which the report is ignored: it
/// must be about another period.
const IMPLAUSIBLE_SHARE: f64 = 2.0;
/// Minimum probability used as a threshold. Where forwarding beyond the quota costs nothing, requests are admitted
/// until the quota is exceeded with all but this probability.
const MIN_PROBABILITY: f64 = 1e-3;
/// Minimum divisor of ratios, so that none divides by zero.
pub(super) const MIN_DIVISOR: f64 = 1e-9;

/// Usage that the meter has reported, in units. Earlier reports are forgotten exponentially.
#[derive(Default)]
struct MeteredUsage {
    /// Units that all gateways admitted.
    used: f64,
    /// Units that were requested, if all gateways admitted the same fraction as this one.
    requested: f64,
    /// Units that the quota provided in the metered time.
    available: f64,
    /// Time of the last report, ms; before the first report, time of the customer's first request.
    updated_at: Millis,
}

impl MeteredUsage {
    /// The factor by which earlier reports have decayed by `now`.
    fn retained(&self, now: Millis, local: &LocalQuota) -> f64 {
        (local.meter_decay_rate * (self.updated_at - now)).exp()
    }
}

/// What a gateway has observed of one customer's usage.
pub(super) struct UsageHistory {
    /// Recent average of all arrivals, including rejected ones.
    pub average: Cewma,
    /// Recent average of the units admitted here, with a halflife of one burst length.
    admitted: Cewma,
    /// When the customer's first request arrived, ms.
    first_seen: Millis,
    metered: MeteredUsage,
}

impl UsageHistory {
    pub(super) fn new(now: Millis) -> UsageHistory {
        UsageHistory {
            average: Cewma::default(),
            admitted: Cewma::default(),
            first_seen: now,
            metered: MeteredUsage {
                updated_at: now,
                ..MeteredUsage::default()
            },
        }
    }

    /// Records the units of an admitted request.
    pub(super) fn record_admitted(&mut self, now: Millis, units: f64, decay_rate: f64) {
        self.admitted
            .record(now, units, burst_decay_rate(decay_rate));
    }

    /// Records a report of the meter: all gateways admitted the fraction `usage` of the `available` units of the quota,
    /// while this gateway admitted the fraction `admit_fraction` of the customer's requests.
    pub(super) fn record_meter(
        &mut self,
        now: Millis,
        usage: f64,
        available: f64,
        admit_fraction: f64,
        local: &LocalQuota,
    ) {
        let retained = self.metered.retained(now, local);
        let metered = &mut self.metered;
        metered.available = metered.available * retained + available;
        metered.used = metered.used * retained + usage * available;
        metered.requested = metered.requested * retained + usage * available / admit_fraction;
        metered.updated_at = now;
    }

    /// Time since the last report of the meter, or since the first request if there was none, ms.
    pub(super) fn time_since_report(&self, now: Millis) -> Millis {
        now - self.metered.updated_at
    }

    /// Units that the customer requests, divided by the units that its quota holds; above 1 it is over its quota.
    ///
    /// For a small share the ratio is an upper bound, with the confidence that the plan's prices demand: the greater of
    /// the bounds by the meter's reports and by the arrivals here. The bound by the meter counts the burst as
    /// available, unless the meter reports use beyond the quota: then the burst is spent, and admitting requests beyond
    /// an exhausted quota has its price.
    pub(super) fn usage_ratio(
        &self,
        now: Millis,
        plan: &Plan,
        local: &LocalQuota,
        signals: &AdmissionSignals,
    ) -> f64 {
        let mean_units = local.mean_request_units;
        let retained = self.metered.retained(now, local);
        let requested = PRIOR_REQUESTS * mean_units + self.metered.requested * retained;
        let available = 2.0 * PRIOR_REQUESTS * mean_units + self.metered.available * retained;
        if !local.is_small_share {
            return requested / available;
        }
        let lambda = local.decay_rate;
        let quota = plan.rate / 1000.0 / lambda * (1.0 - (-lambda * signals.uptime).exp());
        let probability = break_even_probability(plan, 1.0 - signals.admit_fraction);
        let burst = if self.metered.used > self.metered.available {
            0.0
        } else {
            plan.burst
        };
        let upper_bound = |requested: f64, available: f64| {
            let deviation = (requested * mean_units).sqrt();
            (requested + normal_quantile(probability) * deviation) / available
        };
        let by_meter = upper_bound(requested, available + burst);
        let by_arrivals = upper_bound(self.average.decayed(now, lambda), quota + plan.burst);
        by_meter.max(by_arrivals).max(0.0)
    }

    /// Units admitted here within a burst length, scaled to all gateways, divided by the units that the quota holds in
    /// that time. It is needed because the meter reports a burst only when it is over. A marked retry counts as one
    /// request scaled in the same way, if that is more: it was rejected a moment ago, which happens to few requests
    /// within their quotas.
    pub(super) fn burst_usage_ratio(
        &self,
        now: Millis,
        plan: &Plan,
        local: &LocalQuota,
        request: &Request,
        admit_fraction: f64,
    ) -> f64 {
        let burst_decay = burst_decay_rate(local.decay_rate);
        let available = plan.rate / 1000.0 / burst_decay + plan.burst;
        let probability = break_even_probability(plan, 1.0 - admit_fraction);
        let lower_bound_share = zipf_share(local.gateway_count, probability);
        let share = self.local_share(now, plan, local, lower_bound_share, available);
        let retried = if request.is_retry {
            request.units * admit_fraction / lower_bound_share
        } else {
            0.0
        };
        let admitted = self.admitted.decayed(now, burst_decay) / share;
        admitted.max(retried) / available.max(MIN_DIVISOR)
    }

    /// The share of the customer's requests that arrives at this gateway. It is taken from the meter's earlier reports
    /// where there are any. Otherwise it is the least share with the confidence that the plan's prices demand, or the
    /// whole where the meter reports nothing on any customer.
    fn local_share(
        &self,
        now: Millis,
        plan: &Plan,
        local: &LocalQuota,
        lower_bound_share: f64,
        prior_weight: f64,
    ) -> f64 {
        let metered = &self.metered;
        let prior_share = if now - local.meter_reported_at < 1.0 / local.decay_rate {
            lower_bound_share
        } else {
            1.0
        };
        // The fraction of the average's memory that the time since the customer's first request covers.
        let known_fraction = 1.0 - (local.decay_rate * (self.first_seen - now)).exp();
        let requested = (plan.rate * metered.requested * known_fraction).max(MIN_DIVISOR);
        let observed_share =
            self.average.rate(now, local.decay_rate) * metered.available / requested;
        let observed_weight = if observed_share < IMPLAUSIBLE_SHARE {
            metered.available * metered.retained(now, local)
        } else {
            0.0
        };
        (prior_weight * prior_share + observed_weight * observed_share.clamp(prior_share, 1.0))
            / (prior_weight + observed_weight)
    }
}

/// Decay rate with a halflife of one burst length, 1/ms.
fn burst_decay_rate(decay_rate: f64) -> f64 {
    rate_limit::HALFLIFE_IN_BURST_LENGTHS * decay_rate
}

/// How probable it has to be that a request is within its quota, so that admitting it pays: the cost of admitting a
/// request beyond the quota, divided by the sum of the costs of both errors. Where the backends are short of capacity,
/// by the fraction `shortage`, admitting costs that much more.
fn break_even_probability(plan: &Plan, shortage: f64) -> f64 {
    let net_cost = plan.over_quota_cost - plan.over_quota_weight;
    let probability = (net_cost + shortage) / (1.0 + net_cost).max(MIN_PROBABILITY);
    probability.clamp(MIN_PROBABILITY, 1.0 - MIN_PROBABILITY)
}
