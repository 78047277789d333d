//! The control plane of a gateway: what it learns other than from its clients and backends.
//!
//! | module | what it does |
//! | --- | --- |
//! | [`config`] | the configuration, from variables and a JSON file |
//! | [`fleet_section`] | the `fleet` section of that file |
//! | [`discovery`] | the watch on the endpoint list |
//! | [`endpoint_list`] | the list's JSON |
//! | [`backoff`] | pauses between calls to a service that the fleet shares |
//! | [`handover`] | the file by which a process learns of the one before it |

pub(super) mod backoff;
pub(super) mod config;
pub(super) mod discovery;
pub(super) mod endpoint_list;
pub(super) mod fleet_section;
pub(super) mod handover;
