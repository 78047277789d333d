//! Quotas: what one gateway keeps of each customer, and whether a request is within it.
//!
//! Each customer has a token bucket at each gateway. It holds the even share of the burst and starts full; its refill
//! rate starts at the even share and rises with local demand, as the design has it.

use super::concurrency::{CeilingShare, ConcurrencyShare};
use super::local_quota::{LocalQuota, ObservedTraffic};
use super::overload::AdmissionSignals;
use super::usage::{UsageHistory, MIN_DIVISOR};
use super::{rate_limit, PolicyContext, Rejection};
use crate::policy_api::*;
use std::collections::BTreeMap;
use std::f64::consts::LN_2;
use std::sync::Arc;

/// Refill rate of a token bucket that demand asks for, in recent average rates; the design's figure.
const REFILL_FACTOR: f64 = 2.0;
/// Halflives of the recent average in which a refill rate rises to its target: slower than a spike.
const RISE_HALFLIVES: f64 = 0.5;
/// Halflives of the recent average after which a customer without attempts is evicted.
const EVICTION_HALFLIVES: f64 = 8.0;
/// Searches for evictable customers in that time.
const EVICTION_SEARCHES: f64 = 4.0;
/// Least halflife that eviction goes by, ms.
const MIN_EVICTION_HALFLIFE: Millis = 1000.0;
/// Units left in the recent average below which an entry says no more than a new one.
const NEGLIGIBLE_UNITS: f64 = 0.01;
/// Requests over which their mean size is averaged.
const MEAN_UNITS_MEMORY: f64 = 30.0;
/// Units of a request assumed before the first.
const INITIAL_MEAN_UNITS: f64 = 1.0;
/// Fraction of its quota that an unknown customer is assumed to use, by the operators' figures.
const ASSUMED_USE: f64 = 0.7;

/// The token bucket of a customer at this gateway.
struct TokenBucket {
    /// Units that it holds.
    units: f64,
    /// Units a second.
    refill_rate: f64,
}

impl TokenBucket {
    /// Adds what was earned in `seconds`. The refill rate rises to `target` in the time of [`RISE_HALFLIVES`], at
    /// once for a fragment, and falls to it at once.
    fn refill(&mut self, target: f64, seconds: f64, local: &LocalQuota) {
        let rise = if local.is_fragment {
            1.0
        } else {
            1.0 - (-local.decay_rate * 1000.0 * seconds / (RISE_HALFLIVES * LN_2)).exp()
        };
        let risen = self.refill_rate + (target - self.refill_rate).max(0.0) * rise;
        self.refill_rate = target.min(risen).max(local.even_rate);
        self.units = (self.units + self.refill_rate * seconds).min(local.depth);
    }

    /// Rejects a request that the bucket does not hold. Under pressure the bucket keeps a reserve, so that
    /// customers nearest the end of their quotas give way first.
    fn check(&self, units: f64, pressure: f64, depth: f64) -> Result<(), Rejection> {
        let missing = units + pressure * (depth - units).max(0.0) - self.units;
        if missing > 0.0 {
            let retry_after = 1000.0 * missing / self.refill_rate;
            return Err(Rejection::until(RejectReason::TokenBucket, retry_after));
        }
        Ok(())
    }
}

/// What a gateway keeps of one customer.
struct Customer {
    usage: UsageHistory,
    /// Units of its largest request so far.
    largest_request: f64,
    bucket: TokenBucket,
    ceiling: CeilingShare,
    /// Time up to which bucket and ceiling are refilled, ms.
    refilled_at: Millis,
    concurrency: ConcurrencyShare,
    /// Fraction of its requests that is admitted at present.
    admit_fraction: f64,
}

impl Customer {
    fn new(now: Millis, local: &LocalQuota, signals: &AdmissionSignals) -> Customer {
        Customer {
            usage: UsageHistory::new(now),
            largest_request: 0.0,
            bucket: TokenBucket {
                units: local.depth,
                refill_rate: local.even_rate,
            },
            ceiling: CeilingShare::default(),
            refilled_at: now - signals.uptime,
            concurrency: ConcurrencyShare::new(now),
            admit_fraction: 1.0,
        }
    }

    /// Brings token bucket and ceiling share up to now. The bucket's refill rate follows local demand up to the
    /// whole quota, less under pressure, and is the even share once the customer is over its quota.
    fn refill(
        &mut self,
        now: Millis,
        plan: &Plan,
        local: &LocalQuota,
        pressure: f64,
        is_over_quota: bool,
    ) {
        let seconds = (now - self.refilled_at).max(0.0) / 1000.0;
        let wanted = (REFILL_FACTOR * self.usage.average.rate(now, local.decay_rate))
            .min(plan.rate)
            .max(local.even_rate);
        let target = if is_over_quota {
            local.even_rate
        } else {
            local.even_rate + (wanted - local.even_rate) * (1.0 - pressure)
        };
        self.bucket.refill(target, seconds, local);
        self.ceiling.refill(plan, local.gateway_count, seconds);
        self.refilled_at = now;
    }

    /// Rejects a random part of the requests of a customer that is over its quota, or that the backends have no
    /// capacity for. Token buckets too small to show use beyond the quota need it: for a fragment all evidence
    /// counts.
    fn shed_load(
        &mut self,
        now: Millis,
        plan: &Plan,
        local: &LocalQuota,
        request: &Request,
        signals: &AdmissionSignals,
        overuse: f64,
    ) -> Result<(), Rejection> {
        let demand = if local.is_fragment {
            overuse.max(ASSUMED_USE)
        } else {
            overuse.min(1.0)
        };
        self.admit_fraction = signals.admit_fraction / demand.max(signals.admit_fraction);
        let elsewhere = 1.0 - 1.0 / local.gateway_count;
        let others = overuse.min(1.0) * plan.rate * signals.seconds_per_unit * elsewhere;
        let concurrency_fraction = self
            .concurrency
            .admit_fraction(plan, local.concurrency, others);
        let burst_overuse = if local.is_fragment {
            let admit_fraction = signals.admit_fraction;
            self.usage
                .burst_overuse(now, plan, local, request, admit_fraction)
        } else {
            0.0
        };
        // Beyond an exhausted quota a request only displaces what other gateways admit, the more of them there are.
        let overuse = demand.max(burst_overuse).max(1.0);
        let penalty = overuse.powf(local.gateway_count.ln());
        if signals.random_draw > concurrency_fraction.min(self.admit_fraction / penalty) {
            return Err(Rejection::new(RejectReason::LoadShedding));
        }
        Ok(())
    }

    /// Rejects a request that this gateway's shares of the ceiling and of the concurrency limit do not cover.
    fn check_shares(
        &mut self,
        now: Millis,
        plan: &Plan,
        local: &LocalQuota,
        units: f64,
        latency_objective: Millis,
    ) -> Result<(), Rejection> {
        self.concurrency
            .advance(now, local.concurrency, latency_objective);
        if self.ceiling.is_short_of(plan, units) {
            return Err(Rejection::new(RejectReason::Ceiling));
        }
        if !self.concurrency.allows_another(plan, local.concurrency) {
            return Err(Rejection::new(RejectReason::ConcurrencyLimit));
        }
        Ok(())
    }
}

/// The quotas of all customers, as far as one gateway keeps them.
pub(super) struct CustomerQuotas {
    context: Arc<PolicyContext>,
    customers: BTreeMap<CustomerId, Customer>,
    /// When evictable customers are searched for next, ms.
    evict_at: Millis,
    /// Mean units of a request, over all customers.
    pub mean_request_units: f64,
    /// When the meter last reported anything, ms.
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

    /// Number of customers that the gateway keeps an entry of.
    pub(super) fn len(&self) -> usize {
        self.customers.len()
    }

    /// Whether a request is within what this gateway may admit.
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
        let overuse = customer.usage.overuse(now, plan, &local, signals);
        customer.refill(now, plan, &local, signals.pressure, overuse > 1.0);
        let average = &mut customer.usage.average;
        average.record(now, request.units, local.decay_rate);
        if plan.rate > 0.0 {
            let limit = local.penalty_box_limit;
            rate_limit::check_penalty_box(now, average, local.decay_rate, limit)?;
            customer.shed_load(now, plan, &local, request, signals, overuse)?;
            customer
                .bucket
                .check(request.units, signals.pressure, local.depth)?;
        }
        let latency_objective = self.context.latency_objective;
        customer.check_shares(now, plan, &local, request.units, latency_objective)
    }

    /// Takes the units of an admitted request that has its backend.
    pub(super) fn take(&mut self, now: Millis, request: &Request) {
        let plan = self.context.plan(request.plan);
        let decay_rate = rate_limit::decay_rate(&self.context.settings, plan);
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            let units = request.units;
            customer.usage.record_admitted(now, units, decay_rate);
            customer.bucket.units -= units;
            customer.ceiling.take(units);
        }
    }

    /// Counts an attempt of a customer that is sent.
    pub(super) fn attempt_sent(&mut self, id: CustomerId) {
        if let Some(customer) = self.customers.get_mut(&id) {
            customer.concurrency.in_flight += 1;
        }
    }

    /// Records the end of an attempt, with what its response reports of the customer's usage.
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
        concurrency.advance(now, local.concurrency, self.context.latency_objective);
        concurrency.in_flight = concurrency.in_flight.saturating_sub(1);
        if let Some(actual_units) = completed.actual_units.filter(|units| units.is_finite()) {
            // The quota counts the actual units, so the bucket does; the ceiling counts the estimate.
            let corrected = customer.bucket.units + request.units - actual_units;
            customer.bucket.units = corrected.min(local.depth);
        }
        let reported = completed
            .quota_usage
            .filter(|usage| usage.is_finite() && *usage >= 0.0);
        if let Some(usage) = reported {
            self.meter_reported_at = now;
            // A figure that is absurd counts no more than one at which the penalty box shuts.
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

    /// The figures of the requesting customer's quota at this gateway.
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

    /// Evicts customers whose entry says no more than a new one would.
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
        self.evict_at = now + max_age / EVICTION_SEARCHES;
        let decay_rate = LN_2 / longest_halflife;
        self.customers.retain(|_, customer| {
            customer.concurrency.in_flight > 0
                || now - customer.refilled_at < max_age
                || customer.usage.average.decayed(now, decay_rate) > NEGLIGIBLE_UNITS
        });
    }
}
