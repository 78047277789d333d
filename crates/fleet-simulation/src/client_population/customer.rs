//! One customer: how it uses its quota, through which gateways its requests come, and its true quota.

use super::spec::{ClientPopulationSpec, Interval};
use crate::RandomSource;
use cometspool::{Millis, Plan};
use std::collections::VecDeque;

/// Time that one figure of the use meter covers, in milliseconds.
pub const METER_PERIOD: Millis = 500.0;

/// Meter periods that are kept of each customer.
const MAX_METERED_PERIODS: usize = 40;

/// Use of a quota by a customer that stays near its limit, as a fraction of the quota.
const NEAR_LIMIT_USE: f64 = 0.95;
/// Use by one that asks for more than its quota all the time.
const OVER_LIMIT_USE: Interval = Interval {
    least: 1.6,
    most: 3.8,
};
/// Use by all others, and between bursts.
const CALM_USE: Interval = Interval {
    least: 0.15,
    most: 0.5,
};
/// Use during a burst.
const BURST_USE: Interval = Interval {
    least: 2.0,
    most: 6.5,
};
/// Time from the start of one burst to that of the next, in milliseconds.
const BURST_INTERVAL: Interval = Interval {
    least: 10e3,
    most: 25e3,
};
/// How long a burst lasts, in milliseconds.
const BURST_DURATION: Interval = Interval {
    least: 770.0,
    most: 3300.0,
};

/// A token bucket as the platform counts it, which may be overdrawn.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuotaBucket {
    pub(super) units: f64,
    refilled_at: Millis,
}

impl QuotaBucket {
    fn full(units: f64) -> QuotaBucket {
        QuotaBucket {
            units,
            refilled_at: 0.0,
        }
    }

    /// Adds what has accrued since the last refill and returns the units there are.
    pub(super) fn refill(&mut self, now: Millis, rate: f64, burst: f64) -> f64 {
        self.units = (self.units + rate * (now - self.refilled_at) / 1000.0).min(burst);
        self.refilled_at = now;
        self.units
    }
}

/// How a customer uses its quota; uses are fractions of the quota's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
enum UsagePattern {
    Steady {
        usage: f64,
    },
    Bursty {
        calm_usage: f64,
        burst_usage: f64,
        interval: Millis,
        duration: Millis,
    },
}

impl UsagePattern {
    fn draw(spec: &ClientPopulationSpec, random: &mut RandomSource) -> UsagePattern {
        let kind = random.uniform();
        let shares = spec.usage_shares;
        let calm_usage = CALM_USE.draw(random);
        if kind < shares.near_limit {
            return UsagePattern::Steady {
                usage: NEAR_LIMIT_USE,
            };
        }
        if kind < shares.near_limit + shares.over_limit {
            return UsagePattern::Steady {
                usage: OVER_LIMIT_USE.draw(random),
            };
        }
        if kind < shares.near_limit + shares.over_limit + shares.bursty {
            let interval = BURST_INTERVAL.draw(random);
            let duration = BURST_DURATION.draw(random);
            return UsagePattern::Bursty {
                calm_usage,
                burst_usage: BURST_USE.draw(random),
                interval,
                duration,
            };
        }
        UsagePattern::Steady { usage: calm_usage }
    }

    /// The use that stays within the quota, bursts aside.
    fn usage_within_quota(self) -> f64 {
        match self {
            UsagePattern::Steady { usage } => usage.min(1.0),
            UsagePattern::Bursty { calm_usage, .. } => calm_usage,
        }
    }

    /// The use now, and the time until which it stays.
    fn at(self, now: Millis, customer: usize) -> CurrentRate {
        match self {
            UsagePattern::Steady { usage } => CurrentRate {
                rate: usage,
                valid_until: f64::INFINITY,
            },
            UsagePattern::Bursty {
                calm_usage,
                burst_usage,
                interval,
                duration,
            } => {
                let phase = (now + interval * (customer % 7) as f64 / 7.0) % interval;
                let in_burst = phase < duration;
                let usage = if in_burst { burst_usage } else { calm_usage };
                let end = if in_burst { duration } else { interval };
                CurrentRate {
                    rate: usage,
                    valid_until: now + (end - phase).max(1.0),
                }
            }
        }
    }
}

/// A rate and the time until which it stays.
pub(super) struct CurrentRate {
    pub(super) rate: f64,
    pub(super) valid_until: Millis,
}

/// A flood by one customer.
pub(super) struct CustomerFlood {
    /// Units a second on top of its usual use.
    pub(super) units_per_second: f64,
    pub(super) from: Millis,
    pub(super) until: Millis,
}

/// Units forwarded in one meter period.
struct MeteredPeriod {
    number: u64,
    units: f64,
}

/// A customer.
pub struct Customer {
    /// Index of its plan.
    pub plan: usize,
    /// The gateways that its requests come through.
    pub gateways: Vec<usize>,
    usage_pattern: UsagePattern,
    pub(super) flood: Option<CustomerFlood>,
    /// Running sums of the weights of its gateways.
    weights: Vec<f64>,
    weights_valid_until: Millis,
    weight_exponent: f64,
    /// What is left of its quota.
    pub(super) quota: QuotaBucket,
    /// What would be left of it if a single gateway saw all first attempts.
    pub(super) ideal_quota: QuotaBucket,
    /// What is left below its ceiling.
    pub(super) ceiling: QuotaBucket,
    /// Attempts in flight.
    pub attempts_in_flight: u32,
    /// Units forwarded, by meter period; at most [`MAX_METERED_PERIODS`].
    metered_periods: VecDeque<MeteredPeriod>,
}

impl Customer {
    /// Draws a customer of a plan, one of those that `gateways` gateways serve.
    pub(super) fn draw(
        spec: &ClientPopulationSpec,
        plan: usize,
        plans: &[Plan],
        gateways: usize,
        random: &mut RandomSource,
    ) -> Customer {
        let settings = &plans[plan];
        let usage_pattern = UsagePattern::draw(spec, random);
        let ceiling_limit = settings
            .ceiling
            .map_or(f64::INFINITY, |ceiling| ceiling.burst / 2.0);
        let wanted = (spec.gateway_fraction.draw(random) * gateways as f64)
            .min(ceiling_limit)
            .max(2.0) as usize;
        let first = random.below(gateways);
        let count = wanted.min(gateways);
        let ceiling_burst = settings.ceiling.map_or(0.0, |ceiling| ceiling.burst);
        Customer {
            plan,
            gateways: (0..count).map(|step| (first + step) % gateways).collect(),
            usage_pattern,
            flood: None,
            weights: Vec::new(),
            weights_valid_until: 0.0,
            weight_exponent: spec.weight_exponent.draw(random),
            quota: QuotaBucket::full(settings.burst),
            ideal_quota: QuotaBucket::full(settings.burst),
            ceiling: QuotaBucket::full(ceiling_burst),
            attempts_in_flight: 0,
            metered_periods: VecDeque::new(),
        }
    }

    /// The use that stays within its quota, as a fraction of the quota's rate.
    pub(super) fn usage_within_quota(&self) -> f64 {
        self.usage_pattern.usage_within_quota()
    }

    /// Units a second that it asks for now; `index` is its own, `quota_rate` the rate of its plan.
    pub(super) fn current_rate(&self, now: Millis, index: usize, quota_rate: f64) -> CurrentRate {
        let usage = self.usage_pattern.at(now, index);
        let mut current = CurrentRate {
            rate: usage.rate * quota_rate,
            valid_until: usage.valid_until,
        };
        let Some(flood) = &self.flood else {
            return current;
        };
        if now < flood.from {
            current.valid_until = current.valid_until.min(flood.from);
        } else if now < flood.until {
            current.rate += flood.units_per_second;
            current.valid_until = current.valid_until.min(flood.until);
        }
        current
    }

    /// The gateway that its next request comes through.
    pub(super) fn choose_gateway(
        &mut self,
        now: Millis,
        lifetime: Interval,
        random: &mut RandomSource,
    ) -> usize {
        if now >= self.weights_valid_until {
            self.weights_valid_until =
                now + lifetime.least + (lifetime.most - lifetime.least) * random.uniform();
            self.draw_weights(random);
        }
        let point = random.uniform() * self.weights.last().copied().unwrap_or(1.0);
        let place = self.weights.partition_point(|sum| *sum <= point);
        self.gateways[place.min(self.gateways.len() - 1)]
    }

    /// Draws Zipf weights in a random order of the gateways.
    fn draw_weights(&mut self, random: &mut RandomSource) {
        let mut ranks: Vec<usize> = (1..=self.gateways.len()).collect();
        for i in (1..ranks.len()).rev() {
            ranks.swap(i, random.below(i + 1));
        }
        let mut sum = 0.0;
        self.weights.clear();
        for rank in ranks {
            sum += (rank as f64).powf(-self.weight_exponent);
            self.weights.push(sum);
        }
    }

    /// Counts a forwarded unit for the use meter.
    pub(super) fn meter_unit(&mut self, now: Millis) {
        let number = (now / METER_PERIOD) as u64;
        match self.metered_periods.back_mut() {
            Some(last) if last.number == number => last.units += 1.0,
            _ => self
                .metered_periods
                .push_back(MeteredPeriod { number, units: 1.0 }),
        }
        while self.metered_periods.len() > MAX_METERED_PERIODS {
            self.metered_periods.pop_front();
        }
    }

    /// Units forwarded in a meter period; none where it is not kept.
    pub(super) fn metered_units(&self, number: u64) -> f64 {
        self.metered_periods
            .iter()
            .find(|period| period.number == number)
            .map_or(0.0, |period| period.units)
    }
}
