//! Attempts: how long one is waited for, when and where a request is sent again, and when it is given up.

use super::Terms;
use crate::measure::QuantileEstimator;
use crate::policy_api::*;
use std::collections::BTreeMap;
use std::sync::Arc;

const HUNG: f64 = 8.0; // times what it should take after which an attempt that may be repeated is given up
const HUNG_AIMS: f64 = 0.4; // least time that such an attempt gets, as a part of its aim
const CAUTION_AIMS: f64 = 8.0; // shortest aims after a connection broke in which all are sent with caution
const RETRY_SHARE: f64 = 0.2; // further attempts allowed for each first attempt
const RETRY_DEPTH: f64 = 10.0; // further attempts saved up at most
const QUICKEST: f64 = 0.1; // part of a class's answers that came sooner than the least time for an attempt
const QUICK_STEP: f64 = 0.1; // how far one answer moves that time, as a part of it

/// An attempt that is out: its number, its backend, and when and where it was sent.
#[derive(Clone, Copy)]
pub(super) struct Try {
    pub attempt: u32,
    pub to: BackendId,
    pub at: Millis,
    pub zone: ZoneId,
    pub cell: CellId,
}

/// A request that has no final answer yet, or whose last attempt is still out.
#[derive(Clone)]
pub(super) struct Live {
    pub request: Request,
    pub arrived: Millis,
    pub sends: u32,
    pub out: Vec<Try>,    // two while a second copy runs
    pub ran: Option<Try>, // the attempt sent first of those that ended and may have run
    pub started: bool,    // its streamed answer has
    pub answered: bool,   // whatever is still out, its client has its final answer
    pub slow: bool,       // it is known to be
}

impl Live {
    pub(super) fn new(request: Request, arrived: Millis) -> Live {
        let (started, answered, slow) = (false, false, false);
        Live {
            request,
            arrived,
            sends: 0,
            out: Vec::new(),
            ran: None,
            started,
            answered,
            slow,
        }
    }
}

/// Where a request may be sent next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Reach {
    Anywhere,
    Zone(ZoneId),
    Cell(CellId),
    Nowhere,
}

impl Reach {
    pub(super) fn holds(self, entry: &BackendEntry) -> bool {
        self == Reach::Anywhere
            || self == Reach::Zone(entry.zone)
            || self == Reach::Cell(entry.cell)
    }
}

/// The requests at hand, and what bounds their attempts.
pub(super) struct Attempts {
    terms: Arc<Terms>,
    pub live: BTreeMap<RequestId, Live>,
    pub retries: f64,
    pub broke_at: Millis, // when a connection to a backend broke last
    quick: BTreeMap<ClassId, QuantileEstimator>, // the time that few good answers came within, after the first
}

impl Attempts {
    pub(super) fn new(terms: Arc<Terms>) -> Attempts {
        let (live, quick) = (BTreeMap::new(), BTreeMap::new());
        Attempts {
            terms,
            live,
            retries: RETRY_DEPTH,
            broke_at: f64::NEG_INFINITY,
            quick,
        }
    }

    /// A request that nothing has been answered to yet.
    pub(super) fn waiting(&self, id: RequestId) -> Option<&Live> {
        self.live
            .get(&id)
            .filter(|live| !live.answered && !live.started)
    }

    fn class(&self, live: &Live) -> &Class {
        &self.terms.set.classes[live.request.class.0]
    }

    /// When a request gets its final answer at the latest: with its aim where later is worth nothing.
    pub(super) fn cut(&self, live: &Live) -> Millis {
        let class = self.class(live);
        let aim = live.arrived - live.request.queued_for + class.latency_objective;
        let last = live.request.deadline - 2.0 * self.terms.set.tick;
        last.min(if class.late_priority_weight > 0.0 {
            last
        } else {
            aim
        })
    }

    /// Whether an attempt begun now can end in what is left of its request's time.
    pub(super) fn fits(&self, now: Millis, live: &Live) -> bool {
        let quick = self
            .quick
            .get(&live.request.class)
            .map_or(0.0, QuantileEstimator::estimate);
        self.cut(live) - now > quick.max(self.terms.set.tick)
    }

    /// The time of few good answers of a class, moved by one that took `elapsed`.
    pub(super) fn observe_service(&mut self, class: ClassId, elapsed: Millis) {
        let quick = self
            .quick
            .entry(class)
            .or_insert(QuantileEstimator::new(elapsed / 2.0));
        quick.observe(elapsed, QUICKEST, QUICK_STEP);
    }

    pub(super) fn earn_retries(&mut self) {
        self.retries = (self.retries + RETRY_SHARE).min(RETRY_DEPTH);
    }

    pub(super) fn may_send_again(&self, now: Millis, live: &Live) -> bool {
        self.fits(now, live) && self.retries >= 1.0 && live.sends < self.terms.set.max_attempts
    }

    /// How long an attempt that should take `expected` is waited for. One that may be repeated is given up
    /// while another still has as much time, so that a hung one does not use all; the last gets the rest.
    pub(super) fn patience(
        &self,
        now: Millis,
        live: &Live,
        expected: Millis,
        calm: bool,
    ) -> Millis {
        let class = self.class(live);
        let again = matches!(class.idempotency, Idempotency::Idempotent)
            || matches!(class.idempotency, Idempotency::WithKey { scope: DeduplicationScope::All, retention } if retention > class.latency_objective);
        let limit = (HUNG * expected).max(HUNG_AIMS * class.latency_objective);
        let fits =
            2.0 * limit <= self.cut(live) - now && live.sends + 1 < self.terms.set.max_attempts;
        if again && fits && calm && self.retries >= 1.0 {
            limit
        } else {
            f64::INFINITY
        }
    }

    /// Guards against connections that are dead unseen, in pools or between: a request that must not be run
    /// again is lost with each. Others can be repeated; caution costs each the time of a way there and back.
    pub(super) fn delivery(&self, now: Millis, live: &Live) -> DeliveryMode {
        match self.class(live).idempotency {
            Idempotency::NonIdempotent => DeliveryMode::Once,
            _ if now - self.broke_at < CAUTION_AIMS * self.terms.aim => DeliveryMode::Cautious,
            _ => DeliveryMode::Normal,
        }
    }

    /// When the key of what has run is forgotten, an attempt that is out being taken to run.
    pub(super) fn key_expires(&self, live: &Live) -> Option<Millis> {
        let Idempotency::WithKey {
            retention: memory, ..
        } = self.class(live).idempotency
        else {
            return None;
        };
        let first = live
            .ran
            .iter()
            .chain(&live.out)
            .map(|sent| sent.at)
            .reduce(f64::min)?;
        Some(first + memory - 2.0 * self.terms.set.tick)
    }

    /// Where a request may be sent after what has happened to it, an attempt that is out being taken to run.
    pub(super) fn reach(&self, now: Millis, live: &Live) -> Reach {
        let Some(ran) = live.ran.as_ref().or(live.out.first()) else {
            return Reach::Anywhere;
        };
        match self.class(live).idempotency {
            Idempotency::Idempotent => Reach::Anywhere,
            Idempotency::NonIdempotent => Reach::Nowhere,
            _ if self.key_expires(live).is_some_and(|expires| now >= expires) => Reach::Nowhere,
            Idempotency::WithKey {
                scope: DeduplicationScope::All,
                ..
            } => Reach::Anywhere,
            Idempotency::WithKey {
                scope: DeduplicationScope::Zone,
                ..
            } => Reach::Zone(ran.zone),
            Idempotency::WithKey {
                scope: DeduplicationScope::Cell,
                ..
            } => Reach::Cell(ran.cell),
        }
    }
}
