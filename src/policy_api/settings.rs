//! Settings: the size of a deployment, its plans and classes, and what it permits. They are fixed when a gateway
//! starts.

use super::endpoint::BackendEntry;
use super::ids::{Millis, ZoneId};

/// Latency objective assumed if the settings define no class, ms.
const DEFAULT_LATENCY_OBJECTIVE: Millis = 1000.0;
/// Lower bound of [`Settings::shortest_latency_objective`], ms. Other times are multiples of that objective, so an
/// objective of zero would make all of them zero.
const MIN_LATENCY_OBJECTIVE: Millis = 1.0;

/// The backends among which a repeated request with the same idempotency key is discarded.
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
    /// The request can be executed again without harm.
    Idempotent,
    /// The request carries an idempotency key: backends within a scope discard repeated requests for a limited time.
    WithKey {
        /// The backends that discard repeated requests.
        scope: DeduplicationScope,
        /// How long backends remember a key, counted from the send of the first attempt that may have executed, ms.
        retention: Millis,
    },
    /// The request must not be executed more than once.
    NonIdempotent,
}

/// A class of requests with a common latency objective and idempotency.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Latency up to which a response earns its full priority weight, ms.
    pub latency_objective: Millis,
    /// Longest time that a client waits for the final answer, over all attempts, ms.
    pub deadline: Millis,
    /// Priority weight of each unit of a request.
    pub priority_weight: f64,
    /// Fraction of its priority weight that a response still earns after the latency objective.
    pub late_priority_weight: f64,
    /// Whether requests of this class may be executed more than once.
    pub idempotency: Idempotency,
    /// Whether responses of this class are streamed.
    pub streaming: bool,
}

/// A hard ceiling on the units that all gateways together forward for one customer, as a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ceiling {
    /// Refill rate, units per second.
    pub rate: f64,
    /// Capacity of the bucket, units.
    pub burst: f64,
    /// Units by which the ceiling may be overdrawn.
    pub slack: f64,
}

/// A plan that customers buy: a quota, and what use beyond it earns and costs.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Quota over all gateways, units per second; 0 means no quota.
    pub rate: f64,
    /// Units of the quota that may be used at once, over all gateways.
    pub burst: f64,
    /// Limit on concurrent attempts over all gateways; 0 means no limit.
    pub max_concurrency: u32,
    /// Factor on the priority weight of this plan's requests.
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
    /// Changes are pushed to the gateway without a subscription.
    Pushed,
    /// Changes arrive only in response to a subscription or a poll.
    OnRequest,
}

/// How load reports of backends reach a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportMode {
    /// Backends send no load reports.
    Off,
    /// Load reports come with every completed attempt and health check.
    Inline,
    /// Load reports come with health checks only.
    OnHealthCheck,
}

/// The settings of one gateway, fixed when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of gateways in the fleet.
    pub gateways: u32,
    /// Index of this gateway within the fleet, from 0.
    pub gateway_index: u32,
    /// Availability zone that this gateway runs in.
    pub zone: ZoneId,
    /// Shortest time between two batches of events, ms.
    pub tick: Millis,
    /// The request classes, indexed by [`ClassId`](crate::ClassId).
    pub classes: Vec<Class>,
    /// The plans, indexed by [`PlanId`](crate::PlanId).
    pub plans: Vec<Plan>,
    /// Most units that one request can take from its quota.
    pub max_units: f64,
    /// Period of the usage meter, ms; 0 if there is no meter.
    pub meter_period: Millis,
    /// How the endpoint list reaches this gateway.
    pub discovery: DiscoveryMode,
    /// How load reports reach this gateway.
    pub load_reports: LoadReportMode,
    /// Most attempts that may be sent for one request, the first one included.
    pub max_attempts: u32,
    /// Whether requests may be hedged, that is, have two attempts in flight at a time.
    pub hedging: bool,
    /// Whether the gateway may cancel attempts in flight.
    pub cancellation: bool,
    /// Whether the gateway may run health checks.
    pub health_checks: bool,
    /// Whether rejections may carry a Retry-After.
    pub retry_after: bool,
    /// Longest Retry-After that clients comply with, ms.
    pub max_retry_after: Millis,
    /// Cost of an attempt to a backend in another zone, as a fraction of the request's priority weight.
    pub cross_zone_cost: f64,
    /// Time after the client's deadline within which a final answer still counts as in time, ms.
    pub answer_slack: Millis,
    /// Grace period after a backend starts to drain or is removed, ms: no request may be sent to it afterwards.
    pub drain_grace: Millis,
    /// With [`DiscoveryMode::OnRequest`]: age up to which the endpoint list counts as current without a new poll, ms.
    pub poll_interval: Millis,
    /// Fraction of its full capacity that a backend has at least when it starts.
    pub start_capacity: f64,
    /// Longest time from a backend's start until it has its full capacity, ms.
    pub warm_up: Millis,
    /// Load at which a warming backend fails, as a multiple of its present capacity.
    pub overload_factor: f64,
    /// How long a warming backend withstands that load before it fails, ms.
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
    /// A single gateway, with conservative values for everything that is not configured: whatever needs permission is
    /// not permitted.
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
    /// The shortest latency objective of all classes, ms. Times without a setting of their own are multiples of it.
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

    /// Fraction of its full capacity that a backend has at least at the time `at`. It rises linearly from
    /// [`start_capacity`](Settings::start_capacity) to 1 within [`warm_up`](Settings::warm_up) of its start.
    pub fn slow_start_fraction(&self, at: Millis, backend: &BackendEntry) -> f64 {
        let Some(started) = backend.started_at else {
            return 1.0;
        };
        let progress = ((at - started) / self.warm_up.max(1.0)).clamp(0.0, 1.0);
        self.start_capacity + (1.0 - self.start_capacity) * progress
    }
}
