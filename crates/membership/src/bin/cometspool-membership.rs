//! Measures simulated fleets, for the figures of `docs/MEMBERSHIP.md`. Usage:
//! `cometspool-membership [seeds] [sizes…]`.

use cometspool_membership::simulation::{NetworkConditions, Simulation};
use cometspool_membership::{Change, Millis, Timing};
use std::collections::BTreeSet;
use std::process::ExitCode;

/// Simulated time in which datagrams and false failures are counted, in milliseconds.
const MEASURED_TIME: Millis = 60_000.0;
/// Simulated time in which the fleet settles after its start, in milliseconds.
const SETTLING_TIME: Millis = 30_000.0;
/// Longest simulated time that a fleet may take to converge, in milliseconds.
const MAX_CONVERGENCE_TIME: Millis = 300_000.0;
const MILLIS_PER_SECOND: f64 = 1000.0;
const MILLIS_PER_HOUR: f64 = 3_600_000.0;
const DEFAULT_SEEDS: u64 = 5;
const DEFAULT_SIZES: [usize; 4] = [10, 100, 300, 1000];
/// Number of peers that each member is configured with.
const CONFIGURED_PEERS: usize = 5;
const COLUMN_COUNT: usize = 8;
const COLUMNS: [&str; COLUMN_COUNT] = [
    "start_s",
    "msgs/s",
    "bytes/s",
    "compared B/s",
    "first_s",
    "all_s",
    "false/h 5%",
    "false/h 30%",
];

/// The arguments of the command line.
struct Arguments {
    seeds: u64,
    sizes: Vec<usize>,
}

impl Arguments {
    /// Parses the arguments; returns `None` if one is not a number.
    fn parse(arguments: impl Iterator<Item = String>) -> Option<Arguments> {
        let numbers: Vec<u64> = arguments
            .map(|argument| argument.parse().ok())
            .collect::<Option<_>>()?;
        let mut numbers = numbers.into_iter();
        let seeds = numbers.next().unwrap_or(DEFAULT_SEEDS);
        let mut sizes: Vec<usize> = numbers.map(|size| size as usize).collect();
        if sizes.is_empty() {
            sizes = DEFAULT_SIZES.to_vec();
        }
        Some(Arguments { seeds, sizes })
    }
}

fn main() -> ExitCode {
    let Some(arguments) = Arguments::parse(std::env::args().skip(1)) else {
        eprintln!("usage: cometspool-membership [seeds] [sizes…]");
        return ExitCode::from(2);
    };
    let seeds = arguments.seeds;
    println!("per member; false failures per member and hour, each member counted once; over {seeds} seeds: mean (minimum to maximum)");
    println!("| members | {} |", COLUMNS.join(" | "));
    println!("| --- |{}", " --- |".repeat(COLUMNS.len()));
    for size in arguments.sizes {
        let rows = measure_seeds(size, seeds);
        let cells: Vec<String> = (0..COLUMN_COUNT)
            .map(|column| format_cell(&rows, column))
            .collect();
        println!("| {size} | {} |", cells.join(" | "));
    }
    ExitCode::SUCCESS
}

/// Measures a fleet for each seed, in a thread of its own, and returns a row for each.
fn measure_seeds(size: usize, seeds: u64) -> Vec<[f64; COLUMN_COUNT]> {
    std::thread::scope(|scope| {
        let runs: Vec<_> = (1..=seeds)
            .map(|seed| scope.spawn(move || measure(size, seed)))
            .collect();
        runs.into_iter()
            .map(|run| run.join().unwrap_or([f64::NAN; COLUMN_COUNT]))
            .collect()
    })
}

/// Formats a column as its mean, minimum and maximum.
fn format_cell(rows: &[[f64; COLUMN_COUNT]], column: usize) -> String {
    let values = || rows.iter().map(|row| row[column]);
    let minimum = values().fold(f64::INFINITY, f64::min);
    let maximum = values().fold(0.0, f64::max);
    let mean = values().sum::<f64>() / rows.len() as f64;
    format!("{mean:.2} ({minimum:.2} to {maximum:.2})")
}

/// Measures one fleet. The values are in the order of [`COLUMNS`].
fn measure(size: usize, seed: u64) -> [f64; COLUMN_COUNT] {
    let timing = Timing::for_size(size as u32);
    let network = NetworkConditions::default();
    let mut simulation = Simulation::new(size, CONFIGURED_PEERS, timing, network, seed);
    (0..size).for_each(|node| simulation.start(node));
    let all: Vec<usize> = (0..size).collect();
    simulation.run_while(MAX_CONVERGENCE_TIME, |fleet| !fleet.has_converged(&all));
    let start = simulation.now / MILLIS_PER_SECOND;
    simulation.run_until(simulation.now + SETTLING_TIME);
    let cost = measure_cost(&mut simulation, size);
    let detection = measure_detection(&mut simulation, &all, size / 2);
    [
        start,
        cost.datagrams,
        cost.bytes,
        cost.anti_entropy_bytes,
        detection.first,
        detection.all,
        false_failures(&mut simulation, 0.05),
        false_failures(&mut simulation, 0.3),
    ]
}

/// What a settled fleet sends, per member and second.
struct Cost {
    datagrams: f64,
    bytes: f64,
    anti_entropy_bytes: f64,
}

fn measure_cost(simulation: &mut Simulation, size: usize) -> Cost {
    let before = simulation.traffic();
    let anti_entropy_bytes_before = simulation.anti_entropy_bytes;
    simulation.run_until(simulation.now + MEASURED_TIME);
    let after = simulation.traffic();
    let per_member = |count: u64| count as f64 / size as f64 / (MEASURED_TIME / MILLIS_PER_SECOND);
    Cost {
        datagrams: per_member(after.datagrams - before.datagrams),
        bytes: per_member(after.bytes - before.bytes),
        anti_entropy_bytes: per_member(simulation.anti_entropy_bytes - anti_entropy_bytes_before),
    }
}

/// The time from the failure of a member to its detection, in seconds.
struct Detection {
    /// Until the first member detects it.
    first: f64,
    /// Until all surviving members know it.
    all: f64,
}

fn measure_detection(simulation: &mut Simulation, nodes: &[usize], killed: usize) -> Detection {
    let killed_at = simulation.now;
    simulation.kill(killed);
    let survivors: Vec<usize> = nodes
        .iter()
        .copied()
        .filter(|node| *node != killed)
        .collect();
    simulation.run_while(killed_at + MAX_CONVERGENCE_TIME, |fleet| {
        !fleet.has_converged(&survivors)
    });
    let first = simulation
        .observed_changes
        .iter()
        .find(|observed| observed.at >= killed_at && matches!(observed.change, Change::Failed(_)));
    Detection {
        first: first.map_or(f64::NAN, |observed| {
            (observed.at - killed_at) / MILLIS_PER_SECOND
        }),
        all: (simulation.now - killed_at) / MILLIS_PER_SECOND,
    }
}

/// Returns the rate of false failures at this loss: members that run and that any member declared
/// failed, per member and hour. A member counts once.
fn false_failures(simulation: &mut Simulation, loss: f64) -> f64 {
    simulation.network.loss = loss;
    let start = simulation.now;
    simulation.run_until(start + MEASURED_TIME);
    let failed: BTreeSet<_> = simulation
        .observed_changes
        .iter()
        .filter(|observed| observed.at >= start)
        .filter_map(|observed| match &observed.change {
            Change::Failed(member) => Some((member.name.clone(), member.generation)),
            _ => None,
        })
        .collect();
    let active = simulation.active_nodes().len();
    failed.len() as f64 / active as f64 * (MILLIS_PER_HOUR / MEASURED_TIME)
}
