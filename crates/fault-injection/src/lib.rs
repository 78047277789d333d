//! The rig: several processes of the program, the stand-ins they need, and faults between them.
//!
//! `docs/FAULT_INJECTION.md` tells how to use it. Nothing here is part of the product, and nothing of it leaves loopback.

#![forbid(unsafe_code)]

pub mod check;
pub mod cost;
pub mod ground;
pub mod history;
pub mod link;
pub mod load;
pub mod process;
pub mod rig;
pub mod schedule;
pub mod scripted_peers;
pub mod standins;

pub use rig::{Plan, Rig};
