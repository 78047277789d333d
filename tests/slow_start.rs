//! Slow start: the share of the load that a backend gets while it warms up.

mod common;
use cometspool::*;
use common::*;
use std::collections::VecDeque;

#[test]
fn warming_backend_gets_its_slow_start_share_without_an_initial_burst() {
    let gateway_settings = Settings {
        start_capacity: 0.2,
        warm_up: 10_000.0,
        ..settings(generous_plan(), 1)
    };
    let mut gateway = GatewayFixture::new(
        gateway_settings,
        vec![ready_backend(1, 0), ready_backend(2, 0)],
    );
    let mut sent = [0; 4];
    for i in 0..4000u32 {
        let now = f64::from(i) * 5.0;
        if i == 2000 {
            let warming = BackendEntry {
                started_at: Some(now),
                ..ready_backend(3, 0)
            };
            gateway.handle(
                now,
                Event::EndpointsChanged(ListKind::Changes, vec![warming]),
            );
            sent = [0; 4];
        }
        if let Some(backend) = gateway.arrive(now, request(i, 0, now)) {
            sent[backend.0 as usize] += 1;
            gateway.complete(now + 1.0, i, 0, backend, Outcome::Ok);
        }
        // A warm backend gets about 100 requests per second. The warming one gets 0.2 of that at first, and all of it
        // after 10 s.
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
    assert!(
        sent[3] > 100,
        "the warming backend is hardly used: {}",
        sent[3]
    );
}

#[test]
fn hundred_gateways_together_do_not_overload_a_warming_backend() {
    // Each gateway sends 2 requests per second to 10 backends. Together they send 20 per second to a warm backend, and
    // 4 per second to a warming one at first, then slowly more.
    let gateway_settings = Settings {
        start_capacity: 0.2,
        warm_up: 10_000.0,
        ..settings(generous_plan(), 100)
    };
    let warming = BackendEntry {
        started_at: Some(20_000.0),
        ..ready_backend(0, 0)
    };
    let mut by_second = [0u32; 10];
    let mut total = 0;
    for seed in 0..100u32 {
        let warm = (1..10).map(|id| ready_backend(id, 0)).collect();
        let mut gateway = GatewayFixture::seeded(gateway_settings.clone(), u64::from(seed), warm);
        for i in 0..60u32 {
            let now = f64::from(i) * 500.0 + f64::from(seed) * 5.0;
            if i == 40 {
                gateway.handle(
                    20_000.0,
                    Event::EndpointsChanged(ListKind::Changes, vec![warming]),
                );
            }
            if let Some(backend) = gateway.arrive(now, request(i, 0, now)) {
                if backend == warming.id {
                    by_second[((now - 20_000.0) / 1000.0) as usize] += 1;
                    total += 1;
                }
                gateway.complete(now + 1.0, i, 0, backend, Outcome::Ok);
            }
        }
    }
    for (second, sent) in (0..).zip(by_second) {
        let share = 20.0 * (0.2 + 0.08 * (f64::from(second) + 1.0));
        assert!(
            f64::from(sent) <= 1.8 * share,
            "{sent} in second {second}, with a share of {share}"
        );
    }
    assert!(total >= 40, "the warming backend is hardly used: {total}");
}

#[test]
fn backends_are_used_while_all_are_warming() {
    let warming = |id| BackendEntry {
        started_at: Some(0.0),
        ..ready_backend(id, 0)
    };
    let mut gateway =
        GatewayFixture::new(settings(generous_plan(), 1), vec![warming(1), warming(2)]);
    let served = (0..100)
        .filter(|i| gateway.serve(f64::from(*i) * 100.0, request(*i, 0, f64::from(*i) * 100.0)));
    assert!(served.count() > 10);
}

/// If most backends are warming up, each of them gets a share according to its slow-start fraction, so that the warm
/// ones do not get all of the load.
#[test]
fn warming_backends_carry_their_share_when_most_are_warming() {
    let warming = |id: u32| BackendEntry {
        started_at: Some(0.0),
        ..ready_backend(id, 0)
    };
    let mut sent = [0.0, 0.0];
    for gateway_index in 0..100 {
        let backends = (0..60).map(|id| {
            if id % 10 < 6 {
                warming(id)
            } else {
                ready_backend(id, 0)
            }
        });
        let mut gateway = one_of_many(gateway_index, backends.collect());
        for i in 0..32 {
            // The gateways' requests arrive at different times within a second.
            let now = f64::from(i) * 250.0 + f64::from(gateway_index) * 2.5;
            let backend = gateway
                .arrive(now, request(i, 0, now))
                .expect("the request is admitted");
            gateway.complete(now + 100.0, i, 0, backend, Outcome::Ok);
            if now > 4000.0 {
                sent[usize::from(backend.0 % 10 < 6)] += 1.0;
            }
        }
    }
    // From 4 s to 8 s the slow-start fraction rises from 0.46 to 0.82, 0.64 on average.
    // 24 backends are warm, 36 warming.
    let ratio = (sent[1] / 36.0) / (sent[0] / 24.0);
    assert!((0.3..=0.75).contains(&ratio), "{ratio}: {sent:?}");
}

/// Delay of a late response, in request intervals of 50 ms.
const RESPONSE_DELAY_INTERVALS: u32 = 30;

/// Number of requests that a gateway sends while all its backends warm up and respond too late. A client that marks its
/// retries sends ten requests per second and, if there is `extra` traffic, as many retries or further requests between
/// them.
fn sent_while_warming(extra: Option<ExtraTraffic>) -> u32 {
    let warming = |id| BackendEntry {
        started_at: Some(0.0),
        ..ready_backend(id, 0)
    };
    let gateway_settings = Settings {
        start_capacity: 0.2,
        warm_up: 10_000.0,
        ..settings(generous_plan(), 300)
    };
    let backends = (0..16).map(warming).collect();
    let mut gateway = GatewayFixture::new(gateway_settings, backends);
    let mut in_flight = VecDeque::new();
    let mut sent = 0;
    for i in 0..200 {
        let now = f64::from(i) * 50.0;
        while in_flight
            .front()
            .is_some_and(|(id, _)| id + RESPONSE_DELAY_INTERVALS < i)
        {
            let (id, backend) = in_flight.pop_front().unwrap();
            gateway.complete(now, id, 0, backend, Outcome::Ok);
        }
        let is_extra = i % 2 == 1;
        if is_extra && extra.is_none() {
            continue;
        }
        let request = Request {
            // The first request shows that the client marks its retries.
            is_retry: i == 0 || (is_extra && extra == Some(ExtraTraffic::Retries)),
            ..request(i, 0, now)
        };
        if let Some(backend) = gateway.arrive(now, request) {
            sent += 1;
            in_flight.push_back((i, backend));
        }
    }
    sent
}

/// What a client sends in addition to its requests.
#[derive(Clone, Copy, PartialEq)]
enum ExtraTraffic {
    Retries,
    Requests,
}

/// Guards against counting marked retries as further demand, which would send warming backends more than their
/// capacity.
#[test]
fn marked_retries_do_not_raise_what_warming_backends_get() {
    let without = sent_while_warming(None);
    let with_retries = sent_while_warming(Some(ExtraTraffic::Retries));
    let with_requests = sent_while_warming(Some(ExtraTraffic::Requests));
    assert!(
        f64::from(with_retries) <= 1.1 * f64::from(without),
        "{with_retries} with retries, {without} without"
    );
    assert!(
        f64::from(with_requests) >= 1.3 * f64::from(without),
        "{with_requests} with as many requests again, {without} without"
    );
}
