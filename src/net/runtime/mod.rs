//! The foundation of all parts of the gateway: clock, time budgets, stall detection, shared context, logging, and the
//! division of file descriptors and memory among connections.

pub(crate) mod budget;
pub(crate) mod capacity;
pub(crate) mod clock;
pub(crate) mod context;
pub(crate) mod log;
pub(crate) mod memory;
pub(crate) mod stall;
