//! Schedules: which faults, when and for how long; written by hand in TOML, or drawn from a seed, and cut down.

use crate::check::{self, Violation};
use crate::history::Event;
use crate::link::{Direction, Quality};
use crate::load::Pace;
use crate::rig::{Plan, Rig};
use crate::standins::Manner;
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// A fleet, its load, and what befalls it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// All chance of the rig comes from it.
    pub seed: u64,
    /// Processes of the program.
    pub processes: usize,
    /// Stand-in backends.
    #[serde(default = "three")]
    pub backends: usize,
    /// Zones over which the processes are spread.
    #[serde(default = "one")]
    pub zones: usize,
    /// How long faults may begin, s after all serve.
    pub seconds: f64,
    /// Requests a second.
    #[serde(default = "fifty")]
    pub load_per_s: f64,
    /// Whether the processes have a fleet block.
    #[serde(default = "yes")]
    pub fleet: bool,
    /// Whether each keeps a file for its successor.
    #[serde(default = "yes")]
    pub handover: bool,
    /// What happens.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

fn one() -> usize {
    1
}
fn three() -> usize {
    3
}
fn fifty() -> f64 {
    50.0
}
fn yes() -> bool {
    true
}

/// One fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// When it begins, s.
    pub at: f64,
    /// How long it lasts, s; to the end of the schedule unless told.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lasts: Option<f64>,
    /// What it is.
    #[serde(flatten)]
    pub act: Act,
}

/// What can befall a fleet. `from`, `to` and `who` are numbers of processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "act", rename_all = "kebab-case")]
pub enum Act {
    /// Links carry nothing and nobody is told.
    Cut {
        /// From these.
        from: Vec<usize>,
        /// To these, and back unless one way only.
        to: Vec<usize>,
        /// Only from the former to the latter.
        #[serde(default)]
        one_way: bool,
    },
    /// Links carry badly; several such faults at once add up.
    Link {
        /// From these.
        from: Vec<usize>,
        /// To these, and back unless one way only.
        to: Vec<usize>,
        /// Only from the former to the latter.
        #[serde(default)]
        one_way: bool,
        /// How.
        quality: Quality,
    },
    /// Connections are reset, once.
    Reset {
        /// From these.
        from: Vec<usize>,
        /// To these.
        to: Vec<usize>,
    },
    /// The connection that next carries something is ended after so many bytes: a frame that was half sent.
    Halve {
        /// From these.
        from: Vec<usize>,
        /// To these.
        to: Vec<usize>,
        /// Bytes that still pass.
        bytes: u64,
    },
    /// SIGKILL; started again when it is over.
    Kill {
        /// These.
        who: Vec<usize>,
        /// Their disks go with them.
        #[serde(default)]
        wipe: bool,
    },
    /// SIGTERM, and started again when it is over.
    Terminate {
        /// These.
        who: Vec<usize>,
    },
    /// SIGSTOP, and SIGCONT when it is over.
    Pause {
        /// These.
        who: Vec<usize>,
    },
    /// Killed and started with a clock that is off; with a right one when it is over.
    Clock {
        /// These.
        who: Vec<usize>,
        /// How fast it runs.
        rate: f64,
        /// How far it is ahead at the start, ms.
        ahead_ms: f64,
    },
    /// The clock is set while the process runs; back again when it is over. What it shows at its next start is what was set.
    Set {
        /// These.
        who: Vec<usize>,
        /// How far it is ahead from now on, ms.
        ahead_ms: f64,
    },
    /// The disk takes nothing more; it does again when it is over.
    Full {
        /// These.
        who: Vec<usize>,
    },
    /// A backend acts otherwise.
    Backend {
        /// Its number.
        backend: usize,
        /// How.
        manner: Manner,
    },
}

/// Why a schedule is none.
#[derive(Debug, thiserror::Error)]
pub enum ScheduleError {
    /// Not TOML, or not of this form.
    #[error("{0}")]
    Toml(#[from] toml::de::Error),
    /// A number that stands for nothing.
    #[error("fault {0}: {1}")]
    Fault(usize, String),
}

impl Schedule {
    /// Reads one; a number of a process or backend that is not there is an error.
    pub fn read(text: &str) -> Result<Schedule, ScheduleError> {
        let schedule: Schedule = toml::from_str(text)?;
        for (number, fault) in schedule.faults.iter().enumerate() {
            let wrong = |what: String| Err(ScheduleError::Fault(number + 1, what));
            if let Some(process) = fault
                .act
                .processes()
                .find(|process| *process >= schedule.processes)
            {
                return wrong(format!("there is no process {process}"));
            }
            if matches!(fault.act, Act::Backend { backend, .. } if backend >= schedule.backends) {
                return wrong("there is no such backend".to_owned());
            }
            if !(fault.at >= 0.0 && fault.lasts.is_none_or(|lasts| lasts >= 0.0)) {
                return wrong("times are seconds from nought up".to_owned());
            }
        }
        Ok(schedule)
    }

    /// As text that [`Schedule::read`] takes.
    pub fn write(&self) -> String {
        // Plain tables of plain values can always be written.
        toml::to_string(self).unwrap_or_default()
    }

    /// Draws one of about `faults` faults.
    pub fn draw(seed: u64, processes: usize, seconds: f64, faults: usize) -> Schedule {
        let mut chance = StdRng::seed_from_u64(seed);
        let backends = 3;
        let drawn = (0..faults).map(|_| {
            let at = chance.random_range(0.0..seconds * 0.8);
            let lasts = Some(tenth(chance.random_range(0.2..(seconds / 3.0).max(0.3))));
            Fault {
                at: tenth(at),
                lasts,
                act: Act::draw(&mut chance, processes, backends),
            }
        });
        let mut faults: Vec<Fault> = drawn.collect();
        faults.sort_by(|a, b| a.at.total_cmp(&b.at));
        let (load_per_s, zones) = (50.0, 3);
        Schedule {
            seed,
            processes,
            backends,
            zones,
            seconds,
            load_per_s,
            fleet: true,
            handover: true,
            faults,
        }
    }
}

fn tenth(seconds: f64) -> f64 {
    (seconds * 10.0).round() / 10.0
}

impl Act {
    fn processes(&self) -> Box<dyn Iterator<Item = usize> + '_> {
        match self {
            Act::Cut { from, to, .. }
            | Act::Link { from, to, .. }
            | Act::Reset { from, to }
            | Act::Halve { from, to, .. } => Box::new(from.iter().chain(to).copied()),
            Act::Kill { who, .. }
            | Act::Terminate { who }
            | Act::Pause { who }
            | Act::Clock { who, .. }
            | Act::Set { who, .. }
            | Act::Full { who } => Box::new(who.iter().copied()),
            Act::Backend { .. } => Box::new(std::iter::empty()),
        }
    }

    fn draw(chance: &mut StdRng, processes: usize, backends: usize) -> Act {
        let all: Vec<usize> = (0..processes).collect();
        let some = |most: usize, chance: &mut StdRng| -> Vec<usize> {
            let count = chance.random_range(1..=most.max(1));
            let mut some: Vec<usize> = all.sample(chance, count).copied().collect();
            some.sort_unstable();
            some
        };
        let half = processes.div_ceil(2);
        let from = some(half, chance);
        let rest: Vec<usize> = (0..processes).filter(|i| !from.contains(i)).collect();
        let one_way = chance.random_bool(0.3);
        let bad = chance.random_range(0.02..0.3);
        let quality = match chance.random_range(0..6) {
            0 => Quality {
                loss: bad,
                ..Quality::default()
            },
            1 => Quality {
                delay_ms: 300.0 * bad,
                spread_ms: 1000.0 * bad,
                ..Quality::default()
            },
            2 => Quality {
                duplicate: bad,
                reorder: bad,
                ..Quality::default()
            },
            3 => Quality {
                damage: bad,
                ..Quality::default()
            },
            4 => Quality {
                bytes_per_s: Some(100_000.0 * bad),
                ..Quality::default()
            },
            _ => Quality {
                refuse: true,
                ..Quality::default()
            },
        };
        match chance.random_range(0..11) {
            0 | 1 => Act::Cut {
                from,
                to: rest,
                one_way,
            },
            2 | 3 => Act::Link {
                from,
                to: rest,
                one_way,
                quality,
            },
            4 => Act::Reset { from, to: rest },
            5 => Act::Halve {
                from,
                to: rest,
                bytes: chance.random_range(0..200),
            },
            6 | 7 => Act::Kill {
                who: some(half, chance),
                wipe: chance.random_bool(0.3),
            },
            8 => match chance.random_bool(0.5) {
                true => Act::Pause {
                    who: some(2, chance),
                },
                false => Act::Terminate {
                    who: some(2, chance),
                },
            },
            9 => match chance.random_bool(0.5) {
                true => Act::Full {
                    who: some(2, chance),
                },
                false => Act::Set {
                    who: some(2, chance),
                    ahead_ms: chance.random_range(-3_600_000.0f64..3_600_000.0).round(),
                },
            },
            _ => match chance.random_bool(0.5) {
                true => Act::Clock {
                    who: some(2, chance),
                    rate: *[0.99, 1.01, 0.5, 2.0].choose(chance).unwrap_or(&1.0),
                    ahead_ms: chance.random_range(-3_600_000.0f64..3_600_000.0).round(),
                },
                false => Act::Backend {
                    backend: chance.random_range(0..backends),
                    manner: Manner {
                        fails: chance.random_bool(0.5),
                        full: chance.random_bool(0.5),
                        ..Manner::default()
                    },
                },
            },
        }
    }
}

/// What came of a schedule.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// What was broken.
    pub violations: Vec<Violation>,
    /// What the links did.
    pub acted: BTreeMap<String, u64>,
    /// Events by kind.
    pub counted: BTreeMap<String, u64>,
}

/// A link fault that is on: whose, from, to, how.
type Bad = (usize, usize, usize, Quality);

/// Plays a schedule; afterwards all faults are taken back, and the fleet has to come together again.
pub fn play(
    schedule: &Schedule,
    history: Option<PathBuf>,
    cores: Option<String>,
) -> io::Result<Outcome> {
    let plan = Plan {
        processes: schedule.processes,
        backends: schedule.backends,
        zones: schedule.zones,
        seed: schedule.seed,
        handover: schedule.handover,
        fleet: schedule.fleet.then(|| json!({})),
        told_peers: None,
        cores,
        history,
    };
    let mut rig = Rig::start(&plan)?;
    let load = rig.load(Pace {
        per_s: schedule.load_per_s.max(0.1),
        ..Pace::default()
    });
    let all = schedule.processes;
    rig.wait("all taken in", |_| (load.taken_in() == all).then_some(()));
    let mut timeline: Vec<(f64, usize, bool)> = Vec::new();
    for (number, fault) in schedule.faults.iter().enumerate() {
        timeline.push((fault.at, number, true));
        timeline.push((
            fault.at + fault.lasts.unwrap_or(f64::INFINITY),
            number,
            false,
        ));
    }
    // What begins goes before what ends at the same time: a fault of no length still acts.
    timeline.sort_by(|a, b| a.0.total_cmp(&b.0).then(b.2.cmp(&a.2)));
    let (begun, mut bad) = (Instant::now(), Vec::<Bad>::new());
    for (at, number, begins) in timeline {
        if at <= schedule.seconds {
            std::thread::sleep(
                (begun + Duration::from_secs_f64(at)).saturating_duration_since(Instant::now()),
            );
        } else if begins {
            continue;
        }
        look_for_crashes(&mut rig);
        apply(
            &mut rig,
            &mut bad,
            number,
            &schedule.faults[number].act,
            begins,
        )?;
    }
    std::thread::sleep(
        (begun + Duration::from_secs_f64(schedule.seconds))
            .saturating_duration_since(Instant::now()),
    );
    look_for_crashes(&mut rig);
    rig.heal();
    for i in 0..all {
        rig.processes[i].signal(Signal::SIGCONT);
        rig.processes[i].fill(false)?;
        if rig.processes[i].id().is_none() {
            rig.start_one(i)?;
        }
    }
    rig.await_serving();
    if schedule.fleet {
        rig.agree(&(0..all).collect::<Vec<_>>(), "a fleet that knows itself");
    }
    rig.settle(&load);
    look_for_crashes(&mut rig);
    let events = rig.history.events();
    let mut counted = BTreeMap::new();
    for event in &events {
        *counted.entry(kind(event)).or_default() += 1;
    }
    Ok(Outcome {
        violations: check::all(&events),
        acted: rig.acted(),
        counted,
    })
}

fn kind(event: &Event) -> String {
    match event.what.as_str() {
        "signal" => format!("signal {}", event.text("signal")),
        "member" => format!("member {}", event.text("change")),
        what => what.to_owned(),
    }
}

fn look_for_crashes(rig: &mut Rig) {
    for process in &mut rig.processes {
        process.crashed();
    }
}

fn apply(
    rig: &mut Rig,
    bad: &mut Vec<Bad>,
    number: usize,
    act: &Act,
    begins: bool,
) -> io::Result<()> {
    let pairs = |from: &[usize], to: &[usize], one_way: bool| -> Vec<(usize, usize)> {
        let forth = from
            .iter()
            .flat_map(|i| to.iter().map(move |j| (*i, *j)))
            .filter(|(i, j)| i != j);
        let both = forth.flat_map(|(i, j)| [(i, j), (j, i)]);
        both.enumerate()
            .filter(|(n, _)| !one_way || n % 2 == 0)
            .map(|(_, pair)| pair)
            .collect()
    };
    let mut links = |rig: &Rig, from: &[usize], to: &[usize], one_way: bool, quality: &Quality| {
        let touched = pairs(from, to, one_way);
        if begins {
            bad.extend(
                touched
                    .iter()
                    .map(|(i, j)| (number, *i, *j, quality.clone())),
            );
        } else {
            bad.retain(|(of, ..)| *of != number);
        }
        for (i, j) in touched {
            let all = bad
                .iter()
                .filter(|(_, from, to, _)| (*from, *to) == (i, j))
                .map(|bad| &bad.3);
            rig.set(
                i,
                j,
                all.fold(Quality::default(), |sum, quality| sum.and(quality)),
            );
        }
    };
    match act {
        Act::Cut { from, to, one_way } => {
            links(
                rig,
                from,
                to,
                *one_way,
                &Quality {
                    cut: true,
                    ..Quality::default()
                },
            );
        }
        Act::Link {
            from,
            to,
            one_way,
            quality,
        } => links(rig, from, to, *one_way, quality),
        Act::Reset { from, to } if begins => {
            rig.history
                .note("rig", "reset", json!({"from": from, "to": to}));
            let directions = pairs(from, to, true)
                .into_iter()
                .filter_map(|(i, j)| rig.direction(i, j));
            directions.for_each(Direction::reset);
        }
        Act::Halve { from, to, bytes } if begins => {
            rig.history.note(
                "rig",
                "halve",
                json!({"from": from, "to": to, "bytes": bytes}),
            );
            let directions = pairs(from, to, true)
                .into_iter()
                .filter_map(|(i, j)| rig.direction(i, j));
            directions.for_each(|direction| direction.halve(*bytes));
        }
        Act::Reset { .. } | Act::Halve { .. } => {}
        Act::Kill { who, wipe } => {
            for i in who.iter().copied() {
                if begins {
                    rig.processes[i].kill();
                    if *wipe {
                        rig.processes[i].wipe()?;
                    }
                } else if rig.processes[i].id().is_none() {
                    rig.start_one(i)?;
                }
            }
        }
        Act::Terminate { who } => {
            for i in who.iter().copied() {
                if begins {
                    // One that stands still could not end.
                    rig.processes[i].signal(Signal::SIGCONT);
                    rig.processes[i].signal(Signal::SIGTERM);
                } else {
                    rig.processes[i].signal(Signal::SIGCONT);
                    rig.processes[i].wait_if_told();
                    if rig.processes[i].id().is_none() {
                        rig.start_one(i)?;
                    }
                }
            }
        }
        Act::Pause { who } => {
            let signal = if begins {
                Signal::SIGSTOP
            } else {
                Signal::SIGCONT
            };
            who.iter().for_each(|i| rig.processes[*i].signal(signal));
        }
        Act::Clock {
            who,
            rate,
            ahead_ms,
        } => {
            for i in who.iter().copied() {
                rig.processes[i].kill();
                rig.processes[i].config["clock"] = if begins {
                    json!({"rate": rate, "ahead_ms": ahead_ms})
                } else {
                    Value::Null
                };
                rig.start_one(i)?;
            }
        }
        Act::Set { who, ahead_ms } => {
            for i in who.iter().copied() {
                let ahead = if begins { *ahead_ms } else { 0.0 };
                let clock = json!({"ahead_ms": ahead});
                if rig.serves(i) {
                    rig.processes[i].reload(|config| config["clock"] = clock)?;
                } else {
                    // One that has just been started may not catch signals yet: SIGHUP would end it. It starts with the new
                    // clock, or the next start does.
                    rig.processes[i].config["clock"] = clock;
                }
            }
        }
        Act::Full { who } => who
            .iter()
            .try_for_each(|i| rig.processes[*i].fill(begins))?,
        Act::Backend { backend, manner } => {
            rig.act(
                *backend,
                if begins {
                    manner.clone()
                } else {
                    Manner::default()
                },
            );
        }
    }
    Ok(())
}

/// Cuts a failing schedule down to few faults that still fail: parts of its faults are left out, ever smaller ones, for as
/// long as what is left fails (delta debugging); then faults are made shorter.
pub fn shrink(schedule: &Schedule, mut fails: impl FnMut(&Schedule) -> bool) -> Schedule {
    let mut best = schedule.clone();
    let mut part = best.faults.len().div_ceil(2);
    while part > 0 {
        let (mut at, mut cut) = (0, false);
        while at < best.faults.len() {
            let mut fewer = best.clone();
            fewer.faults.drain(at..(at + part).min(best.faults.len()));
            if fails(&fewer) {
                (best, cut) = (fewer, true);
            } else {
                at += part;
            }
        }
        if !cut {
            part /= 2;
        }
        part = part.min(best.faults.len());
    }
    for number in 0..best.faults.len() {
        let mut shorter = best.clone();
        let Some(lasts) = &mut shorter.faults[number].lasts else {
            continue;
        };
        *lasts = tenth(*lasts / 2.0);
        if fails(&shorter) {
            best = shorter;
        }
    }
    best
}
