//! A seeded simulation of a fleet: many front doors, each with the decision module as it serves, over backends that are
//! models. Time is simulated; one seed gives one run, on any machine.
//!
//! What is real here is the module ([`cometspool::PolicyEngine`]) and whatever cores the experiments bring; what is modelled is stated
//! with [`BackendSpec`] and [`World`]. The experiments are in `src/main.rs`, one subcommand each.

#![forbid(unsafe_code)]

mod chance;
pub mod crowd;
mod pooling;
mod scenario;
mod tally;
mod world;

pub use chance::Chance;
pub use scenario::{BackendSpec, ClassSpec, Fault, Ill, Spec};
pub use tally::{ColdWork, Tally};
pub use world::{play, World};
