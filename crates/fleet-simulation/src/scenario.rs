//! A scenario: the fleet, the backends and the customers of a day, and the faults that happen in it.

use crate::client_population::ClientPopulationSpec;
use cometspool::{Availability, Class, Millis, Settings};

/// A day of a fleet.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// What every gateway is told; its number and zone are set here.
    pub settings: Settings,
    /// The classes.
    pub classes: Vec<ClassSpec>,
    /// The backends.
    pub backends: Vec<BackendSpec>,
    /// Number of zones; gateways and customers are spread over them.
    pub zones: u32,
    /// Requests a second that each gateway gets on average.
    pub requests_per_second: f64,
    /// Whether a gateway tells a backend what it has left less the way back, or all that it has left.
    pub deducts_network_delay: bool,
    /// Whether a request that waited unread while its gateway stood still is charged for that.
    pub charges_stalls: bool,
    /// Part of its class's deadline that a client waits: evenly from this to the whole.
    pub min_deadline_fraction: f64,
    /// gateways that stand still, and from when to when.
    pub gateway_stalls: Vec<(usize, Millis, Millis)>,
    /// One way within a zone and between two.
    pub one_way_delays: (Millis, Millis),
    /// Time within which all gateways have heard of a change of the list.
    pub propagation_delay: Millis,
    /// How long requests come.
    pub duration: Millis,
    /// Part of the warm capacity with which a backend starts, and the time until it has all of it.
    pub slow_start: (f64, Millis),
    /// Links that a backend's table holds; none are modelled if there is no bound.
    pub max_connections_per_backend: Option<usize>,
    /// The seed.
    pub seed: u64,
    /// What happens, and when.
    pub faults: Vec<(Millis, FleetFault)>,
    /// Customers with quotas; without them each gateway gets its rate of requests, within everybody's quota.
    pub clients: Option<ClientPopulationSpec>,
}

/// A class of requests: what the module is told of it, its share, and the work it makes at each backend it meets.
#[derive(Clone, Debug)]
pub struct ClassSpec {
    /// What the module is told.
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
    /// Requests that it works on at a time.
    pub cores: usize,
    /// Requests that may wait; beyond that it turns away unseen.
    pub queue_capacity: usize,
    /// How fast it is, 1 for usual.
    pub speed: f64,
    /// Whether it lets go of waiting work whose told time is over.
    pub drops_expired: bool,
    /// What is wrong with it.
    pub fault: BackendFault,
    /// When it started; long ago if `None`.
    pub started_at: Option<Millis>,
    /// Backends that it calls, one of them for each request, before it answers.
    pub next_tier: Vec<usize>,
    /// Whether gateways are told of it.
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
    /// Nothing comes back.
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
