//! The encoding of a store: a header, and frames of log records, each with checksums. How a file is
//! kept is up to the caller.
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
/// The version that this program writes, and the newest that it reads.
const VERSION: u8 = 1;
/// Where the first frame begins.
const PREAMBLE_LENGTH: usize = MAGIC.len() + 1;
const FRAME_HEADER_LENGTH: usize = 12;
/// Zero bytes at the end of the last frame that mark it as torn. A crash may leave allocated space
/// that was never written to.
const TORN_ZEROES: usize = 8;

/// Why a store cannot be used. A replica whose store cannot be used must rejoin under a new
/// identity.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// Its format is newer than this program.
    #[error("format {0}, where {VERSION} is the newest that is supported")]
    UnsupportedVersion(u8),
    /// It does not begin as a store does.
    #[error("not a store")]
    NotAStore,
    /// Bytes before its end are not what was written.
    #[error("corrupt at byte {offset} of {length}")]
    Corrupt {
        /// Where the frame begins that cannot be read.
        offset: usize,
        /// The length of the store.
        length: usize,
        /// Why the records cannot be decoded; `None` if a checksum is wrong.
        source: Option<postcard::Error>,
    },
    /// The file was copied or moved: it may be older than the last messages of its replica.
    #[error("not the file that was written: a copy, which may be older")]
    Copied,
}

/// Whose store it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreHeader {
    /// The replica.
    pub replica: ReplicaId,
    /// Distinguishes this file from a copy of it; chosen by the caller.
    pub file_tag: String,
}

/// What a store holds.
#[derive(Clone, Debug)]
pub struct LoadedStore {
    /// Whose store it is.
    pub header: StoreHeader,
    /// The state at which the log begins, if the replica has been a voter.
    pub(crate) checkpoint: Option<Checkpoint>,
    pub(crate) log: Log,
    /// How often the replica has started.
    pub(crate) start_count: u64,
    /// The length of the valid part in bytes; anything after it is a write that a crash left torn.
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

/// The beginning of a store.
pub fn encode_header(header: &StoreHeader) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.push(VERSION);
    bytes.extend(encode_frame(header));
    bytes
}

/// A frame of records that become durable together.
pub fn encode(records: &[LogRecord]) -> Vec<u8> {
    encode_frame(&records)
}

/// What stands at an offset of a store.
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
    let word = |from: usize| {
        let bytes = rest.get(from..from + 4)?;
        bytes.try_into().ok().map(u32::from_le_bytes)
    };
    let (Some(length), Some(body_checksum), Some(header_checksum)) = (word(0), word(4), word(8))
    else {
        return NextFrame::Torn;
    };
    if crc32c::crc32c(&rest[..8]) != header_checksum {
        // A crash may leave allocated space that was never written to; it does not change what was
        // written.
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
    // Of the last write a crash may have left allocated space without its bytes; one whose last
    // bytes are there was complete once. Where the two cannot be told apart it counts as corrupt:
    // the replica then rejoins under a new identity, which costs a reconfiguration and breaks
    // nothing.
    let ends_in_zeroes = body.iter().rev().take(TORN_ZEROES).all(|byte| *byte == 0);
    if rest.len() == end && ends_in_zeroes {
        NextFrame::Torn
    } else {
        NextFrame::Corrupt
    }
}

/// Reads the header; also returns where the first frame of records begins.
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

/// Reads a store. `file_tag` is the tag of the file that it was read from.
///
/// # Errors
///
/// Returns a [`StoreError`] if these bytes are not a store, were copied, or were changed before
/// their end. A torn last write is no error: see [`LoadedStore::valid_length`].
pub fn decode(bytes: &[u8], file_tag: &str) -> Result<LoadedStore, StoreError> {
    let (header, records_begin) = decode_header(bytes)?;
    if header.file_tag != file_tag {
        return Err(StoreError::Copied);
    }
    let mut store = LoadedStore {
        header,
        checkpoint: None,
        log: Log::default(),
        start_count: 0,
        valid_length: records_begin,
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
