//! What members report of how busy they are. It changes too often to be part of who a member is.

use crate::member::{Name, LONGEST_NAME, MAX_MEMBERS};
use foca::{BroadcastHandler, Invalidates};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A member's report of its load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LoadReport {
    pub name: Name,
    pub number: u64,
    /// Grows with each report.
    pub sequence: u32,
    /// Parts of a thousand of what it can bear.
    pub load: u16,
}

impl LoadReport {
    fn newer(&self, than: &LoadReport) -> bool {
        (self.number, self.sequence) > (than.number, than.sequence)
    }
}

/// By which a later report takes the place of an earlier one that is still being spread.
pub(crate) struct Key(LoadReport);

impl Invalidates for Key {
    fn invalidates(&self, other: &Key) -> bool {
        self.0.name == other.0.name && !other.0.newer(&self.0)
    }
}

/// The last report of each. The protocol holds one handle and who asks for loads another.
#[derive(Clone, Debug, Default)]
pub(crate) struct Loads(Rc<RefCell<BTreeMap<Name, LoadReport>>>);

impl Loads {
    /// What a member last reported.
    pub(crate) fn of(&self, name: &str) -> Option<u16> {
        self.0.borrow().get(name).map(|report| report.load)
    }
}

impl<T> BroadcastHandler<T> for Loads {
    type Key = Key;
    type Error = postcard::Error;

    fn receive_item(
        &mut self,
        data: &[u8],
        _sender: Option<&T>,
    ) -> Result<Option<Key>, postcard::Error> {
        let report: LoadReport = postcard::from_bytes(data)?;
        let mut reports = self.0.borrow_mut();
        let known = reports.get(&report.name);
        let has_capacity = known.is_some() || reports.len() < MAX_MEMBERS;
        if !has_capacity
            || report.name.len() > LONGEST_NAME
            || known.is_some_and(|known| !report.newer(known))
        {
            return Ok(None);
        }
        reports.insert(report.name.clone(), report.clone());
        Ok(Some(Key(report)))
    }
}
