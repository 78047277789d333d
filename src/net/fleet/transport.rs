//! The transport between gateways: a listener, and one persistent connection to each peer that
//! frames are exchanged with.
//!
//! A connection carries frames in both directions, whichever side dialed it. It begins with a
//! handshake, and is closed when no complete frame could be read or written for four heartbeat
//! intervals. So a peer that is silent, slow or does not read affects no more than its own
//! connection and its outbox.

mod connection;
pub(super) mod counters;
mod dialer;
mod handshake;
mod listener;
mod peer;

use super::frame::{Frame, FrameCodec, FrameKind};
use super::outbox::{Lane, OutboxFull};
use crate::net::control::fleet_section::FleetSection;
use cometspool_membership::MAX_NAME_BYTES;
use counters::TransportCounters;
use peer::Peer;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::Instant;
use tokio_util::bytes::Bytes;

/// Maximum number of peers that the transport keeps state for.
const MAX_PEERS: usize = 4096;

/// Called with the sender's name and each frame that arrives on a connection, except heartbeats,
/// handshakes and frames of an unknown kind.
type FrameHandler = dyn Fn(&str, &Frame);

/// Why a frame was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum SendError {
    /// The body is longer than the configured maximum.
    #[error("the frame body is too long")]
    BodyTooLong,
    /// The receiver is this gateway.
    #[error("the receiver is this gateway")]
    ToSelf,
    /// The receiver's name is empty or too long, or [`MAX_PEERS`] other peers are known.
    #[error("the receiver's name is invalid, or too many peers are known")]
    UnknownPeer,
    /// No connection is open, and none can be dialed: no address is known, or all outbound
    /// connections are in use.
    #[error("no connection is open, and none can be dialed")]
    NotConnected,
    /// The lane of the frame is full.
    #[error(transparent)]
    OutboxFull(#[from] OutboxFull),
}

/// Numbers of open connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ConnectionCounts {
    /// Connections that this gateway dialed.
    pub outbound: usize,
    /// Connections that peers dialed.
    pub inbound: usize,
}

/// Sends frames to peers, and passes the frames that arrive from them to a handler.
pub(super) struct Transport {
    section: FleetSection,
    /// Encodes and decodes the frames of this fleet.
    pub codec: FrameCodec,
    instance_id: u64,
    peers: RefCell<HashMap<Rc<str>, Rc<Peer>>>,
    handler: RefCell<Option<Rc<FrameHandler>>>,
    /// Numbers of frames that were sent, received and rejected since the start.
    pub counters: RefCell<TransportCounters>,
    /// Number of connections that were opened since the start. Each one takes its number as its id.
    connections_opened: Cell<u64>,
    /// Number of accepted connections that are open, including those still in their handshake.
    inbound: Cell<usize>,
}

impl Transport {
    /// Creates the transport of a process with this `instance_id`.
    pub(super) fn new(section: FleetSection, instance_id: u64) -> Rc<Transport> {
        let codec = FrameCodec::new(&section.fleet_name, section.epoch, section.max_body_bytes);
        Rc::new(Transport {
            section,
            codec,
            instance_id,
            peers: RefCell::default(),
            handler: RefCell::default(),
            counters: RefCell::default(),
            connections_opened: Cell::new(0),
            inbound: Cell::new(0),
        })
    }

    /// Sets the function that is called with each received frame and the name of its sender.
    pub(super) fn set_handler(&self, handler: Rc<FrameHandler>) {
        *self.handler.borrow_mut() = Some(handler);
    }

    /// Counts the open connections by direction.
    pub(super) fn connection_counts(&self) -> ConnectionCounts {
        let mut counts = ConnectionCounts::default();
        for peer in self.peers.borrow().values() {
            if peer.is_connected_outbound() {
                counts.outbound += 1;
            } else if peer.is_connected() {
                counts.inbound += 1;
            }
        }
        counts
    }

    /// The address of a gateway. A configured address takes precedence over the advertised one.
    pub(super) fn address_of(
        &self,
        name: &str,
        advertised: Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        self.section.peers.get(name).copied().or(advertised)
    }

    /// Queues a frame for a peer. If no connection is open, one is dialed, at the configured
    /// address or else at `advertised`. A frame that cannot be queued is counted.
    ///
    /// # Errors
    ///
    /// [`SendError`] says why the frame was not queued. A queued frame may still be lost with its
    /// connection.
    pub(super) fn send(
        self: &Rc<Self>,
        to: &str,
        advertised: Option<SocketAddr>,
        lane: Lane,
        kind: FrameKind,
        body: &[u8],
    ) -> Result<(), SendError> {
        let frame = self.codec.encode(kind, body);
        let sent = frame
            .ok_or(SendError::BodyTooLong)
            .and_then(|frame| self.enqueue(to, advertised, lane, frame));
        if sent.is_err() {
            self.counters.borrow_mut().send_failed += 1;
        }
        sent
    }

    fn enqueue(
        self: &Rc<Self>,
        to: &str,
        advertised: Option<SocketAddr>,
        lane: Lane,
        frame: Bytes,
    ) -> Result<(), SendError> {
        if to == self.section.local_name {
            return Err(SendError::ToSelf);
        }
        let peer = self.peer(to).ok_or(SendError::UnknownPeer)?;
        let connected = peer.is_connected() || peer.dialing.get();
        let dial = self.address_of(to, advertised).filter(|_| !connected);
        if !connected && (dial.is_none() || !self.reserve_outbound_slot()) {
            self.remove_if_unused(&peer);
            return Err(SendError::NotConnected);
        }
        peer.last_used.set(Instant::now());
        self.push_to_outbox(&peer, lane, frame)?;
        match dial {
            Some(address) => {
                peer.dialing.set(true);
                tokio::task::spawn_local(self.clone().dial(peer, address));
            }
            None => peer.writable.notify_one(),
        }
        Ok(())
    }

    /// Appends a frame to a peer's outbox, and counts the frames that were dropped to make room.
    fn push_to_outbox(&self, peer: &Peer, lane: Lane, frame: Bytes) -> Result<(), OutboxFull> {
        let mut outbox = peer.outbox.borrow_mut();
        let dropped_before = outbox.dropped;
        outbox.push(lane, frame)?;
        self.counters.borrow_mut().dropped += outbox.dropped - dropped_before;
        Ok(())
    }

    /// Returns the peer with this name, and adds it if it is new. Returns `None` if the name is
    /// invalid or too many peers are known.
    fn peer(&self, name: &str) -> Option<Rc<Peer>> {
        let mut peers = self.peers.borrow_mut();
        if let Some(peer) = peers.get(name) {
            return Some(peer.clone());
        }
        if peers.len() >= MAX_PEERS || name.is_empty() || name.len() > MAX_NAME_BYTES {
            return None;
        }
        let name: Rc<str> = name.into();
        let peer = Rc::new(Peer::new(name.clone(), self.section.max_queue_bytes));
        peers.insert(name, peer.clone());
        Some(peer)
    }

    /// Removes a peer that has no connection, no dial in progress and no queued frame.
    fn remove_if_unused(&self, peer: &Peer) {
        if peer.is_unused() {
            self.peers.borrow_mut().remove(&peer.name);
        }
    }

    /// Whether one more peer may be dialed. If the maximum number of outbound connections is in
    /// use, the least recently used one with an empty outbox is closed to make room.
    fn reserve_outbound_slot(&self) -> bool {
        let peers = self.peers.borrow();
        let in_use = peers
            .values()
            .filter(|peer| peer.dialing.get() || peer.is_connected_outbound())
            .count();
        if in_use < self.section.max_outbound {
            return true;
        }
        let least_recently_used = peers
            .values()
            .filter(|peer| peer.outbox.borrow().is_empty() && peer.is_connected_outbound())
            .min_by_key(|peer| peer.last_used.get());
        let Some(peer) = least_recently_used else {
            return false;
        };
        if let Some(connection) = peer.connection.borrow_mut().take() {
            connection.close.request();
        }
        true
    }

    /// Whether this gateway's name sorts before the peer's. If two gateways dial each other at the
    /// same time, both keep the connection that was dialed by the one whose name sorts first.
    fn local_name_sorts_first(&self, peer: &Peer) -> bool {
        *self.section.local_name < *peer.name
    }
}

#[cfg(test)]
mod tests;
