//! Randomized exponential backoff between calls to a shared service, so that the gateways of a fleet do not call it in
//! step.
//!
//! One gateway that calls four times a second is no load for a service. A hundred gateways that retry at the same rate
//! can keep the service overloaded indefinitely, since each call is rejected because of the others. When a service
//! reports that it is overloaded, each pause is therefore drawn uniformly from a window. The window grows with the
//! fleet and doubles with each rejected call, and the random draw keeps any two gateways from staying in step. Updates
//! from the service must still take effect in time, so the caller passes the longest pause that its deadline allows.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Window of the pause after a failure that does not indicate overload, and minimum window after a rejection.
const BASE_WINDOW: Duration = Duration::from_millis(200);
/// Window after the first rejection, for each gateway of the fleet.
///
/// Together with [`MAX_WINDOW_PER_GATEWAY`] this bounds the call rate of a fleet all of whose calls are rejected: it
/// starts at about 25 calls per second and drops below 15, as long as the window is below the longest pause that the
/// caller allows. A service that still processes calls whose callers have given up recovers only if the call rate is
/// below the rate that it can serve.
const INITIAL_WINDOW_PER_GATEWAY: Duration = Duration::from_millis(60);
/// Maximum window after repeated rejections, for each gateway of the fleet.
const MAX_WINDOW_PER_GATEWAY: Duration = Duration::from_millis(120);
/// Divisor of the window that gives the shortest pause: a quarter of the window. The service may still be processing
/// the rejected call, ahead of the next one.
const MIN_PAUSE_DIVISOR: u32 = 4;
/// Maximum number of consecutive rejections that double the window.
const MAX_DOUBLINGS: u32 = 16;
/// Number of distinct values of a random `u32`.
const RANDOM_RANGE: f64 = 4_294_967_296.0;

/// Draws the pauses between calls to a service that is shared with other gateways.
pub(crate) struct Backoff {
    fleet_size: Rc<Cell<u32>>,
    /// Consecutive rejections since the service last answered.
    rejections: u32,
    rng: Pcg32,
}

impl Backoff {
    /// Creates the backoff for one gateway of a fleet of `gateways`. `seed` alone determines its random numbers.
    pub(crate) fn new(gateways: u32, seed: u64) -> Backoff {
        Backoff {
            fleet_size: Rc::new(Cell::new(gateways)),
            rejections: 0,
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// The number of gateways that scales the windows. The holder of this cell may update it when the size of the fleet
    /// changes.
    pub(crate) fn fleet_size(&self) -> Rc<Cell<u32>> {
        self.fleet_size.clone()
    }

    /// The pause after a call or a connection that failed, at most 200 ms. It is short, since the gateway misses any
    /// update of the service during the pause.
    pub(crate) fn after_failure(&mut self) -> Duration {
        self.draw_pause(BASE_WINDOW)
    }

    /// The pause after a call that was rejected because the service is overloaded. It is at most `max_pause`, but the
    /// window is never shorter than 200 ms, since a shorter window would leave the gateways in step. `max_pause` limits
    /// the window rather than the drawn pause, since all pauses that were cut to the limit would end in step.
    pub(crate) fn after_rejection(&mut self, max_pause: Duration) -> Duration {
        let doubled = self
            .initial_window()
            .saturating_mul(1 << self.rejections.min(MAX_DOUBLINGS));
        let window = doubled
            .min(self.max_window())
            .min(max_pause.max(BASE_WINDOW));
        self.rejections = self.rejections.saturating_add(1);
        self.draw_pause(window)
    }

    /// Called when the service has answered. The next rejection counts as the first again.
    pub(crate) fn reset(&mut self) {
        self.rejections = 0;
    }

    fn initial_window(&self) -> Duration {
        INITIAL_WINDOW_PER_GATEWAY
            .saturating_mul(self.fleet_size.get())
            .max(BASE_WINDOW)
    }

    fn max_window(&self) -> Duration {
        MAX_WINDOW_PER_GATEWAY
            .saturating_mul(self.fleet_size.get())
            .max(self.initial_window())
    }

    /// Draws a pause uniformly between a quarter of the window and the whole window.
    fn draw_pause(&mut self, window: Duration) -> Duration {
        let shortest = window / MIN_PAUSE_DIVISOR;
        let fraction = f64::from(self.rng.next_u32()) / RANDOM_RANGE;
        shortest + (window - shortest).mul_f64(fraction)
    }
}

#[cfg(test)]
mod tests;
