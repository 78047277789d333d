//! Reuse of connections to backends, over loopback sockets: when a connection is reused, and that bytes after a
//! response are never taken for the next response.

use cometspool_fault_injection::scripted_peers::*;
use std::io::Read;
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// The minimum time between a response and the next request on the same connection. A backend measures at least this
/// time, because delays only lengthen it.
const SETTLE_TIME: Duration = Duration::from_millis(3);

/// Connections of clients and to backends are reused, because new connections cost the backend work.
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

/// A connection that the backend has closed while it was idle is not reused; the next request gets a new connection.
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
    // The gateway closes its own side once it has seen the backend's close.
    backend.expect_close();
    client.write(request_with("id-2", "charge", "wide", LONG_TIMEOUT));
    let mut backend = fixture.backends[0].accept();
    assert_eq!(backend.read().header("request-id"), Some("id-2"));
    backend.respond(200, "", "two");
    assert_eq!(client.read().body, b"two");
}

/// Bytes that a backend sends after a response, in the same write or later, are never taken for the response to the
/// next request. The response itself is forwarded, and the connection is not reused.
#[test]
fn bytes_after_a_response_reach_no_other_request() {
    let duplicate = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
    for (extra, together) in [
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
            backend.write(format!("{response}{extra}"));
            assert_eq!(client.read().body, b"one");
        } else {
            backend.write(response);
            assert_eq!(client.read().body, b"one");
            backend.write(extra);
        }
        client.write(request_with("id-2", "charge", "wide", LONG_TIMEOUT));
        let mut second = fixture.backends[0].accept();
        assert_eq!(second.read().header("request-id"), Some("id-2"));
        second.respond(200, "", "two");
        assert_eq!(client.read().body, b"two", "{extra} together: {together}");
        backend.expect_close();
    }
}

/// If a backend stops responding while its connections stay open, the first attempt that times out closes its
/// connection and the idle connections to the same backend, which are presumably dead, too. The next request opens a
/// new connection.
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
    // From here on the backend does not respond. Both connections are closed: the one with the request and the idle
    // one.
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
        // A reset also counts as a close; a read that timed out does not.
        let result = connection.reader.read_to_end(&mut rest);
        let open = result.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
        assert!(
            !open,
            "the connection is still open; received a request: {received}"
        );
    }
    clients[0].write(request_with("id-3", "charge", "wide", LONG_TIMEOUT));
    let mut backend = fixture.backends[0].accept();
    assert_eq!(backend.read().header("request-id"), Some("id-3"));
    backend.respond(200, "", "ok");
    assert_eq!(clients[0].read().status(), 200);
}

/// A gateway with one backend, and a first request that has reached the backend over its only connection.
struct FirstRequest {
    program: GatewayProcess,
    backend: TestListener,
    /// The connections that filled the backend's accept queue; the backend has accepted all of them.
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

    /// Fills the backend's accept queue again, so that no further connection can be established.
    fn refill(&self) -> Vec<TcpStream> {
        self.fillers
            .iter()
            .map(|_| TcpStream::connect(self.backend.address()).expect("room in the accept queue"))
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

/// A duplicate response may arrive some milliseconds after the response. A connection is therefore reused only after
/// the settle time, whether the next request comes later or already waits for the connection.
#[test]
fn a_connection_rests_before_it_is_reused() {
    for waits in [false, true] {
        let mut first = FirstRequest::send();
        let mut second = first.program.connect_client();
        // From here on no further connection can be established.
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
            responded.elapsed() >= SETTLE_TIME,
            "waits {waits}: reused after {:?}",
            responded.elapsed()
        );
        first.connection.respond(200, "", "two");
        assert_eq!(second.read().body, b"two");
    }
}

/// If a duplicate response has arrived by the time at which its connection becomes idle, it is discarded and the
/// connection is closed. The request that waits for the connection, or comes next, gets its own response on another
/// connection.
#[test]
fn a_duplicate_response_is_discarded_and_closes_its_connection() {
    for waits in [false, true] {
        let mut first = FirstRequest::send();
        let mut second = first.program.connect_client();
        let fillers = waits.then(|| first.refill());
        if waits {
            first.send_waiting(&mut second);
        }
        // The gateway finds both writes in one iteration of its event loop.
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
