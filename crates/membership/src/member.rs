//! A member's identity, and what is known of its state.

use crate::name::Name;
use foca::{Identity, State};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Members that are known at most, failed and departed ones included. Messages that name more are
/// dropped.
pub(crate) const MAX_MEMBERS: usize = 4096;
/// Longest name of a member, bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Longest name of a zone, bytes.
pub const MAX_ZONE_BYTES: usize = 32;

/// A member as it describes itself. Two are equal if their names and generations are. The order of
/// the fields is the order on the wire.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Member {
    /// Its name, the same after a restart.
    pub name: Name,
    /// Orders the processes that had this name: it grows with each start, and each time that a
    /// process rejoins after it was declared failed. The highest one holds the name.
    pub generation: u64,
    /// Drawn at random at each start: distinguishes a process that rejoined from another one under
    /// the same name.
    pub instance_id: u64,
    /// The address that it advertises.
    pub address: SocketAddr,
    /// Its zone, empty if it has none.
    pub zone: String,
    /// The version of the messages that it speaks.
    pub version: u16,
    /// Whether it may hold replicas for others.
    pub may_hold_replicas: bool,
    /// It is leaving by its own choice.
    pub leaving: bool,
}

impl PartialEq for Member {
    fn eq(&self, other: &Self) -> bool {
        self.generation == other.generation && self.name == other.name
    }
}

impl Eq for Member {}

impl Member {
    /// A member of which only the name and an address are known: enough to contact it.
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

    /// Whether the lengths of its name and zone are within their limits.
    pub(crate) fn has_valid_names(&self) -> bool {
        (1..=MAX_NAME_BYTES).contains(&self.name.len()) && self.zone.len() <= MAX_ZONE_BYTES
    }
}

impl Identity for Member {
    // Two names with the same hash would count as one member. Among 4,096 names the chance of that
    // is one in 10^12, which a hint can bear.
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

/// The state of a member as the protocol spreads it. The order of the variants is their number on
/// the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// It is present.
    Alive,
    /// It did not answer a probe, and may still refute the suspicion.
    Suspect,
    /// It failed or left.
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

/// A member with its state, as members exchange it. The order of the fields is the order on the
/// wire.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member.
    pub member: Member,
    /// The incarnation that the state belongs to: a member refutes a suspicion by a higher one.
    pub incarnation: u16,
    /// Its state.
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
