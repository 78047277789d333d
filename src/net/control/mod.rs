//! The control plane of a gateway: its configuration, service discovery, and the state left by the previous process.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`config`] | the configuration, from environment variables and a JSON file |
//! | [`fleet_section`] | the `fleet` section of the configuration file |
//! | [`discovery`] | the watch on the endpoint list |
//! | [`endpoint_list`] | the JSON format of the endpoint list |
//! | [`backoff`] | pauses between calls to a service that all gateways of a fleet call |
//! | [`handover`] | the file in which a process leaves request records for its successor |

pub(super) mod backoff;
pub(super) mod config;
pub(super) mod discovery;
pub(super) mod endpoint_list;
pub(super) mod fleet_section;
pub(super) mod handover;
