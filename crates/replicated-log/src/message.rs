//! Messages between replicas, and between clients and replicas. They are encoded with postcard, by
//! the order of fields and variants.

use crate::entry::{Command, Entry};
use crate::identity::{Configuration, Position, ReplicaId};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::Message;
use serde::{Deserialize, Serialize};

/// What came of a write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It was applied and is acknowledged; this is the state machine's answer.
    Applied(Vec<u8>),
    /// Its session has expired: this attempt was not applied and will not be. An earlier attempt
    /// may have been.
    SessionExpired,
    /// Not applied: the session has too many writes open, or this one was answered long ago.
    Rejected,
}

/// A request from a client to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Opens a session.
    OpenSession {
        /// Drawn by the client, so that it recognises the response.
        nonce: u64,
    },
    /// Writes.
    Write(Command),
}

/// A response from a replica to a client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// A request for a session was handled.
    SessionOpened {
        /// The number that the client drew.
        nonce: u64,
        /// The session; `None` if too many are open.
        session: Option<u64>,
    },
    /// A write was handled.
    Written {
        /// Its session.
        session: u64,
        /// Its number in the session.
        sequence: u64,
        /// What came of it.
        outcome: Outcome,
    },
    /// The replica does not lead.
    NotLeader {
        /// The name of the leader, if one is known.
        leader: Option<String>,
    },
    /// The replica leads and has as many undecided entries as it allows; the request was not
    /// accepted.
    Busy,
}

/// How much of the log a voter has accepted, and in which ballot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AcceptedPrefix {
    /// The highest ballot in which it accepted.
    pub ballot: Ballot,
    /// The number of entries that it accepted.
    pub length: u64,
}

/// The most that is known of what a voter promised and accepted, from its own messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VoterProgress {
    /// The number of the configuration that the rest refers to.
    pub configuration: u32,
    /// The highest ballot that it promised to follow.
    pub highest_ballot: Ballot,
    /// What it accepted.
    pub accepted: AcceptedPrefix,
}

impl VoterProgress {
    /// The later of both in each part. Both must be of one configuration.
    pub(crate) fn merge(self, other: VoterProgress) -> VoterProgress {
        VoterProgress {
            configuration: self.configuration.max(other.configuration),
            highest_ballot: self.highest_ballot.max(other.highest_ballot),
            accepted: self.accepted.max(other.accepted),
        }
    }
}

/// A snapshot that a replica can send.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SnapshotOffer {
    /// Where its state stands.
    pub position: Position,
    /// Its length in bytes.
    pub length: u64,
    /// The CRC-32C of its bytes.
    pub checksum: u32,
    /// The configuration at its position.
    pub configuration: Configuration,
}

/// A part of a snapshot.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The position of the snapshot.
    pub position: Position,
    /// Where in the snapshot these bytes begin.
    pub offset: u64,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// A message between replicas.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A message of the agreement library, for the envelope's configuration.
    Paxos(Message<Entry>),
    /// The sender has restarted and asks what the receiver knows of it, before it takes part again.
    RecoveryQuery,
    /// What the sender knows of the receiver.
    RecoveryReply(VoterProgress),
    /// The sender's store is empty; it may found a log with the replicas of these names, if all of
    /// them are empty too.
    Uninitialized {
        /// The names of all founders, the sender's among them.
        founders: Vec<String>,
    },
    /// The first configuration, from the founder whose name sorts first.
    Bootstrap(Configuration),
    /// Asks for the entries after a position.
    FetchEntries {
        /// The position; `None` from a replica that has no state yet.
        after: Option<Position>,
    },
    /// Decided entries.
    Entries {
        /// The position that was asked for; the entries follow it.
        after: Position,
        /// The entries, in order.
        entries: Vec<Entry>,
        /// The next configuration, if this one ends after these entries.
        next_configuration: Option<Configuration>,
    },
    /// The entries are no longer there; a snapshot is.
    SnapshotOffer(SnapshotOffer),
    /// Asks for a chunk of a snapshot.
    SnapshotRequest {
        /// The position of the snapshot.
        position: Position,
        /// Where the chunk begins, in bytes.
        offset: u64,
    },
    /// That chunk.
    SnapshotChunk(SnapshotChunk),
    /// How far the sender's log is, for a receiver that lags or has no vote.
    PositionNotice(Position),
    /// The sender has no vote, has this much of the log, and is ready to become a voter.
    Standby(Position),
}

/// The order of a replica's messages. A message that is not above the last one from its sender is
/// stale.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MessageNumber {
    /// How often the sender has started with its store.
    pub start: u64,
    /// Counts its messages since that start.
    pub sequence: u64,
}

/// A message with what the receiver checks before it handles it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// Identifies the log; zero from a sender that belongs to none yet.
    pub log_id: u64,
    /// The number of the sender's configuration.
    pub configuration: u32,
    /// Who sends it.
    pub sender: ReplicaId,
    /// Its place among the sender's messages.
    pub number: MessageNumber,
    /// The first entry that the sender's log still holds: a receiver that has not decided all
    /// before it must fetch them.
    pub first_index: u64,
    /// The message.
    pub message: PeerMessage,
}
