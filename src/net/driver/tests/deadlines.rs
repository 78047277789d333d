//! Deadlines of requests that lay unread for some time, and of requests during a graceful shutdown.

use super::fixture::{
    advance, incoming, retained, run, settings, start_driver, IDEMPOTENT, MAX_DEADLINE,
    NON_IDEMPOTENT, TIMER_GRANULARITY,
};
use super::scripted_backends::{ScriptedAttempt, ScriptedBackends};
use crate::net::downstream::connections::RequestHandler;
use crate::net::driver::requests::FINAL_WRITE_MARGIN;
use crate::net::driver::Driver;
use crate::net::messages::{Answer, IncomingRequest};
use crate::net::runtime::budget::Budget;
use cometspool::Millis;

/// A non-idempotent request with a timeout of one second that was received `ms` milliseconds ago.
fn unread_request(driver: &Driver, id: &str, ms: Millis) -> IncomingRequest {
    let mut request = incoming(driver, id, NON_IDEMPOTENT, 3.0);
    request.received_at -= ms;
    request.budget = Budget::from_header("1", request.received_at, MAX_DEADLINE).expect("a time");
    request
}

/// Guards clients whose requests lay unread while the process was stalled: the stall counts against the request's
/// budget. A request whose client has stopped waiting by then is answered at once and sent to no backend.
#[test]
fn time_spent_unread_counts_against_the_deadline() {
    let backends = ScriptedBackends::scripted(&[ScriptedAttempt::HANGS, ScriptedAttempt::HANGS]);
    run(async {
        let driver = start_driver(settings(false), 1, 2, &backends);
        let late = unread_request(&driver, "late", 500.0);
        let end = late.budget.end();
        let (_, answer) = driver.submit(late).expect("accepted");
        assert!(matches!(answer.await, Ok(Answer::Failed)));
        assert!(driver.context.clock.now() <= end + TIMER_GRANULARITY);
        assert!(backends
            .borrow()
            .attempts
            .iter()
            .all(|attempt| attempt.deadline.end() <= end));

        let sent = backends.borrow().attempts.len();
        let expired = unread_request(&driver, "expired", 1500.0);
        let submitted_at = driver.context.clock.now();
        let (_, answer) = driver.submit(expired).expect("accepted");
        assert!(matches!(answer.await, Ok(Answer::Failed)));
        assert_eq!(driver.context.clock.now(), submitted_at);
        assert_eq!(backends.borrow().attempts.len(), sent);
        assert_eq!(retained(&driver).requests, 0);
    });
}

/// Guards a graceful shutdown: pending requests are answered by their own deadlines and by the end of the shutdown.
/// New requests early in the shutdown get the same limit; later ones are rejected with the time after which to retry.
#[test]
fn a_graceful_shutdown_caps_budgets_and_then_rejects_new_requests() {
    let backends = ScriptedBackends::scripted(&[ScriptedAttempt::HANGS, ScriptedAttempt::HANGS]);
    run(async {
        let driver = start_driver(settings(false), 1, 3, &backends);
        let before = incoming(&driver, "before", NON_IDEMPOTENT, 3.0);
        let (_, before) = driver.submit(before).expect("accepted");
        let end = driver.context.clock.now() + 700.0;
        driver.begin_shutdown(end);
        let early = incoming(&driver, "early", NON_IDEMPOTENT, 3.0);
        let (_, early) = driver.submit(early).expect("accepted");
        advance(100.0).await;
        driver.reject_new_requests();
        let late = incoming(&driver, "late", IDEMPOTENT, 3.0);
        let (_, late) = driver.submit(late).expect("accepted");
        match late.await {
            Ok(Answer::Rejected(Some(wait))) => assert!(wait > 0.0 && wait <= 600.0, "{wait}"),
            other => panic!("{other:?}"),
        }
        assert_eq!(
            backends.borrow().attempts.len(),
            2,
            "a request was forwarded although new ones are rejected"
        );
        for answer in [before, early] {
            assert!(matches!(answer.await, Ok(Answer::Failed)));
            let latest = end - FINAL_WRITE_MARGIN + TIMER_GRANULARITY;
            assert!(driver.context.clock.now() <= latest);
        }
        advance(10.0).await;
        assert!(backends
            .borrow()
            .attempts
            .iter()
            .all(|attempt| attempt.ended_at.is_some()));
        assert_eq!(retained(&driver).requests, 0);
    });
}
