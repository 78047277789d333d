//! Load balancing: the subset of the backends that a gateway keeps to, and the selection of one for a request.

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

/// Gateways that meet each backend at least; so a few gateways meet all backends.
const GATEWAYS_PER_BACKEND: f64 = 4.0;
/// Fraction of the subset by which a backend that is kept may lie beside it.
const SUBSET_SLACK: f64 = 0.25;
/// Own load at each backend up to which it shows little of how busy the backend is: the units earned decide.
const SPARSE_LOAD: f64 = 0.2;
/// Power by which these stop deciding beyond it.
const SPARSE_LOAD_POWER: i32 = 4;
/// Queueing delay that a crossing between zones counts as, in shortest latency objectives for a cost of 1.
const CROSS_ZONE_DELAY: f64 = 10.0;
/// Random fraction added to each cost at most, so that gateways do not all choose alike.
const COST_JITTER: f64 = 0.05;
/// Factor on the distrust of a backend for a request that must not execute twice.
const NON_IDEMPOTENT_DISTRUST: f64 = 2.0;
/// Least capacity of a subset, in warm backends of weight 1: a divisor must not be zero.
const MIN_CAPACITY: f64 = 0.01;

/// Least demand that the time to the next request is reckoned with, units a second.
const MIN_DEMAND: f64 = 1e-6;

/// A backend that was selected.
#[derive(Clone, Copy)]
pub(super) struct Selection {
    pub backend: BackendId,
    /// Expected queueing delay there, ms.
    pub queue_delay: Millis,
    /// Expected time per unit of load there, ms.
    pub unit_time: Millis,
    /// Units a second that a warm backend of weight 1 gets from this gateway.
    pub even_rate: f64,
}

/// A request that a backend is to be selected for.
pub(super) struct SelectionRequest<'a> {
    pub now: Millis,
    pub pending: &'a PendingRequest,
    pub scope: RetryScope,
    pub backends: &'a BackendSet,
}

/// A backend that may be selected.
struct Candidate {
    cost: Millis,
    selection: Selection,
}

/// Keeps to a subset of the backends and selects among them.
pub(super) struct LoadBalancer {
    context: Arc<PolicyContext>,
    demand: Demand,
    /// The subset, as of `updated_at`.
    subset: Vec<BackendId>,
    updated_at: Millis,
    /// Connections that are to be opened ahead of requests.
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

    /// Records a request within the quotas.
    pub(super) fn record_demand(&mut self, now: Millis, request: &Request) {
        self.demand.record(now, request);
    }

    /// Records that a request within the quotas is rejected for want of capacity.
    pub(super) fn record_rejection(&mut self, now: Millis) {
        self.demand.record_rejection(now);
    }

    /// Records units that were served within their latency objective.
    pub(super) fn record_served(&mut self, now: Millis, units: f64) {
        self.demand.record_served(now, units);
    }

    /// How little this gateway's own load at each of `count` backends shows of how busy they are, from 0 to 1.
    fn sparsity(&self, now: Millis, count: usize, backends: &BackendSet) -> f64 {
        let load = self.demand.offered_rate(now) * backends.mean_unit_time() / 1000.0;
        let load_each = load / count.max(1) as f64;
        1.0 / (1.0 + (load_each / SPARSE_LOAD).powi(SPARSE_LOAD_POWER))
    }

    /// The part of the load on `count` backends that this gateway cannot judge by its own load there: what other
    /// gateways send, as far as its own load shows little.
    fn unseen_load(&self, now: Millis, count: usize, backends: &BackendSet) -> f64 {
        let elsewhere = 1.0 - 1.0 / self.context.gateways;
        elsewhere * self.sparsity(now, count, backends)
    }

    /// The backend with the least expected cost: one of the subset if any may be sent the request.
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
        let even_rate = self.even_rate(request, &subset);
        self.least_cost(request, even_rate, &subset, rng)
            .or_else(|| self.least_cost(request, even_rate, &backends.ready, rng))
    }

    /// The subset of the backends, as indices, that a gateway with these `members` keeps to.
    ///
    /// If each of many gateways met every backend, it would have a connection to each, used once and closed as idle,
    /// and too few responses from each to select by. So a gateway takes a part of the ring of backends in the order
    /// of their ids, which is the same at all gateways, from a position by its own index: each backend is met by
    /// about as many. A backend that is warming up or distrusted counts for less, and the subset extends beyond it.
    /// Each change of the list moves all positions: present members come first as long as they lie near the subset,
    /// since the gateway would otherwise open its connections anew.
    fn subset(&self, now: Millis, members: &[BackendId], backends: &BackendSet) -> Vec<usize> {
        let settings = &self.context.settings;
        let count = backends.ready.len();
        let gateways = self.context.gateways;
        let wanted = (GATEWAYS_PER_BACKEND * count as f64 / gateways).max(MIN_SUBSET);
        let slack = ((SUBSET_SLACK * wanted) as usize).min(count);
        let own_position = f64::from(settings.gateway_index % settings.gateways.max(1)) / gateways;
        let first = (own_position * count as f64) as usize + count - slack;
        let at_position = |position: usize| backends.ready[(first + position) % count];

        let mut is_member = vec![false; backends.all.len()];
        for index in members.iter().filter_map(|id| backends.find(*id)) {
            is_member[index] = true;
        }
        let near = (members.len().max(wanted as usize) + 2 * slack).min(count);
        let is_kept = |position: &usize| *position < near && is_member[at_position(*position)];
        let others = (slack..count)
            .chain(0..slack)
            .filter(|position| !is_kept(position));

        let mut subset = Vec::new();
        let mut capacity = 0.0;
        for position in (0..near).filter(is_kept).chain(others) {
            if capacity >= wanted {
                break;
            }
            let index = at_position(position);
            subset.push(index);
            let backend = &backends.all[index];
            if self.is_trusted(now, backend) {
                capacity += settings.slow_start_fraction(now, &backend.entry);
            }
        }
        subset
    }

    fn is_trusted(&self, now: Millis, backend: &Backend) -> bool {
        !backend.faults.has_ejections() && backend.faults.general_distrust(now) <= NEGLIGIBLE_FAULT
    }

    /// Brings the subset up to now; its backends, as indices. A new member gets a connection ahead of the request
    /// that is expected there, if one is soon. Now and then a member that lies beside the subset is given up: a new
    /// backend among members that all gateways keep would else be met by none. That takes the time of a warm-up.
    fn update_subset(&mut self, now: Millis, backends: &BackendSet, rng: &mut Pcg32) -> Vec<usize> {
        let subset = self.subset(now, &self.subset, backends);
        self.preconnect_new_members(now, &subset, backends);
        self.subset = subset
            .iter()
            .map(|index| backends.all[*index].entry.id)
            .collect();
        let warm_up = self.context.settings.warm_up.max(1.0);
        let give_up_probability = HALFLIVES_PER_WARM_UP * (now - self.updated_at) / warm_up;
        self.updated_at = now;
        if uniform(rng) < give_up_probability {
            let own_subset = self.subset(now, &[], backends);
            let beside = subset.iter().position(|index| !own_subset.contains(index));
            if let Some(position) = beside {
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

    /// Units a second that a warm backend of weight 1 gets from this gateway. Backends that warm up get less, so the
    /// others get more, but never so much that one would be overloaded where all warm up.
    fn even_rate(&self, request: &SelectionRequest, subset: &[usize]) -> f64 {
        let settings = &self.context.settings;
        let now = request.now;
        let mut weight = 0.0;
        let mut capacity = 0.0;
        for index in subset {
            let entry = &request.backends.all[*index].entry;
            weight += entry.weight;
            capacity += entry.weight * settings.slow_start_fraction(now, entry);
        }
        let unseen = self.unseen_load(now, subset.len(), request.backends);
        let limit = self.forwarding_limit(now, unseen) / f64::max(weight, MIN_CAPACITY);
        let rate = self.demand.offered_rate(now) / f64::max(capacity, MIN_CAPACITY);
        rate.min(limit)
    }

    /// Units a second at most that warm backends would get. A backend that warms up bears its fraction of the whole
    /// capacity, times the overload factor, but demand may exceed that capacity. Where this gateway cannot judge the
    /// load, the factor counts only for what backends have served, and requests that come again count once.
    fn forwarding_limit(&self, now: Millis, unseen: f64) -> f64 {
        let factor = self.context.settings.overload_factor.max(1.0);
        let most = factor * self.demand.offered_rate(now);
        let served = factor * self.demand.served_rate(now);
        let proven = served.max(self.demand.distinct_rate(now)).min(most);
        most - unseen * (most - proven)
    }

    /// Of these backends, the one with the least expected cost, where a warm backend of weight 1 gets `even_rate` units
    /// a second.
    fn least_cost(
        &self,
        request: &SelectionRequest,
        even_rate: f64,
        indices: &[usize],
        rng: &mut Pcg32,
    ) -> Option<Selection> {
        let backends = request.backends;
        let unit_time = backends.mean_unit_time();
        let budget_value = unit_time * self.sparsity(request.now, indices.len(), backends);
        let has_ejections = indices
            .iter()
            .any(|index| backends.all[*index].faults.has_ejections());
        let respects_ejections = has_ejections && !backends.is_panic(request.now);
        let mut best: Option<Candidate> = None;
        for index in indices {
            let backend = &backends.all[*index];
            let budget = self.available_budget(request, backend, even_rate);
            if !self.may_select(request, backend, budget, respects_ejections) {
                continue;
            }
            let selection = self.selection(request, backend, even_rate);
            let jitter = 1.0 + COST_JITTER * uniform(rng);
            let cost = self.cost(request, backend, &selection) * jitter - budget_value * budget;
            if best.as_ref().is_none_or(|best| cost < best.cost) {
                best = Some(Candidate { cost, selection });
            }
        }
        best.map(|candidate| candidate.selection)
    }

    /// Units that a backend has earned from this gateway.
    fn available_budget(
        &self,
        request: &SelectionRequest,
        backend: &Backend,
        even_rate: f64,
    ) -> f64 {
        let settings = &self.context.settings;
        backend
            .budget
            .available(request.now, settings, &backend.entry, even_rate)
    }

    /// Whether a backend may be sent a request.
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
        let is_too_cold =
            budget <= 0.0 && self.context.settings.slow_start_fraction(now, entry) < 1.0;
        !has_attempt && !is_excluded && !is_too_cold && request.scope.contains(entry)
    }

    fn selection(
        &self,
        request: &SelectionRequest,
        backend: &Backend,
        even_rate: f64,
    ) -> Selection {
        let unit_time = request.backends.unit_time(backend);
        Selection {
            backend: backend.entry.id,
            queue_delay: unit_time * backend.load(),
            unit_time,
            even_rate,
        }
    }

    /// The expected cost of sending a request to a backend, as time, ms.
    fn cost(&self, request: &SelectionRequest, backend: &Backend, selection: &Selection) -> Millis {
        let settings = &self.context.settings;
        let objective = self.context.latency_objective;
        let now = request.now;
        let class = request.pending.request.class;
        let distrust_factor = match self.context.class(class).idempotency {
            Idempotency::NonIdempotent => NON_IDEMPOTENT_DISTRUST,
            _ => 1.0,
        };
        let overdue = request.backends.overdue(now, backend, class);
        let distrust = backend.faults.distrust(now, &request.pending.request) * distrust_factor;
        let time = selection.queue_delay.max(overdue)
            + selection.unit_time * request.pending.request.units;
        let crossing = if backend.entry.zone == settings.zone {
            0.0
        } else {
            CROSS_ZONE_DELAY * settings.cross_zone_cost * objective
        };
        time + (distrust - NEGLIGIBLE_FAULT).max(0.0) * objective + crossing
    }
}
