//! Runs [`Membership`] on sockets and timers: datagrams go over UDP, anti-entropy messages over the
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

/// Maximum number of datagrams that are read before the timers are checked.
const MAX_DATAGRAMS_PER_BATCH: usize = 64;
/// Maximum length of a received datagram, in bytes. A longer one is cut off by the read and
/// rejected as an invalid frame.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// Values that a process gets at its start.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProcessStart {
    /// Number of gateways in the fleet according to the settings.
    pub configured_size: u32,
    /// Distinguishes this process from every other process under its name; random at each start.
    pub instance_id: u64,
    /// Seed of the random choices of the membership protocol.
    pub seed: u64,
}

/// The membership protocol of this gateway, and the UDP socket that it runs on.
pub(super) struct MembershipService {
    membership: RefCell<Membership>,
    socket: UdpSocket,
    transport: Rc<Transport>,
    clock: Clock,
    local_name: String,
    /// Notified when the next timer may be due earlier than before.
    rescheduled: Notify,
    /// Called after each change of the view, with the number of gateways that are present or failed
    /// recently.
    on_fleet_size: Box<dyn Fn(u32)>,
}

impl MembershipService {
    /// Creates the service of a process that has just started. Nothing is sent before
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
            // If the clock is right, this is higher than the generation of any earlier process
            // under this name. If it is not, the other members report the earlier generation, and
            // this process takes a higher one.
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

    /// Receives datagrams and fires timers for as long as the gateway runs.
    pub(super) async fn run(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            tokio::select! {
                biased;
                // An error here reports that an earlier datagram reached no process.
                _ = self.socket.readable() => {}
                () = self.wait_for_deadline() => {}
                () = self.rescheduled.notified() => {}
            }
            // Datagrams that arrived while the process was stalled are handled before timers fire,
            // because a timer may declare other members failed.
            self.receive_batch(&mut buffer);
            let effects = self.membership.borrow_mut().tick(self.clock.now());
            self.apply(effects);
        }
    }

    /// Handles an anti-entropy message of a peer, and sends the reply if there is one.
    pub(super) fn receive_anti_entropy(&self, from: &str, bytes: &[u8]) {
        let now = self.clock.now();
        let outcome = self.membership.borrow_mut().handle_anti_entropy(now, bytes);
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
        // The peer's message came on a connection, which also carries the reply. An error needs no
        // handling here: the transport counts frames that it could not queue.
        let _ = self.transport.send(
            from,
            address,
            Lane::BestEffort,
            FrameKind::AntiEntropy,
            &reply,
        );
    }

    /// Reports to the other gateways how busy this one is, in thousandths of its capacity.
    pub(super) fn report_load(&self, load: u16) {
        let now = self.clock.now();
        self.membership.borrow_mut().report_load(now, load);
    }

    /// Announces to the other gateways that this one is leaving.
    pub(super) fn leave(&self) {
        let effects = self.membership.borrow_mut().leave(self.clock.now());
        self.apply(effects);
    }

    /// The view and the counters for the log. Tools read its keys.
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

    /// Waits until the next timer is due, or forever if there is none.
    async fn wait_for_deadline(&self) {
        let deadline = self.membership.borrow().next_deadline();
        match deadline {
            Some(at) => tokio::time::sleep_until(self.clock.instant_at(at)).await,
            None => std::future::pending().await,
        }
    }

    /// Handles the datagrams that have arrived, at most [`MAX_DATAGRAMS_PER_BATCH`].
    fn receive_batch(&self, buffer: &mut [u8]) {
        for _ in 0..MAX_DATAGRAMS_PER_BATCH {
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
                Effect::SendAntiEntropy { to, bytes } => self.send_anti_entropy(&to, &bytes),
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
            // A datagram that the operating system does not accept is treated as lost on the
            // network.
            Some(frame) => drop(self.socket.try_send_to(&frame, address)),
            None => self.record_rejected(FrameError::TooLong(bytes.len() as u32)),
        }
    }

    fn send_anti_entropy(&self, to: &Member, bytes: &[u8]) {
        // An error needs no handling here: the transport counts frames that it could not queue, and
        // the next anti-entropy exchange makes up for this one.
        let _ = self.transport.send(
            &to.name,
            Some(to.address),
            Lane::BestEffort,
            FrameKind::AntiEntropy,
            bytes,
        );
    }

    /// Logs a change, and passes the size of the fleet after it to `on_fleet_size`.
    fn report_change(&self, change: &Change) {
        self.log_change(change);
        let membership = self.membership.borrow();
        let view = membership.view();
        // A member that failed recently is counted: it may still run on the other side of a
        // partition and do the same work as this gateway.
        (self.on_fleet_size)((view.present.len() + view.failed.len()) as u32);
    }

    /// Writes a change to the log. Tools read its fields.
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
