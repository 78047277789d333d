//! Deadlines over loopback sockets: every phase of a request is bounded, from the first byte that the client sends to
//! the last byte of the response.

use cometspool_fault_injection::scripted_peers::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// An attempt at a backend that does not respond times out: the gateway closes the backend connection, and the client
/// gets an error response before it stops waiting. A late response of the backend is discarded, and the client's next
/// request gets its own response.
#[test]
fn a_silent_backend_times_out_and_its_late_response_is_discarded() {
    let fixture = TestFixture::new(1);
    let mut client = fixture.program.connect_client();
    let start = Instant::now();
    client.write(request_with("id-1", "charge", "wide", "2.5"));
    let mut backend = fixture.backends[0].accept();
    backend.read();
    let response = client.read();
    assert!(
        response.status() >= 500 && response.status() != 503,
        "{}",
        response.status()
    );
    assert!(
        start.elapsed().as_secs_f64() >= 2.3,
        "the attempt timed out too early"
    );
    // The backend sends this response while the gateway closes the connection; the client must not receive it,
    // whichever comes first.
    let _ = backend
        .reader
        .get_mut()
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
    backend.expect_close();
    client.write(request_with("id-2", "charge", "wide", LONG_TIMEOUT));
    let mut backend = fixture.backends[0].accept();
    assert_eq!(backend.read().header("request-id"), Some("id-2"));
    backend.respond(200, "", "own");
    assert_eq!(client.read().body, b"own");
}

/// While the gateway process is stopped, a request may wait in the system's receive buffer. The time of that wait
/// counts against the request's timeout.
#[test]
fn a_pause_of_the_process_counts_against_the_timeout() {
    let fixture = TestFixture::new(1);
    // The health check shows that the connection has been accepted, so only the bytes of the request wait.
    let mut client = fixture.program.connect_healthy_client();
    fixture.program.pause();
    // The timeout is shorter than the class's latency objective, so the timeout decides how much time the backend is
    // granted.
    client.write(request_with("id-1", "charge", "wide", "3"));
    let written_at = Instant::now();
    // The sleep waits for no event: its length is the time for which the process is stopped.
    std::thread::sleep(Duration::from_millis(600));
    let waited_s = written_at.elapsed().as_secs_f64();
    fixture.program.resume();
    let mut backend = fixture.backends[0].accept();
    let granted_s = backend.read().granted_timeout();
    assert!(
        granted_s > 0.0 && granted_s <= 3.0 - waited_s + 0.002,
        "the backend was granted {granted_s} s after a wait of {waited_s} s"
    );
    backend.respond(200, "", "ok");
    assert_eq!(client.read().status(), 200);
}

/// A request whose deadline passes while the gateway process is stopped gets an error response and is not forwarded.
#[test]
fn a_request_past_its_deadline_is_not_forwarded() {
    let fixture = TestFixture::new(1);
    let mut client = fixture.program.connect_healthy_client();
    fixture.program.pause();
    client.write(request_with("id-1", "charge", "wide", "1"));
    std::thread::sleep(Duration::from_millis(1200));
    fixture.program.resume();
    let status = client.read().status();
    assert!(status >= 400, "{status}");
    assert!(fixture.no_backend_contacted());
}

/// A body that arrives slowly is bounded by the timeout of its request if that is shorter than the gateway's read
/// timeout. The request with the long timeout is bounded by the read timeout: it is sent first and still ends later.
#[test]
fn a_slow_body_is_bounded_by_its_request_timeout() {
    let fixture = TestFixture::new(1);
    let mut long_timeout = fixture.program.connect_client();
    let mut short_timeout = fixture.program.connect_client();
    let incomplete = |id: &str, timeout: &str| {
        let request = request_with(id, "charge", "wide", timeout);
        request[..request.len() - 2].to_owned()
    };
    long_timeout.write(incomplete("id-1", LONG_TIMEOUT));
    short_timeout.write(incomplete("id-2", "0.3"));
    assert!(short_timeout.is_readable_before(&long_timeout));
    assert_eq!(short_timeout.read().status(), 408);
    short_timeout.expect_close();
    assert_eq!(long_timeout.read().status(), 408);
    assert!(fixture.no_backend_contacted());
}

/// Connects a client with a receive buffer of 4096 bytes, so that little of a response fits if the client does not
/// read.
fn connect_with_small_buffer(program: &GatewayProcess) -> TcpStream {
    let socket =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    socket
        .connect(&program.address.into())
        .expect("the gateway accepts");
    let client = TcpStream::from(socket);
    client.set_read_timeout(Some(MAX_WAIT)).expect("a socket");
    client
}

/// A client that sends requests but does not read the responses is disconnected at the deadline, in the middle of a
/// response, and its memory and descriptors are released.
#[test]
fn a_client_that_does_not_read_is_disconnected_at_the_deadline() {
    let fixture = TestFixture::new(1);
    let before = fixture.program.descriptor_count();
    let mut client = connect_with_small_buffer(&fixture.program);
    // The system buffers a few MB for a client that does not read; the gateway has to hold the rest.
    for id in 0..48 {
        client
            .write_all(request_with(&format!("id-{id}"), "charge", "wide", "3").as_bytes())
            .expect("the gateway reads the requests");
    }
    let mut backend = fixture.backends[0].accept();
    backend.read();
    assert_eq!(fixture.program.descriptor_count(), before + 2);
    let long_body = "0123456789abcdef".repeat(65_000);
    let serving = std::thread::spawn(move || {
        let mut served = 0;
        loop {
            backend.respond(200, "", &long_body);
            served += 1;
            if !backend.receives_within(MAX_WAIT / 10) {
                return (backend, served);
            }
            backend.read();
        }
    });
    wait_for("the close of the client's connection", || {
        (fixture.program.descriptor_count() <= before + 1).then_some(())
    });
    let mut received = Vec::new();
    // The connection may end with a close or a reset; the length received shows that the last response is incomplete.
    let _ = client.read_to_end(&mut received);
    let (_backend, served) = serving.join().expect("a backend");
    assert!(
        served < 48 && !received.is_empty() && received.len() < served * 16 * 65_000,
        "{} bytes received of {served} responses",
        received.len()
    );
}

/// Guards against a read timeout that starts again with each byte. An attempt whose response arrives a byte at a time
/// ends at its deadline, its connection is closed, and no descriptor leaks.
#[test]
fn a_dripping_response_is_bounded_by_the_request_timeout() {
    let fixture = TestFixture::new(1);
    let before = fixture.program.descriptor_count();
    let mut client = fixture.program.connect_client();
    client.write(request_with("id-1", "charge", "wide", "0.7"));
    let mut backend = fixture.backends[0].accept();
    backend.read();
    backend.write("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n");
    let stream = backend.reader.get_mut();
    wait_for("the close of the backend connection", || {
        // One byte every 5 ms: the 60000 bytes would take 300 s, far longer than any deadline.
        std::thread::sleep(Duration::from_millis(5));
        stream.write_all(b"x").is_err().then_some(())
    });
    let status = client.read().status();
    assert!(status >= 500 && status != 503, "{status}");
    drop(client);
    wait_for("the number of descriptors from before the request", || {
        (fixture.program.descriptor_count() <= before).then_some(())
    });
}
