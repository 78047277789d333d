//! A seeded simulation of a fleet: many front doors, each with the decision module as it serves, over backends that are
//! models. Time is simulated; one seed gives one run, on any machine.
//!
//! What is real here is the module ([`Gateway`]) and whatever cores the experiments bring; what is modelled is stated
//! with [`BackendSpec`] and [`World`]. The experiments are in `src/main.rs`, one subcommand each.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod crowd;
mod pooling;

use cometspool::*;
use crowd::{Crowd, CrowdSpec, Ledger};
use pooling::{Act, Dialled, Got, Pool};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// A source of chance.
#[derive(Clone)]
pub struct Chance(Pcg32);

impl Chance {
    /// The source that a seed gives.
    pub fn new(seed: u64) -> Chance {
        Chance(Pcg32::seed_from_u64(seed))
    }

    /// Evenly from nought to one.
    pub fn even(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 4_294_967_296.0
    }

    /// A whole number below `n`.
    pub fn below(&mut self, n: usize) -> usize {
        ((self.even() * n as f64) as usize).min(n.saturating_sub(1))
    }

    /// Exponential with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.even()).ln()
    }

    /// Log-normal with this mean and coefficient of variation.
    pub fn lognormal(&mut self, mean: f64, cv: f64) -> f64 {
        let sigma2 = (1.0 + cv * cv).ln();
        let normal = (-2.0 * (1.0 - self.even()).ln()).sqrt() * (std::f64::consts::TAU * self.even()).cos();
        mean * (sigma2.sqrt() * normal - sigma2 / 2.0).exp()
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
    /// How long requests come.
    pub length: Millis,
    /// Time within which all front doors have heard of a change of the list.
    pub told_within: Millis,
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
    /// A front door is killed and starts again at once, with its last list of backends.
    Restart(usize),
    /// A backend starts anew, cold, under its old id; what it had at hand is lost.
    Reborn(usize),
    /// Requests a second that each front door gets from now on.
    Rate(f64),
}

/// What a run gave.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tally {
    /// Requests of clients.
    pub asked: u64,
    /// Their worth, and the worth of those served within their aims.
    pub worth: f64,
    /// Worth served in time.
    pub served: f64,
    /// Requests served, refused at once and failed.
    pub ends: [u64; 3],
    /// Requests that failed after their aim had passed or more than half of their time had.
    pub late_failures: u64,
    /// Attempts sent, first ones among them.
    pub sends: u64,
    /// First attempts.
    pub firsts: u64,
    /// First attempts that did not come to a good answer.
    pub first_failed: u64,
    /// Work that backends did, and the part of it for attempts that served nobody in time.
    pub work: f64,
    /// Wasted work.
    pub wasted: f64,
    /// Worth asked and served by second.
    pub by_second: Vec<(f64, f64)>,
    /// First attempts by second, and those of them to backends that were ill or cut off.
    pub to_ill: Vec<(u64, u64)>,
    /// Highest load put on a backend in 2 s, over what it could do in them.
    pub peak_over_capacity: f64,
    /// What came to each backend while it was cold, handshakes included.
    pub cold_work: Vec<Vec<ColdWork>>,
    /// Attempts that crossed zones.
    pub crossings: u64,
    /// Times that a front door set a backend aside: one that is well, and one that is ill or cut off.
    pub set_aside: [u64; 2],
    /// Dials, and those of them that a full table refused.
    pub dials: u64,
    /// Dials refused by a full table.
    pub crowded: u64,
    /// Dials by second.
    pub dials_by_second: Vec<u32>,
    /// Most links open at once at each backend.
    pub peaks: Vec<usize>,
    /// Attempts by backend and second.
    pub sent_to: Vec<Vec<u32>>,
    /// When each backend started, and until when it took requests.
    pub lives: Vec<(Millis, Millis)>,
    /// What came of the customers' quotas.
    pub ledger: Ledger,
}

/// Work that came to a cold backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdWork {
    /// When.
    pub at: Millis,
    /// How much, ms of a core.
    pub work: f64,
    /// Whether whoever sent it had been told of the backend's start.
    pub told: bool,
}

impl Tally {
    /// Part of the worth asked that was served in time.
    pub fn share(&self) -> f64 {
        self.served / self.worth.max(1e-9)
    }

    /// The lowest share served in any ten seconds that begin with a whole one, from `from` on.
    pub fn worst_ten(&self, from: usize) -> f64 {
        let seconds = self.by_second.get(from..).unwrap_or(&[]);
        let share = |ten: &[(f64, f64)]| {
            let (asked, served) = ten.iter().fold((0.0, 0.0), |(a, s), second| (a + second.0, s + second.1));
            served / f64::max(asked, 1e-9)
        };
        seconds.windows(10).map(share).fold(1.0, f64::min)
    }
}

#[derive(Clone, Debug)]
enum What {
    Arrive(usize),
    /// A customer's next request is due, or its rate changes.
    Ask(usize, bool),
    /// A client comes again after a refusal of this try.
    Again(u32),
    /// A front door reads a request.
    Read(u32),
    Alarm(usize, AlarmId),
    /// An attempt's last byte comes to its backend.
    Begin(usize),
    /// A core has done the work of an attempt.
    Worked(usize),
    /// An answer comes to whoever sent the attempt.
    Back(usize, Outcome),
    TimeOut(usize),
    Deadline(u32),
    /// A front door sees that a client has gone.
    Gone(u32),
    Told(usize, Vec<BackendEntry>),
    Fault(usize),
    /// A dial of a front door to a backend, for a call or for nobody: whether it is answered, and how.
    Dialled(usize, usize, Option<usize>, bool),
    /// A call has waited for a link for as long as a dial may take.
    Waited(usize),
    Tidy(usize),
    Wake(usize, usize),
}

/// A link between a front door and a backend.
struct Link {
    backend: usize,
    /// Whether the backend's process still has it, and whether its front door has heard that it is gone.
    open: bool,
    reset: bool,
}

struct Due {
    at: Millis,
    order: u64,
    what: What,
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at.total_cmp(&other.at).then(self.order.cmp(&other.order))
    }
}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Due {}

struct Call {
    /// The request that it serves.
    request: u32,
    /// The front door's number of it, or the call of another backend that it is part of.
    from: Result<(usize, u32), usize>,
    backend: usize,
    sent: Millis,
    /// What the backend was told that it has, as a time.
    until: Millis,
    work: f64,
    /// Work done for it, and below it.
    done: f64,
    settled: bool,
    working: bool,
    reached: bool,
    /// Where it stands: without links, waiting for one, or on one.
    link: Option<u64>,
    waits: bool,
}

struct Asked {
    door: usize,
    /// Whose it is; which try of its client; when the first came; whether it was sent on within the quota.
    customer: usize,
    tries: u32,
    first: Millis,
    inside: bool,
    class: usize,
    came: Millis,
    deadline: Millis,
    out: Vec<usize>,
    sends: u32,
    answered: bool,
    /// Work of an attempt of it, at each backend it meets.
    work: f64,
    calls: Vec<usize>,
    served_in_time: bool,
    first_ok: Option<bool>,
}

impl Asked {
    fn new(door: usize, customer: usize, class: usize, came: Millis, deadline: Millis, work: f64) -> Asked {
        Asked {
            door,
            customer,
            tries: 0,
            first: came,
            inside: true,
            class,
            came,
            deadline,
            out: Vec::new(),
            sends: 0,
            answered: false,
            work,
            calls: Vec::new(),
            served_in_time: false,
            first_ok: None,
        }
    }
}

struct Node {
    spec: BackendSpec,
    id: BackendId,
    waiting: VecDeque<usize>,
    working: usize,
    /// Work that came in, by tenth of a second, for the load that a cold one is put under.
    came: VecDeque<(u64, f64)>,
    links: usize,
    /// Front doors that have been told of its last start.
    told: Vec<bool>,
}

struct DoorModel {
    gateway: Gateway,
    zone: u32,
    pool: Pool,
}

/// The fleet at one time of its day.
pub struct World {
    spec: Spec,
    now: Millis,
    order: u64,
    due: BinaryHeap<Reverse<Due>>,
    doors: Vec<DoorModel>,
    nodes: Vec<Node>,
    by_id: BTreeMap<BackendId, usize>,
    asked: Vec<Asked>,
    calls: Vec<Call>,
    cut: BTreeMap<u32, bool>,
    chance: Chance,
    links: Vec<Link>,
    tally: Tally,
    crowd: Option<Crowd>,
}

/// Plays a day and tells what it gave.
pub fn play(spec: Spec) -> Tally {
    let mut world = World::new(spec);
    while let Some(Reverse(due)) = world.due.pop() {
        world.now = due.at;
        world.happen(due.what);
    }
    world.close()
}

/// What a front door is told.
fn door_settings(spec: &Spec, me: u32, zone: u32) -> Settings {
    let classes = spec.classes.iter().map(|class| class.class.clone()).collect();
    Settings { me, zone: ZoneId(zone), classes, ..spec.settings.clone() }
}

impl World {
    fn new(spec: Spec) -> World {
        let mut chance = Chance::new(spec.seed);
        let gateways = spec.settings.gateways;
        let doors = (0..gateways)
            .map(|me| {
                let zone = me % spec.zones;
                let settings = door_settings(&spec, me, zone);
                let seed = u64::from(chance.0.next_u32());
                DoorModel { gateway: Gateway::new(settings, seed), zone, pool: Pool::new(gateways, seed) }
            })
            .collect();
        let mut world = World {
            now: 0.0,
            order: 0,
            due: BinaryHeap::new(),
            doors,
            nodes: Vec::new(),
            by_id: BTreeMap::new(),
            asked: Vec::new(),
            calls: Vec::new(),
            cut: BTreeMap::new(),
            chance,
            links: Vec::new(),
            tally: Tally::default(),
            crowd: None,
            spec,
        };
        for spec in world.spec.backends.clone() {
            world.add(spec);
        }
        let list: Vec<_> = (0..world.nodes.len()).filter(|i| world.nodes[*i].spec.listed).collect();
        let list: Vec<_> = list.into_iter().map(|i| world.entry(i, Availability::Ready)).collect();
        for door in 0..world.doors.len() {
            let mut actions = Vec::new();
            world.doors[door].gateway.handle(
                0.0,
                Event::Backends(ListKind::Cached, list.clone()),
                &mut actions,
            );
            world.carry_out(door, actions);
            let first = world.chance.exponential(1000.0 / world.spec.rate);
            if world.spec.table.is_some() {
                let at = 500.0 * world.chance.even();
                world.at(at, What::Tidy(door));
            }
            if world.spec.crowd.is_none() {
                world.at(first, What::Arrive(door));
            }
        }
        if let Some(spec) = world.spec.crowd.clone() {
            let doors = world.doors.len();
            let crowd = Crowd::new(spec, &world.spec.settings.plans, doors, &mut world.chance);
            let customers = crowd.all.len();
            world.crowd = Some(crowd);
            (0..customers).for_each(|customer| world.ask_next(customer));
        }
        for fault in 0..world.spec.faults.len() {
            world.at(world.spec.faults[fault].0, What::Fault(fault));
        }
        world
    }

    fn add(&mut self, spec: BackendSpec) -> usize {
        // Ids are strewn as those of hashed names are; two alike would be one backend.
        let mut id = BackendId(self.chance.0.next_u32());
        while self.by_id.contains_key(&id) {
            id = BackendId(self.chance.0.next_u32());
        }
        self.by_id.insert(id, self.nodes.len());
        self.tally.peaks.push(0);
        self.tally.sent_to.push(Vec::new());
        self.tally.cold_work.push(Vec::new());
        self.tally.lives.push((spec.started.unwrap_or(f64::NEG_INFINITY), f64::INFINITY));
        let (waiting, came) = (VecDeque::new(), VecDeque::new());
        // Only whoever is told of a new id sends to it.
        let told = vec![true; self.doors.len()];
        self.nodes.push(Node { spec, id, waiting, working: 0, came, links: 0, told });
        self.nodes.len() - 1
    }

    fn entry(&self, node: usize, availability: Availability) -> BackendEntry {
        let node = &self.nodes[node];
        BackendEntry {
            id: node.id,
            zone: ZoneId(node.spec.zone),
            cell: CellId(node.spec.zone),
            availability,
            started: node.spec.started,
            size: 1.0,
        }
    }

    fn at(&mut self, at: Millis, what: What) {
        self.order += 1;
        self.due.push(Reverse(Due { at, order: self.order, what }));
    }

    /// When the front door that this happens at stands still: the end of that.
    fn paused(&self, what: &What) -> Option<Millis> {
        let door = match what {
            What::Read(request) | What::Gone(request) => self.asked[*request as usize].door,
            What::Alarm(door, _) | What::Told(door, _) | What::Dialled(door, ..) => *door,
            What::Back(call, _) | What::TimeOut(call) => self.calls[*call].from.ok()?.0,
            _ => return None,
        };
        let still =
            self.spec.pauses.iter().find(|(who, from, to)| *who == door && (*from..*to).contains(&self.now));
        still.map(|(_, _, to)| *to)
    }

    fn happen(&mut self, what: What) {
        if let Some(end) = self.paused(&what) {
            self.at(end, what);
            return;
        }
        match what {
            What::Read(request) => self.read(request),
            What::Gone(request) => {
                let door = self.asked[request as usize].door;
                self.tell(door, Event::ClientGone(RequestId(request)));
            }
            What::Arrive(door) => self.arrive(door),
            What::Ask(customer, asks) => self.ask(customer, asks),
            What::Again(before) => self.again(before),
            What::Alarm(door, alarm) => self.tell(door, Event::Alarm(alarm)),
            What::Begin(call) => self.begin(call),
            What::Worked(call) => self.worked(call),
            What::Back(call, outcome) => self.back(call, outcome),
            What::TimeOut(call) => self.back(call, Outcome::Timeout),
            What::Deadline(request) => {
                if !self.asked[request as usize].answered {
                    self.answered(request, 2);
                    self.at(self.now, What::Gone(request));
                }
            }
            What::Told(door, entries) => {
                for entry in entries.iter().filter(|entry| entry.availability != Availability::Ready) {
                    let backend = self.by_id[&entry.id];
                    self.pool(door, |pool, _, acts| pool.gone(backend, acts));
                }
                for entry in &entries {
                    let node = &mut self.nodes[self.by_id[&entry.id]];
                    node.told[door] |= entry.started == node.spec.started;
                }
                self.tell(door, Event::Backends(ListKind::Changes, entries));
            }
            What::Dialled(door, backend, call, answered) => self.dialled(door, backend, call, answered),
            What::Waited(call) => {
                if self.calls[call].waits && !self.calls[call].settled {
                    self.back(call, Outcome::ConnectFailed);
                }
            }
            What::Tidy(door) => {
                self.pool(door, |pool, now, acts| pool.tidy(now, acts));
                if self.now < self.spec.length {
                    self.at(self.now + 500.0, What::Tidy(door));
                }
            }
            What::Wake(door, backend) => self.pool(door, |pool, now, acts| pool.wake(now, backend, acts)),
            What::Fault(fault) => self.fault(fault),
        }
    }

    fn tell(&mut self, door: usize, event: Event) {
        let mut actions = Vec::new();
        self.doors[door].gateway.handle(self.now, event, &mut actions);
        self.carry_out(door, actions);
    }

    fn carry_out(&mut self, door: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { request, backend, limit, .. } => self.send(door, request.0, backend, limit),
                #[cfg(not(feature = "base"))]
                Action::Refuse { request, retry_after, why } => {
                    self.refused(request.0, retry_after, format!("{why:?}"));
                }
                #[cfg(feature = "base")]
                Action::Refuse { request, retry_after } => {
                    self.refused(request.0, retry_after, String::new());
                }
                Action::Fail(request) => self.answered(request.0, 2),
                Action::CallOff { request, attempt } => {
                    let out = &self.asked[request.0 as usize].out;
                    let is = |call: &&usize| matches!(self.calls[**call].from, Ok((_, n)) if n == attempt);
                    if let Some(call) = out.iter().find(is).copied() {
                        self.back(call, Outcome::Cancelled);
                    }
                }
                Action::SetAlarm { at, alarm } => self.at(at.max(self.now), What::Alarm(door, alarm)),
                Action::Log(text) if text.contains("set aside") => {
                    let word = text.split(' ').nth(1).and_then(|id| id.parse().ok());
                    let backend = word.and_then(|id| self.by_id.get(&BackendId(id))).copied();
                    let ill = backend.is_some_and(|backend| self.bad(door, backend));
                    self.tally.set_aside[usize::from(ill)] += 1;
                }
                Action::CloseIdle(backend) => {
                    let backend = self.by_id[&backend];
                    self.pool(door, |pool, _, acts| pool.silent(backend, acts));
                }
                #[cfg(not(feature = "base"))]
                Action::Warm { backend, within } if self.spec.table.is_some() => {
                    let backend = self.by_id[&backend];
                    self.pool(door, |pool, now, acts| pool.ahead(now, backend, within, acts));
                }
                _ => {}
            }
        }
    }

    // ---- Requests -----------------------------------------------------------------------------------

    fn arrive(&mut self, door: usize) {
        if self.now > self.spec.length {
            return;
        }
        let next = self.now + self.chance.exponential(1000.0 / self.spec.rate);
        self.at(next, What::Arrive(door));
        let id = self.asked.len();
        self.come(door, id % 64);
    }

    fn ask_next(&mut self, customer: usize) {
        let Some(crowd) = &self.crowd else { return };
        let (at, asks) = crowd.next(customer, self.now, &mut self.chance);
        self.at(at, What::Ask(customer, asks));
    }

    fn ask(&mut self, customer: usize, asks: bool) {
        if self.now > self.spec.length {
            return;
        }
        self.ask_next(customer);
        let now = self.now;
        let Some(crowd) = self.crowd.as_mut().filter(|_| asks) else { return };
        let door = crowd.door(customer, now, &mut self.chance);
        let id = self.come(door, customer);
        let worth = self.worth(id);
        if let Some(crowd) = &mut self.crowd {
            crowd.asked(customer, now, worth);
            crowd.ledger.tries += 1;
        }
    }

    /// A client comes again, with a new id and what is left of its time.
    fn again(&mut self, before: u32) {
        let asked = &self.asked[before as usize];
        let (customer, class, first, tries) = (asked.customer, asked.class, asked.first, asked.tries + 1);
        let (work, deadline, now) = (asked.work, asked.deadline, self.now);
        let Some(crowd) = self.crowd.as_mut().filter(|_| now < deadline) else { return };
        let door = crowd.door(customer, now, &mut self.chance);
        crowd.ledger.tries += 1;
        self.enter(Asked { first, tries, ..Asked::new(door, customer, class, now, deadline, work) });
    }

    /// A try is on its way to its front door, and its client waits until the deadline.
    fn enter(&mut self, asked: Asked) -> u32 {
        let (id, deadline) = (self.asked.len() as u32, asked.deadline);
        self.asked.push(asked);
        self.at(self.now, What::Read(id));
        self.at(deadline, What::Deadline(id));
        id
    }

    fn worth(&self, request: u32) -> f64 {
        self.spec.classes[self.asked[request as usize].class].class.worth
    }

    /// A try is refused: its client may come again.
    fn refused(&mut self, request: u32, told: Option<Millis>, why: String) {
        let asked = &self.asked[request as usize];
        let (fresh, customer, tries) = (!asked.answered, asked.customer, asked.tries);
        self.answered(request, 1);
        let now = self.now;
        let Some(crowd) = self.crowd.as_mut().filter(|_| fresh) else { return };
        crowd.refused(customer, now, why);
        let (most, wait) = crowd.again();
        if tries < most {
            let wait = told.unwrap_or(wait * f64::from(1 << tries)) * (0.75 + 0.5 * self.chance.even());
            self.at(now + wait.max(1.0), What::Again(request));
        }
    }

    /// A request of a customer comes to a door.
    fn come(&mut self, door: usize, customer: usize) -> u32 {
        let mut luck = self.chance.even() * self.spec.classes.iter().map(|class| class.share).sum::<f64>();
        let mut class = 0;
        while class + 1 < self.spec.classes.len() && luck >= self.spec.classes[class].share {
            luck -= self.spec.classes[class].share;
            class += 1;
        }
        let spec = &self.spec.classes[class];
        let (mean, cv) = (spec.work, spec.cv);
        let patience = self.spec.patience + (1.0 - self.spec.patience) * self.chance.even();
        let deadline = self.now + spec.class.deadline * patience;
        let work = self.chance.lognormal(mean, cv);
        self.tally.asked += 1;
        let worth = self.spec.classes[class].class.worth;
        self.tally.worth += worth;
        self.second().0 += worth;
        self.enter(Asked::new(door, customer, class, self.now, deadline, work))
    }

    /// A front door has a request: at once, or when it stands still no longer.
    fn read(&mut self, id: u32) {
        let asked = &self.asked[id as usize];
        let (door, waited) = (asked.door, self.now - asked.came);
        let granted = if self.spec.charges_lag { asked.deadline } else { asked.deadline + waited };
        if asked.answered || granted <= self.now {
            self.answered(id, 2);
            return;
        }
        let whose = self.crowd.as_ref().map(|crowd| &crowd.all[asked.customer]);
        let request = Request {
            id: RequestId(id),
            customer: CustomerId(asked.customer as u64),
            plan: PlanId(whose.map_or(0, |customer| customer.plan)),
            class: ClassId(asked.class),
            units: 1.0,
            deadline: granted,
            spread: whose.map_or(1.0, |customer| customer.doors.len() as f64),
            #[cfg(not(feature = "base"))]
            again: false,
            #[cfg(not(feature = "base"))]
            waited: if self.spec.charges_lag { waited } else { 0.0 },
        };
        self.tell(door, Event::Arrival(request));
    }

    fn second(&mut self) -> &mut (f64, f64) {
        let second = (self.now / 1000.0) as usize;
        if self.tally.by_second.len() <= second {
            self.tally.by_second.resize(second + 1, (0.0, 0.0));
            self.tally.to_ill.resize(second + 1, (0, 0));
        }
        &mut self.tally.by_second[second]
    }

    /// The one final answer: served, refused or failed.
    fn answered(&mut self, request: u32, end: usize) {
        let asked = &mut self.asked[request as usize];
        if std::mem::replace(&mut asked.answered, true) {
            return;
        }
        let class = &self.spec.classes[asked.class].class;
        let took = self.now - asked.came;
        self.tally.ends[end] += 1;
        let late = took >= class.aim || took > 0.5 * (asked.deadline - asked.came);
        if end > 0 && late {
            self.tally.late_failures += 1;
        }
        let (customer, inside, in_time) = (asked.customer, asked.inside, self.now - asked.first <= class.aim);
        let worth = class.worth;
        if let Some(crowd) = self.crowd.as_mut().filter(|_| end == 0 && in_time) {
            crowd.served(customer, worth, inside);
        }
        let asked = &mut self.asked[request as usize];
        if end == 0 && took <= class.aim {
            let (worth, came) = (class.worth, (asked.came / 1000.0) as usize);
            asked.served_in_time = true;
            self.tally.served += worth;
            self.tally.by_second[came].1 += worth;
        }
    }

    // ---- Attempts -----------------------------------------------------------------------------------

    fn send(&mut self, door: usize, request: u32, to: BackendId, limit: Option<Millis>) {
        let asked = &mut self.asked[request as usize];
        let number = asked.sends;
        asked.sends += 1;
        // Its client's own time, or what a front door that stood still takes for it, ends it; the latter when it is told.
        let limit = limit.unwrap_or(asked.deadline - self.now);
        let work = asked.work;
        let backend = self.by_id[&to];
        let call = self.calls.len();
        self.asked[request as usize].out.push(call);
        let (worth, customer, now) = (self.worth(request), self.asked[request as usize].customer, self.now);
        if let Some(crowd) = &mut self.crowd {
            if number == 0 {
                self.asked[request as usize].inside = crowd.sent_on(customer, now, worth);
            }
            crowd.all[customer].out += 1;
        }
        let way = self.way(self.doors[door].zone, self.nodes[backend].spec.zone);
        let until = self.now + limit - if self.spec.tells_less { way } else { 0.0 };
        self.tally.sends += 1;
        if number == 0 {
            self.tally.firsts += 1;
            let bad = self.bad(door, backend);
            let _ = self.second();
            let entry = self.tally.to_ill.last_mut().expect("a second");
            *entry = (entry.0 + 1, entry.1 + u64::from(bad));
        }
        if self.doors[door].zone != self.nodes[backend].spec.zone {
            self.tally.crossings += 1;
        }
        self.call(request, Ok((door, number)), backend, until, work);
        let second = (self.now / 1000.0) as usize;
        let sent = &mut self.tally.sent_to[backend];
        sent.resize(sent.len().max(second + 1), 0);
        sent[second] += 1;
        self.at(self.now + limit, What::TimeOut(call));
        if self.spec.table.is_some() {
            self.take_link(call);
        } else {
            self.set_out(call);
        }
    }

    /// Notes a call, of a front door or of a backend, to a backend.
    fn call(
        &mut self,
        request: u32,
        from: Result<(usize, u32), usize>,
        backend: usize,
        until: Millis,
        work: f64,
    ) {
        self.asked[request as usize].calls.push(self.calls.len());
        self.calls.push(Call {
            request,
            from,
            backend,
            sent: self.now,
            until,
            work,
            done: 0.0,
            settled: false,
            working: false,
            reached: false,
            link: None,
            waits: false,
        });
    }

    /// An attempt goes out, on its link if these are modelled.
    fn set_out(&mut self, call: usize) {
        let (Ok((door, _)), backend) = (self.calls[call].from, self.calls[call].backend) else { return };
        let way = self.way(self.doors[door].zone, self.nodes[backend].spec.zone);
        if !self.reaches(self.doors[door].zone, self.nodes[backend].spec.zone) {
            return;
        }
        match self.nodes[backend].spec.ill {
            Ill::Dead => self.at(self.now + 2.0 * way, What::Back(call, Outcome::ConnectFailed)),
            Ill::Silent => {}
            _ => self.at(self.now + way, What::Begin(call)),
        }
    }

    // ---- Links --------------------------------------------------------------------------------------

    /// Tells a front door's pool something and does what comes of it.
    fn pool<T>(&mut self, door: usize, tell: impl FnOnce(&mut Pool, Millis, &mut Vec<Act>) -> T) -> T {
        let mut acts = Vec::new();
        let told = tell(&mut self.doors[door].pool, self.now, &mut acts);
        for act in acts {
            match act {
                Act::Dial(backend, call) => self.dial(door, backend, call),
                Act::Give(call, link) => {
                    self.calls[call].waits = false;
                    self.calls[call].link = Some(link);
                    self.set_out(call);
                }
                Act::Fail(call, full) => {
                    self.calls[call].waits = false;
                    self.back(call, if full { Outcome::Full } else { Outcome::ConnectFailed });
                }
                Act::Close(link) => self.close_link(link),
                Act::Wake(backend, at) => self.at(at, What::Wake(door, backend)),
            }
        }
        told
    }

    fn take_link(&mut self, call: usize) {
        const DIAL_TIMEOUT: Millis = 250.0;
        let (Ok((door, _)), backend) = (self.calls[call].from, self.calls[call].backend) else { return };
        let class = self.asked[self.calls[call].request as usize].class;
        let once = self.spec.classes[class].class.effect == Effect::Unsafe;
        loop {
            match self.pool(door, |pool, now, acts| pool.take(now, backend, call, once, acts)) {
                // One that was reset is seen to be, and is none.
                Got::Kept(link) if self.links[link as usize].reset => {
                    self.pool(door, |pool, now, acts| pool.lost(now, backend, acts));
                }
                Got::Kept(link) => {
                    self.calls[call].link = Some(link);
                    self.set_out(call);
                    return;
                }
                Got::Waits => {
                    // It may have been given one, or none, by what came of asking.
                    if self.calls[call].link.is_none() && !self.calls[call].settled {
                        self.calls[call].waits = true;
                        self.at(self.now + DIAL_TIMEOUT, What::Waited(call));
                    }
                    return;
                }
                Got::NoRoom => {
                    self.back(call, Outcome::NotSent);
                    return;
                }
            }
        }
    }

    fn dial(&mut self, door: usize, backend: usize, call: Option<usize>) {
        const DIAL_TIMEOUT: Millis = 250.0;
        self.tally.dials += 1;
        let second = (self.now / 1000.0) as usize;
        let by_second = &mut self.tally.dials_by_second;
        by_second.resize(by_second.len().max(second + 1), 0);
        by_second[second] += 1;
        let (from, to) = (self.doors[door].zone, self.nodes[backend].spec.zone);
        let silent = !self.reaches(from, to) || self.nodes[backend].spec.ill == Ill::Silent;
        let (takes, answered) = if silent { (DIAL_TIMEOUT, false) } else { (2.0 * self.way(from, to), true) };
        self.at(self.now + takes, What::Dialled(door, backend, call, answered));
    }

    fn dialled(&mut self, door: usize, backend: usize, call: Option<usize>, answered: bool) {
        /// Work of a handshake.
        const HANDSHAKE: f64 = 1.0;
        let node = &self.nodes[backend];
        let full = self.spec.table.is_some_and(|table| node.links >= table);
        let up = answered && node.spec.ill != Ill::Dead && !full;
        let how = if up {
            self.press(backend, Some(door), HANDSHAKE);
            self.nodes[backend].links += 1;
            let peak = &mut self.tally.peaks[backend];
            *peak = (*peak).max(self.nodes[backend].links);
            self.links.push(Link { backend, open: true, reset: false });
            Dialled::Up(self.links.len() as u64 - 1)
        } else {
            self.tally.crowded += u64::from(answered && full);
            Dialled::Refused
        };
        self.pool(door, |pool, now, acts| pool.dialled(now, backend, call, how, acts));
    }

    fn close_link(&mut self, link: u64) {
        let link = &mut self.links[link as usize];
        if std::mem::replace(&mut link.open, false) {
            let node = &mut self.nodes[link.backend];
            node.links = node.links.saturating_sub(1);
        }
    }

    /// A process that dies resets its links.
    fn reset_links(&mut self, backend: usize) {
        for link in self.links.iter_mut().filter(|link| link.backend == backend) {
            (link.open, link.reset) = (false, true);
        }
        self.nodes[backend].links = 0;
    }

    /// An attempt is over for its front door: its link is free again, or goes with it.
    fn leave_link(&mut self, call: usize, outcome: Outcome) {
        let (Ok((door, _)), backend) = (self.calls[call].from, self.calls[call].backend) else { return };
        if std::mem::take(&mut self.calls[call].waits) {
            self.pool(door, |pool, now, _| pool.left(now, backend, call));
        }
        let Some(link) = self.calls[call].link.take() else { return };
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full) && !self.links[link as usize].reset
        {
            self.pool(door, |pool, now, acts| pool.freed(now, backend, link, acts));
        } else {
            self.close_link(link);
            self.pool(door, |pool, now, acts| pool.lost(now, backend, acts));
        }
    }

    fn bad(&self, door: usize, backend: usize) -> bool {
        let spec = &self.nodes[backend].spec;
        // An error now and then is no illness.
        let well = matches!(spec.ill, Ill::No) || matches!(spec.ill, Ill::Errors(part) if part < 0.1);
        !well || !self.reaches(self.doors[door].zone, spec.zone)
    }

    fn way(&self, from: u32, to: u32) -> Millis {
        if from == to {
            self.spec.way.0
        } else {
            self.spec.way.1
        }
    }

    fn reaches(&self, from: u32, to: u32) -> bool {
        let cut = |zone| self.cut.get(&zone).copied().unwrap_or(false);
        from == to || !(cut(from) || cut(to))
    }

    /// An attempt of a front door ends for it, or a call for the backend that made it.
    fn back(&mut self, call: usize, outcome: Outcome) {
        if std::mem::replace(&mut self.calls[call].settled, true) {
            return;
        }
        self.let_go(call, outcome);
        self.leave_link(call, outcome);
        let (request, backend, sent) =
            (self.calls[call].request, self.calls[call].backend, self.calls[call].sent);
        let (door, number) = match self.calls[call].from {
            Ok(from) => from,
            Err(above) => {
                // The backend above answers with what it got, and has its core back.
                self.free(self.calls[above].backend);
                let outcome = if outcome == Outcome::Ok { Outcome::Ok } else { Outcome::Error };
                self.answer(above, outcome);
                return;
            }
        };
        let asked = &mut self.asked[request as usize];
        let customer = asked.customer;
        let told = matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full);
        let (now, mut use_of_quota) = (self.now, None);
        if let Some(crowd) = &mut self.crowd {
            crowd.all[customer].out -= 1;
            use_of_quota = if told { crowd.use_told(customer, now, &mut self.chance) } else { None };
        }
        asked.out.retain(|out| *out != call);
        asked.first_ok.get_or_insert(outcome == Outcome::Ok);
        if outcome == Outcome::Ok {
            self.answered(request, 0);
        }
        let closed = self.asked[request as usize].answered;
        let settled = Settled {
            request: RequestId(request),
            attempt: number,
            backend: self.nodes[backend].id,
            outcome,
            elapsed: self.now - sent,
            closed,
            use_of_quota,
            true_units: None,
            report: Report::default(),
            broken: 0,
        };
        self.tell(door, Event::Settled(settled));
    }

    /// Whoever gave an attempt up closes its connection: what still waits for a core is dropped.
    fn let_go(&mut self, call: usize, outcome: Outcome) {
        if matches!(outcome, Outcome::Timeout | Outcome::Cancelled) {
            let backend = self.calls[call].backend;
            self.nodes[backend].waiting.retain(|waiting| *waiting != call);
        }
    }

    // ---- Backends -----------------------------------------------------------------------------------

    fn warmth(&self, node: usize) -> f64 {
        let (from, time) = self.spec.cold;
        match self.nodes[node].spec.started {
            None => 1.0,
            Some(at) => from + (1.0 - from) * ((self.now - at) / time).clamp(0.0, 1.0),
        }
    }

    fn begin(&mut self, call: usize) {
        let node = self.calls[call].backend;
        if matches!(self.nodes[node].spec.ill, Ill::Silent) {
            return;
        }
        self.calls[call].reached = true;
        let from = self.calls[call].from.ok().map(|(door, _)| door);
        self.press(node, from, self.calls[call].work);
        if let Ill::Errors(part) = self.nodes[node].spec.ill {
            if self.chance.even() < part {
                self.answer(call, Outcome::Error);
                return;
            }
        }
        if self.nodes[node].waiting.len() >= self.nodes[node].spec.room {
            self.answer(call, Outcome::Full);
            return;
        }
        self.nodes[node].waiting.push_back(call);
        self.start_work(node);
    }

    /// Notes the load that a backend is put under, against what it can do.
    fn press(&mut self, node: usize, from: Option<usize>, work: f64) {
        const TENTHS: u64 = 20;
        let (tenth, warmth) = ((self.now / 100.0) as u64, self.warmth(node));
        let spec = &self.nodes[node].spec;
        let able = warmth * spec.cores as f64 * spec.speed * 100.0 * TENTHS as f64;
        let told = from.is_none_or(|door| self.nodes[node].told[door]);
        let came = &mut self.nodes[node].came;
        match came.back_mut() {
            Some((last, sum)) if *last == tenth => *sum += work,
            _ => came.push_back((tenth, work)),
        }
        while came.front().is_some_and(|(first, _)| first + TENTHS <= tenth) {
            came.pop_front();
        }
        if warmth < 1.0 {
            self.tally.cold_work[node].push(ColdWork { at: self.now, work, told });
            let load = came.iter().map(|(_, work)| work).sum::<f64>() / able;
            self.tally.peak_over_capacity = self.tally.peak_over_capacity.max(load);
        }
    }

    fn start_work(&mut self, node: usize) {
        while self.nodes[node].working < self.nodes[node].spec.cores {
            let Some(call) = self.nodes[node].waiting.pop_front() else { return };
            if self.nodes[node].spec.drops_expired && self.now >= self.calls[call].until {
                continue;
            }
            self.nodes[node].working += 1;
            self.calls[call].working = true;
            let spec = &self.nodes[node].spec;
            let slow = if let Ill::Slow(times) = spec.ill { times } else { 1.0 };
            let takes = self.calls[call].work * slow / (spec.speed * self.warmth(node));
            self.at(self.now + takes, What::Worked(call));
        }
    }

    fn worked(&mut self, call: usize) {
        let node = self.calls[call].backend;
        self.calls[call].done += self.calls[call].work;
        let next = self.nodes[node].spec.next.clone();
        if next.is_empty() {
            self.free(node);
            self.answer(call, Outcome::Ok);
            return;
        }
        // The core is held until the call below is answered. It is told what is left, less the way.
        let to = next[self.chance.below(next.len())];
        let way = self.way(self.nodes[node].spec.zone, self.nodes[to].spec.zone);
        let less = if self.spec.tells_less { way } else { 0.0 };
        let (until, request, work) =
            (self.calls[call].until - less, self.calls[call].request, self.calls[call].work);
        if self.now >= self.calls[call].until {
            self.free(node);
            self.answer(call, Outcome::Error);
            return;
        }
        let below = self.calls.len();
        self.call(request, Err(call), to, until, work);
        self.at(self.calls[call].until, What::TimeOut(below));
        self.at(self.now + way, What::Begin(below));
    }

    fn free(&mut self, node: usize) {
        self.nodes[node].working -= 1;
        self.start_work(node);
    }

    /// A backend answers.
    fn answer(&mut self, call: usize, outcome: Outcome) {
        let zone = self.nodes[self.calls[call].backend].spec.zone;
        let to = match self.calls[call].from {
            Ok((door, _)) => self.doors[door].zone,
            Err(above) => self.nodes[self.calls[above].backend].spec.zone,
        };
        if self.reaches(zone, to) {
            self.at(self.now + self.way(zone, to), What::Back(call, outcome));
        }
    }

    // ---- What happens -------------------------------------------------------------------------------

    fn fault(&mut self, fault: usize) {
        match self.spec.faults[fault].1.clone() {
            Fault::Ill(node, ill) => {
                self.nodes[node].spec.ill = ill;
                if ill == Ill::Dead {
                    self.reset_links(node);
                    self.tally.lives[node].1 = self.now;
                    self.nodes[node].waiting.clear();
                }
            }
            Fault::Cut(zone, cut) => {
                self.cut.insert(zone, cut);
            }
            Fault::Told(node, state) => self.spread(node, state),
            Fault::Restart(door) => self.restart(door),
            Fault::Reborn(node) => {
                self.reset_links(node);
                let old = &mut self.nodes[node];
                old.waiting.clear();
                (old.spec.started, old.spec.ill) = (Some(self.now), Ill::No);
                old.told = vec![false; self.doors.len()];
                self.tally.lives[node].0 = self.now;
                self.spread(node, Availability::Ready);
            }
            Fault::Rate(rate) => self.spec.rate = rate,
            Fault::Start(node) => {
                let spec =
                    BackendSpec { started: Some(self.now), ill: Ill::No, ..self.nodes[node].spec.clone() };
                let fresh = self.add(spec);
                self.spread(fresh, Availability::Ready);
            }
        }
    }

    /// What it had at hand is lost; its clients wait in vain.
    fn restart(&mut self, door: usize) {
        let (zone, seed) = (self.doors[door].zone, u64::from(self.chance.0.next_u32()));
        self.doors[door].gateway = Gateway::new(door_settings(&self.spec, door as u32, zone), seed);
        let up = |node: &usize| self.nodes[*node].spec.listed && self.nodes[*node].spec.ill != Ill::Dead;
        let up: Vec<usize> = (0..self.nodes.len()).filter(up).collect();
        let list = up.into_iter().map(|node| self.entry(node, Availability::Ready)).collect();
        self.tell(door, Event::Backends(ListKind::Cached, list));
    }

    /// All front doors hear of a state of a backend, each at a time of its own.
    fn spread(&mut self, node: usize, state: Availability) {
        let entry = self.entry(node, state);
        for door in 0..self.doors.len() {
            let at = self.now + self.spec.told_within * self.chance.even();
            self.at(at, What::Told(door, vec![entry]));
        }
    }

    fn close(mut self) -> Tally {
        if let Some(crowd) = &self.crowd {
            self.tally.ledger = crowd.ledger.clone();
        }
        for asked in &self.asked {
            let mut done = 0.0;
            for call in &asked.calls {
                done += self.calls[*call].done;
            }
            self.tally.work += done;
            // One good answer in time is worth one run of the work at each backend on its way; the rest is waste.
            let useful = if asked.served_in_time { self.useful(asked) } else { 0.0 };
            self.tally.wasted += done - useful;
            self.tally.first_failed += u64::from(asked.first_ok == Some(false));
        }
        self.tally
    }

    /// Work on the way to the first attempt that came to its end: its own and what it called.
    fn useful(&self, asked: &Asked) -> f64 {
        let best = asked.calls.iter().filter(|call| self.calls[**call].from.is_ok());
        let chain = |call: usize| -> f64 {
            let mut sum = self.calls[call].done;
            let mut above = call;
            while let Some(below) = asked.calls.iter().find(|c| self.calls[**c].from == Err(above)) {
                sum += self.calls[*below].done;
                above = *below;
            }
            sum
        };
        best.map(|call| chain(*call)).fold(0.0, f64::max)
    }
}
