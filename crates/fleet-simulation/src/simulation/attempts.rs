//! Calls to backends: the attempts that gateways send, and the calls that backends make to the next tier.

use super::clients::RequestOutcome;
use super::event_queue::SimEvent;
use super::Simulation;
use crate::scenario::BackendFault;
use cometspool::{AttemptCompleted, BackendId, Event, LoadReport, Millis, Outcome, RequestId};

/// The process that made a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum CallOrigin {
    /// A gateway, as an attempt of its request; `attempt` is the attempt's number within the request, from 0.
    Gateway { gateway: usize, attempt: u32 },
    /// A backend, while it processed the call `parent`.
    Backend { parent: usize },
}

impl CallOrigin {
    /// Returns the gateway that made the call; `None` if a backend did.
    pub(super) fn gateway(self) -> Option<usize> {
        match self {
            CallOrigin::Gateway { gateway, .. } => Some(gateway),
            CallOrigin::Backend { .. } => None,
        }
    }
}

/// A call to a backend: an attempt of a gateway, or a call of a backend to the next tier.
pub(super) struct Call {
    /// Index of the client request that the call is part of.
    pub(super) request: u32,
    pub(super) origin: CallOrigin,
    pub(super) backend: usize,
    /// Simulated time at which the call was made, ms.
    sent_at: Millis,
    /// Deadline that was passed to the backend, simulated time in ms.
    pub(super) deadline: Millis,
    /// Work of the call, in milliseconds on one core of reference speed.
    pub(super) work: f64,
    /// Work that the backend has done for the call, in the same unit; calls to the next tier are not included.
    pub(super) completed_work: f64,
    /// Whether the call is complete for its origin; the backend may still process it.
    pub(super) is_completed: bool,
    /// Index of the connection in use; `None` before one is assigned, or if connections are not modelled.
    pub(super) connection: Option<usize>,
    /// Whether the call is queued in its gateway's pool.
    pub(super) waits_for_connection: bool,
}

impl Simulation {
    /// Sends an attempt of a request to a backend. `timeout` is in ms; with `None`, only the client's deadline limits
    /// the attempt.
    pub(super) fn send(
        &mut self,
        gateway: usize,
        request: u32,
        backend_id: BackendId,
        timeout: Option<Millis>,
    ) {
        let backend = self.backend_by_id[&backend_id];
        let call = self.calls.len();
        let client_request = &mut self.requests[request as usize];
        let attempt = client_request.sent_attempts;
        client_request.sent_attempts += 1;
        client_request.in_flight.push(call);
        let work = client_request.work;
        let timeout = timeout.unwrap_or(client_request.deadline - self.now);
        self.account_for_attempt(request, attempt);
        let deducted_delay = if self.scenario.deducts_network_delay {
            self.delay_to_backend(gateway, backend)
        } else {
            0.0
        };
        let deadline = self.now + timeout - deducted_delay;
        self.record_attempt(gateway, backend, attempt);
        let origin = CallOrigin::Gateway { gateway, attempt };
        self.add_call(request, origin, backend, deadline, work);
        self.schedule(self.now + timeout, SimEvent::CallTimeout { call });
        if self.models_connections() {
            self.check_out_connection(call);
        } else {
            self.transmit(call);
        }
    }

    /// Accounts for an attempt in its customer's quota. Only the first attempt of a request takes units.
    fn account_for_attempt(&mut self, request: u32, attempt: u32) {
        let weight = self.priority_weight(request);
        let request = &mut self.requests[request as usize];
        let Some(clients) = &mut self.clients else {
            return;
        };
        if attempt == 0 {
            request.is_within_quota = clients.record_forwarded(request.customer, self.now, weight);
        }
        clients.customers[request.customer].attempts_in_flight += 1;
    }

    /// Counts an attempt in the statistics.
    fn record_attempt(&mut self, gateway: usize, backend: usize, attempt: u32) {
        self.statistics.attempts += 1;
        if attempt == 0 {
            self.statistics.first_attempts += 1;
            let is_impaired = self.is_impaired(gateway, backend);
            let second = self.current_second();
            let first_attempts = &mut self.statistics.first_attempts_by_second[second];
            first_attempts.total += 1;
            first_attempts.to_faulty += u64::from(is_impaired);
        }
        if self.gateways[gateway].zone != self.backends[backend].spec.zone {
            self.statistics.cross_zone_attempts += 1;
        }
        let second = (self.now / 1000.0) as usize;
        let by_second = &mut self.statistics.attempts_by_backend[backend];
        by_second.resize(by_second.len().max(second + 1), 0);
        by_second[second] += 1;
    }

    /// Adds a call to a backend. `deadline` is simulated time in ms, `work` is in milliseconds on one core of reference
    /// speed.
    pub(super) fn add_call(
        &mut self,
        request: u32,
        origin: CallOrigin,
        backend: usize,
        deadline: Millis,
        work: f64,
    ) {
        self.requests[request as usize].calls.push(self.calls.len());
        self.calls.push(Call {
            request,
            origin,
            backend,
            sent_at: self.now,
            deadline,
            work,
            completed_work: 0.0,
            is_completed: false,
            connection: None,
            waits_for_connection: false,
        });
    }

    /// Transmits a gateway's attempt to its backend. The attempt is lost if the backend is unreachable or silent.
    pub(super) fn transmit(&mut self, call: usize) {
        let Some(gateway) = self.calls[call].origin.gateway() else {
            return;
        };
        let backend = self.calls[call].backend;
        if !self.is_backend_reachable(gateway, backend) {
            return;
        }
        let delay = self.delay_to_backend(gateway, backend);
        match self.backends[backend].spec.fault {
            BackendFault::Crashed => {
                let outcome = Outcome::ConnectFailed;
                let event = SimEvent::CallEnded { call, outcome };
                self.schedule(self.now + 2.0 * delay, event);
            }
            BackendFault::Silent => {}
            _ => self.schedule(self.now + delay, SimEvent::CallArrival { call }),
        }
    }

    /// Completes a call for its origin with an outcome. If the call is already complete, the outcome is ignored.
    pub(super) fn complete_call(&mut self, call: usize, outcome: Outcome) {
        if std::mem::replace(&mut self.calls[call].is_completed, true) {
            return;
        }
        if matches!(outcome, Outcome::Timeout | Outcome::Cancelled) {
            self.remove_from_queue(call);
        }
        self.return_connection(call, outcome);
        match self.calls[call].origin {
            CallOrigin::Gateway { gateway, attempt } => {
                self.complete_attempt(call, gateway, attempt, outcome);
            }
            CallOrigin::Backend { parent } => {
                self.release_core(self.calls[parent].backend);
                let parent_outcome = if outcome == Outcome::Ok {
                    Outcome::Ok
                } else {
                    Outcome::Error
                };
                self.respond(parent, parent_outcome);
            }
        }
    }

    /// Completes an attempt of a gateway: a successful attempt ends its request as served, and the policy engine is
    /// notified.
    fn complete_attempt(&mut self, call: usize, gateway: usize, attempt: u32, outcome: Outcome) {
        let request = self.calls[call].request;
        let customer = self.requests[request as usize].customer;
        let quota_usage = self.reported_usage(customer, outcome);
        let client_request = &mut self.requests[request as usize];
        client_request
            .in_flight
            .retain(|in_flight| *in_flight != call);
        client_request
            .first_attempt_succeeded
            .get_or_insert(outcome == Outcome::Ok);
        if outcome == Outcome::Ok {
            self.finish(request, RequestOutcome::Served);
        }
        let completed = AttemptCompleted {
            request: RequestId(request),
            attempt,
            backend: self.backends[self.calls[call].backend].id,
            outcome,
            elapsed: self.now - self.calls[call].sent_at,
            request_closed: self.requests[request as usize].has_ended,
            quota_usage,
            actual_units: None,
            load_report: LoadReport::default(),
            broken_connections: 0,
        };
        self.notify_gateway(gateway, Event::AttemptCompleted(completed));
    }

    /// Removes an attempt from its customer's attempts in flight; returns the quota usage that the response reports, if
    /// there is a response and it reports one.
    fn reported_usage(&mut self, customer: usize, outcome: Outcome) -> Option<f64> {
        let clients = self.clients.as_mut()?;
        clients.customers[customer].attempts_in_flight -= 1;
        let has_response = matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected);
        if has_response {
            clients.reported_usage(customer, self.now, &mut self.random)
        } else {
            None
        }
    }

    /// Removes a call from its backend's queue after its origin has closed the connection. A call that a core already
    /// processes is not stopped.
    fn remove_from_queue(&mut self, call: usize) {
        let backend = &mut self.backends[self.calls[call].backend];
        backend.queued_calls.retain(|queued| *queued != call);
    }
}
