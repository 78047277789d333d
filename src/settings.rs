//! Settings by their wire names: the one mapping for both programs.
//!
//! The simulator sends settings as `path=value` lines; the gateway flattens its JSON file to the same lines. [`parse()`]
//! reads them. Unknown paths are ignored, and missing ones take the defaults of [`Settings::default`], [`Class::default`],
//! [`Plan::default`] and [`ConnectionSettings::default`].
//!
//! [`Class::default`]: crate::Class
//! [`Plan::default`]: crate::Plan

mod flat;
mod load_report;
mod names;
mod parse;

use crate::policy_api::{Millis, Settings};
use std::error::Error;

pub use load_report::{load_report, set_metric, Metric};
pub use names::{normalize_name, Names};
pub use parse::parse;

/// All that the settings hold.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedSettings {
    /// The settings of the policy.
    pub settings: Settings,
    /// The values of a load report, in the order in which a report has them.
    pub report_metrics: Vec<Metric>,
    /// The names of classes, plans, zones and metrics, which are numbers elsewhere.
    pub names: Names,
    /// The settings of connections to backends.
    pub connections: ConnectionSettings,
}

/// Limits and costs of connections to backends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionSettings {
    /// A connection that is not established within this time has failed, in ms.
    pub dial_timeout: Millis,
    /// A backend closes a connection that has been idle for this time, in ms.
    pub idle_timeout: Millis,
    /// Cost of establishing connections, for each first attempt.
    pub handshake_cost: f64,
    /// Cost of the mean number of open connections, for each hundred to a backend.
    pub connection_cost: f64,
}

impl Default for ConnectionSettings {
    /// Timeouts of an ordinary backend, and no costs.
    fn default() -> Self {
        ConnectionSettings {
            dial_timeout: 250.0,
            idle_timeout: 10_000.0,
            handshake_cost: 0.0,
            connection_cost: 0.0,
        }
    }
}

/// Why settings cannot be used; one line that names the path.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A value is not of its type.
    #[error("settings: {path}={text} cannot be read")]
    Unreadable {
        /// The path of the setting.
        path: String,
        /// Its value.
        text: String,
        /// The error of the parser.
        source: Box<dyn Error + Send + Sync>,
    },
    /// A number is infinite or not a number.
    #[error("settings: {path}={value} is not a finite number")]
    NotFinite {
        /// The path of the setting.
        path: String,
        /// Its value.
        value: f64,
    },
    /// A value is none of those that are known.
    #[error("settings: {path}={text} is not a known choice")]
    UnknownChoice {
        /// The path of the setting.
        path: String,
        /// Its value.
        text: String,
    },
}

#[cfg(test)]
mod tests;
