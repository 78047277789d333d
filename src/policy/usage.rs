//! Evidence of a customer's usage at one gateway, and how far it is over its quota by that evidence.
//!
//! Over few gateways the meter decides. Over many, a gateway's even share of the burst holds less than two requests (a
//! *fragment*): no gateway knows its share of a customer, so the whole quota stands against what the meter reports
//! and against what arrives here.

use super::local_quota::LocalQuota;
use super::overload::AdmissionSignals;
use super::rate_limit;
use crate::measure::{normal_quantile, zipf_share, Cewma};
use crate::policy_api::*;

/// Mean requests with which the evidence of a new customer begins: few observations prove little.
const PRIOR_REQUESTS: f64 = 0.5;
/// Local rate, as a multiple of what the meter reports of all gateways, from which the report is not trusted: it
/// must be of another time.
const IMPLAUSIBLE_SHARE: f64 = 2.0;
/// Least probability used as a threshold. Where forwarding beyond the quota costs nothing, requests are admitted
/// until all but this probability says that the quota is exceeded.
const MIN_PROBABILITY: f64 = 1e-3;
/// Least divisor of ratios, so that none divides by zero.
pub(super) const MIN_DIVISOR: f64 = 1e-9;

/// The usage that the meter has reported, in units, with exponential forgetting.
#[derive(Default)]
struct MeteredUsage {
    /// Units that all gateways admitted.
    used: f64,
    /// Units requested, if all gateways admitted the same fraction as this one.
    requested: f64,
    /// Units that the quota held in the metered time.
    available: f64,
    /// Time of the last report, ms.
    updated_at: Millis,
}

impl MeteredUsage {
    /// The factor by which a report has been forgotten by now.
    fn retained(&self, now: Millis, local: &LocalQuota) -> f64 {
        (local.meter_decay_rate * (self.updated_at - now)).exp()
    }
}

/// What a gateway has observed of one customer's usage.
pub(super) struct UsageHistory {
    /// The recent average of all arrivals, rejected ones too.
    pub average: Cewma,
    /// Units admitted here, decaying with a halflife of one burst length.
    admitted: Cewma,
    /// Time of the first request, ms.
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

    /// Records an admitted request.
    pub(super) fn record_admitted(&mut self, now: Millis, units: f64, decay_rate: f64) {
        self.admitted
            .record(now, units, burst_decay_rate(decay_rate));
    }

    /// Records a report of the meter: `usage` is what all gateways admitted as a fraction of the quota's rate,
    /// while this one admitted `admit_fraction` of the requests.
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

    /// Time since the last report of the meter, or since the first request, ms.
    pub(super) fn time_since_report(&self, now: Millis) -> Millis {
        now - self.metered.updated_at
    }

    /// What the customer requests over what its quota holds.
    ///
    /// For a fragment it is a bound, as certain as the plan's prices demand: the greater of that by the meter and
    /// that by the arrivals here. The burst counts as available unless the meter reports use beyond the quota: then
    /// it is spent, and what passes beyond an exhausted quota has its price.
    pub(super) fn overuse(
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
        if !local.is_fragment {
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
        let bound = |requested: f64, available: f64| {
            let deviation = (requested * mean_units).sqrt();
            (requested + normal_quantile(probability) * deviation) / available
        };
        let by_meter = bound(requested, available + burst);
        let by_arrivals = bound(self.average.decayed(now, lambda), quota + plan.burst);
        by_meter.max(by_arrivals).max(0.0)
    }

    /// What was admitted here within a burst length, scaled to all gateways, over what the quota holds in that
    /// time: the meter reports a burst only when it is over. A marked retry was rejected a moment ago, as few within
    /// their quotas are, and counts as one more request.
    pub(super) fn burst_overuse(
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
        let likely_share = zipf_share(local.gateway_count, probability);
        let share = self.local_share(now, plan, local, likely_share, available);
        let retried = if request.is_retry {
            request.units * admit_fraction / likely_share
        } else {
            0.0
        };
        let admitted = self.admitted.decayed(now, burst_decay) / share;
        admitted.max(retried) / available.max(MIN_DIVISOR)
    }

    /// The share of the customer's requests that arrives at this gateway. The meter has shown it where it reported
    /// before; else it is the least share that is as certain as the plan's prices demand, or all where no meter
    /// reports.
    fn local_share(
        &self,
        now: Millis,
        plan: &Plan,
        local: &LocalQuota,
        likely_share: f64,
        prior_weight: f64,
    ) -> f64 {
        let metered = &self.metered;
        let least_share = if now - local.meter_reported_at < 1.0 / local.decay_rate {
            likely_share
        } else {
            1.0
        };
        // The fraction of the average's memory that the customer has been known for.
        let known_fraction = 1.0 - (local.decay_rate * (self.first_seen - now)).exp();
        let requested = (plan.rate * metered.requested * known_fraction).max(MIN_DIVISOR);
        let observed = self.average.rate(now, local.decay_rate) * metered.available / requested;
        let trust = if observed < IMPLAUSIBLE_SHARE {
            metered.available * metered.retained(now, local)
        } else {
            0.0
        };
        (prior_weight * least_share + trust * observed.clamp(least_share, 1.0))
            / (prior_weight + trust)
    }
}

/// Decay rate with a halflife of one burst length, 1/ms.
fn burst_decay_rate(decay_rate: f64) -> f64 {
    rate_limit::HALFLIFE_BURSTS * decay_rate
}

/// How probable it has to be that a request is beyond its quota before rejecting it pays: what a request beyond
/// the quota costs, over what both errors cost. Where the backends are short of capacity, by this fraction, admitting
/// has a price as well.
fn break_even_probability(plan: &Plan, shortage: f64) -> f64 {
    let loss = plan.over_quota_cost - plan.over_quota_weight;
    let probability = (loss + shortage) / (1.0 + loss).max(MIN_PROBABILITY);
    probability.clamp(MIN_PROBABILITY, 1.0 - MIN_PROBABILITY)
}
