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
        ("chain", Some(seeds)) => table(&CHAIN, seeds, |seed| chain_row(&play(chain(seed)))),
        ("pools", Some(seeds)) => table(&POOLS, seeds, |seed| pools_row(&play(pools(seed)))),
        ("health", Some(seeds)) => {
            for doors in [3, 30, 300] {
                println!("{doors} front doors");
                table(&HEALTH, seeds, |seed| health_row(doors, seed));
            }
        }
        ("roll", Some(seeds)) => table(&POOLS, seeds, |seed| pools_row(&play(roll(seed)))),
        ("quotas", Some(seeds)) => {
            for scene in quotas::SCENES {
                println!("{scene}");
                table(&quotas::COLUMNS, seeds, |seed| quotas::row(scene, seed));
            }
        }
        ("hurry", Some(seeds)) => table(&CHAIN, seeds, |seed| chain_row(&play(hurry(seed)))),
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
            work: 240.0,
            cv: 0.9,
        },
        ClassSpec {
            class: class(1200.0, 3000.0, 3.0, keyed),
            share: 0.27,
            work: 160.0,
            cv: 1.0,
        },
        ClassSpec {
            class: class(1200.0, 4000.0, 5.0, Idempotency::NonIdempotent),
            share: 0.13,
            work: 160.0,
            cv: 1.0,
        },
    ]
}

fn settings(doors: u32) -> Settings {
    Settings {
        gateways: doors,
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

/// The chain with clients that wait for as little as a thirtieth of their deadline, and with front doors that stand still
/// now and then: each for up to a second, one or another at any time.
fn hurry(seed: u64) -> Spec {
    let mut chance = Chance::new(seed ^ 0x517c);
    let mut pauses = Vec::new();
    for door in 0..20 {
        let mut at = chance.exponential(6000.0);
        while at < 45_000.0 {
            let end = at + 200.0 + 800.0 * chance.even();
            pauses.push((door, at, end));
            at = end + chance.exponential(6000.0);
        }
    }
    Spec {
        patience: 0.03,
        pauses,
        rate: 40.0,
        ..chain(seed)
    }
}

const CHAIN: [&str; 6] = [
    "wasted share",
    "late failures",
    "served share",
    "worst 10 s",
    "sends per first",
    "refused share",
];

/// Three tiers, each calling the next while its own core waits. From 10 s to 30 s three in ten of the last tier take five
/// times as long, and from 18 s to 22 s one in four of the first tier hangs.
fn chain(seed: u64) -> Spec {
    let mut chance = Chance::new(seed ^ 0x9e37);
    let (first, second, third) = (24, 12, 12);
    let tier = |from: usize, count: usize| (from..from + count).collect::<Vec<_>>();
    let mut backends = Vec::new();
    for i in 0..first + second + third {
        let (cores, next, listed) = match i {
            i if i < first => (24, tier(first, second), true),
            i if i < first + second => (24, tier(first + second, third), false),
            _ => (9, Vec::new(), false),
        };
        let speed = 0.85 + 0.25 * chance.even();
        backends.push(BackendSpec {
            cores,
            room: 60,
            speed,
            next,
            listed,
            ..BackendSpec::default()
        });
    }
    let mut faults = Vec::new();
    for i in 0..third * 3 / 10 {
        faults.push((10_000.0, Fault::Ill(first + second + i, Ill::Slow(5.0))));
        faults.push((30_000.0, Fault::Ill(first + second + i, Ill::No)));
    }
    for i in 0..first / 4 {
        faults.push((18_000.0, Fault::Ill(i, Ill::Silent)));
        faults.push((22_000.0, Fault::Ill(i, Ill::No)));
    }
    let thirds = |classes: Vec<ClassSpec>| {
        classes
            .into_iter()
            .map(|class| ClassSpec {
                work: class.work / 3.0,
                ..class
            })
            .collect()
    };
    Spec {
        settings: settings(20),
        classes: thirds(classes()),
        backends,
        zones: 1,
        rate: 50.0,
        tells_less: true,
        charges_lag: true,
        patience: 0.5,
        pauses: Vec::new(),
        way: (1.0, 1.0),
        length: 45_000.0,
        told_within: 500.0,
        cold: (0.19, 16_000.0),
        table: None,
        seed,
        faults,
        crowd: None,
    }
}

const HEALTH: [&str; 6] = [
    "to bad, of firsts",
    "in the last 20 s",
    "trials/bad/s",
    "s to under 1 %",
    "served share",
    "aside/door/h",
];

/// One backend in eight answers with errors at once from 10 s on; the rest are at six tenths of what they can do, and one
/// answer in five hundred of theirs is an error too.
fn health(doors: u32, seed: u64) -> Spec {
    let backends = if doors < 30 {
        12
    } else {
        2 * doors as usize / 3
    };
    let mut chance = Chance::new(seed ^ 0x61c8);
    let spec = |speed| BackendSpec {
        speed,
        ill: Ill::No,
        ..BackendSpec::default()
    };
    let backends: Vec<_> = (0..backends)
        .map(|_| spec(0.85 + 0.25 * chance.even()))
        .collect();
    let count = backends.len();
    let mut faults: Vec<_> = (0..count)
        .map(|i| (0.0, Fault::Ill(i, Ill::Errors(0.002))))
        .collect();
    faults.extend(
        (0..count)
            .step_by(8)
            .map(|i| (10_000.0, Fault::Ill(i, Ill::Errors(1.0)))),
    );
    let rate = 0.6 * count as f64 * 4000.0 / 208.0 / f64::from(doors);
    Spec {
        settings: settings(doors),
        backends,
        zones: 1,
        rate,
        length: 50_000.0,
        faults,
        table: None,
        ..pools(seed)
    }
}

fn health_row(doors: u32, seed: u64) -> Vec<f64> {
    let spec = health(doors, seed);
    let bad = spec.backends.len().div_ceil(8) as f64;
    let tally = play(spec);
    let share = |from: usize, to: usize| {
        let sum = tally.to_ill[from..to]
            .iter()
            .fold((0, 0), |sum, second| (sum.0 + second.0, sum.1 + second.1));
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
        tally.share(),
        tally.set_aside[0] as f64 / f64::from(doors) * 3600.0 / 50.0,
    ]
}

const POOLS: [&str; 8] = [
    "dials per first",
    "refused dials",
    "mean peak links",
    "highest peak",
    "first failed",
    "s to fair share",
    "served share",
    "peak over cold",
];

/// The fleet of [`pools`] on a day of ordinary work: 40 backends are replaced one by one within 20 s, and nothing fails.
fn roll(seed: u64) -> Spec {
    let mut faults = Vec::new();
    for i in 0..40usize {
        let at = 8_000.0 + 500.0 * i as f64;
        faults.push((at, Fault::Start(i)));
        faults.push((at, Fault::Told(i, Availability::Draining)));
        faults.push((at + 1500.0, Fault::Ill(i, Ill::Dead)));
        faults.push((at + 1500.0, Fault::Told(i, Availability::Removed)));
    }
    Spec {
        faults,
        ..pools(seed)
    }
}

/// 300 front doors, 200 backends of few connections in two zones. From 10 s on, 120 of the backends are replaced within
/// 7 s, each drained, told and started anew elsewhere; at 32 s a zone falls silent for 5 s.
fn pools(seed: u64) -> Spec {
    let mut chance = Chance::new(seed ^ 0x2b99);
    let backends = 200;
    let spec = |i: usize, speed| BackendSpec {
        zone: i as u32 % 2,
        speed,
        ..BackendSpec::default()
    };
    let backends: Vec<_> = (0..backends)
        .map(|i| spec(i, 0.85 + 0.25 * chance.even()))
        .collect();
    let mut faults = Vec::new();
    for i in 0..120 {
        let at = 10_000.0 + 7000.0 * f64::from(i) / 120.0;
        faults.push((at, Fault::Start(i as usize)));
        faults.push((at, Fault::Told(i as usize, Availability::Draining)));
        faults.push((at + 1500.0, Fault::Ill(i as usize, Ill::Dead)));
        faults.push((at + 1500.0, Fault::Told(i as usize, Availability::Removed)));
    }
    faults.push((32_000.0, Fault::Cut(1, true)));
    faults.push((37_000.0, Fault::Cut(1, false)));
    Spec {
        settings: settings(300),
        classes: classes(),
        backends,
        zones: 2,
        rate: 7.0,
        tells_less: true,
        charges_lag: true,
        patience: 0.5,
        pauses: Vec::new(),
        way: (0.2, 2.0),
        length: 45_000.0,
        told_within: 500.0,
        cold: (0.25, 14_000.0),
        table: Some(48),
        seed,
        faults,
        crowd: None,
    }
}

fn pools_row(tally: &Tally) -> Vec<f64> {
    let peaks = &tally.peaks;
    // A backend that started has its share in the first second in which it gets four fifths of the mean of those that live.
    let mean = |second: usize| {
        let at = second as f64 * 1000.0;
        let living = (0..peaks.len()).filter(|i| tally.lives[*i].0 <= at && at < tally.lives[*i].1);
        let (mut sum, mut count) = (0.0, 0.0);
        for i in living {
            sum += f64::from(tally.sent_to[i].get(second).copied().unwrap_or(0));
            count += 1.0;
        }
        sum / f64::max(count, 1.0)
    };
    let means: Vec<f64> = (0..45).map(mean).collect();
    if std::env::var("DETAIL").is_ok() {
        eprintln!("dials by second: {:?}", tally.dials_by_second);
    }
    let started = (0..peaks.len()).filter(|i| tally.lives[*i].0 > 0.0);
    let waits = started.map(|i| {
        let from = (tally.lives[i].0 / 1000.0).ceil() as usize;
        let sent = |second: usize| f64::from(tally.sent_to[i].get(second).copied().unwrap_or(0));
        let fair = (from..45).find(|second| sent(*second) >= 0.8 * means[*second]);
        fair.unwrap_or(45) as f64 - tally.lives[i].0 / 1000.0
    });
    let waits: Vec<f64> = waits.collect();
    vec![
        tally.dials as f64 / tally.firsts as f64,
        tally.crowded as f64 / tally.dials as f64,
        peaks.iter().sum::<usize>() as f64 / peaks.len() as f64,
        peaks.iter().copied().max().unwrap_or(0) as f64,
        tally.first_failed as f64 / tally.firsts as f64,
        waits.iter().sum::<f64>() / waits.len().max(1) as f64,
        tally.share(),
        tally.peak_over_capacity,
    ]
}

fn chain_row(tally: &Tally) -> Vec<f64> {
    vec![
        tally.wasted / tally.work,
        tally.late_failures as f64 / tally.asked as f64,
        tally.share(),
        tally.worst_ten(2),
        tally.sends as f64 / tally.firsts as f64,
        tally.ends[1] as f64 / tally.asked as f64,
    ]
}
