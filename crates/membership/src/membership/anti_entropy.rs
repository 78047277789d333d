//! Anti-entropy: now and then two members compare all that they know, which mends what gossip has
//! missed, and members that are missing from the view are contacted anew.

use super::{Membership, TimerEvent};
use crate::effect::Effect;
use crate::member::{Member, MemberUpdate, MAX_MEMBERS};
use crate::timing::Millis;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use std::hash::{Hash, Hasher};

/// Members that a process which knows nobody contacts at a time.
const CONTACTS_WHEN_ALONE: usize = 2;
/// By how much the time between two comparisons grows until it reaches its limit.
const INTERVAL_GROWTH: f64 = 2.0;

/// A message of a comparison. The order of the variants is their number on the wire.
#[derive(Serialize, Deserialize)]
pub(super) enum ComparisonMessage {
    /// The digest of what the sender knows. A receiver with the same one does not reply.
    Digest(u64),
    /// What the sender knows of members. The order of the fields is the order on the wire.
    Updates {
        /// The updates.
        updates: Vec<MemberUpdate>,
        /// Whether the receiver is to send its own updates back.
        reply_wanted: bool,
    },
}

impl ComparisonMessage {
    /// The message as it is written.
    pub(super) fn encode(&self) -> Vec<u8> {
        // Plain values in memory can always be written.
        postcard::to_stdvec(self).unwrap_or_default()
    }
}

/// What handling a message of a comparison came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ComparisonOutcome {
    /// What is to be done.
    pub effects: Vec<Effect>,
    /// What is to be sent back to the sender, if anything.
    pub reply: Option<Vec<u8>>,
}

impl Membership {
    /// Handles a message of a comparison that came at `now`. A malformed one, and one that names
    /// more members than can be known, is counted and dropped.
    pub fn handle_comparison(&mut self, now: Millis, bytes: &[u8]) -> ComparisonOutcome {
        self.advance(now);
        if self.defunct {
            return ComparisonOutcome::default();
        }
        match postcard::from_bytes(bytes) {
            Ok(ComparisonMessage::Digest(digest)) => self.handle_digest(digest),
            Ok(ComparisonMessage::Updates {
                updates,
                reply_wanted,
            }) if updates.len() <= MAX_MEMBERS && self.has_capacity(&updates) => {
                self.handle_updates(updates, reply_wanted)
            }
            _ => {
                self.counters.malformed += 1;
                ComparisonOutcome::default()
            }
        }
    }

    fn handle_digest(&mut self, digest: u64) -> ComparisonOutcome {
        if digest == self.digest() {
            return ComparisonOutcome::default();
        }
        self.counters.digest_mismatches += 1;
        ComparisonOutcome {
            effects: Vec::new(),
            reply: Some(self.encode_updates(true)),
        }
    }

    fn handle_updates(
        &mut self,
        updates: Vec<MemberUpdate>,
        reply_wanted: bool,
    ) -> ComparisonOutcome {
        let mut effects = Vec::new();
        self.defend_name(updates.iter(), &mut effects);
        if self.defunct {
            return ComparisonOutcome {
                effects,
                reply: None,
            };
        }
        let members = updates.into_iter().map(MemberUpdate::into_foca);
        self.run_protocol(&mut effects, |foca, output| {
            foca.apply_many(members, true, output)
        });
        let reply = reply_wanted.then(|| self.encode_updates(false));
        ComparisonOutcome { effects, reply }
    }

    /// Schedules the next comparison; one that is scheduled already is void.
    pub(super) fn schedule_anti_entropy(&mut self) {
        self.anti_entropy_round += 1;
        let after = self.jitter(self.anti_entropy_interval);
        let round = self.anti_entropy_round;
        self.timers
            .schedule(after, TimerEvent::AntiEntropy { round });
    }

    /// Schedules a comparison for when the update of a change has had time to reach all members:
    /// this process may have missed others of the same cause.
    pub(super) fn hasten_comparison(&mut self) {
        let soon = self.timing.dissemination_time();
        if self.anti_entropy_interval > soon {
            self.anti_entropy_interval = soon;
            self.schedule_anti_entropy();
        }
    }

    /// Compares with a member that is present, drawn at random.
    pub(super) fn start_comparison(&mut self, round: u64, effects: &mut Vec<Effect>) {
        if round != self.anti_entropy_round {
            return;
        }
        let longer = self.anti_entropy_interval * INTERVAL_GROWTH;
        self.anti_entropy_interval = longer.min(self.timing.anti_entropy_interval);
        self.schedule_anti_entropy();
        let local = self.local_member().name.clone();
        let others = self
            .view
            .present
            .values()
            .filter(|member| member.name != local);
        if let Some(to) = others.choose(&mut self.rng).cloned() {
            effects.push(self.send_digest(to));
        }
    }

    /// Contacts a member that should be present and is not: one that is configured, or failed of
    /// late. A process that is alone contacts more of them, and more often.
    pub(super) fn reconnect(&mut self, effects: &mut Vec<Effect>) {
        let now = self.timers.now();
        let retention = self.timing.failed_retention;
        self.view
            .failed
            .retain(|_, failed| now - failed.failed_at < retention);
        let alone = self.view.present.len() <= 1;
        let interval = if alone {
            self.timing.probe_interval
        } else {
            self.timing.reconnect_interval
        };
        let next = self.jitter(interval);
        self.timers.schedule(next, TimerEvent::Reconnect);
        let contacts = if alone { CONTACTS_WHEN_ALONE } else { 1 };
        for member in self.draw_missing(contacts) {
            effects.push(self.send_digest(member.clone()));
            self.run_protocol(effects, |foca, output| foca.announce(member, output));
        }
    }

    /// Draws members that are configured or failed of late, and are not present.
    fn draw_missing(&mut self, count: usize) -> Vec<Member> {
        let failed = self
            .view
            .failed
            .values()
            .map(|failed| Member::at_address(&failed.member.name, failed.member.address));
        let candidates = self.configured_peers.iter().cloned().chain(failed);
        let missing = candidates.filter(|member| !self.view.present.contains_key(&member.name));
        missing.sample(&mut self.rng, count)
    }

    fn send_digest(&self, to: Member) -> Effect {
        Effect::SendComparison {
            to,
            bytes: ComparisonMessage::Digest(self.digest()).encode(),
        }
    }

    /// The message with all that is known.
    fn encode_updates(&self, reply_wanted: bool) -> Vec<u8> {
        let message = ComparisonMessage::Updates {
            updates: self.updates(),
            reply_wanted,
        };
        message.encode()
    }

    /// All that is known: every member with its state, and this process.
    fn updates(&self) -> Vec<MemberUpdate> {
        let local = MemberUpdate::alive(self.local_member().clone());
        let others = self
            .foca
            .iter_membership_state()
            .map(MemberUpdate::from_foca);
        others.chain((!self.defunct).then_some(local)).collect()
    }

    /// A hash of the members that are present. Suspicions come and go, and members that are down
    /// are forgotten at different times: neither counts.
    fn digest(&self) -> u64 {
        let mut known: Vec<(&str, u64)> = self
            .foca
            .iter_members()
            .map(|member| (&*member.id().name, member.id().generation))
            .collect();
        let local = self.local_member();
        known.push((&local.name, local.generation));
        known.sort_unstable();
        let mut hasher = fnv::FnvHasher::default();
        known.hash(&mut hasher);
        hasher.finish()
    }
}
