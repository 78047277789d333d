//! Counters of what a [`Membership`](crate::Membership) has sent, received and seen.

use serde::Serialize;

/// The counters of one process since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of these.
    pub sent_bytes: u64,
    /// Datagrams taken in.
    pub heard: u64,
    /// Bytes of these.
    pub heard_bytes: u64,
    /// Datagrams and comparisons that were none, dropped.
    pub malformed: u64,
    /// Comparisons that found a difference.
    pub differed: u64,
    /// Times that this process was kept from running for longer than it tolerates.
    pub held_up: u64,
    /// Times that it was taken for dead and came back.
    pub returned: u64,
    /// Members that failed.
    pub failed: u64,
    /// Members that left.
    pub left: u64,
}
