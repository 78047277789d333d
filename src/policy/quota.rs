//! Quotas: the state that one gateway keeps of each customer, and whether a request is within its customer's quota.
//!
//! Each customer has a token bucket at each gateway. The bucket holds the equal share of the customer's burst and
//! starts full. Its refill rate starts at the equal share of the quota's rate and rises with local demand, as in the
//! design of the recent average rate limiter.

use super::concurrency::{CeilingShare, ConcurrencyShare};
use super::local_quota::{LocalQuota, ObservedTraffic};
use super::overload::AdmissionSignals;
use super::usage::{UsageHistory, MIN_DIVISOR};
use super::{rate_limit, PolicyContext, Rejection};
use crate::policy_api::*;
use std::collections::BTreeMap;
use std::f64::consts::LN_2;
use std::sync::Arc;

/// Refill rate that local demand justifies, as a multiple of the recent average rate; set by the design of the recent
/// average rate limiter.
const REFILL_FACTOR: f64 = 2.0;
/// Time constant with which a refill rate rises to its target, in halflives of the recent average. It is longer than a
/// spike of requests.
const RISE_HALFLIVES: f64 = 0.5;
/// Time without requests after which a customer may be evicted, in halflives of the recent average.
const EVICTION_HALFLIVES: f64 = 8.0;
/// Number of scans for customers to evict in that time.
const EVICTION_SCANS: f64 = 4.0;
/// Minimum halflife that the eviction time is computed from, ms.
const MIN_EVICTION_HALFLIFE: Millis = 1000.0;
/// Recent average, in units, below which a customer's entry holds no more information than a new one.
const NEGLIGIBLE_UNITS: f64 = 0.01;
/// Number of requests over which the mean size of a request is averaged.
const MEAN_UNITS_MEMORY: f64 = 30.0;
/// Size of a request that is assumed before the first request, in units.
const INITIAL_MEAN_UNITS: f64 = 1.0;
/// Fraction of its quota that an unknown customer is assumed to use; the operators report this figure.
const ASSUMED_USAGE: f64 = 0.7;

/// The token bucket of one customer at this gateway.
struct TokenBucket {
    /// Units that the bucket holds.
    units: f64,
    /// Refill rate, units a second.
    refill_rate: f64,
}

impl TokenBucket {
    /// Adds the units that accrue in `seconds`. The refill rate falls to `target` at once. It rises to `target` with
    /// the time constant [`RISE_HALFLIVES`], or at once for a small share.
    fn refill(&mut self, target: f64, seconds: f64, local: &LocalQuota) {
        let rise_fraction = if local.is_small_share {
            1.0
        } else {
            1.0 - (-local.decay_rate * 1000.0 * seconds / (RISE_HALFLIVES * LN_2)).exp()
        };
        let raised_rate = self.refill_rate + (target - self.refill_rate).max(0.0) * rise_fraction;
        self.refill_rate = target.min(raised_rate).max(local.equal_share_rate);
        self.units = (self.units + self.refill_rate * seconds).min(local.depth);
    }

    /// Rejects a request for which the bucket holds too few units. Under pressure the bucket keeps a reserve, so that
    /// customers closest to the end of their quotas are rejected first.
    fn check(&self, units: f64, pressure: f64, depth: f64) -> Result<(), Rejection> {
        let missing = units + pressure * (depth - units).max(0.0) - self.units;
        if missing > 0.0 {
            let retry_after = 1000.0 * missing / self.refill_rate;
            return Err(Rejection::with_retry_after(
                RejectReason::TokenBucket,
                retry_after,
            ));
        }
        Ok(())
    }
}

/// The state that a gateway keeps of one customer.
struct Customer {
    usage: UsageHistory,
    /// Units of the customer's largest request so far.
    largest_request: f64,
    bucket: TokenBucket,
    ceiling: CeilingShare,
    /// Time up to which the bucket and the ceiling share are refilled, ms.
    refilled_at: Millis,
    concurrency: ConcurrencyShare,
    /// Fraction of the customer's requests that this gateway admits at present.
    admit_fraction: f64,
}

impl Customer {
    fn new(now: Millis, local: &LocalQuota, signals: &AdmissionSignals) -> Customer {
        Customer {
            usage: UsageHistory::new(now),
            largest_request: 0.0,
            bucket: TokenBucket {
                units: local.depth,
                refill_rate: local.equal_share_rate,
            },
            ceiling: CeilingShare::default(),
            refilled_at: now - signals.uptime,
            concurrency: ConcurrencyShare::new(now),
            admit_fraction: 1.0,
        }
    }

    /// Refills the token bucket and the ceiling share up to `now`. The bucket's refill rate follows local demand, up to
    /// the rate of the whole quota; pressure lowers it. It is the equal share once the customer is over its quota.
    fn refill(
        &mut self,
        now: Millis,
        plan: &Plan,
        local: &LocalQuota,
        pressure: f64,
        is_over_quota: bool,
    ) {
        let seconds = (now - self.refilled_at).max(0.0) / 1000.0;
        let demand_rate = (REFILL_FACTOR * self.usage.average.rate(now, local.decay_rate))
            .min(plan.rate)
            .max(local.equal_share_rate);
        let target = if is_over_quota {
            local.equal_share_rate
        } else {
            local.equal_share_rate + (demand_rate - local.equal_share_rate) * (1.0 - pressure)
        };
        self.bucket.refill(target, seconds, local);
        self.ceiling.refill(plan, local.gateway_count, seconds);
        self.refilled_at = now;
    }

    /// Rejects a random part of the requests of a customer that is over its quota, or that the backends lack capacity
    /// for. This is needed where token buckets are too small to show use beyond the quota: for a small share, all
    /// evidence of usage counts.
    fn shed_load(
        &mut self,
        now: Millis,
        plan: &Plan,
        local: &LocalQuota,
        request: &Request,
        signals: &AdmissionSignals,
        usage_ratio: f64,
    ) -> Result<(), Rejection> {
        let demand = if local.is_small_share {
            usage_ratio.max(ASSUMED_USAGE)
        } else {
            usage_ratio.min(1.0)
        };
        self.admit_fraction = signals.admit_fraction / demand.max(signals.admit_fraction);
        let other_gateways_share = 1.0 - 1.0 / local.gateway_count;
        let attempts_elsewhere =
            usage_ratio.min(1.0) * plan.rate * signals.seconds_per_unit * other_gateways_share;
        let concurrency_fraction =
            self.concurrency
                .admit_fraction(plan, local.concurrency_limit, attempts_elsewhere);
        let burst_usage_ratio = if local.is_small_share {
            let admit_fraction = signals.admit_fraction;
            self.usage
                .burst_usage_ratio(now, plan, local, request, admit_fraction)
        } else {
            0.0
        };
        // Beyond an exhausted quota, a request admitted here only displaces requests that other gateways admit. This
        // effect grows with the number of gateways.
        let usage_ratio = demand.max(burst_usage_ratio).max(1.0);
        let penalty = usage_ratio.powf(local.gateway_count.ln());
        if signals.random_draw > concurrency_fraction.min(self.admit_fraction / penalty) {
            return Err(Rejection::new(RejectReason::LoadShedding));
        }
        Ok(())
    }

    /// Rejects a request that exceeds this gateway's share of the hard ceiling or of the concurrency limit.
    fn check_shares(
        &mut self,
        now: Millis,
        plan: &Plan,
        local: &LocalQuota,
        units: f64,
        latency_objective: Millis,
    ) -> Result<(), Rejection> {
        self.concurrency
            .advance(now, local.concurrency_limit, latency_objective);
        if self.ceiling.lacks_units_for(plan, units) {
            return Err(Rejection::new(RejectReason::Ceiling));
        }
        if !self
            .concurrency
            .allows_another(plan, local.concurrency_limit)
        {
            return Err(Rejection::new(RejectReason::ConcurrencyLimit));
        }
        Ok(())
    }
}

/// The quota state of all customers at one gateway.
pub(super) struct CustomerQuotas {
    context: Arc<PolicyContext>,
    customers: BTreeMap<CustomerId, Customer>,
    /// Time of the next scan for customers to evict, ms.
    evict_at: Millis,
    /// Mean units of a request, over all customers.
    pub mean_request_units: f64,
    /// When the usage meter last reported on any customer, ms.
    meter_reported_at: Millis,
}

impl CustomerQuotas {
    pub(super) fn new(context: Arc<PolicyContext>) -> CustomerQuotas {
        CustomerQuotas {
            context,
            customers: BTreeMap::new(),
            evict_at: 0.0,
            mean_request_units: INITIAL_MEAN_UNITS,
            meter_reported_at: f64::NEG_INFINITY,
        }
    }

    /// Number of customers for which the gateway stores an entry.
    pub(super) fn len(&self) -> usize {
        self.customers.len()
    }

    /// Records the arrival of a request. Rejects the request if it is not within its customer's quota at this gateway,
    /// or if load has to be shed because the backends lack capacity.
    pub(super) fn admit(
        &mut self,
        now: Millis,
        request: &Request,
        signals: &AdmissionSignals,
    ) -> Result<(), Rejection> {
        let local = self.local_quota(request);
        self.mean_request_units += (request.units - self.mean_request_units) / MEAN_UNITS_MEMORY;
        let plan = self.context.plan(request.plan);
        let customer = self
            .customers
            .entry(request.customer)
            .or_insert_with(|| Customer::new(now, &local, signals));
        customer.largest_request = customer.largest_request.max(request.units);
        let usage_ratio = customer.usage.usage_ratio(now, plan, &local, signals);
        customer.refill(now, plan, &local, signals.pressure, usage_ratio > 1.0);
        let average = &mut customer.usage.average;
        average.record(now, request.units, local.decay_rate);
        if plan.rate > 0.0 {
            let limit = local.penalty_box_limit;
            rate_limit::check_penalty_box(now, average, local.decay_rate, limit)?;
            customer.shed_load(now, plan, &local, request, signals, usage_ratio)?;
            customer
                .bucket
                .check(request.units, signals.pressure, local.depth)?;
        }
        let latency_objective = self.context.latency_objective;
        customer.check_shares(now, plan, &local, request.units, latency_objective)
    }

    /// Charges the units of an admitted request, once its backend is selected.
    pub(super) fn consume(&mut self, now: Millis, request: &Request) {
        let plan = self.context.plan(request.plan);
        let decay_rate = rate_limit::decay_rate(&self.context.settings, plan);
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            let units = request.units;
            customer.usage.record_admitted(now, units, decay_rate);
            customer.bucket.units -= units;
            customer.ceiling.consume(units);
        }
    }

    /// Counts an attempt of a customer that is sent.
    pub(super) fn attempt_sent(&mut self, id: CustomerId) {
        if let Some(customer) = self.customers.get_mut(&id) {
            customer.concurrency.in_flight += 1;
        }
    }

    /// Records the end of an attempt, with the usage that its response reports.
    pub(super) fn attempt_completed(
        &mut self,
        now: Millis,
        request: &Request,
        completed: &AttemptCompleted,
    ) {
        let local = self.local_quota(request);
        let plan = self.context.plan(request.plan);
        let Some(customer) = self.customers.get_mut(&request.customer) else {
            return;
        };
        let concurrency = &mut customer.concurrency;
        concurrency.advance(now, local.concurrency_limit, self.context.latency_objective);
        concurrency.in_flight = concurrency.in_flight.saturating_sub(1);
        if let Some(actual_units) = completed.actual_units.filter(|units| units.is_finite()) {
            // The quota counts actual units, so the bucket is corrected by the difference; the ceiling counts the
            // estimate.
            let corrected = customer.bucket.units + request.units - actual_units;
            customer.bucket.units = corrected.min(local.depth);
        }
        let reported = completed
            .quota_usage
            .filter(|usage| usage.is_finite() && *usage >= 0.0);
        if let Some(usage) = reported {
            self.meter_reported_at = now;
            // An implausibly high value counts as the usage at which the penalty box starts to reject.
            let usage = usage.min(local.penalty_box_limit / plan.rate.max(MIN_DIVISOR));
            let period = self.context.settings.meter_period;
            let elapsed = customer.usage.time_since_report(now).min(period);
            let available = plan.rate * elapsed / 1000.0;
            let admit_fraction = customer.admit_fraction;
            customer
                .usage
                .record_meter(now, usage, available, admit_fraction, &local);
        }
    }

    /// Computes the local quota of the customer that sent a request.
    fn local_quota(&self, request: &Request) -> LocalQuota {
        let largest_request = self
            .customers
            .get(&request.customer)
            .map_or(0.0, |customer| customer.largest_request)
            .max(request.units);
        let traffic = ObservedTraffic {
            largest_request,
            mean_request_units: self.mean_request_units,
            meter_reported_at: self.meter_reported_at,
        };
        LocalQuota::new(&self.context, request, &traffic)
    }

    /// Evicts customers whose entries hold no more information than new ones.
    pub(super) fn evict_expired(&mut self, now: Millis) {
        if now < self.evict_at {
            return;
        }
        let plans = &self.context.settings.plans;
        let longest_halflife = plans
            .iter()
            .filter(|plan| plan.rate > 0.0)
            .map(rate_limit::halflife)
            .fold(MIN_EVICTION_HALFLIFE, f64::max);
        let max_age = EVICTION_HALFLIVES * longest_halflife;
        self.evict_at = now + max_age / EVICTION_SCANS;
        let decay_rate = LN_2 / longest_halflife;
        self.customers.retain(|_, customer| {
            customer.concurrency.in_flight > 0
                || now - customer.refilled_at < max_age
                || customer.usage.average.decayed(now, decay_rate) > NEGLIGIBLE_UNITS
        });
    }
}
