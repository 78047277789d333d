//! Connections to backends, and the attempts that are sent over them.

pub(super) mod attempt;
pub(super) mod pool_driver;
pub(super) mod response;
pub(super) mod send_permit;
