//! The resource limits in the configuration.

use serde::Deserialize;

/// Minimum number of file descriptors with which a gateway can work.
pub(super) const MIN_SOCKETS: usize = 32;

/// The resource limits of the process, from which the gateway derives its connection limits.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(crate) struct Limits {
    /// Maximum number of file descriptors of the process.
    pub sockets: usize,
    /// Memory limit of the process, in MiB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: usize,
}

impl Limits {
    /// Memory limit of the process, in bytes.
    pub(crate) fn memory_bytes(&self) -> usize {
        self.memory_mb << 20
    }
}

/// Memory that every deployment has at least, in MiB.
fn default_memory_mb() -> usize {
    32
}
