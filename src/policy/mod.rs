//! The policy of one gateway: pure decisions, from events to actions.
//!
//! [`PolicyEngine`] takes each event and calls the parts that it concerns:
//!
//! - Admission: [`quota`], with the figures of [`local_quota`], the evidence of [`usage`], the penalty box of
//!   [`rate_limit`] and the shares of [`concurrency`], under the window that [`overload`] leaves open.
//! - Selection: [`load_balancing`] selects one of the [`backends`], by the [`demand`] and within what [`slow_start`] and
//!   [`outlier_detection`] permit.
//! - Attempts: [`retry`] bounds those of the [`pending`] requests, [`attempts`] sends and ends them, and [`timers`]
//!   names what is to happen later.

mod attempts;
mod backends;
mod concurrency;
mod demand;
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

/// Multiple of the expected response time that a request's client must still wait: half of the responses take
/// longer than expected, and a client that leaves before would retry after work done in vain.
const DEADLINE_MARGIN: f64 = 1.5;
/// Parts of the poll interval after which a failed poll is repeated, on average.
const POLL_RETRIES_PER_INTERVAL: f64 = 8.0;

/// Why a request is rejected, and how long the reason will last if that is known.
struct Rejection {
    reason: RejectReason,
    /// Time until the reason no longer holds, ms.
    retry_after: Option<Millis>,
}

impl Rejection {
    /// A rejection that nothing is known of when to retry.
    fn new(reason: RejectReason) -> Rejection {
        Rejection {
            reason,
            retry_after: None,
        }
    }

    /// A rejection whose reason lasts so long.
    fn until(reason: RejectReason, retry_after: Millis) -> Rejection {
        Rejection {
            reason,
            retry_after: Some(retry_after),
        }
    }
}

/// What all parts of the policy depend on: the settings and two figures derived from them.
struct PolicyContext {
    settings: Settings,
    /// The shortest latency objective of a class, ms.
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

/// The decisions of one gateway.
pub struct PolicyEngine {
    context: Arc<PolicyContext>,
    rng: Pcg32,
    /// Time of the first event, ms.
    started_at: Option<Millis>,
    quotas: CustomerQuotas,
    window: AdmissionWindow,
    backends: BackendSet,
    load_balancer: LoadBalancer,
    retry: RetryPolicy,
    pending: BTreeMap<RequestId, PendingRequest>,
    /// Once a graceful shutdown has begun, when all requests will have been answered, ms.
    shutdown_ends_at: Option<Millis>,
}

impl PolicyEngine {
    /// A gateway with these settings; `seed` is its only source of randomness.
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

    /// Handles one event that happened at `now`, and appends what the driver is to do.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.started_at.get_or_insert(now);
        match event {
            Event::EndpointsChanged(kind, entries) => {
                self.endpoints_changed(now, kind, &entries, actions);
            }
            Event::RequestArrived(request) => self.request_arrived(now, request, actions),
            Event::StreamStarted(id) => self.stream_started(id),
            Event::AttemptCompleted(completed) => self.attempt_completed(now, &completed, actions),
            Event::ClientDisconnected(id) => self.abandon(id, actions),
            Event::TimerFired(timer) => self.timer_fired(now, timer, actions),
            Event::ShutdownStarted(ends_at) => self.shutdown_ends_at = Some(ends_at),
            Event::FleetSizeChanged(gateways) => self.backends.set_live_gateways(gateways),
            // No health checks are requested: backends are judged by this gateway's own attempts.
            Event::HealthCheckCompleted { .. } => {}
        }
        actions.append(&mut self.load_balancer.preconnects);
    }

    /// Number of customers that the gateway keeps an entry of.
    pub fn tracked_customers(&self) -> usize {
        self.quotas.len()
    }

    fn timer_fired(&mut self, now: Millis, timer: TimerId, actions: &mut Vec<Action>) {
        match PolicyTimer::from_id(timer) {
            PolicyTimer::PollList => actions.push(Action::Subscribe),
            PolicyTimer::RequestDeadline(id) => self.request_overdue(now, id, actions),
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
            let rejection = Rejection::until(RejectReason::ShuttingDown, retry_after);
            actions.push(self.reject(id, &rejection));
            return;
        }
        self.quotas.evict_expired(now);
        let pending = PendingRequest::new(request, now);
        match self.admit(now, &pending) {
            Ok(selection) => {
                self.retry.earn();
                let final_deadline = self.retry.final_deadline(&pending);
                actions.push(Action::SetTimer {
                    at: self.slow_at(&pending).min(final_deadline),
                    timer: PolicyTimer::RequestDeadline(id).id(),
                });
                self.pending.insert(id, pending);
                self.send(now, id, selection, actions);
            }
            Err(rejection) => actions.push(self.reject(id, &rejection)),
        }
    }

    /// Admits a request and selects its backend, or rejects it.
    fn admit(&mut self, now: Millis, pending: &PendingRequest) -> Result<Selection, Rejection> {
        let request = &pending.request;
        let least_delay = self.backends.least_queue_delay();
        self.window.observe_queue_delay(now, least_delay);
        let signals = self.admission_signals(now);
        self.quotas.admit(now, request, &signals)?;
        self.load_balancer.record_demand(now, request);
        let selection = self
            .select_backend(now, pending)
            .filter(|selection| !self.is_too_late(now, pending, selection));
        let Some(selection) = selection else {
            self.load_balancer.record_rejection(now);
            return Err(Rejection::new(RejectReason::NoCapacity));
        };
        self.quotas.take(now, request);
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

    /// Whether a request would be served too late at the backend selected for it.
    fn is_too_late(&self, now: Millis, pending: &PendingRequest, selection: &Selection) -> bool {
        let request = &pending.request;
        let expected = selection.queue_delay + selection.unit_time * request.units;
        DEADLINE_MARGIN * expected > request.deadline - now
            || !self.retry.has_time(now, pending)
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

    /// The action for a rejection. Clients get a Retry-After only where the settings permit it, and none longer than
    /// they follow.
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

    /// When a request becomes slow, ms. It is observed at that time: a timeout is news when queues have long filled.
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

    /// Polls the endpoint list again after a part of the poll interval, with jitter.
    fn schedule_poll_retry(&mut self, now: Millis) -> Action {
        let interval = self.context.settings.poll_interval;
        let pause = interval / POLL_RETRIES_PER_INTERVAL * (0.5 + uniform(&mut self.rng));
        Action::SetTimer {
            at: now + pause,
            timer: PolicyTimer::PollList.id(),
        }
    }
}
