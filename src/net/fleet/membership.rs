//! Drives [`Membership`] with sockets and timers: datagrams over UDP, comparisons over the
//! transport.

use super::frame::{FrameError, FrameKind};
use super::outbox::Lane;
use super::transport::Transport;
use crate::net::control::fleet_section::FleetSection;
use crate::net::runtime::clock::Clock;
use cometspool_membership::{Change, Effect, Member, Membership, Timing};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

/// Datagrams that are read before the timers get their turn.
const MAX_BATCH: usize = 64;
/// Longest datagram that is read, bytes; a longer one is not a frame.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// What is new with each start of the process.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProcessStart {
    /// Gateways of the fleet by the settings.
    pub configured_size: u32,
    /// Drawn at random: distinguishes this process from all others under its name.
    pub instance_id: u64,
    /// The seed of membership's random draws.
    pub seed: u64,
}

/// The membership of this gateway, and the socket that it runs on.
pub(super) struct MembershipService {
    membership: RefCell<Membership>,
    socket: UdpSocket,
    transport: Rc<Transport>,
    clock: Clock,
    local_name: String,
    /// Notified when a timer may be due earlier than before.
    rescheduled: Notify,
    /// Called with the number of gateways that are present or failed of late.
    on_fleet_size: Box<dyn Fn(u32)>,
}

impl MembershipService {
    /// The service of a process that has just started. Nothing is sent before
    /// [`MembershipService::run`].
    pub(super) fn new(
        section: &FleetSection,
        socket: UdpSocket,
        transport: Rc<Transport>,
        clock: Clock,
        start: ProcessStart,
        on_fleet_size: Box<dyn Fn(u32)>,
    ) -> Rc<MembershipService> {
        let local = Member {
            // If the clock is right, this is higher than that of any earlier process under this
            // name; if not, the others report the earlier one's.
            generation: clock.now().max(1.0) as u64,
            instance_id: start.instance_id,
            zone: section.zone.clone(),
            version: super::frame::VERSION,
            ..Member::at_address(&section.local_name, section.advertise)
        };
        let peers = section
            .peers
            .iter()
            .map(|(name, address)| Member::at_address(name, *address))
            .collect();
        let size = start.configured_size.max(section.peers.len() as u32 + 1);
        let timing = Timing::for_size(size);
        let membership = Membership::new(clock.now(), local, peers, timing, size, start.seed);
        Rc::new(MembershipService {
            membership: RefCell::new(membership),
            socket,
            transport,
            clock,
            local_name: section.local_name.clone(),
            rescheduled: Notify::new(),
            on_fleet_size,
        })
    }

    /// Reads datagrams and fires timers for as long as the gateway runs.
    pub(super) async fn run(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            tokio::select! {
                biased;
                // An error is the echo of a datagram that reached nobody.
                _ = self.socket.readable() => {}
                () = self.next_deadline() => {}
                () = self.rescheduled.notified() => {}
            }
            // What arrived while the process was kept from running is handled before timers judge
            // other members.
            self.receive_batch(&mut buffer);
            let effects = self.membership.borrow_mut().tick(self.clock.now());
            self.apply(effects);
        }
    }

    /// Handles a peer's message of a comparison, and replies if that is asked for.
    pub(super) fn receive_comparison(&self, from: &str, bytes: &[u8]) {
        let now = self.clock.now();
        let outcome = self.membership.borrow_mut().handle_comparison(now, bytes);
        self.apply(outcome.effects);
        self.rescheduled.notify_one();
        let Some(reply) = outcome.reply else {
            return;
        };
        let address = self
            .membership
            .borrow()
            .view()
            .present
            .get(from)
            .map(|member| member.address);
        // The peer's message came on a connection, which carries the reply. A full lane is counted
        // by the transport.
        let _ = self
            .transport
            .send(from, address, Lane::BestEffort, FrameKind::Compare, &reply);
    }

    /// Reports to the others how busy this gateway is, in thousandths of its capacity.
    pub(super) fn report_load(&self, load: u16) {
        let now = self.clock.now();
        self.membership.borrow_mut().report_load(now, load);
    }

    /// Notifies the others that this gateway leaves.
    pub(super) fn leave(&self) {
        let effects = self.membership.borrow_mut().leave(self.clock.now());
        self.apply(effects);
    }

    /// The view and the counters for the log. Its keys are read by tools.
    pub(super) fn status(&self) -> Value {
        let membership = self.membership.borrow();
        let view = membership.view();
        let names = || view.present.keys().map(|name| &**name);
        let loads: BTreeMap<&str, u16> = names()
            .filter_map(|name| Some((name, membership.load_of(name)?)))
            .collect();
        let failed: Vec<&str> = view.failed.keys().map(|name| &**name).collect();
        json!({
            "present": names().collect::<Vec<_>>(),
            "loads": loads,
            "failed": failed,
            "revision": view.revision,
            "reachable": view.reachable_fraction(),
            "doubt": membership.health_score(),
            "gone": membership.is_defunct(),
            "number": membership.local_member().generation,
            "counts": membership.counters(),
        })
    }

    /// Waits until a timer is due, or for ever if there is none.
    async fn next_deadline(&self) {
        let deadline = self.membership.borrow().next_deadline();
        match deadline {
            Some(at) => tokio::time::sleep_until(self.clock.instant_at(at)).await,
            None => std::future::pending().await,
        }
    }

    /// Handles the datagrams that have arrived, up to [`MAX_BATCH`].
    fn receive_batch(&self, buffer: &mut [u8]) {
        for _ in 0..MAX_BATCH {
            match self.socket.try_recv_from(buffer) {
                Ok((length, _)) => self.receive_datagram(&buffer[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => {}
            }
        }
    }

    fn receive_datagram(&self, bytes: &[u8]) {
        match self.transport.codec.decode_datagram(bytes) {
            Ok(frame) if frame.kind == Some(FrameKind::Gossip) => {
                let now = self.clock.now();
                let effects = self
                    .membership
                    .borrow_mut()
                    .handle_datagram(now, frame.body());
                self.apply(effects);
            }
            Ok(_) => self.transport.counters.borrow_mut().unknown_kind += 1,
            Err(error) => self.record_rejected(error),
        }
    }

    fn apply(&self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::SendDatagram { to, bytes } => self.send_datagram(&to, &bytes),
                Effect::SendComparison { to, bytes } => self.send_comparison(&to, &bytes),
                Effect::Changed(change) => self.report_change(&change),
            }
        }
    }

    fn send_datagram(&self, to: &Member, bytes: &[u8]) {
        let address = self
            .transport
            .address_of(&to.name, Some(to.address))
            .unwrap_or(to.address);
        match self.transport.codec.encode(FrameKind::Gossip, bytes) {
            // A datagram that the system does not accept is lost, as others are on the network.
            Some(frame) => drop(self.socket.try_send_to(&frame, address)),
            None => self.record_rejected(FrameError::TooLong(bytes.len() as u32)),
        }
    }

    fn send_comparison(&self, to: &Member, bytes: &[u8]) {
        // A full lane is counted by the transport, and the next comparison makes up for this one.
        let _ = self.transport.send(
            &to.name,
            Some(to.address),
            Lane::BestEffort,
            FrameKind::Compare,
            bytes,
        );
    }

    /// Logs a change, and reports the size of the fleet after it.
    fn report_change(&self, change: &Change) {
        self.log_change(change);
        let membership = self.membership.borrow();
        let view = membership.view();
        // A member that failed of late may run on the other side of a partition, and do all that
        // this one does.
        (self.on_fleet_size)((view.present.len() + view.failed.len()) as u32);
    }

    /// Writes a change to the log. The fields are read by tools.
    fn log_change(&self, change: &Change) {
        let (event, member) = match change {
            Change::Joined(member) => ("up", member),
            Change::Left(member) => ("left", member),
            Change::Failed(member) => ("failed", member),
            Change::NameConflict(member) => ("twin", member),
            Change::NameLost(member) => ("displaced", member),
        };
        tracing::info!(
            what = "member",
            name = self.local_name.as_str(),
            change = event,
            member = &*member.name,
            number = member.generation,
            zone = member.zone.as_str()
        );
    }

    fn record_rejected(&self, error: FrameError) {
        self.transport.counters.borrow_mut().record_rejected(error);
    }
}
