//! Customers with quotas, as the operators describe them, and what holds them to account: each one's true store of units,
//! the ceiling's store, and the meter, which is late. Whatever front doors decide is judged by these.

use crate::Chance;
use cometspool::*;
use std::collections::{BTreeMap, VecDeque};

/// Customers that a day has, and how their meter tells.
#[derive(Clone, Debug)]
pub struct CrowdSpec {
    /// Units a second that all ask within their quotas, on average.
    pub rate: f64,
    /// Each plan's share of that.
    pub shares: Vec<f64>,
    /// Part of the front doors that a customer's requests come through, from least to most; a ceiling bounds it further.
    pub spread: (f64, f64),
    /// Exponent of the weights of a customer's doors, from least to most.
    pub skew: (f64, f64),
    /// Time for which these weights stay, from least to most.
    pub shift: (Millis, Millis),
    /// Shares of the customers that use nearly all, that ask for more all day, and that do so in spikes.
    pub kinds: (f64, f64, f64),
    /// Plan, part of all traffic, begin and end of a flood by one customer on top.
    pub flood: Option<(usize, f64, Millis, Millis)>,
    /// How late the meter's figures are, from least to most.
    pub late: (Millis, Millis),
    /// What becomes of them.
    pub meter: Meter,
    /// Further tries of a client, and the mean wait before one where it is told none.
    pub again: (u32, Millis),
}

/// What a meter tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Meter {
    /// The use.
    True,
    /// Nothing.
    Silent,
    /// Now nothing that is a number, now what is below nought, now a thousand times the use.
    Absurd,
}

/// Store of units as the platform counts it.
#[derive(Clone, Copy, Debug)]
struct Store {
    units: f64,
    at: Millis,
}

impl Store {
    fn fill(&mut self, now: Millis, rate: f64, most: f64) -> f64 {
        self.units = (self.units + rate * (now - self.at) / 1000.0).min(most);
        self.at = now;
        self.units
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Steady(f64),
    /// Usual use, that in a spike, and when the spikes begin and how long they last.
    Spiky(f64, f64, Millis, Millis),
}

/// A customer.
pub struct Customer {
    /// Its plan.
    pub plan: usize,
    /// Its doors.
    pub doors: Vec<usize>,
    kind: Kind,
    flood: Option<(f64, Millis, Millis)>,
    /// Running sums of its doors' weights, and until when these hold.
    weights: Vec<f64>,
    until: Millis,
    skew: f64,
    store: Store,
    /// What one gateway that saw all first tries would have left.
    ideal: Store,
    ceiling: Store,
    /// Attempts out.
    pub out: u32,
    /// Units sent on, by the meter's periods: number of the period and units.
    sent: VecDeque<(u64, f64)>,
}

/// Period of the meter.
pub const PERIOD: Millis = 500.0;

/// All customers, and what came of their tries.
pub struct Crowd {
    spec: CrowdSpec,
    plans: Vec<Plan>,
    /// The customers.
    pub all: Vec<Customer>,
    /// The account.
    pub ledger: Ledger,
}

/// What came of all tries, in worth and in tries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    /// Worth that one gateway that saw all first tries would let in, and what the rest would earn.
    pub offered: f64,
    /// Worth served in time within the quotas, and what was earned beyond.
    pub served: f64,
    /// Earned beyond.
    pub beyond: f64,
    /// Price of what was sent on beyond.
    pub price: f64,
    /// Units sent on within and beyond the quotas.
    pub sent: [f64; 2],
    /// Tries in all, and of those refused such as had half of their quota or more unused.
    pub tries: u64,
    /// Refused with room.
    pub with_room: u64,
    /// Tries refused, by reason; a state of the module that tells none has them all under one.
    pub why: BTreeMap<String, u64>,
    /// Least that was left of a ceiling's store and its slack, as a part of the slack; below nought the rule is broken.
    pub ceiling_left: f64,
}

impl Ledger {
    /// Served less prices, of what was offered.
    pub fn net(&self) -> f64 {
        (self.served + self.beyond - self.price) / self.offered.max(1e-9)
    }
}

impl Crowd {
    /// The customers of a day with these plans and so many front doors.
    pub fn new(spec: CrowdSpec, plans: &[Plan], doors: usize, chance: &mut Chance) -> Crowd {
        let between =
            |chance: &mut Chance, (least, most): (f64, f64)| least + (most - least) * chance.even();
        let mut all = Vec::new();
        for (plan, share) in spec.shares.iter().enumerate() {
            let told = &plans[plan];
            let mut asked = 0.0;
            while asked < share * spec.rate {
                let luck = chance.even();
                let (full, heavy, spiky) = spec.kinds;
                let calm = between(chance, (0.15, 0.5));
                let kind = if luck < full {
                    Kind::Steady(0.95)
                } else if luck < full + heavy {
                    Kind::Steady(between(chance, (1.6, 3.8)))
                } else if luck < full + heavy + spiky {
                    let (every, lasts) = (
                        between(chance, (10e3, 25e3)),
                        between(chance, (770.0, 3300.0)),
                    );
                    Kind::Spiky(calm, between(chance, (2.0, 6.5)), every, lasts)
                } else {
                    Kind::Steady(calm)
                };
                let use_of_quota = match kind {
                    Kind::Steady(x) => x.min(1.0),
                    Kind::Spiky(x, ..) => x,
                };
                asked += use_of_quota * told.rate;
                let most = told
                    .ceiling
                    .map_or(f64::INFINITY, |ceiling| ceiling.burst / 2.0);
                let wide = (between(chance, spec.spread) * doors as f64)
                    .min(most)
                    .max(2.0) as usize;
                let (first, wide) = (chance.below(doors), wide.min(doors));
                let full = |units| Store { units, at: 0.0 };
                all.push(Customer {
                    plan,
                    doors: (0..wide).map(|step| (first + step) % doors).collect(),
                    kind,
                    flood: None,
                    weights: Vec::new(),
                    until: 0.0,
                    skew: between(chance, spec.skew),
                    store: full(told.burst),
                    ideal: full(told.burst),
                    ceiling: full(told.ceiling.map_or(0.0, |ceiling| ceiling.burst)),
                    out: 0,
                    sent: VecDeque::new(),
                });
            }
        }
        if let Some((plan, part, from, to)) = spec.flood {
            if let Some(customer) = all.iter_mut().find(|customer| customer.plan == plan) {
                customer.flood = Some((part * spec.rate, from, to));
            }
        }
        let ledger = Ledger {
            ceiling_left: f64::INFINITY,
            ..Ledger::default()
        };
        Crowd {
            spec,
            plans: plans.to_vec(),
            all,
            ledger,
        }
    }

    /// When a customer asks next, or when its rate is to be looked at again, and whether it asks then.
    pub fn next(&self, customer: usize, now: Millis, chance: &mut Chance) -> (Millis, bool) {
        let who = &self.all[customer];
        let rate = self.plans[who.plan].rate;
        let (mut rate, mut until) = match who.kind {
            Kind::Steady(x) => (x * rate, f64::INFINITY),
            Kind::Spiky(x, spike, every, lasts) => {
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
        let at = now + chance.exponential(1000.0 / rate);
        if at < until {
            (at, true)
        } else {
            (until, false)
        }
    }

    /// The door that a try of a customer comes to.
    pub fn door(&mut self, customer: usize, now: Millis, chance: &mut Chance) -> usize {
        let shift = self.spec.shift;
        let who = &mut self.all[customer];
        if now >= who.until {
            who.until = now + shift.0 + (shift.1 - shift.0) * chance.even();
            let mut ranks: Vec<usize> = (1..=who.doors.len()).collect();
            (1..ranks.len())
                .rev()
                .for_each(|i| ranks.swap(i, chance.below(i + 1)));
            let mut sum = 0.0;
            who.weights = ranks
                .iter()
                .map(|rank| {
                    sum += (*rank as f64).powf(-who.skew);
                    sum
                })
                .collect();
        }
        let luck = chance.even() * who.weights.last().copied().unwrap_or(1.0);
        who.doors[who
            .weights
            .partition_point(|sum| *sum <= luck)
            .min(who.doors.len() - 1)]
    }

    /// A client asks for the first time: what one gateway that saw all would let in is offered.
    pub fn asked(&mut self, customer: usize, now: Millis, worth: f64) {
        let who = &mut self.all[customer];
        let plan = &self.plans[who.plan];
        let inside = who.ideal.fill(now, plan.rate, plan.burst) >= 1.0;
        who.ideal.units -= if inside { 1.0 } else { 0.0 };
        self.ledger.offered +=
            worth * plan.weight_factor * if inside { 1.0 } else { plan.over_quota_weight };
    }

    /// A try is sent on for the first time: whether it is within its quota.
    pub fn sent_on(&mut self, customer: usize, now: Millis, worth: f64) -> bool {
        let who = &mut self.all[customer];
        let plan = &self.plans[who.plan];
        let open = plan.max_concurrency == 0 || who.out < plan.max_concurrency;
        let inside = open && who.store.fill(now, plan.rate, plan.burst) >= 1.0;
        if inside {
            who.store.units -= 1.0;
        } else {
            self.ledger.price += plan.over_quota_cost * plan.weight_factor * worth;
        }
        self.ledger.sent[usize::from(!inside)] += 1.0;
        if let Some(ceiling) = plan.ceiling {
            let left = who.ceiling.fill(now, ceiling.rate, ceiling.burst) - 1.0;
            who.ceiling.units = left;
            let left = (left + ceiling.slack) / ceiling.slack;
            self.ledger.ceiling_left = self.ledger.ceiling_left.min(left);
        }
        let period = (now / PERIOD) as u64;
        match who.sent.back_mut() {
            Some((last, units)) if *last == period => *units += 1.0,
            _ => who.sent.push_back((period, 1.0)),
        }
        while who.sent.len() > 40 {
            who.sent.pop_front();
        }
        inside
    }

    /// A try is refused.
    pub fn refused(&mut self, customer: usize, now: Millis, why: String) {
        let who = &mut self.all[customer];
        let plan = &self.plans[who.plan];
        let room = who.store.fill(now, plan.rate, plan.burst) >= plan.burst / 2.0;
        self.ledger.with_room += u64::from(room);
        *self.ledger.why.entry(why).or_default() += 1;
    }

    /// A request of a customer is served in time, by a try within its quota or beyond it.
    pub fn served(&mut self, customer: usize, worth: f64, inside: bool) {
        let plan = &self.plans[self.all[customer].plan];
        if inside {
            self.ledger.served += worth * plan.weight_factor;
        } else {
            self.ledger.beyond += worth * plan.weight_factor * plan.over_quota_weight;
        }
    }

    /// What an answer tells of a customer's use.
    pub fn use_told(&self, customer: usize, now: Millis, chance: &mut Chance) -> Option<f64> {
        let who = &self.all[customer];
        let (least, most) = self.spec.late;
        let period = ((now - least - (most - least) * chance.even()) / PERIOD).floor() - 1.0;
        if period < 0.0 || self.spec.meter == Meter::Silent {
            return None;
        }
        let units = who
            .sent
            .iter()
            .find(|(at, _)| *at == period as u64)
            .map_or(0.0, |(_, units)| *units);
        let told = units / (self.plans[who.plan].rate * PERIOD / 1000.0);
        Some(match self.spec.meter {
            Meter::Absurd => [f64::NAN, -told, 1000.0 * told][chance.below(3)],
            _ => told,
        })
    }

    /// How often a client tries again, and the mean wait.
    pub fn again(&self) -> (u32, Millis) {
        self.spec.again
    }
}
