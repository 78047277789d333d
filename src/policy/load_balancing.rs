//! Load balancing: maintains the subset of the backends that this gateway sends to, and selects a backend for each
//! request.

use super::backends::{Backend, BackendSet, MIN_SUBSET};
use super::demand::{Demand, HALFLIVES_PER_WARM_UP};
use super::outlier_detection::NEGLIGIBLE_FAULT;
use super::pending::PendingRequest;
use super::retry::RetryScope;
use super::PolicyContext;
use crate::measure::uniform;
use crate::policy_api::*;
use rand_pcg::Pcg32;
use std::sync::Arc;

/// Minimum number of gateways that use each backend, on average. With this many gateways or fewer, each uses all
/// backends.
const GATEWAYS_PER_BACKEND: f64 = 4.0;
/// How far outside a gateway's own range of the ring of backends (see [`LoadBalancer::subset`]) a present member may
/// lie and still be kept, on either side, as a fraction of the target size of the subset.
const SUBSET_SLACK: f64 = 0.25;
/// Average number of units that a gateway has in flight at each backend below which its own load says little about how
/// busy a backend is. The selection then follows the units that each backend has accrued in its
/// [`SlowStartBudget`](super::slow_start::SlowStartBudget).
const SPARSE_TRAFFIC_LOAD: f64 = 0.2;
/// Exponent that sets how fast the influence of the budgets declines above [`SPARSE_TRAFFIC_LOAD`].
const SPARSE_TRAFFIC_POWER: i32 = 4;
/// Queueing delay that sending to another zone counts as, in multiples of the shortest latency objective, if the
/// cross-zone cost is 1.
const CROSS_ZONE_DELAY: f64 = 10.0;
/// Largest random fraction added to each cost, so that gateways do not all select the same backend.
const COST_JITTER: f64 = 0.05;
/// Factor on a backend's fault score for a request that must not execute twice.
const NON_IDEMPOTENT_FAULT_FACTOR: f64 = 2.0;
/// Minimum capacity and weight that rates are divided by, so that no divisor is zero, in warm backends of weight 1.
const MIN_CAPACITY: f64 = 0.01;

/// Minimum demand that the time to the next request is computed from, so that no divisor is zero, in units a second.
const MIN_DEMAND: f64 = 1e-6;

/// The backend selected for a request.
#[derive(Clone, Copy)]
pub(super) struct Selection {
    pub backend: BackendId,
    /// Expected queueing delay at the backend, ms.
    pub queue_delay: Millis,
    /// Expected time per unit of load at the backend, ms.
    pub unit_time: Millis,
    /// Rate that a warm backend of weight 1 gets from this gateway, units a second.
    pub warm_backend_rate: f64,
}

/// A request that needs a backend, with what the selection depends on.
pub(super) struct SelectionRequest<'a> {
    pub now: Millis,
    pub pending: &'a PendingRequest,
    pub scope: RetryScope,
    pub backends: &'a BackendSet,
}

/// A backend that may be selected, with the expected cost of sending the request to it.
struct Candidate {
    cost: Millis,
    selection: Selection,
}

/// Maintains this gateway's subset of the backends, and selects the backend for each request.
pub(super) struct LoadBalancer {
    context: Arc<PolicyContext>,
    demand: Demand,
    /// Members of the subset at `updated_at`.
    subset: Vec<BackendId>,
    updated_at: Millis,
    /// Actions that open connections in advance; the engine returns them after each event.
    pub preconnects: Vec<Action>,
}

impl LoadBalancer {
    pub(super) fn new(context: Arc<PolicyContext>) -> LoadBalancer {
        LoadBalancer {
            demand: Demand::new(context.clone()),
            context,
            subset: Vec::new(),
            updated_at: 0.0,
            preconnects: Vec::new(),
        }
    }

    /// Records a request that is within its customer's quota.
    pub(super) fn record_demand(&mut self, now: Millis, request: &Request) {
        self.demand.record(now, request);
    }

    /// Records that a request within its customer's quota is rejected for lack of capacity.
    pub(super) fn record_rejection(&mut self, now: Millis) {
        self.demand.record_rejection(now);
    }

    /// Records units that were served within their latency objective.
    pub(super) fn record_served(&mut self, now: Millis, units: f64) {
        self.demand.record_served(now, units);
    }

    /// How sparse this gateway's traffic to `count` backends is, from 0 to 1. At 1 it has so few attempts in flight at
    /// each backend that its own load says nothing about how busy the backends are.
    fn traffic_sparsity(&self, now: Millis, count: usize, backends: &BackendSet) -> f64 {
        let load = self.demand.offered_rate(now) * backends.mean_unit_time() / 1000.0;
        let load_each = load / count.max(1) as f64;
        1.0 / (1.0 + (load_each / SPARSE_TRAFFIC_LOAD).powi(SPARSE_TRAFFIC_POWER))
    }

    /// The fraction of the load on `count` backends that this gateway cannot infer from its own attempts: the fraction
    /// that other gateways send, multiplied by the sparsity of this gateway's traffic.
    fn unobserved_load_fraction(&self, now: Millis, count: usize, backends: &BackendSet) -> f64 {
        let other_gateways_share = 1.0 - 1.0 / self.context.gateways;
        other_gateways_share * self.traffic_sparsity(now, count, backends)
    }

    /// Selects the backend with the least expected cost: a member of the subset if any may be sent the request, else
    /// any other backend that accepts requests. Returns `None` if no backend may be sent it.
    pub(super) fn select(
        &mut self,
        request: &SelectionRequest,
        rng: &mut Pcg32,
    ) -> Option<Selection> {
        let backends = request.backends;
        let subset = self.update_subset(request.now, backends, rng);
        if request.scope == RetryScope::Nowhere {
            return None;
        }
        let warm_backend_rate = self.warm_backend_rate(request, &subset);
        self.select_least_cost(request, warm_backend_rate, &subset, rng)
            .or_else(|| self.select_least_cost(request, warm_backend_rate, &backends.ready, rng))
    }

    /// Computes the subset of the backends for a gateway whose present members are `members`, as indices in
    /// `backends.all`.
    ///
    /// If each of many gateways used every backend, a gateway would open a connection to each, use it once and close it
    /// as idle, and would get too few responses from each backend to select by. So each gateway uses a range of the
    /// ring of backends. The ring is sorted by backend id, so it is the same at all gateways; the range starts at a
    /// position given by the gateway's index, so that each backend is used by about the same number of gateways. A
    /// warming backend counts as a fraction and an unhealthy one as zero, and the range is extended to make up for
    /// them.
    ///
    /// Each change of the endpoint list moves all positions. Present members are therefore kept first, as long as they
    /// lie in or near the range: otherwise the gateway would have to open its connections anew.
    fn subset(&self, now: Millis, members: &[BackendId], backends: &BackendSet) -> Vec<usize> {
        let settings = &self.context.settings;
        let count = backends.ready.len();
        let gateways = self.context.gateways;
        let target_capacity = (GATEWAYS_PER_BACKEND * count as f64 / gateways).max(MIN_SUBSET);
        let slack = ((SUBSET_SLACK * target_capacity) as usize).min(count);
        let own_position = f64::from(settings.gateway_index % settings.gateways.max(1)) / gateways;
        let first = (own_position * count as f64) as usize + count - slack;
        let at_position = |position: usize| backends.ready[(first + position) % count];

        let mut is_member = vec![false; backends.all.len()];
        for index in members.iter().filter_map(|id| backends.find(*id)) {
            is_member[index] = true;
        }
        let retention_range = (members.len().max(target_capacity as usize) + 2 * slack).min(count);
        let is_retained =
            |position: &usize| *position < retention_range && is_member[at_position(*position)];
        let others = (slack..count)
            .chain(0..slack)
            .filter(|position| !is_retained(position));

        let mut subset = Vec::new();
        let mut capacity = 0.0;
        for position in (0..retention_range).filter(is_retained).chain(others) {
            if capacity >= target_capacity {
                break;
            }
            let index = at_position(position);
            subset.push(index);
            let backend = &backends.all[index];
            if self.is_healthy(now, backend) {
                capacity += settings.slow_start_fraction(now, &backend.entry);
            }
        }
        subset
    }

    fn is_healthy(&self, now: Millis, backend: &Backend) -> bool {
        !backend.faults.has_ejections() && backend.faults.failure_score(now) <= NEGLIGIBLE_FAULT
    }

    /// Updates the subset and returns it as indices in `backends.all`. A new member gets a connection in advance if a
    /// request is expected there soon.
    ///
    /// From time to time the gateway drops one member outside its own range of the ring. Otherwise a new backend would
    /// get no requests from any gateway if its neighbours are all kept as members. The drops are spread over about the
    /// time of a warm-up.
    fn update_subset(&mut self, now: Millis, backends: &BackendSet, rng: &mut Pcg32) -> Vec<usize> {
        let subset = self.subset(now, &self.subset, backends);
        self.preconnect_new_members(now, &subset, backends);
        self.subset = subset
            .iter()
            .map(|index| backends.all[*index].entry.id)
            .collect();
        let warm_up = self.context.settings.warm_up.max(1.0);
        let drop_probability = HALFLIVES_PER_WARM_UP * (now - self.updated_at) / warm_up;
        self.updated_at = now;
        if uniform(rng) < drop_probability {
            let fresh_subset = self.subset(now, &[], backends);
            let outside = subset
                .iter()
                .position(|index| !fresh_subset.contains(index));
            if let Some(position) = outside {
                self.subset.remove(position);
            }
        }
        subset
    }

    fn preconnect_new_members(&mut self, now: Millis, subset: &[usize], backends: &BackendSet) {
        let demand = self.demand.offered_rate(now);
        let demand_each = demand / subset.len().max(1) as f64;
        let within = 1000.0 / demand_each.max(MIN_DEMAND);
        if within >= self.context.settings.warm_up / HALFLIVES_PER_WARM_UP {
            return;
        }
        for index in subset {
            let backend = backends.all[*index].entry.id;
            if !self.subset.contains(&backend) {
                self.preconnects
                    .push(Action::Preconnect { backend, within });
            }
        }
    }

    /// Rate that a warm backend of weight 1 gets from this gateway, units a second. Warming backends get less, so warm
    /// ones get more, but never so much that a backend would be overloaded when all are warming up.
    fn warm_backend_rate(&self, request: &SelectionRequest, subset: &[usize]) -> f64 {
        let settings = &self.context.settings;
        let now = request.now;
        let mut weight = 0.0;
        let mut capacity = 0.0;
        for index in subset {
            let entry = &request.backends.all[*index].entry;
            weight += entry.weight;
            capacity += entry.weight * settings.slow_start_fraction(now, entry);
        }
        let unobserved_fraction =
            self.unobserved_load_fraction(now, subset.len(), request.backends);
        let limit =
            self.forwarding_limit(now, unobserved_fraction) / f64::max(weight, MIN_CAPACITY);
        let rate = self.demand.offered_rate(now) / f64::max(capacity, MIN_CAPACITY);
        rate.min(limit)
    }

    /// Maximum rate that this gateway sends to the backends of its subset if all are warm, units a second.
    ///
    /// A warming backend can serve its slow-start fraction of its full capacity, times the overload factor, but demand
    /// may exceed that capacity. For the fraction of the load that this gateway cannot observe, the overload factor
    /// therefore applies only to the rate that backends have served, and a retried request counts once.
    fn forwarding_limit(&self, now: Millis, unobserved_fraction: f64) -> f64 {
        let factor = self.context.settings.overload_factor.max(1.0);
        let upper_limit = factor * self.demand.offered_rate(now);
        let served = factor * self.demand.served_rate(now);
        let proven = served.max(self.demand.distinct_rate(now)).min(upper_limit);
        upper_limit - unobserved_fraction * (upper_limit - proven)
    }

    /// Selects the backend with the least expected cost among `indices`, where a warm backend of weight 1 gets
    /// `warm_backend_rate` units a second.
    fn select_least_cost(
        &self,
        request: &SelectionRequest,
        warm_backend_rate: f64,
        indices: &[usize],
        rng: &mut Pcg32,
    ) -> Option<Selection> {
        let backends = request.backends;
        let unit_time = backends.mean_unit_time();
        let budget_value = unit_time * self.traffic_sparsity(request.now, indices.len(), backends);
        let has_ejections = indices
            .iter()
            .any(|index| backends.all[*index].faults.has_ejections());
        let respects_ejections = has_ejections && !backends.in_panic_mode(request.now);
        let mut best: Option<Candidate> = None;
        for index in indices {
            let backend = &backends.all[*index];
            let budget = self.available_budget(request, backend, warm_backend_rate);
            if !self.may_select(request, backend, budget, respects_ejections) {
                continue;
            }
            let selection = self.selection(request, backend, warm_backend_rate);
            let jitter = 1.0 + COST_JITTER * uniform(rng);
            let cost = self.cost(request, backend, &selection) * jitter - budget_value * budget;
            if best.as_ref().is_none_or(|best| cost < best.cost) {
                best = Some(Candidate { cost, selection });
            }
        }
        best.map(|candidate| candidate.selection)
    }

    /// Units that a backend has accrued from this gateway and has not yet been sent.
    fn available_budget(
        &self,
        request: &SelectionRequest,
        backend: &Backend,
        warm_backend_rate: f64,
    ) -> f64 {
        let settings = &self.context.settings;
        backend
            .budget
            .available(request.now, settings, &backend.entry, warm_backend_rate)
    }

    /// Whether a backend may be sent a request: it has no other attempt of that request in flight, is not ejected, is
    /// not warming up with an exhausted budget, and is within the request's retry scope.
    fn may_select(
        &self,
        request: &SelectionRequest,
        backend: &Backend,
        budget: f64,
        respects_ejections: bool,
    ) -> bool {
        let now = request.now;
        let entry = &backend.entry;
        let has_attempt = request
            .pending
            .in_flight
            .iter()
            .any(|attempt| attempt.backend == entry.id);
        let class = self.context.class(request.pending.request.class);
        let is_idempotent = class.idempotency == Idempotency::Idempotent;
        let has_in_flight = !backend.in_flight.is_empty();
        let is_excluded =
            respects_ejections && backend.faults.excludes(now, is_idempotent, has_in_flight);
        let is_warming_without_budget =
            budget <= 0.0 && self.context.settings.slow_start_fraction(now, entry) < 1.0;
        !has_attempt && !is_excluded && !is_warming_without_budget && request.scope.contains(entry)
    }

    fn selection(
        &self,
        request: &SelectionRequest,
        backend: &Backend,
        warm_backend_rate: f64,
    ) -> Selection {
        let unit_time = request.backends.unit_time(backend);
        Selection {
            backend: backend.entry.id,
            queue_delay: unit_time * backend.load(),
            unit_time,
            warm_backend_rate,
        }
    }

    /// Expected cost of sending a request to a backend, expressed as time, ms.
    fn cost(&self, request: &SelectionRequest, backend: &Backend, selection: &Selection) -> Millis {
        let settings = &self.context.settings;
        let objective = self.context.latency_objective;
        let now = request.now;
        let class = request.pending.request.class;
        let fault_factor = match self.context.class(class).idempotency {
            Idempotency::NonIdempotent => NON_IDEMPOTENT_FAULT_FACTOR,
            _ => 1.0,
        };
        let overdue = request.backends.overdue(now, backend, class);
        let fault_score = backend.faults.fault_score(now, &request.pending.request) * fault_factor;
        let time = selection.queue_delay.max(overdue)
            + selection.unit_time * request.pending.request.units;
        let crossing = if backend.entry.zone == settings.zone {
            0.0
        } else {
            CROSS_ZONE_DELAY * settings.cross_zone_cost * objective
        };
        time + (fault_score - NEGLIGIBLE_FAULT).max(0.0) * objective + crossing
    }
}
