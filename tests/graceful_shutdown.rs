//! Graceful shutdown, over loopback sockets: what is in flight, deadlines beyond its end, repeated signals, no endpoint
//! list yet, and clients that go on sending on each connection that stays open.

use cometspool_fault_injection::scripted_peers::*;
use serde_json::Value;
use std::io::{BufRead, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A timeout far beyond the end of a shutdown, s.
const MINUTE_TIMEOUT: &str = "60";

/// Settings of a deployment whose clients wait for a minute.
fn minute_settings() -> Value {
    let mut settings = default_settings();
    for class in settings["grades"].as_array_mut().expect("classes") {
        for key in ["aim", "give_up"] {
            class[key] = 60_000.0.into();
        }
    }
    settings
}

/// Requests in flight are answered, connections are accepted for a while, responses close theirs, and the program exits
/// with 0.
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
    // One response comes at once and one after idle connections have been closed: neither is lost.
    complete(&mut second, &mut late);
    idle.expect_close();
    complete(&mut backend, &mut client);
    // A connection that never carried a request does not delay the exit.
    let start = Instant::now();
    assert_eq!(fixture.program.wait_for_exit().code(), Some(0));
    assert!(
        start.elapsed().as_secs_f64() < 5.0,
        "delayed until its last deadline"
    );
    unused.expect_close();
}

/// A request whose connection to a backend is being established, one that is half answered and one whose body is arriving
/// all get a final response, a late request is rejected with Retry-After, and the program exits with 0.
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
    // Idle connections are closed once no new clients are sent here; from then on new requests are rejected.
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
        // A request without a connection never ran, so it may be rejected; one that is half answered must not be.
        assert!(
            status >= 400 && (may_be_rejected || !matches!(status, 429 | 503)),
            "{status}"
        );
    }
    assert_eq!(half_answered.wait_for_exit().code(), Some(0));
    assert_eq!(connecting.wait_for_exit().code(), Some(0));
}

/// Requests whose deadlines lie beyond the end of the shutdown, one that hangs, one whose response never ends and one that
/// waits for a connection, are answered before the process is killed, 3.7 s after SIGTERM where deadlines are longer than
/// 3 s, and the program exits by itself. Repeated signals and a new configuration between do not move that end.
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
    // Far from 60 s; the shutdown itself ends after 3.55 s.
    assert!(
        terminated.elapsed() < Duration::from_secs(30),
        "{:?}",
        terminated.elapsed()
    );
}

/// A shutdown before there is an endpoint list ends by itself, and requests meanwhile are rejected.
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

/// Serves one request per connection until a gateway accepts no more connections; returns the ids of the requests.
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
        // With one request per connection, each request is counted here.
        connection.respond(200, "Connection: close\r\n", "ok");
    }
}

/// What became of the requests of a client.
#[derive(Debug, Default)]
struct ClientCounts {
    served: usize,
    rejected: usize,
    resent: usize,
}

/// A client sends one request after another on each connection that stays open, from before the shutdown until the program
/// has exited: each request gets a response, or its connection closes before a byte of a response and the client sends it
/// again on a new one. If the new one is refused, or closes as well, the program has exited. No request is forwarded twice
/// by that.
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

/// Sends a request and returns the status of its response; `None` if the connection closed before a byte of it. A close
/// within a response fails the test.
fn send(client: &mut ScriptedConnection, request: &str) -> Option<u16> {
    client.reader.get_mut().write_all(request.as_bytes()).ok()?;
    let received = client.reader.fill_buf().ok()?;
    (!received.is_empty()).then(|| client.read().status())
}
