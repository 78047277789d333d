//! Counters of the transport: what was sent and received, and what was rejected.

use crate::net::fleet::frame::FrameError;
use serde::Serialize;

/// Counters since the start of the process. Tools read their serialized names in the log.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct TransportCounters {
    /// Dials that were started.
    pub dials: u64,
    /// Dials that led to no connection.
    pub dials_failed: u64,
    /// Connections that were established, in either direction.
    #[serde(rename = "up")]
    pub connections_opened: u64,
    /// Connections that closed.
    #[serde(rename = "down")]
    pub connections_closed: u64,
    /// Connections that were closed because no complete frame could be read or written in time, and
    /// inbound handshakes that took too long.
    #[serde(rename = "silent")]
    pub timed_out: u64,
    /// Frames sent on connections.
    pub sent: u64,
    /// Bytes of the frames sent.
    pub sent_bytes: u64,
    /// Frames received on connections.
    #[serde(rename = "read")]
    pub received: u64,
    /// Bytes of the frames received.
    #[serde(rename = "read_bytes")]
    pub received_bytes: u64,
    /// Frames that could not be queued: the lane was full, the peer could not be dialed, or the
    /// body was too long.
    #[serde(rename = "full")]
    pub send_failed: u64,
    /// Best-effort frames that were dropped for newer ones.
    pub dropped: u64,
    /// Rejected because they are not frames, or not the expected ones.
    #[serde(rename = "mark")]
    pub malformed: u64,
    /// Rejected because their checksum does not match.
    #[serde(rename = "checksum")]
    pub bad_checksum: u64,
    /// Rejected because their protocol version is not supported.
    #[serde(rename = "version")]
    pub unsupported_version: u64,
    /// Rejected because they belong to another fleet.
    #[serde(rename = "fleet")]
    pub foreign_fleet: u64,
    /// Rejected because they belong to another epoch of the fleet.
    #[serde(rename = "generation")]
    pub foreign_epoch: u64,
    /// Rejected because their body is too long.
    #[serde(rename = "size")]
    pub too_long: u64,
    /// Handshakes for another gateway than the receiver, or from another one than was dialed.
    pub wrong_name: u64,
    /// Frames of a kind that this version does not know.
    #[serde(rename = "unknown")]
    pub unknown_kind: u64,
    /// Inbound connections that were closed because too many connections were open or too many
    /// peers known.
    #[serde(rename = "crowded")]
    pub over_limit: u64,
}

impl TransportCounters {
    /// Counts a rejected frame or datagram by the reason of its rejection.
    pub(crate) fn record_rejected(&mut self, error: FrameError) {
        let counter = match error {
            FrameError::Malformed => &mut self.malformed,
            FrameError::Checksum => &mut self.bad_checksum,
            FrameError::Version(_) => &mut self.unsupported_version,
            FrameError::Fleet => &mut self.foreign_fleet,
            FrameError::Epoch(_) => &mut self.foreign_epoch,
            FrameError::TooLong(_) => &mut self.too_long,
        };
        *counter += 1;
    }
}
