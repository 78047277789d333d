//! Unit tests of `deadline.rs`.

use super::*;
use crate::net::control::backoff::Backoff;

/// Longest pause after a call that was lost, by which these chains are reckoned.
const SHORT_PAUSE: Duration = Duration::from_millis(200);
/// Everything but the margin.
const RECKONED: Duration = Duration::from_millis(5_750);

async fn after(time: Duration) -> Instant {
    tokio::time::advance(time).await;
    Instant::now()
}

/// Guards the time of the list after a refused call, however long it waited and however large the fleet is: with the longest
/// pause and the longest answer, what discovery had when the call began is known within the time less its margin.
#[tokio::test(start_paused = true)]
async fn a_refused_call_its_pause_and_an_answer_stay_within_the_time() {
    for gateways in [1, 30, 100, 300, 790, 100_000] {
        let mut backoff = Backoff::new(gateways, 5);
        let mut deadline = Deadline::default();
        for waited in (0..=14)
            .cycle()
            .map(|tenths| ANSWER * tenths / 14)
            .take(150)
        {
            let begun = Instant::now();
            after(waited).await;
            let longest = deadline.ended(begun, WatchEnd::Refused);
            let pause = backoff.after_rejection(longest);
            after(pause).await;
            let answered = after(deadline.patience()).await;
            assert!(
                answered - begun <= RECKONED,
                "{gateways}: {waited:?} and {pause:?}"
            );
        }
    }
}

/// Guards the time of the list after calls that hang, however many: a call, the pause and the slowest answer that is
/// waited for.
#[tokio::test(start_paused = true)]
async fn a_hung_call_its_pause_and_an_answer_stay_within_the_time() {
    let mut deadline = Deadline::default();
    for _ in 0..5 {
        let begun = Instant::now();
        after(deadline.patience()).await;
        deadline.ended(begun, WatchEnd::Unanswered);
        after(SHORT_PAUSE).await;
        let answered = Instant::now() + deadline.patience();
        assert!(answered - begun < IN_FORCE, "{:?}", answered - begun);
    }
    // A service that is slow is heard out; one that answers has no more time than at first.
    assert_eq!(deadline.patience(), SLOW_ANSWER);
    deadline.ended(Instant::now(), WatchEnd::Refused);
    assert_eq!(deadline.patience(), ANSWER);
}

/// Guards the time of the list after a silent watch: with an answer to the next call, and with a refused one between.
#[tokio::test(start_paused = true)]
async fn a_silent_watch_and_the_calls_after_it_stay_within_the_time() {
    let silent = Instant::now();
    let mut deadline = Deadline::default();
    after(SILENCE).await;
    deadline.ended(silent, WatchEnd::Silent);
    let begun = after(SHORT_PAUSE).await;
    assert!(begun + deadline.patience() - silent < IN_FORCE);
    let longest = deadline.ended(begun, WatchEnd::Refused);
    let pause = Backoff::new(790, 5).after_rejection(longest);
    assert!(begun + pause - silent <= RECKONED - MARGIN, "{pause:?}");
    // What is refused from now on counts from its own beginning: the pauses grow again.
    assert_eq!(deadline.ended(begun, WatchEnd::Refused), LONGEST_PAUSE);
}

/// Guards the time of the list after a new configuration, which is shorter.
#[tokio::test(start_paused = true)]
async fn a_refused_call_after_a_move_is_made_again_sooner() {
    let mut deadline = Deadline::default();
    deadline.moved();
    let longest = deadline.ended(Instant::now(), WatchEnd::Refused);
    assert!(
        longest + deadline.patience() < IN_FORCE_ELSEWHERE,
        "{longest:?}"
    );
}
