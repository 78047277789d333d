//! Stub implementations of all services that a gateway talks to, by the platform's protocol: backends with their usage
//! meter, the discovery service, and the counter service.
//!
//! They respond without the help of a test, and backends record in the history which requests they got;
//! [`crate::scripted_peers`] has peers that a test controls message by message.

use crate::history::{now_us, History};
use http_body_util::channel::Channel;
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::{HashMap, HashSet};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{watch, Semaphore};

/// The longest body that the protocol allows.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// The interval of heartbeats to watchers while the endpoint list does not change.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// The usage meter's period, µs. [`crate::scripted_peers::default_settings`] configure gateways with the same period.
pub const METER_PERIOD_US: u64 = 500_000;
/// The number of finished periods whose usage the meter keeps.
const METER_PERIODS: u64 = 4;
/// The most request ids that the meter and each backend remember. Before one more is added, they forget all.
const MAX_REMEMBERED_IDS: usize = 100_000;
/// The longest lifetime of a counter; a longer one in a call is reduced to it, ms.
const MAX_COUNTER_LIFETIME_MS: u64 = 60_000;
/// The longest name of a counter, bytes.
const MAX_COUNTER_NAME: usize = 64;
/// The largest amount that one call adds to a counter.
const MAX_COUNTER_AMOUNT: f64 = 1e9;

type ResponseBody = Either<Full<Bytes>, Channel<Bytes, Infallible>>;

/// Serves HTTP/1.1 at an address until the current runtime shuts down.
async fn serve<F, R>(address: SocketAddr, handler: F) -> io::Result<()>
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            // A failure only delays responses.
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            tokio::spawn(async move {
                let service = service_fn(|request| {
                    let response = handler(request);
                    async { Ok::<_, Infallible>(response.await) }
                });
                // An error, such as a caller that disconnects, concerns this connection only.
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    Ok(())
}

fn response(status: StatusCode, body: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(Either::Left(Full::new(body.into())));
    *response.status_mut() = status;
    response
}

/// Counts the usage of each customer in each period, summed over all backends.
#[derive(Default)]
pub struct UsageMeter {
    state: Mutex<MeterState>,
}

#[derive(Default)]
struct MeterState {
    /// The requests that were registered, by id.
    requests: HashMap<String, MeteredRequest>,
    /// The units that each customer used in each period.
    usage: HashMap<UsageKey, f64>,
}

/// What a request adds to the usage of its customer.
#[derive(Clone)]
struct MeteredRequest {
    customer: String,
    units: f64,
    /// The rate of the customer's plan, units per second.
    units_per_s: f64,
}

#[derive(PartialEq, Eq, Hash)]
struct UsageKey {
    period: u64,
    customer: String,
}

impl UsageMeter {
    /// Registers the customer and the units of the request with this id, and the rate of the customer's plan in units
    /// per second.
    pub fn register_request(&self, id: &str, customer: &str, units: f64, units_per_s: f64) {
        let mut state = self
            .state
            .lock()
            .expect("no panic while the meter is locked");
        if state.requests.len() >= MAX_REMEMBERED_IDS {
            state.requests.clear();
        }
        let request = MeteredRequest {
            customer: customer.to_owned(),
            units,
            units_per_s,
        };
        state.requests.insert(id.to_owned(), request);
    }

    /// Counts the units of an attempt, if it is the first of its request at the backend. Returns the usage of the
    /// customer in the last finished period as a percentage of the plan's rate; `None` if the id is not registered or
    /// the plan has no rate.
    fn record_attempt(&self, id: &str, is_first: bool, now_us: u64) -> Option<f64> {
        let mut state = self
            .state
            .lock()
            .expect("no panic while the meter is locked");
        let request = state.requests.get(id)?.clone();
        let period = now_us / METER_PERIOD_US;
        state
            .usage
            .retain(|key, _| key.period + METER_PERIODS > period);
        if is_first {
            let key = UsageKey {
                period,
                customer: request.customer.clone(),
            };
            *state.usage.entry(key).or_default() += request.units;
        }
        let finished = UsageKey {
            period: period.saturating_sub(1),
            customer: request.customer,
        };
        let units = state.usage.get(&finished).copied().unwrap_or_default();
        let allowed = request.units_per_s * METER_PERIOD_US as f64 / 1e6;
        (request.units_per_s > 0.0).then(|| 100.0 * units / allowed)
    }
}

/// How a backend handles requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendBehavior {
    /// The processing time of a request, ms.
    pub work_ms: f64,
    /// Whether the backend accepts requests and never responds.
    pub hangs: bool,
    /// Whether the backend runs requests and responds with status 500.
    pub fails: bool,
    /// Whether the backend rejects all requests as not started.
    #[serde(rename = "full")]
    pub rejects_all: bool,
    /// The most requests that the backend runs at once; further ones are rejected. Only the value at the start of the
    /// backend counts.
    #[serde(rename = "slots")]
    pub concurrency_limit: usize,
}

impl Default for BackendBehavior {
    fn default() -> BackendBehavior {
        BackendBehavior {
            work_ms: 5.0,
            hangs: false,
            fails: false,
            rejects_all: false,
            concurrency_limit: 256,
        }
    }
}

struct Backend {
    name: String,
    /// One permit for each request that may run at once.
    slots: Semaphore,
    /// The ids of the requests that have come to this backend.
    seen_ids: Mutex<HashSet<String>>,
    meter: Arc<UsageMeter>,
    history: Arc<History>,
}

/// Starts a backend with this name. Each request is handled by the value that `behavior` has when the request arrives.
///
/// # Errors
///
/// Returns the error of an address that cannot be bound.
pub async fn start_backend(
    address: SocketAddr,
    name: String,
    behavior: watch::Receiver<BackendBehavior>,
    meter: Arc<UsageMeter>,
    history: Arc<History>,
) -> io::Result<()> {
    let backend = Arc::new(Backend {
        name,
        slots: Semaphore::new(behavior.borrow().concurrency_limit),
        seen_ids: Mutex::default(),
        meter,
        history,
    });
    serve(address, move |request| {
        let backend = backend.clone();
        let behavior = behavior.borrow().clone();
        async move { backend.handle(request, &behavior).await }
    })
    .await
}

impl Backend {
    async fn handle(
        &self,
        request: Request<Incoming>,
        behavior: &BackendBehavior,
    ) -> Response<ResponseBody> {
        let (head, body) = request.into_parts();
        let header = |name: &str| {
            head.headers
                .get(name)
                .and_then(|value| value.to_str().ok())
                .map(str::to_owned)
        };
        let Some(id) = header("request-id") else {
            return response(StatusCode::NOT_FOUND, "");
        };
        if Limited::new(body, MAX_BODY_BYTES).collect().await.is_err() {
            return response(StatusCode::PAYLOAD_TOO_LARGE, "");
        }
        let is_first = self.remember(&id);
        let usage = self.meter.record_attempt(&id, is_first, now_us());
        let path = head.uri.path().trim_start_matches('/');
        let class = path.split('/').next().unwrap_or_default();
        let slot = self
            .slots
            .try_acquire()
            .ok()
            .filter(|_| !behavior.rejects_all);
        let kind = if slot.is_some() { "ran" } else { "turned-away" };
        self.history.record(
            &self.name,
            kind,
            json!({"id": id, "class": class, "key": header("idempotency-key")}),
        );
        let mut response = if slot.is_some() {
            run_request(id, behavior).await
        } else {
            not_started()
        };
        if let Some(usage) = usage.and_then(|usage| format!("{usage:.0}").parse().ok()) {
            response.headers_mut().insert("api-usage", usage);
        }
        response
    }

    /// Remembers the id of a request. Returns `true` if the id has not come to this backend before.
    fn remember(&self, id: &str) -> bool {
        let mut seen_ids = self
            .seen_ids
            .lock()
            .expect("no panic while the ids are locked");
        if seen_ids.len() >= MAX_REMEMBERED_IDS {
            seen_ids.clear();
        }
        seen_ids.insert(id.to_owned())
    }
}

fn not_started() -> Response<ResponseBody> {
    let mut response = response(StatusCode::SERVICE_UNAVAILABLE, "");
    response
        .headers_mut()
        .insert("not-started", HeaderValue::from_static("1"));
    response
}

async fn run_request(id: String, behavior: &BackendBehavior) -> Response<ResponseBody> {
    if behavior.hangs {
        std::future::pending::<()>().await;
    }
    let work = Duration::try_from_secs_f64(behavior.work_ms / 1000.0).unwrap_or_default();
    tokio::time::sleep(work).await;
    if behavior.fails {
        response(StatusCode::INTERNAL_SERVER_ERROR, "")
    } else {
        response(StatusCode::OK, id)
    }
}

/// The endpoint list that a discovery service serves: `{"seq":…,"whole":true,"hosts":[…]}`. Each change is sent to
/// watchers as an event.
pub type EndpointListSender = watch::Sender<Value>;

/// Starts a discovery service. Each watch event holds the complete list, which the protocol allows at any time.
///
/// # Errors
///
/// Returns the error of an address that cannot be bound.
pub async fn start_discovery(address: SocketAddr, list: watch::Receiver<Value>) -> io::Result<()> {
    serve(address, move |request| {
        let list = list.clone();
        async move {
            if request.uri().path() != "/catalog/members" {
                return response(StatusCode::NOT_FOUND, "");
            }
            let is_watch = request
                .uri()
                .query()
                .is_some_and(|query| query.split('&').any(|word| word == "watch=1"));
            if !is_watch {
                return response(StatusCode::OK, list.borrow().to_string());
            }
            let (sender, body) = Channel::new(4);
            tokio::spawn(send_watch_events(list, sender));
            Response::new(Either::Right(body))
        }
    })
    .await
}

/// Sends the list, and again after each change, with heartbeats in between, until the caller disconnects.
async fn send_watch_events(
    mut list: watch::Receiver<Value>,
    mut sender: http_body_util::channel::Sender<Bytes, Infallible>,
) {
    loop {
        let line = format!("{}\n", *list.borrow_and_update());
        if sender.send_data(line.into()).await.is_err() {
            return;
        }
        while let Err(_elapsed) = tokio::time::timeout(HEARTBEAT_INTERVAL, list.changed()).await {
            if sender.send_data(Bytes::from_static(b"\n")).await.is_err() {
                return;
            }
        }
    }
}

/// A call that adds to a counter.
struct CounterCall {
    name: String,
    amount: f64,
    /// The lifetime of a counter that the call creates, ms.
    lifetime_ms: u64,
}

/// A named total that is removed when its lifetime has passed.
struct Counter {
    total: f64,
    /// µs of the monotonic clock.
    expires_at_us: u64,
}

/// Starts a counter service.
///
/// # Errors
///
/// Returns the error of an address that cannot be bound.
pub async fn start_counter(address: SocketAddr) -> io::Result<()> {
    let counters: Arc<Mutex<HashMap<String, Counter>>> = Arc::default();
    serve(address, move |request| {
        let (status, body) = match parse_counter_call(&request) {
            Some(call) => {
                let now = now_us();
                let mut counters = counters
                    .lock()
                    .expect("no panic while the counters are locked");
                counters.retain(|_, counter| counter.expires_at_us > now);
                let counter = counters.entry(call.name).or_insert(Counter {
                    total: 0.0,
                    expires_at_us: now + call.lifetime_ms * 1000,
                });
                counter.total += call.amount;
                (StatusCode::OK, counter.total.to_string())
            }
            None => (StatusCode::BAD_REQUEST, String::new()),
        };
        async move { response(status, body) }
    })
    .await
}

fn parse_counter_call(request: &Request<Incoming>) -> Option<CounterCall> {
    let name = request.uri().path().strip_prefix("/v1/count/")?;
    let mut amount = None;
    let mut lifetime_ms = None;
    for word in request.uri().query()?.split('&') {
        match word.split_once('=')? {
            ("add", value) => {
                amount = value
                    .parse::<f64>()
                    .ok()
                    .filter(|amount| amount.abs() <= MAX_COUNTER_AMOUNT);
            }
            ("ttl_ms", value) => {
                lifetime_ms = value.parse::<u64>().ok().filter(|lifetime| *lifetime >= 1);
            }
            _ => {}
        }
    }
    let is_valid =
        request.method() == hyper::Method::POST && (1..=MAX_COUNTER_NAME).contains(&name.len());
    is_valid.then_some(CounterCall {
        name: name.to_owned(),
        amount: amount?,
        lifetime_ms: lifetime_ms?.min(MAX_COUNTER_LIFETIME_MS),
    })
}
