//! Backends that call each other in three tiers: wasted work and late failures when one tier is slow.

use super::{classes, settings};
use cometspool_fleet_simulation::*;

/// What is printed of each seed.
pub(crate) const COLUMNS: [&str; 6] = [
    "wasted share",
    "late failures",
    "served share",
    "worst 10 s",
    "attempts/request",
    "rejected share",
];

/// Three tiers, each calling the next while its own core waits. From 10 s to 30 s three in ten of the last tier take five
/// times as long, and from 18 s to 22 s one in four of the first tier hangs.
pub(crate) fn scenario(seed: u64) -> Scenario {
    let mut random = RandomSource::new(seed ^ 0x9e37);
    let first = 24;
    let second = 12;
    let third = 12;
    let tier = |from: usize, count: usize| (from..from + count).collect::<Vec<_>>();
    let mut backends = Vec::new();
    for i in 0..first + second + third {
        let (cores, next, listed) = match i {
            i if i < first => (24, tier(first, second), true),
            i if i < first + second => (24, tier(first + second, third), false),
            _ => (9, Vec::new(), false),
        };
        let speed = 0.85 + 0.25 * random.uniform();
        backends.push(BackendSpec {
            cores,
            queue_capacity: 60,
            speed,
            next_tier: next,
            is_listed: listed,
            ..BackendSpec::default()
        });
    }
    let mut faults = Vec::new();
    for i in 0..third * 3 / 10 {
        faults.push(ScheduledFault::new(
            10_000.0,
            FleetFault::Backend {
                backend: first + second + i,
                fault: BackendFault::Slow(5.0),
            },
        ));
        faults.push(ScheduledFault::new(
            30_000.0,
            FleetFault::Backend {
                backend: first + second + i,
                fault: BackendFault::None,
            },
        ));
    }
    for i in 0..first / 4 {
        faults.push(ScheduledFault::new(
            18_000.0,
            FleetFault::Backend {
                backend: i,
                fault: BackendFault::Silent,
            },
        ));
        faults.push(ScheduledFault::new(
            22_000.0,
            FleetFault::Backend {
                backend: i,
                fault: BackendFault::None,
            },
        ));
    }
    let mut classes = classes();
    for class in &mut classes {
        class.mean_work /= 3.0;
    }
    Scenario {
        settings: settings(20),
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
        duration: 45_000.0,
        propagation_delay: 500.0,
        slow_start: SlowStart {
            initial_fraction: 0.19,
            duration: 16_000.0,
        },
        max_connections_per_backend: None,
        seed,
        faults,
        clients: None,
    }
}

/// The three tiers with clients that wait for as little as a thirtieth of their deadline, and with gateways that stall now
/// and then, each for up to a second.
pub(crate) fn impatient_clients(seed: u64) -> Scenario {
    let mut random = RandomSource::new(seed ^ 0x517c);
    let mut gateway_stalls = Vec::new();
    for gateway in 0..20 {
        let mut at = random.exponential(6000.0);
        while at < 45_000.0 {
            let end = at + 200.0 + 800.0 * random.uniform();
            gateway_stalls.push(GatewayStall {
                gateway,
                from: at,
                until: end,
            });
            at = end + random.exponential(6000.0);
        }
    }
    Scenario {
        min_deadline_fraction: 0.03,
        gateway_stalls,
        requests_per_second: 40.0,
        ..scenario(seed)
    }
}

/// The figures of a run, in the order of [`COLUMNS`].
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
