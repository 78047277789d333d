//! A cluster: gateway processes, proxies on the links between configured peers, stub services, and one history.

mod faults;
mod setup;
mod temporary_files;

pub use temporary_files::exit_on_interrupt;

use crate::address_block::{AddressBlock, MAX_PROCESSES};
use crate::history::{Event, History, CLIENTS, CLUSTER};
use crate::link::Direction;
use crate::load_generator::{LoadGenerator, LoadProfile, Target};
use crate::process::Process;
use crate::stub_services::UsageMeter;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{json, Value};
use setup::StubServices;
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

/// The longest wait for an expected event, long enough that a slow machine changes no result.
pub const MAX_WAIT: Duration = Duration::from_secs(120);
/// The pause between two probes for an expected event.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The number of events that a failed wait prints.
const PRINTED_EVENTS: usize = 20;

/// The size of a cluster and the configuration of its processes.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Number of gateway processes.
    pub processes: usize,
    /// Number of stub backends.
    pub backends: usize,
    /// Number of zones over which the processes are spread in turn.
    pub zones: usize,
    /// The seed of all random draws of the cluster.
    pub seed: u64,
    /// Whether each process writes a hand-over file for its successor.
    pub handover: bool,
    /// Keys that are added to the fleet section or replace its defaults; `None` for processes without a fleet section.
    pub fleet: Option<Value>,
    /// The number of peers that each process is configured with: the processes with the next numbers, after the last of
    /// which comes process 0; `None` for all others. A process reaches only these peers through proxies, and connects
    /// directly to processes that it learns of from them.
    pub peers_per_process: Option<usize>,
    /// The cores on which the processes may run, in the notation of `taskset`; `None` for all.
    pub cores: Option<String>,
    /// The file to which the history is written; `None` to keep it in memory only.
    pub history: Option<PathBuf>,
}

impl Default for ClusterConfig {
    fn default() -> ClusterConfig {
        ClusterConfig {
            processes: 3,
            backends: 3,
            zones: 1,
            seed: 1,
            handover: false,
            fleet: Some(json!({})),
            peers_per_process: None,
            cores: None,
            history: None,
        }
    }
}

/// The ends of one direction of a link between two processes, by their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkEnds {
    /// The process that sends.
    pub from: usize,
    /// The process that receives.
    pub to: usize,
}

impl LinkEnds {
    /// The opposite direction.
    pub fn reversed(self) -> LinkEnds {
        LinkEnds {
            from: self.to,
            to: self.from,
        }
    }
}

impl ClusterConfig {
    /// The numbers of the peers that a process is configured with, in ascending order.
    pub fn peers(&self, process: usize) -> Vec<usize> {
        let others = self.processes.saturating_sub(1);
        let count = if self.fleet.is_some() {
            self.peers_per_process.unwrap_or(others).min(others)
        } else {
            0
        };
        let mut peers: Vec<usize> = (1..=count)
            .map(|step| (process + step) % self.processes)
            .collect();
        peers.sort_unstable();
        peers
    }

    /// The links from each process to the peers that it is configured with.
    fn links(&self) -> impl Iterator<Item = LinkEnds> + '_ {
        (0..self.processes).flat_map(|from| {
            self.peers(from)
                .into_iter()
                .map(move |to| LinkEnds { from, to })
        })
    }
}

/// The name of a process by its number.
pub fn process_name(process: usize) -> String {
    format!("n{process}")
}

/// Running gateway processes with the proxies and stub services around them; all end when the cluster is dropped.
pub struct Cluster {
    // Fields are dropped in this order: processes before the services that they talk to.
    /// The processes, by number.
    pub processes: Vec<Process>,
    runtime: Option<Runtime>,
    folder: tempfile::TempDir,
    addresses: AddressBlock,
    /// What has happened so far.
    pub history: Arc<History>,
    directions: BTreeMap<LinkEnds, Arc<Direction>>,
    stubs: StubServices,
    meter: Arc<UsageMeter>,
    rng: StdRng,
}

impl Cluster {
    /// Prepares a cluster and starts its proxies and stub services, but no process yet.
    ///
    /// # Errors
    ///
    /// Returns the error of a file, folder or socket that cannot be opened.
    pub fn new(config: &ClusterConfig) -> io::Result<Cluster> {
        assert!(
            config.processes <= MAX_PROCESSES,
            "{} processes",
            config.processes
        );
        temporary_files::remove_leftovers(&std::env::temp_dir());
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        let folder = temporary_files::create_folder()?;
        let addresses = AddressBlock::acquire()?;
        let history = Arc::new(match &config.history {
            Some(path) => History::with_file(path)?,
            None => History::default(),
        });
        let mut rng = StdRng::seed_from_u64(config.seed);
        let directions = setup::directions(config, &mut rng);
        runtime.block_on(setup::start_proxies(config, &addresses, &directions))?;
        let meter = Arc::new(UsageMeter::default());
        let stubs = runtime.block_on(setup::start_stubs(config, &addresses, &meter, &history))?;
        let mut cluster = Cluster {
            processes: Vec::new(),
            runtime: Some(runtime),
            folder,
            addresses,
            history,
            directions,
            stubs,
            meter,
            rng,
        };
        for number in 0..config.processes {
            let process = cluster.prepare_process(config, number)?;
            cluster.processes.push(process);
        }
        cluster.history.record(
            CLUSTER,
            "plan",
            json!({"processes": config.processes, "seed": config.seed}),
        );
        Ok(cluster)
    }

    /// Prepares a cluster, starts all processes, and waits until each serves.
    ///
    /// # Errors
    ///
    /// Returns the error of a file, folder, socket or process that cannot be opened or started.
    pub fn start(config: &ClusterConfig) -> io::Result<Cluster> {
        let mut cluster = Cluster::new(config)?;
        (0..config.processes).try_for_each(|process| cluster.start_process(process))?;
        cluster.wait_until_serving();
        Ok(cluster)
    }

    fn prepare_process(&self, config: &ClusterConfig, number: usize) -> io::Result<Process> {
        let configuration = setup::process_configuration(
            config,
            number,
            &self.addresses,
            &self.stubs.endpoint_list.borrow(),
        );
        let mut process = Process::new(
            &process_name(number),
            self.folder.path(),
            configuration,
            self.history.clone(),
        )?;
        process.cores = config.cores.clone();
        if config.handover {
            let path = process.data_folder().join("handover");
            process.config["handover"] = path.display().to_string().into();
        }
        if let Some(Value::String(data)) = process.config.pointer_mut("/fleet/data") {
            *data = process.folder.join("data").display().to_string();
        }
        Ok(process)
    }

    /// Starts a process with a new seed, as the platform does for each start.
    ///
    /// # Errors
    ///
    /// Returns the error of a configuration that cannot be written or a program that cannot be started.
    pub fn start_process(&mut self, process: usize) -> io::Result<()> {
        let seed = self.rng.random::<u64>();
        self.processes[process].config["seed"] = format!("{seed:016x}").into();
        self.processes[process].start()
    }

    /// Waits until every running process has logged that it serves.
    pub fn wait_until_serving(&mut self) {
        for process in 0..self.processes.len() {
            if self.processes[process].id().is_some() {
                self.wait_for(&format!("{} serving", process_name(process)), |cluster| {
                    cluster.is_serving(process).then_some(())
                });
            }
        }
    }

    /// Whether a process has logged since its last start that it serves.
    pub fn is_serving(&self, process: usize) -> bool {
        let name = process_name(process);
        let is_start = |event: &Event| event.kind == "start" && event.text("process") == name;
        let is_serving =
            |event: &Event| event.source == name && event.is_log_line("serving requests");
        self.history.read(|events| {
            let started = events.iter().rposition(is_start);
            started.is_some_and(|started| events[started..].iter().any(is_serving))
        })
    }

    /// Polls `probe` until it returns a value. `expected` describes the event for which the caller waits.
    ///
    /// # Panics
    ///
    /// Panics with `expected` and the latest events if there is no value within [`MAX_WAIT`].
    pub fn wait_for<T>(
        &mut self,
        expected: &str,
        mut probe: impl FnMut(&mut Cluster) -> Option<T>,
    ) -> T {
        let deadline = Instant::now() + MAX_WAIT;
        loop {
            if let Some(found) = probe(self) {
                return found;
            }
            if Instant::now() >= deadline {
                panic!(
                    "timed out waiting for {expected}; events, latest first:\n{}",
                    self.latest_events().join("\n")
                );
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// The latest events other than those of clients, latest first, as JSON.
    fn latest_events(&self) -> Vec<String> {
        self.history.read(|events| {
            events
                .iter()
                .rev()
                .filter(|event| event.source != CLIENTS)
                .take(PRINTED_EVENTS)
                .filter_map(|event| serde_json::to_string(event).ok())
                .collect()
        })
    }

    /// Starts scripted clients that send requests to all processes; they end with the cluster.
    pub fn start_load(&mut self, profile: LoadProfile) -> LoadGenerator {
        let targets = (0..self.processes.len())
            .map(|process| Target {
                name: process_name(process),
                address: self.addresses.client_address(process),
            })
            .collect();
        let runtime = self
            .runtime
            .as_ref()
            .expect("the runtime runs until the cluster is dropped");
        let _context = runtime.enter();
        LoadGenerator::start(
            profile,
            targets,
            self.rng.random(),
            self.history.clone(),
            self.meter.clone(),
        )
    }

    /// Stops a load, and waits until each of its requests has ended.
    pub fn finish_load(&mut self, load: &LoadGenerator) {
        load.stop();
        self.wait_for("the end of all requests", |_| {
            (load.in_flight() == 0).then_some(())
        });
    }

    /// The last report that a process logged about its fleet.
    pub fn last_fleet_report(&self, process: usize) -> Option<Event> {
        let name = process_name(process);
        self.history.read(|events| {
            events
                .iter()
                .rev()
                .find(|event| event.source == name && event.kind == "fleet")
                .cloned()
        })
    }

    /// The names of the gateways that are present according to a process.
    pub fn present_members(&self, process: usize) -> Vec<String> {
        let report = self.last_fleet_report(process);
        let names = report
            .as_ref()
            .and_then(|event| event.fields["members"]["present"].as_array());
        names
            .into_iter()
            .flatten()
            .filter_map(|name| name.as_str().map(str::to_owned))
            .collect()
    }

    /// Waits until each of these processes reports that exactly these processes are present.
    pub fn wait_for_agreement(&mut self, processes: &[usize], expected: &str) {
        let mut names: Vec<String> = processes.iter().copied().map(process_name).collect();
        names.sort();
        self.wait_for(expected, |cluster| {
            processes
                .iter()
                .all(|process| cluster.present_members(*process) == names)
                .then_some(())
        });
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.processes.clear();
        self.history.flush();
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_timeout(Duration::from_secs(1));
        }
    }
}
