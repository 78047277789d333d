//! The permit to send a request to a backend. It is checked before the first byte of the request is
//! written, and again before the last byte if the request could not be written in one go.

use crate::net::messages::ClientConnection;
use crate::net::runtime::budget::AttemptDeadline;
use crate::net::runtime::clock::Clock;
use std::rc::Rc;

/// The permit to send the request of an attempt, valid while the client is connected and the time
/// before which the attempt must start has not passed.
#[derive(Clone, Debug)]
pub(crate) struct SendPermit {
    client: Rc<dyn ClientConnection>,
    deadline: AttemptDeadline,
    clock: Clock,
}

impl SendPermit {
    /// Creates the permit for an attempt with `deadline` of a request from `client`.
    pub(crate) fn new(
        client: Rc<dyn ClientConnection>,
        deadline: AttemptDeadline,
        clock: Clock,
    ) -> SendPermit {
        SendPermit {
            client,
            deadline,
            clock,
        }
    }

    /// Whether the request may be sent now.
    pub(crate) fn is_valid(&self) -> bool {
        self.deadline.may_begin(self.clock.now()) && !self.client.is_disconnected()
    }
}
