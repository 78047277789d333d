//! Suspicions: a member that did not answer a probe may refute the suspicion until a timeout, and
//! is probed again meanwhile.

use super::anti_entropy::AntiEntropyMessage;
use super::{Membership, TimerEvent};
use crate::effect::Effect;
use crate::member::{Member, MemberState, MemberUpdate};
use crate::name::Name;
use crate::timing::Millis;
use foca::Timer;

/// Identifies a suspicion: the member, and the incarnation in which it did not answer.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SuspicionKey {
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

/// A suspicion that has not timed out.
#[derive(Debug, Default)]
pub(super) struct Suspicion {
    /// Whether the member has answered since the suspicion began.
    pub answered: bool,
}

impl Membership {
    /// Starts the timeout until which a member may refute a suspicion, and probes the member until
    /// it answers. If the same incarnation is suspected already, the timeout that is running stays.
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

    /// Probes a suspected member again, unless it has answered or refuted the suspicion.
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

    /// Whether `timer` is the end of a suspicion that must not lead to a failure. A member that has
    /// answered meanwhile is alive, but its refutation has not arrived yet. Its suspicion timeout
    /// starts again, and it is notified of the suspicion, because the first notification may have
    /// been lost. Only an answer counts: a member that sends but receives nothing is of no use.
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
            // The member has refuted the suspicion. The protocol library would find the timer
            // stale, but notify the member of its failure all the same, because it checks only
            // whether the member is known. The member would then rejoin under a new generation
            // without need.
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
            let message = AntiEntropyMessage::Updates {
                updates: vec![update],
                reply_wanted: false,
            };
            effects.push(Effect::SendAntiEntropy {
                to: member_id.clone(),
                bytes: message.encode(),
            });
        }
        answered
    }

    /// Records that a member answered, in all suspicions of that member.
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
