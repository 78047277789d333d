//! Lifeguard's local health: how far this process trusts its own judgement of others.

/// Highest score: timeouts are stretched to this many and one times their length (Lifeguard's
/// bound).
const MAX_SCORE: u32 = 8;

/// The score of this process. A process that is slow, or receives nothing, is more likely at fault
/// itself than all the others are, so it probes less often and gives suspected members more time.
#[derive(Debug, Default)]
pub(crate) struct LocalHealth {
    score: u32,
    /// A probe was sent and not acknowledged.
    probe_pending: bool,
    /// Any datagram was received since the last probe was sent.
    any_received: bool,
}

impl LocalHealth {
    /// The score: 0 is healthy, [`MAX_SCORE`] the worst.
    pub(crate) fn score(&self) -> u32 {
        self.score
    }

    /// What probe intervals and suspicion timeouts are multiplied by.
    pub(crate) fn multiplier(&self) -> f64 {
        f64::from(1 + self.score)
    }

    /// Raises the score, up to [`MAX_SCORE`].
    pub(crate) fn penalize(&mut self, by: u32) {
        self.score = (self.score + by).min(MAX_SCORE);
    }

    /// Records that the next probe goes out. If nothing at all was received since the last one,
    /// that one counts against this process.
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

    /// Records that a probe was acknowledged: the first acknowledgement of each lowers the score.
    pub(crate) fn record_ack(&mut self) {
        if self.probe_pending {
            self.probe_pending = false;
            self.score = self.score.saturating_sub(1);
        }
    }
}
