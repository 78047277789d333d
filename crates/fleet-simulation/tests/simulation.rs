//! Determinism of the simulation and consistency of its statistics.

mod common;

use cometspool::*;
use cometspool_fleet_simulation::*;
use common::{flooding_customers, only_class, unlimited_plan};

/// Maximum number of connections that a backend accepts.
const MAX_CONNECTIONS: usize = 12;

/// 20 gateways and 16 backends in two zones. One backend is replaced, one answers half of its requests with errors, the
/// zones are partitioned for one second, and one gateway stalls.
fn scenario(seed: u64) -> Scenario {
    let backends = (0..16)
        .map(|index| BackendSpec {
            zone: index % 2,
            ..BackendSpec::default()
        })
        .collect();
    Scenario {
        settings: settings(),
        classes: vec![only_class(150.0, 1.0)],
        backends,
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
        max_connections_per_backend: Some(MAX_CONNECTIONS),
        seed,
        faults: faults(),
        clients: None,
    }
}

fn settings() -> Settings {
    Settings {
        gateways: 20,
        plans: vec![unlimited_plan()],
        max_attempts: 4,
        hedging: true,
        cancellation: true,
        ..Settings::default()
    }
}

fn faults() -> Vec<ScheduledFault> {
    let draining = FleetFault::Announce {
        backend: 0,
        availability: Availability::Draining,
    };
    let crash = FleetFault::Backend {
        backend: 0,
        fault: BackendFault::Crashed,
    };
    let partition = |is_partitioned| FleetFault::Partition {
        zone: 1,
        is_partitioned,
    };
    let errors = FleetFault::Backend {
        backend: 3,
        fault: BackendFault::Errors(0.5),
    };
    vec![
        ScheduledFault::new(2000.0, FleetFault::StartBackend(0)),
        ScheduledFault::new(2000.0, draining),
        ScheduledFault::new(3000.0, crash),
        ScheduledFault::new(4000.0, partition(true)),
        ScheduledFault::new(5000.0, partition(false)),
        ScheduledFault::new(5000.0, errors),
    ]
}

/// The fleet of [`scenario`] with customers, one of which floods every gateway of its set. 14 of the 20 gateways
/// restart during the flood.
fn flooded_scenario(seed: u64) -> Scenario {
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
    let restarts = (0..14)
        .map(|gateway| ScheduledFault::new(4000.0, FleetFault::RestartGateway(gateway)))
        .collect();
    Scenario {
        settings: Settings {
            plans: vec![plan],
            meter_period: 500.0,
            ..settings()
        },
        faults: restarts,
        clients: Some(flooding_customers(150.0)),
        min_deadline_fraction: 0.9,
        gateway_stalls: Vec::new(),
        max_connections_per_backend: None,
        ..scenario(seed)
    }
}

/// Guards against hidden inputs: the same seed gives the same statistics, and another seed gives different ones.
#[test]
fn a_seed_determines_the_run() {
    let first = run(scenario(1));
    let repeated = run(scenario(1));
    let other = run(scenario(2));
    assert_eq!(first, repeated);
    assert_ne!(first, other);
}

/// Every request has exactly one outcome, wasted work is less than the work done, no backend has more connections than
/// it accepts, and most requests are served although the run has some faults.
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
            statistics
                .peak_connections
                .iter()
                .all(|peak| *peak <= MAX_CONNECTIONS),
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

/// A seed determines the quota account. The weight served within quota is at most the offered weight, at least 95 % of
/// the attempts are either forwarded or rejected for a reason, and no ceiling is exceeded.
#[test]
fn the_quota_account_covers_every_attempt_and_no_ceiling_is_exceeded() {
    for seed in 1..4 {
        let account = run(flooded_scenario(seed)).quota_account;
        assert_eq!(account, run(flooded_scenario(seed)).quota_account);
        let rejected: u64 = account.rejections_by_reason.values().sum();
        let forwarded = account.units_within_quota + account.units_over_quota;
        assert!(
            forwarded + rejected as f64 >= account.attempts as f64 * 0.95,
            "{forwarded}, {rejected}: {account:?}"
        );
        assert!(
            account.served <= account.offered && account.served > 0.5 * account.offered,
            "{account:?}"
        );
        assert!(
            account.min_ceiling_margin >= 0.0,
            "a ceiling is exceeded: {account:?}"
        );
        assert!(
            account.rejections_by_reason.contains_key("Ceiling"),
            "{account:?}"
        );
    }
}
