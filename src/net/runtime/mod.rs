//! What every part stands on: the clock, stall detection, time budgets, and shares of descriptors and memory.

pub mod budget;
pub mod capacity;
pub mod clock;
pub mod context;
