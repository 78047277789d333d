//! Seeded random and the distributions that the models draw from.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// A source of random.
#[derive(Clone)]
pub struct RandomSource(Pcg32);

impl RandomSource {
    /// The source that a seed gives.
    pub fn new(seed: u64) -> RandomSource {
        RandomSource(Pcg32::seed_from_u64(seed))
    }

    /// Evenly from nought to one.
    pub fn uniform(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 4_294_967_296.0
    }

    /// A whole number below `n`.
    pub fn below(&mut self, n: usize) -> usize {
        ((self.uniform() * n as f64) as usize).min(n.saturating_sub(1))
    }

    /// Exponential with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.uniform()).ln()
    }

    /// Log-normal with this mean and coefficient of variation.
    pub fn lognormal(&mut self, mean: f64, cv: f64) -> f64 {
        let sigma2 = (1.0 + cv * cv).ln();
        let normal = (-2.0 * (1.0 - self.uniform()).ln()).sqrt()
            * (std::f64::consts::TAU * self.uniform()).cos();
        mean * (sigma2.sqrt() * normal - sigma2 / 2.0).exp()
    }

    /// The next 32 random bits.
    pub(crate) fn next_u32(&mut self) -> u32 {
        self.0.next_u32()
    }
}
