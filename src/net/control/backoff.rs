//! Pauses between calls to a shared service, so that the gateways of a fleet do not call it in step.
//!
//! One gateway that calls four times a second costs a service nothing. A hundred that come back at the same pace can keep
//! it overloaded for good: each call is rejected because of the others. Where a service says that it is overloaded, the
//! window from which a pause is drawn grows with the fleet and doubles with each rejected call, and the pause is drawn
//! uniformly, so that no two gateways stay in step. What the service has must be known in time all the same, so the caller
//! gives the longest pause that its deadline leaves.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// The window after a failure that is no sign of overload, and the smallest window after a rejection.
const BASE_WINDOW: Duration = Duration::from_millis(200);
/// What each gateway of the fleet adds to the first window after a rejection.
///
/// With [`MAX_WINDOW_PER_GATEWAY`] a fleet all of whose calls are rejected makes some twenty-five calls a second at first,
/// and comes down to under fifteen, as long as the window is below the longest pause that the caller allows. A service that
/// works on calls whose callers have left recovers only at a lower rate of calls than it can serve.
const INITIAL_WINDOW_PER_GATEWAY: Duration = Duration::from_millis(60);
/// What each gateway of the fleet adds to the largest window.
const MAX_WINDOW_PER_GATEWAY: Duration = Duration::from_millis(120);
/// A pause takes at least this fraction of its window, one in four: the service may still work on the rejected call, ahead
/// of the next one.
const MIN_PAUSE_DIVISOR: u32 = 4;
/// Beyond this many rejections in a row the window no longer doubles.
const MAX_DOUBLINGS: u32 = 16;
/// The number of values of a random `u32`.
const RANDOM_RANGE: f64 = 4_294_967_296.0;

/// Draws the pauses between calls to a service that other gateways call too.
pub(crate) struct Backoff {
    fleet_size: Rc<Cell<u32>>,
    /// Rejections since the service last answered.
    rejections: u32,
    rng: Pcg32,
}

impl Backoff {
    /// For one of `gateways` gateways; `seed` is the only source of its random numbers.
    pub(crate) fn new(gateways: u32, seed: u64) -> Backoff {
        Backoff {
            fleet_size: Rc::new(Cell::new(gateways)),
            rejections: 0,
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// The number of gateways by which the windows go; who knows it better may set it.
    pub(crate) fn fleet_size(&self) -> Rc<Cell<u32>> {
        self.fleet_size.clone()
    }

    /// The pause after a call or a connection that failed. It is at most 200 ms: a change that the service has counts as
    /// known while this gateway does not call.
    pub(crate) fn after_failure(&mut self) -> Duration {
        self.draw_pause(BASE_WINDOW)
    }

    /// The pause after a call that was rejected because the service is overloaded: at most `max_pause`, or 200 ms if that
    /// is more, as a shorter window would leave the gateways in step. The window is cut to it rather than the pause: pauses
    /// that are cut would end in step.
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

    /// The service has answered: the next rejection counts as the first.
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

    /// Uniform over the window above its smallest part.
    fn draw_pause(&mut self, window: Duration) -> Duration {
        let shortest = window / MIN_PAUSE_DIVISOR;
        let fraction = f64::from(self.rng.next_u32()) / RANDOM_RANGE;
        shortest + (window - shortest).mul_f64(fraction)
    }
}

#[cfg(test)]
mod tests;
