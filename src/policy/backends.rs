//! What a gateway holds of each backend: its line of the list, attempts out, pace, what it is shunned for.

use super::guards::Due;
use super::Terms;
use crate::measure::{uniform, DecayingRatio, DecayingScore};
use crate::policy_api::*;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::sync::Arc;

// Backends, in whole warm ones, that a gateway of many keeps to at least: few enough that its connections are
// used again and that it hears from each often, enough that losing some leaves room.
pub(super) const CIRCLE_LEAST: f64 = 12.0;
const PACE_MEMORY: f64 = 16.0; // answers over which a backend's time per unit of load is averaged
const SILENCE: f64 = 3.0; // times what its oldest attempt should have taken after which a backend is overdue
const FAULT_AIMS: f64 = 4.0; // shortest aims in which a fault halves without news
const HANGING_AIMS: f64 = 8.0; // one of hanging in this many: trying it out costs a request all of its time
pub(super) const FORGOTTEN: f64 = 0.1; // a fault that is no hindrance: it lets one request try
const FAULT_STEP: f64 = 0.4; // how far one failure moves a fault toward one
const BREAK_STEP: f64 = 0.1; // how far a broken connection does: one that is refused or silent tells far more
const TRUST_STEP: f64 = 0.2; // how far one good answer moves it toward nought
const SET_ASIDE: f64 = 0.5; // a fault that is reported as set aside, and half of which takes it back

// A backend that answers with errors is ejected for this many shortest aims at least, and for one for each
// gateway that meets it: together they try it once an aim. Each failed trial doubles it, so many times.
const EJECT_AIMS: f64 = 4.0;
const EJECT_DOUBLINGS: u32 = 4;
const PANIC_PART: f64 = 0.5; // of the backends, above which ejection is ignored: it is no fault of theirs

/// What a backend is at fault in: whatever fails, to all alike; that its answers are errors; that it turns
/// one plan away with room for others (one that is full for all is found out by each); that it lets a class
/// hang and answers others, or hangs for all. The last hurts, by a detour, where one answer alone was lost.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Fault {
    Failing,
    Errors,
    Full(PlanId),
    Hanging(ClassId),
}

/// An attempt that is out.
#[derive(Clone, Copy)]
pub(super) struct Flight {
    pub at: Millis,
    pub class: ClassId,
    pub load: f64,
    pub units: f64,
}

/// What a gateway holds of one backend.
pub(super) struct Backend {
    pub entry: BackendEntry,
    pub out: BTreeMap<RequestId, Flight>,
    pace: DecayingRatio, // time over load at the send, over recent answers
    last_answer: Millis,
    answered: BTreeMap<ClassId, Millis>, // when it last answered each that it was sent
    faults: BTreeMap<Fault, DecayingScore>, // how far it is at fault, from nought to one, and as of when
    set_aside: bool,
    ejected_until: Millis, // beyond that time it is half-open
    pub ejections: u32,    // in a row
    pub due: Due,
}

impl Backend {
    fn new(entry: BackendEntry, now: Millis, debt: f64) -> Self {
        Backend {
            entry,
            out: BTreeMap::new(),
            pace: DecayingRatio::default(),
            last_answer: now,
            answered: BTreeMap::new(),
            faults: BTreeMap::new(),
            set_aside: false,
            ejected_until: f64::NEG_INFINITY,
            ejections: 0,
            due: Due {
                units: -debt,
                at: now,
            },
        }
    }

    /// Units that this gateway has out there. Reports are not counted: they come late and every gateway reads
    /// the same ones; what others send shows in the time per unit.
    pub(super) fn load_out(&self) -> f64 {
        self.out.values().map(|f| f.units).sum()
    }

    pub(super) fn sent(
        &mut self,
        now: Millis,
        id: RequestId,
        flight: Flight,
        even_rate: f64,
        set: &Settings,
    ) {
        let units = self.due.now(now, set, &self.entry, even_rate) - flight.units;
        self.due = Due { units, at: now };
        self.out.insert(id, flight);
    }

    /// Whether it gets nothing of this request: it is ejected, or half-open, when only one request at a time
    /// tries it, which may be repeated at no harm.
    pub(super) fn barred(&self, now: Millis, safe: bool) -> bool {
        self.ejections > 0 && (now < self.ejected_until || !safe || !self.out.is_empty())
    }
}

/// The backends that a gateway knows.
pub(super) struct Fleet {
    terms: Arc<Terms>,
    pub all: Vec<Backend>, // in the order of their ids
    pub ready: Vec<usize>, // places of those that may be sent to
    pub doors: f64,        // front doors that seem present: never fewer than the settings tell
    pace: DecayingRatio,   // as of each backend, over all
}

impl Fleet {
    pub(super) fn new(terms: Arc<Terms>) -> Fleet {
        Fleet {
            doors: terms.gateways,
            terms,
            all: Vec::new(),
            ready: Vec::new(),
            pace: DecayingRatio::default(),
        }
    }

    pub(super) fn find(&self, id: BackendId) -> Option<usize> {
        self.all
            .binary_search_by_key(&id, |backend| backend.entry.id)
            .ok()
    }

    fn get(&self, id: BackendId) -> Option<&Backend> {
        self.find(id).map(|at| &self.all[at])
    }

    /// Time per unit of load at all backends.
    pub(super) fn common_pace(&self) -> f64 {
        self.pace.value().unwrap_or(self.terms.aim / 10.0)
    }

    /// Time per unit of load at a backend; with few answers, nearer to that of all.
    pub(super) fn pace(&self, backend: &Backend) -> f64 {
        let prior = if self.pace.denominator > 0.0 {
            self.pace.denominator / PACE_MEMORY
        } else {
            1.0
        };
        (backend.pace.numerator + prior * self.common_pace()) / (backend.pace.denominator + prior)
    }

    /// The least time until a request sent now would be begun at any, as far as own attempts tell.
    pub(super) fn least_wait(&self) -> Millis {
        if self.ready.iter().any(|at| self.all[*at].out.is_empty()) {
            return 0.0;
        }
        let wait = |at: &usize| self.pace(&self.all[*at]) * self.all[*at].load_out();
        self.ready.iter().map(wait).reduce(f64::min).unwrap_or(0.0)
    }

    /// Guards against a backend that has gone silent: how long its oldest attempt is overdue without news. It
    /// turns the choice elsewhere but refuses nothing: answers may be lost where there is no queue. A class
    /// that is known to hang there speaks only for itself.
    pub(super) fn overdue(&self, now: Millis, backend: &Backend, class: ClassId) -> Millis {
        let hangs = |class| self.fault(now, backend, Fault::Hanging(class)) > FORGOTTEN;
        let speaks = |flight: &&Flight| flight.class == class || !hangs(flight.class);
        let silent = |flight: &Flight| {
            let answered = if flight.class == class {
                None
            } else {
                Some(backend.last_answer)
            };
            self.silent(now, backend, flight, answered)
        };
        backend
            .out
            .values()
            .filter(speaks)
            .map(silent)
            .fold(0.0, f64::max)
    }

    /// How long an attempt is overdue without news of its class from its backend.
    fn silent(
        &self,
        now: Millis,
        backend: &Backend,
        flight: &Flight,
        news: Option<Millis>,
    ) -> Millis {
        let answered = news
            .or(backend.answered.get(&flight.class).copied())
            .unwrap_or(flight.at);
        now - flight.at.max(answered) - SILENCE * self.pace(backend) * flight.load
    }

    /// Whether an attempt of a request hangs there.
    pub(super) fn hung(&self, now: Millis, at: BackendId, id: RequestId) -> bool {
        let backend = self.get(at);
        let attempt = backend.and_then(|backend| Some((backend, backend.out.get(&id)?)));
        attempt.is_some_and(|(backend, flight)| self.silent(now, backend, flight, None) > 0.0)
    }

    /// How far a backend is at fault in something, by now.
    fn fault(&self, now: Millis, backend: &Backend, fault: Fault) -> f64 {
        backend
            .faults
            .get(&fault)
            .map_or(0.0, |score| score.decayed(now, self.halflife(fault)))
    }

    fn halflife(&self, fault: Fault) -> Millis {
        let aims = match fault {
            // One that is seldom asked would be tried for ever.
            Fault::Errors => f64::INFINITY,
            Fault::Hanging(_) => HANGING_AIMS,
            Fault::Failing | Fault::Full(_) => FAULT_AIMS,
        };
        aims * self.terms.aim
    }

    /// How far a backend is shunned by all requests.
    pub(super) fn shunned(&self, now: Millis, backend: &Backend) -> f64 {
        self.fault(now, backend, Fault::Failing)
    }

    /// How far it is for one.
    pub(super) fn distrust(&self, now: Millis, backend: &Backend, request: &Request) -> f64 {
        let known = [Fault::Full(request.plan), Fault::Hanging(request.class)];
        known
            .iter()
            .map(|f| self.fault(now, backend, *f))
            .fold(self.shunned(now, backend), f64::max)
    }

    /// Whether so many are ejected that the rest would be overrun, or that it is no fault of theirs.
    pub(super) fn panics(&self, now: Millis) -> bool {
        let out = self
            .ready
            .iter()
            .filter(|at| now < self.all[**at].ejected_until)
            .count();
        out as f64 > PANIC_PART * self.ready.len() as f64
    }

    /// How long a backend is ejected, the `times`th time in a row: jittered, and longer the more meet it.
    fn ejection(&self, times: u32, rng: &mut Pcg32) -> Millis {
        let others = self.ready.len().saturating_sub(1).max(1) as f64;
        let meeting = self.doors * (CIRCLE_LEAST / others).min(1.0);
        let doubled = f64::from(1 << (times - 1).min(EJECT_DOUBLINGS));
        meeting.max(EJECT_AIMS) * self.terms.aim * doubled * (0.5 + uniform(rng))
    }

    /// What an outcome tells of its backend; it may be told to the operators, and close connections.
    pub(super) fn learn(
        &mut self,
        now: Millis,
        asked: &Request,
        settled: &AttemptCompleted,
        rng: &mut Pcg32,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(at) = self.find(settled.backend) else {
            return actions;
        };
        let (class, outcome) = (asked.class, settled.outcome);
        let flight = self.all[at].out.remove(&asked.id);
        // Nothing has come from there since this attempt went out: its other connections may be as dead.
        let silent = flight.is_some_and(|flight| flight.at >= self.all[at].last_answer);
        let hung =
            flight.is_some_and(|flight| self.silent(now, &self.all[at], &flight, None) > 0.0);
        // The last attempt of a request is called off at its cut, before its own time-out.
        let slow = matches!(outcome, Outcome::Timeout | Outcome::Cancelled);
        if silent && (outcome == Outcome::Timeout || (outcome == Outcome::Cancelled && hung)) {
            actions.push(Action::CloseIdleConnections(settled.backend));
        }
        if let Some(flight) = flight.filter(|_| outcome == Outcome::Ok || (slow && !hung)) {
            let others = self.all.len().saturating_sub(1).max(1) as f64;
            self.all[at]
                .pace
                .record(PACE_MEMORY, settled.elapsed.max(0.0), flight.load);
            self.pace
                .record(PACE_MEMORY * others, settled.elapsed.max(0.0), flight.load);
        }
        self.all[at].answered.entry(class).or_insert(now);
        self.all[at].last_answer = now;
        // Guards against trouble on the way taken for sick backends: where connections break everywhere, each
        // would be set aside in turn and the rest be crowded. It costs some requests at a backend that takes
        // connections and breaks every one; a process that died refuses the next one, and that tells enough.
        let broke = if settled.broken_connections > 0 {
            Some(BREAK_STEP)
        } else {
            None
        };
        let (failing, hanging, none) = (
            Fault::Failing,
            Fault::Hanging(class),
            (Fault::Failing, 0.0, 0.0),
        );
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected) {
            self.all[at].answered.insert(class, now);
            self.blame(now, at, (hanging, 0.0, 0.5));
        } else if slow && hung {
            self.blame(now, at, (hanging, 1.0, 1.0));
        }
        let (first, second) = match outcome {
            Outcome::Ok => ((failing, 0.0, TRUST_STEP), (Fault::Errors, 0.0, TRUST_STEP)),
            Outcome::Error => ((failing, 1.0, FAULT_STEP), (Fault::Errors, 1.0, FAULT_STEP)),
            Outcome::ConnectFailed => ((failing, 1.0, broke.unwrap_or(1.0)), none),
            Outcome::Reset => ((failing, 1.0, broke.unwrap_or(FAULT_STEP)), none),
            Outcome::Timeout => ((failing, 1.0, FAULT_STEP), none),
            Outcome::Rejected => ((Fault::Full(asked.plan), 1.0, FAULT_STEP), none),
            Outcome::Cancelled | Outcome::NotSent => (none, none),
        };
        self.blame(now, at, first);
        self.blame(now, at, second);
        // Errors come sooner than work is done: unless it is left alone it would be tried most of all.
        let backend = &self.all[at];
        let (times, shunned) = (backend.ejections, self.shunned(now, backend));
        let tried = flight.is_some_and(|flight| times > 0 && flight.at >= backend.ejected_until);
        let wrong = times == 0 && self.fault(now, backend, Fault::Errors) > SET_ASIDE;
        let ejected =
            (outcome == Outcome::Error && (tried || wrong)).then(|| self.ejection(times + 1, rng));
        let backend = &mut self.all[at];
        if let Some(span) = ejected {
            (backend.ejections, backend.ejected_until) = (times + 1, now + span);
        } else if outcome == Outcome::Ok && tried {
            backend.ejections -= 1;
        }
        let aside = shunned > SET_ASIDE || (backend.set_aside && shunned >= SET_ASIDE / 2.0);
        if aside != std::mem::replace(&mut backend.set_aside, aside) {
            let what = if aside {
                format!("set aside: {outcome:?}")
            } else {
                "taken back".to_owned()
            };
            actions.push(Action::Log(format!("backend {} {what}", settled.backend.0)));
        }
        actions
    }

    /// Moves a fault of a backend toward a value, by this part of the way.
    fn blame(&mut self, now: Millis, at: usize, (fault, toward, step): (Fault, f64, f64)) {
        let halflife = self.halflife(fault);
        self.all[at]
            .faults
            .entry(fault)
            .or_default()
            .move_toward(now, halflife, toward, step);
    }

    /// Takes up the list, the whole of it or what has changed.
    pub(super) fn listed(
        &mut self,
        now: Millis,
        whole: bool,
        entries: &[BackendEntry],
        rng: &mut Pcg32,
    ) {
        if whole {
            self.all
                .iter_mut()
                .for_each(|backend| backend.entry.availability = Availability::Removed);
        }
        for entry in entries {
            let entry = BackendEntry {
                weight: in_range(entry.weight, 0.01, 1e6, 1.0),
                ..*entry
            };
            // Guards against all gateways' first requests in one instant: each has yet to earn a part.
            let debt = self.terms.set.max_units.max(1.0) * uniform(rng);
            let fresh = Backend::new(entry, now, debt);
            match self
                .all
                .binary_search_by_key(&entry.id, |backend| backend.entry.id)
            {
                Ok(at) if self.all[at].entry.started_at == entry.started_at => {
                    self.all[at].entry = entry;
                }
                Ok(at) => {
                    self.all[at] = Backend {
                        out: std::mem::take(&mut self.all[at].out),
                        ..fresh
                    }
                }
                Err(at) => self.all.insert(at, fresh),
            }
        }
        self.all
            .retain(|b| b.entry.availability != Availability::Removed || !b.out.is_empty());
        let ready = |at: &usize| self.all[*at].entry.availability == Availability::Ready;
        self.ready = (0..self.all.len()).filter(ready).collect();
    }
}
