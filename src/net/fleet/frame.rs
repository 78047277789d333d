//! Frames: the unit in which gateways send each other messages, on connections and in datagrams.
//!
//! A frame is a header of 24 bytes and a body in postcard. Numbers of the header are in network
//! byte order. The header is checked before a byte of the body is read:
//!
//! | bytes | content |
//! | --- | --- |
//! | 0..2 | magic bytes, `CS` |
//! | 2..4 | the sender's version of the messages |
//! | 4..6 | the kind |
//! | 6..8 | zero; readers ignore it |
//! | 8..12 | CRC-32C of the fleet's name |
//! | 12..16 | the fleet's epoch |
//! | 16..20 | the body's length |
//! | 20..24 | CRC-32C of the header before it, and of the body |
//!
//! Versions: a gateway reads its own, the next, and the one before. Bodies only ever grow at
//! their end. Fields that a newer sender appends are ignored; those that an older sender does not
//! know read as zero, empty or none, which is what postcard makes of zero bytes, so that value of a
//! new field must mean the same as its absence. A frame of an unknown kind is counted and ignored.

use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio_util::bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio_util::codec::Decoder;

/// The version of the messages that this program sends.
pub(super) const VERSION: u16 = 1;
/// Bytes of a header.
pub(super) const HEADER_LENGTH: usize = 24;
const MAGIC: &[u8; 2] = b"CS";
/// Offsets in the header of the version, the kind and the checksum.
const VERSION_OFFSET: usize = 2;
const KIND_OFFSET: usize = 4;
const CHECKSUM_OFFSET: usize = 20;
/// Zero bytes that stand in for the fields an older sender does not know.
const ABSENT_FIELDS: [u8; 64] = [0; 64];

/// The kind of a frame. The values are their numbers on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u16)]
pub(super) enum FrameKind {
    /// The handshake: the first frame in each direction.
    Hello = 1,
    /// Shows that the peer is alive, on a connection without other frames.
    Heartbeat = 2,
    /// A datagram of membership.
    Gossip = 16,
    /// A message of membership's comparisons.
    Compare = 17,
}

impl FrameKind {
    /// The kind with this number, if this version knows it.
    fn from_wire(number: u16) -> Option<FrameKind> {
        [
            FrameKind::Hello,
            FrameKind::Heartbeat,
            FrameKind::Gossip,
            FrameKind::Compare,
        ]
        .into_iter()
        .find(|kind| *kind as u16 == number)
    }
}

/// Why bytes are not a frame that this gateway accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum FrameError {
    /// It does not begin with the magic bytes.
    #[error("not a frame")]
    Magic,
    /// This program does not read the sender's version.
    #[error("version {0}")]
    Version(u16),
    /// It belongs to another fleet.
    #[error("another fleet")]
    Fleet,
    /// It belongs to another epoch of the fleet.
    #[error("epoch {0}")]
    Epoch(u32),
    /// Its body is longer than allowed, bytes.
    #[error("a body of {0} bytes")]
    TooLong(u32),
    /// The checksum does not match.
    #[error("the checksum does not match")]
    Checksum,
}

/// Encodes the frames of one fleet and epoch, and decodes those that carry the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FrameCodec {
    /// CRC-32C of the fleet's name.
    fleet: u32,
    epoch: u32,
    max_body_bytes: usize,
}

/// A frame whose header and checksum were checked.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Frame {
    /// The sender's version.
    pub version: u16,
    /// Its kind; `None` if this version does not know it.
    pub kind: Option<FrameKind>,
    body: Bytes,
}

impl FrameCodec {
    /// The codec of a fleet, for bodies of up to `max_body_bytes`.
    pub(super) fn new(fleet: &str, epoch: u32, max_body_bytes: usize) -> FrameCodec {
        FrameCodec {
            fleet: crc32c::crc32c(fleet.as_bytes()),
            epoch,
            max_body_bytes,
        }
    }

    /// A frame with this body; `None` if that is too long.
    pub(super) fn encode(&self, kind: FrameKind, body: &[u8]) -> Option<Bytes> {
        self.encode_as(VERSION, kind as u16, body)
    }

    /// As [`FrameCodec::encode`], for any version and kind.
    pub(super) fn encode_as(&self, version: u16, kind: u16, body: &[u8]) -> Option<Bytes> {
        let length = u32::try_from(body.len())
            .ok()
            .filter(|_| body.len() <= self.max_body_bytes)?;
        let mut bytes = BytesMut::with_capacity(HEADER_LENGTH + body.len());
        bytes.put_slice(MAGIC);
        bytes.put_u16(version);
        bytes.put_u16(kind);
        bytes.put_u16(0);
        bytes.put_u32(self.fleet);
        bytes.put_u32(self.epoch);
        bytes.put_u32(length);
        let checksum = crc32c::crc32c_append(crc32c::crc32c(&bytes), body);
        bytes.put_u32(checksum);
        bytes.put_slice(body);
        Some(bytes.freeze())
    }

    /// Checks a header, and returns the length of the body that follows.
    fn check_header(&self, mut header: &[u8]) -> Result<usize, FrameError> {
        if header.get(..MAGIC.len()) != Some(MAGIC) {
            return Err(FrameError::Magic);
        }
        header.advance(MAGIC.len());
        let version = header.get_u16();
        if !(VERSION.saturating_sub(1)..=VERSION + 1).contains(&version) {
            return Err(FrameError::Version(version));
        }
        header.advance(4);
        if header.get_u32() != self.fleet {
            return Err(FrameError::Fleet);
        }
        let epoch = header.get_u32();
        if epoch != self.epoch {
            return Err(FrameError::Epoch(epoch));
        }
        let length = header.get_u32();
        match usize::try_from(length)
            .ok()
            .filter(|length| *length <= self.max_body_bytes)
        {
            Some(length) => Ok(length),
            None => Err(FrameError::TooLong(length)),
        }
    }

    /// Checks the checksum of a frame whose header was checked.
    fn verify(&self, bytes: Bytes) -> Result<Frame, FrameError> {
        let mut stored = &bytes[CHECKSUM_OFFSET..];
        let header = crc32c::crc32c(&bytes[..CHECKSUM_OFFSET]);
        if crc32c::crc32c_append(header, &bytes[HEADER_LENGTH..]) != stored.get_u32() {
            return Err(FrameError::Checksum);
        }
        let mut version = &bytes[VERSION_OFFSET..];
        let mut kind = &bytes[KIND_OFFSET..];
        Ok(Frame {
            version: version.get_u16(),
            kind: FrameKind::from_wire(kind.get_u16()),
            body: bytes.slice(HEADER_LENGTH..),
        })
    }

    /// The frame that a datagram holds; there is nothing else in it.
    pub(super) fn decode_datagram(&self, bytes: &[u8]) -> Result<Frame, FrameError> {
        if bytes.len() < HEADER_LENGTH {
            return Err(FrameError::Magic);
        }
        if self.check_header(&bytes[..HEADER_LENGTH])? != bytes.len() - HEADER_LENGTH {
            return Err(FrameError::Magic);
        }
        self.verify(Bytes::copy_from_slice(bytes))
    }
}

impl Frame {
    /// The body as it was received.
    pub(super) fn body(&self) -> &[u8] {
        &self.body
    }

    /// The body as a value, by the rule on versions; `None` if it is malformed.
    pub(super) fn decode_body<T: DeserializeOwned>(&self) -> Option<T> {
        if self.version < VERSION {
            let padded = [&self.body[..], &ABSENT_FIELDS].concat();
            return postcard::take_from_bytes(&padded)
                .ok()
                .map(|(value, _)| value);
        }
        let (value, rest) = postcard::take_from_bytes(&self.body).ok()?;
        (self.version > VERSION || rest.is_empty()).then_some(value)
    }
}

/// Encodes a value as a body.
pub(super) fn encode_body(value: &impl Serialize) -> Vec<u8> {
    // Plain values in memory can always be written.
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Why no more frames can be read from a connection, or written to it.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectionError {
    /// The peer sent something that is not a frame for this gateway.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = ConnectionError;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<Frame>, ConnectionError> {
        if bytes.len() < HEADER_LENGTH {
            return Ok(None);
        }
        let length = self.check_header(&bytes[..HEADER_LENGTH])?;
        if bytes.len() < HEADER_LENGTH + length {
            bytes.reserve(HEADER_LENGTH + length - bytes.len());
            return Ok(None);
        }
        Ok(Some(
            self.verify(bytes.split_to(HEADER_LENGTH + length).freeze())?,
        ))
    }
}

#[cfg(test)]
mod tests;
