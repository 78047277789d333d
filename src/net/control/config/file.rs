//! The JSON file of the configuration, and its checks.

use super::error::ConfigError;
use super::flatten::to_lines;
use super::limits::{Limits, MIN_SOCKETS};
use crate::net::control::endpoint_list::EndpointList;
use crate::net::control::fleet_section::FleetSection;
use crate::net::runtime::clock::Skew;
use cometspool::settings::{self, ParsedSettings};
use serde::Deserialize;
use serde_json::Value;
use std::path::PathBuf;

/// The file as it was parsed. Keys that it does not know are ignored.
#[derive(Debug, Deserialize)]
pub(super) struct ConfigFile {
    /// The gateway's name; `BALANCER_NAME` overrides it.
    #[serde(default)]
    pub(super) name: String,
    /// The address for clients; `BALANCER_LISTEN` overrides it.
    #[serde(default)]
    pub(super) listen: String,
    /// The address of discovery; `BALANCER_DISCOVERY` overrides it at the start.
    #[serde(default)]
    pub(super) discovery: String,
    /// Hexadecimal, 64 bits.
    pub(super) seed: String,
    /// Limits of the machine.
    pub(super) limits: Limits,
    /// The endpoint list that an earlier process cached.
    pub(super) known: Option<EndpointList>,
    /// The hand-over file.
    pub(super) handover: Option<PathBuf>,
    /// Unparsed, so that its errors name the key.
    pub(super) fleet: Option<Value>,
    /// Whether this is a test, which alone may set the clock.
    #[serde(default)]
    pub(super) test: bool,
    /// How far the clock is off, in a test.
    pub(super) clock: Option<Skew>,
    /// Nested settings.
    pub(super) settings: Value,
}

/// The parts of a file that needed more than JSON to parse.
#[derive(Debug)]
pub(super) struct CheckedFile {
    /// The seed.
    pub(super) seed: u64,
    /// The settings.
    pub(super) parsed: ParsedSettings,
}

impl ConfigFile {
    /// Reads the file that `BALANCER_CONFIG` names.
    ///
    /// # Errors
    /// The variable is not set, or the file cannot be read or is not of this form.
    pub(super) fn read() -> Result<ConfigFile, ConfigError> {
        let path = std::env::var("BALANCER_CONFIG").map_err(|_| ConfigError::NoFile)?;
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(source) => return Err(ConfigError::Unreadable { path, source }),
        };
        serde_json::from_str(&text).map_err(|source| ConfigError::Malformed { path, source })
    }

    /// The `fleet` section of the gateway called `own`, if there is one.
    ///
    /// # Errors
    /// It cannot be used, or leaves fewer than [`MIN_SOCKETS`] descriptors.
    pub(super) fn fleet_section(&self, own: &str) -> Result<Option<FleetSection>, ConfigError> {
        let Some(value) = &self.fleet else {
            return Ok(None);
        };
        let section = FleetSection::parse(value, own)?;
        section.check_descriptors(self.limits.sockets, MIN_SOCKETS)?;
        Ok(Some(section))
    }

    /// Checks all but the addresses and the `fleet` section.
    ///
    /// # Errors
    /// The first fault, in the order of seed, limits, hand-over, clock and settings.
    pub(super) fn check(&self) -> Result<CheckedFile, ConfigError> {
        let seed =
            u64::from_str_radix(&self.seed, 16).map_err(|source| ConfigError::InvalidSeed {
                value: self.seed.clone(),
                source,
            })?;
        let sockets = self.limits.sockets;
        if sockets < MIN_SOCKETS {
            return Err(ConfigError::TooFewSockets { sockets });
        }
        self.check_handover()?;
        self.check_clock()?;
        let parsed = settings::parse(&to_lines(&self.settings))?;
        Ok(CheckedFile { seed, parsed })
    }

    fn check_handover(&self) -> Result<(), ConfigError> {
        let Some(path) = &self.handover else {
            return Ok(());
        };
        if path.file_name().is_none() {
            return Err(ConfigError::InvalidHandoverPath);
        }
        Ok(())
    }

    fn check_clock(&self) -> Result<(), ConfigError> {
        let Some(clock) = &self.clock else {
            return Ok(());
        };
        if !self.test {
            return Err(ConfigError::ClockOutsideTest);
        }
        if !clock.is_valid() {
            return Err(ConfigError::InvalidClock);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
