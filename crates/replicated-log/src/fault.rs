//! Deliberate faults, so that the checkers can show that they find them. Without the feature `faults`, which only tests turn
//! on, none of them is in the program.

/// A rule that is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A leader carries out and answers what no majority has accepted.
    AnswerBeforeMajority,
    /// What is said does not wait for the disk.
    SayBeforeWritten,
    /// A repeat of a write is carried out again.
    NoSessions,
    /// A write of a session that is over is carried out.
    LateWrites,
    /// One that lost its disk goes by the identity that it had.
    VoteAfterAmnesia,
    /// Entries are taken in wherever they belong.
    TailAnywhere,

    /// A record is founded with whoever was heard, empty or not.
    FoundAnew,
    /// One that lacks what is cut off is sent what is left.
    SendBeyondCut,
    /// The end of a configuration is told without its last entries.
    ForgetTail,
    /// A state is passed on without what its sessions were answered.
    StateWithoutSessions,
}

impl Fault {
    /// All of them.
    pub const ALL: [Fault; 10] = [
        Fault::AnswerBeforeMajority,
        Fault::SayBeforeWritten,
        Fault::NoSessions,
        Fault::LateWrites,
        Fault::VoteAfterAmnesia,
        Fault::TailAnywhere,
        Fault::FoundAnew,
        Fault::SendBeyondCut,
        Fault::ForgetTail,
        Fault::StateWithoutSessions,
    ];

    /// Whether it is in.
    #[cfg(feature = "faults")]
    pub(crate) fn is_in(self) -> bool {
        IN.with(|fault| fault.get() == Some(self))
    }

    /// Whether it is in: never.
    #[cfg(not(feature = "faults"))]
    pub(crate) fn is_in(self) -> bool {
        false
    }
}

#[cfg(feature = "faults")]
thread_local! {
    static IN: std::cell::Cell<Option<Fault>> = const { std::cell::Cell::new(None) };
}

/// Puts one in, in this thread, or takes it out.
#[cfg(feature = "faults")]
pub fn put_in(fault: Option<Fault>) {
    IN.with(|current| current.set(fault));
}
