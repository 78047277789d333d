//! The endpoint list as discovery sends it and the configuration caches it. The keys of the JSON are those of the platform's
//! protocol; unknown ones are ignored.

use serde::Deserialize;
use std::net::SocketAddr;

/// The endpoints of the service, or those that changed since the version before.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct EndpointList {
    /// The version of the list after these changes; a watch is resumed from it.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether it names every endpoint, rather than only those that changed.
    #[serde(rename = "whole")]
    pub is_full: bool,
    /// The endpoints.
    #[serde(rename = "hosts")]
    pub endpoints: Vec<Endpoint>,
}

/// One backend of the list.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Endpoint {
    /// Its name, the same at every gateway.
    #[serde(rename = "host")]
    pub name: String,
    /// The address that it listens on.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// Its zone, by name.
    #[serde(rename = "site", default)]
    pub zone: String,
    /// Its cell, by number.
    #[serde(rename = "block", default)]
    pub cell: u32,
    /// Whether it accepts requests.
    pub health: Health,
    /// Its capacity relative to other backends; 1 where the list has none.
    #[serde(rename = "share", default = "default_weight")]
    pub weight: f64,
    /// When it last started, in Unix milliseconds; 0 if that is long ago.
    #[serde(rename = "born_ms", default)]
    pub started_at_ms: f64,
}

/// The state of a backend in the list.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Health {
    /// Accepts requests.
    Up,
    /// Finishes its requests and is sent no new ones.
    Draining,
    /// No longer part of the service.
    Removed,
}

fn default_weight() -> f64 {
    1.0
}

#[cfg(test)]
mod tests;
