//! The state of one client connection: what it is doing, since when, and how it is to end.
//!
//! All times are [`Millis`] on the gateway's clock.

use super::eviction_rank::{EvictionKind, EvictionRank};
use crate::net::messages::ClientConnection;
use crate::net::runtime::capacity::CONNECTION_BUFFER_BYTES;
use cometspool::Millis;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, Read};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::Poll;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Time for a complete request from its first byte, and for the first one on a connection from the accept, in
/// milliseconds.
pub(super) const REQUEST_READ_TIMEOUT: Millis = 2000.0;
/// How much longer than [`REQUEST_READ_TIMEOUT`] a connection stays open, in milliseconds, so that a response can still
/// say why the request failed.
const READ_TIMEOUT_RESPONSE_GRACE: Millis = 200.0;
/// How long a connection without a request is kept open, in milliseconds: most clients come back sooner.
const IDLE_TIMEOUT: Millis = 6000.0;
/// Age, in milliseconds, from which a request that is still arriving may be evicted.
const SLOW_REQUEST_AGE: Millis = 250.0;
/// Bytes that one system call reads ahead, behind a request without a response.
const READ_AHEAD_CHUNK_BYTES: usize = 4096;
/// Reads ahead in a row: a client that sends faster is looked at again with the next check of all connections.
const READ_AHEAD_MAX_READS: usize = 64;

/// How a connection is to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseMode {
    /// Once the response to the present request has been written.
    Graceful,
    /// At once.
    Immediate,
}

/// The state of one client connection.
#[derive(Debug, Default)]
pub(super) struct ConnectionState {
    /// `None` once the connection is over.
    socket: RefCell<Option<TcpStream>>,
    /// What has been read behind a request without a response, [`CONNECTION_BUFFER_BYTES`] at most.
    read_ahead: RefCell<VecDeque<u8>>,
    /// Whether bytes beyond `read_ahead` were dropped. Nothing that follows can then be trusted to be a request.
    read_ahead_overflowed: Cell<bool>,
    accepted_at: Millis,
    /// When the first byte of the request that is being read arrived; `None` between two requests.
    first_byte_at: Cell<Option<Millis>>,
    /// When the last bytes arrived.
    last_byte_at: Cell<Millis>,
    /// Whether a complete request has no response yet.
    awaits_response: Cell<bool>,
    /// Whether a response is ready and not yet written to the end.
    response_unwritten: Cell<bool>,
    /// When the last response was ready; `None` before the first.
    last_response_at: Cell<Option<Millis>>,
    close_requested: Cell<Option<CloseMode>>,
    close_signal: Notify,
    /// When the last byte of the response has to be written.
    write_deadline: Cell<Millis>,
}

impl ConnectionState {
    /// The state of a connection that was accepted at `now`.
    pub(super) fn new(now: Millis, stream: TcpStream) -> ConnectionState {
        // If this fails, responses are late, not wrong.
        let _ = stream.set_nodelay(true);
        ConnectionState {
            accepted_at: now,
            last_byte_at: Cell::new(now),
            socket: RefCell::new(Some(stream)),
            ..ConnectionState::default()
        }
    }

    // ---- Reading and writing --------------------------------------------------------------------

    /// Polls the socket with `operation`; an error of the kind `NotConnected` once the connection is over.
    pub(super) fn poll_socket<T>(
        &self,
        operation: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        match self.socket.borrow_mut().as_mut() {
            Some(stream) => operation(Pin::new(stream)),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }

    /// Closes the socket at once, even while others still hold this state.
    pub(super) fn close_socket(&self) {
        self.socket.borrow_mut().take();
    }

    /// Moves bytes that were read ahead to `buf`; whether there were any.
    pub(super) fn take_read_ahead(&self, buf: &mut ReadBuf<'_>) -> bool {
        let mut read_ahead = self.read_ahead.borrow_mut();
        let (front, _) = read_ahead.as_slices();
        let count = front.len().min(buf.remaining());
        buf.put_slice(&front[..count]);
        read_ahead.drain(..count);
        count > 0
    }

    /// Whether bytes were dropped behind a request without a response.
    pub(super) fn read_ahead_overflowed(&self) -> bool {
        self.read_ahead_overflowed.get()
    }

    /// Whether the next byte to read was dropped.
    pub(super) fn is_read_broken(&self) -> bool {
        self.read_ahead_overflowed.get() && self.read_ahead.borrow().is_empty()
    }

    /// Whether bytes have arrived that nobody has read. The system is asked, since the runtime polls for input only
    /// between two rounds of its tasks, and many connections can be evicted within one round.
    pub(super) fn has_unread_bytes(&self) -> bool {
        let socket = self.socket.borrow();
        let Some(stream) = socket.as_ref() else {
            return false;
        };
        let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_ok_and(|count| count > 0)
    }

    /// Stores bytes that were read ahead, as far as they fit.
    fn store_read_ahead(&self, bytes: &[u8]) {
        let mut read_ahead = self.read_ahead.borrow_mut();
        let free = CONNECTION_BUFFER_BYTES - read_ahead.len();
        let fitting = bytes.len().min(free);
        read_ahead.extend(&bytes[..fitting]);
        if fitting < bytes.len() {
            self.read_ahead_overflowed.set(true);
        }
    }

    // ---- The progress of requests ---------------------------------------------------------------

    /// Notes that bytes of a request arrived at `at`.
    pub(super) fn bytes_received(&self, at: Millis) {
        self.last_byte_at.set(at);
        if self.first_byte_at.get().is_none() {
            self.first_byte_at.set(Some(at));
        }
    }

    /// Notes that a request is complete: what is read from now on belongs to the next one.
    pub(super) fn request_completed(&self) {
        self.awaits_response.set(true);
        self.first_byte_at.set(None);
    }

    /// Notes that the response is ready.
    pub(super) fn response_ready(&self, now: Millis) {
        self.awaits_response.set(false);
        self.response_unwritten.set(true);
        self.last_response_at.set(Some(now));
    }

    /// Notes that all bytes of the response have been written.
    pub(super) fn response_written(&self) {
        self.response_unwritten.set(false);
    }

    /// When the first byte of the present request arrived. Of a request that came in one read with the one before it, only
    /// the time of that read is known.
    pub(super) fn request_started_at(&self) -> Millis {
        self.first_byte_at.get().unwrap_or(self.last_byte_at.get())
    }

    /// When the last bytes arrived.
    pub(super) fn last_byte_at(&self) -> Millis {
        self.last_byte_at.get()
    }

    /// Whether a complete request has no response yet.
    pub(super) fn awaits_response(&self) -> bool {
        self.awaits_response.get()
    }

    /// When the last byte of the response has to be written.
    pub(super) fn write_deadline(&self) -> Millis {
        self.write_deadline.get()
    }

    /// Sets when the last byte of the response has to be written.
    pub(super) fn set_write_deadline(&self, at: Millis) {
        self.write_deadline.set(at);
    }

    // ---- Timeouts, eviction and closing ---------------------------------------------------------

    /// Whether a response is due or is being written.
    fn is_busy(&self) -> bool {
        self.awaits_response.get() || self.response_unwritten.get()
    }

    /// From when the timeout counts that applies now: to the request that is being read, or to the idle connection. The
    /// first request counts from the accept, so that a client cannot first be silent and then slow.
    pub(super) fn timeout_started_at(&self) -> Millis {
        match (self.last_response_at.get(), self.first_byte_at.get()) {
            (None, _) => self.accepted_at,
            (Some(idle_since), Some(first_byte)) => first_byte.max(idle_since),
            (Some(idle_since), None) => idle_since,
        }
    }

    /// How the connection is to be closed if it has timed out by `now`.
    pub(super) fn expired(&self, now: Millis) -> Option<CloseMode> {
        if self.is_busy() {
            return None;
        }
        let elapsed = now - self.timeout_started_at();
        let expects_request =
            self.last_response_at.get().is_none() || self.first_byte_at.get().is_some();
        if expects_request {
            let limit = REQUEST_READ_TIMEOUT + READ_TIMEOUT_RESPONSE_GRACE;
            (elapsed > limit).then_some(CloseMode::Immediate)
        } else {
            (elapsed > IDLE_TIMEOUT).then_some(CloseMode::Graceful)
        }
    }

    /// How readily the connection is evicted at `now`; `None` if it may not be: a response is due, a request has only begun
    /// to arrive, or it is closing already.
    pub(super) fn eviction_rank(&self, now: Millis) -> Option<EvictionRank> {
        if self.is_busy() || self.close_requested.get().is_some() {
            return None;
        }
        let age = now - self.timeout_started_at();
        let kind = match (self.last_response_at.get(), self.first_byte_at.get()) {
            (None, None) => EvictionKind::Unused,
            (Some(_), None) => EvictionKind::Idle,
            (_, Some(_)) if age > SLOW_REQUEST_AGE => EvictionKind::SlowRequest,
            (_, Some(_)) => return None,
        };
        Some(EvictionRank { kind, age })
    }

    /// Asks the task that serves the connection to close it.
    pub(super) fn request_close(&self, mode: CloseMode) {
        self.close_requested.set(Some(mode));
        self.close_signal.notify_one();
    }

    /// Waits until the connection is to be closed, and returns how.
    pub(super) async fn close_requested(&self) -> Option<CloseMode> {
        self.close_signal.notified().await;
        self.close_requested.get()
    }
}

impl ClientConnection for ConnectionState {
    /// Asks the system, since the runtime polls for input only between two rounds of its tasks: where a request could be
    /// sent at the moment its client disconnects, this shows the disconnect first.
    ///
    /// Bytes behind a request would hide the end of the stream, so they are read ahead; what is more than a client may have
    /// there is dropped.
    fn is_disconnected(&self) -> bool {
        let socket = self.socket.borrow();
        let Some(stream) = socket.as_ref() else {
            return true;
        };
        let mut chunk = [0; READ_AHEAD_CHUNK_BYTES];
        for _ in 0..READ_AHEAD_MAX_READS {
            match (&*SockRef::from(stream)).read(&mut chunk) {
                Ok(0) => return true,
                Ok(count) => self.store_read_ahead(&chunk[..count]),
                Err(error) => return error.kind() != io::ErrorKind::WouldBlock,
            }
        }
        false
    }
}
