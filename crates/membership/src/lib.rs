//! Who of a fleet seems present.
//!
//! [`Membership`] is SWIM with suspicion (the `foca` crate) without sockets, clocks or threads: what comes in and the time
//! go into it, what is to be sent and what has changed come out. It is a hint: nothing that must not happen twice, or in
//! sum, may hang on it. `docs/MEMBERSHIP.md` tells what it promises.

#![forbid(unsafe_code)]

mod core;
mod counters;
mod effect;
mod load;
mod member;
pub mod sim;
#[cfg(test)]
mod tests;
mod times;
mod view;

pub use self::core::Membership;
pub use counters::Counters;
pub use effect::{Change, Effect};
pub use member::{Entry, Member, Standing, WireError, LONGEST_NAME, LONGEST_ZONE};
pub use times::{Times, GREATEST_DATAGRAM};
pub use view::View;
