//! The encoding of datagrams. A datagram consists of a header, the number of updates, the updates,
//! and load reports behind them. Values are encoded with postcard.

use crate::member::{Member, MemberUpdate};
use crate::name::Name;
use bytes::{Buf, BufMut};
use foca::{Codec, Header, Message};
use serde::{Deserialize, Serialize};

/// Length of the number of updates that follows a header, in bytes.
const UPDATE_COUNT_BYTES: usize = 2;

/// Why a message could not be decoded or encoded.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The bytes are not a valid encoding in this version.
    #[error(transparent)]
    Postcard(#[from] postcard::Error),
    /// The name of a member is empty, or its name or zone is too long.
    #[error("the name of a member is empty, or its name or zone is too long")]
    InvalidName,
    /// The datagram has no space left for the value.
    #[error("no space left in the datagram")]
    NoSpace,
}

/// Encodes and decodes headers and members for the protocol library.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PostcardCodec;

fn write(value: &impl Serialize, mut to: impl BufMut) -> Result<(), WireError> {
    let bytes = postcard::to_stdvec(value)?;
    if to.remaining_mut() < bytes.len() {
        return Err(WireError::NoSpace);
    }
    to.put_slice(&bytes);
    Ok(())
}

fn read<T: for<'a> Deserialize<'a>>(mut from: impl Buf) -> Result<T, WireError> {
    let chunk = from.chunk();
    let (value, rest) = postcard::take_from_bytes(chunk)?;
    let consumed = chunk.len() - rest.len();
    from.advance(consumed);
    Ok(value)
}

/// The encoded form of a message. The order of the variants is their number on the wire.
#[derive(Serialize, Deserialize)]
enum WireMessage {
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

impl WireMessage {
    /// The member that an indirect probe names besides its sender and its receiver.
    fn indirect_party(&self) -> Option<&Member> {
        match self {
            WireMessage::PingReq(member, _)
            | WireMessage::IndirectPing(member, _)
            | WireMessage::IndirectAck(member, _)
            | WireMessage::ForwardedAck(member, _) => Some(member),
            _ => None,
        }
    }
}

impl From<Message<Member>> for WireMessage {
    fn from(message: Message<Member>) -> WireMessage {
        match message {
            Message::Ping(number) => WireMessage::Ping(number),
            Message::Ack(number) => WireMessage::Ack(number),
            Message::PingReq {
                target,
                probe_number,
            } => WireMessage::PingReq(target, probe_number),
            Message::IndirectPing {
                origin,
                probe_number,
            } => WireMessage::IndirectPing(origin, probe_number),
            Message::IndirectAck {
                target,
                probe_number,
            } => WireMessage::IndirectAck(target, probe_number),
            Message::ForwardedAck {
                origin,
                probe_number,
            } => WireMessage::ForwardedAck(origin, probe_number),
            Message::Announce => WireMessage::Announce,
            Message::Feed => WireMessage::Feed,
            Message::Gossip => WireMessage::Gossip,
            Message::Broadcast => WireMessage::Broadcast,
            Message::TurnUndead => WireMessage::TurnUndead,
        }
    }
}

impl From<WireMessage> for Message<Member> {
    fn from(message: WireMessage) -> Message<Member> {
        match message {
            WireMessage::Ping(number) => Message::Ping(number),
            WireMessage::Ack(number) => Message::Ack(number),
            WireMessage::PingReq(target, probe_number) => Message::PingReq {
                target,
                probe_number,
            },
            WireMessage::IndirectPing(origin, probe_number) => Message::IndirectPing {
                origin,
                probe_number,
            },
            WireMessage::IndirectAck(target, probe_number) => Message::IndirectAck {
                target,
                probe_number,
            },
            WireMessage::ForwardedAck(origin, probe_number) => Message::ForwardedAck {
                origin,
                probe_number,
            },
            WireMessage::Announce => Message::Announce,
            WireMessage::Feed => Message::Feed,
            WireMessage::Gossip => Message::Gossip,
            WireMessage::Broadcast => Message::Broadcast,
            WireMessage::TurnUndead => Message::TurnUndead,
        }
    }
}

/// A header that is decoded. The fields are encoded in this order. Of the receiver only the name
/// and the generation are encoded, because it knows the rest.
#[derive(Deserialize)]
struct WireHeader {
    source: Member,
    source_incarnation: u16,
    destination_name: Name,
    destination_generation: u64,
    message: WireMessage,
}

/// A header that is encoded, with the same fields as [`WireHeader`].
#[derive(Serialize)]
struct WireHeaderRef<'a> {
    source: &'a Member,
    source_incarnation: u16,
    destination_name: &'a Name,
    destination_generation: u64,
    message: WireMessage,
}

impl Codec<Member> for PostcardCodec {
    type Error = WireError;

    fn encode_header(&mut self, header: &Header<Member>, to: impl BufMut) -> Result<(), WireError> {
        let header = WireHeaderRef {
            source: &header.src,
            source_incarnation: header.src_incarnation,
            destination_name: &header.dst.name,
            destination_generation: header.dst.generation,
            message: header.message.clone().into(),
        };
        write(&header, to)
    }

    fn decode_header(&mut self, from: impl Buf) -> Result<Header<Member>, WireError> {
        let header: WireHeader = read(from)?;
        let destination = Member {
            generation: header.destination_generation,
            ..Member::at_address(&header.destination_name, header.source.address)
        };
        let party = header.message.indirect_party();
        if !header.source.has_valid_names()
            || !destination.has_valid_names()
            || party.is_some_and(|party| !party.has_valid_names())
        {
            return Err(WireError::InvalidName);
        }
        Ok(Header {
            src: header.source,
            src_incarnation: header.source_incarnation,
            dst: destination,
            message: header.message.into(),
        })
    }

    fn encode_member(
        &mut self,
        member: &foca::Member<Member>,
        to: impl BufMut,
    ) -> Result<(), WireError> {
        write(&MemberUpdate::from_foca(member), to)
    }

    fn decode_member(&mut self, from: impl Buf) -> Result<foca::Member<Member>, WireError> {
        let update: MemberUpdate = read(from)?;
        if !update.member.has_valid_names() {
            return Err(WireError::InvalidName);
        }
        Ok(update.into_foca())
    }
}

/// The part of a datagram that is checked before the protocol library handles it.
pub(crate) struct Datagram {
    /// The header.
    pub header: Header<Member>,
    /// The updates behind the header.
    pub updates: Vec<MemberUpdate>,
}

impl Datagram {
    /// Decodes the header and the updates of a datagram; returns `None` if they are malformed. Load
    /// reports are left to the protocol library.
    pub(crate) fn decode(mut bytes: &[u8]) -> Option<Datagram> {
        let mut codec = PostcardCodec;
        let header = codec.decode_header(&mut bytes).ok()?;
        let mut updates = Vec::new();
        if bytes.len() >= UPDATE_COUNT_BYTES && header.message != Message::Broadcast {
            let count = u16::from_be_bytes([bytes[0], bytes[1]]);
            bytes = &bytes[UPDATE_COUNT_BYTES..];
            for _ in 0..count {
                let member = codec.decode_member(&mut bytes).ok()?;
                updates.push(MemberUpdate::from_foca(&member));
            }
        }
        Some(Datagram { header, updates })
    }
}
