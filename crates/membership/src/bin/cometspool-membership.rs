//! The figures of `docs/MEMBERSHIP.md`: `cometspool-membership [seeds] [sizes…]`.

use cometspool_membership::sim::{Network, Sim};
use cometspool_membership::{Change, Times};
use std::process::ExitCode;

/// Time in which messages and false failures are counted, ms.
const STEADY: f64 = 60_000.0;
/// Longest that a fleet may take to know itself, or to miss one, ms.
const LONGEST: f64 = 300_000.0;
const COLUMNS: [&str; 8] = [
    "start_s",
    "msgs/s",
    "bytes/s",
    "compared B/s",
    "first_s",
    "all_s",
    "false/h 5%",
    "false/h 30%",
];

fn main() -> ExitCode {
    let numbers: Option<Vec<u64>> = std::env::args()
        .skip(1)
        .map(|word| word.parse().ok())
        .collect();
    let Some(numbers) = numbers else {
        eprintln!("usage: cometspool-membership [seeds] [sizes…]");
        return ExitCode::from(2);
    };
    let seeds = numbers.first().copied().unwrap_or(5);
    let sizes = if numbers.len() > 1 {
        numbers[1..].to_vec()
    } else {
        vec![10, 100, 300, 1000]
    };
    println!("per member; false failures per member and hour, none counted twice; of {seeds} seeds: mean (least to most)");
    println!("| members | {} |", COLUMNS.join(" | "));
    println!("| --- |{}", " --- |".repeat(COLUMNS.len()));
    for size in sizes {
        // Each seed is a fleet of its own: one thread each.
        let rows: Vec<[f64; 8]> = std::thread::scope(|scope| {
            let plays: Vec<_> = (1..=seeds)
                .map(|seed| scope.spawn(move || row(size as usize, seed)))
                .collect();
            plays
                .into_iter()
                .map(|play| play.join().unwrap_or([f64::NAN; 8]))
                .collect()
        });
        let cells = (0..COLUMNS.len()).map(|i| {
            let column = || rows.iter().map(move |row| row[i]);
            let (least, most) = (
                column().fold(f64::INFINITY, f64::min),
                column().fold(0.0, f64::max),
            );
            format!(
                "{:.2} ({least:.2} to {most:.2})",
                column().sum::<f64>() / rows.len() as f64
            )
        });
        println!("| {size} | {} |", cells.collect::<Vec<_>>().join(" | "));
    }
    ExitCode::SUCCESS
}

fn row(size: usize, seed: u64) -> [f64; 8] {
    let mut sim = Sim::new(size, 5, Times::of(size as u32), Network::default(), seed);
    (0..size).for_each(|seat| sim.start(seat));
    let all: Vec<usize> = (0..size).collect();
    sim.run_while(LONGEST, |sim| !sim.agree(&all));
    let start = sim.now / 1000.0;
    // What a start set in motion is let come to rest.
    sim.run_to(sim.now + 30_000.0);
    let (begun, sent, compared) = (sim.now, sim.sent(), sim.compared_bytes);
    sim.run_to(begun + STEADY);
    let each = |count: u64| count as f64 / size as f64 / (STEADY / 1000.0);
    let now = sim.sent();
    let (messages, bytes) = (each(now.0 - sent.0), each(now.1 - sent.1));
    let compared = each(sim.compared_bytes - compared);
    let died = sim.now;
    sim.kill(size / 2);
    let rest: Vec<usize> = all
        .iter()
        .copied()
        .filter(|seat| *seat != size / 2)
        .collect();
    sim.run_while(died + LONGEST, |sim| !sim.agree(&rest));
    let first = sim
        .seen
        .iter()
        .find(|seen| seen.at >= died && matches!(seen.change, Change::Failed(_)));
    let first = first.map_or(f64::NAN, |seen| (seen.at - died) / 1000.0);
    let all_know = (sim.now - died) / 1000.0;
    [
        start,
        messages,
        bytes,
        compared,
        first,
        all_know,
        wrong(&mut sim, 0.05),
        wrong(&mut sim, 0.3),
    ]
}

/// Members that run and were taken for dead, by whomever first, per member and hour at this loss.
fn wrong(sim: &mut Sim, loss: f64) -> f64 {
    sim.network.loss = loss;
    let begun = sim.now;
    sim.run_to(begun + STEADY);
    let failures = sim
        .seen
        .iter()
        .filter(|seen| seen.at >= begun)
        .filter_map(|seen| match &seen.change {
            Change::Failed(member) => Some((member.name.clone(), member.number)),
            _ => None,
        });
    let distinct: std::collections::BTreeSet<_> = failures.collect();
    distinct.len() as f64 / sim.running().len() as f64 * (3_600_000.0 / STEADY)
}
