//! The adapter through which hyper reads and writes a client's socket.

use super::state::ConnectionState;
use crate::net::runtime::context::RuntimeContext;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

/// A client's socket that records when bytes arrive and fails pending writes after the write deadline.
pub(super) struct ConnectionIo {
    connection: Rc<ConnectionState>,
    context: Rc<RuntimeContext>,
    /// Fires at the write deadline; `None` unless a write is pending because the client does not read.
    write_timer: Option<Pin<Box<Sleep>>>,
}

impl ConnectionIo {
    /// Wraps the socket of `connection`. The socket is closed when this value is dropped.
    pub(super) fn new(
        connection: Rc<ConnectionState>,
        context: Rc<RuntimeContext>,
    ) -> ConnectionIo {
        ConnectionIo {
            connection,
            context,
            write_timer: None,
        }
    }

    /// Returns the result of a write, or `TimedOut` if the write is still pending at the write deadline. The error ends
    /// the connection. This protects against clients that send requests and do not read the responses.
    fn fail_after_write_deadline<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.write_timer = None;
            return written;
        }
        let clock = self.context.clock;
        let deadline = self.connection.write_deadline().max(clock.now());
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(clock.instant_at(deadline))));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for ConnectionIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        if self.connection.next_byte_was_dropped() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let read = if self.connection.take_read_ahead(buf) {
            Poll::Ready(Ok(()))
        } else {
            self.connection
                .poll_socket(|stream| stream.poll_read(cx, buf))
        };
        if buf.filled().len() > filled_before {
            let now = self.context.clock.now();
            let arrived_at = self.context.stall_monitor.arrival_time(now);
            self.connection.bytes_received(arrived_at);
        }
        read
    }
}

impl AsyncWrite for ConnectionIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = self
            .connection
            .poll_socket(|stream| stream.poll_write(cx, buf));
        self.fail_after_write_deadline(cx, written)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes once all bytes of the response have been written to the socket.
        self.connection.response_written();
        self.connection.poll_socket(|stream| stream.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection
            .poll_socket(|stream| stream.poll_shutdown(cx))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = self
            .connection
            .poll_socket(|stream| stream.poll_write_vectored(cx, bufs));
        self.fail_after_write_deadline(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}

impl Drop for ConnectionIo {
    /// Closes the socket immediately, since attempts for the client may still hold a reference to the connection's
    /// state.
    fn drop(&mut self) {
        self.connection.close_socket();
    }
}
