//! Schedules: which faults act on a cluster, when and for how long. A schedule is written by hand in TOML or generated
//! from a seed, run against a cluster, and shrunk to the faults that are needed for a violation.

mod generate;
mod run;
mod shrink;

pub use run::{run, RunOutcome};
pub use shrink::shrink;

use crate::link::LinkConditions;
use crate::stub_services::BackendBehavior;
use serde::{Deserialize, Serialize};

/// A cluster, its load, and the faults that act on it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// The seed of all random draws of the cluster.
    pub seed: u64,
    /// Number of gateway processes.
    pub processes: usize,
    /// Number of stub backends.
    #[serde(default = "default_backends")]
    pub backends: usize,
    /// Number of zones over which the processes are spread.
    #[serde(default = "default_zones")]
    pub zones: usize,
    /// How long faults are injected, from the time at which all processes are in rotation, s.
    #[serde(rename = "seconds")]
    pub duration_s: f64,
    /// Requests per second.
    #[serde(default = "default_load", rename = "load_per_s")]
    pub requests_per_s: f64,
    /// Whether the processes have a fleet section.
    #[serde(default = "default_true")]
    pub fleet: bool,
    /// Whether each process writes a hand-over file for its successor.
    #[serde(default = "default_true")]
    pub handover: bool,
    /// The faults, each a `[[fault]]` table in TOML.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

fn default_zones() -> usize {
    1
}

fn default_backends() -> usize {
    3
}

fn default_load() -> f64 {
    50.0
}

fn default_true() -> bool {
    true
}

/// A fault with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// When the fault starts, s from the start of the schedule.
    #[serde(rename = "at")]
    pub start_s: f64,
    /// How long the fault lasts, s; `None` until the end of the schedule.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "lasts")]
    pub duration_s: Option<f64>,
    /// What the fault does.
    #[serde(flatten)]
    pub action: FaultAction,
}

/// What a fault does. Processes are given by their numbers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "act")]
pub enum FaultAction {
    /// Nothing passes on links, and neither side is notified.
    #[serde(rename = "cut")]
    Blackhole {
        /// The processes on one side.
        from: Vec<usize>,
        /// The processes on the other side.
        to: Vec<usize>,
        /// Only the direction towards `to` is affected.
        #[serde(default)]
        one_way: bool,
    },
    /// Conditions are added to those of links; several such faults at once are combined.
    #[serde(rename = "link")]
    Degrade {
        /// The processes on one side.
        from: Vec<usize>,
        /// The processes on the other side.
        to: Vec<usize>,
        /// Only the direction towards `to` is affected.
        #[serde(default)]
        one_way: bool,
        /// The conditions that the fault adds.
        #[serde(rename = "quality")]
        conditions: LinkConditions,
    },
    /// Open connections are reset, once.
    #[serde(rename = "reset")]
    ResetConnections {
        /// The processes that send.
        from: Vec<usize>,
        /// The processes that receive.
        to: Vec<usize>,
    },
    /// A connection is reset after some more bytes, as in the middle of a frame.
    #[serde(rename = "halve")]
    TruncateConnection {
        /// The processes that send.
        from: Vec<usize>,
        /// The processes that receive.
        to: Vec<usize>,
        /// The bytes that still pass.
        bytes: u64,
    },
    /// Processes get SIGKILL; they are started again at the end of the fault.
    #[serde(rename = "kill")]
    Kill {
        /// The processes that are killed.
        #[serde(rename = "who")]
        processes: Vec<usize>,
        /// Whether their disks are wiped too.
        #[serde(default, rename = "wipe")]
        wipe_disk: bool,
    },
    /// Processes get SIGTERM; they are started again at the end of the fault.
    #[serde(rename = "terminate")]
    Terminate {
        /// The processes that are terminated.
        #[serde(rename = "who")]
        processes: Vec<usize>,
    },
    /// Processes get SIGSTOP, and SIGCONT at the end of the fault.
    #[serde(rename = "pause")]
    Pause {
        /// The processes that are stopped.
        #[serde(rename = "who")]
        processes: Vec<usize>,
    },
    /// Processes are killed and started with a wrong clock; at the end of the fault they are killed and started with a
    /// correct one.
    #[serde(rename = "clock")]
    RestartWithClock {
        /// The processes that are restarted.
        #[serde(rename = "who")]
        processes: Vec<usize>,
        /// The rate of the clock, in seconds per second.
        rate: f64,
        /// How far the clock is ahead at the start of the process, ms.
        ahead_ms: f64,
    },
    /// The clock of processes is stepped, and stepped back at the end of the fault. A process reads the wall clock
    /// once, at its start, so it sees the step only at its next start.
    #[serde(rename = "set")]
    StepClock {
        /// The processes whose clock is stepped.
        #[serde(rename = "who")]
        processes: Vec<usize>,
        /// How far the clock is ahead during the fault, ms.
        ahead_ms: f64,
    },
    /// The disks of processes are full until the end of the fault.
    #[serde(rename = "full")]
    FillDisk {
        /// The processes whose disks are full.
        #[serde(rename = "who")]
        processes: Vec<usize>,
    },
    /// A backend behaves differently until the end of the fault.
    #[serde(rename = "backend")]
    ChangeBackend {
        /// The number of the backend.
        backend: usize,
        /// How the backend behaves during the fault.
        #[serde(rename = "manner")]
        behavior: BackendBehavior,
    },
}

impl FaultAction {
    /// The numbers of all processes that the action names.
    fn process_numbers(&self) -> Vec<usize> {
        match self {
            FaultAction::Blackhole { from, to, .. }
            | FaultAction::Degrade { from, to, .. }
            | FaultAction::ResetConnections { from, to }
            | FaultAction::TruncateConnection { from, to, .. } => {
                from.iter().chain(to).copied().collect()
            }
            FaultAction::Kill { processes, .. }
            | FaultAction::Terminate { processes }
            | FaultAction::Pause { processes }
            | FaultAction::RestartWithClock { processes, .. }
            | FaultAction::StepClock { processes, .. }
            | FaultAction::FillDisk { processes } => processes.clone(),
            FaultAction::ChangeBackend { .. } => Vec::new(),
        }
    }
}

/// Why a text is not a valid schedule. Faults are numbered from 1 on.
#[derive(Debug, thiserror::Error)]
pub enum ScheduleError {
    /// The text is not TOML, or its keys and values are not those of a schedule.
    #[error("{0}")]
    Toml(#[from] toml::de::Error),
    /// A fault names a process that the cluster does not have.
    #[error("fault {fault}: process {process} does not exist")]
    NoSuchProcess {
        /// The number of the fault.
        fault: usize,
        /// The number of the process.
        process: usize,
    },
    /// A fault names a backend that the cluster does not have.
    #[error("fault {fault}: its backend does not exist")]
    NoSuchBackend {
        /// The number of the fault.
        fault: usize,
    },
    /// A time of a fault is negative or not a number.
    #[error("fault {fault}: its times must be 0 s or more")]
    InvalidTime {
        /// The number of the fault.
        fault: usize,
    },
}

impl Schedule {
    /// Reads a schedule from TOML.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the text, or the first fault that names a process or backend that does not exist or
    /// has an invalid time.
    pub fn read(text: &str) -> Result<Schedule, ScheduleError> {
        let schedule: Schedule = toml::from_str(text)?;
        for (index, fault) in schedule.faults.iter().enumerate() {
            schedule.validate_fault(index + 1, fault)?;
        }
        Ok(schedule)
    }

    fn validate_fault(&self, number: usize, fault: &Fault) -> Result<(), ScheduleError> {
        let missing = fault
            .action
            .process_numbers()
            .into_iter()
            .find(|process| *process >= self.processes);
        if let Some(process) = missing {
            return Err(ScheduleError::NoSuchProcess {
                fault: number,
                process,
            });
        }
        if matches!(fault.action, FaultAction::ChangeBackend { backend, .. } if backend >= self.backends)
        {
            return Err(ScheduleError::NoSuchBackend { fault: number });
        }
        let has_valid_times =
            fault.start_s >= 0.0 && fault.duration_s.is_none_or(|duration| duration >= 0.0);
        if !has_valid_times {
            return Err(ScheduleError::InvalidTime { fault: number });
        }
        Ok(())
    }

    /// The schedule as TOML, which [`Schedule::read`] accepts.
    pub fn write(&self) -> String {
        // Serialization cannot fail: a schedule has only tables, arrays and values that TOML can represent.
        toml::to_string(self).unwrap_or_default()
    }
}

/// Rounds a time to tenths of a second.
fn round_to_tenths(seconds: f64) -> f64 {
    (seconds * 10.0).round() / 10.0
}
