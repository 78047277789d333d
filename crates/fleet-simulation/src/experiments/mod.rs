//! The experiments: the scenario of each, and the figures that are printed of it.

pub(crate) mod health;
pub(crate) mod multi_stage;
pub(crate) mod pools;
pub(crate) mod quotas;

use cometspool::*;
use cometspool_fleet_simulation::ClassSpec;

/// The classes of the booking service, with their aims, deadlines, worth and work.
fn classes() -> Vec<ClassSpec> {
    let class = |aim, deadline, worth, effect| Class {
        latency_objective: aim,
        deadline,
        priority_weight: worth,
        idempotency: effect,
        ..Class::default()
    };
    let keyed = Idempotency::WithKey {
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
            class: class(1200.0, 3000.0, 3.0, keyed),
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
        start_capacity: 0.19,
        warm_up: 16_000.0,
        overload_factor: 2.0,
        overload_window: 2000.0,
        ..Settings::default()
    }
}
