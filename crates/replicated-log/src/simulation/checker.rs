//! The checker: what a run must never show.

use super::clients::payload;
use super::{node_name, Simulation};
use crate::client::WriteResult;
use crate::settings::Millis;
use std::collections::BTreeMap;

/// An acknowledged write.
#[derive(Clone, Copy)]
struct Acknowledged {
    started: Millis,
    ended: Millis,
    /// The index in the list that the client was answered.
    index: u64,
}

impl Simulation {
    /// The violations that the run shows: every acknowledged write must be in the list, once, at
    /// the index that its client was answered; no write may be there twice; no two replicas may
    /// ever have had different items at one index; and a write that was started after another was
    /// acknowledged must come after it.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = self.run_violations.clone();
        self.check_replicas(&mut violations);
        let indexes = self.check_single_application(&mut violations);
        let acknowledged = self.check_acknowledged(&indexes, &mut violations);
        check_real_time_order(acknowledged, &mut violations);
        violations
    }

    fn check_replicas(&self, violations: &mut Vec<String>) {
        for node in 0..self.nodes.len() {
            let Some(replica) = self.replica(node) else {
                continue;
            };
            let list = &replica.state().state_machine.0;
            let difference = list
                .iter()
                .zip(&self.reference)
                .position(|(item, reference)| item != reference);
            if let Some(index) = difference {
                let name = node_name(node);
                violations.push(format!("{name} has another item at index {index}"));
            }
        }
    }

    /// Returns the index of each write in the list.
    fn check_single_application(&self, violations: &mut Vec<String>) -> BTreeMap<&[u8], usize> {
        let mut indexes = BTreeMap::new();
        for (index, bytes) in self.reference.iter().enumerate() {
            if let Some(first) = indexes.insert(&bytes[..], index) {
                violations.push(format!("one write at indexes {first} and {index}"));
            }
        }
        indexes
    }

    /// Returns the acknowledged writes.
    fn check_acknowledged(
        &self,
        indexes: &BTreeMap<&[u8], usize>,
        violations: &mut Vec<String>,
    ) -> Vec<Acknowledged> {
        let mut acknowledged = Vec::new();
        for (number, write) in self.writes.iter().enumerate() {
            let Some(ended) = &write.ended else { continue };
            let WriteResult::Acknowledged(answer) = &ended.result else {
                continue;
            };
            let bytes = payload(write.client, number);
            let actual = indexes.get(&bytes[..]).map(|index| *index as u64);
            let answered = answer[..].try_into().map(u64::from_le_bytes).ok();
            if actual != answered {
                violations.push(format!(
                    "write {number} was acknowledged at {answered:?} and is at {actual:?}"
                ));
            }
            acknowledged.push(Acknowledged {
                started: write.started,
                ended: ended.at,
                index: answered.unwrap_or_default(),
            });
        }
        acknowledged
    }
}

/// Checks linearizability: no write may be at an earlier index than any that was acknowledged
/// before it was started.
fn check_real_time_order(mut acknowledged: Vec<Acknowledged>, violations: &mut Vec<String>) {
    let mut by_end = acknowledged.clone();
    by_end.sort_by(|a, b| a.ended.total_cmp(&b.ended));
    acknowledged.sort_by(|a, b| a.started.total_cmp(&b.started));
    let mut ended_before = by_end.iter().peekable();
    let mut highest = None;
    for write in acknowledged {
        while let Some(earlier) = ended_before.next_if(|earlier| earlier.ended < write.started) {
            highest = highest.max(Some(earlier.index));
        }
        if highest.is_some_and(|highest| write.index < highest) {
            violations.push(format!(
                "index {} was asked for after index {highest:?} was acknowledged",
                write.index
            ));
        }
    }
}
