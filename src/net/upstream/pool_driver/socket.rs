//! A wrapper around the socket that the HTTP library uses. It tracks how much of a request has been
//! written, can delay the last byte of a request, and reads no more than there is memory for.

use super::request_progress::RequestProgress;
use crate::net::runtime::capacity::{LARGE_READ_BUFFER_BYTES, SMALL_READ_BUFFER_BYTES};
use crate::net::runtime::memory::{MemoryBudget, OutOfMemory, Reservation};
use crate::net::upstream::send_permit::SendPermit;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// How long the last byte of a cautious request is delayed. Within one data center, a reset arrives
/// within this time. With longer round trips, the delay detects fewer dead connections, but does
/// not grow.
const LAST_BYTE_DELAY: Duration = Duration::from_millis(2);

/// A socket that tracks the request written to it and can be closed at once from outside the HTTP
/// library.
pub(crate) struct ConnectionSocket {
    /// `None` once the socket has been closed.
    stream: RefCell<Option<TcpStream>>,
    progress: RefCell<RequestProgress>,
    /// Whether the last byte of the current request is delayed.
    is_cautious: Cell<bool>,
    /// The timer that delays the last byte; `None` until that byte is to be written.
    last_byte_delay: RefCell<Option<Pin<Box<Sleep>>>>,
    /// The permit of the current request; `None` once the request is fully written.
    permit: RefCell<Option<SendPermit>>,
    read_buffer: ReadBufferMemory,
}

/// The memory of the HTTP library's read buffer on one connection.
struct ReadBufferMemory {
    budget: MemoryBudget,
    /// Bytes read for the head of the current response; `None` once the head is complete. The HTTP library then reads
    /// only when its buffer is empty.
    head_bytes: Cell<Option<usize>>,
    /// The reservation for a long head. It is held until the connection ends, since the HTTP library keeps the buffer.
    reservation: RefCell<Option<Reservation>>,
}

impl ReadBufferMemory {
    fn new(budget: MemoryBudget) -> ReadBufferMemory {
        ReadBufferMemory {
            budget,
            head_bytes: Cell::new(Some(0)),
            reservation: RefCell::default(),
        }
    }

    /// How many bytes may be read now. Memory is reserved before a small read buffer is exceeded.
    fn readable_bytes(&self) -> Result<usize, OutOfMemory> {
        let head_bytes = self.head_bytes.get().unwrap_or(0);
        if head_bytes < SMALL_READ_BUFFER_BYTES {
            return Ok(SMALL_READ_BUFFER_BYTES - head_bytes);
        }
        let mut reservation = self.reservation.borrow_mut();
        if reservation.is_none() {
            *reservation = Some(self.budget.try_reserve(LARGE_READ_BUFFER_BYTES)?);
        }
        Ok(SMALL_READ_BUFFER_BYTES)
    }

    fn record_read(&self, bytes: usize) {
        let head_bytes = self.head_bytes.get();
        self.head_bytes.set(head_bytes.map(|head| head + bytes));
    }
}

impl ConnectionSocket {
    /// Wraps a stream. Memory for a long response head is reserved from `head_budget`.
    pub(super) fn new(stream: TcpStream, head_budget: MemoryBudget) -> ConnectionSocket {
        ConnectionSocket::with_progress(Some(stream), RequestProgress::default(), head_budget)
    }

    /// A closed socket with a fully written request, for tests that run attempts without a socket.
    #[cfg(test)]
    pub(super) fn fully_written() -> ConnectionSocket {
        ConnectionSocket::with_progress(None, RequestProgress::complete(), MemoryBudget::new(0))
    }

    fn with_progress(
        stream: Option<TcpStream>,
        progress: RequestProgress,
        head_budget: MemoryBudget,
    ) -> ConnectionSocket {
        ConnectionSocket {
            stream: RefCell::new(stream),
            progress: RefCell::new(progress),
            is_cautious: Cell::default(),
            last_byte_delay: RefCell::default(),
            permit: RefCell::default(),
            read_buffer: ReadBufferMemory::new(head_budget),
        }
    }

    /// Whether the whole request has been written; before that, the backend cannot have executed it.
    pub(crate) fn is_fully_written(&self) -> bool {
        self.progress.borrow().is_complete()
    }

    /// Prepares for a request with a body of `body_len` bytes, which is written only while `permit`
    /// is valid. The last byte of a cautious request is delayed.
    pub(crate) fn start_request(&self, body_len: usize, is_cautious: bool, permit: SendPermit) {
        *self.progress.borrow_mut() = RequestProgress::new(body_len);
        self.is_cautious.set(is_cautious);
        self.last_byte_delay.borrow_mut().take();
        *self.permit.borrow_mut() = Some(permit);
        self.read_buffer.head_bytes.set(Some(0));
    }

    /// Records that the head of the response has been received.
    pub(crate) fn response_head_received(&self) {
        self.read_buffer.head_bytes.set(None);
    }

    /// Whether memory is reserved for a large read buffer, which lasts as long as the connection.
    pub(crate) fn has_large_read_buffer(&self) -> bool {
        self.read_buffer.reservation.borrow().is_some()
    }

    /// Returns how many bytes of these buffers may be written now.
    ///
    /// A cautious request is protected against half-open connections, which look alive although the
    /// backend has dropped them. All of the request but its last byte is written first, and the last
    /// byte follows only if nothing has come back by then. A backend executes no request before it
    /// has received the last byte, so a request whose connection breaks earlier may be sent again,
    /// even if it is non-idempotent.
    ///
    /// The permit of a request that could not be written in one go may have become invalid meanwhile,
    /// so the permit is checked again before the last byte.
    ///
    /// # Errors
    ///
    /// `ConnectionReset` if the connection turned out to be dead, and `TimedOut` if the permit is
    /// no longer valid.
    fn poll_writable(&self, cx: &mut Context<'_>, bufs: &[IoSlice<'_>]) -> Poll<io::Result<usize>> {
        let length = bufs.iter().map(|buf| buf.len()).sum();
        let has_started = self.progress.borrow().has_started();
        let is_cautious = self.is_cautious.get();
        let is_checked = has_started || is_cautious;
        if !is_checked || !self.progress.borrow().would_complete(bufs) {
            return Poll::Ready(Ok(length));
        }
        if is_cautious {
            if length > 1 {
                return Poll::Ready(Ok(length - 1));
            }
            ready!(self.poll_last_byte(cx))?;
        }
        if has_started && !self.is_permitted() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Ready(Ok(length))
    }

    /// Waits until the last byte of a cautious request may be written.
    fn poll_last_byte(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut delay = self.last_byte_delay.borrow_mut();
        let delay = delay.get_or_insert_with(|| Box::pin(tokio::time::sleep(LAST_BYTE_DELAY)));
        ready!(delay.as_mut().poll(cx));
        // A reset may have arrived just now, and only the operating system knows of it so far.
        if self.is_open_without_input() {
            Poll::Ready(Ok(()))
        } else {
            Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
        }
    }

    fn is_permitted(&self) -> bool {
        self.permit
            .borrow()
            .as_ref()
            .is_none_or(SendPermit::is_valid)
    }

    fn record_written(&self, bufs: &[IoSlice<'_>], count: usize) {
        let mut progress = self.progress.borrow_mut();
        for buf in leading_bytes(bufs, count) {
            progress.record(&buf);
        }
        if progress.is_complete() {
            self.permit.borrow_mut().take();
        }
    }

    /// Closes the socket at once; later reads and writes fail with `NotConnected`.
    pub(super) fn close(&self) {
        self.stream.borrow_mut().take();
    }

    /// Whether the socket is open and has no input to be read. Input on an idle connection would be
    /// a response that belongs to no request. This asks the operating system, because the runtime
    /// learns only between two tasks of what has arrived.
    pub(super) fn is_open_without_input(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let stream = self.stream.borrow();
        let Some(stream) = stream.as_ref() else {
            return false;
        };
        let peeked = SockRef::from(stream).peek(&mut byte);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

/// The first `count` bytes of these buffers.
fn leading_bytes<'a>(bufs: &'a [IoSlice<'_>], count: usize) -> Vec<IoSlice<'a>> {
    let mut remaining = count;
    let mut leading = Vec::with_capacity(bufs.len());
    for buf in bufs {
        let taken = buf.len().min(remaining);
        leading.push(IoSlice::new(&buf[..taken]));
        remaining -= taken;
    }
    leading
}

/// A [`ConnectionSocket`] as the I/O object that the HTTP library reads and writes.
pub(super) struct SocketIo(pub(super) Rc<ConnectionSocket>);

impl AsyncRead for SocketIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let memory = &self.0.read_buffer;
        let readable = memory
            .readable_bytes()
            .map_err(|error| io::Error::new(io::ErrorKind::OutOfMemory, error))?;
        let mut stream = self.0.stream.borrow_mut();
        let Some(stream) = stream.as_mut() else {
            return Poll::Ready(Err(io::ErrorKind::NotConnected.into()));
        };
        let limit = readable.min(buf.remaining());
        let mut limited = ReadBuf::new(buf.initialize_unfilled_to(limit));
        let read = Pin::new(stream).poll_read(cx, &mut limited);
        let count = limited.filled().len();
        buf.advance(count);
        memory.record_read(count);
        read
    }
}

impl AsyncWrite for SocketIo {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let writable = ready!(self.0.poll_writable(cx, bufs))?;
        let mut stream = self.0.stream.borrow_mut();
        let Some(stream) = stream.as_mut() else {
            return Poll::Ready(Err(io::ErrorKind::NotConnected.into()));
        };
        let written = Pin::new(stream).poll_write_vectored(cx, &leading_bytes(bufs, writable));
        if let Poll::Ready(Ok(count)) = &written {
            self.0.record_written(bufs, *count);
        }
        written
    }

    /// With vectored writes the HTTP library does not copy the body of a request into a write buffer of its own, which
    /// it would keep as long as the connection.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.close();
        Poll::Ready(Ok(()))
    }
}
