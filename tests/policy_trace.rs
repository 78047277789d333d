//! The policy's actions for a recorded run: seeded events under every switch of the settings, held by a digest.
//!
//! The digest covers each action's meaning, not its name, so that it stays the same while types are renamed. Times
//! are rounded to a microsecond: the last bits of transcendental functions differ between C libraries.

use cometspool::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// The digest of all runs, as the policy stood before its types were renamed.
const EXPECTED_DIGEST: u64 = 3003417303617186830;
/// The number of events handled in all runs.
const EXPECTED_EVENTS: u64 = 121255;

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
                limit,
                begin_before,
                delivery,
            } => {
                self.number(1);
                self.number(request.0.into());
                self.number(backend.0.into());
                self.optional_time(*limit);
                self.optional_time(*begin_before);
                self.number(match delivery {
                    DeliveryMode::Normal => 0,
                    DeliveryMode::Cautious => 1,
                    DeliveryMode::Once => 2,
                });
            }
            Action::Refuse {
                request,
                retry_after,
                why,
            } => {
                self.number(2);
                self.number(request.0.into());
                self.optional_time(*retry_after);
                self.number(reason(*why));
            }
            Action::Fail(request) => {
                self.number(3);
                self.number(request.0.into());
            }
            Action::CallOff { request, attempt } => {
                self.number(4);
                self.number(request.0.into());
                self.number((*attempt).into());
            }
            Action::SetAlarm { at, alarm } => {
                self.number(5);
                self.time(*at);
                self.number(alarm.0);
            }
            Action::Probe(backend) => {
                self.number(6);
                self.number(backend.0.into());
            }
            Action::CloseIdle(backend) => {
                self.number(7);
                self.number(backend.0.into());
            }
            Action::Warm { backend, within } => {
                self.number(8);
                self.number(backend.0.into());
                self.time(*within);
            }
            Action::Subscribe => self.number(9),
            Action::FetchList => self.number(10),
            // The text is for people; that there is one counts.
            Action::Log(_) => self.number(11),
        }
    }
}

fn reason(why: Why) -> u64 {
    match why {
        Why::Unknown => 0,
        Why::Stopping => 1,
        Why::Box => 2,
        Why::Chance => 3,
        Why::Slice => 4,
        Why::OpenCap => 5,
        Why::Ceiling => 6,
        Why::Room => 7,
        Why::Failed => 8,
    }
}

/// A draw from nought to one.
fn draw(rng: &mut Pcg32) -> f64 {
    f64::from(rng.next_u32()) / f64::from(u32::MAX)
}

/// Settings that turn each switch by a bit of `run`.
fn settings(run: u32) -> Settings {
    let on = |bit: u32| run >> bit & 1 == 1;
    let class = |effect: Effect, aim: f64, late_worth: f64| Class {
        aim,
        deadline: 3.0 * aim,
        late_worth,
        effect,
        ..Class::default()
    };
    let groups = [Group::All, Group::Zone, Group::Cell];
    let group = groups[run as usize % groups.len()];
    let ceiling = Ceiling {
        rate: 40.0,
        burst: 30.0,
        slack: 5.0,
    };
    Settings {
        gateways: [1, 3, 40, 300][run as usize / 2 % 4],
        me: run % 3,
        tick: 1.0,
        classes: vec![
            class(Effect::Safe, 400.0, 0.3),
            class(
                Effect::Keyed {
                    group,
                    memory: 900.0,
                },
                500.0,
                0.0,
            ),
            class(Effect::Unsafe, 600.0, 0.5),
        ],
        plans: vec![
            Plan {
                rate: 14.0,
                burst: 14.0,
                max_open: 12,
                over_cost: 0.6,
                ..Plan::default()
            },
            Plan {
                rate: 60.0,
                burst: 20.0,
                over_worth: 0.2,
                over_cost: 1.0,
                ceiling: Some(ceiling),
                ..Plan::default()
            },
            Plan {
                max_open: 5,
                ..Plan::default()
            },
        ],
        max_units: 4.0,
        meter_period: if on(2) { 1000.0 } else { 0.0 },
        discovery: if on(3) {
            Discovery::OnRequest
        } else {
            Discovery::Pushed
        },
        reports: if on(1) { Reports::Inline } else { Reports::Off },
        max_attempts: 1 + run % 4,
        second_copies: on(0),
        cancel: on(1),
        probes: on(4),
        retry_after: on(2) || on(4),
        max_retry_after: 2000.0,
        cross_zone_price: if on(3) { 0.1 } else { 0.0 },
        answer_slack: 10.0,
        drain_grace: 50.0,
        warm_up: 4000.0,
        ..Settings::default()
    }
}

/// What comes due in a run.
#[derive(Clone, Copy, Debug)]
enum Pending {
    Arrival(u32),
    Alarm(AlarmId),
    AttemptEnds { request: u32, attempt: u32 },
    ListChanges(u32),
    ClientLeaves(u32),
    Stops,
}

/// An attempt that has not ended.
#[derive(Clone, Copy)]
struct Out {
    backend: u32,
    sent: Millis,
    outcome: Outcome,
}

/// One gateway with its scripted clients and backends.
struct Run {
    rng: Pcg32,
    gateway: Gateway,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    pending: Vec<Pending>,
    attempts: BTreeMap<u32, u32>,
    out: BTreeMap<(u32, u32), Out>,
    digest: Digest,
    events: u64,
}

impl Run {
    fn new(run: u32) -> Run {
        Run {
            rng: Pcg32::seed_from_u64(u64::from(run) + 1000),
            gateway: Gateway::new(settings(run), u64::from(run)),
            queue: BinaryHeap::new(),
            pending: Vec::new(),
            attempts: BTreeMap::new(),
            out: BTreeMap::new(),
            digest: Digest(0xcbf2_9ce4_8422_2325),
            events: 0,
        }
    }

    /// Schedules something; times are kept as whole microseconds so that the order is exact.
    fn schedule(&mut self, at: Millis, pending: Pending) {
        let number = self.pending.len() as u64;
        self.pending.push(pending);
        self.queue
            .push(Reverse(((at.max(0.0) * 1000.0).round() as u64, number)));
    }

    fn handle(&mut self, now: Millis, event: Event) {
        let mut actions = Vec::new();
        self.events += 1;
        self.gateway.handle(now, event, &mut actions);
        for action in actions {
            self.digest.action(&action);
            self.carry_out(now, action);
        }
    }

    fn carry_out(&mut self, now: Millis, action: Action) {
        match action {
            Action::Send {
                request,
                backend,
                limit,
                ..
            } => self.send(now, request.0, backend.0, limit),
            Action::SetAlarm { at, alarm } => self.schedule(at.max(now), Pending::Alarm(alarm)),
            Action::CallOff { request, attempt } => {
                self.end_attempt(now, request.0, attempt, Some(Outcome::Cancelled));
            }
            Action::Subscribe => {
                let kind = if draw(&mut self.rng) < 0.3 {
                    ListKind::Failed
                } else {
                    ListKind::Changes
                };
                self.handle(now, Event::Backends(kind, Vec::new()));
            }
            _ => {}
        }
    }

    fn send(&mut self, now: Millis, request: u32, backend: u32, limit: Option<Millis>) {
        let count = self.attempts.entry(request).or_default();
        let attempt = *count;
        *count += 1;
        let luck = draw(&mut self.rng);
        let service = 20.0 + 150.0 * draw(&mut self.rng).powi(3);
        // Two backends are bad: one answers with errors, one hangs half of the time.
        let (mut outcome, mut service) = match (backend, luck) {
            (1, luck) if luck < 0.7 => (Outcome::Error, 3.0),
            (2, luck) if luck < 0.5 => (Outcome::Timeout, 5000.0),
            (_, luck) if luck < 0.01 => (Outcome::Reset, service / 2.0),
            (_, luck) if luck < 0.02 => (Outcome::ConnectFailed, 1.0),
            (_, luck) if luck < 0.04 => (Outcome::Full, 2.0),
            (_, luck) if luck < 0.045 => (Outcome::NotSent, 0.0),
            _ => (Outcome::Ok, service),
        };
        if let Some(limit) = limit.filter(|limit| service > *limit) {
            outcome = Outcome::Timeout;
            service = limit;
        }
        self.out.insert(
            (request, attempt),
            Out {
                backend,
                sent: now,
                outcome,
            },
        );
        self.schedule(now + service, Pending::AttemptEnds { request, attempt });
    }

    fn end_attempt(&mut self, now: Millis, request: u32, attempt: u32, instead: Option<Outcome>) {
        let Some(out) = self.out.remove(&(request, attempt)) else {
            return;
        };
        let outcome = instead.unwrap_or(out.outcome);
        let answered = matches!(outcome, Outcome::Ok | Outcome::Error);
        let metered = answered && draw(&mut self.rng) < 0.5;
        let true_units = answered && draw(&mut self.rng) < 0.3;
        let settled = Settled {
            request: RequestId(request),
            attempt,
            backend: BackendId(out.backend),
            outcome,
            elapsed: now - out.sent,
            closed: draw(&mut self.rng) < 0.01,
            use_of_quota: metered.then(|| 2.0 * draw(&mut self.rng)),
            true_units: true_units.then(|| 3.0 * draw(&mut self.rng)),
            report: Report::default(),
            broken: u32::from(outcome == Outcome::Reset),
        };
        self.handle(now, Event::Settled(settled));
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
            spread: [1.0, 2.0, 30.0][(customer % 3) as usize],
            again: draw(&mut self.rng) < 0.1,
            waited: if draw(&mut self.rng) < 0.05 {
                40.0
            } else {
                0.0
            },
        };
        if draw(&mut self.rng) < 0.03 {
            let leaves = now + 200.0 * draw(&mut self.rng);
            self.schedule(leaves, Pending::ClientLeaves(number));
        }
        self.handle(now, Event::Arrival(request));
    }

    fn entry(&mut self, number: u32, now: Millis) -> BackendEntry {
        let luck = draw(&mut self.rng);
        BackendEntry {
            id: BackendId(number),
            zone: ZoneId(number % 3),
            cell: CellId(number % 5),
            availability: match luck {
                luck if luck < 0.1 => Availability::Draining,
                luck if luck < 0.15 => Availability::Gone,
                _ => Availability::Ready,
            },
            started: (draw(&mut self.rng) < 0.3).then(|| now - 4000.0 * draw(&mut self.rng)),
            size: if number.is_multiple_of(4) { 2.0 } else { 1.0 },
        }
    }

    fn change_list(&mut self, now: Millis, step: u32) {
        let (kind, least) = match step % 3 {
            0 => (ListKind::Full, 1),
            1 => (ListKind::Changes, BACKENDS - 4),
            _ => (ListKind::Changes, BACKENDS / 2),
        };
        let entries = (least..=BACKENDS)
            .map(|number| self.entry(number, now))
            .collect();
        self.handle(now, Event::Backends(kind, entries));
        if step.is_multiple_of(2) {
            self.handle(now, Event::Present(2 + step * 5));
        }
    }

    fn play(mut self) -> (u64, u64) {
        let first = (1..=BACKENDS)
            .map(|number| self.entry(number, 0.0))
            .collect();
        self.handle(0.0, Event::Backends(ListKind::Cached, first));
        let mut at = 10.0;
        for number in 1..=ARRIVALS_PER_RUN {
            // Calm at first, then a burst, then calm again.
            let pause = if number % 500 > 300 { 2.0 } else { 9.0 };
            at += pause * 2.0 * draw(&mut self.rng);
            self.schedule(at, Pending::Arrival(number));
        }
        for step in 1..=8 {
            self.schedule(at * f64::from(step) / 9.0, Pending::ListChanges(step));
        }
        self.schedule(at - 200.0, Pending::Stops);
        while let Some(Reverse((micros, number))) = self.queue.pop() {
            let now = micros as f64 / 1000.0;
            match self.pending[number as usize] {
                Pending::Arrival(number) => self.arrive(now, number),
                Pending::Alarm(_) if now > at + 20_000.0 => {}
                Pending::Alarm(alarm) => self.handle(now, Event::Alarm(alarm)),
                Pending::AttemptEnds { request, attempt } => {
                    self.end_attempt(now, request, attempt, None);
                }
                Pending::ListChanges(step) => self.change_list(now, step),
                Pending::ClientLeaves(number) => {
                    self.handle(now, Event::ClientGone(RequestId(number)));
                }
                Pending::Stops => self.handle(now, Event::Stopping(at + 100.0)),
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
        let (part, handled) = Run::new(run).play();
        digest.number(part);
        events += handled;
    }
    assert_eq!((digest.0, events), (EXPECTED_DIGEST, EXPECTED_EVENTS));
}
