//! Counters of the transport: what passed and what was turned away.

use crate::net::fleet::frame::FrameError;
use serde::Serialize;

/// What went by and what was turned away.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Counters {
    /// Dials that were begun.
    pub dials: u64,
    /// Dials that gave no link.
    pub dials_failed: u64,
    /// Links that came up, dialled by whomever.
    pub up: u64,
    /// Links that ended.
    pub down: u64,
    /// Of these, for want of a whole frame in time, in either direction.
    pub silent: u64,
    /// Frames and their bytes, sent and read on links.
    pub sent: u64,
    pub sent_bytes: u64,
    pub read: u64,
    pub read_bytes: u64,
    /// Frames that found no room.
    pub full: u64,
    /// Hints dropped for newer ones.
    pub dropped: u64,
    /// Frames and datagrams turned away: no frames, or of no sound checksum; another version; fleet; generation; too long.
    pub mark: u64,
    pub checksum: u64,
    pub version: u64,
    pub fleet: u64,
    pub generation: u64,
    pub size: u64,
    /// Greetings for or from somebody else.
    pub wrong_name: u64,
    /// Frames of a kind that is not known here.
    pub unknown: u64,
    /// Connections closed for too many others.
    pub crowded: u64,
}

impl Counters {
    /// Notes why something was turned away.
    pub(crate) fn record_rejected(&mut self, why: FrameError) {
        *match why {
            FrameError::Magic => &mut self.mark,
            FrameError::Checksum => &mut self.checksum,
            FrameError::Version(_) => &mut self.version,
            FrameError::Fleet => &mut self.fleet,
            FrameError::Generation(_) => &mut self.generation,
            FrameError::Size(_) => &mut self.size,
        } += 1;
    }
}
