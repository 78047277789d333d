//! When to ask a shared service again, so that a fleet of front doors does not ask it in step.
//!
//! One front door that asks four times a second costs a service nothing. A hundred that come back at the same
//! pace can keep it overbooked for good: each call is turned away because of the others. Where a service says
//! that it has too much to do, the window out of which a pause is drawn grows with the fleet and doubles with
//! each call that was turned away, and the pause is drawn evenly, so that no two front doors stay in step.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Longest pause where nothing says that the service has too much to do, and the shortest window where it does.
const SOON: Duration = Duration::from_millis(200);
/// What each front door of the fleet adds to the first window, and to the longest one: a fleet all of whose calls
/// are turned away makes some twenty-five calls a second at first, and comes down to under ten. A service that works
/// on calls whose callers have left must be asked less than it can bear before anybody is served again.
const FIRST_PER_GATEWAY: Duration = Duration::from_millis(60);
const MOST_PER_GATEWAY: Duration = Duration::from_millis(120);
/// Shortest part of a window that a pause takes: what was turned away may still be worked on, ahead of the next call.
const LEAST_PART: u32 = 4;

/// Pauses between calls to a service that other front doors call too.
pub struct Backoff {
    gateways: Rc<Cell<u32>>,
    turned_away: u32,
    rng: Pcg32,
}

impl Backoff {
    /// For one of `gateways` front doors; `seed` is its only source of chance.
    pub fn new(gateways: u32, seed: u64) -> Backoff {
        Backoff { gateways: Rc::new(Cell::new(gateways)), turned_away: 0, rng: Pcg32::seed_from_u64(seed) }
    }

    /// How many front doors it reckons with: whoever learns better may change it.
    pub fn gateways(&self) -> Rc<Cell<u32>> {
        self.gateways.clone()
    }

    /// The pause after a call or a connection that was lost. It is short: what the service has to tell counts as
    /// told while it is not asked.
    pub fn lost(&mut self) -> Duration {
        self.draw(SOON)
    }

    /// The pause after a call that was turned away for too many others.
    pub fn turned_away(&mut self) -> Duration {
        let window = self.first().saturating_mul(1 << self.turned_away.min(16)).min(self.most());
        self.turned_away = self.turned_away.saturating_add(1);
        self.draw(window)
    }

    /// The service has answered.
    pub fn answered(&mut self) {
        self.turned_away = 0;
    }

    fn first(&self) -> Duration {
        FIRST_PER_GATEWAY.saturating_mul(self.gateways.get()).max(SOON)
    }

    fn most(&self) -> Duration {
        MOST_PER_GATEWAY.saturating_mul(self.gateways.get()).max(self.first())
    }

    fn draw(&mut self, window: Duration) -> Duration {
        let least = window / LEAST_PART;
        least + (window - least).mul_f64(f64::from(self.rng.next_u32()) / 4_294_967_296.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const FLEET: u64 = 100;

    /// Most calls that fall into one tenth of a second if every front door's call fails from the same instant on.
    fn busiest_tenth(from: Duration, to: Duration) -> usize {
        let mut tenths = vec![0; 600];
        for door in 0..FLEET {
            let mut backoff = Backoff::new(FLEET as u32, door);
            let mut at = Duration::ZERO;
            while at < to {
                at += backoff.turned_away();
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
        assert!(first <= 9, "{first} of {FLEET} asked within a tenth of a second");
        let later = busiest_tenth(Duration::from_secs(12), Duration::from_secs(40));
        assert!(later <= 6, "{later} of {FLEET} still ask within a tenth of a second");
    }

    /// Guards a small fleet against waiting for others that it does not have, and any against a long pause where
    /// the service is not short of anything.
    #[test]
    fn what_was_lost_is_asked_for_again_soon() {
        let (mut alone, mut many) = (Backoff::new(1, 7), Backoff::new(100, 7));
        assert!(alone.turned_away() <= SOON);
        assert!((0..100).map(|_| many.lost()).all(|pause| pause > Duration::ZERO && pause <= SOON));
    }

    /// Guards a front door against going without a list for long, however often it was turned away.
    #[test]
    fn the_pause_is_bounded_and_short_again_after_an_answer() {
        let mut backoff = Backoff::new(100, 3);
        let pauses: Vec<Duration> = (0..100).map(|_| backoff.turned_away()).collect();
        assert!(pauses.iter().all(|pause| *pause > Duration::ZERO && *pause <= backoff.most()));
        assert!(pauses.iter().any(|pause| *pause > backoff.first()));
        backoff.answered();
        assert!(backoff.turned_away() <= backoff.first());
    }

    /// Guards a pace that follows the fleet's size: as if it had been told that size from the start.
    #[test]
    fn windows_follow_the_size_that_is_learnt() {
        let (mut told, mut learnt) = (Backoff::new(300, 9), Backoff::new(3, 9));
        learnt.gateways().set(300);
        for _ in 0..6 {
            assert_eq!(told.turned_away(), learnt.turned_away());
        }
    }
}
