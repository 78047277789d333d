//! Parameters of a client population: distribution over the plans, traffic patterns, the usage meter, and retries.

use crate::RandomSource;
use cometspool::Millis;

/// Parameters from which the customers of a run are drawn, and of the usage meter that reports their usage.
#[derive(Clone, Debug)]
pub struct ClientPopulationSpec {
    /// Mean rate at which all customers together request within their quotas, units per second.
    pub units_per_second: f64,
    /// Share of [`Self::units_per_second`] that each plan's customers request, by the plan's index.
    pub plan_shares: Vec<f64>,
    /// Fraction of the gateways over which a customer's requests are spread. A ceiling of the plan can reduce the
    /// number of gateways further.
    pub gateway_fraction: Interval,
    /// Exponent of the Zipf weights with which a customer's requests are spread over its gateways.
    pub weight_exponent: Interval,
    /// Time after which a customer's Zipf weights are drawn again, ms.
    pub weight_lifetime: Interval,
    /// Distribution of the customers over the usage patterns.
    pub usage_shares: UsageShares,
    /// Flood of requests by one customer; `None` for no flood.
    pub flood: Option<Flood>,
    /// Delay of the figures that the usage meter reports, ms.
    pub meter_delay: Interval,
    /// Behavior of the usage meter.
    pub meter: Meter,
    /// How clients retry.
    pub retries: RetryBehavior,
}

/// An interval from which values are drawn uniformly.
#[derive(Clone, Copy, Debug)]
pub struct Interval {
    /// Lower bound.
    pub least: f64,
    /// Upper bound.
    pub most: f64,
}

impl Interval {
    /// Draws a value from the interval.
    pub(super) fn draw(self, random: &mut RandomSource) -> f64 {
        self.least + (self.most - self.least) * random.uniform()
    }
}

/// Fractions of the customers with each usage pattern. The remaining customers stay well below their quotas.
#[derive(Clone, Copy, Debug)]
pub struct UsageShares {
    /// Customers that constantly use nearly all of their quota.
    pub near_limit: f64,
    /// Customers that constantly request more than their quota.
    pub over_limit: f64,
    /// Customers that request more than their quota in bursts.
    pub bursty: f64,
}

/// A flood: additional requests by one customer during an interval.
#[derive(Clone, Copy, Debug)]
pub struct Flood {
    /// Index of the plan whose first customer sends the flood.
    pub plan: usize,
    /// Rate of the additional requests, as a fraction of [`ClientPopulationSpec::units_per_second`].
    pub share: f64,
    /// Simulated time at which the flood begins, ms.
    pub from: Millis,
    /// Simulated time at which the flood ends, ms.
    pub until: Millis,
}

/// How clients retry rejected requests.
#[derive(Clone, Copy, Debug)]
pub struct RetryBehavior {
    /// Maximum number of retries of one request.
    pub max_retries: u32,
    /// Mean backoff before the first retry of a request rejected without Retry-After, ms. The backoff doubles with each
    /// retry.
    pub mean_wait: Millis,
}

/// Behavior of the usage meter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Meter {
    /// Reports the true usage.
    Accurate,
    /// Reports nothing.
    Silent,
    /// Reports at random NaN, the negated usage, or a thousand times the usage.
    Nonsense,
}
