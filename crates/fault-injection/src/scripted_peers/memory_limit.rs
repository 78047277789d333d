//! A gateway with a small memory limit, and peers that make it hold as much as they can.

use super::{
    default_settings, endpoint, endpoint_list, request_with, GatewayProcess, ScriptedConnection,
    TestListener, LONG_TIMEOUT, MAX_WAIT,
};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Memory limit of the gateway, in MiB.
pub const MEMORY_MB: usize = 32;
/// Limit on the file descriptors of the gateway.
const DESCRIPTOR_LIMIT: u32 = 1024;
/// Longest body that a request may have, in bytes.
pub const LONGEST_BODY: usize = 64 * 1024;
/// Length of a header without meaning that makes a head nearly as long as it may be, in bytes.
pub const PADDING: usize = 30_000;

/// A gateway with a memory limit of [`MEMORY_MB`], and its discovery service.
pub struct SmallGateway {
    /// The gateway.
    pub program: GatewayProcess,
    _discovery: TestListener,
}

/// The response to a request, with the open connection.
pub struct Exchange {
    /// The status; `None` if the connection was closed without a response.
    pub status: Option<u16>,
    _connection: BufReader<TcpStream>,
}

impl SmallGateway {
    /// Starts the gateway and two backends. Each backend answers all requests with `response_body`, or none of them.
    pub fn start(response_body: Option<&'static str>) -> SmallGateway {
        SmallGateway::with_memory(MEMORY_MB, response_body)
    }

    /// As [`start`](SmallGateway::start), with a memory limit of `memory_mb`.
    pub fn with_memory(memory_mb: usize, response_body: Option<&'static str>) -> SmallGateway {
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
    pub fn with_hosts(memory_mb: usize, discovery: TestListener, hosts: &[Value]) -> SmallGateway {
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
    pub fn exchange(&self, bytes: &[u8]) -> Exchange {
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
    pub fn status_of(&self, bytes: &[u8]) -> Option<u16> {
        self.exchange(bytes).status
    }

    /// Runs `clients`, and asserts that the gateway is under a limit of [`MEMORY_MB`] all the time.
    ///
    /// # Panics
    ///
    /// Panics if the gateway held more.
    pub fn assert_within_memory_limit(&self, clients: impl FnOnce()) {
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
pub fn long_request(id: &str, padding: usize, body_len: usize) -> Vec<u8> {
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

/// Runs `client` in `count` threads at once, and returns their results.
pub fn run_clients<T: Send>(count: usize, client: impl Fn(usize) -> T + Sync) -> Vec<T> {
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
