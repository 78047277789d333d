//! A seeded simulation of a fleet: many gateways, each with the decision module as it serves, over backends that are
//! models. Time is simulated; one seed gives one run, on any machine.
//!
//! What is real here is the module ([`cometspool::PolicyEngine`]) and whatever cores the experiments bring; what is modelled is stated
//! with [`BackendSpec`] and [`World`]. The experiments are in `src/main.rs`, one subcommand each.

#![forbid(unsafe_code)]

pub mod client_population;
mod pooling;
mod random;
mod scenario;
mod simulation;
mod statistics;

pub use random::RandomSource;
pub use scenario::{
    BackendFault, BackendSpec, ClassSpec, FleetFault, GatewayStall, NetworkDelays, Scenario,
    ScheduledFault, SlowStart,
};
pub use simulation::{run, Simulation};
pub use statistics::{
    ColdWork, EjectionCounts, FirstAttempts, Incarnation, OutcomeCounts, RunStatistics, WeightSums,
};
