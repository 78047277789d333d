//! The experiments, a subcommand each: `cometspool-fleet-simulation chain [seeds]`.
//!
//! Each prints a line for every seed and, below, the mean and the spread. `experiments/compare` runs the same scenario
//! with the policy of an earlier commit beside it.

#![forbid(unsafe_code)]

mod experiments;

use cometspool_fleet_simulation::{run, Scenario};
use experiments::{health, multi_stage, pools, quotas};
use std::process::ExitCode;

/// Seeds that an experiment is run with unless their number is given.
const DEFAULT_SEEDS: u64 = 8;

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let name = words.next().unwrap_or_default();
    let seeds = match words.next() {
        Some(word) => word.parse().ok(),
        None => Some(DEFAULT_SEEDS),
    };
    let Some(seeds) = seeds else {
        return usage();
    };
    match name.as_str() {
        "chain" => print_multi_stage(seeds, multi_stage::scenario),
        "hurry" => print_multi_stage(seeds, multi_stage::impatient_clients),
        "pools" => print_pools(seeds, pools::scenario),
        "roll" => print_pools(seeds, pools::rolling_replacement),
        "health" => print_health(seeds),
        "quotas" => print_quotas(seeds),
        _ => return usage(),
    }
    ExitCode::SUCCESS
}

fn usage() -> ExitCode {
    eprintln!("usage: cometspool-fleet-simulation chain|hurry|pools|roll|health|quotas [seeds]");
    ExitCode::from(2)
}

fn print_multi_stage(seeds: u64, scenario: fn(u64) -> Scenario) {
    print_table(&multi_stage::COLUMNS, seeds, |seed| {
        multi_stage::row(&run(scenario(seed)))
    });
}

fn print_pools(seeds: u64, scenario: fn(u64) -> Scenario) {
    print_table(&pools::COLUMNS, seeds, |seed| {
        pools::row(&run(scenario(seed)))
    });
}

fn print_health(seeds: u64) {
    for gateways in health::FLEET_SIZES {
        println!("{gateways} gateways");
        print_table(&health::COLUMNS, seeds, |seed| health::row(gateways, seed));
    }
}

fn print_quotas(seeds: u64) {
    for scenario in quotas::SCENARIOS {
        println!("{scenario}");
        print_table(&quotas::COLUMNS, seeds, |seed| quotas::row(scenario, seed));
    }
}

/// Prints a row for each seed, then mean, least and most of each column.
fn print_table(columns: &[&str], seeds: u64, row: impl Fn(u64) -> Vec<f64>) {
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
