//! The view of the fleet: which members seem present.

use crate::member::Member;
use crate::name::Name;
use crate::timing::Millis;
use std::collections::BTreeMap;

/// A member that failed and has not come back.
#[derive(Clone, Debug, PartialEq)]
pub struct FailedMember {
    /// The member as it was known last.
    pub member: Member,
    /// When it was declared failed, on the caller's clock.
    pub failed_at: Millis,
}

/// Which members seem present, as one process knows it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Grows by one with each change.
    pub revision: u64,
    /// Members that are present, this process included, by name.
    pub present: BTreeMap<Name, Member>,
    /// Members that failed of late and have not come back, by name.
    pub failed: BTreeMap<Name, FailedMember>,
}

impl View {
    /// The fraction of the fleet that is reachable, from 0 to 1: members present, of those present
    /// or failed of late.
    pub fn reachable_fraction(&self) -> f64 {
        self.present.len() as f64 / (self.present.len() + self.failed.len()).max(1) as f64
    }
}
