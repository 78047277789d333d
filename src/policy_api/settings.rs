//! Settings: what a deployment permits and how it is shaped, fixed when a gateway starts.

use super::endpoint::BackendEntry;
use super::ids::{Millis, ZoneId};

/// Latency objective assumed where the settings have no class, ms.
const DEFAULT_LATENCY_OBJECTIVE: Millis = 1000.0;
/// Shortest latency objective that times are scaled by, ms: an objective of zero would make all of them zero.
const MIN_LATENCY_OBJECTIVE: Millis = 1.0;

/// The backends that discard a repeated request with the same idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every backend.
    All,
    /// The backends in the zone of the first attempt.
    Zone,
    /// The backends in the cell of the first attempt.
    Cell,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Executing it again is harmless.
    Idempotent,
    /// It carries an idempotency key: repeats are discarded within a scope, for a limited time.
    WithKey {
        /// The backends that discard repeats.
        scope: DeduplicationScope,
        /// How long a key is remembered, in ms from the send of the first attempt that may have executed.
        retention: Millis,
    },
    /// It must never be executed twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Latency within which a response earns its full priority weight, ms.
    pub latency_objective: Millis,
    /// Longest time that a client waits, over all its attempts, ms.
    pub deadline: Millis,
    /// Priority weight of one unit.
    pub priority_weight: f64,
    /// Fraction of the priority weight that a response after the latency objective still earns.
    pub late_priority_weight: f64,
    /// Whether its requests may be executed more than once.
    pub idempotency: Idempotency,
    /// Whether its responses are streamed.
    pub streaming: bool,
}

/// A hard ceiling on what all gateways together forward for one customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ceiling {
    /// Refill rate, units a second.
    pub rate: f64,
    /// Capacity, units.
    pub burst: f64,
    /// Units by which the ceiling may be overdrawn.
    pub slack: f64,
}

/// A plan that customers buy.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Quota over all gateways, units a second; 0 means no quota.
    pub rate: f64,
    /// Units of quota that may be used at once.
    pub burst: f64,
    /// Concurrent attempts that the quota covers, over all gateways; 0 means no such limit.
    pub max_concurrency: u32,
    /// Factor on the priority weight of a request.
    pub weight_factor: f64,
    /// Fraction of its priority weight that a request forwarded beyond the quota earns.
    pub over_quota_weight: f64,
    /// Fraction of its priority weight that a request forwarded beyond the quota costs.
    pub over_quota_cost: f64,
    /// The hard ceiling, if the plan has one.
    pub ceiling: Option<Ceiling>,
}

/// How the endpoint list reaches a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes arrive without a request.
    Pushed,
    /// Changes arrive only after a subscription or a poll.
    OnRequest,
}

/// How load reports of backends reach a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportMode {
    /// Not at all.
    Off,
    /// With every completed attempt and health check.
    Inline,
    /// With health checks only.
    OnHealthCheck,
}

/// What a deployment permits and how it is shaped, fixed when a gateway starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of gateways in this tier.
    pub gateways: u32,
    /// Index of this gateway among them, from 0.
    pub gateway_index: u32,
    /// Zone of this gateway.
    pub zone: ZoneId,
    /// Shortest time between two batches of events, ms.
    pub tick: Millis,
    /// The request classes, indexed by [`ClassId`](crate::ClassId).
    pub classes: Vec<Class>,
    /// The plans, indexed by [`PlanId`](crate::PlanId).
    pub plans: Vec<Plan>,
    /// Most units that one request counts.
    pub max_units: f64,
    /// Period of the usage meter, ms; 0 means that there is no meter.
    pub meter_period: Millis,
    /// How the endpoint list arrives.
    pub discovery: DiscoveryMode,
    /// How load reports arrive.
    pub load_reports: LoadReportMode,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Whether a request may be hedged: have two attempts in flight at a time.
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether health checks are permitted.
    pub health_checks: bool,
    /// Whether rejections may carry a Retry-After.
    pub retry_after: bool,
    /// Longest Retry-After that clients follow, ms.
    pub max_retry_after: Millis,
    /// Cost of an attempt that crosses zones, as a fraction of a request's priority weight.
    pub cross_zone_cost: f64,
    /// Time after the client's deadline in which a final answer still counts, ms.
    pub answer_slack: Millis,
    /// Grace period within which sends to a draining or removed backend must stop, ms.
    pub drain_grace: Millis,
    /// With [`DiscoveryMode::OnRequest`]: age up to which a list that was not polled counts as known, ms.
    pub poll_interval: Millis,
    /// Least fraction of its capacity with which a backend starts.
    pub start_capacity: f64,
    /// Longest time until a started backend has its full capacity, ms.
    pub warm_up: Millis,
    /// Multiple of its present capacity at which a warming backend fails.
    pub overload_factor: f64,
    /// How long a warming backend bears that multiple before it fails, ms.
    pub overload_window: Millis,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            latency_objective: 1000.0,
            deadline: 2000.0,
            priority_weight: 1.0,
            late_priority_weight: 0.0,
            idempotency: Idempotency::NonIdempotent,
            streaming: false,
        }
    }
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            rate: 0.0,
            burst: 0.0,
            max_concurrency: 0,
            weight_factor: 1.0,
            over_quota_weight: 0.0,
            over_quota_cost: 0.0,
            ceiling: None,
        }
    }
}

impl Default for Settings {
    /// One gateway, and the most careful assumption about everything that is not configured: whatever needs
    /// permission is not permitted.
    fn default() -> Self {
        Settings {
            gateways: 1,
            gateway_index: 0,
            zone: ZoneId(0),
            tick: 1.0,
            classes: Vec::new(),
            plans: Vec::new(),
            max_units: 1.0,
            meter_period: 0.0,
            discovery: DiscoveryMode::Pushed,
            load_reports: LoadReportMode::Off,
            max_attempts: 1,
            hedging: false,
            cancellation: false,
            health_checks: false,
            retry_after: false,
            max_retry_after: 0.0,
            cross_zone_cost: 0.0,
            answer_slack: 0.0,
            drain_grace: 0.0,
            poll_interval: 10_000.0,
            start_capacity: 0.1,
            warm_up: 30_000.0,
            overload_factor: 2.0,
            overload_window: 1000.0,
        }
    }
}

impl Settings {
    /// The shortest latency objective of a class, ms: the scale of all times that are not configured.
    pub fn shortest_latency_objective(&self) -> Millis {
        let shortest = self
            .classes
            .iter()
            .map(|class| class.latency_objective)
            .fold(f64::INFINITY, f64::min);
        if shortest.is_finite() {
            shortest.max(MIN_LATENCY_OBJECTIVE)
        } else {
            DEFAULT_LATENCY_OBJECTIVE
        }
    }

    /// Fraction of its capacity that a backend has at least at a time: it rises linearly from
    /// [`start_capacity`](Settings::start_capacity) to 1 within [`warm_up`](Settings::warm_up) of its start.
    pub fn slow_start_fraction(&self, at: Millis, backend: &BackendEntry) -> f64 {
        let Some(started) = backend.started_at else {
            return 1.0;
        };
        let progress = ((at - started) / self.warm_up.max(1.0)).clamp(0.0, 1.0);
        self.start_capacity + (1.0 - self.start_capacity) * progress
    }
}
