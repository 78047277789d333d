//! The gateway on real sockets: the parts round the policy, and how they start and shut down.

// Each imports only what stands above it here, and the driver alone knows both sides.
pub(crate) mod runtime;

mod control;
mod messages;

mod fleet;
mod upstream;

mod downstream;

mod driver;

mod startup;

pub(crate) use startup::{run, StartError};
