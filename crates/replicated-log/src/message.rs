//! Messages between replicas, and between clients and replicas. They are encoded with postcard,
//! which depends on the order of fields and variants.

use crate::entry::{Command, Entry};
use crate::identity::{Configuration, Position, ReplicaId};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::Message;
use serde::{Deserialize, Serialize};

/// The outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The write was applied and is acknowledged, with the state machine's answer.
    Applied(Vec<u8>),
    /// The session has expired. This attempt was not applied and never will be; an earlier attempt
    /// may have been applied.
    SessionExpired,
    /// The write was not applied: the session has too many writes in flight, or the answer to this
    /// write has already been discarded.
    Rejected,
}

/// A request from a client to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Opens a session.
    OpenSession {
        /// Random number chosen by the client, by which it recognises the response.
        nonce: u64,
    },
    /// Submits a write.
    Write(Command),
}

/// A response from a replica to a client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The outcome of a request for a session.
    SessionOpened {
        /// The nonce of the request.
        nonce: u64,
        /// The number of the new session; `None` if too many sessions are open.
        session: Option<u64>,
    },
    /// The outcome of a write.
    Written {
        /// The session of the write.
        session: u64,
        /// The write's sequence number.
        sequence: u64,
        /// Whether the write was applied, with its answer.
        outcome: Outcome,
    },
    /// The replica is not the leader; the request was not accepted.
    NotLeader {
        /// The name of the leader, if one is known.
        leader: Option<String>,
    },
    /// The replica is the leader and has reached its limit of undecided entries or waiting
    /// requests. The request was not accepted.
    Busy,
}

/// The prefix of the log that a voter has accepted, and the ballot in which it accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AcceptedPrefix {
    /// The highest ballot in which the voter accepted entries.
    pub ballot: Ballot,
    /// The number of accepted entries.
    pub length: u64,
}

/// The latest known promises and accepted entries of a voter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VoterProgress {
    /// The number of the configuration that the ballots and entries belong to.
    pub configuration: u32,
    /// The highest ballot that the voter has promised.
    pub highest_ballot: Ballot,
    /// The entries that the voter has accepted.
    pub accepted: AcceptedPrefix,
}

impl VoterProgress {
    /// Merges two reports of one configuration: keeps the higher value of each field.
    pub(crate) fn merge(self, other: VoterProgress) -> VoterProgress {
        VoterProgress {
            configuration: self.configuration.max(other.configuration),
            highest_ballot: self.highest_ballot.max(other.highest_ballot),
            accepted: self.accepted.max(other.accepted),
        }
    }
}

/// Describes a snapshot that the sender can transfer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SnapshotOffer {
    /// The position up to which entries are applied to the snapshot.
    pub position: Position,
    /// The length of the encoded snapshot in bytes.
    pub length: u64,
    /// The CRC-32C of the encoded snapshot.
    pub checksum: u32,
    /// The configuration at the snapshot's position.
    pub configuration: Configuration,
}

/// A chunk of a snapshot.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The position of the snapshot that the chunk belongs to.
    pub position: Position,
    /// The offset of the chunk in the encoded snapshot, in bytes.
    pub offset: u64,
    /// The bytes of the chunk.
    pub bytes: Vec<u8>,
}

/// A message between replicas.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A message of the consensus library. It belongs to the configuration that the envelope names.
    Paxos(Message<Entry>),
    /// The sender has restarted and queries what the receiver knows of its promises, before it
    /// votes again.
    RecoveryQuery,
    /// The sender's answer to a recovery query: what it knows of the receiver's promises.
    RecoveryReply(VoterProgress),
    /// The sender's store is empty. It may bootstrap a log together with these founders if all of
    /// their stores are empty.
    Uninitialized {
        /// The names of all founders, including the sender.
        founders: Vec<String>,
    },
    /// The first configuration of a new log, sent by the founder whose name sorts first, or by
    /// another voter that has it.
    Bootstrap(Configuration),
    /// Requests the decided entries after a position.
    FetchEntries {
        /// The receiver sends the entries after this position; `None` from a replica that has no
        /// state yet.
        after: Option<Position>,
    },
    /// Decided entries that follow a position.
    Entries {
        /// The requested position, directly before the first of these entries.
        after: Position,
        /// The entries in log order.
        entries: Vec<Entry>,
        /// The next configuration, if the current one ends after these entries.
        next_configuration: Option<Configuration>,
    },
    /// The requested entries are compacted; a snapshot is available instead.
    SnapshotOffer(SnapshotOffer),
    /// Requests a chunk of a snapshot.
    SnapshotRequest {
        /// The position of the snapshot that the chunk belongs to.
        position: Position,
        /// The offset at which the chunk begins, in bytes.
        offset: u64,
    },
    /// The requested chunk of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// The sender's position, for a receiver that lags or has no vote.
    PositionNotice(Position),
    /// The sender has no vote, has applied entries up to this position, and is ready to become a
    /// voter.
    Standby(Position),
}

/// Orders the messages of one replica. A message whose number is not higher than that of the last
/// message from its sender is stale.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MessageNumber {
    /// How often the sender has started with its store, the current start included.
    pub start: u64,
    /// The number of the message, counted from one since that start.
    pub sequence: u64,
}

/// A message between replicas, with the header fields that the receiver checks first.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// The id of the log; zero if the sender belongs to no log yet.
    pub log_id: u64,
    /// The number of the sender's configuration.
    pub configuration: u32,
    /// The identity of the sender.
    pub sender: ReplicaId,
    /// The number that orders this message among the sender's messages.
    pub number: MessageNumber,
    /// The index of the first entry that is not compacted in the sender's log. A receiver that has
    /// not decided all entries before this index must fetch them.
    pub first_index: u64,
    /// The content of the envelope.
    pub message: PeerMessage,
}
