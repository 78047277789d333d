//! How readily a client connection is evicted.

use cometspool::Millis;
use std::cmp::Ordering;

/// What an eviction would interrupt. Later variants are evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionKind {
    /// A request that is slow to arrive.
    SlowRequest,
    /// Nothing: the connection is between two requests.
    Idle,
    /// Nothing: no byte has ever arrived on the connection.
    Unused,
}

/// How readily a connection is evicted: by kind, then by how long it has been in that state.
#[derive(Clone, Copy, Debug)]
pub(super) struct EvictionRank {
    /// What the eviction would interrupt.
    pub(super) kind: EvictionKind,
    /// How long the connection has been in that state, ms.
    pub(super) age: Millis,
}

impl EvictionRank {
    /// Compares by kind, then by age.
    pub(super) fn total_cmp(&self, other: &EvictionRank) -> Ordering {
        let by_kind = self.kind.cmp(&other.kind);
        by_kind.then(self.age.total_cmp(&other.age))
    }
}
