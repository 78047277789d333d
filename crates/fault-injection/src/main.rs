//! `cometspool-fault-injection`: runs, generates and shrinks schedules of faults, and checks histories.

use clap::{Args, Parser, Subcommand};
use cometspool_fault_injection::schedule::{run, shrink, RunOutcome, Schedule};
use cometspool_fault_injection::{check, cluster, cost, history};
use std::collections::BTreeMap;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Starts several gateways, injects faults between them and checks their history.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a schedule from a file, or schedules generated from seeds; exits with 1 if a rule is broken.
    #[command(alias = "play")]
    Run {
        /// A schedule in TOML; without it, schedules are generated.
        file: Option<PathBuf>,
        #[command(flatten)]
        generator: GeneratorArguments,
        /// Number of schedules to generate, from consecutive seeds.
        #[arg(long, default_value_t = 1)]
        runs: u64,
        /// The file to which the history is written, as JSON lines.
        #[arg(long)]
        history: Option<PathBuf>,
        /// Cores on which the processes may run, in the notation of `taskset`.
        #[arg(long)]
        cores: Option<String>,
    },
    /// Prints the schedule that a seed generates.
    #[command(alias = "draw")]
    Generate(GeneratorArguments),
    /// Reduces a failing schedule to fewer faults that still fail, and prints it.
    Shrink {
        /// The failing schedule, in TOML.
        file: PathBuf,
        /// Maximum number of runs of a candidate schedule; without a violation in any of them, it counts as passing.
        #[arg(long, default_value_t = 2)]
        tries: u32,
    },
    /// Checks a stored history; exits with 1 if a rule is broken.
    Check {
        /// The history, as JSON lines.
        file: PathBuf,
    },
    /// Counts the user-space instructions that a gateway executes per request, with `perf`.
    Instructions {
        /// Number of requests over which the instructions are counted.
        #[arg(long, default_value_t = 2000)]
        count: usize,
        /// Number of peers in the gateway's fleet section; without this option, it has no fleet section.
        #[arg(long)]
        fleet: Option<usize>,
        /// Number of gateways to start.
        #[arg(long, default_value_t = 1)]
        processes: usize,
        /// Number of measurements; their median and range are printed.
        #[arg(long, alias = "plays", default_value_t = 5)]
        repetitions: usize,
    },
    /// Measures the start-up of a cluster, its membership protocol, and the latency that a proxy adds to a link.
    Cost {
        /// Number of gateways to start.
        #[arg(long, default_value_t = 30)]
        processes: usize,
    },
}

/// The parameters of generated schedules.
#[derive(Args)]
struct GeneratorArguments {
    /// The seed, or the first of several.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of gateways.
    #[arg(long, default_value_t = 5)]
    processes: usize,
    /// Duration of a schedule, s.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Number of faults.
    #[arg(long, default_value_t = 6)]
    faults: usize,
}

impl GeneratorArguments {
    fn generate(&self, seed: u64) -> Schedule {
        Schedule::generate(seed, self.processes, self.seconds, self.faults)
    }
}

/// The exit code of a command that fails with an error; 1 stands for a broken rule.
const EXIT_ERROR: u8 = 2;

fn main() -> ExitCode {
    cluster::exit_on_interrupt();
    match execute(Arguments::parse().command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("cometspool-fault-injection: {error}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}

fn execute(command: Command) -> Result<ExitCode, Box<dyn Error>> {
    match command {
        Command::Run {
            file,
            generator,
            runs,
            history,
            cores,
        } => {
            let schedules = match file {
                Some(file) => vec![read_schedule(&file)?],
                None => (generator.seed..generator.seed + runs)
                    .map(|seed| generator.generate(seed))
                    .collect(),
            };
            run_schedules(&schedules, history.as_ref(), cores.as_ref())
        }
        Command::Generate(generator) => {
            print!("{}", generator.generate(generator.seed).write());
            Ok(ExitCode::SUCCESS)
        }
        Command::Shrink { file, tries } => {
            shrink_schedule(&read_schedule(&file)?, tries);
            Ok(ExitCode::SUCCESS)
        }
        Command::Check { file } => check_history(&file),
        Command::Instructions {
            count,
            fleet,
            processes,
            repetitions,
        } => {
            count_instructions(count, fleet, processes, repetitions)?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Cost { processes } => {
            println!("{}", cost::cost_table(processes)?);
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn read_schedule(file: &Path) -> Result<Schedule, Box<dyn Error>> {
    Ok(Schedule::read(&std::fs::read_to_string(file)?)?)
}

fn run_schedules(
    schedules: &[Schedule],
    history: Option<&PathBuf>,
    cores: Option<&String>,
) -> Result<ExitCode, Box<dyn Error>> {
    let mut any_violations = false;
    for schedule in schedules {
        let outcome = run(schedule, history.cloned(), cores.cloned())?;
        any_violations |= !outcome.violations.is_empty();
        print_outcome(schedule, &outcome);
    }
    Ok(exit_code(any_violations))
}

fn exit_code(any_violations: bool) -> ExitCode {
    if any_violations {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}

fn shrink_schedule(schedule: &Schedule, tries: u32) {
    let mut runs = 0;
    let fails = |candidate: &Schedule| {
        (0..tries).any(|_| {
            runs += 1;
            run(candidate, None, None).is_ok_and(|outcome| !outcome.violations.is_empty())
        })
    };
    let smallest = shrink(schedule, fails);
    println!(
        "# {} of {} faults remain after {runs} runs",
        smallest.faults.len(),
        schedule.faults.len()
    );
    print!("{}", smallest.write());
}

fn check_history(file: &Path) -> Result<ExitCode, Box<dyn Error>> {
    let events = history::read(&std::fs::read_to_string(file)?)?;
    let violations = check::check_all(&events);
    for violation in &violations {
        println!("{violation}");
    }
    println!("{} violations", violations.len());
    Ok(exit_code(!violations.is_empty()))
}

fn count_instructions(
    count: usize,
    fleet: Option<usize>,
    processes: usize,
    repetitions: usize,
) -> Result<(), Box<dyn Error>> {
    let mut results = (0..repetitions)
        .map(|_| cost::instructions_per_request(count, fleet, processes))
        .collect::<Result<Vec<f64>, _>>()?;
    results.sort_by(f64::total_cmp);
    if let (Some(least), Some(median), Some(most)) = (
        results.first(),
        results.get(repetitions / 2),
        results.last(),
    ) {
        println!(
            "instructions per request: {median:.0} ({least:.0} to {most:.0}), {repetitions} runs of {count} requests"
        );
    }
    Ok(())
}

/// Prints a summary line of a run. If the run broke a rule, also prints the violations and the schedule, which can be
/// run again.
fn print_outcome(schedule: &Schedule, outcome: &RunOutcome) {
    println!(
        "seed {}: {} faults, {} violations; events: {}; links: {}",
        schedule.seed,
        schedule.faults.len(),
        outcome.violations.len(),
        nonzero_counts(&outcome.event_counts),
        nonzero_counts(&outcome.link_counters)
    );
    if !outcome.violations.is_empty() {
        for violation in &outcome.violations {
            println!("  {violation}");
        }
        println!("{}", schedule.write());
    }
}

fn nonzero_counts(counts: &BTreeMap<String, u64>) -> String {
    let nonzero: Vec<String> = counts
        .iter()
        .filter(|(_, count)| **count > 0)
        .map(|(name, count)| format!("{name} {count}"))
        .collect();
    nonzero.join(", ")
}
