//! Requests that the gateway is working on, and their attempts.

use crate::policy_api::*;

/// An attempt in flight.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    /// Index within the request, from 0.
    pub index: u32,
    pub backend: BackendId,
    /// When it was sent, ms.
    pub sent_at: Millis,
    /// Zone of the backend at that time.
    pub zone: ZoneId,
    /// Cell of the backend at that time.
    pub cell: CellId,
}

/// A request that has no final answer yet, or whose last attempt is still in flight.
#[derive(Clone)]
pub(super) struct PendingRequest {
    pub request: Request,
    /// When it arrived, ms.
    pub arrived_at: Millis,
    /// Number of attempts sent so far.
    pub attempts_sent: u32,
    /// Attempts in flight: two while it is hedged.
    pub in_flight: Vec<Attempt>,
    /// Of the attempts that ended and may have executed, the one sent first.
    pub executed: Option<Attempt>,
    /// Whether its streamed response has begun.
    pub stream_started: bool,
    /// Whether the client has its final answer, whatever is still in flight.
    pub is_answered: bool,
    /// Whether it has been counted as slow.
    pub is_slow: bool,
}

impl PendingRequest {
    pub(super) fn new(request: Request, arrived_at: Millis) -> PendingRequest {
        PendingRequest {
            request,
            arrived_at,
            attempts_sent: 0,
            in_flight: Vec::new(),
            executed: None,
            stream_started: false,
            is_answered: false,
            is_slow: false,
        }
    }

    /// Whether no part of an answer has gone to the client yet.
    pub(super) fn is_unanswered(&self) -> bool {
        !self.is_answered && !self.stream_started
    }

    /// Removes an attempt that ended; `None` if it was not in flight.
    pub(super) fn remove_attempt(&mut self, completed: &AttemptCompleted) -> Option<Attempt> {
        let position = self.in_flight.iter().position(|attempt| {
            attempt.index == completed.attempt && attempt.backend == completed.backend
        })?;
        Some(self.in_flight.remove(position))
    }

    /// Records that an attempt that ended may have executed.
    pub(super) fn record_execution(&mut self, attempt: Attempt) {
        let earlier = self
            .executed
            .filter(|executed| executed.sent_at <= attempt.sent_at);
        self.executed = earlier.or(Some(attempt));
    }
}
