//! A replicated, ordered record: a log that a group of keepers agrees on, and the state machine over it.
//!
//! All of it is sans-I/O: what comes in and the time go in, what is to be written, sent and told comes out. Whoever drives it
//! owns sockets, disks and clocks. `docs/REPLICATED_LOG.md` has what is promised and what is not.

mod client;
mod entry;
pub mod fault;
mod keeper;
mod log;
mod machine;
pub mod sim;
mod store;
mod transfer;
mod wire;

pub use client::{Client, ClientEffect, Ended};
pub use entry::{Command, Config, Entry, Id, Office, Position};
pub use keeper::{Effect, Keeper, Standing, Start, Times};
pub use log::Note;
pub use machine::{Machine, Replica};
pub use store::{decode, encode, head, Damage, Found, Kept};
pub use wire::{Answer, Body, Envelope, Outcome, Request};
