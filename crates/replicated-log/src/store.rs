//! The encoding of a store: a header, followed by frames of log records, all with checksums. The
//! caller manages the file.
//!
//! | content | bytes |
//! | --- | --- |
//! | magic number `CSREC` and the version of the format | 5 + 1 |
//! | the [`StoreHeader`], in a frame | |
//! | then frames: length, checksum of the body, checksum of these two | 4 + 4 + 4 |
//! | each with its records in postcard | length |
//!
//! Lengths and checksums (CRC-32C) are little-endian.

use crate::identity::ReplicaId;
use crate::log::{Checkpoint, Log, LogRecord};
use serde::{Deserialize, Serialize};

const MAGIC: &[u8; 5] = b"CSREC";
/// The format version that this program writes, and the newest that it can read.
const VERSION: u8 = 1;
/// Length of the magic number and the version, in bytes. The first frame follows.
const PREAMBLE_LENGTH: usize = MAGIC.len() + 1;
const FRAME_HEADER_LENGTH: usize = 12;
/// Number of trailing zero bytes by which a last frame with a wrong checksum counts as torn. A
/// crash may leave allocated space that was never written.
const TORN_TRAILING_ZEROES: usize = 8;

/// The reason why a store cannot be used. Its replica must then rejoin under a new identity.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The format is newer than this program supports.
    #[error("unsupported store format {0}; the newest supported format is {VERSION}")]
    UnsupportedVersion(u8),
    /// The header is missing or cannot be read.
    #[error("not a store: its header is missing or unreadable")]
    NotAStore,
    /// Bytes before the end of the store were changed after they were written.
    #[error("store is corrupt at byte {offset} of {length}")]
    Corrupt {
        /// The offset of the frame that cannot be read, in bytes.
        offset: usize,
        /// The length of the store in bytes.
        length: usize,
        /// Why the records cannot be decoded; `None` if a checksum does not match.
        source: Option<postcard::Error>,
    },
    /// The file was copied or moved, so it may be older than the last messages of its replica.
    #[error("store file was copied or moved and may be outdated")]
    Copied,
}

/// Identifies the replica and the file that a store belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreHeader {
    /// The identity of the replica that owns the store.
    pub replica: ReplicaId,
    /// A tag, chosen by the caller, that distinguishes this file from a copy of it.
    pub file_tag: String,
}

/// The decoded content of a store.
#[derive(Clone, Debug)]
pub struct LoadedStore {
    /// Identifies the replica and the file that a store belongs to.
    pub header: StoreHeader,
    /// The checkpoint at which the log begins; `None` if the replica has never been a voter.
    pub(crate) checkpoint: Option<Checkpoint>,
    pub(crate) log: Log,
    /// How often the replica has started with this store.
    pub(crate) start_count: u64,
    /// The length of the valid part in bytes. Any bytes after it are a write that a crash left
    /// torn.
    pub valid_length: usize,
    /// Whether there are bytes after the valid part.
    pub is_torn: bool,
}

fn encode_frame(value: &impl Serialize) -> Vec<u8> {
    // Encoding plain values into a vector cannot fail.
    let body = postcard::to_stdvec(value).unwrap_or_default();
    let mut bytes = Vec::with_capacity(FRAME_HEADER_LENGTH + body.len());
    bytes.extend((body.len() as u32).to_le_bytes());
    bytes.extend(crc32c::crc32c(&body).to_le_bytes());
    bytes.extend(crc32c::crc32c(&bytes).to_le_bytes());
    bytes.extend(body);
    bytes
}

/// Encodes the beginning of a store: magic number, version and header.
pub fn encode_header(header: &StoreHeader) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.push(VERSION);
    bytes.extend(encode_frame(header));
    bytes
}

/// Encodes a frame of records that become durable atomically.
pub fn encode(records: &[LogRecord]) -> Vec<u8> {
    encode_frame(&records)
}

/// What a store contains at an offset.
enum NextFrame<'a> {
    Frame { body: &'a [u8], end: usize },
    End,
    Torn,
    Corrupt,
}

fn next_frame(bytes: &[u8], offset: usize) -> NextFrame<'_> {
    let rest = &bytes[offset..];
    if rest.is_empty() {
        return NextFrame::End;
    }
    let read_u32 = |from: usize| {
        let bytes = rest.get(from..from + 4)?;
        bytes.try_into().ok().map(u32::from_le_bytes)
    };
    let (Some(length), Some(body_checksum), Some(header_checksum)) =
        (read_u32(0), read_u32(4), read_u32(8))
    else {
        return NextFrame::Torn;
    };
    if crc32c::crc32c(&rest[..8]) != header_checksum {
        // A crash may leave allocated space that was never written. It does not affect the frames
        // before it.
        return if rest.iter().all(|byte| *byte == 0) {
            NextFrame::Torn
        } else {
            NextFrame::Corrupt
        };
    }
    let end = FRAME_HEADER_LENGTH + length as usize;
    let Some(body) = rest.get(FRAME_HEADER_LENGTH..end) else {
        return NextFrame::Torn;
    };
    if crc32c::crc32c(body) == body_checksum {
        return NextFrame::Frame {
            body,
            end: offset + end,
        };
    }
    // A crash may leave the last write incomplete, with allocated space in place of its last bytes.
    // A frame whose last bytes are present was once complete, so it is corrupt. Where the two cases
    // cannot be told apart, the frame counts as corrupt: the replica then rejoins under a new
    // identity, which costs a reconfiguration and is always safe.
    let ends_in_zeroes = body
        .iter()
        .rev()
        .take(TORN_TRAILING_ZEROES)
        .all(|byte| *byte == 0);
    if rest.len() == end && ends_in_zeroes {
        NextFrame::Torn
    } else {
        NextFrame::Corrupt
    }
}

/// Decodes the header. Also returns the offset of the first frame of records.
fn decode_header(bytes: &[u8]) -> Result<(StoreHeader, usize), StoreError> {
    let magic = bytes.get(..MAGIC.len()).ok_or(StoreError::NotAStore)?;
    let version = *bytes.get(MAGIC.len()).ok_or(StoreError::NotAStore)?;
    if magic != MAGIC {
        return Err(StoreError::NotAStore);
    }
    if version > VERSION {
        return Err(StoreError::UnsupportedVersion(version));
    }
    let NextFrame::Frame { body, end } = next_frame(bytes, PREAMBLE_LENGTH) else {
        return Err(StoreError::NotAStore);
    };
    let header = postcard::from_bytes(body).map_err(|_| StoreError::NotAStore)?;
    Ok((header, end))
}

/// Decodes a store. `file_tag` is the tag of the file that the bytes were read from.
///
/// # Errors
///
/// Returns a [`StoreError`] if the bytes are not a store, come from a copied file, or were changed
/// before their end. A torn last write is no error: see [`LoadedStore::valid_length`].
pub fn decode(bytes: &[u8], file_tag: &str) -> Result<LoadedStore, StoreError> {
    let (header, records_offset) = decode_header(bytes)?;
    if header.file_tag != file_tag {
        return Err(StoreError::Copied);
    }
    let mut store = LoadedStore {
        header,
        checkpoint: None,
        log: Log::default(),
        start_count: 0,
        valid_length: records_offset,
        is_torn: false,
    };
    loop {
        let corrupt = |source| StoreError::Corrupt {
            offset: store.valid_length,
            length: bytes.len(),
            source,
        };
        match next_frame(bytes, store.valid_length) {
            NextFrame::End => return Ok(store),
            NextFrame::Torn => {
                store.is_torn = true;
                return Ok(store);
            }
            NextFrame::Corrupt => return Err(corrupt(None)),
            NextFrame::Frame { body, end } => {
                let records: Vec<LogRecord> =
                    postcard::from_bytes(body).map_err(|error| corrupt(Some(error)))?;
                for record in records {
                    store.replay(record);
                }
                store.valid_length = end;
            }
        }
    }
}

impl LoadedStore {
    fn replay(&mut self, record: LogRecord) {
        match &record {
            LogRecord::Checkpoint(checkpoint) => self.checkpoint = Some(checkpoint.clone()),
            LogRecord::Started(number) => self.start_count = self.start_count.max(*number),
            _ => {}
        }
        self.log.replay(record);
    }
}
