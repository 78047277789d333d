//! Guards beyond the quotas: the backends' room, ceilings, caps on open attempts, cold backends.

use super::Terms;
use crate::policy_api::*;
use std::sync::Arc;

pub(super) const WAIT_LIMIT: f64 = 0.33; // longest wait, in shortest aims, before a request is refused
const PRESSURE_AIMS: f64 = 2.0; // shortest aims over which pressure is averaged
pub(super) const SLOW_AIMS: f64 = 0.5; // part of its aim beyond which an answer is slow

// Step of the opening of a lone gateway for an answer that took no time, for each shortest aim passed; that
// of many grows with the cube root of their number.
const OPENING_STEP: f64 = 0.12;
const TARGET_AIMS: f64 = 0.25; // it rests where answers take this part of their aims, a slow one a whole
const OPENING_START: f64 = 0.6; // the opening at the start of one of very many gateways
const OPENING_LEAST: f64 = 0.05; // it stays above this, so that there are answers to learn from
const CALM: f64 = 0.95; // opening above which, and lack of pressure by which, there is room for a repeat
const SLACK_USED: f64 = 0.9; // part of a ceiling's slack that the parts make use of; the rest is for rounding

/// How much the backends can bear, as a gateway observes it.
pub(super) struct Opening {
    terms: Arc<Terms>,
    pub open: f64, // part of the quotas that they can bear, as slow answers tell; last told at `answer_at`
    answer_at: Millis,
    pub pressure: f64, // how short of capacity they are found, from nought to one, as of `pressure_at`
    pressure_at: Millis,
}

impl Opening {
    pub(super) fn new(terms: Arc<Terms>) -> Opening {
        // One of many does not see what all let in at once, so it begins part open; one alone, open.
        let open = OPENING_START + (1.0 - OPENING_START) / terms.gateways;
        Opening {
            terms,
            open,
            answer_at: 0.0,
            pressure: 0.0,
            pressure_at: 0.0,
        }
    }

    pub(super) fn observe_pressure(&mut self, now: Millis, least_wait: Millis) {
        let keep = (-(now - self.pressure_at) / (PRESSURE_AIMS * self.terms.aim)).exp();
        let observed = (2.0 * least_wait / (WAIT_LIMIT * self.terms.aim) - 1.0).clamp(0.0, 1.0);
        self.pressure = self.pressure * keep + observed * (1.0 - keep);
        self.pressure_at = now;
    }

    /// Guards against queues that others fill: where many gateways share a fleet, each has hardly any attempt
    /// out at a backend, so its own load tells nothing while answers get slow everywhere. All let in less by
    /// the same measure, until answers take the target part of their aims on average.
    pub(super) fn observe_answer(&mut self, now: Millis, part_of_aim: f64) {
        let Terms { gateways, aim, .. } = *self.terms;
        // One of many hears so little that each answer has to tell it more.
        let step = OPENING_STEP * gateways.cbrt() * ((now - self.answer_at) / aim).min(1.0);
        // One alone or one of two sees much of the queues itself.
        let target = TARGET_AIMS * (1.0 + 1.0 / gateways.powi(2));
        self.open = (self.open + step * (1.0 - part_of_aim / target)).clamp(OPENING_LEAST, 1.0);
        self.answer_at = now;
    }

    /// Whether there is room for a repeat: where answers are slow everywhere it would add to the queues.
    pub(super) fn calm(&self) -> bool {
        self.open > CALM && self.pressure < 1.0 - CALM
    }
}

/// Units in this gateway's part of a customer's ceiling.
#[derive(Default)]
pub(super) struct CeilingPart(pub f64);

impl CeilingPart {
    pub(super) fn refill(&mut self, plan: &Plan, spread: f64, seconds: f64) {
        let Some(ceiling) = plan.ceiling else { return };
        let depth = (ceiling.burst + SLACK_USED * ceiling.slack) / spread;
        self.0 = (self.0 + ceiling.rate / spread * seconds).min(depth);
    }
}

/// This gateway's part of a customer's cap on open attempts. What a part has beyond whole attempts is a share
/// of the time: the attempts out, and the time in which more might have been, as of `at`.
#[derive(Default)]
pub(super) struct OpenCap {
    pub open: u32,
    pub spare: Millis,
    pub at: Millis,
}

impl OpenCap {
    /// Counts the time in which fewer attempts were open than this part of the cap allows, or more.
    pub(super) fn pass_time(&mut self, now: Millis, part: f64, most: Millis) {
        let gained = (part.min(1e6) - f64::from(self.open)) * (now - self.at).max(0.0);
        self.spare = (self.spare + gained).clamp(-most, most);
        self.at = now;
    }

    pub(super) fn allows(&self, plan: &Plan, part: f64) -> bool {
        let open = f64::from(self.open + 1);
        let most = if part < 1.0 {
            f64::from(plan.max_concurrency)
        } else {
            part
        };
        open <= most.ceil() && (open <= most.floor() || self.spare > 0.0)
    }
}

/// Units that a backend has yet to get of its part, as of `at`. Guards a cold backend: a gateway sends it no
/// more than its warmth of what a warm one gets, evenly. It has to have earned a request before it sends one:
/// hundreds of gateways make one each a crowd.
pub(super) struct Due {
    pub units: f64,
    pub at: Millis,
}

impl Due {
    /// What is due now, at this many units a second for a warm backend of size one.
    pub(super) fn now(
        &self,
        now: Millis,
        set: &Settings,
        entry: &BackendEntry,
        even_rate: f64,
    ) -> f64 {
        // Warmth rises evenly: what it was on average since then counts, not what it is now.
        let warmth =
            (set.slow_start_fraction(self.at, entry) + set.slow_start_fraction(now, entry)) / 2.0;
        let rate = warmth * even_rate * entry.weight;
        let most = set.max_units.max(1.0);
        (self.units + rate * (now - self.at) / 1000.0).clamp(-most, most)
    }
}
