//! A seeded simulation of a fleet: many gateways before modelled backends and clients. Time is simulated; a seed
//! determines a run on every machine.
//!
//! Each gateway runs the policy engine ([`cometspool::PolicyEngine`]) and the connection pool
//! ([`cometspool::connection_pool`]) that gateways run in service. All else is a model: the network and the backends
//! are described by a [`Scenario`], clients with quotas by [`client_population`].
//!
//! [`run`] runs a scenario and returns its [`RunStatistics`]. The program `cometspool-fleet-simulation` runs the
//! experiments behind the figures in `docs/`.

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
