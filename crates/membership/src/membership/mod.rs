//! The core: datagrams, comparison messages and the time go in; what is to be sent, and what
//! changed, come out.

mod anti_entropy;
mod datagram;
mod local_name;
mod protocol;
mod suspicion;

use crate::counters::Counters;
use crate::effect::Effect;
use crate::load::{LoadReporter, LoadTable};
use crate::local_health::LocalHealth;
use crate::member::Member;
use crate::timers::{Progress, Timers};
use crate::timing::{Millis, Timing};
use crate::view::View;
use crate::wire::PostcardCodec;
use foca::{Foca, Timer};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use suspicion::{Suspicion, SuspicionKey};

pub use anti_entropy::ComparisonOutcome;

/// By how much a stall raises the local health score.
const STALL_PENALTY: u32 = 2;

#[derive(Debug)]
enum TimerEvent {
    /// A timer of the protocol library.
    Protocol(Timer<Member>),
    /// Try to reach members that are missing from the view.
    Reconnect,
    /// Compare with a random member, unless a comparison was scheduled since this one.
    AntiEntropy { round: u64 },
    /// Probe a member that is suspected in this incarnation once more.
    ProbeSuspect { member: Member, incarnation: u16 },
}

/// Membership as one process of the fleet sees it.
///
/// It reads no clock and owns no socket: the caller passes the time into each call, carries out the
/// [`Effect`]s that a call returns, and calls [`Membership::tick`] when
/// [`Membership::next_deadline`] has come.
pub struct Membership {
    foca: Foca<Member, PostcardCodec, StdRng, LoadTable>,
    loads: LoadTable,
    load_reporter: LoadReporter,
    timing: Timing,
    rng: StdRng,
    /// Where members may be by the configuration, whether they are known or not.
    configured_peers: Vec<Member>,
    view: View,
    counters: Counters,
    timers: Timers<TimerEvent>,
    health: LocalHealth,
    /// Suspicions of this process's own that have not run out.
    suspicions: BTreeMap<SuspicionKey, Suspicion>,
    /// Whether it has taken its name from a process that seemed alive.
    name_taken_over: bool,
    defunct: bool,
    anti_entropy_interval: Millis,
    /// The round of the comparison that is scheduled; timers of earlier ones are stale.
    anti_entropy_round: u64,
}

impl Membership {
    /// A process that starts at `now` in a fleet of about `size` members, as `local`, and is
    /// configured with where others may be. `seed` is its only source of randomness.
    pub fn new(
        now: Millis,
        local: Member,
        configured_peers: Vec<Member>,
        timing: Timing,
        size: u32,
        seed: u64,
    ) -> Membership {
        let mut rng = StdRng::seed_from_u64(seed);
        let loads = LoadTable::default();
        let foca = Foca::with_custom_broadcast(
            local.clone(),
            timing.foca_config(size),
            StdRng::seed_from_u64(rng.random()),
            PostcardCodec,
            loads.clone(),
        );
        let mut view = View::default();
        view.present.insert(local.name.clone(), local);
        let mut membership = Membership {
            foca,
            loads,
            load_reporter: LoadReporter::default(),
            anti_entropy_interval: timing.dissemination_time(),
            timing,
            rng,
            configured_peers,
            view,
            counters: Counters::default(),
            timers: Timers::new(now),
            health: LocalHealth::default(),
            suspicions: BTreeMap::new(),
            name_taken_over: false,
            defunct: false,
            anti_entropy_round: 0,
        };
        // The first attempt is made at once; of many processes that start together each draws whom
        // it contacts.
        membership.timers.schedule(0.0, TimerEvent::Reconnect);
        membership.schedule_anti_entropy();
        membership
    }

    /// This process as others know it.
    pub fn local_member(&self) -> &Member {
        self.foca.identity()
    }

    /// Which members seem present.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Lifeguard's local health score, from 0 (healthy) to 8: probe intervals and suspicion
    /// timeouts are this many and one times their length.
    pub fn health_score(&self) -> u32 {
        self.health.score()
    }

    /// Whether it takes part no more: it left, or another process has its name.
    pub fn is_defunct(&self) -> bool {
        self.defunct
    }

    /// The load that a member reported last, in thousandths of its capacity.
    pub fn load_of(&self, name: &str) -> Option<u16> {
        self.loads.load_of(name)
    }

    /// When [`Membership::tick`] is to be called next, on the caller's clock.
    pub fn next_deadline(&self) -> Option<Millis> {
        self.timers.next_deadline()
    }

    /// Fires the timers that are due.
    pub fn tick(&mut self, now: Millis) -> Vec<Effect> {
        self.advance(now);
        let mut effects = Vec::new();
        while let Some(event) = self.timers.pop_due() {
            if self.defunct {
                continue;
            }
            match event {
                TimerEvent::Protocol(timer) => self.handle_protocol_timer(timer, &mut effects),
                TimerEvent::Reconnect => self.reconnect(&mut effects),
                TimerEvent::AntiEntropy { round } => self.start_comparison(round, &mut effects),
                TimerEvent::ProbeSuspect {
                    member,
                    incarnation,
                } => self.probe_suspect(member, incarnation, &mut effects),
            }
        }
        effects
    }

    /// Reports how busy this process is, in thousandths of its capacity, if a report is due. It
    /// goes out with the datagrams that follow. A load that does not change is repeated seldom.
    pub fn report_load(&mut self, now: Millis, load: u16) {
        let members = self.view.present.len();
        let local = self.foca.identity();
        let Some(report) = self.load_reporter.report(now, load, local, members) else {
            return;
        };
        if let Ok(bytes) = postcard::to_stdvec(&report) {
            // It is short and newer than the one before, so it is always accepted.
            let _ = self.foca.add_broadcast(&bytes);
        }
    }

    /// Leaves by its own choice: it notifies some members, which notify the others.
    pub fn leave(&mut self, now: Millis) -> Vec<Effect> {
        self.advance(now);
        let mut effects = Vec::new();
        if self.defunct {
            return effects;
        }
        let local = self.local_member().clone();
        let leaving = Member {
            leaving: true,
            generation: local.generation.saturating_add(1),
            ..local
        };
        self.run_protocol(&mut effects, |foca, output| {
            foca.change_identity(leaving, output)
        });
        self.run_protocol(&mut effects, |foca, output| foca.leave_cluster(output));
        self.defunct = true;
        effects
    }

    /// Moves the time on. A stall counts against this process, not against those that it could not
    /// hear.
    fn advance(&mut self, now: Millis) {
        let progress = self.timers.advance(now, self.timing.timer_tolerance);
        if progress == Progress::Stalled {
            self.counters.stalls += 1;
            self.health.penalize(STALL_PENALTY);
        }
    }

    /// Draws a span between a half and one and a half of `span`, so that processes which start
    /// together do not stay in step.
    fn jitter(&mut self, span: Millis) -> Millis {
        span * self.rng.random_range(0.5..1.5)
    }
}
