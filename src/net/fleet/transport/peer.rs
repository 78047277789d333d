//! A peer as the transport knows it: what waits for it, and its link if one is up.

use crate::net::fleet::outbox::Outbox;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A peer.
pub(super) struct Peer {
    pub(super) name: Rc<str>,
    pub(super) outbox: RefCell<Outbox>,
    pub(super) wake: Notify,
    pub(super) link: RefCell<Option<Link>>,
    pub(super) dialling: Cell<bool>,
    /// When it was last needed.
    pub(super) used: Cell<Instant>,
}

/// A link that is up.
pub(super) struct Link {
    pub(super) number: u64,
    pub(super) dialled: bool,
    pub(super) life: u64,
    pub(super) close: Rc<CloseSignal>,
}

/// Asks a link to close. What was written on it is still read: only between two frames, and only then, its writing ends.
#[derive(Default)]
pub(super) struct CloseSignal {
    pub(super) requested: Cell<bool>,
    pub(super) wake: Notify,
}

impl CloseSignal {
    pub(super) fn request(&self) {
        self.requested.set(true);
        self.wake.notify_one();
    }
}
