//! What the stand-ins of all cases share: a discovery agent, backends' and clients' HTTP, the gateways' processes and
//! the record. Standard library only.

#![allow(dead_code)]

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Sends a signal to a process that this program started.
pub fn signal(child: &Child, number: i32) {
    // SAFETY: `kill` takes two integers and touches no memory.
    unsafe {
        kill(child.id() as i32, number);
    }
}

/// Ends this program and all that it started if it has not ended by itself in time. A script may run for 120 s.
pub fn end_in_time() {
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(117));
        // SAFETY: as above. The script starts this program as the leader of a process group of its own.
        unsafe {
            kill(0, 9);
        }
    });
}

/// Kills a process that this program started.
pub fn kill_process(pid: u32) {
    // SAFETY: as above.
    unsafe {
        kill(pid as i32, 9);
    }
}

/// Whether the disruption is to be played; `TROUBLE=0` turns it off.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A number generator (xorshift) for the stand-ins' choices.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A number from 0 to below 1.
    pub fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.fraction()
    }

    pub fn below(&mut self, limit: usize) -> usize {
        (self.fraction() * limit as f64) as usize
    }

    /// An exponentially distributed number with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.fraction()).ln()
    }
}

/// The record of a run: lines with the milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        Record {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path).expect("record.txt"))),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64() * 1000.0;
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:10.1} {text}");
    }

    /// A line that is printed as well.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }
}

/// A free port on a loopback address.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address")
}

pub fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis())
}

// ---- Discovery ------------------------------------------------------------------------------------

/// An entry of the list of backends.
#[derive(Clone, Debug)]
pub struct Host {
    pub name: String,
    pub dial: SocketAddr,
    pub site: &'static str,
    pub block: u32,
    pub health: &'static str,
    pub born_ms: u128,
}

impl Host {
    fn json(&self) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"{}","class":"std-4","block":{},"health":"{}","share":1.0,"born_ms":{}}}"#,
            self.name, self.dial, self.site, self.block, self.health, self.born_ms
        )
    }
}

/// The list of the discovery agent and its changes.
#[derive(Default)]
pub struct Catalog {
    /// The entries by name, each with the version that changed it last.
    hosts: Vec<(u64, Host)>,
    version: u64,
}

impl Catalog {
    pub fn change(&mut self, host: Host) {
        self.version += 1;
        let version = self.version;
        self.hosts.retain(|(_, known)| known.name != host.name);
        self.hosts.push((version, host));
    }

    fn render(&self, from: Option<u64>) -> String {
        let entries: Vec<String> = self
            .hosts
            .iter()
            .filter(|(version, host)| match from {
                Some(from) => *version > from,
                None => host.health != "removed",
            })
            .map(|(_, host)| host.json())
            .collect();
        format!(
            r#"{{"seq":{},"whole":{},"hosts":[{}]}}"#,
            self.version,
            from.is_none(),
            entries.join(",")
        )
    }

    pub fn whole(&self) -> String {
        self.render(None)
    }
}

/// Starts a discovery agent: it serves the list and watches of it.
pub fn start_discovery(catalog: Arc<Mutex<Catalog>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("discovery");
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let catalog = catalog.clone();
            std::thread::spawn(move || serve_discovery(stream, &catalog));
        }
    });
    address
}

fn serve_discovery(stream: TcpStream, catalog: &Mutex<Catalog>) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut stream = stream;
    loop {
        let request = read_message(&mut reader).ok()??;
        let path = request.first.split(' ').nth(1)?.to_owned();
        let from = path
            .split_once("from=")
            .and_then(|(_, number)| number.split('&').next()?.parse::<u64>().ok());
        let Some(mut from) = from.filter(|_| path.contains("watch=1")) else {
            let body = catalog.lock().unwrap().whole();
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
            .ok()?;
            continue;
        };
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let mut first = true;
        let mut told = Instant::now();
        loop {
            let object = {
                let catalog = catalog.lock().unwrap();
                let news = first || catalog.version != from;
                let object = news.then(|| catalog.render(Some(from)));
                from = catalog.version;
                object
            };
            first = false;
            let line = match object {
                Some(object) => object + "\n",
                None if told.elapsed() >= Duration::from_secs(2) => "\n".to_owned(),
                None => {
                    std::thread::sleep(Duration::from_millis(10));
                    continue;
                }
            };
            write!(stream, "{:x}\r\n{line}\r\n", line.len()).ok()?;
            told = Instant::now();
        }
    }
}

// ---- HTTP -----------------------------------------------------------------------------------------

/// A request or an answer.
#[derive(Clone, Debug)]
pub struct Message {
    /// The first line.
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1).unwrap_or("");
        word.parse().unwrap_or(0)
    }
}

/// Reads a message; `None` at the end of the stream before its first byte.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers
        .get("content-length")
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Message {
        first: first.trim_end().to_owned(),
        headers,
        body,
    }))
}

// ---- Gateways -------------------------------------------------------------------------------------

/// The figures of a deployment that the cases vary.
#[derive(Clone)]
pub struct Deployment {
    pub gateways: usize,
    pub memory_mb: usize,
    pub sockets: usize,
}

/// The settings of the deployment `symud-booking`, as the settings page of the wire shows them.
pub fn settings(deployment: &Deployment, me: usize, zone: usize) -> String {
    format!(
        r#"{{"charges":{{"connection":0.0,"cross_zone":0.01,"handshake":0.0,"late_fail":0.05,"probe":0.01,"waste":0.05}},
"client_habits":{{"marks_retry":true}},"domain_type":"gate",
"extra":{{"call_price":0.01,"cost_after":false,"count_limit":80.0,"has_counter":true,"max_units":1,"meter":500.0,"peer_intake":0.0}},
"flavors":["std-4"],"fleet_size":{},"goal":{{"whole":0.5,"worst_class":0.1,"worst_tenant":0.15,"worst_window":0.25}},
"grades":[
{{"aim":2500.0,"credit":1.0,"give_up":6000.0,"group":"all","idempotency":"safe","late_worth":0.0,"memory_span":5000.0,"name":"availability","streaming":false}},
{{"aim":1200.0,"credit":3.0,"give_up":3000.0,"group":"cell","idempotency":"keyed","late_worth":0.0,"memory_span":2000.0,"name":"hold-slot","streaming":false}},
{{"aim":1200.0,"credit":5.0,"give_up":4000.0,"group":"all","idempotency":"unsafe","late_worth":0.0,"memory_span":5000.0,"name":"confirm-booking","streaming":false}}],
"me":{me},"my_zone":{zone},
"plans":[
{{"cap_rate":0.0,"excess_worth":0.0,"hard_slack":0.0,"max_out":0,"name":"sengl","never_over_depth":0.0,"over_cost":0.5,"pays":0.8,"peak_units":3.0,"per_second":0.67}},
{{"cap_rate":0.0,"excess_worth":0.2,"hard_slack":0.0,"max_out":2,"name":"depot","never_over_depth":0.0,"over_cost":0.0,"pays":1.2,"peak_units":9.0,"per_second":2.7}},
{{"cap_rate":17.0,"excess_worth":0.0,"hard_slack":4.0,"max_out":0,"name":"fflyd","never_over_depth":35.0,"over_cost":0.5,"pays":1.4,"peak_units":19.0,"per_second":9.5}}],
"policy_limits":{{"cancel":true,"cpu_us_per_request":0.0,"cpu_us_per_s":667780,"dial_timeout":250.0,"idle_close":30000.0,"max_open":26711,"max_retry_after":2000.0,"peers":false,"probes":true,"retry_after":true,"second_copies":true,"send_cap":5,"streams_per_conn":32}},
"registry_mode":"pushed","report":{{"names":["load_share","concurrent"],"via":"on_probe"}},
"rules":{{"answer_slack":16.0,"ask_within":10000.0,"fall":2000.0,"overload_factor":2.0,"start_capacity":0.19,"stop_sending_within":250.0,"warm_up":16000.0}},
"stages":["booking-fleet"],"tick":4.0,"tier":0,"weights":"nominal","zones":["hall-a","hall-b"]}}"#,
        deployment.gateways
    )
}

/// A gateway that this program has started.
pub struct Gateway {
    pub name: String,
    pub address: SocketAddr,
    pub child: Child,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The root of the checkout, which the scripts pass as the first argument.
pub fn root() -> PathBuf {
    PathBuf::from(std::env::args().nth(1).expect("the root of the checkout"))
}

/// The folder of the case, the second argument.
pub fn case_folder() -> PathBuf {
    PathBuf::from(std::env::args().nth(2).expect("the folder of the case"))
}

/// The folder for files of the run, the third argument.
pub fn temporary_folder() -> PathBuf {
    PathBuf::from(std::env::args().nth(3).expect("a temporary folder"))
}

/// The command of this name in the deploy file.
fn deploy_command(name: &str) -> Option<String> {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).ok()?;
    text.lines().find_map(|line| {
        let (key, value) = line.split_once('=')?;
        let value = value.split(" #").next()?.trim().trim_matches('"');
        (key.trim() == name).then(|| value.to_owned())
    })
}

/// Starts gateway number `me` in zone `zone` and waits until it is ready; `None` if it does not become ready.
pub fn start_gateway(
    deployment: &Deployment,
    me: usize,
    zone: usize,
    discovery: SocketAddr,
    known: &str,
) -> Option<Gateway> {
    let address = free_address();
    let name = format!("n{me}");
    let folder = temporary_folder();
    let path = folder.join(format!("{name}.json"));
    let mut text = String::new();
    let _ = write!(
        text,
        r#"{{"name":"{name}","listen":"{address}","discovery":"{discovery}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"counter":"{discovery}","known":{known},"settings":{}}}"#,
        unix_ms() as u64 * 31 + me as u64,
        deployment.memory_mb,
        deployment.sockets,
        settings(deployment, me, zone)
    );
    std::fs::write(&path, text).ok()?;
    let log = File::create(folder.join(format!("{name}.log"))).ok()?;
    let child = Command::new("/bin/sh")
        .arg("-c")
        .arg(deploy_command("run")?)
        .current_dir(root())
        .env("BALANCER_CONFIG", &path)
        .env("BALANCER_NAME", &name)
        .env("BALANCER_LISTEN", address.to_string())
        .env("BALANCER_DISCOVERY", discovery.to_string())
        .env("TMPDIR", &folder)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .ok()?;
    let gateway = Gateway {
        name,
        address,
        child,
    };
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(10) {
        if is_ready(address) {
            return Some(gateway);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    None
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    if write!(
        stream,
        "GET /_health HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n"
    )
    .is_err()
    {
        return false;
    }
    let mut reader = BufReader::new(stream);
    matches!(read_message(&mut reader), Ok(Some(answer)) if answer.status() == 200)
}

// ---- Requests of clients --------------------------------------------------------------------------

/// A request of a client.
#[derive(Clone)]
pub struct ClientRequest {
    pub id: String,
    pub class: &'static str,
    pub plan: &'static str,
    pub customer: u64,
    pub timeout: f64,
    pub spread: usize,
    pub body: usize,
}

impl ClientRequest {
    pub fn bytes(&self) -> Vec<u8> {
        let method = if self.class == "availability" {
            "GET"
        } else {
            "POST"
        };
        let mut text = format!(
            "{method} /{} HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {}\r\nRequest-Class: {}\r\nApi-Plan: {}\r\nCookie: client={:016x}\r\nRequest-Timeout: {:.3}\r\n",
            self.class, self.id, self.class, self.plan, self.customer, self.timeout
        );
        if self.class == "hold-slot" {
            let _ = write!(text, "Idempotency-Key: key{}\r\n", self.id);
        }
        let _ = write!(
            text,
            "Api-Terms: units=1,spread={},first=0\r\n",
            self.spread
        );
        if method == "POST" {
            let _ = write!(text, "Content-Length: {}\r\n", self.body);
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        if method == "POST" {
            bytes.resize(bytes.len() + self.body, b'x');
        }
        bytes
    }
}
