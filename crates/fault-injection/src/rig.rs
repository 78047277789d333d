//! The rig itself: a fleet of processes with links between those that are told of each other, stand-ins round them, and
//! one history.

use crate::ground::{Ground, MOST_PROCESSES};
use crate::history::{Event, History};
use crate::link::{Direction, Link, Quality};
use crate::load::{Load, Pace};
use crate::process::Process;
use crate::scripted_peers::{default_settings, endpoint, endpoint_list};
use crate::standins::{backend, counter, discovery, List, Manner, Meter};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;
use tokio::sync::watch;

/// How long what must come about is waited for. Wide: a verdict must not hang on the machine.
pub const PATIENCE: Duration = Duration::from_secs(120);
/// How often what is waited for is looked at.
const LOOK: Duration = Duration::from_millis(10);
/// Numbers of the stand-ins: the discovery agent, the count keeper, and the first backend.
const DISCOVERY: usize = 1;
const COUNTER: usize = 2;
const FIRST_BACKEND: usize = 10;
/// Names of folders begin so, and go on with the id of the process that made them.
const FOLDER: &str = "cometspool-fault-injection-";

/// What a rig is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Processes of the program.
    pub processes: usize,
    /// Stand-in backends.
    pub backends: usize,
    /// Zones over which the processes are spread in turn.
    pub zones: usize,
    /// All chance comes from it.
    pub seed: u64,
    /// Whether each keeps a file for its successor.
    pub handover: bool,
    /// What the fleet block says beyond names and addresses; without it the processes have none.
    pub fleet: Option<Value>,
    /// Others that each process is told of, those that follow it in turn; all unless told. It reaches these alone over
    /// links: whoever it hears of from them it dials direct.
    pub told_peers: Option<usize>,
    /// Cores that the processes may run on; any unless told.
    pub cores: Option<String>,
    /// Where the history goes; only into memory unless told.
    pub history: Option<PathBuf>,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            processes: 3,
            backends: 3,
            zones: 1,
            seed: 1,
            handover: false,
            fleet: Some(json!({})),
            told_peers: None,
            cores: None,
            history: None,
        }
    }
}

impl Plan {
    /// The processes that process `i` is told of, in the order of their numbers: those it needs links to.
    pub fn peers(&self, i: usize) -> Vec<usize> {
        let others = self.processes.saturating_sub(1);
        let count = if self.fleet.is_some() {
            self.told_peers.unwrap_or(others).min(others)
        } else {
            0
        };
        let mut peers: Vec<usize> = (1..=count)
            .map(|step| (i + step) % self.processes)
            .collect();
        peers.sort_unstable();
        peers
    }

    /// Each process with each that it is told of.
    fn links(&self) -> impl Iterator<Item = (usize, usize)> + '_ {
        (0..self.processes).flat_map(|i| self.peers(i).into_iter().map(move |j| (i, j)))
    }
}

/// Processes of the program under faults.
pub struct Rig {
    // In this order they end: processes before what they talk to.
    /// The processes, by number.
    pub processes: Vec<Process>,
    runtime: Option<Runtime>,
    folder: tempfile::TempDir,
    ground: Ground,
    /// What happened so far.
    pub history: Arc<History>,
    directions: BTreeMap<(usize, usize), Arc<Direction>>,
    list: List,
    manners: Vec<watch::Sender<Manner>>,
    meter: Arc<Meter>,
    chance: StdRng,
}

impl Rig {
    /// Lays all out and starts the stand-ins, but no process yet.
    pub fn new(plan: &Plan) -> io::Result<Rig> {
        assert!(
            plan.processes <= MOST_PROCESSES,
            "{} processes",
            plan.processes
        );
        sweep(&std::env::temp_dir());
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        let prefix = format!("{FOLDER}{}-", std::process::id());
        let folder = tempfile::Builder::new().prefix(&prefix).tempdir()?;
        let ground = Ground::take()?;
        let history = Arc::new(match &plan.history {
            Some(path) => History::to(path)?,
            None => History::default(),
        });
        let mut chance = StdRng::seed_from_u64(plan.seed);
        // A link has a direction each way, also where only one of the two is told of the other.
        let pairs: BTreeSet<(usize, usize)> =
            plan.links().flat_map(|(i, j)| [(i, j), (j, i)]).collect();
        let directions: BTreeMap<(usize, usize), Arc<Direction>> = pairs
            .into_iter()
            .map(|pair| (pair, Direction::new(chance.random())))
            .collect();
        for (i, j) in plan.links() {
            let (forth, back) = (directions[&(i, j)].clone(), directions[&(j, i)].clone());
            runtime.block_on(
                Link {
                    at: ground.link(i, j),
                    to: ground.fleet(j),
                    forth,
                    back,
                }
                .open(),
            )?;
        }
        let (meter, mut manners, mut hosts) = (Arc::new(Meter::default()), Vec::new(), Vec::new());
        for number in 0..plan.backends {
            let (at, name) = (
                ground.stand_in(number + FIRST_BACKEND),
                format!("backend-{number}"),
            );
            let manner = watch::Sender::new(Manner::default());
            hosts.push(endpoint(&name, at, "up"));
            runtime.block_on(backend(
                at,
                name,
                manner.subscribe(),
                meter.clone(),
                history.clone(),
            ))?;
            manners.push(manner);
        }
        let list = List::new(endpoint_list(1, true, &hosts));
        runtime.block_on(discovery(ground.stand_in(DISCOVERY), list.subscribe()))?;
        runtime.block_on(counter(ground.stand_in(COUNTER)))?;
        let mut rig = Rig {
            processes: Vec::new(),
            runtime: Some(runtime),
            folder,
            ground,
            history,
            directions,
            list,
            manners,
            meter,
            chance,
        };
        for i in 0..plan.processes {
            let config = rig.config(plan, i);
            let mut process =
                Process::new(&name(i), rig.folder.path(), config, rig.history.clone())?;
            process.cores = plan.cores.clone();
            if plan.handover {
                process.config["handover"] =
                    process.data().join("handover").display().to_string().into();
            }
            if let Some(Value::String(data)) = process.config.pointer_mut("/fleet/data") {
                *data = process.folder.join("data").display().to_string();
            }
            rig.processes.push(process);
        }
        rig.history.note(
            "rig",
            "plan",
            json!({"processes": plan.processes, "seed": plan.seed}),
        );
        Ok(rig)
    }

    /// Lays all out, starts all processes, and waits until each serves.
    pub fn start(plan: &Plan) -> io::Result<Rig> {
        let mut rig = Rig::new(plan)?;
        (0..plan.processes).try_for_each(|i| rig.start_one(i))?;
        rig.await_serving();
        Ok(rig)
    }

    fn config(&self, plan: &Plan, i: usize) -> Value {
        let mut settings = default_settings();
        settings["fleet_size"] = plan.processes.into();
        settings["me"] = i.into();
        let mut config = json!({
            "name": name(i), "listen": self.ground.clients(i).to_string(),
            "discovery": self.ground.stand_in(DISCOVERY).to_string(), "counter": self.ground.stand_in(COUNTER).to_string(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": *self.list.borrow(),
            "settings": settings, "test": true,
        });
        if let Some(told) = &plan.fleet {
            let peer =
                |j: usize| json!({"name": name(j), "dial": self.ground.link(i, j).to_string()});
            let peers: Vec<Value> = plan.peers(i).into_iter().map(peer).collect();
            let mut fleet = json!({
                "name": "rig", "listen": self.ground.fleet(i).to_string(), "peers": peers,
                "zone": format!("zone-{}", i % plan.zones.max(1)), "tell_ms": 250,
            });
            if let (Some(fleet), Some(told)) = (fleet.as_object_mut(), told.as_object()) {
                fleet.extend(told.clone());
            }
            config["fleet"] = fleet;
        }
        config
    }

    /// Starts process `i`, with a new seed as the platform gives with each start.
    pub fn start_one(&mut self, i: usize) -> io::Result<()> {
        self.processes[i].config["seed"] = format!("{:016x}", self.chance.random::<u64>()).into();
        self.processes[i].start()
    }

    /// Waits until every process that runs says that it serves.
    pub fn await_serving(&mut self) {
        for i in 0..self.processes.len() {
            if self.processes[i].id().is_some() {
                self.wait(&format!("{} serving", name(i)), |rig| {
                    rig.serves(i).then_some(())
                });
            }
        }
    }

    /// Whether process `i` has said since its last start that it serves.
    pub fn serves(&self, i: usize) -> bool {
        let name = name(i);
        let started = |event: &Event| event.what == "start" && event.text("process") == name;
        let serves = |event: &Event| event.who == name && event.text("text").contains("serving on");
        self.history.read(|events| {
            let since = events.iter().rposition(started);
            since.is_some_and(|since| events[since..].iter().any(serves))
        })
    }

    /// Waits until `look` finds something; panics with what was due if nothing comes in a wide time.
    pub fn wait<T>(&mut self, what: &str, mut look: impl FnMut(&mut Rig) -> Option<T>) -> T {
        let end = Instant::now() + PATIENCE;
        loop {
            if let Some(found) = look(self) {
                return found;
            }
            if Instant::now() >= end {
                let tail: Vec<String> = self.history.read(|events| {
                    let kept = events
                        .iter()
                        .rev()
                        .filter(|event| event.who != "clients")
                        .take(20);
                    kept.filter_map(|event| serde_json::to_string(event).ok())
                        .collect()
                });
                panic!(
                    "{what} was due; last seen, latest first:\n{}",
                    tail.join("\n")
                );
            }
            std::thread::sleep(LOOK);
        }
    }

    /// Begins to ask; the clients end with the rig.
    pub fn load(&mut self, pace: Pace) -> Load {
        let doors = (0..self.processes.len())
            .map(|i| (name(i), self.ground.clients(i)))
            .collect();
        let _within = self.runtime.as_ref().expect("a rig that stands").enter();
        Load::start(
            pace,
            doors,
            self.chance.random(),
            self.history.clone(),
            self.meter.clone(),
        )
    }

    /// Stops a load and waits until each of its requests has ended.
    pub fn settle(&mut self, load: &Load) {
        load.stop();
        self.wait("the end of what was asked", |_| {
            (load.open() == 0).then_some(())
        });
    }

    /// What a process said last about its fleet.
    pub fn told(&self, i: usize) -> Option<Event> {
        let name = name(i);
        self.history.read(|events| {
            events
                .iter()
                .rev()
                .find(|event| event.who == name && event.what == "fleet")
                .cloned()
        })
    }

    /// Which front doors a process says are present.
    pub fn present(&self, i: usize) -> Vec<String> {
        let told = self.told(i);
        let names = told
            .as_ref()
            .and_then(|event| event.more["members"]["present"].as_array());
        names
            .into_iter()
            .flatten()
            .filter_map(|name| name.as_str().map(str::to_owned))
            .collect()
    }

    /// Waits until each of these says that just these are present.
    pub fn agree(&mut self, these: &[usize], what: &str) {
        let mut names: Vec<String> = these.iter().copied().map(name).collect();
        names.sort();
        self.wait(what, |rig| {
            these.iter().all(|i| rig.present(*i) == names).then_some(())
        });
    }

    // ---- Faults ---------------------------------------------------------------------------------------

    /// The direction from one process to another, if there is a link between them.
    pub fn direction(&self, from: usize, to: usize) -> Option<&Direction> {
        self.directions.get(&(from, to)).map(Arc::as_ref)
    }

    /// Sets how a direction carries; where there is no link nothing flows that could be touched.
    pub fn set(&self, from: usize, to: usize, quality: Quality) {
        self.history.note(
            "rig",
            "link",
            json!({"from": name(from), "to": name(to), "quality": quality}),
        );
        if let Some(direction) = self.direction(from, to) {
            direction.set(quality);
        }
    }

    /// Sets how all directions between two sets carry, both ways.
    pub fn between(&self, some: &[usize], others: &[usize], quality: &Quality) {
        for (i, j) in some
            .iter()
            .flat_map(|i| others.iter().map(move |j| (*i, *j)))
            .filter(|(i, j)| i != j)
        {
            self.set(i, j, quality.clone());
            self.set(j, i, quality.clone());
        }
    }

    /// Cuts the fleet into parts that hear nothing of each other.
    pub fn split(&self, parts: &[&[usize]]) {
        for (number, part) in parts.iter().enumerate() {
            for other in &parts[number + 1..] {
                self.between(
                    part,
                    other,
                    &Quality {
                        cut: true,
                        ..Quality::default()
                    },
                );
            }
        }
    }

    /// Takes all faults off all links.
    pub fn heal(&self) {
        let troubled = self
            .directions
            .iter()
            .filter(|(_, direction)| direction.quality() != Quality::default());
        for ((from, to), _) in troubled {
            self.set(*from, *to, Quality::default());
        }
    }

    /// Stand-in backends that can be told how to act.
    pub fn backends(&self) -> usize {
        self.manners.len()
    }

    /// Makes a backend act otherwise.
    pub fn act(&self, backend: usize, manner: Manner) {
        self.history.note(
            "rig",
            "backend",
            json!({"backend": backend, "manner": manner}),
        );
        self.manners[backend].send_replace(manner);
    }

    /// Changes the list that discovery tells.
    pub fn relist(&self, change: impl FnOnce(&mut Value)) {
        self.list.send_modify(|list| {
            list["seq"] = (list["seq"].as_u64().unwrap_or_default() + 1).into();
            change(list);
        });
    }

    /// Figures of all directions, added up.
    pub fn acted(&self) -> BTreeMap<String, u64> {
        let mut sums = BTreeMap::new();
        for direction in self.directions.values() {
            if let Value::Object(figures) = direction.acted.figures() {
                for (name, figure) in figures {
                    *sums.entry(name).or_default() += figure.as_u64().unwrap_or_default();
                }
            }
        }
        sums
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.processes.clear();
        self.history.flush();
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_timeout(Duration::from_secs(1));
        }
    }
}

/// Lets an interrupt end this program with nothing left behind: processes end with the thread that started them, and the
/// folders of its rigs go here.
pub fn end_on_interrupt() {
    std::thread::spawn(|| {
        let Ok(runtime) = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
        else {
            return;
        };
        if runtime.block_on(tokio::signal::ctrl_c()).is_ok() {
            let prefix = format!("{FOLDER}{}-", std::process::id());
            for entry in std::fs::read_dir(std::env::temp_dir())
                .into_iter()
                .flatten()
                .flatten()
            {
                if entry.file_name().to_string_lossy().starts_with(&prefix) {
                    // What can't be removed is left to the next rig's sweep.
                    let _ = std::fs::remove_dir_all(entry.path());
                }
            }
            std::process::exit(130);
        }
    });
}

/// The name of process `i`.
pub fn name(i: usize) -> String {
    format!("n{i}")
}

/// Removes what rigs and tests left that were killed with their process: such folders and files carry its id.
fn sweep(folder: &Path) {
    let Ok(entries) = std::fs::read_dir(folder) else {
        return;
    };
    for entry in entries.flatten() {
        let name = entry.file_name().to_string_lossy().into_owned();
        let of = name
            .strip_prefix(FOLDER)
            .or_else(|| name.strip_prefix("cometspool-"));
        let id = of
            .and_then(|rest| rest.split('-').next())
            .and_then(|id| id.parse::<u32>().ok());
        if id.is_some_and(|id| !Path::new("/proc").join(id.to_string()).exists()) {
            // Another rig may be sweeping too.
            let _ = std::fs::remove_dir_all(entry.path())
                .or_else(|_| std::fs::remove_file(entry.path()));
        }
    }
}
