//! Discrete-event simulation of a fleet: many gateways in front of modelled backends and clients. Time is simulated,
//! and a run depends only on its scenario and seed, so it has the same result on every machine.
//!
//! Each gateway runs the production policy engine ([`cometspool::PolicyEngine`]) and the production connection pool
//! ([`cometspool::connection_pool`]). Everything else is a model: a [`Scenario`] describes the network, the backends
//! and the faults, and [`client_population`] models customers with quotas.
//!
//! [`run`] runs a scenario and returns its [`RunStatistics`]. The program `cometspool-fleet-simulation` runs the
//! experiments that the figures in `docs/` come from.

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
pub use simulation::run;
pub use statistics::{
    ColdWork, EjectionCounts, FirstAttempts, Incarnation, OutcomeCounts, RunStatistics, WeightSums,
};
