//! When to ask a shared service again, so that a fleet of front doors does not ask it in step.
//!
//! One front door that asks four times a second costs a service nothing. A hundred that come back at the same
//! pace can keep it overbooked for good: each call is turned away because of the others. Where a service says
//! that it has too much to do, the window out of which a pause is drawn grows with the fleet and doubles with
//! each call that was turned away, and the pause is drawn evenly, so that no two front doors stay in step. What the
//! service has must be known in time all the same, so whoever calls tells the longest pause that this leaves.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Longest pause where nothing says that the service has too much to do, and the shortest window where it does.
const SOON: Duration = Duration::from_millis(200);
/// What each front door of the fleet adds to the first window, and to the longest one: a fleet all of whose calls
/// are turned away makes some twenty-five calls a second at first, and comes down to under fifteen, as long as the
/// window is below the longest pause that its caller may make. A service that works on calls whose callers have left
/// must be asked less than it can bear before anybody is served again.
const FIRST_PER_GATEWAY: Duration = Duration::from_millis(60);
const MOST_PER_GATEWAY: Duration = Duration::from_millis(120);
/// Shortest part of a window that a pause takes: what was turned away may still be worked on, ahead of the next call.
const LEAST_PART: u32 = 4;

/// Pauses between calls to a service that other front doors call too.
pub(crate) struct Backoff {
    gateways: Rc<Cell<u32>>,
    turned_away: u32,
    rng: Pcg32,
}

impl Backoff {
    /// For one of `gateways` front doors; `seed` is its only source of chance.
    pub(crate) fn new(gateways: u32, seed: u64) -> Backoff {
        Backoff {
            gateways: Rc::new(Cell::new(gateways)),
            turned_away: 0,
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// How many front doors it reckons with: whoever learns better may change it.
    pub(crate) fn fleet_size(&self) -> Rc<Cell<u32>> {
        self.gateways.clone()
    }

    /// The pause after a call or a connection that was lost. It is short: what the service has to tell counts as
    /// told while it is not asked.
    pub(crate) fn after_failure(&mut self) -> Duration {
        self.draw(SOON)
    }

    /// The pause after a call that was turned away for too many others: `longest` at most, unless that is too short to
    /// be out of step with others. The window is cut to it, not the pause: pauses that are cut would end in step.
    pub(crate) fn after_rejection(&mut self, longest: Duration) -> Duration {
        let grown = self
            .first()
            .saturating_mul(1 << self.turned_away.min(16))
            .min(self.most());
        let window = grown.min(longest.max(SOON));
        self.turned_away = self.turned_away.saturating_add(1);
        self.draw(window)
    }

    /// The service has answered.
    pub(crate) fn reset(&mut self) {
        self.turned_away = 0;
    }

    fn first(&self) -> Duration {
        FIRST_PER_GATEWAY
            .saturating_mul(self.gateways.get())
            .max(SOON)
    }

    fn most(&self) -> Duration {
        MOST_PER_GATEWAY
            .saturating_mul(self.gateways.get())
            .max(self.first())
    }

    fn draw(&mut self, window: Duration) -> Duration {
        let least = window / LEAST_PART;
        least + (window - least).mul_f64(f64::from(self.rng.next_u32()) / 4_294_967_296.0)
    }
}

#[cfg(test)]
mod tests;
