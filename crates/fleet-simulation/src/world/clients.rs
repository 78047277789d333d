//! The clients: their requests and further tries, and the one final answer of each.

use super::schedule::SimEvent;
use super::World;
use cometspool::{ClassId, CustomerId, Event, Millis, PlanId, Request, RequestId};

/// How a request ends, in the order of [`Tally::ends`](crate::Tally::ends).
#[derive(Clone, Copy, PartialEq)]
pub(super) enum End {
    Served,
    Refused,
    Failed,
}

/// A try of a client's request at one front door.
pub(super) struct ClientRequest {
    pub(super) door: usize,
    /// Whose it is; which try of its client; when the first came; whether it was sent on within the quota.
    pub(super) customer: usize,
    pub(super) tries: u32,
    pub(super) first: Millis,
    pub(super) inside: bool,
    pub(super) class: usize,
    pub(super) came: Millis,
    pub(super) deadline: Millis,
    pub(super) out: Vec<usize>,
    pub(super) sends: u32,
    pub(super) answered: bool,
    /// Work of an attempt of it, at each backend it meets.
    pub(super) work: f64,
    pub(super) calls: Vec<usize>,
    pub(super) served_in_time: bool,
    pub(super) first_ok: Option<bool>,
}

impl ClientRequest {
    fn new(
        door: usize,
        customer: usize,
        class: usize,
        came: Millis,
        deadline: Millis,
        work: f64,
    ) -> ClientRequest {
        ClientRequest {
            door,
            customer,
            tries: 0,
            first: came,
            inside: true,
            class,
            came,
            deadline,
            out: Vec::new(),
            sends: 0,
            answered: false,
            work,
            calls: Vec::new(),
            served_in_time: false,
            first_ok: None,
        }
    }
}

impl World {
    pub(super) fn arrive(&mut self, door: usize) {
        if self.now > self.spec.length {
            return;
        }
        let next = self.now + self.chance.exponential(1000.0 / self.spec.rate);
        self.schedule(next, SimEvent::Arrive(door));
        let id = self.requests.len();
        self.issue_request(door, id % 64);
    }

    pub(super) fn ask_next(&mut self, customer: usize) {
        let Some(crowd) = &self.crowd else { return };
        let (at, asks) = crowd.next(customer, self.now, &mut self.chance);
        self.schedule(at, SimEvent::Ask(customer, asks));
    }

    pub(super) fn ask(&mut self, customer: usize, asks: bool) {
        if self.now > self.spec.length {
            return;
        }
        self.ask_next(customer);
        let now = self.now;
        let Some(crowd) = self.crowd.as_mut().filter(|_| asks) else {
            return;
        };
        let door = crowd.door(customer, now, &mut self.chance);
        let id = self.issue_request(door, customer);
        let worth = self.worth(id);
        if let Some(crowd) = &mut self.crowd {
            crowd.asked(customer, now, worth);
            crowd.ledger.tries += 1;
        }
    }

    /// A client comes again, with a new id and what is left of its time.
    pub(super) fn again(&mut self, before: u32) {
        let asked = &self.requests[before as usize];
        let (customer, class, first, tries) =
            (asked.customer, asked.class, asked.first, asked.tries + 1);
        let (work, deadline, now) = (asked.work, asked.deadline, self.now);
        let Some(crowd) = self.crowd.as_mut().filter(|_| now < deadline) else {
            return;
        };
        let door = crowd.door(customer, now, &mut self.chance);
        crowd.ledger.tries += 1;
        self.enter(ClientRequest {
            first,
            tries,
            ..ClientRequest::new(door, customer, class, now, deadline, work)
        });
    }

    /// A try is on its way to its front door, and its client waits until the deadline.
    fn enter(&mut self, asked: ClientRequest) -> u32 {
        let (id, deadline) = (self.requests.len() as u32, asked.deadline);
        self.requests.push(asked);
        self.schedule(self.now, SimEvent::Read(id));
        self.schedule(deadline, SimEvent::Deadline(id));
        id
    }

    pub(super) fn worth(&self, request: u32) -> f64 {
        self.spec.classes[self.requests[request as usize].class]
            .class
            .priority_weight
    }

    /// A try is refused: its client may come again.
    pub(super) fn refused(&mut self, request: u32, told: Option<Millis>, why: String) {
        let asked = &self.requests[request as usize];
        let (fresh, customer, tries) = (!asked.answered, asked.customer, asked.tries);
        self.finish(request, End::Refused);
        let now = self.now;
        let Some(crowd) = self.crowd.as_mut().filter(|_| fresh) else {
            return;
        };
        crowd.refused(customer, now, why);
        let (most, wait) = crowd.again();
        if tries < most {
            let wait =
                told.unwrap_or(wait * f64::from(1 << tries)) * (0.75 + 0.5 * self.chance.even());
            self.schedule(now + wait.max(1.0), SimEvent::Again(request));
        }
    }

    /// A request of a customer comes to a door.
    fn issue_request(&mut self, door: usize, customer: usize) -> u32 {
        let mut luck = self.chance.even()
            * self
                .spec
                .classes
                .iter()
                .map(|class| class.share)
                .sum::<f64>();
        let mut class = 0;
        while class + 1 < self.spec.classes.len() && luck >= self.spec.classes[class].share {
            luck -= self.spec.classes[class].share;
            class += 1;
        }
        let spec = &self.spec.classes[class];
        let (mean, cv) = (spec.work, spec.cv);
        let patience = self.spec.patience + (1.0 - self.spec.patience) * self.chance.even();
        let deadline = self.now + spec.class.deadline * patience;
        let work = self.chance.lognormal(mean, cv);
        self.tally.asked += 1;
        let worth = self.spec.classes[class].class.priority_weight;
        self.tally.worth += worth;
        self.current_second().0 += worth;
        self.enter(ClientRequest::new(
            door, customer, class, self.now, deadline, work,
        ))
    }

    /// A front door has a request: at once, or when it stands still no longer.
    pub(super) fn read(&mut self, id: u32) {
        let asked = &self.requests[id as usize];
        let (door, waited) = (asked.door, self.now - asked.came);
        let granted = if self.spec.charges_lag {
            asked.deadline
        } else {
            asked.deadline + waited
        };
        if asked.answered || granted <= self.now {
            self.finish(id, End::Failed);
            return;
        }
        let whose = self.crowd.as_ref().map(|crowd| &crowd.all[asked.customer]);
        let request = Request {
            id: RequestId(id),
            customer: CustomerId(asked.customer as u64),
            plan: PlanId(whose.map_or(0, |customer| customer.plan)),
            class: ClassId(asked.class),
            units: 1.0,
            deadline: granted,
            gateway_count: whose.map_or(1.0, |customer| customer.doors.len() as f64),
            is_retry: false,
            queued_for: if self.spec.charges_lag { waited } else { 0.0 },
        };
        self.notify_door(door, Event::RequestArrived(request));
    }

    /// The one final answer: served, refused or failed.
    pub(super) fn finish(&mut self, request: u32, end: End) {
        let asked = &mut self.requests[request as usize];
        if std::mem::replace(&mut asked.answered, true) {
            return;
        }
        let class = &self.spec.classes[asked.class].class;
        let took = self.now - asked.came;
        self.tally.ends[end as usize] += 1;
        let late = took >= class.latency_objective || took > 0.5 * (asked.deadline - asked.came);
        if end != End::Served && late {
            self.tally.late_failures += 1;
        }
        let (customer, inside, in_time) = (
            asked.customer,
            asked.inside,
            self.now - asked.first <= class.latency_objective,
        );
        let worth = class.priority_weight;
        if let Some(crowd) = self
            .crowd
            .as_mut()
            .filter(|_| end == End::Served && in_time)
        {
            crowd.served(customer, worth, inside);
        }
        let asked = &mut self.requests[request as usize];
        if end == End::Served && took <= class.latency_objective {
            let (worth, came) = (class.priority_weight, (asked.came / 1000.0) as usize);
            asked.served_in_time = true;
            self.tally.served += worth;
            self.tally.by_second[came].1 += worth;
        }
    }
}
