//! What a [`Membership`](crate::Membership) asks its caller to do, and the changes that it reports.

use crate::member::Member;
use bytes::Bytes;

/// A change of the view, or of this process's place in the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A member joined, or came back.
    Joined(Member),
    /// A member left by its own choice.
    Left(Member),
    /// A member does not answer and did not refute the suspicion in time.
    Failed(Member),
    /// Another process runs under the name of this one.
    NameConflict(Member),
    /// The other process started later and has the name now: this one takes part no more.
    NameLost(Member),
}

/// Something for the caller to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a datagram to a member. It may be lost.
    SendDatagram {
        /// The receiver.
        to: Member,
        /// The datagram, at most [`MAX_DATAGRAM_BYTES`](crate::MAX_DATAGRAM_BYTES) long.
        bytes: Bytes,
    },
    /// Send a message of a comparison to a member, on a connection: it may be longer than a
    /// datagram.
    SendComparison {
        /// The receiver.
        to: Member,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Take note of a change.
    Changed(Change),
}
