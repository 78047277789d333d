//! Errors of the configuration.

use super::limits::MIN_SOCKETS;
use crate::net::control::fleet_section::SectionError;
use crate::net::runtime::clock::Skew;
use cometspool::settings::SettingsError;
use std::net::AddrParseError;
use std::num::ParseIntError;
use std::path::PathBuf;

/// Reasons why a configuration is invalid. Each message is one line that names the configuration key or the environment
/// variable.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConfigError {
    /// The environment variable with the path of the file is not set.
    #[error(
        "BALANCER_CONFIG: expected the path of the configuration file, but the variable is not set"
    )]
    MissingConfigPath,
    /// The configuration file cannot be read.
    #[error("BALANCER_CONFIG: cannot read {path}: {source}")]
    Unreadable {
        /// The path of the configuration file, as the variable gives it.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The configuration file is not valid JSON, or a key is missing or has the wrong type.
    #[error("BALANCER_CONFIG: invalid configuration in {path}: {source}")]
    Malformed {
        /// The path of the configuration file, as the variable gives it.
        path: String,
        /// The error of the JSON parser, with line and column.
        source: serde_json::Error,
    },
    /// The value is not an IP address with a port.
    #[error("{name}: expected an IP address with a port, got {value:?}")]
    InvalidAddress {
        /// The environment variable or configuration key.
        name: &'static str,
        /// The value that was found.
        value: String,
        /// The error of the parser.
        source: AddrParseError,
    },
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("seed: expected a hexadecimal number of at most 64 bits, got {value:?}")]
    InvalidSeed {
        /// The value that was found.
        value: String,
        /// The error of the parser.
        source: ParseIntError,
    },
    /// The limit on file descriptors is too low for a gateway to work.
    #[error("limits.sockets: expected at least {MIN_SOCKETS} file descriptors, got {sockets}")]
    TooFewSockets {
        /// The configured limit.
        sockets: usize,
    },
    /// The path of the hand-over file does not end in a file name.
    #[error("handover: expected a path that ends in a file name, got {path:?}")]
    InvalidHandoverPath {
        /// The configured path.
        path: PathBuf,
    },
    /// The `clock` section is set although the file does not say that this is a test.
    #[error("clock: only a test may set the clock: expected \"test\" to be true, got false")]
    ClockOutsideTest,
    /// The rate or the offset of the clock is out of range.
    #[error(
        "clock: expected a rate from 0.1 to 10 and a finite ahead_ms, got rate {} and ahead_ms {}",
        .skew.rate,
        .skew.ahead_ms
    )]
    InvalidClock {
        /// The configured clock skew.
        skew: Skew,
    },
    /// A setting is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The `fleet` section is invalid.
    #[error(transparent)]
    Fleet(#[from] SectionError),
}

impl ConfigError {
    /// The exit code of a process that fails to start with this error: 2 for an invalid `fleet` section, 1 otherwise.
    pub(crate) fn exit_code(&self) -> u8 {
        if matches!(self, ConfigError::Fleet(_)) {
            2
        } else {
            1
        }
    }
}
