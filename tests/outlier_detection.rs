//! What a gateway holds against a backend: failures, silence, rejections and hanging. Ejection is in `health.rs`.

mod common;
use cometspool::*;
use common::*;

#[test]
fn fast_failing_backend_is_avoided_and_used_again_after_recovery() {
    let mut gateway = GatewayFixture::new(
        settings(generous_plan(), 1),
        (1..=3).map(|id| ready(id, 0)).collect(),
    );
    let mut to_failing = [0, 0];
    for i in 0..1500u32 {
        let now = f64::from(i) * 20.0;
        let recovered = usize::from(i >= 300);
        let Some(at) = gateway.arrive(now, request(i, 2, now)) else {
            continue;
        };
        to_failing[recovered] += u32::from(at == BackendId(1));
        let outcome = if at == BackendId(1) && recovered == 0 {
            Outcome::Error
        } else {
            Outcome::Ok
        };
        let elapsed = if outcome == Outcome::Ok { 15.0 } else { 1.0 };
        let end = AttemptCompleted {
            elapsed,
            request_closed: outcome == Outcome::Ok,
            ..completed(i, 0, at, outcome)
        };
        gateway.handle(now + elapsed, Event::AttemptCompleted(end));
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
        (1..=3).map(|id| ready(id, 0)).collect(),
    );
    let mut sent_to_silent = 0;
    for i in 0..400u32 {
        let now = f64::from(i) * 10.0;
        let Some(at) = gateway.arrive(now, request(i, 0, now)) else {
            continue;
        };
        if i >= 100 && at == BackendId(1) {
            sent_to_silent += u32::from(i >= 200);
        } else {
            gateway.handle(
                now + 8.0,
                Event::AttemptCompleted(AttemptCompleted {
                    elapsed: 8.0,
                    ..completed(i, 0, at, Outcome::Ok)
                }),
            );
        }
    }
    assert!(
        sent_to_silent <= 4,
        "{sent_to_silent} sent a second after it fell silent"
    );
}

#[test]
fn backend_full_for_one_plan_is_used_by_other_plans() {
    let gateway_settings = Settings {
        plans: vec![generous_plan(), generous_plan()],
        ..settings(generous_plan(), 1)
    };
    let mut gateway = GatewayFixture::new(gateway_settings, vec![ready(1, 0), ready(2, 0)]);
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
        let Some(at) = gateway.arrive(now, incoming) else {
            continue;
        };
        sent[plan][at.0 as usize] += 1;
        // Backend 1 rejects plan 0; a retry elsewhere succeeds.
        if plan == 0 && at == BackendId(1) {
            gateway.complete(now + 1.0, i, 0, at, Outcome::Rejected);
            let Some(next) = gateway.sent_to() else {
                continue;
            };
            gateway.complete(now + 2.0, i, 1, next, Outcome::Ok);
        } else {
            gateway.complete(now + 1.0, i, 0, at, Outcome::Ok);
        }
    }
    assert!(sent[0][1] < 20, "plan 0 tries it too often: {sent:?}");
    assert!(sent[1][1] > 60, "plan 1 does not use it: {sent:?}");
}

/// A network fault is not taken for faults of backends: where a third of the connections break, at all backends
/// alike, none is set aside. A refused connection sets its backend aside at once.
#[test]
fn refused_connection_sets_a_backend_aside_but_broken_connections_do_not() {
    let mut gateway = GatewayFixture::new(
        settings(generous_plan(), 1),
        (1..=3).map(|id| ready(id, 0)).collect(),
    );
    let logs_change = |actions: &[Action]| {
        actions
            .iter()
            .any(|action| matches!(action, Action::Log(_)))
    };
    for i in 0..300 {
        let now = f64::from(i) * 20.0;
        let at = gateway
            .arrive(now, request(i, 2, now))
            .expect("the request is admitted");
        let (outcome, broken) = if i % 3 == 0 {
            (Outcome::Reset, 1)
        } else {
            (Outcome::Ok, 0)
        };
        let end = AttemptCompleted {
            broken_connections: broken,
            ..completed(i, 0, at, outcome)
        };
        assert!(
            !logs_change(gateway.handle(now + 10.0, Event::AttemptCompleted(end))),
            "request {i}"
        );
    }
    let now = 7000.0;
    let at = gateway
        .arrive(now, request(1000, 2, now))
        .expect("the request is admitted");
    assert!(logs_change(gateway.complete(
        now + 1.0,
        1000,
        0,
        at,
        Outcome::ConnectFailed
    )));
}

/// Where a backend lets one class hang and answers the others, that class avoids it for a while and the others use
/// it as before, also while further attempts of that class hang there.
#[test]
fn hanging_class_distrusts_a_backend_for_that_class_alone() {
    let mut gateway =
        GatewayFixture::new(settings(generous_plan(), 1), vec![ready(1, 0), ready(2, 0)]);
    let hanging = gateway
        .arrive(0.0, request(1, 2, 0.0))
        .expect("the request is admitted");
    let other = if hanging == BackendId(1) {
        BackendId(2)
    } else {
        BackendId(1)
    };
    let end = AttemptCompleted {
        elapsed: 2900.0,
        request_closed: true,
        ..completed(1, 0, hanging, Outcome::Cancelled)
    };
    gateway.handle(2900.0, Event::AttemptCompleted(end));
    // Another attempt of the class is in flight there, since no other backend was ready.
    let draining = BackendEntry {
        availability: Availability::Draining,
        ..ready(other.0, 0)
    };
    gateway.handle(
        2901.0,
        Event::EndpointsChanged(ListKind::Changes, vec![draining]),
    );
    assert_eq!(gateway.arrive(2902.0, request(2, 2, 2902.0)), Some(hanging));
    gateway.handle(
        2903.0,
        Event::EndpointsChanged(ListKind::Changes, vec![ready(other.0, 0)]),
    );
    let mut shared = 0;
    for i in (0..200).step_by(2) {
        let now = 4500.0 + f64::from(i) * 20.0;
        let at = gateway
            .arrive(now, request(10 + i, 2, now))
            .expect("the request is admitted");
        assert_eq!(at, other, "request {i} was sent where its class hangs");
        // Now each backend has one attempt in flight.
        let selected = gateway
            .arrive(now, request(11 + i, 0, now))
            .expect("the request is admitted");
        shared += u32::from(selected == hanging);
        gateway.complete(now + 10.0, 10 + i, 0, at, Outcome::Ok);
        gateway.complete(now + 10.0, 11 + i, 0, selected, Outcome::Ok);
    }
    assert!(shared > 20, "the other class avoids it: {shared} of 100");
}

/// Requests of the second phase, to three idle backends, that the first gets after it has restarted with attempts in
/// flight, which then end like this.
fn sent_to_restarted_backend(outcome: Outcome) -> u32 {
    let mut gateway = GatewayFixture::new(
        settings(generous_plan(), 1),
        (1..=3).map(|id| ready(id, 0)).collect(),
    );
    let mut in_flight = Vec::new();
    for i in 0..60u32 {
        let now = f64::from(i) * 20.0;
        match gateway.arrive(now, request(i, 2, now)) {
            Some(BackendId(1)) => in_flight.push(i),
            Some(at) => {
                gateway.complete(now + 10.0, i, 0, at, Outcome::Ok);
            }
            None => {}
        }
    }
    assert!(!in_flight.is_empty(), "nothing was sent to it");
    let restarted = BackendEntry {
        started_at: Some(-1e6),
        ..ready(1, 0)
    };
    let list = Event::EndpointsChanged(ListKind::Changes, vec![restarted]);
    gateway.handle(1200.0, list);
    for id in in_flight {
        gateway.complete(1201.0, id, 0, BackendId(1), outcome);
    }
    let mut sent = 0;
    for i in 100..250u32 {
        let now = 1210.0 + f64::from(i - 100) * 20.0;
        if let Some(at) = gateway.arrive(now, request(i, 2, now)) {
            sent += u32::from(at == BackendId(1));
            gateway.complete(now + 10.0, i, 0, at, Outcome::Ok);
        }
    }
    sent
}

/// Guards a backend that has restarted against the outcomes of attempts that its earlier incarnation got.
#[test]
fn attempts_to_an_earlier_incarnation_do_not_count_against_its_successor() {
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset] {
        let sent = sent_to_restarted_backend(outcome);
        assert!(sent >= 35, "{outcome:?}: {sent} of 150 for one of three");
    }
}
