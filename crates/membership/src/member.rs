//! Who a member is, and how that is written.

use bytes::{Buf, BufMut};
use foca::{Header, Identity, Message, State};
use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::Arc;

/// Members of whom something is kept at most, gone ones included. Whoever names more is not listened to.
pub(crate) const MAX_MEMBERS: usize = 4096;
/// Longest name of a member, bytes.
pub const LONGEST_NAME: usize = 64;
/// Longest name of a zone, bytes.
pub const LONGEST_ZONE: usize = 32;

/// A member's name. The protocol compares each that it hears with all that it knows, so its hash is kept beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Arc<str>", into = "Arc<str>")]
pub struct Name {
    hash: u64,
    text: Arc<str>,
}

impl From<Arc<str>> for Name {
    fn from(text: Arc<str>) -> Name {
        let mut hasher = fnv::FnvHasher::default();
        hasher.write(text.as_bytes());
        Name {
            hash: hasher.finish(),
            text,
        }
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Name {
        Name::from(Arc::<str>::from(text))
    }
}

impl From<Name> for Arc<str> {
    fn from(name: Name) -> Arc<str> {
        name.text
    }
}

impl Deref for Name {
    type Target = str;

    fn deref(&self) -> &str {
        &self.text
    }
}

// Names are ordered as their text is, so that all list them alike and a map of them is asked with text.
impl Ord for Name {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.text.cmp(&other.text)
    }
}

impl PartialOrd for Name {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.text
    }
}

/// A member as it tells of itself. Two are the same if name and number are.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Member {
    /// Its name, the same after a restart.
    pub name: Name,
    /// Which of those that had this name it is: it grows with each start and each return after having been taken for
    /// dead. The higher one holds the name.
    pub number: u64,
    /// Drawn at its start: tells one that came back from another process under its name.
    pub life: u64,
    /// Where it says it is to be reached.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// The version of the program's messages that it speaks.
    pub version: u16,
    /// Whether it may keep copies for others.
    pub keeper: bool,
    /// It is going by its own choice.
    pub leaving: bool,
}

impl PartialEq for Member {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number && self.name == other.name
    }
}

impl Eq for Member {}

impl Member {
    /// Somebody of whom nothing is known but a name and where to look: enough to say hello.
    pub fn unknown(name: &str, address: SocketAddr) -> Member {
        Member {
            name: name.into(),
            number: 0,
            life: 0,
            address,
            zone: String::new(),
            version: 0,
            keeper: false,
            leaving: false,
        }
    }

    /// Whether names are of a length that may be.
    fn sound(&self) -> bool {
        (1..=LONGEST_NAME).contains(&self.name.len()) && self.zone.len() <= LONGEST_ZONE
    }
}

impl Identity for Member {
    // Two names with one hash would be taken for one: of 4,096 names that is one chance in 10^12, and this is a hint.
    type Addr = u64;

    fn renew(&self) -> Option<Self> {
        Some(Member {
            number: self.number.checked_add(1)?,
            ..self.clone()
        })
    }

    fn addr(&self) -> u64 {
        self.name.hash
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.number > adversary.number
    }
}

/// Why bytes are no message.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The bytes are not what this version writes.
    #[error("{0}")]
    Postcard(#[from] postcard::Error),
    /// A name is empty or too long.
    #[error("a name of no sound length")]
    Name,
    /// There is no room for more.
    #[error("no room")]
    Full,
}

/// Writes and reads members and headers with postcard, and keeps count of what goes by.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Wire;

fn put(value: &impl Serialize, mut to: impl BufMut) -> Result<(), WireError> {
    let bytes = postcard::to_stdvec(value)?;
    if to.remaining_mut() < bytes.len() {
        return Err(WireError::Full);
    }
    to.put_slice(&bytes);
    Ok(())
}

fn take<T: for<'a> Deserialize<'a>>(mut from: impl Buf) -> Result<T, WireError> {
    let chunk = from.chunk();
    let (value, rest) = postcard::take_from_bytes(chunk)?;
    let read = chunk.len() - rest.len();
    from.advance(read);
    Ok(value)
}

/// What a member is said to be at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// Present.
    Alive,
    /// Somebody doubts it.
    Suspect,
    /// Gone.
    Down,
}

impl From<State> for Standing {
    fn from(state: State) -> Standing {
        match state {
            State::Alive => Standing::Alive,
            State::Suspect => Standing::Suspect,
            State::Down => Standing::Down,
        }
    }
}

impl From<Standing> for State {
    fn from(standing: Standing) -> State {
        match standing {
            Standing::Alive => State::Alive,
            Standing::Suspect => State::Suspect,
            Standing::Down => State::Down,
        }
    }
}

/// A member with what is said of it, as it is written.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Entry {
    /// Who.
    pub member: Member,
    /// Grows as it refutes what is said of it.
    pub incarnation: u16,
    /// What is said.
    pub standing: Standing,
}

impl Entry {
    pub(crate) fn of(member: &foca::Member<Member>) -> Entry {
        Entry {
            member: member.id().clone(),
            incarnation: member.incarnation(),
            standing: member.state().into(),
        }
    }

    pub(crate) fn into_foca(self) -> foca::Member<Member> {
        foca::Member::new(self.member, self.incarnation, self.standing.into())
    }
}

/// A message as it is written; the kinds are the protocol's.
#[derive(Serialize, Deserialize)]
enum Kind {
    Ping(u8),
    Ack(u8),
    PingReq(Member, u8),
    IndirectPing(Member, u8),
    IndirectAck(Member, u8),
    ForwardedAck(Member, u8),
    Announce,
    Feed,
    Gossip,
    Broadcast,
    TurnUndead,
}

impl foca::Codec<Member> for Wire {
    type Error = WireError;

    fn encode_header(&mut self, header: &Header<Member>, to: impl BufMut) -> Result<(), WireError> {
        let kind = match header.message.clone() {
            Message::Ping(number) => Kind::Ping(number),
            Message::Ack(number) => Kind::Ack(number),
            Message::PingReq {
                target,
                probe_number,
            } => Kind::PingReq(target, probe_number),
            Message::IndirectPing {
                origin,
                probe_number,
            } => Kind::IndirectPing(origin, probe_number),
            Message::IndirectAck {
                target,
                probe_number,
            } => Kind::IndirectAck(target, probe_number),
            Message::ForwardedAck {
                origin,
                probe_number,
            } => Kind::ForwardedAck(origin, probe_number),
            Message::Announce => Kind::Announce,
            Message::Feed => Kind::Feed,
            Message::Gossip => Kind::Gossip,
            Message::Broadcast => Kind::Broadcast,
            Message::TurnUndead => Kind::TurnUndead,
        };
        // Whom it is for: a name and a number say it, the rest is the receiver's own.
        put(
            &(
                &header.src,
                header.src_incarnation,
                &header.dst.name,
                header.dst.number,
                kind,
            ),
            to,
        )
    }

    fn decode_header(&mut self, from: impl Buf) -> Result<Header<Member>, WireError> {
        let (src, src_incarnation, name, number, kind): (Member, u16, Name, u64, Kind) =
            take(from)?;
        let dst = Member {
            number,
            ..Member::unknown(&name, src.address)
        };
        if !src.sound() || !dst.sound() {
            return Err(WireError::Name);
        }
        let message = match kind {
            Kind::Ping(number) => Message::Ping(number),
            Kind::Ack(number) => Message::Ack(number),
            Kind::PingReq(target, probe_number) => Message::PingReq {
                target,
                probe_number,
            },
            Kind::IndirectPing(origin, probe_number) => Message::IndirectPing {
                origin,
                probe_number,
            },
            Kind::IndirectAck(target, probe_number) => Message::IndirectAck {
                target,
                probe_number,
            },
            Kind::ForwardedAck(origin, probe_number) => Message::ForwardedAck {
                origin,
                probe_number,
            },
            Kind::Announce => Message::Announce,
            Kind::Feed => Message::Feed,
            Kind::Gossip => Message::Gossip,
            Kind::Broadcast => Message::Broadcast,
            Kind::TurnUndead => Message::TurnUndead,
        };
        let third = match &message {
            Message::PingReq { target, .. } | Message::IndirectAck { target, .. } => Some(target),
            Message::IndirectPing { origin, .. } | Message::ForwardedAck { origin, .. } => {
                Some(origin)
            }
            _ => None,
        };
        if third.is_some_and(|third| !third.sound()) {
            return Err(WireError::Name);
        }
        Ok(Header {
            src,
            src_incarnation,
            dst,
            message,
        })
    }

    fn encode_member(
        &mut self,
        member: &foca::Member<Member>,
        to: impl BufMut,
    ) -> Result<(), WireError> {
        put(&Entry::of(member), to)
    }

    fn decode_member(&mut self, from: impl Buf) -> Result<foca::Member<Member>, WireError> {
        let entry: Entry = take(from)?;
        if !entry.member.sound() {
            return Err(WireError::Name);
        }
        Ok(entry.into_foca())
    }
}
