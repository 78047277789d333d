//! Group membership for a fleet: which members appear to be alive.
//!
//! [`Membership`] implements SWIM with suspicion, the local health score of Lifeguard, and
//! anti-entropy. The SWIM part is the `foca` crate, which comments call the protocol library. This
//! crate has no sockets, clocks or threads: the caller passes in datagrams and the time, and gets
//! back what has to be sent and what has changed. The view is only a hint: nothing that must not
//! happen twice, or that has to add up across members, may depend on it. `docs/MEMBERSHIP.md`
//! states the guarantees. [`simulation`] runs any number of members in one process.

#![forbid(unsafe_code)]

mod counters;
mod effect;
mod load;
mod local_health;
mod member;
mod membership;
mod name;
pub mod simulation;
#[cfg(test)]
mod tests;
mod time_queue;
mod timers;
mod timing;
mod view;
mod wire;

pub use counters::Counters;
pub use effect::{Change, Effect};
pub use member::{Member, MemberState, MemberUpdate, MAX_NAME_BYTES, MAX_ZONE_BYTES};
pub use membership::{AntiEntropyOutcome, Membership};
pub use name::Name;
pub use timing::{Millis, Timing, MAX_DATAGRAM_BYTES};
pub use view::{FailedMember, View};
pub use wire::WireError;
