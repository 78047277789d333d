//! A scenario: the gateways, the backends and the clients of a run, and the faults that happen in it.

use crate::client_population::ClientPopulationSpec;
use cometspool::{Availability, Class, Millis, Settings};

/// All that a run of the simulation is made of.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The settings of every gateway; its index and zone are filled in for each.
    pub settings: Settings,
    /// The classes.
    pub classes: Vec<ClassSpec>,
    /// The backends.
    pub backends: Vec<BackendSpec>,
    /// Number of zones; gateways and customers are spread over them.
    pub zones: u32,
    /// Requests a second that each gateway gets on average.
    pub requests_per_second: f64,
    /// Whether a gateway deducts the way back from the time that it grants to a backend.
    pub deducts_network_delay: bool,
    /// Whether the time that a request waited unread during a stall counts against its deadline.
    pub charges_stalls: bool,
    /// Least fraction of its class's deadline that a client waits; drawn uniformly from this to the whole.
    pub min_deadline_fraction: f64,
    /// Times in which a gateway's process is stopped.
    pub gateway_stalls: Vec<GatewayStall>,
    /// How long a message takes one way.
    pub one_way_delays: NetworkDelays,
    /// Time within which all gateways have received a change of the endpoint list.
    pub propagation_delay: Millis,
    /// How long clients send requests.
    pub duration: Millis,
    /// How a backend's capacity grows after its start.
    pub slow_start: SlowStart,
    /// Most connections that a backend accepts; `None` leaves connections out of the model.
    pub max_connections_per_backend: Option<usize>,
    /// The seed of every random draw.
    pub seed: u64,
    /// What happens to the fleet, and when.
    pub faults: Vec<ScheduledFault>,
    /// Customers with quotas. Without them each gateway gets [`Scenario::requests_per_second`], all within quota.
    pub clients: Option<ClientPopulationSpec>,
}

/// A time in which a gateway's process is stopped: it neither reads nor writes.
#[derive(Clone, Copy, Debug)]
pub struct GatewayStall {
    /// The gateway's index.
    pub gateway: usize,
    /// When it stops.
    pub from: Millis,
    /// When it runs again.
    pub until: Millis,
}

/// How long a message takes one way.
#[derive(Clone, Copy, Debug)]
pub struct NetworkDelays {
    /// Between two processes of one zone.
    pub within_zone: Millis,
    /// Between two processes of different zones.
    pub between_zones: Millis,
}

/// How a backend's capacity grows, linearly, after its start.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Fraction of its full capacity that it starts with.
    pub initial_fraction: f64,
    /// Time after its start at which it has its full capacity.
    pub duration: Millis,
}

/// A fault and the time at which it happens.
#[derive(Clone, Debug)]
pub struct ScheduledFault {
    /// When it happens.
    pub at: Millis,
    /// What happens.
    pub fault: FleetFault,
}

impl ScheduledFault {
    /// A fault at a time.
    pub fn new(at: Millis, fault: FleetFault) -> ScheduledFault {
        ScheduledFault { at, fault }
    }
}

/// A class of requests: the policy's settings for it, its share, and the work it makes at each backend it reaches.
#[derive(Clone, Debug)]
pub struct ClassSpec {
    /// The settings of the class.
    pub class: Class,
    /// Its share of the requests.
    pub share: f64,
    /// Mean work in milliseconds of one core of usual speed.
    pub mean_work: f64,
    /// Coefficient of variation of the work.
    pub coefficient_of_variation: f64,
}

/// A backend, as the model has it.
#[derive(Clone, Debug)]
pub struct BackendSpec {
    /// Its zone.
    pub zone: u32,
    /// Requests that it processes at a time.
    pub cores: usize,
    /// Requests that may wait; beyond that it rejects them unprocessed.
    pub queue_capacity: usize,
    /// Its speed relative to a usual backend.
    pub speed: f64,
    /// Whether it drops waiting requests whose deadline has passed.
    pub drops_expired: bool,
    /// What is wrong with it.
    pub fault: BackendFault,
    /// When it started; long ago if `None`.
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

/// What is wrong with a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendFault {
    /// Nothing.
    None,
    /// It answers this part of its requests at once with an error.
    Errors(f64),
    /// It takes this many times as long.
    Slow(f64),
    /// It never responds.
    Silent,
    /// Its process is gone: connections are refused.
    Crashed,
}

/// Something that happens to the fleet.
#[derive(Clone, Debug)]
pub enum FleetFault {
    /// What is wrong with a backend from now on.
    Backend(usize, BackendFault),
    /// Whether a zone can be reached from the others and from clients: lost ways are silent.
    Partition(u32, bool),
    /// All gateways hear of a state of a backend, each a little later than the one before.
    Announce(usize, Availability),
    /// A backend starts, cold, under a new id.
    StartBackend(usize),
    /// A backend starts anew, cold, under its old id; what it had at hand is lost.
    RestartBackend(usize),
    /// Requests a second that each gateway gets from now on.
    SetRequestRate(f64),
    /// A gateway is killed and starts again at once, with its last list of backends.
    RestartGateway(usize),
}
