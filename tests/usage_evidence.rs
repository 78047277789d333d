//! Admission at one of many gateways, by what the meter reports and by what arrives there.

mod common;
use cometspool::*;
use common::*;
use std::cell::Cell;

/// One of a hundred gateways, for customers whose requests are spread over most of them.
fn one_of_a_hundred() -> GatewayFixture {
    let plan = Plan {
        rate: 0.8,
        burst: 4.0,
        ..Plan::default()
    };
    let settings = Settings {
        meter_period: 500.0,
        ..settings(plan, 100)
    };
    GatewayFixture::new(settings, (0..60).map(|id| ready(id, 0)).collect())
}

/// The only request of a customer that is spread over seventy gateways.
fn request_of_unknown_customer(id: u32, now: Millis) -> Request {
    Request {
        customer: CustomerId(u64::from(id)),
        gateway_count: 70.0,
        ..request(id, 0, now)
    }
}

/// The first request of a customer is no evidence that the customer is over its quota.
#[test]
fn one_of_many_gateways_admits_an_unknown_customer() {
    let mut gateway = one_of_a_hundred();
    let served = (0..100).filter(|i| {
        let now = 1000.0 + f64::from(*i) * 100.0;
        gateway.serve(now, request_of_unknown_customer(*i, now))
    });
    assert_eq!(served.count(), 100);
}

/// One of many gateways gets few responses while it admits little, and must not shed load for long after an
/// overload.
#[test]
fn one_of_many_gateways_recovers_soon_after_responses_are_fast_again() {
    let mut gateway = one_of_a_hundred();
    let mut responses: Vec<(Millis, u32, BackendId)> = Vec::new();
    let mut admitted = [0, 0, 0];
    for i in 0..280u32 {
        let now = 1000.0 + f64::from(i) * 50.0;
        let slow = i < 200;
        responses.retain(|(at, id, backend)| {
            if *at <= now {
                let end = AttemptCompleted {
                    elapsed: 900.0,
                    ..completed(*id, 0, *backend, Outcome::Ok)
                };
                gateway.handle(now, Event::AttemptCompleted(end));
            }
            *at > now
        });
        let phase = if slow { usize::from(i >= 160) } else { 2 };
        if let Some(backend) = gateway.arrive(now, request_of_unknown_customer(i, now)) {
            admitted[phase] += 1;
            if slow {
                responses.push((now + 900.0, i, backend));
            } else {
                gateway.complete(now + 10.0, i, 0, backend, Outcome::Ok);
            }
        }
    }
    assert!(
        admitted[1] <= 12,
        "of 40 while responses are slow: {admitted:?}"
    );
    assert!(
        admitted[2] >= 60,
        "of 80 in four latency objectives after they are fast: {admitted:?}"
    );
}

/// How many of `count` requests of one customer, `interval` ms apart, are admitted by one of a hundred gateways,
/// seventy of which the customer uses. Each is answered in 10 ms, with what the `meter` reports then.
fn admitted_requests(
    plan: Plan,
    count: u32,
    interval: Millis,
    meter: impl Fn(u32) -> Option<f64>,
) -> u32 {
    let gateway_settings = Settings {
        meter_period: 500.0,
        ..settings(plan, 100)
    };
    let mut gateway =
        GatewayFixture::new(gateway_settings, (0..60).map(|id| ready(id, 0)).collect());
    // Fast responses to other customers open the admission window.
    for i in 0..200 {
        let now = f64::from(i) * 50.0;
        gateway.serve(now, request_of_unknown_customer(100_000 + i, now));
    }
    let mut served = 0;
    for i in 0..count {
        let now = 10_000.0 + f64::from(i) * interval;
        let incoming = Request {
            customer: CustomerId(7),
            gateway_count: 70.0,
            ..request(i, 0, now)
        };
        let Some(at) = gateway.arrive(now, incoming) else {
            continue;
        };
        served += 1;
        let end = AttemptCompleted {
            quota_usage: meter(i),
            ..completed(i, 0, at, Outcome::Ok)
        };
        gateway.handle(now + 10.0, Event::AttemptCompleted(end));
    }
    served
}

/// A customer spread over many gateways may send all of its traffic to one for a while. Half of its quota is
/// requested, and the meter is silent, right, or reports impossible numbers.
#[test]
fn use_within_quota_through_one_gateway_is_admitted_whatever_the_meter_reports() {
    let plan = || Plan {
        rate: 10.0,
        burst: 20.0,
        over_quota_cost: 0.5,
        ..Plan::default()
    };
    type Meter = fn(u32) -> Option<f64>;
    let meters: [(&str, Meter); 6] = [
        ("silent", |_| None),
        ("right", |_| Some(0.5)),
        ("not a number", |_| Some(f64::NAN)),
        ("infinite", |_| Some(f64::INFINITY)),
        ("negative", |_| Some(-40.0)),
        ("a thousand times too much at times", |i| {
            Some(if i % 8 == 0 { 500.0 } else { 0.5 })
        }),
    ];
    for (name, meter) in meters {
        let served = admitted_requests(plan(), 150, 200.0, meter);
        assert!(served >= 120, "{name}: {served} of 150");
    }
}

/// Where the meter reports overuse, a customer is held to this gateway's share where overuse costs, the sooner the
/// more it costs, and admitted where overuse earns.
#[test]
fn use_beyond_quota_is_rejected_in_proportion_to_its_cost() {
    let admitted = |over_quota_cost, over_quota_weight| {
        let plan = Plan {
            rate: 2.0,
            burst: 8.0,
            over_quota_cost,
            over_quota_weight,
            ..Plan::default()
        };
        // Half a request a second arrives here, for two minutes.
        admitted_requests(plan, 60, 2000.0, |_| Some(2.8))
    };
    let expensive = admitted(9.0, 0.0);
    let cheap = admitted(0.5, 0.0);
    let earning = admitted(0.0, 0.2);
    assert!(earning >= 57, "{earning} of 60 where overuse earns");
    assert!(
        expensive < cheap && cheap < earning,
        "{expensive}, {cheap}, {earning} of 60 by falling cost"
    );
}

/// The meter reports what all gateways admitted, not what the customer requested: gateways that shed its load must
/// not take that for less demand, and a customer that is reported over its quota has no burst left. All gateways
/// act alike here, and the customer requests three times its quota.
#[test]
fn metered_usage_counts_admitted_not_requested_units() {
    let plan = Plan {
        rate: 2.0,
        burst: 8.0,
        over_quota_cost: 1.0,
        ..Plan::default()
    };
    // The mean distance between admitted requests, and the last of them.
    let gap = Cell::new(1.0);
    let last = Cell::new(0);
    let served = admitted_requests(plan, 300, 2000.0, |i| {
        let since = f64::from(i - last.replace(i)).max(1.0);
        gap.set(gap.get() + 0.1 * (since - gap.get()));
        Some(3.0 / gap.get())
    });
    assert!((80..=130).contains(&served), "{served} of 300");
}

/// A request that arrives.
#[derive(Clone, Copy)]
struct Arrival {
    /// Time since the window opened, ms.
    after: Millis,
    customer: u64,
    /// Whether the client marked it as a retry.
    is_retry: bool,
}

/// How many of these arrivals, of customers that the meter has not reported on, are admitted by one of two hundred
/// gateways with an open window. The customers are spread over all gateways; the meter reports `usage` of others.
fn admitted_of_unknown_customers(
    usage: Option<f64>,
    over_quota_cost: f64,
    over_quota_weight: f64,
    arrivals: &[Arrival],
) -> usize {
    let plan = Plan {
        rate: 10.0,
        burst: 20.0,
        over_quota_cost,
        over_quota_weight,
        ..Plan::default()
    };
    let gateway_settings = Settings {
        meter_period: 500.0,
        ..settings(plan, 200)
    };
    let mut gateway =
        GatewayFixture::new(gateway_settings, (0..60).map(|id| ready(id, 0)).collect());
    for i in 0..200 {
        let now = f64::from(i) * 50.0;
        let incoming = Request {
            gateway_count: 200.0,
            ..request_of_unknown_customer(100_000 + i, now)
        };
        let Some(at) = gateway.arrive(now, incoming) else {
            continue;
        };
        let end = AttemptCompleted {
            quota_usage: usage,
            ..completed(100_000 + i, 0, at, Outcome::Ok)
        };
        gateway.handle(now + 10.0, Event::AttemptCompleted(end));
    }
    let admitted = arrivals.iter().enumerate().filter(|(i, arrival)| {
        let now = 10_000.0 + arrival.after;
        let incoming = Request {
            customer: CustomerId(arrival.customer),
            gateway_count: 200.0,
            is_retry: arrival.is_retry,
            ..request(*i as u32, 0, now)
        };
        let Some(at) = gateway.arrive(now, incoming) else {
            return false;
        };
        gateway.complete(now + 10.0, *i as u32, 0, at, Outcome::Ok);
        true
    });
    admitted.count()
}

/// Before the meter reports, many requests at once at one of two hundred gateways suggest a customer far over its
/// quota, and so does a request that was rejected elsewhere a moment ago. The first request is admitted, and all
/// are where overuse earns.
#[test]
fn burst_and_marked_retries_at_one_of_many_gateways_are_limited_by_the_cost_of_overuse() {
    let at_once = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9].map(|i| Arrival {
        after: 20.0 * i as Millis,
        customer: 7,
        is_retry: false,
    });
    let unknown = at_once.map(|arrival| Arrival {
        customer: 7 + arrival.after as u64,
        ..arrival
    });
    let retries = unknown.map(|arrival| Arrival {
        is_retry: true,
        ..arrival
    });
    for (cost, weight, burst, single, retried) in [
        (1.0, 0.0, 1..=2, 10..=10, 0..=2),
        (0.5, 0.0, 1..=5, 10..=10, 0..=10),
        (0.0, 0.2, 9..=10, 10..=10, 10..=10),
    ] {
        let prices = format!("where overuse costs {cost} and earns {weight}");
        let admitted = [&at_once, &unknown, &retries]
            .map(|arrivals| admitted_of_unknown_customers(Some(0.5), cost, weight, arrivals));
        assert!(
            burst.contains(&admitted[0]),
            "{} of 10 at once {prices}",
            admitted[0]
        );
        assert!(
            single.contains(&admitted[1]),
            "{} of 10 unknown customers {prices}",
            admitted[1]
        );
        assert!(
            retried.contains(&admitted[2]),
            "{} of 10 retries {prices}",
            admitted[2]
        );
    }
    // Without a meter, a burst may be all that its customer requests, but a retry was rejected all the same.
    let silent = [&at_once, &unknown, &retries]
        .map(|arrivals| admitted_of_unknown_customers(None, 1.0, 0.0, arrivals));
    assert_eq!(
        silent[..2],
        [10, 10],
        "at once and of unknown customers, of 10 each"
    );
    assert!(silent[2] <= 2, "{} of 10 retries", silent[2]);
}
