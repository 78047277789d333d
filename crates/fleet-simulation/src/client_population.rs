//! Customers with quotas, as the operators describe them, and what holds them to account: each one's true store of units,
//! the ceiling's store, and the meter, which is late. Whatever gateways decide is judged by these.

use crate::RandomSource;
use cometspool::*;
use std::collections::{BTreeMap, VecDeque};

/// Customers that a day has, and how their meter tells.
#[derive(Clone, Debug)]
pub struct ClientPopulationSpec {
    /// Units a second that all ask within their quotas, on average.
    pub units_per_second: f64,
    /// Each plan's share of that.
    pub plan_shares: Vec<f64>,
    /// Part of the gateways that a customer's requests come through, from least to most; a ceiling bounds it further.
    pub gateway_fraction: (f64, f64),
    /// Exponent of the weights of a customer's gateways, from least to most.
    pub weight_exponent: (f64, f64),
    /// Time for which these weights stay, from least to most.
    pub weight_lifetime: (Millis, Millis),
    /// Shares of the customers that use nearly all, that ask for more all day, and that do so in spikes.
    pub usage_shares: (f64, f64, f64),
    /// Plan, part of all traffic, begin and end of a flood by one customer on top.
    pub flood: Option<(usize, f64, Millis, Millis)>,
    /// How late the meter's figures are, from least to most.
    pub meter_delay: (Millis, Millis),
    /// What becomes of them.
    pub meter: Meter,
    /// Further tries of a client, and the mean wait before one where it is told none.
    pub retries: (u32, Millis),
}

/// What a meter tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Meter {
    /// The use.
    Accurate,
    /// Nothing.
    Silent,
    /// Now nothing that is a number, now what is below nought, now a thousand times the use.
    Nonsense,
}

/// Store of units as the platform counts it.
#[derive(Clone, Copy, Debug)]
struct QuotaBucket {
    units: f64,
    at: Millis,
}

impl QuotaBucket {
    fn refill(&mut self, now: Millis, rate: f64, most: f64) -> f64 {
        self.units = (self.units + rate * (now - self.at) / 1000.0).min(most);
        self.at = now;
        self.units
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum UsagePattern {
    Steady(f64),
    /// Usual use, that in a spike, and when the spikes begin and how long they last.
    Spiky(f64, f64, Millis, Millis),
}

/// A customer.
pub struct Customer {
    /// Its plan.
    pub plan: usize,
    /// Its gateways.
    pub gateways: Vec<usize>,
    usage_pattern: UsagePattern,
    flood: Option<(f64, Millis, Millis)>,
    /// Running sums of its gateways' weights, and until when these hold.
    weights: Vec<f64>,
    weights_valid_until: Millis,
    weight_exponent: f64,
    quota: QuotaBucket,
    /// What one gateway that saw all first tries would have left.
    ideal_quota: QuotaBucket,
    ceiling: QuotaBucket,
    /// Attempts out.
    pub attempts_in_flight: u32,
    /// Units sent on, by the meter's periods: number of the period and units.
    units_by_period: VecDeque<(u64, f64)>,
}

/// Period of the meter.
pub const METER_PERIOD: Millis = 500.0;

/// All customers, and what came of their tries.
pub struct ClientPopulation {
    spec: ClientPopulationSpec,
    plans: Vec<Plan>,
    /// The customers.
    pub customers: Vec<Customer>,
    /// The account.
    pub account: QuotaAccount,
}

/// What came of all tries, in worth and in tries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaAccount {
    /// Worth that one gateway that saw all first tries would let in, and what the rest would earn.
    pub offered: f64,
    /// Worth served in time within the quotas, and what was earned beyond.
    pub served: f64,
    /// Earned beyond.
    pub served_over_quota: f64,
    /// Price of what was sent on beyond.
    pub over_quota_cost: f64,
    /// Units sent on within and beyond the quotas.
    pub units_sent: [f64; 2],
    /// Tries in all, and of those refused such as had half of their quota or more unused.
    pub attempts: u64,
    /// Refused with room.
    pub rejected_within_quota: u64,
    /// Tries refused, by reason; a state of the module that tells none has them all under one.
    pub rejections_by_reason: BTreeMap<String, u64>,
    /// Least that was left of a ceiling's store and its slack, as a part of the slack; below nought the rule is broken.
    pub min_ceiling_margin: f64,
}

impl QuotaAccount {
    /// Served less prices, of what was offered.
    pub fn net_worth(&self) -> f64 {
        (self.served + self.served_over_quota - self.over_quota_cost) / self.offered.max(1e-9)
    }
}

impl ClientPopulation {
    /// The customers of a day with these plans and so many gateways.
    pub fn new(
        spec: ClientPopulationSpec,
        plans: &[Plan],
        gateways: usize,
        random: &mut RandomSource,
    ) -> ClientPopulation {
        let between = |random: &mut RandomSource, (least, most): (f64, f64)| {
            least + (most - least) * random.uniform()
        };
        let mut all = Vec::new();
        for (plan, share) in spec.plan_shares.iter().enumerate() {
            let told = &plans[plan];
            let mut asked = 0.0;
            while asked < share * spec.units_per_second {
                let luck = random.uniform();
                let (full, heavy, spiky) = spec.usage_shares;
                let calm = between(random, (0.15, 0.5));
                let kind = if luck < full {
                    UsagePattern::Steady(0.95)
                } else if luck < full + heavy {
                    UsagePattern::Steady(between(random, (1.6, 3.8)))
                } else if luck < full + heavy + spiky {
                    let (every, lasts) = (
                        between(random, (10e3, 25e3)),
                        between(random, (770.0, 3300.0)),
                    );
                    UsagePattern::Spiky(calm, between(random, (2.0, 6.5)), every, lasts)
                } else {
                    UsagePattern::Steady(calm)
                };
                let use_of_quota = match kind {
                    UsagePattern::Steady(x) => x.min(1.0),
                    UsagePattern::Spiky(x, ..) => x,
                };
                asked += use_of_quota * told.rate;
                let most = told
                    .ceiling
                    .map_or(f64::INFINITY, |ceiling| ceiling.burst / 2.0);
                let wide = (between(random, spec.gateway_fraction) * gateways as f64)
                    .min(most)
                    .max(2.0) as usize;
                let (first, wide) = (random.below(gateways), wide.min(gateways));
                let full = |units| QuotaBucket { units, at: 0.0 };
                all.push(Customer {
                    plan,
                    gateways: (0..wide).map(|step| (first + step) % gateways).collect(),
                    usage_pattern: kind,
                    flood: None,
                    weights: Vec::new(),
                    weights_valid_until: 0.0,
                    weight_exponent: between(random, spec.weight_exponent),
                    quota: full(told.burst),
                    ideal_quota: full(told.burst),
                    ceiling: full(told.ceiling.map_or(0.0, |ceiling| ceiling.burst)),
                    attempts_in_flight: 0,
                    units_by_period: VecDeque::new(),
                });
            }
        }
        if let Some((plan, part, from, to)) = spec.flood {
            if let Some(customer) = all.iter_mut().find(|customer| customer.plan == plan) {
                customer.flood = Some((part * spec.units_per_second, from, to));
            }
        }
        let ledger = QuotaAccount {
            min_ceiling_margin: f64::INFINITY,
            ..QuotaAccount::default()
        };
        ClientPopulation {
            spec,
            plans: plans.to_vec(),
            customers: all,
            account: ledger,
        }
    }

    /// When a customer asks next, or when its rate is to be looked at again, and whether it asks then.
    pub fn next_request(
        &self,
        customer: usize,
        now: Millis,
        random: &mut RandomSource,
    ) -> (Millis, bool) {
        let who = &self.customers[customer];
        let rate = self.plans[who.plan].rate;
        let (mut rate, mut until) = match who.usage_pattern {
            UsagePattern::Steady(x) => (x * rate, f64::INFINITY),
            UsagePattern::Spiky(x, spike, every, lasts) => {
                let into = (now + every * (customer % 7) as f64 / 7.0) % every;
                let (x, until) = if into < lasts {
                    (spike, lasts)
                } else {
                    (x, every)
                };
                (x * rate, now + (until - into).max(1.0))
            }
        };
        if let Some((more, from, to)) = who.flood {
            if now < from {
                until = until.min(from);
            } else if now < to {
                (rate, until) = (rate + more, until.min(to));
            }
        }
        let at = now + random.exponential(1000.0 / rate);
        if at < until {
            (at, true)
        } else {
            (until, false)
        }
    }

    /// The gateway that a try of a customer comes to.
    pub fn choose_gateway(
        &mut self,
        customer: usize,
        now: Millis,
        random: &mut RandomSource,
    ) -> usize {
        let shift = self.spec.weight_lifetime;
        let who = &mut self.customers[customer];
        if now >= who.weights_valid_until {
            who.weights_valid_until = now + shift.0 + (shift.1 - shift.0) * random.uniform();
            let mut ranks: Vec<usize> = (1..=who.gateways.len()).collect();
            (1..ranks.len())
                .rev()
                .for_each(|i| ranks.swap(i, random.below(i + 1)));
            let mut sum = 0.0;
            who.weights = ranks
                .iter()
                .map(|rank| {
                    sum += (*rank as f64).powf(-who.weight_exponent);
                    sum
                })
                .collect();
        }
        let luck = random.uniform() * who.weights.last().copied().unwrap_or(1.0);
        who.gateways[who
            .weights
            .partition_point(|sum| *sum <= luck)
            .min(who.gateways.len() - 1)]
    }

    /// A client asks for the first time: what one gateway that saw all would let in is offered.
    pub fn record_offered(&mut self, customer: usize, now: Millis, worth: f64) {
        let who = &mut self.customers[customer];
        let plan = &self.plans[who.plan];
        let inside = who.ideal_quota.refill(now, plan.rate, plan.burst) >= 1.0;
        who.ideal_quota.units -= if inside { 1.0 } else { 0.0 };
        self.account.offered +=
            worth * plan.weight_factor * if inside { 1.0 } else { plan.over_quota_weight };
    }

    /// A try is sent on for the first time: whether it is within its quota.
    pub fn record_forwarded(&mut self, customer: usize, now: Millis, worth: f64) -> bool {
        let who = &mut self.customers[customer];
        let plan = &self.plans[who.plan];
        let open = plan.max_concurrency == 0 || who.attempts_in_flight < plan.max_concurrency;
        let inside = open && who.quota.refill(now, plan.rate, plan.burst) >= 1.0;
        if inside {
            who.quota.units -= 1.0;
        } else {
            self.account.over_quota_cost += plan.over_quota_cost * plan.weight_factor * worth;
        }
        self.account.units_sent[usize::from(!inside)] += 1.0;
        if let Some(ceiling) = plan.ceiling {
            let left = who.ceiling.refill(now, ceiling.rate, ceiling.burst) - 1.0;
            who.ceiling.units = left;
            let left = (left + ceiling.slack) / ceiling.slack;
            self.account.min_ceiling_margin = self.account.min_ceiling_margin.min(left);
        }
        let period = (now / METER_PERIOD) as u64;
        match who.units_by_period.back_mut() {
            Some((last, units)) if *last == period => *units += 1.0,
            _ => who.units_by_period.push_back((period, 1.0)),
        }
        while who.units_by_period.len() > 40 {
            who.units_by_period.pop_front();
        }
        inside
    }

    /// A try is refused.
    pub fn record_rejected(&mut self, customer: usize, now: Millis, why: String) {
        let who = &mut self.customers[customer];
        let plan = &self.plans[who.plan];
        let room = who.quota.refill(now, plan.rate, plan.burst) >= plan.burst / 2.0;
        self.account.rejected_within_quota += u64::from(room);
        *self.account.rejections_by_reason.entry(why).or_default() += 1;
    }

    /// A request of a customer is served in time, by a try within its quota or beyond it.
    pub fn record_served(&mut self, customer: usize, worth: f64, inside: bool) {
        let plan = &self.plans[self.customers[customer].plan];
        if inside {
            self.account.served += worth * plan.weight_factor;
        } else {
            self.account.served_over_quota += worth * plan.weight_factor * plan.over_quota_weight;
        }
    }

    /// What an answer tells of a customer's use.
    pub fn reported_usage(
        &self,
        customer: usize,
        now: Millis,
        random: &mut RandomSource,
    ) -> Option<f64> {
        let who = &self.customers[customer];
        let (least, most) = self.spec.meter_delay;
        let period =
            ((now - least - (most - least) * random.uniform()) / METER_PERIOD).floor() - 1.0;
        if period < 0.0 || self.spec.meter == Meter::Silent {
            return None;
        }
        let units = who
            .units_by_period
            .iter()
            .find(|(at, _)| *at == period as u64)
            .map_or(0.0, |(_, units)| *units);
        let told = units / (self.plans[who.plan].rate * METER_PERIOD / 1000.0);
        Some(match self.spec.meter {
            Meter::Nonsense => [f64::NAN, -told, 1000.0 * told][random.below(3)],
            _ => told,
        })
    }

    /// How often a client tries again, and the mean wait.
    pub fn retry_policy(&self) -> (u32, Millis) {
        self.spec.retries
    }
}
