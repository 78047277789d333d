//! The gateways: events go into their gateways, and actions that come back are carried out.

use super::attempts::CallOrigin;
use super::clients::End;
use super::event_queue::SimEvent;
use super::Simulation;
use crate::pooling::Pool;
use crate::scenario::{BackendFault, Scenario};
use cometspool::{
    Action, Availability, BackendId, Event, ListKind, Outcome, PolicyEngine, Settings, ZoneId,
};

/// A gateway: the module as it serves, and the model of its pool of connections.
pub(super) struct SimulatedGateway {
    pub(super) engine: PolicyEngine,
    pub(super) zone: u32,
    pub(super) pool: Pool,
}

/// What a gateway is told.
pub(super) fn gateway_settings(spec: &Scenario, me: u32, zone: u32) -> Settings {
    let classes = spec
        .classes
        .iter()
        .map(|class| class.class.clone())
        .collect();
    Settings {
        gateway_index: me,
        zone: ZoneId(zone),
        classes,
        ..spec.settings.clone()
    }
}

impl Simulation {
    pub(super) fn notify_gateway(&mut self, gateway: usize, event: Event) {
        let mut actions = Vec::new();
        self.gateways[gateway]
            .engine
            .handle(self.now, event, &mut actions);
        self.carry_out(gateway, actions);
    }

    pub(super) fn carry_out(&mut self, gateway: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send {
                    request,
                    backend,
                    timeout: limit,
                    ..
                } => self.send(gateway, request.0, backend, limit),
                Action::Reject {
                    request,
                    retry_after,
                    reason: why,
                } => {
                    self.reject(request.0, retry_after, format!("{why:?}"));
                }
                Action::Fail(request) => self.finish(request.0, End::Failed),
                Action::CancelAttempt { request, attempt } => {
                    let out = &self.requests[request.0 as usize].in_flight;
                    let is = |call: &&usize| matches!(self.calls[**call].origin, CallOrigin::Gateway { attempt: number, .. } if number == attempt);
                    if let Some(call) = out.iter().find(is).copied() {
                        self.settle(call, Outcome::Cancelled);
                    }
                }
                Action::SetTimer { at, timer } => {
                    self.schedule(at.max(self.now), SimEvent::PolicyTimer(gateway, timer));
                }
                Action::Log(text) if text.contains("set aside") => {
                    let word = text.split(' ').nth(1).and_then(|id| id.parse().ok());
                    let backend = word.and_then(|id| self.by_id.get(&BackendId(id))).copied();
                    let ill = backend.is_some_and(|backend| self.is_impaired(gateway, backend));
                    self.statistics.set_aside[usize::from(ill)] += 1;
                }
                Action::CloseIdleConnections(backend) => {
                    let backend = self.by_id[&backend];
                    self.pool(gateway, |pool, _, steps| pool.close_idle(backend, steps));
                }
                Action::Preconnect { backend, within }
                    if self.scenario.max_connections_per_backend.is_some() =>
                {
                    let backend = self.by_id[&backend];
                    self.pool(gateway, |pool, now, steps| {
                        pool.preconnect(now, backend, within, steps);
                    });
                }
                _ => {}
            }
        }
    }

    /// What it had at hand is lost; its clients wait in vain.
    pub(super) fn restart(&mut self, gateway: usize) {
        let (zone, seed) = (
            self.gateways[gateway].zone,
            u64::from(self.random.next_u32()),
        );
        self.gateways[gateway].engine =
            PolicyEngine::new(gateway_settings(&self.scenario, gateway as u32, zone), seed);
        let up = |node: &usize| {
            self.backends[*node].spec.is_listed
                && self.backends[*node].spec.fault != BackendFault::Crashed
        };
        let up: Vec<usize> = (0..self.backends.len()).filter(up).collect();
        let list = up
            .into_iter()
            .map(|node| self.entry(node, Availability::Ready))
            .collect();
        self.notify_gateway(gateway, Event::EndpointsChanged(ListKind::Cached, list));
    }
}
