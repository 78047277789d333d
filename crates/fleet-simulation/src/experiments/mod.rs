//! The experiments: each has a scenario and a function that computes the figures of a run.

pub(crate) mod health;
pub(crate) mod multi_stage;
pub(crate) mod pools;
pub(crate) mod quotas;

use cometspool::*;
use cometspool_fleet_simulation::{BackendFault, ClassSpec, FleetFault, ScheduledFault, SlowStart};

/// Capacity that the policy settings assume for a backend at its start, as a fraction of the full capacity.
const START_CAPACITY: f64 = 0.19;
/// Time that the policy settings assume from the start of a backend until it has its full capacity, ms.
const WARM_UP: Millis = 16_000.0;
/// Slow start of the modelled backends in scenarios where it is as the policy settings assume.
const CONFIGURED_SLOW_START: SlowStart = SlowStart {
    initial_fraction: START_CAPACITY,
    duration: WARM_UP,
};
/// Time from the start of draining of a replaced backend until its process ends, ms.
const DRAIN_DURATION: Millis = 1500.0;

/// The request classes of a booking service: idempotent, idempotent with a key, and non-idempotent.
fn classes() -> Vec<ClassSpec> {
    let with_key = Idempotency::WithKey {
        scope: DeduplicationScope::Cell,
        retention: 2000.0,
    };
    vec![
        ClassSpec {
            class: class(2500.0, 6000.0, 1.0, Idempotency::Idempotent),
            share: 0.6,
            mean_work: 240.0,
            coefficient_of_variation: 0.9,
        },
        ClassSpec {
            class: class(1200.0, 3000.0, 3.0, with_key),
            share: 0.27,
            mean_work: 160.0,
            coefficient_of_variation: 1.0,
        },
        ClassSpec {
            class: class(1200.0, 4000.0, 5.0, Idempotency::NonIdempotent),
            share: 0.13,
            mean_work: 160.0,
            coefficient_of_variation: 1.0,
        },
    ]
}

/// A class with the given latency objective and deadline, ms.
fn class(
    latency_objective: Millis,
    deadline: Millis,
    priority_weight: f64,
    idempotency: Idempotency,
) -> Class {
    Class {
        latency_objective,
        deadline,
        priority_weight,
        idempotency,
        ..Class::default()
    }
}

/// The policy settings for a fleet of `gateways` gateways, with one plan whose quota is never exhausted.
fn settings(gateways: u32) -> Settings {
    Settings {
        gateways,
        tick: 4.0,
        plans: vec![Plan {
            rate: 1e4,
            burst: 1e5,
            ..Plan::default()
        }],
        max_attempts: 5,
        hedging: true,
        cancellation: true,
        retry_after: true,
        max_retry_after: 2000.0,
        cross_zone_cost: 0.01,
        drain_grace: 250.0,
        start_capacity: START_CAPACITY,
        warm_up: WARM_UP,
        overload_factor: 2.0,
        overload_window: 2000.0,
        ..Settings::default()
    }
}

/// Sets the fault of a backend at the simulated time `at`, ms.
fn backend_fault(at: Millis, backend: usize, fault: BackendFault) -> ScheduledFault {
    ScheduledFault::new(at, FleetFault::Backend { backend, fault })
}

/// Notifies all gateways of a backend's availability; the announcement is made at the simulated time `at`, ms.
fn announcement(at: Millis, backend: usize, availability: Availability) -> ScheduledFault {
    ScheduledFault::new(
        at,
        FleetFault::Announce {
            backend,
            availability,
        },
    )
}

/// Replaces a backend from the simulated time `at` (ms) on: a copy starts and the backend drains. After
/// [`DRAIN_DURATION`], the backend's process ends and the backend leaves the endpoint list.
fn replacement(at: Millis, backend: usize) -> [ScheduledFault; 4] {
    let end = at + DRAIN_DURATION;
    [
        ScheduledFault::new(at, FleetFault::StartBackend(backend)),
        announcement(at, backend, Availability::Draining),
        backend_fault(end, backend, BackendFault::Crashed),
        announcement(end, backend, Availability::Removed),
    ]
}
