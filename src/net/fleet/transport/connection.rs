//! One connection after its greeting: frames are read and written until it ends.

use super::handshake::Reader;
use super::peer::{CloseSignal, Link, Peer};
use super::Transport;
use crate::net::fleet::frame::{ConnectionError, FrameKind, HEADER_LENGTH};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::{sleep, timeout, Instant};
use tokio_stream::StreamExt;

/// Heartbeats without a whole frame after which a link ends.
const MISSED_HEARTBEATS: u32 = 4;

/// Why a link ended.
enum CloseReason {
    Closed,
    Silent,
    Idle,
    Broken(ConnectionError),
}

impl Transport {
    /// Carries frames both ways until the link ends; it takes the place of one that was there before.
    pub(super) async fn run_link(
        self: &Rc<Self>,
        peer: &Rc<Peer>,
        mut reader: Reader,
        mut writer: OwnedWriteHalf,
        dialled: bool,
        life: u64,
    ) {
        self.links_begun.set(self.links_begun.get() + 1);
        let (number, close) = (self.links_begun.get(), Rc::<CloseSignal>::default());
        let before = peer.link.borrow_mut().replace(Link {
            number,
            dialled,
            life,
            close: close.clone(),
        });
        if let Some(before) = before {
            before.close.request();
        }
        self.counters.borrow_mut().up += 1;
        let write = async {
            let ended = self.write_frames(peer, &mut writer, dialled, &close).await;
            if close.requested.get() {
                // The other link's writer takes over, and the peer's last frames are read until it ends too.
                peer.wake.notify_one();
                let _ = writer.shutdown().await;
                sleep(self.silence_limit()).await;
            }
            ended
        };
        let ended = tokio::select! {
            ended = self.read_frames(peer, &mut reader) => ended,
            ended = write => ended,
        };
        {
            let mut counters = self.counters.borrow_mut();
            counters.down += 1;
            match ended {
                CloseReason::Silent => counters.silent += 1,
                CloseReason::Broken(ConnectionError::Frame(why)) => counters.record_rejected(why),
                CloseReason::Broken(ConnectionError::Io(_))
                | CloseReason::Closed
                | CloseReason::Idle => {}
            }
        }
        let mut link = peer.link.borrow_mut();
        if link.as_ref().is_some_and(|link| link.number == number) {
            *link = None;
        }
    }

    /// Ends a connection in whose place another stands: nothing is written on it, and what comes is read until it ends.
    pub(super) async fn drain(
        self: Rc<Self>,
        peer: Rc<Peer>,
        mut reader: Reader,
        mut writer: OwnedWriteHalf,
    ) {
        // It may have ended already.
        let _ = writer.shutdown().await;
        let _ = timeout(self.silence_limit(), self.read_frames(&peer, &mut reader)).await;
    }

    fn silence_limit(&self) -> Duration {
        Duration::from_millis(self.section.beat_ms) * MISSED_HEARTBEATS
    }

    async fn read_frames(&self, peer: &Peer, reader: &mut Reader) -> CloseReason {
        loop {
            let frame = match timeout(self.silence_limit(), reader.next()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(why))) => return CloseReason::Broken(why),
                Ok(None) => return CloseReason::Closed,
                Err(_elapsed) => return CloseReason::Silent,
            };
            {
                let mut counters = self.counters.borrow_mut();
                counters.read += 1;
                counters.read_bytes += (HEADER_LENGTH + frame.body().len()) as u64;
                counters.unknown += u64::from(frame.kind.is_none());
            }
            if matches!(
                frame.kind,
                Some(FrameKind::Heartbeat | FrameKind::Hello) | None
            ) {
                continue;
            }
            peer.used.set(Instant::now());
            let handler = self.handler.borrow().clone();
            if let Some(handler) = handler {
                handler(&peer.name, &frame);
            }
        }
    }

    async fn write_frames(
        &self,
        peer: &Peer,
        writer: &mut OwnedWriteHalf,
        dialled: bool,
        close: &CloseSignal,
    ) -> CloseReason {
        let interval = Duration::from_millis(self.section.beat_ms);
        let Some(heartbeat) = self.codec.encode(FrameKind::Heartbeat, &[]) else {
            return CloseReason::Closed;
        };
        loop {
            if close.requested.get() {
                return CloseReason::Closed;
            }
            let next = peer.outbox.borrow_mut().pop();
            let frame = match next {
                Some(frame) => frame,
                None => {
                    let idle =
                        peer.used.get().elapsed() >= Duration::from_millis(self.section.keep_ms);
                    if dialled && idle {
                        return CloseReason::Idle;
                    }
                    tokio::select! {
                        () = peer.wake.notified() => continue,
                        () = close.wake.notified() => continue,
                        () = sleep(interval) => heartbeat.clone(),
                    }
                }
            };
            match timeout(self.silence_limit(), writer.write_all(&frame)).await {
                Ok(Ok(())) => {
                    let mut counters = self.counters.borrow_mut();
                    counters.sent += 1;
                    counters.sent_bytes += frame.len() as u64;
                }
                Ok(Err(error)) => return CloseReason::Broken(error.into()),
                Err(_elapsed) => return CloseReason::Silent,
            }
        }
    }
}
