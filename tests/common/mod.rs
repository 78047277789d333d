//! A gateway without its driver, for tests that play event sequences to the policy.

#![allow(dead_code, reason = "each test file uses a part of these helpers")]

use cometspool::*;

/// A gateway, with the actions of its last event.
pub(crate) struct GatewayFixture {
    pub engine: PolicyEngine,
    pub actions: Vec<Action>,
}

/// Settings of one of so many gateways with one plan, and a class of each idempotency: 0 idempotent, 1 with a key,
/// 2 not idempotent.
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

/// A plan that limits none of the requests of most tests.
pub(crate) fn generous_plan() -> Plan {
    Plan {
        rate: 1000.0,
        burst: 1000.0,
        ..Plan::default()
    }
}

/// A warm backend in zone `zone` and the cell of the same number.
pub(crate) fn ready(id: u32, zone: u32) -> BackendEntry {
    BackendEntry {
        id: BackendId(id),
        zone: ZoneId(zone),
        cell: CellId(zone),
        availability: Availability::Ready,
        started_at: None,
        weight: 1.0,
    }
}

/// A request of customer 1.
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

/// One of a hundred gateways with a plan that admits all of its requests.
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
    /// A gateway that has received its first endpoint list.
    pub(crate) fn new(settings: Settings, backends: Vec<BackendEntry>) -> GatewayFixture {
        GatewayFixture::seeded(settings, 1, backends)
    }

    /// One of several gateways, each with a seed of its own.
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

    /// Handles one event; its actions are kept until the next.
    pub(crate) fn handle(&mut self, now: Millis, event: Event) -> &[Action] {
        self.actions.clear();
        self.engine.handle(now, event, &mut self.actions);
        &self.actions
    }

    /// Handles the arrival of a request; the backend that it was sent to, if it was.
    pub(crate) fn arrive(&mut self, now: Millis, request: Request) -> Option<BackendId> {
        self.handle(now, Event::RequestArrived(request));
        self.sent_to()
    }

    /// The backend that the last event sent an attempt to.
    pub(crate) fn sent_to(&self) -> Option<BackendId> {
        self.actions.iter().find_map(|action| match action {
            Action::Send { backend, .. } => Some(*backend),
            _ => None,
        })
    }

    /// Handles the end of an attempt.
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

    /// Handles the arrival of a request that is answered 10 ms later if it is sent; whether it was.
    pub(crate) fn serve(&mut self, now: Millis, request: Request) -> bool {
        let backend = self.arrive(now, request);
        if let Some(backend) = backend {
            self.complete(now + 10.0, request.id.0, 0, backend, Outcome::Ok);
        }
        backend.is_some()
    }
}

/// The end of an attempt after 10 ms; a good one closes the request.
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

/// What becomes of a request by the actions of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextStep {
    Send,
    Reject,
    Fail,
    Nothing,
}

/// The next step that these actions take; there must be no second one.
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
