//! Stand-in clients behind a stand-in front: requests of many customers, each to a front door of its customer's set.
//!
//! The front takes a front door in once that has answered its health check after a start, and notices a dead one late,
//! as the platform's does. Each request is asked once; what it was and how it ended stands in the history.

use crate::history::History;
use crate::standins::Meter;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// How long a dead front door goes on being sent to, s (the operators' letter).
const NOTICED: std::ops::Range<f64> = 1.3..3.0;
/// How often a front door is looked at.
const LOOK: Duration = Duration::from_millis(100);
/// Longest answer of a health check.
const HEALTHY: Duration = Duration::from_secs(1);
/// How long a client waits beyond its own time before it calls an answer missing.
const BEYOND: Duration = Duration::from_millis(700);
/// Idle connections kept to one front door.
const KEPT: usize = 32;

/// What is asked for.
#[derive(Clone, Debug)]
pub struct Pace {
    /// Requests a second.
    pub per_s: f64,
    /// Customers among whom they are spread.
    pub customers: u32,
    /// Front doors in a customer's set.
    pub spread: usize,
    /// Classes by name, with their share and whether they may be repeated: `safe`, `keyed` or `unsafe`.
    pub classes: Vec<(String, f64, String)>,
    /// How long clients wait, ms, evenly between these.
    pub wait_ms: (f64, f64),
    /// The plan that all are on, and its rate.
    pub plan: (String, f64),
}

impl Default for Pace {
    fn default() -> Pace {
        let class = |name: &str, share, effect: &str| (name.to_owned(), share, effect.to_owned());
        Pace {
            per_s: 100.0,
            customers: 40,
            spread: 3,
            classes: vec![
                class("read", 0.6, "safe"),
                class("extend", 0.27, "keyed"),
                class("charge", 0.13, "unsafe"),
            ],
            wait_ms: (3000.0, 6000.0),
            plan: ("wide".to_owned(), 1000.0),
        }
    }
}

/// Clients that ask until they are told to stop.
pub struct Load {
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
}

struct Shared {
    doors: Vec<SocketAddr>,
    names: Vec<String>,
    taken_in: Vec<AtomicBool>,
    idle: Vec<Mutex<Vec<BufReader<TcpStream>>>>,
    open: AtomicU64,
    asked: AtomicU64,
    history: Arc<History>,
    meter: Arc<Meter>,
}

/// A request that is asked.
struct Ask {
    id: String,
    text: String,
    door: usize,
    wait: Duration,
}

/// Why there is no answer.
#[derive(Debug)]
enum NoAnswer {
    /// The request was never taken: no connection came up.
    NotTaken,
    /// The connection broke after the request was written.
    Broken(String),
    /// Nothing came in time.
    Late,
}

impl Load {
    /// Begins to ask; runs on the present runtime.
    pub fn start(
        pace: Pace,
        doors: Vec<(String, SocketAddr)>,
        seed: u64,
        history: Arc<History>,
        meter: Arc<Meter>,
    ) -> Load {
        let (names, doors): (Vec<String>, Vec<SocketAddr>) = doors.into_iter().unzip();
        let shared = Arc::new(Shared {
            taken_in: doors.iter().map(|_| AtomicBool::new(false)).collect(),
            idle: doors.iter().map(|_| Mutex::default()).collect(),
            doors,
            names,
            open: AtomicU64::new(0),
            asked: AtomicU64::new(0),
            history,
            meter,
        });
        let (stop, stopped) = watch::channel(false);
        for door in 0..shared.doors.len() {
            tokio::spawn(shared.clone().look_at(
                door,
                StdRng::seed_from_u64(seed ^ door as u64),
                stopped.clone(),
            ));
        }
        tokio::spawn(
            shared
                .clone()
                .ask_all(pace, StdRng::seed_from_u64(seed), stopped),
        );
        Load { shared, stop }
    }

    /// Asks no more; what is open goes on to its end.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Requests that wait for an answer.
    pub fn open(&self) -> u64 {
        self.shared.open.load(Ordering::Relaxed)
    }

    /// Requests asked so far.
    pub fn asked(&self) -> u64 {
        self.shared.asked.load(Ordering::Relaxed)
    }

    /// Front doors that the front sends to.
    pub fn taken_in(&self) -> usize {
        self.shared
            .taken_in
            .iter()
            .filter(|door| door.load(Ordering::Relaxed))
            .count()
    }
}

impl Shared {
    async fn look_at(
        self: Arc<Self>,
        door: usize,
        mut chance: StdRng,
        stopped: watch::Receiver<bool>,
    ) {
        let mut silent_since: Option<Instant> = None;
        let mut noticed = Duration::ZERO;
        while !*stopped.borrow() {
            let healthy = timeout(HEALTHY, health(self.doors[door]))
                .await
                .is_ok_and(|found| found.unwrap_or(false));
            if healthy {
                silent_since = None;
                self.taken_in[door].store(true, Ordering::Relaxed);
            } else {
                let since = *silent_since.get_or_insert_with(|| {
                    noticed = Duration::from_secs_f64(chance.random_range(NOTICED));
                    Instant::now()
                });
                if since.elapsed() >= noticed {
                    self.taken_in[door].store(false, Ordering::Relaxed);
                }
            }
            sleep(LOOK).await;
        }
    }

    async fn ask_all(
        self: Arc<Self>,
        pace: Pace,
        mut chance: StdRng,
        stopped: watch::Receiver<bool>,
    ) {
        let mut due = Instant::now();
        while !*stopped.borrow() {
            let even: f64 = chance.random_range(1e-9..1.0);
            due += Duration::from_secs_f64(-even.ln() / pace.per_s);
            tokio::time::sleep_until(due).await;
            if let Some(ask) = self.next(&pace, &mut chance) {
                self.open.fetch_add(1, Ordering::Relaxed);
                let shared = self.clone();
                tokio::spawn(async move {
                    shared.ask(ask).await;
                    shared.open.fetch_sub(1, Ordering::Relaxed);
                });
            }
        }
    }

    fn next(&self, pace: &Pace, chance: &mut StdRng) -> Option<Ask> {
        let customer = chance.random_range(0..pace.customers);
        let spread = pace.spread.min(self.doors.len());
        let first = customer as usize % self.doors.len();
        let set = (0..spread).map(|step| (first + step) % self.doors.len());
        let able: Vec<usize> = set
            .filter(|door| self.taken_in[*door].load(Ordering::Relaxed))
            .collect();
        let door = *able.get(chance.random_range(0..able.len().max(1)))?;
        let mut left = chance.random_range(0.0..pace.classes.iter().map(|class| class.1).sum());
        let (class, _, effect) = pace.classes.iter().find(|class| {
            left -= class.1;
            left < 0.0
        })?;
        let number = self.asked.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:08x}{number:08x}", chance.random::<u32>());
        let wait_ms = chance.random_range(pace.wait_ms.0..=pace.wait_ms.1);
        let (method, extra) = match effect.as_str() {
            "safe" => ("GET", String::new()),
            "keyed" => (
                "POST",
                format!("Idempotency-Key: key-{id}\r\nContent-Length: 0\r\n"),
            ),
            _ => ("POST", "Content-Length: 0\r\n".to_owned()),
        };
        let text = format!(
            "{method} /{class}/a HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
             Api-Plan: {}\r\nCookie: client={customer:016x}\r\nRequest-Timeout: {:.3}\r\n\
             Api-Terms: units=1,spread={spread},first={first}\r\n{extra}\r\n",
            pace.plan.0,
            wait_ms / 1000.0
        );
        self.meter
            .asked(&id, &format!("{customer:016x}"), 1.0, pace.plan.1);
        let asked = json!({"id": id, "class": class, "effect": effect, "customer": customer,
            "process": self.names[door], "wait_ms": wait_ms});
        self.history.note("clients", "asked", asked);
        Some(Ask {
            id,
            text,
            door,
            wait: Duration::from_secs_f64(wait_ms / 1000.0),
        })
    }

    async fn ask(&self, ask: Ask) {
        let begun = Instant::now();
        let answered = timeout(ask.wait + BEYOND, self.exchange(&ask))
            .await
            .unwrap_or(Err(NoAnswer::Late));
        let mut more = json!({"id": ask.id, "process": self.names[ask.door], "after_ms": begun.elapsed().as_secs_f64() * 1000.0});
        match answered {
            Ok((status, body, retry_after)) => {
                more["status"] = status.into();
                more["own"] = (body == ask.id.as_bytes()).into();
                more["retry_after"] = retry_after.into();
                self.history.note("clients", "answered", more);
            }
            Err(why) => {
                more["why"] = match why {
                    NoAnswer::NotTaken => "not-taken".into(),
                    NoAnswer::Late => "late".into(),
                    NoAnswer::Broken(error) => {
                        more["error"] = error.into();
                        "broken".into()
                    }
                };
                self.history.note("clients", "unanswered", more);
            }
        }
    }

    /// Asks on a kept connection or a new one. One that ends before a byte of the answer crossed the request in closing:
    /// the protocol has the client send it once more, on a new connection.
    async fn exchange(&self, ask: &Ask) -> Result<(u16, Vec<u8>, Option<String>), NoAnswer> {
        let kept = self.idle[ask.door].lock().expect("no panic").pop();
        if let Some(mut wire) = kept {
            match self.once(&mut wire, ask).await {
                Ok(Some(answer)) => return Ok(self.keep(ask.door, wire, answer)),
                Ok(None) => {}
                Err(error) => return Err(NoAnswer::Broken(error.to_string())),
            }
        }
        let stream = TcpStream::connect(self.doors[ask.door])
            .await
            .map_err(|_| NoAnswer::NotTaken)?;
        // Without it requests are late, not wrong.
        let _ = stream.set_nodelay(true);
        let mut wire = BufReader::new(stream);
        match self.once(&mut wire, ask).await {
            Ok(Some(answer)) => Ok(self.keep(ask.door, wire, answer)),
            Ok(None) => Err(NoAnswer::Broken("closed without a word".to_owned())),
            Err(error) => Err(NoAnswer::Broken(error.to_string())),
        }
    }

    fn keep(
        &self,
        door: usize,
        wire: BufReader<TcpStream>,
        (answer, close): (Message, bool),
    ) -> (u16, Vec<u8>, Option<String>) {
        let mut idle = self.idle[door].lock().expect("no panic");
        if !close && idle.len() < KEPT {
            idle.push(wire);
        }
        let retry_after = answer.headers.get("retry-after").cloned();
        (answer.status, answer.body, retry_after)
    }

    /// One exchange; `None` where the connection was closed or broke before a byte of an answer.
    async fn once(
        &self,
        wire: &mut BufReader<TcpStream>,
        ask: &Ask,
    ) -> io::Result<Option<(Message, bool)>> {
        if wire.write_all(ask.text.as_bytes()).await.is_err() {
            return Ok(None);
        }
        match wire.fill_buf().await {
            Ok([]) | Err(_) => return Ok(None),
            Ok(_) => {}
        }
        let message = Message::read(wire).await?;
        let close = message
            .headers
            .get("connection")
            .is_some_and(|word| word.eq_ignore_ascii_case("close"));
        Ok(Some((message, close)))
    }
}

struct Message {
    status: u16,
    headers: HashMap<String, String>,
    body: Vec<u8>,
}

impl Message {
    async fn read(wire: &mut BufReader<TcpStream>) -> io::Result<Message> {
        let odd = || io::Error::from(io::ErrorKind::InvalidData);
        let mut line = String::new();
        wire.read_line(&mut line).await?;
        let status = line
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .ok_or_else(odd)?;
        let mut headers = HashMap::new();
        loop {
            line.clear();
            if wire.read_line(&mut line).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let Some((name, value)) = line.trim_end().split_once(':') else {
                break;
            };
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        let length = headers
            .get("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let mut body = vec![0; length];
        wire.read_exact(&mut body).await?;
        Ok(Message {
            status,
            headers,
            body,
        })
    }
}

async fn health(door: SocketAddr) -> io::Result<bool> {
    let mut wire = BufReader::new(TcpStream::connect(door).await?);
    wire.write_all(b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        .await?;
    Ok(Message::read(&mut wire).await?.status == 200)
}
