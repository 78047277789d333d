//! Helpers for tests of the policy: a policy engine that gets its events from the test in place of a driver.

#![allow(dead_code, reason = "each test file uses only some of these helpers")]

use cometspool::*;

/// A policy engine, with the actions that it returned for its last event.
pub(crate) struct GatewayFixture {
    pub engine: PolicyEngine,
    pub actions: Vec<Action>,
}

/// Settings for one of `gateways` gateways, with one plan and three classes: class 0 is idempotent, class 1 has an
/// idempotency key, class 2 is not idempotent. All have a latency objective of 1000 ms and a deadline of 3000 ms.
pub(crate) fn settings(plan: Plan, gateways: u32) -> Settings {
    let class = |idempotency| Class {
        latency_objective: 1000.0,
        deadline: 3000.0,
        idempotency,
        ..Class::default()
    };
    let with_key = Idempotency::WithKey {
        scope: DeduplicationScope::Zone,
        retention: 2000.0,
    };
    Settings {
        gateways,
        classes: vec![
            class(Idempotency::Idempotent),
            class(with_key),
            class(Idempotency::NonIdempotent),
        ],
        plans: vec![plan],
        max_attempts: 4,
        ..Settings::default()
    }
}

/// A plan whose quota is above what most tests send.
pub(crate) fn generous_plan() -> Plan {
    Plan {
        rate: 1000.0,
        burst: 1000.0,
        ..Plan::default()
    }
}

/// A warm backend that accepts requests, in zone `zone` and in the cell of the same number.
pub(crate) fn ready_backend(id: u32, zone: u32) -> BackendEntry {
    BackendEntry {
        id: BackendId(id),
        zone: ZoneId(zone),
        cell: CellId(zone),
        availability: Availability::Ready,
        started_at: None,
        weight: 1.0,
    }
}

/// A request of customer 1 that arrives at `now`, of one unit and with a deadline 3000 ms later.
pub(crate) fn request(id: u32, class: usize, now: Millis) -> Request {
    Request {
        id: RequestId(id),
        customer: CustomerId(1),
        plan: PlanId(0),
        class: ClassId(class),
        units: 1.0,
        deadline: now + 3000.0,
        gateway_count: 1.0,
        is_retry: false,
        queued_for: 0.0,
    }
}

/// One of a hundred gateways, with a plan that admits all of its requests.
pub(crate) fn one_of_many(gateway_index: u32, backends: Vec<BackendEntry>) -> GatewayFixture {
    let plan = Plan {
        rate: 1000.0,
        burst: 4000.0,
        ..Plan::default()
    };
    let settings = Settings {
        gateway_index,
        max_units: 1.0,
        warm_up: 10_000.0,
        ..settings(plan, 100)
    };
    GatewayFixture::seeded(settings, u64::from(gateway_index), backends)
}

impl GatewayFixture {
    /// A gateway that has received an endpoint list with these backends.
    pub(crate) fn new(settings: Settings, backends: Vec<BackendEntry>) -> GatewayFixture {
        GatewayFixture::seeded(settings, 1, backends)
    }

    /// As [`new`](GatewayFixture::new), with a seed: several gateways in one test need different ones.
    pub(crate) fn seeded(
        settings: Settings,
        seed: u64,
        backends: Vec<BackendEntry>,
    ) -> GatewayFixture {
        let mut gateway = GatewayFixture {
            engine: PolicyEngine::new(settings, seed),
            actions: Vec::new(),
        };
        gateway.handle(0.0, Event::EndpointsChanged(ListKind::Cached, backends));
        gateway
    }

    /// Passes one event to the policy. Its actions are also kept in `actions` until the next event.
    pub(crate) fn handle(&mut self, now: Millis, event: Event) -> &[Action] {
        self.actions.clear();
        self.engine.handle(now, event, &mut self.actions);
        &self.actions
    }

    /// Reports the arrival of a request. Returns the backend that it was sent to, or `None` if it was rejected.
    pub(crate) fn arrive(&mut self, now: Millis, request: Request) -> Option<BackendId> {
        self.handle(now, Event::RequestArrived(request));
        self.sent_to()
    }

    /// The backend that an attempt was sent to in response to the last event, if any.
    pub(crate) fn sent_to(&self) -> Option<BackendId> {
        self.actions.iter().find_map(|action| match action {
            Action::Send { backend, .. } => Some(*backend),
            _ => None,
        })
    }

    /// Reports the end of an attempt, 10 ms after its send.
    pub(crate) fn complete(
        &mut self,
        now: Millis,
        id: u32,
        attempt: u32,
        backend: BackendId,
        outcome: Outcome,
    ) -> &[Action] {
        let completed = completed(id, attempt, backend, outcome);
        self.handle(now, Event::AttemptCompleted(completed))
    }

    /// Reports the arrival of a request and, if it is sent, a good response 10 ms later. Returns whether it was sent.
    pub(crate) fn serve(&mut self, now: Millis, request: Request) -> bool {
        let backend = self.arrive(now, request);
        if let Some(backend) = backend {
            self.complete(now + 10.0, request.id.0, 0, backend, Outcome::Ok);
        }
        backend.is_some()
    }
}

/// The end of an attempt after 10 ms. [`Outcome::Ok`] closes the request.
pub(crate) fn completed(
    id: u32,
    attempt: u32,
    backend: BackendId,
    outcome: Outcome,
) -> AttemptCompleted {
    AttemptCompleted {
        request: RequestId(id),
        attempt,
        backend,
        outcome,
        elapsed: 10.0,
        request_closed: outcome == Outcome::Ok,
        quota_usage: None,
        actual_units: None,
        load_report: LoadReport::default(),
        broken_connections: 0,
    }
}

/// What the policy does with a request in response to an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextStep {
    Send,
    Reject,
    Fail,
    Nothing,
}

/// The step that these actions contain. Fails the test if they contain more than one.
pub(crate) fn next_step(actions: &[Action]) -> NextStep {
    let mut steps = actions.iter().filter_map(|action| match action {
        Action::Send { .. } => Some(NextStep::Send),
        Action::Reject { .. } => Some(NextStep::Reject),
        Action::Fail(_) => Some(NextStep::Fail),
        _ => None,
    });
    let first = steps.next().unwrap_or(NextStep::Nothing);
    assert_eq!(steps.next(), None, "more than one step: {actions:?}");
    first
}
