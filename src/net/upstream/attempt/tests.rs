//! Unit tests of `backends.rs`.

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
use tokio::net::TcpStream;

/// Longest time that a scene may take.
const SCENE: Duration = Duration::from_secs(20);

/// Time that no attempt of these scenes uses up.
fn long() -> AttemptDeadline {
    let now = Clock::new().now();
    Budget::from_header("20", now, 20_000.0)
        .and_then(|budget| budget.attempt_deadline(now, None))
        .expect("time")
}

fn transport() -> UpstreamTransport {
    let links = ConnectionSettings {
        dial_timeout: 20_000.0,
        idle_timeout: 600_000.0,
        ..ConnectionSettings::default()
    };
    let told = settings::parse("extra.max_units=8").expect("settings");
    let (clock, reading) = (Clock::new(), Rc::new(ResponseReader::new(&told, 0)));
    UpstreamTransport {
        connections: Rc::new(UpstreamConnections::new(links, 8, 1, 1, clock)),
        response_reader: reading,
        clock,
    }
}

#[derive(Debug)]
struct Stays;

impl ClientConnection for Stays {
    fn is_disconnected(&self) -> bool {
        false
    }
}

/// Has left when it is looked at for the second time.
#[derive(Debug, Default)]
struct LeavesBetween(Cell<bool>);

impl ClientConnection for LeavesBetween {
    fn is_disconnected(&self) -> bool {
        self.0.replace(true)
    }
}

fn order() -> UpstreamRequest {
    order_of(Rc::new(Stays))
}

fn order_of(client: Rc<dyn ClientConnection>) -> UpstreamRequest {
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

/// Reads until the request has come up to its last byte but one, or whole.
async fn receive(stream: &mut TcpStream, to: &[u8]) {
    let mut got = Vec::new();
    while !got.ends_with(to) {
        assert!(
            stream.read_buf(&mut got).await.expect("a request") > 0,
            "ended"
        );
    }
}

/// Guards requests that must not run twice against connections that are dead unseen, kept or new: the reset
/// answers the bytes before the last, so nothing ran. A kept one has the next connection stand in for it
/// within the attempt; a new one ends it as never run.
#[test]
fn what_a_dead_connection_swallows_has_not_run() {
    let ends = play(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port");
        let address = listener.local_addr().expect("an address");
        let backend = tokio::task::spawn_local(async move {
            let (mut kept, _) = listener.accept().await.expect("a connection");
            serve(&mut kept, "one").await;
            receive(&mut kept, b"hell").await;
            reset(kept);
            let (mut fresh, _) = listener.accept().await.expect("a connection in its place");
            serve(&mut fresh, "two").await;
            receive(&mut fresh, b"hell").await;
            reset(fresh);
            let (mut fresh, _) = listener.accept().await.expect("a connection in its place");
            receive(&mut fresh, b"hell").await;
            reset(fresh);
        });
        let (transport, order, id) = (transport(), order(), BackendId(1));
        transport.connections.add_endpoint(id, address, 0.0);
        let mut ends = Vec::new();
        for _ in 0..3 {
            ends.push(
                attempt(
                    &transport,
                    id,
                    &order,
                    long(),
                    DeliveryMode::Once,
                    &AttemptHandle::default(),
                )
                .await,
            );
        }
        backend
            .await
            .expect("a backend that saw what it waited for");
        ends
    });
    let told: Vec<_> = ends
        .iter()
        .map(|end| (end.outcome, end.body.as_ref(), end.broken_connections))
        .collect();
    assert_eq!(
        told,
        [
            (Outcome::Ok, &b"one"[..], 0),
            (Outcome::Ok, b"two", 1),
            (Outcome::ConnectFailed, b"", 2)
        ]
    );
}

/// Guards requests that must not run twice against connections that only look alive: where kept ones of some age
/// have taken a request and broken, such a request gets a new one, and others go on finding out.
#[test]
fn what_must_not_run_twice_takes_no_connection_of_an_age_that_fails() {
    let old = Duration::from_millis(300);
    play(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port");
        let address = listener.local_addr().expect("an address");
        let backend = tokio::task::spawn_local(async move {
            for _ in 0..3 {
                let (mut failing, _) = listener.accept().await.expect("a connection");
                serve(&mut failing, "good").await;
                receive(&mut failing, b"hello").await;
                reset(failing);
            }
            let (mut old, _) = listener.accept().await.expect("a connection");
            serve(&mut old, "first").await;
            let (mut new, _) = listener.accept().await.expect("a new connection");
            serve(&mut new, "on a new one").await;
            serve(&mut new, "on a kept one").await;
            drop(old);
        });
        let (transport, order, id, line) =
            (transport(), order(), BackendId(1), AttemptHandle::default());
        transport.connections.add_endpoint(id, address, 0.0);
        let send = |delivery| attempt(&transport, id, &order, long(), delivery, &line);
        for _ in 0..3 {
            assert_eq!(send(DeliveryMode::Normal).await.outcome, Outcome::Ok);
            transport.connections.age_idle_connections(old);
            assert_eq!(send(DeliveryMode::Normal).await.outcome, Outcome::Reset);
        }
        assert_eq!(send(DeliveryMode::Normal).await.body, "first");
        transport.connections.age_idle_connections(old);
        assert_eq!(send(DeliveryMode::Once).await.body, "on a new one");
        transport.connections.age_idle_connections(old);
        assert_eq!(send(DeliveryMode::Normal).await.body, "on a kept one");
        backend
            .await
            .expect("a backend that saw what it waited for");
    });
}

/// Guards reuse: a request whose dial hangs takes the link of another that comes free first.
#[test]
fn a_request_whose_dial_hangs_takes_a_link_that_comes_free() {
    play(async {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket
            .bind("127.0.0.1:0".parse().expect("an address"))
            .expect("a port");
        let listener = socket.listen(1).expect("a listener");
        let address = listener.local_addr().expect("an address");
        let transport = transport();
        transport
            .connections
            .add_endpoint(BackendId(1), address, 0.0);
        let begin = |transport: &UpstreamTransport| {
            let transport = transport.clone();
            tokio::task::spawn_local(async move {
                let (id, line) = (BackendId(1), AttemptHandle::default());
                attempt(
                    &transport,
                    id,
                    &order(),
                    long(),
                    DeliveryMode::Normal,
                    &line,
                )
                .await
            })
        };
        let first = begin(&transport);
        let (mut stream, _) = listener.accept().await.expect("a connection");
        receive(&mut stream, b"hello").await;
        // The waiting line of the listener is full: a further dial hangs.
        let _fillers = [
            TcpStream::connect(address).await,
            TcpStream::connect(address).await,
        ];
        let second = begin(&transport);
        tokio::task::yield_now().await;
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none")
            .await
            .expect("a reader");
        assert_eq!(first.await.expect("an end").body, "one");
        serve(&mut stream, "two").await;
        assert_eq!(second.await.expect("an end").body, "two");
    });
}

/// Guards dials against waste: one whose request has left comes up for the next.
#[test]
fn a_dial_whose_request_has_left_is_kept() {
    play(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port");
        let transport = transport();
        transport.connections.add_endpoint(
            BackendId(1),
            listener.local_addr().expect("an address"),
            0.0,
        );
        let (order, line) = (order(), AttemptHandle::default());
        let send = || {
            attempt(
                &transport,
                BackendId(1),
                &order,
                long(),
                DeliveryMode::Normal,
                &line,
            )
        };
        tokio::select! {
            biased;
            _ = send() => panic!("answered by nobody"),
            () = std::future::ready(()) => {}
        }
        let (mut stream, _) = listener.accept().await.expect("the dial");
        // Told as up to the pool, too.
        while transport.connections.idle_connections(BackendId(1)) == 0 {
            tokio::task::yield_now().await;
        }
        let (ended, ()) = tokio::join!(send(), serve(&mut stream, "kept"));
        assert_eq!(ended.body, "kept");
    });
}

/// Guards against links to what a backend was before: a new address or a new start ends those that are kept, and the
/// next request goes to where it is now.
#[test]
fn a_backend_that_moves_or_restarts_is_dialled_anew() {
    play(async {
        let places = [0, 1].map(|_| std::net::TcpListener::bind("127.0.0.1:0").expect("a port"));
        let places = places.map(|place| {
            place.set_nonblocking(true).expect("a listener");
            tokio::net::TcpListener::from_std(place).expect("a listener")
        });
        let addresses = [0, 1].map(|i: usize| places[i].local_addr().expect("an address"));
        let (transport, order, line) = (transport(), order(), AttemptHandle::default());
        let send = || {
            attempt(
                &transport,
                BackendId(1),
                &order,
                long(),
                DeliveryMode::Once,
                &line,
            )
        };
        let mut before: Option<TcpStream> = None;
        for (place, born) in [(0, 0.0), (0, 5.0), (1, 5.0)] {
            transport
                .connections
                .add_endpoint(BackendId(1), addresses[place], born);
            let answer = async {
                let (mut stream, _) = places[place].accept().await.expect("a new connection");
                serve(&mut stream, "here").await;
                stream
            };
            let (ended, stream) = tokio::join!(send(), answer);
            assert_eq!(ended.body, "here");
            if let Some(mut old) = before.replace(stream) {
                assert_eq!(
                    old.read(&mut [0]).await.ok(),
                    Some(0),
                    "a link to what was there before"
                );
            }
        }
    });
}

/// Guards against a backend that ends each connection with its answer: each request costs a dial, and none fails.
#[test]
fn a_backend_that_closes_after_each_answer_costs_a_dial_each() {
    play(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port");
        let (transport, order, line) = (transport(), order(), AttemptHandle::default());
        transport.connections.add_endpoint(
            BackendId(1),
            listener.local_addr().expect("an address"),
            0.0,
        );
        for delivery in [
            DeliveryMode::Normal,
            DeliveryMode::Once,
            DeliveryMode::Cautious,
        ] {
            let answer = async {
                let (mut stream, _) = listener.accept().await.expect("a new connection");
                receive(&mut stream, b"hello").await;
                let answer = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";
                stream.write_all(answer).await.expect("a reader");
            };
            let sent = attempt(&transport, BackendId(1), &order, long(), delivery, &line);
            let (ended, ()) = tokio::join!(sent, answer);
            assert_eq!(
                (ended.outcome, ended.broken_connections),
                (Outcome::Ok, 0),
                "{delivery:?}"
            );
        }
    });
}

/// Guards a table of connections that is full: a first request that is turned away on a new connection brings down what
/// is held there, and is no more than a backend that is full.
#[test]
fn a_new_connection_turned_away_is_a_full_backend() {
    play(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port");
        let (transport, order, line) = (transport(), order(), AttemptHandle::default());
        transport.connections.add_endpoint(
            BackendId(1),
            listener.local_addr().expect("an address"),
            0.0,
        );
        let before = transport.connections.connection_limit(BackendId(1));
        let answer = async {
            let (mut stream, _) = listener.accept().await.expect("a new connection");
            receive(&mut stream, b"hello").await;
            let answer = b"HTTP/1.1 503 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
            stream.write_all(answer).await.expect("a reader");
        };
        let sent = attempt(
            &transport,
            BackendId(1),
            &order,
            long(),
            DeliveryMode::Normal,
            &line,
        );
        let (ended, ()) = tokio::join!(sent, answer);
        assert_eq!(ended.outcome, Outcome::Rejected);
        assert!(
            before > 10 && transport.connections.connection_limit(BackendId(1)) == 1,
            "{before}, {}",
            transport.connections.connection_limit(BackendId(1))
        );
    });
}

async fn serve(stream: &mut TcpStream, body: &str) {
    receive(stream, b"hello").await;
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(answer.as_bytes()).await.expect("a reader");
}

/// Plays a scene on one thread, within a time that only a fault uses up.
fn play<T>(scene: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    let all = async { tokio::time::timeout(SCENE, scene).await };
    runtime
        .block_on(local.run_until(all))
        .expect("an end in time")
}

fn reset(stream: TcpStream) {
    SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .expect("a socket");
}

/// Guards against requests of nobody: where the last byte waits, and the client leaves meanwhile, it is not written, and the
/// backend is not blamed.
#[test]
fn the_last_byte_is_not_written_for_a_client_that_has_left() {
    for delivery in [DeliveryMode::Once, DeliveryMode::Cautious] {
        play(async {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
                .await
                .expect("a port");
            let (transport, line) = (transport(), AttemptHandle::default());
            transport.connections.add_endpoint(
                BackendId(1),
                listener.local_addr().expect("an address"),
                0.0,
            );
            let backend = async {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                let mut got = Vec::new();
                stream.read_to_end(&mut got).await.expect("an end in order");
                got
            };
            let order = order_of(Rc::new(LeavesBetween::default()));
            let (ended, got) = tokio::join!(
                attempt(&transport, BackendId(1), &order, long(), delivery, &line),
                backend
            );
            assert_eq!(
                (ended.outcome, ended.broken_connections),
                (Outcome::NotSent, 0),
                "{delivery:?}"
            );
            assert!(
                got.ends_with(b"hell"),
                "{delivery:?}: {}",
                String::from_utf8_lossy(&got)
            );
        });
    }
}

/// Guards keyed requests: an attempt that may begin no more is not sent, and its connection serves the next one.
#[test]
fn an_attempt_that_may_begin_no_more_leaves_its_connection() {
    play(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port");
        let (transport, order, line) = (transport(), order(), AttemptHandle::default());
        transport.connections.add_endpoint(
            BackendId(1),
            listener.local_addr().expect("an address"),
            0.0,
        );
        let send = |part| {
            attempt(
                &transport,
                BackendId(1),
                &order,
                part,
                DeliveryMode::Normal,
                &line,
            )
        };
        let backend = async {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            serve(&mut stream, "first").await;
            stream
        };
        let (first, mut stream) = tokio::join!(send(long()), backend);
        assert_eq!(first.body, "first");
        let late = send(long().begin_before(Some(transport.clock.now()))).await;
        assert_eq!(
            (late.outcome, late.broken_connections),
            (Outcome::NotSent, 0)
        );
        let (next, ()) = tokio::join!(send(long()), serve(&mut stream, "next"));
        assert_eq!(next.body, "next");
    });
}
