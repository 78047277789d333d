//! The invariants that are checked after every schedule.

use super::{wire_id, ClientEnd, ClientRecord, CLASSES, REQUESTS};
use crate::net::driver::tests::fixture::{NON_IDEMPOTENT, TIMER_GRANULARITY};
use crate::net::driver::tests::scripted_backends::RecordedAttempt;

/// Checks that each client that stayed connected was answered by its deadline.
pub(super) fn check_answers(clients: &[ClientRecord]) {
    assert_eq!(clients.len(), REQUESTS);
    for client in clients {
        match client.end.as_ref().expect("the end of each client's wait") {
            ClientEnd::Answered(at) => assert!(
                *at <= client.deadline + TIMER_GRANULARITY,
                "answered {:.3} ms after the deadline",
                at - client.deadline
            ),
            ClientEnd::Disconnected => {}
        }
    }
}

/// Checks that an attempt ends by its deadline, and that its request has at most one other attempt in flight when it
/// begins: one at another backend, and only if hedging is permitted.
pub(super) fn check_attempt(attempt: &RecordedAttempt, all: &[RecordedAttempt], hedging: bool) {
    let ended_at = attempt.ended_at.expect("the end of each attempt");
    assert!(
        ended_at <= attempt.deadline.end() + TIMER_GRANULARITY,
        "attempt ended {:.3} ms after its deadline",
        ended_at - attempt.deadline.end()
    );
    let in_flight: Vec<&RecordedAttempt> = all
        .iter()
        .filter(|other| other.request == attempt.request)
        .filter(|other| other.began_at <= attempt.began_at)
        .filter(|other| other.ended_at.is_some_and(|end| end > attempt.began_at))
        .collect();
    let max_in_flight = if hedging { 2 } else { 1 };
    assert!(
        in_flight.len() <= max_in_flight,
        "{} attempts of one request in flight at once",
        in_flight.len()
    );
    assert!(
        in_flight.len() < 2 || in_flight[0].backend != in_flight[1].backend,
        "two attempts of one request in flight at one backend"
    );
}

/// Checks that no non-idempotent request may have run more than once.
pub(super) fn check_non_idempotent_requests(attempts: &[RecordedAttempt]) {
    for index in (0..REQUESTS).filter(|index| index % CLASSES == NON_IDEMPOTENT) {
        let id = wire_id(index);
        let ran = attempts
            .iter()
            .filter(|attempt| *attempt.request == *id && !attempt.never_ran)
            .count();
        assert!(ran <= 1, "{id} may have run {ran} times");
    }
}
