//! Backends that answer with errors: how soon and by how many trials the gateways avoid them.

use super::{pools, settings};
use cometspool_fleet_simulation::*;

/// Numbers of gateways that the experiment is run with.
pub(crate) const FLEET_SIZES: [u32; 3] = [3, 30, 300];

/// What is printed of each seed.
pub(crate) const COLUMNS: [&str; 6] = [
    "to faulty, share",
    "in the last 20 s",
    "trials/faulty/s",
    "s to under 1 %",
    "served share",
    "ejected/gw/h",
];

/// One backend in eight answers with errors at once from 10 s on; the rest are at six tenths of what they can do, and one
/// answer in five hundred of theirs is an error too.
fn scenario(gateways: u32, seed: u64) -> Scenario {
    let backends = if gateways < 30 {
        12
    } else {
        2 * gateways as usize / 3
    };
    let mut random = RandomSource::new(seed ^ 0x61c8);
    let spec = |speed| BackendSpec {
        speed,
        fault: BackendFault::None,
        ..BackendSpec::default()
    };
    let backends: Vec<_> = (0..backends)
        .map(|_| spec(0.85 + 0.25 * random.uniform()))
        .collect();
    let count = backends.len();
    let mut faults: Vec<_> = (0..count)
        .map(|i| {
            ScheduledFault::new(
                0.0,
                FleetFault::Backend {
                    backend: i,
                    fault: BackendFault::Errors(0.002),
                },
            )
        })
        .collect();
    faults.extend((0..count).step_by(8).map(|i| {
        ScheduledFault::new(
            10_000.0,
            FleetFault::Backend {
                backend: i,
                fault: BackendFault::Errors(1.0),
            },
        )
    }));
    let rate = 0.6 * count as f64 * 4000.0 / 208.0 / f64::from(gateways);
    Scenario {
        settings: settings(gateways),
        backends,
        zones: 1,
        requests_per_second: rate,
        duration: 50_000.0,
        faults,
        max_connections_per_backend: None,
        ..pools::scenario(seed)
    }
}

/// Runs the experiment; the figures are in the order of [`COLUMNS`].
pub(crate) fn row(gateways: u32, seed: u64) -> Vec<f64> {
    let scenario = scenario(gateways, seed);
    let faulty = scenario.backends.len().div_ceil(8) as f64;
    let statistics = run(scenario);
    let sum = |from: usize, to: usize| {
        let mut sum = FirstAttempts::default();
        for second in &statistics.first_attempts_by_second[from..to] {
            sum.total += second.total;
            sum.to_faulty += second.to_faulty;
        }
        sum
    };
    let faulty_share =
        |attempts: FirstAttempts| attempts.to_faulty as f64 / attempts.total.max(1) as f64;
    let after_the_fault = sum(10, 50);
    let late = sum(30, 50);
    let below_one_percent = (10..49)
        .find(|second| faulty_share(sum(*second, second + 2)) < 0.01)
        .unwrap_or(50);
    vec![
        faulty_share(after_the_fault),
        faulty_share(late),
        late.to_faulty as f64 / 20.0 / faulty,
        below_one_percent as f64 - 10.0,
        statistics.served_share(),
        statistics.ejections.healthy as f64 / f64::from(gateways) * 3600.0 / 50.0,
    ]
}
