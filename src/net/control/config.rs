//! The configuration of a gateway: the `BALANCER_*` variables and the JSON file that `BALANCER_CONFIG` names.

mod error;
mod file;
mod flatten;
mod limits;

use crate::net::control::endpoint_list::EndpointList;
use crate::net::control::fleet_section::FleetSection;
use crate::net::runtime::clock::Skew;
use cometspool::settings::ParsedSettings;
pub(crate) use error::ConfigError;
use file::ConfigFile;
pub(crate) use limits::Limits;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A configuration that has been checked.
#[derive(Debug)]
pub(crate) struct Config {
    /// The gateway's name, for its log.
    pub name: String,
    /// The address on which clients connect.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of the random numbers; new with each start.
    pub seed: u64,
    /// Limits of the machine.
    pub limits: Limits,
    /// The endpoint list that an earlier process cached.
    pub cached_endpoints: Option<EndpointList>,
    /// The hand-over file; without one nothing is handed over.
    pub handover: Option<PathBuf>,
    /// The fleet layer; without this section it is off.
    pub fleet: Option<FleetSection>,
    /// How far the clock is off, in a test.
    pub clock: Skew,
    /// The settings of the policy and of connections.
    pub parsed: ParsedSettings,
}

impl Config {
    /// Reads the variables and the file. A variable overrides the file's entry.
    ///
    /// # Errors
    /// The first fault that was found.
    pub(crate) fn from_env() -> Result<Config, ConfigError> {
        let file = ConfigFile::read()?;
        let checked = file.check()?;
        let name = variable_or("BALANCER_NAME", &file.name);
        let fleet = file.fleet_section(&name)?;
        let listen = variable_or("BALANCER_LISTEN", &file.listen);
        let discovery = variable_or("BALANCER_DISCOVERY", &file.discovery);
        Ok(Config {
            name,
            listen: parse_address("BALANCER_LISTEN", &listen)?,
            discovery: parse_address("BALANCER_DISCOVERY", &discovery)?,
            seed: checked.seed,
            limits: file.limits,
            cached_endpoints: file.known,
            handover: file.handover,
            fleet,
            clock: file.clock.unwrap_or_default(),
            parsed: checked.parsed,
        })
    }

    /// Descriptors that clients and backends may use: what the fleet layer leaves of the limit.
    pub(crate) fn descriptor_budget(&self) -> usize {
        let fleet_descriptors = match &self.fleet {
            Some(section) => section.max_descriptors(),
            None => 0,
        };
        self.limits.sockets.saturating_sub(fleet_descriptors)
    }

    /// The address of discovery in a file that was replaced while the program runs.
    ///
    /// Here the file's entry overrides the variable: a variable cannot change in a running process, so it holds the old
    /// address.
    ///
    /// # Errors
    /// The first fault that was found in the file: all of it must be usable.
    pub(crate) fn reread_discovery_address() -> Result<SocketAddr, ConfigError> {
        let file = ConfigFile::read()?;
        file.check()?;
        let name = variable_or("BALANCER_NAME", &file.name);
        file.fleet_section(&name)?;
        parse_address("discovery", &file.discovery)
    }
}

/// The variable's value, or `entry` if it is not set or is no Unicode.
fn variable_or(variable: &str, entry: &str) -> String {
    std::env::var(variable).unwrap_or_else(|_| entry.to_owned())
}

/// Parses an address with a port; `name` is the variable or key that an error names.
fn parse_address(name: &'static str, value: &str) -> Result<SocketAddr, ConfigError> {
    value.parse().map_err(|source| ConfigError::InvalidAddress {
        name,
        value: value.to_owned(),
        source,
    })
}

#[cfg(test)]
mod tests;
