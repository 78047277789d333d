//! Connections to backends between one request and the next, over loopback sockets: when they are reused, and what must
//! not be read from them.

use cometspool_fault_injection::scripted_peers::*;
use std::io::Read;
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// How long a connection rests after a response before it is reused, as a backend can measure it: delays only lengthen
/// what it sees.
const REST: Duration = Duration::from_millis(3);

/// Connections are reused on both sides: new ones cost the backend work.
#[test]
fn connections_to_clients_and_backends_are_reused() {
    let fixture = TestFixture::new(1);
    let mut client = fixture.program.connect_client();
    client.write(request_with("id-1", "read", "wide", LONG_TIMEOUT));
    let mut backend = fixture.backends[0].accept();
    for id in ["id-1", "id-2", "id-3"] {
        assert_eq!(backend.read().header("request-id"), Some(id));
        backend.respond(200, "", id);
        assert_eq!(client.read().body, id.as_bytes());
        if id != "id-3" {
            let next = if id == "id-1" { "id-2" } else { "id-3" };
            client.write(request_with(next, "read", "wide", LONG_TIMEOUT));
        }
    }
    assert!(fixture.no_backend_contacted());
}

/// A connection that the backend has closed while it was idle is not reused.
#[test]
fn a_closed_idle_connection_is_not_reused() {
    let fixture = TestFixture::new(1);
    let mut client = fixture.program.connect_client();
    client.write(request_with("id-1", "charge", "wide", LONG_TIMEOUT));
    let mut backend = fixture.backends[0].accept();
    backend.read();
    backend.respond(200, "", "one");
    assert_eq!(client.read().body, b"one");
    backend.reader.get_mut().shutdown(Shutdown::Write).unwrap();
    // Once the gateway has closed its own side, it has seen the close.
    backend.expect_close();
    client.write(request_with("id-2", "charge", "wide", LONG_TIMEOUT));
    let mut backend = fixture.backends[0].accept();
    assert_eq!(backend.read().header("request-id"), Some("id-2"));
    backend.respond(200, "", "two");
    assert_eq!(client.read().body, b"two");
}

/// What a backend sends behind a response, in one write with it or later, never becomes the next request's response. The
/// response itself is forwarded, and the connection is not reused.
#[test]
fn bytes_behind_a_response_reach_no_other_request() {
    let duplicate = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
    for (behind, together) in [
        (duplicate, true),
        ("noise", true),
        (duplicate, false),
        ("noise", false),
    ] {
        let fixture = TestFixture::new(1);
        let mut client = fixture.program.connect_client();
        client.write(request_with("id-1", "charge", "wide", LONG_TIMEOUT));
        let mut backend = fixture.backends[0].accept();
        backend.read();
        let response = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none";
        if together {
            backend.write(format!("{response}{behind}"));
            assert_eq!(client.read().body, b"one");
        } else {
            backend.write(response);
            assert_eq!(client.read().body, b"one");
            backend.write(behind);
        }
        client.write(request_with("id-2", "charge", "wide", LONG_TIMEOUT));
        let mut second = fixture.backends[0].accept();
        assert_eq!(second.read().header("request-id"), Some("id-2"));
        second.respond(200, "", "two");
        assert_eq!(client.read().body, b"two", "{behind} together: {together}");
        backend.expect_close();
    }
}

/// A backend vanishes, and its connections stay open and silent: the first attempt that times out closes its connection
/// and the idle ones, which are as dead; the next request opens a new one.
#[test]
fn a_timed_out_attempt_closes_idle_connections_to_the_same_backend() {
    let fixture = TestFixture::new(1);
    let mut clients = [
        fixture.program.connect_client(),
        fixture.program.connect_client(),
    ];
    let mut connections = Vec::new();
    for (i, client) in clients.iter_mut().enumerate() {
        client.write(request_with(
            &format!("id-{i}"),
            "charge",
            "wide",
            LONG_TIMEOUT,
        ));
        let mut backend = fixture.backends[0].accept();
        backend.read();
        connections.push(backend);
    }
    for (client, backend) in clients.iter_mut().zip(&mut connections) {
        backend.respond(200, "", "ok");
        assert_eq!(client.read().status(), 200);
    }
    // From here on the backend is silent. Both connections close: the one that was used and the idle one.
    clients[0].write(request_with("id-2", "charge", "wide", "0.7"));
    assert!(clients[0].read().status() >= 400);
    let received: Vec<bool> = connections
        .iter()
        .map(|connection| connection.receives_within(MAX_WAIT))
        .collect();
    assert_eq!(
        received.iter().filter(|received| **received).count(),
        1,
        "{received:?}"
    );
    for (mut connection, received) in connections.into_iter().zip(received) {
        let mut rest = Vec::new();
        // A reset is a close as well; a read that only timed out is none.
        let result = connection.reader.read_to_end(&mut rest);
        let open = result.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
        assert!(!open, "still open, received {received}");
    }
    clients[0].write(request_with("id-3", "charge", "wide", LONG_TIMEOUT));
    let mut backend = fixture.backends[0].accept();
    assert_eq!(backend.read().header("request-id"), Some("id-3"));
    backend.respond(200, "", "ok");
    assert_eq!(clients[0].read().status(), 200);
}

/// A gateway with one backend, and a first request that has reached it over the only connection.
struct FirstRequest {
    program: GatewayProcess,
    backend: TestListener,
    /// Connections that filled the backend's accept queue, all of them accepted.
    fillers: Vec<TcpStream>,
    client: ScriptedConnection,
    connection: ScriptedConnection,
    _discovery: TestListener,
}

impl FirstRequest {
    fn send() -> FirstRequest {
        let discovery = TestListener::new();
        let FullBacklog {
            listener: backend,
            fillers,
        } = listener_with_full_backlog();
        for _ in &fillers {
            backend.accept();
        }
        let list = endpoint_list(7, true, &[endpoint("s-0", backend.address(), "up")]);
        let program = GatewayProcess::start(default_settings(), discovery.address(), list);
        let mut client = program.connect_client();
        client.write(request_with("first", "read", "wide", LONG_TIMEOUT));
        let mut connection = backend.accept();
        assert_eq!(connection.read().header("request-id"), Some("first"));
        FirstRequest {
            program,
            backend,
            fillers,
            client,
            connection,
            _discovery: discovery,
        }
    }

    /// Fills the backend's accept queue again.
    fn refill(&self) -> Vec<TcpStream> {
        self.fillers
            .iter()
            .map(|_| TcpStream::connect(self.backend.address()).expect("a queue for two"))
            .collect()
    }

    /// Sends a second request, which has to wait for a connection.
    fn send_waiting(&self, second: &mut ScriptedConnection) {
        second.write(request_with("second", "read", "wide", LONG_TIMEOUT));
        wait_for("a connection attempt that hangs", || {
            is_connecting(self.backend.address()).then_some(())
        });
    }
}

/// A duplicate response may come some milliseconds late: a connection is reused only once it would have arrived, whether
/// the next request comes later or has waited for the connection.
#[test]
fn a_connection_rests_before_it_is_reused() {
    for waits in [false, true] {
        let mut first = FirstRequest::send();
        let mut second = first.program.connect_client();
        // No further connection can be established.
        let _fillers = first.refill();
        if waits {
            first.send_waiting(&mut second);
        }
        let responded = Instant::now();
        first.connection.respond(200, "", "one");
        assert_eq!(first.client.read().body, b"one");
        if !waits {
            second.write(request_with("second", "read", "wide", LONG_TIMEOUT));
        }
        assert_eq!(first.connection.read().header("request-id"), Some("second"));
        assert!(
            responded.elapsed() >= REST,
            "waits {waits}: after {:?}",
            responded.elapsed()
        );
        first.connection.respond(200, "", "two");
        assert_eq!(second.read().body, b"two");
    }
}

/// A duplicate response has arrived behind the first when its connection becomes idle: it is discarded, the connection is
/// closed, and the request that waited for the connection, or comes next, gets its own response on another.
#[test]
fn a_duplicate_response_is_discarded_and_closes_its_connection() {
    for waits in [false, true] {
        let mut first = FirstRequest::send();
        let mut second = first.program.connect_client();
        let fillers = waits.then(|| first.refill());
        if waits {
            first.send_waiting(&mut second);
        }
        // In two writes, found in one turn of the event loop.
        first.program.pause();
        first.connection.respond(200, "", "one");
        first.connection.respond(200, "", "stray");
        first.program.resume();
        assert_eq!(first.client.read().body, b"one");
        first.connection.expect_close();
        if !waits {
            second.write(request_with("second", "read", "wide", LONG_TIMEOUT));
        }
        for _ in fillers.iter().flatten() {
            first.backend.accept();
        }
        let mut own = first.backend.accept();
        assert_eq!(own.read().header("request-id"), Some("second"));
        own.respond(200, "", "own");
        assert_eq!(second.read().body, b"own", "waits {waits}");
    }
}
