//! What a [`Membership`](crate::Membership) asks its caller to do, and the changes that it reports.

use crate::member::Member;
use bytes::Bytes;

/// A change of the view, or of this process's own membership.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A member joined, rejoined, or was restarted.
    Joined(Member),
    /// A member left voluntarily.
    Left(Member),
    /// A member was declared failed: it did not answer a probe, and did not refute the suspicion in
    /// time.
    Failed(Member),
    /// Another process runs under the name of this one.
    NameConflict(Member),
    /// The other process started later and holds the name now. This process no longer participates.
    NameLost(Member),
}

/// An action that the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a datagram to a member. The datagram may be lost.
    SendDatagram {
        /// The receiver.
        to: Member,
        /// The datagram, at most [`MAX_DATAGRAM_BYTES`](crate::MAX_DATAGRAM_BYTES) long.
        bytes: Bytes,
    },
    /// Send an anti-entropy message to a member. It goes over a connection, because it may be
    /// longer than a datagram.
    SendAntiEntropy {
        /// The receiver.
        to: Member,
        /// The message.
        bytes: Vec<u8>,
    },
    /// A change to take note of; there is nothing to send.
    Changed(Change),
}
