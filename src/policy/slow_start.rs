//! Slow start: how much of its load a backend gets while it warms up.

use crate::policy_api::*;

/// The units that a backend has earned from this gateway and has not yet been sent.
///
/// It protects a warming backend: a gateway sends it no more than its slow-start fraction of what a warm one gets,
/// evenly over time, and only after the units are earned. Hundreds of gateways that sent one request each in
/// advance would together overload it.
pub(super) struct SlowStartBudget {
    units: f64,
    updated_at: Millis,
}

impl SlowStartBudget {
    /// A budget that has `debt` units to earn before the first request.
    pub(super) fn with_debt(now: Millis, debt: f64) -> SlowStartBudget {
        SlowStartBudget {
            units: -debt,
            updated_at: now,
        }
    }

    /// The units available at `now`, where a warm backend of weight 1 earns `even_rate` units a second.
    pub(super) fn available(
        &self,
        now: Millis,
        settings: &Settings,
        entry: &BackendEntry,
        even_rate: f64,
    ) -> f64 {
        // The fraction rises linearly: its mean over the time since the last update counts, not its present value.
        let fraction = (settings.slow_start_fraction(self.updated_at, entry)
            + settings.slow_start_fraction(now, entry))
            / 2.0;
        let rate = fraction * even_rate * entry.weight;
        let most = settings.max_units.max(1.0);
        (self.units + rate * (now - self.updated_at) / 1000.0).clamp(-most, most)
    }

    /// Sets what is available at `now`.
    pub(super) fn set(&mut self, now: Millis, units: f64) {
        self.units = units;
        self.updated_at = now;
    }
}
