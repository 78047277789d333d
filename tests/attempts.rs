//! Rules a gateway keeps alone: answers, repeats, drains and cold starts; and what it does when backends fail.

mod common;
use cometspool::*;
use common::*;
use std::collections::BTreeMap;

fn open_plan() -> Plan {
    Plan {
        rate: 1000.0,
        burst: 1000.0,
        ..Plan::default()
    }
}

fn answer(actions: &[Action]) -> &'static str {
    let mut words = actions.iter().filter_map(|a| match a {
        Action::Send { .. } => Some("send"),
        Action::Reject { .. } => Some("refuse"),
        Action::Fail(_) => Some("fail"),
        _ => None,
    });
    let first = words.next().unwrap_or("nothing");
    assert_eq!(words.next(), None, "one step only: {actions:?}");
    first
}

/// After one attempt has ended so: what follows for a safe, a keyed and an unsafe request.
#[test]
fn the_next_step_after_each_outcome_is_the_one_its_class_allows() {
    let table = [
        (Outcome::Ok, ["nothing", "nothing", "nothing"]),
        (Outcome::Rejected, ["send", "send", "send"]),
        (Outcome::ConnectFailed, ["send", "send", "send"]),
        (Outcome::NotSent, ["send", "send", "send"]),
        (Outcome::Error, ["send", "send", "fail"]),
        (Outcome::Timeout, ["send", "send", "fail"]),
        (Outcome::Reset, ["send", "send", "fail"]),
        (Outcome::Cancelled, ["send", "send", "fail"]),
    ];
    for (outcome, expected) in table {
        for (class, word) in expected.into_iter().enumerate() {
            let backends = (1..=4).map(|id| ready(id, 0)).collect();
            let mut stage = Stage::new(settings(open_plan(), 1), backends);
            let at = stage.arrive(1.0, request(1, class, 1.0)).unwrap();
            assert_eq!(
                answer(stage.settle(11.0, 1, 0, at, outcome)),
                word,
                "{outcome:?} of class {class}"
            );
        }
    }
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_group_and_its_time() {
    for group in [
        DeduplicationScope::All,
        DeduplicationScope::Zone,
        DeduplicationScope::Cell,
    ] {
        for late in [false, true] {
            let mut set = settings(open_plan(), 1);
            set.classes[1].idempotency = Idempotency::WithKey {
                scope: group,
                retention: 500.0,
            };
            // One backend in each zone and cell, so the group of the first attempt has no other member.
            let mut stage = Stage::new(set, vec![ready(1, 0), ready(2, 1)]);
            let at = stage.arrive(1.0, request(1, 1, 1.0)).unwrap();
            let now = if late { 601.0 } else { 101.0 };
            let end = AttemptCompleted {
                elapsed: now - 1.0,
                ..settled(1, 0, at, Outcome::Error)
            };
            stage.play(now, Event::AttemptCompleted(end));
            match (late, group) {
                (true, _) => assert_eq!(
                    answer(&stage.actions),
                    "fail",
                    "{group:?}: its key is forgotten"
                ),
                (false, DeduplicationScope::All) => assert_eq!(answer(&stage.actions), "send"),
                (false, _) => assert_eq!(stage.sent(), Some(at), "{group:?}"),
            }
        }
    }
}

#[test]
fn the_memory_counts_from_the_first_attempt_that_may_have_run() {
    let mut set = settings(open_plan(), 1);
    set.classes[1].idempotency = Idempotency::WithKey {
        scope: DeduplicationScope::All,
        retention: 500.0,
    };
    let mut stage = Stage::new(set, (1..=4).map(|id| ready(id, 0)).collect());
    let first = stage.arrive(1.0, request(1, 1, 1.0)).unwrap();
    stage.play(
        301.0,
        Event::AttemptCompleted(AttemptCompleted {
            elapsed: 300.0,
            ..settled(1, 0, first, Outcome::Error)
        }),
    );
    let second = stage.sent().unwrap();
    stage.play(
        551.0,
        Event::AttemptCompleted(AttemptCompleted {
            elapsed: 250.0,
            ..settled(1, 1, second, Outcome::Error)
        }),
    );
    assert_eq!(answer(&stage.actions), "fail");
}

#[test]
fn every_request_has_one_answer_before_its_client_leaves() {
    for class in 0..3 {
        let mut stage = Stage::new(
            Settings {
                cancellation: true,
                ..settings(open_plan(), 1)
            },
            vec![ready(1, 0)],
        );
        let asked = Request {
            deadline: 400.0,
            ..request(1, class, 1.0)
        };
        let at = stage.arrive(1.0, asked).unwrap();
        let alarm = stage.actions.iter().find_map(|a| match a {
            Action::SetTimer { at, timer } => Some((*at, *timer)),
            _ => None,
        });
        let (when, alarm) = alarm.unwrap();
        assert!(when < 400.0);
        let word = if class == 0 { "refuse" } else { "fail" };
        assert_eq!(answer(stage.play(when, Event::TimerFired(alarm))), word);
        assert!(stage.actions.contains(&Action::CancelAttempt {
            request: RequestId(1),
            attempt: 0
        }));
        // Nothing more is said of it, whatever still comes.
        assert_eq!(
            answer(stage.settle(when + 1.0, 1, 0, at, Outcome::Cancelled)),
            "nothing"
        );
        assert_eq!(
            answer(stage.play(when + 2.0, Event::TimerFired(alarm))),
            "nothing"
        );
        assert_eq!(
            answer(stage.play(when + 3.0, Event::ClientDisconnected(RequestId(1)))),
            "nothing"
        );
    }
}

#[test]
fn attempts_end_at_the_stated_number() {
    let mut stage = Stage::new(
        settings(open_plan(), 1),
        (1..=8).map(|id| ready(id, 0)).collect(),
    );
    let mut at = stage.arrive(1.0, request(1, 0, 1.0)).unwrap();
    for attempt in 0..3 {
        stage.settle(2.0 + f64::from(attempt), 1, attempt, at, Outcome::Rejected);
        at = stage.sent().unwrap();
    }
    assert_eq!(
        answer(stage.settle(9.0, 1, 3, at, Outcome::Rejected)),
        "refuse"
    );
}

#[test]
fn nothing_goes_to_a_backend_that_drains_or_is_gone() {
    for availability in [Availability::Draining, Availability::Removed] {
        let mut stage = Stage::new(settings(open_plan(), 1), vec![ready(1, 0), ready(2, 0)]);
        let leaving = BackendEntry {
            availability,
            ..ready(1, 0)
        };
        stage.play(
            1.0,
            Event::EndpointsChanged(ListKind::Changes, vec![leaving]),
        );
        for id in 0..2 {
            assert_eq!(stage.arrive(2.0, request(id, 0, 2.0)), Some(BackendId(2)));
        }
        // A further attempt does not go there either.
        stage.settle(3.0, 0, 0, BackendId(2), Outcome::Error);
        assert_eq!(stage.sent(), Some(BackendId(2)));
    }
    let mut stage = Stage::new(settings(open_plan(), 1), vec![ready(1, 0), ready(2, 0)]);
    stage.play(
        1.0,
        Event::EndpointsChanged(ListKind::Full, vec![ready(2, 0)]),
    );
    assert_eq!(stage.arrive(2.0, request(1, 0, 2.0)), Some(BackendId(2)));
}

#[test]
fn a_cold_backend_gets_no_more_than_its_share_and_no_early_burst() {
    let set = Settings {
        start_capacity: 0.2,
        warm_up: 10_000.0,
        ..settings(open_plan(), 1)
    };
    let mut stage = Stage::new(set, vec![ready(1, 0), ready(2, 0)]);
    let mut sent = [0; 4];
    for i in 0..4000u32 {
        let now = f64::from(i) * 5.0;
        if i == 2000 {
            let cold = BackendEntry {
                started_at: Some(now),
                ..ready(3, 0)
            };
            stage.play(now, Event::EndpointsChanged(ListKind::Changes, vec![cold]));
            sent = [0; 4];
        }
        if let Some(at) = stage.arrive(now, request(i, 0, now)) {
            sent[at.0 as usize] += 1;
            stage.settle(now + 1.0, i, 0, at, Outcome::Ok);
        }
        // Each warm one carries about 100 a second; the cold one has 0.2 of that growing to all in 10 s.
        let age = (now - 10_000.0) / 1000.0;
        if i > 2000 && age < 10.0 {
            let share = 100.0 * (0.2 * age + 0.04 * age * age) + 3.0;
            assert!(
                f64::from(sent[3]) <= share,
                "{} sent {age} s after the start",
                sent[3]
            );
        }
    }
    assert!(sent[3] > 100, "it is made use of: {}", sent[3]);
}

#[test]
fn a_hundred_gateways_together_do_not_crowd_a_cold_backend() {
    // Each sends 2 a second over 10 backends: a warm one gets 20 a second of all, a cold one 4 and slowly more.
    let set = Settings {
        start_capacity: 0.2,
        warm_up: 10_000.0,
        ..settings(open_plan(), 100)
    };
    let cold = BackendEntry {
        started_at: Some(20_000.0),
        ..ready(0, 0)
    };
    let (mut by_second, mut all) = ([0u32; 10], 0);
    for seed in 0..100u32 {
        let warm = (1..10).map(|id| ready(id, 0)).collect();
        let mut stage = Stage::seeded(set.clone(), u64::from(seed), warm);
        for i in 0..60u32 {
            let now = f64::from(i) * 500.0 + f64::from(seed) * 5.0;
            if i == 40 {
                stage.play(
                    20_000.0,
                    Event::EndpointsChanged(ListKind::Changes, vec![cold]),
                );
            }
            if let Some(at) = stage.arrive(now, request(i, 0, now)) {
                if at == cold.id {
                    by_second[((now - 20_000.0) / 1000.0) as usize] += 1;
                    all += 1;
                }
                stage.settle(now + 1.0, i, 0, at, Outcome::Ok);
            }
        }
    }
    for (second, sent) in (0..).zip(by_second) {
        let share = 20.0 * (0.2 + 0.08 * (f64::from(second) + 1.0));
        assert!(
            f64::from(sent) <= 1.8 * share,
            "{sent} in second {second}, {share} promised"
        );
    }
    assert!(all >= 40, "it is made use of: {all}");
}

#[test]
fn a_fleet_of_cold_backends_alone_is_still_made_use_of() {
    let cold = |id| BackendEntry {
        started_at: Some(0.0),
        ..ready(id, 0)
    };
    let mut stage = Stage::new(settings(open_plan(), 1), vec![cold(1), cold(2)]);
    let served = (0..100)
        .filter(|i| stage.serve(f64::from(*i) * 100.0, request(*i, 0, f64::from(*i) * 100.0)));
    assert!(served.count() > 10);
}

#[test]
fn a_backend_that_fails_fast_is_left_alone_and_tried_again_later() {
    let mut stage = Stage::new(
        settings(open_plan(), 1),
        (1..=3).map(|id| ready(id, 0)).collect(),
    );
    let mut to_bad = [0, 0];
    for i in 0..1500u32 {
        let now = f64::from(i) * 20.0;
        let healed = usize::from(i >= 300);
        let Some(at) = stage.arrive(now, request(i, 2, now)) else {
            continue;
        };
        to_bad[healed] += u32::from(at == BackendId(1));
        let outcome = if at == BackendId(1) && healed == 0 {
            Outcome::Error
        } else {
            Outcome::Ok
        };
        let elapsed = if outcome == Outcome::Ok { 15.0 } else { 1.0 };
        let end = AttemptCompleted {
            elapsed,
            request_closed: outcome == Outcome::Ok,
            ..settled(i, 0, at, outcome)
        };
        stage.play(now + elapsed, Event::AttemptCompleted(end));
    }
    assert!(
        to_bad[0] < 20,
        "{} of 300 sent to a failing backend",
        to_bad[0]
    );
    assert!(
        to_bad[1] > 30,
        "{} of 1200 sent to it once it is well",
        to_bad[1]
    );
}

#[test]
fn a_silent_backend_is_passed_over_while_others_answer() {
    let mut stage = Stage::new(
        settings(open_plan(), 1),
        (1..=3).map(|id| ready(id, 0)).collect(),
    );
    let mut late_to_silent = 0;
    for i in 0..400u32 {
        let now = f64::from(i) * 10.0;
        let Some(at) = stage.arrive(now, request(i, 0, now)) else {
            continue;
        };
        if i >= 100 && at == BackendId(1) {
            late_to_silent += u32::from(i >= 200);
        } else {
            stage.play(
                now + 8.0,
                Event::AttemptCompleted(AttemptCompleted {
                    elapsed: 8.0,
                    ..settled(i, 0, at, Outcome::Ok)
                }),
            );
        }
    }
    assert!(
        late_to_silent <= 4,
        "{late_to_silent} sent a second after it fell silent"
    );
}

#[test]
fn where_every_backend_is_too_slow_requests_are_refused_at_once() {
    let mut stage = Stage::new(settings(open_plan(), 1), vec![ready(1, 0), ready(2, 0)]);
    let sent = (0..200)
        .filter(|i| stage.arrive(1.0, request(*i, 0, 1.0)).is_some())
        .count();
    assert!(
        (2..60).contains(&sent),
        "{sent} sent before the wait was too long"
    );
    assert_eq!(answer(&stage.actions), "refuse");
}

#[test]
fn what_is_unknown_or_not_a_number_does_no_harm() {
    let mut stage = Stage::new(settings(open_plan(), 1), vec![ready(1, 0)]);
    stage.settle(1.0, 77, 0, BackendId(9), Outcome::Ok);
    stage.play(2.0, Event::TimerFired(TimerId(12345)));
    stage.play(2.0, Event::ClientDisconnected(RequestId(5)));
    stage.play(2.0, Event::StreamStarted(RequestId(5)));
    for (i, odd) in [f64::NAN, f64::INFINITY, -1.0, 0.0].into_iter().enumerate() {
        let id = i as u32;
        let asked = Request {
            units: odd,
            gateway_count: odd,
            deadline: 3000.0 + odd,
            ..request(id, 0, 3.0)
        };
        if let Some(at) = stage.arrive(3.0, asked) {
            let end = AttemptCompleted {
                elapsed: odd,
                quota_usage: Some(odd),
                actual_units: Some(odd),
                ..settled(id, 0, at, Outcome::Ok)
            };
            stage.play(4.0, Event::AttemptCompleted(end));
        }
    }
    let unknown = Request {
        plan: PlanId(9),
        class: ClassId(9),
        ..request(50, 0, 5.0)
    };
    assert_eq!(
        answer(stage.play(5.0, Event::RequestArrived(unknown))),
        "refuse"
    );
    assert!(stage.serve(6000.0, request(60, 0, 6000.0)));
}

#[test]
fn the_list_is_asked_for_where_it_does_not_come_by_itself() {
    let set = Settings {
        discovery: DiscoveryMode::OnRequest,
        ..settings(open_plan(), 1)
    };
    let mut stage = Stage::new(set, vec![ready(1, 0)]);
    assert!(stage.actions.contains(&Action::Subscribe));
    stage.play(10.0, Event::EndpointsChanged(ListKind::Failed, vec![]));
    let Some(Action::SetTimer { at, timer }) = stage.actions.first().cloned() else {
        panic!("no new try")
    };
    assert!(at < 10.0 + 10_000.0);
    assert!(stage
        .play(at, Event::TimerFired(timer))
        .contains(&Action::Subscribe));
    assert_eq!(
        stage.arrive(at, request(1, 0, at)),
        Some(BackendId(1)),
        "the old list stays"
    );
}

#[test]
fn the_same_events_give_the_same_actions() {
    let play = || {
        let mut stage = Stage::new(
            settings(open_plan(), 1),
            (1..=5).map(|id| ready(id, 0)).collect(),
        );
        let sent: Vec<_> = (0..200)
            .map(|i| stage.arrive(f64::from(i), request(i, 0, f64::from(i))))
            .collect();
        sent
    };
    assert_eq!(play(), play());
}

#[test]
fn slowness_is_felt_before_an_answer_comes() {
    // Nothing is ever answered: the marks at half of the aim alone tell, and less is let in.
    let set = settings(open_plan(), 1);
    let mut stage = Stage::new(set, (0..99).map(|id| ready(id, 0)).collect());
    let mut alarms: Vec<(f64, TimerId)> = Vec::new();
    let mut sent = [0; 2];
    for i in 0..250u32 {
        let now = f64::from(i) * 10.0;
        let (due, rest) = std::mem::take(&mut alarms)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        alarms = rest;
        for (at, alarm) in Vec::<(f64, TimerId)>::from_iter(due) {
            stage.play(at, Event::TimerFired(alarm));
        }
        let asked = Request {
            customer: CustomerId(u64::from(i)),
            ..request(i, 0, now)
        };
        stage.play(now, Event::RequestArrived(asked));
        sent[usize::from(i >= 200)] += u32::from(stage.sent().is_some());
        alarms.extend(stage.actions.iter().filter_map(|a| match a {
            Action::SetTimer { at, timer } => Some((*at, *timer)),
            _ => None,
        }));
    }
    assert!(sent[0] > 100 && sent[1] < 25, "{sent:?}");
}

#[test]
fn where_answers_are_slow_everywhere_a_gateway_brings_down_what_it_has_out() {
    // Many backends, each with hardly any of our load; answers take `time` of an aim of a second.
    let sent_with = |time: f64| {
        let mut stage = Stage::new(
            settings(open_plan(), 1),
            (0..30).map(|id| ready(id, 0)).collect(),
        );
        let mut due: Vec<(f64, u32, BackendId)> = Vec::new();
        let mut sent = 0;
        for i in 0..4000u32 {
            let now = f64::from(i) * 20.0;
            let (done, rest) = due.into_iter().partition(|(at, ..)| *at <= now);
            due = rest;
            for (_, id, at) in done {
                stage.play(
                    now,
                    Event::AttemptCompleted(AttemptCompleted {
                        elapsed: time,
                        ..settled(id, 0, at, Outcome::Ok)
                    }),
                );
            }
            let asked = Request {
                customer: CustomerId(u64::from(i)),
                ..request(i, 0, now)
            };
            if let Some(at) = stage.arrive(now, asked) {
                sent += u32::from(i >= 2000);
                due.push((now + time, i, at));
            }
        }
        sent
    };
    assert_eq!(sent_with(100.0), 2000);
    let slow = sent_with(600.0);
    assert!((20..1500).contains(&slow), "{slow}");
}

#[test]
fn what_cannot_be_answered_before_its_client_leaves_is_refused_at_once() {
    let mut stage = Stage::new(
        settings(open_plan(), 1),
        (0..4).map(|id| ready(id, 0)).collect(),
    );
    for i in 0..100u32 {
        let now = f64::from(i) * 250.0;
        let at = stage
            .arrive(now, request(i, 0, now))
            .expect("a patient client is served");
        stage.play(
            now + 200.0,
            Event::AttemptCompleted(AttemptCompleted {
                elapsed: 200.0,
                ..settled(i, 0, at, Outcome::Ok)
            }),
        );
    }
    let now = 26_000.0;
    assert_eq!(
        stage.arrive(
            now,
            Request {
                deadline: now + 100.0,
                ..request(500, 0, now)
            }
        ),
        None
    );
    assert_eq!(answer(&stage.actions), "refuse");
    assert!(stage
        .arrive(
            now,
            Request {
                deadline: now + 400.0,
                ..request(501, 0, now)
            }
        )
        .is_some());
}

#[test]
fn a_backend_full_for_one_plan_is_still_used_by_others() {
    let set = Settings {
        plans: vec![open_plan(), open_plan()],
        ..settings(open_plan(), 1)
    };
    let mut stage = Stage::new(set, vec![ready(1, 0), ready(2, 0)]);
    let mut sent = [[0u32; 3]; 2];
    for i in 0..400u32 {
        let (now, plan) = (f64::from(i) * 20.0, (i % 2) as usize);
        let customer = CustomerId(u64::from(i % 2));
        let asked = Request {
            plan: PlanId(plan),
            customer,
            ..request(i, 0, now)
        };
        let Some(at) = stage.arrive(now, asked) else {
            continue;
        };
        sent[plan][at.0 as usize] += 1;
        // Backend 1 turns plan 0 away; what is turned away once more elsewhere is answered.
        if plan == 0 && at == BackendId(1) {
            stage.settle(now + 1.0, i, 0, at, Outcome::Rejected);
            let Some(next) = stage.sent() else { continue };
            stage.settle(now + 2.0, i, 1, next, Outcome::Ok);
        } else {
            stage.settle(now + 1.0, i, 0, at, Outcome::Ok);
        }
    }
    assert!(sent[0][1] < 20, "plan 0 tries it now and then: {sent:?}");
    assert!(sent[1][1] > 60, "plan 1 uses it: {sent:?}");
}

/// Guards the time of a request that may be repeated: its attempt is limited while another one fits, the last attempt
/// has all that is left, and so has one that must not run twice. A backend that was silent meanwhile loses its
/// idle connections.
#[test]
fn only_what_may_be_repeated_gets_a_shorter_limit() {
    let limit_of = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::Send { timeout: limit, .. } => *limit,
            _ => None,
        })
    };
    for (class, shorter) in [(0, true), (1, false), (2, false)] {
        let mut set = settings(open_plan(), 1);
        set.classes[class].late_priority_weight = 0.5;
        set.max_attempts = 2;
        let mut stage = Stage::new(set, (1..=4).map(|id| ready(id, 0)).collect());
        let at = stage.arrive(1.0, request(1, class, 1.0)).unwrap();
        let limit = limit_of(&stage.actions).unwrap();
        assert_eq!(limit < 1500.0, shorter, "class {class}: {limit}");
        if shorter {
            stage.play(
                1.0 + limit,
                Event::AttemptCompleted(AttemptCompleted {
                    elapsed: limit,
                    ..settled(1, 0, at, Outcome::Timeout)
                }),
            );
            assert!(
                stage.actions.contains(&Action::CloseIdleConnections(at)),
                "{:?}",
                stage.actions
            );
            let last = limit_of(&stage.actions).unwrap();
            assert!(last > 2990.0 - limit, "{last} of {}", 3000.0 - limit);
        }
    }
}

/// Guards against trouble on the way taken for sick backends: where a third of the connections break, at every
/// backend alike, none is set aside; a dial that is refused still does that at once.
#[test]
fn broken_connections_set_no_backend_aside_but_a_refused_one_does() {
    let mut stage = Stage::new(
        settings(open_plan(), 1),
        (1..=3).map(|id| ready(id, 0)).collect(),
    );
    let aside = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Log(_)));
    for i in 0..300 {
        let now = f64::from(i) * 20.0;
        let at = stage.arrive(now, request(i, 2, now)).expect("room");
        let (outcome, broken) = if i % 3 == 0 {
            (Outcome::Reset, 1)
        } else {
            (Outcome::Ok, 0)
        };
        let end = AttemptCompleted {
            broken_connections: broken,
            ..settled(i, 0, at, outcome)
        };
        assert!(
            !aside(stage.play(now + 10.0, Event::AttemptCompleted(end))),
            "request {i}"
        );
    }
    let now = 7000.0;
    let at = stage.arrive(now, request(1000, 2, now)).expect("room");
    assert!(aside(stage.settle(
        now + 1.0,
        1000,
        0,
        at,
        Outcome::ConnectFailed
    )));
}

/// Guards what must not run twice, and all else for a while after a connection broke; then caution ends, since
/// it costs each request a little time.
#[test]
fn caution_is_for_what_must_not_run_twice_and_for_times_of_trouble() {
    let mut stage = Stage::new(settings(open_plan(), 1), vec![ready(1, 0), ready(2, 0)]);
    let mut delivery = |now: Millis, id: u32, class: usize, broken: u32| {
        let at = stage.arrive(now, request(id, class, now)).expect("room");
        let sent = stage.actions.iter().find_map(|a| match a {
            Action::Send { delivery, .. } => Some(*delivery),
            _ => None,
        });
        stage.play(
            now + 1.0,
            Event::AttemptCompleted(AttemptCompleted {
                broken_connections: broken,
                ..settled(id, 0, at, Outcome::Ok)
            }),
        );
        sent
    };
    assert_eq!(
        [0, 1, 2].map(|class| delivery(10.0, class as u32 + 1, class, 0)),
        [
            DeliveryMode::Normal,
            DeliveryMode::Normal,
            DeliveryMode::Once
        ]
        .map(Some)
    );
    // One that broke under a good attempt counts too.
    assert_eq!(delivery(20.0, 4, 0, 1), Some(DeliveryMode::Normal));
    assert_eq!(
        [0, 1].map(|class| delivery(30.0, class as u32 + 5, class, 0)),
        [DeliveryMode::Cautious; 2].map(Some)
    );
    assert_eq!(delivery(60_000.0, 7, 0, 0), Some(DeliveryMode::Normal));
}

/// Guards against a backend that lets one class hang and answers the others: that class avoids it for a while, the
/// others use it as before, also while further attempts of that class hang there.
#[test]
fn a_class_that_hangs_at_a_backend_is_held_against_it_for_that_class_alone() {
    let mut stage = Stage::new(settings(open_plan(), 1), vec![ready(1, 0), ready(2, 0)]);
    let bad = stage.arrive(0.0, request(1, 2, 0.0)).expect("room");
    let other = if bad == BackendId(1) {
        BackendId(2)
    } else {
        BackendId(1)
    };
    let end = AttemptCompleted {
        elapsed: 2900.0,
        request_closed: true,
        ..settled(1, 0, bad, Outcome::Cancelled)
    };
    stage.play(2900.0, Event::AttemptCompleted(end));
    // Another one is out there, as if sent for want of a choice.
    let draining = BackendEntry {
        availability: Availability::Draining,
        ..ready(other.0, 0)
    };
    stage.play(
        2901.0,
        Event::EndpointsChanged(ListKind::Changes, vec![draining]),
    );
    assert_eq!(stage.arrive(2902.0, request(2, 2, 2902.0)), Some(bad));
    stage.play(
        2903.0,
        Event::EndpointsChanged(ListKind::Changes, vec![ready(other.0, 0)]),
    );
    let mut shared = 0;
    for i in (0..200).step_by(2) {
        let now = 4500.0 + f64::from(i) * 20.0;
        let at = stage.arrive(now, request(10 + i, 2, now)).expect("room");
        assert_eq!(at, other, "request {i} was sent where its class hangs");
        // Now each has one out.
        let beside = stage.arrive(now, request(11 + i, 0, now)).expect("room");
        shared += u32::from(beside == bad);
        stage.settle(now + 10.0, 10 + i, 0, at, Outcome::Ok);
        stage.settle(now + 10.0, 11 + i, 0, beside, Outcome::Ok);
    }
    assert!(
        shared > 20,
        "the other class was kept away: {shared} of 100"
    );
}

/// One of a hundred gateways and sixty backends, as a wide plan lets all of its requests in.
fn one_of_many(me: u32, backends: Vec<BackendEntry>) -> Stage {
    let wide = Plan {
        rate: 1000.0,
        burst: 4000.0,
        ..Plan::default()
    };
    let settings = Settings {
        gateway_index: me,
        max_units: 1.0,
        warm_up: 10_000.0,
        ..settings(wide, 100)
    };
    Stage::seeded(settings, u64::from(me), backends)
}

/// Guards the backends' connections: where many gateways share many backends, each keeps to a few, and each
/// backend is met by about as many gateways as the next.
#[test]
fn one_of_many_gateways_keeps_to_its_part_of_the_backends() {
    let mut met = BTreeMap::<BackendId, u32>::new();
    for me in 0..100 {
        let mut stage = one_of_many(me, (0..60).map(|id| ready(id * 7919, id % 2)).collect());
        let mut used = BTreeMap::<BackendId, u32>::new();
        for i in 0..240 {
            let now = f64::from(i) * 250.0;
            let at = stage.arrive(now, request(i, 0, now)).expect("room");
            stage.settle(now + 100.0, i, 0, at, Outcome::Ok);
            *used.entry(at).or_default() += 1;
        }
        assert!((12..=13).contains(&used.len()), "{me}: {used:?}");
        assert!(
            used.values().all(|times| (10..=30).contains(times)),
            "{me}: {used:?}"
        );
        used.keys().for_each(|id| *met.entry(*id).or_default() += 1);
    }
    assert_eq!(met.len(), 60);
    assert!(
        met.values().all(|gateways| (16..=26).contains(gateways)),
        "{met:?}"
    );
}

/// Guards the rest of a part that has gone bad: the gateway goes on to further backends.
#[test]
fn a_gateway_whose_part_of_the_backends_fails_goes_on_to_others() {
    let mut stage = one_of_many(0, (0..60).map(|id| ready(id, 0)).collect());
    let mut used = BTreeMap::<BackendId, u32>::new();
    for i in 0..240 {
        let now = f64::from(i) * 250.0;
        let Some(mut at) = stage.arrive(now, request(i, 0, now)) else {
            continue;
        };
        for attempt in 0.. {
            let outcome = if at.0 < 12 {
                Outcome::ConnectFailed
            } else {
                Outcome::Ok
            };
            stage.settle(now + 1.0, i, attempt, at, outcome);
            if outcome == Outcome::Ok {
                *used.entry(at).or_default() += 1;
            }
            match stage.sent() {
                Some(next) => at = next,
                None => break,
            }
        }
    }
    assert!(
        used.len() >= 12 && used.values().sum::<u32>() > 200,
        "{used:?}"
    );
}

/// Guards cold backends against a share that does not fit them, and warm ones against the whole load: where most
/// are cold, each gets by what it can do at least.
#[test]
fn cold_backends_carry_their_part_where_most_are_cold() {
    let cold = |id: u32| BackendEntry {
        started_at: Some(0.0),
        ..ready(id, 0)
    };
    let mut taken = [0.0, 0.0];
    for me in 0..100 {
        let backends = (0..60).map(|id| if id % 10 < 6 { cold(id) } else { ready(id, 0) });
        let mut stage = one_of_many(me, backends.collect());
        for i in 0..32 {
            // The part of a second in which it comes is each gateway's own.
            let now = f64::from(i) * 250.0 + f64::from(me) * 2.5;
            let at = stage.arrive(now, request(i, 0, now)).expect("room");
            stage.settle(now + 100.0, i, 0, at, Outcome::Ok);
            if now > 4000.0 {
                taken[usize::from(at.0 % 10 < 6)] += 1.0;
            }
        }
    }
    // Between 4 s and 8 s they are warm to 0.46 to 0.82, 0.64 on average; per backend, of 24 and 36.
    let part = (taken[1] / 36.0) / (taken[0] / 24.0);
    assert!((0.3..=0.75).contains(&part), "{part}: {taken:?}");
}

/// Guards connections against changes of the list: as backends are replaced one by one, each gateway goes on with those
/// that it has, and each backend is still met by about as many gateways as the next.
#[test]
fn a_gateway_keeps_its_backends_while_others_are_replaced() {
    let mut dials = 0;
    let mut met = BTreeMap::<BackendId, u32>::new();
    for me in 0..100 {
        let id = |i: u32| i.wrapping_mul(2_654_435_761);
        let mut stage = one_of_many(me, (0..60).map(|i| ready(id(i), 0)).collect());
        let mut used = [BTreeMap::<BackendId, u32>::new(), BTreeMap::new()];
        let mut seen = BTreeMap::new();
        for i in 0..600u32 {
            let now = f64::from(i) * 250.0;
            // From 40 s on, one every 2.5 s: a third of all.
            if (160..360).contains(&i) && i % 10 == 0 {
                let old = (i - 160) / 10;
                let gone = BackendEntry {
                    availability: Availability::Removed,
                    ..ready(id(old), 0)
                };
                stage.play(
                    now,
                    Event::EndpointsChanged(ListKind::Changes, vec![gone, ready(id(100 + old), 0)]),
                );
            }
            let at = stage.arrive(now, request(i, 0, now)).expect("room");
            stage.settle(now + 100.0, i, 0, at, Outcome::Ok);
            // One that has not been met for ten seconds has no connection any more.
            dials += usize::from(
                seen.insert(at, now)
                    .is_none_or(|last| now - last > 10_000.0),
            );
            if !(160..400).contains(&i) {
                *used[usize::from(i >= 400)].entry(at).or_default() += 1;
            }
        }
        used[1]
            .keys()
            .for_each(|id| *met.entry(*id).or_default() += 1);
    }
    // Sixty met by twelve in a hundred times twelve; twenty come for twenty that go, with as many each.
    let least = 1200 + 400;
    assert!(
        dials <= least + 250,
        "{dials} dials, of which {least} are needed"
    );
    assert_eq!(met.len(), 60);
    assert!(
        met.values().all(|gateways| (12..=30).contains(gateways)),
        "{met:?}"
    );
}
