//! `cometspool-rig`: plays, draws, cuts down and checks from the command line.

use clap::{Parser, Subcommand};
use cometspool_rig::schedule::{play, shrink, Outcome, Schedule};
use cometspool_rig::{check, cost, history, rig};
use std::path::PathBuf;
use std::process::ExitCode;

/// Several front doors with faults between them.
#[derive(Parser)]
#[command(version)]
struct Call {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Plays a schedule from a file, or those drawn from seeds; ends with 1 if a rule is broken.
    Play {
        /// A schedule in TOML; drawn ones unless told.
        file: Option<PathBuf>,
        /// The first seed to draw from.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Schedules to draw, from one seed after another.
        #[arg(long, default_value_t = 1)]
        runs: u64,
        /// Processes of a drawn schedule.
        #[arg(long, default_value_t = 5)]
        processes: usize,
        /// Seconds of a drawn schedule.
        #[arg(long, default_value_t = 10.0)]
        seconds: f64,
        /// Faults of a drawn schedule.
        #[arg(long, default_value_t = 6)]
        faults: usize,
        /// Where the history goes, as JSON lines.
        #[arg(long)]
        history: Option<PathBuf>,
        /// Cores that the processes may run on, as `taskset` names them.
        #[arg(long)]
        cores: Option<String>,
    },
    /// Prints the schedule that a seed draws.
    Draw {
        /// The seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Processes.
        #[arg(long, default_value_t = 5)]
        processes: usize,
        /// Seconds.
        #[arg(long, default_value_t = 10.0)]
        seconds: f64,
        /// Faults.
        #[arg(long, default_value_t = 6)]
        faults: usize,
    },
    /// Cuts a failing schedule down to few faults that still fail, and prints it.
    Shrink {
        /// The schedule.
        file: PathBuf,
        /// Times that a schedule is played before it counts as one that does not fail.
        #[arg(long, default_value_t = 2)]
        tries: u32,
    },
    /// Judges a history that was written.
    Check {
        /// The history.
        file: PathBuf,
    },
    /// Tells what the rig itself costs: starts, and a link's latency.
    Cost {
        /// Processes to start.
        #[arg(long, default_value_t = 30)]
        processes: usize,
    },
}

fn main() -> ExitCode {
    rig::end_on_interrupt();
    match act(Call::parse().what) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("cometspool-rig: {error}");
            ExitCode::from(2)
        }
    }
}

fn act(what: What) -> Result<ExitCode, Box<dyn std::error::Error>> {
    match what {
        What::Play { file, seed, runs, processes, seconds, faults, history, cores } => {
            let schedules: Vec<Schedule> = match file {
                Some(file) => vec![Schedule::read(&std::fs::read_to_string(file)?)?],
                None => {
                    (seed..seed + runs).map(|seed| Schedule::draw(seed, processes, seconds, faults)).collect()
                }
            };
            let mut broken = 0;
            for schedule in schedules {
                let outcome = play(&schedule, history.clone(), cores.clone())?;
                broken += u64::from(!outcome.violations.is_empty());
                report(&schedule, &outcome);
            }
            Ok(if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        What::Draw { seed, processes, seconds, faults } => {
            print!("{}", Schedule::draw(seed, processes, seconds, faults).write());
            Ok(ExitCode::SUCCESS)
        }
        What::Shrink { file, tries } => {
            let schedule = Schedule::read(&std::fs::read_to_string(file)?)?;
            let mut played = 0;
            let fails = |schedule: &Schedule| {
                (0..tries).any(|_| {
                    played += 1;
                    play(schedule, None, None).is_ok_and(|outcome| !outcome.violations.is_empty())
                })
            };
            let least = shrink(&schedule, fails);
            println!("# {} of {} faults after {played} plays", least.faults.len(), schedule.faults.len());
            print!("{}", least.write());
            Ok(ExitCode::SUCCESS)
        }
        What::Check { file } => {
            let found = check::all(&history::read(&std::fs::read_to_string(file)?)?);
            found.iter().for_each(|violation| println!("{violation}"));
            println!("{} broken", found.len());
            Ok(if found.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        What::Cost { processes } => {
            println!("{}", cost::table(processes)?);
            Ok(ExitCode::SUCCESS)
        }
    }
}

/// A line for each run; for one that broke a rule, also what it takes to play it again.
fn report(schedule: &Schedule, outcome: &Outcome) {
    let figures = |map: &std::collections::BTreeMap<String, u64>| {
        let shown =
            map.iter().filter(|(_, count)| **count > 0).map(|(name, count)| format!("{name} {count}"));
        shown.collect::<Vec<_>>().join(", ")
    };
    println!(
        "seed {}: {} faults, {} broken; {}; links: {}",
        schedule.seed,
        schedule.faults.len(),
        outcome.violations.len(),
        figures(&outcome.counted),
        figures(&outcome.acted)
    );
    if !outcome.violations.is_empty() {
        outcome.violations.iter().for_each(|violation| println!("  {violation}"));
        println!("{}", schedule.write());
    }
}
