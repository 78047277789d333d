//! When to ask a shared service again, so that a fleet of front doors does not ask it in step.
//!
//! One front door that asks four times a second costs a service nothing. A hundred that lost it at the same
//! instant, and come back at the same pace, can keep it overbooked for good: each call is turned away because
//! of the others. The window out of which a pause is drawn therefore grows with the fleet, doubles with each
//! failure in a row, and the pause is drawn evenly, so that no two front doors stay in step.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::time::Duration;

/// Shortest window out of which a pause is drawn: what one front door alone may ask of a service.
const LEAST: Duration = Duration::from_millis(250);
/// What each front door of the fleet adds to the first window: together they make a hundred calls a second.
const PER_GATEWAY: Duration = Duration::from_millis(10);
/// Longest window: what is told counts as known some seconds later, whether it was asked for or not.
const MOST: Duration = Duration::from_secs(4);

/// Pauses between calls to a service that other front doors call too.
pub struct Backoff {
    first: Duration,
    failures: u32,
    rng: Pcg32,
}

impl Backoff {
    /// For one of `gateways` front doors; `seed` is its only source of chance.
    pub fn new(gateways: u32, seed: u64) -> Backoff {
        let first = PER_GATEWAY.saturating_mul(gateways).clamp(LEAST, MOST);
        Backoff { first, failures: 0, rng: Pcg32::seed_from_u64(seed) }
    }

    /// The pause before the first call of all, when the whole fleet may have started at once. One front door
    /// alone, or one of a few, need not wait.
    pub fn start(&mut self) -> Duration {
        if self.first > LEAST {
            self.draw(self.first)
        } else {
            Duration::ZERO
        }
    }

    /// The pause after a call that failed, or after a connection that was lost.
    pub fn next(&mut self) -> Duration {
        let window = self.first.saturating_mul(1 << self.failures.min(16)).min(MOST);
        self.failures = self.failures.saturating_add(1);
        // Never at once: a service that ends each call as soon as it comes would be asked without pause.
        window / 8 + self.draw(window - window / 8)
    }

    /// The service has answered.
    pub fn answered(&mut self) {
        self.failures = 0;
    }

    fn draw(&mut self, window: Duration) -> Duration {
        window.mul_f64(f64::from(self.rng.next_u32()) / 4_294_967_296.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const FLEET: u64 = 100;

    /// Most calls that fall into one tenth of a second if every front door's call fails from the same instant on.
    fn busiest_tenth(from: Duration, to: Duration) -> usize {
        let mut tenths = vec![0; 400];
        for door in 0..FLEET {
            let mut backoff = Backoff::new(FLEET as u32, door);
            let mut at = Duration::ZERO;
            while at < to {
                at += backoff.next();
                if at >= from {
                    tenths[(at.as_millis() / 100) as usize] += 1;
                }
            }
        }
        tenths.into_iter().max().unwrap_or(0)
    }

    /// Guards a service that a whole fleet lost at the same instant against being asked by all in step, and
    /// against being kept overbooked by the calls that it turned away.
    #[test]
    fn a_fleet_that_fails_in_step_does_not_ask_in_step() {
        let first = busiest_tenth(Duration::ZERO, Duration::from_secs(2));
        assert!(first <= 25, "{first} of {FLEET} asked within a tenth of a second");
        let later = busiest_tenth(Duration::from_secs(6), Duration::from_secs(20));
        assert!(later <= 15, "{later} of {FLEET} still ask within a tenth of a second");
    }

    /// Guards a small fleet against waiting for others that it does not have.
    #[test]
    fn one_front_door_asks_at_once_and_again_soon() {
        let mut alone = Backoff::new(1, 7);
        assert_eq!(alone.start(), Duration::ZERO);
        for _ in 0..20 {
            assert!(alone.next() <= LEAST);
            alone.answered();
        }
    }

    /// Guards a front door against going without a list for long, however often it was turned away.
    #[test]
    fn the_pause_is_bounded_and_short_again_after_an_answer() {
        let mut backoff = Backoff::new(100, 3);
        assert!((0..100).map(|_| backoff.next()).all(|pause| pause > Duration::ZERO && pause <= MOST));
        backoff.answered();
        assert!(backoff.next() <= backoff.first);
    }
}
