//! One connection after its handshake: frames are read and written until it ends.

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

/// Heartbeat intervals without a complete frame after which a connection ends.
const MISSED_HEARTBEATS: u32 = 4;

/// Why a connection ended.
enum CloseReason {
    /// The peer closed it, or this side was asked to.
    Closed,
    /// No complete frame could be read or written in time.
    TimedOut,
    /// It carried nothing for long.
    Idle,
    /// It failed, or the peer sent what is not a frame.
    Failed(ConnectionError),
}

/// What to write next on a connection.
enum NextFrame {
    /// A frame from the outbox, or a heartbeat.
    Frame(Bytes),
    /// Something has changed: look again.
    Recheck,
    /// Nothing, as the connection is idle.
    Idle,
}

impl Transport {
    /// Reads and writes frames until the connection ends. It replaces one that was open before.
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
            reason = self.write_until_drained(peer, &mut writer, direction, &close) => reason,
        };
        self.record_closed(reason);
        let mut open = peer.connection.borrow_mut();
        if open.as_ref().is_some_and(|open| open.id == id) {
            *open = None;
        }
    }

    /// Ends a connection in favour of another: nothing is written on it, and what the peer has
    /// written is read until it ends.
    pub(super) async fn drain(self: Rc<Self>, peer: Rc<Peer>, connection: EstablishedConnection) {
        let EstablishedConnection {
            mut reader,
            mut writer,
            ..
        } = connection;
        // It may have ended already.
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

    /// How long a complete frame may take to be read or written.
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

    /// Writes frames until the connection ends. If it is asked to close, the peer's last frames are
    /// given time to be read.
    async fn write_until_drained(
        &self,
        peer: &Peer,
        writer: &mut OwnedWriteHalf,
        direction: Direction,
        close: &CloseSignal,
    ) -> CloseReason {
        let reason = self.write_frames(peer, writer, direction, close).await;
        if close.is_requested() {
            // The writer of the connection that replaced this one takes over.
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

    /// Waits for the next frame: one from the outbox, or a heartbeat after an interval without one.
    /// Only the side that dialed closes an idle connection.
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
