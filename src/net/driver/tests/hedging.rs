//! Hedged requests: their deadlines, how they end, and which requests are not hedged.

use super::fixture::{
    advance, incoming, retained, run, settings, start_driver, IDEMPOTENT, NON_IDEMPOTENT,
    TIMER_GRANULARITY,
};
use super::scripted_backends::{ScriptedAttempt, ScriptedBackends};
use crate::net::downstream::connections::RequestHandler;
use crate::net::messages::Answer;
use cometspool::{Millis, Outcome};

/// How a first attempt and its hedged request go.
struct HedgingCase {
    /// How the hedged request ends, 50 ms after it was sent.
    hedged_outcome: Outcome,
    /// How long the first attempt takes, in milliseconds.
    first_duration: Millis,
    /// When the client is served after it has sent the request, in milliseconds.
    served_after: Millis,
}

/// Guards hedged requests: a hedged request has the same deadline as the first attempt. If the hedged request fails,
/// the first attempt continues and its response is served. If the hedged request succeeds, the first attempt is
/// cancelled at once.
#[test]
fn a_hedged_request_shares_the_deadline_and_its_failure_leaves_the_first_attempt_running() {
    run_hedging_case(HedgingCase {
        hedged_outcome: Outcome::Error,
        first_duration: 900.0,
        served_after: 900.0,
    });
    run_hedging_case(HedgingCase {
        hedged_outcome: Outcome::Ok,
        first_duration: ScriptedAttempt::HANGS.duration,
        served_after: 530.0,
    });
}

fn run_hedging_case(case: HedgingCase) {
    // Twenty successful responses let the policy learn the expected latency; the next attempt is a slow one.
    let mut script = vec![ScriptedAttempt::SUCCEEDS; 20];
    script.push(ScriptedAttempt {
        duration: case.first_duration,
        ..ScriptedAttempt::HANGS
    });
    script.push(ScriptedAttempt {
        duration: 50.0,
        is_fully_written: true,
        outcome: case.hedged_outcome,
    });
    run(check_hedging_case(case, &script));
}

async fn check_hedging_case(case: HedgingCase, script: &[ScriptedAttempt]) {
    let outcome = case.hedged_outcome;
    let backends = ScriptedBackends::scripted(script);
    let driver = start_driver(settings(true), 1, 2, &backends);
    for i in 0..20 {
        let request = incoming(&driver, &format!("u-{i}"), IDEMPOTENT, 3.0);
        let (_, answer) = driver.submit(request).expect("accepted");
        assert!(matches!(answer.await, Ok(Answer::Served(_))));
        advance(100.0).await;
    }
    let began_at = driver.context.clock.now();
    let request = incoming(&driver, "hedged", IDEMPOTENT, 3.0);
    let (_, answer) = driver.submit(request).expect("accepted");
    assert!(matches!(answer.await, Ok(Answer::Served(_))), "{outcome:?}");
    let latency = driver.context.clock.now() - began_at;
    assert!(
        (latency - case.served_after).abs() < 40.0,
        "{outcome:?}: served after {latency}"
    );
    advance(10.0).await;

    let attempts = &backends.borrow().attempts;
    let [first, hedged] = &attempts[20..] else {
        panic!("{:?}", &attempts[20..])
    };
    assert_ne!(first.backend, hedged.backend);
    assert_eq!(
        hedged.deadline.end(),
        first.deadline.end(),
        "the hedged request has another deadline than the first attempt"
    );
    // The attempt whose response was not served ended at the latest with the answer, not at its deadline.
    let answered_at = began_at + latency + TIMER_GRANULARITY;
    assert!([first, hedged]
        .iter()
        .all(|attempt| attempt.ended_at.is_some_and(|end| end <= answered_at)));
    assert_eq!(retained(&driver).requests, 0);
}

/// Guards non-idempotent requests against hedging, and all requests if the settings do not permit hedging: while an
/// attempt hangs, no second one is in flight.
#[test]
fn a_request_is_not_hedged_if_it_is_non_idempotent_or_hedging_is_off() {
    for (class, hedging) in [(NON_IDEMPOTENT, true), (IDEMPOTENT, false)] {
        let backends = ScriptedBackends::scripted(&[ScriptedAttempt::HANGS]);
        run(async {
            let driver = start_driver(settings(hedging), 1, 2, &backends);
            let request = incoming(&driver, "hangs", class, 3.0);
            let (_, answer) = driver.submit(request).expect("accepted");
            let answer = answer.await.expect("an answer");
            assert!(!matches!(answer, Answer::Rejected(_)) || class == IDEMPOTENT);
            let attempts = &backends.borrow().attempts;
            let began_in_time = attempts
                .iter()
                .filter(|attempt| attempt.began_at < attempt.deadline.end())
                .count();
            assert!(
                attempts.len() == 1 || class == IDEMPOTENT,
                "a non-idempotent request was sent {began_in_time} times"
            );
            let overlap = attempts.windows(2).any(|pair| {
                pair[0]
                    .ended_at
                    .is_none_or(|ended_at| ended_at > pair[1].began_at)
            });
            assert!(!overlap, "two attempts in flight at once");
        });
    }
}
