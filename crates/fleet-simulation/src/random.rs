//! A seeded random number generator and the distributions that the models draw from.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// A seeded random number generator. A seed gives the same sequence on every machine.
#[derive(Clone)]
pub struct RandomSource(Pcg32);

impl RandomSource {
    /// Creates the generator for a seed.
    pub fn new(seed: u64) -> RandomSource {
        RandomSource(Pcg32::seed_from_u64(seed))
    }

    /// Draws uniformly from 0 (inclusive) to 1 (exclusive).
    pub fn uniform(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 4_294_967_296.0
    }

    /// Draws an integer uniformly from 0 to `limit - 1`; returns 0 if `limit` is 0.
    pub fn below(&mut self, limit: usize) -> usize {
        ((self.uniform() * limit as f64) as usize).min(limit.saturating_sub(1))
    }

    /// Draws from the exponential distribution with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.uniform()).ln()
    }

    /// Draws from the log-normal distribution with this mean and coefficient of variation.
    pub fn lognormal(&mut self, mean: f64, coefficient_of_variation: f64) -> f64 {
        let variance = (1.0 + coefficient_of_variation * coefficient_of_variation).ln();
        // Box-Muller transform of two uniform draws.
        let normal = (-2.0 * (1.0 - self.uniform()).ln()).sqrt()
            * (std::f64::consts::TAU * self.uniform()).cos();
        mean * (variance.sqrt() * normal - variance / 2.0).exp()
    }

    /// Draws 32 random bits.
    pub(crate) fn next_u32(&mut self) -> u32 {
        self.0.next_u32()
    }
}
