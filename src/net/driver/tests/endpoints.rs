//! The endpoint table: ids, starts and address conflicts.

use super::fixture::{advance, endpoint, incoming, run, settings, start_driver, IDEMPOTENT};
use super::scripted_backends::ScriptedBackends;
use crate::net::control::discovery::{EndpointObserver, EndpointUpdate};
use crate::net::control::endpoint_list::{Endpoint, EndpointList, Health};
use crate::net::downstream::connections::RequestHandler;
use crate::net::driver::endpoints::hash_name;
use crate::net::driver::Driver;
use crate::net::messages::Answer;
use crate::net::runtime::clock::Clock;
use cometspool::{BackendId, Millis};
use std::collections::HashSet;
use tokio::time::Instant;

/// Guards the subsets of endpoints that gateways use: gateways agree on the order of ids only if all of them, of any
/// release, give an endpoint the same id. The expected values are folded FNV-1a hashes.
#[test]
fn an_endpoint_has_the_same_id_at_every_gateway() {
    assert_eq!(["", "a"].map(hash_name), [0x4fd0_bfc1, 0x2962_30c0]);
    let ids: HashSet<u32> = (0..1000)
        .map(|i| hash_name(&format!("s-{i:08x}")))
        .collect();
    assert_eq!(ids.len(), 1000);
}

/// Guards deadlines against steps of the wall clock, which is read only once. Guards slow start against clock skew: an
/// endpoint that reports a start in the future is in slow start like one that has just started, and for as long.
#[test]
fn the_clock_ignores_steps_and_no_endpoint_starts_in_the_future() {
    run(async {
        let clock = Clock::new();
        let before = clock.now();
        let began = Instant::now();
        advance(1000.0).await;
        let elapsed = began.elapsed().as_secs_f64() * 1000.0;
        assert!((clock.now() - before - elapsed).abs() < 1e-3);

        let driver = start_driver(settings(false), 1, 1, &ScriptedBackends::scripted(&[]));
        let ahead = driver.context.clock.now() + 3_600_000.0;
        let first = effective_start(&driver, ahead);
        assert!(first <= driver.context.clock.now());
        advance(5000.0).await;
        let again = effective_start(&driver, ahead);
        assert_eq!(again, first, "the same reported start is no new start");
        let later = effective_start(&driver, ahead + 1.0);
        assert!(
            later > first && later <= driver.context.clock.now(),
            "another reported start is a new start"
        );
    });
}

/// The start that the policy gets for an endpoint that reports `started_at_ms`.
fn effective_start(driver: &Driver, started_at_ms: Millis) -> Millis {
    let entry = driver
        .endpoints
        .borrow_mut()
        .apply_endpoint(&endpoint("s-9", 1, started_at_ms));
    entry.started_at.expect("a start")
}

/// Guards requests against reaching the wrong backend: if two endpoints are listed at one address, the address belongs
/// to the one that started later, whichever is listed first, in one list or in two. The other one gets no requests,
/// even though the list still reports it as up.
#[test]
fn an_address_belongs_to_the_endpoint_that_started_last() {
    let old = endpoint("s-old", 9, 1000.0);
    let new = endpoint("s-new", 9, 2000.0);
    for order in [[&old, &new], [&new, &old]] {
        let both: Vec<Endpoint> = order.into_iter().cloned().collect();
        let one_by_one = both.iter().map(|endpoint| vec![endpoint.clone()]).collect();
        run(check_address_owner(vec![both]));
        run(check_address_owner(one_by_one));
    }
}

async fn check_address_owner(lists: Vec<Vec<Endpoint>>) {
    let backends = ScriptedBackends::scripted(&[]);
    let driver = start_driver(settings(false), 1, 0, &backends);
    for (endpoints, version) in lists.into_iter().zip(2..) {
        send_changes(&driver, version, endpoints);
    }
    for i in 0..6 {
        let request = incoming(&driver, &format!("r-{i}"), IDEMPOTENT, 3.0);
        let (_, answer) = driver.submit(request).expect("accepted");
        assert!(matches!(answer.await, Ok(Answer::Served(_))));
    }
    let used: HashSet<u32> = backends
        .borrow()
        .attempts
        .iter()
        .map(|attempt| attempt.backend.0)
        .collect();
    assert_eq!(used, HashSet::from([hash_name("s-new")]));

    // After an endpoint has moved to another address, its former address can belong to another endpoint.
    send_changes(&driver, 9, vec![endpoint("s-new", 10, 3000.0)]);
    send_changes(&driver, 10, vec![endpoint("s-late", 9, 2500.0)]);
    for name in ["s-new", "s-late"] {
        let id = BackendId(hash_name(name));
        assert!(driver.connections.takes_new(id), "{name}");
    }
}

fn send_changes(driver: &Driver, version: u64, endpoints: Vec<Endpoint>) {
    let list = EndpointList {
        version,
        is_full: false,
        endpoints,
    };
    driver.endpoints_updated(&list, EndpointUpdate::Current);
}

/// Guards memory against endpoints whose clocks are ahead: the future incarnations that are kept are bounded by the
/// number of listed endpoints, however often the list changes.
#[test]
fn starts_in_the_future_are_kept_for_listed_endpoints_only() {
    const CHANGES: u32 = 100_000;
    const LISTED: u32 = 10;
    run(async {
        let driver = start_driver(settings(false), 1, 0, &ScriptedBackends::scripted(&[]));
        let ahead = driver.context.clock.now() + 3_600_000.0;
        let mut table = driver.endpoints.borrow_mut();
        let mut apply = |number: u32, health: Health| {
            let endpoint = endpoint(&format!("s-{number}"), 1, ahead);
            table.apply_endpoint(&Endpoint { health, ..endpoint });
            table.future_incarnation_count()
        };
        for number in 0..CHANGES / 2 {
            apply(number, Health::Up);
            if number >= LISTED {
                let kept = apply(number - LISTED, Health::Removed);
                assert!(
                    kept <= LISTED as usize,
                    "{kept} future incarnations kept after endpoint {number}"
                );
            }
        }
    });
}
