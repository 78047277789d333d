//! The backends: their queues, their cores, and how warm they are.

use super::schedule::What;
use super::World;
use crate::scenario::{BackendSpec, Ill};
use cometspool::{Availability, BackendEntry, BackendId, CellId, Outcome, ZoneId};
use std::collections::VecDeque;

/// Tenths of a second over which the load of a backend is summed.
const LOAD_TENTHS: u64 = 20;

/// A backend: its model and its present state.
pub(super) struct Node {
    pub(super) spec: BackendSpec,
    pub(super) id: BackendId,
    pub(super) waiting: VecDeque<usize>,
    working: usize,
    /// Work that came in, by tenth of a second, for the load that a cold one is put under.
    came: VecDeque<(u64, f64)>,
    pub(super) links: usize,
}

impl World {
    pub(super) fn add(&mut self, spec: BackendSpec) -> usize {
        // Ids are strewn as those of hashed names are; two alike would be one backend.
        let mut id = BackendId(self.chance.word());
        while self.by_id.contains_key(&id) {
            id = BackendId(self.chance.word());
        }
        self.by_id.insert(id, self.nodes.len());
        self.tally.peaks.push(0);
        self.tally.sent_to.push(Vec::new());
        self.tally.lives.push((spec.started.unwrap_or(f64::NEG_INFINITY), f64::INFINITY));
        let (waiting, came) = (VecDeque::new(), VecDeque::new());
        self.nodes.push(Node { spec, id, waiting, working: 0, came, links: 0 });
        self.nodes.len() - 1
    }

    pub(super) fn entry(&self, node: usize, availability: Availability) -> BackendEntry {
        let node = &self.nodes[node];
        BackendEntry {
            id: node.id,
            zone: ZoneId(node.spec.zone),
            cell: CellId(node.spec.zone),
            availability,
            started: node.spec.started,
            size: 1.0,
        }
    }

    pub(super) fn bad(&self, door: usize, backend: usize) -> bool {
        let spec = &self.nodes[backend].spec;
        // An error now and then is no illness.
        let well = matches!(spec.ill, Ill::No) || matches!(spec.ill, Ill::Errors(part) if part < 0.1);
        !well || !self.reaches(self.doors[door].zone, spec.zone)
    }

    fn warmth(&self, node: usize) -> f64 {
        let (from, time) = self.spec.cold;
        match self.nodes[node].spec.started {
            None => 1.0,
            Some(at) => from + (1.0 - from) * ((self.now - at) / time).clamp(0.0, 1.0),
        }
    }

    pub(super) fn begin(&mut self, call: usize) {
        let node = self.calls[call].backend;
        if matches!(self.nodes[node].spec.ill, Ill::Silent) {
            return;
        }
        self.calls[call].reached = true;
        self.press(node, self.calls[call].work);
        if let Ill::Errors(part) = self.nodes[node].spec.ill {
            if self.chance.even() < part {
                self.answer(call, Outcome::Error);
                return;
            }
        }
        if self.nodes[node].waiting.len() >= self.nodes[node].spec.room {
            self.answer(call, Outcome::Full);
            return;
        }
        self.nodes[node].waiting.push_back(call);
        self.start_work(node);
    }

    /// Notes the load that a backend is put under, against what it can do.
    pub(super) fn press(&mut self, node: usize, work: f64) {
        let (tenth, warmth) = ((self.now / 100.0) as u64, self.warmth(node));
        let spec = &self.nodes[node].spec;
        let able = warmth * spec.cores as f64 * spec.speed * 100.0 * LOAD_TENTHS as f64;
        let came = &mut self.nodes[node].came;
        match came.back_mut() {
            Some((last, sum)) if *last == tenth => *sum += work,
            _ => came.push_back((tenth, work)),
        }
        while came.front().is_some_and(|(first, _)| first + LOAD_TENTHS <= tenth) {
            came.pop_front();
        }
        if warmth < 1.0 {
            let load = came.iter().map(|(_, work)| work).sum::<f64>() / able;
            self.tally.peak_over_capacity = self.tally.peak_over_capacity.max(load);
        }
    }

    fn start_work(&mut self, node: usize) {
        while self.nodes[node].working < self.nodes[node].spec.cores {
            let Some(call) = self.nodes[node].waiting.pop_front() else { return };
            if self.nodes[node].spec.drops_expired && self.now >= self.calls[call].until {
                continue;
            }
            self.nodes[node].working += 1;
            self.calls[call].working = true;
            let spec = &self.nodes[node].spec;
            let slow = if let Ill::Slow(times) = spec.ill { times } else { 1.0 };
            let takes = self.calls[call].work * slow / (spec.speed * self.warmth(node));
            self.at(self.now + takes, What::Worked(call));
        }
    }

    pub(super) fn worked(&mut self, call: usize) {
        let node = self.calls[call].backend;
        self.calls[call].done += self.calls[call].work;
        let next = self.nodes[node].spec.next.clone();
        if next.is_empty() {
            self.free(node);
            self.answer(call, Outcome::Ok);
            return;
        }
        // The core is held until the call below is answered. It is told what is left, less the way.
        let to = next[self.chance.below(next.len())];
        let way = self.way(self.nodes[node].spec.zone, self.nodes[to].spec.zone);
        let less = if self.spec.tells_less { way } else { 0.0 };
        let (until, request, work) =
            (self.calls[call].until - less, self.calls[call].request, self.calls[call].work);
        if self.now >= self.calls[call].until {
            self.free(node);
            self.answer(call, Outcome::Error);
            return;
        }
        let below = self.calls.len();
        self.call(request, Err(call), to, until, work);
        self.at(self.calls[call].until, What::TimeOut(below));
        self.at(self.now + way, What::Begin(below));
    }

    pub(super) fn free(&mut self, node: usize) {
        self.nodes[node].working -= 1;
        self.start_work(node);
    }

    /// A backend answers.
    pub(super) fn answer(&mut self, call: usize, outcome: Outcome) {
        let zone = self.nodes[self.calls[call].backend].spec.zone;
        let to = match self.calls[call].from {
            Ok((door, _)) => self.doors[door].zone,
            Err(above) => self.nodes[self.calls[above].backend].spec.zone,
        };
        if self.reaches(zone, to) {
            self.at(self.now + self.way(zone, to), What::Back(call, outcome));
        }
    }
}
