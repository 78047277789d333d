//! The backends: their queues, their cores, and how warm they are.

use super::attempts::CallOrigin;
use super::event_queue::SimEvent;
use super::Simulation;
use crate::scenario::{BackendFault, BackendSpec};
use crate::statistics::{ColdWork, Incarnation};
use cometspool::{Availability, BackendEntry, BackendId, CellId, Outcome, ZoneId};
use std::collections::VecDeque;

/// Tenths of a second over which the load of a backend is summed.
const LOAD_TENTHS: u64 = 20;

/// A backend: its model and its present state.
pub(super) struct Backend {
    pub(super) spec: BackendSpec,
    pub(super) id: BackendId,
    pub(super) waiting: VecDeque<usize>,
    working: usize,
    /// Work that came in, by tenth of a second, for the load that a cold one is put under.
    work_by_tenth: VecDeque<(u64, f64)>,
    pub(super) open_connections: usize,
    /// gateways that have been told of its last start.
    pub(super) knows_start: Vec<bool>,
}

impl Simulation {
    pub(super) fn add_backend(&mut self, spec: BackendSpec) -> usize {
        // Ids are strewn as those of hashed names are; two alike would be one backend.
        let mut id = BackendId(self.random.next_u32());
        while self.by_id.contains_key(&id) {
            id = BackendId(self.random.next_u32());
        }
        self.by_id.insert(id, self.backends.len());
        self.statistics.peak_connections.push(0);
        self.statistics.attempts_by_backend.push(Vec::new());
        self.statistics.cold_work.push(Vec::new());
        self.statistics.incarnations.push(Incarnation {
            started_at: spec.started_at.unwrap_or(f64::NEG_INFINITY),
            ended_at: f64::INFINITY,
        });
        let (waiting, came) = (VecDeque::new(), VecDeque::new());
        // Only whoever is told of a new id sends to it.
        let told = vec![true; self.gateways.len()];
        self.backends.push(Backend {
            spec,
            id,
            waiting,
            working: 0,
            work_by_tenth: came,
            open_connections: 0,
            knows_start: told,
        });
        self.backends.len() - 1
    }

    pub(super) fn entry(&self, node: usize, availability: Availability) -> BackendEntry {
        let node = &self.backends[node];
        BackendEntry {
            id: node.id,
            zone: ZoneId(node.spec.zone),
            cell: CellId(node.spec.zone),
            availability,
            started_at: node.spec.started_at,
            weight: 1.0,
        }
    }

    pub(super) fn is_impaired(&self, gateway: usize, backend: usize) -> bool {
        let spec = &self.backends[backend].spec;
        // An error now and then is no illness.
        let well = matches!(spec.fault, BackendFault::None)
            || matches!(spec.fault, BackendFault::Errors(part) if part < 0.1);
        !well || !self.reaches(self.gateways[gateway].zone, spec.zone)
    }

    /// Fraction of its full capacity that a backend has now.
    fn slow_start_fraction(&self, node: usize) -> f64 {
        let Some(started_at) = self.backends[node].spec.started_at else {
            return 1.0;
        };
        let slow_start = self.scenario.slow_start;
        let progress = ((self.now - started_at) / slow_start.duration).clamp(0.0, 1.0);
        slow_start.initial_fraction + (1.0 - slow_start.initial_fraction) * progress
    }

    pub(super) fn begin(&mut self, call: usize) {
        let node = self.calls[call].backend;
        if matches!(self.backends[node].spec.fault, BackendFault::Silent) {
            return;
        }
        self.calls[call].reached = true;
        let from = self.calls[call].origin.gateway();
        self.record_load(node, from, self.calls[call].work);
        if let BackendFault::Errors(part) = self.backends[node].spec.fault {
            if self.random.uniform() < part {
                self.answer(call, Outcome::Error);
                return;
            }
        }
        if self.backends[node].waiting.len() >= self.backends[node].spec.queue_capacity {
            self.answer(call, Outcome::Rejected);
            return;
        }
        self.backends[node].waiting.push_back(call);
        self.start_work(node);
    }

    /// Notes the load that a backend is put under, by a gateway or another backend, against what it can do.
    pub(super) fn record_load(&mut self, node: usize, from: Option<usize>, work: f64) {
        let told = from.is_none_or(|gateway| self.backends[node].knows_start[gateway]);
        let (tenth, warmth) = ((self.now / 100.0) as u64, self.slow_start_fraction(node));
        let spec = &self.backends[node].spec;
        let able = warmth * spec.cores as f64 * spec.speed * 100.0 * LOAD_TENTHS as f64;
        let came = &mut self.backends[node].work_by_tenth;
        match came.back_mut() {
            Some((last, sum)) if *last == tenth => *sum += work,
            _ => came.push_back((tenth, work)),
        }
        while came
            .front()
            .is_some_and(|(first, _)| first + LOAD_TENTHS <= tenth)
        {
            came.pop_front();
        }
        if warmth < 1.0 {
            let load = came.iter().map(|(_, work)| work).sum::<f64>() / able;
            self.statistics.peak_over_capacity = self.statistics.peak_over_capacity.max(load);
            self.statistics.cold_work[node].push(ColdWork {
                at: self.now,
                work,
                sender_knew_start: told,
            });
        }
    }

    fn start_work(&mut self, node: usize) {
        while self.backends[node].working < self.backends[node].spec.cores {
            let Some(call) = self.backends[node].waiting.pop_front() else {
                return;
            };
            if self.backends[node].spec.drops_expired && self.now >= self.calls[call].deadline {
                continue;
            }
            self.backends[node].working += 1;
            self.calls[call].working = true;
            let spec = &self.backends[node].spec;
            let slow = if let BackendFault::Slow(times) = spec.fault {
                times
            } else {
                1.0
            };
            let takes =
                self.calls[call].work * slow / (spec.speed * self.slow_start_fraction(node));
            self.schedule(self.now + takes, SimEvent::WorkCompleted(call));
        }
    }

    pub(super) fn complete_work(&mut self, call: usize) {
        let node = self.calls[call].backend;
        self.calls[call].done += self.calls[call].work;
        let next = self.backends[node].spec.next_tier.clone();
        if next.is_empty() {
            self.release_core(node);
            self.answer(call, Outcome::Ok);
            return;
        }
        // The core is held until the call below is answered. It is told what is left, less the way.
        let to = next[self.random.below(next.len())];
        let delay = self.one_way_delay(self.backends[node].spec.zone, self.backends[to].spec.zone);
        let less = if self.scenario.deducts_network_delay {
            delay
        } else {
            0.0
        };
        let (until, request, work) = (
            self.calls[call].deadline - less,
            self.calls[call].request,
            self.calls[call].work,
        );
        if self.now >= self.calls[call].deadline {
            self.release_core(node);
            self.answer(call, Outcome::Error);
            return;
        }
        let below = self.calls.len();
        self.call(request, CallOrigin::Backend { call }, to, until, work);
        self.schedule(self.calls[call].deadline, SimEvent::AttemptTimeout(below));
        self.schedule(self.now + delay, SimEvent::RequestAtBackend(below));
    }

    pub(super) fn release_core(&mut self, node: usize) {
        self.backends[node].working -= 1;
        self.start_work(node);
    }

    /// A backend answers.
    pub(super) fn answer(&mut self, call: usize, outcome: Outcome) {
        let zone = self.backends[self.calls[call].backend].spec.zone;
        let to = match self.calls[call].origin {
            CallOrigin::Gateway { gateway, .. } => self.gateways[gateway].zone,
            CallOrigin::Backend { call: above } => {
                self.backends[self.calls[above].backend].spec.zone
            }
        };
        if self.reaches(zone, to) {
            self.schedule(
                self.now + self.one_way_delay(zone, to),
                SimEvent::AttemptEnded(call, outcome),
            );
        }
    }
}
