//! Outlier detection: backends that fail, are silent, reject one plan or let one class hang. `health.rs` tests the
//! ejection of backends whose responses are errors.

mod common;
use cometspool::*;
use common::*;

#[test]
fn fast_failing_backend_is_avoided_and_used_again_after_recovery() {
    let mut gateway = GatewayFixture::new(
        settings(generous_plan(), 1),
        (1..=3).map(|id| ready_backend(id, 0)).collect(),
    );
    let mut to_failing = [0, 0];
    for i in 0..1500u32 {
        let now = f64::from(i) * 20.0;
        let recovered = usize::from(i >= 300);
        let Some(backend) = gateway.arrive(now, request(i, 2, now)) else {
            continue;
        };
        to_failing[recovered] += u32::from(backend == BackendId(1));
        let outcome = if backend == BackendId(1) && recovered == 0 {
            Outcome::Error
        } else {
            Outcome::Ok
        };
        let elapsed = if outcome == Outcome::Ok { 15.0 } else { 1.0 };
        let completion = AttemptCompleted {
            elapsed,
            request_closed: outcome == Outcome::Ok,
            ..completed(i, 0, backend, outcome)
        };
        gateway.handle(now + elapsed, Event::AttemptCompleted(completion));
    }
    assert!(
        to_failing[0] < 20,
        "{} of 300 sent to the failing backend",
        to_failing[0]
    );
    assert!(
        to_failing[1] > 30,
        "{} of 1200 sent to it after its recovery",
        to_failing[1]
    );
}

#[test]
fn silent_backend_is_avoided_while_others_respond() {
    let mut gateway = GatewayFixture::new(
        settings(generous_plan(), 1),
        (1..=3).map(|id| ready_backend(id, 0)).collect(),
    );
    let mut sent_to_silent = 0;
    for i in 0..400u32 {
        let now = f64::from(i) * 10.0;
        let Some(backend) = gateway.arrive(now, request(i, 0, now)) else {
            continue;
        };
        if i >= 100 && backend == BackendId(1) {
            sent_to_silent += u32::from(i >= 200);
        } else {
            gateway.handle(
                now + 8.0,
                Event::AttemptCompleted(AttemptCompleted {
                    elapsed: 8.0,
                    ..completed(i, 0, backend, Outcome::Ok)
                }),
            );
        }
    }
    assert!(
        sent_to_silent <= 4,
        "{sent_to_silent} sent from a second after the backend fell silent"
    );
}

#[test]
fn backend_full_for_one_plan_is_used_by_other_plans() {
    let gateway_settings = Settings {
        plans: vec![generous_plan(), generous_plan()],
        ..settings(generous_plan(), 1)
    };
    let mut gateway = GatewayFixture::new(
        gateway_settings,
        vec![ready_backend(1, 0), ready_backend(2, 0)],
    );
    let mut sent = [[0u32; 3]; 2];
    for i in 0..400u32 {
        let now = f64::from(i) * 20.0;
        let plan = (i % 2) as usize;
        let customer = CustomerId(u64::from(i % 2));
        let incoming = Request {
            plan: PlanId(plan),
            customer,
            ..request(i, 0, now)
        };
        let Some(backend) = gateway.arrive(now, incoming) else {
            continue;
        };
        sent[plan][backend.0 as usize] += 1;
        // Backend 1 rejects plan 0, and a retry at another backend succeeds.
        if plan == 0 && backend == BackendId(1) {
            gateway.complete(now + 1.0, i, 0, backend, Outcome::Rejected);
            let Some(next) = gateway.sent_to() else {
                continue;
            };
            gateway.complete(now + 2.0, i, 1, next, Outcome::Ok);
        } else {
            gateway.complete(now + 1.0, i, 0, backend, Outcome::Ok);
        }
    }
    assert!(
        sent[0][1] < 20,
        "plan 0 is sent to the full backend too often: {sent:?}"
    );
    assert!(
        sent[1][1] > 60,
        "plan 1 is hardly sent to the backend: {sent:?}"
    );
}

/// Guards against taking a network fault for faults of backends: while a third of the connections to each backend
/// break, no backend is set aside. A backend that refuses a connection is set aside immediately.
#[test]
fn refused_connection_sets_a_backend_aside_but_broken_connections_do_not() {
    let mut gateway = GatewayFixture::new(
        settings(generous_plan(), 1),
        (1..=3).map(|id| ready_backend(id, 0)).collect(),
    );
    let has_log_line = |actions: &[Action]| {
        actions
            .iter()
            .any(|action| matches!(action, Action::Log(_)))
    };
    for i in 0..300 {
        let now = f64::from(i) * 20.0;
        let backend = gateway
            .arrive(now, request(i, 2, now))
            .expect("the request is admitted");
        let (outcome, broken) = if i % 3 == 0 {
            (Outcome::Reset, 1)
        } else {
            (Outcome::Ok, 0)
        };
        let completion = AttemptCompleted {
            broken_connections: broken,
            ..completed(i, 0, backend, outcome)
        };
        assert!(
            !has_log_line(gateway.handle(now + 10.0, Event::AttemptCompleted(completion))),
            "request {i}"
        );
    }
    let now = 7000.0;
    let backend = gateway
        .arrive(now, request(1000, 2, now))
        .expect("the request is admitted");
    assert!(has_log_line(gateway.complete(
        now + 1.0,
        1000,
        0,
        backend,
        Outcome::ConnectFailed
    )));
}

/// If a backend lets one class hang and responds to the others, requests of that class avoid it for a while. Requests
/// of other classes use it as before, even while further attempts of the hanging class are in flight there.
#[test]
fn backend_that_hangs_for_one_class_is_avoided_by_that_class_alone() {
    let mut gateway = GatewayFixture::new(
        settings(generous_plan(), 1),
        vec![ready_backend(1, 0), ready_backend(2, 0)],
    );
    let hanging = gateway
        .arrive(0.0, request(1, 2, 0.0))
        .expect("the request is admitted");
    let other = if hanging == BackendId(1) {
        BackendId(2)
    } else {
        BackendId(1)
    };
    let completion = AttemptCompleted {
        elapsed: 2900.0,
        request_closed: true,
        ..completed(1, 0, hanging, Outcome::Cancelled)
    };
    gateway.handle(2900.0, Event::AttemptCompleted(completion));
    // A second attempt of the class is sent there, since no other backend is ready.
    let draining = BackendEntry {
        availability: Availability::Draining,
        ..ready_backend(other.0, 0)
    };
    gateway.handle(
        2901.0,
        Event::EndpointsChanged(ListKind::Changes, vec![draining]),
    );
    assert_eq!(gateway.arrive(2902.0, request(2, 2, 2902.0)), Some(hanging));
    gateway.handle(
        2903.0,
        Event::EndpointsChanged(ListKind::Changes, vec![ready_backend(other.0, 0)]),
    );
    let mut sent_to_hanging = 0;
    for i in (0..200).step_by(2) {
        let now = 4500.0 + f64::from(i) * 20.0;
        let backend = gateway
            .arrive(now, request(10 + i, 2, now))
            .expect("the request is admitted");
        assert_eq!(backend, other, "request {i} was sent where its class hangs");
        // Now each backend has one attempt in flight.
        let selected = gateway
            .arrive(now, request(11 + i, 0, now))
            .expect("the request is admitted");
        sent_to_hanging += u32::from(selected == hanging);
        gateway.complete(now + 10.0, 10 + i, 0, backend, Outcome::Ok);
        gateway.complete(now + 10.0, 11 + i, 0, selected, Outcome::Ok);
    }
    assert!(
        sent_to_hanging > 20,
        "the other class avoids the backend: {sent_to_hanging} of 100 sent there"
    );
}

/// Restarts one of three backends while attempts to it are in flight, which then end with `outcome`. Returns how many
/// of 150 later requests the restarted backend gets.
fn sent_to_restarted_backend(outcome: Outcome) -> u32 {
    let mut gateway = GatewayFixture::new(
        settings(generous_plan(), 1),
        (1..=3).map(|id| ready_backend(id, 0)).collect(),
    );
    let mut in_flight = Vec::new();
    for i in 0..60u32 {
        let now = f64::from(i) * 20.0;
        match gateway.arrive(now, request(i, 2, now)) {
            Some(BackendId(1)) => in_flight.push(i),
            Some(backend) => {
                gateway.complete(now + 10.0, i, 0, backend, Outcome::Ok);
            }
            None => {}
        }
    }
    assert!(
        !in_flight.is_empty(),
        "no attempt is in flight at the backend that restarts"
    );
    let restarted = BackendEntry {
        started_at: Some(-1e6),
        ..ready_backend(1, 0)
    };
    let list = Event::EndpointsChanged(ListKind::Changes, vec![restarted]);
    gateway.handle(1200.0, list);
    for id in in_flight {
        gateway.complete(1201.0, id, 0, BackendId(1), outcome);
    }
    let mut sent = 0;
    for i in 100..250u32 {
        let now = 1210.0 + f64::from(i - 100) * 20.0;
        if let Some(backend) = gateway.arrive(now, request(i, 2, now)) {
            sent += u32::from(backend == BackendId(1));
            gateway.complete(now + 10.0, i, 0, backend, Outcome::Ok);
        }
    }
    sent
}

/// Guards against judging a restarted backend by attempts that were sent to its earlier incarnation.
#[test]
fn attempts_to_an_earlier_incarnation_do_not_count_against_its_successor() {
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset] {
        let sent = sent_to_restarted_backend(outcome);
        assert!(
            sent >= 35,
            "{outcome:?}: {sent} of 150 sent to one of three backends"
        );
    }
}
