//! The figures of `docs/REPLICATED_LOG.md`, on simulated groups: `cometspool-replicated-log [seeds]`.

use cometspool_replicated_log::sim::{Network, Sim};
use cometspool_replicated_log::Times;
use std::process::ExitCode;

/// Writes measured for each figure of latency.
const WRITES: usize = 500;
/// Bytes of a write here: a client's number and its own, as the simulation makes them.
const LINKS: [f64; 3] = [0.0, 1.4, 2.6];
/// What a disk takes for a write through, ms; nought is memory.
const DISKS: [f64; 3] = [0.0, 0.5, 5.0];

fn main() -> ExitCode {
    let seeds = match std::env::args().nth(1).map(|word| word.parse::<u64>()) {
        None => 5,
        Some(Ok(seeds)) if seeds > 0 => seeds,
        Some(_) => {
            eprintln!("usage: cometspool-replicated-log [seeds]");
            return ExitCode::from(2);
        }
    };
    println!("{seeds} seeds: mean (least to most); ms");
    println!("| one way, ms | disk, ms | commit, median | commit, 99th | bytes between keepers a write |");
    println!("| --- | --- | --- | --- | --- |");
    for link in LINKS {
        for disk in DISKS {
            let rows: Vec<[f64; 3]> = (0..seeds).map(|seed| commit(link, disk, seed)).collect();
            let cell = |i: usize| spread(rows.iter().map(|row| row[i]).collect());
            println!(
                "| {link} | {disk} | {} | {} | {} |",
                cell(0),
                cell(1),
                cell(2)
            );
        }
    }
    println!("\n| what | ms |\n| --- | --- |");
    for keepers in [3, 5] {
        let gaps: Vec<f64> = (0..seeds * 4)
            .map(|seed| without_leader(keepers, seed))
            .collect();
        println!(
            "| {keepers} keepers: from the leader's death to the next promise | {} |",
            spread(gaps)
        );
    }
    for entries in [1_000, 10_000, 50_000] {
        let fills: Vec<f64> = (0..seeds.min(3)).map(|seed| fill(entries, seed)).collect();
        println!(
            "| from an empty keeper's start to its seat, {entries} writes kept | {} |",
            spread(fills)
        );
    }
    ExitCode::SUCCESS
}

fn spread(mut of: Vec<f64>) -> String {
    of.sort_by(f64::total_cmp);
    let (Some(least), Some(most)) = (of.first(), of.last()) else {
        return String::new();
    };
    format!(
        "{:.2} ({least:.2} to {most:.2})",
        of.iter().sum::<f64>() / of.len() as f64
    )
}

fn group(keepers: usize, clients: usize, durable: bool, link: f64, seed: u64) -> Sim {
    let mut sim = Sim::new(keepers, keepers, clients, durable, Times::default(), seed);
    sim.network = Network {
        delay: (link, link),
        ..Network::default()
    };
    sim.run_while(60_000.0, |sim| sim.leading().is_none());
    sim
}

/// Median and 99th of a write that is asked for alone, as its client sees it less its own way to the leader and back; and what
/// goes between keepers for each.
fn commit(link: f64, disk: f64, seed: u64) -> [f64; 3] {
    let mut sim = group(3, 1, disk > 0.0, link, seed);
    (0..3).for_each(|seat| sim.slow_disk(seat, disk));
    // The client finds its leader and opens its session first.
    sim.ask(1000.0, 50.0);
    let (bytes, first) = (sim.acted.bytes, sim.writes.len());
    sim.ask(WRITES as f64 * 50.0, 50.0);
    let took = sim.writes[first..]
        .iter()
        .filter_map(|write| Some(write.ended.as_ref()?.0 - write.from));
    let mut took: Vec<f64> = took.map(|took| took - 2.0 * link).collect();
    took.sort_by(f64::total_cmp);
    let each = (sim.acted.bytes - bytes) as f64 / WRITES as f64;
    [took[took.len() / 2], took[took.len() * 99 / 100], each]
}

/// From the leader's death to the next promise, with a client that asks every 20 ms.
fn without_leader(keepers: usize, seed: u64) -> f64 {
    let mut sim = group(keepers, 1, true, 1.4, seed);
    sim.ask(1000.0, 20.0);
    sim.run_to(sim.now + seed as f64 * 37.0 % 300.0);
    if let Some(leader) = sim.leading() {
        sim.kill(leader);
    }
    let (died, before) = (sim.now, sim.promised());
    while sim.promised() == before && sim.now < died + 60_000.0 {
        sim.write(0);
        sim.run_to(sim.now + 20.0);
    }
    sim.now - died
}

/// From the start of a keeper whose disk was lost to when it has its seat again.
fn fill(writes: usize, seed: u64) -> f64 {
    let mut sim = group(3, 4, true, 1.4, seed);
    while sim.promised() < writes {
        (0..4).for_each(|client| (0..25).for_each(|_| sim.write(client)));
        sim.run_to(sim.now + 20.0);
    }
    let third = (0..3)
        .find(|seat| Some(*seat) != sim.leading())
        .unwrap_or_default();
    sim.kill(third);
    sim.wipe(third);
    sim.start(third);
    let (begun, changes) = (sim.now, sim.acted.changes);
    sim.run_while(begun + 600_000.0, |sim| sim.acted.changes == changes);
    sim.now - begun
}
