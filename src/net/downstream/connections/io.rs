//! The adapter through which hyper reads and writes a client's socket.

use super::memory::MemoryUse;
use super::state::ConnectionState;
use super::DownstreamConnections;
use crate::net::runtime::capacity::LARGE_READ_BUFFER_BYTES;
use crate::net::runtime::memory::{OutOfMemory, Reservation};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

/// A reservation of memory that is not complete yet.
type PendingReservation = Pin<Box<dyn Future<Output = Result<Reservation, OutOfMemory>>>>;

/// A client's socket that records when bytes arrive, reads no more than there is memory for, and fails pending writes after
/// the write deadline.
pub(super) struct ConnectionIo {
    connection: Rc<ConnectionState>,
    connections: Rc<DownstreamConnections>,
    /// The reservation of a large read buffer; `None` unless one is awaited.
    reserving: Option<PendingReservation>,
    /// Fires at the write deadline; `None` unless a write is pending because the client does not read.
    write_timer: Option<Pin<Box<Sleep>>>,
}

impl ConnectionIo {
    /// Wraps the socket of `connection`, one of `connections`. The socket is closed when this value is dropped.
    pub(super) fn new(
        connection: Rc<ConnectionState>,
        connections: Rc<DownstreamConnections>,
    ) -> ConnectionIo {
        ConnectionIo {
            connection,
            connections,
            reserving: None,
            write_timer: None,
        }
    }

    /// How many bytes may be read now. Memory is reserved before a small read buffer is exceeded. While a response is
    /// awaited or written, the connection reads no more than fits into a small read buffer: it must not be closed for
    /// memory then, and hyper reads again once the response has been written.
    fn poll_readable_bytes(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let readable = self.connection.memory().readable_bytes();
        if readable > 0 {
            return Poll::Ready(Ok(readable));
        }
        if self.connection.is_busy() {
            return Poll::Pending;
        }
        let connections = &self.connections;
        let reserving = self.reserving.get_or_insert_with(|| {
            let connections = connections.clone();
            Box::pin(async move {
                let usage = MemoryUse::ReadBuffer;
                connections
                    .reserve_memory(usage, LARGE_READ_BUFFER_BYTES)
                    .await
            })
        });
        let reserved = ready!(reserving.as_mut().poll(cx));
        self.reserving = None;
        let reservation =
            reserved.map_err(|error| io::Error::new(io::ErrorKind::OutOfMemory, error))?;
        let now = self.connections.context.clock.now();
        self.connection.memory().set_read_buffer(now, reservation);
        Poll::Ready(Ok(usize::MAX))
    }

    /// Reads at most `limit` bytes.
    fn poll_read_limited(
        &self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        limit: usize,
    ) -> Poll<io::Result<()>> {
        if self.connection.take_read_ahead(buf, limit) {
            return Poll::Ready(Ok(()));
        }
        if buf.remaining() <= limit {
            return self
                .connection
                .poll_socket(|stream| stream.poll_read(cx, buf));
        }
        let mut limited = ReadBuf::new(buf.initialize_unfilled_to(limit));
        let read = self
            .connection
            .poll_socket(|stream| stream.poll_read(cx, &mut limited));
        let count = limited.filled().len();
        buf.advance(count);
        read
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
        let clock = self.connections.context.clock;
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
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        if self.connection.next_byte_was_dropped() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        self.connection.set_awaits_bytes(false);
        let limit = ready!(self.poll_readable_bytes(cx))?;
        let read = self.poll_read_limited(cx, buf, limit);
        self.connection.set_awaits_bytes(read.is_pending());
        let count = buf.filled().len() - filled_before;
        if count > 0 {
            self.connection.memory().record_received(count);
            let now = self.connections.context.clock.now();
            let arrived_at = self.connections.context.stall_monitor.arrival_time(now);
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
