//! Schedules: which faults act on a cluster, when and for how long. Written by hand in TOML, or generated from a seed;
//! run against a cluster; and shrunk to the faults that matter.

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
    /// Processes of the program.
    pub processes: usize,
    /// Stub backends.
    #[serde(default = "default_backends")]
    pub backends: usize,
    /// Zones over which the processes are spread.
    #[serde(default = "default_zones")]
    pub zones: usize,
    /// The time in which faults start, s after all processes serve.
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
    /// The faults.
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

/// One fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// When it starts, s.
    #[serde(rename = "at")]
    pub start_s: f64,
    /// How long it lasts, s; `None` to the end of the schedule.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "lasts")]
    pub duration_s: Option<f64>,
    /// What it does.
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
    /// Links get worse; several such faults at once combine.
    #[serde(rename = "link")]
    Degrade {
        /// The processes on one side.
        from: Vec<usize>,
        /// The processes on the other side.
        to: Vec<usize>,
        /// Only the direction towards `to` is affected.
        #[serde(default)]
        one_way: bool,
        /// The conditions.
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
    /// The connection that next carries data is reset after some bytes, as in the middle of a frame.
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
        /// The processes.
        #[serde(rename = "who")]
        processes: Vec<usize>,
        /// Whether their disks are wiped too.
        #[serde(default, rename = "wipe")]
        wipe_disk: bool,
    },
    /// Processes get SIGTERM; they are started again at the end of the fault.
    #[serde(rename = "terminate")]
    Terminate {
        /// The processes.
        #[serde(rename = "who")]
        processes: Vec<usize>,
    },
    /// Processes get SIGSTOP, and SIGCONT at the end of the fault.
    #[serde(rename = "pause")]
    Pause {
        /// The processes.
        #[serde(rename = "who")]
        processes: Vec<usize>,
    },
    /// Processes are killed and started with a wrong clock, and so again with a right one at the end of the fault.
    #[serde(rename = "clock")]
    RestartWithClock {
        /// The processes.
        #[serde(rename = "who")]
        processes: Vec<usize>,
        /// The rate of the clock, in seconds per second.
        rate: f64,
        /// How far it is ahead at the start, ms.
        ahead_ms: f64,
    },
    /// The clock of running processes is stepped, and back at the end of the fault. A process reads the step at its next
    /// start.
    #[serde(rename = "set")]
    StepClock {
        /// The processes.
        #[serde(rename = "who")]
        processes: Vec<usize>,
        /// How far it is ahead from now on, ms.
        ahead_ms: f64,
    },
    /// The disks of processes are full until the end of the fault.
    #[serde(rename = "full")]
    FillDisk {
        /// The processes.
        #[serde(rename = "who")]
        processes: Vec<usize>,
    },
    /// A backend behaves differently until the end of the fault.
    #[serde(rename = "backend")]
    ChangeBackend {
        /// The number of the backend.
        backend: usize,
        /// How it behaves.
        #[serde(rename = "manner")]
        behavior: BackendBehavior,
    },
}

impl FaultAction {
    /// The numbers of all processes that it names.
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

/// Why a text is not a schedule. Faults are numbered from 1 on.
#[derive(Debug, thiserror::Error)]
pub enum ScheduleError {
    /// It is not TOML, or not of the form of a schedule.
    #[error("{0}")]
    Toml(#[from] toml::de::Error),
    /// A fault names a process that the cluster does not have.
    #[error("fault {fault}: there is no process {process}")]
    NoSuchProcess {
        /// The number of the fault.
        fault: usize,
        /// The number of the process.
        process: usize,
    },
    /// A fault names a backend that the cluster does not have.
    #[error("fault {fault}: there is no such backend")]
    NoSuchBackend {
        /// The number of the fault.
        fault: usize,
    },
    /// A time of a fault is negative or not a number.
    #[error("fault {fault}: times are seconds from nought up")]
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
        // Serialization cannot fail: the schedule consists of plain tables of plain values.
        toml::to_string(self).unwrap_or_default()
    }
}

/// Rounds a time to tenths of a second.
fn round_to_tenths(seconds: f64) -> f64 {
    (seconds * 10.0).round() / 10.0
}
