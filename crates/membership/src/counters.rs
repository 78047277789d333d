//! Counters of a [`Membership`](crate::Membership).

use serde::Serialize;

/// The counters of one process since its start. Tools read their serialized names in the log.
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
    /// Datagrams and anti-entropy messages that were dropped because they were malformed or named
    /// too many members.
    pub malformed: u64,
    /// Digests received in anti-entropy exchanges that differed from this process's digest.
    #[serde(rename = "differed")]
    pub digest_mismatches: u64,
    /// Times that this process was stalled for longer than
    /// [`Timing::timer_tolerance`](crate::Timing::timer_tolerance).
    #[serde(rename = "held_up")]
    pub stalls: u64,
    /// Times that this process was declared failed and rejoined.
    #[serde(rename = "returned")]
    pub rejoins: u64,
    /// Members that were declared failed.
    pub failed: u64,
    /// Members that left voluntarily.
    pub left: u64,
}
