//! The limits of the machine, as the configuration gives them.

use serde::Deserialize;

/// The fewest descriptors with which a gateway can work.
pub(super) const MIN_SOCKETS: usize = 32;

/// Limits of the machine that bear on how the gateway is built.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(crate) struct Limits {
    /// File descriptors that the process may use.
    pub sockets: usize,
    /// Memory that the process may use, in MiB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: usize,
}

/// What every deployment has at least, in MiB.
fn default_memory_mb() -> usize {
    32
}
