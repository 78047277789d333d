//! Slow start: limits how much a backend is sent while it warms up.

use crate::policy_api::*;

/// The units that a backend has accrued from this gateway and has not yet been sent.
///
/// The budget protects a warming backend: a gateway sends it no more than its slow-start fraction of what a warm
/// backend gets, evenly over time, and only after the units are accrued. If hundreds of gateways each sent one request
/// in advance, they would together overload the backend.
pub(super) struct SlowStartBudget {
    units: f64,
    updated_at: Millis,
}

impl SlowStartBudget {
    /// Creates a budget that has to accrue `debt` units before the first request may be sent.
    pub(super) fn with_debt(now: Millis, debt: f64) -> SlowStartBudget {
        SlowStartBudget {
            units: -debt,
            updated_at: now,
        }
    }

    /// The units available at `now`, where a warm backend of weight 1 accrues `warm_backend_rate` units a second.
    pub(super) fn available(
        &self,
        now: Millis,
        settings: &Settings,
        entry: &BackendEntry,
        warm_backend_rate: f64,
    ) -> f64 {
        // The fraction rises linearly, so its mean over the time since the last update is the mean of its two ends.
        let fraction = (settings.slow_start_fraction(self.updated_at, entry)
            + settings.slow_start_fraction(now, entry))
            / 2.0;
        let rate = fraction * warm_backend_rate * entry.weight;
        let max_units = settings.max_units.max(1.0);
        (self.units + rate * (now - self.updated_at) / 1000.0).clamp(-max_units, max_units)
    }

    /// Sets the units available at `now`.
    pub(super) fn set(&mut self, now: Millis, units: f64) {
        self.units = units;
        self.updated_at = now;
    }
}
