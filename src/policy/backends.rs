//! What a gateway keeps of each backend: its entry of the endpoint list, attempts in flight, and time per unit.

use super::outlier_detection::{self, AttemptEvidence, FaultHistory};
use super::slow_start::SlowStartBudget;
use super::PolicyContext;
use crate::measure::{uniform, DecayingRatio};
use crate::policy_api::*;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Least subset of one of many gateways, in warm backends: few enough that its connections are reused and that it
/// hears from each often, enough that losing some leaves capacity.
pub(super) const MIN_SUBSET: f64 = 12.0;
/// Responses over which a backend's time per unit of load is averaged.
const UNIT_TIME_MEMORY: f64 = 16.0;
/// Units of load in a shortest latency objective, assumed before the first response.
const INITIAL_UNITS_PER_OBJECTIVE: f64 = 10.0;
/// Multiple of its oldest attempt's expected time after which a backend is overdue.
const OVERDUE_FACTOR: f64 = 3.0;
/// Range of the weights that are accepted from the endpoint list.
const MIN_WEIGHT: f64 = 0.01;
/// See [`MIN_WEIGHT`].
const MAX_WEIGHT: f64 = 1e6;

/// An attempt in flight at a backend.
#[derive(Clone, Copy)]
pub(super) struct InFlight {
    /// When it was sent, ms.
    pub sent_at: Millis,
    pub class: ClassId,
    /// Units in flight there from this gateway at that time, its own included.
    pub load: f64,
    /// Its own units.
    pub units: f64,
}

/// What a gateway keeps of one backend.
pub(super) struct Backend {
    pub entry: BackendEntry,
    pub in_flight: BTreeMap<RequestId, InFlight>,
    /// Time over load at the send, over recent responses.
    unit_time: DecayingRatio,
    /// When an attempt there last ended, ms.
    last_outcome_at: Millis,
    /// When it last answered each class that it was sent, ms.
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

    /// Units that this gateway has in flight there. Load reports are not counted: they are late and every gateway
    /// reads the same ones; what others send shows in the time per unit.
    pub(super) fn load(&self) -> f64 {
        self.in_flight.values().map(|attempt| attempt.units).sum()
    }

    /// Counts an attempt that is sent there.
    pub(super) fn attempt_sent(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: InFlight,
        even_rate: f64,
        settings: &Settings,
    ) {
        let available = self.budget.available(now, settings, &self.entry, even_rate);
        self.budget.set(now, available - attempt.units);
        self.in_flight.insert(id, attempt);
    }
}

/// The backends that a gateway knows.
pub(super) struct BackendSet {
    context: Arc<PolicyContext>,
    /// All backends, sorted by id.
    pub all: Vec<Backend>,
    /// Indices in `all` of those that accept requests.
    pub ready: Vec<usize>,
    /// Gateways that seem alive: never fewer than the settings have.
    live_gateways: f64,
    /// Time over load at the send, over recent responses of all backends.
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

    /// Takes an estimate of how many gateways are alive.
    pub(super) fn set_live_gateways(&mut self, gateways: u32) {
        self.live_gateways = self.context.gateways.max(gateways.into());
    }

    /// Time per unit of load over all backends, ms.
    pub(super) fn mean_unit_time(&self) -> Millis {
        self.unit_time
            .value()
            .unwrap_or(self.context.latency_objective / INITIAL_UNITS_PER_OBJECTIVE)
    }

    /// Time per unit of load at a backend, ms; the fewer its responses, the nearer to the mean.
    pub(super) fn unit_time(&self, backend: &Backend) -> Millis {
        let prior = if self.unit_time.denominator > 0.0 {
            self.unit_time.denominator / UNIT_TIME_MEMORY
        } else {
            1.0
        };
        (backend.unit_time.numerator + prior * self.mean_unit_time())
            / (backend.unit_time.denominator + prior)
    }

    /// The least time until a request sent now would be begun at any backend, as far as own attempts show, ms.
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

    /// How long the oldest attempt at a backend is overdue without news, ms. It turns the selection elsewhere but
    /// rejects nothing: responses may be lost where there is no queue. An attempt of a class that is known to hang
    /// there counts only for its own class.
    pub(super) fn overdue(&self, now: Millis, backend: &Backend, class: ClassId) -> Millis {
        let mut longest = 0.0;
        for attempt in backend.in_flight.values() {
            let overdue = if attempt.class == class {
                self.overdue_within_class(now, backend, attempt)
            } else if backend.faults.is_hanging(now, attempt.class) {
                continue;
            } else {
                self.overdue_since(now, backend, attempt, backend.last_outcome_at)
            };
            longest = f64::max(longest, overdue);
        }
        longest
    }

    /// How long an attempt is overdue without news of its class from its backend, ms.
    fn overdue_within_class(&self, now: Millis, backend: &Backend, attempt: &InFlight) -> Millis {
        let answered_at = backend.answered_at.get(&attempt.class).copied();
        self.overdue_since(
            now,
            backend,
            attempt,
            answered_at.unwrap_or(attempt.sent_at),
        )
    }

    fn overdue_since(
        &self,
        now: Millis,
        backend: &Backend,
        attempt: &InFlight,
        outcome_at: Millis,
    ) -> Millis {
        let expected = OVERDUE_FACTOR * self.unit_time(backend) * attempt.load;
        now - attempt.sent_at.max(outcome_at) - expected
    }

    /// Whether an attempt of a request hangs at a backend.
    pub(super) fn is_hanging(&self, now: Millis, backend: BackendId, request: RequestId) -> bool {
        let Some(index) = self.find(backend) else {
            return false;
        };
        let backend = &self.all[index];
        match backend.in_flight.get(&request) {
            Some(attempt) => self.overdue_within_class(now, backend, attempt) > 0.0,
            // It was sent to an incarnation that has ended.
            None => true,
        }
    }

    /// Whether so many backends are ejected that ejection is to be ignored.
    pub(super) fn is_panic(&self, now: Millis) -> bool {
        let ejected = self
            .ready
            .iter()
            .filter(|index| self.all[**index].faults.is_ejected(now))
            .count();
        outlier_detection::is_panic(ejected, self.ready.len())
    }

    /// Number of gateways that meet each backend, by the subset that each keeps to.
    fn meeting_gateways(&self) -> f64 {
        let others = self.ready.len().saturating_sub(1).max(1) as f64;
        self.live_gateways * (MIN_SUBSET / others).min(1.0)
    }

    /// Records the end of an attempt. It may be logged, and close connections.
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
        // What was sent to an earlier incarnation says nothing of this one.
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
        let changed = self.all[index].faults.update_set_aside(now);
        actions.extend(changed.map(|is_set_aside| set_aside_log(completed, is_set_aside)));
        actions
    }

    /// What the end of an attempt shows, before its news are recorded.
    fn evidence(
        &self,
        now: Millis,
        index: usize,
        attempt: InFlight,
        outcome: Outcome,
    ) -> AttemptEvidence {
        let backend = &self.all[index];
        AttemptEvidence {
            timed_out: matches!(outcome, Outcome::Timeout | Outcome::Cancelled),
            was_hanging: self.overdue_within_class(now, backend, &attempt) > 0.0,
            was_silent: attempt.sent_at >= backend.last_outcome_at,
        }
    }

    /// Observes the time per unit of a response, or the time that an attempt was in flight at least.
    fn observe_unit_time(
        &mut self,
        index: usize,
        attempt: &InFlight,
        completed: &AttemptCompleted,
        evidence: &AttemptEvidence,
    ) {
        let is_queued = evidence.timed_out && !evidence.was_hanging;
        if completed.outcome != Outcome::Ok && !is_queued {
            return;
        }
        let elapsed = completed.elapsed.max(0.0);
        let others = self.all.len().saturating_sub(1).max(1) as f64;
        self.all[index]
            .unit_time
            .record(UNIT_TIME_MEMORY, elapsed, attempt.load);
        self.unit_time
            .record(UNIT_TIME_MEMORY * others, elapsed, attempt.load);
    }

    /// Ejects a backend whose responses are errors, or takes an ejection off after a successful trial.
    fn update_ejection(
        &mut self,
        now: Millis,
        index: usize,
        attempt: InFlight,
        outcome: Outcome,
        rng: &mut Pcg32,
    ) {
        let meeting_gateways = self.meeting_gateways();
        let faults = &mut self.all[index].faults;
        let is_trial = faults.is_trial(attempt.sent_at);
        match outcome {
            Outcome::Error if is_trial || faults.is_outlier(now) => {
                let duration = faults.next_ejection_time(meeting_gateways, rng);
                faults.eject(now, duration);
            }
            Outcome::Ok if is_trial => faults.record_successful_trial(),
            _ => {}
        }
    }

    /// Takes the endpoint list, the whole of it or its changes.
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

    /// Takes one entry of the list. A backend that has restarted keeps nothing: attempts that were sent to its earlier
    /// incarnation count neither as its load nor, when they end, for or against it.
    fn update_entry(&mut self, now: Millis, entry: BackendEntry, rng: &mut Pcg32) {
        let entry = BackendEntry {
            weight: clamp_finite(entry.weight, MIN_WEIGHT, MAX_WEIGHT, 1.0),
            ..entry
        };
        // Each gateway has yet to earn its first request there, so that not all send theirs in one instant.
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

/// Whether the other connections to a backend may be as broken as that of an attempt.
fn suggests_broken_connections(outcome: Outcome, evidence: &AttemptEvidence) -> bool {
    let is_overdue =
        outcome == Outcome::Timeout || (outcome == Outcome::Cancelled && evidence.was_hanging);
    evidence.was_silent && is_overdue
}

fn set_aside_log(completed: &AttemptCompleted, is_set_aside: bool) -> Action {
    let backend = completed.backend.0;
    let outcome = completed.outcome;
    Action::Log(if is_set_aside {
        format!("backend {backend} set aside: {outcome:?}")
    } else {
        format!("backend {backend} taken back")
    })
}
