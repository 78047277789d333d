//! What cold backends get from all gateways together, counted at the backends.
//!
//! The rule: while a backend is cold it gets, in any window of the time that the settings name, work for at most
//! N + 2 sqrt(N) + 2 requests of mean work, where N is the overload factor times what it can do in such a window by then.

mod common;

use cometspool::*;
use cometspool_fleet_simulation::*;
use common::flooding_customers;

/// Mean work of a request, ms of a core.
const WORK: f64 = 150.0;
/// Part of what warm backends can do that is asked for before and after a burst, in a quiet time, and in a burst.
const CALM: f64 = 0.5;
const QUIET: f64 = 0.1;
const BURST: f64 = 3.0;
/// Part of it that customers ask for within their quotas.
const OFFERED: f64 = 1.0;
/// Part of its warm capacity with which a backend starts, and the time until it has all of it.
const COLD: (f64, Millis) = (0.19, 16_000.0);
/// By how much a cold backend may be overloaded, and in which time.
const OVERLOAD: (f64, Millis) = (2.0, 2000.0);
/// Length of a day.
const LENGTH: Millis = 30_000.0;

/// A fleet: gateways, backends, and the cores of each of these.
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
/// Days of each.
const SEEDS: std::ops::Range<u64> = 1..6;

impl Fleet {
    /// Requests a second that a warm backend can do.
    fn warm_rate(&self) -> f64 {
        self.cores as f64 * 1000.0 / WORK
    }

    /// Requests a second for each gateway that come to this part of what the warm backends can do.
    fn rate(&self, part: f64) -> f64 {
        part * self.warm_rate() * self.backends as f64 / f64::from(self.gateways)
    }
}

fn spec(fleet: Fleet, seed: u64) -> Scenario {
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
            start_capacity: COLD.0,
            warm_up: COLD.1,
            overload_factor: OVERLOAD.0,
            overload_window: OVERLOAD.1,
            ..Settings::default()
        },
        classes: vec![ClassSpec {
            class,
            share: 1.0,
            mean_work: WORK,
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
        one_way_delays: (0.2, 2.0),
        duration: LENGTH,
        propagation_delay: 500.0,
        slow_start: COLD,
        max_connections_per_backend: None,
        seed,
        faults: Vec::new(),
        clients: None,
    }
}

/// The window that is fullest beside its limit, of those that the gateways answer for: two thirds of what came in it
/// was sent by such as had been told of the start. Requests of mean work in it, and the limit.
fn fullest(fleet: Fleet, statistics: &RunStatistics) -> (f64, f64) {
    let mut fullest = (0.0, 1.0);
    for (came, (born, _)) in statistics.cold_work.iter().zip(&statistics.incarnations) {
        let (mut first, mut work, mut told) = (0, 0.0, 0.0);
        for last in came {
            work += last.work / WORK;
            told += if last.sender_knew_start {
                last.work / WORK
            } else {
                0.0
            };
            while came[first].at <= last.at - OVERLOAD.1 {
                work -= came[first].work / WORK;
                told -= if came[first].sender_knew_start {
                    came[first].work / WORK
                } else {
                    0.0
                };
                first += 1;
            }
            let warmth = COLD.0 + (1.0 - COLD.0) * ((last.at - born) / COLD.1).clamp(0.0, 1.0);
            let allowed = OVERLOAD.0 * warmth * fleet.warm_rate() * OVERLOAD.1 / 1000.0;
            let limit = allowed + 2.0 * allowed.sqrt() + 2.0;
            if told >= work * 2.0 / 3.0 && work / limit > fullest.0 / fullest.1 {
                fullest = (work, limit);
            }
        }
    }
    fullest
}

/// Plays all fleets and seeds with what happens in them, and holds each against the limit.
fn judge(name: &str, change: impl Fn(Fleet, &mut Scenario)) {
    let mut over = Vec::new();
    for fleet in FLEETS {
        let mut met = 0;
        for seed in SEEDS {
            let mut spec = spec(fleet, seed);
            change(fleet, &mut spec);
            let statistics = run(spec);
            let cold: usize = statistics.cold_work.iter().map(Vec::len).sum();
            met += cold;
            let (work, limit) = fullest(fleet, &statistics);
            println!("{name}: {fleet:?}, seed {seed}: {work:.0} of {limit:.1}, {cold} in all");
            if work > limit {
                over.push(format!("{fleet:?}, seed {seed}: {work:.1} of {limit:.1}"));
            }
        }
        assert!(
            met > 0,
            "{name}: nothing came to a cold backend in {fleet:?}"
        );
    }
    assert!(
        over.is_empty(),
        "{name}: {} over the limit:\n{}",
        over.len(),
        over.join("\n")
    );
}

/// A burst from `from` on, for three seconds.
fn burst(fleet: Fleet, spec: &mut Scenario, from: Millis) {
    spec.faults
        .push((from, FleetFault::SetRequestRate(fleet.rate(BURST))));
    spec.faults
        .push((from + 3000.0, FleetFault::SetRequestRate(fleet.rate(CALM))));
}

/// A backend that joins in calm.
#[test]
fn one_that_joins_in_calm_gets_no_more_than_it_can_bear() {
    judge("calm", |_, spec| {
        spec.faults.push((5000.0, FleetFault::StartBackend(0)));
    });
}

/// A backend that joins as a burst begins.
#[test]
fn one_that_joins_under_a_burst_gets_no_more_than_it_can_bear() {
    judge("burst", |fleet, spec| {
        spec.faults.push((5000.0, FleetFault::StartBackend(0)));
        burst(fleet, spec, 5500.0);
    });
}

/// A burst that begins while a backend has been cold and hardly asked for some time.
#[test]
fn a_burst_after_quiet_finds_no_crowd_at_the_cold_one() {
    judge("quiet", |fleet, spec| {
        spec.requests_per_second = fleet.rate(QUIET);
        spec.faults.push((5000.0, FleetFault::StartBackend(0)));
        burst(fleet, spec, 8000.0);
    });
}

/// A quarter of the backends at once.
#[test]
fn several_that_join_at_once_get_no_more_than_they_can_bear() {
    judge("several", |fleet, spec| {
        let fresh = spec.backends.len() / 4;
        spec.faults
            .extend((0..fresh).map(|i| (5000.0, FleetFault::StartBackend(i))));
        burst(fleet, spec, 6000.0);
    });
}

/// Half of the backends die, and come back cold at once while there is more to do than the other half can.
#[test]
fn a_half_that_comes_back_at_once_gets_no_more_than_it_can_bear() {
    judge("half", |fleet, spec| {
        let half = spec.backends.len() / 2;
        spec.faults
            .extend((0..half).map(|i| (3000.0, FleetFault::Backend(i, BackendFault::Crashed))));
        spec.faults
            .extend((0..half).map(|i| (3200.0, FleetFault::Announce(i, Availability::Removed))));
        spec.faults
            .extend((0..half).map(|i| (6000.0, FleetFault::StartBackend(i))));
        burst(fleet, spec, 5500.0);
    });
}

/// All backends have just started, and there is more to do than they could if they were warm.
#[test]
fn a_fleet_that_starts_cold_under_a_burst_is_not_pushed_over() {
    judge("all", |fleet, spec| {
        spec.backends
            .iter_mut()
            .for_each(|backend| backend.started_at = Some(0.0));
        burst(fleet, spec, 1000.0);
    });
}

/// All backends, one after another: each goes as its successor joins.
#[test]
fn those_that_replace_others_in_turn_get_no_more_than_they_can_bear() {
    judge("replaced", |_, spec| {
        let count = spec.backends.len();
        for i in 0..count {
            let at = 2000.0 + 20_000.0 * i as f64 / count as f64;
            spec.faults.push((at, FleetFault::StartBackend(i)));
            spec.faults
                .push((at, FleetFault::Announce(i, Availability::Draining)));
        }
    });
}

/// gateways hear of a backend over six seconds, one of them late in its warming.
#[test]
fn a_list_that_comes_at_different_times_sends_no_crowd() {
    judge("late", |fleet, spec| {
        spec.propagation_delay = 6000.0;
        spec.faults.push((5000.0, FleetFault::StartBackend(0)));
        burst(fleet, spec, 6500.0);
    });
}

/// A third of the backends errs, half of it dies, and what failed is sent again.
#[test]
fn retries_send_no_crowd_to_the_cold_one() {
    judge("retries", |_, spec| {
        let third = spec.backends.len() / 3;
        spec.faults.push((5000.0, FleetFault::StartBackend(0)));
        spec.faults.extend(
            (0..third).map(|i| (5500.0, FleetFault::Backend(i, BackendFault::Errors(0.5)))),
        );
        spec.faults.extend(
            (0..third / 2).map(|i| (7000.0, FleetFault::Backend(i, BackendFault::Crashed))),
        );
    });
}

/// A third of the gateways starts anew while a backend is cold: each begins without what it had given it.
#[test]
fn front_doors_that_start_anew_send_no_crowd_to_the_cold_one() {
    judge("anew", |_, spec| {
        spec.faults.push((5000.0, FleetFault::StartBackend(0)));
        let third = spec.settings.gateways as usize / 3;
        spec.faults
            .extend((0..third).map(|gateway| (6000.0, FleetFault::RestartGateway(gateway))));
    });
}

/// Half of the backends start anew one after another under their old names, and gateways hear of it over two seconds:
/// until then they take them for warm, afterwards they begin anew with them.
#[test]
fn those_that_start_anew_in_place_get_no_more_than_they_can_bear() {
    judge("in place", |_, spec| {
        spec.propagation_delay = 2000.0;
        let half = spec.backends.len() / 2;
        spec.faults
            .extend((0..half).map(|i| (3000.0 + 500.0 * i as f64, FleetFault::RestartBackend(i))));
    });
}

/// Customers within their quotas ask for what the backends can do when warm, one of them for as much again, all have just
/// started, and clients that are refused come again.
#[test]
fn customers_that_come_again_push_no_cold_backend_over() {
    judge("customers", |fleet, spec| {
        let able = fleet.warm_rate() * fleet.backends as f64;
        spec.settings.plans = vec![Plan {
            rate: 5.0,
            burst: 10.0,
            ..Plan::default()
        }];
        spec.settings.meter_period = 500.0;
        spec.backends
            .iter_mut()
            .for_each(|backend| backend.started_at = Some(0.0));
        spec.clients = Some(flooding_customers(able * OFFERED));
    });
}
