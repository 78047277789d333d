//! Whether an attempt may still reach its backend: asked before the first byte of its request, and again before the last
//! byte of one that could not be written at once.

use crate::net::messages::ClientConnection;
use crate::net::runtime::budget::AttemptDeadline;
use crate::net::runtime::clock::Clock;
use std::rc::Rc;

/// What an attempt has to meet until its request is written whole.
#[derive(Clone, Debug)]
pub(crate) struct SendPermit {
    client: Rc<dyn ClientConnection>,
    part: AttemptDeadline,
    clock: Clock,
}

impl SendPermit {
    /// For an attempt of this client's request within this part of its time.
    pub(crate) fn new(
        client: Rc<dyn ClientConnection>,
        part: AttemptDeadline,
        clock: Clock,
    ) -> SendPermit {
        SendPermit {
            client,
            part,
            clock,
        }
    }

    /// Whether its client still waits and there is still time to begin.
    pub(crate) fn is_valid(&self) -> bool {
        self.part.may_begin(self.clock.now()) && !self.client.is_disconnected()
    }
}
