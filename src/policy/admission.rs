//! Admission as the design has it: recent average, box and slice, and the evidence where gateways are many.

use super::guards::{CeilingPart, OpenCap};
use super::{Refused, Terms};
use crate::measure::{normal_quantile, zipf_share, Cewma};
use crate::policy_api::*;
use std::collections::BTreeMap;
use std::f64::consts::LN_2;
use std::sync::Arc;

// Design figures: box limit in quota rates, a slice's refill in recent rates, its depth in largest requests.
const BOX_FACTOR: f64 = 3.0;
const RISE_FACTOR: f64 = 2.0;
const SLICE_LEAST: f64 = 2.0;
// Halflife of the recent average, in burst lengths (the design asks for one at least): a lasting flood should
// shut the box, a bunch of retries should not. Where a plan has no burst length, in longest deadlines.
const HALFLIFE_BURSTS: f64 = 4.0;
const HALFLIFE_DEADLINES: f64 = 1.0;
const EVICT_HALFLIVES: f64 = 8.0; // entries of customers are looked through for eviction once in so many
const RISE_HALFLIVES: f64 = 0.5; // in which a slice rises to its target: slower than a spike
const USUAL_MEMORY: f64 = 30.0; // requests over which their usual size is averaged
const PRIOR: f64 = 0.5; // usual requests that the evidence of a new customer begins with
const UNKNOWN_USE: f64 = 0.7; // of its quota that whoever asks uses within it, by the operators' figures
const RECALL: f64 = 2.0; // what the meter told is forgotten this many times as fast as the average
const ODD_PART: f64 = 2.0; // times what the meter told of all doors that came here: it is of another time
const LEAST_DOUBT: f64 = 1e-3; // what costs nothing beyond the quota is let in until all but this is past it

/// By the meter: units that all gateways let in, units asked if all let in by one part, what the quota held.
#[derive(Default)]
struct Metered {
    used: f64,
    asked: f64,
    held: f64,
    at: Millis,
}

/// What a gateway holds of one customer.
#[derive(Default)]
pub(super) struct Customer {
    average: Cewma,
    born: Millis,  // when it was met first
    recent: Cewma, // units let in of late, over a burst's length
    largest: f64,  // units of its largest request so far
    slice: f64,    // units in this gateway's slice, and its refill in units a second, as of `t`
    flow: f64,
    ceiling: CeilingPart,
    t: Millis,
    pub cap: OpenCap,
    metered: Metered,
    share: f64, // of its requests that is let in at present
}

/// A quota's figures at this gateway.
struct Part {
    lambda: f64,
    recall: f64, // with which what the meter told is forgotten: a sliver hears too seldom to forget sooner
    limit: f64,
    even: f64,
    depth: f64,
    spread: f64,
    usual: f64,   // units of a request
    told: Millis, // when the meter told anything last
    open: f64,    // attempts that may be open at once
    sliver: bool, // whether the even share of the burst does not hold one usual request
}

/// What admission is told of the gateway and of the backends' room.
pub(super) struct Seen {
    pub age: Millis, // since the gateway's start
    pub pressure: f64,
    pub opening: f64,
    pub per_unit: f64, // seconds that a unit takes at the backends
    pub luck: f64,     // a draw of chance
}

/// The quotas of all customers, as far as one gateway keeps them.
pub(super) struct Quotas {
    terms: Arc<Terms>,
    pub customers: BTreeMap<CustomerId, Customer>,
    evict_at: Millis,
    pub usual: f64, // units of a request, on average
    told: Millis,   // when the meter told anything last
}

impl Quotas {
    pub(super) fn new(terms: Arc<Terms>) -> Quotas {
        Quotas {
            terms,
            customers: BTreeMap::new(),
            evict_at: 0.0,
            usual: 1.0,
            told: f64::NEG_INFINITY,
        }
    }

    /// Whether a request is within what this gateway may let in, or how long the reason to refuse it lasts.
    pub(super) fn admit(
        &mut self,
        now: Millis,
        request: &Request,
        seen: &Seen,
    ) -> Result<(), Refused> {
        let plan = &self.terms.set.plans[request.plan.0];
        let part = self.part(request);
        self.usual += (request.units - self.usual) / USUAL_MEMORY;
        let customer = self
            .customers
            .entry(request.customer)
            .or_insert_with(|| Customer {
                born: now,
                slice: part.depth,
                flow: part.even,
                t: now - seen.age,
                cap: OpenCap {
                    at: now,
                    ..OpenCap::default()
                },
                metered: Metered {
                    at: now,
                    ..Metered::default()
                },
                share: 1.0,
                ..Customer::default()
            });
        customer.largest = customer.largest.max(request.units);
        let excess = customer.excess(now, plan, &part, seen);
        customer.refill(now, plan, &part, seen.pressure, excess > 1.0);
        customer.average.record(now, request.units, part.lambda);
        if plan.rate > 0.0 {
            // The box: beyond the limit everything is refused until the estimate has decayed.
            let rate = customer.average.rate(now, part.lambda);
            if rate > part.limit {
                return Err((
                    RejectReason::PenaltyBox,
                    Some((rate / part.limit).ln() / part.lambda),
                ));
            }
            // Guards against slices too small to tell use past the quota: slivers let in by all evidence.
            let strain = if part.sliver {
                excess.max(UNKNOWN_USE)
            } else {
                excess.min(1.0)
            };
            customer.share = seen.opening / strain.max(seen.opening);
            // By Little's law a cap on attempts out is a rate too: what others have out is not seen.
            let others = excess.min(1.0) * plan.rate * seen.per_unit * (1.0 - 1.0 / part.spread);
            let spare = f64::from(plan.max_concurrency) - f64::from(customer.cap.open);
            let capped =
                part.open < 1.0 && others > 0.0 && plan.over_quota_weight <= plan.over_quota_cost;
            let fits = if capped {
                spare / (others + others.sqrt())
            } else {
                1.0
            };
            let sudden = if part.sliver {
                customer.sudden(now, plan, &part, request, seen.opening)
            } else {
                0.0
            };
            // Past a dry quota it only takes the place of what others let in, the more of them there are.
            let past = strain.max(sudden).max(1.0).powf(part.spread.ln());
            if seen.luck > fits.min(customer.share / past) {
                return Err((RejectReason::LoadShedding, None));
            }
            // Under pressure a slice keeps a reserve: those nearest the end of their quotas give way first.
            let short = request.units + seen.pressure * (part.depth - request.units).max(0.0)
                - customer.slice;
            if short > 0.0 {
                return Err((
                    RejectReason::TokenBucket,
                    Some(1000.0 * short / customer.flow),
                ));
            }
        }
        customer.cap.pass_time(now, part.open, self.terms.aim);
        if plan.ceiling.is_some() && customer.ceiling.0 < request.units {
            return Err((RejectReason::Ceiling, None));
        }
        customer
            .cap
            .allows(plan, part.open)
            .then_some(())
            .ok_or((RejectReason::ConcurrencyLimit, None))
    }

    /// A request that was let in has its backend: its units are taken.
    pub(super) fn take(&mut self, now: Millis, request: &Request) {
        let quick = HALFLIFE_BURSTS * self.lambda(&self.terms.set.plans[request.plan.0]);
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            customer.recent.record(now, request.units, quick);
            customer.slice -= request.units;
            customer.ceiling.0 -= request.units;
        }
    }

    /// An attempt ended, with what its answer tells of the customer's use.
    pub(super) fn settle(&mut self, now: Millis, request: &Request, settled: &AttemptCompleted) {
        let part = self.part(request);
        let plan = &self.terms.set.plans[request.plan.0];
        let Some(customer) = self.customers.get_mut(&request.customer) else {
            return;
        };
        customer.cap.pass_time(now, part.open, self.terms.aim);
        customer.cap.open = customer.cap.open.saturating_sub(1);
        if let Some(true_units) = settled.actual_units.filter(|u| u.is_finite()) {
            // The quota counts the true units, so the slice does; the ceiling goes by the guess.
            customer.slice = (customer.slice + request.units - true_units).min(part.depth);
        }
        // A figure that is absurd counts no more than one at which the box shuts.
        let most = part.limit / plan.rate.max(1e-9);
        if let Some(used) = settled
            .quota_usage
            .filter(|u| u.is_finite() && *u >= 0.0)
            .map(|u| u.min(most))
        {
            self.told = now;
            let metered = &mut customer.metered;
            let held = plan.rate * (now - metered.at).min(self.terms.set.meter_period) / 1000.0;
            let keep = (part.recall * (metered.at - now)).exp();
            metered.held = metered.held * keep + held;
            metered.used = metered.used * keep + used * held;
            metered.asked = metered.asked * keep + used * held / customer.share;
            metered.at = now;
        }
    }

    /// Halflife of the recent average of a plan that has a rate.
    fn halflife(plan: &Plan) -> Millis {
        HALFLIFE_BURSTS * 1000.0 * plan.burst / plan.rate
    }

    /// Decay of the recent average, per millisecond; where there is no burst length, in longest deadlines.
    fn lambda(&self, plan: &Plan) -> f64 {
        let deadlines = || {
            self.terms
                .set
                .classes
                .iter()
                .map(|c| c.deadline)
                .fold(1000.0, f64::max)
        };
        let bursts = plan.rate > 0.0 && plan.burst > 0.0;
        LN_2 / if bursts {
            Self::halflife(plan)
        } else {
            HALFLIFE_DEADLINES * deadlines()
        }
    }

    fn part(&self, request: &Request) -> Part {
        let plan = &self.terms.set.plans[request.plan.0];
        let largest = self
            .customers
            .get(&request.customer)
            .map_or(0.0, |c| c.largest)
            .max(request.units);
        let lambda = self.lambda(plan);
        let (even, open) = (
            plan.burst / request.gateway_count,
            f64::from(plan.max_concurrency) / request.gateway_count,
        );
        let sliver = request.gateway_count > 1.0 && even < SLICE_LEAST * self.usual;
        let held = if sliver { plan.burst } else { even };
        Part {
            lambda,
            recall: if sliver { lambda } else { RECALL * lambda },
            limit: BOX_FACTOR * plan.rate + 1000.0 * lambda * plan.burst,
            even: plan.rate / request.gateway_count,
            sliver,
            depth: held.max(SLICE_LEAST * largest),
            spread: request.gateway_count,
            usual: self.usual,
            told: self.told,
            open: if plan.max_concurrency > 0 {
                open
            } else {
                f64::INFINITY
            },
        }
    }

    /// Forgets customers whose entry says no more than a new one would.
    pub(super) fn evict(&mut self, now: Millis) {
        if now < self.evict_at {
            return;
        }
        let rated = self.terms.set.plans.iter().filter(|p| p.rate > 0.0);
        let longest = rated.map(Self::halflife).fold(1000.0, f64::max);
        let age = EVICT_HALFLIVES * longest;
        self.evict_at = now + age / 4.0;
        let left = |c: &Customer| c.average.decayed(now, LN_2 / longest);
        self.customers
            .retain(|_, c| c.cap.open > 0 || now - c.t < age || left(c) > 0.01);
    }
}

impl Plan {
    /// How likely a request has to be past its quota to be worth less than nothing: what one past it costs
    /// over what both errors cost. Where room at the backends is short, by this part, it has a price as well.
    fn doubt(&self, short: f64) -> f64 {
        let loss = self.over_quota_cost - self.over_quota_weight;
        ((loss + short) / (1.0 + loss).max(LEAST_DOUBT)).clamp(LEAST_DOUBT, 1.0 - LEAST_DOUBT)
    }
}

impl Customer {
    /// What it asks for over what its quota holds, by the meter, beginning with a little: few figures prove
    /// little. For a sliver as surely as prices want it known, by the meter or by what comes here alone: no
    /// door knows its part of a customer, so the whole quota stands against both. Its burst as well, but for
    /// whom the meter tells past the quota: that is spent, and what passes beyond a dry quota has its price.
    fn excess(&self, now: Millis, plan: &Plan, part: &Part, seen: &Seen) -> f64 {
        let (usual, keep) = (part.usual, (part.recall * (self.metered.at - now)).exp());
        let asked = PRIOR * usual + self.metered.asked * keep;
        let held = 2.0 * PRIOR * usual + self.metered.held * keep;
        if !part.sliver {
            return asked / held;
        }
        let quota = plan.rate / 1000.0 / part.lambda * (1.0 - (-part.lambda * seen.age).exp());
        let doubt = plan.doubt(1.0 - seen.opening);
        let sure = |asked: f64, held: f64| {
            (asked + normal_quantile(doubt) * (asked * usual).sqrt()) / held
        };
        let burst = if self.metered.used > self.metered.held {
            0.0
        } else {
            plan.burst
        };
        sure(asked, held + burst)
            .max(sure(
                self.average.decayed(now, part.lambda),
                quota + plan.burst,
            ))
            .max(0.0)
    }

    /// What was let in here of late over what the quota holds then: the meter tells when it is over. Which
    /// part of the whole comes here it has told; else it is the least that is as sure as prices want, or all
    /// where no meter speaks. A marked repeat was turned away a moment ago, as few within quotas are.
    fn sudden(&self, now: Millis, plan: &Plan, part: &Part, of: &Request, opening: f64) -> f64 {
        let quick = HALFLIFE_BURSTS * part.lambda;
        let (holds, told) = (plan.rate / 1000.0 / quick + plan.burst, &self.metered);
        let likely = zipf_share(part.spread, plan.doubt(1.0 - opening));
        let least = if now - part.told < 1.0 / part.lambda {
            likely
        } else {
            1.0
        };
        let span = 1.0 - (part.lambda * (self.born - now)).exp();
        let asked = (plan.rate * told.asked * span).max(1e-9);
        let here = self.average.rate(now, part.lambda) * told.held / asked;
        let trust = if here < ODD_PART {
            told.held * (part.recall * (told.at - now)).exp()
        } else {
            0.0
        };
        let here = (holds * least + trust * here.clamp(least, 1.0)) / (holds + trust);
        let repeat = if of.is_retry {
            of.units * opening / likely
        } else {
            0.0
        };
        (self.recent.decayed(now, quick) / here).max(repeat) / holds.max(1e-9)
    }

    /// Brings slice and ceiling part up to now; the slice's flow follows demand as the design says.
    fn refill(&mut self, now: Millis, plan: &Plan, part: &Part, pressure: f64, past_quota: bool) {
        let span = (now - self.t).max(0.0) / 1000.0;
        let wanted = (RISE_FACTOR * self.average.rate(now, part.lambda))
            .min(plan.rate)
            .max(part.even);
        let target = if past_quota {
            part.even
        } else {
            part.even + (wanted - part.even) * (1.0 - pressure)
        };
        let rise = 1.0 - (-part.lambda * 1000.0 * span / (RISE_HALFLIVES * LN_2)).exp();
        let rise = if part.sliver { 1.0 } else { rise };
        self.flow = target
            .min(self.flow + (target - self.flow).max(0.0) * rise)
            .max(part.even);
        self.slice = (self.slice + self.flow * span).min(part.depth);
        self.ceiling.refill(plan, part.spread, span);
        self.t = now;
    }
}
