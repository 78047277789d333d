//! Suspicions: a member that did not answer a probe may refute the suspicion for a time, and is
//! probed meanwhile.

use super::anti_entropy::ComparisonMessage;
use super::{Membership, TimerEvent};
use crate::effect::Effect;
use crate::member::{Member, MemberState, MemberUpdate};
use crate::name::Name;
use crate::timing::Millis;
use foca::Timer;

/// Which incarnation of a member is suspected: the one in which it did not answer.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SuspicionKey {
    /// The member's name.
    pub name: Name,
    generation: u64,
    incarnation: u16,
}

impl SuspicionKey {
    fn new(member: &Member, incarnation: u16) -> SuspicionKey {
        SuspicionKey {
            name: member.name.clone(),
            generation: member.generation,
            incarnation,
        }
    }
}

/// A suspicion that has not run out.
#[derive(Debug, Default)]
pub(super) struct Suspicion {
    /// Whether the member has answered since.
    pub answered: bool,
}

impl Membership {
    /// Starts the time in which a member may refute a suspicion, and probes it until it answers. A
    /// member that is suspected once more in the same incarnation has its time already.
    pub(super) fn start_suspicion(&mut self, timer: Timer<Member>, timeout: Millis) {
        let Timer::ChangeSuspectToDown {
            member_id,
            incarnation,
            ..
        } = &timer
        else {
            return;
        };
        let member = member_id.clone();
        let incarnation = *incarnation;
        let key = SuspicionKey::new(&member, incarnation);
        if self.suspicions.contains_key(&key) {
            return;
        }
        self.suspicions.insert(key, Suspicion::default());
        let probe = TimerEvent::ProbeSuspect {
            member,
            incarnation,
        };
        self.timers.schedule(0.0, probe);
        self.timers.schedule(timeout, TimerEvent::Protocol(timer));
    }

    /// Probes a suspected member once more, unless it has answered or refuted the suspicion.
    pub(super) fn probe_suspect(
        &mut self,
        member: Member,
        incarnation: u16,
        effects: &mut Vec<Effect>,
    ) {
        let key = SuspicionKey::new(&member, incarnation);
        let suspicion = self.suspicions.get(&key);
        let unanswered = suspicion.is_some_and(|suspicion| !suspicion.answered);
        if !unanswered || !self.suspects(&member, incarnation) {
            return;
        }
        self.run_protocol(effects, |foca, output| {
            foca.announce(member.clone(), output)
        });
        let next = TimerEvent::ProbeSuspect {
            member,
            incarnation,
        };
        self.timers.schedule(self.timing.probe_timeout, next);
    }

    /// Whether a timer is the end of a suspicion that must not lead to a failure. A member that
    /// answered meanwhile is present and its refutation has yet to come: it gets the suspicion
    /// timeout once more and is notified of the suspicion, as that message may have been lost. Only
    /// an answer counts: a member that sends but receives nothing is of no use.
    pub(super) fn extend_suspicion(
        &mut self,
        timer: &Timer<Member>,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Timer::ChangeSuspectToDown {
            member_id,
            incarnation,
            ..
        } = timer
        else {
            return false;
        };
        let removed = self
            .suspicions
            .remove(&SuspicionKey::new(member_id, *incarnation));
        if !self.suspects(member_id, *incarnation) {
            // It has refuted the suspicion. The protocol library would find the timer stale and
            // notify the member of its failure all the same, as it asks only whether the member is
            // known: the member would rejoin under a new generation for nothing.
            return true;
        }
        let answered = removed.is_some_and(|suspicion| suspicion.answered);
        if answered {
            self.start_suspicion(timer.clone(), self.timing.suspicion_timeout);
            let update = MemberUpdate {
                member: member_id.clone(),
                incarnation: *incarnation,
                state: MemberState::Suspect,
            };
            let message = ComparisonMessage::Updates {
                updates: vec![update],
                reply_wanted: false,
            };
            effects.push(Effect::SendComparison {
                to: member_id.clone(),
                bytes: message.encode(),
            });
        }
        answered
    }

    /// Records that a member answered: all suspicions of it are.
    pub(super) fn record_answer(&mut self, name: &Name) {
        for (key, suspicion) in &mut self.suspicions {
            if key.name == *name {
                suspicion.answered = true;
            }
        }
    }

    fn suspects(&self, member: &Member, incarnation: u16) -> bool {
        self.foca.iter_members().any(|known| {
            known.id() == member
                && known.state() == foca::State::Suspect
                && known.incarnation() == incarnation
        })
    }
}
