//! Scripted clients behind a stub of the platform's dispatcher: requests of many customers, each to a gateway of its
//! customer's set.
//!
//! The dispatcher sends to a gateway as soon as the gateway has passed a health check after its start. Like the
//! platform's dispatcher, it takes a dead gateway out of rotation only after a delay. Each request is sent once; the
//! history says what was sent and how the request ended.

use crate::gateway_client::{GatewayClient, RequestError, Response};
use crate::history::{History, CLIENTS};
use crate::stub_services::UsageMeter;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// How long a dead gateway stays in rotation, as stated by the operators of the platform, s.
const DETECTION_DELAY_S: std::ops::Range<f64> = 1.3..3.0;
/// The pause between two health checks of a gateway.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The time after which a health check without a response counts as failed.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a client waits beyond the timeout of its request before it records that there is no response.
const RESPONSE_GRACE: Duration = Duration::from_millis(700);

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be repeated.
    Idempotent,
    /// The request may be repeated with the same idempotency key.
    WithKey,
    /// The request must not be repeated once it may have run.
    NonIdempotent,
}

impl Idempotency {
    /// The name in histories and settings.
    fn name(self) -> &'static str {
        match self {
            Idempotency::Idempotent => "safe",
            Idempotency::WithKey => "keyed",
            Idempotency::NonIdempotent => "unsafe",
        }
    }
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// The name, as in the settings of the gateways.
    pub name: String,
    /// The fraction of all requests.
    pub fraction: f64,
    /// Whether its requests may be repeated.
    pub idempotency: Idempotency,
}

/// The rate plan of all customers.
#[derive(Clone, Debug)]
pub struct RatePlan {
    /// The name, as in the settings of the gateways.
    pub name: String,
    /// The rate, units per second.
    pub units_per_s: f64,
}

/// The rate and the mix of the requests that the clients send.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    /// Mean rate, requests per second; the times between requests are exponentially distributed.
    pub requests_per_s: f64,
    /// Number of customers; the customer of each request is drawn uniformly.
    pub customers: u32,
    /// Number of gateways in the set of each customer.
    pub gateways_per_customer: usize,
    /// The classes; their fractions sum up to 1.
    pub classes: Vec<RequestClass>,
    /// The timeouts of requests, uniform in this range, ms.
    pub timeout_ms: RangeInclusive<f64>,
    /// The plan of all customers.
    pub rate_plan: RatePlan,
}

impl Default for LoadProfile {
    fn default() -> LoadProfile {
        let class = |name: &str, fraction, idempotency| RequestClass {
            name: name.to_owned(),
            fraction,
            idempotency,
        };
        LoadProfile {
            requests_per_s: 100.0,
            customers: 40,
            gateways_per_customer: 3,
            classes: vec![
                class("read", 0.6, Idempotency::Idempotent),
                class("extend", 0.27, Idempotency::WithKey),
                class("charge", 0.13, Idempotency::NonIdempotent),
            ],
            timeout_ms: 3000.0..=6000.0,
            rate_plan: RatePlan {
                name: "wide".to_owned(),
                units_per_s: 1000.0,
            },
        }
    }
}

/// A gateway to which requests are sent.
#[derive(Clone, Debug)]
pub struct Target {
    /// The name of the gateway's process.
    pub name: String,
    /// The address on which the gateway serves clients.
    pub address: SocketAddr,
}

/// Clients that send requests until they are stopped.
pub struct LoadGenerator {
    state: Arc<LoadState>,
    stop: watch::Sender<bool>,
}

struct Gateway {
    name: String,
    client: GatewayClient,
    /// Whether the dispatcher sends requests to this gateway.
    in_rotation: AtomicBool,
}

struct LoadState {
    gateways: Vec<Gateway>,
    in_flight: AtomicU64,
    sent: AtomicU64,
    history: Arc<History>,
    meter: Arc<UsageMeter>,
}

struct ClientRequest {
    id: String,
    /// The request as it is written to the connection.
    text: String,
    /// The index of the gateway.
    gateway: usize,
    timeout: Duration,
}

impl LoadGenerator {
    /// Starts health checks and clients on the current runtime.
    pub(crate) fn start(
        profile: LoadProfile,
        targets: Vec<Target>,
        seed: u64,
        history: Arc<History>,
        meter: Arc<UsageMeter>,
    ) -> LoadGenerator {
        let gateways = targets.into_iter().map(|target| Gateway {
            name: target.name,
            client: GatewayClient::new(target.address),
            in_rotation: AtomicBool::new(false),
        });
        let state = Arc::new(LoadState {
            gateways: gateways.collect(),
            in_flight: AtomicU64::new(0),
            sent: AtomicU64::new(0),
            history,
            meter,
        });
        let (stop, stopped) = watch::channel(false);
        for gateway in 0..state.gateways.len() {
            let rng = StdRng::seed_from_u64(seed ^ gateway as u64);
            tokio::spawn(state.clone().check_health(gateway, rng, stopped.clone()));
        }
        let rng = StdRng::seed_from_u64(seed);
        tokio::spawn(state.clone().send_requests(profile, rng, stopped));
        LoadGenerator { state, stop }
    }

    /// Stops sending new requests. Those in flight go on until they end.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// The number of requests that wait for a response.
    pub fn in_flight(&self) -> u64 {
        self.state.in_flight.load(Ordering::Relaxed)
    }

    /// The number of requests sent so far.
    pub fn sent(&self) -> u64 {
        self.state.sent.load(Ordering::Relaxed)
    }

    /// The number of gateways to which the dispatcher sends.
    pub fn gateways_in_rotation(&self) -> usize {
        self.state
            .gateways
            .iter()
            .filter(|gateway| gateway.in_rotation.load(Ordering::Relaxed))
            .count()
    }
}

impl LoadState {
    async fn check_health(
        self: Arc<Self>,
        gateway: usize,
        mut rng: StdRng,
        stopped: watch::Receiver<bool>,
    ) {
        let gateway = &self.gateways[gateway];
        let mut failing_since: Option<Instant> = None;
        let mut detection_delay = Duration::ZERO;
        while !*stopped.borrow() {
            let healthy = timeout(HEALTH_CHECK_TIMEOUT, gateway.client.check_health())
                .await
                .is_ok_and(|result| result.unwrap_or(false));
            if healthy {
                failing_since = None;
                gateway.in_rotation.store(true, Ordering::Relaxed);
            } else {
                let since = *failing_since.get_or_insert_with(|| {
                    detection_delay = Duration::from_secs_f64(rng.random_range(DETECTION_DELAY_S));
                    Instant::now()
                });
                if since.elapsed() >= detection_delay {
                    gateway.in_rotation.store(false, Ordering::Relaxed);
                }
            }
            sleep(HEALTH_CHECK_INTERVAL).await;
        }
    }

    async fn send_requests(
        self: Arc<Self>,
        profile: LoadProfile,
        mut rng: StdRng,
        stopped: watch::Receiver<bool>,
    ) {
        let mut due = Instant::now();
        while !*stopped.borrow() {
            let uniform: f64 = rng.random_range(1e-9..1.0);
            due += Duration::from_secs_f64(-uniform.ln() / profile.requests_per_s);
            tokio::time::sleep_until(due).await;
            if let Some(request) = self.next_request(&profile, &mut rng) {
                self.in_flight.fetch_add(1, Ordering::Relaxed);
                let state = self.clone();
                tokio::spawn(async move {
                    state.send(request).await;
                    state.in_flight.fetch_sub(1, Ordering::Relaxed);
                });
            }
        }
    }

    /// Draws the next request and records it; `None` if no gateway of its customer's set is in rotation.
    fn next_request(&self, profile: &LoadProfile, rng: &mut StdRng) -> Option<ClientRequest> {
        let customer = rng.random_range(0..profile.customers);
        let set_size = profile.gateways_per_customer.min(self.gateways.len());
        let first = customer as usize % self.gateways.len();
        let set = (0..set_size).map(|step| (first + step) % self.gateways.len());
        let available: Vec<usize> = set
            .filter(|gateway| self.gateways[*gateway].in_rotation.load(Ordering::Relaxed))
            .collect();
        let gateway = *available.get(rng.random_range(0..available.len().max(1)))?;
        let class = draw_class(&profile.classes, rng)?;
        let number = self.sent.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:08x}{number:08x}", rng.random::<u32>());
        let timeout_ms = rng.random_range(profile.timeout_ms.clone());
        let (method, headers) = match class.idempotency {
            Idempotency::Idempotent => ("GET", String::new()),
            Idempotency::WithKey => (
                "POST",
                format!("Idempotency-Key: key-{id}\r\nContent-Length: 0\r\n"),
            ),
            Idempotency::NonIdempotent => ("POST", "Content-Length: 0\r\n".to_owned()),
        };
        let name = &class.name;
        let text = format!(
            "{method} /{name}/a HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id}\r\nRequest-Class: {name}\r\n\
             Api-Plan: {}\r\nCookie: client={customer:016x}\r\nRequest-Timeout: {:.3}\r\n\
             Api-Terms: units=1,spread={set_size},first={first}\r\n{headers}\r\n",
            profile.rate_plan.name,
            timeout_ms / 1000.0
        );
        self.meter.register_request(
            &id,
            &format!("{customer:016x}"),
            1.0,
            profile.rate_plan.units_per_s,
        );
        let fields = json!({"id": id, "class": name, "effect": class.idempotency.name(), "customer": customer,
            "process": self.gateways[gateway].name, "wait_ms": timeout_ms});
        self.history.record(CLIENTS, "asked", fields);
        Some(ClientRequest {
            id,
            text,
            gateway,
            timeout: Duration::from_secs_f64(timeout_ms / 1000.0),
        })
    }

    /// Sends a request and records how it ended.
    async fn send(&self, request: ClientRequest) {
        let started = Instant::now();
        let gateway = &self.gateways[request.gateway];
        let result = timeout(
            request.timeout + RESPONSE_GRACE,
            gateway.client.send(&request.text),
        )
        .await;
        let mut fields = json!({"id": request.id, "process": gateway.name, "after_ms": started.elapsed().as_secs_f64() * 1000.0});
        match result {
            Ok(Ok(Response {
                status,
                headers,
                body,
            })) => {
                fields["status"] = status.into();
                fields["own"] = (body == request.id.as_bytes()).into();
                fields["retry_after"] = headers.get("retry-after").cloned().into();
                self.history.record(CLIENTS, "answered", fields);
                return;
            }
            Ok(Err(RequestError::NotConnected)) => fields["why"] = "not-taken".into(),
            Ok(Err(error)) => {
                fields["why"] = "broken".into();
                fields["error"] = error.to_string().into();
            }
            Err(_elapsed) => fields["why"] = "late".into(),
        }
        self.history.record(CLIENTS, "unanswered", fields);
    }
}

/// Draws a class at random, with the fractions of the classes as weights.
fn draw_class<'a>(classes: &'a [RequestClass], rng: &mut StdRng) -> Option<&'a RequestClass> {
    let sum = classes.iter().map(|class| class.fraction).sum();
    let mut remaining: f64 = rng.random_range(0.0..sum);
    classes.iter().find(|class| {
        remaining -= class.fraction;
        remaining < 0.0
    })
}
