//! Guards against unintended changes of the policy's decisions: compares a digest of its actions in seeded runs, in
//! which each switch of the settings is on and off, with the expected one.
//!
//! The digest covers the meaning of each action and not its name, so that it stays the same when types are renamed.
//! Times are rounded to a microsecond, since the last bits of transcendental functions differ between C libraries.

use cometspool::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Digest of the actions of all runs.
const EXPECTED_DIGEST: u64 = 13899509846289052719;
/// Number of events that the policy handles in all runs.
const EXPECTED_EVENTS: u64 = 121209;

const RUNS: u32 = 32;
const ARRIVALS_PER_RUN: u32 = 1500;
const BACKENDS: u32 = 20;
const CUSTOMERS: u64 = 12;

/// A 64-bit FNV-1a hash.
struct Digest(u64);

impl Digest {
    fn number(&mut self, value: u64) {
        for byte in value.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    fn time(&mut self, value: Millis) {
        self.number((value * 1000.0).round() as i64 as u64);
    }

    fn optional_time(&mut self, value: Option<Millis>) {
        self.number(u64::from(value.is_some()));
        self.time(value.unwrap_or_default());
    }

    fn action(&mut self, action: &Action) {
        match action {
            Action::Send {
                request,
                backend,
                timeout,
                begin_before,
                delivery,
            } => {
                self.number(1);
                self.number(request.0.into());
                self.number(backend.0.into());
                self.optional_time(*timeout);
                self.optional_time(*begin_before);
                self.number(match delivery {
                    DeliveryMode::Normal => 0,
                    DeliveryMode::Cautious => 1,
                    DeliveryMode::Once => 2,
                });
            }
            Action::Reject {
                request,
                retry_after,
                reason,
            } => {
                self.number(2);
                self.number(request.0.into());
                self.optional_time(*retry_after);
                self.number(reason_number(*reason));
            }
            Action::Fail(request) => {
                self.number(3);
                self.number(request.0.into());
            }
            Action::CancelAttempt { request, attempt } => {
                self.number(4);
                self.number(request.0.into());
                self.number((*attempt).into());
            }
            Action::SetTimer { at, timer } => {
                self.number(5);
                self.time(*at);
                self.number(timer.0);
            }
            Action::CheckHealth(backend) => {
                self.number(6);
                self.number(backend.0.into());
            }
            Action::CloseIdleConnections(backend) => {
                self.number(7);
                self.number(backend.0.into());
            }
            Action::Preconnect { backend, within } => {
                self.number(8);
                self.number(backend.0.into());
                self.time(*within);
            }
            Action::Subscribe => self.number(9),
            Action::FetchList => self.number(10),
            // The text is for the operators and may be reworded. Only its presence counts.
            Action::Log(_) => self.number(11),
        }
    }
}

fn reason_number(reason: RejectReason) -> u64 {
    match reason {
        RejectReason::UnknownPlanOrClass => 0,
        RejectReason::ShuttingDown => 1,
        RejectReason::PenaltyBox => 2,
        RejectReason::LoadShedding => 3,
        RejectReason::TokenBucket => 4,
        RejectReason::ConcurrencyLimit => 5,
        RejectReason::Ceiling => 6,
        RejectReason::NoCapacity => 7,
        RejectReason::AttemptsFailed => 8,
    }
}

/// Draws a random number from 0 to 1, both included.
fn draw(rng: &mut Pcg32) -> f64 {
    f64::from(rng.next_u32()) / f64::from(u32::MAX)
}

/// The settings of a run. Each switch is set by a bit of `run`.
fn settings(run: u32) -> Settings {
    let is_on = |bit: u32| run >> bit & 1 == 1;
    let class =
        |idempotency: Idempotency, latency_objective: Millis, late_priority_weight: f64| Class {
            latency_objective,
            deadline: 3.0 * latency_objective,
            late_priority_weight,
            idempotency,
            ..Class::default()
        };
    let scopes = [
        DeduplicationScope::All,
        DeduplicationScope::Zone,
        DeduplicationScope::Cell,
    ];
    let scope = scopes[run as usize % scopes.len()];
    let ceiling = Ceiling {
        rate: 40.0,
        burst: 30.0,
        slack: 5.0,
    };
    Settings {
        gateways: [1, 3, 40, 300][run as usize / 2 % 4],
        gateway_index: run % 3,
        tick: 1.0,
        classes: vec![
            class(Idempotency::Idempotent, 400.0, 0.3),
            class(
                Idempotency::WithKey {
                    scope,
                    retention: 900.0,
                },
                500.0,
                0.0,
            ),
            class(Idempotency::NonIdempotent, 600.0, 0.5),
        ],
        plans: vec![
            Plan {
                rate: 14.0,
                burst: 14.0,
                max_concurrency: 12,
                over_quota_cost: 0.6,
                ..Plan::default()
            },
            Plan {
                rate: 60.0,
                burst: 20.0,
                over_quota_weight: 0.2,
                over_quota_cost: 1.0,
                ceiling: Some(ceiling),
                ..Plan::default()
            },
            Plan {
                max_concurrency: 5,
                ..Plan::default()
            },
        ],
        max_units: 4.0,
        meter_period: if is_on(2) { 1000.0 } else { 0.0 },
        discovery: if is_on(3) {
            DiscoveryMode::OnRequest
        } else {
            DiscoveryMode::Pushed
        },
        load_reports: if is_on(1) {
            LoadReportMode::Inline
        } else {
            LoadReportMode::Off
        },
        max_attempts: 1 + run % 4,
        hedging: is_on(0),
        cancellation: is_on(1),
        health_checks: is_on(4),
        retry_after: is_on(2) || is_on(4),
        max_retry_after: 2000.0,
        cross_zone_cost: if is_on(3) { 0.1 } else { 0.0 },
        answer_slack: 10.0,
        drain_grace: 50.0,
        warm_up: 4000.0,
        ..Settings::default()
    }
}

/// Something that happens at a scheduled time of a run.
#[derive(Clone, Copy, Debug)]
enum Scheduled {
    Arrival(u32),
    Timer(TimerId),
    AttemptEnds { request: u32, attempt: u32 },
    ListChanges(u32),
    ClientDisconnects(u32),
    ShutdownStarts,
}

/// An attempt in flight.
#[derive(Clone, Copy)]
struct InFlightAttempt {
    backend: u32,
    sent_at: Millis,
    outcome: Outcome,
}

/// One run: a gateway with simulated clients and backends.
struct Simulation {
    rng: Pcg32,
    engine: PolicyEngine,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    scheduled: Vec<Scheduled>,
    attempts: BTreeMap<u32, u32>,
    in_flight: BTreeMap<(u32, u32), InFlightAttempt>,
    digest: Digest,
    events: u64,
}

impl Simulation {
    fn new(run: u32) -> Simulation {
        Simulation {
            rng: Pcg32::seed_from_u64(u64::from(run) + 1000),
            engine: PolicyEngine::new(settings(run), u64::from(run)),
            queue: BinaryHeap::new(),
            scheduled: Vec::new(),
            attempts: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            digest: Digest(0xcbf2_9ce4_8422_2325),
            events: 0,
        }
    }

    /// Schedules an event. Times are stored as whole microseconds, so that the order of events is exact.
    fn schedule(&mut self, at: Millis, event: Scheduled) {
        let number = self.scheduled.len() as u64;
        self.scheduled.push(event);
        self.queue
            .push(Reverse(((at.max(0.0) * 1000.0).round() as u64, number)));
    }

    fn handle(&mut self, now: Millis, event: Event) {
        let mut actions = Vec::new();
        self.events += 1;
        self.engine.handle(now, event, &mut actions);
        for action in actions {
            self.digest.action(&action);
            self.execute_action(now, action);
        }
    }

    fn execute_action(&mut self, now: Millis, action: Action) {
        match action {
            Action::Send {
                request,
                backend,
                timeout,
                ..
            } => self.send(now, request.0, backend.0, timeout),
            Action::SetTimer { at, timer } => self.schedule(at.max(now), Scheduled::Timer(timer)),
            Action::CancelAttempt { request, attempt } => {
                self.end_attempt(now, request.0, attempt, Some(Outcome::Cancelled));
            }
            Action::Subscribe => {
                let kind = if draw(&mut self.rng) < 0.3 {
                    ListKind::Failed
                } else {
                    ListKind::Changes
                };
                self.handle(now, Event::EndpointsChanged(kind, Vec::new()));
            }
            _ => {}
        }
    }

    fn send(&mut self, now: Millis, request: u32, backend: u32, timeout: Option<Millis>) {
        let count = self.attempts.entry(request).or_default();
        let attempt = *count;
        *count += 1;
        let random_draw = draw(&mut self.rng);
        let service = 20.0 + 150.0 * draw(&mut self.rng).powi(3);
        // Two backends are faulty: most responses of backend 1 are errors, and backend 2 hangs half of the time.
        let (mut outcome, mut service) = match (backend, random_draw) {
            (1, random_draw) if random_draw < 0.7 => (Outcome::Error, 3.0),
            (2, random_draw) if random_draw < 0.5 => (Outcome::Timeout, 5000.0),
            (_, random_draw) if random_draw < 0.01 => (Outcome::Reset, service / 2.0),
            (_, random_draw) if random_draw < 0.02 => (Outcome::ConnectFailed, 1.0),
            (_, random_draw) if random_draw < 0.04 => (Outcome::Rejected, 2.0),
            (_, random_draw) if random_draw < 0.045 => (Outcome::NotSent, 0.0),
            _ => (Outcome::Ok, service),
        };
        if let Some(timeout) = timeout.filter(|timeout| service > *timeout) {
            outcome = Outcome::Timeout;
            service = timeout;
        }
        self.in_flight.insert(
            (request, attempt),
            InFlightAttempt {
                backend,
                sent_at: now,
                outcome,
            },
        );
        self.schedule(now + service, Scheduled::AttemptEnds { request, attempt });
    }

    fn end_attempt(&mut self, now: Millis, request: u32, attempt: u32, cancelled: Option<Outcome>) {
        let Some(ended) = self.in_flight.remove(&(request, attempt)) else {
            return;
        };
        let outcome = cancelled.unwrap_or(ended.outcome);
        let is_answered = matches!(outcome, Outcome::Ok | Outcome::Error);
        let is_metered = is_answered && draw(&mut self.rng) < 0.5;
        let reports_units = is_answered && draw(&mut self.rng) < 0.3;
        let completed = AttemptCompleted {
            request: RequestId(request),
            attempt,
            backend: BackendId(ended.backend),
            outcome,
            elapsed: now - ended.sent_at,
            request_closed: draw(&mut self.rng) < 0.01,
            quota_usage: is_metered.then(|| 2.0 * draw(&mut self.rng)),
            actual_units: reports_units.then(|| 3.0 * draw(&mut self.rng)),
            load_report: LoadReport::default(),
            broken_connections: u32::from(outcome == Outcome::Reset),
        };
        self.handle(now, Event::AttemptCompleted(completed));
    }

    fn arrive(&mut self, now: Millis, number: u32) {
        let customer = (CUSTOMERS as f64 * draw(&mut self.rng).powi(2)) as u64;
        let class = (draw(&mut self.rng) * 3.0) as usize % 3;
        let request = Request {
            id: RequestId(number),
            customer: CustomerId(customer),
            plan: PlanId(customer as usize % 3),
            class: ClassId(if number % 400 == 399 { 7 } else { class }),
            units: 0.3 + 2.0 * draw(&mut self.rng),
            deadline: now + 300.0 + 1500.0 * draw(&mut self.rng),
            gateway_count: [1.0, 2.0, 30.0][(customer % 3) as usize],
            is_retry: draw(&mut self.rng) < 0.1,
            queued_for: if draw(&mut self.rng) < 0.05 {
                40.0
            } else {
                0.0
            },
        };
        if draw(&mut self.rng) < 0.03 {
            let disconnects_at = now + 200.0 * draw(&mut self.rng);
            self.schedule(disconnects_at, Scheduled::ClientDisconnects(number));
        }
        self.handle(now, Event::RequestArrived(request));
    }

    fn random_entry(&mut self, number: u32, now: Millis) -> BackendEntry {
        let random_draw = draw(&mut self.rng);
        BackendEntry {
            id: BackendId(number),
            zone: ZoneId(number % 3),
            cell: CellId(number % 5),
            availability: match random_draw {
                random_draw if random_draw < 0.1 => Availability::Draining,
                random_draw if random_draw < 0.15 => Availability::Removed,
                _ => Availability::Ready,
            },
            started_at: (draw(&mut self.rng) < 0.3).then(|| now - 4000.0 * draw(&mut self.rng)),
            weight: if number.is_multiple_of(4) { 2.0 } else { 1.0 },
        }
    }

    fn change_list(&mut self, now: Millis, step: u32) {
        let (kind, first_listed) = match step % 3 {
            0 => (ListKind::Full, 1),
            1 => (ListKind::Changes, BACKENDS - 4),
            _ => (ListKind::Changes, BACKENDS / 2),
        };
        let entries = (first_listed..=BACKENDS)
            .map(|number| self.random_entry(number, now))
            .collect();
        self.handle(now, Event::EndpointsChanged(kind, entries));
        if step.is_multiple_of(2) {
            self.handle(now, Event::FleetSizeChanged(2 + step * 5));
        }
    }

    /// Plays the run. Returns the digest of its actions and its number of events.
    fn play(mut self) -> (u64, u64) {
        let first_list = (1..=BACKENDS)
            .map(|number| self.random_entry(number, 0.0))
            .collect();
        self.handle(0.0, Event::EndpointsChanged(ListKind::Cached, first_list));
        let mut at = 10.0;
        for number in 1..=ARRIVALS_PER_RUN {
            // Of each 500 requests, 300 arrive at a low rate and then 200 in a burst.
            let interval = if number % 500 > 300 { 2.0 } else { 9.0 };
            at += interval * 2.0 * draw(&mut self.rng);
            self.schedule(at, Scheduled::Arrival(number));
        }
        for step in 1..=8 {
            self.schedule(at * f64::from(step) / 9.0, Scheduled::ListChanges(step));
        }
        self.schedule(at - 200.0, Scheduled::ShutdownStarts);
        while let Some(Reverse((micros, number))) = self.queue.pop() {
            let now = micros as f64 / 1000.0;
            match self.scheduled[number as usize] {
                Scheduled::Arrival(number) => self.arrive(now, number),
                Scheduled::Timer(_) if now > at + 20_000.0 => {}
                Scheduled::Timer(timer) => self.handle(now, Event::TimerFired(timer)),
                Scheduled::AttemptEnds { request, attempt } => {
                    self.end_attempt(now, request, attempt, None);
                }
                Scheduled::ListChanges(step) => self.change_list(now, step),
                Scheduled::ClientDisconnects(number) => {
                    self.handle(now, Event::ClientDisconnected(RequestId(number)));
                }
                Scheduled::ShutdownStarts => self.handle(now, Event::ShutdownStarted(at + 100.0)),
            }
        }
        (self.digest.0, self.events)
    }
}

#[test]
fn the_policy_takes_the_same_actions_for_the_same_events() {
    let mut digest = Digest(0xcbf2_9ce4_8422_2325);
    let mut events = 0;
    for run in 0..RUNS {
        let (run_digest, run_events) = Simulation::new(run).play();
        digest.number(run_digest);
        events += run_events;
    }
    assert_eq!((digest.0, events), (EXPECTED_DIGEST, EXPECTED_EVENTS));
}
