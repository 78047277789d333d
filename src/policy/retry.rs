//! Retries: how long an attempt may take, whether and where a request may be sent again, and its final deadline.

use super::pending::PendingRequest;
use super::PolicyContext;
use crate::measure::QuantileEstimator;
use crate::policy_api::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Multiple of its expected time after which an attempt is abandoned, if its request may be repeated.
const TIMEOUT_FACTOR: f64 = 8.0;
/// Minimum timeout of such an attempt, as a fraction of the latency objective of its class.
const MIN_TIMEOUT_FRACTION: f64 = 0.4;
/// Time after a connection broke in which all requests are delivered cautiously, in multiples of the shortest latency
/// objective.
const CAUTIOUS_DELIVERY_TIME: f64 = 8.0;
/// Retries added to the budget by each first attempt.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Maximum number of retries in the budget.
const MAX_RETRY_BUDGET: f64 = 10.0;
/// Fraction of a class's successful responses that are faster than the minimum time assumed for an attempt.
const FAST_RESPONSE_QUANTILE: f64 = 0.1;
/// Largest step of the estimate of that time for one response, as a fraction of the estimate.
const FAST_RESPONSE_STEP: f64 = 0.1;
/// How many ticks before a deadline the policy has to act so that the action still counts.
const DEADLINE_MARGIN_TICKS: f64 = 2.0;

/// The backends that the next attempt of a request may be sent to.
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

/// Limits the attempts of requests, by timeouts, deadlines and a retry budget. Each first attempt adds to the budget,
/// and each retry or hedge takes one retry from it.
pub(super) struct RetryPolicy {
    context: Arc<PolicyContext>,
    /// Number of retries that may be sent now; it may be fractional.
    budget: f64,
    /// When a connection to a backend last broke, ms.
    connection_broke_at: Millis,
    /// Estimate for each class of the service time that only a fraction [`FAST_RESPONSE_QUANTILE`] of its successful
    /// responses stay below, ms.
    fast_service_time: BTreeMap<ClassId, QuantileEstimator>,
}

impl RetryPolicy {
    pub(super) fn new(context: Arc<PolicyContext>) -> RetryPolicy {
        RetryPolicy {
            context,
            budget: MAX_RETRY_BUDGET,
            connection_broke_at: f64::NEG_INFINITY,
            fast_service_time: BTreeMap::new(),
        }
    }

    fn class(&self, pending: &PendingRequest) -> &Class {
        self.context.class(pending.request.class)
    }

    /// Latest time at which a request gets its final answer, ms. Where a response after the latency objective earns
    /// nothing, it is the end of the latency objective at the latest.
    pub(super) fn final_deadline(&self, pending: &PendingRequest) -> Millis {
        let class = self.class(pending);
        let request = &pending.request;
        let client_deadline = request.deadline - DEADLINE_MARGIN_TICKS * self.context.settings.tick;
        if class.late_priority_weight > 0.0 {
            return client_deadline;
        }
        client_deadline.min(pending.arrived_at - request.queued_for + class.latency_objective)
    }

    /// Whether an attempt that is sent now can end before the final deadline of its request.
    pub(super) fn has_time_for_attempt(&self, now: Millis, pending: &PendingRequest) -> bool {
        let fast_service_time = self
            .fast_service_time
            .get(&pending.request.class)
            .map_or(0.0, QuantileEstimator::estimate);
        self.final_deadline(pending) - now > fast_service_time.max(self.context.settings.tick)
    }

    /// Observes the service time of a successful response.
    pub(super) fn observe_service_time(&mut self, class: ClassId, elapsed: Millis) {
        self.fast_service_time
            .entry(class)
            .or_insert(QuantileEstimator::new(elapsed / 2.0))
            .observe(elapsed, FAST_RESPONSE_QUANTILE, FAST_RESPONSE_STEP);
    }

    /// Records that a connection to a backend broke.
    pub(super) fn record_broken_connection(&mut self, now: Millis) {
        self.connection_broke_at = now;
    }

    /// Adds [`RETRIES_PER_REQUEST`] to the retry budget, for a first attempt.
    pub(super) fn deposit(&mut self) {
        self.budget = (self.budget + RETRIES_PER_REQUEST).min(MAX_RETRY_BUDGET);
    }

    /// Takes one retry from the budget.
    pub(super) fn withdraw(&mut self) {
        self.budget -= 1.0;
    }

    /// Whether a request may have one more attempt.
    pub(super) fn may_retry(&self, now: Millis, pending: &PendingRequest) -> bool {
        self.has_time_for_attempt(now, pending)
            && self.budget >= 1.0
            && pending.attempts_sent < self.context.settings.max_attempts
    }

    /// The timeout of an attempt whose expected time is `expected`, ms. An attempt that may be repeated is abandoned
    /// while there is time for another one with the same timeout, so that an attempt that hangs does not use up all of
    /// the time. The last attempt gets the time that remains: its timeout is infinite here, and the caller limits it.
    pub(super) fn attempt_timeout(
        &self,
        now: Millis,
        pending: &PendingRequest,
        expected: Millis,
        has_capacity_for_retries: bool,
    ) -> Millis {
        let class = self.class(pending);
        let timeout =
            (TIMEOUT_FACTOR * expected).max(MIN_TIMEOUT_FRACTION * class.latency_objective);
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

    /// How a request is written, to guard against connections that are broken unnoticed, pooled or in between. Each
    /// such connection would lose a request that must not execute twice. Other requests can be repeated, and caution
    /// costs each of them a round trip, so they are delivered cautiously only for a while after a connection broke.
    pub(super) fn delivery(&self, now: Millis, pending: &PendingRequest) -> DeliveryMode {
        let cautious_delivery_time = CAUTIOUS_DELIVERY_TIME * self.context.latency_objective;
        match self.class(pending).idempotency {
            Idempotency::NonIdempotent => DeliveryMode::Once,
            _ if now - self.connection_broke_at < cautious_delivery_time => DeliveryMode::Cautious,
            _ => DeliveryMode::Normal,
        }
    }

    /// When the backends forget the idempotency key of a request, less a margin, ms. `None` if the request has no key
    /// or no attempt that may have executed. An attempt in flight counts as executed.
    pub(super) fn key_expires_at(&self, pending: &PendingRequest) -> Option<Millis> {
        let Idempotency::WithKey { retention, .. } = self.class(pending).idempotency else {
            return None;
        };
        let first_sent = pending
            .first_executed
            .iter()
            .chain(&pending.in_flight)
            .map(|attempt| attempt.sent_at)
            .reduce(f64::min)?;
        Some(first_sent + retention - DEADLINE_MARGIN_TICKS * self.context.settings.tick)
    }

    /// The backends that a request may be sent to after its attempts so far. An attempt in flight counts as executed.
    pub(super) fn scope(&self, now: Millis, pending: &PendingRequest) -> RetryScope {
        let Some(executed) = pending
            .first_executed
            .as_ref()
            .or(pending.in_flight.first())
        else {
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
