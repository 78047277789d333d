//! Runs a connection after its handshake: reads and writes frames until the connection closes.

use super::handshake::{EstablishedConnection, FrameReader};
use super::peer::{CloseSignal, ConnectionHandle, Direction, Peer};
use super::Transport;
use crate::net::fleet::frame::{ConnectionError, Frame, FrameKind, HEADER_LENGTH};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::{sleep, timeout, Instant};
use tokio_stream::StreamExt;
use tokio_util::bytes::Bytes;

/// Number of heartbeat intervals without a complete frame after which a connection is closed.
const MISSED_HEARTBEATS: u32 = 4;

/// Why a connection closed.
enum CloseReason {
    /// The peer closed it, or this gateway requested its close.
    Closed,
    /// No complete frame could be read or written in time.
    TimedOut,
    /// No frame other than heartbeats was queued or received within the idle timeout.
    Idle,
    /// It failed, or the peer sent an invalid frame.
    Failed(ConnectionError),
}

/// What the writer of a connection has to do next.
enum NextFrame {
    /// Write this frame, which is from the outbox or is a heartbeat.
    Frame(Bytes),
    /// Check again, as a frame was queued or the close was requested.
    Recheck,
    /// Close the connection, as it is idle.
    Idle,
}

impl Transport {
    /// Reads and writes frames until the connection closes. If another connection to the peer is
    /// open, it is asked to close and replaced by this one.
    pub(super) async fn run_connection(
        self: &Rc<Self>,
        peer: &Rc<Peer>,
        connection: EstablishedConnection,
        direction: Direction,
    ) {
        let EstablishedConnection {
            mut reader,
            mut writer,
            instance_id,
        } = connection;
        let id = self.next_connection_id();
        let close = Rc::<CloseSignal>::default();
        let replaced = peer.connection.borrow_mut().replace(ConnectionHandle {
            id,
            direction,
            instance_id,
            close: close.clone(),
        });
        if let Some(replaced) = replaced {
            replaced.close.request();
        }
        self.counters.borrow_mut().connections_opened += 1;
        let reason = tokio::select! {
            reason = self.read_frames(peer, &mut reader) => reason,
            reason = self.write_until_closed(peer, &mut writer, direction, &close) => reason,
        };
        self.record_closed(reason);
        let mut open = peer.connection.borrow_mut();
        if open.as_ref().is_some_and(|open| open.id == id) {
            *open = None;
        }
    }

    /// Closes a connection in favour of another one to the same peer. Nothing is written on it;
    /// frames that the peer has written are read until the connection closes.
    pub(super) async fn drain(self: Rc<Self>, peer: Rc<Peer>, connection: EstablishedConnection) {
        let EstablishedConnection {
            mut reader,
            mut writer,
            ..
        } = connection;
        // The connection may be closed already.
        let _ = writer.shutdown().await;
        let reading = self.read_frames(&peer, &mut reader);
        let _ = timeout(self.frame_timeout(), reading).await;
    }

    fn next_connection_id(&self) -> u64 {
        let id = self.connections_opened.get() + 1;
        self.connections_opened.set(id);
        id
    }

    fn record_closed(&self, reason: CloseReason) {
        let mut counters = self.counters.borrow_mut();
        counters.connections_closed += 1;
        match reason {
            CloseReason::TimedOut => counters.timed_out += 1,
            CloseReason::Failed(ConnectionError::Frame(error)) => counters.record_rejected(error),
            CloseReason::Failed(ConnectionError::Io(_))
            | CloseReason::Closed
            | CloseReason::Idle => {}
        }
    }

    /// Time within which a complete frame has to be read or written.
    fn frame_timeout(&self) -> Duration {
        self.section.heartbeat_interval * MISSED_HEARTBEATS
    }

    async fn read_frames(&self, peer: &Peer, reader: &mut FrameReader) -> CloseReason {
        loop {
            let frame = match timeout(self.frame_timeout(), reader.next()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return CloseReason::Failed(error),
                Ok(None) => return CloseReason::Closed,
                Err(_elapsed) => return CloseReason::TimedOut,
            };
            self.receive(peer, &frame);
        }
    }

    fn receive(&self, peer: &Peer, frame: &Frame) {
        {
            let mut counters = self.counters.borrow_mut();
            counters.received += 1;
            counters.received_bytes += (HEADER_LENGTH + frame.body().len()) as u64;
            counters.unknown_kind += u64::from(frame.kind.is_none());
        }
        if matches!(
            frame.kind,
            Some(FrameKind::Heartbeat | FrameKind::Hello) | None
        ) {
            return;
        }
        peer.last_used.set(Instant::now());
        let handler = self.handler.borrow().clone();
        if let Some(handler) = handler {
            handler(&peer.name, frame);
        }
    }

    /// Writes frames until the connection closes. After a requested close, the connection stays
    /// open for one frame timeout, so that the peer's last frames can be read.
    async fn write_until_closed(
        &self,
        peer: &Peer,
        writer: &mut OwnedWriteHalf,
        direction: Direction,
        close: &CloseSignal,
    ) -> CloseReason {
        let reason = self.write_frames(peer, writer, direction, close).await;
        if close.is_requested() {
            // Wakes the writer of the connection that replaced this one.
            peer.writable.notify_one();
            let _ = writer.shutdown().await;
            sleep(self.frame_timeout()).await;
        }
        reason
    }

    async fn write_frames(
        &self,
        peer: &Peer,
        writer: &mut OwnedWriteHalf,
        direction: Direction,
        close: &CloseSignal,
    ) -> CloseReason {
        let Some(heartbeat) = self.codec.encode(FrameKind::Heartbeat, &[]) else {
            return CloseReason::Closed;
        };
        loop {
            if close.is_requested() {
                return CloseReason::Closed;
            }
            let frame = match self.next_frame(peer, direction, close, &heartbeat).await {
                NextFrame::Frame(frame) => frame,
                NextFrame::Recheck => continue,
                NextFrame::Idle => return CloseReason::Idle,
            };
            match timeout(self.frame_timeout(), writer.write_all(&frame)).await {
                Ok(Ok(())) => self.record_sent(&frame),
                Ok(Err(error)) => return CloseReason::Failed(error.into()),
                Err(_elapsed) => return CloseReason::TimedOut,
            }
        }
    }

    /// Waits for the next frame: one from the outbox, or a heartbeat if none is queued for a
    /// heartbeat interval. Only the side that dialed closes an idle connection.
    async fn next_frame(
        &self,
        peer: &Peer,
        direction: Direction,
        close: &CloseSignal,
        heartbeat: &Bytes,
    ) -> NextFrame {
        let queued = peer.outbox.borrow_mut().pop();
        if let Some(frame) = queued {
            return NextFrame::Frame(frame);
        }
        let idle = peer.last_used.get().elapsed() >= self.section.idle_timeout;
        if direction == Direction::Outbound && idle {
            return NextFrame::Idle;
        }
        tokio::select! {
            () = peer.writable.notified() => NextFrame::Recheck,
            () = close.wait() => NextFrame::Recheck,
            () = sleep(self.section.heartbeat_interval) => NextFrame::Frame(heartbeat.clone()),
        }
    }

    fn record_sent(&self, frame: &Bytes) {
        let mut counters = self.counters.borrow_mut();
        counters.sent += 1;
        counters.sent_bytes += frame.len() as u64;
    }
}
