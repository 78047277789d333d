//! A small stage for playing event sequences to a gateway.

use cometspool::*;

/// A gateway with the actions of its last event.
pub(crate) struct Stage {
    pub gateway: PolicyEngine,
    pub actions: Vec<Action>,
}

/// One gateway of `spread` with a plan and a class of each effect: 0 safe, 1 keyed, 2 unsafe.
pub(crate) fn settings(plan: Plan, gateways: u32) -> Settings {
    let class = |effect| Class {
        latency_objective: 1000.0,
        deadline: 3000.0,
        idempotency: effect,
        ..Class::default()
    };
    let keyed = Idempotency::WithKey {
        scope: DeduplicationScope::Zone,
        retention: 2000.0,
    };
    Settings {
        gateways,
        classes: vec![
            class(Idempotency::Idempotent),
            class(keyed),
            class(Idempotency::NonIdempotent),
        ],
        plans: vec![plan],
        max_attempts: 4,
        ..Settings::default()
    }
}

/// A warm backend in zone `zone`, cell `zone`.
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

#[allow(dead_code)]
impl Stage {
    /// A gateway that has been handed its first list.
    pub(crate) fn new(settings: Settings, backends: Vec<BackendEntry>) -> Stage {
        Stage::seeded(settings, 1, backends)
    }

    /// One of several gateways, each with a seed of its own.
    pub(crate) fn seeded(settings: Settings, seed: u64, backends: Vec<BackendEntry>) -> Stage {
        let mut stage = Stage {
            gateway: PolicyEngine::new(settings, seed),
            actions: Vec::new(),
        };
        stage.play(0.0, Event::EndpointsChanged(ListKind::Cached, backends));
        stage
    }

    /// Plays one event; the actions are kept until the next.
    pub(crate) fn play(&mut self, now: Millis, event: Event) -> &[Action] {
        self.actions.clear();
        self.gateway.handle(now, event, &mut self.actions);
        &self.actions
    }

    /// Plays an arrival and tells where it was sent, if it was.
    pub(crate) fn arrive(&mut self, now: Millis, request: Request) -> Option<BackendId> {
        self.play(now, Event::RequestArrived(request));
        self.sent()
    }

    /// Where the last event led to a send.
    pub(crate) fn sent(&self) -> Option<BackendId> {
        self.actions.iter().find_map(|a| match a {
            Action::Send { backend, .. } => Some(*backend),
            _ => None,
        })
    }

    /// Plays the end of an attempt.
    pub(crate) fn settle(
        &mut self,
        now: Millis,
        id: u32,
        attempt: u32,
        at: BackendId,
        outcome: Outcome,
    ) -> &[Action] {
        self.play(
            now,
            Event::AttemptCompleted(settled(id, attempt, at, outcome)),
        )
    }

    /// Plays an arrival that is answered 10 ms later if it is sent; tells whether it was.
    pub(crate) fn serve(&mut self, now: Millis, request: Request) -> bool {
        let sent = self.arrive(now, request);
        if let Some(at) = sent {
            self.settle(now + 10.0, request.id.0, 0, at, Outcome::Ok);
        }
        sent.is_some()
    }
}

/// The end of an attempt after 10 ms; a good one closes the request.
pub(crate) fn settled(id: u32, attempt: u32, at: BackendId, outcome: Outcome) -> AttemptCompleted {
    AttemptCompleted {
        request: RequestId(id),
        attempt,
        backend: at,
        outcome,
        elapsed: 10.0,
        request_closed: outcome == Outcome::Ok,
        quota_usage: None,
        actual_units: None,
        load_report: LoadReport::default(),
        broken_connections: 0,
    }
}
