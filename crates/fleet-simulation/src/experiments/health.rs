//! Experiment with backends that answer with errors: how soon gateways avoid them, and how many requests gateways still
//! send to them.

use super::{backend_fault, pools, settings};
use cometspool_fleet_simulation::*;

/// Numbers of gateways that the experiment is run with.
pub(crate) const FLEET_SIZES: [u32; 3] = [3, 30, 300];

/// The columns of the table.
pub(crate) const COLUMNS: [&str; 6] = [
    "to faulty, share",
    "in the last 20 s",
    "trials/faulty/s",
    "s to under 1 %",
    "served share",
    "ejected/gw/h",
];

/// Second of simulated time at which the faults begin.
const FAULT_START: usize = 10;
/// First of the last 20 seconds of the run, in which gateways should avoid the faulty backends.
const LATE_START: usize = 30;
/// Time during which clients send requests, seconds.
const SECONDS: usize = 50;
/// Every backend whose index is a multiple of this becomes faulty.
const FAULTY_INTERVAL: usize = 8;
/// Error rate of a healthy backend, as a fraction of its responses.
const HEALTHY_ERROR_FRACTION: f64 = 0.002;

/// From 10 s on, one backend in eight answers every request with an error. The load is 60 % of the capacity of all
/// backends. Of the responses of healthy backends, 0.2 % are errors as well.
fn scenario(gateways: u32, seed: u64) -> Scenario {
    let backend_count = if gateways < 30 {
        12
    } else {
        2 * gateways as usize / 3
    };
    let mut random = RandomSource::new(seed ^ 0x61c8);
    let mut backends = Vec::new();
    let mut faults = Vec::new();
    for backend in 0..backend_count {
        backends.push(BackendSpec {
            speed: 0.85 + 0.25 * random.uniform(),
            ..BackendSpec::default()
        });
        let fault = BackendFault::Errors(HEALTHY_ERROR_FRACTION);
        faults.push(backend_fault(0.0, backend, fault));
    }
    for backend in (0..backend_count).step_by(FAULTY_INTERVAL) {
        let at = FAULT_START as f64 * 1000.0;
        faults.push(backend_fault(at, backend, BackendFault::Errors(1.0)));
    }
    let rate = 0.6 * backend_count as f64 * 4000.0 / 208.0 / f64::from(gateways);
    Scenario {
        settings: settings(gateways),
        backends,
        zones: 1,
        requests_per_second: rate,
        duration: SECONDS as f64 * 1000.0,
        faults,
        max_connections_per_backend: None,
        ..pools::scenario(seed)
    }
}

/// Runs the experiment and returns its figures in the order of [`COLUMNS`].
pub(crate) fn row(gateways: u32, seed: u64) -> Vec<f64> {
    let scenario = scenario(gateways, seed);
    let faulty_backends = scenario.backends.len().div_ceil(FAULTY_INTERVAL) as f64;
    let statistics = run(scenario);
    let by_second = &statistics.first_attempts_by_second;
    let after_fault = sum(&by_second[FAULT_START..SECONDS]);
    let late = sum(&by_second[LATE_START..SECONDS]);
    let late_seconds = (SECONDS - LATE_START) as f64;
    let below_one_percent = (FAULT_START..SECONDS - 1)
        .find(|second| faulty_share(sum(&by_second[*second..second + 2])) < 0.01)
        .unwrap_or(SECONDS);
    vec![
        faulty_share(after_fault),
        faulty_share(late),
        late.to_faulty as f64 / late_seconds / faulty_backends,
        below_one_percent as f64 - FAULT_START as f64,
        statistics.served_share(),
        statistics.ejections.healthy as f64 / f64::from(gateways) * 3600.0 / SECONDS as f64,
    ]
}

/// Returns the sums of the first attempts over several seconds.
fn sum(seconds: &[FirstAttempts]) -> FirstAttempts {
    let mut sum = FirstAttempts::default();
    for second in seconds {
        sum.total += second.total;
        sum.to_faulty += second.to_faulty;
    }
    sum
}

/// Returns the fraction of first attempts that were sent to faulty backends.
fn faulty_share(attempts: FirstAttempts) -> f64 {
    attempts.to_faulty as f64 / attempts.total.max(1) as f64
}
