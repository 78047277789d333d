//! The JSON format of the endpoint list, as sent by discovery and cached in the configuration. The keys are defined by
//! the protocol of the platform; unknown keys are ignored.

use serde::Deserialize;
use std::net::SocketAddr;

/// All endpoints of the service, or those that changed since the previous version.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct EndpointList {
    /// The version of the list with these endpoints applied. A watch is resumed from this version.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether `endpoints` holds every endpoint rather than only those that changed.
    #[serde(rename = "whole")]
    pub is_full: bool,
    /// The listed endpoints.
    #[serde(rename = "hosts")]
    pub endpoints: Vec<Endpoint>,
}

/// One backend in the list.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Endpoint {
    /// The name of the backend, which is the same at every gateway.
    #[serde(rename = "host")]
    pub name: String,
    /// The address on which the backend listens.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// The name of the backend's zone; empty if the list has none.
    #[serde(rename = "site", default)]
    pub zone: String,
    /// The number of the backend's cell; 0 if the list has none.
    #[serde(rename = "block", default)]
    pub cell: u32,
    /// Whether the backend accepts requests.
    pub health: Health,
    /// The capacity of the backend relative to other backends; 1 if the list has none.
    #[serde(rename = "share", default = "default_weight")]
    pub weight: f64,
    /// When the backend last started, in Unix milliseconds; 0 if that was long ago.
    #[serde(rename = "born_ms", default)]
    pub started_at_ms: f64,
}

/// The health of a backend as reported by discovery.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Health {
    /// The backend accepts requests.
    Up,
    /// The backend completes its requests and must not be sent new ones.
    Draining,
    /// The backend is no longer part of the service.
    Removed,
}

fn default_weight() -> f64 {
    1.0
}

#[cfg(test)]
mod tests;
