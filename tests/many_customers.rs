//! Customers that come under ever new names: what the policy remembers of customers is bounded, and those that matter keep
//! their entries.

mod common;

use cometspool::*;
use common::*;

/// Most customers that the gateway of these tests remembers.
const LIMIT: usize = 2000;
/// Number of customers that come just once.
const SINGLE_CUSTOMERS: u32 = 20_000;
/// Numbers of the customers that come just once begin here.
const FIRST_SINGLE_CUSTOMER: u64 = 1_000_000;
/// Most requests of customer 1 that the bucket of its plan holds.
const BURST: u32 = 20;

/// A gateway with a plan of 1 unit a second and a burst of [`BURST`], which remembers [`LIMIT`] customers.
fn gateway() -> GatewayFixture {
    let plan = Plan {
        rate: 1.0,
        burst: f64::from(BURST),
        ..Plan::default()
    };
    let mut gateway = GatewayFixture::new(settings(plan, 1), vec![ready_backend(1, 0)]);
    gateway.engine.limit_customers(LIMIT);
    gateway
}

/// Sends a request of each of [`SINGLE_CUSTOMERS`] new customers within `duration` ms from `now`, and asserts that each is
/// served and that the gateway stores at most `limit` entries all the time.
fn serve_single_customers(
    gateway: &mut GatewayFixture,
    now: Millis,
    duration: Millis,
    limit: usize,
) {
    for number in 0..SINGLE_CUSTOMERS {
        let at = now + duration * f64::from(number) / f64::from(SINGLE_CUSTOMERS);
        let single_request = Request {
            customer: CustomerId(FIRST_SINGLE_CUSTOMER + u64::from(number)),
            ..request(number + 100_000, 0, at)
        };
        assert!(gateway.serve(at, single_request), "customer {number}");
        assert!(gateway.engine.tracked_customers() <= limit);
    }
}

/// The number of requests of customer 1 that are served of `count` that arrive at `now`.
fn served(gateway: &mut GatewayFixture, now: Millis, first_id: u32, count: u32) -> usize {
    (first_id..first_id + count)
        .filter(|id| gateway.serve(now, request(*id, 0, now)))
        .count()
}

/// Guards against memory that grows with the customers: entries are evicted at the limit and not only by age, and each
/// new customer is served.
#[test]
fn customers_that_come_once_take_bounded_memory() {
    let mut gateway = gateway();
    serve_single_customers(&mut gateway, 1.0, 2000.0, LIMIT);
    assert_eq!(gateway.engine.tracked_customers(), LIMIT);
}

/// Guards against names that wash out a customer over its quota: it stays rejected by its empty bucket.
#[test]
fn customers_that_come_once_evict_none_that_is_over_its_quota() {
    let mut gateway = gateway();
    assert_eq!(served(&mut gateway, 1.0, 0, BURST + 5), BURST as usize);
    serve_single_customers(&mut gateway, 2.0, 900.0, LIMIT);
    assert_eq!(served(&mut gateway, 903.0, 500, 5), 0);
}

/// Guards against a fresh bucket after an eviction: a customer within its quota that is evicted comes again, and its
/// bucket holds what it would have held.
#[test]
fn an_evicted_customer_gets_no_full_bucket() {
    let mut gateway = gateway();
    assert_eq!(served(&mut gateway, 1.0, 0, BURST - 2), BURST as usize - 2);
    for number in 0..2 * LIMIT as u32 {
        let single_request = Request {
            customer: CustomerId(FIRST_SINGLE_CUSTOMER + u64::from(number)),
            ..request(number + 100_000, 0, 2.0)
        };
        assert!(gateway.serve(2.0, single_request));
    }
    assert_eq!(served(&mut gateway, 1001.0, 500, BURST), 3);
}

/// Guards a customer with attempts in flight: its entry and the count of its attempts outlast any number of others.
#[test]
fn customers_that_come_once_evict_none_with_attempts_in_flight() {
    let plan = Plan {
        max_concurrency: 1,
        ..generous_plan()
    };
    let mut gateway = GatewayFixture::new(settings(plan, 1), vec![ready_backend(1, 0)]);
    gateway.engine.limit_customers(LIMIT);
    assert!(gateway.arrive(1.0, request(1, 0, 1.0)).is_some());
    serve_single_customers(&mut gateway, 2.0, 900.0, LIMIT);
    assert!(gateway.arrive(903.0, request(2, 0, 903.0)).is_none());
}
