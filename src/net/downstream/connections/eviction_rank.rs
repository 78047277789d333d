//! The order in which client connections are evicted.

use cometspool::Millis;
use std::cmp::Ordering;

/// The activity that an eviction would interrupt. The variants are in ascending order: later ones are evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionKind {
    /// A request that is arriving slowly.
    SlowRequest,
    /// None: the connection is idle between two requests.
    Idle,
    /// None: no byte has ever arrived on the connection.
    Unused,
}

/// The eviction rank of a connection; the highest rank is evicted first. Ranks compare by kind, then by age.
#[derive(Clone, Copy, Debug)]
pub(super) struct EvictionRank {
    /// The activity that the eviction would interrupt.
    pub(super) kind: EvictionKind,
    /// How long the connection has been in its present state, in milliseconds.
    pub(super) age: Millis,
}

impl EvictionRank {
    /// Compares by kind, then by age.
    pub(super) fn total_cmp(&self, other: &EvictionRank) -> Ordering {
        let by_kind = self.kind.cmp(&other.kind);
        by_kind.then(self.age.total_cmp(&other.age))
    }
}
