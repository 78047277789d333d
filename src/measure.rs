//! Estimators that the policy measures with: decaying averages, ratios and quantiles of a stream, and the
//! distributions that it assumes. Nothing here decides anything.

use crate::policy_api::Millis;
use rand_core::RngCore;
use rand_pcg::Pcg32;
use std::f64::consts::LN_2;

/// A number drawn uniformly from `[0, 1)`.
pub(crate) fn uniform(rng: &mut Pcg32) -> f64 {
    f64::from(rng.next_u32()) / 4_294_967_296.0
}

/// The quantile of the standard normal distribution at `probability`, in standard deviations.
///
/// Approximated by the logistic distribution, `ln(p / (1 - p)) / 1.7`: within a tenth of the true value for `p`
/// between 0.05 and 0.95, and farther from zero beyond.
pub(crate) fn normal_quantile(probability: f64) -> f64 {
    /// Scale at which the logistic curve lies closest to the normal one.
    const LOGISTIC_SCALE: f64 = 1.7;
    (probability / (1.0 - probability)).ln() / LOGISTIC_SCALE
}

/// The share of a stream that passes through the place of one of its items, as it is at least with `probability`,
/// where the `places` have shares by Zipf's law: the n-th largest has an n-th of the largest.
///
/// With `H ≈ ln(places) + γ` the share is `1 / (H · places^probability)`, since the logarithm of the rank of an
/// item's place is about uniform between 0 and `ln(places)`: the probability is right to a tenth from a third on.
pub(crate) fn zipf_share(places: f64, probability: f64) -> f64 {
    /// The Euler–Mascheroni constant γ.
    const EULER_GAMMA: f64 = 0.577_215_664_901_532_9;
    1.0 / ((places.ln() + EULER_GAMMA) * places.powf(probability))
}

/// The continuous exponentially weighted moving average of the design, for irregular arrivals.
///
/// It keeps an impulse `N` and its time `T`. With `λ = ln 2 / halflife`, an arrival of `n` units at `now` sets
/// `N = n + N·e^(λ(T − now))` and `T = now`. A decay rate `λ` is in 1/ms.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cewma {
    impulse: f64,
    updated_at: Millis,
}

impl Cewma {
    /// Records an arrival of `units` at `now`: `N = units + N·e^(λ(T − now))`, `T = now`.
    pub fn record(&mut self, now: Millis, units: f64, lambda: f64) {
        self.impulse = units + self.impulse * (lambda * (self.updated_at - now)).exp();
        self.updated_at = now;
    }

    /// The units recorded, decayed until `now`: `N·e^(λ(T − now))`.
    pub fn decayed(&self, now: Millis, lambda: f64) -> f64 {
        self.impulse * (lambda * (self.updated_at - now)).exp()
    }

    /// The recent average rate in units a second: `1000·λ·N·e^(λ(T − now))`.
    pub fn rate(&self, now: Millis, lambda: f64) -> f64 {
        1000.0 * lambda * self.decayed(now, lambda)
    }
}

/// A score between 0 and 1 that decays toward 0 with a halflife that the caller keeps.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingScore {
    value: f64,
    updated_at: Millis,
}

impl DecayingScore {
    /// The score at `now`: `value · 2^(−(now − updated_at) / halflife)`; it does not decay where the halflife is
    /// infinite.
    pub(crate) fn decayed(&self, now: Millis, halflife: Millis) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        self.value * (-(now - self.updated_at) / halflife * LN_2).exp()
    }

    /// Moves the decayed score by the fraction `step` of its distance to `target`.
    pub(crate) fn move_toward(&mut self, now: Millis, halflife: Millis, target: f64, step: f64) {
        let decayed = self.decayed(now, halflife);
        *self = DecayingScore {
            value: decayed + step * (target - decayed),
            updated_at: now,
        };
    }
}

/// The ratio of two sums, each with exponential forgetting by samples.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingRatio {
    /// The sum above the line.
    pub numerator: f64,
    /// The sum below the line.
    pub denominator: f64,
}

impl DecayingRatio {
    /// Records one sample with a memory of so many `samples`: each sum becomes `sum · (1 − 1/samples) + new`.
    pub(crate) fn record(&mut self, samples: f64, numerator: f64, denominator: f64) {
        let retained = 1.0 - 1.0 / samples;
        self.numerator = self.numerator * retained + numerator;
        self.denominator = self.denominator * retained + denominator;
    }

    /// The ratio, or `None` before the first sample.
    pub(crate) fn value(&self) -> Option<f64> {
        (self.denominator > 0.0).then(|| self.numerator / self.denominator)
    }
}

/// A quantile of a stream of positive numbers, by stochastic approximation with steps in proportion to the estimate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuantileEstimator(f64);

impl QuantileEstimator {
    /// Starts from a first estimate.
    pub(crate) fn new(estimate: f64) -> QuantileEstimator {
        QuantileEstimator(estimate)
    }

    /// Observes one number: the estimate `q` becomes `q · (1 + step·(p − 1))` if the number lies below it, else
    /// `q · (1 + step·p)`, where the fraction `p` of the numbers is to lie below it.
    pub(crate) fn observe(&mut self, number: f64, fraction: f64, step: f64) {
        let direction = if number < self.0 {
            fraction - 1.0
        } else {
            fraction
        };
        self.0 *= 1.0 + step * direction;
    }

    /// The present estimate.
    pub(crate) fn estimate(&self) -> f64 {
        self.0
    }
}

#[cfg(test)]
mod tests;
