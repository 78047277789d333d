//! Case 3: bad clients send much at once and go. No attempt of their requests may begin more than 0.1 s after the close.

#[path = "../common.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const BACKENDS: usize = 9;
const GATEWAYS: usize = 2;
/// Requests a second of the usual clients, at all gateways together.
const RATE: f64 = 60.0;
/// Usual clients' connections at each gateway.
const CLIENTS: usize = 30;
const RUN: Duration = Duration::from_secs(30);
/// A bad client comes this often, from second 3 on.
const BAD_EVERY: Duration = Duration::from_millis(500);
/// What a bad client sends behind its request.
const BEHIND: usize = 3_000_000;
/// The share of answers that come spoilt.
const SPOILT: f64 = 0.3;
/// How long after the close an attempt may begin: 0.1 s, and 50 ms as every limit on sockets.
const MOST_AFTER_CLOSE: Duration = Duration::from_millis(150);

struct World {
    record: Record,
    trouble: bool,
    stopped: AtomicBool,
    next_id: AtomicU64,
    counts: Mutex<HashMap<String, u64>>,
    /// When each bad client closed its connection.
    closed: Mutex<HashMap<String, Instant>>,
    /// When a backend had an attempt of each request.
    attempts: Mutex<Vec<(String, Instant)>>,
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
        trouble,
        stopped: AtomicBool::new(false),
        next_id: AtomicU64::new(unix_ms() as u64 * 100_000),
        counts: Mutex::default(),
        closed: Mutex::default(),
        attempts: Mutex::default(),
    });
    record.say(&format!("trouble: {trouble}"));
    let deployment = Deployment {
        gateways: GATEWAYS,
        memory_mb: 64,
        sockets: 640,
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
        for number in 0..CLIENTS {
            let (world, address) = (world.clone(), gateway.address);
            threads.push(std::thread::spawn(move || {
                run_client(&world, address, number)
            }));
        }
    }
    std::thread::sleep(Duration::from_secs(3));
    let mut number = 0;
    while record.elapsed() < RUN {
        if trouble {
            let address = gateways[number % GATEWAYS].address;
            if send_much_and_go(&world, address, number).is_err() {
                record.line(&format!("bad client {number} could not connect"));
            }
            number += 1;
        }
        std::thread::sleep(BAD_EVERY);
    }
    std::thread::sleep(Duration::from_secs(3));
    world.stopped.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let mut late = 0;
    let closed = world.closed.lock().unwrap();
    for (id, at) in world.attempts.lock().unwrap().iter() {
        let Some(after) = closed
            .get(id)
            .map(|closed| at.saturating_duration_since(*closed))
        else {
            continue;
        };
        if after > MOST_AFTER_CLOSE {
            late += 1;
            record.say(&format!(
                "BROKEN: an attempt of {id} began {after:.0?} after its client had closed"
            ));
        }
    }
    let mut counts: Vec<(String, u64)> = world.counts.lock().unwrap().clone().into_iter().collect();
    counts.sort();
    for (what, count) in &counts {
        record.say(&format!("{what}: {count}"));
    }
    record.say(&format!(
        "bad clients: {}, attempts begun too late: {late}",
        closed.len()
    ));
    if !counts
        .iter()
        .any(|(what, count)| what == "usual client: 200" && *count > 300)
    {
        record.say("too few requests were served");
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(late > 0))
}

fn start_backend(world: &Arc<World>, number: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a backend");
    let address = listener.local_addr().unwrap();
    let world = world.clone();
    std::thread::spawn(move || {
        for (count, stream) in listener.incoming().flatten().enumerate() {
            let world = world.clone();
            let random = Random::new((number * 100_000 + count) as u64 ^ unix_ms() as u64);
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
        world
            .attempts
            .lock()
            .unwrap()
            .push((id.clone(), Instant::now()));
        world.record.line(&format!("backend {number} has {id}"));
        std::thread::sleep(Duration::from_secs_f64(random.between(0.17, 0.31)));
        if world.trouble && random.fraction() < SPOILT {
            // Spoilt: noise in place of an answer. The connection is of no further use and stays open.
            world
                .record
                .line(&format!("backend {number} answers {id} with noise"));
            stream
                .write_all(b"\x07\x11 no answer \x00\xff\r\n\r\n")
                .ok()?;
            std::thread::sleep(Duration::from_secs(30));
            return None;
        }
        let body = format!("{{\"answer_to\":\"{id}\"}}");
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .ok()?;
    }
}

/// A bad client: a whole request, much behind it in the same moment, and a close.
fn send_much_and_go(world: &World, address: SocketAddr, number: usize) -> std::io::Result<()> {
    let id = format!("{:016x}", world.next_id.fetch_add(1, Ordering::Relaxed));
    let request = ClientRequest {
        id: id.clone(),
        class: "availability",
        plan: "fflyd",
        customer: 9000 + number as u64,
        timeout: 6.0,
        spread: GATEWAYS,
        body: 0,
    };
    let mut bytes = request.bytes();
    bytes.resize(bytes.len() + BEHIND, b'\n');
    let mut stream = TcpStream::connect(address)?;
    // What the system does not take at once is left out: the client goes.
    stream.set_nonblocking(true)?;
    let mut sent = 0;
    while sent < bytes.len() {
        match stream.write(&bytes[sent..]) {
            Ok(count) => sent += count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            Err(error) => return Err(error),
        }
    }
    drop(stream);
    world
        .closed
        .lock()
        .unwrap()
        .insert(id.clone(), Instant::now());
    world.record.line(&format!(
        "bad client {number} sent {sent} bytes beginning with {id} and closed"
    ));
    Ok(())
}

fn run_client(world: &World, address: SocketAddr, number: usize) {
    let mut random = Random::new(number as u64 + u64::from(address.port()));
    let mut connection: Option<BufReader<TcpStream>> = None;
    let per_client = RATE / (GATEWAYS * CLIENTS) as f64;
    while !world.stopped.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_secs_f64(
            random.exponential(1.0 / per_client - 0.25),
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
        let answer = ask(&mut connection, address, &request);
        let outcome = answer
            .as_ref()
            .map_or("no answer".to_owned(), |answer| answer.status().to_string());
        world
            .record
            .line(&format!("usual client sent {id} {class} and got {outcome}"));
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
