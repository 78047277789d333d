//! What bounds the attempts of a request: its time, the retry budget, which also pays for hedges, and a graceful
//! shutdown.

mod common;
use cometspool::*;
use common::*;

fn unlimited_plan() -> Plan {
    Plan {
        rate: 1e5,
        burst: 1e6,
        ..Plan::default()
    }
}

/// A gateway with four backends that has received 60 responses of each class, each after `latency` ms. Also returns the
/// time after the last of them, ms.
fn warmed_up_gateway(settings: Settings, latency: f64) -> (GatewayFixture, f64) {
    let mut gateway =
        GatewayFixture::new(settings, (0..4).map(|id| ready_backend(id, 0)).collect());
    let mut now = 0.0;
    for i in 0..180u32 {
        now = f64::from(i) * 500.0;
        let backend = gateway
            .arrive(now, request(i, (i % 3) as usize, now))
            .expect("the request is admitted");
        gateway.handle(
            now + latency,
            Event::AttemptCompleted(AttemptCompleted {
                elapsed: latency,
                ..completed(i, 0, backend, Outcome::Ok)
            }),
        );
    }
    (gateway, now + 500.0)
}

/// A failed request is retried only if another attempt can still end in time, judged by the latency of its class.
#[test]
fn retry_is_sent_only_if_it_can_end_in_time() {
    for (after, is_retried) in [(300.0, true), (700.0, true), (900.0, false), (990.0, false)] {
        let (mut gateway, now) = warmed_up_gateway(settings(unlimited_plan(), 1), 150.0);
        let backend = gateway.arrive(now, request(900, 0, now)).expect("sent");
        gateway.handle(
            now + after,
            Event::AttemptCompleted(AttemptCompleted {
                elapsed: after,
                ..completed(900, 0, backend, Outcome::Error)
            }),
        );
        assert_eq!(
            gateway.sent_to().is_some(),
            is_retried,
            "after {after} ms of a latency objective of 1000"
        );
        assert_eq!(
            gateway
                .actions
                .iter()
                .any(|action| matches!(action, Action::Reject { .. })),
            !is_retried
        );
    }
}

/// A request that was queued at the gateway for most of its latency objective is not forwarded. One that was queued for
/// a short time is.
#[test]
fn queued_request_is_sent_only_if_it_can_end_in_time() {
    for (queued_for, sent) in [(0.0, true), (600.0, true), (900.0, false), (5000.0, false)] {
        let (mut gateway, now) = warmed_up_gateway(settings(unlimited_plan(), 1), 150.0);
        let incoming = Request {
            queued_for,
            ..request(900, 0, now)
        };
        assert_eq!(
            gateway.arrive(now, incoming).is_some(),
            sent,
            "after {queued_for} ms of a latency objective of 1000"
        );
    }
    // An impossible queueing time counts as zero.
    let (mut gateway, now) = warmed_up_gateway(settings(unlimited_plan(), 1), 150.0);
    for (id, queued_for) in [(900, f64::NAN), (901, -1e9), (902, f64::NEG_INFINITY)] {
        assert!(
            gateway
                .arrive(
                    now,
                    Request {
                        queued_for,
                        ..request(id, 0, now)
                    }
                )
                .is_some(),
            "{queued_for}"
        );
    }
}

/// Guards against closing the admission window after a stall of the gateway, which happened when the time that requests
/// had been queued at the gateway counted as slow responses of backends. As many requests are admitted as without a
/// stall.
#[test]
fn stall_of_the_gateway_does_not_count_as_slow_backends() {
    let (mut gateway, start) = warmed_up_gateway(settings(unlimited_plan(), 100), 100.0);
    let mut sent = 0;
    for i in 0..200u32 {
        let now = start + f64::from(i) * 100.0;
        let incoming = Request {
            queued_for: 500.0,
            customer: CustomerId(u64::from(i)),
            ..request(1000 + i, 0, now)
        };
        if let Some(backend) = gateway.arrive(now, incoming) {
            sent += 1;
            let completion = AttemptCompleted {
                elapsed: 100.0,
                ..completed(1000 + i, 0, backend, Outcome::Ok)
            };
            gateway.handle(now + 99.0, Event::AttemptCompleted(completion));
        }
    }
    assert_eq!(sent, 200);
}

/// Guards against retries that amplify an outage: however long everything fails, retries stay a fixed fraction of the
/// first attempts, plus a few that were saved up. Each gateway keeps to this by itself, so the whole fleet does.
#[test]
fn retry_budget_holds_through_an_outage() {
    for outcome in [
        Outcome::Error,
        Outcome::Rejected,
        Outcome::ConnectFailed,
        Outcome::Reset,
    ] {
        let mut gateway = GatewayFixture::new(
            settings(unlimited_plan(), 1),
            (0..8).map(|id| ready_backend(id, 0)).collect(),
        );
        let mut first_attempts = 0u32;
        let mut attempts = 0u32;
        for i in 0..4000u32 {
            let now = f64::from(i) * 20.0;
            let Some(mut backend) = gateway.arrive(now, request(i, 0, now)) else {
                continue;
            };
            first_attempts += 1;
            for attempt in 0.. {
                attempts += 1;
                gateway.handle(
                    now + 1.0,
                    Event::AttemptCompleted(completed(i, attempt, backend, outcome)),
                );
                let Some(next) = gateway.sent_to() else { break };
                backend = next;
            }
        }
        assert!(
            first_attempts > 500,
            "{outcome:?}: only {first_attempts} were admitted"
        );
        let max_attempts = f64::from(first_attempts) * 1.2 + 10.0;
        assert!(
            f64::from(attempts) <= max_attempts,
            "{outcome:?}: {attempts} attempts for {first_attempts} requests"
        );
        assert!(
            attempts > first_attempts,
            "{outcome:?}: nothing was retried"
        );
    }
}

/// Once a graceful shutdown has begun, new requests are rejected. Their Retry-After ends with the shutdown and is no
/// longer than clients comply with. Pending requests continue.
#[test]
fn shutdown_rejects_with_retry_after_and_finishes_pending_requests() {
    let gateway_settings = Settings {
        retry_after: true,
        max_retry_after: 2000.0,
        ..settings(unlimited_plan(), 1)
    };
    let (mut gateway, now) = warmed_up_gateway(gateway_settings, 100.0);
    let backend = gateway.arrive(now, request(900, 0, now)).expect("sent");
    gateway.handle(now + 1.0, Event::ShutdownStarted(now + 1500.0));
    for (id, after, retry_after) in [(901, 100.0, 1400.0), (902, 1600.0, 0.0)] {
        gateway.handle(
            now + after,
            Event::RequestArrived(request(id, 0, now + after)),
        );
        let rejected = Action::Reject {
            request: RequestId(id),
            retry_after: Some(retry_after),
            reason: RejectReason::ShuttingDown,
        };
        assert_eq!(gateway.actions, [rejected]);
    }
    gateway.complete(now + 200.0, 900, 0, backend, Outcome::Error);
    assert!(
        gateway.sent_to().is_some(),
        "a pending request may be retried"
    );
}

/// Whether the last event had no effect on any request. Idle connections may have been closed.
fn took_no_step(gateway: &GatewayFixture) -> bool {
    gateway
        .actions
        .iter()
        .all(|action| matches!(action, Action::CloseIdleConnections(_)))
}

/// A gateway with the first attempt of request 900 in flight.
struct FirstAttempt {
    gateway: GatewayFixture,
    sent_at: Millis,
    backend: BackendId,
    /// The timer after which the request is hedged, if it was set.
    hedge_timer: Option<TimerId>,
}

/// Sends the first attempt of request 900.
fn send_first_attempt(class: usize, hedging: bool) -> FirstAttempt {
    let gateway_settings = Settings {
        hedging,
        cancellation: true,
        ..settings(unlimited_plan(), 1)
    };
    let (mut gateway, now) = warmed_up_gateway(gateway_settings, 20.0);
    let backend = gateway.arrive(now, request(900, class, now)).expect("sent");
    // The ids of hedge timers are greater than any request id, which has 32 bits.
    let mut hedge_timers = gateway
        .actions
        .iter()
        .rev()
        .filter_map(|action| match action {
            Action::SetTimer { timer, .. } if timer.0 > u64::from(u32::MAX) => Some(*timer),
            _ => None,
        });
    let hedge_timer = hedge_timers.next();
    FirstAttempt {
        gateway,
        sent_at: now,
        backend,
        hedge_timer,
    }
}

/// A gateway with two attempts of request 900 in flight. The second one was sent 400 ms after the first.
struct HedgedRequest {
    gateway: GatewayFixture,
    /// Time at which the first attempt was sent, ms.
    sent_at: Millis,
    /// The backend of the first attempt.
    first: BackendId,
    /// The backend of the second attempt.
    hedge: BackendId,
}

/// Sends the first attempt of request 900, which is idempotent, and its hedge.
fn send_hedged_request() -> HedgedRequest {
    let mut first_attempt = send_first_attempt(0, true);
    let hedge_timer = first_attempt.hedge_timer.expect("a timer to hedge");
    first_attempt.gateway.handle(
        first_attempt.sent_at + 400.0,
        Event::TimerFired(hedge_timer),
    );
    let hedge = first_attempt.gateway.sent_to().expect("a hedge");
    HedgedRequest {
        gateway: first_attempt.gateway,
        sent_at: first_attempt.sent_at,
        first: first_attempt.backend,
        hedge,
    }
}

/// A repeatable request is hedged with a second attempt at another backend, and never has a third in flight. A request
/// that must not execute twice is not hedged, and no request is where the settings do not permit hedging.
#[test]
fn hedge_goes_to_another_backend_and_only_where_permitted() {
    let FirstAttempt {
        mut gateway,
        sent_at: now,
        backend: first,
        hedge_timer,
    } = send_first_attempt(0, true);
    let hedge_timer = hedge_timer.expect("a timer to hedge");
    gateway.handle(now + 400.0, Event::TimerFired(hedge_timer));
    let hedge = gateway.sent_to().expect("a hedge");
    assert_ne!(first, hedge);
    gateway.handle(now + 401.0, Event::TimerFired(hedge_timer));
    assert_eq!(gateway.sent_to(), None, "a third attempt in flight");
    // The hedge fails and the first attempt continues. Then the first attempt succeeds.
    gateway.complete(now + 450.0, 900, 1, hedge, Outcome::Reset);
    assert!(took_no_step(&gateway));
    gateway.complete(now + 500.0, 900, 0, first, Outcome::Ok);
    assert!(!gateway.actions.iter().any(|action| matches!(
        action,
        Action::Reject { .. } | Action::Fail(_) | Action::Send { .. }
    )));
    for (class, hedging) in [(2, true), (0, false)] {
        assert_eq!(
            send_first_attempt(class, hedging).hedge_timer,
            None,
            "class {class}, hedging {hedging}"
        );
    }
}

/// The response to one attempt of a hedged request cancels the other attempt, exactly once.
#[test]
fn response_to_one_hedged_attempt_cancels_the_other() {
    for (winner, loser) in [(0, 1), (1, 0)] {
        let HedgedRequest {
            mut gateway,
            sent_at: now,
            first,
            hedge,
        } = send_hedged_request();
        let backends = [first, hedge];
        gateway.complete(
            now + 450.0,
            900,
            winner,
            backends[winner as usize],
            Outcome::Ok,
        );
        let cancel = Action::CancelAttempt {
            request: RequestId(900),
            attempt: loser,
        };
        assert_eq!(
            gateway
                .actions
                .iter()
                .filter(|action| **action == cancel)
                .count(),
            1
        );
        gateway.complete(
            now + 450.0,
            900,
            loser,
            backends[loser as usize],
            Outcome::Cancelled,
        );
        assert!(took_no_step(&gateway));
    }
}

/// A hedged request gets one final answer if both attempts fail. If its client disconnects, both attempts are
/// cancelled.
#[test]
fn hedged_request_gets_one_final_answer() {
    let HedgedRequest {
        mut gateway,
        sent_at: now,
        first,
        hedge,
    } = send_hedged_request();
    gateway.handle(now + 450.0, Event::ClientDisconnected(RequestId(900)));
    let cancel = |attempt| Action::CancelAttempt {
        request: RequestId(900),
        attempt,
    };
    assert_eq!(gateway.actions, [cancel(0), cancel(1)]);
    for (attempt, backend) in [(0, first), (1, hedge)] {
        gateway.complete(now + 450.0, 900, attempt, backend, Outcome::Cancelled);
        assert!(took_no_step(&gateway));
    }
    let HedgedRequest {
        mut gateway,
        sent_at: now,
        first,
        hedge,
    } = send_hedged_request();
    gateway.complete(now + 990.0, 900, 0, first, Outcome::Reset);
    assert!(took_no_step(&gateway));
    gateway.complete(now + 995.0, 900, 1, hedge, Outcome::Reset);
    assert_eq!(
        gateway
            .actions
            .iter()
            .filter(|action| matches!(action, Action::Reject { .. }))
            .count(),
        1
    );
}

/// Guards against hedges that amplify an outage: they are paid from the same budget as retries.
#[test]
fn hedges_are_paid_from_the_retry_budget() {
    let gateway_settings = Settings {
        hedging: true,
        cancellation: true,
        ..settings(unlimited_plan(), 1)
    };
    let (mut gateway, start) = warmed_up_gateway(gateway_settings, 20.0);
    let mut hedges = 0;
    for i in 0..200u32 {
        let id = 1000 + i;
        let now = start + f64::from(i) * 1000.0;
        let Some(first) = gateway.arrive(now, request(id, 0, now)) else {
            continue;
        };
        let hedge_timer = gateway
            .actions
            .iter()
            .rev()
            .find_map(|action| match action {
                Action::SetTimer {
                    timer: hedge_timer, ..
                } if hedge_timer.0 > u64::from(u32::MAX) => Some(*hedge_timer),
                _ => None,
            });
        gateway.handle(
            now + 400.0,
            Event::TimerFired(hedge_timer.unwrap_or(TimerId(1 << 40))),
        );
        if let Some(hedge) = gateway.sent_to() {
            hedges += 1;
            gateway.complete(now + 410.0, id, 1, hedge, Outcome::Ok);
            gateway.complete(now + 410.0, id, 0, first, Outcome::Cancelled);
        } else {
            gateway.complete(now + 410.0, id, 0, first, Outcome::Ok);
        }
    }
    assert!(
        (10..=50).contains(&hedges),
        "{hedges} hedges of 200 first attempts"
    );
}
