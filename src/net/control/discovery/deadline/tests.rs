//! Unit tests of `deadline.rs`.

use super::*;
use crate::net::control::backoff::Backoff;

/// Longest pause after a failed call, by which these chains are calculated.
const SHORT_PAUSE: Duration = Duration::from_millis(200);
/// Everything but the margin.
const WITHOUT_MARGIN: Duration = Duration::from_millis(5_750);

async fn after(time: Duration) -> Instant {
    tokio::time::advance(time).await;
    Instant::now()
}

/// Guards the time in which a change takes effect after a rejected call, however long the call waited and however large the
/// fleet is: with the longest pause and the longest response, what discovery had when the call began is known within the
/// deadline less its margin.
#[tokio::test(start_paused = true)]
async fn a_rejected_call_its_pause_and_a_response_stay_within_the_update_deadline() {
    for gateways in [1, 30, 100, 300, 790, 100_000] {
        let mut backoff = Backoff::new(gateways, 5);
        let mut deadline = Deadline::default();
        for waited in (0..=14)
            .cycle()
            .map(|tenths| RESPONSE_TIMEOUT * tenths / 14)
            .take(150)
        {
            let started_at = Instant::now();
            after(waited).await;
            let max_pause = deadline.call_ended(started_at, WatchEnd::Rejected);
            let pause = backoff.after_rejection(max_pause);
            after(pause).await;
            let answered = after(deadline.response_timeout()).await;
            assert!(
                answered - started_at <= WITHOUT_MARGIN,
                "{gateways}: {waited:?} and {pause:?}"
            );
        }
    }
}

/// Guards the time in which a change takes effect after calls that hang, however many: a call, the pause and the
/// slowest response that is waited for.
#[tokio::test(start_paused = true)]
async fn a_call_that_times_out_its_pause_and_a_response_stay_within_the_update_deadline() {
    let mut deadline = Deadline::default();
    for _ in 0..5 {
        let started_at = Instant::now();
        after(deadline.response_timeout()).await;
        deadline.call_ended(started_at, WatchEnd::TimedOut);
        after(SHORT_PAUSE).await;
        let answered = Instant::now() + deadline.response_timeout();
        assert!(
            answered - started_at < UPDATE_DEADLINE,
            "{:?}",
            answered - started_at
        );
    }
    // A slow service gets more time; one that answers has no more than at first.
    assert_eq!(deadline.response_timeout(), SLOW_RESPONSE_TIMEOUT);
    deadline.call_ended(Instant::now(), WatchEnd::Rejected);
    assert_eq!(deadline.response_timeout(), RESPONSE_TIMEOUT);
}

/// Guards the time in which a change takes effect after a silent watch: with a response to the next call, and
/// with a rejected one between.
#[tokio::test(start_paused = true)]
async fn a_silent_watch_and_the_calls_after_it_stay_within_the_update_deadline() {
    let silent = Instant::now();
    let mut deadline = Deadline::default();
    after(SILENCE_TIMEOUT).await;
    deadline.call_ended(silent, WatchEnd::Silent);
    let started_at = after(SHORT_PAUSE).await;
    assert!(started_at + deadline.response_timeout() - silent < UPDATE_DEADLINE);
    let max_pause = deadline.call_ended(started_at, WatchEnd::Rejected);
    let pause = Backoff::new(790, 5).after_rejection(max_pause);
    assert!(
        started_at + pause - silent <= WITHOUT_MARGIN - SAFETY_MARGIN,
        "{pause:?}"
    );
    // What is rejected from now on counts from its own start: the pauses grow again.
    assert_eq!(
        deadline.call_ended(started_at, WatchEnd::Rejected),
        MAX_BACKOFF
    );
}

/// Guards the time in which a change takes effect after a new configuration: it is shorter.
#[tokio::test(start_paused = true)]
async fn a_rejected_call_after_a_change_of_address_is_retried_sooner() {
    let mut deadline = Deadline::default();
    deadline.address_changed();
    let max_pause = deadline.call_ended(Instant::now(), WatchEnd::Rejected);
    assert!(
        max_pause + deadline.response_timeout() < UPDATE_DEADLINE_AFTER_MOVE,
        "{max_pause:?}"
    );
}
