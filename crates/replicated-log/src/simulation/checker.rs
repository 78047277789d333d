//! The checker: safety properties that every run must satisfy.

use super::clients::payload;
use super::{node_name, Simulation};
use crate::client::WriteResult;
use crate::settings::Millis;
use std::collections::BTreeMap;

/// An acknowledged write.
#[derive(Clone, Copy)]
struct Acknowledged {
    started: Millis,
    completed: Millis,
    /// The list index that was returned to the client.
    index: u64,
}

impl Simulation {
    /// Returns all violations of the safety properties in this run. Every acknowledged write must
    /// be in the list exactly once, at the index that was returned to its client. No write may be
    /// in the list twice. No two replicas may ever have different items at one index. A write that
    /// was started after another one was acknowledged must come after it.
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
                violations.push(format!(
                    "{name} differs from the reference list at index {index}"
                ));
            }
        }
    }

    /// Checks that no write was applied twice. Returns the list index of each write.
    fn check_single_application(&self, violations: &mut Vec<String>) -> BTreeMap<&[u8], usize> {
        let mut indexes = BTreeMap::new();
        for (index, bytes) in self.reference.iter().enumerate() {
            if let Some(first) = indexes.insert(&bytes[..], index) {
                violations.push(format!(
                    "one write was applied at indexes {first} and {index}"
                ));
            }
        }
        indexes
    }

    /// Checks that every acknowledged write is at the index that its client was told. Returns the
    /// acknowledged writes.
    fn check_acknowledged(
        &self,
        indexes: &BTreeMap<&[u8], usize>,
        violations: &mut Vec<String>,
    ) -> Vec<Acknowledged> {
        let mut acknowledged = Vec::new();
        for (number, write) in self.writes.iter().enumerate() {
            let Some(completed) = &write.completed else {
                continue;
            };
            let WriteResult::Acknowledged(answer) = &completed.result else {
                continue;
            };
            let bytes = payload(write.client, number);
            let actual = indexes.get(&bytes[..]).map(|index| *index as u64);
            let answered = answer[..].try_into().map(u64::from_le_bytes).ok();
            if actual != answered {
                violations.push(format!(
                    "write {number} was acknowledged at index {answered:?} but is at {actual:?}"
                ));
            }
            acknowledged.push(Acknowledged {
                started: write.started,
                completed: completed.at,
                index: answered.unwrap_or_default(),
            });
        }
        acknowledged
    }
}

/// Checks linearizability: no write may have a lower index than a write that was acknowledged
/// before it was started.
fn check_real_time_order(mut acknowledged: Vec<Acknowledged>, violations: &mut Vec<String>) {
    let mut by_completion = acknowledged.clone();
    by_completion.sort_by(|a, b| a.completed.total_cmp(&b.completed));
    acknowledged.sort_by(|a, b| a.started.total_cmp(&b.started));
    let mut completed_before = by_completion.iter().peekable();
    let mut highest = None;
    for write in acknowledged {
        while let Some(earlier) =
            completed_before.next_if(|earlier| earlier.completed < write.started)
        {
            highest = highest.max(Some(earlier.index));
        }
        if highest.is_some_and(|highest| write.index < highest) {
            violations.push(format!(
                "the write at index {} was started after index {highest:?} was acknowledged",
                write.index
            ));
        }
    }
}
