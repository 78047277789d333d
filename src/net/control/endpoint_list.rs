//! The endpoint list as discovery sends it. The names in JSON are those of the platform's protocol.

use serde::Deserialize;
use std::net::SocketAddr;

/// A list of backends, whole or only what changed.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct EndpointList {
    /// The version of the list that this state is of.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether it names every endpoint; else only those that changed.
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
    /// Whether it may be sent requests.
    pub health: Health,
    /// Its capacity relative to other backends.
    #[serde(rename = "share", default = "default_weight")]
    pub weight: f64,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    #[serde(rename = "born_ms", default)]
    pub started_at_ms: f64,
}

/// State of a backend in the list.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Health {
    /// May be sent requests.
    Up,
    /// Finishes the requests that it has.
    Draining,
    /// No longer part of the service.
    Removed,
}

fn default_weight() -> f64 {
    1.0
}

#[cfg(test)]
mod tests;
