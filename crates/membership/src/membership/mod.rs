//! The membership protocol: datagrams, anti-entropy messages and the time go in; what has to be
//! sent, and what has changed, come out.

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

pub use anti_entropy::AntiEntropyOutcome;

/// Increase of the local health score at each stall.
const STALL_PENALTY: u32 = 2;

#[derive(Debug)]
enum TimerEvent {
    /// A timer of the protocol library.
    Protocol(Timer<Member>),
    /// Contact members that are missing from the view.
    Reconnect,
    /// Start an anti-entropy exchange with a random member, unless another one was scheduled since.
    AntiEntropy { round: u64 },
    /// Probe a member again that is suspected in this incarnation.
    ProbeSuspect { member: Member, incarnation: u16 },
}

/// The membership of a fleet, as one of its processes knows it.
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
    /// Members that are configured with their addresses, whether they are known or not.
    configured_peers: Vec<Member>,
    view: View,
    counters: Counters,
    timers: Timers<TimerEvent>,
    health: LocalHealth,
    /// Suspicions whose timeout is running in this process.
    suspicions: BTreeMap<SuspicionKey, Suspicion>,
    /// Whether this process has taken its name over from a process that appeared to be alive.
    name_taken_over: bool,
    defunct: bool,
    anti_entropy_interval: Millis,
    /// The round of the anti-entropy exchange that is scheduled. Timers of earlier rounds are
    /// stale.
    anti_entropy_round: u64,
}

impl Membership {
    /// Creates the membership of a process that starts at `now` as `local`, in a fleet of about
    /// `size` members. `configured_peers` are members that it can contact first. `seed` is the only
    /// source of randomness.
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
        // Missing members are contacted at once. Of many processes that start together, each
        // chooses at random whom it contacts.
        membership.timers.schedule(0.0, TimerEvent::Reconnect);
        membership.schedule_anti_entropy();
        membership
    }

    /// This process, as other members know it.
    pub fn local_member(&self) -> &Member {
        self.foca.identity()
    }

    /// Which members appear to be alive.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Lifeguard's local health score, from 0 (healthy) to 8. Probe intervals and suspicion
    /// timeouts are multiplied by the score plus one.
    pub fn health_score(&self) -> u32 {
        self.health.score()
    }

    /// Whether this process no longer participates: it left, or another process holds its name.
    pub fn is_defunct(&self) -> bool {
        self.defunct
    }

    /// The load that a member reported last, in thousandths of its capacity; `None` if no report
    /// has arrived.
    pub fn load_of(&self, name: &str) -> Option<u16> {
        self.loads.load_of(name)
    }

    /// When [`Membership::tick`] has to be called next, on the caller's clock; `None` if no timer
    /// is set.
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
                TimerEvent::AntiEntropy { round } => self.start_anti_entropy(round, &mut effects),
                TimerEvent::ProbeSuspect {
                    member,
                    incarnation,
                } => self.probe_suspect(member, incarnation, &mut effects),
            }
        }
        effects
    }

    /// Reports how busy this process is, in thousandths of its capacity, if a report is due. The
    /// report is sent with the datagrams that follow. An unchanged load is repeated rarely.
    pub fn report_load(&mut self, now: Millis, load: u16) {
        let members = self.view.present.len();
        let local = self.foca.identity();
        let Some(report) = self.load_reporter.report(now, load, local, members) else {
            return;
        };
        if let Ok(bytes) = postcard::to_stdvec(&report) {
            // The report is short and newer than the previous one, so it is always accepted.
            let _ = self.foca.add_broadcast(&bytes);
        }
    }

    /// Leaves the fleet voluntarily: notifies some members, which notify the others.
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

    /// Advances the time. A stall raises the local health score of this process: it counts against
    /// this process, not against the members whose messages were not handled meanwhile.
    fn advance(&mut self, now: Millis) {
        let progress = self.timers.advance(now, self.timing.timer_tolerance);
        if progress == Progress::Stalled {
            self.counters.stalls += 1;
            self.health.penalize(STALL_PENALTY);
        }
    }

    /// Returns a random span between 0.5 and 1.5 times `span`, so that processes that start
    /// together do not stay synchronized.
    fn jitter(&mut self, span: Millis) -> Millis {
        span * self.rng.random_range(0.5..1.5)
    }
}
