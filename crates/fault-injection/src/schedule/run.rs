//! Runs a schedule against a cluster.

use super::{FaultAction, Schedule};
use crate::check::{check_all, Violation};
use crate::cluster::{Cluster, ClusterConfig, LinkEnds};
use crate::history::{Event, CLUSTER};
use crate::link::{Direction, LinkConditions};
use crate::load_generator::LoadProfile;
use crate::stub_services::BackendBehavior;
use nix::sys::signal::Signal;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// The minimum load of a run, requests per second. It keeps the times between requests finite.
const MIN_REQUESTS_PER_S: f64 = 0.1;

/// The result of a run.
#[derive(Clone, Debug)]
pub struct RunOutcome {
    /// The violations of all rules.
    pub violations: Vec<Violation>,
    /// The counters of all links, summed up, by name.
    pub link_counters: BTreeMap<String, u64>,
    /// The number of events of each kind.
    pub event_counts: BTreeMap<String, u64>,
}

/// Runs a schedule. At its end, all faults are ended, and the run waits until all processes serve and agree on the
/// members of the fleet. The history is written to a file if one is given; `cores` are in the notation of `taskset`.
///
/// # Errors
///
/// Returns the error of a file, socket or process that cannot be opened or started.
///
/// # Panics
///
/// Panics if the cluster does not recover within [`crate::cluster::MAX_WAIT`].
pub fn run(
    schedule: &Schedule,
    history: Option<PathBuf>,
    cores: Option<String>,
) -> io::Result<RunOutcome> {
    let config = ClusterConfig {
        processes: schedule.processes,
        backends: schedule.backends,
        zones: schedule.zones,
        seed: schedule.seed,
        handover: schedule.handover,
        fleet: schedule.fleet.then(|| json!({})),
        peers_per_process: None,
        cores,
        history,
    };
    let mut cluster = Cluster::start(&config)?;
    let load = cluster.start_load(LoadProfile {
        requests_per_s: schedule.requests_per_s.max(MIN_REQUESTS_PER_S),
        ..LoadProfile::default()
    });
    cluster.wait_for("all processes in rotation", |_| {
        (load.gateways_in_rotation() == schedule.processes).then_some(())
    });
    FaultRunner {
        cluster: &mut cluster,
        active_link_faults: Vec::new(),
    }
    .run(schedule)?;
    recover(&mut cluster, schedule)?;
    cluster.finish_load(&load);
    record_crashes(&mut cluster);
    let events = cluster.history.events();
    let mut event_counts = BTreeMap::new();
    for event in &events {
        *event_counts.entry(counted_kind(event)).or_default() += 1;
    }
    Ok(RunOutcome {
        violations: check_all(&events),
        link_counters: cluster.link_counters(),
        event_counts,
    })
}

/// Ends all faults on links and processes, and waits until all processes serve and agree on the members of the fleet.
fn recover(cluster: &mut Cluster, schedule: &Schedule) -> io::Result<()> {
    cluster.heal_links();
    for number in 0..schedule.processes {
        let process = &mut cluster.processes[number];
        process.signal(Signal::SIGCONT);
        process.set_disk_full(false)?;
        if process.id().is_none() {
            cluster.start_process(number)?;
        }
    }
    cluster.wait_until_serving();
    if schedule.fleet {
        let all: Vec<usize> = (0..schedule.processes).collect();
        cluster.wait_for_agreement(&all, "agreement of all processes");
    }
    Ok(())
}

/// The kind under which an event is counted: signals are counted by signal, and events of members by their change.
fn counted_kind(event: &Event) -> String {
    match event.kind.as_str() {
        "signal" => format!("signal {}", event.text("signal")),
        "member" => format!("member {}", event.text("change")),
        kind => kind.to_owned(),
    }
}

/// Records the end of each process that has ended by itself.
fn record_crashes(cluster: &mut Cluster) {
    for process in &mut cluster.processes {
        process.has_crashed();
    }
}

/// The start or end of a fault.
struct Transition {
    /// Time since the start of the schedule, s.
    at_s: f64,
    /// The index of the fault.
    fault: usize,
    /// Whether the fault starts (`true`) or ends (`false`).
    starts: bool,
}

/// The starts and ends of all faults, in order of time.
fn timeline(schedule: &Schedule) -> Vec<Transition> {
    let mut timeline = Vec::new();
    for (index, fault) in schedule.faults.iter().enumerate() {
        timeline.push(Transition {
            at_s: fault.start_s,
            fault: index,
            starts: true,
        });
        timeline.push(Transition {
            at_s: fault.start_s + fault.duration_s.unwrap_or(f64::INFINITY),
            fault: index,
            starts: false,
        });
    }
    // At the same time, starts go before ends: a fault with a duration of zero then starts before it ends.
    timeline.sort_by(|a, b| a.at_s.total_cmp(&b.at_s).then(b.starts.cmp(&a.starts)));
    timeline
}

/// Sleeps until this many seconds after `start`.
fn sleep_until(start: Instant, seconds: f64) {
    let end = start + Duration::from_secs_f64(seconds);
    std::thread::sleep(end.saturating_duration_since(Instant::now()));
}

/// The conditions that an active fault puts on one direction of a link.
struct ActiveLinkFault {
    /// The index of the fault.
    fault: usize,
    ends: LinkEnds,
    conditions: LinkConditions,
}

/// Starts and ends the faults of a schedule on a cluster.
struct FaultRunner<'a> {
    cluster: &'a mut Cluster,
    active_link_faults: Vec<ActiveLinkFault>,
}

impl FaultRunner<'_> {
    /// Applies all transitions at their times, and returns at the end of the schedule. Faults that last longer are
    /// ended there, without a wait.
    fn run(mut self, schedule: &Schedule) -> io::Result<()> {
        let start = Instant::now();
        for transition in timeline(schedule) {
            if transition.at_s <= schedule.duration_s {
                sleep_until(start, transition.at_s);
            } else if transition.starts {
                continue;
            }
            record_crashes(self.cluster);
            let action = &schedule.faults[transition.fault].action;
            self.apply(transition.fault, action, transition.starts)?;
        }
        sleep_until(start, schedule.duration_s);
        record_crashes(self.cluster);
        Ok(())
    }

    /// Starts or ends an action. Resets and truncations take effect only at the start.
    fn apply(&mut self, fault: usize, action: &FaultAction, starts: bool) -> io::Result<()> {
        match action {
            FaultAction::Blackhole { from, to, one_way } => {
                let links = link_ends(from, to, *one_way);
                self.change_links(fault, &links, &LinkConditions::blackhole(), starts);
            }
            FaultAction::Degrade {
                from,
                to,
                one_way,
                conditions,
            } => self.change_links(fault, &link_ends(from, to, *one_way), conditions, starts),
            FaultAction::ResetConnections { from, to } => {
                if starts {
                    self.reset_connections(from, to);
                }
            }
            FaultAction::TruncateConnection { from, to, bytes } => {
                if starts {
                    self.truncate_connections(from, to, *bytes);
                }
            }
            FaultAction::Kill {
                processes,
                wipe_disk,
            } => self.kill(processes, *wipe_disk, starts)?,
            FaultAction::Terminate { processes } => self.terminate(processes, starts)?,
            FaultAction::Pause { processes } => self.pause(processes, starts),
            FaultAction::RestartWithClock {
                processes,
                rate,
                ahead_ms,
            } => {
                let clock = json!({"rate": rate, "ahead_ms": ahead_ms});
                self.restart_with_clock(processes, if starts { clock } else { Value::Null })?;
            }
            FaultAction::StepClock {
                processes,
                ahead_ms,
            } => self.step_clock(processes, if starts { *ahead_ms } else { 0.0 })?,
            FaultAction::FillDisk { processes } => {
                self.set_disks_full(processes, starts)?;
            }
            FaultAction::ChangeBackend { backend, behavior } => {
                self.change_backend(*backend, behavior, starts);
            }
        }
        Ok(())
    }

    /// Starts or ends the simulation of full disks for these processes.
    fn set_disks_full(&mut self, processes: &[usize], is_full: bool) -> io::Result<()> {
        for process in processes {
            self.cluster.processes[*process].set_disk_full(is_full)?;
        }
        Ok(())
    }

    /// Gives a backend this behavior when a fault starts, and the default behavior when the fault ends.
    fn change_backend(&mut self, backend: usize, behavior: &BackendBehavior, starts: bool) {
        let behavior = if starts {
            behavior.clone()
        } else {
            BackendBehavior::default()
        };
        self.cluster.set_backend_behavior(backend, behavior);
    }

    /// Adds or removes the conditions of a fault, and sets each link to the combination of all active conditions.
    fn change_links(
        &mut self,
        fault: usize,
        links: &[LinkEnds],
        conditions: &LinkConditions,
        starts: bool,
    ) {
        if starts {
            self.active_link_faults
                .extend(links.iter().map(|ends| ActiveLinkFault {
                    fault,
                    ends: *ends,
                    conditions: conditions.clone(),
                }));
        } else {
            self.active_link_faults
                .retain(|active| active.fault != fault);
        }
        for ends in links {
            let combined = self
                .active_link_faults
                .iter()
                .filter(|active| active.ends == *ends)
                .fold(LinkConditions::default(), |combined, active| {
                    combined.combined_with(&active.conditions)
                });
            self.cluster.set_link(ends.from, ends.to, combined);
        }
    }

    /// The directions of the links from each process in `from` to each process in `to`.
    fn directions<'b>(
        &'b self,
        from: &[usize],
        to: &[usize],
    ) -> impl Iterator<Item = &'b Direction> {
        let cluster = &*self.cluster;
        link_ends(from, to, true)
            .into_iter()
            .filter_map(|ends| cluster.direction(ends.from, ends.to))
    }

    fn reset_connections(&self, from: &[usize], to: &[usize]) {
        self.cluster
            .history
            .record(CLUSTER, "reset", json!({"from": from, "to": to}));
        self.directions(from, to)
            .for_each(Direction::reset_connections);
    }

    fn truncate_connections(&self, from: &[usize], to: &[usize], bytes: u64) {
        self.cluster.history.record(
            CLUSTER,
            "halve",
            json!({"from": from, "to": to, "bytes": bytes}),
        );
        self.directions(from, to)
            .for_each(|direction| direction.truncate_connection(bytes));
    }

    fn kill(&mut self, processes: &[usize], wipe_disk: bool, starts: bool) -> io::Result<()> {
        for process in processes.iter().copied() {
            if starts {
                self.cluster.processes[process].kill();
                if wipe_disk {
                    self.cluster.processes[process].wipe_disk()?;
                }
            } else {
                self.start_if_ended(process)?;
            }
        }
        Ok(())
    }

    fn terminate(&mut self, processes: &[usize], starts: bool) -> io::Result<()> {
        for number in processes.iter().copied() {
            let process = &mut self.cluster.processes[number];
            // A process stopped by SIGSTOP cannot handle SIGTERM.
            process.signal(Signal::SIGCONT);
            if starts {
                process.signal(Signal::SIGTERM);
            } else {
                process.wait_if_terminating();
                self.start_if_ended(number)?;
            }
        }
        Ok(())
    }

    fn pause(&mut self, processes: &[usize], starts: bool) {
        let signal = if starts {
            Signal::SIGSTOP
        } else {
            Signal::SIGCONT
        };
        for process in processes {
            self.cluster.processes[*process].signal(signal);
        }
    }

    fn restart_with_clock(&mut self, processes: &[usize], clock: Value) -> io::Result<()> {
        for process in processes.iter().copied() {
            self.cluster.processes[process].kill();
            self.cluster.processes[process].config["clock"] = clock.clone();
            self.cluster.start_process(process)?;
        }
        Ok(())
    }

    fn step_clock(&mut self, processes: &[usize], ahead_ms: f64) -> io::Result<()> {
        for number in processes.iter().copied() {
            let clock = json!({"ahead_ms": ahead_ms});
            let is_serving = self.cluster.is_serving(number);
            let process = &mut self.cluster.processes[number];
            if is_serving {
                process.reload(|config| config["clock"] = clock)?;
            } else {
                // A process that has just been started may not handle SIGHUP yet, and the signal would end it. Such a
                // process reads the new clock at this start or the next one.
                process.config["clock"] = clock;
            }
        }
        Ok(())
    }

    fn start_if_ended(&mut self, process: usize) -> io::Result<()> {
        if self.cluster.processes[process].id().is_none() {
            self.cluster.start_process(process)?;
        }
        Ok(())
    }
}

/// The links from each process in `from` to each in `to`, each followed by the opposite direction unless `one_way`.
fn link_ends(from: &[usize], to: &[usize], one_way: bool) -> Vec<LinkEnds> {
    let mut links = Vec::new();
    for from in from.iter().copied() {
        for to in to.iter().copied().filter(|to| *to != from) {
            let ends = LinkEnds { from, to };
            links.push(ends);
            if !one_way {
                links.push(ends.reversed());
            }
        }
    }
    links
}
