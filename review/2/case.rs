//! Case 2: hundreds of bad clients stop in the middle of a request and stay. The gateway answers them in time, but what
//! it holds of their bodies must not take it over its memory limit, at which the platform kills it.

#[path = "../common.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const BACKENDS: usize = 9;
const GATEWAYS: usize = 2;
/// Requests a second of the usual clients, at all gateways together.
const RATE: f64 = 100.0;
/// Usual clients' connections at each gateway.
const CLIENTS: usize = 40;
/// The limits of a gateway.
const MEMORY_MB: usize = 32;
const SOCKETS: usize = 768;
/// The bad clients come to the first gateway.
const BAD_CLIENTS: usize = 360;
const BAD_FROM: Duration = Duration::from_secs(5);
/// How many bytes of their requests they keep back.
const KEPT_BACK: usize = 1;
/// The length of a header of no meaning in their requests.
const PADDING: usize = 30_000;
const BODY: usize = 64 * 1024;
const RUN: Duration = Duration::from_secs(20);

struct World {
    record: Record,
    stopped: AtomicBool,
    next_id: AtomicU64,
    counts: Mutex<HashMap<String, u64>>,
    killed: AtomicU32,
}

impl World {
    fn count(&self, what: &str) {
        *self
            .counts
            .lock()
            .unwrap()
            .entry(what.to_owned())
            .or_default() += 1;
    }
}

fn main() -> ExitCode {
    end_in_time();
    let record = Record::create(&case_folder().join("record.txt"));
    let trouble = has_trouble();
    let world = Arc::new(World {
        record: record.clone(),
        stopped: AtomicBool::new(false),
        next_id: AtomicU64::new(unix_ms() as u64 * 100_000),
        counts: Mutex::default(),
        killed: AtomicU32::new(0),
    });
    record.say(&format!("trouble: {trouble}"));
    let deployment = Deployment {
        gateways: GATEWAYS,
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
    };
    let mut catalog = Catalog::default();
    for number in 0..BACKENDS {
        catalog.change(Host {
            name: format!("s-{number:08x}"),
            dial: start_backend(&world, number),
            site: ["hall-a", "hall-b"][number % 2],
            block: (number % 2) as u32 + 1,
            health: "up",
            born_ms: 0,
        });
    }
    let known = catalog.whole();
    let discovery = start_discovery(Arc::new(Mutex::new(catalog)));
    let mut gateways = Vec::new();
    for me in 0..GATEWAYS {
        let Some(gateway) = start_gateway(&deployment, me, me % 2, discovery, &known) else {
            record.say("a gateway did not become ready");
            return ExitCode::from(2);
        };
        gateways.push(gateway);
    }
    let mut threads = Vec::new();
    for gateway in &gateways {
        let (platform, name, pid) = (world.clone(), gateway.name.clone(), gateway.child.id());
        threads.push(std::thread::spawn(move || {
            watch_memory(&platform, &name, pid)
        }));
        for number in 0..CLIENTS {
            let (world, address) = (world.clone(), gateway.address);
            threads.push(std::thread::spawn(move || {
                run_client(&world, address, number)
            }));
        }
    }
    std::thread::sleep(BAD_FROM);
    if trouble {
        record.say(&format!("{BAD_CLIENTS} bad clients come"));
        for number in 0..BAD_CLIENTS {
            let (world, address) = (world.clone(), gateways[0].address);
            threads.push(std::thread::spawn(move || {
                stop_in_the_middle(&world, address, number);
            }));
        }
    }
    std::thread::sleep(RUN.saturating_sub(record.elapsed()));
    world.stopped.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let mut crashed = world.killed.load(Ordering::Relaxed);
    for gateway in &mut gateways {
        if let Ok(Some(status)) = gateway.child.try_wait() {
            record.say(&format!("gateway {} has ended: {status}", gateway.name));
            crashed = crashed.max(1);
        }
    }
    let mut counts: Vec<(String, u64)> = world.counts.lock().unwrap().clone().into_iter().collect();
    counts.sort();
    for (what, count) in &counts {
        record.say(&format!("{what}: {count}"));
    }
    if !counts
        .iter()
        .any(|(what, count)| what == "usual client: 200" && *count > 300)
    {
        record.say("too few requests were served");
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(crashed > 0))
}

/// The platform: it looks at the memory of a gateway (anonymous pages alone, not the program's file) and kills the
/// gateway over its limit.
fn watch_memory(world: &World, name: &str, pid: u32) {
    let mut highest = 0;
    while !world.stopped.load(Ordering::Relaxed) {
        let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let kib = text
            .lines()
            .find_map(|line| {
                line.strip_prefix("RssAnon:")?
                    .split_whitespace()
                    .next()?
                    .parse::<usize>()
                    .ok()
            })
            .unwrap_or(0);
        if kib > highest + 1024 {
            highest = kib;
            world
                .record
                .line(&format!("gateway {name} holds {kib} KiB"));
        }
        if kib > MEMORY_MB * 1024 {
            world.record.say(&format!(
                "BROKEN: gateway {name} holds {kib} KiB, its limit is {MEMORY_MB} MB: killed"
            ));
            world.killed.fetch_add(1, Ordering::Relaxed);
            kill_process(pid);
            return;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    world
        .record
        .say(&format!("gateway {name} held at most {highest} KiB"));
}

fn start_backend(world: &Arc<World>, number: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a backend");
    let address = listener.local_addr().unwrap();
    let world = world.clone();
    std::thread::spawn(move || {
        for (count, stream) in listener.incoming().flatten().enumerate() {
            let world = world.clone();
            let random = Random::new((number * 100_000 + count) as u64);
            std::thread::spawn(move || serve(&world, number, stream, random));
        }
    });
    address
}

fn serve(world: &World, number: usize, mut stream: TcpStream, mut random: Random) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let request = read_message(&mut reader).ok()??;
        let id = request.header("request-id").to_owned();
        std::thread::sleep(Duration::from_secs_f64(random.between(0.12, 0.25)));
        world.record.line(&format!("backend {number} ran {id}"));
        let body = format!("{{\"answer_to\":\"{id}\"}}");
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .ok()?;
    }
}

/// A bad client: it sends all of its request but the last byte, waits for its error and reads it.
fn stop_in_the_middle(world: &World, address: SocketAddr, number: usize) -> Option<()> {
    let started = Instant::now();
    let mut stream = TcpStream::connect(address).ok()?;
    let request = ClientRequest {
        id: format!("bad{number:013x}"),
        class: "confirm-booking",
        plan: "fflyd",
        customer: 9000 + number as u64,
        timeout: 4.0,
        spread: GATEWAYS,
        body: BODY,
    };
    let mut bytes = request.bytes();
    let padding = format!("X-Padding: {}\r\n", "y".repeat(PADDING));
    let second_line = bytes
        .iter()
        .position(|byte| *byte == b'\n')
        .map_or(0, |index| index + 1);
    bytes.splice(second_line..second_line, padding.into_bytes());
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let _ = stream.write_all(&bytes[..bytes.len() - KEPT_BACK]);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let line = String::from_utf8_lossy(&answer)
        .lines()
        .next()
        .unwrap_or("closed")
        .to_owned();
    world.count(&format!("bad client: {line}"));
    world.record.line(&format!(
        "bad client {number}: {line} after {:.0?}",
        started.elapsed()
    ));
    Some(())
}

fn run_client(world: &World, address: SocketAddr, number: usize) {
    let mut random = Random::new(number as u64 + u64::from(address.port()));
    let mut connection: Option<BufReader<TcpStream>> = None;
    let per_client = RATE / (GATEWAYS * CLIENTS) as f64;
    while !world.stopped.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_secs_f64(
            random.exponential(1.0 / per_client - 0.2),
        ));
        let id = format!("{:016x}", world.next_id.fetch_add(1, Ordering::Relaxed));
        let (class, timeout) = match random.fraction() {
            share if share < 0.60 => ("availability", 6.0),
            share if share < 0.87 => ("hold-slot", 3.0),
            _ => ("confirm-booking", 4.0),
        };
        let request = ClientRequest {
            id: id.clone(),
            class,
            plan: "fflyd",
            customer: 3000 + random.below(40) as u64,
            timeout,
            spread: GATEWAYS,
            body: 60,
        };
        world.record.line(&format!("client sends {id} {class}"));
        let answer = ask(&mut connection, address, &request);
        let outcome = match &answer {
            Some(answer) => answer.status().to_string(),
            None => "no answer, the connection ended".to_owned(),
        };
        world
            .record
            .line(&format!("client gets for {id}: {outcome}"));
        world.count(&format!("usual client: {outcome}"));
        if answer.is_none() {
            connection = None;
        }
    }
}

fn ask(
    connection: &mut Option<BufReader<TcpStream>>,
    address: SocketAddr,
    request: &ClientRequest,
) -> Option<Message> {
    if connection.is_none() {
        let stream = TcpStream::connect(address).ok()?;
        let _ = stream.set_nodelay(true);
        *connection = Some(BufReader::new(stream));
    }
    let reader = connection.as_mut()?;
    let _ = reader
        .get_ref()
        .set_read_timeout(Some(Duration::from_secs_f64(request.timeout + 0.6)));
    reader.get_mut().write_all(&request.bytes()).ok()?;
    read_message(reader).ok()?
}
