//! Generates random schedules.
//!
//! Seeds are recorded instead of schedules, so the order of random draws in this module must not change: a seed
//! generates the same schedule in every version.

use super::{round_to_tenths, Fault, FaultAction, Schedule};
use crate::link::LinkConditions;
use crate::stub_services::BackendBehavior;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

/// Stub backends of a generated schedule.
const BACKENDS: usize = 3;
/// Zones of a generated schedule.
const ZONES: usize = 3;
/// Requests per second of a generated schedule.
const REQUESTS_PER_S: f64 = 50.0;
/// The most processes that one fault pauses, terminates, gives a full disk or gives a wrong clock.
const MAX_AFFECTED: usize = 2;
/// The largest offset of a clock in a generated fault, ahead or behind, ms.
const MAX_CLOCK_OFFSET_MS: f64 = 3_600_000.0;

impl Schedule {
    /// Generates a schedule with this number of processes and faults. The faults start within the first four fifths of
    /// `duration_s` seconds.
    pub fn generate(seed: u64, processes: usize, duration_s: f64, faults: usize) -> Schedule {
        let mut generator = Generator {
            rng: StdRng::seed_from_u64(seed),
            processes,
        };
        let mut faults: Vec<Fault> = (0..faults).map(|_| generator.fault(duration_s)).collect();
        faults.sort_by(|a, b| a.start_s.total_cmp(&b.start_s));
        Schedule {
            seed,
            processes,
            backends: BACKENDS,
            zones: ZONES,
            duration_s,
            requests_per_s: REQUESTS_PER_S,
            fleet: true,
            handover: true,
            faults,
        }
    }
}

/// Draws random faults for this number of processes.
struct Generator {
    rng: StdRng,
    processes: usize,
}

/// The processes on the two sides of a link fault, and the conditions of the fault.
struct LinkFault {
    from: Vec<usize>,
    to: Vec<usize>,
    one_way: bool,
    conditions: LinkConditions,
}

impl Generator {
    fn fault(&mut self, duration_s: f64) -> Fault {
        let start = self.rng.random_range(0.0..duration_s * 0.8);
        let duration = self.rng.random_range(0.2..(duration_s / 3.0).max(0.3));
        Fault {
            start_s: round_to_tenths(start),
            duration_s: Some(round_to_tenths(duration)),
            action: self.action(),
        }
    }

    fn action(&mut self) -> FaultAction {
        // A link fault is drawn for every action, also for those that do not use it: this keeps the order of draws.
        let LinkFault {
            from,
            to,
            one_way,
            conditions,
        } = self.link_fault();
        match self.rng.random_range(0..11) {
            0 | 1 => FaultAction::Blackhole { from, to, one_way },
            2 | 3 => FaultAction::Degrade {
                from,
                to,
                one_way,
                conditions,
            },
            4 => FaultAction::ResetConnections { from, to },
            5 => FaultAction::TruncateConnection {
                from,
                to,
                bytes: self.rng.random_range(0..200),
            },
            6 | 7 => FaultAction::Kill {
                processes: self.some_processes(self.half()),
                wipe_disk: self.rng.random_bool(0.3),
            },
            8 => {
                let pauses = self.rng.random_bool(0.5);
                let processes = self.some_processes(MAX_AFFECTED);
                if pauses {
                    FaultAction::Pause { processes }
                } else {
                    FaultAction::Terminate { processes }
                }
            }
            9 => {
                let fills_disk = self.rng.random_bool(0.5);
                let processes = self.some_processes(MAX_AFFECTED);
                if fills_disk {
                    FaultAction::FillDisk { processes }
                } else {
                    FaultAction::StepClock {
                        processes,
                        ahead_ms: self.clock_offset_ms(),
                    }
                }
            }
            _ => self.clock_or_backend(),
        }
    }

    fn link_fault(&mut self) -> LinkFault {
        let from = self.some_processes(self.half());
        let to = (0..self.processes)
            .filter(|process| !from.contains(process))
            .collect();
        LinkFault {
            from,
            to,
            one_way: self.rng.random_bool(0.3),
            conditions: self.conditions(),
        }
    }

    fn conditions(&mut self) -> LinkConditions {
        let severity = self.rng.random_range(0.02..0.3);
        let mut conditions = LinkConditions::default();
        match self.rng.random_range(0..6) {
            0 => conditions.loss = severity,
            1 => {
                conditions.delay_ms = 300.0 * severity;
                conditions.jitter_ms = 1000.0 * severity;
            }
            2 => {
                conditions.duplicate = severity;
                conditions.reorder = severity;
            }
            3 => conditions.corrupt = severity,
            4 => conditions.bytes_per_s = Some(100_000.0 * severity),
            _ => conditions.reject_connections = true,
        }
        conditions
    }

    fn clock_or_backend(&mut self) -> FaultAction {
        if self.rng.random_bool(0.5) {
            FaultAction::RestartWithClock {
                processes: self.some_processes(MAX_AFFECTED),
                rate: *[0.99, 1.01, 0.5, 2.0].choose(&mut self.rng).unwrap_or(&1.0),
                ahead_ms: self.clock_offset_ms(),
            }
        } else {
            FaultAction::ChangeBackend {
                backend: self.rng.random_range(0..BACKENDS),
                behavior: BackendBehavior {
                    fails: self.rng.random_bool(0.5),
                    rejects_all: self.rng.random_bool(0.5),
                    ..BackendBehavior::default()
                },
            }
        }
    }

    /// Half of the processes, rounded up.
    fn half(&self) -> usize {
        self.processes.div_ceil(2)
    }

    /// Draws at least one and at most `max` processes, in ascending order.
    fn some_processes(&mut self, max: usize) -> Vec<usize> {
        let all: Vec<usize> = (0..self.processes).collect();
        let count = self.rng.random_range(1..=max.max(1));
        let mut some: Vec<usize> = all.sample(&mut self.rng, count).copied().collect();
        some.sort_unstable();
        some
    }

    fn clock_offset_ms(&mut self) -> f64 {
        self.rng
            .random_range(-MAX_CLOCK_OFFSET_MS..MAX_CLOCK_OFFSET_MS)
            .round()
    }
}
