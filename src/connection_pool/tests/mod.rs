//! Unit tests of the connection pools, with a driver that records actions instead of executing them.

use super::endpoint_pool::{MAX_CONCURRENT_DIALS, TABLE_LIMIT_GROWTH_INTERVAL};
use super::idle_age::IdleAgeEstimator;
use super::*;

mod churn;

fn limits() -> PoolLimits {
    PoolLimits {
        max_connections: 12,
        endpoint_idle_timeout: 30_000.0,
        gateway_count: 300,
        handshake_cost: 0.02,
        connection_cost: 0.0,
    }
}

fn pool() -> ConnectionPool<u32> {
    ConnectionPool::new(limits(), 7)
}

fn reused(connection: u64, idle_ms: u32) -> Checkout {
    Checkout::Reused {
        connection: ConnectionId(connection),
        idle_ms,
    }
}

/// A driver that records every action of the pool and executes none.
#[derive(Default)]
struct RecordingDriver {
    actions: Vec<PoolAction<u32>>,
    /// The backends of all dials so far, in the order of the dials.
    dials: Vec<u32>,
    /// The dials in flight, the oldest first.
    in_flight: Vec<(u32, DialId)>,
    assigned: Vec<(WaiterId, ConnectionId)>,
    failed: Vec<(WaiterId, PoolError)>,
    closed: Vec<ConnectionId>,
    wakes: Vec<(u32, Millis)>,
}

impl RecordingDriver {
    /// Removes and returns the oldest dial in flight to a backend.
    fn take_oldest_dial(&mut self, endpoint: u32) -> DialId {
        self.record_actions();
        let index = self
            .in_flight
            .iter()
            .position(|(dialed, _)| *dialed == endpoint)
            .expect("a dial in flight");
        self.in_flight.remove(index).1
    }

    fn connect(
        &mut self,
        pool: &mut ConnectionPool<u32>,
        now: Millis,
        endpoint: u32,
        connection: u64,
    ) {
        let dial = self.take_oldest_dial(endpoint);
        pool.dial_succeeded(
            now,
            endpoint,
            dial,
            ConnectionId(connection),
            &mut self.actions,
        );
    }

    fn fail(
        &mut self,
        pool: &mut ConnectionPool<u32>,
        now: Millis,
        endpoint: u32,
        failure: DialFailure,
    ) {
        let dial = self.take_oldest_dial(endpoint);
        pool.dial_failed(now, endpoint, dial, failure, &mut self.actions);
    }

    fn record_actions(&mut self) {
        for action in self.actions.drain(..) {
            match action {
                PoolAction::Dial(endpoint, dial) => {
                    self.dials.push(endpoint);
                    self.in_flight.push((endpoint, dial));
                }
                PoolAction::Assign(waiter, connection) => self.assigned.push((waiter, connection)),
                PoolAction::Fail(waiter, error) => self.failed.push((waiter, error)),
                PoolAction::Close(connection) => self.closed.push(connection),
                PoolAction::Wake(endpoint, at) => self.wakes.push((endpoint, at)),
            }
        }
    }
}

/// Guards the estimate of reliable idle ages: breaks of connections at some idle age make this age
/// and higher ones unreliable, but not lower ones. Occasional breaks make no age unreliable, and an
/// age at which connections work again becomes reliable again.
#[test]
fn only_idle_ages_at_which_connections_break_are_unreliable() {
    let [young, old, older] = [20.0, 200.0, 2000.0];
    let start = 1e6;
    let mut ages = IdleAgeEstimator::default();
    for i in 0..20 {
        ages.record(start, young, i % 10 == 0);
        assert!(
            ages.is_reliable(start, older),
            "unreliable although only a tenth broke"
        );
    }
    for _ in 0..3 {
        ages.record(start, old, true);
        ages.record(start, old, false);
    }
    assert_eq!(
        [young, old, older].map(|age| ages.is_reliable(start, age)),
        [true, false, false]
    );
    let later = start + 8000.0;
    for _ in 0..10 {
        ages.record(later, old, false);
    }
    assert_eq!(
        [young, old, older].map(|age| ages.is_reliable(later, age)),
        [true; 3]
    );
    // Without further observations, an age also becomes reliable again with time.
    assert!(ages.is_reliable(start + 60_000.0, older));
}

/// Guards reuse: the most recently used settled connection is reused first, and one whose response
/// has only just ended is reused only if there is no other. A connection that has been idle for too
/// long is closed and not reused.
#[test]
fn checkout_prefers_the_most_recently_used_settled_connection() {
    let mut pool = ConnectionPool::new(
        PoolLimits {
            gateway_count: 3,
            ..limits()
        },
        7,
    );
    let mut driver = RecordingDriver::default();
    for connection in 1..=3u64 {
        assert_eq!(
            pool.checkout(0.0, 1, WaiterId(connection), false, &mut driver.actions),
            Checkout::Queued
        );
    }
    for connection in 1..=3u64 {
        driver.connect(&mut pool, 1.0, 1, connection);
    }
    for (connection, at) in [(1, 100.0), (2, 200.0), (3, 300.0)] {
        pool.release(at, 1, ConnectionId(connection), &mut driver.actions);
    }
    driver.record_actions();
    assert_eq!((driver.dials.len(), driver.assigned.len()), (3, 3));
    assert_eq!(
        pool.checkout(301.0, 1, WaiterId(4), false, &mut driver.actions),
        reused(2, 101)
    );
    assert_eq!(
        pool.checkout(302.0, 1, WaiterId(5), false, &mut driver.actions),
        reused(1, 202)
    );
    assert_eq!(
        pool.checkout(302.5, 1, WaiterId(6), false, &mut driver.actions),
        reused(3, 2)
    );
    pool.release(400.0, 1, ConnectionId(3), &mut driver.actions);
    assert_eq!(
        pool.checkout(18_500.0, 1, WaiterId(7), false, &mut driver.actions),
        Checkout::Queued
    );
    pool.evict_expired(18_500.0, &mut driver.actions);
    driver.record_actions();
    assert_eq!(driver.closed, [ConnectionId(3)]);
}

/// Guards dials in flight: a waiter takes a connection that is released before its dial finishes.
/// The dialed connection is then kept for the next attempt, as it is if the waiter cancels.
#[test]
fn a_waiter_takes_a_released_connection_and_its_dial_is_kept() {
    let mut pool = pool();
    let mut driver = RecordingDriver::default();
    pool.checkout(0.0, 1, WaiterId(1), false, &mut driver.actions);
    driver.connect(&mut pool, 1.0, 1, 1);
    pool.checkout(2.0, 1, WaiterId(2), false, &mut driver.actions);
    pool.release(3.0, 1, ConnectionId(1), &mut driver.actions);
    driver.record_actions();
    assert_eq!(
        (driver.dials.len(), &driver.assigned[..]),
        (
            2,
            &[
                (WaiterId(1), ConnectionId(1)),
                (WaiterId(2), ConnectionId(1))
            ][..]
        )
    );
    driver.connect(&mut pool, 4.0, 1, 2);
    assert_eq!(
        pool.checkout(10.0, 1, WaiterId(3), false, &mut driver.actions),
        reused(2, 6)
    );
    // A connection closes, so that the limit permits another dial.
    pool.connection_closed(10.5, 1, &mut driver.actions);
    pool.checkout(11.0, 1, WaiterId(4), false, &mut driver.actions);
    pool.cancel_wait(12.0, 1, WaiterId(4));
    driver.connect(&mut pool, 13.0, 1, 3);
    assert_eq!(
        pool.checkout(20.0, 1, WaiterId(5), false, &mut driver.actions),
        reused(3, 7)
    );
}

/// Guards a backend against a burst of dials: few dials are in flight at a time, and the number of
/// connections does not exceed the mean demand plus a margin. Further attempts wait for a connection
/// to be released.
#[test]
fn a_burst_limits_concurrent_dials_and_holds_what_demand_needs() {
    let mut pool = ConnectionPool::new(
        PoolLimits {
            max_connections: 100,
            ..limits()
        },
        7,
    );
    let mut driver = RecordingDriver::default();
    for waiter in 0..40 {
        assert_eq!(
            pool.checkout(0.0, 1, WaiterId(waiter), false, &mut driver.actions),
            Checkout::Queued
        );
    }
    driver.record_actions();
    assert_eq!(driver.dials.len(), MAX_CONCURRENT_DIALS);
    let mut up = 0;
    while up < driver.dials.len() {
        driver.connect(&mut pool, 1.0, 1, up as u64);
        up += 1;
        driver.record_actions();
    }
    assert_eq!(
        (driver.dials.len(), driver.assigned.len()),
        (2, 2),
        "more connections than permitted before any demand was observed"
    );
    // The demand continues, so the connection limit rises.
    for step in 1..200u32 {
        let now = f64::from(step) * 100.0;
        let waiter = WaiterId(1000 + u64::from(step));
        let connection = driver.assigned.last().expect("a connection").1;
        pool.release(now, 1, connection, &mut driver.actions);
        pool.checkout(now, 1, waiter, false, &mut driver.actions);
        driver.record_actions();
        while up < driver.dials.len() {
            driver.connect(&mut pool, now, 1, up as u64);
            up += 1;
            driver.record_actions();
        }
    }
    assert!(
        (20..=60).contains(&driver.dials.len()),
        "{} dials for a demand of 40 connections",
        driver.dials.len()
    );
}

/// Guards the connection table of a backend, which all gateways share: a dial that is refused while
/// other connections work halves the connection limit. The next dial comes only after a backoff, and
/// the limit grows back slowly, by one connection at a time.
#[test]
fn a_full_table_halves_the_limit_which_grows_back_slowly() {
    let mut pool = pool();
    let mut driver = RecordingDriver::default();
    for waiter in 0..8 {
        pool.checkout(0.0, 1, WaiterId(waiter), false, &mut driver.actions);
        pool.endpoints.get_mut(&1).expect("a pool").mean_demand = 8.0;
    }
    for connection in 0..6 {
        driver.connect(&mut pool, 1.0, 1, connection);
    }
    driver.record_actions();
    driver.fail(&mut pool, 2.0, 1, DialFailure::Remote);
    driver.fail(&mut pool, 2.0, 1, DialFailure::Remote);
    driver.record_actions();
    assert_eq!(
        driver.failed,
        [
            (WaiterId(6), PoolError::EndpointFull),
            (WaiterId(7), PoolError::EndpointFull)
        ]
    );
    let endpoint_pool = &pool.endpoints[&1];
    assert_eq!(
        [
            2.0,
            2.0 + TABLE_LIMIT_GROWTH_INTERVAL,
            2.0 + 4.0 * TABLE_LIMIT_GROWTH_INTERVAL
        ]
        .map(|at| endpoint_pool.connection_limit(at, 2.0)),
        [3, 4, 7]
    );
    assert_eq!(
        pool.checkout(3.0, 1, WaiterId(20), false, &mut driver.actions),
        Checkout::Queued
    );
    assert_eq!(
        driver.actions,
        [],
        "dialed during the backoff after a full table"
    );
}

/// Guards the classification of failed dials: if no connection to the backend works, a failed dial
/// fails all waiters. A failure caused by this gateway is reported as such.
#[test]
fn a_failed_dial_without_working_connections_fails_all_waiters() {
    for (failure, error) in [
        (DialFailure::Remote, PoolError::Unreachable),
        (DialFailure::Local, PoolError::LocalLimit),
    ] {
        let mut pool = pool();
        let mut driver = RecordingDriver::default();
        for waiter in 0..3 {
            pool.checkout(0.0, 1, WaiterId(waiter), false, &mut driver.actions);
        }
        driver.fail(&mut pool, 1.0, 1, failure);
        driver.record_actions();
        assert_eq!(driver.dials, [1, 1], "another dial was started");
        driver.fail(&mut pool, 2.0, 1, failure);
        assert_eq!(
            driver.failed,
            [0, 1, 2].map(|waiter| (WaiterId(waiter), error))
        );
        assert_eq!(pool.open_connections(), 0);
    }
}

/// Guards against stale connections: when a backend's address changes or the backend drains, its
/// waiters fail at once, and the connections of dials in flight are closed once established.
#[test]
fn connections_dialed_before_a_reset_are_closed_when_established() {
    for stale_last in [false, true] {
        let mut pool = pool();
        let mut driver = RecordingDriver::default();
        pool.checkout(0.0, 1, WaiterId(1), false, &mut driver.actions);
        pool.reset_endpoint(1, &mut driver.actions);
        pool.checkout(1.0, 1, WaiterId(2), false, &mut driver.actions);
        driver.record_actions();
        let [before, after] = [driver.in_flight[0].1, driver.in_flight[1].1];
        // Whichever dial finishes first, the one started before the reset is recognized by its id.
        let order = if stale_last {
            [after, before]
        } else {
            [before, after]
        };
        for (dial, connection) in order.into_iter().zip(1..) {
            pool.dial_succeeded(2.0, 1, dial, ConnectionId(connection), &mut driver.actions);
        }
        driver.record_actions();
        let [stale, good] = if stale_last { [2, 1] } else { [1, 2] };
        assert_eq!(driver.failed, [(WaiterId(1), PoolError::EndpointRemoved)]);
        assert_eq!(
            (driver.closed, driver.assigned),
            (
                vec![ConnectionId(stale)],
                vec![(WaiterId(2), ConnectionId(good))]
            )
        );
        assert_eq!(pool.open_connections(), 1);
    }
}

/// Guards non-idempotent requests: none is sent on a connection of an idle age at which other
/// connections have broken recently.
#[test]
fn at_most_once_checkout_avoids_unreliable_idle_ages() {
    let mut pool = pool();
    let mut driver = RecordingDriver::default();
    for _ in 0..4 {
        pool.record_reuse(5000.0, 5000.0, true);
    }
    pool.checkout(0.0, 1, WaiterId(1), true, &mut driver.actions);
    driver.connect(&mut pool, 0.0, 1, 1);
    pool.release(0.0, 1, ConnectionId(1), &mut driver.actions);
    assert_eq!(
        pool.checkout(6000.0, 1, WaiterId(2), true, &mut driver.actions),
        Checkout::Queued
    );
    assert_eq!(
        pool.checkout(6000.0, 1, WaiterId(3), false, &mut driver.actions),
        reused(1, 6000)
    );
}

/// Guards a backend against dials from a whole fleet that learns of it at the same moment: each
/// gateway schedules its preconnect dial at a random time in the given interval, and makes none if
/// it has a connection by then or if handshakes have a price.
#[test]
fn preconnect_dials_are_spread_over_the_given_time() {
    let mut tenths = [0; 10];
    for seed in 0..300 {
        let free_handshakes = PoolLimits {
            handshake_cost: 0.0,
            ..limits()
        };
        let mut driver = RecordingDriver::default();
        let mut pool = ConnectionPool::<u32>::new(free_handshakes, seed);
        pool.preconnect(0.0, 1, 1000.0, &mut driver.actions);
        pool.preconnect(0.0, 1, 1000.0, &mut driver.actions);
        driver.record_actions();
        let [(1, at)] = driver.wakes[..] else {
            panic!("{:?}", driver.wakes)
        };
        tenths[(at / 100.0) as usize] += 1;
        if seed % 2 == 0 {
            pool.checkout(at / 2.0, 1, WaiterId(1), false, &mut driver.actions);
            driver.connect(&mut pool, at / 2.0, 1, 1);
        }
        pool.wake(at, 1, &mut driver.actions);
        driver.record_actions();
        assert_eq!(driver.dials, [1]);
        let mut priced = ConnectionPool::<u32>::new(limits(), seed);
        let mut none = Vec::new();
        priced.preconnect(0.0, 1, 1000.0, &mut none);
        assert_eq!(
            none,
            [],
            "a preconnect was scheduled although handshakes have a price"
        );
    }
    assert!(
        tenths.iter().all(|count| (10..=60).contains(count)),
        "{tenths:?}"
    );
}

/// Guards the cost of idle connections: if open connections have a price, an idle one is closed when
/// keeping it costs more than a new handshake.
#[test]
fn idle_connections_are_closed_when_keeping_them_costs_more_than_a_handshake() {
    let mut pool: ConnectionPool<u32> = ConnectionPool::new(
        PoolLimits {
            connection_cost: 1.0,
            ..limits()
        },
        7,
    );
    assert_eq!(pool.max_idle_time(), 18_000.0);
    for waiter in 0..1000u32 {
        pool.checkout(
            f64::from(waiter) * 50.0,
            waiter % 10,
            WaiterId(u64::from(waiter)),
            false,
            &mut Vec::new(),
        );
    }
    // 20 requests a second at each of 300 gateways, ten backends: 0.02 * 100 * 10 / 6000 s.
    assert!(
        (pool.max_idle_time() - 3.3).abs() < 0.3,
        "{}",
        pool.max_idle_time()
    );
    pool.limits.connection_cost = 0.0;
    assert_eq!(pool.max_idle_time(), 18_000.0);
}
