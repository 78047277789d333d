//! The driver: passes events to the policy engine and executes the actions that the engine returns.
//!
//! [`Driver::post`] is the only place that calls the policy. Executing an action may raise further events. These wait
//! in a queue until all actions of the current event have been executed, so the policy is never re-entered and sees
//! events in the order in which they were posted.
//!
//! Each of these submodules owns one piece of state, in a `RefCell` of its own, and documents the bound on its size:
//!
//! | module | owns |
//! | --- | --- |
//! | [`request_table`] | requests, their attempts and their wire ids |
//! | [`timers`] | the timer queue |
//! | [`endpoints`] | endpoint ids, address owners, ended incarnations and incarnations with a start in the future |
//!
//! [`requests`] and [`attempts`] implement the operations of the driver on the request table. No `RefCell` may be
//! borrowed while an event is posted, because executing the event's actions may borrow any of them. The driver's own
//! state is bounded as well: the event queue is empty between two calls of [`Driver::post`], and the hand-over record
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

/// Why a driver could not be created.
#[derive(Debug, thiserror::Error)]
pub(crate) enum DriverError {
    /// The hand-over file cannot be read or written.
    #[error(transparent)]
    Handover(#[from] HandoverError),
}

/// An event that has not been passed to the policy yet.
struct QueuedEvent {
    /// When the event happened, on the gateway's clock.
    at: Millis,
    event: Event,
}

/// A gateway's driver: owns the requests, attempts and timers, and the policy engine that decides on them.
pub(super) struct Driver {
    /// The clock, the settings and the stall monitor, shared by all parts of the gateway.
    pub context: Rc<RuntimeContext>,
    /// A weak reference to this driver for the tasks that it spawns, which must not keep it alive.
    weak_self: Weak<Driver>,
    connections: Rc<UpstreamConnections>,
    /// Runs attempts: over sockets in the gateway, by a script in tests.
    executor: Box<AttemptExecutor>,
    /// Borrowed only while the policy handles one event.
    policy: RefCell<PolicyEngine>,
    requests: RefCell<RequestTable>,
    endpoints: RefCell<EndpointTable>,
    timers: RefCell<TimerQueue>,
    /// Wakes [`Driver::run_timers`] when a new timer becomes the earliest one.
    earliest_timer_changed: Notify,
    /// When a graceful shutdown requires all requests to be answered; `None` before a shutdown begins.
    shutdown_deadline: Cell<Option<Millis>>,
    /// Requests of the previous process, and the record for the next one; `None` if no file is configured for them.
    handover: RefCell<Option<Handover>>,
    /// Events that wait for the policy; empty between two calls of [`Driver::post`].
    event_queue: RefCell<VecDeque<QueuedEvent>>,
    /// The time of the last event that the policy handled.
    last_event_at: Cell<Millis>,
    /// Whether a call of [`Driver::post`] is processing the event queue.
    is_processing_events: Cell<bool>,
}

/// Ends the process with exit code 70 if the policy panics while this guard is held: a gateway whose policy has
/// failed must not go on accepting requests.
struct ExitOnPanic;

impl Drop for ExitOnPanic {
    fn drop(&mut self) {
        if std::thread::panicking() {
            std::process::exit(70);
        }
    }
}

impl Driver {
    /// Creates a driver with an empty endpoint list that runs attempts over sockets. `wake_recorder` records when the
    /// event loop has woken up since the process started.
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
        let memory_bytes = config.limits.memory_bytes();
        let connection_limit =
            capacity::upstream_connection_limit(config.descriptor_budget(), memory_bytes);
        let response_reader = ResponseReader::new(settings, memory_bytes);
        let connections = Rc::new(UpstreamConnections::new(
            settings.connections,
            connection_limit,
            response_reader.long_response_budget(),
            settings.settings.gateways,
            config.seed,
            clock,
        ));
        let transport = UpstreamTransport {
            connections: connections.clone(),
            response_reader: Rc::new(response_reader),
            clock,
        };
        let executor = socket_executor(transport);
        Driver::with_executor(config, wake_recorder, clock, connections, executor)
    }

    /// Creates a driver that runs attempts with `executor`.
    fn with_executor(
        config: &Config,
        wake_recorder: WakeRecorder,
        clock: Clock,
        connections: Rc<UpstreamConnections>,
        executor: Box<AttemptExecutor>,
    ) -> Result<Rc<Driver>, DriverError> {
        let settings = &config.parsed;
        let context = Rc::new(RuntimeContext::new(settings, wake_recorder, clock));
        let mut policy = PolicyEngine::new(settings.settings.clone(), config.seed);
        policy.limit_customers(capacity::customer_limit(
            config.descriptor_budget(),
            config.limits.memory_bytes(),
        ));
        let handover = match &config.handover {
            Some(path) => Some(open_handover(path, &context)?),
            None => None,
        };
        let endpoints = EndpointTable::new(context.clone(), connections.clone());
        Ok(Rc::new_cyclic(|weak_self| Driver {
            context,
            weak_self: weak_self.clone(),
            connections,
            executor,
            policy: RefCell::new(policy),
            requests: RefCell::default(),
            endpoints: RefCell::new(endpoints),
            timers: RefCell::default(),
            earliest_timer_changed: Notify::new(),
            shutdown_deadline: Cell::new(None),
            handover: RefCell::new(handover),
            event_queue: RefCell::default(),
            last_event_at: Cell::new(0.0),
            is_processing_events: Cell::new(false),
        }))
    }

    /// Passes an event that happened at `at` to the policy and executes the resulting actions. A call made while
    /// another call is in progress only appends the event to the queue; the outer call processes it.
    fn post(&self, at: Millis, event: Event) {
        self.event_queue
            .borrow_mut()
            .push_back(QueuedEvent { at, event });
        if self.is_processing_events.replace(true) {
            return;
        }
        let mut actions = Vec::new();
        loop {
            let Some(next) = self.event_queue.borrow_mut().pop_front() else {
                break;
            };
            // Queued events may be out of order in time, but the policy requires that time never runs backwards.
            let at = next.at.max(self.last_event_at.get());
            self.last_event_at.set(at);
            let guard = ExitOnPanic;
            self.policy
                .borrow_mut()
                .handle(at, next.event, &mut actions);
            drop(guard);
            for action in actions.drain(..) {
                self.execute_action(action);
            }
        }
        self.is_processing_events.set(false);
    }

    /// Executes one action that the policy has returned.
    fn execute_action(&self, action: Action) {
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
                self.complete_attempt(request, attempt, result);
            }
            Action::SetTimer { at, timer } => self.set_timer(at, TimerKind::Policy(timer)),
            Action::CloseIdleConnections(backend) => self.connections.close_idle(backend),
            Action::Preconnect { backend, within } => self.connections.preconnect(backend, within),
            Action::Log(text) => tracing::info!("{text}"),
            // Discovery pushes changes of the endpoint list without a request, and the platform does not permit
            // health checks.
            Action::Subscribe | Action::FetchList | Action::CheckHealth(_) => {}
        }
    }

    /// Sets the fleet size by which the connection pools limit dials. The size is never below the number of gateways
    /// in the settings, because the load on backends in slow start depends on it.
    pub(super) fn set_dial_fleet_size(&self, gateways: u32) {
        self.connections
            .set_fleet_size(gateways.max(self.context.settings.gateways));
    }

    /// Reports to the policy how many gateways appear to be present; the policy uses the number for its trials of
    /// ejected backends.
    pub(super) fn report_fleet_size(&self, gateways: u32) {
        self.post(self.context.clock.now(), Event::FleetSizeChanged(gateways));
    }

    /// Closes idle connections before the backends close them, for as long as the gateway runs.
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

/// Reads the hand-over file of the previous process and starts a new one.
fn open_handover(path: &Path, context: &RuntimeContext) -> Result<Handover, DriverError> {
    let longest = context.longest_deadline();
    Ok(Handover::open(path.to_owned(), context.clock, longest)?)
}

/// Creates an executor that runs attempts over the sockets of `transport`.
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
