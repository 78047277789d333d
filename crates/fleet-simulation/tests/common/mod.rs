//! Fixtures shared by the tests of the simulation.

use cometspool::{Class, Idempotency, Plan};
use cometspool_fleet_simulation::client_population::{
    ClientPopulationSpec, Flood, Interval, Meter, RetryBehavior, UsageShares,
};
use cometspool_fleet_simulation::ClassSpec;

/// A plan whose quota is larger than the requests of any scenario.
pub(crate) fn unlimited_plan() -> Plan {
    Plan {
        rate: 1e4,
        burst: 1e5,
        ..Plan::default()
    }
}

/// The class of a scenario with a single class: idempotent requests. `mean_work` is in milliseconds on one core of
/// reference speed.
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

/// Customers that together request `units_per_second` within their quotas. Each spreads its requests over a set of
/// gateways with different weights that change over time. The usage meter is accurate but delayed. One customer floods
/// the gateways of its set for five seconds. Clients retry a rejected request at most twice.
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
