//! The view of the fleet: which members appear to be alive.

use crate::member::Member;
use crate::name::Name;
use crate::timing::Millis;
use std::collections::BTreeMap;

/// A member that was declared failed and has not rejoined.
#[derive(Clone, Debug, PartialEq)]
pub struct FailedMember {
    /// The member as it was last known.
    pub member: Member,
    /// When it was declared failed, on the caller's clock.
    pub failed_at: Millis,
}

/// Which members appear to be alive, as one process knows it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Increases by one with each change.
    pub revision: u64,
    /// Members that are present, which means alive or suspected, by name. This process is included.
    pub present: BTreeMap<Name, Member>,
    /// Members that failed recently and have not rejoined, by name.
    pub failed: BTreeMap<Name, FailedMember>,
}

impl View {
    /// The fraction of the fleet that is reachable, from 0 to 1: the members that are present,
    /// divided by those that are present or failed recently.
    pub fn reachable_fraction(&self) -> f64 {
        self.present.len() as f64 / (self.present.len() + self.failed.len()).max(1) as f64
    }
}
