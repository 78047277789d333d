//! Membership on sockets: datagrams, comparisons over the transport, and its timers.

use super::frame::{FrameError, FrameKind};
use super::outbox::Lane;
use super::transport::Transport;
use crate::net::control::fleet_section::FleetSection;
use crate::net::runtime::clock::Clock;
use cometspool_membership::{Change, Effect, Member, Membership, Timing};
use serde_json::json;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

/// Datagrams read before timers get their turn.
const MAX_BATCH: usize = 64;
/// Longest datagram that is read; a longer one is no frame.
const LONGEST_DATAGRAM: usize = 2048;

/// What is new with each start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Start {
    /// Front doors by the settings.
    pub configured_size: u32,
    /// Drawn: tells this process from all others under its name.
    pub life: u64,
    /// For chance.
    pub seed: u64,
}

/// Who seems present, as far as sockets tell.
pub(super) struct MembershipService {
    membership: RefCell<Membership>,
    socket: UdpSocket,
    transport: Rc<Transport>,
    clock: Clock,
    own: String,
    changed: Notify,
    /// Called with how many front doors the fleet seems to have.
    on_size: Box<dyn Fn(u32)>,
}

impl MembershipService {
    /// Begins to look for the others.
    pub(super) fn new(
        section: &FleetSection,
        socket: UdpSocket,
        transport: Rc<Transport>,
        clock: Clock,
        start: Start,
        on_size: Box<dyn Fn(u32)>,
    ) -> Rc<MembershipService> {
        let Start {
            configured_size,
            life,
            seed,
        } = start;
        let own = Member {
            // Later than any before under this name, if the clock is right; if not, the others tell.
            generation: clock.now().max(1.0) as u64,
            instance_id: life,
            zone: section.zone.clone(),
            version: super::frame::VERSION,
            ..Member::at_address(&section.own, section.advertise)
        };
        let peers = section
            .peers
            .iter()
            .map(|(name, dial)| Member::at_address(name, *dial))
            .collect();
        let size = configured_size.max(section.peers.len() as u32 + 1);
        let membership =
            Membership::new(clock.now(), own, peers, Timing::for_size(size), size, seed);
        Rc::new(MembershipService {
            membership: RefCell::new(membership),
            socket,
            transport,
            clock,
            own: section.own.clone(),
            changed: Notify::new(),
            on_size,
        })
    }

    /// Reads datagrams and fires timers for as long as the front door runs.
    pub(super) async fn run(self: Rc<Self>) {
        let mut buffer = vec![0; LONGEST_DATAGRAM];
        loop {
            let next = self.membership.borrow().next_deadline();
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
            for _ in 0..MAX_BATCH {
                match self.socket.try_recv_from(&mut buffer) {
                    Ok((length, _)) => self.receive_datagram(&buffer[..length]),
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => break,
                    Err(_) => {}
                }
            }
            let effects = self.membership.borrow_mut().tick(self.clock.now());
            self.apply(effects);
        }
    }

    fn receive_datagram(&self, bytes: &[u8]) {
        match self.transport.codec.decode_datagram(bytes) {
            Ok(frame) if frame.kind == Some(FrameKind::Gossip) => {
                let effects = self
                    .membership
                    .borrow_mut()
                    .handle_datagram(self.clock.now(), frame.body());
                self.apply(effects);
            }
            Ok(_) => self.transport.counters.borrow_mut().unknown += 1,
            Err(why) => self.transport.counters.borrow_mut().record_rejected(why),
        }
    }

    /// Takes in a peer's part of a comparison.
    pub(super) fn receive_comparison(&self, from: &str, bytes: &[u8]) {
        let outcome = self
            .membership
            .borrow_mut()
            .handle_comparison(self.clock.now(), bytes);
        self.apply(outcome.effects);
        self.changed.notify_one();
        if let Some(reply) = outcome.reply {
            let at = self
                .membership
                .borrow()
                .view()
                .present
                .get(from)
                .map(|member| member.address);
            // It asked over a link, which carries the answer. A full lane is counted by the transport.
            let _ = self
                .transport
                .send(from, at, Lane::BestEffort, FrameKind::Compare, &reply);
        }
    }

    fn apply(&self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::SendDatagram { to, bytes } => {
                    let at = self
                        .transport
                        .address(&to.name, Some(to.address))
                        .unwrap_or(to.address);
                    match self.transport.codec.encode(FrameKind::Gossip, &bytes) {
                        // A datagram that the system cannot take is lost, as others are.
                        Some(frame) => drop(self.socket.try_send_to(&frame, at)),
                        None => self
                            .transport
                            .counters
                            .borrow_mut()
                            .record_rejected(FrameError::Size(bytes.len() as u32)),
                    }
                }
                Effect::SendComparison { to, bytes } => {
                    // A full lane is counted by the transport, and the next comparison comes anyhow.
                    let _ = self.transport.send(
                        &to.name,
                        Some(to.address),
                        Lane::BestEffort,
                        FrameKind::Compare,
                        &bytes,
                    );
                }
                Effect::Changed(change) => {
                    self.log_change(&change);
                    let membership = self.membership.borrow();
                    let view = membership.view();
                    // Whoever failed of late may live on the other side of a cut, and do all that this one does.
                    (self.on_size)((view.present.len() + view.failed.len()) as u32);
                }
            }
        }
    }

    fn log_change(&self, change: &Change) {
        let (what, member) = match change {
            Change::Joined(member) => ("up", member),
            Change::Left(member) => ("left", member),
            Change::Failed(member) => ("failed", member),
            Change::NameConflict(member) => ("twin", member),
            Change::NameLost(member) => ("displaced", member),
        };
        let Member {
            name,
            generation: number,
            zone,
            ..
        } = member;
        let (own, member, zone) = (self.own.as_str(), &**name, &**zone);
        tracing::info!(
            what = "member",
            name = own,
            change = what,
            member,
            number,
            zone
        );
    }

    /// Lets the others know how busy this one is.
    pub(super) fn report_load(&self, load: u16) {
        self.membership
            .borrow_mut()
            .report_load(self.clock.now(), load);
    }

    /// Tells the others that this one goes.
    pub(super) fn leave(&self) {
        let effects = self.membership.borrow_mut().leave(self.clock.now());
        self.apply(effects);
    }

    /// The view and the counters, for the log.
    pub(super) fn status(&self) -> serde_json::Value {
        let membership = self.membership.borrow();
        let view = membership.view();
        json!({
            "present": view.present.keys().map(|name| &**name).collect::<Vec<_>>(),
            "loads": view.present.keys().filter_map(|name| Some((name.to_string(), membership.load_of(name)?)))
                .collect::<BTreeMap<_, _>>(),
            "failed": view.failed.keys().map(|name| &**name).collect::<Vec<_>>(),
            "revision": view.revision, "reachable": view.reachable_fraction(), "doubt": membership.health_score(),
            "gone": membership.is_defunct(), "number": membership.local_member().generation, "counts": membership.counters(),
        })
    }
}
