//! Limit on the load that all gateways together send to a backend in slow start, measured at the backend.
//!
//! A backend in slow start is called cold, a backend with full capacity warm. In any window of [`OVERLOAD_WINDOW`], a
//! cold backend may get at most N + 2 sqrt(N) + 2 requests of mean work. N is the overload factor times the number of
//! such requests that the backend can process within a window with its capacity at that time.

mod common;

use cometspool::*;
use cometspool_fleet_simulation::*;
use common::{flooding_customers, only_class, unlimited_plan};

/// Mean work of a request, in milliseconds on one core of reference speed.
const MEAN_WORK: f64 = 150.0;
/// Load before and after a burst, as a fraction of the capacity of all backends when warm.
const CALM: f64 = 0.5;
/// Load before a burst that follows a quiet time, as a fraction of the capacity of all backends when warm.
const QUIET: f64 = 0.1;
/// Load during a burst, as a fraction of the capacity of all backends when warm.
const BURST: f64 = 3.0;
/// Load that customers request within their quotas, as a fraction of the capacity of all backends when warm.
const OFFERED: f64 = 1.0;
/// Slow start of the modelled backends, which the policy settings assume as well.
const SLOW_START: SlowStart = SlowStart {
    initial_fraction: 0.19,
    duration: 16_000.0,
};
/// Load that a cold backend may get within [`OVERLOAD_WINDOW`], as a multiple of its capacity at that time.
const OVERLOAD_FACTOR: f64 = 2.0;
/// Length of the window over which the load of a cold backend is summed, ms.
const OVERLOAD_WINDOW: Millis = 2000.0;
/// Time during which clients send requests, ms.
const DURATION: Millis = 30_000.0;

/// Size of a fleet: number of gateways, number of backends, and cores of each backend.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    gateways: u32,
    backends: usize,
    cores: usize,
}

/// The fleets that every test runs. In the last one, every gateway uses every backend, and the backends have little
/// capacity.
const FLEETS: [Fleet; 4] = [
    Fleet {
        gateways: 20,
        backends: 16,
        cores: 4,
    },
    Fleet {
        gateways: 30,
        backends: 16,
        cores: 4,
    },
    Fleet {
        gateways: 300,
        backends: 40,
        cores: 4,
    },
    Fleet {
        gateways: 300,
        backends: 16,
        cores: 1,
    },
];
/// Seeds with which each fleet is run.
const SEEDS: std::ops::Range<u64> = 1..6;

impl Fleet {
    /// Returns the rate that a warm backend can serve, requests per second.
    fn warm_rate(&self) -> f64 {
        self.cores as f64 * 1000.0 / MEAN_WORK
    }

    /// Returns the arrival rate at each gateway, requests per second, for a load given as a fraction of the capacity of
    /// all backends when warm.
    fn rate(&self, load: f64) -> f64 {
        load * self.warm_rate() * self.backends as f64 / f64::from(self.gateways)
    }
}

/// A fleet in one zone under the load [`CALM`], without faults.
fn scenario(fleet: Fleet, seed: u64) -> Scenario {
    let backend = BackendSpec {
        cores: fleet.cores,
        ..BackendSpec::default()
    };
    Scenario {
        settings: settings(fleet.gateways),
        classes: vec![only_class(MEAN_WORK, 0.0)],
        backends: vec![backend; fleet.backends],
        zones: 1,
        requests_per_second: fleet.rate(CALM),
        deducts_network_delay: true,
        charges_stalls: true,
        min_deadline_fraction: 1.0,
        gateway_stalls: Vec::new(),
        one_way_delays: NetworkDelays {
            within_zone: 0.2,
            between_zones: 2.0,
        },
        duration: DURATION,
        propagation_delay: 500.0,
        slow_start: SLOW_START,
        max_connections_per_backend: None,
        seed,
        faults: Vec::new(),
        clients: None,
    }
}

fn settings(gateways: u32) -> Settings {
    Settings {
        gateways,
        plans: vec![unlimited_plan()],
        max_attempts: 4,
        hedging: true,
        cancellation: true,
        start_capacity: SLOW_START.initial_fraction,
        warm_up: SLOW_START.duration,
        overload_factor: OVERLOAD_FACTOR,
        overload_window: OVERLOAD_WINDOW,
        ..Settings::default()
    }
}

/// Load of a backend in one window and the limit for it, both in requests of mean work.
#[derive(Clone, Copy, Debug)]
struct WindowLoad {
    requests: f64,
    limit: f64,
}

impl WindowLoad {
    fn utilisation(self) -> f64 {
        self.requests / self.limit
    }
}

/// Returns the window with the highest load relative to its limit. A gateway that has not been notified of a backend's
/// start can't limit its load, so only those windows count in which at least two thirds of the work came from notified
/// gateways.
fn fullest_window(fleet: Fleet, statistics: &RunStatistics) -> WindowLoad {
    let mut fullest = WindowLoad {
        requests: 0.0,
        limit: 1.0,
    };
    for (arrivals, incarnation) in statistics.cold_work.iter().zip(&statistics.incarnations) {
        let mut first = 0;
        let mut requests = 0.0;
        let mut from_notified = 0.0;
        for last in arrivals {
            requests += last.work / MEAN_WORK;
            if last.sender_knew_start {
                from_notified += last.work / MEAN_WORK;
            }
            while arrivals[first].at <= last.at - OVERLOAD_WINDOW {
                requests -= arrivals[first].work / MEAN_WORK;
                if arrivals[first].sender_knew_start {
                    from_notified -= arrivals[first].work / MEAN_WORK;
                }
                first += 1;
            }
            let limit = window_limit(fleet, last.at - incarnation.started_at);
            let window = WindowLoad { requests, limit };
            if from_notified >= requests * 2.0 / 3.0 && window.utilisation() > fullest.utilisation()
            {
                fullest = window;
            }
        }
    }
    fullest
}

/// Returns the limit for a window that ends `age` ms after the start of the backend, in requests of mean work.
fn window_limit(fleet: Fleet, age: Millis) -> f64 {
    let progress = (age / SLOW_START.duration).clamp(0.0, 1.0);
    let capacity = SLOW_START.initial_fraction + (1.0 - SLOW_START.initial_fraction) * progress;
    let allowed = OVERLOAD_FACTOR * capacity * fleet.warm_rate() * OVERLOAD_WINDOW / 1000.0;
    allowed + 2.0 * allowed.sqrt() + 2.0
}

/// Runs all fleets and seeds with a changed scenario and checks every run against the limit. Fails also if no work
/// arrived at a cold backend of a fleet, since such runs would check nothing.
fn check_limit(name: &str, change: impl Fn(Fleet, &mut Scenario)) {
    let mut violations = Vec::new();
    for fleet in FLEETS {
        let mut cold_arrivals = 0;
        for seed in SEEDS {
            let mut scenario = scenario(fleet, seed);
            change(fleet, &mut scenario);
            let statistics = run(scenario);
            let cold: usize = statistics.cold_work.iter().map(Vec::len).sum();
            cold_arrivals += cold;
            let WindowLoad { requests, limit } = fullest_window(fleet, &statistics);
            println!("{name}: {fleet:?}, seed {seed}: {requests:.0} of {limit:.1}, {cold} in all");
            if requests > limit {
                violations.push(format!(
                    "{fleet:?}, seed {seed}: {requests:.1} of {limit:.1}"
                ));
            }
        }
        assert!(
            cold_arrivals > 0,
            "{name}: no work arrived at a cold backend in {fleet:?}"
        );
    }
    assert!(
        violations.is_empty(),
        "{name}: {} over the limit:\n{}",
        violations.len(),
        violations.join("\n")
    );
}

/// Adds a burst of three seconds that begins at the simulated time `from`, ms.
fn burst(fleet: Fleet, scenario: &mut Scenario, from: Millis) {
    let start = FleetFault::SetRequestRate(fleet.rate(BURST));
    let end = FleetFault::SetRequestRate(fleet.rate(CALM));
    schedule(scenario, from, start);
    schedule(scenario, from + 3000.0, end);
}

/// Adds a fault at the simulated time `at`, ms.
fn schedule(scenario: &mut Scenario, at: Millis, fault: FleetFault) {
    scenario.faults.push(ScheduledFault::new(at, fault));
}

/// Sets the fault of a backend at the simulated time `at`, ms.
fn schedule_backend_fault(
    scenario: &mut Scenario,
    at: Millis,
    backend: usize,
    fault: BackendFault,
) {
    schedule(scenario, at, FleetFault::Backend { backend, fault });
}

/// Announces a backend's availability to all gateways at the simulated time `at`, ms.
fn announce(scenario: &mut Scenario, at: Millis, backend: usize, availability: Availability) {
    schedule(
        scenario,
        at,
        FleetFault::Announce {
            backend,
            availability,
        },
    );
}

/// A backend joins under light load.
#[test]
fn a_backend_that_joins_under_light_load_stays_within_its_slow_start_limit() {
    check_limit("calm", |_, scenario| {
        schedule(scenario, 5000.0, FleetFault::StartBackend(0));
    });
}

/// A backend joins shortly before a burst.
#[test]
fn a_backend_that_joins_under_a_burst_stays_within_its_slow_start_limit() {
    check_limit("burst", |fleet, scenario| {
        schedule(scenario, 5000.0, FleetFault::StartBackend(0));
        burst(fleet, scenario, 5500.0);
    });
}

/// A burst begins when a backend has been cold for three seconds and has got few requests in that time.
#[test]
fn a_burst_after_quiet_keeps_a_cold_backend_within_its_slow_start_limit() {
    check_limit("quiet", |fleet, scenario| {
        scenario.requests_per_second = fleet.rate(QUIET);
        schedule(scenario, 5000.0, FleetFault::StartBackend(0));
        burst(fleet, scenario, 8000.0);
    });
}

/// New backends, a quarter of the fleet's number, join at the same time shortly before a burst.
#[test]
fn several_backends_that_join_at_once_stay_within_their_slow_start_limit() {
    check_limit("several", |fleet, scenario| {
        let joining = scenario.backends.len() / 4;
        for backend in 0..joining {
            schedule(scenario, 5000.0, FleetFault::StartBackend(backend));
        }
        burst(fleet, scenario, 6000.0);
    });
}

/// Half of the backends crash. Their replacements start cold, all at the same time, while a burst exceeds the capacity
/// of the other half.
#[test]
fn half_of_the_backends_returning_at_once_stay_within_their_slow_start_limit() {
    check_limit("half", |fleet, scenario| {
        let half = scenario.backends.len() / 2;
        for backend in 0..half {
            schedule_backend_fault(scenario, 3000.0, backend, BackendFault::Crashed);
        }
        for backend in 0..half {
            announce(scenario, 3200.0, backend, Availability::Removed);
        }
        for backend in 0..half {
            schedule(scenario, 6000.0, FleetFault::StartBackend(backend));
        }
        burst(fleet, scenario, 5500.0);
    });
}

/// All backends have just started, and a burst exceeds even the capacity that they would have when warm.
#[test]
fn a_fleet_that_starts_cold_under_a_burst_stays_within_its_slow_start_limit() {
    check_limit("all", |fleet, scenario| {
        for backend in &mut scenario.backends {
            backend.started_at = Some(0.0);
        }
        burst(fleet, scenario, 1000.0);
    });
}

/// All backends are replaced one after another: each starts to drain when its replacement starts.
#[test]
fn backends_replaced_in_turn_stay_within_their_slow_start_limit() {
    check_limit("replaced", |_, scenario| {
        let count = scenario.backends.len();
        for backend in 0..count {
            let at = 2000.0 + 20_000.0 * backend as f64 / count as f64;
            schedule(scenario, at, FleetFault::StartBackend(backend));
            announce(scenario, at, backend, Availability::Draining);
        }
    });
}

/// Gateways are notified of a new backend at different times within six seconds, so that some of them learn of it late
/// in its slow start.
#[test]
fn endpoint_updates_at_different_times_keep_the_slow_start_limit() {
    check_limit("late", |fleet, scenario| {
        scenario.propagation_delay = 6000.0;
        schedule(scenario, 5000.0, FleetFault::StartBackend(0));
        burst(fleet, scenario, 6500.0);
    });
}

/// A third of the backends answers half of its requests with errors, half of that third crashes later, and gateways
/// retry the failed attempts.
#[test]
fn retries_keep_a_cold_backend_within_its_slow_start_limit() {
    check_limit("retries", |_, scenario| {
        let third = scenario.backends.len() / 3;
        schedule(scenario, 5000.0, FleetFault::StartBackend(0));
        for backend in 0..third {
            schedule_backend_fault(scenario, 5500.0, backend, BackendFault::Errors(0.5));
        }
        for backend in 0..third / 2 {
            schedule_backend_fault(scenario, 7000.0, backend, BackendFault::Crashed);
        }
    });
}

/// A third of the gateways restarts while a backend is cold. A restarted gateway has lost its record of the requests
/// that it sent to the backend.
#[test]
fn restarted_gateways_keep_a_cold_backend_within_its_slow_start_limit() {
    check_limit("anew", |_, scenario| {
        schedule(scenario, 5000.0, FleetFault::StartBackend(0));
        let third = scenario.settings.gateways as usize / 3;
        for gateway in 0..third {
            schedule(scenario, 6000.0, FleetFault::RestartGateway(gateway));
        }
    });
}

/// Half of the backends restart one after another under their old ids. Gateways are notified of each restart at
/// different times within two seconds, and treat the backend as warm until then.
#[test]
fn backends_restarted_in_place_stay_within_their_slow_start_limit() {
    check_limit("in place", |_, scenario| {
        scenario.propagation_delay = 2000.0;
        let half = scenario.backends.len() / 2;
        for backend in 0..half {
            let at = 3000.0 + 500.0 * backend as f64;
            schedule(scenario, at, FleetFault::RestartBackend(backend));
        }
    });
}

/// All backends have just started. Customers request, within their quotas, as much as the backends can serve when warm;
/// one customer adds a flood of the same rate, and clients retry rejected requests.
#[test]
fn retrying_customers_keep_cold_backends_within_their_slow_start_limit() {
    check_limit("customers", |fleet, scenario| {
        let capacity = fleet.warm_rate() * fleet.backends as f64;
        scenario.settings.plans = vec![Plan {
            rate: 5.0,
            burst: 10.0,
            ..Plan::default()
        }];
        scenario.settings.meter_period = 500.0;
        for backend in &mut scenario.backends {
            backend.started_at = Some(0.0);
        }
        scenario.clients = Some(flooding_customers(capacity * OFFERED));
    });
}
