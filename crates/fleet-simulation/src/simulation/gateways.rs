//! The simulated gateways: passes events to their policy engines and executes the resulting actions.

use super::attempts::CallOrigin;
use super::clients::RequestOutcome;
use super::event_queue::SimEvent;
use super::Simulation;
use crate::pooling::Pool;
use crate::random::RandomSource;
use crate::scenario::{BackendFault, Scenario};
use cometspool::{
    Action, Availability, BackendId, Event, ListKind, Millis, Outcome, PolicyEngine, Settings,
    ZoneId,
};

/// A gateway, with the production policy engine and the production connection pool.
pub(super) struct SimulatedGateway {
    pub(super) engine: PolicyEngine,
    pub(super) zone: u32,
    pub(super) pool: Pool,
}

impl SimulatedGateway {
    /// Creates the gateway with this index and draws the seed that its policy engine and pool share.
    pub(super) fn new(
        scenario: &Scenario,
        index: u32,
        random: &mut RandomSource,
    ) -> SimulatedGateway {
        let zone = index % scenario.zones;
        let settings = gateway_settings(scenario, index, zone);
        let seed = u64::from(random.next_u32());
        SimulatedGateway {
            engine: PolicyEngine::new(settings, seed),
            zone,
            pool: Pool::new(scenario.settings.gateways, seed),
        }
    }
}

/// Returns the settings of one gateway of a scenario.
fn gateway_settings(scenario: &Scenario, index: u32, zone: u32) -> Settings {
    let classes = scenario
        .classes
        .iter()
        .map(|spec| spec.class.clone())
        .collect();
    Settings {
        gateway_index: index,
        zone: ZoneId(zone),
        classes,
        ..scenario.settings.clone()
    }
}

impl Simulation {
    /// Passes an event to a gateway's policy engine and executes the resulting actions.
    pub(super) fn notify_gateway(&mut self, gateway: usize, event: Event) {
        let mut actions = Vec::new();
        self.gateways[gateway]
            .engine
            .handle(self.now, event, &mut actions);
        for action in actions {
            self.execute_action(gateway, action);
        }
    }

    fn execute_action(&mut self, gateway: usize, action: Action) {
        match action {
            Action::Send {
                request,
                backend,
                timeout,
                ..
            } => self.send(gateway, request.0, backend, timeout),
            Action::Reject {
                request,
                retry_after,
                reason,
            } => self.reject(request.0, retry_after, format!("{reason:?}")),
            Action::Fail(request) => self.finish(request.0, RequestOutcome::Failed),
            Action::CancelAttempt { request, attempt } => self.cancel_attempt(request.0, attempt),
            Action::SetTimer { at, timer } => {
                self.schedule(at.max(self.now), SimEvent::PolicyTimer { gateway, timer });
            }
            Action::Log(text) if text.contains("set aside") => {
                self.record_ejection(gateway, &text);
            }
            Action::CloseIdleConnections(backend) => {
                let backend = self.backend_by_id[&backend];
                let steps = self.gateways[gateway].pool.close_idle(backend);
                self.apply_pool_steps(gateway, steps);
            }
            Action::Preconnect { backend, within } if self.models_connections() => {
                self.preconnect(gateway, backend, within);
            }
            _ => {}
        }
    }

    /// Cancels an attempt of a request if it is in flight. `attempt` is the attempt's number within the request.
    fn cancel_attempt(&mut self, request: u32, attempt: u32) {
        let in_flight = &self.requests[request as usize].in_flight;
        let call = in_flight.iter().copied().find(|call| {
            let origin = self.calls[*call].origin;
            matches!(origin, CallOrigin::Gateway { attempt: number, .. } if number == attempt)
        });
        if let Some(call) = call {
            self.complete_call(call, Outcome::Cancelled);
        }
    }

    /// Counts the ejection of a backend. The backend's id is the second word of the policy's log line
    /// `backend N set aside: ...`.
    fn record_ejection(&mut self, gateway: usize, log_line: &str) {
        let id = log_line.split(' ').nth(1).and_then(|id| id.parse().ok());
        let backend = id
            .and_then(|id| self.backend_by_id.get(&BackendId(id)))
            .copied();
        let is_faulty = backend.is_some_and(|backend| self.is_impaired(gateway, backend));
        if is_faulty {
            self.statistics.ejections.faulty += 1;
        } else {
            self.statistics.ejections.healthy += 1;
        }
    }

    fn preconnect(&mut self, gateway: usize, backend: BackendId, within: Millis) {
        let backend = self.backend_by_id[&backend];
        let steps = self.gateways[gateway]
            .pool
            .preconnect(self.now, backend, within);
        self.apply_pool_steps(gateway, steps);
    }

    /// Restarts a gateway's policy engine with the current endpoint list. The engine loses the requests that it had,
    /// and their clients wait until the deadline.
    pub(super) fn restart_gateway(&mut self, gateway: usize) {
        let zone = self.gateways[gateway].zone;
        let seed = u64::from(self.random.next_u32());
        let settings = gateway_settings(&self.scenario, gateway as u32, zone);
        self.gateways[gateway].engine = PolicyEngine::new(settings, seed);
        let mut endpoints = Vec::new();
        for (index, backend) in self.backends.iter().enumerate() {
            if backend.spec.is_listed && backend.spec.fault != BackendFault::Crashed {
                endpoints.push(self.endpoint(index, Availability::Ready));
            }
        }
        self.notify_gateway(
            gateway,
            Event::EndpointsChanged(ListKind::Cached, endpoints),
        );
    }
}
