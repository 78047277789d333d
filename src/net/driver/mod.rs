//! The driver: hands events to the decision module and carries out what comes back.
//!
//! It owns the gateway, the tables of requests and attempts, the alarms, and the maps between names on the
//! wire and the module's numbers. [`Driver::post`] is the only place that calls the policy; events that arise
//! while actions are carried out wait in a queue, so the module is never re-entered.

use crate::net::control::config::Config;
use crate::net::control::discovery::{EndpointObserver, EndpointUpdate};
use crate::net::control::endpoint_list::{Endpoint, EndpointList, Health};
use crate::net::control::handover::Handover;
use crate::net::downstream::connections::RequestHandler;
use crate::net::messages::{Answer, AttemptResult, IncomingRequest, UpstreamRequest};
use crate::net::runtime::budget::{AttemptDeadline, Budget, WakeRecorder};
use crate::net::runtime::capacity;
use crate::net::runtime::clock::Clock;
use crate::net::runtime::context::RuntimeContext;
use crate::net::upstream::attempt::{self, UpstreamTransport};
use crate::net::upstream::pool_driver::{AttemptHandle, UpstreamConnections};
use crate::net::upstream::response::ResponseReader;
use cometspool::settings;
use cometspool::*;
use fnv::FnvHasher;
use std::cell::{Cell, RefCell};
use std::cmp::{Ordering, Reverse};
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::future::Future;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use tokio::sync::{oneshot, Notify};

/// How long after its deadline the id of a request that is over is turned down. Every request has its own, a client's retry too: one
/// that comes again is somebody else's, and sent on it would run a second time.
const ID_MEMORY: Millis = 5000.0;
/// Ids of requests that are over that are kept at most.
const IDS_KEPT: usize = 8192;

/// Ends of backends that are remembered at most, beyond those still listed.
const ENDS_KEPT: usize = 4096;

/// What a planned stop keeps of its time, so that the last answers are written before the process ends.
const LAST_WRITES: Millis = 100.0;

/// What comes due at a time.
#[derive(Clone, Copy, Debug)]
enum Due {
    /// An alarm of the module.
    Alarm(TimerId),
    /// The time-out of an attempt.
    TimeOut(RequestId, u32),
    /// The client of a request stops waiting.
    Deadline(RequestId),
}

/// An entry of the timer heap; of two for one time, the one set first comes first.
#[derive(Clone, Copy, Debug)]
struct Timer {
    at: Millis,
    order: u64,
    due: Due,
}

impl Ord for Timer {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at
            .total_cmp(&other.at)
            .then(self.order.cmp(&other.order))
    }
}

impl PartialOrd for Timer {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Timer {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Timer {}

/// A request that has no final answer yet, or an attempt of which is still out.
struct Entry {
    order: Rc<UpstreamRequest>,
    budget: Budget,
    /// Present until the one final answer has been handed over.
    answer: Option<oneshot::Sender<Answer>>,
    /// Whether running it again is harmless.
    safe: bool,
    attempts: u32,
    /// One, or two where second copies are permitted.
    out: Vec<Attempt>,
}

impl Entry {
    fn take(&mut self, number: u32) -> Option<Attempt> {
        let place = self
            .out
            .iter()
            .position(|attempt| attempt.number == number)?;
        Some(self.out.remove(place))
    }
}

/// Carries out one attempt: the sockets, or what a test puts in their place.
type Carrier = dyn Fn(
    BackendId,
    Rc<UpstreamRequest>,
    AttemptDeadline,
    DeliveryMode,
    AttemptHandle,
) -> Pin<Box<dyn Future<Output = AttemptResult>>>;

/// An attempt that is out.
struct Attempt {
    number: u32,
    backend: BackendId,
    sent: Millis,
    line: AttemptHandle,
}

/// The module's bounds on the time of an attempt.
struct AttemptLimits {
    /// How long it may take.
    limit: Option<Millis>,
    /// The time before which it has to reach its backend.
    begin_before: Option<Millis>,
}

/// A backend at an address.
#[derive(Clone)]
struct Holder {
    host: String,
    born_ms: Millis,
}

struct State {
    gateway: PolicyEngine,
    requests: HashMap<RequestId, Entry>,
    /// Ids on the wire of the requests in the table, and of those over for less than [`ID_MEMORY`].
    ids: HashSet<Rc<str>>,
    /// The latter, the oldest first; at most [`IDS_KEPT`].
    past_ids: VecDeque<(Millis, Rc<str>)>,
    last_request: u32,
    backends: HashMap<String, BackendId>,
    /// Of backends that say they were born later than now: what they said, and when it was first heard.
    unborn: HashMap<BackendId, (Millis, Millis)>,
    /// Who was told last to be at an address.
    addresses: HashMap<SocketAddr, Holder>,
    /// Of backends that were told to drain or to be gone, when the process that ends was born.
    ends: HashMap<String, Millis>,
    timers: BinaryHeap<Reverse<Timer>>,
    timers_set: u64,
    /// When a planned stop wants all answered.
    stop: Option<Millis>,
    /// What a predecessor left, and what a successor gets, if the configuration wants that.
    handover: Option<Handover>,
}

/// A front door's driver.
pub(super) struct Driver {
    /// What it stands on.
    pub context: Rc<RuntimeContext>,
    /// Itself, for what it sets going.
    own: Weak<Driver>,
    connections: Rc<UpstreamConnections>,
    carrier: Box<Carrier>,
    state: RefCell<State>,
    queue: RefCell<VecDeque<(Millis, Event)>>,
    last_event: Cell<Millis>,
    busy: Cell<bool>,
    earlier: Notify,
}

/// Ends the process if the module panics: a front door that cannot decide must not go on taking requests.
struct Deciding;

impl Drop for Deciding {
    fn drop(&mut self) {
        if std::thread::panicking() {
            std::process::exit(70);
        }
    }
}

impl Driver {
    /// A front door with an empty list of backends.
    pub(super) fn new(config: &Config, woken: WakeRecorder) -> Result<Rc<Driver>, String> {
        let told = &config.parsed;
        let (clock, doors) = (Clock::skewed(config.clock), told.settings.gateways);
        let room = capacity::upstream_connection_limit(
            config.descriptor_budget(),
            config.limits.memory_mb << 20,
        );
        let pools = Rc::new(UpstreamConnections::new(
            told.connections,
            room,
            doors,
            config.seed,
            clock,
        ));
        let reading = Rc::new(ResponseReader::new(told, config.limits.memory_mb << 20));
        let transport = UpstreamTransport {
            connections: pools.clone(),
            response_reader: reading,
            clock,
        };
        let carrier =
            move |backend, order: Rc<UpstreamRequest>, part, delivery, line: AttemptHandle| {
                let transport = transport.clone();
                let attempt = async move {
                    attempt::attempt(&transport, backend, &order, part, delivery, &line).await
                };
                Box::pin(attempt) as Pin<Box<dyn Future<Output = AttemptResult>>>
            };
        Driver::with(config, woken, clock, pools, Box::new(carrier))
    }

    fn with(
        config: &Config,
        woken: WakeRecorder,
        clock: Clock,
        connections: Rc<UpstreamConnections>,
        carrier: Box<Carrier>,
    ) -> Result<Rc<Driver>, String> {
        let told = &config.parsed;
        let site = Rc::new(RuntimeContext::new(told, woken, clock));
        let longest = site.longest_deadline();
        let open = |path: &std::path::PathBuf| {
            Handover::open(path.clone(), clock, longest).map_err(|error| error.to_string())
        };
        let handover = config.handover.as_ref().map(open).transpose()?;
        Ok(Rc::new_cyclic(|own| Driver {
            context: site,
            own: own.clone(),
            connections,
            carrier,
            state: RefCell::new(State {
                gateway: PolicyEngine::new(told.settings.clone(), config.seed),
                requests: HashMap::new(),
                ids: HashSet::new(),
                past_ids: VecDeque::new(),
                last_request: 0,
                backends: HashMap::new(),
                unborn: HashMap::new(),
                addresses: HashMap::new(),
                ends: HashMap::new(),
                timers: BinaryHeap::new(),
                timers_set: 0,
                stop: None,
                handover,
            }),
            queue: RefCell::default(),
            last_event: Cell::new(0.0),
            busy: Cell::new(false),
            earlier: Notify::new(),
        }))
    }

    /// Hands an event to the module, or queues it behind the one that is being handled.
    fn post(&self, at: Millis, event: Event) {
        self.queue.borrow_mut().push_back((at, event));
        if self.busy.replace(true) {
            return;
        }
        let mut actions = Vec::new();
        loop {
            let Some((at, event)) = self.queue.borrow_mut().pop_front() else {
                break;
            };
            // Two events may have been read in another order than they came; the clock never goes back.
            let at = at.max(self.last_event.get());
            self.last_event.set(at);
            let deciding = Deciding;
            self.state
                .borrow_mut()
                .gateway
                .handle(at, event, &mut actions);
            drop(deciding);
            actions.drain(..).for_each(|action| self.carry_out(action));
        }
        self.busy.set(false);
    }

    fn carry_out(&self, action: Action) {
        match action {
            Action::Send {
                request,
                backend,
                timeout: limit,
                begin_before,
                delivery,
            } => {
                self.send(
                    request,
                    backend,
                    AttemptLimits {
                        limit,
                        begin_before,
                    },
                    delivery,
                );
            }
            Action::Reject {
                request,
                retry_after,
                ..
            } => self.answer(request, Answer::Rejected(retry_after)),
            Action::Fail(request) => self.answer(request, Answer::Failed),
            Action::CancelAttempt { request, attempt } => {
                self.settle(
                    request,
                    attempt,
                    AttemptResult::without_response(Outcome::Cancelled),
                );
            }
            Action::SetTimer { at, timer } => self.set_timer(at, Due::Alarm(timer)),
            Action::CloseIdleConnections(backend) => self.connections.close_idle(backend),
            Action::Preconnect { backend, within } => self.connections.preconnect(backend, within),
            Action::Log(text) => eprintln!("{text}"),
            // Changes of the list come unasked, and probes are not permitted.
            Action::Subscribe | Action::FetchList | Action::CheckHealth(_) => {}
        }
    }

    // ---- Requests -----------------------------------------------------------------------------------

    /// Gives a request its final answer, unless it has one.
    fn answer(&self, id: RequestId, answer: Answer) {
        let mut state = self.state.borrow_mut();
        if let Some(sender) = state
            .requests
            .get_mut(&id)
            .and_then(|entry| entry.answer.take())
        {
            // The client may be gone; then there is nobody to tell.
            let _ = sender.send(answer);
        }
        drop(state);
        self.wind_up(id);
    }

    /// Ends what a request with a final answer, or without a client, has out that is not written whole yet: it would run for
    /// nobody. What is written whole is called off only where the settings permit it, and the module knows.
    fn wind_up(&self, id: RequestId) {
        let unsent: Vec<u32> = {
            let state = self.state.borrow();
            let entry = state
                .requests
                .get(&id)
                .filter(|entry| entry.answer.is_none());
            let out = entry.into_iter().flat_map(|entry| &entry.out);
            out.filter(|attempt| !attempt.line.is_fully_written())
                .map(|attempt| attempt.number)
                .collect()
        };
        unsent.into_iter().for_each(|number| {
            self.settle(
                id,
                number,
                AttemptResult::without_response(Outcome::Cancelled),
            );
        });
        self.state.borrow_mut().forget_if_over(id);
    }

    // ---- Attempts -----------------------------------------------------------------------------------

    fn send(
        &self,
        id: RequestId,
        backend: BackendId,
        limits: AttemptLimits,
        delivery: DeliveryMode,
    ) {
        let now = self.context.clock.now();
        let mut held = self.state.borrow_mut();
        let state = &mut *held;
        let Some(entry) = state.requests.get_mut(&id) else {
            return;
        };
        let number = entry.attempts;
        entry.attempts += 1;
        let copies = if self.context.settings.hedging { 2 } else { 1 };
        let fits = entry.answer.is_some()
            && entry.out.len() < copies
            && number < self.context.settings.max_attempts;
        // A copy belongs at another backend than the first: what ends there tells which of the two it was.
        let fits = fits && entry.out.iter().all(|attempt| attempt.backend != backend);
        let part = entry
            .budget
            .attempt_deadline(now, limits.limit)
            .map(|part| part.begin_before(limits.begin_before));
        let Some(part) = part.filter(|_| fits) else {
            drop(held);
            let ended = AttemptResult::without_response(Outcome::NotSent);
            self.post(
                now,
                Event::AttemptCompleted(settled(id, number, backend, 0.0, &ended, false)),
            );
            return;
        };
        if let Some(handover) = state.handover.as_mut().filter(|_| !entry.safe) {
            handover.record_sent(&entry.order.id, entry.budget.end());
        }
        let line = AttemptHandle::default();
        let carried = (self.carrier)(backend, entry.order.clone(), part, delivery, line.clone());
        let own = self.own.clone();
        let task = tokio::task::spawn_local(async move {
            let ended = carried.await;
            if let Some(door) = own.upgrade() {
                door.settle(id, number, ended);
            }
        });
        line.set_task(task.abort_handle());
        entry.out.push(Attempt {
            number,
            backend,
            sent: now,
            line,
        });
        drop(held);
        self.set_timer(part.end(), Due::TimeOut(id, number));
    }

    /// Settles an attempt, once: whatever ends it later finds it gone.
    fn settle(&self, id: RequestId, number: u32, mut ended: AttemptResult) {
        let now = self.context.clock.now();
        let event = {
            let mut state = self.state.borrow_mut();
            let Some(entry) = state.requests.get_mut(&id) else {
                return;
            };
            let Some(attempt) = entry.take(number) else {
                return;
            };
            if matches!(ended.outcome, Outcome::Cancelled | Outcome::Timeout) {
                // What has not been written whole when its connection is closed cannot run.
                if ended.outcome == Outcome::Timeout && !attempt.line.is_fully_written() {
                    ended.outcome = Outcome::ConnectFailed;
                }
                attempt.line.abandon();
            }
            if let Some(sender) = entry.answer.take_if(|_| ended.outcome == Outcome::Ok) {
                let _ = sender.send(Answer::Served(ended.body.clone()));
            }
            // No further attempt for a client that has left.
            entry
                .answer
                .take_if(|_| entry.order.client.is_disconnected());
            let closed = entry.answer.is_none();
            settled(
                id,
                number,
                attempt.backend,
                now - attempt.sent,
                &ended,
                closed,
            )
        };
        self.post(now, Event::AttemptCompleted(event));
        self.wind_up(id);
    }

    // ---- Time ---------------------------------------------------------------------------------------

    fn set_timer(&self, at: Millis, due: Due) {
        let mut state = self.state.borrow_mut();
        let earliest = state
            .timers
            .peek()
            .is_none_or(|Reverse(first)| at < first.at);
        state.timers_set += 1;
        let order = state.timers_set;
        state.timers.push(Reverse(Timer { at, order, due }));
        if earliest {
            self.earlier.notify_one();
        }
    }

    /// Fires what comes due, for as long as the front door runs.
    pub(super) async fn run_timers(self: Rc<Self>) {
        loop {
            let now = self.context.clock.now();
            let next = {
                let mut state = self.state.borrow_mut();
                state.drop_dead_timers();
                match state.timers.peek() {
                    Some(Reverse(first)) if first.at <= now => {
                        state.timers.pop().map(|Reverse(first)| Ok(first))
                    }
                    Some(Reverse(first)) => Some(Err(first.at)),
                    None => None,
                }
            };
            match next {
                Some(Ok(timer)) => {
                    self.context.stall_monitor.timer_fired(timer.at, now);
                    self.fire(now, timer.due);
                }
                Some(Err(at)) => tokio::select! {
                    () = tokio::time::sleep_until(self.context.clock.instant_at(at)) => {}
                    () = self.earlier.notified() => {}
                },
                None => self.earlier.notified().await,
            }
        }
    }

    fn fire(&self, now: Millis, due: Due) {
        match due {
            Due::Alarm(alarm) => self.post(now, Event::TimerFired(alarm)),
            Due::TimeOut(id, number) => self.settle(
                id,
                number,
                AttemptResult::without_response(Outcome::Timeout),
            ),
            Due::Deadline(id) => {
                // The module answers before this; a request that it holds must not stay without an answer.
                let waited = self
                    .state
                    .borrow()
                    .requests
                    .get(&id)
                    .is_some_and(|e| e.answer.is_some());
                if waited {
                    self.answer(id, Answer::Failed);
                    self.post(now, Event::ClientDisconnected(id));
                }
            }
        }
    }

    // ---- The list of backends -----------------------------------------------------------------------

    fn entry(&self, state: &mut State, member: &Endpoint) -> BackendEntry {
        let id = state.backend(&member.name);
        let availability = match member.health {
            Health::Up => Availability::Ready,
            Health::Draining => Availability::Draining,
            Health::Removed => Availability::Removed,
        };
        match member.health {
            Health::Up => self
                .connections
                .add_endpoint(id, member.address, member.started_at_ms),
            Health::Draining => self.connections.drain_endpoint(id),
            Health::Removed => {
                self.connections.remove_endpoint(id);
                state.backends.remove(&member.name);
                state.unborn.remove(&id);
            }
        }
        let site = settings::normalize_name(&member.zone);
        let zone = self
            .context
            .names
            .zones
            .iter()
            .position(|zone| *zone == site);
        BackendEntry {
            id,
            zone: ZoneId(zone.map_or(u32::MAX, |zone| zone as u32)),
            cell: CellId(member.cell),
            availability,
            started_at: (member.started_at_ms > 0.0)
                .then(|| state.born(id, member.started_at_ms, self.context.clock.now())),
            weight: member.weight,
        }
    }

    /// Guards against an address that another backend has by now: of two that are listed at one, the one that was born
    /// later is there, or else the one told last. The other is taken for gone, though the list may say so only later.
    fn displaced(&self, state: &mut State, member: &Endpoint) -> Option<BackendEntry> {
        if member.health != Health::Up {
            return None;
        }
        let holder = Holder {
            host: member.name.clone(),
            born_ms: member.started_at_ms,
        };
        let before = state.addresses.insert(member.address, holder.clone())?;
        let listed = before.host != member.name && state.backends.contains_key(&before.host);
        let still = listed
            && self.connections.address_of(state.backends[&before.host]) == Some(member.address);
        let gone = match (still, before.born_ms > member.started_at_ms) {
            (false, _) => return None,
            (true, false) => &before.host,
            (true, true) => {
                state.addresses.insert(member.address, before);
                &member.name
            }
        };
        let gone = gone.clone();
        eprintln!("backend {gone} is taken for gone: another has its address");
        let removed = Endpoint {
            name: gone,
            health: Health::Removed,
            ..member.clone()
        };
        Some(self.entry(state, &removed))
    }

    /// Paces dials for a fleet of so many front doors: never for fewer than the settings tell, as cold backends hang on it.
    pub(super) fn set_dial_fleet_size(&self, doors: u32) {
        self.connections
            .set_fleet_size(doors.max(self.context.settings.gateways));
    }

    /// Tells the module how many front doors seem present, for its trials of ejected backends.
    pub(super) fn report_fleet_size(&self, doors: u32) {
        self.post(self.context.clock.now(), Event::FleetSizeChanged(doors));
    }

    /// Disposes of idle connections before backends do, for as long as the front door runs.
    pub(super) async fn evict_idle_connections(self: Rc<Self>) {
        self.connections.evict_expired().await;
    }
}

impl RequestHandler for Driver {
    fn is_ready(&self) -> bool {
        !self.state.borrow().backends.is_empty()
    }

    fn submit(&self, incoming: IncomingRequest) -> Option<(RequestId, oneshot::Receiver<Answer>)> {
        let (sender, receiver) = oneshot::channel();
        let now = self.context.clock.now();
        let (id, budget) = {
            let mut state = self.state.borrow_mut();
            state.forget_ids(now);
            let name = incoming.upstream_request.id.clone();
            let before = state
                .handover
                .as_ref()
                .and_then(|handover| handover.previous_record(&name));
            if before.is_some_and(|before| before.may_have_run) || !state.ids.insert(name.clone()) {
                return None;
            }
            let id = state.new_request();
            let ends = [state.stop, before.map(|before| before.deadline)];
            let budget = ends
                .into_iter()
                .flatten()
                .fold(incoming.budget, |budget, end| budget.capped_at(end));
            if let Some(handover) = &mut state.handover {
                handover.record_accepted(&name, budget.end());
            }
            let safe = self.context.settings.classes[incoming.class.0].idempotency
                == Idempotency::Idempotent;
            let (order, answer) = (Rc::new(incoming.upstream_request), Some(sender));
            state.requests.insert(
                id,
                Entry {
                    order,
                    budget,
                    answer,
                    safe,
                    attempts: 0,
                    out: Vec::new(),
                },
            );
            (id, budget)
        };
        self.set_timer(budget.end(), Due::Deadline(id));
        let request = Request {
            id,
            customer: incoming.customer,
            plan: incoming.plan,
            class: incoming.class,
            units: incoming.units,
            deadline: budget.end(),
            gateway_count: incoming.gateway_count,
            is_retry: incoming.is_retry,
            queued_for: (now - incoming.received_at).max(0.0),
        };
        if incoming.budget.is_expired(now) {
            // It waited unread until nobody waited for it: there is nothing to decide.
            self.answer(id, Answer::Failed);
        } else {
            self.post(now, Event::RequestArrived(request));
        }
        Some((id, receiver))
    }

    fn client_disconnected(&self, id: RequestId) {
        let waited = {
            let mut state = self.state.borrow_mut();
            state
                .requests
                .get_mut(&id)
                .is_some_and(|entry| entry.answer.take().is_some())
        };
        if waited {
            self.post(self.context.clock.now(), Event::ClientDisconnected(id));
            self.wind_up(id);
        }
    }

    fn begin_shutdown(&self, end: Millis) {
        let end = end - LAST_WRITES;
        let cut: Vec<RequestId> = {
            let mut state = self.state.borrow_mut();
            state.stop = Some(end);
            let late = state
                .requests
                .iter_mut()
                .filter(|(_, entry)| entry.budget.end() > end);
            late.map(|(id, entry)| {
                entry.budget = entry.budget.capped_at(end);
                *id
            })
            .collect()
        };
        cut.into_iter()
            .for_each(|id| self.set_timer(end, Due::Deadline(id)));
    }

    fn reject_new_requests(&self) {
        let stop = self.state.borrow().stop;
        self.post(
            self.context.clock.now(),
            Event::ShutdownStarted(stop.unwrap_or_default()),
        );
    }

    fn pending_requests(&self) -> usize {
        self.state
            .borrow()
            .requests
            .values()
            .filter(|entry| entry.answer.is_some())
            .count()
    }
}

impl EndpointObserver for Driver {
    fn endpoints_updated(&self, members: &EndpointList, news: EndpointUpdate) {
        let kind = match (news, members.is_full) {
            (EndpointUpdate::Cached, _) => ListKind::Cached,
            (_, true) => ListKind::Full,
            (_, false) => ListKind::Changes,
        };
        let entries: Vec<BackendEntry> = {
            let mut state = self.state.borrow_mut();
            let kept = state.keep_ends(members, news);
            let members = kept.as_ref().unwrap_or(members);
            if kind != ListKind::Changes {
                let listed: HashSet<&str> =
                    members.endpoints.iter().map(|m| m.name.as_str()).collect();
                let State {
                    backends,
                    unborn,
                    ends,
                    ..
                } = &mut *state;
                for (host, id) in backends
                    .iter()
                    .filter(|(host, _)| !listed.contains(host.as_str()))
                {
                    // Who is no longer listed is gone, though nobody says so; who is not yet listed is not.
                    if news != EndpointUpdate::Stale {
                        ends.insert(host.clone(), self.connections.started_at(*id));
                    }
                    self.connections.remove_endpoint(*id);
                }
                backends.retain(|host, _| listed.contains(host.as_str()));
                unborn.retain(|id, _| backends.values().any(|known| known == id));
            }
            let mut entries: Vec<BackendEntry> = members
                .endpoints
                .iter()
                .map(|member| self.entry(&mut state, member))
                .collect();
            let displaced = members
                .endpoints
                .iter()
                .filter_map(|member| self.displaced(&mut state, member));
            let displaced: Vec<BackendEntry> = displaced.collect();
            entries.extend(displaced);
            let State {
                addresses,
                backends,
                ..
            } = &mut *state;
            addresses.retain(|_, holder| backends.contains_key(&holder.host));
            entries
        };
        self.post(
            self.context.clock.now(),
            Event::EndpointsChanged(kind, entries),
        );
    }
}

impl State {
    fn new_request(&mut self) -> RequestId {
        loop {
            self.last_request = self.last_request.wrapping_add(1);
            let id = RequestId(self.last_request);
            if !self.requests.contains_key(&id) {
                return id;
            }
        }
    }

    /// Drops what would fire first but has nothing left to do, so that nobody wakes for it. Most requests are
    /// over long before their times are up. What an alarm means only the module knows: it always fires.
    fn drop_dead_timers(&mut self) {
        while let Some(Reverse(first)) = self.timers.peek() {
            let dead = match first.due {
                Due::Alarm(_) => false,
                Due::Deadline(id) => self
                    .requests
                    .get(&id)
                    .is_none_or(|entry| entry.answer.is_none()),
                Due::TimeOut(id, number) => {
                    let entry = self.requests.get(&id);
                    entry.is_none_or(|entry| {
                        entry.out.iter().all(|attempt| attempt.number != number)
                    })
                }
            };
            if !dead {
                return;
            }
            self.timers.pop();
        }
    }

    fn backend(&mut self, host: &str) -> BackendId {
        if let Some(id) = self.backends.get(host) {
            return *id;
        }
        // The same at every front door, in whatever order it learns of them: the module shares the backends out by
        // their order. Two names on one number are told apart by the next number that is free.
        let mut number = number_of(host);
        while self.backends.values().any(|taken| taken.0 == number) {
            number = number.wrapping_add(1);
        }
        self.backends.insert(host.to_owned(), BackendId(number));
        BackendId(number)
    }

    /// When a backend was born that says `told`. Guards against clocks that disagree: nobody is born later than now, and
    /// one that a clock ahead of ours told is as old as the news of it, not cold until our clock gets there.
    fn born(&mut self, id: BackendId, told: Millis, now: Millis) -> Millis {
        if told <= now && !self.unborn.contains_key(&id) {
            return told;
        }
        let known = self.unborn.entry(id).or_insert((told, now));
        if known.0 != told {
            *known = (told, now.min(told));
        }
        known.1
    }

    /// Guards against going back on what has been told: a list that is older than another does not bring back a process that
    /// was told to drain or to be gone. What such a list should have said is returned, if it has to say something else.
    fn keep_ends(&mut self, members: &EndpointList, news: EndpointUpdate) -> Option<EndpointList> {
        let before = |ends: &HashMap<String, Millis>, member: &Endpoint| {
            news == EndpointUpdate::Stale
                && ends
                    .get(&member.name)
                    .is_some_and(|born| *born >= member.started_at_ms)
        };
        let mut kept: Option<EndpointList> = None;
        for (place, member) in members.endpoints.iter().enumerate() {
            if member.health != Health::Up {
                self.ends.insert(member.name.clone(), member.started_at_ms);
            } else if before(&self.ends, member) {
                kept.get_or_insert_with(|| members.clone()).endpoints[place].health =
                    Health::Draining;
            } else {
                self.ends.remove(&member.name);
            }
        }
        if self.ends.len() > ENDS_KEPT {
            self.ends.retain(|host, _| self.backends.contains_key(host));
        }
        kept
    }

    fn forget_if_over(&mut self, id: RequestId) {
        let over = self
            .requests
            .get(&id)
            .is_some_and(|entry| entry.answer.is_none() && entry.out.is_empty());
        if over {
            if let Some(entry) = self.requests.remove(&id) {
                self.past_ids
                    .push_back((entry.budget.end(), entry.order.id.clone()));
            }
        }
    }

    fn forget_ids(&mut self, now: Millis) {
        while let Some((since, _)) = self.past_ids.front() {
            if now - since < ID_MEMORY && self.past_ids.len() <= IDS_KEPT {
                return;
            }
            if let Some((_, id)) = self.past_ids.pop_front() {
                self.ids.remove(&id);
            }
        }
    }
}

/// The number by which the module knows a backend of this name, unless another has it already.
fn number_of(host: &str) -> u32 {
    let mut hasher = FnvHasher::default();
    hasher.write(host.as_bytes());
    let wide = hasher.finish();
    (wide ^ (wide >> 32)) as u32
}

fn settled(
    request: RequestId,
    attempt: u32,
    backend: BackendId,
    elapsed: Millis,
    ended: &AttemptResult,
    closed: bool,
) -> AttemptCompleted {
    AttemptCompleted {
        request,
        attempt,
        backend,
        outcome: ended.outcome,
        elapsed,
        request_closed: closed,
        quota_usage: ended.quota_usage,
        actual_units: ended.actual_units,
        load_report: ended.load_report,
        broken_connections: ended.broken_connections,
    }
}

#[cfg(test)]
#[path = "schedules.rs"]
mod schedules;

#[cfg(test)]
mod tests;
