//! A scenario: the fleet, the backends and the customers of a day, and the faults that happen in it.

use crate::crowd::CrowdSpec;
use cometspool::{Availability, Class, Millis, Settings};

/// A day of a fleet.
#[derive(Clone, Debug)]
pub struct Spec {
    /// What every front door is told; its number and zone are set here.
    pub settings: Settings,
    /// The classes.
    pub classes: Vec<ClassSpec>,
    /// The backends.
    pub backends: Vec<BackendSpec>,
    /// Number of zones; front doors and customers are spread over them.
    pub zones: u32,
    /// Requests a second that each front door gets on average.
    pub rate: f64,
    /// Whether a front door tells a backend what it has left less the way back, or all that it has left.
    pub tells_less: bool,
    /// Whether a request that waited unread while its front door stood still is charged for that.
    pub charges_lag: bool,
    /// Part of its class's deadline that a client waits: evenly from this to the whole.
    pub patience: f64,
    /// Front doors that stand still, and from when to when.
    pub pauses: Vec<(usize, Millis, Millis)>,
    /// One way within a zone and between two.
    pub way: (Millis, Millis),
    /// Time within which all front doors have heard of a change of the list.
    pub told_within: Millis,
    /// How long requests come.
    pub length: Millis,
    /// Part of the warm capacity with which a backend starts, and the time until it has all of it.
    pub cold: (f64, Millis),
    /// Links that a backend's table holds; none are modelled if there is no bound.
    pub table: Option<usize>,
    /// The seed.
    pub seed: u64,
    /// What happens, and when.
    pub faults: Vec<(Millis, Fault)>,
    /// Customers with quotas; without them each front door gets its rate of requests, within everybody's quota.
    pub crowd: Option<CrowdSpec>,
}

/// A class of requests: what the module is told of it, its share, and the work it makes at each backend it meets.
#[derive(Clone, Debug)]
pub struct ClassSpec {
    /// What the module is told.
    pub class: Class,
    /// Its share of the requests.
    pub share: f64,
    /// Mean work in milliseconds of one core of usual speed.
    pub work: f64,
    /// Coefficient of variation of the work.
    pub cv: f64,
}

/// A backend, as the model has it.
#[derive(Clone, Debug)]
pub struct BackendSpec {
    /// Its zone.
    pub zone: u32,
    /// Requests that it works on at a time.
    pub cores: usize,
    /// Requests that may wait; beyond that it turns away unseen.
    pub room: usize,
    /// How fast it is, 1 for usual.
    pub speed: f64,
    /// Whether it lets go of waiting work whose told time is over.
    pub drops_expired: bool,
    /// What is wrong with it.
    pub ill: Ill,
    /// When it started; long ago if `None`.
    pub started: Option<Millis>,
    /// Backends that it calls, one of them for each request, before it answers.
    pub next: Vec<usize>,
    /// Whether front doors are told of it.
    pub listed: bool,
}

impl Default for BackendSpec {
    fn default() -> Self {
        BackendSpec {
            zone: 0,
            cores: 4,
            room: 40,
            speed: 1.0,
            drops_expired: true,
            ill: Ill::No,
            started: None,
            next: Vec::new(),
            listed: true,
        }
    }
}

/// What is wrong with a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ill {
    /// Nothing.
    No,
    /// It answers this part of its requests at once with an error.
    Errors(f64),
    /// It takes this many times as long.
    Slow(f64),
    /// Nothing comes back.
    Silent,
    /// Its process is gone: connections are refused.
    Dead,
}

/// Something that happens to the fleet.
#[derive(Clone, Debug)]
pub enum Fault {
    /// What is wrong with a backend from now on.
    Ill(usize, Ill),
    /// Whether a zone can be reached from the others and from clients: lost ways are silent.
    Cut(u32, bool),
    /// All front doors hear of a state of a backend, each a little later than the one before.
    Told(usize, Availability),
    /// A backend starts, cold, under a new id.
    Start(usize),
    /// A backend starts anew, cold, under its old id; what it had at hand is lost.
    Reborn(usize),
    /// Requests a second that each front door gets from now on.
    Rate(f64),
    /// A front door is killed and starts again at once, with its last list of backends.
    Restart(usize),
}
