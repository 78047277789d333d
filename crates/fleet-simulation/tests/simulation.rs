//! The simulated fleet: determinism and consistency of its statistics.

mod common;

use cometspool::*;
use cometspool_fleet_simulation::*;
use common::flooding_customers;

fn scenario(seed: u64) -> Scenario {
    let class = Class {
        latency_objective: 1200.0,
        deadline: 3000.0,
        idempotency: Idempotency::Idempotent,
        ..Class::default()
    };
    let faults = vec![
        ScheduledFault::new(2000.0, FleetFault::StartBackend(0)),
        ScheduledFault::new(
            2000.0,
            FleetFault::Announce {
                backend: 0,
                availability: Availability::Draining,
            },
        ),
        ScheduledFault::new(
            3000.0,
            FleetFault::Backend {
                backend: 0,
                fault: BackendFault::Crashed,
            },
        ),
        ScheduledFault::new(
            4000.0,
            FleetFault::Partition {
                zone: 1,
                is_partitioned: true,
            },
        ),
        ScheduledFault::new(
            5000.0,
            FleetFault::Partition {
                zone: 1,
                is_partitioned: false,
            },
        ),
        ScheduledFault::new(
            5000.0,
            FleetFault::Backend {
                backend: 3,
                fault: BackendFault::Errors(0.5),
            },
        ),
    ];
    Scenario {
        settings: Settings {
            gateways: 20,
            plans: vec![Plan {
                rate: 1e4,
                burst: 1e5,
                ..Plan::default()
            }],
            max_attempts: 4,
            hedging: true,
            cancellation: true,
            ..Settings::default()
        },
        classes: vec![ClassSpec {
            class,
            share: 1.0,
            mean_work: 150.0,
            coefficient_of_variation: 1.0,
        }],
        backends: (0..16)
            .map(|i| BackendSpec {
                zone: i % 2,
                ..BackendSpec::default()
            })
            .collect(),
        zones: 2,
        requests_per_second: 10.0,
        deducts_network_delay: true,
        charges_stalls: true,
        min_deadline_fraction: 0.3,
        gateway_stalls: vec![GatewayStall {
            gateway: 2,
            from: 3000.0,
            until: 3600.0,
        }],
        one_way_delays: NetworkDelays {
            within_zone: 0.2,
            between_zones: 2.0,
        },
        duration: 8000.0,
        propagation_delay: 500.0,
        slow_start: SlowStart {
            initial_fraction: 0.25,
            duration: 8000.0,
        },
        max_connections_per_backend: Some(12),
        seed,
        faults,
        clients: None,
    }
}

/// Guards the figures: a seed determines the run, and another seed gives another.
#[test]
fn a_seed_determines_the_run() {
    let (first, again, other) = (run(scenario(1)), run(scenario(1)), run(scenario(2)));
    assert_eq!(first, again);
    assert_ne!(first, other);
}

/// Guards the sums: every request has one end, useful work is no more than was done, tables hold what they hold, and most
/// of a day with some trouble is served.
#[test]
fn the_statistics_of_a_run_are_consistent() {
    for seed in 1..6 {
        let statistics = run(scenario(seed));
        assert_eq!(statistics.outcomes.total(), statistics.requests);
        assert!(
            statistics.wasted_work >= 0.0 && statistics.wasted_work < statistics.work,
            "{} of {}",
            statistics.wasted_work,
            statistics.work
        );
        assert!(
            statistics.first_attempts <= statistics.requests
                && statistics.first_attempts <= statistics.attempts
        );
        assert!(
            statistics.peak_connections.iter().all(|peak| *peak <= 12),
            "{:?}",
            statistics.peak_connections
        );
        assert!(
            statistics.dials > 0
                && statistics.served_share() > 0.6
                && statistics.served_share() <= 1.0,
            "{}",
            statistics.served_share()
        );
    }
}

/// Guards what quotas are judged by: a seed determines the account; what is served within the quotas is no more than was offered,
/// every attempt is forwarded or rejected for a reason, and no ceiling is passed while one customer floods every gateway of its set and
/// two thirds of the gateways restart.
#[test]
fn the_quota_account_covers_every_attempt_and_no_ceiling_is_passed() {
    let flooded = |seed| {
        let ceiling = Ceiling {
            rate: 20.0,
            burst: 40.0,
            slack: 4.0,
        };
        let plan = Plan {
            rate: 10.0,
            burst: 20.0,
            over_quota_cost: 0.5,
            ceiling: Some(ceiling),
            ..Plan::default()
        };
        let clients = flooding_customers(150.0);
        let mut scenario = scenario(seed);
        scenario.faults = (0..14)
            .map(|gateway| ScheduledFault::new(4000.0, FleetFault::RestartGateway(gateway)))
            .collect();
        scenario.settings = Settings {
            plans: vec![plan],
            meter_period: 500.0,
            ..scenario.settings
        };
        Scenario {
            clients: Some(clients),
            min_deadline_fraction: 0.9,
            gateway_stalls: Vec::new(),
            max_connections_per_backend: None,
            ..scenario
        }
    };
    for seed in 1..4 {
        let account = run(flooded(seed)).quota_account;
        assert_eq!(account, run(flooded(seed)).quota_account);
        let refused: u64 = account.rejections_by_reason.values().sum();
        let sent = account.units_within_quota + account.units_over_quota;
        assert!(
            sent + refused as f64 >= account.attempts as f64 * 0.95,
            "{sent}, {refused}: {account:?}"
        );
        assert!(
            account.served <= account.offered && account.served > 0.5 * account.offered,
            "{account:?}"
        );
        assert!(
            account.min_ceiling_margin >= 0.0,
            "a ceiling is passed: {account:?}"
        );
        assert!(
            account.rejections_by_reason.contains_key("Ceiling"),
            "{account:?}"
        );
    }
}
