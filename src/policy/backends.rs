//! The state that a gateway keeps of each backend: its entry of the endpoint list, its attempts in flight, its response
//! time per unit of load, its faults and its slow-start budget.

use super::outlier_detection::{self, AttemptEvidence, FaultHistory};
use super::slow_start::SlowStartBudget;
use super::PolicyContext;
use crate::measure::{uniform, DecayingRatio};
use crate::policy_api::*;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Minimum size of a gateway's subset, in warm backends. It is small enough that connections are reused and that
/// responses from each backend are frequent, and large enough that capacity remains when some backends fail.
pub(super) const MIN_SUBSET: f64 = 12.0;
/// Number of responses over which a backend's time per unit of load is averaged.
const UNIT_TIME_MEMORY: f64 = 16.0;
/// Units of load that a backend is assumed to serve within the shortest latency objective, before the first response.
const INITIAL_UNITS_PER_OBJECTIVE: f64 = 10.0;
/// Multiple of its expected time after which an attempt is overdue.
const OVERDUE_FACTOR: f64 = 3.0;
/// Minimum weight of a backend; lower values in the endpoint list are raised to it.
const MIN_WEIGHT: f64 = 0.01;
/// Maximum weight of a backend; higher values in the endpoint list are lowered to it.
const MAX_WEIGHT: f64 = 1e6;

/// An attempt in flight at a backend.
#[derive(Clone, Copy)]
pub(super) struct InFlightAttempt {
    /// When the attempt was sent, ms.
    pub sent_at: Millis,
    pub class: ClassId,
    /// Units that this gateway had in flight at the backend when it sent the attempt, the attempt's own included.
    pub load: f64,
    /// Units of the attempt itself.
    pub units: f64,
}

/// The state that a gateway keeps of one backend.
pub(super) struct Backend {
    pub entry: BackendEntry,
    pub in_flight: BTreeMap<RequestId, InFlightAttempt>,
    /// Response time divided by the load at the time of sending, over recent responses.
    unit_time: DecayingRatio,
    /// When an attempt at the backend last ended, ms.
    last_outcome_at: Millis,
    /// When the backend last answered each class, ms. Before the first answer, it is when the first attempt of the
    /// class ended.
    answered_at: BTreeMap<ClassId, Millis>,
    pub faults: FaultHistory,
    pub budget: SlowStartBudget,
}

impl Backend {
    fn new(entry: BackendEntry, now: Millis, debt: f64, latency_objective: Millis) -> Backend {
        Backend {
            entry,
            in_flight: BTreeMap::new(),
            unit_time: DecayingRatio::default(),
            last_outcome_at: now,
            answered_at: BTreeMap::new(),
            faults: FaultHistory::new(latency_objective),
            budget: SlowStartBudget::with_debt(now, debt),
        }
    }

    /// Units that this gateway has in flight at the backend. Load reports are not used: they are late, and every
    /// gateway reads the same ones. What other gateways send shows in the time per unit.
    pub(super) fn load(&self) -> f64 {
        self.in_flight.values().map(|attempt| attempt.units).sum()
    }

    /// Counts an attempt that is sent to the backend.
    pub(super) fn attempt_sent(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: InFlightAttempt,
        warm_backend_rate: f64,
        settings: &Settings,
    ) {
        let available = self
            .budget
            .available(now, settings, &self.entry, warm_backend_rate);
        self.budget.set(now, available - attempt.units);
        self.in_flight.insert(id, attempt);
    }
}

/// The backends that a gateway knows.
pub(super) struct BackendSet {
    context: Arc<PolicyContext>,
    /// All backends, sorted by id.
    pub all: Vec<Backend>,
    /// Indices in `all` of the backends that accept requests.
    pub ready: Vec<usize>,
    /// Number of gateways that seem alive, never less than the number in the settings.
    live_gateways: f64,
    /// Response time divided by the load at the time of sending, over recent responses of all backends.
    unit_time: DecayingRatio,
}

impl BackendSet {
    pub(super) fn new(context: Arc<PolicyContext>) -> BackendSet {
        BackendSet {
            live_gateways: context.gateways,
            context,
            all: Vec::new(),
            ready: Vec::new(),
            unit_time: DecayingRatio::default(),
        }
    }

    /// Index of a backend in `all`.
    pub(super) fn find(&self, id: BackendId) -> Option<usize> {
        self.all
            .binary_search_by_key(&id, |backend| backend.entry.id)
            .ok()
    }

    /// Stores an estimate of how many gateways are alive.
    pub(super) fn set_live_gateways(&mut self, gateways: u32) {
        self.live_gateways = self.context.gateways.max(gateways.into());
    }

    /// Time per unit of load, averaged over all backends, ms.
    pub(super) fn mean_unit_time(&self) -> Millis {
        self.unit_time
            .value()
            .unwrap_or(self.context.latency_objective / INITIAL_UNITS_PER_OBJECTIVE)
    }

    /// Time per unit of load at a backend, ms. The fewer responses the backend has given, the closer to the mean of
    /// all.
    pub(super) fn unit_time(&self, backend: &Backend) -> Millis {
        let prior_weight = if self.unit_time.denominator > 0.0 {
            self.unit_time.denominator / UNIT_TIME_MEMORY
        } else {
            1.0
        };
        (backend.unit_time.numerator + prior_weight * self.mean_unit_time())
            / (backend.unit_time.denominator + prior_weight)
    }

    /// The shortest expected queueing delay at any backend that accepts requests, as far as this gateway's own attempts
    /// show, ms.
    pub(super) fn least_queue_delay(&self) -> Millis {
        let ready = || self.ready.iter().map(|index| &self.all[*index]);
        if ready().any(|backend| backend.in_flight.is_empty()) {
            return 0.0;
        }
        ready()
            .map(|backend| self.unit_time(backend) * backend.load())
            .reduce(f64::min)
            .unwrap_or(0.0)
    }

    /// How long the most overdue attempt at a backend is overdue, ms; 0 if none is. This time steers the selection to
    /// other backends but rejects no request, since a response may be lost where there is no queue. An attempt of a
    /// class that is known to hang there counts only for requests of that class.
    pub(super) fn overdue(&self, now: Millis, backend: &Backend, class: ClassId) -> Millis {
        let mut longest = 0.0;
        for attempt in backend.in_flight.values() {
            let overdue = if attempt.class == class {
                self.overdue_for_class(now, backend, attempt)
            } else if backend.faults.is_hanging(now, attempt.class) {
                continue;
            } else {
                self.overdue_since(now, backend, attempt, backend.last_outcome_at)
            };
            longest = f64::max(longest, overdue);
        }
        longest
    }

    /// How long an attempt is overdue since the backend last answered its class, ms.
    fn overdue_for_class(
        &self,
        now: Millis,
        backend: &Backend,
        attempt: &InFlightAttempt,
    ) -> Millis {
        let answered_at = backend.answered_at.get(&attempt.class).copied();
        self.overdue_since(
            now,
            backend,
            attempt,
            answered_at.unwrap_or(attempt.sent_at),
        )
    }

    /// How long an attempt has taken beyond [`OVERDUE_FACTOR`] times its expected time, ms; negative if less. Counted
    /// from when the attempt was sent, or from `outcome_at` if that is later.
    fn overdue_since(
        &self,
        now: Millis,
        backend: &Backend,
        attempt: &InFlightAttempt,
        outcome_at: Millis,
    ) -> Millis {
        let expected = OVERDUE_FACTOR * self.unit_time(backend) * attempt.load;
        now - attempt.sent_at.max(outcome_at) - expected
    }

    /// Whether the attempt of a request at a backend hangs.
    pub(super) fn is_hanging(&self, now: Millis, backend: BackendId, request: RequestId) -> bool {
        let Some(index) = self.find(backend) else {
            return false;
        };
        let backend = &self.all[index];
        match backend.in_flight.get(&request) {
            Some(attempt) => self.overdue_for_class(now, backend, attempt) > 0.0,
            // The attempt was sent to an earlier incarnation of the backend, which has ended.
            None => true,
        }
    }

    /// Whether so many backends are ejected that ejections are ignored.
    pub(super) fn in_panic_mode(&self, now: Millis) -> bool {
        let ejected = self
            .ready
            .iter()
            .filter(|index| self.all[**index].faults.is_ejected(now))
            .count();
        outlier_detection::in_panic_mode(ejected, self.ready.len())
    }

    /// Number of gateways that use each backend, on average, if each keeps to a subset of [`MIN_SUBSET`] backends.
    fn gateways_per_backend(&self) -> f64 {
        let other_backends = self.ready.len().saturating_sub(1).max(1) as f64;
        self.live_gateways * (MIN_SUBSET / other_backends).min(1.0)
    }

    /// Records the end of an attempt. Returns actions that log a change of the backend's health or close its idle
    /// connections.
    pub(super) fn attempt_completed(
        &mut self,
        now: Millis,
        request: &Request,
        completed: &AttemptCompleted,
        rng: &mut Pcg32,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(index) = self.find(completed.backend) else {
            return actions;
        };
        // The outcome of an attempt sent to an earlier incarnation says nothing about the present one.
        let Some(attempt) = self.all[index].in_flight.remove(&request.id) else {
            return actions;
        };
        let evidence = self.evidence(now, index, attempt, completed.outcome);
        if suggests_broken_connections(completed.outcome, &evidence) {
            actions.push(Action::CloseIdleConnections(completed.backend));
        }
        self.observe_unit_time(index, &attempt, completed, &evidence);
        let backend = &mut self.all[index];
        backend.answered_at.entry(request.class).or_insert(now);
        backend.last_outcome_at = now;
        if matches!(
            completed.outcome,
            Outcome::Ok | Outcome::Error | Outcome::Rejected
        ) {
            backend.answered_at.insert(request.class, now);
        }
        backend
            .faults
            .record_outcome(now, request, completed, &evidence);
        self.update_ejection(now, index, attempt, completed.outcome, rng);
        let changed = self.all[index].faults.update_logged_health(now);
        actions.extend(
            changed.map(|is_logged_unhealthy| health_change_log(completed, is_logged_unhealthy)),
        );
        actions
    }

    /// What the end of an attempt shows, judged before the outcome is recorded.
    fn evidence(
        &self,
        now: Millis,
        index: usize,
        attempt: InFlightAttempt,
        outcome: Outcome,
    ) -> AttemptEvidence {
        let backend = &self.all[index];
        AttemptEvidence {
            timed_out: matches!(outcome, Outcome::Timeout | Outcome::Cancelled),
            was_hanging: self.overdue_for_class(now, backend, &attempt) > 0.0,
            was_silent: attempt.sent_at >= backend.last_outcome_at,
        }
    }

    /// Records the time per unit of load of a successful response. For an attempt that timed out or was cancelled
    /// without hanging, the time that it was in flight counts: its response would have taken at least as long.
    fn observe_unit_time(
        &mut self,
        index: usize,
        attempt: &InFlightAttempt,
        completed: &AttemptCompleted,
        evidence: &AttemptEvidence,
    ) {
        let is_queued = evidence.timed_out && !evidence.was_hanging;
        if completed.outcome != Outcome::Ok && !is_queued {
            return;
        }
        let elapsed = completed.elapsed.max(0.0);
        let other_backends = self.all.len().saturating_sub(1).max(1) as f64;
        self.all[index]
            .unit_time
            .record(UNIT_TIME_MEMORY, elapsed, attempt.load);
        self.unit_time
            .record(UNIT_TIME_MEMORY * other_backends, elapsed, attempt.load);
    }

    /// Ejects a backend whose responses are errors, or removes an ejection after a successful trial.
    fn update_ejection(
        &mut self,
        now: Millis,
        index: usize,
        attempt: InFlightAttempt,
        outcome: Outcome,
        rng: &mut Pcg32,
    ) {
        let gateways_per_backend = self.gateways_per_backend();
        let faults = &mut self.all[index].faults;
        let is_trial = faults.is_trial(attempt.sent_at);
        match outcome {
            Outcome::Error if is_trial || faults.is_outlier(now) => {
                let duration = faults.next_ejection_time(gateways_per_backend, rng);
                faults.eject(now, duration);
            }
            Outcome::Ok if is_trial => faults.record_successful_trial(),
            _ => {}
        }
    }

    /// Applies the endpoint list: the complete list, or its changes.
    pub(super) fn update_list(
        &mut self,
        now: Millis,
        is_full_list: bool,
        entries: &[BackendEntry],
        rng: &mut Pcg32,
    ) {
        if is_full_list {
            for backend in &mut self.all {
                backend.entry.availability = Availability::Removed;
            }
        }
        for entry in entries {
            self.update_entry(now, *entry, rng);
        }
        self.all.retain(|backend| {
            backend.entry.availability != Availability::Removed || !backend.in_flight.is_empty()
        });
        self.ready = (0..self.all.len())
            .filter(|index| self.all[*index].entry.availability == Availability::Ready)
            .collect();
    }

    /// Applies one entry of the list. A backend that has restarted loses its earlier state: attempts sent to its
    /// earlier incarnation do not count as load and, when they end, count neither for nor against it.
    fn update_entry(&mut self, now: Millis, entry: BackendEntry, rng: &mut Pcg32) {
        let entry = BackendEntry {
            weight: clamp_finite(entry.weight, MIN_WEIGHT, MAX_WEIGHT, 1.0),
            ..entry
        };
        // Each gateway first has to accrue a random number of units for a new backend, so that not all gateways send it
        // their first request at the same instant.
        let debt = self.context.settings.max_units.max(1.0) * uniform(rng);
        let fresh = Backend::new(entry, now, debt, self.context.latency_objective);
        let position = self
            .all
            .binary_search_by_key(&entry.id, |backend| backend.entry.id);
        match position {
            Ok(index) if self.all[index].entry.started_at == entry.started_at => {
                self.all[index].entry = entry;
            }
            Ok(index) => self.all[index] = fresh,
            Err(index) => self.all.insert(index, fresh),
        }
    }
}

/// Whether the other connections to a backend may be as broken as the connection of an attempt that got no response.
fn suggests_broken_connections(outcome: Outcome, evidence: &AttemptEvidence) -> bool {
    let is_overdue =
        outcome == Outcome::Timeout || (outcome == Outcome::Cancelled && evidence.was_hanging);
    evidence.was_silent && is_overdue
}

fn health_change_log(completed: &AttemptCompleted, is_logged_unhealthy: bool) -> Action {
    let backend = completed.backend.0;
    let outcome = completed.outcome;
    Action::Log(if is_logged_unhealthy {
        format!("backend {backend} set aside: {outcome:?}")
    } else {
        format!("backend {backend} taken back")
    })
}
