//! Outlier detection: scores the faults of each backend, and ejects backends that answer with errors.

use crate::measure::{uniform, DecayingScore};
use crate::policy_api::*;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;

/// Halflife of a fault score, in multiples of the shortest latency objective.
const FAULT_HALFLIFE: f64 = 4.0;
/// Halflife of a [`FaultKind::Hanging`] score, in multiples of the shortest latency objective. It is longer than
/// [`FAULT_HALFLIFE`] because a trial request that hangs again loses all of its time.
const HANGING_HALFLIFE: f64 = 8.0;
/// Fault score up to which a backend is selected as if it had no fault, so that it gets trial requests.
pub(super) const NEGLIGIBLE_FAULT: f64 = 0.1;
/// Step of a fault score toward 1 for one failure.
const FAILURE_STEP: f64 = 0.4;
/// Step of a fault score toward 1 for a connection that broke. A refused connection or a missing response is much
/// stronger evidence of a fault.
const BROKEN_CONNECTION_STEP: f64 = 0.1;
/// Step of a fault score toward 0 for one good response.
const RECOVERY_STEP: f64 = 0.2;
/// Step of a [`FaultKind::Hanging`] score toward 0 for one response of the class.
const RESPONSIVE_STEP: f64 = 0.5;
/// Score of [`FaultKind::Failures`] above which a backend is logged as set aside; below half of it, the backend is
/// logged as taken back. Also the score of [`FaultKind::ErrorResponses`] above which a backend is ejected.
const OUTLIER_THRESHOLD: f64 = 0.5;

/// Minimum ejection time, in multiples of the shortest latency objective. If more gateways than this use the backend,
/// the ejection time is one objective for each of them, so that together they try the backend once per objective.
const MIN_EJECTION_TIME: f64 = 4.0;
/// Maximum number of times that the ejection time is doubled by failed trials.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// Fraction of ejected backends above which ejections are ignored (panic mode): a failure that most backends have in
/// common is not the fault of any of them.
const PANIC_THRESHOLD: f64 = 0.5;

/// The kinds of fault that are scored for a backend.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum FaultKind {
    /// Attempts of any request that fail, except by a rejection.
    Failures,
    /// Responses that are errors.
    ErrorResponses,
    /// Rejections of one plan, while the backend may have capacity for others. A backend that is full for all plans
    /// gets a score for each.
    PlanRejections(PlanId),
    /// Attempts of one class that hang, whether or not the backend answers other classes. A single response that was
    /// lost looks the same; mistaking it for a hang costs little, as the class only uses other backends for a while.
    Hanging(ClassId),
}

impl FaultKind {
    /// Halflife of the score, ms.
    fn halflife(self, latency_objective: Millis) -> Millis {
        let objectives = match self {
            // Only good responses lower this score: if it decayed, a backend that is seldom used would be tried again
            // and again.
            FaultKind::ErrorResponses => f64::INFINITY,
            FaultKind::Hanging(_) => HANGING_HALFLIFE,
            FaultKind::Failures | FaultKind::PlanRejections(_) => FAULT_HALFLIFE,
        };
        objectives * latency_objective
    }
}

/// What the end of an attempt shows about its backend.
pub(super) struct AttemptEvidence {
    /// Whether the attempt ended by its timeout or was cancelled. The last attempt of a request ends by a cancellation:
    /// it is cancelled at the request's final deadline, before its own timeout.
    pub timed_out: bool,
    /// Whether the attempt was overdue and the backend had answered no attempt of its class in the meantime.
    pub was_hanging: bool,
    /// Whether no other attempt at the backend has ended since this attempt was sent.
    pub was_silent: bool,
}

/// One step of a fault score toward a target.
struct ScoreUpdate {
    fault: FaultKind,
    target: f64,
    step: f64,
}

impl ScoreUpdate {
    /// A step toward 1.
    fn raise(fault: FaultKind, step: f64) -> ScoreUpdate {
        ScoreUpdate {
            fault,
            target: 1.0,
            step,
        }
    }

    /// A step toward 0.
    fn lower(fault: FaultKind, step: f64) -> ScoreUpdate {
        ScoreUpdate {
            fault,
            target: 0.0,
            step,
        }
    }
}

/// Fault scores and ejection state of one backend, as observed by this gateway. As in a circuit breaker, a backend
/// whose ejection has ended is half-open: it gets single trial requests. A trial that fails ejects the backend again
/// for longer, and each trial that succeeds removes one ejection.
pub(super) struct FaultHistory {
    /// The shortest latency objective of all classes, ms: halflives and ejection times are multiples of it.
    latency_objective: Millis,
    /// Score of each kind of fault, from 0 (none) to 1.
    scores: BTreeMap<FaultKind, DecayingScore>,
    /// Whether the backend was last logged as set aside. This state is only logged; the scores decide.
    is_logged_unhealthy: bool,
    /// End of the last ejection, ms. From then on the backend is half-open, as long as `ejections` is not 0.
    ejected_until: Millis,
    /// Number of ejections less the number of successful trials; 0 if the backend is neither ejected nor half-open.
    ejections: u32,
}

impl FaultHistory {
    pub(super) fn new(latency_objective: Millis) -> FaultHistory {
        FaultHistory {
            latency_objective,
            scores: BTreeMap::new(),
            is_logged_unhealthy: false,
            ejected_until: f64::NEG_INFINITY,
            ejections: 0,
        }
    }

    /// Score of one kind of fault, decayed until `now`.
    fn score(&self, now: Millis, fault: FaultKind) -> f64 {
        self.scores.get(&fault).map_or(0.0, |score| {
            score.decayed(now, fault.halflife(self.latency_objective))
        })
    }

    /// Fault score of the backend for all requests alike.
    pub(super) fn failure_score(&self, now: Millis) -> f64 {
        self.score(now, FaultKind::Failures)
    }

    /// Fault score of the backend for one request: the highest of those that concern its plan, its class or all
    /// requests.
    pub(super) fn fault_score(&self, now: Millis, request: &Request) -> f64 {
        let plan_rejections = self.score(now, FaultKind::PlanRejections(request.plan));
        let hanging = self.score(now, FaultKind::Hanging(request.class));
        self.failure_score(now).max(plan_rejections).max(hanging)
    }

    /// Whether attempts of a class are known to hang at the backend.
    pub(super) fn is_hanging(&self, now: Millis, class: ClassId) -> bool {
        self.score(now, FaultKind::Hanging(class)) > NEGLIGIBLE_FAULT
    }

    /// Whether the backend is ejected or half-open.
    pub(super) fn has_ejections(&self) -> bool {
        self.ejections > 0
    }

    /// Whether the backend is ejected.
    pub(super) fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Whether the backend must not be sent a request: it is ejected, or it is half-open and the request is no possible
    /// trial. A half-open backend gets one request at a time, and only idempotent ones.
    pub(super) fn excludes(&self, now: Millis, is_idempotent: bool, has_in_flight: bool) -> bool {
        self.has_ejections() && (self.is_ejected(now) || !is_idempotent || has_in_flight)
    }

    /// Whether an attempt sent at `sent_at` was a trial of the half-open backend.
    pub(super) fn is_trial(&self, sent_at: Millis) -> bool {
        self.has_ejections() && sent_at >= self.ejected_until
    }

    /// Whether the backend, neither ejected nor half-open so far, has given so many errors that it is to be ejected.
    pub(super) fn is_outlier(&self, now: Millis) -> bool {
        !self.has_ejections() && self.score(now, FaultKind::ErrorResponses) > OUTLIER_THRESHOLD
    }

    /// Ejects the backend for `duration`, in ms.
    pub(super) fn eject(&mut self, now: Millis, duration: Millis) {
        self.ejections += 1;
        self.ejected_until = now + duration;
    }

    /// Removes one ejection after a successful trial.
    pub(super) fn record_successful_trial(&mut self) {
        self.ejections -= 1;
    }

    /// Duration of the next ejection, ms, with jitter; the more gateways use the backend, the longer. Error responses
    /// take less time than real work, so without ejection a failing backend would look the least loaded and get the
    /// most requests.
    pub(super) fn next_ejection_time(&self, gateways_per_backend: f64, rng: &mut Pcg32) -> Millis {
        let doublings = self.ejections.min(MAX_EJECTION_DOUBLINGS);
        let factor = f64::from(1 << doublings);
        let jitter = 0.5 + uniform(rng);
        gateways_per_backend.max(MIN_EJECTION_TIME) * self.latency_objective * factor * jitter
    }

    /// Updates the fault scores with the end of an attempt.
    pub(super) fn record_outcome(
        &mut self,
        now: Millis,
        request: &Request,
        completed: &AttemptCompleted,
        evidence: &AttemptEvidence,
    ) {
        let hanging = FaultKind::Hanging(request.class);
        let outcome = completed.outcome;
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected) {
            let update = ScoreUpdate::lower(hanging, RESPONSIVE_STEP);
            self.update(now, &update);
        } else if evidence.timed_out && evidence.was_hanging {
            let update = ScoreUpdate::raise(hanging, 1.0);
            self.update(now, &update);
        }
        for update in outcome_updates(request.plan, completed)
            .into_iter()
            .flatten()
        {
            self.update(now, &update);
        }
        // Each outcome brings this score up to `now`, also one that changes no score.
        let no_change = ScoreUpdate::lower(FaultKind::Failures, 0.0);
        self.update(now, &no_change);
    }

    fn update(&mut self, now: Millis, update: &ScoreUpdate) {
        let halflife = update.fault.halflife(self.latency_objective);
        self.scores.entry(update.fault).or_default().move_toward(
            now,
            halflife,
            update.target,
            update.step,
        );
    }

    /// Updates whether the backend is logged as set aside; returns the new value if it changed.
    pub(super) fn update_logged_health(&mut self, now: Millis) -> Option<bool> {
        let fault_score = self.failure_score(now);
        let is_logged_unhealthy = fault_score > OUTLIER_THRESHOLD
            || (self.is_logged_unhealthy && fault_score >= OUTLIER_THRESHOLD / 2.0);
        let changed = is_logged_unhealthy != self.is_logged_unhealthy;
        self.is_logged_unhealthy = is_logged_unhealthy;
        changed.then_some(is_logged_unhealthy)
    }
}

/// The score updates for an outcome, except those for hanging attempts.
///
/// A broken connection counts little, so that a network fault is not taken for faults of backends: if connections broke
/// everywhere, each backend would be avoided in turn and the others would be overloaded. The price is that some
/// requests are lost at a backend that accepts connections and breaks every one. A process that has died is detected at
/// once, since it refuses the next connection.
fn outcome_updates(plan: PlanId, completed: &AttemptCompleted) -> [Option<ScoreUpdate>; 2] {
    let failure_step = |usual_step: f64| {
        if completed.broken_connections > 0 {
            BROKEN_CONNECTION_STEP
        } else {
            usual_step
        }
    };
    match completed.outcome {
        Outcome::Ok => [
            Some(ScoreUpdate::lower(FaultKind::Failures, RECOVERY_STEP)),
            Some(ScoreUpdate::lower(FaultKind::ErrorResponses, RECOVERY_STEP)),
        ],
        Outcome::Error => [
            Some(ScoreUpdate::raise(FaultKind::Failures, FAILURE_STEP)),
            Some(ScoreUpdate::raise(FaultKind::ErrorResponses, FAILURE_STEP)),
        ],
        Outcome::ConnectFailed => {
            let step = failure_step(1.0);
            [Some(ScoreUpdate::raise(FaultKind::Failures, step)), None]
        }
        Outcome::Reset => {
            let step = failure_step(FAILURE_STEP);
            [Some(ScoreUpdate::raise(FaultKind::Failures, step)), None]
        }
        Outcome::Timeout => [
            Some(ScoreUpdate::raise(FaultKind::Failures, FAILURE_STEP)),
            None,
        ],
        Outcome::Rejected => {
            let fault = FaultKind::PlanRejections(plan);
            [Some(ScoreUpdate::raise(fault, FAILURE_STEP)), None]
        }
        Outcome::Cancelled | Outcome::NotSent => [None, None],
    }
}

/// Whether so many backends are ejected that ejections are ignored: the others would be overloaded, or the errors are
/// not the backends' fault.
pub(super) fn in_panic_mode(ejected: usize, backends: usize) -> bool {
    ejected as f64 > PANIC_THRESHOLD * backends as f64
}
