//! The memory that clients and backends make the gateway hold, over loopback sockets. Hundreds of clients send as much as
//! they may, or backends send responses that do not end; the gateway stays under its memory limit, and clients that send
//! sound requests get their responses.

use cometspool_fault_injection::scripted_peers::*;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Memory limit of the gateway, in MiB.
const MEMORY_MB: usize = 32;
/// Limit on the file descriptors of the gateway.
const DESCRIPTOR_LIMIT: u32 = 1024;
/// Clients that come at once.
const CLIENTS: usize = 400;
/// Longest body that a request may have, in bytes.
const LONGEST_BODY: usize = 64 * 1024;
/// Length of a header without meaning that makes a head nearly as long as it may be, in bytes.
const PADDING: usize = 30_000;
/// How long a client may wait for its error or close. Clients are owed it within 3 s of connecting; the rest leaves time
/// for a busy machine.
const MAX_TIME_TO_ERROR: Duration = Duration::from_secs(8);

/// A gateway with a memory limit of [`MEMORY_MB`], and its discovery service.
struct SmallGateway {
    program: GatewayProcess,
    _discovery: TestListener,
}

/// The response to a request, with the open connection.
struct Exchange {
    status: Option<u16>,
    _connection: BufReader<TcpStream>,
}

impl SmallGateway {
    /// Starts the gateway and two backends. Each backend answers all requests with `response_body`, or none of them.
    fn start(response_body: Option<&'static str>) -> SmallGateway {
        SmallGateway::with_memory(MEMORY_MB, response_body)
    }

    /// As [`start`](SmallGateway::start), with a memory limit of `memory_mb`.
    fn with_memory(memory_mb: usize, response_body: Option<&'static str>) -> SmallGateway {
        let discovery = TestListener::new();
        let hosts: Vec<Value> = (0..2)
            .map(|number| {
                let backend = TestListener::new();
                let host = endpoint(&format!("s-{number}"), backend.address(), "up");
                std::thread::spawn(move || run_backend(&backend, response_body));
                host
            })
            .collect();
        SmallGateway::with_hosts(memory_mb, discovery, &hosts)
    }

    /// Starts the gateway with a memory limit of `memory_mb` and these backends.
    fn with_hosts(memory_mb: usize, discovery: TestListener, hosts: &[Value]) -> SmallGateway {
        let program = GatewayProcess::start_with_limits(
            json!({"cores": 1.0, "memory_mb": memory_mb, "sockets": DESCRIPTOR_LIMIT}),
            default_settings(),
            discovery.address(),
            endpoint_list(1, true, hosts),
        );
        SmallGateway {
            program,
            _discovery: discovery,
        }
    }

    /// Sends these bytes on a new connection, waits for the response or the close, and returns the status with the
    /// connection, which stays open.
    fn exchange(&self, bytes: &[u8]) -> Exchange {
        let mut stream = TcpStream::connect(self.program.address).expect("the gateway accepts");
        stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
        // The gateway may answer or close before it has read all.
        let _ = stream.write_all(bytes);
        let mut line = String::new();
        let mut reader = BufReader::new(stream);
        let _ = reader.read_line(&mut line);
        let status = line.split(' ').nth(1).and_then(|code| code.parse().ok());
        Exchange {
            status,
            _connection: reader,
        }
    }

    /// The status with which these bytes are answered on a new connection; `None` if it is closed without a response.
    fn status_of(&self, bytes: &[u8]) -> Option<u16> {
        self.exchange(bytes).status
    }

    /// Runs `clients`, and asserts that the gateway is under its memory limit all the time.
    fn assert_within_memory_limit(&self, clients: impl FnOnce()) {
        let is_done = AtomicBool::new(false);
        let highest = std::thread::scope(|scope| {
            let sampler = scope.spawn(|| self.sample_memory(&is_done));
            clients();
            is_done.store(true, Ordering::Relaxed);
            sampler.join().expect("the process runs")
        });
        assert!(
            highest < MEMORY_MB * 1024,
            "the gateway held {highest} KiB, its limit is {MEMORY_MB} MiB"
        );
    }

    /// The most memory that the gateway held until `is_done`, in KiB.
    fn sample_memory(&self, is_done: &AtomicBool) -> usize {
        let mut highest = 0;
        while !is_done.load(Ordering::Relaxed) {
            highest = highest.max(self.program.resident_kib());
            std::thread::sleep(Duration::from_millis(5));
        }
        highest
    }
}

/// Answers requests on all connections to a backend with this body, or reads them without an answer.
fn run_backend(backend: &TestListener, response_body: Option<&'static str>) {
    for stream in backend.socket.incoming().flatten() {
        std::thread::spawn(move || {
            let mut connection = ScriptedConnection::new(stream);
            let is_open = |connection: &mut ScriptedConnection| {
                let unread = connection.reader.fill_buf();
                unread.is_ok_and(|bytes| !bytes.is_empty())
            };
            while is_open(&mut connection) {
                connection.read();
                if let Some(body) = response_body {
                    connection.respond(200, "", body);
                }
            }
        });
    }
}

/// A request with a body of `body_len` bytes and a header of `padding` bytes without meaning.
fn long_request(id: &str, padding: usize, body_len: usize) -> Vec<u8> {
    let short = request_with(id, "charge", "wide", LONG_TIMEOUT);
    let head = short.replace(
        "Content-Length: 5\r\n\r\nhello",
        &format!(
            "X-Padding: {}\r\nContent-Length: {body_len}\r\n\r\n",
            "y".repeat(padding)
        ),
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + body_len, b'b');
    bytes
}

/// Runs `client` in [`CLIENTS`] threads at once, and returns their results.
fn run_clients<T: Send>(client: impl Fn(usize) -> T + Sync) -> Vec<T> {
    run_many_clients(CLIENTS, client)
}

/// Runs `client` in `count` threads at once, and returns their results.
fn run_many_clients<T: Send>(count: usize, client: impl Fn(usize) -> T + Sync) -> Vec<T> {
    let client = &client;
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..count)
            .map(|number| scope.spawn(move || client(number)))
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("the client"))
            .collect()
    })
}

/// Guards against the memory of all requests that are being read together: hundreds of clients keep back the last byte
/// of a long request. They get an error or a close in time, and sound long requests are served meanwhile.
#[test]
fn stalled_requests_stay_within_the_memory_limit() {
    let gateway = SmallGateway::start(Some("ok"));
    gateway.assert_within_memory_limit(|| {
        std::thread::scope(|scope| {
            let stalled = scope.spawn(|| {
                run_clients(|number| {
                    let started_at = Instant::now();
                    let mut request = long_request(&format!("bad-{number}"), PADDING, LONGEST_BODY);
                    request.pop();
                    let status = gateway.status_of(&request);
                    assert!(
                        status.is_none_or(|status| status >= 400),
                        "answered with {status:?}"
                    );
                    started_at.elapsed()
                })
            });
            for number in 0..10 {
                let request = long_request(&format!("sound-{number}"), 0, LONGEST_BODY);
                assert_eq!(gateway.status_of(&request), Some(200));
            }
            let slowest = stalled.join().expect("the clients").into_iter().max();
            assert!(
                slowest < Some(MAX_TIME_TO_ERROR),
                "the last error came after {slowest:?}"
            );
        });
    });
}

/// Guards against the memory of all requests that await a response together, and of the read buffers of idle
/// connections: hundreds of clients send long requests at once and keep their connections. None is closed unanswered.
#[test]
fn long_requests_at_once_stay_within_the_memory_limit() {
    let gateway = SmallGateway::start(Some("ok"));
    gateway.assert_within_memory_limit(|| {
        let exchanges = run_clients(|number| {
            gateway.exchange(&long_request(&format!("id-{number}"), 0, LONGEST_BODY))
        });
        let statuses: Vec<Option<u16>> = exchanges.iter().map(|exchange| exchange.status).collect();
        for status in &statuses {
            assert!(
                matches!(status, Some(200 | 429 | 503)),
                "answered with {status:?}"
            );
        }
        let served = statuses.iter().filter(|status| **status == Some(200));
        assert!(served.count() > CLIENTS / 2, "{statuses:?}");
    });
}

/// Guards against requests that are held for backends that do not answer: they take no more memory than their share,
/// and a short request is still read and answered.
#[test]
fn requests_at_hung_backends_stay_within_the_memory_limit() {
    let gateway = SmallGateway::start(None);
    gateway.assert_within_memory_limit(|| {
        let _open = run_clients(|number| {
            gateway.exchange(&long_request(
                &format!("id-{number}"),
                PADDING,
                LONGEST_BODY,
            ))
        });
        assert_eq!(gateway.status_of(HEALTH_CHECK.as_bytes()), Some(200));
    });
}

/// Memory limit at which clients with kept connections keep them while others fill the memory for requests, in MiB.
const LARGE_MEMORY_MB: usize = 192;
/// Clients that fill this memory.
const STALLED_CLIENTS: usize = 500;
/// How long a stalled client that was turned away stays away.
const STALLED_PAUSE: Duration = Duration::from_secs(1);
/// Clients with kept connections, each with one request at a time.
const KEPT_CLIENTS: usize = 96;
/// How long these clients and those that stop in the middle of requests go on.
const PRESSURE_TIME: Duration = Duration::from_secs(10);
/// Length of a body that needs a reservation, and fits into the read buffer with its head, in bytes.
const BODY_IN_READ_BUFFER: usize = 5_000;
/// How long after the end of a connection a reset may follow, if the gateway had not read all bytes.
const RESET_WAIT: Duration = Duration::from_millis(300);

/// How the exchange of a request on a kept connection ended.
enum KeptExchange {
    Answered(TcpStream),
    /// The gateway read the request, and closed the connection in order without a response.
    ReadAndDropped,
    /// The connection ended before the gateway had read the request.
    Unread,
}

impl KeptExchange {
    /// Sends a request on a connection on which one has been answered before.
    fn run(mut stream: TcpStream, request: &[u8]) -> KeptExchange {
        if stream.write_all(request).is_err() {
            return KeptExchange::Unread;
        }
        match read_response(&mut stream) {
            Ok(true) => KeptExchange::Answered(stream),
            Ok(false) => {
                std::thread::sleep(RESET_WAIT);
                match stream.take_error() {
                    Ok(None) => KeptExchange::ReadAndDropped,
                    _ => KeptExchange::Unread,
                }
            }
            Err(_) => KeptExchange::Unread,
        }
    }
}

/// Reads a response without a body, or with one that comes with its head. Returns whether there was any.
fn read_response(stream: &mut TcpStream) -> std::io::Result<bool> {
    let mut bytes = [0; 4096];
    Ok(stream.read(&mut bytes)? > 0)
}

/// Sends requests on kept connections for [`PRESSURE_TIME`]. Returns the number of answers, and the ids of the requests
/// that were read and dropped.
fn kept_client(gateway: &SmallGateway, number: usize) -> (usize, Vec<String>) {
    let started_at = Instant::now();
    let mut answers = 0;
    let mut dropped = Vec::new();
    let mut kept = None;
    for round in 0.. {
        if started_at.elapsed() > PRESSURE_TIME {
            break;
        }
        let id = format!("kept-{number}-{round}");
        let request = long_request(&id, 0, BODY_IN_READ_BUFFER);
        kept = match kept {
            None => {
                let mut stream = gateway.program.connect_client().reader.into_inner();
                stream.write_all(&request).ok();
                read_response(&mut stream)
                    .unwrap_or(false)
                    .then_some(stream)
            }
            Some(stream) => match KeptExchange::run(stream, &request) {
                KeptExchange::Answered(stream) => Some(stream),
                KeptExchange::ReadAndDropped => {
                    dropped.push(id);
                    None
                }
                KeptExchange::Unread => None,
            },
        };
        answers += usize::from(kept.is_some());
        std::thread::sleep(Duration::from_millis(20));
    }
    (answers, dropped)
}

/// Stops in the middle of a long request and stays until the error or the close, again and again.
fn stalled_client(gateway: &SmallGateway, number: usize) {
    let started_at = Instant::now();
    for round in 0.. {
        if started_at.elapsed() > PRESSURE_TIME {
            break;
        }
        let mut request = long_request(&format!("bad-{number}-{round}"), 0, LONGEST_BODY);
        request.truncate(LONGEST_BODY);
        gateway.status_of(&request);
        std::thread::sleep(STALLED_PAUSE);
    }
}

/// Guards against connections that are closed for memory although their request has been read and waits for memory
/// itself: sound requests on kept connections, while hundreds of clients that stop in the middle of requests hold the
/// memory for requests.
#[test]
fn a_request_that_was_read_is_not_dropped_for_memory() {
    let gateway = SmallGateway::with_memory(LARGE_MEMORY_MB, Some("ok"));
    std::thread::scope(|scope| {
        scope
            .spawn(|| run_many_clients(STALLED_CLIENTS, |number| stalled_client(&gateway, number)));
        let kept: Vec<_> = (0..KEPT_CLIENTS)
            .map(|number| {
                let gateway = &gateway;
                scope.spawn(move || kept_client(gateway, number))
            })
            .collect();
        for client in kept {
            let (answers, dropped) = client.join().expect("the client");
            assert!(answers > 0, "no request was answered");
            assert!(dropped.is_empty(), "read and dropped: {dropped:?}");
        }
    });
}

/// Clients that send long requests, each one at a time.
const LONG_REQUEST_CLIENTS: usize = 96;
/// How long they go on.
const ENDLESS_TIME: Duration = Duration::from_secs(8);
/// Length of the bodies of these requests and of sound responses, in bytes.
const LONG_BODY: usize = 60_000;
/// One response in so many does not end.
const ENDLESS_EVERY: usize = 8;
/// Length of the chunks of a response that does not end, in bytes.
const ENDLESS_CHUNK: usize = 32 * 1024;
/// Pauses between these chunks, taken in turn, in milliseconds.
const ENDLESS_PAUSES: [u64; 6] = [10, 30, 60, 80, 100, 150];
/// How long a backend takes for a sound response.
const SERVICE_TIME: Duration = Duration::from_millis(120);

/// Answers requests on all connections to a backend with long responses; one in [`ENDLESS_EVERY`] does not end.
fn run_endless_backend(backend: &TestListener) {
    let requests = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for stream in backend.socket.incoming().flatten() {
            scope.spawn(|| {
                let mut connection = ScriptedConnection::new(stream);
                let body = "b".repeat(LONG_BODY);
                while connection
                    .reader
                    .fill_buf()
                    .is_ok_and(|bytes| !bytes.is_empty())
                {
                    connection.read();
                    let number = requests.fetch_add(1, Ordering::Relaxed);
                    if number.is_multiple_of(ENDLESS_EVERY) {
                        return write_endless_response(connection.reader.get_mut(), number);
                    }
                    std::thread::sleep(SERVICE_TIME);
                    connection.respond(200, "", &body);
                }
            });
        }
    });
}

/// Writes chunks until the gateway closes the connection.
fn write_endless_response(stream: &mut TcpStream, number: usize) {
    let pause = ENDLESS_PAUSES[number / ENDLESS_EVERY % ENDLESS_PAUSES.len()];
    let chunk = format!("{ENDLESS_CHUNK:x}\r\n{}\r\n", ".".repeat(ENDLESS_CHUNK));
    let mut written = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    while written.is_ok() {
        written = stream.write_all(chunk.as_bytes());
        std::thread::sleep(Duration::from_millis(pause));
    }
}

/// A gateway with eight backends, of whose responses one in [`ENDLESS_EVERY`] does not end.
fn gateway_with_endless_backends() -> SmallGateway {
    let hosts: Vec<Value> = (0..8)
        .map(|number| {
            let backend = TestListener::new();
            let host = endpoint(&format!("s-{number}"), backend.address(), "up");
            std::thread::spawn(move || run_endless_backend(&backend));
            host
        })
        .collect();
    SmallGateway::with_hosts(MEMORY_MB, TestListener::new(), &hosts)
}

/// Sends long requests one after another for [`ENDLESS_TIME`], and returns how many were served.
fn long_request_client(gateway: &SmallGateway, number: usize) -> usize {
    let started_at = Instant::now();
    let mut served = 0;
    for round in 0.. {
        if started_at.elapsed() > ENDLESS_TIME {
            break;
        }
        let id = format!("id-{number}-{round}");
        served += usize::from(gateway.status_of(&long_request(&id, 0, LONG_BODY)) == Some(200));
    }
    served
}

/// Guards against responses that are read without a reservation, and against the buffers that connections to backends
/// keep: one response in eight goes on without an end, beside long requests and long sound responses.
#[test]
fn responses_that_do_not_end_stay_within_the_memory_limit() {
    let gateway = gateway_with_endless_backends();
    gateway.assert_within_memory_limit(|| {
        let served = run_many_clients(LONG_REQUEST_CLIENTS, |number| {
            long_request_client(&gateway, number)
        });
        let total: usize = served.iter().sum();
        assert!(total > LONG_REQUEST_CLIENTS, "{total} requests were served");
    });
}

/// Clients that send requests under ever new names.
const NAMING_CLIENTS: usize = 60;
/// Requests that such a client sends at once.
const PIPELINE_DEPTH: usize = 8;
/// How often it does.
const PIPELINES: usize = 280;

/// Guards against memory that grows with the customers: each of many requests comes from another one.
#[test]
fn customers_under_new_names_stay_within_the_memory_limit() {
    let gateway = SmallGateway::start(Some("ok"));
    gateway.assert_within_memory_limit(|| {
        run_many_clients(NAMING_CLIENTS, |number| {
            let mut client = gateway.program.connect_client();
            for round in 0..PIPELINES {
                for position in 0..PIPELINE_DEPTH {
                    let customer = (round * NAMING_CLIENTS + number) * PIPELINE_DEPTH + position;
                    client.write(request_of_customer(customer));
                }
                for _ in 0..PIPELINE_DEPTH {
                    client.read();
                }
            }
        });
    });
}

/// A short request of the customer with this number, which is also its id.
fn request_of_customer(number: usize) -> String {
    let id = format!("customer-{number}");
    let request = request_with(&id, "read", "wide", LONG_TIMEOUT);
    request.replace("client=00000000b4d65521", &format!("client={number:016x}"))
}

/// Clients of each bad kind that come at once with the others.
const CLIENTS_OF_A_KIND: usize = 130;
/// Length of the pieces in which a slow client writes, in bytes, and the pause between two.
const SLOW_PIECE: usize = 500;
const SLOW_PAUSE: Duration = Duration::from_millis(20);

/// A request with a head of many short fields.
fn request_with_many_fields(id: &str) -> Vec<u8> {
    let fields: String = (0..2000)
        .map(|number| format!("x{number}: 1\r\n"))
        .collect();
    let request = request_with(id, "charge", "wide", LONG_TIMEOUT);
    request
        .replacen("\r\n", &format!("\r\n{fields}"), 1)
        .into_bytes()
}

/// Writes these bytes in small pieces, and waits for the response or the close.
fn write_slowly(gateway: &SmallGateway, bytes: &[u8]) {
    let mut stream = gateway.program.connect_client().reader.into_inner();
    for piece in bytes.chunks(SLOW_PIECE) {
        if stream.write_all(piece).is_err() {
            return;
        }
        std::thread::sleep(SLOW_PAUSE);
    }
    let _ = read_response(&mut stream);
}

/// One request of a bad client: the rest of a long one is kept back, a long one is written slowly, or its head has many
/// short fields.
fn send_bad_request(gateway: &SmallGateway, number: usize, round: usize) {
    let id = format!("bad-{number}-{round}");
    match number % 3 {
        0 => {
            let mut request = long_request(&id, PADDING, LONGEST_BODY);
            request.pop();
            gateway.status_of(&request);
        }
        1 => write_slowly(gateway, &long_request(&id, 0, LONGEST_BODY)),
        _ => {
            gateway.status_of(&request_with_many_fields(&id));
        }
    }
}

/// Guards the sum of all shares of memory: clients that stop in the middle of requests, write slowly or send heads of very
/// many fields come together with responses that do not end, and sound long requests are served meanwhile.
#[test]
fn several_kinds_of_bad_peers_at_once_stay_within_the_memory_limit() {
    let gateway = gateway_with_endless_backends();
    gateway.assert_within_memory_limit(|| {
        std::thread::scope(|scope| {
            scope.spawn(|| {
                run_many_clients(3 * CLIENTS_OF_A_KIND, |number| {
                    let started_at = Instant::now();
                    for round in 0.. {
                        if started_at.elapsed() > ENDLESS_TIME {
                            break;
                        }
                        send_bad_request(&gateway, number, round);
                        std::thread::sleep(STALLED_PAUSE);
                    }
                })
            });
            let served = run_many_clients(LONG_REQUEST_CLIENTS, |number| {
                long_request_client(&gateway, number)
            });
            let total: usize = served.iter().sum();
            assert!(total > LONG_REQUEST_CLIENTS, "{total} requests were served");
        });
    });
}
