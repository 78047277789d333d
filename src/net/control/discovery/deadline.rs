//! How long a call to discovery and the pause after it may take, so that what discovery has is in force in time.
//!
//! Each chain from the moment at which discovery had something to the answer that tells it stays below [`IN_FORCE`]:
//!
//! | chain | longest |
//! | --- | --- |
//! | a silent watch, a short pause, an answer | 4.25 + 0.2 + 1.4 = 5.85 s |
//! | a call that hangs, a short pause, an answer | 1.4 + 0.2 + 2.8 = 4.4 s |
//! | a further call that hangs, a short pause, an answer | 2.8 + 0.2 + 2.8 = 5.8 s |
//! | a call that is refused at any time, a long pause, an answer | 6 - 0.25 = 5.75 s |
//! | a silent watch, a short pause, a refused call, a short pause, an answer | 4.65 s and both answers |
//!
//! The long pause is what the refused call and an answer leave of the time: at most [`LONGEST_PAUSE`].

use std::time::Duration;
use tokio::time::Instant;

/// Discovery says something every 2 s. A watch that has missed two of these, and a little for the way, has lost its other
/// end: what it misses counts as told 6 s after it fell silent, so the third may not be waited for. A whole fleet that finds
/// its agents silent opens a watch each in this time, and each at its own.
pub(super) const SILENCE: Duration = Duration::from_millis(4250);
/// What discovery has is to be in force so long after it had it and could be reached.
const IN_FORCE: Duration = Duration::from_secs(6);
/// The same after a new configuration that may have moved discovery.
const IN_FORCE_ELSEWHERE: Duration = Duration::from_secs(4);
/// Kept back of these for late timers and for taking in a list.
const MARGIN: Duration = Duration::from_millis(250);
/// Time for the dial and the head of an answer. One that is lost on the way is sent again by the system after 1 s.
const ANSWER: Duration = Duration::from_millis(1400);
/// The same after a call that had no answer in its time, so that a slow service is heard too. Twice this and a short
/// pause stay below [`IN_FORCE`].
const SLOW_ANSWER: Duration = Duration::from_millis(2800);
/// The longest pause after a refused call: one that was refused at once, with time for one answer left.
pub(crate) const LONGEST_PAUSE: Duration = IN_FORCE.saturating_sub(MARGIN).saturating_sub(ANSWER);

/// How a call or the watch that it opened ended, as far as time goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WatchEnd {
    /// The watch or the list ended, and nothing can have been missed before.
    Closed,
    /// An answer began and fell silent.
    Silent,
    /// Discovery had too many calls.
    Refused,
    /// No answer in its time.
    Unanswered,
    /// The connection failed before an answer.
    Failed,
}

/// When what discovery may have has to be in force.
#[derive(Debug, Default)]
pub(super) struct Deadline {
    /// Of what came before the present call; a refused call uses it up, and the next one counts from its own beginning.
    due: Option<Instant>,
    unanswered: bool,
}

impl Deadline {
    /// Time for the dial and the head of the next call's answer.
    pub(super) fn patience(&self) -> Duration {
        if self.unanswered {
            SLOW_ANSWER
        } else {
            ANSWER
        }
    }

    /// Discovery may be elsewhere from now on.
    pub(super) fn moved(&mut self) {
        *self = Deadline {
            due: Some(Instant::now() + IN_FORCE_ELSEWHERE),
            unanswered: false,
        };
    }

    /// A call that began at `begun` has ended. Tells the longest pause that leaves time for an answer after it; nothing is
    /// left where the time is up.
    pub(super) fn ended(&mut self, begun: Instant, lapse: WatchEnd) -> Duration {
        let now = Instant::now();
        let due = match lapse {
            WatchEnd::Closed => now + IN_FORCE,
            WatchEnd::Silent => now + IN_FORCE - SILENCE,
            WatchEnd::Unanswered | WatchEnd::Failed => begun + IN_FORCE,
            WatchEnd::Refused => self.due.take().unwrap_or(begun + IN_FORCE),
        };
        self.unanswered = lapse == WatchEnd::Unanswered;
        if lapse != WatchEnd::Refused {
            self.due = Some(due);
        }
        due.saturating_duration_since(now)
            .saturating_sub(MARGIN + ANSWER)
            .min(LONGEST_PAUSE)
    }
}

#[cfg(test)]
mod tests;
