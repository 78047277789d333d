//! The front doors: events go into their gateways, and actions that come back are carried out.

use super::clients::End;
use super::schedule::SimEvent;
use super::World;
use crate::pooling::Pool;
use crate::scenario::{Ill, Spec};
use cometspool::{
    Action, Availability, BackendId, Event, ListKind, Outcome, PolicyEngine, Settings, ZoneId,
};

/// A front door: the module as it serves, and the model of its pool of links.
pub(super) struct FrontDoor {
    pub(super) gateway: PolicyEngine,
    pub(super) zone: u32,
    pub(super) pool: Pool,
}

/// What a front door is told.
pub(super) fn door_settings(spec: &Spec, me: u32, zone: u32) -> Settings {
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

impl World {
    pub(super) fn notify_door(&mut self, door: usize, event: Event) {
        let mut actions = Vec::new();
        self.doors[door]
            .gateway
            .handle(self.now, event, &mut actions);
        self.carry_out(door, actions);
    }

    pub(super) fn carry_out(&mut self, door: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send {
                    request,
                    backend,
                    timeout: limit,
                    ..
                } => self.send(door, request.0, backend, limit),
                #[cfg(not(feature = "base"))]
                Action::Reject {
                    request,
                    retry_after,
                    reason: why,
                } => {
                    self.refused(request.0, retry_after, format!("{why:?}"));
                }
                #[cfg(feature = "base")]
                Action::Refuse {
                    request,
                    retry_after,
                } => {
                    self.refused(request.0, retry_after, String::new());
                }
                Action::Fail(request) => self.finish(request.0, End::Failed),
                Action::CancelAttempt { request, attempt } => {
                    let out = &self.requests[request.0 as usize].out;
                    let is = |call: &&usize| matches!(self.calls[**call].from, Ok((_, n)) if n == attempt);
                    if let Some(call) = out.iter().find(is).copied() {
                        self.settle(call, Outcome::Cancelled);
                    }
                }
                Action::SetTimer { at, timer } => {
                    self.schedule(at.max(self.now), SimEvent::Alarm(door, timer));
                }
                Action::Log(text) if text.contains("set aside") => {
                    let word = text.split(' ').nth(1).and_then(|id| id.parse().ok());
                    let backend = word.and_then(|id| self.by_id.get(&BackendId(id))).copied();
                    let ill = backend.is_some_and(|backend| self.is_impaired(door, backend));
                    self.tally.set_aside[usize::from(ill)] += 1;
                }
                Action::CloseIdleConnections(backend) => {
                    let backend = self.by_id[&backend];
                    self.pool(door, |pool, _, steps| pool.close_idle(backend, steps));
                }
                #[cfg(not(feature = "base"))]
                Action::Preconnect { backend, within } if self.spec.table.is_some() => {
                    let backend = self.by_id[&backend];
                    self.pool(door, |pool, now, steps| {
                        pool.preconnect(now, backend, within, steps);
                    });
                }
                _ => {}
            }
        }
    }

    /// What it had at hand is lost; its clients wait in vain.
    pub(super) fn restart(&mut self, door: usize) {
        let (zone, seed) = (self.doors[door].zone, u64::from(self.chance.word()));
        self.doors[door].gateway =
            PolicyEngine::new(door_settings(&self.spec, door as u32, zone), seed);
        let up = |node: &usize| {
            self.backends[*node].spec.listed && self.backends[*node].spec.ill != Ill::Dead
        };
        let up: Vec<usize> = (0..self.backends.len()).filter(up).collect();
        let list = up
            .into_iter()
            .map(|node| self.entry(node, Availability::Ready))
            .collect();
        self.notify_door(door, Event::EndpointsChanged(ListKind::Cached, list));
    }
}
