//! The endpoint list, and the subset of its backends that a gateway keeps to.

mod common;
use cometspool::*;
use common::*;
use std::collections::BTreeMap;

#[test]
fn draining_and_removed_backends_get_no_requests() {
    for availability in [Availability::Draining, Availability::Removed] {
        let mut gateway =
            GatewayFixture::new(settings(generous_plan(), 1), vec![ready(1, 0), ready(2, 0)]);
        let unavailable = BackendEntry {
            availability,
            ..ready(1, 0)
        };
        gateway.handle(
            1.0,
            Event::EndpointsChanged(ListKind::Changes, vec![unavailable]),
        );
        for id in 0..2 {
            assert_eq!(gateway.arrive(2.0, request(id, 0, 2.0)), Some(BackendId(2)));
        }
        // A retry does not go there either.
        gateway.complete(3.0, 0, 0, BackendId(2), Outcome::Error);
        assert_eq!(gateway.sent_to(), Some(BackendId(2)));
    }
    let mut gateway =
        GatewayFixture::new(settings(generous_plan(), 1), vec![ready(1, 0), ready(2, 0)]);
    gateway.handle(
        1.0,
        Event::EndpointsChanged(ListKind::Full, vec![ready(2, 0)]),
    );
    assert_eq!(gateway.arrive(2.0, request(1, 0, 2.0)), Some(BackendId(2)));
}

#[test]
fn endpoint_list_is_polled_where_it_is_not_pushed() {
    let gateway_settings = Settings {
        discovery: DiscoveryMode::OnRequest,
        ..settings(generous_plan(), 1)
    };
    let mut gateway = GatewayFixture::new(gateway_settings, vec![ready(1, 0)]);
    assert!(gateway.actions.contains(&Action::Subscribe));
    gateway.handle(10.0, Event::EndpointsChanged(ListKind::Failed, vec![]));
    let Some(Action::SetTimer { at, timer }) = gateway.actions.first().cloned() else {
        panic!("the poll is not repeated")
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

/// Where many gateways share many backends, each keeps to a few, and each backend is used by about as many gateways
/// as any other.
#[test]
fn each_of_many_gateways_keeps_to_a_subset_of_the_backends() {
    let mut users = BTreeMap::<BackendId, u32>::new();
    for gateway_index in 0..100 {
        let mut gateway = one_of_many(
            gateway_index,
            (0..60).map(|id| ready(id * 7919, id % 2)).collect(),
        );
        let mut used = BTreeMap::<BackendId, u32>::new();
        for i in 0..240 {
            let now = f64::from(i) * 250.0;
            let at = gateway
                .arrive(now, request(i, 0, now))
                .expect("the request is admitted");
            gateway.complete(now + 100.0, i, 0, at, Outcome::Ok);
            *used.entry(at).or_default() += 1;
        }
        assert!((12..=13).contains(&used.len()), "{gateway_index}: {used:?}");
        assert!(
            used.values().all(|times| (10..=30).contains(times)),
            "{gateway_index}: {used:?}"
        );
        used.keys()
            .for_each(|id| *users.entry(*id).or_default() += 1);
    }
    assert_eq!(users.len(), 60);
    assert!(
        users.values().all(|gateways| (16..=26).contains(gateways)),
        "{users:?}"
    );
}

/// A gateway whose subset fails goes on to further backends.
#[test]
fn subset_extends_beyond_failing_backends() {
    let mut gateway = one_of_many(0, (0..60).map(|id| ready(id, 0)).collect());
    let mut used = BTreeMap::<BackendId, u32>::new();
    for i in 0..240 {
        let now = f64::from(i) * 250.0;
        let Some(mut at) = gateway.arrive(now, request(i, 0, now)) else {
            continue;
        };
        for attempt in 0.. {
            let outcome = if at.0 < 12 {
                Outcome::ConnectFailed
            } else {
                Outcome::Ok
            };
            gateway.complete(now + 1.0, i, attempt, at, outcome);
            if outcome == Outcome::Ok {
                *used.entry(at).or_default() += 1;
            }
            match gateway.sent_to() {
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

/// While backends are replaced one by one, each gateway keeps those that it has, and each backend is still used by
/// about as many gateways as any other.
#[test]
fn subset_is_kept_while_other_backends_are_replaced() {
    let mut connects = 0;
    let mut users = BTreeMap::<BackendId, u32>::new();
    for gateway_index in 0..100 {
        let id = |i: u32| i.wrapping_mul(2_654_435_761);
        let mut gateway = one_of_many(gateway_index, (0..60).map(|i| ready(id(i), 0)).collect());
        let mut used = [BTreeMap::<BackendId, u32>::new(), BTreeMap::new()];
        let mut last_used = BTreeMap::new();
        for i in 0..600u32 {
            let now = f64::from(i) * 250.0;
            // From 40 s on, one is replaced every 2.5 s: a third of all.
            if (160..360).contains(&i) && i % 10 == 0 {
                let old = (i - 160) / 10;
                let gone = BackendEntry {
                    availability: Availability::Removed,
                    ..ready(id(old), 0)
                };
                gateway.handle(
                    now,
                    Event::EndpointsChanged(ListKind::Changes, vec![gone, ready(id(100 + old), 0)]),
                );
            }
            let at = gateway
                .arrive(now, request(i, 0, now))
                .expect("the request is admitted");
            gateway.complete(now + 100.0, i, 0, at, Outcome::Ok);
            // A backend that was not used for 10 s has no connection any more.
            connects += usize::from(
                last_used
                    .insert(at, now)
                    .is_none_or(|last| now - last > 10_000.0),
            );
            if !(160..400).contains(&i) {
                *used[usize::from(i >= 400)].entry(at).or_default() += 1;
            }
        }
        used[1]
            .keys()
            .for_each(|id| *users.entry(*id).or_default() += 1);
    }
    // A hundred gateways have twelve backends each; twenty new ones are used by twenty gateways each.
    let least = 1200 + 400;
    assert!(
        connects <= least + 250,
        "{connects} connects, of which {least} are needed"
    );
    assert_eq!(users.len(), 60);
    assert!(
        users.values().all(|gateways| (12..=30).contains(gateways)),
        "{users:?}"
    );
}
