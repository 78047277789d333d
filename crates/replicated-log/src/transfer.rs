//! How one that lags is caught up: by entries where they are still there, else by a snapshot in pieces.

use crate::entry::{Config, Entry, Id, Position};
use crate::wire::Body;
use std::sync::Arc;

/// The state at a position, as bytes, kept until there is a later one.
#[derive(Clone, Debug)]
pub(crate) struct Image {
    pub at: Position,
    pub config: Config,
    pub bytes: Arc<Vec<u8>>,
    pub sum: u32,
}

impl Image {
    pub(crate) fn new(at: Position, config: Config, bytes: Vec<u8>) -> Image {
        let sum = crc32c::crc32c(&bytes);
        Image {
            at,
            config,
            bytes: Arc::new(bytes),
            sum,
        }
    }

    pub(crate) fn offer(&self) -> Body {
        Body::Offer(
            self.at,
            self.bytes.len() as u64,
            self.sum,
            self.config.clone(),
        )
    }

    /// The piece at an offset, of at most so many bytes.
    pub(crate) fn piece(&self, offset: u64, most: usize) -> Body {
        let from = (offset as usize).min(self.bytes.len());
        let to = (from + most).min(self.bytes.len());
        Body::Piece(self.at, offset, self.bytes[from..to].to_vec())
    }
}

/// The end of the configuration before this one, for those who were there and missed it.
#[derive(Clone, Debug)]
pub(crate) struct Before {
    pub config: u32,
    pub from: u64,
    pub entries: Vec<Entry>,
    pub next: Config,
}

/// A snapshot that is on its way here.
#[derive(Clone, Debug)]
pub(crate) struct Incoming {
    pub at: Position,
    pub config: Config,
    pub length: u64,
    pub sum: u32,
    pub bytes: Vec<u8>,
    /// When something of it last came, ms.
    moved: f64,
}

/// What is being done to catch up.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fetching {
    /// Whom it is asked of, and since when, ms.
    pub from: Option<(Id, f64)>,
    /// What is there of a snapshot; it goes on where it stopped, also from somebody else who has the same.
    pub incoming: Option<Incoming>,
    /// No sooner than this is more asked for.
    pub next: f64,
}

impl Fetching {
    /// Takes an offer up, at `now`. What is there of the same one stays, and one that is on its way gives way only to a later one,
    /// unless nothing of it has come since `stalled`: else two who have different ones would take turns for ever.
    pub(crate) fn offered(
        &mut self,
        stalled: f64,
        now: f64,
        at: Position,
        length: u64,
        sum: u32,
        config: Config,
    ) {
        let same = |here: &Incoming| here.at == at && here.sum == sum && here.length == length;
        let better = |here: &Incoming| here.at > at && here.moved > stalled;
        if !self
            .incoming
            .as_ref()
            .is_some_and(|here| same(here) || better(here))
        {
            self.incoming = Some(Incoming {
                at,
                config,
                length,
                sum,
                bytes: Vec::new(),
                moved: now,
            });
        }
    }

    /// Takes a piece in. All of it, once it is there and whole; what is not whole is dropped, to be asked for anew.
    pub(crate) fn piece(
        &mut self,
        now: f64,
        at: Position,
        offset: u64,
        bytes: &[u8],
    ) -> Option<Incoming> {
        let incoming = self
            .incoming
            .as_mut()
            .filter(|incoming| incoming.at == at)?;
        let room = incoming.length.saturating_sub(incoming.bytes.len() as u64);
        if offset != incoming.bytes.len() as u64 || bytes.len() as u64 > room {
            return None;
        }
        incoming.bytes.extend_from_slice(bytes);
        incoming.moved = now;
        if (incoming.bytes.len() as u64) < incoming.length {
            return None;
        }
        self.incoming
            .take()
            .filter(|whole| crc32c::crc32c(&whole.bytes) == whole.sum)
    }
}
