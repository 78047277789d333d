//! The view of the fleet: who seems present.

use crate::member::{Member, Name};
use std::collections::BTreeMap;

/// Who seems present.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Grows with each change.
    pub revision: u64,
    /// Those present, this process included, by name.
    pub present: BTreeMap<Name, Member>,
    /// Those that failed and are not back, with when, ms.
    pub failed: BTreeMap<Name, (Member, f64)>,
}

impl View {
    /// The part of the fleet that is reachable: of those present and those that failed of late, the former.
    pub fn reachable(&self) -> f64 {
        self.present.len() as f64 / (self.present.len() + self.failed.len()).max(1) as f64
    }
}
