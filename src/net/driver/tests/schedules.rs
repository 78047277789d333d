//! Property tests: the driver under random schedules of delays, failures, client disconnects and shutdowns. The
//! invariants are in [`checks`].

mod checks;

use super::fixture::{
    advance, incoming, retained, run, settings, start_driver, Retained, MAX_DEADLINE,
};
use super::scripted_backends::ScriptedBackends;
use crate::net::downstream::connections::RequestHandler;
use crate::net::driver::Driver;
use crate::net::messages::Answer;
use checks::{check_answers, check_attempt, check_non_idempotent_requests};
use cometspool::{Millis, RequestId};
use proptest::prelude::{any, proptest};
use proptest::test_runner::{Config as ProptestConfig, RngSeed};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Requests in a schedule; the classes are assigned to them in rotation.
const REQUESTS: usize = 120;
/// Classes in the settings.
const CLASSES: usize = 3;

/// One request of a schedule.
struct ScheduledRequest {
    /// The time between the arrival of the previous request and of this one, in milliseconds.
    pause: Millis,
    /// The timeout that the client states in the request, in seconds.
    seconds: f64,
    /// How long after sending the request the client disconnects, in milliseconds; `None` if it stays connected.
    disconnects_after: Option<Millis>,
}

/// The outcome of a request for its client.
struct ClientRecord {
    /// The latest time at which the answer may arrive, on the gateway's clock.
    deadline: Millis,
    /// How the wait of the client ended; `None` while it waits.
    end: Option<ClientEnd>,
}

/// How a client's wait ended.
enum ClientEnd {
    /// The answer arrived at this time, on the gateway's clock.
    Answered(Millis),
    /// The client disconnected before an answer arrived.
    Disconnected,
}

/// The records of all clients in the order of the schedule, shared with the clients' tasks.
type ClientRecords = Rc<RefCell<Vec<ClientRecord>>>;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards the time budget of requests under failures, disconnects and shutdowns: no final answer comes after the
    /// request's deadline, and no attempt outlasts its own. A request never has two attempts at one backend at once, a
    /// non-idempotent request never runs twice, and no request, timer or task is left behind.
    #[test]
    fn no_schedule_exceeds_a_request_budget(
        seed in any::<u64>(), hedging in any::<bool>(), endpoints in 1u32..6,
        shutdown_at in proptest::option::of(0u32..110),
    ) {
        run(run_schedule(seed, hedging, endpoints, shutdown_at));
    }
}

/// Runs the schedule of `seed` and checks the invariants. If `shutdown_at` is given, a graceful shutdown begins just
/// before the request with that index.
async fn run_schedule(seed: u64, hedging: bool, endpoints: u32, shutdown_at: Option<u32>) {
    let schedule = generate(seed);
    let backends = ScriptedBackends::random(!seed);
    let driver = start_driver(settings(hedging), seed, endpoints, &backends);
    let references = Rc::strong_count(&driver);
    let shutdown_at = shutdown_at.map(|request| request as usize);
    let clients = run_clients(&driver, &schedule, shutdown_at).await;
    advance(2.0 * MAX_DEADLINE).await;

    check_answers(&clients.borrow());
    let attempts = &backends.borrow().attempts;
    for attempt in attempts {
        check_attempt(attempt, attempts, hedging);
    }
    check_non_idempotent_requests(attempts);
    // A single backend may hang early and then gets no further attempts.
    let expected = if endpoints > 1 { 10 } else { 0 };
    assert!(
        attempts.len() > expected,
        "only {} attempts were made",
        attempts.len()
    );
    let nothing = Retained {
        requests: 0,
        timers: 0,
        references,
    };
    assert_eq!(
        retained(&driver),
        nothing,
        "the driver retains requests, timers or tasks"
    );
}

/// Draws a random schedule from `seed`.
fn generate(seed: u64) -> Vec<ScheduledRequest> {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut schedule = Vec::new();
    for _ in 0..REQUESTS {
        let pause = f64::from(rng.next_u32() % 60);
        let seconds = f64::from(1 + rng.next_u32() % 3500) / 1000.0;
        let disconnects = rng.next_u32() % 6 == 0;
        let disconnects_after = disconnects.then(|| f64::from(rng.next_u32() % 1500));
        schedule.push(ScheduledRequest {
            pause,
            seconds,
            disconnects_after,
        });
    }
    schedule
}

/// The wire id of the request with this index in a schedule.
fn wire_id(index: usize) -> String {
    format!("{}-{index}", index % CLASSES)
}

/// Sends the requests of a schedule, each from a separate client.
async fn run_clients(
    driver: &Rc<Driver>,
    schedule: &[ScheduledRequest],
    shutdown_at: Option<usize>,
) -> ClientRecords {
    let clients = ClientRecords::default();
    let mut shutdown_end = f64::INFINITY;
    for (index, request) in schedule.iter().enumerate() {
        advance(request.pause).await;
        if shutdown_at == Some(index) {
            shutdown_end = driver.context.clock.now() + MAX_DEADLINE + 550.0;
            driver.begin_shutdown(shutdown_end);
        }
        if shutdown_at.is_some_and(|first| index == first + 20) {
            driver.reject_new_requests();
        }
        let class = index % CLASSES;
        let incoming = incoming(driver, &wire_id(index), class, request.seconds);
        // A request that arrives after the end of the shutdown is rejected immediately.
        let deadline = incoming.budget.end().min(shutdown_end);
        clients.borrow_mut().push(ClientRecord {
            deadline: deadline.max(incoming.received_at),
            end: None,
        });
        let (id, answer) = driver.submit(incoming).expect("a unique wire id");
        let client = run_client(driver.clone(), id, answer, request.disconnects_after);
        let clients = clients.clone();
        tokio::task::spawn_local(async move {
            let end = client.await;
            clients.borrow_mut()[index].end = Some(end);
        });
    }
    clients
}

/// Waits for the answer to a request, or disconnects after `disconnects_after` milliseconds.
async fn run_client(
    driver: Rc<Driver>,
    id: RequestId,
    answer: oneshot::Receiver<Answer>,
    disconnects_after: Option<Millis>,
) -> ClientEnd {
    let answer = match disconnects_after {
        Some(ms) => {
            let limit = Duration::from_secs_f64(ms / 1000.0);
            tokio::time::timeout(limit, answer).await.ok()
        }
        None => Some(answer.await),
    };
    match answer {
        Some(answer) => {
            // An error would mean that the driver dropped the sender without sending an answer.
            answer.expect("an answer");
            ClientEnd::Answered(driver.context.clock.now())
        }
        None => {
            driver.client_disconnected(id);
            ClientEnd::Disconnected
        }
    }
}
