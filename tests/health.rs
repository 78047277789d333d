//! Ejection of backends that answer with errors, and their return by trial.

mod common;
use cometspool::*;
use common::*;
use std::collections::BTreeMap;

fn one_gateway(gateway_index: u32, gateways: u32, backends: u32) -> GatewayFixture {
    let plan = Plan {
        rate: 1e5,
        burst: 1e6,
        ..Plan::default()
    };
    let gateway_settings = Settings {
        gateway_index,
        max_units: 1.0,
        ..settings(plan, gateways)
    };
    GatewayFixture::seeded(
        gateway_settings,
        u64::from(gateway_index),
        (0..backends).map(|id| ready(id * 7919, 0)).collect(),
    )
}

/// Times at which requests are sent, ms.
struct Span {
    from: Millis,
    to: Millis,
    interval: Millis,
}

/// A span of time with one request each `interval`.
fn span(from: Millis, to: Millis, interval: Millis) -> Span {
    Span { from, to, interval }
}

/// Sends requests of a class. Failing backends answer with an error in 1 ms, the others well in 20 ms. The number
/// of attempts sent to each backend, retries included.
fn send_requests(
    gateway: &mut GatewayFixture,
    span: Span,
    class: usize,
    is_failing: &dyn Fn(BackendId) -> bool,
) -> BTreeMap<BackendId, u32> {
    let mut sent = BTreeMap::new();
    let mut now = span.from;
    while now < span.to {
        let id = now as u32;
        let mut at = gateway.arrive(now, request(id, class, now));
        for attempt in 0.. {
            let Some(backend) = at else { break };
            *sent.entry(backend).or_default() += 1;
            let (outcome, elapsed) = if is_failing(backend) {
                (Outcome::Error, 1.0)
            } else {
                (Outcome::Ok, 20.0)
            };
            let end = AttemptCompleted {
                elapsed,
                ..completed(id, attempt, backend, outcome)
            };
            gateway.handle(now + elapsed, Event::AttemptCompleted(end));
            at = gateway.sent_to();
        }
        now += span.interval;
    }
    sent
}

/// A backend that answers errors at once is always idle. However many gateways meet it, together they try it about
/// once a latency objective at first, and ever less while it goes on so.
#[test]
fn trials_of_an_ejected_backend_are_bounded_for_any_fleet_size() {
    for (gateways, backends) in [(3, 12), (30, 20), (300, 200)] {
        let mut early = 0;
        let mut late = 0;
        for gateway_index in 0..gateways {
            let mut gateway = one_gateway(gateway_index, gateways, backends);
            let is_failing = |backend: BackendId| backend.0 == 0;
            send_requests(&mut gateway, span(0.0, 5000.0, 100.0), 0, &is_failing);
            early += send_requests(&mut gateway, span(5000.0, 25_000.0, 100.0), 0, &is_failing)
                .get(&BackendId(0))
                .copied()
                .unwrap_or(0);
            late += send_requests(
                &mut gateway,
                span(60_000.0, 80_000.0, 100.0),
                0,
                &is_failing,
            )
            .get(&BackendId(0))
            .copied()
            .unwrap_or(0);
        }
        // Over 20 s, by a latency objective of 1 s: two errors for each of the eighteen gateways that meet it, then
        // about one trial each objective by all.
        assert!(
            early <= 2 * 18 + 28,
            "{gateways} gateways: {early} trials in the first 20 s"
        );
        assert!(
            late <= 20,
            "{gateways} gateways: {late} trials in 20 s after a minute"
        );
    }
}

/// With more live gateways than configured, each tries less often, so that the sum stays; with fewer, the
/// configured number counts.
#[test]
fn trial_rate_follows_the_live_gateways_but_at_least_the_configured_number() {
    let trials = |live_gateways: u32| {
        let trials_of_each = (0..18).map(|gateway_index| {
            let mut gateway = one_gateway(gateway_index, 18, 12);
            gateway.handle(0.0, Event::FleetSizeChanged(live_gateways));
            let sent = send_requests(&mut gateway, span(0.0, 60_000.0, 100.0), 0, &|backend| {
                backend.0 == 0
            });
            sent.get(&BackendId(0)).copied().unwrap_or(0)
        });
        trials_of_each.sum::<u32>()
    };
    let [configured, fewer, more] = [18, 3, 180].map(trials);
    assert_eq!(fewer, configured);
    assert!(
        more < configured * 2 / 3,
        "{more} trials, and {configured} by the configured number"
    );
}

/// A backend that has recovered is tried with an idempotent request, and has its share afterwards. A request that
/// must not execute twice is no trial.
#[test]
fn ejected_backend_returns_by_idempotent_trials_only() {
    let mut gateway = one_gateway(0, 1, 4);
    let none_failing = |_| false;
    send_requests(&mut gateway, span(0.0, 30_000.0, 50.0), 0, &|backend| {
        backend.0 == 0
    });
    let non_idempotent = send_requests(
        &mut gateway,
        span(30_000.0, 130_000.0, 50.0),
        2,
        &none_failing,
    );
    assert_eq!(
        non_idempotent.get(&BackendId(0)),
        None,
        "a request that is not idempotent was the trial"
    );
    send_requests(
        &mut gateway,
        span(130_000.0, 140_000.0, 50.0),
        0,
        &none_failing,
    );
    let after = send_requests(
        &mut gateway,
        span(140_000.0, 150_000.0, 50.0),
        2,
        &none_failing,
    );
    assert!(
        after
            .get(&BackendId(0))
            .is_some_and(|sent| (25..=75).contains(sent)),
        "{after:?}"
    );
}

/// Where every backend fails, none is avoided, and all are used once the common cause is over.
#[test]
fn ejection_is_ignored_when_all_backends_fail() {
    let mut gateway = one_gateway(0, 1, 8);
    send_requests(&mut gateway, span(0.0, 10_000.0, 20.0), 0, &|_| true);
    let after = send_requests(&mut gateway, span(10_000.0, 12_000.0, 20.0), 0, &|_| false);
    assert!(after.values().sum::<u32>() >= 90, "{after:?}");
    let later = send_requests(&mut gateway, span(40_000.0, 50_000.0, 20.0), 0, &|_| false);
    assert_eq!(later.len(), 8, "{later:?}");
}

/// One error in a hundred responses ejects no backend.
#[test]
fn rare_errors_eject_no_backend() {
    let mut gateway = one_gateway(0, 1, 8);
    let count = std::cell::Cell::new(0u32);
    let noisy = |_| {
        count.set(count.get() + 1);
        count.get().is_multiple_of(100)
    };
    let sent = send_requests(&mut gateway, span(0.0, 100_000.0, 20.0), 0, &noisy);
    assert!(
        sent.values().all(|sent| (500..=800).contains(sent)),
        "{sent:?}"
    );
}

/// A new process under the same backend id starts without the faults of the one before.
#[test]
fn restarted_backend_is_not_ejected_for_its_past() {
    let mut gateway = one_gateway(0, 1, 4);
    send_requests(&mut gateway, span(0.0, 30_000.0, 50.0), 0, &|backend| {
        backend.0 == 0
    });
    let before = send_requests(
        &mut gateway,
        span(30_000.0, 32_000.0, 50.0),
        0,
        &|backend| backend.0 == 0,
    );
    assert!(
        before.get(&BackendId(0)).is_none_or(|sent| *sent <= 1),
        "{before:?}"
    );
    let restarted = BackendEntry {
        started_at: Some(-1e6),
        ..ready(0, 0)
    };
    gateway.handle(
        32_000.0,
        Event::EndpointsChanged(ListKind::Changes, vec![restarted]),
    );
    let sent = send_requests(&mut gateway, span(32_000.0, 34_000.0, 50.0), 0, &|_| false);
    assert!(
        sent.get(&BackendId(0)).is_some_and(|sent| *sent >= 5),
        "{sent:?}"
    );
}
