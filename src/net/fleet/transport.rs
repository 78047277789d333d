//! The transport between front doors: a listener, and one kept connection per peer that is needed.
//!
//! A connection carries both ways, whoever dialled. It begins with a greeting each way, and ends when no whole frame came
//! for four heartbeats: a peer that is silent, dribbles or does not read costs no more than its own connection and its outbox.

mod connection;
pub(super) mod counters;
mod dialer;
mod handshake;
mod listener;
mod peer;

use super::frame::{Frame, FrameCodec, FrameKind};
use super::outbox::{Full, Lane, Outbox};
use crate::net::control::fleet_section::FleetSection;
use cometspool_membership::MAX_NAME_BYTES;
use counters::Counters;
use peer::Peer;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::bytes::Bytes;

/// Peers of whom something is kept at most.
const MAX_PEERS: usize = 4096;

/// Called with the sender and each frame that comes on a link.
type FrameHandler = dyn Fn(&str, &Frame);

/// Sends frames to peers, and hands on those that come from them.
pub(super) struct Transport {
    section: FleetSection,
    /// Encodes and decodes the frames of this fleet.
    pub codec: FrameCodec,
    life: u64,
    peers: RefCell<HashMap<Rc<str>, Rc<Peer>>>,
    handler: RefCell<Option<Rc<FrameHandler>>>,
    /// What passed and what was turned away.
    pub counters: RefCell<Counters>,
    links_begun: Cell<u64>,
    accepted: Cell<usize>,
}

impl Transport {
    /// The transport of a front door whose process is told from others under its name by `life`.
    pub(super) fn new(section: FleetSection, life: u64) -> Rc<Transport> {
        let codec = FrameCodec::new(&section.fleet, section.generation, section.frame_bytes);
        Rc::new(Transport {
            section,
            codec,
            life,
            peers: RefCell::default(),
            handler: RefCell::default(),
            counters: RefCell::default(),
            links_begun: Cell::new(0),
            accepted: Cell::new(0),
        })
    }

    /// Sets what is called with each frame that comes and its sender.
    pub(super) fn set_handler(&self, handler: Rc<FrameHandler>) {
        *self.handler.borrow_mut() = Some(handler);
    }

    /// Links that are up: those dialled here, and the others.
    pub(super) fn link_counts(&self) -> (usize, usize) {
        let peers = self.peers.borrow();
        let dialled: Vec<bool> = peers
            .values()
            .filter_map(|peer| peer.link.borrow().as_ref().map(|link| link.dialled))
            .collect();
        let here = dialled.iter().filter(|dialled| **dialled).count();
        (here, dialled.len() - here)
    }

    /// Where to reach somebody: the configured address goes before the advertised one.
    pub(super) fn address(&self, name: &str, advertised: Option<SocketAddr>) -> Option<SocketAddr> {
        self.section.peers.get(name).copied().or(advertised)
    }

    /// Sends a frame to a peer: on the link that is there, or on one that is dialled for it, at the configured address or
    /// else at `address`. Refused are frames beyond the limits, and those for a peer without an address.
    pub(super) fn send(
        self: &Rc<Self>,
        to: &str,
        address: Option<SocketAddr>,
        lane: Lane,
        kind: FrameKind,
        content: &[u8],
    ) -> Result<(), Full> {
        let frame = self.codec.encode(kind, content).ok_or(Full);
        let sent = frame.and_then(|frame| self.queue(to, address, lane, frame));
        if sent.is_err() {
            self.counters.borrow_mut().full += 1;
        }
        sent
    }

    fn queue(
        self: &Rc<Self>,
        to: &str,
        address: Option<SocketAddr>,
        lane: Lane,
        frame: Bytes,
    ) -> Result<(), Full> {
        if to == self.section.own {
            return Err(Full);
        }
        let peer = self.peer(to).ok_or(Full)?;
        let linked = peer.link.borrow().is_some() || peer.dialling.get();
        let dial = self.address(to, address).filter(|_| !linked);
        if !linked && (dial.is_none() || !self.reserve_dial()) {
            self.forget(&peer);
            return Err(Full);
        }
        peer.used.set(Instant::now());
        let dropped = {
            let mut outbox = peer.outbox.borrow_mut();
            let before = outbox.dropped;
            outbox.push(lane, frame)?;
            outbox.dropped - before
        };
        self.counters.borrow_mut().dropped += dropped;
        match dial {
            Some(address) => {
                peer.dialling.set(true);
                tokio::task::spawn_local(self.clone().dial(peer, address));
            }
            None => peer.wake.notify_one(),
        }
        Ok(())
    }

    /// The peer with this name, remembered from now on; `None` if too many are, or the name cannot be one.
    fn peer(&self, name: &str) -> Option<Rc<Peer>> {
        let mut peers = self.peers.borrow_mut();
        if let Some(peer) = peers.get(name) {
            return Some(peer.clone());
        }
        if peers.len() >= MAX_PEERS || name.is_empty() || name.len() > MAX_NAME_BYTES {
            return None;
        }
        let name: Rc<str> = name.into();
        let peer = Rc::new(Peer {
            name: name.clone(),
            outbox: RefCell::new(Outbox::new(self.section.queue_bytes)),
            wake: Notify::new(),
            link: RefCell::default(),
            dialling: Cell::new(false),
            used: Cell::new(Instant::now()),
        });
        peers.insert(name, peer.clone());
        Some(peer)
    }

    /// Forgets a peer with whom nothing is going on.
    fn forget(&self, peer: &Peer) {
        let idle =
            peer.link.borrow().is_none() && !peer.dialling.get() && peer.outbox.borrow().is_empty();
        if idle {
            self.peers.borrow_mut().remove(&peer.name);
        }
    }

    /// Whether one more may be dialled; the one that was least lately needed, and has nothing to carry, leaves for it.
    fn reserve_dial(&self) -> bool {
        let peers = self.peers.borrow();
        let ours = |peer: &&Rc<Peer>| {
            peer.dialling.get() || peer.link.borrow().as_ref().is_some_and(|link| link.dialled)
        };
        if peers.values().filter(ours).count() < self.section.links {
            return true;
        }
        let spare = peers.values().filter(|peer| {
            peer.outbox.borrow().is_empty()
                && peer.link.borrow().as_ref().is_some_and(|link| link.dialled)
        });
        let Some(spare) = spare.min_by_key(|peer| peer.used.get()) else {
            return false;
        };
        if let Some(link) = spare.link.borrow_mut().take() {
            link.close.request();
        }
        true
    }
}

#[cfg(test)]
mod tests;
