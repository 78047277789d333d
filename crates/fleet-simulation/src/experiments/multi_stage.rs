//! Experiment with backends that call each other in three tiers: wasted work and late failures when one tier is slow.

use super::{backend_fault, classes, settings, CONFIGURED_SLOW_START};
use cometspool::Millis;
use cometspool_fleet_simulation::*;
use std::ops::Range;

/// The columns of the table.
pub(crate) const COLUMNS: [&str; 6] = [
    "wasted share",
    "late failures",
    "served share",
    "worst 10 s",
    "attempts/request",
    "rejected share",
];

/// Number of gateways in the fleet.
const GATEWAYS: u32 = 20;
/// Time during which clients send requests, ms.
const DURATION: Millis = 45_000.0;
/// Indices of the backends of the first tier, the only ones on the endpoint list of the gateways.
const FIRST_TIER: Range<usize> = 0..24;
/// Indices of the backends that the first tier calls.
const SECOND_TIER: Range<usize> = 24..36;
/// Indices of the backends that the second tier calls.
const THIRD_TIER: Range<usize> = 36..48;
/// Mean time from the end of a gateway's stall to the next stall in [`impatient_clients`], ms.
const MEAN_STALL_INTERVAL: Millis = 6000.0;

/// Three tiers of backends. A backend that calls the next tier keeps its own core occupied until the call returns. From
/// 10 s to 30 s, three in ten backends of the last tier take five times as long. From 18 s to 22 s, one in four
/// backends of the first tier does not respond.
pub(crate) fn scenario(seed: u64) -> Scenario {
    let mut random = RandomSource::new(seed ^ 0x9e37);
    let mut backends = Vec::new();
    for _ in FIRST_TIER {
        backends.push(BackendSpec {
            is_listed: true,
            ..backend(24, SECOND_TIER, &mut random)
        });
    }
    for _ in SECOND_TIER {
        backends.push(backend(24, THIRD_TIER, &mut random));
    }
    for _ in THIRD_TIER {
        backends.push(backend(9, 0..0, &mut random));
    }
    let mut classes = classes();
    for class in &mut classes {
        class.mean_work /= 3.0;
    }
    Scenario {
        settings: settings(GATEWAYS),
        classes,
        backends,
        zones: 1,
        requests_per_second: 50.0,
        deducts_network_delay: true,
        charges_stalls: true,
        min_deadline_fraction: 0.5,
        gateway_stalls: Vec::new(),
        one_way_delays: NetworkDelays {
            within_zone: 1.0,
            between_zones: 1.0,
        },
        duration: DURATION,
        propagation_delay: 500.0,
        slow_start: CONFIGURED_SLOW_START,
        max_connections_per_backend: None,
        seed,
        faults: faults(),
        clients: None,
    }
}

/// A backend that is not on the endpoint list and calls the backends `next_tier`.
fn backend(cores: usize, next_tier: Range<usize>, random: &mut RandomSource) -> BackendSpec {
    BackendSpec {
        cores,
        queue_capacity: 60,
        speed: 0.85 + 0.25 * random.uniform(),
        next_tier: next_tier.collect(),
        is_listed: false,
        ..BackendSpec::default()
    }
}

fn faults() -> Vec<ScheduledFault> {
    let mut faults = Vec::new();
    for backend in THIRD_TIER.take(THIRD_TIER.len() * 3 / 10) {
        faults.push(backend_fault(10_000.0, backend, BackendFault::Slow(5.0)));
        faults.push(backend_fault(30_000.0, backend, BackendFault::None));
    }
    for backend in FIRST_TIER.take(FIRST_TIER.len() / 4) {
        faults.push(backend_fault(18_000.0, backend, BackendFault::Silent));
        faults.push(backend_fault(22_000.0, backend, BackendFault::None));
    }
    faults
}

/// The three tiers of [`scenario`], with clients that wait for as little as 3 % of their class's deadline, and with
/// gateways that stall at random times for 0.2 s to 1 s.
pub(crate) fn impatient_clients(seed: u64) -> Scenario {
    let mut random = RandomSource::new(seed ^ 0x517c);
    let mut gateway_stalls = Vec::new();
    for gateway in 0..GATEWAYS as usize {
        let mut from = random.exponential(MEAN_STALL_INTERVAL);
        while from < DURATION {
            let until = from + 200.0 + 800.0 * random.uniform();
            gateway_stalls.push(GatewayStall {
                gateway,
                from,
                until,
            });
            from = until + random.exponential(MEAN_STALL_INTERVAL);
        }
    }
    Scenario {
        min_deadline_fraction: 0.03,
        gateway_stalls,
        requests_per_second: 40.0,
        ..scenario(seed)
    }
}

/// Returns the figures of a run in the order of [`COLUMNS`].
pub(crate) fn row(statistics: &RunStatistics) -> Vec<f64> {
    vec![
        statistics.wasted_work / statistics.work,
        statistics.late_failures as f64 / statistics.requests as f64,
        statistics.served_share(),
        statistics.worst_ten_seconds(2),
        statistics.attempts as f64 / statistics.first_attempts as f64,
        statistics.outcomes.rejected as f64 / statistics.requests as f64,
    ]
}
