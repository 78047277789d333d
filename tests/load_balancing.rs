//! The endpoint list, and the subset of the backends that a gateway sends requests to.

mod common;
use cometspool::*;
use common::*;
use std::collections::BTreeMap;

#[test]
fn draining_and_removed_backends_get_no_requests() {
    for availability in [Availability::Draining, Availability::Removed] {
        let mut gateway = GatewayFixture::new(
            settings(generous_plan(), 1),
            vec![ready_backend(1, 0), ready_backend(2, 0)],
        );
        let unavailable = BackendEntry {
            availability,
            ..ready_backend(1, 0)
        };
        gateway.handle(
            1.0,
            Event::EndpointsChanged(ListKind::Changes, vec![unavailable]),
        );
        for id in 0..2 {
            assert_eq!(gateway.arrive(2.0, request(id, 0, 2.0)), Some(BackendId(2)));
        }
        // A retry is not sent there either.
        gateway.complete(3.0, 0, 0, BackendId(2), Outcome::Error);
        assert_eq!(gateway.sent_to(), Some(BackendId(2)));
    }
    let mut gateway = GatewayFixture::new(
        settings(generous_plan(), 1),
        vec![ready_backend(1, 0), ready_backend(2, 0)],
    );
    gateway.handle(
        1.0,
        Event::EndpointsChanged(ListKind::Full, vec![ready_backend(2, 0)]),
    );
    assert_eq!(gateway.arrive(2.0, request(1, 0, 2.0)), Some(BackendId(2)));
}

#[test]
fn endpoint_list_is_polled_where_it_is_not_pushed() {
    let gateway_settings = Settings {
        discovery: DiscoveryMode::OnRequest,
        ..settings(generous_plan(), 1)
    };
    let mut gateway = GatewayFixture::new(gateway_settings, vec![ready_backend(1, 0)]);
    assert!(gateway.actions.contains(&Action::Subscribe));
    gateway.handle(10.0, Event::EndpointsChanged(ListKind::Failed, vec![]));
    let Some(Action::SetTimer { at, timer }) = gateway.actions.first().cloned() else {
        panic!("no timer to repeat the failed poll")
    };
    assert!(at < 10.0 + 10_000.0);
    assert!(gateway
        .handle(at, Event::TimerFired(timer))
        .contains(&Action::Subscribe));
    assert_eq!(
        gateway.arrive(at, request(1, 0, at)),
        Some(BackendId(1)),
        "the previous list stays in force"
    );
}

/// Where many gateways share many backends, each gateway uses a subset of them, and all backends are used by about the
/// same number of gateways.
#[test]
fn each_of_many_gateways_keeps_to_a_subset_of_the_backends() {
    let mut gateways_by_backend = BTreeMap::<BackendId, u32>::new();
    for gateway_index in 0..100 {
        let mut gateway = one_of_many(
            gateway_index,
            (0..60).map(|id| ready_backend(id * 7919, id % 2)).collect(),
        );
        let mut requests_by_backend = BTreeMap::<BackendId, u32>::new();
        for i in 0..240 {
            let now = f64::from(i) * 250.0;
            let backend = gateway
                .arrive(now, request(i, 0, now))
                .expect("the request is admitted");
            gateway.complete(now + 100.0, i, 0, backend, Outcome::Ok);
            *requests_by_backend.entry(backend).or_default() += 1;
        }
        assert!(
            (12..=13).contains(&requests_by_backend.len()),
            "{gateway_index}: {requests_by_backend:?}"
        );
        assert!(
            requests_by_backend
                .values()
                .all(|times| (10..=30).contains(times)),
            "{gateway_index}: {requests_by_backend:?}"
        );
        requests_by_backend
            .keys()
            .for_each(|id| *gateways_by_backend.entry(*id).or_default() += 1);
    }
    assert_eq!(gateways_by_backend.len(), 60);
    assert!(
        gateways_by_backend
            .values()
            .all(|gateways| (16..=26).contains(gateways)),
        "{gateways_by_backend:?}"
    );
}

/// A gateway extends its subset by further backends if those in it fail.
#[test]
fn subset_extends_beyond_failing_backends() {
    let mut gateway = one_of_many(0, (0..60).map(|id| ready_backend(id, 0)).collect());
    let mut requests_by_backend = BTreeMap::<BackendId, u32>::new();
    for i in 0..240 {
        let now = f64::from(i) * 250.0;
        let Some(mut backend) = gateway.arrive(now, request(i, 0, now)) else {
            continue;
        };
        for attempt in 0.. {
            let outcome = if backend.0 < 12 {
                Outcome::ConnectFailed
            } else {
                Outcome::Ok
            };
            gateway.complete(now + 1.0, i, attempt, backend, outcome);
            if outcome == Outcome::Ok {
                *requests_by_backend.entry(backend).or_default() += 1;
            }
            match gateway.sent_to() {
                Some(next) => backend = next,
                None => break,
            }
        }
    }
    assert!(
        requests_by_backend.len() >= 12 && requests_by_backend.values().sum::<u32>() > 200,
        "{requests_by_backend:?}"
    );
}

/// While backends are replaced one by one, each gateway keeps the others of its subset, so that it opens few new
/// connections. All backends are still used by about the same number of gateways.
#[test]
fn subset_is_kept_while_other_backends_are_replaced() {
    let mut new_connections = 0;
    let mut gateways_by_backend = BTreeMap::<BackendId, u32>::new();
    for gateway_index in 0..100 {
        let id = |i: u32| i.wrapping_mul(2_654_435_761);
        let mut gateway = one_of_many(
            gateway_index,
            (0..60).map(|i| ready_backend(id(i), 0)).collect(),
        );
        let mut requests_by_backend = [BTreeMap::<BackendId, u32>::new(), BTreeMap::new()];
        let mut last_used_at = BTreeMap::new();
        for i in 0..600u32 {
            let now = f64::from(i) * 250.0;
            // From 40 s on, one backend is replaced every 2.5 s, a third of all.
            if (160..360).contains(&i) && i % 10 == 0 {
                let old = (i - 160) / 10;
                let removed = BackendEntry {
                    availability: Availability::Removed,
                    ..ready_backend(id(old), 0)
                };
                gateway.handle(
                    now,
                    Event::EndpointsChanged(
                        ListKind::Changes,
                        vec![removed, ready_backend(id(100 + old), 0)],
                    ),
                );
            }
            let backend = gateway
                .arrive(now, request(i, 0, now))
                .expect("the request is admitted");
            gateway.complete(now + 100.0, i, 0, backend, Outcome::Ok);
            // The connection to a backend that was not used for 10 s has been closed.
            new_connections += usize::from(
                last_used_at
                    .insert(backend, now)
                    .is_none_or(|last| now - last > 10_000.0),
            );
            if !(160..400).contains(&i) {
                *requests_by_backend[usize::from(i >= 400)]
                    .entry(backend)
                    .or_default() += 1;
            }
        }
        requests_by_backend[1]
            .keys()
            .for_each(|id| *gateways_by_backend.entry(*id).or_default() += 1);
    }
    // A hundred gateways connect to twelve backends each; twenty gateways connect to each of the twenty new backends.
    let needed = 1200 + 400;
    assert!(
        new_connections <= needed + 250,
        "{new_connections} new connections, of which {needed} are needed"
    );
    assert_eq!(gateways_by_backend.len(), 60);
    assert!(
        gateways_by_backend
            .values()
            .all(|gateways| (12..=30).contains(gateways)),
        "{gateways_by_backend:?}"
    );
}
