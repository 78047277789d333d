//! Anti-entropy: at intervals, two members exchange all that they know of the fleet, which repairs
//! what gossip has missed. Members that are missing from the view are contacted again.

use super::{Membership, TimerEvent};
use crate::effect::Effect;
use crate::member::{Member, MemberUpdate, MAX_MEMBERS};
use crate::timing::Millis;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use std::hash::{Hash, Hasher};

/// Number of members that a process contacts at a time while no other member is present in its
/// view.
const CONTACTS_WHEN_ALONE: usize = 2;
/// Factor by which the interval between two exchanges grows until it reaches its limit.
const INTERVAL_GROWTH: f64 = 2.0;

/// An anti-entropy message. The order of the variants is their number on the wire.
#[derive(Serialize, Deserialize)]
pub(super) enum AntiEntropyMessage {
    /// The digest of the members that the sender knows to be present. A receiver with the same
    /// digest does not reply.
    Digest(u64),
    /// The states of members as the sender knows them. The fields are encoded in this order.
    Updates {
        /// One update for each member.
        updates: Vec<MemberUpdate>,
        /// Whether the receiver has to send its own updates back.
        reply_wanted: bool,
    },
}

impl AntiEntropyMessage {
    /// Encodes the message.
    pub(super) fn encode(&self) -> Vec<u8> {
        // Encoding plain values into a vector cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }
}

/// The result of handling an anti-entropy message.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AntiEntropyOutcome {
    /// The actions that the caller has to carry out.
    pub effects: Vec<Effect>,
    /// The message to send back to the sender, if any.
    pub reply: Option<Vec<u8>>,
}

impl Membership {
    /// Handles an anti-entropy message that arrived at `now`. A message that is malformed, or would
    /// exceed the limit on known members, is counted and dropped.
    pub fn handle_anti_entropy(&mut self, now: Millis, bytes: &[u8]) -> AntiEntropyOutcome {
        self.advance(now);
        if self.defunct {
            return AntiEntropyOutcome::default();
        }
        match postcard::from_bytes(bytes) {
            Ok(AntiEntropyMessage::Digest(digest)) => self.handle_digest(digest),
            Ok(AntiEntropyMessage::Updates {
                updates,
                reply_wanted,
            }) if updates.len() <= MAX_MEMBERS && self.has_capacity(&updates) => {
                self.handle_updates(updates, reply_wanted)
            }
            _ => {
                self.counters.malformed += 1;
                AntiEntropyOutcome::default()
            }
        }
    }

    fn handle_digest(&mut self, digest: u64) -> AntiEntropyOutcome {
        if digest == self.digest() {
            return AntiEntropyOutcome::default();
        }
        self.counters.digest_mismatches += 1;
        AntiEntropyOutcome {
            effects: Vec::new(),
            reply: Some(self.encode_updates(true)),
        }
    }

    fn handle_updates(
        &mut self,
        updates: Vec<MemberUpdate>,
        reply_wanted: bool,
    ) -> AntiEntropyOutcome {
        let mut effects = Vec::new();
        self.defend_name(updates.iter(), &mut effects);
        if self.defunct {
            return AntiEntropyOutcome {
                effects,
                reply: None,
            };
        }
        let members = updates.into_iter().map(MemberUpdate::into_foca);
        self.run_protocol(&mut effects, |foca, output| {
            foca.apply_many(members, true, output)
        });
        let reply = reply_wanted.then(|| self.encode_updates(false));
        AntiEntropyOutcome { effects, reply }
    }

    /// Schedules the next exchange, in place of the one that is scheduled already.
    pub(super) fn schedule_anti_entropy(&mut self) {
        self.anti_entropy_round += 1;
        let after = self.jitter(self.anti_entropy_interval);
        let round = self.anti_entropy_round;
        self.timers
            .schedule(after, TimerEvent::AntiEntropy { round });
    }

    /// Brings the next exchange forward to the time by which the update of a change has most likely
    /// reached all members: this process may have missed other updates with the same cause.
    pub(super) fn hasten_anti_entropy(&mut self) {
        let soon = self.timing.dissemination_time();
        if self.anti_entropy_interval > soon {
            self.anti_entropy_interval = soon;
            self.schedule_anti_entropy();
        }
    }

    /// Starts an exchange with a present member that is chosen at random, unless `round` is stale.
    pub(super) fn start_anti_entropy(&mut self, round: u64, effects: &mut Vec<Effect>) {
        if round != self.anti_entropy_round {
            return;
        }
        let next_interval = self.anti_entropy_interval * INTERVAL_GROWTH;
        self.anti_entropy_interval = next_interval.min(self.timing.anti_entropy_interval);
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

    /// Contacts a member that should be present and is not: one that is configured or failed
    /// recently. A process that knows no other present member contacts more members, and more
    /// often.
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
        for member in self.sample_missing_members(contacts) {
            effects.push(self.send_digest(member.clone()));
            self.run_protocol(effects, |foca, output| foca.announce(member, output));
        }
    }

    /// Chooses up to `count` members at random that are configured or failed recently, and are not
    /// present.
    fn sample_missing_members(&mut self, count: usize) -> Vec<Member> {
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
        Effect::SendAntiEntropy {
            to,
            bytes: AntiEntropyMessage::Digest(self.digest()).encode(),
        }
    }

    /// Encodes a message with the states of all known members.
    fn encode_updates(&self, reply_wanted: bool) -> Vec<u8> {
        let message = AntiEntropyMessage::Updates {
            updates: self.updates(),
            reply_wanted,
        };
        message.encode()
    }

    /// The states of all known members, and of this process while it participates.
    fn updates(&self) -> Vec<MemberUpdate> {
        let local = MemberUpdate::alive(self.local_member().clone());
        let others = self
            .foca
            .iter_membership_state()
            .map(MemberUpdate::from_foca);
        others.chain((!self.defunct).then_some(local)).collect()
    }

    /// Hashes the members that are present. Suspicions are left out because they come and go, and
    /// members that are down because each process forgets them at a different time.
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
