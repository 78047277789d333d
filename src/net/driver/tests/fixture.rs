//! A driver over scripted backends, requests for it, and a count of the state that it retains.

use super::scripted_backends::{scripted_executor, ScriptedBackends};
use crate::net::control::config::{Config, Limits};
use crate::net::control::discovery::{EndpointObserver, EndpointUpdate};
use crate::net::control::endpoint_list::{Endpoint, EndpointList, Health};
use crate::net::driver::Driver;
use crate::net::messages::{ClientConnection, IncomingRequest, UpstreamRequest};
use crate::net::runtime::budget::Budget;
use crate::net::runtime::clock::{Clock, Skew};
use crate::net::runtime::memory::MemoryBudget;
use crate::net::runtime::stall::WakeRecorder;
use crate::net::upstream::pool_driver::UpstreamConnections;
use cometspool::settings::{ConnectionSettings, Names, ParsedSettings};
use cometspool::{
    Class, ClassId, CustomerId, DeduplicationScope, Idempotency, Millis, Plan, PlanId, Settings,
};
use hyper::body::Bytes;
use hyper::header::HeaderValue;
use hyper::{Method, Uri};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The granularity of the runtime's timers, in milliseconds.
pub(super) const TIMER_GRANULARITY: Millis = 1.0;
/// The longest deadline that a class permits, in milliseconds.
pub(super) const MAX_DEADLINE: Millis = 3000.0;

/// The index in the settings of the class of idempotent requests.
pub(super) const IDEMPOTENT: usize = 0;
/// The index in the settings of the class of non-idempotent requests.
pub(super) const NON_IDEMPOTENT: usize = 2;

/// A client that is connected until a test sets `is_disconnected`.
#[derive(Debug, Default)]
struct ScriptedClient {
    is_disconnected: Cell<bool>,
}

impl ClientConnection for ScriptedClient {
    fn is_disconnected(&self) -> bool {
        self.is_disconnected.get()
    }
}

/// Settings for two gateways with one class for each kind of idempotency.
pub(super) fn settings(hedging: bool) -> Settings {
    let class = |idempotency| Class {
        latency_objective: 1200.0,
        deadline: MAX_DEADLINE,
        idempotency,
        ..Class::default()
    };
    let with_key = Idempotency::WithKey {
        scope: DeduplicationScope::All,
        retention: 5000.0,
    };
    Settings {
        gateways: 2,
        tick: 4.0,
        classes: vec![
            class(Idempotency::Idempotent),
            class(with_key),
            class(Idempotency::NonIdempotent),
        ],
        plans: vec![Plan {
            rate: 1000.0,
            burst: 4000.0,
            ..Plan::default()
        }],
        max_attempts: 4,
        hedging,
        cancellation: true,
        retry_after: true,
        max_retry_after: 2000.0,
        ..Settings::default()
    }
}

fn config(settings: Settings, seed: u64) -> Config {
    let address = "127.0.0.1:1".parse().expect("an address");
    Config {
        name: "a".into(),
        listen: address,
        discovery: address,
        seed,
        limits: Limits {
            sockets: 64,
            memory_mb: 32,
        },
        cached_endpoints: None,
        handover: None,
        fleet: None,
        clock: Skew::default(),
        parsed: ParsedSettings {
            settings,
            report_metrics: Vec::new(),
            names: Names::default(),
            connections: ConnectionSettings::default(),
        },
    }
}

/// Starts a driver with a list of `endpoints` endpoints, whose attempts go as scripted in `backends`.
pub(super) fn start_driver(
    settings: Settings,
    seed: u64,
    endpoints: u32,
    backends: &Rc<RefCell<ScriptedBackends>>,
) -> Rc<Driver> {
    let config = config(settings, seed);
    let clock = Clock::new();
    let connections = Rc::new(UpstreamConnections::new(
        config.parsed.connections,
        8,
        MemoryBudget::new(0),
        1,
        seed,
        clock,
    ));
    let executor = scripted_executor(backends.clone(), clock);
    let driver = Driver::with_executor(&config, WakeRecorder::new(), clock, connections, executor)
        .expect("a driver");
    let list = EndpointList {
        version: 1,
        is_full: true,
        endpoints: (0..endpoints)
            .map(|i| endpoint(&format!("s-{i}"), 1 + i as u16, 0.0))
            .collect(),
    };
    driver.endpoints_updated(&list, EndpointUpdate::Current);
    tokio::task::spawn_local(driver.clone().run_timers());
    driver
}

/// An endpoint on the loopback interface that is up.
pub(super) fn endpoint(name: &str, port: u16, started_at_ms: Millis) -> Endpoint {
    Endpoint {
        name: name.into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: String::new(),
        cell: 0,
        health: Health::Up,
        weight: 1.0,
        started_at_ms,
    }
}

/// A request of class `class` that arrives now and whose client waits for `seconds`.
pub(super) fn incoming(driver: &Driver, id: &str, class: usize, seconds: f64) -> IncomingRequest {
    let now = driver.context.clock.now();
    let value = HeaderValue::from_static("x");
    IncomingRequest {
        received_at: now,
        budget: Budget::from_header(&seconds.to_string(), now, MAX_DEADLINE).expect("a time"),
        customer: CustomerId(1),
        plan: PlanId(0),
        class: ClassId(class),
        units: 1.0,
        gateway_count: 1.0,
        is_retry: false,
        upstream_request: UpstreamRequest {
            client: Rc::new(ScriptedClient::default()),
            id: id.into(),
            id_value: value.clone(),
            host: value,
            method: Method::GET,
            uri: Uri::from_static("/a"),
            key: None,
            content_type: None,
            body: Bytes::default(),
        },
    }
}

/// The state that a driver retains.
#[derive(Debug, PartialEq)]
pub(super) struct Retained {
    /// Requests in the table.
    pub requests: usize,
    /// Timers of requests and attempts, except stale ones at the head of the queue.
    pub timers: usize,
    /// Strong references to the driver, including those held by tasks.
    pub references: usize,
}

/// Counts the state that a driver retains.
pub(super) fn retained(driver: &Rc<Driver>) -> Retained {
    let requests = driver.requests.borrow();
    let mut timers = driver.timers.borrow_mut();
    timers.remove_stale_timers(&requests);
    Retained {
        requests: requests.len(),
        timers: timers.request_timer_count(),
        references: Rc::strong_count(driver),
    }
}

/// Runs a test with tokio's clock paused.
pub(super) fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

/// Waits for `ms` milliseconds of the paused clock.
pub(super) async fn advance(ms: Millis) {
    tokio::time::sleep(Duration::from_secs_f64(ms / 1000.0)).await;
}
