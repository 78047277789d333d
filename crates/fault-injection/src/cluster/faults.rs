//! Faults on links and backends of a running cluster.

use super::{process_name, Cluster, LinkEnds};
use crate::history::CLUSTER;
use crate::link::{Direction, LinkConditions};
use crate::stub_services::BackendBehavior;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::sync::Arc;

impl Cluster {
    /// The direction from one process to another, if there is a link between them.
    pub fn direction(&self, from: usize, to: usize) -> Option<&Direction> {
        self.directions.get(&LinkEnds { from, to }).map(Arc::as_ref)
    }

    /// Sets the conditions of one direction. Without a link between the two processes, this is only recorded.
    pub fn set_link(&self, from: usize, to: usize, conditions: LinkConditions) {
        self.history.record(
            CLUSTER,
            "link",
            json!({"from": process_name(from), "to": process_name(to), "quality": conditions}),
        );
        if let Some(direction) = self.direction(from, to) {
            direction.set_conditions(conditions);
        }
    }

    /// Sets the conditions of all links between two sets of processes, in both directions.
    pub fn set_links_between(
        &self,
        one_side: &[usize],
        other_side: &[usize],
        conditions: &LinkConditions,
    ) {
        for from in one_side {
            for to in other_side.iter().filter(|to| *to != from) {
                self.set_link(*from, *to, conditions.clone());
                self.set_link(*to, *from, conditions.clone());
            }
        }
    }

    /// Partitions the fleet: nothing passes between processes in different parts.
    pub fn partition(&self, parts: &[&[usize]]) {
        for (number, part) in parts.iter().enumerate() {
            for other in &parts[number + 1..] {
                self.set_links_between(part, other, &LinkConditions::blackhole());
            }
        }
    }

    /// Ends the faults on all links.
    pub fn heal_links(&self) {
        let faulty = self
            .directions
            .iter()
            .filter(|(_, direction)| direction.conditions() != LinkConditions::default());
        for (ends, _) in faulty {
            self.set_link(ends.from, ends.to, LinkConditions::default());
        }
    }

    /// The number of stub backends.
    pub fn backend_count(&self) -> usize {
        self.stubs.backend_behaviors.len()
    }

    /// Changes how a backend behaves.
    pub fn set_backend_behavior(&self, backend: usize, behavior: BackendBehavior) {
        self.history.record(
            CLUSTER,
            "backend",
            json!({"backend": backend, "manner": behavior}),
        );
        self.stubs.backend_behaviors[backend].send_replace(behavior);
    }

    /// Changes the endpoint list that the discovery service serves, under the next sequence number.
    pub fn update_endpoint_list(&self, change: impl FnOnce(&mut Value)) {
        self.stubs.endpoint_list.send_modify(|list| {
            list["seq"] = (list["seq"].as_u64().unwrap_or_default() + 1).into();
            change(list);
        });
    }

    /// The counters of all directions, summed up, by name.
    pub fn link_counters(&self) -> BTreeMap<String, u64> {
        let mut sums = BTreeMap::new();
        for direction in self.directions.values() {
            if let Value::Object(counters) = direction.counters.to_json() {
                for (name, count) in counters {
                    *sums.entry(name).or_default() += count.as_u64().unwrap_or_default();
                }
            }
        }
        sums
    }
}
