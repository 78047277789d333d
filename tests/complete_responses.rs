//! When a backend's response is complete, over loopback sockets. A response with a `Content-Length` or in chunks is
//! complete with its last byte, any other when its connection closes in order. A truncated, malformed or too long
//! response is not forwarded to the client.

use cometspool_fault_injection::scripted_peers::*;
use std::io::{Read, Write};
use std::time::{Duration, Instant};

/// The head of a response without a length, which ends when its connection closes.
const HEAD: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\nApi-Usage: 12\r\n\r\n";

/// A request that the backend has received completely, with the connections at both ends.
struct ForwardedRequest {
    client: ScriptedConnection,
    backend: ScriptedConnection,
}

fn forward_request(fixture: &TestFixture, id: &str, class: &str) -> ForwardedRequest {
    let mut client = fixture.program.connect_client();
    client.write(request_with(id, class, "wide", LONG_TIMEOUT));
    let mut backend = fixture.backends[0].accept();
    assert_eq!(backend.read().header("request-id"), Some(id));
    ForwardedRequest { client, backend }
}

/// Returns once the gateway has served another request; by then it has read all bytes that arrived before.
fn serve_another(fixture: &TestFixture, id: &str) {
    let ForwardedRequest {
        mut client,
        mut backend,
    } = forward_request(fixture, id, "read");
    backend.respond(200, "Connection: close\r\n", "another");
    assert_eq!(client.read().body, b"another");
}

fn reset(connection: ScriptedConnection) {
    connection.reset_on_close();
}

/// A response without a length stays open until the backend closes its connection, however the body is split. The
/// complete body is then forwarded with a length.
#[test]
fn a_response_without_a_length_is_complete_when_its_connection_closes() {
    let long = "0123456789abcdef".repeat(25_000);
    for pieces in [
        vec![""],
        vec!["whole"],
        vec!["in ", "two"],
        vec![long.as_str(), "and more"],
    ] {
        let fixture = TestFixture::new(1);
        let ForwardedRequest {
            mut client,
            mut backend,
        } = forward_request(&fixture, "id-1", "charge");
        backend.write(HEAD);
        for (number, piece) in pieces.iter().enumerate() {
            backend.write(piece);
            serve_another(&fixture, &format!("between-{number}"));
            assert!(
                !client.is_readable() && !backend.is_readable(),
                "the response or its connection ended before the backend closed it"
            );
        }
        drop(backend);
        let response = client.read();
        assert_eq!(response.status(), 200);
        assert!(
            response.body == pieces.concat().as_bytes(),
            "{} bytes",
            response.body.len()
        );
        assert!(response.header("content-length").is_some());
        // The connection is not reused: the next request gets a new one.
        serve_another(&fixture, "next");
    }
}

/// A reset of the connection makes a response without a length incomplete, whether or not any of the body has arrived.
/// A non-idempotent request then fails, and an idempotent one is retried.
#[test]
fn a_reset_truncates_a_response_without_a_length() {
    for sent in ["", "half"] {
        let fixture = TestFixture::new(1);
        let ForwardedRequest {
            mut client,
            mut backend,
        } = forward_request(&fixture, "id-1", "charge");
        backend.write(format!("{HEAD}{sent}"));
        serve_another(&fixture, "between");
        reset(backend);
        assert_eq!(client.read().status(), 502, "{sent:?}");
        assert!(
            fixture.no_backend_contacted(),
            "{sent:?}: a non-idempotent request that may have run was retried"
        );
        // An idempotent request is retried.
        let ForwardedRequest {
            mut client,
            mut backend,
        } = forward_request(&fixture, "id-2", "read");
        backend.write(format!("{HEAD}{sent}"));
        serve_another(&fixture, "between-2");
        reset(backend);
        let mut backend = fixture.backends[0].accept();
        assert_eq!(backend.read().header("request-id"), Some("id-2"));
        backend.respond(200, "", "again");
        assert_eq!(client.read().body, b"again", "{sent:?}");
    }
}

/// A response without a length that does not end is abandoned at the deadline of its request.
#[test]
fn a_response_without_end_times_out_with_its_request() {
    let fixture = TestFixture::new(1);
    let mut client = fixture.program.connect_client();
    client.write(request_with("id-1", "charge", "wide", "1.5"));
    let mut backend = fixture.backends[0].accept();
    backend.read();
    backend.write(format!("{HEAD}half"));
    assert_eq!(client.read().status(), 502);
    backend.expect_close();
}

/// A response without a length, or in chunks, fails as soon as it exceeds the longest body that is accepted.
#[test]
fn a_response_that_proves_too_long_fails_at_once() {
    let megabyte = "x".repeat(1 << 20);
    for (name, start) in [
        ("no length", format!("{HEAD}{megabyte}x")),
        (
            "chunks",
            format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n100001\r\n{megabyte}x"),
        ),
    ] {
        let fixture = TestFixture::new(1);
        let ForwardedRequest {
            mut client,
            mut backend,
        } = forward_request(&fixture, "id-1", "charge");
        // The gateway may close the connection before all bytes are written.
        let _ = backend.reader.get_mut().write_all(start.as_bytes());
        assert_eq!(client.read().status(), 502, "{name}");
        backend.expect_close();
    }
}

/// A malformed or endless response fails at once, and so does its non-idempotent request. The connection is closed, and
/// the next request is served on another one.
#[test]
fn a_malformed_response_fails_at_once() {
    let endless = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{}",
        "x".repeat(80_000)
    );
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}",
        "X-Pad: pppppppppppp\r\n".repeat(4000)
    );
    let cases = [
        ("noise", "\u{83}\u{4}no\r\n\r\n"),
        (
            "no status",
            "HTTP/1.1 OK 200\r\nContent-Length: 2\r\n\r\nno",
        ),
        (
            "two lengths",
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nno",
        ),
        (
            "bad chunks",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\nzz\r\n",
        ),
        (
            "another protocol",
            "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n",
        ),
        ("a body without end", endless.as_str()),
        ("a head without end", head.as_str()),
    ];
    for (name, text) in cases {
        let fixture = TestFixture::new(1);
        let mut client = fixture.program.connect_client();
        client.write(request_with("id-1", "charge", "wide", LONG_TIMEOUT));
        let mut backend = fixture.backends[0].accept();
        backend.read();
        let start = Instant::now();
        // The gateway may close the connection before all bytes are written.
        let _ = backend.reader.get_mut().write_all(text.as_bytes());
        assert_eq!(client.read().status(), 502, "{name}");
        assert!(
            start.elapsed().as_secs_f64() < 3.0,
            "{name}: the gateway waited for more of the response"
        );
        backend.expect_close();
        client.write(request_with("id-2", "charge", "wide", LONG_TIMEOUT));
        let mut second = fixture.backends[0].accept();
        assert_eq!(second.read().header("request-id"), Some("id-2"));
        second.respond(200, "", "fine");
        assert_eq!(client.read().body, b"fine", "{name}");
    }
}

/// A valid response is forwarded even if 1xx responses precede it and its usage headers are malformed.
#[test]
fn a_valid_response_with_malformed_usage_headers_is_forwarded() {
    let fixture = TestFixture::new(1);
    let mut client = fixture.program.connect_client();
    client.write(request_with("id-1", "charge", "wide", LONG_TIMEOUT));
    let mut backend = fixture.backends[0].accept();
    backend.read();
    backend.write("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n");
    backend.respond(
        200,
        "Api-Usage: %%%\r\nApi-Usage: 9e99\r\nApi-Charge: =,=\r\nApi-Charge: 1\r\n",
        "paid",
    );
    let response = client.read();
    assert_eq!(
        (response.status(), response.body.as_slice()),
        (200, &b"paid"[..])
    );
}

/// Responses far beyond the agreed 64 KiB are forwarded completely, with a length or in chunks. Many of them can follow
/// one another, because the memory that each takes is released.
#[test]
fn a_long_response_is_forwarded_completely() {
    let fixture = TestFixture::new(1);
    let mut client = fixture.program.connect_client();
    let long = "0123456789abcdef".repeat(25_000);
    client.write(request_with("id-0", "charge", "wide", LONG_TIMEOUT));
    let mut backend = fixture.backends[0].accept();
    // Together, the responses are longer than the memory of the gateway.
    for number in 1..=200 {
        backend.read();
        if number % 2 == 0 {
            backend.respond(200, "", &long);
        } else {
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked";
            let length = long.len();
            backend.write(format!("{head}\r\n\r\n{length:x}\r\n{long}\r\n0\r\n\r\n"));
        }
        let response = client.read();
        assert_eq!(response.status(), 200, "number {number}");
        assert!(
            response.body == long.as_bytes(),
            "number {number}: {} bytes",
            response.body.len()
        );
        client.write(request_with(
            &format!("id-{number}"),
            "charge",
            "wide",
            LONG_TIMEOUT,
        ));
    }
}

/// Many long responses at once that do not state their lengths are all forwarded completely, because memory is reserved
/// only as each response grows.
#[test]
fn many_long_responses_at_once_are_forwarded_completely() {
    let body = "0123456789abcdef".repeat(6_000);
    let heads = [
        HEAD.to_owned(),
        format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n",
            body.len()
        ),
    ];
    let discovery = TestListener::new();
    let backends: Vec<TestListener> = (0..10).map(|_| TestListener::new()).collect();
    let hosts: Vec<_> = backends
        .iter()
        .enumerate()
        .map(|(i, backend)| endpoint(&format!("s-{i}"), backend.address(), "up"))
        .collect();
    // 32 MB leave 2.7 MB for responses beyond 64 KiB.
    let program = GatewayProcess::start_with_memory_limit(
        32,
        default_settings(),
        discovery.address(),
        endpoint_list(7, true, &hosts),
    );
    let mut open = Vec::new();
    for number in 0..16 {
        let mut client = program.connect_client();
        client.write(request_with(
            &format!("id-{number}"),
            "charge",
            "wide",
            LONG_TIMEOUT,
        ));
        let (_, mut backend) =
            accept_any_unless_answered(&backends, &client).expect("a forwarded request");
        backend.read();
        backend.write(format!("{}{body}", heads[number % 2]));
        open.push(ForwardedRequest { client, backend });
    }
    for (number, request) in open.into_iter().enumerate() {
        let ForwardedRequest {
            mut client,
            mut backend,
        } = request;
        if number % 2 == 1 {
            backend.write("\r\n0\r\n\r\n");
        }
        drop(backend);
        let response = client.read();
        assert_eq!(response.status(), 200, "number {number}");
        assert!(
            response.body == body.as_bytes(),
            "number {number}: {} bytes",
            response.body.len()
        );
    }
}

/// Sends requests with long responses, one after another, and reads no response until the gateway cannot write any more
/// and the deadline of the last request has just passed. Returns whether all responses then arrive completely, or
/// `None` if the machine was too slow for the result to be valid.
fn read_just_after_the_deadline() -> Option<bool> {
    let timeout = Duration::from_millis(1500);
    let fixture = TestFixture::new(1);
    let mut client = fixture.program.connect_client();
    let mut send =
        |id: usize| client.write(request_with(&format!("id-{id}"), "charge", "wide", "1.5"));
    send(0);
    let mut backend = fixture.backends[0].accept();
    let body = "0123456789abcdef".repeat(60_000);
    let mut responses = 0;
    let mut last = Instant::now();
    // The operating system buffers some MB for a client that does not read; the rest waits in the gateway.
    while backend.receives_within(Duration::from_millis(300)) {
        last = Instant::now();
        backend.read();
        backend.respond(200, "", &body);
        responses += 1;
        send(responses);
    }
    let late = timeout + Duration::from_millis(50);
    wait_for("the last deadline", || {
        (last.elapsed() > late).then_some(())
    });
    let mut received = Vec::new();
    let expected = responses * body.len();
    let complete = Read::take(&mut client.reader, expected as u64)
        .read_to_end(&mut received)
        .is_ok();
    let in_time = last.elapsed() < timeout + Duration::from_millis(400);
    in_time.then_some(complete && received.len() == expected)
}

/// A response that is being written to a slow client at the request's deadline is written to its end, because the
/// client may still read it.
#[test]
fn a_response_being_written_at_the_deadline_is_completed() {
    let complete = (0..10).find_map(|_| read_just_after_the_deadline());
    assert_eq!(complete, Some(true));
}
