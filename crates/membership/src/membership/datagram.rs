//! The handling of received datagrams.

use super::Membership;
use crate::effect::{Change, Effect};
use crate::member::{MemberUpdate, MAX_MEMBERS};
use crate::timing::Millis;
use crate::wire::Datagram;
use foca::Message;
use std::collections::HashSet;

impl Membership {
    /// Handles a datagram that arrived at `now`. A datagram that is malformed, or would exceed the
    /// limit on known members, is counted and dropped.
    pub fn handle_datagram(&mut self, now: Millis, bytes: &[u8]) -> Vec<Effect> {
        self.advance(now);
        let mut effects = Vec::new();
        if self.defunct {
            return effects;
        }
        self.counters.received += 1;
        self.counters.received_bytes += bytes.len() as u64;
        let datagram = Datagram::decode(bytes);
        let Some(datagram) = datagram.filter(|datagram| self.has_capacity(&datagram.updates))
        else {
            self.counters.malformed += 1;
            return effects;
        };
        self.record_sender(&datagram);
        let source = datagram.header.src;
        let local = self.local_member();
        let has_own_name = source.name == local.name;
        if has_own_name && source.instance_id != local.instance_id {
            effects.push(Effect::Changed(Change::NameConflict(source.clone())));
        }
        let sender = MemberUpdate::alive(source);
        let updates = datagram.updates.iter().chain(std::iter::once(&sender));
        self.defend_name(updates, &mut effects);
        if self.defunct || has_own_name {
            return effects;
        }
        self.run_protocol(&mut effects, |foca, output| foca.handle_data(bytes, output));
        effects
    }

    /// Records what a datagram shows of its sender's health and of this process's own.
    fn record_sender(&mut self, datagram: &Datagram) {
        self.health.record_datagram();
        match datagram.header.message {
            Message::Ack(_) | Message::ForwardedAck { .. } => self.health.record_ack(),
            // The reply to an announcement. Suspected members are probed by announcements.
            Message::Feed => self.record_answer(&datagram.header.src.name),
            _ => {}
        }
    }

    /// Whether the members that are named can all be known, together with those that are known
    /// already.
    pub(super) fn has_capacity(&self, updates: &[MemberUpdate]) -> bool {
        let known = self.foca.iter_membership_state().len();
        if known + updates.len() <= MAX_MEMBERS {
            return true;
        }
        let names: HashSet<&str> = self
            .foca
            .iter_membership_state()
            .map(|member| &*member.id().name)
            .collect();
        let unknown = updates
            .iter()
            .filter(|update| !names.contains(&*update.member.name))
            .count();
        known + unknown <= MAX_MEMBERS
    }
}
