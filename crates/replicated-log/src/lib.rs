//! A replicated log: a group of replicas reaches consensus on the order of its entries, and each
//! replica applies the decided entries to a state machine.
//!
//! The crate is sans-I/O. The caller passes in messages, completed disk writes and the current
//! time; the crate returns effects: records to write, messages to send and responses to clients.
//! The caller owns sockets, disks and clocks. `docs/REPLICATED_LOG.md` states what is guaranteed
//! and what is not.

mod client;
mod entry;
// Public so that tests can enable faults.
pub mod fault;
mod identity;
mod log;
mod message;
mod replica;
mod replicated_state;
mod settings;
// Public for tests and for the binary that measures latencies.
pub mod simulation;
mod state_machine;
mod store;
mod transfer;

pub use client::{Client, ClientEffect, StartedWrite, WriteResult};
pub use entry::{Command, Entry};
pub use identity::{Configuration, LeaderTerm, Position, ReplicaId};
pub use log::{Checkpoint, LogRecord};
pub use message::{
    AcceptedPrefix, Envelope, MessageNumber, Outcome, PeerMessage, Request, Response,
    SnapshotChunk, SnapshotOffer, VoterProgress,
};
pub use replica::{Effect, Replica, Role, Start};
pub use replicated_state::{Applied, ReplicatedState};
pub use settings::{Limits, Millis, Settings, Timing};
pub use state_machine::{RestoreError, StateMachine};
pub use store::{decode, encode, encode_header, LoadedStore, StoreError, StoreHeader};
