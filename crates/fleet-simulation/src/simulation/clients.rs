//! The simulated clients: their requests and retries, and the final outcome of each.

use super::event_queue::SimEvent;
use super::Simulation;
use cometspool::{ClassId, CustomerId, Event, Millis, PlanId, Request, RequestId};

/// Number of customers among which the requests are divided in a scenario without a client population.
const ANONYMOUS_CUSTOMERS: usize = 64;

/// Final outcome of a request.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum RequestOutcome {
    /// A response arrived before the deadline.
    Served,
    /// A gateway rejected the request.
    Rejected,
    /// All attempts failed, or the deadline passed.
    Failed,
}

/// A client's request, or one of its retries, at one gateway.
pub(super) struct ClientRequest {
    pub(super) gateway: usize,
    pub(super) customer: usize,
    /// Number of the retry; 0 for the client's first request.
    retry_count: u32,
    /// Simulated time at which the client sent the first request, before any retry, ms.
    first_arrived_at: Millis,
    /// Whether the first attempt was within the customer's quota.
    pub(super) is_within_quota: bool,
    pub(super) class: usize,
    /// Simulated time at which the client sent this request or retry, ms.
    arrived_at: Millis,
    /// Simulated time at which the client stops waiting, ms.
    pub(super) deadline: Millis,
    /// Indices of the calls of the attempts that are in flight.
    pub(super) in_flight: Vec<usize>,
    /// Number of attempts that the gateway has sent.
    pub(super) sent_attempts: u32,
    /// Whether the request has its final outcome.
    pub(super) has_ended: bool,
    /// Work of one call at each tier, in milliseconds on one core of reference speed.
    pub(super) work: f64,
    /// Indices of all calls that gateways and backends made for the request.
    pub(super) calls: Vec<usize>,
    /// Whether the request was served within the latency objective of its class.
    pub(super) is_served_in_time: bool,
    /// Result of the attempt that ended first; `None` if none has ended.
    pub(super) first_attempt_succeeded: Option<bool>,
}

impl ClientRequest {
    fn new(
        gateway: usize,
        customer: usize,
        class: usize,
        arrived_at: Millis,
        deadline: Millis,
        work: f64,
    ) -> ClientRequest {
        ClientRequest {
            gateway,
            customer,
            retry_count: 0,
            first_arrived_at: arrived_at,
            is_within_quota: true,
            class,
            arrived_at,
            deadline,
            in_flight: Vec::new(),
            sent_attempts: 0,
            has_ended: false,
            work,
            calls: Vec::new(),
            is_served_in_time: false,
            first_attempt_succeeded: None,
        }
    }
}

impl Simulation {
    /// Handles the arrival of a request at a gateway, and schedules the next arrival.
    pub(super) fn handle_request_arrival(&mut self, gateway: usize) {
        if self.now > self.scenario.duration {
            return;
        }
        let mean_interval = 1000.0 / self.scenario.requests_per_second;
        let next = self.now + self.random.exponential(mean_interval);
        self.schedule(next, SimEvent::RequestArrival { gateway });
        let customer = self.requests.len() % ANONYMOUS_CUSTOMERS;
        self.issue_request(gateway, customer);
    }

    /// Schedules a customer's next request, or the next change of its request rate if that comes first.
    pub(super) fn schedule_next_request(&mut self, customer: usize) {
        let Some(clients) = &self.clients else {
            return;
        };
        let next = clients.next_request(customer, self.now, &mut self.random);
        let is_request = next.is_request;
        self.schedule(
            next.at,
            SimEvent::CustomerRequest {
                customer,
                is_request,
            },
        );
    }

    /// Schedules a customer's next event, and sends a request if `is_request` is set.
    pub(super) fn handle_customer_request(&mut self, customer: usize, is_request: bool) {
        if self.now > self.scenario.duration {
            return;
        }
        self.schedule_next_request(customer);
        if !is_request {
            return;
        }
        let Some(clients) = &mut self.clients else {
            return;
        };
        let gateway = clients.choose_gateway(customer, self.now, &mut self.random);
        let request = self.issue_request(gateway, customer);
        let weight = self.priority_weight(request);
        if let Some(clients) = &mut self.clients {
            clients.record_offered(customer, self.now, weight);
            clients.account.attempts += 1;
        }
    }

    /// Retries a rejected request under a new id and with the original deadline.
    pub(super) fn retry(&mut self, rejected: u32) {
        let rejected = &self.requests[rejected as usize];
        if self.now >= rejected.deadline {
            return;
        }
        let Some(clients) = &mut self.clients else {
            return;
        };
        let customer = rejected.customer;
        let gateway = clients.choose_gateway(customer, self.now, &mut self.random);
        clients.account.attempts += 1;
        let retry = ClientRequest {
            first_arrived_at: rejected.first_arrived_at,
            retry_count: rejected.retry_count + 1,
            ..ClientRequest::new(
                gateway,
                customer,
                rejected.class,
                self.now,
                rejected.deadline,
                rejected.work,
            )
        };
        self.submit(retry);
    }

    /// Sends a request to its gateway, schedules its deadline and returns its index.
    fn submit(&mut self, request: ClientRequest) -> u32 {
        let index = self.requests.len() as u32;
        let deadline = request.deadline;
        self.requests.push(request);
        self.schedule(self.now, SimEvent::RequestReceived { request: index });
        self.schedule(deadline, SimEvent::Deadline { request: index });
        index
    }

    /// Returns the priority weight of a request's class.
    pub(super) fn priority_weight(&self, request: u32) -> f64 {
        let class = self.requests[request as usize].class;
        self.scenario.classes[class].class.priority_weight
    }

    /// Rejects a request. The client may retry after `retry_after` ms, or after its own backoff if that is `None`; the
    /// wait is jittered by up to 25 % in both directions.
    pub(super) fn reject(&mut self, request: u32, retry_after: Option<Millis>, reason: String) {
        let rejected = &self.requests[request as usize];
        let had_ended = rejected.has_ended;
        let customer = rejected.customer;
        let retry_count = rejected.retry_count;
        self.finish(request, RequestOutcome::Rejected);
        if had_ended {
            return;
        }
        let Some(clients) = &mut self.clients else {
            return;
        };
        clients.record_rejected(customer, self.now, reason);
        let behavior = clients.retry_behavior();
        if retry_count < behavior.max_retries {
            let backoff = behavior.mean_wait * f64::from(1 << retry_count);
            let wait = retry_after.unwrap_or(backoff) * (0.75 + 0.5 * self.random.uniform());
            self.schedule(self.now + wait.max(1.0), SimEvent::Retry { request });
        }
    }

    /// Draws class, deadline and work of a customer's request, sends it to a gateway and returns its index.
    fn issue_request(&mut self, gateway: usize, customer: usize) -> u32 {
        let class = self.draw_class();
        let spec = &self.scenario.classes[class];
        let deadline_fraction = self.scenario.min_deadline_fraction
            + (1.0 - self.scenario.min_deadline_fraction) * self.random.uniform();
        let deadline = self.now + spec.class.deadline * deadline_fraction;
        let work = self
            .random
            .lognormal(spec.mean_work, spec.coefficient_of_variation);
        let weight = spec.class.priority_weight;
        self.statistics.requests += 1;
        self.statistics.requested_weight += weight;
        let second = self.current_second();
        self.statistics.weight_by_second[second].requested += weight;
        self.submit(ClientRequest::new(
            gateway, customer, class, self.now, deadline, work,
        ))
    }

    /// Draws the index of a class with probabilities proportional to the shares of the classes.
    fn draw_class(&mut self) -> usize {
        let classes = &self.scenario.classes;
        let total = classes.iter().map(|class| class.share).sum::<f64>();
        let mut point = self.random.uniform() * total;
        let mut class = 0;
        while class + 1 < classes.len() && point >= classes[class].share {
            point -= classes[class].share;
            class += 1;
        }
        class
    }

    /// Handles the event that a gateway reads a request, which is when the request arrives or when the gateway's stall
    /// ends.
    pub(super) fn receive_request(&mut self, id: u32) {
        let received = &self.requests[id as usize];
        let gateway = received.gateway;
        let queued_for = self.now - received.arrived_at;
        let charges_stalls = self.scenario.charges_stalls;
        let deadline = if charges_stalls {
            received.deadline
        } else {
            received.deadline + queued_for
        };
        if received.has_ended || deadline <= self.now {
            self.finish(id, RequestOutcome::Failed);
            return;
        }
        let clients = self.clients.as_ref();
        let customer = clients.map(|clients| &clients.customers[received.customer]);
        let request = Request {
            id: RequestId(id),
            customer: CustomerId(received.customer as u64),
            plan: PlanId(customer.map_or(0, |customer| customer.plan)),
            class: ClassId(received.class),
            units: 1.0,
            deadline,
            gateway_count: customer.map_or(1.0, |customer| customer.gateways.len() as f64),
            is_retry: false,
            queued_for: if charges_stalls { queued_for } else { 0.0 },
        };
        self.notify_gateway(gateway, Event::RequestArrived(request));
    }

    /// Records the final outcome of a request. Later outcomes of the same request are ignored.
    pub(super) fn finish(&mut self, request: u32, outcome: RequestOutcome) {
        let request = &mut self.requests[request as usize];
        if std::mem::replace(&mut request.has_ended, true) {
            return;
        }
        let class = &self.scenario.classes[request.class].class;
        let elapsed = self.now - request.arrived_at;
        let is_late = elapsed >= class.latency_objective
            || elapsed > 0.5 * (request.deadline - request.arrived_at);
        let outcomes = &mut self.statistics.outcomes;
        match outcome {
            RequestOutcome::Served => outcomes.served += 1,
            RequestOutcome::Rejected => outcomes.rejected += 1,
            RequestOutcome::Failed => outcomes.failed += 1,
        }
        if outcome != RequestOutcome::Served {
            self.statistics.late_failures += u64::from(is_late);
            return;
        }
        let weight = class.priority_weight;
        // The quota account measures latency from the client's first request, so it includes the time of retries.
        if self.now - request.first_arrived_at <= class.latency_objective {
            if let Some(clients) = &mut self.clients {
                clients.record_served(request.customer, weight, request.is_within_quota);
            }
        }
        if elapsed <= class.latency_objective {
            let second = (request.arrived_at / 1000.0) as usize;
            request.is_served_in_time = true;
            self.statistics.served_weight += weight;
            self.statistics.weight_by_second[second].served += weight;
        }
    }
}
