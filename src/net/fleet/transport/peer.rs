//! A peer as the transport knows it: the frames that wait for it, and its connection if one is
//! open.

use crate::net::fleet::outbox::Outbox;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A peer.
pub(super) struct Peer {
    /// Its name.
    pub(super) name: Rc<str>,
    /// The frames that wait for it.
    pub(super) outbox: RefCell<Outbox>,
    /// Notified when there is something to write.
    pub(super) writable: Notify,
    /// The connection that frames are written on, if one is open.
    pub(super) connection: RefCell<Option<ConnectionHandle>>,
    /// Whether a task dials it.
    pub(super) dialing: Cell<bool>,
    /// When a frame other than a heartbeat was last queued for it or received from it.
    pub(super) last_used: Cell<Instant>,
}

impl Peer {
    /// A peer without a connection, with space for `max_queue_bytes` in each lane of its outbox.
    pub(super) fn new(name: Rc<str>, max_queue_bytes: usize) -> Peer {
        Peer {
            name,
            outbox: RefCell::new(Outbox::new(max_queue_bytes)),
            writable: Notify::new(),
            connection: RefCell::default(),
            dialing: Cell::new(false),
            last_used: Cell::new(Instant::now()),
        }
    }

    /// Whether a connection is open.
    pub(super) fn is_connected(&self) -> bool {
        self.connection.borrow().is_some()
    }

    /// Whether the open connection was dialed by this side.
    pub(super) fn is_connected_outbound(&self) -> bool {
        self.connection
            .borrow()
            .as_ref()
            .is_some_and(|connection| connection.direction == Direction::Outbound)
    }

    /// Whether there is neither a connection nor a dial, and no frame waits.
    pub(super) fn is_unused(&self) -> bool {
        !self.is_connected() && !self.dialing.get() && self.outbox.borrow().is_empty()
    }
}

/// Which side dialed a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    /// This side did.
    Outbound,
    /// The peer did.
    Inbound,
}

/// An open connection.
pub(super) struct ConnectionHandle {
    /// Distinguishes it from other connections of this transport.
    pub(super) id: u64,
    /// Which side dialed it.
    pub(super) direction: Direction,
    /// The instance id of the process at the other end.
    pub(super) instance_id: u64,
    /// Asks it to close.
    pub(super) close: Rc<CloseSignal>,
}

/// Asks a connection to close. Its writing ends between two frames; what the peer has written is
/// still read.
#[derive(Default)]
pub(super) struct CloseSignal {
    requested: Cell<bool>,
    notify: Notify,
}

impl CloseSignal {
    /// Asks the connection to close.
    pub(super) fn request(&self) {
        self.requested.set(true);
        self.notify.notify_one();
    }

    /// Whether the connection is asked to close.
    pub(super) fn is_requested(&self) -> bool {
        self.requested.get()
    }

    /// Waits until the connection is asked to close.
    pub(super) async fn wait(&self) {
        self.notify.notified().await;
    }
}
