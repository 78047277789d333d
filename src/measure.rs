//! Statistics that the policy bases its decisions on: decaying averages, ratios and quantiles of a stream, and the
//! probability distributions that it assumes. The decisions themselves are made in the policy.

use crate::policy_api::Millis;
use rand_core::RngCore;
use rand_pcg::Pcg32;
use std::f64::consts::LN_2;

/// Draws a number uniformly from `[0, 1)`.
pub(crate) fn uniform(rng: &mut Pcg32) -> f64 {
    f64::from(rng.next_u32()) / 4_294_967_296.0
}

/// The quantile of the standard normal distribution at `probability`, in standard deviations.
///
/// It is approximated by the quantile of a logistic distribution, `ln(p / (1 - p)) / 1.7`. The relative error is below
/// a tenth for `p` between 0.05 and 0.95; outside that range the result is too far from zero.
pub(crate) fn normal_quantile(probability: f64) -> f64 {
    /// Scale at which the logistic distribution function is closest to the normal one.
    const LOGISTIC_SCALE: f64 = 1.7;
    (probability / (1.0 - probability)).ln() / LOGISTIC_SCALE
}

/// A lower bound, which holds with `probability`, for the share of a stream that goes to the same destination as a
/// randomly drawn item of the stream.
///
/// The stream is spread over `destinations` by Zipf's law: the n-th largest share is an n-th of the largest. With
/// `H ≈ ln(destinations) + γ` the bound is `1 / (H · destinations^probability)`, since the logarithm of the rank of an
/// item's destination is about uniform between 0 and `ln(destinations)`. From a `probability` of a third on, the bound
/// holds with that probability to within 0.1.
pub(crate) fn zipf_share(destinations: f64, probability: f64) -> f64 {
    /// The Euler–Mascheroni constant γ.
    const EULER_GAMMA: f64 = 0.577_215_664_901_532_9;
    1.0 / ((destinations.ln() + EULER_GAMMA) * destinations.powf(probability))
}

/// A continuous exponentially weighted moving average (CEWMA): the recent average rate of arrivals at irregular times.
///
/// It stores the decayed sum of the units that arrived (the impulse `N`) and the time `T` of the last arrival. With
/// `λ = ln 2 / halflife`, an arrival of `n` units at `now` sets `N = n + N·e^(λ(T − now))` and `T = now`. The caller
/// passes the same decay rate `λ`, in 1/ms, to each call.
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

    /// The sum of the recorded units, decayed until `now`: `N·e^(λ(T − now))`.
    pub fn decayed(&self, now: Millis, lambda: f64) -> f64 {
        self.impulse * (lambda * (self.updated_at - now)).exp()
    }

    /// The recent average rate, units per second: `1000·λ·N·e^(λ(T − now))`.
    pub fn rate(&self, now: Millis, lambda: f64) -> f64 {
        1000.0 * lambda * self.decayed(now, lambda)
    }
}

/// A score between 0 and 1 that decays toward 0. The caller passes the halflife to each call.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingScore {
    value: f64,
    updated_at: Millis,
}

impl DecayingScore {
    /// The score at `now`: `value · 2^(−(now − updated_at) / halflife)`. With an infinite halflife it does not decay.
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

/// The ratio of two sums whose older samples are forgotten exponentially: with each new sample, not with time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingRatio {
    /// Sum of the samples' numerators, decayed.
    pub numerator: f64,
    /// Sum of the samples' denominators, decayed.
    pub denominator: f64,
}

impl DecayingRatio {
    /// Records one sample, where the ratio averages over about `samples` samples: each sum becomes
    /// `sum · (1 − 1/samples) + new`.
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

/// Estimates a quantile of a stream of positive numbers by stochastic approximation. The steps are proportional to the
/// estimate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuantileEstimator(f64);

impl QuantileEstimator {
    /// Creates an estimator that starts from `estimate`.
    pub(crate) fn new(estimate: f64) -> QuantileEstimator {
        QuantileEstimator(estimate)
    }

    /// Observes one number of the stream. The estimate `q` converges to the value below which the `fraction` `p` of the
    /// numbers lies: `q` becomes `q · (1 + step·(p − 1))` if this number lies below it, else `q · (1 + step·p)`.
    pub(crate) fn observe(&mut self, number: f64, fraction: f64, step: f64) {
        let direction = if number < self.0 {
            fraction - 1.0
        } else {
            fraction
        };
        self.0 *= 1.0 + step * direction;
    }

    /// The present estimate of the quantile.
    pub(crate) fn estimate(&self) -> f64 {
        self.0
    }
}

#[cfg(test)]
mod tests;
