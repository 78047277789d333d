//! `cometspool-fault-injection`: plays, draws, cuts down and checks from the command line.

use clap::{Args, Parser, Subcommand};
use cometspool_fault_injection::schedule::{play, shrink, Outcome, Schedule};
use cometspool_fault_injection::{check, cost, history, rig};
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
        #[command(flatten)]
        draw: Draw,
        /// Schedules to draw, from one seed after another.
        #[arg(long, default_value_t = 1)]
        runs: u64,
        /// Where the history goes, as JSON lines.
        #[arg(long)]
        history: Option<PathBuf>,
        /// Cores that the processes may run on, as `taskset` names them.
        #[arg(long)]
        cores: Option<String>,
    },
    /// Prints the schedule that a seed draws.
    Draw(Draw),
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
    /// Counts the instructions of a front door for each request, with `perf`.
    Instructions {
        /// Requests that are counted.
        #[arg(long, default_value_t = 2000)]
        count: usize,
        /// Other front doors that its fleet block names; no block unless told.
        #[arg(long)]
        fleet: Option<usize>,
        /// Processes that run.
        #[arg(long, default_value_t = 1)]
        processes: usize,
        /// Times that it is done.
        #[arg(long, default_value_t = 5)]
        plays: usize,
    },
    /// Tells what the rig itself costs: starts, and a link's latency.
    Cost {
        /// Processes to start.
        #[arg(long, default_value_t = 30)]
        processes: usize,
    },
}

/// What a schedule is drawn from.
#[derive(Args)]
struct Draw {
    /// The seed, or the first of several.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Processes.
    #[arg(long, default_value_t = 5)]
    processes: usize,
    /// Seconds in which faults begin.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Faults.
    #[arg(long, default_value_t = 6)]
    faults: usize,
}

impl Draw {
    fn schedule(&self, seed: u64) -> Schedule {
        Schedule::draw(seed, self.processes, self.seconds, self.faults)
    }
}

fn main() -> ExitCode {
    rig::end_on_interrupt();
    match act(Call::parse().what) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("cometspool-fault-injection: {error}");
            ExitCode::from(2)
        }
    }
}

fn act(what: What) -> Result<ExitCode, Box<dyn std::error::Error>> {
    match what {
        What::Play {
            file,
            draw,
            runs,
            history,
            cores,
        } => {
            let schedules: Vec<Schedule> = match file {
                Some(file) => vec![Schedule::read(&std::fs::read_to_string(file)?)?],
                None => (draw.seed..draw.seed + runs)
                    .map(|seed| draw.schedule(seed))
                    .collect(),
            };
            let mut broken = 0;
            for schedule in schedules {
                let outcome = play(&schedule, history.clone(), cores.clone())?;
                broken += u64::from(!outcome.violations.is_empty());
                report(&schedule, &outcome);
            }
            Ok(if broken == 0 {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            })
        }
        What::Draw(draw) => {
            print!("{}", draw.schedule(draw.seed).write());
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
            println!(
                "# {} of {} faults after {played} plays",
                least.faults.len(),
                schedule.faults.len()
            );
            print!("{}", least.write());
            Ok(ExitCode::SUCCESS)
        }
        What::Check { file } => {
            let found = check::all(&history::read(&std::fs::read_to_string(file)?)?);
            found.iter().for_each(|violation| println!("{violation}"));
            println!("{} broken", found.len());
            Ok(if found.is_empty() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            })
        }
        What::Instructions {
            count,
            fleet,
            processes,
            plays,
        } => {
            let counted: Result<Vec<f64>, _> = (0..plays)
                .map(|_| cost::instructions(count, fleet, processes))
                .collect();
            let mut counted = counted?;
            counted.sort_by(f64::total_cmp);
            if let (Some(least), Some(median), Some(most)) =
                (counted.first(), counted.get(plays / 2), counted.last())
            {
                println!(
                    "instructions a request: {median:.0} ({least:.0} to {most:.0}), {plays} plays of {count}"
                );
            }
            Ok(ExitCode::SUCCESS)
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
        let shown = map
            .iter()
            .filter(|(_, count)| **count > 0)
            .map(|(name, count)| format!("{name} {count}"));
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
        outcome
            .violations
            .iter()
            .for_each(|violation| println!("  {violation}"));
        println!("{}", schedule.write());
    }
}
