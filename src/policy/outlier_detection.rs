//! Outlier detection: what each backend is at fault in, and the ejection of backends that answer with errors.

use crate::measure::{uniform, DecayingScore};
use crate::policy_api::*;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;

/// Halflife of a fault without news, in shortest latency objectives.
const FAULT_HALFLIFE: f64 = 4.0;
/// Halflife of hanging, in shortest latency objectives: a trial costs a request all of its time.
const HANGING_HALFLIFE: f64 = 8.0;
/// Fault score that is no hindrance: it permits a trial request.
pub(super) const NEGLIGIBLE_FAULT: f64 = 0.1;
/// Step of a fault score toward 1 for one failure.
const FAILURE_STEP: f64 = 0.4;
/// Step for a broken connection: one that is refused or silent says far more.
const BROKEN_CONNECTION_STEP: f64 = 0.1;
/// Step of a fault score toward 0 for one good response.
const RECOVERY_STEP: f64 = 0.2;
/// Step of hanging toward 0 for one response of the class.
const RESPONSIVE_STEP: f64 = 0.5;
/// Fault score above which a backend is logged as set aside, and half of which takes it back; also the score of
/// errors above which it is ejected.
const OUTLIER_THRESHOLD: f64 = 0.5;

/// Least ejection time, in shortest latency objectives. It is one objective for each gateway that meets the backend
/// where that is more: together they try it once an objective.
const MIN_EJECTION_TIME: f64 = 4.0;
/// Failed trials that double the ejection time.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// Fraction of the backends ejected above which ejection is ignored: what all have in common is no fault of theirs.
const PANIC_FRACTION: f64 = 0.5;

/// What a backend is at fault in.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Fault {
    /// Anything that fails, for all requests alike.
    Failing,
    /// Its responses are errors.
    Errors,
    /// It rejects one plan while it has capacity for others. One that is full for all is found full for each.
    Full(PlanId),
    /// It lets a class hang, and answers others or hangs for all. It costs a detour; an answer that was lost by
    /// itself looks the same.
    Hanging(ClassId),
}

impl Fault {
    /// Halflife of its score without news, ms.
    fn halflife(self, latency_objective: Millis) -> Millis {
        let objectives = match self {
            // Only good responses clear it: a backend that is seldom used would otherwise be tried again for ever.
            Fault::Errors => f64::INFINITY,
            Fault::Hanging(_) => HANGING_HALFLIFE,
            Fault::Failing | Fault::Full(_) => FAULT_HALFLIFE,
        };
        objectives * latency_objective
    }
}

/// What the end of an attempt shows of its backend.
pub(super) struct AttemptEvidence {
    /// Whether it ended by its timeout, or was cancelled: the last attempt of a request is cancelled at the final
    /// deadline, before its own timeout.
    pub timed_out: bool,
    /// Whether it was overdue without news of its class.
    pub was_hanging: bool,
    /// Whether nothing has come from the backend since the attempt was sent.
    pub was_silent: bool,
}

/// A step of a fault score toward a target.
struct ScoreUpdate {
    fault: Fault,
    target: f64,
    step: f64,
}

impl ScoreUpdate {
    /// Raises a fault.
    fn raise(fault: Fault, step: f64) -> ScoreUpdate {
        ScoreUpdate {
            fault,
            target: 1.0,
            step,
        }
    }

    /// Lowers a fault.
    fn lower(fault: Fault, step: f64) -> ScoreUpdate {
        ScoreUpdate {
            fault,
            target: 0.0,
            step,
        }
    }
}

/// What a gateway holds against one backend.
pub(super) struct FaultHistory {
    /// The shortest latency objective of a class, ms: the scale of its times.
    latency_objective: Millis,
    /// How far the backend is at fault, from 0 to 1.
    scores: BTreeMap<Fault, DecayingScore>,
    /// Whether it is logged as set aside.
    is_set_aside: bool,
    /// Time until which it is ejected, ms; beyond it the backend is half-open.
    ejected_until: Millis,
    /// Ejections in a row.
    ejections: u32,
}

impl FaultHistory {
    pub(super) fn new(latency_objective: Millis) -> FaultHistory {
        FaultHistory {
            latency_objective,
            scores: BTreeMap::new(),
            is_set_aside: false,
            ejected_until: f64::NEG_INFINITY,
            ejections: 0,
        }
    }

    /// How far the backend is at fault in something, decayed until now.
    fn score(&self, now: Millis, fault: Fault) -> f64 {
        self.scores.get(&fault).map_or(0.0, |score| {
            score.decayed(now, fault.halflife(self.latency_objective))
        })
    }

    /// How far the backend is distrusted by all requests.
    pub(super) fn general_distrust(&self, now: Millis) -> f64 {
        self.score(now, Fault::Failing)
    }

    /// How far the backend is distrusted by one request.
    pub(super) fn distrust(&self, now: Millis, request: &Request) -> f64 {
        let full = self.score(now, Fault::Full(request.plan));
        let hanging = self.score(now, Fault::Hanging(request.class));
        self.general_distrust(now).max(full).max(hanging)
    }

    /// Whether the backend is known to let a class hang.
    pub(super) fn is_hanging(&self, now: Millis, class: ClassId) -> bool {
        self.score(now, Fault::Hanging(class)) > NEGLIGIBLE_FAULT
    }

    /// Whether the backend is ejected or half-open.
    pub(super) fn has_ejections(&self) -> bool {
        self.ejections > 0
    }

    /// Whether the backend is ejected.
    pub(super) fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Whether the backend gets nothing of a request: it is ejected, or half-open, when it is tried with one
    /// idempotent request at a time.
    pub(super) fn excludes(&self, now: Millis, is_idempotent: bool, has_in_flight: bool) -> bool {
        self.has_ejections() && (self.is_ejected(now) || !is_idempotent || has_in_flight)
    }

    /// Whether an attempt sent at a time was a trial of the half-open backend.
    pub(super) fn is_trial(&self, sent_at: Millis) -> bool {
        self.has_ejections() && sent_at >= self.ejected_until
    }

    /// Whether the backend is to be ejected for the first time.
    pub(super) fn is_outlier(&self, now: Millis) -> bool {
        !self.has_ejections() && self.score(now, Fault::Errors) > OUTLIER_THRESHOLD
    }

    /// Ejects the backend.
    pub(super) fn eject(&mut self, now: Millis, duration: Millis) {
        self.ejections += 1;
        self.ejected_until = now + duration;
    }

    /// Takes one ejection off after a trial that succeeded.
    pub(super) fn record_successful_trial(&mut self) {
        self.ejections -= 1;
    }

    /// How long the backend is to be ejected the next time, ms: with jitter, and longer the more gateways meet
    /// it. An error comes sooner than work is done: unless the backend is left alone it would be tried most of all.
    pub(super) fn next_ejection_time(&self, meeting_gateways: f64, rng: &mut Pcg32) -> Millis {
        let doublings = self.ejections.min(MAX_EJECTION_DOUBLINGS);
        let factor = f64::from(1 << doublings);
        let jitter = 0.5 + uniform(rng);
        meeting_gateways.max(MIN_EJECTION_TIME) * self.latency_objective * factor * jitter
    }

    /// Records what the end of an attempt says of the backend.
    pub(super) fn record_outcome(
        &mut self,
        now: Millis,
        request: &Request,
        completed: &AttemptCompleted,
        evidence: &AttemptEvidence,
    ) {
        let hanging = Fault::Hanging(request.class);
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
        // The general score is brought up to now by every outcome, also by one that says nothing.
        let no_change = ScoreUpdate::lower(Fault::Failing, 0.0);
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

    /// Brings up to now whether the backend counts as set aside; whether it is, if that changed.
    pub(super) fn update_set_aside(&mut self, now: Millis) -> Option<bool> {
        let distrust = self.general_distrust(now);
        let is_set_aside = distrust > OUTLIER_THRESHOLD
            || (self.is_set_aside && distrust >= OUTLIER_THRESHOLD / 2.0);
        let changed = is_set_aside != self.is_set_aside;
        self.is_set_aside = is_set_aside;
        changed.then_some(is_set_aside)
    }
}

/// The steps of the fault scores for an outcome, hanging aside.
///
/// A broken connection counts little, so that a fault of the network is not taken for faults of backends: where
/// connections break everywhere, each backend would be set aside in turn and the rest be overloaded. It costs some
/// requests at a backend that accepts connections and breaks every one; a process that died refuses the next
/// connection, and that says enough.
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
            Some(ScoreUpdate::lower(Fault::Failing, RECOVERY_STEP)),
            Some(ScoreUpdate::lower(Fault::Errors, RECOVERY_STEP)),
        ],
        Outcome::Error => [
            Some(ScoreUpdate::raise(Fault::Failing, FAILURE_STEP)),
            Some(ScoreUpdate::raise(Fault::Errors, FAILURE_STEP)),
        ],
        Outcome::ConnectFailed => {
            let step = failure_step(1.0);
            [Some(ScoreUpdate::raise(Fault::Failing, step)), None]
        }
        Outcome::Reset => {
            let step = failure_step(FAILURE_STEP);
            [Some(ScoreUpdate::raise(Fault::Failing, step)), None]
        }
        Outcome::Timeout => [Some(ScoreUpdate::raise(Fault::Failing, FAILURE_STEP)), None],
        Outcome::Rejected => {
            let fault = Fault::Full(plan);
            [Some(ScoreUpdate::raise(fault, FAILURE_STEP)), None]
        }
        Outcome::Cancelled | Outcome::NotSent => [None, None],
    }
}

/// Whether so many of the backends are ejected that ejection is to be ignored: the rest would be overloaded, or the
/// errors are no fault of theirs.
pub(super) fn is_panic(ejected: usize, backends: usize) -> bool {
    ejected as f64 > PANIC_FRACTION * backends as f64
}
