//! Tests of the graceful shutdown, over loopback sockets: requests in flight, deadlines beyond the end of the shutdown,
//! repeated signals, a shutdown before the first endpoint list, and clients that continue to send requests.

use cometspool_fault_injection::scripted_peers::*;
use serde_json::Value;
use std::io::{BufRead, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A request timeout far beyond the end of a shutdown, in seconds.
const MINUTE_TIMEOUT: &str = "60";

/// Settings of a deployment whose request classes allow a deadline of one minute.
fn minute_settings() -> Value {
    let mut settings = default_settings();
    for class in settings["grades"].as_array_mut().expect("classes") {
        for key in ["aim", "give_up"] {
            class[key] = 60_000.0.into();
        }
    }
    settings
}

/// Guards against losing requests during a shutdown: requests in flight are answered, connections are still accepted
/// for a while, each response closes its connection, and the program exits with code 0.
#[test]
fn sigterm_completes_requests_in_flight_and_exits_with_0() {
    let mut fixture = TestFixture::new(1);
    let mut idle = fixture.program.connect_client();
    idle.write(HEALTH_CHECK);
    assert_eq!(idle.read().header("connection"), None);
    let mut unused = fixture.program.connect_client();
    let mut client = fixture.program.connect_client();
    client.write(request_with("id-1", "charge", "wide", LONG_TIMEOUT));
    let mut backend = fixture.backends[0].accept();
    backend.read();
    fixture.program.terminate();
    assert_eq!(fixture.program.read_log_event(), "shutting down gateway=n0");
    let mut late = fixture.program.connect_client();
    late.write(request_with("id-2", "charge", "wide", LONG_TIMEOUT));
    let mut second = fixture.backends[0].accept();
    assert_eq!(second.read().header("request-id"), Some("id-2"));
    let complete = |backend: &mut ScriptedConnection, client: &mut ScriptedConnection| {
        backend.respond(200, "", "kept");
        let response = client.read();
        assert_eq!(
            (response.status(), response.body.as_slice()),
            (200, &b"kept"[..])
        );
        assert_eq!(response.header("connection"), Some("close"));
        client.expect_close();
    };
    // One response arrives immediately and one after idle connections have been closed. Neither must be lost.
    complete(&mut second, &mut late);
    idle.expect_close();
    complete(&mut backend, &mut client);
    // A connection that never carried a request must not delay the exit.
    let start = Instant::now();
    assert_eq!(fixture.program.wait_for_exit().code(), Some(0));
    assert!(
        start.elapsed().as_secs_f64() < 5.0,
        "delayed until its last deadline"
    );
    unused.expect_close();
}

/// Guards against requests without a final response after a shutdown: one whose connection to a backend is being
/// established, one that is half answered, and one whose body is arriving. A late request is rejected with Retry-After,
/// and the program exits with code 0.
#[test]
fn requests_in_every_phase_get_a_final_response() {
    let discovery = TestListener::new();
    let FullBacklog {
        listener: unreachable,
        fillers: _fillers,
    } = listener_with_full_backlog();
    let listener = TestListener::new();
    let known = |address, host: &str| endpoint_list(7, true, &[endpoint(host, address, "up")]);
    let mut half_answered = GatewayProcess::start(
        default_settings(),
        discovery.address(),
        known(listener.address(), "s-0"),
    );
    let mut connecting = GatewayProcess::start(
        default_settings(),
        discovery.address(),
        known(unreachable.address(), "s-1"),
    );
    let mut client = half_answered.connect_client();
    client.write(request_with("id-1", "charge", "wide", LONG_TIMEOUT));
    let mut backend = listener.accept();
    backend.read();
    backend.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
    let mut sending = half_answered.connect_client();
    let request = request_with("id-2", "charge", "wide", LONG_TIMEOUT);
    sending.write(&request[..request.len() - 2]);
    let mut idle = half_answered.connect_healthy_client();
    let mut waiting = connecting.connect_client();
    waiting.write(request_with("id-3", "charge", "wide", "2"));
    wait_for("a connection attempt", || {
        is_connecting(unreachable.address()).then_some(())
    });
    half_answered.terminate();
    connecting.terminate();
    // Idle connections are closed once the load balancer sends no more clients. From then on new requests are rejected.
    idle.expect_close();
    let mut late = half_answered.connect_client();
    late.write(request_with("id-4", "read", "wide", LONG_TIMEOUT));
    let rejection = late.read();
    assert_eq!(rejection.status(), 429);
    let retry_after: f64 = rejection
        .header("retry-after")
        .expect("a Retry-After header")
        .parse()
        .expect("seconds");
    assert!(retry_after > 0.0 && retry_after <= 2.0, "{retry_after}");
    let status = sending.read().status();
    assert!(status >= 400, "{status}");
    for (client, may_be_rejected) in [(&mut client, false), (&mut waiting, true)] {
        let status = client.read().status();
        // A request without a connection never ran, so it may be rejected. One that is half answered must not be
        // rejected.
        assert!(
            status >= 400 && (may_be_rejected || !matches!(status, 429 | 503)),
            "{status}"
        );
    }
    assert_eq!(half_answered.wait_for_exit().code(), Some(0));
    assert_eq!(connecting.wait_for_exit().code(), Some(0));
}

/// Guards against a shutdown that is extended by long deadlines, repeated signals or a reload. Requests with deadlines
/// beyond the end of the shutdown (one that hangs, one whose response never ends, one that waits for a connection) are
/// answered before the end, and the program exits by itself. If deadlines are longer than 3 s, the process is killed
/// 3.7 s after SIGTERM.
#[test]
fn no_deadline_extends_the_shutdown() {
    let discovery = TestListener::new();
    let FullBacklog {
        listener: unreachable,
        fillers: _fillers,
    } = listener_with_full_backlog();
    let listener = TestListener::new();
    let up = |host: &str, listener: &TestListener| {
        endpoint_list(7, true, &[endpoint(host, listener.address(), "up")])
    };
    let mut sending =
        GatewayProcess::start(minute_settings(), discovery.address(), up("s-0", &listener));
    let mut connecting = GatewayProcess::start(
        minute_settings(),
        discovery.address(),
        up("s-1", &unreachable),
    );
    let mut clients: Vec<ScriptedConnection> = ["hung", "endless"]
        .iter()
        .map(|id| {
            let mut client = sending.connect_client();
            client.write(request_with(id, "charge", "wide", MINUTE_TIMEOUT));
            client
        })
        .collect();
    let mut hung = listener.accept();
    hung.read();
    let mut endless = listener.accept();
    endless.read();
    endless.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
    let mut waiting = connecting.connect_client();
    waiting.write(request_with("waits", "charge", "wide", MINUTE_TIMEOUT));
    wait_for("a connection attempt", || {
        is_connecting(unreachable.address()).then_some(())
    });
    let terminated = Instant::now();
    for program in [&sending, &connecting] {
        program.terminate();
        program.reload(&program.config.to_string());
        program.terminate();
    }
    for client in &mut clients {
        let status = client.read().status();
        assert!(
            status >= 500 && status != 503,
            "a request that may have run was rejected: {status}"
        );
    }
    assert!(waiting.read().status() >= 400);
    assert_eq!(sending.wait_for_exit().code(), Some(0));
    assert_eq!(connecting.wait_for_exit().code(), Some(0));
    // Well below the timeout of 60 s. The shutdown itself ends after 3.55 s.
    assert!(
        terminated.elapsed() < Duration::from_secs(30),
        "{:?}",
        terminated.elapsed()
    );
}

/// Guards against a shutdown that hangs if no endpoint list has been received. Requests during the shutdown are
/// rejected.
#[test]
fn a_shutdown_without_an_endpoint_list_ends_by_itself() {
    let discovery = TestListener::new();
    let mut program = GatewayProcess::start(minute_settings(), discovery.address(), Value::Null);
    let mut client = program.connect_client();
    client.write(HEALTH_CHECK);
    assert_eq!(client.read().status(), 503);
    program.terminate();
    while program.read_log_event() != "shutting down gateway=n0" {}
    client.write(request_with("early", "charge", "wide", MINUTE_TIMEOUT));
    let rejection = client.read();
    assert_eq!(
        (rejection.status(), rejection.header("connection")),
        (429, Some("close"))
    );
    client.expect_close();
    assert_eq!(program.wait_for_exit().code(), Some(0));
}

/// Serves one request per connection until `gateway` accepts no more connections. Returns the ids of the requests.
fn serve_until_exit(listener: &TestListener, gateway: std::net::SocketAddr) -> Vec<String> {
    let mut ids = Vec::new();
    loop {
        let accepted = wait_for("a request or the exit", || match listener.try_accept() {
            Some(connection) => Some(Some(connection)),
            None => TcpStream::connect(gateway).is_err().then_some(None),
        });
        let Some(mut connection) = accepted else {
            return ids;
        };
        let request = connection.read();
        ids.push(request.header("request-id").expect("an id").to_owned());
        // One request per connection, so that every forwarded request is recorded.
        connection.respond(200, "Connection: close\r\n", "ok");
    }
}

/// The outcomes of a client's requests.
#[derive(Debug, Default)]
struct ClientCounts {
    served: usize,
    rejected: usize,
    resent: usize,
}

/// Guards against lost and duplicate requests of a client that sends requests throughout a shutdown. Each request gets
/// a response, or its connection closes before the first byte of a response and the client resends it on a new
/// connection. If the new connection is refused or closes as well, the program has exited. No request may be forwarded
/// twice.
#[test]
fn a_client_that_goes_on_sending_gets_a_response_or_a_close() {
    let fixture = TestFixture::with_settings(minute_settings(), 1);
    let address = fixture.program.address;
    let listener = fixture.backends.into_iter().next().expect("a backend");
    let backend = std::thread::spawn(move || serve_until_exit(&listener, address));
    let mut program = fixture.program;
    let mut client = program.connect_client();
    let mut counts = ClientCounts::default();
    for i in 0.. {
        if i == 20 {
            program.terminate();
        }
        let request = request_with(&format!("r-{i}"), "charge", "wide", MINUTE_TIMEOUT);
        let status = send(&mut client, &request).or_else(|| {
            counts.resent += 1;
            client = ScriptedConnection::new(TcpStream::connect(address).ok()?);
            send(&mut client, &request)
        });
        match status {
            Some(200) => counts.served += 1,
            Some(429) => counts.rejected += 1,
            Some(other) => panic!("r-{i}: {other}"),
            None => break,
        }
    }
    assert_eq!(program.wait_for_exit().code(), Some(0));
    let mut ids = backend.join().expect("a backend");
    let forwarded = ids.len();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), forwarded, "forwarded twice");
    assert!(
        counts.served >= 20 && forwarded == counts.served,
        "{counts:?}, {forwarded} forwarded"
    );
}

/// Sends a request and returns the status of the response. `None` if the connection closed before the first byte of a
/// response; a close within a response fails the test.
fn send(client: &mut ScriptedConnection, request: &str) -> Option<u16> {
    client.reader.get_mut().write_all(request.as_bytes()).ok()?;
    let received = client.reader.fill_buf().ok()?;
    (!received.is_empty()).then(|| client.read().status())
}
