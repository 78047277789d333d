//! The parameters of a client population: plans in use, traffic patterns, the usage meter, and retries.

use crate::RandomSource;
use cometspool::Millis;

/// The customers of a run, and how the usage meter reports on them.
#[derive(Clone, Debug)]
pub struct ClientPopulationSpec {
    /// Units a second that all customers request within their quotas, on average.
    pub units_per_second: f64,
    /// Each plan's share of that, by the plan's index.
    pub plan_shares: Vec<f64>,
    /// Fraction of the gateways that a customer's requests come through; a ceiling limits it further.
    pub gateway_fraction: Interval,
    /// Exponent of the Zipf weights by which a customer's requests are spread over its gateways.
    pub weight_exponent: Interval,
    /// How long these weights are valid before they are drawn again, ms.
    pub weight_lifetime: Interval,
    /// Fractions of the customers by how they use their quotas.
    pub usage_shares: UsageShares,
    /// A flood by one customer on top of the rest.
    pub flood: Option<Flood>,
    /// Delay of the meter's figures, ms.
    pub meter_delay: Interval,
    /// What the meter reports.
    pub meter: Meter,
    /// How clients retry.
    pub retries: RetryBehavior,
}

/// A closed interval that figures are drawn from uniformly.
#[derive(Clone, Copy, Debug)]
pub struct Interval {
    /// The lower end.
    pub least: f64,
    /// The upper end.
    pub most: f64,
}

impl Interval {
    /// Draws a figure from the interval.
    pub(super) fn draw(self, random: &mut RandomSource) -> f64 {
        self.least + (self.most - self.least) * random.uniform()
    }
}

/// Fractions of the customers by how they use their quotas; the rest stay well below them.
#[derive(Clone, Copy, Debug)]
pub struct UsageShares {
    /// Those that use nearly all of it.
    pub near_limit: f64,
    /// Those that request more than it all the time.
    pub over_limit: f64,
    /// Those that request more than it in bursts.
    pub bursty: f64,
}

/// A flood of requests by one customer on top of its usual ones.
#[derive(Clone, Copy, Debug)]
pub struct Flood {
    /// Index of the plan whose first customer floods.
    pub plan: usize,
    /// Its rate, as a fraction of [`ClientPopulationSpec::units_per_second`].
    pub share: f64,
    /// When it begins, ms.
    pub from: Millis,
    /// When it ends, ms.
    pub until: Millis,
}

/// How clients retry rejected requests.
#[derive(Clone, Copy, Debug)]
pub struct RetryBehavior {
    /// Most retries of one request.
    pub max_retries: u32,
    /// Backoff before the first retry where there is no Retry-After, ms; it doubles with each retry.
    pub mean_wait: Millis,
}

/// What the usage meter reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Meter {
    /// The true usage.
    Accurate,
    /// Nothing.
    Silent,
    /// At random NaN, the usage negated, or a thousand times the usage.
    Nonsense,
}
