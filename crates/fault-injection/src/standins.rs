//! Stand-ins for what a front door meets, by the protocol: backends with their meter, discovery, the count keeper.
//!
//! They answer by themselves and note in the history what they saw; [`crate::scripted_peers`] has those that a test plays by hand.

use crate::history::{now_us, History};
use http_body_util::channel::Channel;
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{watch, Semaphore};

/// What the protocol lets a body hold.
const LONGEST_BODY: usize = 64 * 1024;
/// How often a watch says that nothing changes.
const QUIET: Duration = Duration::from_secs(2);
/// The meter's period, µs; the settings that go with it say the same.
pub const PERIOD_US: u64 = 500_000;
/// Ids whose customers the meter remembers at most, and periods that it keeps.
const IDS: usize = 100_000;

type Body = Either<Full<Bytes>, Channel<Bytes, Infallible>>;

/// Serves HTTP/1.1 at an address until the runtime ends.
async fn serve<F, R>(at: SocketAddr, answer: F) -> io::Result<()>
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = TcpListener::bind(at).await?;
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            // Without it answers are late, not wrong.
            let _ = stream.set_nodelay(true);
            let answer = answer.clone();
            tokio::spawn(async move {
                let service = service_fn(|request| {
                    let answered = answer(request);
                    async { Ok::<_, Infallible>(answered.await) }
                });
                // A caller that breaks off is the caller's matter.
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    Ok(())
}

fn answer(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Either::Left(Full::new(body.into())));
    *response.status_mut() = status;
    response
}

// ---- The meter ---------------------------------------------------------------------------------------

/// Counts what each customer uses, over all backends, by finished periods.
#[derive(Default)]
pub struct Meter(Mutex<Metered>);

#[derive(Default)]
struct Metered {
    /// The customer of a request, its units, and its plan's rate, units a second.
    asked: HashMap<String, (String, f64, f64)>,
    /// Use by customer in a period.
    used: HashMap<(u64, String), f64>,
}

impl Meter {
    /// Tells whose request an id is, as the platform's front does.
    pub fn asked(&self, id: &str, customer: &str, units: f64, rate: f64) {
        let mut metered = self.0.lock().expect("no panic");
        if metered.asked.len() >= IDS {
            metered.asked.clear();
        }
        metered
            .asked
            .insert(id.to_owned(), (customer.to_owned(), units, rate));
    }

    /// A first attempt has come to a backend; tells the customer's use in the last finished period, in percent of its rate.
    fn sent(&self, id: &str, first: bool, now: u64) -> Option<f64> {
        let mut metered = self.0.lock().expect("no panic");
        let (customer, units, rate) = metered.asked.get(id)?.clone();
        let period = now / PERIOD_US;
        metered.used.retain(|(of, _), _| of + 4 > period);
        if first {
            *metered.used.entry((period, customer.clone())).or_default() += units;
        }
        let used = metered
            .used
            .get(&(period.saturating_sub(1), customer))
            .copied()
            .unwrap_or_default();
        (rate > 0.0).then(|| 100.0 * used / (rate * PERIOD_US as f64 / 1e6))
    }
}

// ---- Backends ----------------------------------------------------------------------------------------

/// How a backend acts from now on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Manner {
    /// Time that a request runs, ms.
    pub work_ms: f64,
    /// It takes requests and never answers.
    pub hangs: bool,
    /// It runs requests and answers 500.
    pub fails: bool,
    /// It turns all away as not started.
    pub full: bool,
    /// Requests that it runs at once; further ones are turned away.
    pub slots: usize,
}

impl Default for Manner {
    fn default() -> Manner {
        Manner {
            work_ms: 5.0,
            hangs: false,
            fails: false,
            full: false,
            slots: 256,
        }
    }
}

/// Starts a backend called `name`; it acts as `manner` says at each moment.
pub async fn backend(
    at: SocketAddr,
    name: String,
    manner: watch::Receiver<Manner>,
    meter: Arc<Meter>,
    history: Arc<History>,
) -> io::Result<()> {
    let (slots, seen) = (
        Arc::new(Semaphore::new(manner.borrow().slots)),
        Arc::new(Mutex::new(HashMap::new())),
    );
    serve(at, move |request| {
        let (name, meter, history) = (name.clone(), meter.clone(), history.clone());
        let (manner, slots, seen) = (manner.borrow().clone(), slots.clone(), seen.clone());
        async move {
            let (head, body) = request.into_parts();
            let header = |name: &str| {
                head.headers
                    .get(name)
                    .and_then(|value| value.to_str().ok())
                    .map(str::to_owned)
            };
            let Some(id) = header("request-id") else {
                return answer(StatusCode::NOT_FOUND, "");
            };
            if Limited::new(body, LONGEST_BODY).collect().await.is_err() {
                return answer(StatusCode::PAYLOAD_TOO_LARGE, "");
            }
            let first = {
                let mut seen: std::sync::MutexGuard<HashMap<String, ()>> =
                    seen.lock().expect("no panic");
                if seen.len() >= IDS {
                    seen.clear();
                }
                seen.insert(id.clone(), ()).is_none()
            };
            let used = meter.sent(&id, first, now_us());
            let class = head
                .uri
                .path()
                .trim_start_matches('/')
                .split('/')
                .next()
                .unwrap_or_default()
                .to_owned();
            let slot = slots.try_acquire().ok().filter(|_| !manner.full);
            let what = if slot.is_some() { "ran" } else { "turned-away" };
            history.note(
                &name,
                what,
                json!({"id": id, "class": class, "key": header("idempotency-key")}),
            );
            let mut response = if slot.is_none() {
                let mut response = answer(StatusCode::SERVICE_UNAVAILABLE, "");
                response
                    .headers_mut()
                    .insert("not-started", "1".parse().expect("a value"));
                response
            } else {
                if manner.hangs {
                    std::future::pending::<()>().await;
                }
                tokio::time::sleep(
                    Duration::try_from_secs_f64(manner.work_ms / 1000.0).unwrap_or_default(),
                )
                .await;
                if manner.fails {
                    answer(StatusCode::INTERNAL_SERVER_ERROR, "")
                } else {
                    answer(StatusCode::OK, id)
                }
            };
            if let Some(used) = used.and_then(|used| format!("{used:.0}").parse().ok()) {
                response.headers_mut().insert("api-usage", used);
            }
            response
        }
    })
    .await
}

// ---- Discovery ---------------------------------------------------------------------------------------

/// A list of backends that is told by watches; `{"seq":…,"whole":true,"hosts":[…]}`.
pub type List = watch::Sender<Value>;

/// Starts a discovery agent over a list. Each change is told whole: the protocol allows that at any time.
pub async fn discovery(at: SocketAddr, list: watch::Receiver<Value>) -> io::Result<()> {
    serve(at, move |request| {
        let mut list = list.clone();
        async move {
            if request.uri().path() != "/catalog/members" {
                return answer(StatusCode::NOT_FOUND, "");
            }
            if !request
                .uri()
                .query()
                .is_some_and(|query| query.split('&').any(|word| word == "watch=1"))
            {
                return answer(StatusCode::OK, list.borrow().to_string());
            }
            let (mut sender, channel) = Channel::new(4);
            tokio::spawn(async move {
                loop {
                    let line = format!("{}\n", *list.borrow_and_update());
                    if sender.send_data(line.into()).await.is_err() {
                        return;
                    }
                    while let Err(_elapsed) = tokio::time::timeout(QUIET, list.changed()).await {
                        if sender.send_data(Bytes::from_static(b"\n")).await.is_err() {
                            return;
                        }
                    }
                }
            });
            Response::new(Either::Right(channel))
        }
    })
    .await
}

// ---- The count keeper --------------------------------------------------------------------------------

/// Starts a count keeper: named totals that are forgotten when their time is up.
pub async fn counter(at: SocketAddr) -> io::Result<()> {
    let totals: Arc<Mutex<HashMap<String, (f64, u64)>>> = Arc::default();
    serve(at, move |request| {
        let (status, body) = match call(&request) {
            Some((name, add, life_ms)) => {
                let (now, mut totals) = (now_us(), totals.lock().expect("no panic"));
                totals.retain(|_, (_, end)| *end > now);
                let fresh = (0.0, now + life_ms * 1000);
                let total = &mut totals.entry(name).or_insert(fresh).0;
                *total += add;
                (StatusCode::OK, total.to_string())
            }
            None => (StatusCode::BAD_REQUEST, String::new()),
        };
        async move { answer(status, body) }
    })
    .await
}

/// The name, the amount and the life of a new name, ms, of a call that is one.
fn call(request: &Request<Incoming>) -> Option<(String, f64, u64)> {
    let name = request.uri().path().strip_prefix("/v1/count/")?;
    let (mut add, mut life) = (None, None);
    for word in request.uri().query()?.split('&') {
        match word.split_once('=')? {
            ("add", value) => add = value.parse::<f64>().ok().filter(|add| add.abs() <= 1e9),
            ("ttl_ms", value) => life = value.parse::<u64>().ok().filter(|life| *life >= 1),
            _ => {}
        }
    }
    let sound = request.method() == hyper::Method::POST && (1..=64).contains(&name.len());
    sound.then_some((name.to_owned(), add?, life?.min(60_000)))
}
