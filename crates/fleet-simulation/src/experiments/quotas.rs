//! Experiment with quotas: customers with plans send requests through 300 gateways (three in `few`), in ordinary and in
//! adverse scenarios. Every request is measured against the true state of its customer's quota.

use super::{pools, settings};
use cometspool::*;
use cometspool_fleet_simulation::client_population::{
    ClientPopulationSpec, Flood, Interval, Meter, QuotaAccount, RetryBehavior, UsageShares,
};
use cometspool_fleet_simulation::*;

/// Names of the scenarios, in the order in which they are run; [`scenario`] describes them.
pub(crate) const SCENARIOS: [&str; 9] = [
    "calm", "silent", "late", "absurd", "moving", "rolling", "killed", "flood", "few",
];

/// The columns of the table.
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

/// Number of gateways that restart together in the scenario `rolling`.
const RESTART_GROUP: u32 = 30;

/// The plans: two for many small customers, with a cost or a reduced weight for over-quota requests, and one for few
/// large customers, with a ceiling.
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

/// 300 gateways (three in `few`). The requests within the quotas take half of the capacity of the backends.
///
/// - `calm`: no disturbance.
/// - `silent`, `late`, `absurd`: the usage meter reports nothing, reports 5 s to 6.4 s late, or reports nonsense.
/// - `moving`: customers move nearly all of their traffic from one gateway to another every few seconds.
/// - `rolling`, `killed`: the gateways restart in groups of a tenth, or seven in ten restart at once during a flood.
/// - `flood`, `few`: one customer floods the fleet with additional requests, a quarter of the rate of all customers.
fn scenario(name: &str, seed: u64) -> Scenario {
    let is_small = name == "few";
    let gateways: u32 = if is_small { 3 } else { 300 };
    let backend_count = if is_small { 12 } else { 140 };
    let units_per_second = 0.5 * backend_count as f64 * 4000.0 / 208.0;
    Scenario {
        settings: Settings {
            plans: plans(),
            meter_period: 500.0,
            ..settings(gateways)
        },
        backends: vec![BackendSpec::default(); backend_count],
        zones: 1,
        duration: 26_000.0,
        max_connections_per_backend: None,
        faults: faults(name, gateways),
        clients: Some(clients(name, units_per_second)),
        ..pools::scenario(seed)
    }
}

/// Returns the parameters of the customers in a scenario.
fn clients(name: &str, units_per_second: f64) -> ClientPopulationSpec {
    let is_moving = name == "moving";
    ClientPopulationSpec {
        units_per_second,
        plan_shares: vec![0.4, 0.3, 0.3],
        gateway_fraction: interval(0.66, 1.0),
        weight_exponent: if is_moving {
            interval(6.0, 6.0)
        } else {
            interval(0.3, 1.5)
        },
        weight_lifetime: if is_moving {
            interval(3_000.0, 6_000.0)
        } else {
            interval(9_400.0, 22_000.0)
        },
        usage_shares: UsageShares {
            near_limit: 0.16,
            over_limit: 0.08,
            bursty: 0.18,
        },
        flood: matches!(name, "flood" | "few" | "killed").then_some(Flood {
            plan: 2,
            share: 0.25,
            from: 8_000.0,
            until: 20_000.0,
        }),
        meter_delay: if name == "late" {
            interval(5_000.0, 6_400.0)
        } else {
            interval(420.0, 1_400.0)
        },
        meter: match name {
            "silent" => Meter::Silent,
            "absurd" => Meter::Nonsense,
            _ => Meter::Accurate,
        },
        retries: RetryBehavior {
            max_retries: 2,
            mean_wait: 300.0,
        },
    }
}

fn interval(least: f64, most: f64) -> Interval {
    Interval { least, most }
}

/// Returns the restarts of gateways in a scenario.
fn faults(name: &str, gateways: u32) -> Vec<ScheduledFault> {
    match name {
        "rolling" => restarts(6_000.0, 1_500.0, gateways),
        "killed" => restarts(12_000.0, 0.0, gateways * 7 / 10),
        _ => Vec::new(),
    }
}

/// Restarts the first `gateways` gateways in groups of [`RESTART_GROUP`]. The first group restarts at the simulated
/// time `from`, and each further group `step` later; both are in ms.
fn restarts(from: Millis, step: Millis, gateways: u32) -> Vec<ScheduledFault> {
    let mut faults = Vec::new();
    for gateway in 0..gateways {
        let group = f64::from(gateway / RESTART_GROUP);
        let fault = FleetFault::RestartGateway(gateway as usize);
        faults.push(ScheduledFault::new(from + step * group, fault));
    }
    faults
}

/// Runs a scenario and returns its figures in the order of [`COLUMNS`].
pub(crate) fn row(name: &str, seed: u64) -> Vec<f64> {
    let account = run(scenario(name, seed)).quota_account;
    let units = account.units_within_quota + account.units_over_quota;
    vec![
        account.net_value(),
        account.served / account.offered,
        account.units_over_quota / units,
        account.over_quota_cost / account.offered,
        account.rejected_within_quota as f64 / account.attempts as f64,
        rejected_share(&account, "PenaltyBox"),
        rejected_share(&account, "LoadShedding"),
        rejected_share(&account, "TokenBucket"),
        rejected_share(&account, "Ceiling"),
        rejected_share(&account, "NoCapacity"),
        account.min_ceiling_margin,
    ]
}

/// Returns the fraction of all client requests that gateways rejected for a reason.
fn rejected_share(account: &QuotaAccount, reason: &str) -> f64 {
    let rejected = account.rejections_by_reason.get(reason).copied();
    rejected.unwrap_or(0) as f64 / account.attempts as f64
}
