//! Why a configuration cannot be used.

use super::limits::MIN_SOCKETS;
use crate::net::control::fleet_section::SectionError;
use cometspool::settings::SettingsError;
use std::net::AddrParseError;
use std::num::ParseIntError;

/// Why a configuration cannot be used; each is one line that names the key or the variable.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConfigError {
    /// The variable that names the file is not set.
    #[error("BALANCER_CONFIG is not set")]
    NoFile,
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// The error of the system.
        source: std::io::Error,
    },
    /// The file is not JSON of the expected form.
    #[error("{path}: {source}")]
    Malformed {
        /// The file.
        path: String,
        /// Where and why.
        source: serde_json::Error,
    },
    /// An address cannot be parsed.
    #[error("{name}: {value:?} is not an address with a port")]
    InvalidAddress {
        /// The variable or key.
        name: &'static str,
        /// Its value.
        value: String,
        /// The error of the parser.
        source: AddrParseError,
    },
    /// The seed cannot be parsed.
    #[error("seed: {value:?} is not a hexadecimal number")]
    InvalidSeed {
        /// Its value.
        value: String,
        /// The error of the parser.
        source: ParseIntError,
    },
    /// The limit on descriptors leaves too few to work with.
    #[error("limits.sockets: {sockets} is under {MIN_SOCKETS}")]
    TooFewSockets {
        /// The limit.
        sockets: usize,
    },
    /// The path of the hand-over file ends with no file name.
    #[error("handover: that is no name of a file")]
    InvalidHandoverPath,
    /// A clock is set outside of a test.
    #[error("clock: only a test may set it, and says so with \"test\"")]
    ClockOutsideTest,
    /// The rate or the offset of the clock is out of bounds.
    #[error("clock: a rate from 0.1 to 10 and a time are wanted")]
    InvalidClock,
    /// A setting cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The `fleet` section cannot be used.
    #[error(transparent)]
    Fleet(#[from] SectionError),
}

impl ConfigError {
    /// The exit code of a start that ends with this error: 2 for the `fleet` section, 1 for all else.
    pub(crate) fn exit_code(&self) -> u8 {
        if matches!(self, ConfigError::Fleet(_)) {
            2
        } else {
            1
        }
    }
}
