//! The context shared by all parts of the gateway: the clock, the stall monitor and the settings.

use crate::net::runtime::clock::Clock;
use crate::net::runtime::stall::{StallMonitor, WakeRecorder};
use cometspool::settings::{Names, ParsedSettings};
use cometspool::{Millis, Settings};

/// The shared context of the gateway, created once at start-up.
pub(crate) struct RuntimeContext {
    /// The clock on which all times of the gateway are measured.
    pub clock: Clock,
    /// Detects stalls of the event loop.
    pub stall_monitor: StallMonitor,
    /// The settings of the policy engine.
    pub settings: Settings,
    /// The names that the settings give to classes, plans and metrics, by index.
    pub names: Names,
}

impl RuntimeContext {
    /// Creates the context of a gateway with the settings `parsed`. `wakes` records the wake-ups of its event loop.
    pub(crate) fn new(
        parsed: &ParsedSettings,
        wakes: WakeRecorder,
        clock: Clock,
    ) -> RuntimeContext {
        let process_started_at = clock.millis_at(wakes.started_at());
        RuntimeContext {
            clock,
            stall_monitor: StallMonitor::new(wakes, process_started_at),
            settings: parsed.settings.clone(),
            names: parsed.names.clone(),
        }
    }

    /// The longest timeout that any class allows, in milliseconds.
    pub(crate) fn longest_deadline(&self) -> Millis {
        self.settings
            .classes
            .iter()
            .map(|class| class.deadline)
            .fold(0.0, f64::max)
    }
}
