//! A client's socket as hyper reads and writes it.

use super::state::ConnectionState;
use crate::net::runtime::context::RuntimeContext;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

/// A client's socket that notes when bytes arrive, and that fails writes once nobody waits for the response any more.
pub(super) struct ConnectionIo {
    connection: Rc<ConnectionState>,
    context: Rc<RuntimeContext>,
    /// Runs while the client takes no more bytes.
    write_timer: Option<Pin<Box<Sleep>>>,
}

impl ConnectionIo {
    /// The socket of `connection`, which closes when this is dropped.
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

    /// Guards against clients that send requests and do not read: a write that is still pending when the client no longer
    /// takes the response fails with `TimedOut`, which ends the connection.
    fn or_timed_out<T>(
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
        if self.connection.is_read_broken() {
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
        self.or_timed_out(cx, written)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes once all that it had to write has been written.
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
        self.or_timed_out(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}

impl Drop for ConnectionIo {
    /// Closes the connection at once, although attempts for its client may still hold its state.
    fn drop(&mut self) {
        self.connection.close_socket();
    }
}
