//! Intervals and limits of a replica.

/// A point in time or a span, in milliseconds of the caller's steady clock. The core never reads a
/// clock itself. Fractions of a millisecond are allowed; no value that a caller passes may be
/// negative.
pub type Millis = f64;

/// How often a replica acts and how long it waits.
#[derive(Clone, Debug)]
pub struct Timing {
    /// Between two ticks of the agreement library.
    pub tick_interval: Millis,
    /// Ticks in one heartbeat round, by which voters find out who is connected to a majority.
    pub election_ticks: u64,
    /// Ticks after which a message that may have been lost is sent again.
    pub resend_ticks: u64,
    /// Between two entries that advance the log's time.
    pub clock_interval: Millis,
    /// Silence after which a voter is replaced, if a standby is ready.
    pub replacement_delay: Millis,
    /// How long a session outlives its client's last write, in milliseconds of the log's time.
    pub session_timeout_ms: u64,
    /// How long a request to a peer may stay unanswered before another peer is asked.
    pub response_timeout: Millis,
    /// Least time between two chunks of a snapshot: bounds the load that catching up puts on
    /// others.
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

/// Bounds on what a replica holds and sends.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Bytes of a snapshot chunk, and of the entries in one reply to a lagging replica.
    pub chunk_bytes: usize,
    /// Entries that the log holds before it is compacted.
    pub log_entries: u64,
    /// Entries that stay in the log when it is compacted, for replicas that lag a little.
    pub retained_entries: u64,
    /// Entries that may be proposed and undecided at a time.
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
