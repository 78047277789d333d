//! Attempts of a request: retries by idempotency, final answers, attempt timeouts and delivery.

mod common;
use cometspool::*;
use common::*;

#[test]
fn next_step_after_each_outcome_follows_the_idempotency_of_the_class() {
    use NextStep::{Fail, Nothing, Send};
    // Expected steps for an idempotent request, one with an idempotency key, and a non-idempotent one.
    let table = [
        (Outcome::Ok, [Nothing, Nothing, Nothing]),
        (Outcome::Rejected, [Send, Send, Send]),
        (Outcome::ConnectFailed, [Send, Send, Send]),
        (Outcome::NotSent, [Send, Send, Send]),
        (Outcome::Error, [Send, Send, Fail]),
        (Outcome::Timeout, [Send, Send, Fail]),
        (Outcome::Reset, [Send, Send, Fail]),
        (Outcome::Cancelled, [Send, Send, Fail]),
    ];
    for (outcome, expected) in table {
        for (class, step) in expected.into_iter().enumerate() {
            let backends = (1..=4).map(|id| ready_backend(id, 0)).collect();
            let mut gateway = GatewayFixture::new(settings(generous_plan(), 1), backends);
            let backend = gateway.arrive(1.0, request(1, class, 1.0)).unwrap();
            assert_eq!(
                next_step(gateway.complete(11.0, 1, 0, backend, outcome)),
                step,
                "{outcome:?} of class {class}"
            );
        }
    }
}

#[test]
fn request_with_key_is_retried_only_within_its_deduplication_scope_and_retention() {
    for scope in [
        DeduplicationScope::All,
        DeduplicationScope::Zone,
        DeduplicationScope::Cell,
    ] {
        for is_late in [false, true] {
            let mut gateway_settings = settings(generous_plan(), 1);
            gateway_settings.classes[1].idempotency = Idempotency::WithKey {
                scope,
                retention: 500.0,
            };
            // Each zone and cell has one backend, so the scope of the first attempt contains no other backend.
            let mut gateway = GatewayFixture::new(
                gateway_settings,
                vec![ready_backend(1, 0), ready_backend(2, 1)],
            );
            let backend = gateway.arrive(1.0, request(1, 1, 1.0)).unwrap();
            let now = if is_late { 601.0 } else { 101.0 };
            let completion = AttemptCompleted {
                elapsed: now - 1.0,
                ..completed(1, 0, backend, Outcome::Error)
            };
            gateway.handle(now, Event::AttemptCompleted(completion));
            match (is_late, scope) {
                (true, _) => assert_eq!(
                    next_step(&gateway.actions),
                    NextStep::Fail,
                    "{scope:?}: the key has been forgotten"
                ),
                (false, DeduplicationScope::All) => {
                    assert_eq!(next_step(&gateway.actions), NextStep::Send);
                }
                (false, _) => assert_eq!(gateway.sent_to(), Some(backend), "{scope:?}"),
            }
        }
    }
}

#[test]
fn key_retention_starts_with_the_first_attempt_that_may_have_executed() {
    let mut gateway_settings = settings(generous_plan(), 1);
    gateway_settings.classes[1].idempotency = Idempotency::WithKey {
        scope: DeduplicationScope::All,
        retention: 500.0,
    };
    let mut gateway = GatewayFixture::new(
        gateway_settings,
        (1..=4).map(|id| ready_backend(id, 0)).collect(),
    );
    let first = gateway.arrive(1.0, request(1, 1, 1.0)).unwrap();
    gateway.handle(
        301.0,
        Event::AttemptCompleted(AttemptCompleted {
            elapsed: 300.0,
            ..completed(1, 0, first, Outcome::Error)
        }),
    );
    let second = gateway.sent_to().unwrap();
    gateway.handle(
        551.0,
        Event::AttemptCompleted(AttemptCompleted {
            elapsed: 250.0,
            ..completed(1, 1, second, Outcome::Error)
        }),
    );
    assert_eq!(next_step(&gateway.actions), NextStep::Fail);
}

#[test]
fn every_request_gets_exactly_one_final_answer_before_its_deadline() {
    for class in 0..3 {
        let mut gateway = GatewayFixture::new(
            Settings {
                cancellation: true,
                ..settings(generous_plan(), 1)
            },
            vec![ready_backend(1, 0)],
        );
        let incoming = Request {
            deadline: 400.0,
            ..request(1, class, 1.0)
        };
        let backend = gateway.arrive(1.0, incoming).unwrap();
        let timer = gateway.actions.iter().find_map(|action| match action {
            Action::SetTimer { at, timer } => Some((*at, *timer)),
            _ => None,
        });
        let (fires_at, timer) = timer.unwrap();
        assert!(fires_at < 400.0);
        let step = if class == 0 {
            NextStep::Reject
        } else {
            NextStep::Fail
        };
        assert_eq!(
            next_step(gateway.handle(fires_at, Event::TimerFired(timer))),
            step
        );
        assert!(gateway.actions.contains(&Action::CancelAttempt {
            request: RequestId(1),
            attempt: 0
        }));
        // No later event causes another step for the request.
        assert_eq!(
            next_step(gateway.complete(fires_at + 1.0, 1, 0, backend, Outcome::Cancelled)),
            NextStep::Nothing
        );
        assert_eq!(
            next_step(gateway.handle(fires_at + 2.0, Event::TimerFired(timer))),
            NextStep::Nothing
        );
        assert_eq!(
            next_step(gateway.handle(fires_at + 3.0, Event::ClientDisconnected(RequestId(1)))),
            NextStep::Nothing
        );
    }
}

#[test]
fn attempts_stop_at_max_attempts() {
    let mut gateway = GatewayFixture::new(
        settings(generous_plan(), 1),
        (1..=8).map(|id| ready_backend(id, 0)).collect(),
    );
    let mut backend = gateway.arrive(1.0, request(1, 0, 1.0)).unwrap();
    for attempt in 0..3 {
        gateway.complete(
            2.0 + f64::from(attempt),
            1,
            attempt,
            backend,
            Outcome::Rejected,
        );
        backend = gateway.sent_to().unwrap();
    }
    assert_eq!(
        next_step(gateway.complete(9.0, 1, 3, backend, Outcome::Rejected)),
        NextStep::Reject
    );
}

/// An attempt of a request that may be repeated anywhere gets a timeout that leaves time for another attempt. The last
/// attempt gets all of the time left, and so does an attempt of any other request. If a backend is silent until the
/// timeout, the idle connections to it are closed.
#[test]
fn only_repeatable_requests_get_a_shorter_attempt_timeout() {
    let timeout_of = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::Send { timeout, .. } => *timeout,
            _ => None,
        })
    };
    for (class, is_shorter) in [(0, true), (1, false), (2, false)] {
        let mut gateway_settings = settings(generous_plan(), 1);
        gateway_settings.classes[class].late_priority_weight = 0.5;
        gateway_settings.max_attempts = 2;
        let mut gateway = GatewayFixture::new(
            gateway_settings,
            (1..=4).map(|id| ready_backend(id, 0)).collect(),
        );
        let backend = gateway.arrive(1.0, request(1, class, 1.0)).unwrap();
        let timeout = timeout_of(&gateway.actions).unwrap();
        assert_eq!(timeout < 1500.0, is_shorter, "class {class}: {timeout}");
        if is_shorter {
            gateway.handle(
                1.0 + timeout,
                Event::AttemptCompleted(AttemptCompleted {
                    elapsed: timeout,
                    ..completed(1, 0, backend, Outcome::Timeout)
                }),
            );
            assert!(
                gateway
                    .actions
                    .contains(&Action::CloseIdleConnections(backend)),
                "{:?}",
                gateway.actions
            );
            let last = timeout_of(&gateway.actions).unwrap();
            assert!(last > 2990.0 - timeout, "{last} of {}", 3000.0 - timeout);
        }
    }
}

/// Requests that must not execute twice are always written cautiously. Other requests are written cautiously only for a
/// while after a connection broke, since caution delays each request a little.
#[test]
fn delivery_is_cautious_for_non_idempotent_requests_and_after_broken_connections() {
    let mut gateway = GatewayFixture::new(
        settings(generous_plan(), 1),
        vec![ready_backend(1, 0), ready_backend(2, 0)],
    );
    let mut delivery = |now: Millis, id: u32, class: usize, broken_connections: u32| {
        let backend = gateway
            .arrive(now, request(id, class, now))
            .expect("the request is admitted");
        let sent = gateway.actions.iter().find_map(|action| match action {
            Action::Send { delivery, .. } => Some(*delivery),
            _ => None,
        });
        gateway.handle(
            now + 1.0,
            Event::AttemptCompleted(AttemptCompleted {
                broken_connections,
                ..completed(id, 0, backend, Outcome::Ok)
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
    // A connection that broke during an attempt that succeeded on another connection counts as well.
    assert_eq!(delivery(20.0, 4, 0, 1), Some(DeliveryMode::Normal));
    assert_eq!(
        [0, 1].map(|class| delivery(30.0, class as u32 + 5, class, 0)),
        [DeliveryMode::Cautious; 2].map(Some)
    );
    assert_eq!(delivery(60_000.0, 7, 0, 0), Some(DeliveryMode::Normal));
}

#[test]
fn unknown_ids_and_non_finite_numbers_are_harmless() {
    let mut gateway = GatewayFixture::new(settings(generous_plan(), 1), vec![ready_backend(1, 0)]);
    gateway.complete(1.0, 77, 0, BackendId(9), Outcome::Ok);
    gateway.handle(2.0, Event::TimerFired(TimerId(12345)));
    gateway.handle(2.0, Event::ClientDisconnected(RequestId(5)));
    gateway.handle(2.0, Event::StreamStarted(RequestId(5)));
    for (i, number) in [f64::NAN, f64::INFINITY, -1.0, 0.0].into_iter().enumerate() {
        let id = i as u32;
        let incoming = Request {
            units: number,
            gateway_count: number,
            deadline: 3000.0 + number,
            ..request(id, 0, 3.0)
        };
        if let Some(backend) = gateway.arrive(3.0, incoming) {
            let completion = AttemptCompleted {
                elapsed: number,
                quota_usage: Some(number),
                actual_units: Some(number),
                ..completed(id, 0, backend, Outcome::Ok)
            };
            gateway.handle(4.0, Event::AttemptCompleted(completion));
        }
    }
    let unknown = Request {
        plan: PlanId(9),
        class: ClassId(9),
        ..request(50, 0, 5.0)
    };
    assert_eq!(
        next_step(gateway.handle(5.0, Event::RequestArrived(unknown))),
        NextStep::Reject
    );
    assert!(gateway.serve(6000.0, request(60, 0, 6000.0)));
}

#[test]
fn same_events_and_seed_give_the_same_actions() {
    let run = || {
        let mut gateway = GatewayFixture::new(
            settings(generous_plan(), 1),
            (1..=5).map(|id| ready_backend(id, 0)).collect(),
        );
        let sent: Vec<_> = (0..200)
            .map(|i| gateway.arrive(f64::from(i), request(i, 0, f64::from(i))))
            .collect();
        sent
    };
    assert_eq!(run(), run());
}
