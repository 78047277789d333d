//! The JSON configuration file and its validation.

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

/// The configuration file as parsed from JSON. Unknown keys are ignored.
#[derive(Debug, Deserialize)]
pub(super) struct ConfigFile {
    /// The name of the gateway; `BALANCER_NAME` overrides it.
    #[serde(default)]
    pub(super) name: String,
    /// The address to listen on for clients; `BALANCER_LISTEN` overrides it.
    #[serde(default)]
    pub(super) listen: String,
    /// The address of the discovery agent; `BALANCER_DISCOVERY` overrides it at start-up, but not on a reload.
    #[serde(default)]
    pub(super) discovery: String,
    /// The seed of all random numbers: hexadecimal, 64 bits.
    pub(super) seed: String,
    /// The resource limits of the process.
    pub(super) limits: Limits,
    /// The endpoint list that a previous process cached.
    pub(super) known: Option<EndpointList>,
    /// The path of the hand-over file; `None` disables the hand-over.
    pub(super) handover: Option<PathBuf>,
    /// The `fleet` section. It is parsed separately, so that its errors name the key.
    pub(super) fleet: Option<Value>,
    /// Whether the gateway runs in a test. Only a test may set `clock`.
    #[serde(default)]
    pub(super) test: bool,
    /// The clock skew that a test simulates.
    pub(super) clock: Option<Skew>,
    /// The settings of the policy engine and of the connection pool, as nested objects.
    pub(super) settings: Value,
}

/// The values of the file that need further parsing after the JSON.
#[derive(Debug)]
pub(super) struct CheckedFile {
    /// The parsed seed.
    pub(super) seed: u64,
    /// The parsed settings.
    pub(super) parsed: ParsedSettings,
}

impl ConfigFile {
    /// Reads the file that `BALANCER_CONFIG` names.
    ///
    /// # Errors
    /// The variable is not set, the file cannot be read, or its content is malformed.
    pub(super) fn read() -> Result<ConfigFile, ConfigError> {
        let path = std::env::var("BALANCER_CONFIG").map_err(|_| ConfigError::MissingConfigPath)?;
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(source) => return Err(ConfigError::Unreadable { path, source }),
        };
        serde_json::from_str(&text).map_err(|source| ConfigError::Malformed { path, source })
    }

    /// Parses the `fleet` section for the gateway named `local_name`. Returns `None` if the file has no such section.
    ///
    /// # Errors
    /// The section is invalid, or leaves fewer than [`MIN_SOCKETS`] file descriptors for clients and backends.
    pub(super) fn fleet_section(
        &self,
        local_name: &str,
    ) -> Result<Option<FleetSection>, ConfigError> {
        let Some(value) = &self.fleet else {
            return Ok(None);
        };
        let section = FleetSection::parse(value, local_name)?;
        section.check_descriptors(self.limits.sockets, MIN_SOCKETS)?;
        Ok(Some(section))
    }

    /// Validates everything except the addresses and the `fleet` section.
    ///
    /// # Errors
    /// Returns the first error found, in the order seed, limits, hand-over, clock, settings.
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
            return Err(ConfigError::InvalidHandoverPath { path: path.clone() });
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
            return Err(ConfigError::InvalidClock { skew: *clock });
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
