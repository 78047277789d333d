//! Experiment with backends that are replaced while each of many gateways holds few connections to each backend: dials,
//! peaks of the connection counts, and slow start.

use super::{classes, replacement, settings};
use cometspool_fleet_simulation::*;

/// The columns of the table.
pub(crate) const COLUMNS: [&str; 8] = [
    "dials per first",
    "rejected dials",
    "mean peak conns",
    "highest peak",
    "first failed",
    "s to fair share",
    "served share",
    "peak over cold",
];

/// Time during which clients send requests, seconds.
const SECONDS: usize = 45;
/// Attempts at which a backend has its fair share, as a fraction of the mean over all running backends.
const FAIR_SHARE: f64 = 0.8;

/// The fleet of [`scenario`] in a rolling replacement: 40 backends are replaced one by one within 20 s. There is no
/// partition.
pub(crate) fn rolling_replacement(seed: u64) -> Scenario {
    let mut faults = Vec::new();
    for backend in 0..40 {
        let at = 8_000.0 + 500.0 * backend as f64;
        faults.extend(replacement(at, backend));
    }
    Scenario {
        faults,
        ..scenario(seed)
    }
}

/// 300 gateways and 200 backends in two zones; each backend accepts few connections. From 10 s on, 120 of the backends
/// are replaced within 7 s; each is drained, and its replacement is announced. From 32 s to 37 s, the zones are
/// partitioned.
pub(crate) fn scenario(seed: u64) -> Scenario {
    let mut random = RandomSource::new(seed ^ 0x2b99);
    let mut backends = Vec::new();
    for index in 0..200 {
        backends.push(BackendSpec {
            zone: index % 2,
            speed: 0.85 + 0.25 * random.uniform(),
            ..BackendSpec::default()
        });
    }
    let mut faults = Vec::new();
    for backend in 0..120 {
        let at = 10_000.0 + 7000.0 * backend as f64 / 120.0;
        faults.extend(replacement(at, backend));
    }
    for (at, is_partitioned) in [(32_000.0, true), (37_000.0, false)] {
        let fault = FleetFault::Partition {
            zone: 1,
            is_partitioned,
        };
        faults.push(ScheduledFault::new(at, fault));
    }
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
        duration: SECONDS as f64 * 1000.0,
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

/// Returns the figures of a run in the order of [`COLUMNS`]. If the environment variable `DETAIL` is set, also prints
/// the dials by second on standard error.
pub(crate) fn row(statistics: &RunStatistics) -> Vec<f64> {
    if std::env::var("DETAIL").is_ok() {
        eprintln!("dials by second: {:?}", statistics.dials_by_second);
    }
    let peaks = &statistics.peak_connections;
    let times = times_to_fair_share(statistics);
    vec![
        statistics.dials as f64 / statistics.first_attempts as f64,
        statistics.rejected_dials as f64 / statistics.dials as f64,
        peaks.iter().sum::<usize>() as f64 / peaks.len() as f64,
        peaks.iter().copied().max().unwrap_or(0) as f64,
        statistics.failed_first_attempts as f64 / statistics.first_attempts as f64,
        times.iter().sum::<f64>() / times.len().max(1) as f64,
        statistics.served_share(),
        statistics.peak_over_capacity,
    ]
}

/// Returns the number of attempts that were sent to a backend in a second.
fn attempts_in(statistics: &RunStatistics, backend: usize, second: usize) -> f64 {
    let by_second = &statistics.attempts_by_backend[backend];
    f64::from(by_second.get(second).copied().unwrap_or(0))
}

/// Returns the mean number of attempts in a second over the backends that are running when the second begins.
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

/// Returns, for each backend that started during the run, the time in seconds until it gets its fair share of the
/// attempts. A backend that never gets it counts until the end of the run.
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
        let fair_second = (first..SECONDS)
            .find(|second| attempts_in(statistics, backend, *second) >= FAIR_SHARE * means[*second])
            .unwrap_or(SECONDS);
        times.push(fair_second as f64 - incarnation.started_at / 1000.0);
    }
    times
}
