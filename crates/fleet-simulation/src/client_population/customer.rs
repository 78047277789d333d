//! Model of one customer: its usage pattern, the gateways that it sends requests to, and the true state of its quota.

use super::spec::{ClientPopulationSpec, Interval, UsageShares};
use crate::RandomSource;
use cometspool::{Millis, Plan};
use std::collections::VecDeque;

/// Length of a meter period, the interval over which the usage meter sums the usage of a customer, ms.
pub const METER_PERIOD: Millis = 500.0;

/// Maximum number of meter periods that are retained for each customer.
const MAX_METERED_PERIODS: usize = 40;

/// Usage of a customer that stays near its limit, as a fraction of its quota's rate.
const NEAR_LIMIT_USAGE: f64 = 0.95;
/// Usage of a customer that constantly requests more than its quota, as a fraction of its quota's rate.
const OVER_LIMIT_USAGE: Interval = Interval {
    least: 1.6,
    most: 3.8,
};
/// Usage of all other customers, and of bursty customers between bursts, as a fraction of the quota's rate.
const CALM_USAGE: Interval = Interval {
    least: 0.15,
    most: 0.5,
};
/// Usage during a burst, as a fraction of the quota's rate.
const BURST_USAGE: Interval = Interval {
    least: 2.0,
    most: 6.5,
};
/// Time from the start of one burst to the start of the next, ms.
const BURST_INTERVAL: Interval = Interval {
    least: 10e3,
    most: 25e3,
};
/// Duration of a burst, ms.
const BURST_DURATION: Interval = Interval {
    least: 770.0,
    most: 3300.0,
};

/// The true state of a token bucket, from which the requests of all gateways are taken. No single gateway knows this
/// state, so the bucket may be overdrawn.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuotaBucket {
    /// Units left; negative if the bucket is overdrawn.
    pub(super) units: f64,
    /// Simulated time of the last refill, ms.
    refilled_at: Millis,
}

impl QuotaBucket {
    fn full(units: f64) -> QuotaBucket {
        QuotaBucket {
            units,
            refilled_at: 0.0,
        }
    }

    /// Adds the units accrued since the last refill at `rate` units per second, up to `burst`, and returns the units
    /// left.
    pub(super) fn refill(&mut self, now: Millis, rate: f64, burst: f64) -> f64 {
        self.units = (self.units + rate * (now - self.refilled_at) / 1000.0).min(burst);
        self.refilled_at = now;
        self.units
    }
}

/// How a customer's usage changes over time. Usages are fractions of the quota's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
enum UsagePattern {
    /// Constant usage.
    Steady { usage: f64 },
    /// Bursts at a fixed interval.
    Bursty {
        calm_usage: f64,
        burst_usage: f64,
        /// Time from the start of one burst to the start of the next, ms.
        interval: Millis,
        /// Duration of a burst, ms.
        duration: Millis,
    },
}

impl UsagePattern {
    /// Draws the usage pattern of a customer.
    fn draw(shares: UsageShares, random: &mut RandomSource) -> UsagePattern {
        let point = random.uniform();
        let calm_usage = CALM_USAGE.draw(random);
        if point < shares.near_limit {
            return UsagePattern::Steady {
                usage: NEAR_LIMIT_USAGE,
            };
        }
        if point < shares.near_limit + shares.over_limit {
            return UsagePattern::Steady {
                usage: OVER_LIMIT_USAGE.draw(random),
            };
        }
        if point < shares.near_limit + shares.over_limit + shares.bursty {
            let interval = BURST_INTERVAL.draw(random);
            let duration = BURST_DURATION.draw(random);
            return UsagePattern::Bursty {
                calm_usage,
                burst_usage: BURST_USAGE.draw(random),
                interval,
                duration,
            };
        }
        UsagePattern::Steady { usage: calm_usage }
    }

    /// Returns the part of the usage that is within the quota, as a fraction of the quota's rate; bursts are not
    /// included.
    fn usage_within_quota(self) -> f64 {
        match self {
            UsagePattern::Steady { usage } => usage.min(1.0),
            UsagePattern::Bursty { calm_usage, .. } => calm_usage,
        }
    }

    /// Returns the usage of a customer at the time `now`. The customer's index shifts the phase of its bursts, which
    /// spreads the bursts of different customers over time.
    fn current_usage(self, now: Millis, customer: usize) -> CurrentUsage {
        match self {
            UsagePattern::Steady { usage } => CurrentUsage {
                usage,
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
                CurrentUsage {
                    usage,
                    valid_until: now + (end - phase).max(1.0),
                }
            }
        }
    }
}

/// A usage that changes at a known time.
struct CurrentUsage {
    /// Usage as a fraction of the quota's rate.
    usage: f64,
    /// When it changes, ms.
    valid_until: Millis,
}

/// A rate that changes at a known time.
pub(super) struct CurrentRate {
    pub(super) units_per_second: f64,
    /// When it changes, ms.
    pub(super) valid_until: Millis,
}

/// A flood of additional requests by one customer.
pub(super) struct CustomerFlood {
    /// Rate in addition to the usage pattern, units per second.
    pub(super) units_per_second: f64,
    /// Simulated time at which the flood begins, ms.
    pub(super) from: Millis,
    /// Simulated time at which the flood ends, ms.
    pub(super) until: Millis,
}

/// Units forwarded in one meter period.
struct MeteredPeriod {
    /// Number of the period since the start of the run.
    number: u64,
    units: f64,
}

/// A customer and the true state of its quota.
pub struct Customer {
    /// Index of the customer's plan.
    pub plan: usize,
    /// Indices of the gateways that the customer sends requests to.
    pub gateways: Vec<usize>,
    usage_pattern: UsagePattern,
    /// Flood in addition to the usage pattern; `None` for all customers but one.
    pub(super) flood: Option<CustomerFlood>,
    /// Cumulative Zipf weights of `gateways`, in the same order; empty before the first request.
    cumulative_weights: Vec<f64>,
    /// Simulated time at which the weights are drawn again, ms.
    weights_valid_until: Millis,
    /// Exponent of the Zipf weights.
    weight_exponent: f64,
    /// Quota, from which each forwarded request takes one unit if it is within the quota.
    pub(super) quota: QuotaBucket,
    /// State that the quota would have if a single gateway saw all requests of the customer.
    pub(super) ideal_quota: QuotaBucket,
    /// Ceiling, from which every forwarded request takes one unit.
    pub(super) ceiling: QuotaBucket,
    /// Number of attempts in flight, over all gateways.
    pub attempts_in_flight: u32,
    /// Units forwarded, by meter period, oldest first; at most [`MAX_METERED_PERIODS`].
    metered_periods: VecDeque<MeteredPeriod>,
}

impl Customer {
    /// Draws a customer of the plan with index `plan`, in a fleet of `gateway_count` gateways.
    pub(super) fn draw(
        spec: &ClientPopulationSpec,
        plan: usize,
        plans: &[Plan],
        gateway_count: usize,
        random: &mut RandomSource,
    ) -> Customer {
        let settings = &plans[plan];
        let usage_pattern = UsagePattern::draw(spec.usage_shares, random);
        let ceiling_burst = settings.ceiling.map(|ceiling| ceiling.burst);
        let drawn_count = spec.gateway_fraction.draw(random) * gateway_count as f64;
        // A ceiling is divided among the customer's gateways, and each gateway must get at least two units of the
        // burst.
        let count_limit = ceiling_burst.map_or(f64::INFINITY, |burst| burst / 2.0);
        let wanted_count = drawn_count.min(count_limit).max(2.0) as usize;
        let count = wanted_count.min(gateway_count);
        let first_gateway = random.below(gateway_count);
        Customer {
            plan,
            gateways: (0..count)
                .map(|offset| (first_gateway + offset) % gateway_count)
                .collect(),
            usage_pattern,
            flood: None,
            cumulative_weights: Vec::new(),
            weights_valid_until: 0.0,
            weight_exponent: spec.weight_exponent.draw(random),
            quota: QuotaBucket::full(settings.burst),
            ideal_quota: QuotaBucket::full(settings.burst),
            ceiling: QuotaBucket::full(ceiling_burst.unwrap_or(0.0)),
            attempts_in_flight: 0,
            metered_periods: VecDeque::new(),
        }
    }

    /// Returns the part of the customer's usage that is within its quota, as a fraction of the quota's rate.
    pub(super) fn usage_within_quota(&self) -> f64 {
        self.usage_pattern.usage_within_quota()
    }

    /// Returns the rate of the customer's requests at the time `now`. `index` is the customer's own index, `quota_rate`
    /// the rate of its plan in units per second.
    pub(super) fn current_rate(&self, now: Millis, index: usize, quota_rate: f64) -> CurrentRate {
        let current_usage = self.usage_pattern.current_usage(now, index);
        let mut current = CurrentRate {
            units_per_second: current_usage.usage * quota_rate,
            valid_until: current_usage.valid_until,
        };
        let Some(flood) = &self.flood else {
            return current;
        };
        if now < flood.from {
            current.valid_until = current.valid_until.min(flood.from);
        } else if now < flood.until {
            current.units_per_second += flood.units_per_second;
            current.valid_until = current.valid_until.min(flood.until);
        }
        current
    }

    /// Draws the gateway that the next request is sent to. `lifetime` is the time after which the weights are drawn
    /// again, ms.
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
        let total = self.cumulative_weights.last().copied().unwrap_or(1.0);
        let point = random.uniform() * total;
        let index = self
            .cumulative_weights
            .partition_point(|cumulative| *cumulative <= point);
        self.gateways[index.min(self.gateways.len() - 1)]
    }

    /// Assigns Zipf weights to the customer's gateways in a random order.
    fn draw_weights(&mut self, random: &mut RandomSource) {
        let mut ranks: Vec<usize> = (1..=self.gateways.len()).collect();
        for i in (1..ranks.len()).rev() {
            ranks.swap(i, random.below(i + 1));
        }
        let mut cumulative = 0.0;
        self.cumulative_weights.clear();
        for rank in ranks {
            cumulative += (rank as f64).powf(-self.weight_exponent);
            self.cumulative_weights.push(cumulative);
        }
    }

    /// Counts a forwarded unit in the usage meter.
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

    /// Returns the units forwarded in the meter period with this number; 0 if the period is not retained.
    pub(super) fn metered_units(&self, number: u64) -> f64 {
        self.metered_periods
            .iter()
            .find(|period| period.number == number)
            .map_or(0.0, |period| period.units)
    }
}
