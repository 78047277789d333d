//! Hands each thing that comes due to the part that it concerns.

use super::clients::End;
use super::event_queue::SimEvent;
use super::Simulation;
use cometspool::{Availability, Event, ListKind, Millis, Outcome, RequestId};

impl Simulation {
    pub(super) fn dispatch(&mut self, event: SimEvent) {
        if let Some(end) = self.paused(&event) {
            self.schedule(end, event);
            return;
        }
        match event {
            SimEvent::RequestReceived(request) => self.receive_request(request),
            SimEvent::ClientDisconnected(request) => {
                let gateway = self.requests[request as usize].gateway;
                self.notify_gateway(gateway, Event::ClientDisconnected(RequestId(request)));
            }
            SimEvent::Arrive(gateway) => self.arrive(gateway),
            SimEvent::CustomerRequest(customer, asks) => self.send_customer_request(customer, asks),
            SimEvent::Retry(before) => self.retry(before),
            SimEvent::PolicyTimer(gateway, alarm) => {
                self.notify_gateway(gateway, Event::TimerFired(alarm));
            }
            SimEvent::RequestAtBackend(call) => self.begin(call),
            SimEvent::WorkCompleted(call) => self.complete_work(call),
            SimEvent::AttemptEnded(call, outcome) => self.settle(call, outcome),
            SimEvent::AttemptTimeout(call) => self.settle(call, Outcome::Timeout),
            SimEvent::Deadline(request) => {
                if !self.requests[request as usize].answered {
                    self.finish(request, End::Failed);
                    self.schedule(self.now, SimEvent::ClientDisconnected(request));
                }
            }
            SimEvent::EndpointsChanged(gateway, entries) => {
                for entry in entries
                    .iter()
                    .filter(|entry| entry.availability != Availability::Ready)
                {
                    let backend = self.by_id[&entry.id];
                    self.pool(gateway, |pool, _, steps| {
                        pool.remove_endpoint(backend, steps);
                    });
                }
                for entry in &entries {
                    let backend = &mut self.backends[self.by_id[&entry.id]];
                    backend.knows_start[gateway] |= entry.started_at == backend.spec.started_at;
                }
                self.notify_gateway(gateway, Event::EndpointsChanged(ListKind::Changes, entries));
            }
            SimEvent::DialCompleted(gateway, backend, call, answered) => {
                self.finish_dial(gateway, backend, call, answered);
            }
            SimEvent::CheckoutTimeout(call) => {
                if self.calls[call].waits_for_connection && !self.calls[call].settled {
                    self.settle(call, Outcome::ConnectFailed);
                }
            }
            SimEvent::EvictExpired(gateway) => {
                self.pool(gateway, super::super::pooling::Pool::evict_expired);
                if self.now < self.scenario.duration {
                    self.schedule(self.now + 500.0, SimEvent::EvictExpired(gateway));
                }
            }
            SimEvent::PoolWake(gateway, backend) => {
                self.pool(gateway, |pool, now, steps| pool.wake(now, backend, steps));
            }
            SimEvent::Fault(fault) => self.inject_fault(fault),
        }
    }

    /// When the gateway that this happens at stands still: the end of that.
    fn paused(&self, event: &SimEvent) -> Option<Millis> {
        let gateway = match event {
            SimEvent::RequestReceived(request) | SimEvent::ClientDisconnected(request) => {
                self.requests[*request as usize].gateway
            }
            SimEvent::PolicyTimer(gateway, _)
            | SimEvent::EndpointsChanged(gateway, _)
            | SimEvent::DialCompleted(gateway, ..) => *gateway,
            SimEvent::AttemptEnded(call, _) | SimEvent::AttemptTimeout(call) => {
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
