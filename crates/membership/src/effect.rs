//! What a [`Membership`](crate::Membership) asks its caller to do, and the changes that it reports.

use crate::member::Member;
use bytes::Bytes;

/// A change of the view, or of this process's place in the fleet.
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

/// Something for the caller to do.
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
