//! The gateway on real sockets: everything that connects the policy to the network, with start-up and shutdown.

// The modules are declared in dependency order: each one imports only modules declared above it. Only the driver
// depends on both the upstream and the downstream side.
pub(crate) mod runtime;

mod control;
mod messages;

mod fleet;
mod upstream;

mod downstream;

mod driver;

mod startup;

pub(crate) use startup::{run, StartError};
