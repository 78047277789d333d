//! Load shedding while the backends are slow.

mod common;
use cometspool::*;
use common::*;

#[test]
fn requests_are_rejected_at_once_when_every_queue_is_too_long() {
    let mut gateway = GatewayFixture::new(
        settings(generous_plan(), 1),
        vec![ready_backend(1, 0), ready_backend(2, 0)],
    );
    let sent = (0..200)
        .filter(|i| gateway.arrive(1.0, request(*i, 0, 1.0)).is_some())
        .count();
    assert!(
        (2..60).contains(&sent),
        "{sent} sent before the queues were too long"
    );
    assert_eq!(next_step(&gateway.actions), NextStep::Reject);
}

#[test]
fn admission_window_closes_before_any_response_arrives() {
    // No response ever arrives: the timers, which fire at half of the latency objective, close the admission window.
    let gateway_settings = settings(generous_plan(), 1);
    let mut gateway = GatewayFixture::new(
        gateway_settings,
        (0..99).map(|id| ready_backend(id, 0)).collect(),
    );
    let mut timers: Vec<(f64, TimerId)> = Vec::new();
    let mut sent = [0; 2];
    for i in 0..250u32 {
        let now = f64::from(i) * 10.0;
        let (due, rest) = std::mem::take(&mut timers)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        timers = rest;
        for (at, timer) in Vec::<(f64, TimerId)>::from_iter(due) {
            gateway.handle(at, Event::TimerFired(timer));
        }
        let incoming = Request {
            customer: CustomerId(u64::from(i)),
            ..request(i, 0, now)
        };
        gateway.handle(now, Event::RequestArrived(incoming));
        sent[usize::from(i >= 200)] += u32::from(gateway.sent_to().is_some());
        timers.extend(gateway.actions.iter().filter_map(|action| match action {
            Action::SetTimer { at, timer } => Some((*at, *timer)),
            _ => None,
        }));
    }
    assert!(sent[0] > 100 && sent[1] < 25, "{sent:?}");
}

#[test]
fn slow_responses_everywhere_reduce_the_attempts_in_flight() {
    // There are many backends, and this gateway puts hardly any load on each. The latency objective is 1000 ms.
    let sent_with = |latency: Millis| {
        let mut gateway = GatewayFixture::new(
            settings(generous_plan(), 1),
            (0..30).map(|id| ready_backend(id, 0)).collect(),
        );
        let mut due: Vec<(f64, u32, BackendId)> = Vec::new();
        let mut sent = 0;
        for i in 0..4000u32 {
            let now = f64::from(i) * 20.0;
            let (completed_now, rest) = due.into_iter().partition(|(at, ..)| *at <= now);
            due = rest;
            for (_, id, backend) in completed_now {
                gateway.handle(
                    now,
                    Event::AttemptCompleted(AttemptCompleted {
                        elapsed: latency,
                        ..completed(id, 0, backend, Outcome::Ok)
                    }),
                );
            }
            let incoming = Request {
                customer: CustomerId(u64::from(i)),
                ..request(i, 0, now)
            };
            if let Some(backend) = gateway.arrive(now, incoming) {
                sent += u32::from(i >= 2000);
                due.push((now + latency, i, backend));
            }
        }
        sent
    };
    assert_eq!(sent_with(100.0), 2000);
    let slow = sent_with(600.0);
    assert!((20..1500).contains(&slow), "{slow}");
}

#[test]
fn request_that_cannot_meet_its_deadline_is_rejected_at_once() {
    let mut gateway = GatewayFixture::new(
        settings(generous_plan(), 1),
        (0..4).map(|id| ready_backend(id, 0)).collect(),
    );
    for i in 0..100u32 {
        let now = f64::from(i) * 250.0;
        let backend = gateway
            .arrive(now, request(i, 0, now))
            .expect("a request with enough time is admitted");
        gateway.handle(
            now + 200.0,
            Event::AttemptCompleted(AttemptCompleted {
                elapsed: 200.0,
                ..completed(i, 0, backend, Outcome::Ok)
            }),
        );
    }
    let now = 26_000.0;
    assert_eq!(
        gateway.arrive(
            now,
            Request {
                deadline: now + 100.0,
                ..request(500, 0, now)
            }
        ),
        None
    );
    assert_eq!(next_step(&gateway.actions), NextStep::Reject);
    assert!(gateway
        .arrive(
            now,
            Request {
                deadline: now + 400.0,
                ..request(501, 0, now)
            }
        )
        .is_some());
}
