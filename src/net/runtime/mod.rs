//! What every part stands on: the clock, stall detection, time budgets, and shares of descriptors and memory.

pub(crate) mod budget;
pub(crate) mod capacity;
pub(crate) mod clock;
pub(crate) mod context;
