//! Retries: how long an attempt may take, whether and where a request may be sent again, and its final deadline.

use super::pending::PendingRequest;
use super::PolicyContext;
use crate::measure::QuantileEstimator;
use crate::policy_api::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Multiple of its expected time after which an attempt that may be repeated is abandoned.
const TIMEOUT_FACTOR: f64 = 8.0;
/// Least timeout of such an attempt, as a fraction of its latency objective.
const MIN_TIMEOUT: f64 = 0.4;
/// Shortest latency objectives after a connection broke in which all requests are written cautiously.
const CAUTION_TIME: f64 = 8.0;
/// Retries earned by each first attempt.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Most retries saved up.
const MAX_RETRY_BUDGET: f64 = 10.0;
/// Fraction of a class's responses that came sooner than the least time for an attempt.
const FAST_FRACTION: f64 = 0.1;
/// Largest step of that time for one response, as a fraction of it.
const FAST_STEP: f64 = 0.1;
/// Ticks before a deadline at which the policy has to act, so that the action still counts.
const DEADLINE_TICKS: f64 = 2.0;

/// The backends that a request may be sent to next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RetryScope {
    Anywhere,
    Zone(ZoneId),
    Cell(CellId),
    Nowhere,
}

impl RetryScope {
    pub(super) fn contains(self, entry: &BackendEntry) -> bool {
        self == RetryScope::Anywhere
            || self == RetryScope::Zone(entry.zone)
            || self == RetryScope::Cell(entry.cell)
    }
}

/// What bounds the attempts of requests.
pub(super) struct RetryPolicy {
    context: Arc<PolicyContext>,
    /// Retries that may be sent now.
    budget: f64,
    /// When a connection to a backend last broke, ms.
    connection_broke_at: Millis,
    /// Per class, the time within which few good responses came, ms.
    fast_service: BTreeMap<ClassId, QuantileEstimator>,
}

impl RetryPolicy {
    pub(super) fn new(context: Arc<PolicyContext>) -> RetryPolicy {
        RetryPolicy {
            context,
            budget: MAX_RETRY_BUDGET,
            connection_broke_at: f64::NEG_INFINITY,
            fast_service: BTreeMap::new(),
        }
    }

    fn class(&self, pending: &PendingRequest) -> &Class {
        self.context.class(pending.request.class)
    }

    /// When a request gets its final answer at the latest, ms: at its latency objective where a later response
    /// earns nothing.
    pub(super) fn final_deadline(&self, pending: &PendingRequest) -> Millis {
        let class = self.class(pending);
        let request = &pending.request;
        let last = request.deadline - DEADLINE_TICKS * self.context.settings.tick;
        if class.late_priority_weight > 0.0 {
            return last;
        }
        last.min(pending.arrived_at - request.queued_for + class.latency_objective)
    }

    /// Whether an attempt that is sent now can end before its request's final deadline.
    pub(super) fn has_time(&self, now: Millis, pending: &PendingRequest) -> bool {
        let fast_service = self
            .fast_service
            .get(&pending.request.class)
            .map_or(0.0, QuantileEstimator::estimate);
        self.final_deadline(pending) - now > fast_service.max(self.context.settings.tick)
    }

    /// Observes the service time of a good response.
    pub(super) fn observe_service_time(&mut self, class: ClassId, elapsed: Millis) {
        self.fast_service
            .entry(class)
            .or_insert(QuantileEstimator::new(elapsed / 2.0))
            .observe(elapsed, FAST_FRACTION, FAST_STEP);
    }

    /// Records that a connection to a backend broke.
    pub(super) fn connection_broke(&mut self, now: Millis) {
        self.connection_broke_at = now;
    }

    /// Adds to the retry budget what a first attempt earns.
    pub(super) fn earn(&mut self) {
        self.budget = (self.budget + RETRIES_PER_REQUEST).min(MAX_RETRY_BUDGET);
    }

    /// Takes one retry from the budget.
    pub(super) fn spend(&mut self) {
        self.budget -= 1.0;
    }

    /// Whether a request may have one more attempt.
    pub(super) fn may_retry(&self, now: Millis, pending: &PendingRequest) -> bool {
        self.has_time(now, pending)
            && self.budget >= 1.0
            && pending.attempts_sent < self.context.settings.max_attempts
    }

    /// The timeout of an attempt that is expected to take `expected`, ms. One that may be repeated is abandoned
    /// while another still has as much time, so that a hanging one does not use all of it; the last gets the rest,
    /// which an infinite timeout stands for.
    pub(super) fn attempt_timeout(
        &self,
        now: Millis,
        pending: &PendingRequest,
        expected: Millis,
        has_capacity_for_retries: bool,
    ) -> Millis {
        let class = self.class(pending);
        let timeout = (TIMEOUT_FACTOR * expected).max(MIN_TIMEOUT * class.latency_objective);
        let has_time_for_two = 2.0 * timeout <= self.final_deadline(pending) - now;
        let has_attempt_left = pending.attempts_sent + 1 < self.context.settings.max_attempts;
        let may_repeat = is_repeatable_anywhere(class)
            && has_time_for_two
            && has_attempt_left
            && has_capacity_for_retries
            && self.budget >= 1.0;
        if may_repeat {
            timeout
        } else {
            f64::INFINITY
        }
    }

    /// How a request is written, against connections that are broken unnoticed, pooled or in between: each would
    /// lose a request that must not execute twice. Others can be repeated, and caution costs each a round trip.
    pub(super) fn delivery(&self, now: Millis, pending: &PendingRequest) -> DeliveryMode {
        let caution_time = CAUTION_TIME * self.context.latency_objective;
        match self.class(pending).idempotency {
            Idempotency::NonIdempotent => DeliveryMode::Once,
            _ if now - self.connection_broke_at < caution_time => DeliveryMode::Cautious,
            _ => DeliveryMode::Normal,
        }
    }

    /// When the idempotency key of what has executed is forgotten, ms. An attempt in flight counts as executed.
    pub(super) fn key_expires_at(&self, pending: &PendingRequest) -> Option<Millis> {
        let Idempotency::WithKey { retention, .. } = self.class(pending).idempotency else {
            return None;
        };
        let first_sent = pending
            .executed
            .iter()
            .chain(&pending.in_flight)
            .map(|attempt| attempt.sent_at)
            .reduce(f64::min)?;
        Some(first_sent + retention - DEADLINE_TICKS * self.context.settings.tick)
    }

    /// The backends that a request may be sent to after its attempts so far. An attempt in flight counts as
    /// executed.
    pub(super) fn scope(&self, now: Millis, pending: &PendingRequest) -> RetryScope {
        let Some(executed) = pending.executed.as_ref().or(pending.in_flight.first()) else {
            return RetryScope::Anywhere;
        };
        let scope = match self.class(pending).idempotency {
            Idempotency::Idempotent => return RetryScope::Anywhere,
            Idempotency::NonIdempotent => return RetryScope::Nowhere,
            Idempotency::WithKey { scope, .. } => scope,
        };
        if self
            .key_expires_at(pending)
            .is_some_and(|expires_at| now >= expires_at)
        {
            return RetryScope::Nowhere;
        }
        match scope {
            DeduplicationScope::All => RetryScope::Anywhere,
            DeduplicationScope::Zone => RetryScope::Zone(executed.zone),
            DeduplicationScope::Cell => RetryScope::Cell(executed.cell),
        }
    }
}

/// Whether a request may be sent to any backend while an earlier attempt may still execute.
fn is_repeatable_anywhere(class: &Class) -> bool {
    match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::WithKey {
            scope: DeduplicationScope::All,
            retention,
        } => retention > class.latency_objective,
        Idempotency::WithKey { .. } | Idempotency::NonIdempotent => false,
    }
}
