//! Backends give some spoilt answers, which keep coming and never end. The gateway has to stay under its memory limit.

#[path = "../common-2.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const LIMITS: Limits = Limits {
    memory_mb: 32,
    sockets: 1024,
};
/// Requests a second at the gateway.
const RATE: f64 = 250.0;
/// The share of the answers that are spoilt.
const SPOILT: f64 = 0.125;
/// Length of the bodies of requests and of good answers; a body may hold 64 KiB.
const BODY: usize = 60_000;
/// Requests of usual clients hold at most a third of the descriptors.
const MOST_CONNECTIONS: usize = LIMITS.sockets / 3;
const END: f64 = 35_000.0;

#[derive(Default)]
struct Shared {
    counts: Mutex<HashMap<String, usize>>,
    resting: Mutex<Vec<TcpStream>>,
    /// Connections that are open or about to be.
    busy: Mutex<usize>,
    spoilt: Mutex<usize>,
}

impl Shared {
    fn add(&self, what: &str) {
        *self
            .counts
            .lock()
            .unwrap()
            .entry(what.to_owned())
            .or_default() += 1;
    }
}

fn main() {
    let case = Case::begin();
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let shared = Arc::new(Shared::default());
    let counted = shared.clone();
    let work = move |backend: &Backend, stream: &mut TcpStream, message: &Message| {
        let mut random = Random::new(backend.case.now().to_bits());
        if backend.case.trouble && random.draw() < SPOILT {
            *counted.spoilt.lock().unwrap() += 1;
            return spoilt_answer(&mut random, stream);
        }
        let millis = 120.0 + 100.0 * random.draw();
        thread::sleep(Duration::from_secs_f64(millis / 1000.0));
        backend.answer(stream, message, BODY)
    };
    let behavior: Arc<Behavior> = Arc::new(work);
    let backends: Vec<Arc<Backend>> = (0..9)
        .map(|index| Backend::start(&case, index, &arrivals, behavior.clone()))
        .collect();
    let discovery = Discovery::start(&backends);
    let known = discovery.list();
    let mut gateways: Vec<Gateway> = (0..2)
        .map(|me| {
            let settings = settings(2, me, CLASSES, PLANS);
            let name = format!("n{me}");
            Gateway::start(&case, &name, LIMITS, &settings, discovery.address, &known)
        })
        .collect();
    let address = gateways[0].address;
    thread::sleep(Duration::from_secs(1));

    let begun = case.now();
    let mut sent = 0u32;
    let mut peak = 0;
    let limit_kb = LIMITS.memory_mb as u64 * 1024;
    while case.now() < END {
        let due = begun + f64::from(sent) * 1000.0 / RATE;
        let wait = due - case.now();
        if wait > 0.0 {
            thread::sleep(Duration::from_secs_f64(wait / 1000.0));
        }
        sent += 1;
        let (case, shared) = (case.clone(), shared.clone());
        let customer = u64::from(sent) % 800;
        spawn(move || request(&case, &shared, address, customer));
        // The anonymous memory alone, without the pages of the program's file.
        let memory = gateways[0].memory_kb("RssAnon:").unwrap_or(0);
        if memory > peak {
            peak = memory;
            if memory > limit_kb {
                let limit = LIMITS.memory_mb;
                case_note(
                    &gateways[0],
                    &format!("{memory} kB anonymous memory, the limit is {limit} MB"),
                );
            }
        }
        if gateways[0].has_ended() {
            break;
        }
    }
    thread::sleep(Duration::from_secs(3));
    let whole_peak = gateways[0].memory_kb("VmHWM:").unwrap_or(0);
    let ended = gateways.iter_mut().any(Gateway::has_ended);
    let requests = arrivals.lock().unwrap().len();
    let spoilt = *shared.spoilt.lock().unwrap();
    case.note(&format!(
        "{sent} requests sent, {requests} came to backends, {spoilt} answers were spoilt"
    ));
    let mut lines: Vec<(String, usize)> =
        shared.counts.lock().unwrap().clone().into_iter().collect();
    lines.sort();
    for (what, count) in &lines {
        case.note(&format!("{count} {what}"));
    }
    case.note(&format!(
        "peak of anonymous memory {peak} kB, of all resident memory {whole_peak} kB, limit {limit_kb} kB"
    ));
    let served = lines
        .iter()
        .find(|(what, _)| what == "answer 200")
        .map_or(0, |(_, count)| *count);
    let verdict = format!("peak {peak} kB of {limit_kb} kB allowed, {served} served");
    if ended {
        case.finish(BROKEN, "a gateway has ended");
    }
    if peak > limit_kb {
        case.finish(BROKEN, &verdict);
    }
    if served < 1000 || peak == 0 {
        case.finish(COULD_NOT_RUN, &verdict);
    }
    case.finish(HELD, &verdict);
}

fn case_note(gateway: &Gateway, text: &str) {
    gateway.case().note(&format!("{}: {text}", gateway.name));
}

/// An answer that keeps coming and never ends.
fn spoilt_answer(random: &mut Random, stream: &mut TcpStream) -> bool {
    let pause = [0.01, 0.03, 0.06, 0.08, 0.1, 0.15][random.below(6)];
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    let mut chunk = b"8000\r\n".to_vec();
    chunk.resize(6 + 0x8000, b'.');
    chunk.extend_from_slice(b"\r\n");
    while stream.write_all(&chunk).is_ok() {
        thread::sleep(Duration::from_secs_f64(pause));
    }
    false
}

/// One request of a usual client, on a resting connection or on a new one.
fn request(case: &Case, shared: &Shared, address: SocketAddr, customer: u64) {
    let kept = shared.resting.lock().unwrap().pop();
    let is_kept = kept.is_some();
    {
        let mut busy = shared.busy.lock().unwrap();
        if *busy >= MOST_CONNECTIONS {
            shared.add("not sent: a third of the descriptors is in use");
            if let Some(stream) = kept {
                shared.resting.lock().unwrap().push(stream);
            }
            return;
        }
        *busy += 1;
    }
    let outcome = exchange(case, shared, kept, address, customer, is_kept);
    *shared.busy.lock().unwrap() -= 1;
    shared.add(&outcome);
}

fn exchange(
    case: &Case,
    shared: &Shared,
    kept: Option<TcpStream>,
    address: SocketAddr,
    customer: u64,
    is_kept: bool,
) -> String {
    let draw = Random::new(customer ^ case.now().to_bits()).draw();
    let (class, timeout_s) = if draw < 0.6 {
        ("availability", 6.0)
    } else if draw < 0.87 {
        ("hold-slot", 3.0)
    } else {
        ("confirm-booking", 4.0)
    };
    let id = case.new_id();
    let bytes = Ask {
        id: &id,
        class,
        plan: "fflyd",
        customer,
        timeout_s,
        spread: 2,
        body: BODY,
    }
    .bytes();
    let Some(mut stream) = kept.or_else(|| TcpStream::connect(address).ok()) else {
        return "no connection".to_owned();
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs_f64(timeout_s + 2.0)));
    let sent_at = case.now();
    let end = match stream.write_all(&bytes) {
        Ok(()) => read_answer(&mut stream),
        Err(_) => Ended::Reset,
    };
    let outcome = match end {
        Ended::Answer(answer) => {
            if !answer.closes {
                shared.resting.lock().unwrap().push(stream);
            }
            format!("answer {}", answer.status)
        }
        Ended::Nothing => "no answer in time".to_owned(),
        _ if is_kept => "kept connection ended without an answer".to_owned(),
        _ => "new connection ended without an answer".to_owned(),
    };
    case.note(&format!("{id} {class} sent at {sent_at:.3}: {outcome}"));
    outcome
}
