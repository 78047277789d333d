//! The experiments, a subcommand each: `cometspool-fleet-simulation chain [seeds]`.
//!
//! Each prints a line for every seed and, below, the mean and the spread. `experiments/compare` runs the same scenario
//! with the policy of an earlier commit beside it.

#![forbid(unsafe_code)]

mod quotas;

use cometspool::*;
use cometspool_fleet_simulation::*;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (name, seeds) = (words.next().unwrap_or_default(), words.next());
    let seeds = seeds.map_or(Some(8), |seeds| seeds.parse().ok());
    match (name.as_str(), seeds) {
        ("chain", Some(seeds)) => table(&MULTI_STAGE_COLUMNS, seeds, |seed| {
            multi_stage_row(&run(multi_stage(seed)))
        }),
        ("pools", Some(seeds)) => table(&POOLS_COLUMNS, seeds, |seed| pools_row(&run(pools(seed)))),
        ("health", Some(seeds)) => {
            for gateways in [3, 30, 300] {
                println!("{gateways} gateways");
                table(&HEALTH_COLUMNS, seeds, |seed| health_row(gateways, seed));
            }
        }
        ("roll", Some(seeds)) => table(&POOLS_COLUMNS, seeds, |seed| pools_row(&run(roll(seed)))),
        ("quotas", Some(seeds)) => {
            for scene in quotas::SCENARIOS {
                println!("{scene}");
                table(&quotas::COLUMNS, seeds, |seed| quotas::row(scene, seed));
            }
        }
        ("hurry", Some(seeds)) => table(&MULTI_STAGE_COLUMNS, seeds, |seed| {
            multi_stage_row(&run(impatient_clients(seed)))
        }),
        _ => {
            eprintln!(
                "usage: cometspool-fleet-simulation chain|hurry|pools|roll|health|quotas [seeds]"
            );
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}

/// Prints a row for each seed, then mean, least and most of each column.
fn table(columns: &[&str], seeds: u64, row: impl Fn(u64) -> Vec<f64>) {
    println!(
        "{:>6} {}",
        "seed",
        columns
            .iter()
            .map(|name| format!("{name:>16}"))
            .collect::<String>()
    );
    let rows: Vec<Vec<f64>> = (1..=seeds).map(&row).collect();
    let line = |name: &str, values: &[f64]| {
        println!(
            "{name:>6} {}",
            values
                .iter()
                .map(|value| format!("{value:>16.4}"))
                .collect::<String>()
        );
    };
    for (seed, row) in rows.iter().enumerate() {
        line(&(seed + 1).to_string(), row);
    }
    let column = |i: usize| rows.iter().map(move |row| row[i]);
    let all = |f: &dyn Fn(usize) -> f64| (0..columns.len()).map(f).collect::<Vec<f64>>();
    line(
        "mean",
        &all(&|i| column(i).sum::<f64>() / rows.len().max(1) as f64),
    );
    line("least", &all(&|i| column(i).fold(f64::INFINITY, f64::min)));
    line(
        "most",
        &all(&|i| column(i).fold(f64::NEG_INFINITY, f64::max)),
    );
}

/// The classes of the booking service, with their aims, deadlines, worth and work.
fn classes() -> Vec<ClassSpec> {
    let class = |aim, deadline, worth, effect| Class {
        latency_objective: aim,
        deadline,
        priority_weight: worth,
        idempotency: effect,
        ..Class::default()
    };
    let keyed = Idempotency::WithKey {
        scope: DeduplicationScope::Cell,
        retention: 2000.0,
    };
    vec![
        ClassSpec {
            class: class(2500.0, 6000.0, 1.0, Idempotency::Idempotent),
            share: 0.6,
            mean_work: 240.0,
            coefficient_of_variation: 0.9,
        },
        ClassSpec {
            class: class(1200.0, 3000.0, 3.0, keyed),
            share: 0.27,
            mean_work: 160.0,
            coefficient_of_variation: 1.0,
        },
        ClassSpec {
            class: class(1200.0, 4000.0, 5.0, Idempotency::NonIdempotent),
            share: 0.13,
            mean_work: 160.0,
            coefficient_of_variation: 1.0,
        },
    ]
}

fn settings(gateways: u32) -> Settings {
    Settings {
        gateways,
        tick: 4.0,
        plans: vec![Plan {
            rate: 1e4,
            burst: 1e5,
            ..Plan::default()
        }],
        max_attempts: 5,
        hedging: true,
        cancellation: true,
        retry_after: true,
        max_retry_after: 2000.0,
        cross_zone_cost: 0.01,
        drain_grace: 250.0,
        start_capacity: 0.19,
        warm_up: 16_000.0,
        overload_factor: 2.0,
        overload_window: 2000.0,
        ..Settings::default()
    }
}

/// The chain with clients that wait for as little as a thirtieth of their deadline, and with gateways that stand still
/// now and then: each for up to a second, one or another at any time.
fn impatient_clients(seed: u64) -> Scenario {
    let mut random = RandomSource::new(seed ^ 0x517c);
    let mut pauses = Vec::new();
    for gateway in 0..20 {
        let mut at = random.exponential(6000.0);
        while at < 45_000.0 {
            let end = at + 200.0 + 800.0 * random.uniform();
            pauses.push(GatewayStall {
                gateway,
                from: at,
                until: end,
            });
            at = end + random.exponential(6000.0);
        }
    }
    Scenario {
        min_deadline_fraction: 0.03,
        gateway_stalls: pauses,
        requests_per_second: 40.0,
        ..multi_stage(seed)
    }
}

const MULTI_STAGE_COLUMNS: [&str; 6] = [
    "wasted share",
    "late failures",
    "served share",
    "worst 10 s",
    "sends per first",
    "refused share",
];

/// Three tiers, each calling the next while its own core waits. From 10 s to 30 s three in ten of the last tier take five
/// times as long, and from 18 s to 22 s one in four of the first tier hangs.
fn multi_stage(seed: u64) -> Scenario {
    let mut random = RandomSource::new(seed ^ 0x9e37);
    let (first, second, third) = (24, 12, 12);
    let tier = |from: usize, count: usize| (from..from + count).collect::<Vec<_>>();
    let mut backends = Vec::new();
    for i in 0..first + second + third {
        let (cores, next, listed) = match i {
            i if i < first => (24, tier(first, second), true),
            i if i < first + second => (24, tier(first + second, third), false),
            _ => (9, Vec::new(), false),
        };
        let speed = 0.85 + 0.25 * random.uniform();
        backends.push(BackendSpec {
            cores,
            queue_capacity: 60,
            speed,
            next_tier: next,
            is_listed: listed,
            ..BackendSpec::default()
        });
    }
    let mut faults = Vec::new();
    for i in 0..third * 3 / 10 {
        faults.push(ScheduledFault::new(
            10_000.0,
            FleetFault::Backend(first + second + i, BackendFault::Slow(5.0)),
        ));
        faults.push(ScheduledFault::new(
            30_000.0,
            FleetFault::Backend(first + second + i, BackendFault::None),
        ));
    }
    for i in 0..first / 4 {
        faults.push(ScheduledFault::new(
            18_000.0,
            FleetFault::Backend(i, BackendFault::Silent),
        ));
        faults.push(ScheduledFault::new(
            22_000.0,
            FleetFault::Backend(i, BackendFault::None),
        ));
    }
    let thirds = |classes: Vec<ClassSpec>| {
        classes
            .into_iter()
            .map(|class| ClassSpec {
                mean_work: class.mean_work / 3.0,
                ..class
            })
            .collect()
    };
    Scenario {
        settings: settings(20),
        classes: thirds(classes()),
        backends,
        zones: 1,
        requests_per_second: 50.0,
        deducts_network_delay: true,
        charges_stalls: true,
        min_deadline_fraction: 0.5,
        gateway_stalls: Vec::new(),
        one_way_delays: NetworkDelays {
            within_zone: 1.0,
            between_zones: 1.0,
        },
        duration: 45_000.0,
        propagation_delay: 500.0,
        slow_start: SlowStart {
            initial_fraction: 0.19,
            duration: 16_000.0,
        },
        max_connections_per_backend: None,
        seed,
        faults,
        clients: None,
    }
}

const HEALTH_COLUMNS: [&str; 6] = [
    "to bad, of firsts",
    "in the last 20 s",
    "trials/bad/s",
    "s to under 1 %",
    "served share",
    "ejected/gw/h",
];

/// One backend in eight answers with errors at once from 10 s on; the rest are at six tenths of what they can do, and one
/// answer in five hundred of theirs is an error too.
fn health(gateways: u32, seed: u64) -> Scenario {
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
        .map(|i| ScheduledFault::new(0.0, FleetFault::Backend(i, BackendFault::Errors(0.002))))
        .collect();
    faults.extend(
        (0..count).step_by(8).map(|i| {
            ScheduledFault::new(10_000.0, FleetFault::Backend(i, BackendFault::Errors(1.0)))
        }),
    );
    let rate = 0.6 * count as f64 * 4000.0 / 208.0 / f64::from(gateways);
    Scenario {
        settings: settings(gateways),
        backends,
        zones: 1,
        requests_per_second: rate,
        duration: 50_000.0,
        faults,
        max_connections_per_backend: None,
        ..pools(seed)
    }
}

fn health_row(gateways: u32, seed: u64) -> Vec<f64> {
    let spec = health(gateways, seed);
    let bad = spec.backends.len().div_ceil(8) as f64;
    let statistics = run(spec);
    let share = |from: usize, to: usize| {
        let sum = statistics.first_attempts_by_second[from..to]
            .iter()
            .fold((0, 0), |sum, second| {
                (sum.0 + second.total, sum.1 + second.to_faulty)
            });
        (sum.1 as f64 / sum.0.max(1) as f64, sum.1 as f64)
    };
    let (all, late) = (share(10, 50), share(30, 50));
    let under = (10..49)
        .find(|second| share(*second, second + 2).0 < 0.01)
        .unwrap_or(50);
    vec![
        all.0,
        late.0,
        late.1 / 20.0 / bad,
        under as f64 - 10.0,
        statistics.served_share(),
        statistics.set_aside[0] as f64 / f64::from(gateways) * 3600.0 / 50.0,
    ]
}

const POOLS_COLUMNS: [&str; 8] = [
    "dials per first",
    "refused dials",
    "mean peak conns",
    "highest peak",
    "first failed",
    "s to fair share",
    "served share",
    "peak over cold",
];

/// The fleet of [`pools`] on a day of ordinary work: 40 backends are replaced one by one within 20 s, and nothing fails.
fn roll(seed: u64) -> Scenario {
    let mut faults = Vec::new();
    for i in 0..40usize {
        let at = 8_000.0 + 500.0 * i as f64;
        faults.push(ScheduledFault::new(at, FleetFault::StartBackend(i)));
        faults.push(ScheduledFault::new(
            at,
            FleetFault::Announce(i, Availability::Draining),
        ));
        faults.push(ScheduledFault::new(
            at + 1500.0,
            FleetFault::Backend(i, BackendFault::Crashed),
        ));
        faults.push(ScheduledFault::new(
            at + 1500.0,
            FleetFault::Announce(i, Availability::Removed),
        ));
    }
    Scenario {
        faults,
        ..pools(seed)
    }
}

/// 300 gateways, 200 backends of few connections in two zones. From 10 s on, 120 of the backends are replaced within
/// 7 s, each drained, told and started anew elsewhere; at 32 s a zone falls silent for 5 s.
fn pools(seed: u64) -> Scenario {
    let mut random = RandomSource::new(seed ^ 0x2b99);
    let backends = 200;
    let spec = |i: usize, speed| BackendSpec {
        zone: i as u32 % 2,
        speed,
        ..BackendSpec::default()
    };
    let backends: Vec<_> = (0..backends)
        .map(|i| spec(i, 0.85 + 0.25 * random.uniform()))
        .collect();
    let mut faults = Vec::new();
    for i in 0..120 {
        let at = 10_000.0 + 7000.0 * f64::from(i) / 120.0;
        faults.push(ScheduledFault::new(
            at,
            FleetFault::StartBackend(i as usize),
        ));
        faults.push(ScheduledFault::new(
            at,
            FleetFault::Announce(i as usize, Availability::Draining),
        ));
        faults.push(ScheduledFault::new(
            at + 1500.0,
            FleetFault::Backend(i as usize, BackendFault::Crashed),
        ));
        faults.push(ScheduledFault::new(
            at + 1500.0,
            FleetFault::Announce(i as usize, Availability::Removed),
        ));
    }
    faults.push(ScheduledFault::new(
        32_000.0,
        FleetFault::Partition(1, true),
    ));
    faults.push(ScheduledFault::new(
        37_000.0,
        FleetFault::Partition(1, false),
    ));
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
        duration: 45_000.0,
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

fn pools_row(statistics: &RunStatistics) -> Vec<f64> {
    let peaks = &statistics.peak_connections;
    // A backend that started has its share in the first second in which it gets four fifths of the mean of those that live.
    let mean = |second: usize| {
        let at = second as f64 * 1000.0;
        let living = (0..peaks.len()).filter(|i| {
            statistics.incarnations[*i].started_at <= at
                && at < statistics.incarnations[*i].ended_at
        });
        let (mut sum, mut count) = (0.0, 0.0);
        for i in living {
            sum += f64::from(
                statistics.attempts_by_backend[i]
                    .get(second)
                    .copied()
                    .unwrap_or(0),
            );
            count += 1.0;
        }
        sum / f64::max(count, 1.0)
    };
    let means: Vec<f64> = (0..45).map(mean).collect();
    if std::env::var("DETAIL").is_ok() {
        eprintln!("dials by second: {:?}", statistics.dials_by_second);
    }
    let started = (0..peaks.len()).filter(|i| statistics.incarnations[*i].started_at > 0.0);
    let waits = started.map(|i| {
        let from = (statistics.incarnations[i].started_at / 1000.0).ceil() as usize;
        let sent = |second: usize| {
            f64::from(
                statistics.attempts_by_backend[i]
                    .get(second)
                    .copied()
                    .unwrap_or(0),
            )
        };
        let fair = (from..45).find(|second| sent(*second) >= 0.8 * means[*second]);
        fair.unwrap_or(45) as f64 - statistics.incarnations[i].started_at / 1000.0
    });
    let waits: Vec<f64> = waits.collect();
    vec![
        statistics.dials as f64 / statistics.first_attempts as f64,
        statistics.refused_dials as f64 / statistics.dials as f64,
        peaks.iter().sum::<usize>() as f64 / peaks.len() as f64,
        peaks.iter().copied().max().unwrap_or(0) as f64,
        statistics.failed_first_attempts as f64 / statistics.first_attempts as f64,
        waits.iter().sum::<f64>() / waits.len().max(1) as f64,
        statistics.served_share(),
        statistics.peak_over_capacity,
    ]
}

fn multi_stage_row(statistics: &RunStatistics) -> Vec<f64> {
    vec![
        statistics.wasted_work / statistics.work,
        statistics.late_failures as f64 / statistics.requests as f64,
        statistics.served_share(),
        statistics.worst_ten_seconds(2),
        statistics.attempts as f64 / statistics.first_attempts as f64,
        statistics.ends[1] as f64 / statistics.requests as f64,
    ]
}
