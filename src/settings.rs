//! Parses settings by their wire names, for the gateway and for the simulator adapter.
//!
//! The simulator sends settings as `path=value` lines, and the gateway flattens its JSON file to such lines.
//! [`parse()`] reads them. Unknown paths are ignored; missing ones take the defaults of [`Settings::default`],
//! [`Class::default`], [`Plan::default`] and [`ConnectionSettings::default`].
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

/// All settings, parsed.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedSettings {
    /// The settings of the policy.
    pub settings: Settings,
    /// The metrics of a load report, in the order in which a report lists their values.
    pub report_metrics: Vec<Metric>,
    /// The names of classes, plans, zones and metrics, which are numbers everywhere else.
    pub names: Names,
    /// The settings of connections to backends.
    pub connections: ConnectionSettings,
}

/// Limits and costs of connections to backends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionSettings {
    /// Time within which a connection must be established, ms; otherwise the dial has failed.
    pub dial_timeout: Millis,
    /// Idle time after which a backend closes a connection, ms.
    pub idle_timeout: Millis,
    /// Cost of establishing connections, per first attempt.
    pub handshake_cost: f64,
    /// Cost of the mean number of open connections, per hundred connections to a backend.
    pub connection_cost: f64,
}

impl Default for ConnectionSettings {
    /// The timeouts of a typical backend, and no costs.
    fn default() -> Self {
        ConnectionSettings {
            dial_timeout: 250.0,
            idle_timeout: 10_000.0,
            handshake_cost: 0.0,
            connection_cost: 0.0,
        }
    }
}

/// Why the settings cannot be used. The message is one line that names the path of the setting.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The value does not parse as the setting's type.
    #[error("settings: {path}={text} cannot be read")]
    Unreadable {
        /// The path of the setting.
        path: String,
        /// Its value.
        text: String,
        /// The error of the type's parser.
        source: Box<dyn Error + Send + Sync>,
    },
    /// The number is infinite or NaN.
    #[error("settings: {path}={value} is not a finite number")]
    NotFinite {
        /// The path of the setting.
        path: String,
        /// Its value.
        value: f64,
    },
    /// The value is none of the words that the setting accepts.
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
