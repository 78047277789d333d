//! What the cases 6 to 10 share: a gateway started by the deploy file, and small stand-ins for discovery, backends and
//! clients that follow the operators' protocol page. The standard library alone.

#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// A script may run for 120 s.
const WATCHDOG: Duration = Duration::from_secs(110);

// ---- The record and the end of a case ---------------------------------------------------------------------------

/// The record of a case, and the processes that it has started.
pub struct Case {
    started: Instant,
    record: Mutex<File>,
    processes: Mutex<Vec<u32>>,
    pub folder: PathBuf,
    pub root: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
    pub temporary: PathBuf,
    ids: AtomicU64,
}

impl Case {
    /// `CASE_FOLDER` and `CASE_ROOT` are set by `run.sh`.
    pub fn begin() -> Arc<Case> {
        let folder = PathBuf::from(std::env::var("CASE_FOLDER").expect("run.sh sets CASE_FOLDER"));
        let root = PathBuf::from(std::env::var("CASE_ROOT").expect("run.sh sets CASE_ROOT"));
        let temporary =
            std::env::temp_dir().join(format!("cometspool-review-{}", std::process::id()));
        fs::create_dir_all(&temporary).expect("a temporary folder");
        let record = File::create(folder.join("record.txt")).expect("record.txt can be written");
        let case = Arc::new(Case {
            started: Instant::now(),
            record: Mutex::new(record),
            processes: Mutex::default(),
            folder,
            root,
            trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
            temporary,
            ids: AtomicU64::new(seed()),
        });
        let watched = case.clone();
        thread::spawn(move || {
            thread::sleep(WATCHDOG);
            watched.finish(COULD_NOT_RUN, "the case took too long");
        });
        let panicked = case.clone();
        std::panic::set_hook(Box::new(move |info| {
            panicked.finish(COULD_NOT_RUN, &format!("the stand-ins failed: {info}"));
        }));
        case.note(&format!("trouble: {}", case.trouble));
        case
    }

    /// Milliseconds since the case began.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// Writes a line to the record.
    pub fn note(&self, text: &str) {
        let mut record = self.record.lock().unwrap_or_else(|held| held.into_inner());
        let _ = writeln!(record, "{:10.3} {text}", self.now());
    }

    /// Ends all processes that the case has started, and the case.
    pub fn finish(&self, code: i32, verdict: &str) -> ! {
        let mut processes = self
            .processes
            .lock()
            .unwrap_or_else(|held| held.into_inner());
        for process in processes.drain(..) {
            signal(process, "KILL");
        }
        self.note(&format!("exit {code}: {verdict}"));
        println!("exit {code}: {verdict}");
        let _ = fs::remove_dir_all(&self.temporary);
        std::process::exit(code)
    }

    /// A new request id.
    pub fn new_id(&self) -> String {
        let number = self.ids.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        format!("{number:016x}")
    }
}

fn seed() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    elapsed.as_nanos() as u64 ^ (u64::from(std::process::id()) << 32) | 1
}

/// The present Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    elapsed.as_millis() as u64
}

/// Sends a signal to one process.
pub fn signal(process: u32, name: &str) {
    // The shell's own command: a machine may have no other.
    let _ = Command::new("/bin/sh")
        .arg("-c")
        .arg(format!("kill -{name} {process}"))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .status();
}

/// A small generator of random numbers.
pub struct Random(u64);

impl Random {
    pub fn new(stream: u64) -> Random {
        Random((seed() ^ stream.wrapping_mul(0xd134_2543_de82_ef95)) | 1)
    }

    /// A number from 0 to 1.
    pub fn draw(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn below(&mut self, count: usize) -> usize {
        ((self.draw() * count as f64) as usize).min(count - 1)
    }
}

/// Starts a thread with a small stack.
pub fn spawn(run: impl FnOnce() + Send + 'static) -> thread::JoinHandle<()> {
    thread::Builder::new()
        .stack_size(192 * 1024)
        .spawn(run)
        .expect("a thread")
}

// ---- Settings ------------------------------------------------------------------------------------------------------

/// The settings of the operators' example of a small deployment, for front door `me` of `fleet_size`. `classes` and
/// `plans` are JSON lists.
pub fn settings(fleet_size: usize, me: usize, classes: &str, plans: &str) -> String {
    format!(
        r#"{{"charges":{{"connection":0.0,"cross_zone":0.01,"handshake":0.0,"late_fail":0.05,"moves":0.0,"origin":0.0,
"peer":0.0,"probe":0.01,"registry_mode":0.0,"waste":0.05}},"client_habits":{{"marks_retry":true}},"domain_type":"gate",
"extra":{{"call_price":0.01,"cost_after":false,"count_limit":80.0,"has_counter":true,"max_units":1,"meter":500.0,
"peer_intake":0.0}},"flavors":["std-4"],"fleet_size":{fleet_size},"grades":{classes},"me":{me},"my_zone":{zone},
"plans":{plans},"policy_limits":{{"cancel":true,"cpu_us_per_request":0.0,"cpu_us_per_s":667780,"dial_timeout":250.0,
"idle_close":30000.0,"max_open":26711,"max_retry_after":2000.0,"peers":false,"probes":true,"retry_after":true,
"second_copies":true,"send_cap":5,"streams_per_conn":32}},"registry_mode":"pushed",
"report":{{"names":["load_share","concurrent"],"via":"on_probe"}},"rules":{{"answer_slack":16.0,"ask_within":10000.0,
"fall":2000.0,"overload_factor":2.0,"start_capacity":0.19,"stop_sending_within":250.0,"warm_up":16000.0}},
"stages":["booking-fleet"],"tick":4.0,"tier":0,"weights":"nominal","zones":["hall-a","hall-b"]}}"#,
        zone = me % 2
    )
}

/// The classes of the example in the operators' wire page.
pub const CLASSES: &str = r#"[
{"aim":2500.0,"credit":1.0,"give_up":6000.0,"group":"all","idempotency":"safe","late_worth":0.0,"memory_span":5000.0,"name":"availability","streaming":false},
{"aim":1200.0,"credit":3.0,"give_up":3000.0,"group":"cell","idempotency":"keyed","late_worth":0.0,"memory_span":2000.0,"name":"hold-slot","streaming":false},
{"aim":1200.0,"credit":5.0,"give_up":4000.0,"group":"all","idempotency":"unsafe","late_worth":0.0,"memory_span":5000.0,"name":"confirm-booking","streaming":false}]"#;

/// The plans of the same example.
pub const PLANS: &str = r#"[
{"cap_rate":0.0,"excess_worth":0.0,"hard_slack":0.0,"max_out":0,"name":"sengl","never_over_depth":0.0,"over_cost":0.5,"pays":0.8,"peak_units":3.0,"per_second":0.67},
{"cap_rate":0.0,"excess_worth":0.2,"hard_slack":0.0,"max_out":2,"name":"depot","never_over_depth":0.0,"over_cost":0.0,"pays":1.2,"peak_units":9.0,"per_second":2.7},
{"cap_rate":17.0,"excess_worth":0.0,"hard_slack":4.0,"max_out":0,"name":"fflyd","never_over_depth":35.0,"over_cost":0.5,"pays":1.4,"peak_units":19.0,"per_second":9.5}]"#;

// ---- A gateway -----------------------------------------------------------------------------------------------------

/// The resource limits of a gateway.
#[derive(Clone, Copy)]
pub struct Limits {
    pub memory_mb: usize,
    pub sockets: usize,
}

/// A gateway process, started by the `run` command of the deploy file.
pub struct Gateway {
    case: Arc<Case>,
    child: Option<Child>,
    pub name: String,
    pub address: SocketAddr,
    config: PathBuf,
}

impl Gateway {
    /// Starts a gateway and waits until it is ready.
    pub fn start(
        case: &Arc<Case>,
        name: &str,
        limits: Limits,
        settings: &str,
        discovery: SocketAddr,
        known: &str,
    ) -> Gateway {
        let mut gateway = Gateway {
            case: case.clone(),
            child: None,
            name: name.to_owned(),
            address: free_address(),
            config: case.temporary.join(format!("{name}.json")),
        };
        gateway.write_config(limits, settings, discovery, known);
        gateway.run(discovery);
        gateway.wait_until_ready(Duration::from_secs(10));
        gateway
    }

    /// Starts a gateway without waiting until it is ready.
    pub fn launch(
        case: &Arc<Case>,
        name: &str,
        limits: Limits,
        settings: &str,
        discovery: SocketAddr,
        known: &str,
    ) -> Gateway {
        let mut gateway = Gateway {
            case: case.clone(),
            child: None,
            name: name.to_owned(),
            address: free_address(),
            config: case.temporary.join(format!("{name}.json")),
        };
        gateway.write_config(limits, settings, discovery, known);
        gateway.run(discovery);
        gateway
    }

    /// Replaces the configuration file.
    pub fn write_config(&self, limits: Limits, settings: &str, discovery: SocketAddr, known: &str) {
        let text = format!(
            r#"{{"name":"{}","listen":"{}","discovery":"{discovery}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"counter":"{}","known":{known},"settings":{settings}}}"#,
            self.name,
            self.address,
            seed(),
            limits.memory_mb,
            limits.sockets,
            free_address(),
        );
        let fresh = self.config.with_extension("new");
        fs::write(&fresh, text).expect("the configuration can be written");
        fs::rename(&fresh, &self.config).expect("the configuration can be replaced");
    }

    /// Starts the process.
    pub fn run(&mut self, discovery: SocketAddr) {
        let command = run_command(&self.case.root);
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.case.temporary.join(format!("{}.log", self.name)))
            .expect("the log can be written");
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(&command)
            .current_dir(&self.case.root)
            .env("BALANCER_NAME", &self.name)
            .env("BALANCER_LISTEN", self.address.to_string())
            .env("BALANCER_DISCOVERY", discovery.to_string())
            .env("BALANCER_CONFIG", &self.config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the gateway can be started");
        self.case.processes.lock().unwrap().push(child.id());
        self.case.note(&format!("{} started: {command}", self.name));
        self.child = Some(child);
    }

    /// Waits until the gateway is ready; the case could not run if that takes longer than `patience`.
    pub fn wait_until_ready(&self, patience: Duration) {
        let give_up = Instant::now() + patience;
        while !self.is_ready() {
            if Instant::now() > give_up {
                self.case
                    .finish(COULD_NOT_RUN, "the gateway was not ready in time");
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let sent = stream.write_all(b"GET /_health HTTP/1.1\r\nHost: service.internal\r\n\r\n");
        sent.is_ok()
            && matches!(read_answer(&mut stream), Ended::Answer(answer) if answer.status == 200)
    }

    pub fn signal(&self, name: &str) {
        self.case.note(&format!("{} gets SIG{name}", self.name));
        if let Some(child) = &self.child {
            signal(child.id(), name);
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        match self.child.as_mut() {
            Some(child) => !matches!(child.try_wait(), Ok(None)),
            None => true,
        }
    }

    /// A figure of the process in kB, by its name in `/proc`.
    pub fn memory_kb(&self, name: &str) -> Option<u64> {
        let child = self.child.as_ref()?;
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    pub fn case(&self) -> &Case {
        &self.case
    }

    pub fn process(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }
}

/// The `run` command of the deploy file.
fn run_command(root: &Path) -> String {
    let text = fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let line = text
        .lines()
        .find(|line| line.starts_with("run"))
        .expect("run");
    let value = line.split_once('=').expect("run").1.trim();
    value.trim_matches('"').to_owned()
}

/// A loopback address whose port is free.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

// ---- Messages ------------------------------------------------------------------------------------------------------

/// A request as a backend or discovery has read it.
pub struct Message {
    pub method: String,
    pub target: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads one request; `None` at the end of the connection.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.trim().to_lowercase(), value.trim().to_owned());
    }
    let length: usize = headers
        .get("content-length")
        .map_or(Some(0), |text| text.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Message {
        method,
        target,
        headers,
        body,
    })
}

/// An answer as a client has read it.
pub struct Answer {
    pub status: u16,
    pub closes: bool,
    pub body: Vec<u8>,
}

/// How a client's wait for an answer ended.
pub enum Ended {
    Answer(Answer),
    /// The connection ended in order, without one byte of an answer.
    EndOfStream,
    /// The connection was reset, without one byte of an answer.
    Reset,
    /// The connection ended within the answer.
    Cut,
    /// Nothing came within the read time-out.
    Nothing,
}

/// Reads one answer that has a `Content-Length`.
pub fn read_answer(stream: &mut TcpStream) -> Ended {
    let mut received = Vec::new();
    let mut chunk = [0; 16 * 1024];
    loop {
        if let Some(head_end) = find(&received, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&received[..head_end]).to_lowercase();
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length:"))
                .and_then(|text| text.trim().parse::<usize>().ok())
                .unwrap_or(0);
            if received.len() >= head_end + 4 + length {
                let status = head
                    .split_whitespace()
                    .nth(1)
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                return Ended::Answer(Answer {
                    status,
                    closes: head.contains("connection: close"),
                    body: received[head_end + 4..head_end + 4 + length].to_vec(),
                });
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) if received.is_empty() => return Ended::EndOfStream,
            Ok(0) => return Ended::Cut,
            Ok(count) => received.extend_from_slice(&chunk[..count]),
            Err(error) => {
                let timed_out = matches!(
                    error.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                );
                return match (timed_out, received.is_empty()) {
                    (true, _) => Ended::Nothing,
                    (false, true) => Ended::Reset,
                    (false, false) => Ended::Cut,
                };
            }
        }
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// What a client asks.
pub struct Ask<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub plan: &'a str,
    pub customer: u64,
    pub timeout_s: f64,
    pub spread: usize,
    pub body: usize,
}

impl Ask<'_> {
    /// The request in the form of the protocol page. `availability` is safe, `hold-slot` keyed, any other class unsafe.
    pub fn bytes(&self) -> Vec<u8> {
        let method = if self.class == "availability" {
            "GET"
        } else {
            "POST"
        };
        let mut text = format!(
            "{method} /{}/quote?lang=cy HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {}\r\nRequest-Class: {}\r\n\
             Api-Plan: {}\r\nCookie: client={:016x}\r\nRequest-Timeout: {:.3}\r\n\
             Api-Terms: units=1,spread={},first=0\r\n",
            self.class, self.id, self.class, self.plan, self.customer, self.timeout_s, self.spread
        );
        if self.class == "hold-slot" {
            text.push_str(&format!("Idempotency-Key: {}\r\n", self.id));
        }
        if method == "POST" {
            text.push_str(&format!("Content-Length: {}\r\n", self.body));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        if method == "POST" {
            bytes.resize(bytes.len() + self.body, b'.');
        }
        bytes
    }
}

// ---- Backends --------------------------------------------------------------------------------------------------------

/// What a backend does with a request that it has read whole. Returns whether the connection stays open.
pub type Behavior = dyn Fn(&Backend, &mut TcpStream, &Message) -> bool + Send + Sync;

/// A request that has come to a backend whole.
#[derive(Clone)]
pub struct Arrival {
    pub at: f64,
    pub id: String,
    pub backend: String,
}

/// A backend.
pub struct Backend {
    pub case: Arc<Case>,
    pub name: String,
    pub address: SocketAddr,
    pub hall: &'static str,
    pub block: usize,
    pub started_ms: u64,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Backend {
    pub fn start(
        case: &Arc<Case>,
        index: usize,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
        behavior: Arc<Behavior>,
    ) -> Arc<Backend> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let backend = Arc::new(Backend {
            case: case.clone(),
            name: format!("s-{index:02}"),
            address: listener.local_addr().expect("an address"),
            hall: ["hall-a", "hall-b"][index % 2],
            block: index % 2,
            started_ms: 0,
            arrivals: arrivals.clone(),
        });
        let served = backend.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let backend = served.clone();
                let behavior = behavior.clone();
                spawn(move || backend.serve(stream, &*behavior));
            }
        });
        backend
    }

    fn serve(&self, mut stream: TcpStream, behavior: &Behavior) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Some(message) = read_message(&mut reader) {
            if message.target == "/ping" || message.target == "/_load" {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            let id = message.header("request-id").to_owned();
            self.arrivals.lock().unwrap().push(Arrival {
                at: self.case.now(),
                id: id.clone(),
                backend: self.name.clone(),
            });
            if !behavior(self, &mut stream, &message) {
                return;
            }
        }
    }

    /// The entry of the endpoint list.
    pub fn entry(&self, health: &str) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"{}","class":"std-4","block":{},"health":"{health}","share":1.0,"born_ms":{}}}"#,
            self.name, self.address, self.hall, self.block, self.started_ms
        )
    }

    /// A good answer to a request, with a body of at least `length` bytes that begins with the request's id.
    pub fn answer(&self, stream: &mut TcpStream, message: &Message, length: usize) -> bool {
        let mut body = message.header("request-id").as_bytes().to_vec();
        body.push(b'\n');
        body.resize(length.max(body.len()), b'.');
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&body);
        stream.write_all(&bytes).is_ok()
    }
}

// ---- Discovery -------------------------------------------------------------------------------------------------------

/// The version of the first list.
const FIRST_SEQ: u64 = 41;

/// A discovery agent: answers with the whole list, and holds watches open with an empty line every 2 s.
pub struct Discovery {
    pub address: SocketAddr,
    state: Mutex<DiscoveryState>,
    changed: Condvar,
    /// How long each call waits for its answer, in milliseconds.
    pub delay_ms: AtomicU64,
    /// When each call came, and its target.
    pub calls: Mutex<Vec<(Instant, String)>>,
}

struct DiscoveryState {
    seq: u64,
    /// By name.
    entries: Vec<(String, String)>,
    /// The changes so far, each with its version.
    changes: Vec<(u64, String)>,
}

impl Discovery {
    pub fn start(backends: &[Arc<Backend>]) -> Arc<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let entries = backends
            .iter()
            .map(|backend| (backend.name.clone(), backend.entry("up")));
        let discovery = Arc::new(Discovery {
            address: listener.local_addr().expect("an address"),
            state: Mutex::new(DiscoveryState {
                seq: FIRST_SEQ,
                entries: entries.collect(),
                changes: Vec::new(),
            }),
            changed: Condvar::new(),
            delay_ms: AtomicU64::new(0),
            calls: Mutex::default(),
        });
        let served = discovery.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = served.clone();
                spawn(move || discovery.serve(stream));
            }
        });
        discovery
    }

    /// The whole list.
    pub fn list(&self) -> String {
        let state = self.state.lock().unwrap();
        let entries: Vec<&str> = state
            .entries
            .iter()
            .map(|(_, entry)| entry.as_str())
            .collect();
        format!(
            r#"{{"seq":{},"whole":true,"hosts":[{}]}}"#,
            state.seq,
            entries.join(",")
        )
    }

    /// Tells a change of one entry; an entry that is removed leaves the whole list.
    pub fn change(&self, name: &str, entry: String, is_removed: bool) {
        let mut state = self.state.lock().unwrap();
        state.seq += 1;
        state.entries.retain(|(known, _)| known != name);
        if !is_removed {
            state.entries.push((name.to_owned(), entry.clone()));
        }
        let seq = state.seq;
        let line = format!(r#"{{"seq":{seq},"whole":false,"hosts":[{entry}]}}"#);
        state.changes.push((seq, line));
        drop(state);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Some(message) = read_message(&mut reader) {
            let call = (Instant::now(), message.target.clone());
            self.calls.lock().unwrap().push(call);
            thread::sleep(Duration::from_millis(self.delay_ms.load(Ordering::Relaxed)));
            let from = message
                .target
                .split(['?', '&'])
                .find_map(|word| word.strip_prefix("from="))
                .and_then(|text| text.parse::<u64>().ok());
            let Some(from) = from.filter(|_| message.target.contains("watch=1")) else {
                let list = self.list();
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
                if stream.write_all((head + &list).as_bytes()).is_err() {
                    return;
                }
                continue;
            };
            self.watch(&mut stream, from);
            return;
        }
    }

    fn watch(&self, stream: &mut TcpStream, mut from: u64) {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        // The changes up to FIRST_SEQ are not kept, so an older version gets the whole list.
        if from < FIRST_SEQ {
            let seq = self.state.lock().unwrap().seq;
            let text = self.list() + "\n";
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return;
            }
            from = seq;
        }
        loop {
            let mut state = self.state.lock().unwrap();
            if state.seq <= from {
                let wait = Duration::from_secs(2);
                state = self.changed.wait_timeout(state, wait).unwrap().0;
            }
            let mut text = String::new();
            let told = from;
            for (seq, line) in state.changes.iter().filter(|(seq, _)| *seq > told) {
                text.push_str(line);
                text.push('\n');
                from = from.max(*seq);
            }
            drop(state);
            if text.is_empty() {
                text.push('\n');
            }
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return;
            }
        }
    }
}
