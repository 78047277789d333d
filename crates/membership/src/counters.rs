//! Counters of what a [`Membership`](crate::Membership) has sent, received and seen.

use serde::Serialize;

/// The counters of one process since its start. Their serialized names stand in logs that tools
/// read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams received.
    #[serde(rename = "heard")]
    pub received: u64,
    /// Bytes of the datagrams received.
    #[serde(rename = "heard_bytes")]
    pub received_bytes: u64,
    /// Datagrams and comparison messages that were malformed or named too many members, and were
    /// dropped.
    pub malformed: u64,
    /// Comparisons whose digests differed.
    #[serde(rename = "differed")]
    pub digest_mismatches: u64,
    /// Times that this process was kept from running for longer than it tolerates.
    #[serde(rename = "held_up")]
    pub stalls: u64,
    /// Times that this process was declared failed and rejoined.
    #[serde(rename = "returned")]
    pub rejoins: u64,
    /// Members that failed.
    pub failed: u64,
    /// Members that left.
    pub left: u64,
}
