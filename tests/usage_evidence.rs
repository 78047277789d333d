//! Admission at one of many gateways, by the usage that the meter reports and by the requests that arrive there.

mod common;
use cometspool::*;
use common::*;
use std::cell::Cell;

/// One of a hundred gateways. Customers spread their requests over most of them, so that this gateway's equal share of a
/// burst is a fraction of a request.
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
    GatewayFixture::new(settings, (0..60).map(|id| ready_backend(id, 0)).collect())
}

/// The only request here of a customer whose requests are spread over seventy gateways.
fn request_of_unknown_customer(id: u32, now: Millis) -> Request {
    Request {
        customer: CustomerId(u64::from(id)),
        gateway_count: 70.0,
        ..request(id, 0, now)
    }
}

/// Guards against taking a customer's first request for evidence that the customer is over its quota.
#[test]
fn one_of_many_gateways_admits_an_unknown_customer() {
    let mut gateway = one_of_a_hundred();
    let served = (0..100).filter(|i| {
        let now = 1000.0 + f64::from(*i) * 100.0;
        gateway.serve(now, request_of_unknown_customer(*i, now))
    });
    assert_eq!(served.count(), 100);
}

/// Guards against a gateway that sheds load long after an overload has ended: while it admits few requests, it gets few
/// responses that show the end.
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
                let completion = AttemptCompleted {
                    elapsed: 900.0,
                    ..completed(*id, 0, *backend, Outcome::Ok)
                };
                gateway.handle(now, Event::AttemptCompleted(completion));
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
        "too many of 40 admitted while responses are slow: {admitted:?}"
    );
    assert!(
        admitted[2] >= 60,
        "too few of 80 admitted in four latency objectives after responses are fast: {admitted:?}"
    );
}

/// How many of `count` requests of one customer, `interval` ms apart, are admitted by one of a hundred gateways. The
/// customer's requests are spread over seventy of them. Each request is served in 10 ms, and its response carries what
/// `meter` returns for the number of the request.
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
    let mut gateway = GatewayFixture::new(
        gateway_settings,
        (0..60).map(|id| ready_backend(id, 0)).collect(),
    );
    // Fast responses to other customers' requests open the admission window.
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
        let Some(backend) = gateway.arrive(now, incoming) else {
            continue;
        };
        served += 1;
        let completion = AttemptCompleted {
            quota_usage: meter(i),
            ..completed(i, 0, backend, Outcome::Ok)
        };
        gateway.handle(now + 10.0, Event::AttemptCompleted(completion));
    }
    served
}

/// A customer whose requests are spread over many gateways may send all of them to one gateway for a while. Here the
/// customer requests half of its quota, and the meter reports nothing, the true usage, or impossible numbers.
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
        assert!(served >= 120, "meter {name}: {served} of 150");
    }
}

/// If the meter reports use beyond the quota, the customer is limited to this gateway's share where such use costs, the
/// sooner the more it costs, and admitted where such use earns.
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
        // A request arrives here every 2 s, for two minutes.
        admitted_requests(plan, 60, 2000.0, |_| Some(2.8))
    };
    let expensive = admitted(9.0, 0.0);
    let cheap = admitted(0.5, 0.0);
    let earning = admitted(0.0, 0.2);
    assert!(
        earning >= 57,
        "{earning} of 60 admitted where overuse earns"
    );
    assert!(
        expensive < cheap && cheap < earning,
        "{expensive}, {cheap}, {earning} of 60 admitted, by falling cost of overuse"
    );
}

/// The meter reports what all gateways admitted, not what the customer requested. Guards against gateways that shed a
/// customer's load and then take the lower report for lower demand. A customer that is reported over its quota has no
/// burst left. The customer requests three times its quota here, and all gateways act alike.
#[test]
fn metered_usage_counts_admitted_not_requested_units() {
    let plan = Plan {
        rate: 2.0,
        burst: 8.0,
        over_quota_cost: 1.0,
        ..Plan::default()
    };
    // The moving average of the distance between admitted requests, in requests, and the number of the last one.
    let mean_gap = Cell::new(1.0);
    let last_admitted = Cell::new(0);
    let served = admitted_requests(plan, 300, 2000.0, |i| {
        let distance = f64::from(i - last_admitted.replace(i)).max(1.0);
        mean_gap.set(mean_gap.get() + 0.1 * (distance - mean_gap.get()));
        Some(3.0 / mean_gap.get())
    });
    assert!((80..=130).contains(&served), "{served} of 300");
}

/// The arrival of a request.
#[derive(Clone, Copy)]
struct Arrival {
    /// Time since the admission window opened, ms.
    after: Millis,
    customer: u64,
    /// Whether the client marked it as a retry.
    is_retry: bool,
}

/// How many of these arrivals are admitted by one of two hundred gateways with an open admission window. The meter has
/// not reported on their customers, whose requests are spread over all gateways; it has reported `usage` for others.
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
    let mut gateway = GatewayFixture::new(
        gateway_settings,
        (0..60).map(|id| ready_backend(id, 0)).collect(),
    );
    for i in 0..200 {
        let now = f64::from(i) * 50.0;
        let incoming = Request {
            gateway_count: 200.0,
            ..request_of_unknown_customer(100_000 + i, now)
        };
        let Some(backend) = gateway.arrive(now, incoming) else {
            continue;
        };
        let completion = AttemptCompleted {
            quota_usage: usage,
            ..completed(100_000 + i, 0, backend, Outcome::Ok)
        };
        gateway.handle(now + 10.0, Event::AttemptCompleted(completion));
    }
    let admitted = arrivals.iter().enumerate().filter(|(i, arrival)| {
        let now = 10_000.0 + arrival.after;
        let incoming = Request {
            customer: CustomerId(arrival.customer),
            gateway_count: 200.0,
            is_retry: arrival.is_retry,
            ..request(*i as u32, 0, now)
        };
        let Some(backend) = gateway.arrive(now, incoming) else {
            return false;
        };
        gateway.complete(now + 10.0, *i as u32, 0, backend, Outcome::Ok);
        true
    });
    admitted.count()
}

/// Before the meter reports on a customer, a burst at one of two hundred gateways suggests that the customer is far
/// over its quota, and so does a request that another gateway has just rejected. The first request is admitted; all
/// requests are admitted where use beyond the quota earns.
#[test]
fn burst_and_marked_retries_at_one_of_many_gateways_are_limited_by_the_cost_of_overuse() {
    let burst_arrivals = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9].map(|i| Arrival {
        after: 20.0 * i as Millis,
        customer: 7,
        is_retry: false,
    });
    let single_arrivals = burst_arrivals.map(|arrival| Arrival {
        customer: 7 + arrival.after as u64,
        ..arrival
    });
    let retry_arrivals = single_arrivals.map(|arrival| Arrival {
        is_retry: true,
        ..arrival
    });
    for (cost, weight, burst, single, retried) in [
        (1.0, 0.0, 1..=2, 10..=10, 0..=2),
        (0.5, 0.0, 1..=5, 10..=10, 0..=10),
        (0.0, 0.2, 9..=10, 10..=10, 10..=10),
    ] {
        let prices = format!("where overuse costs {cost} and earns {weight}");
        let admitted = [&burst_arrivals, &single_arrivals, &retry_arrivals]
            .map(|arrivals| admitted_of_unknown_customers(Some(0.5), cost, weight, arrivals));
        assert!(
            burst.contains(&admitted[0]),
            "{} of 10 in a burst {prices}",
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
    // Without a meter, a burst may be all that its customer requests. A retry has been rejected elsewhere all the same.
    let silent = [&burst_arrivals, &single_arrivals, &retry_arrivals]
        .map(|arrivals| admitted_of_unknown_customers(None, 1.0, 0.0, arrivals));
    assert_eq!(
        silent[..2],
        [10, 10],
        "admitted in a burst and of unknown customers, of 10 each"
    );
    assert!(silent[2] <= 2, "{} of 10 retries", silent[2]);
}
