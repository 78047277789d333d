//! Arithmetic that the decisions measure with: what fades, ratios and quantiles of a stream, chance. It chooses nothing.

use crate::policy_api::Millis;
use rand_core::RngCore;
use rand_pcg::Pcg32;
use std::f64::consts::LN_2;

/// A number drawn evenly from nought to one.
pub(crate) fn uniform(rng: &mut Pcg32) -> f64 {
    f64::from(rng.next_u32()) / 4_294_967_296.0
}

/// Standard deviations above the mean under which a normal draw lies with this probability, by the logistic curve that
/// lies along the normal one: within a tenth of it between 0.05 and 0.95, and wider beyond.
pub(crate) fn deviations(probability: f64) -> f64 {
    const LOGISTIC: f64 = 1.7;
    (probability / (1.0 - probability)).ln() / LOGISTIC
}

/// The part of a stream that comes through one of `places`, if by Zipf's law the busiest has the most and the n-th an n-th
/// of that: of the place through which one of it comes, as it is at least with this probability. The logarithm of that
/// place's rank is about even from nought to that of their number: from a third on the probability is right to a tenth.
pub(crate) fn zipf_part(places: f64, probability: f64) -> f64 {
    const EULER: f64 = 0.577_215_664_901_532_9;
    1.0 / ((places.ln() + EULER) * places.powf(probability))
}

/// The recent average rate of the design: an impulse `n` at time `t`, decaying with a halflife.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cewma {
    n: f64,
    t: Millis,
}

impl Cewma {
    /// Counts an arrival of `units`; `lambda` is ln 2 / halflife, per millisecond.
    pub fn record(&mut self, now: Millis, units: f64, lambda: f64) {
        self.n = units + self.n * (lambda * (self.t - now)).exp();
        self.t = now;
    }

    /// What is left by now of what was counted, in units.
    pub fn decayed(&self, now: Millis, lambda: f64) -> f64 {
        self.n * (lambda * (self.t - now)).exp()
    }

    /// The recent rate, in units a second.
    pub fn rate(&self, now: Millis, lambda: f64) -> f64 {
        1000.0 * lambda * self.decayed(now, lambda)
    }
}

/// A score between nought and one, as of a time, that fades with a halflife of the caller's.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Fading {
    value: f64,
    at: Millis,
}

impl Fading {
    /// What is left of it; with an endless halflife, all.
    pub(crate) fn left(&self, now: Millis, halflife: Millis) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        self.value * (-(now - self.at) / halflife * LN_2).exp()
    }

    /// Moves what is left of it toward a goal, by this part of the way.
    pub(crate) fn move_to(&mut self, now: Millis, halflife: Millis, goal: f64, step: f64) {
        let left = self.left(now, halflife);
        *self = Fading {
            value: left + step * (goal - left),
            at: now,
        };
    }
}

/// A ratio of two sums over about so many samples of late.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ratio {
    /// The sum above the line.
    pub above: f64,
    /// The sum below it.
    pub below: f64,
}

impl Ratio {
    /// Takes in one sample.
    pub(crate) fn feed(&mut self, samples: f64, above: f64, below: f64) {
        let keep = 1.0 - 1.0 / samples;
        self.above = self.above * keep + above;
        self.below = self.below * keep + below;
    }

    /// The ratio; nothing where nothing was fed.
    pub(crate) fn get(&self) -> Option<f64> {
        (self.below > 0.0).then(|| self.above / self.below)
    }
}

/// A quantile of a stream of positive figures, followed by steps in proportion to itself (stochastic approximation).
#[derive(Clone, Copy, Debug)]
pub(crate) struct Quantile(f64);

impl Quantile {
    /// Starts from a guess.
    pub(crate) fn new(guess: f64) -> Quantile {
        Quantile(guess)
    }

    /// Takes in one figure: below the quantile lies `part` of them, and one moves it by `step` of itself at most.
    pub(crate) fn feed(&mut self, figure: f64, part: f64, step: f64) {
        self.0 *= 1.0 + step * if figure < self.0 { part - 1.0 } else { part };
    }

    /// The quantile.
    pub(crate) fn get(&self) -> f64 {
        self.0
    }
}

#[cfg(test)]
mod tests;
