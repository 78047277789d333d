//! A member's identity, and its state as other members know it.

use crate::name::Name;
use foca::{Identity, State};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum number of known members, failed and departed ones included. Messages that would exceed
/// it are dropped.
pub(crate) const MAX_MEMBERS: usize = 4096;
/// Maximum length of a member's name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum length of a zone's name, in bytes.
pub const MAX_ZONE_BYTES: usize = 32;

/// A member's identity, as the member itself announces it. Two are equal if their names and
/// generations are. The fields are encoded in this order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Member {
    /// The name of the member, which stays the same after a restart.
    pub name: Name,
    /// Orders the processes that had this name. It grows with each start, and each time that a
    /// process rejoins after it was declared failed. The process with the highest generation holds
    /// the name.
    pub generation: u64,
    /// A random number, new at each start. It distinguishes a process that rejoined from another
    /// process under the same name.
    pub instance_id: u64,
    /// The address that the member advertises.
    pub address: SocketAddr,
    /// The zone of the member; empty if it has none.
    pub zone: String,
    /// The protocol version that the member speaks.
    pub version: u16,
    /// Whether the member may hold replicas for other members.
    pub may_hold_replicas: bool,
    /// Whether the member is leaving voluntarily.
    pub leaving: bool,
}

impl PartialEq for Member {
    fn eq(&self, other: &Self) -> bool {
        self.generation == other.generation && self.name == other.name
    }
}

impl Eq for Member {}

impl Member {
    /// A member of which only the name and the address are known, which is enough to contact it.
    pub fn at_address(name: &str, address: SocketAddr) -> Member {
        Member {
            name: name.into(),
            generation: 0,
            instance_id: 0,
            address,
            zone: String::new(),
            version: 0,
            may_hold_replicas: false,
            leaving: false,
        }
    }

    /// Whether the lengths of the name and the zone are within their limits.
    pub(crate) fn has_valid_names(&self) -> bool {
        (1..=MAX_NAME_BYTES).contains(&self.name.len()) && self.zone.len() <= MAX_ZONE_BYTES
    }
}

impl Identity for Member {
    // The hash of the name. Two names with the same hash would count as one member. Among 4,096
    // names the chance of that is one in 10^12, which is acceptable because membership is only a
    // hint.
    type Addr = u64;

    fn renew(&self) -> Option<Self> {
        Some(Member {
            generation: self.generation.checked_add(1)?,
            ..self.clone()
        })
    }

    fn addr(&self) -> u64 {
        self.name.fnv_hash()
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.generation > adversary.generation
    }
}

/// The state of a member that the protocol disseminates. The order of the variants is their number
/// on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// The member is alive.
    Alive,
    /// The member did not answer a probe, and may still refute the suspicion.
    Suspect,
    /// The member failed or left.
    Down,
}

impl From<State> for MemberState {
    fn from(state: State) -> MemberState {
        match state {
            State::Alive => MemberState::Alive,
            State::Suspect => MemberState::Suspect,
            State::Down => MemberState::Down,
        }
    }
}

impl From<MemberState> for State {
    fn from(state: MemberState) -> State {
        match state {
            MemberState::Alive => State::Alive,
            MemberState::Suspect => State::Suspect,
            MemberState::Down => State::Down,
        }
    }
}

/// A member with its state, as members send it to each other. The fields are encoded in this order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member that the update is about.
    pub member: Member,
    /// The incarnation that the state belongs to. A member refutes a suspicion by announcing a
    /// higher incarnation.
    pub incarnation: u16,
    /// The state of the member in this incarnation.
    pub state: MemberState,
}

impl MemberUpdate {
    /// A member that is alive in its first incarnation.
    pub(crate) fn alive(member: Member) -> MemberUpdate {
        MemberUpdate {
            member,
            incarnation: 0,
            state: MemberState::Alive,
        }
    }

    pub(crate) fn from_foca(member: &foca::Member<Member>) -> MemberUpdate {
        MemberUpdate {
            member: member.id().clone(),
            incarnation: member.incarnation(),
            state: member.state().into(),
        }
    }

    pub(crate) fn into_foca(self) -> foca::Member<Member> {
        foca::Member::new(self.member, self.incarnation, self.state.into())
    }
}
