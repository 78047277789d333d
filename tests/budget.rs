//! A request's time as the module sees it: what is begun in what is left, and how much is tried again.

mod common;
use cometspool::*;
use common::*;

fn open_plan() -> Plan {
    Plan {
        rate: 1e5,
        burst: 1e6,
        ..Plan::default()
    }
}

/// A gateway that has had 60 answers of each class after `took`, with four backends.
fn taught(settings: Settings, took: f64) -> (Stage, f64) {
    let mut stage = Stage::new(settings, (0..4).map(|id| ready(id, 0)).collect());
    let mut now = 0.0;
    for i in 0..180u32 {
        now = f64::from(i) * 500.0;
        let at = stage
            .arrive(now, request(i, (i % 3) as usize, now))
            .expect("a calm gateway sends");
        stage.play(
            now + took,
            Event::AttemptCompleted(AttemptCompleted {
                elapsed: took,
                ..settled(i, 0, at, Outcome::Ok)
            }),
        );
    }
    (stage, now + 500.0)
}

/// Guards backends against work for nobody: what failed is tried again only where another attempt can still end in time,
/// by the time that answers of its class take.
#[test]
fn a_further_attempt_is_begun_only_where_it_can_end_in_time() {
    for (after, again) in [(300.0, true), (700.0, true), (900.0, false), (990.0, false)] {
        let (mut stage, now) = taught(settings(open_plan(), 1), 150.0);
        let at = stage.arrive(now, request(900, 0, now)).expect("sent");
        stage.play(
            now + after,
            Event::AttemptCompleted(AttemptCompleted {
                elapsed: after,
                ..settled(900, 0, at, Outcome::Error)
            }),
        );
        assert_eq!(
            stage.sent().is_some(),
            again,
            "after {after} of an aim of a second"
        );
        assert_eq!(
            stage
                .actions
                .iter()
                .any(|a| matches!(a, Action::Reject { .. })),
            !again
        );
    }
}

/// Guards the same for first attempts: what waited unread for most of its aim is not sent on, and what waited a little is.
#[test]
fn what_waited_unread_is_begun_only_where_it_can_end_in_time() {
    for (waited, sent) in [(0.0, true), (600.0, true), (900.0, false), (5000.0, false)] {
        let (mut stage, now) = taught(settings(open_plan(), 1), 150.0);
        let asked = Request {
            queued_for: waited,
            ..request(900, 0, now)
        };
        assert_eq!(
            stage.arrive(now, asked).is_some(),
            sent,
            "after {waited} of an aim of a second"
        );
    }
    // What makes no sense is no wait.
    let (mut stage, now) = taught(settings(open_plan(), 1), 150.0);
    for (id, waited) in [(900, f64::NAN), (901, -1e9), (902, f64::NEG_INFINITY)] {
        assert!(
            stage
                .arrive(
                    now,
                    Request {
                        queued_for: waited,
                        ..request(id, 0, now)
                    }
                )
                .is_some(),
            "{waited}"
        );
    }
}

/// Guards admission against the front door's own pauses: that requests waited here says nothing of queues at backends, so
/// as many are let in afterwards as before. (Counted as slow answers, they brought the opening down.)
#[test]
fn a_pause_here_is_not_felt_as_slow_backends() {
    let (mut stage, start) = taught(settings(open_plan(), 100), 100.0);
    let mut sent = 0;
    for i in 0..200u32 {
        let now = start + f64::from(i) * 100.0;
        let asked = Request {
            queued_for: 500.0,
            customer: CustomerId(u64::from(i)),
            ..request(1000 + i, 0, now)
        };
        if let Some(at) = stage.arrive(now, asked) {
            sent += 1;
            let end = AttemptCompleted {
                elapsed: 100.0,
                ..settled(1000 + i, 0, at, Outcome::Ok)
            };
            stage.play(now + 99.0, Event::AttemptCompleted(end));
        }
    }
    assert_eq!(sent, 200);
}

/// Guards an outage against being made worse: however long everything fails, further attempts stay a share of the first
/// ones, beyond a few saved up; each gateway does so alone, so the fleet does.
#[test]
fn further_attempts_stay_a_share_of_first_ones_through_an_outage() {
    for outcome in [
        Outcome::Error,
        Outcome::Rejected,
        Outcome::ConnectFailed,
        Outcome::Reset,
    ] {
        let mut stage = Stage::new(
            settings(open_plan(), 1),
            (0..8).map(|id| ready(id, 0)).collect(),
        );
        let (mut firsts, mut sends) = (0u32, 0u32);
        for i in 0..4000u32 {
            let now = f64::from(i) * 20.0;
            let Some(mut at) = stage.arrive(now, request(i, 0, now)) else {
                continue;
            };
            firsts += 1;
            for attempt in 0.. {
                sends += 1;
                stage.play(
                    now + 1.0,
                    Event::AttemptCompleted(settled(i, attempt, at, outcome)),
                );
                let Some(next) = stage.sent() else { break };
                at = next;
            }
        }
        assert!(firsts > 500, "{outcome:?}: only {firsts} were let in");
        let most = f64::from(firsts) * 1.2 + 10.0;
        assert!(
            f64::from(sends) <= most,
            "{outcome:?}: {sends} sends for {firsts} first attempts"
        );
        assert!(sends > firsts, "{outcome:?}: nothing was tried again");
    }
}

/// Guards a planned stop: once the module knows of it, what arrives is refused with the time at which it is over, inside
/// what clients follow; what was out before goes on.
#[test]
fn a_stop_turns_away_with_a_time_and_leaves_the_rest() {
    let set = Settings {
        retry_after: true,
        max_retry_after: 2000.0,
        ..settings(open_plan(), 1)
    };
    let (mut stage, now) = taught(set, 100.0);
    let at = stage.arrive(now, request(900, 0, now)).expect("sent");
    stage.play(now + 1.0, Event::ShutdownStarted(now + 1500.0));
    for (id, then, wait) in [(901, 100.0, 1400.0), (902, 1600.0, 0.0)] {
        stage.play(
            now + then,
            Event::RequestArrived(request(id, 0, now + then)),
        );
        let refused = Action::Reject {
            request: RequestId(id),
            retry_after: Some(wait),
            reason: RejectReason::ShuttingDown,
        };
        assert_eq!(stage.actions, [refused]);
    }
    stage.settle(now + 200.0, 900, 0, at, Outcome::Error);
    assert!(stage.sent().is_some(), "what was out may be tried again");
}

/// Whether nothing was sent, called off or answered: dead connections may be closed.
fn nothing_said(stage: &Stage) -> bool {
    stage
        .actions
        .iter()
        .all(|action| matches!(action, Action::CloseIdleConnections(_)))
}

/// A gateway whose first attempt of request 900, sent to the first backend, has hung until its alarm.
fn hung(class: usize, copies: bool) -> (Stage, f64, BackendId, Option<TimerId>) {
    let set = Settings {
        hedging: copies,
        cancellation: true,
        ..settings(open_plan(), 1)
    };
    let (mut stage, now) = taught(set, 20.0);
    let at = stage.arrive(now, request(900, class, now)).expect("sent");
    let mut alarms = stage
        .actions
        .iter()
        .rev()
        .filter_map(|action| match action {
            Action::SetTimer { timer: alarm, .. } if alarm.0 > u64::from(u32::MAX) => Some(*alarm),
            _ => None,
        });
    let alarm = alarms.next();
    (stage, now, at, alarm)
}

/// Guards second copies: one for what may be repeated, at another backend, and never a third at a time; nothing for what
/// must not run twice or where the settings permit none.
#[test]
fn a_second_copy_goes_to_another_backend_and_only_where_it_may() {
    let (mut stage, now, first, alarm) = hung(0, true);
    let alarm = alarm.expect("an alarm for a copy");
    stage.play(now + 400.0, Event::TimerFired(alarm));
    let copy = stage.sent().expect("a copy");
    assert_ne!(first, copy);
    stage.play(now + 401.0, Event::TimerFired(alarm));
    assert_eq!(stage.sent(), None, "a third copy");
    // The copy fails: the first is whole and nothing is said; then the first answers.
    stage.settle(now + 450.0, 900, 1, copy, Outcome::Reset);
    assert!(nothing_said(&stage));
    stage.settle(now + 500.0, 900, 0, first, Outcome::Ok);
    assert!(!stage.actions.iter().any(|a| matches!(
        a,
        Action::Reject { .. } | Action::Fail(_) | Action::Send { .. }
    )));
    for (class, copies) in [(2, true), (0, false)] {
        assert_eq!(
            hung(class, copies).3,
            None,
            "class {class}, copies {copies}"
        );
    }
}

/// Guards backends against work for nobody: the answer of one copy calls the other off, once.
#[test]
fn the_answer_of_one_copy_calls_the_other_off() {
    for (winner, loser) in [(0, 1), (1, 0)] {
        let (mut stage, now, first, alarm) = hung(0, true);
        stage.play(
            now + 400.0,
            Event::TimerFired(alarm.expect("an alarm for a copy")),
        );
        let at = [first, stage.sent().expect("a copy")];
        stage.settle(now + 450.0, 900, winner, at[winner as usize], Outcome::Ok);
        let off = Action::CancelAttempt {
            request: RequestId(900),
            attempt: loser,
        };
        assert_eq!(
            stage
                .actions
                .iter()
                .filter(|action| **action == off)
                .count(),
            1
        );
        stage.settle(
            now + 450.0,
            900,
            loser,
            at[loser as usize],
            Outcome::Cancelled,
        );
        assert!(nothing_said(&stage));
    }
}

/// Guards clients: when both copies fail there is one final answer, and when the client leaves both are called off.
#[test]
fn two_copies_end_in_one_answer() {
    let (mut stage, now, first, alarm) = hung(0, true);
    stage.play(
        now + 400.0,
        Event::TimerFired(alarm.expect("an alarm for a copy")),
    );
    let copy = stage.sent().expect("a copy");
    stage.play(now + 450.0, Event::ClientDisconnected(RequestId(900)));
    let off = |attempt| Action::CancelAttempt {
        request: RequestId(900),
        attempt,
    };
    assert_eq!(stage.actions, [off(0), off(1)]);
    for (attempt, at) in [(0, first), (1, copy)] {
        stage.settle(now + 450.0, 900, attempt, at, Outcome::Cancelled);
        assert!(nothing_said(&stage));
    }
    let (mut stage, now, first, alarm) = hung(0, true);
    stage.play(
        now + 400.0,
        Event::TimerFired(alarm.expect("an alarm for a copy")),
    );
    let copy = stage.sent().expect("a copy");
    stage.settle(now + 990.0, 900, 0, first, Outcome::Reset);
    assert!(nothing_said(&stage));
    stage.settle(now + 995.0, 900, 1, copy, Outcome::Reset);
    assert_eq!(
        stage
            .actions
            .iter()
            .filter(|a| matches!(a, Action::Reject { .. }))
            .count(),
        1
    );
}

/// Guards an outage against copies as against any further attempt: they come out of the same budget of retries.
#[test]
fn second_copies_come_out_of_the_budget_of_retries() {
    let set = Settings {
        hedging: true,
        cancellation: true,
        ..settings(open_plan(), 1)
    };
    let (mut stage, start) = taught(set, 20.0);
    let mut copies = 0;
    for i in 0..200u32 {
        let (id, now) = (1000 + i, start + f64::from(i) * 1000.0);
        let Some(first) = stage.arrive(now, request(id, 0, now)) else {
            continue;
        };
        let alarm = stage.actions.iter().rev().find_map(|action| match action {
            Action::SetTimer { timer: alarm, .. } if alarm.0 > u64::from(u32::MAX) => Some(*alarm),
            _ => None,
        });
        stage.play(
            now + 400.0,
            Event::TimerFired(alarm.unwrap_or(TimerId(1 << 40))),
        );
        if let Some(copy) = stage.sent() {
            copies += 1;
            stage.settle(now + 410.0, id, 1, copy, Outcome::Ok);
            stage.settle(now + 410.0, id, 0, first, Outcome::Cancelled);
        } else {
            stage.settle(now + 410.0, id, 0, first, Outcome::Ok);
        }
    }
    assert!(
        (10..=50).contains(&copies),
        "{copies} copies of 200 first attempts"
    );
}
