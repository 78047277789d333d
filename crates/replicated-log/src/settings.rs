//! Timing and limits of a replica.

/// A point in time or a duration, in milliseconds of the caller's monotonic clock. The crate never
/// reads a clock itself. Fractions of a millisecond are allowed. Values that a caller passes must
/// not be negative.
pub type Millis = f64;

/// Intervals and timeouts of a replica.
#[derive(Clone, Debug)]
pub struct Timing {
    /// Interval between two ticks of the consensus library, in milliseconds.
    pub tick_interval: Millis,
    /// Number of ticks in one heartbeat round, by which voters find out which of them are connected
    /// to a majority.
    pub election_ticks: u64,
    /// Number of ticks after which a message that may have been lost is sent again.
    pub resend_ticks: u64,
    /// Interval between two entries that advance the log's time, in milliseconds.
    pub clock_interval: Millis,
    /// Duration of silence after which a voter is replaced if a standby is ready, in milliseconds.
    pub replacement_delay: Millis,
    /// How long a session stays open after its client's last write, in milliseconds of the log's
    /// time.
    pub session_timeout_ms: u64,
    /// How long a request to a peer may remain unanswered before another peer is asked, in
    /// milliseconds.
    pub response_timeout: Millis,
    /// Minimum interval between two chunks of a snapshot, in milliseconds. Bounds the load that
    /// catching up puts on other replicas.
    pub chunk_interval: Millis,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            tick_interval: 50.0,
            election_ticks: 6,
            resend_ticks: 10,
            clock_interval: 1000.0,
            replacement_delay: 30_000.0,
            session_timeout_ms: 60_000,
            response_timeout: 1000.0,
            chunk_interval: 10.0,
        }
    }
}

/// Bounds on the memory of a replica and on the size of its messages.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum size of a snapshot chunk, and of the entries in one reply to a lagging replica, in
    /// bytes.
    pub chunk_bytes: usize,
    /// Number of entries at which the log is compacted.
    pub log_entries: u64,
    /// Number of entries that compaction leaves in the log, for replicas that lag a little.
    pub retained_entries: u64,
    /// Maximum number of proposed entries that are not yet decided.
    pub undecided_entries: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            chunk_bytes: 64 * 1024,
            log_entries: 16_384,
            retained_entries: 4096,
            undecided_entries: 4096,
        }
    }
}

/// The settings of a replica.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Intervals and timeouts.
    pub timing: Timing,
    /// Bounds on memory and message size.
    pub limits: Limits,
}
