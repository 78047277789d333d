//! The state of one client connection: its socket, the progress of its request, its timeouts and how it is closed.
//!
//! All times are [`Millis`] on the gateway's clock.

use super::eviction_rank::{EvictionKind, EvictionRank};
use super::memory::{ConnectionMemory, MemoryEviction, HOLDING_GRACE};
use super::read_ahead::ReadAhead;
use crate::net::messages::ClientConnection;
use crate::net::runtime::memory::MemoryBudget;
use cometspool::Millis;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io::{self, Read};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::Poll;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Time within which a request has to arrive completely, in milliseconds. It runs from the first byte of the request,
/// or from the accept for the first request of a connection.
pub(super) const REQUEST_READ_TIMEOUT: Millis = 2000.0;
/// How long a connection stays open after [`REQUEST_READ_TIMEOUT`], in milliseconds, so that a response can still tell
/// the client why the request failed.
const READ_TIMEOUT_RESPONSE_GRACE: Millis = 200.0;
/// How long an idle connection is kept open, in milliseconds. Most clients send their next request sooner.
const IDLE_TIMEOUT: Millis = 6000.0;
/// Age above which a request that is still arriving may be evicted, in milliseconds.
const SLOW_REQUEST_AGE: Millis = 250.0;
/// Maximum number of bytes that one system call reads ahead while a request awaits its response.
const READ_AHEAD_CHUNK_BYTES: usize = 4096;
/// Maximum number of consecutive reads ahead, so that a client that sends much does not hold up the others.
const READ_AHEAD_MAX_READS: usize = 64;

/// How a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseMode {
    /// After the response to the current request has been written.
    Graceful,
    /// Immediately, unless a request has been read by the time of the close; then as [`Graceful`](CloseMode::Graceful).
    UnlessRequestRead,
    /// Immediately, without a response to the current request: its client has disconnected.
    Immediate,
}

/// What reading ahead on a connection has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientInput {
    /// All bytes that have arrived have been read, and the client is connected.
    AllRead,
    /// More bytes may have arrived, which hide whether the client has disconnected.
    MoreUnread,
    /// The client has disconnected.
    Ended,
}

/// The state of one client connection.
#[derive(Debug)]
pub(super) struct ConnectionState {
    /// `None` once the connection has been closed.
    socket: RefCell<Option<TcpStream>>,
    /// Pipelined bytes that were read behind a request that awaits its response.
    read_ahead: RefCell<ReadAhead>,
    memory: ConnectionMemory,
    accepted_at: Millis,
    /// When the first byte of the request that is being read arrived; `None` if no request is being read.
    first_byte_at: Cell<Option<Millis>>,
    /// When the most recent bytes arrived; the time of the accept before the first ones.
    last_byte_at: Cell<Millis>,
    /// Whether hyper asked for more bytes last and there were none. What was read then holds no complete request that
    /// has not been handled.
    awaits_bytes: Cell<bool>,
    /// Whether a complete request has been read whose response is not ready yet.
    awaits_response: Cell<bool>,
    /// Whether a response is ready that has not been written completely.
    response_unwritten: Cell<bool>,
    /// When the most recent response was ready; `None` before the first response.
    last_response_at: Cell<Option<Millis>>,
    close_requested: Cell<Option<CloseMode>>,
    close_signal: Notify,
    /// Time by which the response must have been written completely.
    write_deadline: Cell<Millis>,
}

impl ConnectionState {
    /// Creates the state of a connection that was accepted at `now`. Memory for long read-ahead is reserved from
    /// `read_buffer_budget`.
    pub(super) fn new(
        now: Millis,
        stream: TcpStream,
        read_buffer_budget: &MemoryBudget,
    ) -> ConnectionState {
        // A failure is ignored: without TCP_NODELAY responses may be delayed, but they are correct.
        let _ = stream.set_nodelay(true);
        ConnectionState {
            socket: RefCell::new(Some(stream)),
            read_ahead: RefCell::new(ReadAhead::new(read_buffer_budget.clone())),
            memory: ConnectionMemory::default(),
            accepted_at: now,
            first_byte_at: Cell::default(),
            last_byte_at: Cell::new(now),
            awaits_bytes: Cell::default(),
            awaits_response: Cell::default(),
            response_unwritten: Cell::default(),
            last_response_at: Cell::default(),
            close_requested: Cell::default(),
            close_signal: Notify::default(),
            write_deadline: Cell::default(),
        }
    }

    // ---- Reading and writing --------------------------------------------------------------------

    /// Polls the socket with `operation`. Fails with `NotConnected` once the connection has been closed.
    pub(super) fn poll_socket<T>(
        &self,
        operation: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        match self.socket.borrow_mut().as_mut() {
            Some(stream) => operation(Pin::new(stream)),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }

    /// Closes the socket immediately, even if other owners still hold a reference to this state.
    pub(super) fn close_socket(&self) {
        self.socket.borrow_mut().take();
    }

    /// Moves at most `limit` bytes that were read ahead to `buf`. Returns whether there were any.
    pub(super) fn take_read_ahead(&self, buf: &mut ReadBuf<'_>, limit: usize) -> bool {
        self.read_ahead.borrow_mut().take(buf, limit)
    }

    /// Whether bytes behind a request were dropped because the read-ahead buffer was full.
    pub(super) fn read_ahead_overflowed(&self) -> bool {
        self.read_ahead.borrow().has_overflowed()
    }

    /// Whether the next byte of the stream was dropped, so that nothing more can be read from the connection.
    pub(super) fn next_byte_was_dropped(&self) -> bool {
        self.read_ahead.borrow().next_byte_was_dropped()
    }

    /// The memory that the connection holds.
    pub(super) fn memory(&self) -> &ConnectionMemory {
        &self.memory
    }

    /// Whether unread bytes have arrived on the socket. This asks the operating system, since the runtime polls for
    /// input only between two rounds of its tasks, and many connections can be evicted within one round.
    pub(super) fn has_unread_bytes(&self) -> bool {
        let socket = self.socket.borrow();
        let Some(stream) = socket.as_ref() else {
            return false;
        };
        let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_ok_and(|count| count > 0)
    }

    /// Reads ahead what has arrived, as far as the operating system knows now.
    pub(super) fn read_ahead_now(&self) -> ClientInput {
        self.read_ahead_with(|stream, chunk| Poll::Ready((&*SockRef::from(&*stream)).read(chunk)))
    }

    /// Waits until the client has disconnected. Each turn reads a bounded amount, so that other tasks run in between.
    pub(super) async fn disconnected(&self) {
        std::future::poll_fn(|cx| {
            let input = self.read_ahead_with(|stream, chunk| {
                let mut buf = ReadBuf::new(chunk);
                let read = Pin::new(stream).poll_read(cx, &mut buf);
                read.map_ok(|()| buf.filled().len())
            });
            match input {
                ClientInput::Ended => Poll::Ready(()),
                ClientInput::AllRead => Poll::Pending,
                ClientInput::MoreUnread => {
                    cx.waker().wake_by_ref();
                    Poll::Pending
                }
            }
        })
        .await;
    }

    /// Reads ahead with `read` until it would block, at most [`READ_AHEAD_MAX_READS`] times.
    ///
    /// Pipelined bytes behind a request would hide the end of the stream. Those that do not fit into the read-ahead
    /// buffer are dropped.
    fn read_ahead_with(
        &self,
        mut read: impl FnMut(&mut TcpStream, &mut [u8]) -> Poll<io::Result<usize>>,
    ) -> ClientInput {
        let mut socket = self.socket.borrow_mut();
        let Some(stream) = socket.as_mut() else {
            return ClientInput::Ended;
        };
        let mut chunk = [0; READ_AHEAD_CHUNK_BYTES];
        for _ in 0..READ_AHEAD_MAX_READS {
            match read(stream, &mut chunk) {
                Poll::Ready(Ok(0)) => return ClientInput::Ended,
                Poll::Ready(Ok(count)) => self.read_ahead.borrow_mut().store(&chunk[..count]),
                Poll::Pending => return ClientInput::AllRead,
                Poll::Ready(Err(error)) if error.kind() == io::ErrorKind::WouldBlock => {
                    return ClientInput::AllRead
                }
                Poll::Ready(Err(_)) => return ClientInput::Ended,
            }
        }
        ClientInput::MoreUnread
    }

    // ---- Request progress -----------------------------------------------------------------------

    /// Records that bytes of a request arrived at `at`.
    pub(super) fn bytes_received(&self, at: Millis) {
        self.last_byte_at.set(at);
        if self.first_byte_at.get().is_none() {
            self.first_byte_at.set(Some(at));
        }
    }

    /// Records whether hyper asks for more bytes and there are none.
    pub(super) fn set_awaits_bytes(&self, awaits_bytes: bool) {
        self.awaits_bytes.set(awaits_bytes);
    }

    /// Records that a request has been read completely. Bytes read from now on belong to the next request.
    pub(super) fn request_completed(&self) {
        self.awaits_response.set(true);
        self.first_byte_at.set(None);
        self.memory.request_completed();
    }

    /// Records that the response is ready to be written.
    pub(super) fn response_ready(&self, now: Millis) {
        self.awaits_response.set(false);
        self.response_unwritten.set(true);
        self.last_response_at.set(Some(now));
        self.memory.body_ended();
    }

    /// Records that the response has been written completely.
    pub(super) fn response_written(&self) {
        self.response_unwritten.set(false);
    }

    /// When the first byte of the current request arrived. If the request arrived in the same read as the previous one,
    /// only the time of that read is known.
    pub(super) fn request_started_at(&self) -> Millis {
        self.first_byte_at.get().unwrap_or(self.last_byte_at.get())
    }

    /// When the most recent bytes arrived.
    pub(super) fn last_byte_at(&self) -> Millis {
        self.last_byte_at.get()
    }

    /// Whether a complete request has been read whose response is not ready yet.
    pub(super) fn awaits_response(&self) -> bool {
        self.awaits_response.get()
    }

    /// Time by which the response must have been written completely.
    pub(super) fn write_deadline(&self) -> Millis {
        self.write_deadline.get()
    }

    /// Sets the time by which the response must have been written completely.
    pub(super) fn set_write_deadline(&self, at: Millis) {
        self.write_deadline.set(at);
    }

    // ---- Timeouts, eviction and closing ---------------------------------------------------------

    /// Whether a response is awaited or being written.
    pub(super) fn is_busy(&self) -> bool {
        self.awaits_response.get() || self.response_unwritten.get()
    }

    /// Whether a request may have been read completely and not been answered yet. It counts as read from its last byte
    /// on, before it has been parsed and while it waits for memory.
    pub(super) fn may_have_unanswered_request(&self) -> bool {
        self.is_busy() || !self.awaits_bytes.get()
    }

    /// When the timeout that applies now started: the one of the request that is being read, or the idle timeout. For
    /// the first request it starts at the accept, so that a client cannot use up the timeout first by silence and then
    /// again by a slow request.
    pub(super) fn timeout_started_at(&self) -> Millis {
        match (self.last_response_at.get(), self.first_byte_at.get()) {
            (None, _) => self.accepted_at,
            (Some(idle_since), Some(first_byte)) => first_byte.max(idle_since),
            (Some(idle_since), None) => idle_since,
        }
    }

    /// How to close the connection if it has timed out at `now`; `None` if it has not.
    pub(super) fn timeout_close_mode(&self, now: Millis) -> Option<CloseMode> {
        if self.is_busy() {
            return None;
        }
        let elapsed = now - self.timeout_started_at();
        let expects_request =
            self.last_response_at.get().is_none() || self.first_byte_at.get().is_some();
        if expects_request {
            let limit = REQUEST_READ_TIMEOUT + READ_TIMEOUT_RESPONSE_GRACE;
            (elapsed > limit).then_some(CloseMode::UnlessRequestRead)
        } else {
            (elapsed > IDLE_TIMEOUT).then_some(CloseMode::Graceful)
        }
    }

    /// The eviction rank of the connection at `now`. `None` if the connection must not be evicted: a request may have
    /// been read that is not answered yet, a request has only begun to arrive, or the connection is already closing.
    pub(super) fn eviction_rank(&self, now: Millis) -> Option<EvictionRank> {
        if self.may_have_unanswered_request() || self.close_requested.get().is_some() {
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

    /// How the connection may be closed at `now` to get its memory back. `None` if it must not be closed for that.
    ///
    /// A connection may be closed for memory only while the gateway waits for its client: it has read all that has
    /// arrived, and that is no complete request. Who waits for the memory makes no difference.
    pub(super) fn memory_eviction(&self, now: Millis) -> Option<MemoryEviction> {
        let waits_for_client = !self.may_have_unanswered_request() && !self.has_unread_bytes();
        if !waits_for_client || self.close_requested.get().is_some() {
            return None;
        }
        let is_idle = self.last_response_at.get().is_some() && self.first_byte_at.get().is_none();
        if is_idle {
            return Some(MemoryEviction {
                mode: CloseMode::Graceful,
                held_for: now - self.timeout_started_at(),
            });
        }
        // A kept connection may have reserved its read buffer for an earlier request.
        let held_for = now - self.memory.reserved_at().max(self.request_started_at());
        (held_for >= HOLDING_GRACE).then_some(MemoryEviction {
            mode: CloseMode::UnlessRequestRead,
            held_for,
        })
    }

    /// Whether a close has been requested that does not wait for a response.
    pub(super) fn is_closing(&self) -> bool {
        self.close_requested.get().is_some() && !self.awaits_response.get()
    }

    /// Requests that the task that serves the connection closes it.
    pub(super) fn request_close(&self, mode: CloseMode) {
        self.close_requested.set(Some(mode));
        self.close_signal.notify_one();
    }

    /// Waits until a close is requested, and returns how to close now.
    pub(super) async fn close_requested(&self) -> CloseMode {
        self.close_signal.notified().await;
        match self.close_requested.get() {
            Some(CloseMode::Immediate) => CloseMode::Immediate,
            // The rest of a request may have been read between the request to close and this call.
            Some(CloseMode::UnlessRequestRead) if !self.may_have_unanswered_request() => {
                CloseMode::Immediate
            }
            _ => CloseMode::Graceful,
        }
    }
}

impl ClientConnection for ConnectionState {
    /// Asks the operating system, since the runtime polls for input only between two rounds of its tasks. A disconnect
    /// is thus seen before a request of the same client is sent in the same round.
    fn is_disconnected(&self) -> bool {
        self.read_ahead_now() != ClientInput::AllRead
    }
}
