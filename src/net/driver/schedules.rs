//! The driver under random schedules of delays, failures, leaving clients and stops, on a clock that stands still while
//! anything can run. Attempts are carried by a stand-in for sockets; all else is the driver and the module as they serve.

use super::attempts::AttemptFuture;
use super::endpoints::hash_name;
use super::requests::FINAL_WRITE_MARGIN;
use super::*;
use crate::net::control::config::Limits;
use crate::net::control::endpoint_list::{Endpoint, Health};
use crate::net::downstream::connections::RequestHandler;
use crate::net::messages::{ClientConnection, IncomingRequest};
use crate::net::runtime::budget::Budget;
use cometspool::settings::Names;
use cometspool::settings::{ConnectionSettings, ParsedSettings};
use cometspool::*;
use hyper::header::HeaderValue;
use hyper::{Method, Uri};
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngSeed};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::HashSet;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The grain of the runtime's timers.
const GRAIN: Millis = 1.0;
const LONGEST: Millis = 3000.0;

/// What becomes of an attempt: after how long, whether it is written whole before, and how it ends.
#[derive(Clone, Copy, Debug)]
struct Fate {
    after: Millis,
    whole: bool,
    outcome: Outcome,
}

/// A client that is there until it leaves.
#[derive(Debug, Default)]
struct Patron(Cell<bool>);

impl ClientConnection for Patron {
    fn is_disconnected(&self) -> bool {
        self.0.get()
    }
}

/// One attempt as the stand-in saw it.
#[derive(Clone, Debug)]
struct Seen {
    id: Rc<str>,
    backend: BackendId,
    part: AttemptDeadline,
    begun: Millis,
    ended: Option<Millis>,
    /// Whether its end proves that it did not run.
    never_ran: bool,
}

/// The stand-in's record, and what it is to do.
#[derive(Default)]
struct World {
    seen: Vec<Seen>,
    fates: VecDeque<Fate>,
    rng: Option<Pcg32>,
}

impl World {
    fn fate(&mut self) -> Fate {
        if let Some(fate) = self.fates.pop_front() {
            return fate;
        }
        let Some(rng) = &mut self.rng else {
            return Fate {
                after: 10.0,
                whole: true,
                outcome: Outcome::Ok,
            };
        };
        let mut pick = |n: u32| rng.next_u32() % n;
        let outcome = match pick(10) {
            0 => Outcome::Error,
            1 => Outcome::Rejected,
            2 => Outcome::ConnectFailed,
            3 => Outcome::Reset,
            _ => Outcome::Ok,
        };
        // One in five hangs for longer than any request has.
        let after = if pick(5) == 0 {
            1e5
        } else {
            f64::from(1 + pick(900))
        };
        Fate {
            after,
            whole: outcome != Outcome::ConnectFailed && pick(8) > 0,
            outcome,
        }
    }
}

/// Notes when an attempt's task is over, however it ends.
struct Noted {
    world: Rc<RefCell<World>>,
    clock: Clock,
    place: usize,
    line: AttemptHandle,
}

impl Drop for Noted {
    fn drop(&mut self) {
        let seen = &mut self.world.borrow_mut().seen[self.place];
        seen.ended = Some(self.clock.now());
        seen.never_ran |= !self.line.is_fully_written();
    }
}

fn settings(copies: bool) -> Settings {
    let class = |effect| Class {
        latency_objective: 1200.0,
        deadline: LONGEST,
        idempotency: effect,
        ..Class::default()
    };
    let keyed = Idempotency::WithKey {
        scope: DeduplicationScope::All,
        retention: 5000.0,
    };
    Settings {
        gateways: 2,
        tick: 4.0,
        classes: vec![
            class(Idempotency::Idempotent),
            class(keyed),
            class(Idempotency::NonIdempotent),
        ],
        plans: vec![Plan {
            rate: 1000.0,
            burst: 4000.0,
            ..Plan::default()
        }],
        max_attempts: 4,
        hedging: copies,
        cancellation: true,
        retry_after: true,
        max_retry_after: 2000.0,
        ..Settings::default()
    }
}

/// A driver over the stand-in, with a list of backends.
fn door(settings: Settings, seed: u64, backends: u32, world: &Rc<RefCell<World>>) -> Rc<Driver> {
    let links = ConnectionSettings::default();
    let told = ParsedSettings {
        settings,
        report_metrics: Vec::new(),
        names: Names::default(),
        connections: links,
    };
    let address = "127.0.0.1:1".parse().expect("an address");
    let limits = Limits {
        sockets: 64,
        memory_mb: 32,
    };
    let config = Config {
        name: "a".into(),
        listen: address,
        discovery: address,
        seed,
        limits,
        cached_endpoints: None,
        handover: None,
        fleet: None,
        clock: crate::net::runtime::clock::Skew::default(),
        parsed: told,
    };
    let (clock, seen) = (Clock::new(), world.clone());
    let carrier = move |backend,
                        order: Rc<UpstreamRequest>,
                        part: AttemptDeadline,
                        _,
                        line: AttemptHandle| {
        let (fate, begun) = (seen.borrow_mut().fate(), clock.now());
        let place = seen.borrow().seen.len();
        let id = order.id.clone();
        seen.borrow_mut().seen.push(Seen {
            id,
            backend,
            part,
            begun,
            ended: None,
            never_ran: false,
        });
        let noted = Noted {
            world: seen.clone(),
            clock,
            place,
            line,
        };
        Box::pin(async move {
            if fate.whole {
                noted.line.pretend_fully_written();
            }
            tokio::time::sleep(Duration::from_secs_f64(fate.after / 1000.0)).await;
            let proven = matches!(fate.outcome, Outcome::Rejected | Outcome::ConnectFailed);
            noted.world.borrow_mut().seen[noted.place].never_ran |= proven;
            AttemptResult::without_response(fate.outcome)
        }) as AttemptFuture
    };
    let pools = Rc::new(UpstreamConnections::new(links, 8, 1, seed, clock));
    let door = Driver::with_executor(
        &config,
        WakeRecorder::new(),
        clock,
        pools,
        Box::new(carrier),
    )
    .expect("a front door");
    let host = |i: u32| Endpoint {
        name: format!("s-{i}"),
        address: SocketAddr::from(([127, 0, 0, 1], 1 + i as u16)),
        zone: String::new(),
        cell: 0,
        health: Health::Up,
        weight: 1.0,
        started_at_ms: 0.0,
    };
    door.endpoints_updated(
        &EndpointList {
            version: 1,
            is_full: true,
            endpoints: (0..backends).map(host).collect(),
        },
        EndpointUpdate::Current,
    );
    tokio::task::spawn_local(door.clone().run_timers());
    door
}

fn incoming(door: &Driver, name: &str, class: usize, seconds: f64) -> IncomingRequest {
    let (now, value) = (door.context.clock.now(), HeaderValue::from_static("x"));
    IncomingRequest {
        received_at: now,
        budget: Budget::from_header(&seconds.to_string(), now, LONGEST).expect("a time"),
        customer: CustomerId(1),
        plan: PlanId(0),
        class: ClassId(class),
        units: 1.0,
        gateway_count: 1.0,
        is_retry: false,
        upstream_request: UpstreamRequest {
            client: Rc::new(Patron::default()),
            id: name.into(),
            id_value: value.clone(),
            host: value,
            method: Method::GET,
            uri: Uri::from_static("/a"),
            key: None,
            content_type: None,
            body: Default::default(),
        },
    }
}

/// What the front door still holds: requests, timers that would do something, links, and its own clones in tasks.
fn held(door: &Rc<Driver>) -> (usize, usize, usize) {
    let requests = door.requests.borrow();
    let mut timers = door.timers.borrow_mut();
    timers.remove_stale_timers(&requests);
    let live = timers.request_timer_count();
    (requests.len(), live, Rc::strong_count(door))
}

fn play<T>(scene: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, scene)
}

async fn pass(ms: Millis) {
    tokio::time::sleep(Duration::from_secs_f64(ms / 1000.0)).await;
}

/// What one client got, and when.
struct Client {
    end: Millis,
    answered: Option<(Millis, bool)>,
}

async fn schedule(seed: u64, copies: bool, backends: u32, stop: Option<u32>) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let world = Rc::new(RefCell::new(World {
        rng: Some(Pcg32::seed_from_u64(!seed)),
        ..World::default()
    }));
    let door = door(settings(copies), seed, backends, &world);
    let before = Rc::strong_count(&door);
    let told: Rc<RefCell<Vec<Client>>> = Rc::default();
    let mut stopped = None;
    for i in 0..120u32 {
        pass(f64::from(rng.next_u32() % 60)).await;
        if stop == Some(i) {
            let end = door.context.clock.now() + LONGEST + 550.0;
            door.begin_shutdown(end);
            stopped = Some(end);
        }
        if stop.is_some_and(|stop| i == stop + 20) {
            door.reject_new_requests();
        }
        let seconds = f64::from(1 + rng.next_u32() % 3500) / 1000.0;
        let leaves = (rng.next_u32() % 6 == 0).then(|| f64::from(rng.next_u32() % 1500));
        let incoming = incoming(&door, &format!("{}-{i}", i % 3), (i % 3) as usize, seconds);
        // What comes after the stop's own end is turned away on the spot.
        let end = stopped.map_or(incoming.budget.end(), |stop| {
            incoming.budget.end().min(stop)
        });
        let end = end.max(incoming.received_at);
        let (id, answer) = door.submit(incoming).expect("an id of its own");
        told.borrow_mut().push(Client {
            end,
            answered: None,
        });
        let (place, told, door) = (i as usize, told.clone(), door.clone());
        tokio::task::spawn_local(async move {
            let answer = match leaves {
                Some(after) => {
                    tokio::time::timeout(Duration::from_secs_f64(after / 1000.0), answer)
                        .await
                        .ok()
                }
                None => Some(answer.await),
            };
            match answer {
                // The sender is kept until it is used: nothing else ends the wait.
                Some(answer) => {
                    let served = matches!(answer.expect("an answer"), Answer::Served(_));
                    told.borrow_mut()[place].answered = Some((door.context.clock.now(), served));
                }
                None => {
                    told.borrow_mut()[place].answered = Some((f64::NEG_INFINITY, false));
                    door.client_disconnected(id);
                }
            }
        });
    }
    pass(2.0 * LONGEST).await;
    for told in told.borrow().iter() {
        let (at, _) = told.answered.expect("an answer to each");
        assert!(
            at <= told.end + GRAIN,
            "answered {:.3} ms after its time",
            at - told.end
        );
    }
    let world = world.borrow();
    for seen in &world.seen {
        let ended = seen.ended.expect("an end of each attempt");
        assert!(
            ended <= seen.part.end() + GRAIN,
            "{:.3} ms beyond its part",
            ended - seen.part.end()
        );
        // Whatever else is out of this request at the time: another backend, and only where a copy is permitted.
        let beside = world
            .seen
            .iter()
            .filter(|other| other.id == seen.id && other.begun <= seen.begun);
        let beside: Vec<_> = beside
            .filter(|other| other.ended.is_some_and(|end| end > seen.begun))
            .collect();
        assert!(
            beside.len() <= if copies { 2 } else { 1 },
            "{} copies at once",
            beside.len()
        );
        assert!(
            beside.len() < 2 || beside[0].backend != beside[1].backend,
            "two copies at one backend"
        );
    }
    for name in (0..120).filter(|i| i % 3 == 2).map(|i| format!("2-{i}")) {
        let ran = world
            .seen
            .iter()
            .filter(|seen| *seen.id == *name && !seen.never_ran)
            .count();
        assert!(ran <= 1, "{name} may have run {ran} times");
    }
    // One backend alone that hangs is soon left alone.
    assert!(
        world.seen.len() > if backends > 1 { 10 } else { 0 },
        "only {} sent",
        world.seen.len()
    );
    assert_eq!(
        held(&door),
        (0, 0, before),
        "requests, timers or tasks stayed behind"
    );
}

proptest! {
    #![proptest_config(Cases {
        cases: 96,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Cases::default()
    })]

    /// Guards every request's time: no final answer after it, no attempt beyond its part of it, never two at one backend
    /// or an unsafe one twice, and nothing left behind, whatever fails, leaves or stops.
    #[test]
    fn no_schedule_outlives_a_budget(
        seed in any::<u64>(), copies in any::<bool>(), backends in 1u32..6,
        stop in proptest::option::of(0u32..110),
    ) {
        play(schedule(seed, copies, backends, stop));
    }
}

/// A scene with scripted fates for the attempts, in order.
fn scripted(fates: &[Fate]) -> Rc<RefCell<World>> {
    Rc::new(RefCell::new(World {
        fates: fates.iter().copied().collect(),
        ..World::default()
    }))
}

const HANGS: Fate = Fate {
    after: 1e5,
    whole: true,
    outcome: Outcome::Ok,
};

/// Guards second copies: the copy has the end of the first and no time of its own; when the copy fails the first is whole
/// and its answer is served, and when the copy is served the first is called off at once.
#[test]
fn a_second_copy_shares_the_budget_and_its_end_leaves_the_first_whole() {
    // Twenty good answers teach the module what is usual; then the first copy hangs.
    let usual = [Fate {
        after: 10.0,
        whole: true,
        outcome: Outcome::Ok,
    }; 20];
    for (outcome, first_after, served_at) in
        [(Outcome::Error, 900.0, 900.0), (Outcome::Ok, 1e5, 530.0)]
    {
        let first = Fate {
            after: first_after,
            ..HANGS
        };
        let copy = Fate {
            after: 50.0,
            whole: true,
            outcome,
        };
        let world = scripted(&[&usual[..], &[first, copy]].concat());
        play(async {
            let door = door(settings(true), 1, 2, &world);
            for i in 0..20 {
                let (_, answer) = door
                    .submit(incoming(&door, &format!("u-{i}"), 0, 3.0))
                    .expect("taken");
                assert!(matches!(answer.await, Ok(Answer::Served(_))));
                pass(100.0).await;
            }
            let begun = door.context.clock.now();
            let (_, answer) = door.submit(incoming(&door, "it", 0, 3.0)).expect("taken");
            assert!(matches!(answer.await, Ok(Answer::Served(_))), "{outcome:?}");
            let took = door.context.clock.now() - begun;
            assert!(
                (took - served_at).abs() < 40.0,
                "{outcome:?}: served after {took}"
            );
            pass(10.0).await;
            let world = world.borrow();
            let [first, copy] = &world.seen[20..] else {
                panic!("{:?}", &world.seen[20..])
            };
            assert_ne!(first.backend, copy.backend);
            assert_eq!(
                copy.part.end(),
                first.part.end(),
                "the copy has a time of its own"
            );
            // The one that was not served ended with the answer, not with the time.
            assert!([first, copy]
                .iter()
                .all(|seen| seen.ended.is_some_and(|end| end <= begun + took + GRAIN)));
            assert_eq!(held(&door).0, 0);
        });
    }
}

/// Guards unsafe requests against a second copy, and any where the settings permit none: what hangs has all the time.
#[test]
fn what_must_not_run_twice_gets_no_second_copy() {
    for (class, copies) in [(2, true), (0, false)] {
        let world = scripted(&[HANGS]);
        play(async {
            let door = door(settings(copies), 1, 2, &world);
            let (_, answer) = door
                .submit(incoming(&door, "it", class, 3.0))
                .expect("taken");
            let answer = answer.await.expect("an answer");
            assert!(!matches!(answer, Answer::Rejected(_)) || class == 0);
            let world = world.borrow();
            let longest = world
                .seen
                .iter()
                .filter(|seen| seen.begun < seen.part.end())
                .count();
            assert!(world.seen.len() == 1 || class == 0, "sent {longest} times");
            let together = world
                .seen
                .windows(2)
                .any(|two| two[0].ended.is_none_or(|end| end > two[1].begun));
            assert!(!together, "two copies at once");
        });
    }
}

/// Guards a client whose bytes waited while the process was held up: what it waited is gone from its time, and what
/// waited until nobody waited for it is answered at once, and sent nowhere.
#[test]
fn what_waited_unread_has_that_much_less_time() {
    let world = scripted(&[HANGS, HANGS]);
    play(async {
        let door = door(settings(false), 1, 2, &world);
        let mut late = incoming(&door, "late", 2, 3.0);
        late.budget = Budget::from_header("1", late.received_at - 500.0, LONGEST).expect("a time");
        late.received_at -= 500.0;
        let end = late.budget.end();
        let (_, answer) = door.submit(late).expect("taken");
        assert!(matches!(answer.await, Ok(Answer::Failed)));
        assert!(door.context.clock.now() <= end + GRAIN);
        assert!(world
            .borrow()
            .seen
            .iter()
            .all(|seen| seen.part.end() <= end));
        let sent = world.borrow().seen.len();
        let mut dead = incoming(&door, "dead", 2, 3.0);
        dead.budget = Budget::from_header("1", dead.received_at - 1500.0, LONGEST).expect("a time");
        let begun = door.context.clock.now();
        let (_, answer) = door.submit(dead).expect("taken");
        assert!(matches!(answer.await, Ok(Answer::Failed)));
        assert_eq!(
            (
                door.context.clock.now(),
                world.borrow().seen.len(),
                held(&door).0
            ),
            (begun, sent, 0)
        );
    });
}

/// Guards a planned stop: what is out is answered inside the stop's time as well as its own, what comes early has the
/// stop's end for its own, and what comes late is told when to come back.
#[test]
fn a_stop_cuts_budgets_and_then_turns_away() {
    let world = scripted(&[HANGS, HANGS]);
    play(async {
        let door = door(settings(false), 1, 3, &world);
        let (_, taken) = door
            .submit(incoming(&door, "taken", 2, 3.0))
            .expect("taken");
        let end = door.context.clock.now() + 700.0;
        door.begin_shutdown(end);
        let (_, early) = door
            .submit(incoming(&door, "early", 2, 3.0))
            .expect("taken");
        pass(100.0).await;
        door.reject_new_requests();
        let (_, late) = door.submit(incoming(&door, "late", 0, 3.0)).expect("taken");
        match late.await {
            Ok(Answer::Rejected(Some(wait))) => assert!(wait > 0.0 && wait <= 600.0, "{wait}"),
            other => panic!("{other:?}"),
        }
        assert_eq!(world.borrow().seen.len(), 2, "what came late was sent on");
        for answer in [taken, early] {
            assert!(matches!(answer.await, Ok(Answer::Failed)));
            assert!(door.context.clock.now() <= end - FINAL_WRITE_MARGIN + GRAIN);
        }
        pass(10.0).await;
        assert!(world.borrow().seen.iter().all(|seen| seen.ended.is_some()));
        assert_eq!(held(&door).0, 0);
    });
}

/// Guards deadlines against the wall clock: it is read once, so a step of it later is not seen; a backend that says it
/// was born later than now is as cold as any that has just begun, and stays so only while it warms.
#[test]
fn the_clock_follows_no_step_and_nobody_is_born_later_than_now() {
    play(async {
        let clock = Clock::new();
        let (before, begun) = (clock.now(), Instant::now());
        pass(1000.0).await;
        assert!((clock.now() - before - begun.elapsed().as_secs_f64() * 1000.0).abs() < 1e-3);
        let world = scripted(&[]);
        let door = door(settings(false), 1, 1, &world);
        let ahead = door.context.clock.now() + 3_600_000.0;
        let member = |born_ms| Endpoint {
            name: "s-9".into(),
            address: "127.0.0.1:1".parse().expect("an address"),
            zone: String::new(),
            cell: 0,
            health: Health::Up,
            weight: 1.0,
            started_at_ms: born_ms,
        };
        let first = door
            .endpoints
            .borrow_mut()
            .apply_endpoint(&member(ahead))
            .started_at
            .expect("a start");
        assert!(first <= door.context.clock.now());
        pass(5000.0).await;
        let again = door
            .endpoints
            .borrow_mut()
            .apply_endpoint(&member(ahead))
            .started_at;
        assert_eq!(again, Some(first), "told again, it is no other start");
        let later = door
            .endpoints
            .borrow_mut()
            .apply_endpoint(&member(ahead + 1.0))
            .started_at
            .expect("a start");
        assert!(
            later > first && later <= door.context.clock.now(),
            "a new start is a new one"
        );
    });
}

fn up(host: &str, port: u16, born_ms: Millis) -> Endpoint {
    Endpoint {
        name: host.into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: String::new(),
        cell: 0,
        health: Health::Up,
        weight: 1.0,
        started_at_ms: born_ms,
    }
}

/// Guards requests against the wrong backend: where two are listed at one address, the one born later is there, whichever
/// is told first, in one list or in two; the other gets nothing, though the list goes on calling it up.
#[test]
fn an_address_belongs_to_the_backend_that_was_born_last() {
    let (old, new) = (up("s-old", 9, 1000.0), up("s-new", 9, 2000.0));
    for order in [[&old, &new], [&new, &old]] {
        for at_once in [true, false] {
            let world = scripted(&[]);
            play(async {
                let door = door(settings(false), 1, 0, &world);
                let hosts: Vec<Endpoint> = order.into_iter().cloned().collect();
                let lists = if at_once {
                    vec![hosts]
                } else {
                    hosts.into_iter().map(|host| vec![host]).collect()
                };
                for (hosts, seq) in lists.into_iter().zip(2..) {
                    door.endpoints_updated(
                        &EndpointList {
                            version: seq,
                            is_full: false,
                            endpoints: hosts,
                        },
                        EndpointUpdate::Current,
                    );
                }
                for i in 0..6 {
                    let (_, answer) = door
                        .submit(incoming(&door, &format!("r-{i}"), 0, 3.0))
                        .expect("taken");
                    assert!(matches!(answer.await, Ok(Answer::Served(_))));
                }
                let to: HashSet<_> = world
                    .borrow()
                    .seen
                    .iter()
                    .map(|seen| seen.backend.0)
                    .collect();
                assert_eq!(to, HashSet::from([hash_name("s-new")]));
                // One that has moved away leaves the address to whoever comes.
                door.endpoints_updated(
                    &EndpointList {
                        version: 9,
                        is_full: false,
                        endpoints: vec![up("s-new", 10, 3000.0)],
                    },
                    EndpointUpdate::Current,
                );
                door.endpoints_updated(
                    &EndpointList {
                        version: 10,
                        is_full: false,
                        endpoints: vec![up("s-late", 9, 2500.0)],
                    },
                    EndpointUpdate::Current,
                );
                assert!(door.connections.takes_new(BackendId(hash_name("s-new"))));
                assert!(door.connections.takes_new(BackendId(hash_name("s-late"))));
            });
        }
    }
}
