//! A wrapper around the socket that the HTTP library uses. It tracks how much of a request has been
//! written and can delay the last byte of a request.

use super::request_progress::RequestProgress;
use crate::net::upstream::send_permit::SendPermit;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
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
}

impl ConnectionSocket {
    pub(super) fn new(stream: TcpStream) -> ConnectionSocket {
        ConnectionSocket::with_progress(Some(stream), RequestProgress::default())
    }

    /// A closed socket with a fully written request, for tests that run attempts without a socket.
    #[cfg(test)]
    pub(super) fn fully_written() -> ConnectionSocket {
        ConnectionSocket::with_progress(None, RequestProgress::complete())
    }

    fn with_progress(stream: Option<TcpStream>, progress: RequestProgress) -> ConnectionSocket {
        ConnectionSocket {
            stream: RefCell::new(stream),
            progress: RefCell::new(progress),
            is_cautious: Cell::default(),
            last_byte_delay: RefCell::default(),
            permit: RefCell::default(),
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
    }

    /// Returns how many of these bytes may be written now.
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
    fn poll_writable(&self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let has_started = self.progress.borrow().has_started();
        let is_cautious = self.is_cautious.get();
        let is_checked = has_started || is_cautious;
        if !is_checked || !self.progress.borrow().would_complete(bytes) {
            return Poll::Ready(Ok(bytes.len()));
        }
        if is_cautious {
            if bytes.len() > 1 {
                return Poll::Ready(Ok(bytes.len() - 1));
            }
            ready!(self.poll_last_byte(cx))?;
        }
        if has_started && !self.is_permitted() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Ready(Ok(bytes.len()))
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

    fn record_written(&self, bytes: &[u8]) {
        let mut progress = self.progress.borrow_mut();
        progress.record(bytes);
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

/// A [`ConnectionSocket`] as the I/O object that the HTTP library reads and writes.
pub(super) struct SocketIo(pub(super) Rc<ConnectionSocket>);

impl AsyncRead for SocketIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.0.stream.borrow_mut().as_mut() {
            Some(stream) => Pin::new(stream).poll_read(cx, buf),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }
}

impl AsyncWrite for SocketIo {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let writable = ready!(self.0.poll_writable(cx, buf))?;
        let mut stream = self.0.stream.borrow_mut();
        let Some(stream) = stream.as_mut() else {
            return Poll::Ready(Err(io::ErrorKind::NotConnected.into()));
        };
        let written = Pin::new(stream).poll_write(cx, &buf[..writable]);
        if let Poll::Ready(Ok(count)) = &written {
            self.0.record_written(&buf[..*count]);
        }
        written
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.close();
        Poll::Ready(Ok(()))
    }
}
