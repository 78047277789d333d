//! Ejection of backends whose responses are errors, and their return after successful trial requests.

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
        (0..backends)
            .map(|id| ready_backend(id * 7919, 0))
            .collect(),
    )
}

/// The arrival times of requests: one each `interval`, from `from` until before `to`, ms.
struct RequestSchedule {
    from: Millis,
    to: Millis,
    interval: Millis,
}

fn schedule(from: Millis, to: Millis, interval: Millis) -> RequestSchedule {
    RequestSchedule { from, to, interval }
}

/// Sends requests of a class. Failing backends respond with an error in 1 ms, the others serve the request in 20 ms.
/// Returns the number of attempts that were sent to each backend, retries included.
fn send_requests(
    gateway: &mut GatewayFixture,
    schedule: RequestSchedule,
    class: usize,
    is_failing: &dyn Fn(BackendId) -> bool,
) -> BTreeMap<BackendId, u32> {
    let mut sent = BTreeMap::new();
    let mut now = schedule.from;
    while now < schedule.to {
        let id = now as u32;
        let mut selected = gateway.arrive(now, request(id, class, now));
        for attempt in 0.. {
            let Some(backend) = selected else { break };
            *sent.entry(backend).or_default() += 1;
            let (outcome, elapsed) = if is_failing(backend) {
                (Outcome::Error, 1.0)
            } else {
                (Outcome::Ok, 20.0)
            };
            let completion = AttemptCompleted {
                elapsed,
                ..completed(id, attempt, backend, outcome)
            };
            gateway.handle(now + elapsed, Event::AttemptCompleted(completion));
            selected = gateway.sent_to();
        }
        now += schedule.interval;
    }
    sent
}

/// A backend that responds with errors immediately is always idle, so load balancing would prefer it. However many
/// gateways use it, all of them together send it about one trial request per latency objective at first, and fewer and
/// fewer while it goes on failing.
#[test]
fn trials_of_an_ejected_backend_are_bounded_for_any_fleet_size() {
    for (gateways, backends) in [(3, 12), (30, 20), (300, 200)] {
        let mut early = 0;
        let mut late = 0;
        for gateway_index in 0..gateways {
            let mut gateway = one_gateway(gateway_index, gateways, backends);
            let is_failing = |backend: BackendId| backend.0 == 0;
            send_requests(&mut gateway, schedule(0.0, 5000.0, 100.0), 0, &is_failing);
            early += send_requests(
                &mut gateway,
                schedule(5000.0, 25_000.0, 100.0),
                0,
                &is_failing,
            )
            .get(&BackendId(0))
            .copied()
            .unwrap_or(0);
            late += send_requests(
                &mut gateway,
                schedule(60_000.0, 80_000.0, 100.0),
                0,
                &is_failing,
            )
            .get(&BackendId(0))
            .copied()
            .unwrap_or(0);
        }
        // In 20 s, with a latency objective of 1 s: two errors for each of the eighteen gateways that use the backend,
        // then about one trial per objective by all of them together.
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

/// If more gateways are live than configured, each sends trial requests less often, so that their sum stays the same.
/// If fewer are live, the configured number counts.
#[test]
fn trial_rate_follows_the_live_gateways_but_at_least_the_configured_number() {
    let trials = |live_gateways: u32| {
        let trials_of_each = (0..18).map(|gateway_index| {
            let mut gateway = one_gateway(gateway_index, 18, 12);
            gateway.handle(0.0, Event::FleetSizeChanged(live_gateways));
            let sent = send_requests(
                &mut gateway,
                schedule(0.0, 60_000.0, 100.0),
                0,
                &|backend| backend.0 == 0,
            );
            sent.get(&BackendId(0)).copied().unwrap_or(0)
        });
        trials_of_each.sum::<u32>()
    };
    let [configured, fewer, more] = [18, 3, 180].map(trials);
    assert_eq!(fewer, configured);
    assert!(
        more < configured * 2 / 3,
        "{more} trials with more live gateways, {configured} with the configured number"
    );
}

/// An ejected backend that has recovered gets an idempotent request as a trial, and afterwards its share of the
/// requests. A request that must not execute twice is never a trial.
#[test]
fn ejected_backend_returns_by_idempotent_trials_only() {
    let mut gateway = one_gateway(0, 1, 4);
    let none_failing = |_| false;
    send_requests(&mut gateway, schedule(0.0, 30_000.0, 50.0), 0, &|backend| {
        backend.0 == 0
    });
    let non_idempotent = send_requests(
        &mut gateway,
        schedule(30_000.0, 130_000.0, 50.0),
        2,
        &none_failing,
    );
    assert_eq!(
        non_idempotent.get(&BackendId(0)),
        None,
        "a non-idempotent request was sent as a trial"
    );
    send_requests(
        &mut gateway,
        schedule(130_000.0, 140_000.0, 50.0),
        0,
        &none_failing,
    );
    let after = send_requests(
        &mut gateway,
        schedule(140_000.0, 150_000.0, 50.0),
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

/// While every backend fails, ejection is ignored. All backends are used again once the common cause is over.
#[test]
fn ejection_is_ignored_when_all_backends_fail() {
    let mut gateway = one_gateway(0, 1, 8);
    send_requests(&mut gateway, schedule(0.0, 10_000.0, 20.0), 0, &|_| true);
    let after = send_requests(&mut gateway, schedule(10_000.0, 12_000.0, 20.0), 0, &|_| {
        false
    });
    assert!(after.values().sum::<u32>() >= 90, "{after:?}");
    let later = send_requests(&mut gateway, schedule(40_000.0, 50_000.0, 20.0), 0, &|_| {
        false
    });
    assert_eq!(later.len(), 8, "{later:?}");
}

/// A backend is not ejected for one error in a hundred responses.
#[test]
fn rare_errors_eject_no_backend() {
    let mut gateway = one_gateway(0, 1, 8);
    let count = std::cell::Cell::new(0u32);
    let fails_one_in_a_hundred = |_| {
        count.set(count.get() + 1);
        count.get().is_multiple_of(100)
    };
    let sent = send_requests(
        &mut gateway,
        schedule(0.0, 100_000.0, 20.0),
        0,
        &fails_one_in_a_hundred,
    );
    assert!(
        sent.values().all(|sent| (500..=800).contains(sent)),
        "{sent:?}"
    );
}

/// A new process under the same backend id starts without the faults of its predecessor.
#[test]
fn restarted_backend_is_not_ejected_for_its_past() {
    let mut gateway = one_gateway(0, 1, 4);
    send_requests(&mut gateway, schedule(0.0, 30_000.0, 50.0), 0, &|backend| {
        backend.0 == 0
    });
    let before = send_requests(
        &mut gateway,
        schedule(30_000.0, 32_000.0, 50.0),
        0,
        &|backend| backend.0 == 0,
    );
    assert!(
        before.get(&BackendId(0)).is_none_or(|sent| *sent <= 1),
        "{before:?}"
    );
    let restarted = BackendEntry {
        started_at: Some(-1e6),
        ..ready_backend(0, 0)
    };
    gateway.handle(
        32_000.0,
        Event::EndpointsChanged(ListKind::Changes, vec![restarted]),
    );
    let sent = send_requests(&mut gateway, schedule(32_000.0, 34_000.0, 50.0), 0, &|_| {
        false
    });
    assert!(
        sent.get(&BackendId(0)).is_some_and(|sent| *sent >= 5),
        "{sent:?}"
    );
}
