//! A store as bytes: a head, and frames of notes, each with checksums. How a file of them is kept is its driver's.
//!
//! | what | bytes |
//! | --- | --- |
//! | mark `CSREC` and the format's version | 5 + 1 |
//! | the keeper's name and life, and what the driver tells a copied file by, in a frame | |
//! | then frames: length, checksum of the body, checksum of these two | 4 + 4 + 4 |
//! | each with its notes in postcard | length |

use crate::entry::{Config, Id, Position};
use crate::log::{Log, Note};
use serde::{Deserialize, Serialize};

const MARK: &[u8; 5] = b"CSREC";
/// The format that this program writes, and the newest that it reads.
const VERSION: u8 = 1;
const HEAD: usize = 12;

/// Why a store cannot be used.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Damage {
    /// It is of a format that is newer than this program.
    #[error("format {0}, where {VERSION} is the newest that is known here")]
    Newer(u8),
    /// It is no store.
    #[error("no store")]
    Mark,
    /// Something in its middle is not what was written.
    #[error("damaged at byte {0} of {1}")]
    Middle(usize, usize),
    /// It was copied or moved here: it may be older than what its keeper last said.
    #[error("not the file that was written: a copy, which may be older")]
    Copy,
}

/// Whose store it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// The keeper.
    pub id: Id,
    /// What tells this file from a copy of it; the driver's.
    pub file: String,
}

/// What a store held.
#[derive(Clone, Debug)]
pub struct Found {
    /// Whose it is.
    pub kept: Kept,
    /// The record and its configuration, if one had begun.
    pub(crate) begun: Option<(u64, Config, Position, Vec<u8>)>,
    pub(crate) log: Log,
    pub(crate) starts: u64,
    /// Bytes that are sound; what comes after is a write that a crash left torn.
    pub sound: usize,
    /// Whether there was such a rest.
    pub torn: bool,
}

fn frame(value: &impl Serialize) -> Vec<u8> {
    // Plain values can always be written to a vector.
    let body = postcard::to_stdvec(value).unwrap_or_default();
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.extend((body.len() as u32).to_le_bytes());
    bytes.extend(crc32c::crc32c(&body).to_le_bytes());
    bytes.extend(crc32c::crc32c(&bytes).to_le_bytes());
    bytes.extend(body);
    bytes
}

/// The beginning of a store.
pub fn head(kept: &Kept) -> Vec<u8> {
    let mut bytes = MARK.to_vec();
    bytes.push(VERSION);
    bytes.extend(frame(kept));
    bytes
}

/// Notes that are kept together.
pub fn encode(notes: &[Note]) -> Vec<u8> {
    frame(&notes)
}

enum Next<'a> {
    Frame(&'a [u8], usize),
    End,
    Torn,
    Damaged,
}

fn next(bytes: &[u8], at: usize) -> Next<'_> {
    let rest = &bytes[at..];
    if rest.is_empty() {
        return Next::End;
    }
    let word = |from: usize| {
        rest.get(from..from + 4)
            .and_then(|b| b.try_into().ok())
            .map(u32::from_le_bytes)
    };
    let (Some(length), Some(sum), Some(check)) = (word(0), word(4), word(8)) else {
        return Next::Torn;
    };
    if crc32c::crc32c(&rest[..8]) != check {
        // A crash may leave room that was never written to; it does not change what was.
        return if rest.iter().all(|byte| *byte == 0) {
            Next::Torn
        } else {
            Next::Damaged
        };
    }
    let end = HEAD + length as usize;
    match rest.get(HEAD..end) {
        None => Next::Torn,
        Some(body) if crc32c::crc32c(body) == sum => Next::Frame(body, at + end),
        // Of the last write a crash may have left room and no bytes; what has bytes to its end was whole once. Where it cannot be
        // told, it is damage: its keeper becomes somebody else, which costs a change and breaks nothing.
        Some(body) if rest.len() == end && body.iter().rev().take(8).all(|byte| *byte == 0) => {
            Next::Torn
        }
        Some(_) => Next::Damaged,
    }
}

/// Reads a store. `file` is what the driver tells this file by.
pub fn decode(bytes: &[u8], file: &str) -> Result<Found, Damage> {
    let (mark, version) = (
        bytes.get(..5).ok_or(Damage::Mark)?,
        *bytes.get(5).ok_or(Damage::Mark)?,
    );
    if mark != MARK {
        return Err(Damage::Mark);
    }
    if version > VERSION {
        return Err(Damage::Newer(version));
    }
    let Next::Frame(body, mut at) = next(bytes, 6) else {
        return Err(Damage::Mark);
    };
    let kept: Kept = postcard::from_bytes(body).map_err(|_| Damage::Mark)?;
    if kept.file != file {
        return Err(Damage::Copy);
    }
    let (mut begun, mut log, mut starts) = (None, Log::default(), 0);
    let torn = loop {
        match next(bytes, at) {
            Next::End => break false,
            Next::Torn => break true,

            Next::Damaged => return Err(Damage::Middle(at, bytes.len())),
            Next::Frame(body, end) => {
                let notes: Vec<Note> =
                    postcard::from_bytes(body).map_err(|_| Damage::Middle(at, bytes.len()))?;
                for note in notes {
                    match &note {
                        Note::Begin(record, config, at, state) => {
                            begun = Some((*record, config.clone(), *at, state.clone()));
                        }
                        Note::Start(number) => starts = starts.max(*number),
                        _ => {}
                    }
                    log.replay(note);
                }
                at = end;
            }
        }
    };
    Ok(Found {
        kept,
        begun,
        log,
        starts,
        sound: at,
        torn,
    })
}
