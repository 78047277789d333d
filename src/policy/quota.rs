//! Quotas: the state that one gateway keeps of each customer, and whether a request is within its customer's quota.
//!
//! Each customer has a token bucket at each gateway. The bucket holds the equal share of the customer's burst and
//! starts full. Its refill rate starts at the equal share of the quota's rate and rises with local demand, as in the
//! design of the recent average rate limiter.

use super::concurrency::{CeilingShare, ConcurrencyShare};
use super::customer_table::CustomerTable;
use super::evicted_customers::{EvictedCustomer, EvictedCustomers};
use super::local_quota::{LocalQuota, ObservedTraffic};
use super::overload::AdmissionSignals;
use super::usage::{UsageHistory, MIN_DIVISOR};
use super::{rate_limit, PolicyContext, Rejection};
use crate::policy_api::*;
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
/// Most entries that one request looks at in a scan.
const MAX_SCAN_STEPS: usize = 256;
/// Most customers for which an entry is stored unless the driver sets another limit.
const DEFAULT_CUSTOMER_LIMIT: usize = 65_536;
/// Most entries that one request looks at to make room for its customer.
const MAX_ROOM_STEPS: usize = 16;
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
    /// Most units that the bucket held at the last request.
    depth: f64,
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
        self.depth = local.depth;
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
    /// Whether the customer was over its quota, or over its share of a limit, at its last request.
    is_over_quota: bool,
}

impl Customer {
    fn new(now: Millis, local: &LocalQuota, signals: &AdmissionSignals) -> Customer {
        Customer {
            usage: UsageHistory::new(now),
            largest_request: 0.0,
            bucket: TokenBucket {
                units: local.depth,
                refill_rate: local.equal_share_rate,
                depth: local.depth,
            },
            ceiling: CeilingShare::default(),
            refilled_at: now - signals.uptime,
            concurrency: ConcurrencyShare::new(now),
            admit_fraction: 1.0,
            is_over_quota: false,
        }
    }

    /// A customer that comes again after its eviction. Its bucket lacks what it lacked then.
    fn restored(
        now: Millis,
        local: &LocalQuota,
        signals: &AdmissionSignals,
        evicted: &EvictedCustomer,
    ) -> Customer {
        let mut customer = Customer::new(now, local, signals);
        customer.bucket.units -= f64::from(evicted.missing_units);
        customer.ceiling = CeilingShare::with_units(f64::from(evicted.ceiling_units));
        customer.refilled_at = evicted.refilled_at;
        customer
    }

    /// What is kept of the customer when its entry is evicted. The bucket's depth is that of its last request.
    fn evicted(&self) -> EvictedCustomer {
        EvictedCustomer {
            missing_units: (self.bucket.depth - self.bucket.units).max(0.0) as f32,
            ceiling_units: self.ceiling.units() as f32,
            refilled_at: self.refilled_at,
        }
    }

    /// Records the arrival of a request, and rejects it if it is not within the quota.
    fn admit(
        &mut self,
        now: Millis,
        context: &PolicyContext,
        local: &LocalQuota,
        request: &Request,
        signals: &AdmissionSignals,
    ) -> Result<(), Rejection> {
        let plan = context.plan(request.plan);
        self.largest_request = self.largest_request.max(request.units);
        let usage_ratio = self.usage.usage_ratio(now, plan, local, signals);
        self.refill(now, plan, local, signals.pressure, usage_ratio > 1.0);
        self.usage
            .average
            .record(now, request.units, local.decay_rate);
        let result = self
            .check_quota(now, plan, local, request, signals, usage_ratio)
            .and_then(|()| {
                self.check_shares(now, plan, local, request.units, context.latency_objective)
            });
        let is_limited = result.as_ref().is_err_and(Rejection::shows_overuse);
        self.is_over_quota = usage_ratio > 1.0 || is_limited;
        result
    }

    /// Rejects a request that the penalty box, the shedding of load or the token bucket does not admit.
    fn check_quota(
        &mut self,
        now: Millis,
        plan: &Plan,
        local: &LocalQuota,
        request: &Request,
        signals: &AdmissionSignals,
        usage_ratio: f64,
    ) -> Result<(), Rejection> {
        if plan.rate <= 0.0 {
            return Ok(());
        }
        let limit = local.penalty_box_limit;
        rate_limit::check_penalty_box(now, &self.usage.average, local.decay_rate, limit)?;
        self.shed_load(now, plan, local, request, signals, usage_ratio)?;
        self.bucket
            .check(request.units, signals.pressure, local.depth)
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
    customers: CustomerTable<Customer>,
    evicted: EvictedCustomers,
    /// Most customers for which an entry is stored; more only while attempts of as many are in flight.
    limit: usize,
    /// Time of the next scan for customers to evict, ms.
    evict_at: Millis,
    /// Number of entries that the present scan has still to look at.
    scan_remaining: usize,
    /// Mean units of a request, over all customers.
    pub mean_request_units: f64,
    /// When the usage meter last reported on any customer, ms.
    meter_reported_at: Millis,
}

impl CustomerQuotas {
    pub(super) fn new(context: Arc<PolicyContext>) -> CustomerQuotas {
        CustomerQuotas {
            context,
            customers: CustomerTable::new(),
            evicted: EvictedCustomers::new(DEFAULT_CUSTOMER_LIMIT),
            limit: DEFAULT_CUSTOMER_LIMIT,
            evict_at: 0.0,
            scan_remaining: 0,
            mean_request_units: INITIAL_MEAN_UNITS,
            meter_reported_at: f64::NEG_INFINITY,
        }
    }

    /// Sets the number of customers for which an entry is stored at most.
    pub(super) fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
        self.evicted = EvictedCustomers::new(limit);
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
        let context = self.context.clone();
        let customer = self.known_customer(now, request.customer, &local, signals);
        customer.admit(now, &context, &local, request, signals)
    }

    /// The entry of a customer from which a request arrives, made if there is none.
    fn known_customer(
        &mut self,
        now: Millis,
        id: CustomerId,
        local: &LocalQuota,
        signals: &AdmissionSignals,
    ) -> &mut Customer {
        if self.customers.touch(id).is_none() {
            self.make_room(now);
            let entry = match self.evicted.take(id) {
                Some(evicted) => Customer::restored(now, local, signals, &evicted),
                None => Customer::new(now, local, signals),
            };
            self.customers.insert(id, entry);
        }
        self.customers
            .newest_mut()
            .expect("the customer's entry is the newest")
    }

    /// Evicts customers until there is room for another. Those that are over their quota and those with attempts in
    /// flight are passed over, as far as a bounded number of steps allows.
    fn make_room(&mut self, now: Millis) {
        for step in 1..=MAX_ROOM_STEPS {
            let Some((id, customer)) = self.customers.oldest() else {
                return;
            };
            if self.customers.len() < self.limit {
                return;
            }
            let has_expired = now - customer.refilled_at >= self.max_age();
            let is_kept = customer.is_over_quota && !has_expired && step < MAX_ROOM_STEPS;
            if customer.concurrency.in_flight > 0 || is_kept {
                self.customers.keep_oldest();
            } else {
                self.evicted.record(id, customer.evicted());
                self.customers.remove_oldest();
            }
        }
    }

    /// Charges the units of an admitted request, once its backend is selected.
    pub(super) fn consume(&mut self, now: Millis, request: &Request) {
        let plan = self.context.plan(request.plan);
        let decay_rate = rate_limit::decay_rate(&self.context.settings, plan);
        if let Some(customer) = self.customers.get_mut(request.customer) {
            let units = request.units;
            customer.usage.record_admitted(now, units, decay_rate);
            customer.bucket.units -= units;
            customer.ceiling.consume(units);
        }
    }

    /// Counts an attempt of a customer that is sent.
    pub(super) fn attempt_sent(&mut self, id: CustomerId) {
        if let Some(customer) = self.customers.get_mut(id) {
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
        let Some(customer) = self.customers.get_mut(request.customer) else {
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
            .get(request.customer)
            .map_or(0.0, |customer| customer.largest_request)
            .max(request.units);
        let traffic = ObservedTraffic {
            largest_request,
            mean_request_units: self.mean_request_units,
            meter_reported_at: self.meter_reported_at,
        };
        LocalQuota::new(&self.context, request, &traffic)
    }

    /// Evicts customers whose entries hold no more information than new ones, in scans of a bounded number of entries a
    /// call.
    pub(super) fn evict_expired(&mut self, now: Millis) {
        if now >= self.evict_at {
            self.evict_at = now + self.max_age() / EVICTION_SCANS;
            self.scan_remaining = self.customers.len();
        }
        let decay_rate = LN_2 / self.longest_halflife();
        for _ in 0..self.scan_remaining.min(MAX_SCAN_STEPS) {
            let Some((_, customer)) = self.customers.oldest() else {
                break;
            };
            // Entries behind this one were used later.
            if now - customer.refilled_at < self.max_age() {
                self.scan_remaining = 0;
                return;
            }
            self.scan_remaining -= 1;
            let is_in_use = customer.concurrency.in_flight > 0
                || customer.usage.average.decayed(now, decay_rate) > NEGLIGIBLE_UNITS;
            if is_in_use {
                self.customers.keep_oldest();
            } else {
                self.customers.remove_oldest();
            }
        }
    }

    /// Time without requests after which a customer may be evicted, ms.
    fn max_age(&self) -> Millis {
        EVICTION_HALFLIVES * self.longest_halflife()
    }

    /// The longest halflife of the recent average of all plans, ms.
    fn longest_halflife(&self) -> Millis {
        let plans = &self.context.settings.plans;
        plans
            .iter()
            .filter(|plan| plan.rate > 0.0)
            .map(rate_limit::halflife)
            .fold(MIN_EVICTION_HALFLIFE, f64::max)
    }
}
