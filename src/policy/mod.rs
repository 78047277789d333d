//! The policy of one gateway: a pure function from events to actions.
//!
//! [`PolicyEngine`] receives every event and calls the modules that it concerns:
//!
//! - Admission: [`quota`] decides whether a request is within its customer's quota. It uses this gateway's share of the
//!   quota ([`local_quota`]), the evidence of the customer's usage ([`usage`]), the penalty box ([`rate_limit`]) and
//!   the gateway's shares of the hard ceiling and the concurrency limit ([`concurrency`]). The admission window
//!   ([`overload`]) scales down what is admitted when the backends are short of capacity. How many customers are
//!   remembered is bounded ([`customer_table`], [`evicted_customers`]).
//! - Backend selection: [`load_balancing`] selects one of the [`backends`] by expected cost. [`demand`] and
//!   [`slow_start`] limit what a warming backend gets, and [`outlier_detection`] ejects failing ones.
//! - Attempts: [`attempts`] sends, hedges, retries and ends the attempts of the [`pending`] requests, within the limits
//!   of [`retry`]. [`timers`] encodes the timers that the policy sets.

mod attempts;
mod backends;
mod concurrency;
mod customer_table;
mod demand;
mod evicted_customers;
mod load_balancing;
mod local_quota;
mod outlier_detection;
mod overload;
mod pending;
mod quota;
mod rate_limit;
mod retry;
mod slow_start;
mod timers;
mod usage;

use crate::measure::uniform;
use crate::policy_api::*;
use backends::BackendSet;
use load_balancing::{LoadBalancer, Selection, SelectionRequest};
use overload::{AdmissionSignals, AdmissionWindow};
use pending::PendingRequest;
use quota::CustomerQuotas;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use retry::RetryPolicy;
use std::collections::BTreeMap;
use std::sync::Arc;
use timers::PolicyTimer;

/// Minimum time left until the client's deadline, as a multiple of the expected response time. Half of the responses
/// take longer than expected. A client that stops waiting before its response arrives retries, and the backend's work
/// is wasted.
const DEADLINE_MARGIN: f64 = 1.5;
/// Average number of retries of a failed poll in one poll interval.
const POLL_RETRIES_PER_INTERVAL: f64 = 8.0;

/// Why a request is rejected, and how long that reason will last if known.
struct Rejection {
    reason: RejectReason,
    /// Time until the reason no longer applies, ms; `None` if unknown.
    retry_after: Option<Millis>,
}

impl Rejection {
    /// A rejection for which the time to retry is unknown.
    fn new(reason: RejectReason) -> Rejection {
        Rejection {
            reason,
            retry_after: None,
        }
    }

    /// Whether the customer asks for more than its quota or its shares of other limits allow.
    fn shows_overuse(&self) -> bool {
        matches!(
            self.reason,
            RejectReason::PenaltyBox
                | RejectReason::TokenBucket
                | RejectReason::Ceiling
                | RejectReason::ConcurrencyLimit
        )
    }

    /// A rejection whose reason applies for `retry_after`, in ms.
    fn with_retry_after(reason: RejectReason, retry_after: Millis) -> Rejection {
        Rejection {
            reason,
            retry_after: Some(retry_after),
        }
    }
}

/// The settings and two values derived from them, shared by all modules of the policy.
struct PolicyContext {
    settings: Settings,
    /// The shortest latency objective of all classes, ms.
    latency_objective: Millis,
    /// Number of gateways, at least 1.
    gateways: f64,
}

impl PolicyContext {
    fn new(settings: Settings) -> PolicyContext {
        PolicyContext {
            latency_objective: settings.shortest_latency_objective(),
            gateways: f64::from(settings.gateways.max(1)),
            settings,
        }
    }

    fn class(&self, id: ClassId) -> &Class {
        &self.settings.classes[id.0]
    }

    fn plan(&self, id: PlanId) -> &Plan {
        &self.settings.plans[id.0]
    }
}

/// The policy of one gateway: handles its events and decides what the driver does.
pub struct PolicyEngine {
    context: Arc<PolicyContext>,
    rng: Pcg32,
    /// Time of the first event, ms; `None` before it.
    started_at: Option<Millis>,
    quotas: CustomerQuotas,
    window: AdmissionWindow,
    backends: BackendSet,
    load_balancer: LoadBalancer,
    retry: RetryPolicy,
    pending: BTreeMap<RequestId, PendingRequest>,
    /// Time at which a graceful shutdown ends, ms: all requests have their final answer by then. `None` until a
    /// shutdown starts.
    shutdown_ends_at: Option<Millis>,
}

impl PolicyEngine {
    /// Creates the policy of a gateway with these settings. `seed` is its only source of randomness.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let context = Arc::new(PolicyContext::new(settings));
        PolicyEngine {
            rng: Pcg32::seed_from_u64(seed),
            started_at: None,
            quotas: CustomerQuotas::new(context.clone()),
            window: AdmissionWindow::new(context.clone()),
            backends: BackendSet::new(context.clone()),
            load_balancer: LoadBalancer::new(context.clone()),
            retry: RetryPolicy::new(context.clone()),
            pending: BTreeMap::new(),
            shutdown_ends_at: None,
            context,
        }
    }

    /// Handles one event that happened at `now`, and appends the actions that the driver has to take.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.started_at.get_or_insert(now);
        match event {
            Event::EndpointsChanged(kind, entries) => {
                self.endpoints_changed(now, kind, &entries, actions);
            }
            Event::RequestArrived(request) => self.request_arrived(now, request, actions),
            Event::StreamStarted(id) => self.stream_started(id),
            Event::AttemptCompleted(completed) => self.attempt_completed(now, &completed, actions),
            Event::ClientDisconnected(id) => self.close_request(id, actions),
            Event::TimerFired(timer) => self.timer_fired(now, timer, actions),
            Event::ShutdownStarted(ends_at) => self.shutdown_ends_at = Some(ends_at),
            Event::FleetSizeChanged(gateways) => self.backends.set_live_gateways(gateways),
            // The policy requests no health checks: it judges backends by this gateway's own attempts.
            Event::HealthCheckCompleted { .. } => {}
        }
        actions.append(&mut self.load_balancer.preconnects);
    }

    /// Sets the number of customers that the gateway remembers at most. Those that requested longest ago are evicted for
    /// others, except while they are over their quota or have attempts in flight.
    pub fn limit_customers(&mut self, limit: usize) {
        self.quotas.set_limit(limit);
    }

    /// Number of customers for which the gateway stores an entry.
    pub fn tracked_customers(&self) -> usize {
        self.quotas.len()
    }

    fn timer_fired(&mut self, now: Millis, timer: TimerId, actions: &mut Vec<Action>) {
        match PolicyTimer::from_id(timer) {
            PolicyTimer::PollList => actions.push(Action::Subscribe),
            PolicyTimer::RequestDeadline(id) => self.request_timer_fired(now, id, actions),
            PolicyTimer::Hedge { request, attempt } => self.hedge(now, request, attempt, actions),
        }
    }

    fn stream_started(&mut self, id: RequestId) {
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.stream_started = true;
        }
    }

    fn request_arrived(&mut self, now: Millis, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        let Some(request) = request.bounded(now, &self.context.settings) else {
            let rejection = Rejection::new(RejectReason::UnknownPlanOrClass);
            actions.push(self.reject(id, &rejection));
            return;
        };
        if let Some(ends_at) = self.shutdown_ends_at {
            let retry_after = (ends_at - now).max(0.0);
            let rejection = Rejection::with_retry_after(RejectReason::ShuttingDown, retry_after);
            actions.push(self.reject(id, &rejection));
            return;
        }
        self.quotas.evict_expired(now);
        let pending = PendingRequest::new(request, now);
        match self.admit(now, &pending) {
            Ok(selection) => {
                self.retry.deposit();
                let final_deadline = self.retry.final_deadline(&pending);
                actions.push(Action::SetTimer {
                    at: self.slow_at(&pending).min(final_deadline),
                    timer: PolicyTimer::RequestDeadline(id).id(),
                });
                self.pending.insert(id, pending);
                self.send_attempt(now, id, selection, actions);
            }
            Err(rejection) => actions.push(self.reject(id, &rejection)),
        }
    }

    /// Admits a request and selects its backend, or rejects the request.
    fn admit(&mut self, now: Millis, pending: &PendingRequest) -> Result<Selection, Rejection> {
        let request = &pending.request;
        let least_delay = self.backends.least_queue_delay();
        self.window.observe_queue_delay(now, least_delay);
        let signals = self.admission_signals(now);
        self.quotas.admit(now, request, &signals)?;
        self.load_balancer.record_demand(now, request);
        let selection = self
            .select_backend(now, pending)
            .filter(|selection| !self.would_be_served_too_late(now, pending, selection));
        let Some(selection) = selection else {
            self.load_balancer.record_rejection(now);
            return Err(Rejection::new(RejectReason::NoCapacity));
        };
        self.quotas.consume(now, request);
        Ok(selection)
    }

    fn admission_signals(&mut self, now: Millis) -> AdmissionSignals {
        AdmissionSignals {
            uptime: now - self.started_at.unwrap_or(now),
            pressure: self.window.quota_pressure(),
            admit_fraction: self.window.admit_fraction,
            seconds_per_unit: self.backends.mean_unit_time() / 1000.0,
            random_draw: uniform(&mut self.rng),
        }
    }

    /// Whether the selected backend would respond too late: after the client's deadline or the final deadline of the
    /// request, or with a longer queueing delay than the limit.
    fn would_be_served_too_late(
        &self,
        now: Millis,
        pending: &PendingRequest,
        selection: &Selection,
    ) -> bool {
        let request = &pending.request;
        let expected = selection.queue_delay + selection.unit_time * request.units;
        DEADLINE_MARGIN * expected > request.deadline - now
            || !self.retry.has_time_for_attempt(now, pending)
            || self.window.exceeds_queue_limit(selection.queue_delay)
    }

    fn select_backend(&mut self, now: Millis, pending: &PendingRequest) -> Option<Selection> {
        let request = SelectionRequest {
            now,
            pending,
            scope: self.retry.scope(now, pending),
            backends: &self.backends,
        };
        self.load_balancer.select(&request, &mut self.rng)
    }

    /// Builds the action for a rejection. It carries a Retry-After only if the settings permit one, limited to the
    /// longest that clients follow.
    fn reject(&self, request: RequestId, rejection: &Rejection) -> Action {
        let settings = &self.context.settings;
        let retry_after = rejection
            .retry_after
            .filter(|_| settings.retry_after)
            .map(|retry_after| retry_after.clamp(0.0, settings.max_retry_after));
        Action::Reject {
            request,
            retry_after,
            reason: rejection.reason,
        }
    }

    /// Time from which a request counts as slow, ms. The admission window observes a slow request at that time instead
    /// of waiting for its timeout: by the timeout, queues would long have filled.
    fn slow_at(&self, pending: &PendingRequest) -> Millis {
        let request = &pending.request;
        let objective = self.context.class(request.class).latency_objective;
        let mean_units = self.quotas.mean_request_units;
        pending.arrived_at + overload::slow_after(request.units, mean_units, objective)
    }

    fn endpoints_changed(
        &mut self,
        now: Millis,
        kind: ListKind,
        entries: &[BackendEntry],
        actions: &mut Vec<Action>,
    ) {
        if self.context.settings.discovery == DiscoveryMode::OnRequest {
            match kind {
                ListKind::Cached => actions.push(Action::Subscribe),
                ListKind::Failed => actions.push(self.schedule_poll_retry(now)),
                ListKind::Full | ListKind::Changes => {}
            }
        }
        let is_full_list = matches!(kind, ListKind::Full | ListKind::Cached);
        self.backends
            .update_list(now, is_full_list, entries, &mut self.rng);
    }

    /// Schedules the next poll of the endpoint list, after a fraction of the poll interval with jitter.
    fn schedule_poll_retry(&mut self, now: Millis) -> Action {
        let interval = self.context.settings.poll_interval;
        let pause = interval / POLL_RETRIES_PER_INTERVAL * (0.5 + uniform(&mut self.rng));
        Action::SetTimer {
            at: now + pause,
            timer: PolicyTimer::PollList.id(),
        }
    }
}
