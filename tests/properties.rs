//! Random legal sequences of events: the invariants that a gateway can hold alone hold in all of them.

mod common;
use cometspool::*;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;

/// A request as its driver sees it.
struct OpenRequest {
    class: usize,
    deadline: f64,
    in_flight: Option<OpenAttempt>,
    attempts_sent: u32,
    sent_at: f64,
    /// The first attempt that may have executed.
    executed: Option<Execution>,
    answered: bool,
}

/// An attempt in flight.
struct OpenAttempt {
    index: u32,
    backend: BackendId,
}

/// When an attempt that may have executed was sent, and to which zone.
#[derive(Clone, Copy)]
struct Execution {
    sent_at: Millis,
    zone: u32,
}

/// A driver that carries out the actions of a gateway and checks each against the invariants.
struct CheckingDriver {
    gateway: GatewayFixture,
    zones: BTreeMap<BackendId, u32>,
    is_draining: BTreeMap<BackendId, bool>,
    open: BTreeMap<u32, OpenRequest>,
    timers: Vec<(f64, TimerId)>,
}

impl CheckingDriver {
    fn handle(&mut self, now: f64, event: Event) {
        self.gateway.handle(now, event);
        for action in std::mem::take(&mut self.gateway.actions) {
            match action {
                Action::Send {
                    request, backend, ..
                } => self.check_send(now, request.0, backend),
                Action::Reject { request, .. } => self.check_answer(now, request.0, true),
                Action::Fail(request) => self.check_answer(now, request.0, false),
                Action::SetTimer { at, timer } => self.timers.push((at, timer)),
                _ => {}
            }
        }
    }

    /// Takes the earliest timer that is due.
    fn next_timer(&mut self, now: Millis) -> Option<(f64, TimerId)> {
        let due = (0..self.timers.len()).filter(|i| self.timers[*i].0 <= now);
        let first = due.min_by(|a, b| self.timers[*a].0.total_cmp(&self.timers[*b].0))?;
        Some(self.timers.remove(first))
    }

    fn check_send(&mut self, now: f64, id: u32, backend: BackendId) {
        let zone = self.zones[&backend];
        assert!(
            !self.is_draining[&backend],
            "sent to a backend that is draining"
        );
        let open = self.open.get_mut(&id).expect("a known request");
        assert!(
            !open.answered && open.in_flight.is_none(),
            "sent after its final answer, or twice at a time"
        );
        assert!(open.attempts_sent < 4, "more attempts than permitted");
        if let Some(executed) = open.executed {
            assert_ne!(
                open.class, 2,
                "a non-idempotent request that may have executed is sent again"
            );
            let within = now - executed.sent_at < 2000.0 && zone == executed.zone;
            assert!(
                open.class == 0 || within,
                "a request with a key is sent outside its scope or retention"
            );
        }
        open.in_flight = Some(OpenAttempt {
            index: open.attempts_sent,
            backend,
        });
        open.attempts_sent += 1;
        open.sent_at = now;
    }

    fn check_answer(&mut self, now: f64, id: u32, is_rejected: bool) {
        let open = self.open.get_mut(&id).expect("a known request");
        assert!(!open.answered, "two final answers");
        assert!(now <= open.deadline, "an answer after the deadline");
        let may_have_executed = open.executed.is_some() || open.in_flight.is_some();
        assert!(
            !is_rejected || open.class == 0 || !may_have_executed,
            "rejected though it may have executed"
        );
        open.answered = true;
    }
}

/// Plays one random sequence.
fn run(seed: u64, backends: u32, rate: f64, max_concurrency: u32) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut pick = move |n: u32| rng.next_u32() % n;
    let plan = Plan {
        rate,
        burst: 2.0 * rate,
        max_concurrency,
        ..Plan::default()
    };
    let list: Vec<_> = (0..backends).map(|id| ready(id, id % 2)).collect();
    let zones = list.iter().map(|b| (b.id, b.zone.0)).collect();
    let is_draining = list.iter().map(|b| (b.id, false)).collect();
    let gateway = GatewayFixture::new(settings(plan, 3), list);
    let mut driver = CheckingDriver {
        gateway,
        zones,
        is_draining,
        open: BTreeMap::new(),
        timers: Vec::new(),
    };
    let outcomes = [
        Outcome::Ok,
        Outcome::Ok,
        Outcome::Error,
        Outcome::Rejected,
        Outcome::Timeout,
        Outcome::ConnectFailed,
        Outcome::Reset,
    ];
    let mut now = 1.0;
    for id in 0..1500u32 {
        now += f64::from(pick(40));
        // One timer may set the next, which may be due as well: each fires before anything later happens.
        while let Some((at, timer)) = driver.next_timer(now) {
            driver.handle(at, Event::TimerFired(timer));
        }
        match pick(10) {
            0..=4 => {
                let class = pick(3) as usize;
                let deadline = now + 20.0 + f64::from(pick(3000));
                let customer = CustomerId(u64::from(pick(4)));
                let open = OpenRequest {
                    class,
                    deadline,
                    in_flight: None,
                    attempts_sent: 0,
                    sent_at: 0.0,
                    executed: None,
                    answered: false,
                };
                driver.open.insert(id, open);
                let incoming = Request {
                    customer,
                    deadline,
                    gateway_count: 2.0,
                    ..request(id, class, now)
                };
                driver.handle(now, Event::RequestArrived(incoming));
            }
            5..=8 => {
                let waiting: Vec<u32> = driver
                    .open
                    .iter()
                    .filter(|(_, o)| o.in_flight.is_some())
                    .map(|(id, _)| *id)
                    .collect();
                if waiting.is_empty() {
                    continue;
                }
                let id = waiting[pick(waiting.len() as u32) as usize];
                let outcome = outcomes[pick(7) as usize];
                let open = driver.open.get_mut(&id).expect("a known request");
                let attempt = open.in_flight.take().expect("an attempt in flight");
                let never_executed = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed);
                if !never_executed {
                    open.executed = open.executed.or(Some(Execution {
                        sent_at: open.sent_at,
                        zone: driver.zones[&attempt.backend],
                    }));
                }
                let closed = open.answered || outcome == Outcome::Ok;
                open.answered = closed;
                let elapsed = now - open.sent_at;
                let end = AttemptCompleted {
                    elapsed,
                    request_closed: closed,
                    ..completed(id, attempt.index, attempt.backend, outcome)
                };
                driver.handle(now, Event::AttemptCompleted(end));
            }
            _ => {
                let id = pick(backends);
                let drains = pick(2) == 0;
                let availability = if drains {
                    Availability::Draining
                } else {
                    Availability::Ready
                };
                driver.is_draining.insert(BackendId(id), drains);
                let entry = BackendEntry {
                    availability,
                    ..ready(id, id % 2)
                };
                driver.handle(now, Event::EndpointsChanged(ListKind::Changes, vec![entry]));
            }
        }
    }
    while !driver.timers.is_empty() {
        for (at, timer) in std::mem::take(&mut driver.timers) {
            driver.handle(at.max(now), Event::TimerFired(timer));
        }
    }
    let unanswered = driver
        .open
        .values()
        .filter(|o| !o.answered && o.deadline > now)
        .count();
    assert_eq!(unanswered, 0, "requests without a final answer");
}

proptest! {
    #![proptest_config(Config {
        cases: 48,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn invariants_hold_for_any_legal_event_sequence(
        seed in any::<u64>(),
        backends in 1u32..8,
        rate in 1.0f64..200.0,
        max_concurrency in 0u32..6,
    ) {
        run(seed, backends, rate, max_concurrency);
    }
}
