//! Deliberate faults, with which tests show that the checkers find them. Without the feature
//! `faults`, which only tests enable, none of them is in the program.

/// A rule that is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A leader applies and answers what no majority has accepted.
    RespondBeforeMajority,
    /// Messages do not wait for the disk writes that they rest on.
    SendBeforeDurable,
    /// A retried write is applied again.
    NoDeduplication,
    /// A write of an expired session is applied.
    WriteAfterExpiry,
    /// A replica that lost its disk keeps its old identity.
    VoteAfterDataLoss,
    /// Entries are accepted at any position.
    EntriesAtAnyPosition,
    /// A log is founded with any replicas that were heard from, empty or not.
    BootstrapWithNonEmpty,
    /// A replica that lacks compacted entries is sent only what is left.
    SendCompactedEntries,
    /// The end of a configuration is sent without its last entry.
    DropLastEntry,
    /// A snapshot lacks the answers of its sessions.
    SnapshotWithoutSessions,
}

impl Fault {
    /// All faults.
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

    /// Whether it is enabled in this thread.
    #[cfg(feature = "faults")]
    pub(crate) fn is_enabled(self) -> bool {
        ENABLED.with(|fault| fault.get() == Some(self))
    }

    /// Whether it is enabled: never.
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
