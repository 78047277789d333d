//! Lifeguard's local health: how far this process trusts its own detection of failures.

/// Maximum of the local health score, as in Lifeguard. Timeouts are multiplied by the score plus
/// one.
const MAX_SCORE: u32 = 8;

/// The local health score of this process. If a process is slow or receives nothing, the cause is
/// more likely its own fault than a failure of all other members. So it probes less often and gives
/// suspected members more time.
#[derive(Debug, Default)]
pub(crate) struct LocalHealth {
    score: u32,
    /// Whether a probe was sent that is not acknowledged yet.
    probe_pending: bool,
    /// Whether any datagram was received since the last probe was sent.
    any_received: bool,
}

impl LocalHealth {
    /// The score, from 0 (healthy) to [`MAX_SCORE`].
    pub(crate) fn score(&self) -> u32 {
        self.score
    }

    /// The factor that probe intervals and suspicion timeouts are multiplied by.
    pub(crate) fn multiplier(&self) -> f64 {
        f64::from(1 + self.score)
    }

    /// Raises the score, up to [`MAX_SCORE`].
    pub(crate) fn penalize(&mut self, by: u32) {
        self.score = (self.score + by).min(MAX_SCORE);
    }

    /// Records that a probe is sent. If the previous probe was not acknowledged and nothing at all
    /// was received since, the score rises by one.
    pub(crate) fn record_probe(&mut self) {
        if self.probe_pending && !self.any_received {
            self.penalize(1);
        }
        self.probe_pending = true;
        self.any_received = false;
    }

    /// Records that a datagram was received.
    pub(crate) fn record_datagram(&mut self) {
        self.any_received = true;
    }

    /// Records an acknowledgement. Only the first one after each probe lowers the score.
    pub(crate) fn record_ack(&mut self) {
        if self.probe_pending {
            self.probe_pending = false;
            self.score = self.score.saturating_sub(1);
        }
    }
}
