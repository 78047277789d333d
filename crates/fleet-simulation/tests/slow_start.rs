//! What backends in slow start get from all gateways together, counted at the backends.
//!
//! The rule: while a backend is cold it gets, in any window of the time that the settings name, work for at most
//! N + 2 sqrt(N) + 2 requests of mean work, where N is the overload factor times what it can do in such a window by then.

mod common;

use cometspool::*;
use cometspool_fleet_simulation::*;
use common::flooding_customers;

/// Mean work of a request, in milliseconds of one core.
const MEAN_WORK: f64 = 150.0;
/// Load before and after a burst, as a fraction of the capacity of the warm backends.
const CALM: f64 = 0.5;
/// Load in a quiet time, likewise.
const QUIET: f64 = 0.1;
/// Load in a burst, likewise.
const BURST: f64 = 3.0;
/// Load that customers ask for within their quotas, likewise.
const OFFERED: f64 = 1.0;
/// How a backend's capacity grows after its start.
const SLOW_START: SlowStart = SlowStart {
    initial_fraction: 0.19,
    duration: 16_000.0,
};
/// Multiple of its present capacity that a cold backend bears within [`OVERLOAD_WINDOW`].
const OVERLOAD_FACTOR: f64 = 2.0;
/// The window in which its load is counted, in milliseconds.
const OVERLOAD_WINDOW: Millis = 2000.0;
/// How long clients send requests, in milliseconds.
const DURATION: Millis = 30_000.0;

/// A fleet: its gateways, its backends, and the cores of each backend.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    gateways: u32,
    backends: usize,
    cores: usize,
}

/// The fleets. In the last, every gateway meets every backend, and each of these can do little.
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
/// Seeds that each fleet is run with.
const SEEDS: std::ops::Range<u64> = 1..6;

impl Fleet {
    /// Requests a second that a warm backend can do.
    fn warm_rate(&self) -> f64 {
        self.cores as f64 * 1000.0 / MEAN_WORK
    }

    /// Requests a second for each gateway that come to this part of what the warm backends can do.
    fn rate(&self, part: f64) -> f64 {
        part * self.warm_rate() * self.backends as f64 / f64::from(self.gateways)
    }
}

fn scenario(fleet: Fleet, seed: u64) -> Scenario {
    let Fleet {
        gateways,
        backends,
        cores,
    } = fleet;
    let class = Class {
        latency_objective: 1200.0,
        deadline: 3000.0,
        idempotency: Idempotency::Idempotent,
        ..Class::default()
    };
    Scenario {
        settings: Settings {
            gateways,
            plans: vec![Plan {
                rate: 1e4,
                burst: 1e5,
                ..Plan::default()
            }],
            max_attempts: 4,
            hedging: true,
            cancellation: true,
            start_capacity: SLOW_START.initial_fraction,
            warm_up: SLOW_START.duration,
            overload_factor: OVERLOAD_FACTOR,
            overload_window: OVERLOAD_WINDOW,
            ..Settings::default()
        },
        classes: vec![ClassSpec {
            class,
            share: 1.0,
            mean_work: MEAN_WORK,
            coefficient_of_variation: 0.0,
        }],
        backends: (0..backends)
            .map(|_| BackendSpec {
                cores,
                ..BackendSpec::default()
            })
            .collect(),
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

/// The load of one window beside its limit, both in requests of mean work.
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

/// The fullest window beside its limit, of those that the gateways answer for: two thirds of the work in it was sent by
/// gateways that had been notified of the backend's start.
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

/// Requests of mean work that a backend may get within a window that ends `age` after its start.
fn window_limit(fleet: Fleet, age: Millis) -> f64 {
    let progress = (age / SLOW_START.duration).clamp(0.0, 1.0);
    let capacity = SLOW_START.initial_fraction + (1.0 - SLOW_START.initial_fraction) * progress;
    let allowed = OVERLOAD_FACTOR * capacity * fleet.warm_rate() * OVERLOAD_WINDOW / 1000.0;
    allowed + 2.0 * allowed.sqrt() + 2.0
}

/// Runs all fleets and seeds with a change of the scenario, and checks each against the limit.
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
            "{name}: nothing came to a cold backend in {fleet:?}"
        );
    }
    assert!(
        violations.is_empty(),
        "{name}: {} over the limit:\n{}",
        violations.len(),
        violations.join("\n")
    );
}

/// A burst from `from` on, for three seconds.
fn burst(fleet: Fleet, scenario: &mut Scenario, from: Millis) {
    scenario.faults.push(ScheduledFault::new(
        from,
        FleetFault::SetRequestRate(fleet.rate(BURST)),
    ));
    scenario.faults.push(ScheduledFault::new(
        from + 3000.0,
        FleetFault::SetRequestRate(fleet.rate(CALM)),
    ));
}

/// A backend that joins in calm.
#[test]
fn a_backend_that_joins_under_light_load_stays_within_its_slow_start_limit() {
    check_limit("calm", |_, scenario| {
        scenario
            .faults
            .push(ScheduledFault::new(5000.0, FleetFault::StartBackend(0)));
    });
}

/// A backend that joins as a burst begins.
#[test]
fn a_backend_that_joins_under_a_burst_stays_within_its_slow_start_limit() {
    check_limit("burst", |fleet, scenario| {
        scenario
            .faults
            .push(ScheduledFault::new(5000.0, FleetFault::StartBackend(0)));
        burst(fleet, scenario, 5500.0);
    });
}

/// A burst that begins while a backend has been cold and hardly asked for some time.
#[test]
fn a_burst_after_quiet_keeps_a_cold_backend_within_its_slow_start_limit() {
    check_limit("quiet", |fleet, scenario| {
        scenario.requests_per_second = fleet.rate(QUIET);
        scenario
            .faults
            .push(ScheduledFault::new(5000.0, FleetFault::StartBackend(0)));
        burst(fleet, scenario, 8000.0);
    });
}

/// A quarter of the backends at once.
#[test]
fn several_backends_that_join_at_once_stay_within_their_slow_start_limit() {
    check_limit("several", |fleet, scenario| {
        let fresh = scenario.backends.len() / 4;
        scenario
            .faults
            .extend((0..fresh).map(|i| ScheduledFault::new(5000.0, FleetFault::StartBackend(i))));
        burst(fleet, scenario, 6000.0);
    });
}

/// Half of the backends die, and come back cold at once while there is more to do than the other half can.
#[test]
fn half_of_the_backends_returning_at_once_stay_within_their_slow_start_limit() {
    check_limit("half", |fleet, scenario| {
        let half = scenario.backends.len() / 2;
        scenario.faults.extend((0..half).map(|i| {
            ScheduledFault::new(
                3000.0,
                FleetFault::Backend {
                    backend: i,
                    fault: BackendFault::Crashed,
                },
            )
        }));
        scenario.faults.extend((0..half).map(|i| {
            ScheduledFault::new(
                3200.0,
                FleetFault::Announce {
                    backend: i,
                    availability: Availability::Removed,
                },
            )
        }));
        scenario
            .faults
            .extend((0..half).map(|i| ScheduledFault::new(6000.0, FleetFault::StartBackend(i))));
        burst(fleet, scenario, 5500.0);
    });
}

/// All backends have just started, and there is more to do than they could if they were warm.
#[test]
fn a_fleet_that_starts_cold_under_a_burst_stays_within_its_slow_start_limit() {
    check_limit("all", |fleet, scenario| {
        scenario
            .backends
            .iter_mut()
            .for_each(|backend| backend.started_at = Some(0.0));
        burst(fleet, scenario, 1000.0);
    });
}

/// All backends, one after another: each goes as its successor joins.
#[test]
fn backends_replaced_in_turn_stay_within_their_slow_start_limit() {
    check_limit("replaced", |_, scenario| {
        let count = scenario.backends.len();
        for i in 0..count {
            let at = 2000.0 + 20_000.0 * i as f64 / count as f64;
            scenario
                .faults
                .push(ScheduledFault::new(at, FleetFault::StartBackend(i)));
            scenario.faults.push(ScheduledFault::new(
                at,
                FleetFault::Announce {
                    backend: i,
                    availability: Availability::Draining,
                },
            ));
        }
    });
}

/// Gateways hear of a backend over six seconds, one of them late in its warming.
#[test]
fn endpoint_updates_at_different_times_keep_the_slow_start_limit() {
    check_limit("late", |fleet, scenario| {
        scenario.propagation_delay = 6000.0;
        scenario
            .faults
            .push(ScheduledFault::new(5000.0, FleetFault::StartBackend(0)));
        burst(fleet, scenario, 6500.0);
    });
}

/// A third of the backends errs, half of it dies, and what failed is sent again.
#[test]
fn retries_keep_a_cold_backend_within_its_slow_start_limit() {
    check_limit("retries", |_, scenario| {
        let third = scenario.backends.len() / 3;
        scenario
            .faults
            .push(ScheduledFault::new(5000.0, FleetFault::StartBackend(0)));
        scenario.faults.extend((0..third).map(|i| {
            ScheduledFault::new(
                5500.0,
                FleetFault::Backend {
                    backend: i,
                    fault: BackendFault::Errors(0.5),
                },
            )
        }));
        scenario.faults.extend((0..third / 2).map(|i| {
            ScheduledFault::new(
                7000.0,
                FleetFault::Backend {
                    backend: i,
                    fault: BackendFault::Crashed,
                },
            )
        }));
    });
}

/// A third of the gateways starts anew while a backend is cold: each begins without what it had given it.
#[test]
fn restarted_gateways_keep_a_cold_backend_within_its_slow_start_limit() {
    check_limit("anew", |_, scenario| {
        scenario
            .faults
            .push(ScheduledFault::new(5000.0, FleetFault::StartBackend(0)));
        let third = scenario.settings.gateways as usize / 3;
        scenario.faults.extend(
            (0..third)
                .map(|gateway| ScheduledFault::new(6000.0, FleetFault::RestartGateway(gateway))),
        );
    });
}

/// Half of the backends start anew one after another under their old names, and gateways hear of it over two seconds:
/// until then they take them for warm, afterwards they begin anew with them.
#[test]
fn backends_restarted_in_place_stay_within_their_slow_start_limit() {
    check_limit("in place", |_, scenario| {
        scenario.propagation_delay = 2000.0;
        let half = scenario.backends.len() / 2;
        scenario.faults.extend((0..half).map(|i| {
            ScheduledFault::new(3000.0 + 500.0 * i as f64, FleetFault::RestartBackend(i))
        }));
    });
}

/// Customers within their quotas ask for what the backends can do when warm, one of them for as much again, all have just
/// started, and clients that are refused come again.
#[test]
fn retrying_customers_keep_cold_backends_within_their_slow_start_limit() {
    check_limit("customers", |fleet, scenario| {
        let able = fleet.warm_rate() * fleet.backends as f64;
        scenario.settings.plans = vec![Plan {
            rate: 5.0,
            burst: 10.0,
            ..Plan::default()
        }];
        scenario.settings.meter_period = 500.0;
        scenario
            .backends
            .iter_mut()
            .for_each(|backend| backend.started_at = Some(0.0));
        scenario.clients = Some(flooding_customers(able * OFFERED));
    });
}
