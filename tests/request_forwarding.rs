//! Tests of request forwarding, over loopback sockets: requests and responses are unchanged, each request id is
//! forwarded once, and a customer's quota is not exceeded.

use cometspool_fault_injection::scripted_peers::*;

/// Guards against altering a request or response: the request is forwarded with its path, headers and body, and the
/// response with its body.
#[test]
fn a_request_and_its_response_are_forwarded_unchanged() {
    let fixture = TestFixture::new(1);
    let mut client = fixture.program.connect_client();
    client.write(request_with("id-1", "extend", "wide", LONG_TIMEOUT));
    let mut backend = fixture.backends[0].accept();
    let forwarded = backend.read();
    assert_eq!(forwarded.start_line, "POST /extend/a?b=c HTTP/1.1");
    assert_eq!(forwarded.header("request-id"), Some("id-1"));
    assert_eq!(forwarded.header("idempotency-key"), Some("5c0f6e1a"));
    assert_eq!(forwarded.body, b"hello");
    let timeout: f64 = forwarded
        .header("request-timeout")
        .expect("a timeout")
        .parse()
        .unwrap();
    assert!(timeout > 0.0 && timeout <= 8.0, "{timeout}");
    backend.respond(200, "Api-Usage: 55\r\nApi-Charge: 2\r\n", "paid");
    let response = client.read();
    assert_eq!(
        (response.status(), response.body.as_slice()),
        (200, &b"paid"[..])
    );
}

/// Guards against two attempts for one request id: a duplicate of a request in flight is rejected.
#[test]
fn a_request_id_in_flight_is_rejected() {
    let fixture = TestFixture::new(1);
    let mut client = fixture.program.connect_client();
    client.write(request_with("id-1", "charge", "wide", LONG_TIMEOUT));
    let mut backend = fixture.backends[0].accept();
    backend.read();
    let mut duplicate = fixture.program.connect_client();
    duplicate.write(request_with("id-1", "charge", "wide", LONG_TIMEOUT));
    assert_eq!(duplicate.read().status(), 409);
    assert!(fixture.no_backend_contacted());
    backend.respond(200, "", "once");
    assert_eq!(client.read().body, b"once");
}

/// Guards against reuse of a request id: a duplicate that arrives after the response is rejected. Also guards against
/// granting a backend a longer timeout than the class allows.
#[test]
fn a_request_id_is_valid_once_and_its_timeout_is_capped_by_its_class() {
    let fixture = TestFixture::new(1);
    let mut client = fixture.program.connect_client();
    client.write(request_with("id-1", "charge", "wide", "79"));
    let mut backend = fixture.backends[0].accept();
    let timeout: f64 = backend
        .read()
        .header("request-timeout")
        .expect("a timeout")
        .parse()
        .unwrap();
    assert!(timeout > 0.0 && timeout <= 8.0, "{timeout}");
    backend.respond(200, "", "once");
    assert_eq!(client.read().status(), 200);
    client.write(request_with("id-1", "charge", "wide", LONG_TIMEOUT));
    assert_eq!(client.read().status(), 409);
    client.expect_close();
    assert!(fixture.no_backend_contacted());
}

/// Guards against serving a customer beyond its quota: the request is rejected immediately, with Retry-After.
#[test]
fn a_customer_beyond_its_quota_is_rejected_with_retry_after() {
    let fixture = TestFixture::new(1);
    let mut client = fixture.program.connect_client();
    client.write(request_with("id-0", "read", "narrow", LONG_TIMEOUT));
    let mut backend = fixture.backends[0].accept();
    let mut served = 0;
    for id in 1.. {
        assert!(id < 20, "never rejected");
        backend.read();
        backend.respond(200, "", "ok");
        assert_eq!(client.read().status(), 200);
        served += 1;
        client.write(request_with(
            &format!("id-{id}"),
            "read",
            "narrow",
            LONG_TIMEOUT,
        ));
        if client.is_readable_before(&backend) {
            break;
        }
    }
    assert!(served <= 2, "{served} units of a burst of 2");
    let rejection = client.read();
    assert_eq!(rejection.status(), 429);
    let retry_after: f64 = rejection
        .header("retry-after")
        .expect("a Retry-After header")
        .parse()
        .unwrap();
    assert!(retry_after > 0.0 && retry_after <= 2.0, "{retry_after}");
}
