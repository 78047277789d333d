//! Tests of attempts against scripted backends on the loopback interface.

use super::*;
use crate::net::messages::ClientConnection;
use crate::net::runtime::budget::Budget;
use cometspool::settings::{self, ConnectionSettings};
use hyper::body::Bytes;
use hyper::header::HeaderValue;
use hyper::{Method, Uri};
use socket2::SockRef;
use std::cell::Cell;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The longest time that a test may take.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// The backend that all tests use.
const BACKEND: BackendId = BackendId(1);

/// A deadline that no attempt of these tests reaches.
fn generous_deadline() -> AttemptDeadline {
    let now = Clock::new().now();
    Budget::from_header("20", now, 20_000.0)
        .and_then(|budget| budget.attempt_deadline(now, None))
        .expect("a valid deadline")
}

fn transport() -> UpstreamTransport {
    let connection_settings = ConnectionSettings {
        dial_timeout: 20_000.0,
        idle_timeout: 600_000.0,
        ..ConnectionSettings::default()
    };
    let settings = settings::parse("extra.max_units=8").expect("settings");
    let clock = Clock::new();
    let response_reader = ResponseReader::new(&settings, 0);
    let head_budget = response_reader.long_response_budget();
    let connections = UpstreamConnections::new(connection_settings, 8, head_budget, 1, 1, clock);
    UpstreamTransport {
        connections: Rc::new(connections),
        response_reader: Rc::new(response_reader),
        clock,
    }
}

/// Opens a listener on the loopback interface and makes its address that of [`BACKEND`].
async fn listen(transport: &UpstreamTransport) -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    transport.connections.add_endpoint(BACKEND, address, 0.0);
    listener
}

/// Runs an attempt at [`BACKEND`] with a generous deadline.
async fn send(
    transport: &UpstreamTransport,
    request: &UpstreamRequest,
    delivery: DeliveryMode,
) -> AttemptResult {
    let deadline = generous_deadline();
    let handle = AttemptHandle::default();
    attempt(transport, BACKEND, request, deadline, delivery, &handle).await
}

#[derive(Debug)]
struct ConnectedClient;

impl ClientConnection for ConnectedClient {
    fn is_disconnected(&self) -> bool {
        false
    }
}

/// A client that is connected at the first check and disconnected at any later one.
#[derive(Debug, Default)]
struct DisconnectsAfterFirstCheck(Cell<bool>);

impl ClientConnection for DisconnectsAfterFirstCheck {
    fn is_disconnected(&self) -> bool {
        self.0.replace(true)
    }
}

fn request() -> UpstreamRequest {
    request_from(Rc::new(ConnectedClient))
}

fn request_from(client: Rc<dyn ClientConnection>) -> UpstreamRequest {
    let value = HeaderValue::from_static("id-1");
    UpstreamRequest {
        client,
        id: "id-1".into(),
        id_value: value.clone(),
        host: value,
        method: Method::POST,
        uri: Uri::from_static("/charge"),
        key: None,
        content_type: None,
        body: Bytes::from_static(b"hello"),
    }
}

/// Reads until the received bytes end with `suffix`: the end of the request, or its end without the
/// last byte.
async fn receive(stream: &mut TcpStream, suffix: &[u8]) {
    let mut received = Vec::new();
    while !received.ends_with(suffix) {
        assert!(
            stream.read_buf(&mut received).await.expect("a request") > 0,
            "the connection ended before the request"
        );
    }
}

/// Reads a request and responds to it with this body.
async fn respond(stream: &mut TcpStream, body: &str) {
    receive(stream, b"hello").await;
    let response = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream
        .write_all(response.as_bytes())
        .await
        .expect("the gateway reads the response");
}

/// Closes a connection with a reset.
fn reset(stream: TcpStream) {
    SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .expect("a socket");
}

/// Runs a test on one thread; panics if the test takes longer than [`TEST_TIMEOUT`].
fn run<T>(test: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    let limited = async { tokio::time::timeout(TEST_TIMEOUT, test).await };
    runtime
        .block_on(local.run_until(limited))
        .expect("the test ends within its time limit")
}

/// Guards non-idempotent requests against half-open connections: the reset arrives before the last
/// byte of the request is written, so the request has not run. If the connection was a pooled one,
/// the attempt continues on the next connection. If it was a new one, the attempt ends with
/// `ConnectFailed`.
#[test]
fn a_request_reset_before_its_last_byte_has_not_run() {
    let results = run(async {
        let transport = transport();
        let listener = listen(&transport).await;
        let backend = tokio::task::spawn_local(async move {
            let (mut pooled, _) = listener.accept().await.expect("a connection");
            respond(&mut pooled, "one").await;
            receive(&mut pooled, b"hell").await;
            reset(pooled);
            let (mut new, _) = listener.accept().await.expect("a new connection");
            respond(&mut new, "two").await;
            receive(&mut new, b"hell").await;
            reset(new);
            let (mut new, _) = listener.accept().await.expect("a new connection");
            receive(&mut new, b"hell").await;
            reset(new);
        });
        let request = request();
        let mut results = Vec::new();
        for _ in 0..3 {
            results.push(send(&transport, &request, DeliveryMode::Once).await);
        }
        backend
            .await
            .expect("the backend gets all expected connections and requests");
        results
    });
    let summaries: Vec<_> = results
        .iter()
        .map(|result| {
            (
                result.outcome,
                result.body.as_ref(),
                result.broken_connections,
            )
        })
        .collect();
    assert_eq!(
        summaries,
        [
            (Outcome::Ok, &b"one"[..], 0),
            (Outcome::Ok, b"two", 1),
            (Outcome::ConnectFailed, b"", 2)
        ]
    );
}

/// Guards non-idempotent requests against pooled connections that have died while idle: after
/// connections of some idle age have broken on their next request, a request that must run at most
/// once gets a new connection. Other requests still reuse pooled ones.
#[test]
fn an_at_most_once_request_avoids_connections_of_a_failing_idle_age() {
    let old = Duration::from_millis(300);
    run(async {
        let transport = transport();
        let listener = listen(&transport).await;
        let backend = tokio::task::spawn_local(async move {
            for _ in 0..3 {
                let (mut failing, _) = listener.accept().await.expect("a connection");
                respond(&mut failing, "good").await;
                receive(&mut failing, b"hello").await;
                reset(failing);
            }
            let (mut old, _) = listener.accept().await.expect("a connection");
            respond(&mut old, "first").await;
            let (mut new, _) = listener.accept().await.expect("a new connection");
            respond(&mut new, "on a new one").await;
            respond(&mut new, "on a pooled one").await;
            drop(old);
        });
        let request = request();
        let send = |delivery| send(&transport, &request, delivery);
        for _ in 0..3 {
            assert_eq!(send(DeliveryMode::Normal).await.outcome, Outcome::Ok);
            transport.connections.age_idle_connections(old);
            assert_eq!(send(DeliveryMode::Normal).await.outcome, Outcome::Reset);
        }
        assert_eq!(send(DeliveryMode::Normal).await.body, "first");
        transport.connections.age_idle_connections(old);
        assert_eq!(send(DeliveryMode::Once).await.body, "on a new one");
        transport.connections.age_idle_connections(old);
        assert_eq!(send(DeliveryMode::Normal).await.body, "on a pooled one");
        backend
            .await
            .expect("the backend gets all expected connections and requests");
    });
}

/// Guards reuse: a request whose dial hangs takes a connection that another request releases
/// meanwhile.
#[test]
fn a_request_whose_dial_hangs_takes_a_released_connection() {
    run(async {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket
            .bind("127.0.0.1:0".parse().expect("an address"))
            .expect("a port");
        let listener = socket.listen(1).expect("a listener");
        let address = listener.local_addr().expect("an address");
        let transport = transport();
        transport.connections.add_endpoint(BACKEND, address, 0.0);
        let start = |transport: &UpstreamTransport| {
            let transport = transport.clone();
            tokio::task::spawn_local(async move {
                send(&transport, &request(), DeliveryMode::Normal).await
            })
        };
        let first = start(&transport);
        let (mut stream, _) = listener.accept().await.expect("a connection");
        receive(&mut stream, b"hello").await;
        // These fill the backlog of the listener, so that a further dial hangs.
        let _fillers = [
            TcpStream::connect(address).await,
            TcpStream::connect(address).await,
        ];
        let second = start(&transport);
        tokio::task::yield_now().await;
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none")
            .await
            .expect("the gateway reads the response");
        assert_eq!(first.await.expect("the request task completes").body, "one");
        respond(&mut stream, "two").await;
        assert_eq!(
            second.await.expect("the request task completes").body,
            "two"
        );
    });
}

/// Guards against wasted dials: the connection from a dial whose request was cancelled serves the
/// next request.
#[test]
fn a_dial_whose_request_was_cancelled_is_kept() {
    run(async {
        let transport = transport();
        let listener = listen(&transport).await;
        let request = request();
        let send = || send(&transport, &request, DeliveryMode::Normal);
        tokio::select! {
            biased;
            _ = send() => panic!("a response without a backend"),
            () = std::future::ready(()) => {}
        }
        let (mut stream, _) = listener.accept().await.expect("the dialed connection");
        // Wait until the pool knows of the connection, too.
        while transport.connections.idle_connections(BACKEND) == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let (result, ()) = tokio::join!(send(), respond(&mut stream, "kept"));
        assert_eq!(result.body, "kept");
    });
}

/// Guards against stale connections: when a backend moves to a new address or restarts, its pooled
/// connections are closed, and the next request gets a new connection to the current address.
#[test]
fn a_backend_that_moves_or_restarts_gets_new_connections() {
    run(async {
        let transport = transport();
        let listeners = [listen(&transport).await, listen(&transport).await];
        transport.connections.remove_endpoint(BACKEND);
        let request = request();
        let mut previous: Option<TcpStream> = None;
        for (index, started_at) in [(0, 0.0), (0, 5.0), (1, 5.0)] {
            let listener = &listeners[index];
            let address = listener.local_addr().expect("an address");
            transport
                .connections
                .add_endpoint(BACKEND, address, started_at);
            let backend = async {
                let (mut stream, _) = listener.accept().await.expect("a new connection");
                respond(&mut stream, "here").await;
                stream
            };
            let (result, stream) =
                tokio::join!(send(&transport, &request, DeliveryMode::Once), backend);
            assert_eq!(result.body, "here");
            if let Some(mut old) = previous.replace(stream) {
                assert_eq!(
                    old.read(&mut [0]).await.ok(),
                    Some(0),
                    "the connection to the previous process or address is still open"
                );
            }
        }
    });
}

/// Guards requests to a backend that closes each connection after its response: each request needs
/// one dial, and none fails.
#[test]
fn a_backend_that_closes_after_each_response_costs_one_dial_each() {
    run(async {
        let transport = transport();
        let listener = listen(&transport).await;
        let request = request();
        for delivery in [
            DeliveryMode::Normal,
            DeliveryMode::Once,
            DeliveryMode::Cautious,
        ] {
            let backend = async {
                let (mut stream, _) = listener.accept().await.expect("a new connection");
                receive(&mut stream, b"hello").await;
                let response =
                    b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";
                stream
                    .write_all(response)
                    .await
                    .expect("the gateway reads the response");
            };
            let (result, ()) = tokio::join!(send(&transport, &request, delivery), backend);
            assert_eq!(
                (result.outcome, result.broken_connections),
                (Outcome::Ok, 0),
                "{delivery:?}"
            );
        }
    });
}

/// Guards backends whose connection table is full: a rejected first request on a new connection
/// lowers the connection limit for the backend, and the attempt ends as rejected, not as a failure
/// of the backend.
#[test]
fn a_rejected_first_request_on_a_new_connection_means_a_full_backend() {
    run(async {
        let transport = transport();
        let listener = listen(&transport).await;
        let request = request();
        let before = transport.connections.connection_limit(BACKEND);
        let backend = async {
            let (mut stream, _) = listener.accept().await.expect("a new connection");
            receive(&mut stream, b"hello").await;
            let response = b"HTTP/1.1 503 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
            stream
                .write_all(response)
                .await
                .expect("the gateway reads the response");
        };
        let sent = send(&transport, &request, DeliveryMode::Normal);
        let (result, ()) = tokio::join!(sent, backend);
        assert_eq!(result.outcome, Outcome::Rejected);
        let after = transport.connections.connection_limit(BACKEND);
        assert!(before > 10 && after == 1, "{before}, {after}");
    });
}

/// Guards backends against requests of disconnected clients: if the client disconnects while the
/// last byte is delayed, the byte is not written, and the backend is not blamed.
#[test]
fn the_last_byte_is_not_written_for_a_disconnected_client() {
    for delivery in [DeliveryMode::Once, DeliveryMode::Cautious] {
        run(async {
            let transport = transport();
            let listener = listen(&transport).await;
            let backend = async {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                let mut received = Vec::new();
                stream
                    .read_to_end(&mut received)
                    .await
                    .expect("the connection closes in order");
                received
            };
            let request = request_from(Rc::new(DisconnectsAfterFirstCheck::default()));
            let (result, received) = tokio::join!(send(&transport, &request, delivery), backend);
            assert_eq!(
                (result.outcome, result.broken_connections),
                (Outcome::NotSent, 0),
                "{delivery:?}"
            );
            assert!(
                received.ends_with(b"hell"),
                "{delivery:?}: {}",
                String::from_utf8_lossy(&received)
            );
        });
    }
}

/// Guards requests with an idempotency key: an attempt is not sent after the time before which it
/// must start, and its connection serves the next attempt.
#[test]
fn an_attempt_past_its_start_deadline_releases_its_connection() {
    run(async {
        let transport = transport();
        let listener = listen(&transport).await;
        let request = request();
        let handle = AttemptHandle::default();
        let send = |deadline| {
            let delivery = DeliveryMode::Normal;
            attempt(&transport, BACKEND, &request, deadline, delivery, &handle)
        };
        let backend = async {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            respond(&mut stream, "first").await;
            stream
        };
        let (first, mut stream) = tokio::join!(send(generous_deadline()), backend);
        assert_eq!(first.body, "first");
        let late = send(generous_deadline().begin_before(Some(transport.clock.now()))).await;
        assert_eq!(
            (late.outcome, late.broken_connections),
            (Outcome::NotSent, 0)
        );
        let (next, ()) = tokio::join!(send(generous_deadline()), respond(&mut stream, "next"));
        assert_eq!(next.body, "next");
    });
}
