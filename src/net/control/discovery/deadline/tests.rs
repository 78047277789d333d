//! Unit tests of `deadline.rs`.

use super::*;
use crate::net::control::backoff::Backoff;

/// The longest pause after a failed call, as the table in `deadline.rs` assumes it.
const SHORT_PAUSE: Duration = Duration::from_millis(200);
/// [`UPDATE_DEADLINE`] less [`SAFETY_MARGIN`].
const UPDATE_DEADLINE_LESS_MARGIN: Duration = Duration::from_millis(5_750);

/// Advances the paused clock by `time` and returns the new time.
async fn advance(time: Duration) -> Instant {
    tokio::time::advance(time).await;
    Instant::now()
}

/// Guards against a change that takes effect too late after a rejected call, however long the call waited and however
/// large the fleet is. With the longest pause and the slowest response, everything that discovery had when the call
/// began is known within the update deadline less its margin.
#[tokio::test(start_paused = true)]
async fn a_rejected_call_its_pause_and_a_response_stay_within_the_update_deadline() {
    for gateways in [1, 30, 100, 300, 790, 100_000] {
        let mut backoff = Backoff::new(gateways, 5);
        let mut deadline = UpdateDeadline::default();
        for waited in (0..=14)
            .cycle()
            .map(|tenths| RESPONSE_TIMEOUT * tenths / 14)
            .take(150)
        {
            let started_at = Instant::now();
            advance(waited).await;
            let max_pause = deadline.call_ended(started_at, WatchEnd::Rejected);
            let pause = backoff.after_rejection(max_pause);
            advance(pause).await;
            let answered = advance(deadline.response_timeout()).await;
            assert!(
                answered - started_at <= UPDATE_DEADLINE_LESS_MARGIN,
                "{gateways}: {waited:?} and {pause:?}"
            );
        }
    }
}

/// Guards against a change that takes effect too late after any number of calls that time out: a call, the pause
/// after it and the slowest accepted response stay within the update deadline.
#[tokio::test(start_paused = true)]
async fn a_call_that_times_out_its_pause_and_a_response_stay_within_the_update_deadline() {
    let mut deadline = UpdateDeadline::default();
    for _ in 0..5 {
        let started_at = Instant::now();
        advance(deadline.response_timeout()).await;
        deadline.call_ended(started_at, WatchEnd::TimedOut);
        advance(SHORT_PAUSE).await;
        let answered = Instant::now() + deadline.response_timeout();
        assert!(
            answered - started_at < UPDATE_DEADLINE,
            "{:?}",
            answered - started_at
        );
    }
    // The longer timeout applies only after a call that timed out: a service that answers gets the first timeout
    // again.
    assert_eq!(deadline.response_timeout(), SLOW_RESPONSE_TIMEOUT);
    deadline.call_ended(Instant::now(), WatchEnd::Rejected);
    assert_eq!(deadline.response_timeout(), RESPONSE_TIMEOUT);
}

/// Guards against a change that takes effect too late after a silent watch, both if the next call is answered and if
/// it is rejected first.
#[tokio::test(start_paused = true)]
async fn a_silent_watch_and_the_calls_after_it_stay_within_the_update_deadline() {
    let silent = Instant::now();
    let mut deadline = UpdateDeadline::default();
    advance(SILENCE_TIMEOUT).await;
    deadline.call_ended(silent, WatchEnd::Silent);
    let started_at = advance(SHORT_PAUSE).await;
    assert!(started_at + deadline.response_timeout() - silent < UPDATE_DEADLINE);
    let max_pause = deadline.call_ended(started_at, WatchEnd::Rejected);
    let pause = Backoff::new(790, 5).after_rejection(max_pause);
    assert!(
        started_at + pause - silent <= UPDATE_DEADLINE_LESS_MARGIN - SAFETY_MARGIN,
        "{pause:?}"
    );
    // The deadline of a further rejected call counts from the start of that call, so that the pauses may grow again.
    assert_eq!(
        deadline.call_ended(started_at, WatchEnd::Rejected),
        MAX_BACKOFF
    );
}

/// Guards against a change that takes effect too late after a reload, for which the update deadline is shorter.
#[tokio::test(start_paused = true)]
async fn a_rejected_call_after_a_change_of_address_is_retried_sooner() {
    let mut deadline = UpdateDeadline::default();
    deadline.address_changed();
    let max_pause = deadline.call_ended(Instant::now(), WatchEnd::Rejected);
    assert!(
        max_pause + deadline.response_timeout() < UPDATE_DEADLINE_AFTER_ADDRESS_CHANGE,
        "{max_pause:?}"
    );
}
