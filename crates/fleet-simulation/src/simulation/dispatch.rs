//! Dispatches each due event to the part of the simulation that handles it.

use super::clients::RequestOutcome;
use super::event_queue::SimEvent;
use super::{Simulation, EVICTION_INTERVAL};
use cometspool::{Availability, BackendEntry, Event, ListKind, Millis, Outcome, RequestId};

impl Simulation {
    /// Handles a due event. If the gateway that handles it is stalled, postpones the event to the end of the stall.
    pub(super) fn dispatch(&mut self, event: SimEvent) {
        if let Some(stall_end) = self.stalled_until(&event) {
            self.schedule(stall_end, event);
            return;
        }
        match event {
            SimEvent::RequestReceived { request } => self.receive_request(request),
            SimEvent::ClientDisconnected { request } => {
                let gateway = self.requests[request as usize].gateway;
                self.notify_gateway(gateway, Event::ClientDisconnected(RequestId(request)));
            }
            SimEvent::RequestArrival { gateway } => self.handle_request_arrival(gateway),
            SimEvent::CustomerRequest {
                customer,
                is_request,
            } => self.handle_customer_request(customer, is_request),
            SimEvent::Retry { request } => self.retry(request),
            SimEvent::PolicyTimer { gateway, timer } => {
                self.notify_gateway(gateway, Event::TimerFired(timer));
            }
            SimEvent::CallArrival { call } => self.handle_call_arrival(call),
            SimEvent::WorkCompleted { call } => self.complete_work(call),
            SimEvent::CallEnded { call, outcome } => self.complete_call(call, outcome),
            SimEvent::CallTimeout { call } => self.complete_call(call, Outcome::Timeout),
            SimEvent::Deadline { request } => self.expire_request(request),
            SimEvent::EndpointsChanged { gateway, entries } => {
                self.update_endpoints(gateway, entries);
            }
            SimEvent::DialCompleted {
                gateway,
                backend,
                dial,
                is_answered,
            } => self.finish_dial(gateway, backend, dial, is_answered),
            SimEvent::CheckoutTimeout { call } => {
                if self.calls[call].waits_for_connection && !self.calls[call].is_completed {
                    self.complete_call(call, Outcome::ConnectFailed);
                }
            }
            SimEvent::EvictExpired { gateway } => self.evict_expired(gateway),
            SimEvent::PoolWake { gateway, backend } => {
                let steps = self.gateways[gateway].pool.wake(self.now, backend);
                self.apply_pool_steps(gateway, steps);
            }
            SimEvent::Fault { index } => self.inject_fault(index),
        }
    }

    /// Fails a request whose deadline has passed and disconnects its client, unless the request has ended.
    fn expire_request(&mut self, request: u32) {
        if !self.requests[request as usize].has_ended {
            self.finish(request, RequestOutcome::Failed);
            self.schedule(self.now, SimEvent::ClientDisconnected { request });
        }
    }

    /// Passes changed entries of the endpoint list to a gateway's pool and policy engine.
    fn update_endpoints(&mut self, gateway: usize, entries: Vec<BackendEntry>) {
        for entry in &entries {
            if entry.availability != Availability::Ready {
                let backend = self.backend_by_id[&entry.id];
                let steps = self.gateways[gateway].pool.remove_endpoint(backend);
                self.apply_pool_steps(gateway, steps);
            }
        }
        for entry in &entries {
            let backend = &mut self.backends[self.backend_by_id[&entry.id]];
            backend.notified_of_start[gateway] |= entry.started_at == backend.spec.started_at;
        }
        self.notify_gateway(gateway, Event::EndpointsChanged(ListKind::Changes, entries));
    }

    fn evict_expired(&mut self, gateway: usize) {
        let steps = self.gateways[gateway].pool.evict_expired(self.now);
        self.apply_pool_steps(gateway, steps);
        if self.now < self.scenario.duration {
            self.schedule(
                self.now + EVICTION_INTERVAL,
                SimEvent::EvictExpired { gateway },
            );
        }
    }

    /// Returns the end of the stall, ms, if the gateway that handles this event is stalled now.
    fn stalled_until(&self, event: &SimEvent) -> Option<Millis> {
        let gateway = match event {
            SimEvent::RequestReceived { request } | SimEvent::ClientDisconnected { request } => {
                self.requests[*request as usize].gateway
            }
            SimEvent::PolicyTimer { gateway, .. }
            | SimEvent::EndpointsChanged { gateway, .. }
            | SimEvent::DialCompleted { gateway, .. } => *gateway,
            SimEvent::CallEnded { call, .. } | SimEvent::CallTimeout { call } => {
                self.calls[*call].origin.gateway()?
            }
            _ => return None,
        };
        let mut stalls = self.scenario.gateway_stalls.iter();
        let current = stalls.find(|stall| {
            stall.gateway == gateway && (stall.from..stall.until).contains(&self.now)
        });
        current.map(|stall| stall.until)
    }
}
