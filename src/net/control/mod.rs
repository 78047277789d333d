//! The control side: the endpoint list, configuration, and what a successor process has to know.

pub mod backoff;
pub mod config;
pub mod discovery;
pub mod endpoint_list;
pub mod fleet_section;
pub mod handover;
