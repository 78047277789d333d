//! Load reports: how busy each member is. A load changes too often to be part of a member's
//! identity, so load reports are spread separately, behind the updates of a datagram.

use crate::member::{Member, MAX_MEMBERS, MAX_NAME_BYTES};
use crate::name::Name;
use crate::timing::Millis;
use foca::{BroadcastHandler, Invalidates};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Maximum number of load reports that all members together send, per second. Gossip passes each
/// report on, so a report costs every member about ten times its 25 bytes.
const LOAD_REPORTS_PER_SECOND: f64 = 5.0;
/// Smallest change of a load that is reported after one report interval, in thousandths of the
/// member's capacity.
const LOAD_CHANGE: u16 = 100;
/// Number of report intervals after which an unchanged load is reported again, for members that
/// joined since.
const REPEAT_INTERVALS: f64 = 20.0;

/// A member's report of its load. The fields are encoded in this order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LoadReport {
    /// The member's name.
    pub name: Name,
    /// The member's generation.
    pub generation: u64,
    /// Increases with each report of the same generation.
    pub sequence: u32,
    /// The load in thousandths of the member's capacity.
    pub load: u16,
}

impl LoadReport {
    fn is_newer_than(&self, other: &LoadReport) -> bool {
        (self.generation, self.sequence) > (other.generation, other.sequence)
    }
}

/// Key of a report in the broadcast queue. A later report of a member replaces an earlier one that
/// is still being spread.
pub(crate) struct LoadReportKey(LoadReport);

impl Invalidates for LoadReportKey {
    fn invalidates(&self, other: &LoadReportKey) -> bool {
        self.0.name == other.0.name && !other.0.is_newer_than(&self.0)
    }
}

/// The latest report of each member. The protocol library writes it through one handle, and
/// [`Membership`](crate::Membership) reads it through another.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadTable(Rc<RefCell<BTreeMap<Name, LoadReport>>>);

impl LoadTable {
    /// The load that a member reported last, in thousandths of its capacity; `None` if no report
    /// has arrived.
    pub(crate) fn load_of(&self, name: &str) -> Option<u16> {
        self.0.borrow().get(name).map(|report| report.load)
    }
}

impl<T> BroadcastHandler<T> for LoadTable {
    type Key = LoadReportKey;
    type Error = postcard::Error;

    fn receive_item(
        &mut self,
        data: &[u8],
        _sender: Option<&T>,
    ) -> Result<Option<LoadReportKey>, postcard::Error> {
        let report: LoadReport = postcard::from_bytes(data)?;
        let mut reports = self.0.borrow_mut();
        let known = reports.get(&report.name);
        let has_capacity = known.is_some() || reports.len() < MAX_MEMBERS;
        if !has_capacity
            || report.name.len() > MAX_NAME_BYTES
            || known.is_some_and(|known| !report.is_newer_than(known))
        {
            return Ok(None);
        }
        reports.insert(report.name.clone(), report.clone());
        Ok(Some(LoadReportKey(report)))
    }
}

/// When this process last reported its load, and the load that it reported.
#[derive(Clone, Copy, Debug)]
struct LastReport {
    at: Millis,
    load: u16,
}

/// Decides when this process reports its load.
#[derive(Debug, Default)]
pub(crate) struct LoadReporter {
    sequence: u32,
    last: Option<LastReport>,
}

impl LoadReporter {
    /// Returns the report to send now, if one is due. Every report reaches all members, so the
    /// interval between two reports of a member grows with the number of members: together they
    /// send at most [`LOAD_REPORTS_PER_SECOND`].
    pub(crate) fn report(
        &mut self,
        now: Millis,
        load: u16,
        local: &Member,
        members: usize,
    ) -> Option<LoadReport> {
        let interval = 1000.0 / LOAD_REPORTS_PER_SECOND * members as f64;
        let due = self.last.is_none_or(|last| {
            let elapsed = now - last.at;
            let changed = load.abs_diff(last.load) >= LOAD_CHANGE;
            elapsed >= interval * REPEAT_INTERVALS || elapsed >= interval && changed
        });
        if !due {
            return None;
        }
        self.last = Some(LastReport { at: now, load });
        self.sequence = self.sequence.wrapping_add(1);
        Some(LoadReport {
            name: local.name.clone(),
            generation: local.generation,
            sequence: self.sequence,
            load,
        })
    }
}
