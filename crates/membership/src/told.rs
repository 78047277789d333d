//! What the core gives out: what is to be done, what has changed, who is there, what went by.

use crate::member::{Member, Name};
use bytes::Bytes;
use serde::Serialize;
use std::collections::BTreeMap;

/// What has changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Somebody has come, or come back.
    Up(Member),
    /// Somebody goes by its own choice.
    Left(Member),
    /// Somebody does not answer.
    Failed(Member),
    /// Another process lives under the name of this one.
    Twin(Member),
    /// The other one started later, so the name is its own: this one takes part no more.
    Displaced(Member),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// A datagram for a member.
    Send {
        /// For whom.
        to: Member,
        /// What.
        bytes: Bytes,
    },
    /// A comparison of all that is known, by a way that carries more than a datagram.
    Compare {
        /// With whom.
        with: Member,
        /// What to send it first.
        bytes: Vec<u8>,
    },
    /// Something has changed.
    Changed(Change),
}

/// What went by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
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

/// Who seems present.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Grows with each change.
    pub revision: u64,
    /// Those present, this process included, by name.
    pub present: BTreeMap<Name, Member>,
    /// Those that failed and are not back, with when, ms.
    pub failed: BTreeMap<Name, (Member, f64)>,
}

impl View {
    /// The part of the fleet that is reachable: of those present and those that failed of late, the former.
    pub fn reachable(&self) -> f64 {
        self.present.len() as f64 / (self.present.len() + self.failed.len()).max(1) as f64
    }
}
