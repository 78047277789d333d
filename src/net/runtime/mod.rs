//! What every part of the gateway builds on: its clock, time budgets, stall detection, the shared context, the log, and
//! the division of descriptors and memory.

pub(crate) mod budget;
pub(crate) mod capacity;
pub(crate) mod clock;
pub(crate) mod context;
pub(crate) mod log;
pub(crate) mod stall;
