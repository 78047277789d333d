//! A node of the simulated fleet: a name, an address, and the member that runs there.

use super::{Event, Traffic};
use crate::counters::Counters;
use crate::member::Member;
use crate::membership::Membership;
use crate::timing::Millis;
use std::net::SocketAddr;

/// Maximum number of messages that are queued for a paused process, as in the receive buffer of a
/// socket. Further messages are dropped.
const MAX_BACKLOG: usize = 256;
/// Number of addresses that are used in each subnet.
const ADDRESSES_PER_SUBNET: usize = 250;
const PORT: u16 = 9100;

/// A node of the simulated fleet.
pub(super) struct Node {
    pub name: String,
    pub address: SocketAddr,
    /// The nodes that the members of this node are configured with.
    pub configured_peers: Vec<usize>,
    pub member: Option<Membership>,
    /// The traffic of the members that were killed on this node.
    pub earlier_traffic: Traffic,
    pub paused_until: Option<Millis>,
    /// Events that arrived while the process was paused.
    pub backlog: Vec<Event>,
    /// When the earliest scheduled tick is due; infinite if none is scheduled.
    pub next_tick: Millis,
}

impl Node {
    /// Creates a node that runs no member.
    pub(super) fn new(index: usize, configured_peers: Vec<usize>) -> Node {
        let subnet = (index / ADDRESSES_PER_SUBNET) as u8;
        let host = (index % ADDRESSES_PER_SUBNET) as u8;
        Node {
            name: format!("n{index}"),
            address: SocketAddr::from(([127, 1, subnet, host], PORT)),
            configured_peers,
            member: None,
            earlier_traffic: Traffic::default(),
            paused_until: None,
            backlog: Vec::new(),
            next_tick: f64::INFINITY,
        }
    }

    /// The node as other nodes are configured with it: its name and address.
    pub(super) fn contact(&self) -> Member {
        Member::at_address(&self.name, self.address)
    }

    /// Starts a member. It replaces the one that ran here.
    pub(super) fn start(&mut self, member: Membership) {
        self.member = Some(member);
        self.paused_until = None;
        self.backlog.clear();
    }

    /// Kills the member, and keeps the numbers of its traffic.
    pub(super) fn kill(&mut self) {
        if let Some(member) = self.member.take() {
            let Counters {
                sent, sent_bytes, ..
            } = member.counters();
            self.earlier_traffic.datagrams += sent;
            self.earlier_traffic.bytes += sent_bytes;
        }
    }

    /// Whether a member runs here and participates.
    pub(super) fn is_active(&self) -> bool {
        self.member
            .as_ref()
            .is_some_and(|member| !member.is_defunct())
    }

    /// When the member needs its next tick, if that is earlier than the one that is scheduled.
    pub(super) fn earlier_tick(&self) -> Option<Millis> {
        let deadline = self.member.as_ref()?.next_deadline()?;
        (deadline < self.next_tick).then_some(deadline)
    }

    /// Queues an event that arrives during a pause. Ticks are not queued, because the pause ends
    /// with one.
    pub(super) fn enqueue_while_paused(&mut self, event: Event) {
        if !matches!(event, Event::Tick) && self.backlog.len() < MAX_BACKLOG {
            self.backlog.push(event);
        }
    }
}
