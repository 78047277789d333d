//! Tests of invalid requests, over loopback sockets: each gets one error response, and no part of it reaches a backend.

use cometspool_fault_injection::scripted_peers::*;

/// Names of the headers without which a request is rejected.
const REQUIRED_HEADERS: [&str; 6] = [
    "Request-Id",
    "Request-Class",
    "Api-Plan",
    "Cookie",
    "Request-Timeout",
    "Api-Terms",
];

/// A text replacement that makes a valid request invalid, and the status of the response.
struct Mutation {
    from: &'static str,
    to: &'static str,
    status: u16,
}

/// A mutation that is answered with status 400.
const fn bad_request(from: &'static str, to: &'static str) -> Mutation {
    Mutation {
        from,
        to,
        status: 400,
    }
}

const MUTATIONS: [Mutation; 40] = [
    bad_request("Request-Class: charge", "Request-Class: refund"),
    bad_request("POST /charge/", "POST /read/"),
    bad_request("POST /charge/", "PUT /charge/"),
    bad_request("POST /charge/", "GET /charge/"),
    bad_request(
        "Content-Length: 5",
        "Idempotency-Key: 1\r\nContent-Length: 5",
    ),
    bad_request("Api-Plan: wide", "Api-Plan: broad"),
    bad_request("client=00000000b4d65521", "client=b4d65521"),
    bad_request("client=00000000b4d65521", "client=0000000200000000"),
    bad_request("client=00000000b4d65521", "client=+0000000b4d65521"),
    bad_request("client=00000000b4d65521", "other=1"),
    bad_request("Request-Timeout: 8", "Request-Timeout: soon"),
    bad_request("Request-Timeout: 8", "Request-Timeout: -1"),
    bad_request("Request-Timeout: 8", "Request-Timeout: inf"),
    bad_request("Request-Timeout: 8", "Request-Timeout: NaN"),
    bad_request("units=1", "units=0"),
    bad_request("units=1", "units=many"),
    bad_request("units=1", "units=8.5"),
    bad_request("units=1", "units=1,units=1"),
    bad_request("spread=1", "spread=1e999"),
    bad_request("spread=1", "spread=3"),
    bad_request("spread=1", "spread=0"),
    bad_request("spread=1", "spread=1.5"),
    bad_request(",first=0", ""),
    bad_request("first=0", "first=2"),
    bad_request("first=0", "first=-1"),
    bad_request("first=0", "first=0.5"),
    bad_request("Host: ser", "Host: other\r\nHost: ser"),
    bad_request("Host: ser", "Host: s\u{e9}r"),
    bad_request("Host: ser", "Request-Id: id-2\r\nHost: ser"),
    bad_request("Host: ser", "Cookie: client=00000000b4d65521\r\nHost: ser"),
    bad_request(
        "Host: ser",
        "Api-Terms: units=1,spread=1,first=0\r\nHost: ser",
    ),
    bad_request("Request-Id: id-1", "Request-Id: id 1"),
    bad_request("/charge/a", "/charge/\u{e9}"),
    bad_request("/charge/a", "/charger/a"),
    bad_request("/charge/a", "//charge/a"),
    bad_request("Content-Length: 5", "Content-Length: -5"),
    Mutation {
        from: "Content-Length: 5",
        to: "Content-Length: 65537",
        status: 413,
    },
    bad_request("Content-Length: 5", "Content-Length: five"),
    bad_request("HTTP/1.1", "HTTX/1.1"),
    bad_request("Host: ser", "Host\0: ser"),
];

/// Guards against forwarding an invalid request: the request is rejected, its connection is closed, and nothing reaches
/// a backend. Afterwards, a client that disconnects within a request must not affect a valid request with the same id.
#[test]
fn invalid_requests_are_rejected() {
    let fixture = TestFixture::new(1);
    let valid = request_with("id-1", "charge", "wide", LONG_TIMEOUT);
    let without = |name: &str| {
        let lines = valid.split("\r\n").filter(|line| !line.starts_with(name));
        lines.collect::<Vec<_>>().join("\r\n")
    };
    let mut cases: Vec<(String, u16)> = REQUIRED_HEADERS
        .iter()
        .map(|name| (without(name), 400))
        .collect();
    for mutation in &MUTATIONS {
        assert!(valid.contains(mutation.from), "{}", mutation.from);
        let text = valid.replacen(mutation.from, mutation.to, 1);
        cases.push((text, mutation.status));
    }
    for (text, status) in cases {
        let mut client = fixture.program.connect_client();
        client.write(&text);
        assert_eq!(client.read().status(), status, "{text}");
        client.expect_close();
    }
    assert!(fixture.no_backend_contacted());
    let mut client = fixture.program.connect_client();
    client.write(&valid[..valid.len() - 2]);
    drop(client);
    let mut client = fixture.program.connect_client();
    client.write(&valid);
    let mut backend = fixture.backends[0].accept();
    backend.read();
    backend.respond(200, "", "fine");
    assert_eq!(client.read().status(), 200);
}

/// Guards against buffering an endless request head: it is rejected with 431.
#[test]
fn a_head_without_end_is_rejected() {
    let fixture = TestFixture::new(1);
    let mut client = fixture.program.connect_client();
    let long_header = format!("X: {}\r\nHost: ser", "x".repeat(70_000));
    let request = request_with("id-1", "charge", "wide", LONG_TIMEOUT);
    client.write(request.replacen("Host: ser", &long_header, 1));
    assert_eq!(client.read().status(), 431);
    assert!(fixture.no_backend_contacted());
}

/// Guards against request smuggling by a chunked body, with or without a Content-Length. The request is rejected, and
/// its connection is closed before the bytes after it are read as a request.
#[test]
fn a_chunked_request_is_rejected_and_smuggles_nothing() {
    let fixture = TestFixture::new(1);
    let smuggled = request_with("id-2", "charge", "wide", LONG_TIMEOUT);
    let length = "Content-Length: 5";
    let chunked = "Transfer-Encoding: chunked";
    for framing in [
        format!("{length}\r\n{chunked}"),
        format!("{chunked}\r\n{length}"),
        chunked.to_owned(),
    ] {
        let valid = request_with("id-1", "charge", "wide", LONG_TIMEOUT);
        let request = valid.replacen(length, &framing, 1);
        let head = request.strip_suffix("hello").unwrap();
        let mut client = fixture.program.connect_client();
        client.write(format!("{head}0\r\n\r\n{smuggled}"));
        assert_eq!(client.read().status(), 411, "{framing}");
        client.expect_close();
    }
    assert!(fixture.no_backend_contacted());
}

/// Guards against forwarding a request without a valid timeout: it is rejected immediately with status 400.
#[test]
fn a_request_without_a_valid_timeout_is_rejected_at_once() {
    let fixture = TestFixture::new(1);
    for timeout in ["NaN", "-1", "0", "inf", "1e12", "81", "soon", ""] {
        let mut client = fixture.program.connect_client();
        client.write(request_with("id-1", "charge", "wide", timeout));
        assert_eq!(client.read().status(), 400, "{timeout:?}");
    }
    let mut client = fixture.program.connect_client();
    client.write(request("id-1", "charge").replace("Request-Timeout: 1.5\r\n", ""));
    assert_eq!(client.read().status(), 400);
    assert!(fixture.no_backend_contacted());
}
