//! The share of the load that a backend gets while it warms up.

mod common;
use cometspool::*;
use common::*;

#[test]
fn warming_backend_gets_its_slow_start_share_without_an_initial_burst() {
    let gateway_settings = Settings {
        start_capacity: 0.2,
        warm_up: 10_000.0,
        ..settings(generous_plan(), 1)
    };
    let mut gateway = GatewayFixture::new(gateway_settings, vec![ready(1, 0), ready(2, 0)]);
    let mut sent = [0; 4];
    for i in 0..4000u32 {
        let now = f64::from(i) * 5.0;
        if i == 2000 {
            let warming = BackendEntry {
                started_at: Some(now),
                ..ready(3, 0)
            };
            gateway.handle(
                now,
                Event::EndpointsChanged(ListKind::Changes, vec![warming]),
            );
            sent = [0; 4];
        }
        if let Some(at) = gateway.arrive(now, request(i, 0, now)) {
            sent[at.0 as usize] += 1;
            gateway.complete(now + 1.0, i, 0, at, Outcome::Ok);
        }
        // A warm backend gets about 100 a second; the warming one gets 0.2 of that, growing to all in 10 s.
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
    assert!(sent[3] > 100, "the warming backend is used: {}", sent[3]);
}

#[test]
fn hundred_gateways_together_do_not_overload_a_warming_backend() {
    // Each sends 2 a second to 10 backends: a warm one gets 20 a second in all, a warming one 4 and slowly more.
    let gateway_settings = Settings {
        start_capacity: 0.2,
        warm_up: 10_000.0,
        ..settings(generous_plan(), 100)
    };
    let warming = BackendEntry {
        started_at: Some(20_000.0),
        ..ready(0, 0)
    };
    let mut by_second = [0u32; 10];
    let mut all = 0;
    for seed in 0..100u32 {
        let warm = (1..10).map(|id| ready(id, 0)).collect();
        let mut gateway = GatewayFixture::seeded(gateway_settings.clone(), u64::from(seed), warm);
        for i in 0..60u32 {
            let now = f64::from(i) * 500.0 + f64::from(seed) * 5.0;
            if i == 40 {
                gateway.handle(
                    20_000.0,
                    Event::EndpointsChanged(ListKind::Changes, vec![warming]),
                );
            }
            if let Some(at) = gateway.arrive(now, request(i, 0, now)) {
                if at == warming.id {
                    by_second[((now - 20_000.0) / 1000.0) as usize] += 1;
                    all += 1;
                }
                gateway.complete(now + 1.0, i, 0, at, Outcome::Ok);
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
    assert!(all >= 40, "the warming backend is used: {all}");
}

#[test]
fn backends_are_used_while_all_are_warming() {
    let warming = |id| BackendEntry {
        started_at: Some(0.0),
        ..ready(id, 0)
    };
    let mut gateway =
        GatewayFixture::new(settings(generous_plan(), 1), vec![warming(1), warming(2)]);
    let served = (0..100)
        .filter(|i| gateway.serve(f64::from(*i) * 100.0, request(*i, 0, f64::from(*i) * 100.0)));
    assert!(served.count() > 10);
}

/// Where most backends are warming up, each gets a share by its slow-start fraction, and the warm ones not all of the
/// load.
#[test]
fn warming_backends_carry_their_share_when_most_are_warming() {
    let warming = |id: u32| BackendEntry {
        started_at: Some(0.0),
        ..ready(id, 0)
    };
    let mut taken = [0.0, 0.0];
    for gateway_index in 0..100 {
        let backends = (0..60).map(|id| {
            if id % 10 < 6 {
                warming(id)
            } else {
                ready(id, 0)
            }
        });
        let mut gateway = one_of_many(gateway_index, backends.collect());
        for i in 0..32 {
            // Each gateway's requests arrive in a part of the second of its own.
            let now = f64::from(i) * 250.0 + f64::from(gateway_index) * 2.5;
            let at = gateway
                .arrive(now, request(i, 0, now))
                .expect("the request is admitted");
            gateway.complete(now + 100.0, i, 0, at, Outcome::Ok);
            if now > 4000.0 {
                taken[usize::from(at.0 % 10 < 6)] += 1.0;
            }
        }
    }
    // From 4 s to 8 s the slow-start fraction is 0.46 to 0.82, 0.64 on average; 24 backends are warm, 36 warming.
    let ratio = (taken[1] / 36.0) / (taken[0] / 24.0);
    assert!((0.3..=0.75).contains(&ratio), "{ratio}: {taken:?}");
}
