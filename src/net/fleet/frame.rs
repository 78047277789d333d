//! Frames: what passes between front doors, on connections and in datagrams.
//!
//! A frame is a header of 24 bytes and a body, in postcard. The header is checked before a byte of the body is read:
//!
//! | bytes | what |
//! | --- | --- |
//! | 0..2 | magic bytes, `CS` |
//! | 2..4 | the sender's version of the messages |
//! | 4..6 | the kind |
//! | 6..8 | nought; readers pass over it |
//! | 8..12 | CRC-32C of the fleet's name |
//! | 12..16 | the generation |
//! | 16..20 | the body's length |
//! | 20..24 | CRC-32C of the header before it and the body |
//!
//! Versions: one reads its own, the next, and the one before. Bodies only ever grow at their end. A newer sender's further
//! fields are passed over; those that an older sender does not know read as nought, empty or none, which is what postcard
//! makes of zero bytes, so every field that is added must mean by that what it meant to be without it. A kind that is not
//! known is counted and passed over.

use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio_util::bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio_util::codec::Decoder;

/// The version that is spoken.
pub(super) const VERSION: u16 = 1;
/// Bytes of a header.
pub(super) const HEADER_LENGTH: usize = 24;
/// Where in the header the version, the kind and the checksum stand.
const VERSION_AT: usize = 2;
const KIND_AT: usize = 4;
const CHECKSUM_AT: usize = 20;
/// Zero bytes that stand in for the fields an older sender does not know.
const ABSENT_FIELDS: [u8; 64] = [0; 64];

/// What a frame is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u16)]
pub(super) enum FrameKind {
    /// Who somebody is: the first frame each way.
    Hello = 1,
    /// A sign of life on a connection without other traffic.
    Heartbeat = 2,
    /// Membership's datagrams.
    Gossip = 16,
    /// Membership's comparisons.
    Compare = 17,
}

impl FrameKind {
    /// The kind with this number, if it is known here.
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

/// Why bytes are no frame for this front door.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum FrameError {
    /// It does not begin with the magic bytes.
    #[error("no frame")]
    Magic,
    /// A version that is not read here.
    #[error("version {0}")]
    Version(u16),
    /// Another fleet's.
    #[error("another fleet")]
    Fleet,
    /// Another generation's.
    #[error("generation {0}")]
    Generation(u32),
    /// Longer than any may be.
    #[error("{0} bytes")]
    Size(u32),
    /// Damaged.
    #[error("damaged")]
    Checksum,
}

/// Encodes the frames of one fleet and generation, and decodes those that carry the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FrameCodec {
    fleet: u32,
    generation: u32,
    max_body: usize,
}

/// A frame that was found whole.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Frame {
    /// The sender's version.
    pub version: u16,
    /// What it is about; `None` if nobody here knows.
    pub kind: Option<FrameKind>,
    body: Bytes,
}

impl FrameCodec {
    /// The codec of a fleet, for bodies up to `max_body` bytes.
    pub(super) fn new(fleet: &str, generation: u32, max_body: usize) -> FrameCodec {
        FrameCodec {
            fleet: crc32c::crc32c(fleet.as_bytes()),
            generation,
            max_body,
        }
    }

    /// A frame round a body; `None` if that is too long.
    pub(super) fn encode(&self, kind: FrameKind, body: &[u8]) -> Option<Bytes> {
        self.encode_as(VERSION, kind as u16, body)
    }

    /// As [`FrameCodec::encode`], for any version and kind.
    pub(super) fn encode_as(&self, version: u16, kind: u16, body: &[u8]) -> Option<Bytes> {
        let length = u32::try_from(body.len())
            .ok()
            .filter(|_| body.len() <= self.max_body)?;
        let mut bytes = BytesMut::with_capacity(HEADER_LENGTH + body.len());
        bytes.put_slice(b"CS");
        bytes.put_u16(version);
        bytes.put_u16(kind);
        bytes.put_u16(0);
        bytes.put_u32(self.fleet);
        bytes.put_u32(self.generation);
        bytes.put_u32(length);
        let sum = crc32c::crc32c_append(crc32c::crc32c(&bytes), body);
        bytes.put_u32(sum);
        bytes.put_slice(body);
        Some(bytes.freeze())
    }

    /// Checks a header; the length of the body that follows.
    fn check_header(&self, mut header: &[u8]) -> Result<usize, FrameError> {
        if header.get(..2) != Some(b"CS") {
            return Err(FrameError::Magic);
        }
        header.advance(2);
        let version = header.get_u16();
        if !(VERSION.saturating_sub(1)..=VERSION + 1).contains(&version) {
            return Err(FrameError::Version(version));
        }
        header.advance(4);
        if header.get_u32() != self.fleet {
            return Err(FrameError::Fleet);
        }
        let generation = header.get_u32();
        if generation != self.generation {
            return Err(FrameError::Generation(generation));
        }
        let length = header.get_u32();
        match usize::try_from(length)
            .ok()
            .filter(|length| *length <= self.max_body)
        {
            Some(length) => Ok(length),
            None => Err(FrameError::Size(length)),
        }
    }

    /// Compares the checksum of a frame whose header was checked.
    fn verify(&self, bytes: Bytes) -> Result<Frame, FrameError> {
        let mut stored = &bytes[CHECKSUM_AT..];
        let header = crc32c::crc32c(&bytes[..CHECKSUM_AT]);
        if crc32c::crc32c_append(header, &bytes[HEADER_LENGTH..]) != stored.get_u32() {
            return Err(FrameError::Checksum);
        }
        let mut version = &bytes[VERSION_AT..];
        let mut kind = &bytes[KIND_AT..];
        Ok(Frame {
            version: version.get_u16(),
            kind: FrameKind::from_wire(kind.get_u16()),
            body: bytes.slice(HEADER_LENGTH..),
        })
    }

    /// The frame that a datagram holds.
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
    /// The body as it came.
    pub(super) fn body(&self) -> &[u8] {
        &self.body
    }

    /// The body as a value, by the rule on versions; `None` if it is none.
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

/// A value as a body.
pub(super) fn encode_body(value: &impl Serialize) -> Vec<u8> {
    // A plain value in memory can always be written.
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Why a connection carries no more frames.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectionError {
    /// What came is no frame.
    #[error("{0}")]
    Frame(#[from] FrameError),
    /// The connection broke.
    #[error("{0}")]
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
