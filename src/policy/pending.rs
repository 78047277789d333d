//! Pending requests and their attempts.

use crate::policy_api::*;

/// An attempt in flight, or one that has ended and may have executed.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    /// Index of the attempt within the request, from 0.
    pub index: u32,
    pub backend: BackendId,
    /// When the attempt was sent, ms.
    pub sent_at: Millis,
    /// Zone of the backend when the attempt was sent.
    pub zone: ZoneId,
    /// Cell of the backend when the attempt was sent.
    pub cell: CellId,
}

/// A request without a final answer, or with a final answer and attempts that are still in flight.
#[derive(Clone)]
pub(super) struct PendingRequest {
    pub request: Request,
    /// When the request arrived, ms.
    pub arrived_at: Millis,
    /// Number of attempts sent so far.
    pub attempts_sent: u32,
    /// Attempts in flight; two while the request is hedged.
    pub in_flight: Vec<Attempt>,
    /// Of the attempts that have ended and may have executed, the one that was sent first; `None` if there is none.
    pub first_executed: Option<Attempt>,
    /// Whether the streamed response has begun.
    pub stream_started: bool,
    /// Whether the client has its final answer or has disconnected; attempts may still be in flight.
    pub is_answered: bool,
    /// Whether the admission window has counted the request as slow.
    pub is_slow: bool,
}

impl PendingRequest {
    pub(super) fn new(request: Request, arrived_at: Millis) -> PendingRequest {
        PendingRequest {
            request,
            arrived_at,
            attempts_sent: 0,
            in_flight: Vec::new(),
            first_executed: None,
            stream_started: false,
            is_answered: false,
            is_slow: false,
        }
    }

    /// Whether no part of an answer has gone to the client yet.
    pub(super) fn is_unanswered(&self) -> bool {
        !self.is_answered && !self.stream_started
    }

    /// Removes an attempt that has ended. Returns `None` if it was not in flight.
    pub(super) fn remove_attempt(&mut self, completed: &AttemptCompleted) -> Option<Attempt> {
        let position = self.in_flight.iter().position(|attempt| {
            attempt.index == completed.attempt && attempt.backend == completed.backend
        })?;
        Some(self.in_flight.remove(position))
    }

    /// Records that an attempt that has ended may have executed.
    pub(super) fn record_execution(&mut self, attempt: Attempt) {
        let earlier = self
            .first_executed
            .filter(|first_executed| first_executed.sent_at <= attempt.sent_at);
        self.first_executed = earlier.or(Some(attempt));
    }
}
