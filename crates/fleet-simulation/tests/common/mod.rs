//! Fixtures that several tests of the simulation share.

use cometspool_fleet_simulation::crowd::{CrowdSpec, Meter};

/// Customers who ask for `rate` units a second in all, through uneven and moving sets of front doors, with a late but true
/// meter. One of them floods every door of its set for five seconds, and who is refused comes again twice.
pub(crate) fn flooding_customers(rate: f64) -> CrowdSpec {
    CrowdSpec {
        rate,
        shares: vec![1.0],
        spread: (0.5, 1.0),
        skew: (0.3, 1.5),
        shift: (2000.0, 4000.0),
        kinds: (0.2, 0.1, 0.2),
        flood: Some((0, 1.0, 2000.0, 7000.0)),
        late: (420.0, 1400.0),
        meter: Meter::True,
        again: (2, 300.0),
    }
}
