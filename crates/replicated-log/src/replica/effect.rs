//! What a replica starts with, what it asks its caller to do, and the roles that it can have.

use crate::identity::ReplicaId;
use crate::log::LogRecord;
use crate::message::{Envelope, Response};
use crate::store::LoadedStore;

/// What a replica starts with.
#[derive(Debug)]
pub enum Start {
    /// An empty store, or none: a new identity.
    Empty {
        /// The new identity.
        id: ReplicaId,
        /// The names of the replicas with which it may found a log, its own among them. It looks
        /// for an existing log among them in any case.
        founders: Vec<String>,
    },
    /// A store that was read.
    Stored {
        /// Its content.
        store: Box<LoadedStore>,
        /// As for an empty store.
        founders: Vec<String>,
    },
}

/// What the caller has to do for a replica, in the order in which it is returned.
#[derive(Debug)]
pub enum Effect {
    /// Append records to the store and flush them to the disk; then call
    /// [`Replica::written`](super::Replica::written).
    Append {
        /// The number to report.
        write: u64,
        /// The records, to become durable together.
        records: Vec<LogRecord>,
    },
    /// Write a new store that holds only these records, and atomically replace the old one by it;
    /// then report as for an append.
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
    /// The store is older than what its replica has sent, or cannot be used: discard it and start
    /// empty, under a new identity.
    DiscardStore,
}

/// The role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It has no state.
    Empty,
    /// It follows the log and has no vote.
    Learner,
    /// It restarted with its store, and asks its peers what they know of it before it votes again.
    Recovering,
    /// It has a vote.
    Follower,
    /// It has a vote, and leads.
    Leader,
}
