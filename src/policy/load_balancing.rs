//! Choice of backend: the subset that a gateway keeps to, what a backend is expected to cost, and turns.

use super::backends::{Backend, Fleet, CIRCLE_LEAST, FORGOTTEN};
use super::retry::{Live, Reach};
use super::Terms;
use crate::measure::{uniform, Cewma};
use crate::policy_api::*;
use rand_pcg::Pcg32;
use std::f64::consts::LN_2;
use std::sync::Arc;

const CIRCLE_GATEWAYS: f64 = 4.0; // gateways that meet each backend at least: a few gateways meet them all
const CIRCLE_SLACK: f64 = 0.25; // part of the subset by which a backend that is kept to may lie beside it
const SPARSE_LOAD: f64 = 0.2; // own load at each up to which it tells nothing of how busy it is: turns decide
const CROSSING_AIMS: f64 = 10.0; // waiting that a crossing between zones is worth, in its price of the aim

/// A backend that was chosen.
#[derive(Clone, Copy)]
pub(super) struct Choice {
    pub backend: BackendId,
    pub wait: Millis,   // expected there
    pub pace: f64,      // time per unit of load there
    pub even_rate: f64, // units a second that a warm backend of size one gets of this gateway
}

/// A request that a backend is chosen for.
pub(super) struct Ask<'a> {
    pub now: Millis,
    pub live: &'a Live,
    pub reach: Reach,
    pub fleet: &'a Fleet,
}

/// The backends that a gateway keeps to.
pub(super) struct Subset {
    terms: Arc<Terms>,
    demand: Cewma, // units within the quotas that ask to be sent on
    kept: Vec<BackendId>,
    kept_at: Millis,
    pub warm: Vec<Action>, // those that are to get a connection
}

impl Subset {
    pub(super) fn new(terms: Arc<Terms>) -> Subset {
        Subset {
            terms,
            demand: Cewma::default(),
            kept: Vec::new(),
            kept_at: 0.0,
            warm: Vec::new(),
        }
    }

    /// Units within the quotas ask to be sent on.
    pub(super) fn asked(&mut self, now: Millis, units: f64) {
        self.demand.record(now, units, self.lambda());
    }

    fn lambda(&self) -> f64 {
        LN_2 / (self.terms.set.warm_up / 4.0).max(1.0)
    }

    /// The backend with the least expected time.
    pub(super) fn choose(&mut self, ask: &Ask, rng: &mut Pcg32) -> Option<Choice> {
        let circle = self.keep_to(ask.now, ask.fleet, rng);
        if ask.reach == Reach::Nowhere {
            return None;
        }
        let demand = self.demand.rate(ask.now, self.lambda());
        let rates = (demand, demand / self.able(ask.now, ask.fleet, &circle));
        let best = self.least_cost(ask, rates, &circle, rng);
        best.or_else(|| self.least_cost(ask, rates, &ask.fleet.ready, rng))
    }

    /// Guards against every one of many gateways meeting every backend: a connection each, used once and
    /// closed as idle, and so few answers from each that choice goes by luck. A gateway keeps to a
    /// subset of the backends in the order of their ids, which is the same everywhere, beginning at its
    /// own place; so each backend is met by about as many. What is cold or distrusted counts less, and
    /// the subset goes on for it. Each change of the list moves all places after it: those that the gateway
    /// has come first as long as they lie near the subset, or it would open connections all anew.
    fn circle(&self, now: Millis, has: &[BackendId], fleet: &Fleet) -> Vec<usize> {
        let (count, gateways) = (fleet.ready.len(), self.terms.gateways);
        let wanted = (CIRCLE_GATEWAYS * count as f64 / gateways).max(CIRCLE_LEAST);
        let own =
            f64::from(self.terms.set.gateway_index % self.terms.set.gateways.max(1)) / gateways;
        let slack = ((CIRCLE_SLACK * wanted) as usize).min(count);
        let first = (own * count as f64) as usize + count - slack;
        let subset = |step: usize| fleet.ready[(first + step) % count];
        let mut kept = vec![false; fleet.all.len()];
        has.iter()
            .filter_map(|id| fleet.find(*id))
            .for_each(|at| kept[at] = true);
        let near = (has.len().max(wanted as usize) + 2 * slack).min(count);
        let known = |step: &usize| *step < near && kept[subset(*step)];
        let rest = (slack..count).chain(0..slack).filter(|step| !known(step));
        let mut held = 0.0;
        let circle = (0..near)
            .filter(known)
            .chain(rest)
            .map(subset)
            .take_while(|at| {
                let (backend, more) = (&fleet.all[*at], held < wanted);
                if backend.ejections == 0 && fleet.shunned(now, backend) <= FORGOTTEN {
                    held += self.terms.set.slow_start_fraction(now, &backend.entry);
                }
                more
            });
        circle.collect()
    }

    /// Takes up the subset of backends that the gateway keeps to. One that is new to it gets a connection
    /// ahead of the request that is expected there, if one is soon. Now and then one that lies beside the
    /// subset is let go, or a new backend among kept ones would be met by nobody: while it warms they come.
    fn keep_to(&mut self, now: Millis, fleet: &Fleet, rng: &mut Pcg32) -> Vec<usize> {
        let circle = self.circle(now, &self.kept, fleet);
        let id = |at: &usize| fleet.all[*at].entry.id;
        let rate = self.demand.rate(now, self.lambda()) / circle.len().max(1) as f64;
        let within = 1000.0 / rate.max(1e-6);
        if within < self.terms.set.warm_up / 4.0 {
            let fresh = circle.iter().map(id).filter(|id| !self.kept.contains(id));
            self.warm
                .extend(fresh.map(|backend| Action::Preconnect { backend, within }));
        }
        self.kept = circle.iter().map(id).collect();
        let part = 4.0 * (now - self.kept_at) / self.terms.set.warm_up.max(1.0);
        self.kept_at = now;
        if uniform(rng) < part {
            let subset = self.circle(now, &[], fleet);
            let beside = circle.iter().position(|at| !subset.contains(at));
            beside.map(|place| self.kept.remove(place));
        }
        circle
    }

    /// Size of the backends that the gateway keeps to, by what they can do. Cold ones get less, so the others
    /// get more, but never so much that a cold one would be pushed over where all are cold.
    fn able(&self, now: Millis, fleet: &Fleet, circle: &[usize]) -> f64 {
        let (size, able) = circle.iter().fold((0.0, 0.0), |(size, able), at| {
            let entry = &fleet.all[*at].entry;
            (
                size + entry.weight,
                able + entry.weight * self.terms.set.slow_start_fraction(now, entry),
            )
        });
        f64::max(able, size / self.terms.set.overload_factor.max(1.0)).max(0.01)
    }

    /// Of these backends, the one with the least expected time; `rates` are the gateway's demand and what a
    /// warm backend of size one gets of it.
    fn least_cost(
        &self,
        ask: &Ask,
        rates: (f64, f64),
        among: &[usize],
        rng: &mut Pcg32,
    ) -> Option<Choice> {
        let (now, fleet, set, (demand, even_rate)) = (ask.now, ask.fleet, &self.terms.set, rates);
        let safe = set.classes[ask.live.request.class.0].idempotency == Idempotency::Idempotent;
        let pace = fleet.common_pace();
        let load = demand * pace / 1000.0;
        let turn = pace / (1.0 + (load / among.len().max(1) as f64 / SPARSE_LOAD).powi(4));
        let bars = among.iter().any(|at| fleet.all[*at].ejections > 0) && !fleet.panics(now);
        let mut best: Option<(f64, Choice)> = None;
        for backend in among.iter().map(|at| &fleet.all[*at]) {
            let (id, due) = (
                backend.entry.id,
                backend.due.now(now, set, &backend.entry, even_rate),
            );
            let copied = ask.live.out.iter().any(|out| out.to == id);
            let barred = bars && backend.barred(now, safe);
            let too_cold = due <= 0.0 && set.slow_start_fraction(now, &backend.entry) < 1.0;
            if copied || barred || too_cold || !ask.reach.holds(&backend.entry) {
                continue;
            }
            let pace = fleet.pace(backend);
            let wait = pace * backend.load_out();
            let cost =
                self.cost(ask, backend, wait, pace) * (1.0 + 0.05 * uniform(rng)) - turn * due;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((
                    cost,
                    Choice {
                        backend: id,
                        wait,
                        pace,
                        even_rate,
                    },
                ));
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// What sending a request to a backend is expected to cost, as time.
    fn cost(&self, ask: &Ask, backend: &Backend, wait: Millis, pace: f64) -> Millis {
        let (set, request, now) = (&self.terms.set, &ask.live.request, ask.now);
        let doubt = if set.classes[request.class.0].idempotency == Idempotency::NonIdempotent {
            2.0
        } else {
            1.0
        };
        let overdue = ask.fleet.overdue(now, backend, request.class);
        let distrust = ask.fleet.distrust(now, backend, request) * doubt;
        let time = wait.max(overdue) + pace * request.units;
        let crossing = CROSSING_AIMS * set.cross_zone_cost * self.terms.aim;
        let crossing = if backend.entry.zone == set.zone {
            0.0
        } else {
            crossing
        };
        time + (distrust - FORGOTTEN).max(0.0) * self.terms.aim + crossing
    }
}
