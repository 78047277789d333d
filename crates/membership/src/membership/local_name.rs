//! Conflicts between processes that claim the name of this one.

use super::Membership;
use crate::effect::{Change, Effect};
use crate::member::{Member, MemberState, MemberUpdate};

/// Increase of the local health score when this process is suspected by another.
const SUSPECTED_PENALTY: u32 = 1;

impl Membership {
    /// Defends the name of this process. A process that starts takes the name over, once, from the
    /// process that had it. Of two processes that both run, the one that started later keeps the
    /// name. All other members settle the conflict in the same way, by the higher generation.
    pub(super) fn defend_name<'a>(
        &mut self,
        updates: impl Iterator<Item = &'a MemberUpdate>,
        effects: &mut Vec<Effect>,
    ) {
        let name = &self.local_member().name;
        let claims = updates.filter(|update| update.member.name == *name);
        let Some(claim) = claims.max_by_key(|update| update.member.generation) else {
            return;
        };
        let local = self.local_member().clone();
        let other = &claim.member;
        if other.generation == local.generation && claim.state == MemberState::Suspect {
            self.health.penalize(SUSPECTED_PENALTY);
        }
        let same_process = other.instance_id == local.instance_id;
        if other.generation < local.generation
            || other.generation == local.generation && same_process
        {
            return;
        }
        let other_runs = !same_process && claim.state != MemberState::Down;
        if other_runs && self.must_yield_name(&local, other) {
            self.defunct = true;
            effects.push(Effect::Changed(Change::NameLost(other.clone())));
            return;
        }
        if other_runs {
            self.name_taken_over = true;
        }
        let Some(generation) = other.generation.checked_add(1) else {
            return;
        };
        let renewed = Member {
            generation,
            ..local
        };
        self.run_protocol(effects, |foca, output| {
            foca.change_identity(renewed, output)
        });
    }

    /// Whether another process that runs under this name keeps it. Two processes that take the name
    /// from each other at the same time would go on forever, so their random instance ids decide.
    fn must_yield_name(&self, local: &Member, other: &Member) -> bool {
        let active_time = self.timers.active_time();
        let settled = active_time > self.timing.name_takeover_window || self.name_taken_over;
        let other_wins =
            (other.generation, other.instance_id) > (local.generation, local.instance_id);
        settled && other_wins
    }
}
