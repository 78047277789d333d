//! Membership on sockets: datagrams, comparisons over the way, and its timers.

use super::frame::{FrameError, FrameKind};
use super::outbox::Lane;
use super::way::Way;
use crate::net::clock::Clock;
use crate::net::fleet_section::FleetSection;
use cometspool_membership::{Change, Effect, Member, Membership, Times};
use serde_json::json;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

/// Datagrams read before timers get their turn.
const AT_ONCE: usize = 64;
/// Longest datagram that is read; a longer one is no frame.
const LONGEST: usize = 2048;

/// What is new with each start.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// Front doors that the settings tell.
    pub told: u32,
    /// Drawn: tells this process from all others under its name.
    pub life: u64,
    /// For chance.
    pub seed: u64,
}

/// Who seems present, as far as sockets tell.
pub struct Hints {
    membership: RefCell<Membership>,
    socket: UdpSocket,
    way: Rc<Way>,
    clock: Clock,
    own: String,
    changed: Notify,
    /// Told how many front doors the fleet seems to have.
    sized: Box<dyn Fn(u32)>,
}

impl Hints {
    /// Begins to look for the others.
    pub fn new(
        section: &FleetSection,
        socket: UdpSocket,
        way: Rc<Way>,
        clock: Clock,
        start: Start,
        sized: Box<dyn Fn(u32)>,
    ) -> Rc<Hints> {
        let Start { told, life, seed } = start;
        let own = Member {
            // Later than any before under this name, if the clock is right; if not, the others tell.
            number: clock.now().max(1.0) as u64,
            life,
            zone: section.zone.clone(),
            version: super::frame::VERSION,
            ..Member::unknown(&section.own, section.advertise)
        };
        let peers = section.peers.iter().map(|(name, dial)| Member::unknown(name, *dial)).collect();
        let size = told.max(section.peers.len() as u32 + 1);
        let membership = Membership::new(clock.now(), own, peers, Times::of(size), size, seed);
        Rc::new(Hints {
            membership: RefCell::new(membership),
            socket,
            way,
            clock,
            own: section.own.clone(),
            changed: Notify::new(),
            sized,
        })
    }

    /// Reads datagrams and fires timers for as long as the front door runs.
    pub async fn run(self: Rc<Self>) {
        let mut buffer = vec![0; LONGEST];
        loop {
            let next = self.membership.borrow().next();
            let due = async {
                match next {
                    Some(at) => tokio::time::sleep_until(self.clock.instant(at)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                // An error is the echo of a datagram that found nobody.
                _ = self.socket.readable() => {}
                () = due => {}
                () = self.changed.notified() => {}
            }
            // What came while the process was kept from running is heard before timers judge anybody.
            for _ in 0..AT_ONCE {
                match self.socket.try_recv_from(&mut buffer) {
                    Ok((length, _)) => self.datagram(&buffer[..length]),
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => break,
                    Err(_) => {}
                }
            }
            let effects = self.membership.borrow_mut().tick(self.clock.now());
            self.carry_out(effects);
        }
    }

    fn datagram(&self, bytes: &[u8]) {
        match self.way.codec.decode_datagram(bytes) {
            Ok(frame) if frame.kind == Some(FrameKind::Gossip) => {
                let effects = self.membership.borrow_mut().receive(self.clock.now(), frame.body());
                self.carry_out(effects);
            }
            Ok(_) => self.way.counts.borrow_mut().unknown += 1,
            Err(why) => self.way.counts.borrow_mut().foreign(why),
        }
    }

    /// Takes in a peer's part of a comparison.
    pub fn compared(&self, from: &str, bytes: &[u8]) {
        let (effects, back) = self.membership.borrow_mut().compare(self.clock.now(), bytes);
        self.carry_out(effects);
        self.changed.notify_one();
        if let Some(back) = back {
            let at = self.membership.borrow().view().present.get(from).map(|member| member.address);
            // It asked over a link, which carries the answer. No room is counted by the way.
            let _ = self.way.send(from, at, Lane::BestEffort, FrameKind::Compare, &back);
        }
    }

    fn carry_out(&self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, bytes } => {
                    let at = self.way.address(&to.name, Some(to.address)).unwrap_or(to.address);
                    match self.way.codec.encode(FrameKind::Gossip, &bytes) {
                        // A datagram that the system has no room for is lost, as others are.
                        Some(frame) => drop(self.socket.try_send_to(&frame, at)),
                        None => self.way.counts.borrow_mut().foreign(FrameError::Size(bytes.len() as u32)),
                    }
                }
                Effect::Compare { with, bytes } => {
                    // No room is counted by the way, and the next comparison comes anyhow.
                    let _ = self.way.send(
                        &with.name,
                        Some(with.address),
                        Lane::BestEffort,
                        FrameKind::Compare,
                        &bytes,
                    );
                }
                Effect::Changed(change) => {
                    self.tell(&change);
                    let membership = self.membership.borrow();
                    let view = membership.view();
                    // Whoever failed of late may live on the other side of a cut, and do all that this one does.
                    (self.sized)((view.present.len() + view.failed.len()) as u32);
                }
            }
        }
    }

    fn tell(&self, change: &Change) {
        let (what, member) = match change {
            Change::Up(member) => ("up", member),
            Change::Left(member) => ("left", member),
            Change::Failed(member) => ("failed", member),
            Change::Twin(member) => ("twin", member),
            Change::Displaced(member) => ("displaced", member),
        };
        let Member { name, number, zone, .. } = member;
        let (own, member, zone) = (self.own.as_str(), &**name, &**zone);
        tracing::info!(what = "member", name = own, change = what, member, number, zone);
    }

    /// Lets the others know how busy this one is.
    pub fn tell_load(&self, load: u16) {
        self.membership.borrow_mut().tell_load(self.clock.now(), load);
    }

    /// Tells the others that this one goes.
    pub fn leave(&self) {
        let effects = self.membership.borrow_mut().leave(self.clock.now());
        self.carry_out(effects);
    }

    /// What there is to tell of it.
    pub fn status(&self) -> serde_json::Value {
        let membership = self.membership.borrow();
        let view = membership.view();
        json!({
            "present": view.present.keys().map(|name| &**name).collect::<Vec<_>>(),
            "loads": view.present.keys().filter_map(|name| Some((name.to_string(), membership.load_of(name)?)))
                .collect::<BTreeMap<_, _>>(),
            "failed": view.failed.keys().map(|name| &**name).collect::<Vec<_>>(),
            "revision": view.revision, "reachable": view.reachable(), "doubt": membership.self_doubt(),
            "gone": membership.gone(), "number": membership.own().number, "counts": membership.counts(),
        })
    }
}
