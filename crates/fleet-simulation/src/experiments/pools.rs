//! Backends that are replaced while many gateways hold few connections to each: dials, peaks and slow start.

use super::{classes, settings};
use cometspool::Availability;
use cometspool_fleet_simulation::*;

/// What is printed of each seed.
pub(crate) const COLUMNS: [&str; 8] = [
    "dials per first",
    "refused dials",
    "mean peak conns",
    "highest peak",
    "first failed",
    "s to fair share",
    "served share",
    "peak over cold",
];

/// The fleet of [`scenario`] under ordinary load: 40 backends are replaced one by one within 20 s, and nothing fails.
pub(crate) fn rolling_replacement(seed: u64) -> Scenario {
    let mut faults = Vec::new();
    for i in 0..40usize {
        let at = 8_000.0 + 500.0 * i as f64;
        faults.push(ScheduledFault::new(at, FleetFault::StartBackend(i)));
        faults.push(ScheduledFault::new(
            at,
            FleetFault::Announce {
                backend: i,
                availability: Availability::Draining,
            },
        ));
        faults.push(ScheduledFault::new(
            at + 1500.0,
            FleetFault::Backend {
                backend: i,
                fault: BackendFault::Crashed,
            },
        ));
        faults.push(ScheduledFault::new(
            at + 1500.0,
            FleetFault::Announce {
                backend: i,
                availability: Availability::Removed,
            },
        ));
    }
    Scenario {
        faults,
        ..scenario(seed)
    }
}

/// 300 gateways, 200 backends of few connections in two zones. From 10 s on, 120 of the backends are replaced within
/// 7 s, each drained, told and started anew elsewhere; at 32 s a zone falls silent for 5 s.
pub(crate) fn scenario(seed: u64) -> Scenario {
    let mut random = RandomSource::new(seed ^ 0x2b99);
    let backends = 200;
    let spec = |i: usize, speed| BackendSpec {
        zone: i as u32 % 2,
        speed,
        ..BackendSpec::default()
    };
    let backends: Vec<_> = (0..backends)
        .map(|i| spec(i, 0.85 + 0.25 * random.uniform()))
        .collect();
    let mut faults = Vec::new();
    for i in 0..120 {
        let at = 10_000.0 + 7000.0 * f64::from(i) / 120.0;
        faults.push(ScheduledFault::new(
            at,
            FleetFault::StartBackend(i as usize),
        ));
        faults.push(ScheduledFault::new(
            at,
            FleetFault::Announce {
                backend: i as usize,
                availability: Availability::Draining,
            },
        ));
        faults.push(ScheduledFault::new(
            at + 1500.0,
            FleetFault::Backend {
                backend: i as usize,
                fault: BackendFault::Crashed,
            },
        ));
        faults.push(ScheduledFault::new(
            at + 1500.0,
            FleetFault::Announce {
                backend: i as usize,
                availability: Availability::Removed,
            },
        ));
    }
    faults.push(ScheduledFault::new(
        32_000.0,
        FleetFault::Partition {
            zone: 1,
            is_partitioned: true,
        },
    ));
    faults.push(ScheduledFault::new(
        37_000.0,
        FleetFault::Partition {
            zone: 1,
            is_partitioned: false,
        },
    ));
    Scenario {
        settings: settings(300),
        classes: classes(),
        backends,
        zones: 2,
        requests_per_second: 7.0,
        deducts_network_delay: true,
        charges_stalls: true,
        min_deadline_fraction: 0.5,
        gateway_stalls: Vec::new(),
        one_way_delays: NetworkDelays {
            within_zone: 0.2,
            between_zones: 2.0,
        },
        duration: 45_000.0,
        propagation_delay: 500.0,
        slow_start: SlowStart {
            initial_fraction: 0.25,
            duration: 14_000.0,
        },
        max_connections_per_backend: Some(48),
        seed,
        faults,
        clients: None,
    }
}

/// Seconds of a run in which clients send requests.
const SECONDS: usize = 45;

/// The figures of a run, in the order of [`COLUMNS`].
pub(crate) fn row(statistics: &RunStatistics) -> Vec<f64> {
    if std::env::var("DETAIL").is_ok() {
        eprintln!("dials by second: {:?}", statistics.dials_by_second);
    }
    let peaks = &statistics.peak_connections;
    let waits = times_to_fair_share(statistics);
    vec![
        statistics.dials as f64 / statistics.first_attempts as f64,
        statistics.rejected_dials as f64 / statistics.dials as f64,
        peaks.iter().sum::<usize>() as f64 / peaks.len() as f64,
        peaks.iter().copied().max().unwrap_or(0) as f64,
        statistics.failed_first_attempts as f64 / statistics.first_attempts as f64,
        waits.iter().sum::<f64>() / waits.len().max(1) as f64,
        statistics.served_share(),
        statistics.peak_over_capacity,
    ]
}

/// Attempts that a backend got in a second.
fn attempts_in(statistics: &RunStatistics, backend: usize, second: usize) -> f64 {
    let by_second = &statistics.attempts_by_backend[backend];
    f64::from(by_second.get(second).copied().unwrap_or(0))
}

/// Mean attempts in a second over the backends that run at its begin.
fn mean_attempts_in(statistics: &RunStatistics, second: usize) -> f64 {
    let begin = second as f64 * 1000.0;
    let mut sum = 0.0;
    let mut count = 0.0;
    for (backend, incarnation) in statistics.incarnations.iter().enumerate() {
        if incarnation.started_at <= begin && begin < incarnation.ended_at {
            sum += attempts_in(statistics, backend, second);
            count += 1.0;
        }
    }
    sum / f64::max(count, 1.0)
}

/// For each backend that started during the run, the seconds until it gets four fifths of the mean.
fn times_to_fair_share(statistics: &RunStatistics) -> Vec<f64> {
    let means: Vec<f64> = (0..SECONDS)
        .map(|second| mean_attempts_in(statistics, second))
        .collect();
    let mut times = Vec::new();
    for (backend, incarnation) in statistics.incarnations.iter().enumerate() {
        if incarnation.started_at <= 0.0 {
            continue;
        }
        let first = (incarnation.started_at / 1000.0).ceil() as usize;
        let fair = (first..SECONDS)
            .find(|second| attempts_in(statistics, backend, *second) >= 0.8 * means[*second]);
        times.push(fair.unwrap_or(SECONDS) as f64 - incarnation.started_at / 1000.0);
    }
    times
}
