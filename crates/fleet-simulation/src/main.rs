//! Command line program that runs one experiment, for example `cometspool-fleet-simulation chain 8`. The second
//! argument is the number of seeds.
//!
//! Prints a row of figures for every seed, then the mean, the minimum and the maximum of each column.
//! `experiments/compare` runs the same scenario a second time, with the policy of an earlier commit.

#![forbid(unsafe_code)]

mod experiments;
mod table;

use cometspool_fleet_simulation::{run, Scenario};
use experiments::{health, multi_stage, pools, quotas};
use std::process::ExitCode;
use table::print_table;

/// Number of seeds that an experiment is run with if the command line gives none.
const DEFAULT_SEEDS: u64 = 8;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let experiment = arguments.next().unwrap_or_default();
    let seeds = match arguments.next() {
        Some(argument) => argument.parse().ok(),
        None => Some(DEFAULT_SEEDS),
    };
    let Some(seeds) = seeds else {
        return usage();
    };
    match experiment.as_str() {
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
