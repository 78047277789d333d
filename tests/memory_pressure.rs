//! A gateway that is short of memory, over loopback sockets: clients that stop in the middle of requests, responses that do
//! not end, ever new customers, and all kinds of bad peers at once. The gateway stays under its memory limit, and sound
//! requests get their responses.

use cometspool_fault_injection::scripted_peers::*;
use serde_json::Value;
use std::io::{BufRead, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

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
        scope.spawn(|| run_clients(STALLED_CLIENTS, |number| stalled_client(&gateway, number)));
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
        let served = run_clients(LONG_REQUEST_CLIENTS, |number| {
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
        run_clients(NAMING_CLIENTS, |number| {
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
                run_clients(3 * CLIENTS_OF_A_KIND, |number| {
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
            let served = run_clients(LONG_REQUEST_CLIENTS, |number| {
                long_request_client(&gateway, number)
            });
            let total: usize = served.iter().sum();
            assert!(total > LONG_REQUEST_CLIENTS, "{total} requests were served");
        });
    });
}
