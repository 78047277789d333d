//! Fixtures that several tests of the simulation share.

use cometspool::{Class, Idempotency, Plan};
use cometspool_fleet_simulation::client_population::{
    ClientPopulationSpec, Flood, Interval, Meter, RetryBehavior, UsageShares,
};
use cometspool_fleet_simulation::ClassSpec;

/// A plan whose quota no scenario reaches.
pub(crate) fn unlimited_plan() -> Plan {
    Plan {
        rate: 1e4,
        burst: 1e5,
        ..Plan::default()
    }
}

/// The only class of a scenario: idempotent requests of this mean work, in milliseconds of one core.
pub(crate) fn only_class(mean_work: f64, coefficient_of_variation: f64) -> ClassSpec {
    ClassSpec {
        class: Class {
            latency_objective: 1200.0,
            deadline: 3000.0,
            idempotency: Idempotency::Idempotent,
            ..Class::default()
        },
        share: 1.0,
        mean_work,
        coefficient_of_variation,
    }
}

/// Customers that request `units_per_second` in all, through sets of gateways whose weights differ and change, with an
/// accurate but delayed meter. One of them floods every gateway of its set for five seconds, and clients retry rejected
/// requests twice.
pub(crate) fn flooding_customers(units_per_second: f64) -> ClientPopulationSpec {
    ClientPopulationSpec {
        units_per_second,
        plan_shares: vec![1.0],
        gateway_fraction: Interval {
            least: 0.5,
            most: 1.0,
        },
        weight_exponent: Interval {
            least: 0.3,
            most: 1.5,
        },
        weight_lifetime: Interval {
            least: 2000.0,
            most: 4000.0,
        },
        usage_shares: UsageShares {
            near_limit: 0.2,
            over_limit: 0.1,
            bursty: 0.2,
        },
        flood: Some(Flood {
            plan: 0,
            share: 1.0,
            from: 2000.0,
            until: 7000.0,
        }),
        meter_delay: Interval {
            least: 420.0,
            most: 1400.0,
        },
        meter: Meter::Accurate,
        retries: RetryBehavior {
            max_retries: 2,
            mean_wait: 300.0,
        },
    }
}
