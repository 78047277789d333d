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
//! Versions: a gateway accepts frames of its own version, of the next one and of the previous one.
//! New fields are only ever appended to a body. A reader ignores the fields that a newer sender
//! appended. Fields that an older sender does not know read as zero, empty or `None`, because the
//! reader pads the body with zero bytes and postcard decodes those so. This value of a new field
//! must therefore mean the same as its absence. A frame of an unknown kind is counted and ignored.

use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio_util::bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio_util::codec::Decoder;

/// The protocol version of the frames that this program sends.
pub(super) const VERSION: u16 = 1;
/// Length of a header, in bytes.
pub(super) const HEADER_LENGTH: usize = 24;
const MAGIC: &[u8; 2] = b"CS";
/// Offsets of the version, the kind and the checksum in the header, in bytes.
const VERSION_OFFSET: usize = 2;
const KIND_OFFSET: usize = 4;
const CHECKSUM_OFFSET: usize = 20;
/// Zero bytes that are appended to the body of an older sender, in place of the fields that it does
/// not know.
const ABSENT_FIELDS: [u8; 64] = [0; 64];

/// The kind of a frame. The discriminants are the numbers on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u16)]
pub(super) enum FrameKind {
    /// The handshake: the first frame in each direction of a connection.
    Hello = 1,
    /// Shows that the sender is alive while the connection carries no other frames.
    Heartbeat = 2,
    /// A datagram of the membership protocol.
    Gossip = 16,
    /// An anti-entropy message of the membership protocol.
    AntiEntropy = 17,
}

impl FrameKind {
    /// The kind with this number on the wire; `None` if this version does not know it.
    fn from_wire(number: u16) -> Option<FrameKind> {
        [
            FrameKind::Hello,
            FrameKind::Heartbeat,
            FrameKind::Gossip,
            FrameKind::AntiEntropy,
        ]
        .into_iter()
        .find(|kind| *kind as u16 == number)
    }
}

/// Why a frame was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum FrameError {
    /// It does not begin with the magic bytes, its length is wrong, or it is not the frame that was
    /// expected.
    #[error("malformed frame")]
    Malformed,
    /// This program does not support the sender's protocol version.
    #[error("unsupported protocol version {0}")]
    Version(u16),
    /// It belongs to another fleet.
    #[error("frame of another fleet")]
    Fleet,
    /// It belongs to another epoch of the fleet.
    #[error("frame of another fleet epoch: {0}")]
    Epoch(u32),
    /// Its body is longer than allowed. The value is the length in bytes.
    #[error("frame body of {0} bytes is too long")]
    TooLong(u32),
    /// The checksum does not match.
    #[error("frame checksum mismatch")]
    Checksum,
}

/// Encodes frames for one fleet and epoch, and rejects received frames of any other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FrameCodec {
    /// CRC-32C of the fleet's name.
    fleet: u32,
    epoch: u32,
    max_body_bytes: usize,
}

/// A received frame whose header and checksum are valid.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Frame {
    /// The sender's protocol version.
    pub version: u16,
    /// `None` if this version does not know the kind.
    pub kind: Option<FrameKind>,
    body: Bytes,
}

impl FrameCodec {
    /// Creates the codec of a fleet, for bodies of up to `max_body_bytes`.
    pub(super) fn new(fleet: &str, epoch: u32, max_body_bytes: usize) -> FrameCodec {
        FrameCodec {
            fleet: crc32c::crc32c(fleet.as_bytes()),
            epoch,
            max_body_bytes,
        }
    }

    /// Encodes a frame; returns `None` if the body is too long.
    pub(super) fn encode(&self, kind: FrameKind, body: &[u8]) -> Option<Bytes> {
        self.encode_as(VERSION, kind as u16, body)
    }

    /// As [`FrameCodec::encode`], with any version and any number of a kind.
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

    /// Checks a header, and returns the length of the body that follows it, in bytes.
    fn check_header(&self, mut header: &[u8]) -> Result<usize, FrameError> {
        if header.get(..MAGIC.len()) != Some(MAGIC) {
            return Err(FrameError::Malformed);
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

    /// Verifies the checksum of a frame whose header is valid.
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

    /// Decodes a datagram, which holds exactly one frame.
    pub(super) fn decode_datagram(&self, bytes: &[u8]) -> Result<Frame, FrameError> {
        if bytes.len() < HEADER_LENGTH {
            return Err(FrameError::Malformed);
        }
        if self.check_header(&bytes[..HEADER_LENGTH])? != bytes.len() - HEADER_LENGTH {
            return Err(FrameError::Malformed);
        }
        self.verify(Bytes::copy_from_slice(bytes))
    }
}

impl Frame {
    /// The body as it was received.
    pub(super) fn body(&self) -> &[u8] {
        &self.body
    }

    /// Decodes the body by the version rule in the module documentation; `None` if it is malformed.
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

/// Encodes a value as the body of a frame.
pub(super) fn encode_body(value: &impl Serialize) -> Vec<u8> {
    // Encoding plain values into a vector cannot fail.
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Why no more frames can be read from a connection or written to it.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectionError {
    /// The peer sent bytes that are not a valid frame for this gateway.
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
