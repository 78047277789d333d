//! Attempts of gateways at backends, and the calls that backends make below them.

use super::clients::End;
use super::event_queue::SimEvent;
use super::Simulation;
use crate::scenario::BackendFault;
use cometspool::{AttemptCompleted, BackendId, Event, LoadReport, Millis, Outcome, RequestId};

/// Who made a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum CallOrigin {
    /// A gateway; the attempt's number within its request comes along.
    Gateway { gateway: usize, attempt: u32 },
    /// A backend, as part of another call.
    Backend { call: usize },
}

impl CallOrigin {
    /// The gateway that made the call, unless a backend did.
    pub(super) fn gateway(self) -> Option<usize> {
        match self {
            CallOrigin::Gateway { gateway, .. } => Some(gateway),
            CallOrigin::Backend { .. } => None,
        }
    }
}

/// An attempt of a gateway, or a call of one backend to another.
pub(super) struct Call {
    /// The request that it serves.
    pub(super) request: u32,
    /// Who made it.
    pub(super) origin: CallOrigin,
    pub(super) backend: usize,
    pub(super) sent: Millis,
    /// What the backend was told that it has, as a time.
    pub(super) deadline: Millis,
    pub(super) work: f64,
    /// Work done for it, and below it.
    pub(super) done: f64,
    pub(super) settled: bool,
    pub(super) working: bool,
    pub(super) reached: bool,
    /// Where it stands: without connections, waiting for one, or on one.
    pub(super) connection: Option<u64>,
    pub(super) waits_for_connection: bool,
}

impl Simulation {
    pub(super) fn send(
        &mut self,
        gateway: usize,
        request: u32,
        to: BackendId,
        limit: Option<Millis>,
    ) {
        let asked = &mut self.requests[request as usize];
        let number = asked.sent_attempts;
        asked.sent_attempts += 1;
        // Its client's own time, or what a gateway that stood still takes for it, ends it; the latter when it is told.
        let limit = limit.unwrap_or(asked.deadline - self.now);
        let work = asked.work;
        let backend = self.by_id[&to];
        let call = self.calls.len();
        self.requests[request as usize].in_flight.push(call);
        let (worth, customer, now) = (
            self.worth(request),
            self.requests[request as usize].customer,
            self.now,
        );
        if let Some(clients) = &mut self.clients {
            if number == 0 {
                self.requests[request as usize].within_quota =
                    clients.record_forwarded(customer, now, worth);
            }
            clients.customers[customer].attempts_in_flight += 1;
        }
        let delay = self.one_way_delay(
            self.gateways[gateway].zone,
            self.backends[backend].spec.zone,
        );
        let until = self.now + limit
            - if self.scenario.deducts_network_delay {
                delay
            } else {
                0.0
            };
        self.statistics.attempts += 1;
        if number == 0 {
            self.statistics.first_attempts += 1;
            let impaired = self.is_impaired(gateway, backend);
            let _ = self.current_second();
            let entry = self
                .statistics
                .first_attempts_by_second
                .last_mut()
                .expect("a second");
            entry.total += 1;
            entry.to_faulty += u64::from(impaired);
        }
        if self.gateways[gateway].zone != self.backends[backend].spec.zone {
            self.statistics.cross_zone_attempts += 1;
        }
        self.call(
            request,
            CallOrigin::Gateway {
                gateway,
                attempt: number,
            },
            backend,
            until,
            work,
        );
        let second = (self.now / 1000.0) as usize;
        let sent = &mut self.statistics.attempts_by_backend[backend];
        sent.resize(sent.len().max(second + 1), 0);
        sent[second] += 1;
        self.schedule(self.now + limit, SimEvent::AttemptTimeout(call));
        if self.scenario.max_connections_per_backend.is_some() {
            self.check_out_connection(call);
        } else {
            self.transmit(call);
        }
    }

    /// Notes a call, of a gateway or of a backend, to a backend.
    pub(super) fn call(
        &mut self,
        request: u32,
        origin: CallOrigin,
        backend: usize,
        until: Millis,
        work: f64,
    ) {
        self.requests[request as usize].calls.push(self.calls.len());
        self.calls.push(Call {
            request,
            origin,
            backend,
            sent: self.now,
            deadline: until,
            work,
            done: 0.0,
            settled: false,
            working: false,
            reached: false,
            connection: None,
            waits_for_connection: false,
        });
    }

    /// An attempt goes out, on its connection if these are modelled.
    pub(super) fn transmit(&mut self, call: usize) {
        let (Some(gateway), backend) =
            (self.calls[call].origin.gateway(), self.calls[call].backend)
        else {
            return;
        };
        let delay = self.one_way_delay(
            self.gateways[gateway].zone,
            self.backends[backend].spec.zone,
        );
        if !self.reaches(
            self.gateways[gateway].zone,
            self.backends[backend].spec.zone,
        ) {
            return;
        }
        match self.backends[backend].spec.fault {
            BackendFault::Crashed => self.schedule(
                self.now + 2.0 * delay,
                SimEvent::AttemptEnded(call, Outcome::ConnectFailed),
            ),
            BackendFault::Silent => {}
            _ => self.schedule(self.now + delay, SimEvent::RequestAtBackend(call)),
        }
    }

    /// An attempt of a gateway ends for it, or a call for the backend that made it.
    pub(super) fn settle(&mut self, call: usize, outcome: Outcome) {
        if std::mem::replace(&mut self.calls[call].settled, true) {
            return;
        }
        self.abandon(call, outcome);
        self.return_connection(call, outcome);
        let (request, backend, sent) = (
            self.calls[call].request,
            self.calls[call].backend,
            self.calls[call].sent,
        );
        let (gateway, attempt) = match self.calls[call].origin {
            CallOrigin::Gateway { gateway, attempt } => (gateway, attempt),
            CallOrigin::Backend { call: above } => {
                // The backend above answers with what it got, and has its core back.
                self.release_core(self.calls[above].backend);
                let outcome = if outcome == Outcome::Ok {
                    Outcome::Ok
                } else {
                    Outcome::Error
                };
                self.answer(above, outcome);
                return;
            }
        };
        let asked = &mut self.requests[request as usize];
        let customer = asked.customer;
        let told = matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected);
        let (now, mut use_of_quota) = (self.now, None);
        if let Some(clients) = &mut self.clients {
            clients.customers[customer].attempts_in_flight -= 1;
            use_of_quota = if told {
                clients.reported_usage(customer, now, &mut self.random)
            } else {
                None
            };
        }
        asked.in_flight.retain(|out| *out != call);
        asked
            .first_attempt_succeeded
            .get_or_insert(outcome == Outcome::Ok);
        if outcome == Outcome::Ok {
            self.finish(request, End::Served);
        }
        let closed = self.requests[request as usize].answered;
        let settled = AttemptCompleted {
            request: RequestId(request),
            attempt,
            backend: self.backends[backend].id,
            outcome,
            elapsed: self.now - sent,
            request_closed: closed,
            quota_usage: use_of_quota,
            actual_units: None,
            load_report: LoadReport::default(),
            broken_connections: 0,
        };
        self.notify_gateway(gateway, Event::AttemptCompleted(settled));
    }

    /// Whoever gave an attempt up closes its connection: what still waits for a core is dropped.
    fn abandon(&mut self, call: usize, outcome: Outcome) {
        if matches!(outcome, Outcome::Timeout | Outcome::Cancelled) {
            let backend = self.calls[call].backend;
            self.backends[backend]
                .waiting
                .retain(|waiting| *waiting != call);
        }
    }
}
