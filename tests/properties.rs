//! Property tests: random legal event sequences must not violate the invariants that one gateway can keep by itself.

mod common;
use cometspool::*;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;

/// The state of a request, as the driver knows it.
struct RequestState {
    class: usize,
    deadline: f64,
    in_flight: Option<InFlightAttempt>,
    attempts_sent: u32,
    sent_at: f64,
    /// The first attempt that ended and may have executed.
    executed: Option<Execution>,
    answered: bool,
}

/// An attempt in flight.
struct InFlightAttempt {
    index: u32,
    backend: BackendId,
}

/// An attempt that may have executed: the time of its send and the zone of its backend.
#[derive(Clone, Copy)]
struct Execution {
    sent_at: Millis,
    zone: u32,
}

/// A driver that checks each action of the policy against the invariants.
struct CheckingDriver {
    gateway: GatewayFixture,
    zones: BTreeMap<BackendId, u32>,
    draining: BTreeMap<BackendId, bool>,
    requests: BTreeMap<u32, RequestState>,
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

    /// Removes and returns the earliest timer that is due.
    fn next_timer(&mut self, now: Millis) -> Option<(f64, TimerId)> {
        let due = (0..self.timers.len()).filter(|i| self.timers[*i].0 <= now);
        let first = due.min_by(|a, b| self.timers[*a].0.total_cmp(&self.timers[*b].0))?;
        Some(self.timers.remove(first))
    }

    fn check_send(&mut self, now: f64, id: u32, backend: BackendId) {
        let zone = self.zones[&backend];
        assert!(
            !self.draining[&backend],
            "sent to a backend that is draining"
        );
        let state = self.requests.get_mut(&id).expect("a known request");
        assert!(
            !state.answered && state.in_flight.is_none(),
            "sent after its final answer, or with another attempt in flight"
        );
        assert!(state.attempts_sent < 4, "more attempts than permitted");
        if let Some(executed) = state.executed {
            assert_ne!(
                state.class, 2,
                "a non-idempotent request that may have executed is sent again"
            );
            let is_deduplicated = now - executed.sent_at < 2000.0 && zone == executed.zone;
            assert!(
                state.class == 0 || is_deduplicated,
                "a request with a key is sent outside its scope or retention"
            );
        }
        state.in_flight = Some(InFlightAttempt {
            index: state.attempts_sent,
            backend,
        });
        state.attempts_sent += 1;
        state.sent_at = now;
    }

    fn check_answer(&mut self, now: f64, id: u32, is_rejected: bool) {
        let state = self.requests.get_mut(&id).expect("a known request");
        assert!(!state.answered, "two final answers");
        assert!(now <= state.deadline, "a final answer after the deadline");
        let may_have_executed = state.executed.is_some() || state.in_flight.is_some();
        assert!(
            !is_rejected || state.class == 0 || !may_have_executed,
            "rejected though it may have executed"
        );
        state.answered = true;
    }
}

/// Plays one random event sequence to a gateway.
fn run(seed: u64, backends: u32, rate: f64, max_concurrency: u32) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut random_below = move |n: u32| rng.next_u32() % n;
    let plan = Plan {
        rate,
        burst: 2.0 * rate,
        max_concurrency,
        ..Plan::default()
    };
    let list: Vec<_> = (0..backends).map(|id| ready_backend(id, id % 2)).collect();
    let zones = list
        .iter()
        .map(|backend| (backend.id, backend.zone.0))
        .collect();
    let draining = list.iter().map(|backend| (backend.id, false)).collect();
    let gateway = GatewayFixture::new(settings(plan, 3), list);
    let mut driver = CheckingDriver {
        gateway,
        zones,
        draining,
        requests: BTreeMap::new(),
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
        now += f64::from(random_below(40));
        // A timer may set another one that is due as well. All due timers fire before the next event.
        while let Some((at, timer)) = driver.next_timer(now) {
            driver.handle(at, Event::TimerFired(timer));
        }
        match random_below(10) {
            0..=4 => {
                let class = random_below(3) as usize;
                let deadline = now + 20.0 + f64::from(random_below(3000));
                let customer = CustomerId(u64::from(random_below(4)));
                let state = RequestState {
                    class,
                    deadline,
                    in_flight: None,
                    attempts_sent: 0,
                    sent_at: 0.0,
                    executed: None,
                    answered: false,
                };
                driver.requests.insert(id, state);
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
                    .requests
                    .iter()
                    .filter(|(_, state)| state.in_flight.is_some())
                    .map(|(id, _)| *id)
                    .collect();
                if waiting.is_empty() {
                    continue;
                }
                let id = waiting[random_below(waiting.len() as u32) as usize];
                let outcome = outcomes[random_below(7) as usize];
                let state = driver.requests.get_mut(&id).expect("a known request");
                let attempt = state.in_flight.take().expect("an attempt in flight");
                let never_executed = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed);
                if !never_executed {
                    state.executed = state.executed.or(Some(Execution {
                        sent_at: state.sent_at,
                        zone: driver.zones[&attempt.backend],
                    }));
                }
                let closed = state.answered || outcome == Outcome::Ok;
                state.answered = closed;
                let elapsed = now - state.sent_at;
                let completion = AttemptCompleted {
                    elapsed,
                    request_closed: closed,
                    ..completed(id, attempt.index, attempt.backend, outcome)
                };
                driver.handle(now, Event::AttemptCompleted(completion));
            }
            _ => {
                let id = random_below(backends);
                let drains = random_below(2) == 0;
                let availability = if drains {
                    Availability::Draining
                } else {
                    Availability::Ready
                };
                driver.draining.insert(BackendId(id), drains);
                let entry = BackendEntry {
                    availability,
                    ..ready_backend(id, id % 2)
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
        .requests
        .values()
        .filter(|state| !state.answered && state.deadline > now)
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
