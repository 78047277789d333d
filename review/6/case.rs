//! Bad clients stop in the middle of requests and stay. Usual clients send requests on kept connections. A request that
//! a usual client has written whole, and that the gateway has read, has to get an answer.

#[path = "../common-2.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const LIMITS: Limits = Limits {
    memory_mb: 192,
    sockets: 1024,
};
const USUAL_CLIENTS: usize = 32;
const BAD_CLIENTS: usize = 500;
/// When bad clients come, and when all is over, in milliseconds.
const BAD_FROM: f64 = 6_000.0;
const END: f64 = 36_000.0;
/// Lengths of the bodies of usual clients, and the share of the long ones; a body may hold 64 KiB.
const SHORT_BODY: usize = 300;
const LONG_BODY: usize = 5_000;
const LONG_SHARE: f64 = 0.15;
/// How long a bad client that was turned away stays away, in seconds.
const BAD_PAUSE: f64 = 1.0;
/// What a bad client says its body holds, and what it sends of it.
const BAD_BODY: usize = 64 * 1024;
const BAD_SENT: usize = 60_000;

#[derive(Default)]
struct Counts {
    of: Mutex<HashMap<String, usize>>,
    /// Requests that were read and whose connection ended without an answer.
    lost: Mutex<Vec<String>>,
}

impl Counts {
    fn add(&self, what: &str) {
        *self.of.lock().unwrap().entry(what.to_owned()).or_default() += 1;
    }
}

fn main() {
    let case = Case::begin();
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let work = |backend: &Backend, stream: &mut TcpStream, message: &Message| {
        let millis = 120.0 + 100.0 * Random::new(backend.case.now().to_bits()).draw();
        thread::sleep(Duration::from_secs_f64(millis / 1000.0));
        backend.answer(stream, message, 200)
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
    let counts = Arc::new(Counts::default());
    thread::sleep(Duration::from_secs(1));

    let mut clients = Vec::new();
    for number in 0..USUAL_CLIENTS {
        let (case, counts) = (case.clone(), counts.clone());
        clients.push(spawn(move || usual_client(&case, address, number, &counts)));
    }
    if case.trouble {
        while case.now() < BAD_FROM {
            thread::sleep(Duration::from_millis(20));
        }
        case.note(&format!("{BAD_CLIENTS} bad clients come"));
        for number in 0..BAD_CLIENTS {
            let (case, counts) = (case.clone(), counts.clone());
            clients.push(spawn(move || bad_client(&case, address, number, &counts)));
        }
    }
    for client in clients {
        let _ = client.join();
    }
    if gateways.iter_mut().any(Gateway::has_ended) {
        case.finish(BROKEN, "a gateway has ended");
    }
    let arrivals: Vec<Arrival> = arrivals.lock().unwrap().clone();
    case.note(&format!("{} requests came to backends", arrivals.len()));
    let mut lines: Vec<(String, usize)> = counts.of.lock().unwrap().clone().into_iter().collect();
    lines.sort();
    for (what, count) in &lines {
        case.note(&format!("{count} {what}"));
    }
    let lost = counts.lost.lock().unwrap().clone();
    for id in &lost {
        let runs = arrivals.iter().filter(|arrival| &arrival.id == id).count();
        case.note(&format!(
            "lost {id}, later sent once more with this id, came to backends {runs} times"
        ));
    }
    let served: usize = lines
        .iter()
        .filter(|(what, _)| what == "usual: answer 200")
        .map(|(_, count)| count)
        .sum();
    if served < 500 {
        case.finish(
            COULD_NOT_RUN,
            &format!("only {served} requests were served"),
        );
    }
    if lost.is_empty() {
        case.finish(
            HELD,
            &format!("{served} served, no request was read and dropped"),
        );
    }
    let verdict = format!(
        "{} requests of usual clients were read and got no answer; {served} were served",
        lost.len()
    );
    case.finish(BROKEN, &verdict);
}

/// A usual client: one request at a time on a kept connection, each of another customer.
fn usual_client(case: &Case, address: std::net::SocketAddr, number: usize, counts: &Counts) {
    let mut random = Random::new(number as u64);
    let mut kept: Option<TcpStream> = None;
    let mut customer = 1000 * number as u64;
    while case.now() < END {
        customer += 1;
        let draw = random.draw();
        let (class, timeout_s) = if draw < 0.4 {
            ("availability", 6.0)
        } else if draw < 0.8 {
            ("hold-slot", 3.0)
        } else {
            ("confirm-booking", 4.0)
        };
        let id = case.new_id();
        let request = Ask {
            id: &id,
            class,
            plan: "fflyd",
            customer: customer % 5000,
            timeout_s,
            spread: 2,
            body: if random.draw() < LONG_SHARE {
                LONG_BODY
            } else {
                SHORT_BODY
            },
        }
        .bytes();
        if let Some(stream) = kept.take() {
            if is_open(&stream) {
                kept = Some(stream);
            } else {
                counts.add("usual: resting connection ended by the gateway");
            }
        }
        let sent_at = case.now();
        match exchange(kept.take(), address, &request, timeout_s) {
            Exchange::Answered(stream, answer) => {
                counts.add(&format!("usual: answer {}", answer.status));
                if answer.status == 200 && !answer.body.starts_with(id.as_bytes()) {
                    case.note(&format!("{id}: foreign answer"));
                }
                case.note(&format!(
                    "{id} {class} sent at {sent_at:.3}: {}",
                    answer.status
                ));
                if !answer.closes {
                    kept = Some(stream);
                }
            }
            Exchange::Lost => {
                counts.lost.lock().unwrap().push(id.clone());
                counts.add("usual: LOST (read, connection ended in order, no answer)");
                case.note(&format!("{id} {class} sent whole at {sent_at:.3} on a kept connection: read, no answer, connection ended"));
                repeat(case, address, &request, &id, timeout_s, counts);
            }
            Exchange::Crossed => {
                counts.add("usual: connection reset over unread bytes, not counted");
                case.note(&format!("{id} {class} sent at {sent_at:.3}: reset"));
                repeat(case, address, &request, &id, timeout_s, counts);
            }
            Exchange::Failed(why) => {
                counts.add(&format!("usual: {why}, not counted"));
                case.note(&format!("{id} {class} sent at {sent_at:.3}: {why}"));
            }
        }
        let pause = 0.02 + 0.04 * random.draw();
        thread::sleep(Duration::from_secs_f64(pause));
    }
}

/// As the protocol page says: the client sends a request that crossed the end of its connection once more, on a new
/// one.
fn repeat(
    case: &Case,
    address: std::net::SocketAddr,
    request: &[u8],
    id: &str,
    timeout_s: f64,
    counts: &Counts,
) {
    match exchange(None, address, request, timeout_s) {
        Exchange::Answered(_, answer) => {
            counts.add(&format!("usual: sent once more, answer {}", answer.status));
            case.note(&format!("{id} sent once more: {}", answer.status));
        }
        _ => counts.add("usual: sent once more, no answer, not counted"),
    }
}

enum Exchange {
    Answered(TcpStream, Answer),
    /// On a kept connection, the whole request was written and read, and the connection ended without an answer.
    Lost,
    /// The connection ended over unread bytes.
    Crossed,
    Failed(&'static str),
}

/// Sends a request and waits for its answer.
///
/// A connection that is closed over unread bytes, or gets bytes after its end, is reset. If the connection ends without
/// an answer and no reset follows, the gateway has read the whole request.
fn exchange(
    kept: Option<TcpStream>,
    address: std::net::SocketAddr,
    request: &[u8],
    timeout_s: f64,
) -> Exchange {
    let is_kept = kept.is_some();
    let Some(mut stream) = kept.or_else(|| TcpStream::connect(address).ok()) else {
        return Exchange::Failed("no connection");
    };
    let _ = stream.set_nodelay(true);
    let patience = Duration::from_secs_f64(timeout_s + 2.0);
    let _ = stream.set_read_timeout(Some(patience));
    if stream.write_all(request).is_err() {
        return Exchange::Crossed;
    }
    match read_answer(&mut stream) {
        Ended::Answer(answer) => Exchange::Answered(stream, answer),
        Ended::EndOfStream => {
            thread::sleep(Duration::from_millis(300));
            let was_reset = !matches!(stream.take_error(), Ok(None));
            match (was_reset, is_kept) {
                (true, _) => Exchange::Crossed,
                (false, true) => Exchange::Lost,
                (false, false) => {
                    Exchange::Failed("first request of a connection ended without an answer")
                }
            }
        }
        Ended::Reset => Exchange::Crossed,
        Ended::Cut => Exchange::Failed("answer cut"),
        Ended::Nothing => Exchange::Failed("no answer in time"),
    }
}

/// Whether nothing says that a resting connection has ended.
fn is_open(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0; 1]);
    let _ = stream.set_nonblocking(false);
    matches!(peeked, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
}

/// A bad client: stops in the middle of its request and stays, until it gets its error or close; then the same again.
fn bad_client(case: &Case, address: std::net::SocketAddr, number: usize, counts: &Counts) {
    let mut random = Random::new(1_000 + number as u64);
    while case.now() < END {
        let id = case.new_id();
        let request = Ask {
            id: &id,
            class: "hold-slot",
            plan: "fflyd",
            customer: 100_000 + number as u64,
            timeout_s: 3.0,
            spread: 2,
            body: BAD_BODY,
        }
        .bytes();
        let part = request.len() - (BAD_BODY - BAD_SENT);
        let Ok(mut stream) = TcpStream::connect(address) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
        let connected_at = case.now();
        let end = match stream.write_all(&request[..part]) {
            Ok(()) => read_answer(&mut stream),
            Err(_) => Ended::Reset,
        };
        let what = match end {
            Ended::Answer(answer) => format!("bad: error {}", answer.status),
            Ended::Nothing => "bad: neither error nor close within 4 s".to_owned(),
            _ => "bad: close".to_owned(),
        };
        counts.add(&what);
        let took = case.now() - connected_at;
        if took > 3000.0 {
            counts.add("bad: later than 3 s");
        }
        let pause = BAD_PAUSE * (0.8 + 0.4 * random.draw());
        thread::sleep(Duration::from_secs_f64(pause));
    }
}
