//! The simulated backends: their queues, their cores, and their capacity during slow start.

use super::attempts::CallOrigin;
use super::event_queue::SimEvent;
use super::Simulation;
use crate::scenario::{BackendFault, BackendSpec};
use crate::statistics::{ColdWork, Incarnation};
use cometspool::{Availability, BackendEntry, BackendId, CellId, Outcome, ZoneId};
use std::collections::VecDeque;

/// Number of buckets of [`LOAD_BUCKET_DURATION`] over which the load of a backend is summed.
const LOAD_WINDOW_BUCKETS: u64 = 20;
/// Duration of a load bucket, ms.
const LOAD_BUCKET_DURATION: f64 = 100.0;
/// Error rate below which a backend counts as healthy, as a fraction of its responses.
const HEALTHY_ERROR_FRACTION: f64 = 0.1;

/// A backend: its parameters and its current state.
pub(super) struct Backend {
    pub(super) spec: BackendSpec,
    pub(super) id: BackendId,
    /// Indices of the queued calls, oldest first.
    pub(super) queued_calls: VecDeque<usize>,
    /// Number of cores that process a call or wait for a call to the next tier.
    busy_cores: usize,
    /// Work that arrived in the last [`LOAD_WINDOW_BUCKETS`] buckets, oldest first; empty buckets are left out.
    recent_work: VecDeque<LoadBucket>,
    pub(super) open_connections: usize,
    /// Whether each gateway has been notified of the backend's last start, by the gateway's index.
    pub(super) notified_of_start: Vec<bool>,
}

/// Work that arrived at a backend within one [`LOAD_BUCKET_DURATION`].
struct LoadBucket {
    /// Number of the bucket since the start of the run.
    number: u64,
    /// Sum of the work, in milliseconds on one core of reference speed.
    work: f64,
}

impl Backend {
    /// Adds work to the bucket `number`, the current one, and drops buckets older than [`LOAD_WINDOW_BUCKETS`].
    fn add_work(&mut self, number: u64, work: f64) {
        match self.recent_work.back_mut() {
            Some(last) if last.number == number => last.work += work,
            _ => self.recent_work.push_back(LoadBucket { number, work }),
        }
        while self
            .recent_work
            .front()
            .is_some_and(|first| first.number + LOAD_WINDOW_BUCKETS <= number)
        {
            self.recent_work.pop_front();
        }
    }
}

impl Simulation {
    /// Adds a backend and returns its index.
    pub(super) fn add_backend(&mut self, spec: BackendSpec) -> usize {
        // Ids are drawn from the whole range of u32, as if they were hashes of names. They must be unique.
        let mut id = BackendId(self.random.next_u32());
        while self.backend_by_id.contains_key(&id) {
            id = BackendId(self.random.next_u32());
        }
        self.backend_by_id.insert(id, self.backends.len());
        self.statistics.peak_connections.push(0);
        self.statistics.attempts_by_backend.push(Vec::new());
        self.statistics.cold_work.push(Vec::new());
        self.statistics.incarnations.push(Incarnation {
            started_at: spec.started_at.unwrap_or(f64::NEG_INFINITY),
            ended_at: f64::INFINITY,
        });
        self.backends.push(Backend {
            spec,
            id,
            queued_calls: VecDeque::new(),
            busy_cores: 0,
            recent_work: VecDeque::new(),
            open_connections: 0,
            // A gateway sends to a new id only after it has been notified of the backend's start.
            notified_of_start: vec![true; self.gateways.len()],
        });
        self.backends.len() - 1
    }

    /// Returns the entry of a backend in the endpoint list.
    pub(super) fn endpoint(&self, index: usize, availability: Availability) -> BackendEntry {
        let backend = &self.backends[index];
        BackendEntry {
            id: backend.id,
            zone: ZoneId(backend.spec.zone),
            cell: CellId(backend.spec.zone),
            availability,
            started_at: backend.spec.started_at,
            weight: 1.0,
        }
    }

    /// Whether a backend is faulty, or unreachable from this gateway. An error rate below [`HEALTHY_ERROR_FRACTION`]
    /// does not count as a fault.
    pub(super) fn is_impaired(&self, gateway: usize, backend: usize) -> bool {
        let is_healthy = match self.backends[backend].spec.fault {
            BackendFault::None => true,
            BackendFault::Errors(fraction) => fraction < HEALTHY_ERROR_FRACTION,
            BackendFault::Slow(_) | BackendFault::Silent | BackendFault::Crashed => false,
        };
        !is_healthy || !self.is_backend_reachable(gateway, backend)
    }

    /// Returns the current capacity of a backend, as a fraction of its full capacity.
    fn slow_start_fraction(&self, backend: usize) -> f64 {
        let Some(started_at) = self.backends[backend].spec.started_at else {
            return 1.0;
        };
        let slow_start = self.scenario.slow_start;
        let progress = ((self.now - started_at) / slow_start.duration).clamp(0.0, 1.0);
        slow_start.initial_fraction + (1.0 - slow_start.initial_fraction) * progress
    }

    /// Handles the arrival of a call at its backend, which queues it, rejects it or answers with an error.
    pub(super) fn handle_call_arrival(&mut self, call: usize) {
        let backend = self.calls[call].backend;
        let fault = self.backends[backend].spec.fault;
        if fault == BackendFault::Silent {
            return;
        }
        let gateway = self.calls[call].origin.gateway();
        self.record_load(backend, gateway, self.calls[call].work);
        if let BackendFault::Errors(fraction) = fault {
            if self.random.uniform() < fraction {
                self.respond(call, Outcome::Error);
                return;
            }
        }
        if self.backends[backend].queued_calls.len() >= self.backends[backend].spec.queue_capacity {
            self.respond(call, Outcome::Rejected);
            return;
        }
        self.backends[backend].queued_calls.push_back(call);
        self.start_work(backend);
    }

    /// Records work that arrives at a backend and compares the recent load with the backend's slow-start capacity.
    /// `sender` is the gateway that sent the work, or `None` if a backend did.
    pub(super) fn record_load(&mut self, index: usize, sender: Option<usize>, work: f64) {
        let fraction = self.slow_start_fraction(index);
        let backend = &mut self.backends[index];
        backend.add_work((self.now / LOAD_BUCKET_DURATION) as u64, work);
        if fraction >= 1.0 {
            return;
        }
        let spec = &backend.spec;
        let capacity = fraction
            * spec.cores as f64
            * spec.speed
            * LOAD_BUCKET_DURATION
            * LOAD_WINDOW_BUCKETS as f64;
        let recent = backend.recent_work.iter().map(|recent| recent.work);
        let load = recent.sum::<f64>() / capacity;
        self.statistics.peak_over_capacity = self.statistics.peak_over_capacity.max(load);
        self.statistics.cold_work[index].push(ColdWork {
            at: self.now,
            work,
            sender_knew_start: sender.is_none_or(|gateway| backend.notified_of_start[gateway]),
        });
    }

    /// Starts queued calls on the cores that are free.
    fn start_work(&mut self, backend: usize) {
        while self.backends[backend].busy_cores < self.backends[backend].spec.cores {
            let Some(call) = self.backends[backend].queued_calls.pop_front() else {
                return;
            };
            if self.backends[backend].spec.drops_expired && self.now >= self.calls[call].deadline {
                continue;
            }
            self.backends[backend].busy_cores += 1;
            let spec = &self.backends[backend].spec;
            let slowdown = match spec.fault {
                BackendFault::Slow(factor) => factor,
                _ => 1.0,
            };
            let duration =
                self.calls[call].work * slowdown / (spec.speed * self.slow_start_fraction(backend));
            self.schedule(self.now + duration, SimEvent::WorkCompleted { call });
        }
    }

    /// Handles the end of a call's work: the backend responds, or calls the next tier and keeps the core occupied until
    /// that call has ended.
    pub(super) fn complete_work(&mut self, call: usize) {
        let backend = self.calls[call].backend;
        self.calls[call].completed_work += self.calls[call].work;
        let next_tier = &self.backends[backend].spec.next_tier;
        if next_tier.is_empty() {
            self.release_core(backend);
            self.respond(call, Outcome::Ok);
            return;
        }
        let target = next_tier[self.random.below(next_tier.len())];
        if self.now >= self.calls[call].deadline {
            self.release_core(backend);
            self.respond(call, Outcome::Error);
            return;
        }
        self.call_next_tier(call, target);
    }

    /// Makes a call to a backend of the next tier, with the remaining deadline of the parent call.
    fn call_next_tier(&mut self, parent: usize, target: usize) {
        let zone = self.backends[self.calls[parent].backend].spec.zone;
        let delay = self.one_way_delay(zone, self.backends[target].spec.zone);
        let deducted_delay = if self.scenario.deducts_network_delay {
            delay
        } else {
            0.0
        };
        let call = self.calls.len();
        let request = self.calls[parent].request;
        let deadline = self.calls[parent].deadline;
        let work = self.calls[parent].work;
        let origin = CallOrigin::Backend { parent };
        self.add_call(request, origin, target, deadline - deducted_delay, work);
        self.schedule(deadline, SimEvent::CallTimeout { call });
        self.schedule(self.now + delay, SimEvent::CallArrival { call });
    }

    /// Frees a core and starts the next queued call.
    pub(super) fn release_core(&mut self, backend: usize) {
        self.backends[backend].busy_cores -= 1;
        self.start_work(backend);
    }

    /// Sends a backend's response to the origin of a call. The response is lost if the origin is unreachable.
    pub(super) fn respond(&mut self, call: usize, outcome: Outcome) {
        let from = self.backends[self.calls[call].backend].spec.zone;
        let to = match self.calls[call].origin {
            CallOrigin::Gateway { gateway, .. } => self.gateways[gateway].zone,
            CallOrigin::Backend { parent } => self.backends[self.calls[parent].backend].spec.zone,
        };
        if self.is_reachable(from, to) {
            let delay = self.one_way_delay(from, to);
            self.schedule(self.now + delay, SimEvent::CallEnded { call, outcome });
        }
    }
}
