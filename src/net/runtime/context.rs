//! What all parts of a front door stand on.

use crate::net::runtime::budget::{StallMonitor, WakeRecorder};
use crate::net::runtime::clock::Clock;
use cometspool::settings::{Names, ParsedSettings};
use cometspool::{Millis, Settings};

/// The clock, how far the process was kept from running, and what the deployment told.
pub(crate) struct RuntimeContext {
    /// The one clock.
    pub clock: Clock,
    /// Whether the process was kept from running.
    pub stall_monitor: StallMonitor,
    /// The settings.
    pub settings: Settings,
    /// The names that the settings give to numbers.
    pub names: Names,
}

impl RuntimeContext {
    /// A front door that was told this; its process began with `woken`.
    pub(crate) fn new(told: &ParsedSettings, woken: WakeRecorder, clock: Clock) -> RuntimeContext {
        let since = clock.millis_at(woken.started_at());
        let (settings, names) = (told.settings.clone(), told.names.clone());
        RuntimeContext {
            clock,
            stall_monitor: StallMonitor::new(woken, since),
            settings,
            names,
        }
    }

    /// The longest that a client waits.
    pub(crate) fn longest_deadline(&self) -> Millis {
        self.settings
            .classes
            .iter()
            .map(|class| class.deadline)
            .fold(0.0, f64::max)
    }
}
