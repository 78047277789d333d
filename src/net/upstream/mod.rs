//! Connections to backends and the attempts that they carry.

pub mod attempt;
pub mod connection_pool;
pub mod pool_driver;
pub mod response;
pub mod send_permit;
