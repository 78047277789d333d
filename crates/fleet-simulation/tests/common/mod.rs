//! Fixtures that several tests of the simulation share.

use cometspool_fleet_simulation::client_population::{ClientPopulationSpec, Meter};

/// Customers who ask for `rate` units a second in all, through uneven and moving sets of gateways, with a late but true
/// meter. One of them floods every gateway of its set for five seconds, and who is refused comes again twice.
pub(crate) fn flooding_customers(rate: f64) -> ClientPopulationSpec {
    ClientPopulationSpec {
        units_per_second: rate,
        plan_shares: vec![1.0],
        gateway_fraction: (0.5, 1.0),
        weight_exponent: (0.3, 1.5),
        weight_lifetime: (2000.0, 4000.0),
        usage_shares: (0.2, 0.1, 0.2),
        flood: Some((0, 1.0, 2000.0, 7000.0)),
        meter_delay: (420.0, 1400.0),
        meter: Meter::Accurate,
        retries: (2, 300.0),
    }
}
