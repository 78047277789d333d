//! Deadlines over loopback sockets: what bounds a request from the client's first byte to the last one of its response.

use cometspool_fault_injection::scripted_peers::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A silent backend is given up in time by closing its connection, and the client has its response before it stops waiting.
/// A late response is discarded, and the next request gets its own.
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
    assert!(start.elapsed().as_secs_f64() >= 2.3, "timed out early");
    // The response crosses the close of the connection; either way the client must not see it.
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

/// The time during which the process is stopped counts against the timeout of a request that waits in the system.
#[test]
fn a_pause_of_the_process_counts_against_the_timeout() {
    let fixture = TestFixture::new(1);
    // The connection has been accepted, so that only the bytes of the request wait.
    let mut client = fixture.program.connect_healthy_client();
    fixture.program.pause();
    // Shorter than the class's latency objective, so that this is what a backend is granted.
    client.write(request_with("id-1", "charge", "wide", "3"));
    let written = Instant::now();
    // This sleep is for time itself: it is how long the process is stopped.
    std::thread::sleep(Duration::from_millis(600));
    let waited = written.elapsed().as_secs_f64();
    fixture.program.resume();
    let mut backend = fixture.backends[0].accept();
    let granted = backend.read().granted_timeout();
    assert!(
        granted > 0.0 && granted <= 3.0 - waited + 0.002,
        "granted {granted} after {waited}"
    );
    backend.respond(200, "", "ok");
    assert_eq!(client.read().status(), 200);
}

/// A request whose deadline passes while the process is stopped is answered, and not forwarded.
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

/// A body that arrives slowly has no more time than its request, where that is less than the read timeout. The other one
/// was started first and has the read timeout, so it ends later.
#[test]
fn a_slow_body_is_bounded_by_its_request_timeout() {
    let fixture = TestFixture::new(1);
    let mut default_timeout = fixture.program.connect_client();
    let mut short_timeout = fixture.program.connect_client();
    let incomplete = |id: &str, timeout: &str| {
        let request = request_with(id, "charge", "wide", timeout);
        request[..request.len() - 2].to_owned()
    };
    default_timeout.write(incomplete("id-1", LONG_TIMEOUT));
    short_timeout.write(incomplete("id-2", "0.3"));
    assert!(short_timeout.is_readable_before(&default_timeout));
    assert_eq!(short_timeout.read().status(), 408);
    short_timeout.expect_close();
    assert_eq!(default_timeout.read().status(), 408);
    assert!(fixture.no_backend_contacted());
}

/// Connects a client whose receive buffer is small.
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

/// A client that sends requests and does not read is disconnected at the deadline, in the middle of a response, and its
/// memory and descriptors are released.
#[test]
fn a_client_that_does_not_read_is_disconnected_at_the_deadline() {
    let fixture = TestFixture::new(1);
    let before = fixture.program.descriptor_count();
    let mut client = connect_with_small_buffer(&fixture.program);
    // The system buffers some MB for a client that does not read; the rest waits in the gateway.
    for id in 0..48 {
        client
            .write_all(request_with(&format!("id-{id}"), "charge", "wide", "3").as_bytes())
            .expect("a gateway that reads");
    }
    let mut backend = fixture.backends[0].accept();
    backend.read();
    assert_eq!(fixture.program.descriptor_count(), before + 2);
    let long = "0123456789abcdef".repeat(65_000);
    let serving = std::thread::spawn(move || {
        let mut served = 0;
        loop {
            backend.respond(200, "", &long);
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
    // The connection closes in either way; the last response is incomplete, as its length shows.
    let _ = client.read_to_end(&mut received);
    let (_backend, served) = serving.join().expect("a backend");
    assert!(
        served < 48 && !received.is_empty() && received.len() < served * 16 * 65_000,
        "{} of {served}",
        received.len()
    );
}

/// An attempt whose response drips in ends at its deadline however often a byte arrives, its connection is closed, and no
/// descriptor stays open.
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
    wait_for("the close of the connection", || {
        // A byte at a time, far too slow to be complete before any deadline.
        std::thread::sleep(Duration::from_millis(5));
        stream.write_all(b"x").is_err().then_some(())
    });
    let status = client.read().status();
    assert!(status >= 500 && status != 503, "{status}");
    drop(client);
    wait_for("the former number of descriptors", || {
        (fixture.program.descriptor_count() <= before).then_some(())
    });
}
