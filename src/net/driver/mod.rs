//! The driver: hands events to the policy engine and carries out the actions that come back.
//!
//! [`Driver::post`] is the only place that calls the policy. Carrying out an action may raise further events;
//! they wait in a queue until the actions of the event before them are carried out, so the policy is never
//! re-entered and sees events in the order in which they were posted.
//!
//! Each submodule owns one piece of state, in a cell of its own, and states its bound:
//!
//! | module | owns |
//! | --- | --- |
//! | [`request_table`] | requests, their attempts and their ids on the wire |
//! | [`timers`] | the timer queue |
//! | [`endpoints`] | endpoint ids, address owners, starts of processes that ended or lie in the future |
//!
//! [`requests`] and [`attempts`] hold the steps of the driver that work on the request table. No cell is
//! borrowed while an event is posted, because carrying out its actions may need any of them. What the driver
//! itself holds is bounded too: the queue is empty between two calls of [`Driver::post`], and the hand-over record
//! limits its own size.

mod attempts;
mod endpoints;
mod request_table;
mod requests;
mod timers;

use crate::net::control::config::Config;
use crate::net::control::discovery::{EndpointObserver, EndpointUpdate};
use crate::net::control::endpoint_list::EndpointList;
use crate::net::control::handover::{Handover, HandoverError};
use crate::net::messages::{Answer, AttemptResult, UpstreamRequest};
use crate::net::runtime::budget::AttemptDeadline;
use crate::net::runtime::capacity;
use crate::net::runtime::clock::Clock;
use crate::net::runtime::context::RuntimeContext;
use crate::net::runtime::stall::WakeRecorder;
use crate::net::upstream::attempt::{self, UpstreamTransport};
use crate::net::upstream::pool_driver::{AttemptHandle, UpstreamConnections};
use crate::net::upstream::response::ResponseReader;
use attempts::{AttemptExecutor, AttemptFuture, AttemptLimits};
use cometspool::{Action, BackendId, DeliveryMode, Event, Millis, Outcome, PolicyEngine};
use endpoints::EndpointTable;
use request_table::RequestTable;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::path::Path;
use std::rc::{Rc, Weak};
use timers::{TimerKind, TimerQueue};
use tokio::sync::Notify;

/// Why a driver could not be made.
#[derive(Debug, thiserror::Error)]
pub(crate) enum DriverError {
    /// The hand-over file cannot be read or written.
    #[error(transparent)]
    Handover(#[from] HandoverError),
}

/// An event that waits for the policy.
struct QueuedEvent {
    /// When it happened, on the gateway's clock.
    at: Millis,
    event: Event,
}

/// A gateway's driver: owns its requests, attempts and timers, and the policy that decides on them.
pub(super) struct Driver {
    /// The clock, the settings and the stall monitor that all parts of the gateway share.
    pub context: Rc<RuntimeContext>,
    /// Itself, for the tasks that it spawns: they must not keep it alive.
    own: Weak<Driver>,
    connections: Rc<UpstreamConnections>,
    /// Carries out attempts.
    executor: Box<AttemptExecutor>,
    /// Borrowed only while it handles one event.
    policy: RefCell<PolicyEngine>,
    requests: RefCell<RequestTable>,
    endpoints: RefCell<EndpointTable>,
    timers: RefCell<TimerQueue>,
    /// Wakes [`Driver::run_timers`] when a timer becomes the earliest.
    earlier_timer: Notify,
    /// By when a graceful shutdown wants all requests answered.
    shutdown_deadline: Cell<Option<Millis>>,
    /// Requests of the predecessor, and the record for a successor, if the configuration names a file for it.
    handover: RefCell<Option<Handover>>,
    /// Events that were raised while actions were carried out; empty between two calls of [`Driver::post`].
    queue: RefCell<VecDeque<QueuedEvent>>,
    /// The time of the last event that the policy was given.
    last_event_at: Cell<Millis>,
    /// Whether a call of [`Driver::post`] is working through the queue.
    is_posting: Cell<bool>,
}

/// Ends the process with exit code 70 if the policy panics while this guard is held: a gateway that cannot
/// decide must not go on accepting requests.
struct AbortOnPanic;

impl Drop for AbortOnPanic {
    fn drop(&mut self) {
        if std::thread::panicking() {
            std::process::exit(70);
        }
    }
}

impl Driver {
    /// A driver with an empty endpoint list, whose attempts go over sockets. `wake_recorder` records when the event loop
    /// woke since the process started.
    ///
    /// # Errors
    ///
    /// [`DriverError::Handover`], if the hand-over file cannot be read or written.
    pub(super) fn new(
        config: &Config,
        wake_recorder: WakeRecorder,
    ) -> Result<Rc<Driver>, DriverError> {
        let settings = &config.parsed;
        let clock = Clock::skewed(config.clock);
        let memory_bytes = config.limits.memory_mb << 20;
        let connection_limit =
            capacity::upstream_connection_limit(config.descriptor_budget(), memory_bytes);
        let connections = Rc::new(UpstreamConnections::new(
            settings.connections,
            connection_limit,
            settings.settings.gateways,
            config.seed,
            clock,
        ));
        let transport = UpstreamTransport {
            connections: connections.clone(),
            response_reader: Rc::new(ResponseReader::new(settings, memory_bytes)),
            clock,
        };
        let executor = socket_executor(transport);
        Driver::with_executor(config, wake_recorder, clock, connections, executor)
    }

    /// A driver whose attempts are carried out by `executor`.
    fn with_executor(
        config: &Config,
        wake_recorder: WakeRecorder,
        clock: Clock,
        connections: Rc<UpstreamConnections>,
        executor: Box<AttemptExecutor>,
    ) -> Result<Rc<Driver>, DriverError> {
        let settings = &config.parsed;
        let context = Rc::new(RuntimeContext::new(settings, wake_recorder, clock));
        let handover = match &config.handover {
            Some(path) => Some(open_handover(path, &context)?),
            None => None,
        };
        let endpoints = EndpointTable::new(context.clone(), connections.clone());
        Ok(Rc::new_cyclic(|own| Driver {
            context,
            own: own.clone(),
            connections,
            executor,
            policy: RefCell::new(PolicyEngine::new(settings.settings.clone(), config.seed)),
            requests: RefCell::default(),
            endpoints: RefCell::new(endpoints),
            timers: RefCell::default(),
            earlier_timer: Notify::new(),
            shutdown_deadline: Cell::new(None),
            handover: RefCell::new(handover),
            queue: RefCell::default(),
            last_event_at: Cell::new(0.0),
            is_posting: Cell::new(false),
        }))
    }

    /// Hands the policy an event that happened at `at` and carries out its actions. Called while that is going
    /// on, it queues the event behind those that wait.
    fn post(&self, at: Millis, event: Event) {
        self.queue.borrow_mut().push_back(QueuedEvent { at, event });
        if self.is_posting.replace(true) {
            return;
        }
        let mut actions = Vec::new();
        loop {
            let Some(next) = self.queue.borrow_mut().pop_front() else {
                break;
            };
            // Events may be queued in another order than they happened in; the policy's clock never goes back.
            let at = next.at.max(self.last_event_at.get());
            self.last_event_at.set(at);
            let guard = AbortOnPanic;
            self.policy
                .borrow_mut()
                .handle(at, next.event, &mut actions);
            drop(guard);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
        }
        self.is_posting.set(false);
    }

    /// Carries out one action of the policy.
    fn carry_out(&self, action: Action) {
        match action {
            Action::Send {
                request,
                backend,
                timeout,
                begin_before,
                delivery,
            } => {
                let limits = AttemptLimits {
                    timeout,
                    begin_before,
                };
                self.send(request, backend, limits, delivery);
            }
            Action::Reject {
                request,
                retry_after,
                ..
            } => self.answer(request, Answer::Rejected(retry_after)),
            Action::Fail(request) => self.answer(request, Answer::Failed),
            Action::CancelAttempt { request, attempt } => {
                let result = AttemptResult::without_response(Outcome::Cancelled);
                self.settle(request, attempt, result);
            }
            Action::SetTimer { at, timer } => self.set_timer(at, TimerKind::Policy(timer)),
            Action::CloseIdleConnections(backend) => self.connections.close_idle(backend),
            Action::Preconnect { backend, within } => self.connections.preconnect(backend, within),
            Action::Log(text) => tracing::info!("{text}"),
            // Discovery pushes changes of the list unasked, and the platform does not permit health checks.
            Action::Subscribe | Action::FetchList | Action::CheckHealth(_) => {}
        }
    }

    /// Paces dials for a fleet of `gateways`: never for fewer than the settings state, as the load on backends
    /// that are warming up depends on it.
    pub(super) fn set_dial_fleet_size(&self, gateways: u32) {
        self.connections
            .set_fleet_size(gateways.max(self.context.settings.gateways));
    }

    /// Reports to the policy how many gateways seem present, for its trials of ejected backends.
    pub(super) fn report_fleet_size(&self, gateways: u32) {
        self.post(self.context.clock.now(), Event::FleetSizeChanged(gateways));
    }

    /// Closes idle connections before the backends do, for as long as the gateway runs.
    pub(super) async fn evict_idle_connections(self: Rc<Self>) {
        self.connections.evict_expired().await;
    }
}

impl EndpointObserver for Driver {
    fn endpoints_updated(&self, list: &EndpointList, update: EndpointUpdate) {
        let changes = self.endpoints.borrow_mut().apply(list, update);
        self.post(
            self.context.clock.now(),
            Event::EndpointsChanged(changes.kind, changes.entries),
        );
    }
}

/// Reads what the predecessor left in the hand-over file, and begins the file anew.
fn open_handover(path: &Path, context: &RuntimeContext) -> Result<Handover, DriverError> {
    let longest = context.longest_deadline();
    Ok(Handover::open(path.to_owned(), context.clock, longest)?)
}

/// Carries attempts over the sockets of `transport`.
fn socket_executor(transport: UpstreamTransport) -> Box<AttemptExecutor> {
    let execute = move |backend: BackendId,
                        upstream_request: Rc<UpstreamRequest>,
                        deadline: AttemptDeadline,
                        delivery: DeliveryMode,
                        handle: AttemptHandle| {
        let transport = transport.clone();
        let attempt = async move {
            attempt::attempt(
                &transport,
                backend,
                &upstream_request,
                deadline,
                delivery,
                &handle,
            )
            .await
        };
        Box::pin(attempt) as AttemptFuture
    };
    Box::new(execute)
}

#[cfg(test)]
mod tests;
