//! The control side: the endpoint list, configuration, and what a successor process has to know.

pub(super) mod backoff;
pub(super) mod config;
pub(super) mod discovery;
pub(super) mod endpoint_list;
pub(super) mod fleet_section;
pub(super) mod handover;
