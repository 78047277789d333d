//! Measures the latencies that `docs/REPLICATED_LOG.md` lists, on simulated groups. Usage:
//! `cometspool-replicated-log [seeds]`.

use cometspool_replicated_log::simulation::{
    DelayRange, LinkConditions, Simulation, SimulationConfig,
};
use cometspool_replicated_log::{Millis, Settings};
use std::process::ExitCode;

/// Number of writes that are measured for each commit latency.
const MEASURED_WRITES: usize = 500;
/// Interval between two measured writes, in milliseconds.
const WRITE_INTERVAL: Millis = 50.0;
/// One-way link delays for the commit measurements, in milliseconds.
const LINK_DELAYS: [Millis; 3] = [0.0, 1.4, 2.6];
/// Durations of a durable disk write, in milliseconds; zero means that replicas keep everything in
/// memory.
const WRITE_LATENCIES: [Millis; 3] = [0.0, 0.5, 5.0];
/// One-way link delay for the failover and catch-up measurements, in milliseconds.
const DEFAULT_LINK_DELAY: Millis = 1.4;
/// Maximum number of seeds for the catch-up measurement.
const MAX_CATCH_UP_SEEDS: u64 = 3;

fn main() -> ExitCode {
    let Some(seeds) = parse_arguments() else {
        eprintln!("usage: cometspool-replicated-log [seeds]");
        return ExitCode::from(2);
    };
    println!("{seeds} seeds: mean (least to most); ms");
    print_commit_latencies(seeds);
    println!("\n| what | ms |\n| --- | --- |");
    print_failover_times(seeds);
    print_catch_up_times(seeds);
    ExitCode::SUCCESS
}

/// The number of seeds; `None` if the argument is not a positive number.
fn parse_arguments() -> Option<u64> {
    let Some(argument) = std::env::args().nth(1) else {
        return Some(5);
    };
    argument.parse().ok().filter(|seeds| *seeds > 0)
}

fn print_commit_latencies(seeds: u64) {
    println!(
        "| one way, ms | disk, ms | commit, median | commit, 99th | bytes between replicas a write |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for link_delay in LINK_DELAYS {
        for write_latency in WRITE_LATENCIES {
            let rows: Vec<CommitLatency> = (0..seeds)
                .map(|seed| measure_commits(link_delay, write_latency, seed))
                .collect();
            println!(
                "| {link_delay} | {write_latency} | {} | {} | {} |",
                summarize(rows.iter().map(|row| row.median).collect()),
                summarize(rows.iter().map(|row| row.percentile_99).collect()),
                summarize(rows.iter().map(|row| row.bytes_per_write).collect())
            );
        }
    }
}

fn print_failover_times(seeds: u64) {
    for replicas in [3, 5] {
        let times = (0..seeds * 4)
            .map(|seed| measure_failover(replicas, seed))
            .collect();
        println!(
            "| {replicas} replicas: from the leader's death to the next acknowledged write | {} |",
            summarize(times)
        );
    }
}

fn print_catch_up_times(seeds: u64) {
    for writes in [1_000, 10_000, 50_000] {
        let times = (0..seeds.min(MAX_CATCH_UP_SEEDS))
            .map(|seed| measure_catch_up(writes, seed))
            .collect();
        println!(
            "| from an empty replica's start to its vote, {writes} writes in the log | {} |",
            summarize(times)
        );
    }
}

/// Formats the mean, the minimum and the maximum of the values.
fn summarize(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let (Some(least), Some(most)) = (values.first(), values.last()) else {
        return String::new();
    };
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    format!("{mean:.2} ({least:.2} to {most:.2})")
}

/// Starts a group and runs it until it has a leader.
fn start_group(
    replicas: usize,
    clients: usize,
    is_durable: bool,
    link_delay: Millis,
    seed: u64,
) -> Simulation {
    let mut simulation = Simulation::new(SimulationConfig {
        nodes: replicas,
        founders: replicas,
        clients,
        is_durable,
        settings: Settings::default(),
        seed,
    });
    simulation.link_conditions = LinkConditions {
        delay: DelayRange {
            min: link_delay,
            max: link_delay,
        },
        ..LinkConditions::default()
    };
    simulation.run_while(60_000.0, |simulation| simulation.leader().is_none());
    simulation
}

/// Latency and traffic of writes that are started one at a time.
struct CommitLatency {
    /// Median commit latency as the client sees it, without its own round trip to the leader.
    median: Millis,
    /// The 99th percentile of the same latency.
    percentile_99: Millis,
    /// Bytes sent between replicas for each write.
    bytes_per_write: f64,
}

fn measure_commits(link_delay: Millis, write_latency: Millis, seed: u64) -> CommitLatency {
    let mut simulation = start_group(3, 1, write_latency > 0.0, link_delay, seed);
    for node in 0..3 {
        simulation.set_write_latency(node, write_latency);
    }
    // The client first finds the leader and opens its session.
    simulation.write_for(1000.0, WRITE_INTERVAL);
    let bytes_before = simulation.statistics.bytes;
    let first = simulation.writes.len();
    simulation.write_for(MEASURED_WRITES as f64 * WRITE_INTERVAL, WRITE_INTERVAL);
    let mut latencies: Vec<Millis> = simulation.writes[first..]
        .iter()
        .filter_map(|write| {
            let completed = write.completed.as_ref()?;
            Some(completed.at - write.started - 2.0 * link_delay)
        })
        .collect();
    latencies.sort_by(f64::total_cmp);
    let bytes = simulation.statistics.bytes - bytes_before;
    CommitLatency {
        median: latencies[latencies.len() / 2],
        percentile_99: latencies[latencies.len() * 99 / 100],
        bytes_per_write: bytes as f64 / MEASURED_WRITES as f64,
    }
}

/// Measures the time from the kill of the leader to the next acknowledged write, with a client that
/// writes every 20 ms.
fn measure_failover(replicas: usize, seed: u64) -> Millis {
    let mut simulation = start_group(replicas, 1, true, DEFAULT_LINK_DELAY, seed);
    simulation.write_for(1000.0, 20.0);
    // With each seed, the leader is killed at another moment of the heartbeat round.
    simulation.run_until(simulation.now + seed as f64 * 37.0 % 300.0);
    if let Some(leader) = simulation.leader() {
        simulation.kill(leader);
    }
    let killed_at = simulation.now;
    let before = simulation.acknowledged_writes();
    while simulation.acknowledged_writes() == before && simulation.now < killed_at + 60_000.0 {
        simulation.write(0);
        simulation.run_until(simulation.now + 20.0);
    }
    simulation.now - killed_at
}

/// Measures the time from the start of a replica whose disk was lost until it votes again.
fn measure_catch_up(writes: usize, seed: u64) -> Millis {
    let mut simulation = start_group(3, 4, true, DEFAULT_LINK_DELAY, seed);
    while simulation.acknowledged_writes() < writes {
        for client in 0..4 {
            for _ in 0..25 {
                simulation.write(client);
            }
        }
        simulation.run_until(simulation.now + 20.0);
    }
    let follower = (0..3)
        .find(|node| Some(*node) != simulation.leader())
        .unwrap_or_default();
    simulation.kill(follower);
    simulation.wipe(follower);
    simulation.start(follower);
    let started = simulation.now;
    let before = simulation.statistics.reconfigurations;
    simulation.run_while(started + 600_000.0, |simulation| {
        simulation.statistics.reconfigurations == before
    });
    simulation.now - started
}
