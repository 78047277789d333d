//! What goes between keepers, and between clients and keepers.

use crate::entry::{Config, Entry, Id, Position};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::Message;
use serde::{Deserialize, Serialize};

/// What came of a write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It is promised, and this is the answer.
    Done(Vec<u8>),
    /// Its session is over: it was not carried out by this word, and will not be. An earlier repeat of it may have been.
    Expired,
    /// Not carried out: the session has too many writes open, or this one was answered long ago.
    Refused,
}

/// A client's word to a keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Asks for a session under a number that it drew.
    Open(u64),
    /// Asks for a write.
    Write(crate::entry::Command),
}

/// A keeper's word to a client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The session for the client that drew the number; none if there are too many.
    Opened(u64, Option<u64>),
    /// What a session's write came to.
    Written(u64, u64, Outcome),
    /// Another keeper leads, or nobody known.
    Elsewhere(Option<String>),
    /// It leads, and has as much in hand as it takes: not taken.
    Busy,
}

/// What somebody has seen of a keeper: the most it promised and accepted, by its own words.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Seen {
    /// In which configuration.
    pub config: u32,
    /// The highest ballot that it promised.
    pub promised: Ballot,
    /// The highest ballot in which it accepted, and how many entries.
    pub accepted: (Ballot, u64),
}

/// What one word is.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Body {
    /// The library's, for this configuration.
    Paxos(Message<Entry>),
    /// A keeper that has started again asks what was seen of it, before it says or promises anything.
    Doubt,
    /// What was seen of whom it is sent to.
    Saw(Seen),
    /// One with an empty store is there, and may found the record with these, if all of them are as empty.
    Empty(Vec<String>),
    /// The first configuration, by the one whose name comes first.
    Begin(Config),
    /// Asks for what comes after a position; none for one that has nothing.
    Fetch(Option<Position>),
    /// Entries after the position that was asked for, and what ends their configuration, if that is next.
    Tail(Position, Vec<Entry>, Option<Config>),
    /// There is a snapshot at this position, of so many bytes, with this checksum, under this configuration.
    Offer(Position, u64, u32, Config),
    /// Asks for a piece of it.
    Want(Position, u64),
    /// That piece.
    Piece(Position, u64, Vec<u8>),
    /// Whoever it is sent to has a seat no more, or not yet: how far the record is.
    Outside(Position),
    /// It has no seat, is this far, and would take one.
    StandsBy(Position),
}

/// A word with what is checked before it is heeded.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// The record; nought from one that knows none yet.
    pub record: u64,
    /// The sender's configuration.
    pub config: u32,
    /// Who says it.
    pub from: Id,
    /// Which of its starts it is, and which of its words since: what is not above the last one heard is old.
    pub number: (u64, u64),
    /// How far the sender's log is cut off: whoever is not as far has to fetch.
    pub horizon: u64,
    /// The word.
    pub body: Body,
}
