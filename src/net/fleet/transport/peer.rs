//! The transport's state for one peer: the queued frames, and the connection if one is open.

use crate::net::fleet::outbox::Outbox;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The state of one peer.
pub(super) struct Peer {
    pub(super) name: Rc<str>,
    /// Frames that are queued for the peer.
    pub(super) outbox: RefCell<Outbox>,
    /// Notified when the writer of the connection has to check the outbox.
    pub(super) writable: Notify,
    /// The connection that frames are written to; `None` if none is open.
    pub(super) connection: RefCell<Option<ConnectionHandle>>,
    /// Whether a dial task is active for the peer. The task also runs the connection that it
    /// dialed.
    pub(super) dialing: Cell<bool>,
    /// When a frame other than a heartbeat or a handshake was last queued for the peer or received
    /// from it.
    pub(super) last_used: Cell<Instant>,
}

impl Peer {
    /// Creates a peer without a connection, with space for `max_queue_bytes` in each lane of its
    /// outbox.
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

    /// Whether a connection to the peer is open.
    pub(super) fn is_connected(&self) -> bool {
        self.connection.borrow().is_some()
    }

    /// Whether a connection is open that this gateway dialed.
    pub(super) fn is_connected_outbound(&self) -> bool {
        self.connection
            .borrow()
            .as_ref()
            .is_some_and(|connection| connection.direction == Direction::Outbound)
    }

    /// Whether the peer has no connection, no active dial task and no queued frame.
    pub(super) fn is_unused(&self) -> bool {
        !self.is_connected() && !self.dialing.get() && self.outbox.borrow().is_empty()
    }
}

/// Which side dialed a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    /// This gateway dialed it.
    Outbound,
    /// The peer dialed it.
    Inbound,
}

/// The handle to an open connection.
pub(super) struct ConnectionHandle {
    /// Unique among the connections of this transport.
    pub(super) id: u64,
    pub(super) direction: Direction,
    /// The instance id of the process at the other end.
    pub(super) instance_id: u64,
    /// Requests the close of the connection.
    pub(super) close: Rc<CloseSignal>,
}

/// Requests the close of a connection. The writer stops after the frame that it is writing; frames
/// that the peer has written are still read.
#[derive(Default)]
pub(super) struct CloseSignal {
    requested: Cell<bool>,
    notify: Notify,
}

impl CloseSignal {
    /// Requests the close.
    pub(super) fn request(&self) {
        self.requested.set(true);
        self.notify.notify_one();
    }

    /// Whether the close was requested.
    pub(super) fn is_requested(&self) -> bool {
        self.requested.get()
    }

    /// Waits until the close is requested.
    pub(super) async fn wait(&self) {
        self.notify.notified().await;
    }
}
