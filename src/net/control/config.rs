//! The configuration of a gateway, from the `BALANCER_*` environment variables and the JSON file that `BALANCER_CONFIG`
//! names.

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

/// The validated configuration of a gateway.
#[derive(Debug)]
pub(crate) struct Config {
    /// The name of the gateway, which identifies it in its log and in the fleet.
    pub name: String,
    /// The address to listen on for client connections.
    pub listen: SocketAddr,
    /// The address of the discovery agent.
    pub discovery: SocketAddr,
    /// The seed of all random numbers. The deployment sets a new one for each start.
    pub seed: u64,
    /// The resource limits of the process.
    pub limits: Limits,
    /// The endpoint list that a previous process cached; `None` if there is none.
    pub cached_endpoints: Option<EndpointList>,
    /// The path of the hand-over file; `None` disables the hand-over.
    pub handover: Option<PathBuf>,
    /// The `fleet` section; `None` disables the fleet layer.
    pub fleet: Option<FleetSection>,
    /// The clock skew that a test simulates.
    pub clock: Skew,
    /// The settings of the policy engine and of the connection pool.
    pub parsed: ParsedSettings,
}

impl Config {
    /// Reads the configuration file and the environment variables. A variable overrides the corresponding key of the
    /// file.
    ///
    /// # Errors
    /// Returns the first error found.
    pub(crate) fn from_env() -> Result<Config, ConfigError> {
        let file = ConfigFile::read()?;
        let checked = file.check()?;
        let name = env_or("BALANCER_NAME", &file.name);
        let fleet = file.fleet_section(&name)?;
        let listen = env_or("BALANCER_LISTEN", &file.listen);
        let discovery = env_or("BALANCER_DISCOVERY", &file.discovery);
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

    /// Number of file descriptors for connections of clients and backends: the limit of the process less the
    /// descriptors of the fleet layer.
    pub(crate) fn descriptor_budget(&self) -> usize {
        let fleet_descriptors = match &self.fleet {
            Some(section) => section.max_descriptors(),
            None => 0,
        };
        self.limits.sockets.saturating_sub(fleet_descriptors)
    }

    /// Reads the address of discovery from a configuration file that was replaced while the gateway runs.
    ///
    /// Unlike at start-up, the file overrides the environment variable: a variable cannot change in a running process,
    /// so it still holds the old address.
    ///
    /// # Errors
    /// Returns the first error found in the file. The whole file must be valid, not only the address.
    pub(crate) fn reread_discovery_address() -> Result<SocketAddr, ConfigError> {
        let file = ConfigFile::read()?;
        file.check()?;
        let name = env_or("BALANCER_NAME", &file.name);
        file.fleet_section(&name)?;
        parse_address("discovery", &file.discovery)
    }
}

/// The value of the environment variable, or `entry` if the variable is not set or not valid Unicode.
fn env_or(variable: &str, entry: &str) -> String {
    std::env::var(variable).unwrap_or_else(|_| entry.to_owned())
}

/// Parses an IP address with a port. `name` is the environment variable or configuration key to name in an error.
fn parse_address(name: &'static str, value: &str) -> Result<SocketAddr, ConfigError> {
    value.parse().map_err(|source| ConfigError::InvalidAddress {
        name,
        value: value.to_owned(),
        source,
    })
}

#[cfg(test)]
mod tests;
