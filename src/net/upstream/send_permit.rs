//! Whether an attempt may still reach its backend: checked before the first byte of its request,
//! and again before the last byte of a request that could not be written at once.

use crate::net::messages::ClientConnection;
use crate::net::runtime::budget::AttemptDeadline;
use crate::net::runtime::clock::Clock;
use std::rc::Rc;

/// The permission to send a request, valid while its client is connected and the attempt may still
/// start.
#[derive(Clone, Debug)]
pub(crate) struct SendPermit {
    client: Rc<dyn ClientConnection>,
    deadline: AttemptDeadline,
    clock: Clock,
}

impl SendPermit {
    /// The permit for an attempt of this client's request with this deadline.
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

    /// Whether the client is still connected and the attempt may still start.
    pub(crate) fn is_valid(&self) -> bool {
        self.deadline.may_begin(self.clock.now()) && !self.client.is_disconnected()
    }
}
