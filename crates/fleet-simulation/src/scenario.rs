//! A scenario: the gateways, the backends, the clients and the faults of a run.

use crate::client_population::ClientPopulationSpec;
use cometspool::{Availability, Class, Millis, Settings};

/// The complete input of a run: the same scenario always gives the same statistics.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The settings of every gateway; index, zone and classes are filled in for each.
    pub settings: Settings,
    /// The classes of requests.
    pub classes: Vec<ClassSpec>,
    /// The backends.
    pub backends: Vec<BackendSpec>,
    /// Number of zones; gateway `i` is in zone `i % zones`.
    pub zones: u32,
    /// Requests a second that each gateway gets on average, where there are no [`Scenario::clients`].
    pub requests_per_second: f64,
    /// Whether a gateway deducts the one-way network delay from the deadline that it passes to a backend.
    pub deducts_network_delay: bool,
    /// Whether the time that a request waited unread during a stall counts against its deadline.
    pub charges_stalls: bool,
    /// Least fraction of its class's deadline that a client waits; the fraction is drawn uniformly between this and 1.
    pub min_deadline_fraction: f64,
    /// Times in which a gateway's process is stopped.
    pub gateway_stalls: Vec<GatewayStall>,
    /// One-way network delays.
    pub one_way_delays: NetworkDelays,
    /// Time within which all gateways have received a change of the endpoint list, ms.
    pub propagation_delay: Millis,
    /// How long clients send requests, ms.
    pub duration: Millis,
    /// How a backend's capacity grows after its start.
    pub slow_start: SlowStart,
    /// Most connections that a backend accepts; `None` leaves connections out of the model.
    pub max_connections_per_backend: Option<usize>,
    /// The seed of every random draw.
    pub seed: u64,
    /// Faults and other changes of the fleet.
    pub faults: Vec<ScheduledFault>,
    /// Customers with quotas; `None` gives each gateway requests that are all within quota.
    pub clients: Option<ClientPopulationSpec>,
}

/// An interval in which a gateway's process is stopped: it neither reads nor writes.
#[derive(Clone, Copy, Debug)]
pub struct GatewayStall {
    /// The gateway's index.
    pub gateway: usize,
    /// When it stops, ms.
    pub from: Millis,
    /// When it resumes, ms.
    pub until: Millis,
}

/// How long a message takes one way.
#[derive(Clone, Copy, Debug)]
pub struct NetworkDelays {
    /// Between two processes of one zone, ms.
    pub within_zone: Millis,
    /// Between two processes of different zones, ms.
    pub between_zones: Millis,
}

/// How a backend's capacity grows, linearly, after its start.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Fraction of its full capacity that it starts with.
    pub initial_fraction: f64,
    /// Time after its start at which it has its full capacity, ms.
    pub duration: Millis,
}

/// A fault and the time at which it happens.
#[derive(Clone, Debug)]
pub struct ScheduledFault {
    /// When it happens, ms.
    pub at: Millis,
    /// What happens.
    pub fault: FleetFault,
}

impl ScheduledFault {
    /// A fault at a time in milliseconds.
    pub fn new(at: Millis, fault: FleetFault) -> ScheduledFault {
        ScheduledFault { at, fault }
    }
}

/// A class of requests: its settings, its share of the traffic, and the work of its requests.
#[derive(Clone, Debug)]
pub struct ClassSpec {
    /// The settings of the class.
    pub class: Class,
    /// Its share of the requests; the shares are normalized by their sum.
    pub share: f64,
    /// Mean work of a request at each backend that processes it, in milliseconds of one core of reference speed.
    pub mean_work: f64,
    /// Coefficient of variation of the work.
    pub coefficient_of_variation: f64,
}

/// The model of a backend.
#[derive(Clone, Debug)]
pub struct BackendSpec {
    /// Its zone.
    pub zone: u32,
    /// Requests that it processes concurrently.
    pub cores: usize,
    /// Requests that its queue holds; it rejects further ones unprocessed.
    pub queue_capacity: usize,
    /// Its speed as a multiple of the reference speed.
    pub speed: f64,
    /// Whether it drops queued requests whose deadline has passed.
    pub drops_expired: bool,
    /// Its present fault.
    pub fault: BackendFault,
    /// When it started, ms; `None` for a backend that has always been at full capacity.
    pub started_at: Option<Millis>,
    /// Backends of the next tier; it calls one of them for each request before it responds.
    pub next_tier: Vec<usize>,
    /// Whether it is on the endpoint list of the gateways.
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
    /// It is healthy.
    None,
    /// It answers this fraction of its requests at once with an error.
    Errors(f64),
    /// Its processing time is multiplied by this factor.
    Slow(f64),
    /// It accepts requests and never responds.
    Silent,
    /// Its process has ended: connecting to it fails at once.
    Crashed,
}

/// A change of the fleet during a run. Backends and gateways are named by their indices.
#[derive(Clone, Debug)]
pub enum FleetFault {
    /// A backend has this fault from now on.
    Backend {
        /// The backend's index.
        backend: usize,
        /// Its fault from now on.
        fault: BackendFault,
    },
    /// A zone is cut off from the other zones, or connected again. Messages across the cut are lost without an error.
    Partition {
        /// The zone.
        zone: u32,
        /// Whether it is cut off from now on.
        is_partitioned: bool,
    },
    /// All gateways are notified of a backend's availability, each after its own delay within
    /// [`Scenario::propagation_delay`].
    Announce {
        /// The backend's index.
        backend: usize,
        /// The availability that the endpoint list gives it.
        availability: Availability,
    },
    /// A new backend with the properties of this one starts in slow start, under a new id.
    StartBackend(usize),
    /// A backend restarts in slow start under its old id; its queued requests are lost.
    RestartBackend(usize),
    /// Requests a second that each gateway gets from now on.
    SetRequestRate(f64),
    /// A gateway is killed and restarts at once with the endpoint list of that time.
    RestartGateway(usize),
}
