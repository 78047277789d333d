//! Membership of a fleet: which members seem present.
//!
//! [`Membership`] is SWIM with suspicion (the `foca` crate), Lifeguard's local health and
//! anti-entropy, without sockets, clocks or threads: datagrams and the time go in; what is to be
//! sent, and what has changed, come out. What it knows is a hint: nothing that must not happen
//! twice, or that has to add up across members, may depend on it. `docs/MEMBERSHIP.md` states what
//! it guarantees. [`simulation`] runs any number of members in one process.

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
pub use membership::{ComparisonOutcome, Membership};
pub use name::Name;
pub use timing::{Millis, Timing, MAX_DATAGRAM_BYTES};
pub use view::{FailedMember, View};
pub use wire::WireError;
