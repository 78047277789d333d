//! The input with which a replica starts, the effects that it asks its caller to execute, and its
//! roles.

use crate::identity::ReplicaId;
use crate::log::LogRecord;
use crate::message::{Envelope, Response};
use crate::store::LoadedStore;

/// What a replica starts with: an empty store or a loaded one.
#[derive(Debug)]
pub enum Start {
    /// An empty store or no store at all, under a new identity.
    Empty {
        /// The identity of the replica, with an incarnation that was never used before.
        id: ReplicaId,
        /// The names of the replicas, this one included, that may bootstrap a log together. The
        /// replica first looks for an existing log among them.
        founders: Vec<String>,
    },
    /// A store that was read from the disk.
    Stored {
        /// The decoded store.
        store: Box<LoadedStore>,
        /// The names of the replicas that may bootstrap a log together, as for an empty store.
        founders: Vec<String>,
    },
}

/// An action that the caller has to execute for a replica. Effects are executed in the order in
/// which they are returned.
#[derive(Debug)]
pub enum Effect {
    /// Append records to the store, flush them to the disk, and then call
    /// [`Replica::written`](super::Replica::written).
    Append {
        /// The number to report.
        write: u64,
        /// The records, to become durable together.
        records: Vec<LogRecord>,
    },
    /// Write a new store that holds only these records, atomically replace the old store with it,
    /// and then call [`Replica::written`](super::Replica::written).
    Rewrite {
        /// The number to report.
        write: u64,
        /// The records, to become durable together.
        records: Vec<LogRecord>,
    },
    /// Send a message to a replica.
    Send {
        /// The receiver's name.
        to: String,
        /// The message.
        envelope: Box<Envelope>,
    },
    /// Send a response to a client.
    Respond {
        /// The client's name.
        client: String,
        /// The response.
        response: Response,
    },
    /// The store cannot be used, or lacks something that its replica has already promised or
    /// accepted. The caller discards it and starts an empty replica under a new identity.
    DiscardStore,
}

/// The role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The replica has no state and no vote.
    Empty,
    /// The replica applies the log and has no vote.
    Learner,
    /// The replica restarted with its store. Before it votes again, it queries its peers for what
    /// they know of its promises.
    Recovering,
    /// The replica votes and is not the leader.
    Follower,
    /// The replica votes and is the leader.
    Leader,
}
