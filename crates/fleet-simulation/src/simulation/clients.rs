//! The clients: their requests and further tries, and the one final answer of each.

use super::event_queue::SimEvent;
use super::Simulation;
use cometspool::{ClassId, CustomerId, Event, Millis, PlanId, Request, RequestId};

/// How a request ends, in the order of [`Tally::ends`](crate::Tally::ends).
#[derive(Clone, Copy, PartialEq)]
pub(super) enum End {
    Served,
    Rejected,
    Failed,
}

/// A try of a client's request at one gateway.
pub(super) struct ClientRequest {
    pub(super) gateway: usize,
    /// Whose it is; which try of its client; when the first came; whether it was sent on within the quota.
    pub(super) customer: usize,
    pub(super) attempt_number: u32,
    pub(super) first_arrived_at: Millis,
    pub(super) within_quota: bool,
    pub(super) class: usize,
    pub(super) arrived_at: Millis,
    pub(super) deadline: Millis,
    pub(super) in_flight: Vec<usize>,
    pub(super) sent_attempts: u32,
    pub(super) answered: bool,
    /// Work of an attempt of it, at each backend it meets.
    pub(super) work: f64,
    pub(super) calls: Vec<usize>,
    pub(super) served_in_time: bool,
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
            attempt_number: 0,
            first_arrived_at: arrived_at,
            within_quota: true,
            class,
            arrived_at,
            deadline,
            in_flight: Vec::new(),
            sent_attempts: 0,
            answered: false,
            work,
            calls: Vec::new(),
            served_in_time: false,
            first_attempt_succeeded: None,
        }
    }
}

impl Simulation {
    pub(super) fn arrive(&mut self, gateway: usize) {
        if self.now > self.scenario.duration {
            return;
        }
        let next = self.now
            + self
                .random
                .exponential(1000.0 / self.scenario.requests_per_second);
        self.schedule(next, SimEvent::Arrive(gateway));
        let id = self.requests.len();
        self.issue_request(gateway, id % 64);
    }

    pub(super) fn schedule_next_request(&mut self, customer: usize) {
        let Some(clients) = &self.clients else { return };
        let next = clients.next_request(customer, self.now, &mut self.random);
        self.schedule(
            next.at,
            SimEvent::CustomerRequest(customer, next.is_request),
        );
    }

    pub(super) fn send_customer_request(&mut self, customer: usize, asks: bool) {
        if self.now > self.scenario.duration {
            return;
        }
        self.schedule_next_request(customer);
        let now = self.now;
        let Some(clients) = self.clients.as_mut().filter(|_| asks) else {
            return;
        };
        let gateway = clients.choose_gateway(customer, now, &mut self.random);
        let id = self.issue_request(gateway, customer);
        let worth = self.worth(id);
        if let Some(clients) = &mut self.clients {
            clients.record_offered(customer, now, worth);
            clients.account.attempts += 1;
        }
    }

    /// A client comes again, with a new id and what is left of its time.
    pub(super) fn retry(&mut self, before: u32) {
        let asked = &self.requests[before as usize];
        let (customer, class, first, tries) = (
            asked.customer,
            asked.class,
            asked.first_arrived_at,
            asked.attempt_number + 1,
        );
        let (work, deadline, now) = (asked.work, asked.deadline, self.now);
        let Some(clients) = self.clients.as_mut().filter(|_| now < deadline) else {
            return;
        };
        let gateway = clients.choose_gateway(customer, now, &mut self.random);
        clients.account.attempts += 1;
        self.enter(ClientRequest {
            first_arrived_at: first,
            attempt_number: tries,
            ..ClientRequest::new(gateway, customer, class, now, deadline, work)
        });
    }

    /// A try is on its way to its gateway, and its client waits until the deadline.
    fn enter(&mut self, asked: ClientRequest) -> u32 {
        let (id, deadline) = (self.requests.len() as u32, asked.deadline);
        self.requests.push(asked);
        self.schedule(self.now, SimEvent::RequestReceived(id));
        self.schedule(deadline, SimEvent::Deadline(id));
        id
    }

    pub(super) fn worth(&self, request: u32) -> f64 {
        self.scenario.classes[self.requests[request as usize].class]
            .class
            .priority_weight
    }

    /// Rejects an attempt; its client may retry.
    pub(super) fn reject(&mut self, request: u32, retry_after: Option<Millis>, reason: String) {
        let rejected = &self.requests[request as usize];
        let is_first_answer = !rejected.answered;
        let customer = rejected.customer;
        let attempt_number = rejected.attempt_number;
        self.finish(request, End::Rejected);
        let now = self.now;
        let Some(clients) = self.clients.as_mut().filter(|_| is_first_answer) else {
            return;
        };
        clients.record_rejected(customer, now, reason);
        let retries = clients.retry_behavior();
        if attempt_number < retries.max_retries {
            let backoff = retries.mean_wait * f64::from(1 << attempt_number);
            let wait = retry_after.unwrap_or(backoff) * (0.75 + 0.5 * self.random.uniform());
            self.schedule(now + wait.max(1.0), SimEvent::Retry(request));
        }
    }

    /// A request of a customer comes to a gateway.
    fn issue_request(&mut self, gateway: usize, customer: usize) -> u32 {
        let mut luck = self.random.uniform()
            * self
                .scenario
                .classes
                .iter()
                .map(|class| class.share)
                .sum::<f64>();
        let mut class = 0;
        while class + 1 < self.scenario.classes.len() && luck >= self.scenario.classes[class].share
        {
            luck -= self.scenario.classes[class].share;
            class += 1;
        }
        let spec = &self.scenario.classes[class];
        let (mean, cv) = (spec.mean_work, spec.coefficient_of_variation);
        let patience = self.scenario.min_deadline_fraction
            + (1.0 - self.scenario.min_deadline_fraction) * self.random.uniform();
        let deadline = self.now + spec.class.deadline * patience;
        let work = self.random.lognormal(mean, cv);
        self.statistics.requests += 1;
        let worth = self.scenario.classes[class].class.priority_weight;
        self.statistics.requested_worth += worth;
        self.current_second().requested += worth;
        self.enter(ClientRequest::new(
            gateway, customer, class, self.now, deadline, work,
        ))
    }

    /// A gateway has a request: at once, or when it stands still no longer.
    pub(super) fn receive_request(&mut self, id: u32) {
        let asked = &self.requests[id as usize];
        let (gateway, waited) = (asked.gateway, self.now - asked.arrived_at);
        let granted = if self.scenario.charges_stalls {
            asked.deadline
        } else {
            asked.deadline + waited
        };
        if asked.answered || granted <= self.now {
            self.finish(id, End::Failed);
            return;
        }
        let whose = self
            .clients
            .as_ref()
            .map(|clients| &clients.customers[asked.customer]);
        let request = Request {
            id: RequestId(id),
            customer: CustomerId(asked.customer as u64),
            plan: PlanId(whose.map_or(0, |customer| customer.plan)),
            class: ClassId(asked.class),
            units: 1.0,
            deadline: granted,
            gateway_count: whose.map_or(1.0, |customer| customer.gateways.len() as f64),
            is_retry: false,
            queued_for: if self.scenario.charges_stalls {
                waited
            } else {
                0.0
            },
        };
        self.notify_gateway(gateway, Event::RequestArrived(request));
    }

    /// The one final answer: served, refused or failed.
    pub(super) fn finish(&mut self, request: u32, end: End) {
        let asked = &mut self.requests[request as usize];
        if std::mem::replace(&mut asked.answered, true) {
            return;
        }
        let class = &self.scenario.classes[asked.class].class;
        let took = self.now - asked.arrived_at;
        self.statistics.ends[end as usize] += 1;
        let late =
            took >= class.latency_objective || took > 0.5 * (asked.deadline - asked.arrived_at);
        if end != End::Served && late {
            self.statistics.late_failures += 1;
        }
        let (customer, inside, in_time) = (
            asked.customer,
            asked.within_quota,
            self.now - asked.first_arrived_at <= class.latency_objective,
        );
        let worth = class.priority_weight;
        if let Some(clients) = self
            .clients
            .as_mut()
            .filter(|_| end == End::Served && in_time)
        {
            clients.record_served(customer, worth, inside);
        }
        let asked = &mut self.requests[request as usize];
        if end == End::Served && took <= class.latency_objective {
            let (worth, came) = (class.priority_weight, (asked.arrived_at / 1000.0) as usize);
            asked.served_in_time = true;
            self.statistics.served_worth += worth;
            self.statistics.worth_by_second[came].served += worth;
        }
    }
}
