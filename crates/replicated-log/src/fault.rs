//! Deliberate faults, with which tests show that the checker finds violations. They are compiled in
//! only with the feature `faults`, which only tests enable.

/// A deliberate fault: one rule of the protocol that is not followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A leader applies and answers writes that no majority has accepted.
    RespondBeforeMajority,
    /// Messages do not wait until the disk writes that they depend on are durable.
    SendBeforeDurable,
    /// A retried write is applied again.
    NoDeduplication,
    /// A write of an expired session is applied.
    WriteAfterExpiry,
    /// A replica that lost its disk keeps its old identity.
    VoteAfterDataLoss,
    /// Fetched entries are accepted at any position.
    EntriesAtAnyPosition,
    /// A log is bootstrapped with any replicas that sent a message, whether their stores are empty
    /// or not.
    BootstrapWithNonEmpty,
    /// A replica that needs compacted entries is sent only the entries that remain.
    SendCompactedEntries,
    /// The last entry is omitted when the end of a configuration is sent.
    DropLastEntry,
    /// A snapshot omits the answers of its sessions.
    SnapshotWithoutSessions,
}

impl Fault {
    /// All deliberate faults.
    pub const ALL: [Fault; 10] = [
        Fault::RespondBeforeMajority,
        Fault::SendBeforeDurable,
        Fault::NoDeduplication,
        Fault::WriteAfterExpiry,
        Fault::VoteAfterDataLoss,
        Fault::EntriesAtAnyPosition,
        Fault::BootstrapWithNonEmpty,
        Fault::SendCompactedEntries,
        Fault::DropLastEntry,
        Fault::SnapshotWithoutSessions,
    ];

    /// Whether this fault is enabled in this thread.
    #[cfg(feature = "faults")]
    pub(crate) fn is_enabled(self) -> bool {
        ENABLED.with(|fault| fault.get() == Some(self))
    }

    /// Always false: faults are not compiled in.
    #[cfg(not(feature = "faults"))]
    pub(crate) fn is_enabled(self) -> bool {
        false
    }
}

#[cfg(feature = "faults")]
thread_local! {
    static ENABLED: std::cell::Cell<Option<Fault>> = const { std::cell::Cell::new(None) };
}

/// Enables one fault in this thread, or none.
#[cfg(feature = "faults")]
pub fn enable(fault: Option<Fault>) {
    ENABLED.with(|current| current.set(fault));
}
