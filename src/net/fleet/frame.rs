//! Frames: what passes between front doors, on connections and in datagrams.
//!
//! A frame is a head of 24 bytes and a body, in postcard. The head is checked before a byte of the body is read:
//!
//! | bytes | what |
//! | --- | --- |
//! | 0..2 | `CS` |
//! | 2..4 | the sender's version of the messages |
//! | 4..6 | the kind |
//! | 6..8 | nought; readers pass over it |
//! | 8..12 | CRC-32C of the fleet's name |
//! | 12..16 | the generation |
//! | 16..20 | the body's length |
//! | 20..24 | CRC-32C of the head before it and the body |
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
pub const VERSION: u16 = 1;
/// Bytes of a head.
pub const HEAD: usize = 24;
/// Zero bytes that stand in for the fields an older sender does not know.
const ABSENT: [u8; 64] = [0; 64];

/// What a frame is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u16)]
pub enum Kind {
    /// Who somebody is: the first frame each way.
    Hello = 1,
    /// A sign of life.
    Beat = 2,
    /// Membership's datagrams.
    Gossip = 16,
    /// Membership's comparisons.
    Compare = 17,
}

impl Kind {
    fn of(number: u16) -> Option<Kind> {
        [Kind::Hello, Kind::Beat, Kind::Gossip, Kind::Compare].into_iter().find(|kind| *kind as u16 == number)
    }
}

/// Why bytes are no frame for this front door.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Foreign {
    /// It does not begin as one.
    #[error("no frame")]
    Mark,
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

/// What a frame must carry to be ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seal {
    fleet: u32,
    generation: u32,
    greatest: usize,
}

/// A frame that was found whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// The sender's version.
    pub version: u16,
    /// What it is about; `None` if nobody here knows.
    pub kind: Option<Kind>,
    body: Bytes,
}

impl Seal {
    /// The seal of a fleet, for bodies up to `greatest` bytes.
    pub fn new(fleet: &str, generation: u32, greatest: usize) -> Seal {
        Seal { fleet: crc32c::crc32c(fleet.as_bytes()), generation, greatest }
    }

    /// A frame round a body; `None` if that is too long.
    pub fn frame(&self, kind: Kind, body: &[u8]) -> Option<Bytes> {
        self.sealed(VERSION, kind as u16, body)
    }

    pub(super) fn sealed(&self, version: u16, kind: u16, body: &[u8]) -> Option<Bytes> {
        let length = u32::try_from(body.len()).ok().filter(|_| body.len() <= self.greatest)?;
        let mut bytes = BytesMut::with_capacity(HEAD + body.len());
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

    /// Checks a head; the length of the body that follows.
    fn head(&self, mut head: &[u8]) -> Result<usize, Foreign> {
        if head.get(..2) != Some(b"CS") {
            return Err(Foreign::Mark);
        }
        head.advance(2);
        let version = head.get_u16();
        if !(VERSION.saturating_sub(1)..=VERSION + 1).contains(&version) {
            return Err(Foreign::Version(version));
        }
        head.advance(4);
        if head.get_u32() != self.fleet {
            return Err(Foreign::Fleet);
        }
        let generation = head.get_u32();
        if generation != self.generation {
            return Err(Foreign::Generation(generation));
        }
        let length = head.get_u32();
        match usize::try_from(length).ok().filter(|length| *length <= self.greatest) {
            Some(length) => Ok(length),
            None => Err(Foreign::Size(length)),
        }
    }

    fn whole(&self, bytes: Bytes) -> Result<Frame, Foreign> {
        let sum = u32::from_be_bytes([bytes[20], bytes[21], bytes[22], bytes[23]]);
        if crc32c::crc32c_append(crc32c::crc32c(&bytes[..20]), &bytes[HEAD..]) != sum {
            return Err(Foreign::Checksum);
        }
        let number = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        Ok(Frame { version: number(2), kind: Kind::of(number(4)), body: bytes.slice(HEAD..) })
    }

    /// The frame that a datagram holds.
    pub fn datagram(&self, bytes: &[u8]) -> Result<Frame, Foreign> {
        if bytes.len() < HEAD {
            return Err(Foreign::Mark);
        }
        if self.head(&bytes[..HEAD])? != bytes.len() - HEAD {
            return Err(Foreign::Mark);
        }
        self.whole(Bytes::copy_from_slice(bytes))
    }
}

impl Frame {
    /// The body as it came.
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// The body as a value, by the rule on versions; `None` if it is none.
    pub fn read<T: DeserializeOwned>(&self) -> Option<T> {
        if self.version < VERSION {
            let padded = [&self.body[..], &ABSENT].concat();
            return postcard::take_from_bytes(&padded).ok().map(|(value, _)| value);
        }
        let (value, rest) = postcard::take_from_bytes(&self.body).ok()?;
        (self.version > VERSION || rest.is_empty()).then_some(value)
    }
}

/// A value as a body.
pub fn body(value: &impl Serialize) -> Vec<u8> {
    // A plain value in memory can always be written.
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Why a connection carries no more frames.
#[derive(Debug, thiserror::Error)]
pub enum Broken {
    /// What came is no frame.
    #[error("{0}")]
    Foreign(#[from] Foreign),
    /// The connection broke.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

impl Decoder for Seal {
    type Item = Frame;
    type Error = Broken;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<Frame>, Broken> {
        if bytes.len() < HEAD {
            return Ok(None);
        }
        let length = self.head(&bytes[..HEAD])?;
        if bytes.len() < HEAD + length {
            bytes.reserve(HEAD + length - bytes.len());
            return Ok(None);
        }
        Ok(Some(self.whole(bytes.split_to(HEAD + length).freeze())?))
    }
}

#[cfg(test)]
mod tests;
