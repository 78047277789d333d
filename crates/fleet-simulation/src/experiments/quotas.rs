//! The experiment on quotas: customers as the operators describe them, through three hundred gateways, on calm days and
//! on hard ones. Every try is held against its customer's true store.

use super::{pools, settings};
use cometspool::*;
use cometspool_fleet_simulation::client_population::{
    ClientPopulationSpec, Flood, Interval, Meter, RetryBehavior, UsageShares,
};
use cometspool_fleet_simulation::*;

/// What is played.
pub(crate) const SCENARIOS: [&str; 9] = [
    "calm", "silent", "late", "absurd", "moving", "rolling", "killed", "flood", "few",
];

/// What is told of each.
pub(crate) const COLUMNS: [&str; 11] = [
    "net value",
    "served within",
    "over quota, sent",
    "over-quota cost",
    "rejected, room",
    "penalty box",
    "load shedding",
    "token bucket",
    "ceiling",
    "no capacity",
    "ceiling margin",
];

/// The plans of the service: many small customers, such as earn beyond their quota too, and few great ones with a ceiling.
fn plans() -> Vec<Plan> {
    let ceiling = Ceiling {
        rate: 22.0,
        burst: 44.0,
        slack: 4.4,
    };
    vec![
        Plan {
            rate: 0.8,
            burst: 3.4,
            weight_factor: 0.8,
            over_quota_cost: 0.5,
            ..Plan::default()
        },
        Plan {
            rate: 2.8,
            burst: 12.0,
            max_concurrency: 2,
            weight_factor: 1.2,
            over_quota_weight: 0.2,
            ..Plan::default()
        },
        Plan {
            rate: 10.0,
            burst: 18.0,
            weight_factor: 1.4,
            over_quota_cost: 0.5,
            ceiling: Some(ceiling),
            ..Plan::default()
        },
    ]
}

/// 300 gateways (three in `few`) at half of what their backends can do within the quotas. The meter falls silent, tells
/// its figures 5 s late or nonsense; customers move all of their traffic from gateway to gateway; gateways are restarted a
/// tenth at a time or seven in ten at once, under a flood; one customer asks for a quarter of all traffic on top.
fn scenario(scene: &str, seed: u64) -> Scenario {
    let gateways: u32 = if scene == "few" { 3 } else { 300 };
    let backends = if scene == "few" { 12 } else { 140 };
    let rate = 0.5 * backends as f64 * 4000.0 / 208.0;
    let flood = |plan| Flood {
        plan,
        share: 0.25,
        from: 8_000.0,
        until: 20_000.0,
    };
    let clients = ClientPopulationSpec {
        units_per_second: rate,
        plan_shares: vec![0.4, 0.3, 0.3],
        gateway_fraction: Interval {
            least: 0.66,
            most: 1.0,
        },
        weight_exponent: if scene == "moving" {
            Interval {
                least: 6.0,
                most: 6.0,
            }
        } else {
            Interval {
                least: 0.3,
                most: 1.5,
            }
        },
        weight_lifetime: if scene == "moving" {
            Interval {
                least: 3_000.0,
                most: 6_000.0,
            }
        } else {
            Interval {
                least: 9_400.0,
                most: 22_000.0,
            }
        },
        usage_shares: UsageShares {
            near_limit: 0.16,
            over_limit: 0.08,
            bursty: 0.18,
        },
        flood: if matches!(scene, "flood" | "few" | "killed") {
            Some(flood(2))
        } else {
            None
        },
        meter_delay: if scene == "late" {
            Interval {
                least: 5_000.0,
                most: 6_400.0,
            }
        } else {
            Interval {
                least: 420.0,
                most: 1_400.0,
            }
        },
        meter: match scene {
            "silent" => Meter::Silent,
            "absurd" => Meter::Nonsense,
            _ => Meter::Accurate,
        },
        retries: RetryBehavior {
            max_retries: 2,
            mean_wait: 300.0,
        },
    };
    let restart = |from: f64, step: f64, gateways: u32| {
        (0..gateways).map(move |gateway| {
            ScheduledFault::new(
                from + step * f64::from(gateway / 30),
                FleetFault::RestartGateway(gateway as usize),
            )
        })
    };
    let faults = match scene {
        "rolling" => restart(6_000.0, 1_500.0, gateways).collect(),
        "killed" => restart(12_000.0, 0.0, gateways * 7 / 10).collect(),
        _ => Vec::new(),
    };
    let settings = Settings {
        plans: plans(),
        meter_period: 500.0,
        ..settings(gateways)
    };
    let base = pools::scenario(seed);
    let backends = vec![BackendSpec::default(); backends];
    Scenario {
        settings,
        backends,
        zones: 1,
        duration: 26_000.0,
        max_connections_per_backend: None,
        faults,
        clients: Some(clients),
        ..base
    }
}

/// Plays a day.
pub(crate) fn row(scene: &str, seed: u64) -> Vec<f64> {
    let ledger = run(scenario(scene, seed)).quota_account;
    let tries = ledger.attempts as f64;
    let why =
        |name: &str| ledger.rejections_by_reason.get(name).copied().unwrap_or(0) as f64 / tries;
    vec![
        ledger.net_value(),
        ledger.served / ledger.offered,
        ledger.units_over_quota / (ledger.units_within_quota + ledger.units_over_quota),
        ledger.over_quota_cost / ledger.offered,
        ledger.rejected_within_quota as f64 / tries,
        why("PenaltyBox"),
        why("LoadShedding"),
        why("TokenBucket"),
        why("Ceiling"),
        why("NoCapacity"),
        ledger.min_ceiling_margin,
    ]
}
