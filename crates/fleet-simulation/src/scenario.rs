//! Description of a run: the gateways, the backends, the clients, the network and the faults.

use crate::client_population::ClientPopulationSpec;
use cometspool::{Availability, Class, Millis, Settings};

/// The complete input of a run. The same scenario always gives the same statistics.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The policy settings of all gateways. Index, zone and classes are filled in for each gateway.
    pub settings: Settings,
    /// The classes of requests.
    pub classes: Vec<ClassSpec>,
    /// The backends.
    pub backends: Vec<BackendSpec>,
    /// Number of zones; gateway `i` is in zone `i % zones`.
    pub zones: u32,
    /// Mean arrival rate at each gateway if there are no [`Scenario::clients`], requests per second.
    pub requests_per_second: f64,
    /// Whether a gateway deducts the one-way network delay from the deadline that it passes to a backend.
    pub deducts_network_delay: bool,
    /// Whether the time that a request waited unread during a stall counts against its deadline.
    pub charges_stalls: bool,
    /// Minimum time that a client waits for a response, as a fraction of the deadline of the request's class. The
    /// fraction is drawn for each request, uniformly between this value and 1.
    pub min_deadline_fraction: f64,
    /// Intervals in which a gateway's process is stopped.
    pub gateway_stalls: Vec<GatewayStall>,
    /// One-way network delays between two processes.
    pub one_way_delays: NetworkDelays,
    /// Maximum time until a gateway receives a change of the endpoint list, ms. The delay is drawn for each gateway,
    /// uniformly between 0 and this value.
    pub propagation_delay: Millis,
    /// Time during which clients send new requests, ms. The run ends when no scheduled event is left.
    pub duration: Millis,
    /// Slow start of the backends.
    pub slow_start: SlowStart,
    /// Maximum number of connections that a backend accepts; with `None`, connections are not modelled.
    pub max_connections_per_backend: Option<usize>,
    /// Seed of the random number generator of the run.
    pub seed: u64,
    /// Faults and other changes of the fleet.
    pub faults: Vec<ScheduledFault>,
    /// Customers with quotas. With `None`, requests arrive at each gateway at [`Scenario::requests_per_second`] and are
    /// all within quota.
    pub clients: Option<ClientPopulationSpec>,
}

/// An interval in which a gateway's process is stopped, so that it neither reads nor writes.
#[derive(Clone, Copy, Debug)]
pub struct GatewayStall {
    /// Index of the gateway.
    pub gateway: usize,
    /// Simulated time at which the process stops, ms.
    pub from: Millis,
    /// Simulated time at which the process resumes, ms.
    pub until: Millis,
}

/// One-way network delays.
#[derive(Clone, Copy, Debug)]
pub struct NetworkDelays {
    /// Delay between two processes in the same zone, ms.
    pub within_zone: Millis,
    /// Delay between two processes in different zones, ms.
    pub between_zones: Millis,
}

/// Slow start: the capacity of a backend grows linearly after its start. A backend in slow start is called cold, one
/// with its full capacity warm.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Capacity at the start, as a fraction of the full capacity.
    pub initial_fraction: f64,
    /// Time from the start of a backend until it has its full capacity, ms.
    pub duration: Millis,
}

/// A fault and the time at which it is injected.
#[derive(Clone, Debug)]
pub struct ScheduledFault {
    /// Simulated time of the injection, ms.
    pub at: Millis,
    /// The fault or other change of the fleet.
    pub fault: FleetFault,
}

impl ScheduledFault {
    /// Schedules a fault for the simulated time `at`, ms.
    pub fn new(at: Millis, fault: FleetFault) -> ScheduledFault {
        ScheduledFault { at, fault }
    }
}

/// A class of requests: its settings, its share of the traffic, and the work of its requests.
#[derive(Clone, Debug)]
pub struct ClassSpec {
    /// The policy settings of the class.
    pub class: Class,
    /// Share of the requests that are of this class, relative to the sum of all shares.
    pub share: f64,
    /// Mean work of a request at each backend that processes it, in milliseconds on one core of reference speed.
    pub mean_work: f64,
    /// Coefficient of variation of the work, which has a log-normal distribution.
    pub coefficient_of_variation: f64,
}

/// The model of a backend.
#[derive(Clone, Debug)]
pub struct BackendSpec {
    /// Zone in which the backend runs.
    pub zone: u32,
    /// Number of cores; each processes one request at a time.
    pub cores: usize,
    /// Maximum number of queued requests; further requests are rejected without being processed.
    pub queue_capacity: usize,
    /// Speed of a core, as a multiple of the reference speed.
    pub speed: f64,
    /// Whether the backend drops queued requests whose deadline has passed.
    pub drops_expired: bool,
    /// Current fault.
    pub fault: BackendFault,
    /// Simulated time of the last start, ms; `None` for a backend that has had its full capacity from the start of the
    /// run.
    pub started_at: Option<Millis>,
    /// Indices of the backends of the next tier. The backend calls one of them for each request before it responds.
    pub next_tier: Vec<usize>,
    /// Whether the backend is on the endpoint list of the gateways.
    pub is_listed: bool,
}

impl Default for BackendSpec {
    fn default() -> Self {
        BackendSpec {
            zone: 0,
            cores: 4,
            queue_capacity: 40,
            speed: 1.0,
            drops_expired: true,
            fault: BackendFault::None,
            started_at: None,
            next_tier: Vec::new(),
            is_listed: true,
        }
    }
}

/// A fault of a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendFault {
    /// The backend is healthy.
    None,
    /// The backend answers this fraction of its requests immediately with an error.
    Errors(f64),
    /// The processing time of each request is multiplied by this factor.
    Slow(f64),
    /// The backend accepts requests and never responds.
    Silent,
    /// The process has ended, and connection attempts fail immediately.
    Crashed,
}

/// A change of the fleet during a run. Backends and gateways are given by their indices.
#[derive(Clone, Debug)]
pub enum FleetFault {
    /// Sets the fault of a backend.
    Backend {
        /// The backend's index.
        backend: usize,
        /// The fault that the backend has from now on.
        fault: BackendFault,
    },
    /// Partitions a zone from the other zones, or ends the partition. Messages to or from a partitioned zone are lost
    /// without an error.
    Partition {
        /// The zone.
        zone: u32,
        /// Whether the zone is partitioned from now on.
        is_partitioned: bool,
    },
    /// Notifies all gateways of a backend's availability, each after a delay of its own of at most
    /// [`Scenario::propagation_delay`].
    Announce {
        /// The backend's index.
        backend: usize,
        /// Availability of the backend on the endpoint list.
        availability: Availability,
    },
    /// Starts a new backend with the properties of the given one, under a new id and in slow start.
    StartBackend(usize),
    /// Restarts a backend under its old id and in slow start; its queued requests are lost.
    RestartBackend(usize),
    /// Sets the mean arrival rate at each gateway, requests per second.
    SetRequestRate(f64),
    /// Kills a gateway and restarts it immediately with the current endpoint list.
    RestartGateway(usize),
}
