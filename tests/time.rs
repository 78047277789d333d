//! A request's time over loopback sockets: what bounds it from the client's first byte to the last one of its answer.

use cometspool_fault_injection::scripted_peers::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Long enough that no answer of these tests comes from a deadline.
const LONG: &str = "8";

fn told(sent: &Message) -> f64 {
    sent.header("request-timeout")
        .expect("a time")
        .parse()
        .expect("seconds")
}

/// Guards backends against work for clients that named no time: each is a 4xx at once, and nothing is sent on.
#[test]
fn what_is_no_time_is_turned_down_at_once() {
    let fixture = TestFixture::new(1);
    for bad in ["NaN", "-1", "0", "inf", "1e12", "81", "soon", ""] {
        let mut client = fixture.program.connect_client();
        client.write(request_with("id-1", "charge", "wide", bad));
        assert_eq!(client.read().status(), 400, "{bad:?}");
    }
    let mut client = fixture.program.connect_client();
    client.write(request("id-1", "charge").replace("Request-Timeout: 1.5\r\n", ""));
    assert_eq!(client.read().status(), 400);
    assert!(fixture.no_backend_contacted());
}

/// Guards a client's time while the process is paused: what waited in the system is charged the whole of the pause.
#[test]
fn a_pause_of_the_process_is_charged_to_what_waited() {
    let fixture = TestFixture::new(1);
    let mut client = fixture.program.connect_client();
    // The connection is known, so that only the bytes of the request wait.
    client.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(client.read().status(), 200);
    fixture.program.pause();
    // Less than the class's aim, so that this is what a backend is told of.
    client.write(request_with("id-1", "charge", "wide", "3"));
    let written = Instant::now();
    // The one wait of these tests that is for time itself: this is how long the process is kept from running.
    std::thread::sleep(Duration::from_millis(600));
    let waited = written.elapsed().as_secs_f64();
    fixture.program.resume();
    let mut backend = fixture.backends[0].accept();
    let told = told(&backend.read());
    assert!(
        told > 0.0 && told <= 3.0 - waited + 0.002,
        "told {told} after {waited}"
    );
    backend.respond(200, "", "ok");
    assert_eq!(client.read().status(), 200);
}

/// Guards against work for nobody after a pause: what waited beyond its time is answered, and not sent on.
#[test]
fn what_waited_beyond_its_time_is_not_sent_on() {
    let fixture = TestFixture::new(1);
    let mut client = fixture.program.connect_client();
    client.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(client.read().status(), 200);
    fixture.program.pause();
    client.write(request_with("id-1", "charge", "wide", "1"));
    std::thread::sleep(Duration::from_millis(1200));
    fixture.program.resume();
    let status = client.read().status();
    assert!(status >= 400, "{status}");
    assert!(fixture.no_backend_contacted());
}

/// Guards against bodies that dribble in: one with less time than a usual read gets has only its own. The other was
/// begun first and has the usual time, so it is let go after it.
#[test]
fn a_slow_body_has_its_own_time_at_most() {
    let fixture = TestFixture::new(1);
    let (mut usual, mut hurried) = (
        fixture.program.connect_client(),
        fixture.program.connect_client(),
    );
    let half = |id: &str, timeout: &str| {
        let whole = request_with(id, "charge", "wide", timeout);
        whole[..whole.len() - 2].to_owned()
    };
    usual.write(half("id-1", LONG));
    hurried.write(half("id-2", "0.3"));
    assert!(hurried.is_readable_before(&usual));
    assert_eq!(hurried.read().status(), 408);
    hurried.expect_close();
    assert_eq!(usual.read().status(), 408);
    assert!(fixture.no_backend_contacted());
}

/// Guards memory and descriptors against clients that ask and do not read: when the request's time is up its connection
/// ends, in the midst of the answer, and nothing of it stays behind.
#[test]
fn a_client_that_does_not_read_is_let_go_with_its_time() {
    let fixture = TestFixture::new(1);
    let before = fixture.program.descriptor_count();
    let small =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    small.set_recv_buffer_size(4096).expect("a small buffer");
    small
        .connect(&fixture.program.address.into())
        .expect("the front door accepts");
    let mut client = TcpStream::from(small);
    client.set_read_timeout(Some(MAX_WAIT)).expect("a socket");
    // The system takes some MB for a reader that does not read; what is beyond waits in the front door.
    for id in 0..48 {
        client
            .write_all(request_with(&format!("id-{id}"), "charge", "wide", "3").as_bytes())
            .expect("a reader");
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
    wait_for("an end of the client's connection", || {
        (fixture.program.descriptor_count() <= before + 1).then_some(())
    });
    let mut got = Vec::new();
    // It ends, in whichever way; what came is not whole, and the client can tell by the length.
    let _ = client.read_to_end(&mut got);
    let (_backend, served) = serving.join().expect("a backend");
    assert!(
        served < 48 && !got.is_empty() && got.len() < served * 16 * 65_000,
        "{} of {served}",
        got.len()
    );
}

/// Guards against a backend that drips its answer: the attempt ends with its time however often a byte comes, its
/// connection is closed, and nothing stays behind.
#[test]
fn a_dripping_answer_has_the_requests_time_at_most() {
    let fixture = TestFixture::new(1);
    let before = fixture.program.descriptor_count();
    let mut client = fixture.program.connect_client();
    client.write(request_with("id-1", "charge", "wide", "0.7"));
    let mut backend = fixture.backends[0].accept();
    backend.read();
    backend.write("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n");
    let stream = backend.reader.get_mut();
    wait_for("an end of the connection", || {
        // A byte now and then, far too slow to be whole in any time that a request has.
        std::thread::sleep(Duration::from_millis(5));
        stream.write_all(b"x").is_err().then_some(())
    });
    let status = client.read().status();
    assert!(status >= 500 && status != 503, "{status}");
    drop(client);
    wait_for("the descriptors of before", || {
        (fixture.program.descriptor_count() <= before).then_some(())
    });
}

/// Guards the planned stop: a request whose connection is coming up, one that is half answered and one whose body is on
/// its way are all answered finally, what comes late is told when to come back, and the program ends well.
#[test]
fn a_stop_answers_what_is_dialling_half_answered_and_half_read() {
    let discovery = TestListener::new();
    let FullBacklog {
        listener: crowded,
        fillers: _fillers,
    } = listener_with_full_backlog();
    let place = TestListener::new();
    let start = |address, host: &str| endpoint_list(7, true, &[endpoint(host, address, "up")]);
    let mut half_answered = GatewayProcess::start(
        default_settings(),
        discovery.address(),
        start(place.address(), "s-0"),
    );
    let mut dialling = GatewayProcess::start(
        default_settings(),
        discovery.address(),
        start(crowded.address(), "s-1"),
    );
    let mut client = half_answered.connect_client();
    client.write(request_with("id-1", "charge", "wide", LONG));
    let mut backend = place.accept();
    backend.read();
    backend.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
    let mut reading = half_answered.connect_client();
    let whole = request_with("id-2", "charge", "wide", LONG);
    reading.write(&whole[..whole.len() - 2]);
    let mut idle = half_answered.connect_client();
    idle.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(idle.read().status(), 200);
    let mut waiting = dialling.connect_client();
    waiting.write(request_with("id-3", "charge", "wide", "2"));
    wait_for("a dial", || {
        cometspool_fault_injection::scripted_peers::is_connecting(crowded.address()).then_some(())
    });
    half_answered.terminate();
    dialling.terminate();
    // Idle connections are closed once nobody is sent here any more; from then on new ones are turned away.
    idle.expect_close();
    let mut late = half_answered.connect_client();
    late.write(request_with("id-4", "read", "wide", LONG));
    let answer = late.read();
    assert_eq!(answer.status(), 429);
    let wait: f64 = answer
        .header("retry-after")
        .expect("advice")
        .parse()
        .expect("seconds");
    assert!(wait > 0.0 && wait <= 2.0, "{wait}");
    let status = reading.read().status();
    assert!(status >= 400, "{status}");
    for (client, refused) in [(&mut client, false), (&mut waiting, true)] {
        let status = client.read().status();
        // What never came up never ran, so it may be refused; what was half answered must not be.
        assert!(
            status >= 400 && (refused || !matches!(status, 429 | 503)),
            "{status}"
        );
    }
    assert_eq!(half_answered.wait_for_exit().code(), Some(0));
    assert_eq!(dialling.wait_for_exit().code(), Some(0));
}

/// Guards the effect of unsafe requests across a restart under one name, and a client's time: what the process before may
/// have run is not run again, and what it had only taken has what is left of its time.
#[test]
fn a_successor_runs_nothing_twice_and_grants_no_more_time() {
    let (discovery, place) = (TestListener::new(), TestListener::new());
    let path = temporary_path("handover");
    // No aim is shorter than the client's own time, so that this is what a backend is told of.
    let mut settings = default_settings();
    for grade in settings["grades"].as_array_mut().expect("grades") {
        (grade["aim"], grade["give_up"]) = (20_000.0.into(), 20_000.0.into());
    }
    let config = json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.address().to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "known": endpoint_list(7, true, &[endpoint("s-0", place.address(), "up")]), "settings": settings, "handover": path,
    });
    let mut first = GatewayProcess::start_with_configuration(config.clone());
    let (mut unsafe_one, mut safe_one) = (first.connect_client(), first.connect_client());
    unsafe_one.write(request_with("id-1", "charge", "wide", "10"));
    let mut backend = place.accept();
    backend.read();
    safe_one.write(request_with("id-2", "read", "wide", "10"));
    let mut backend = place.accept();
    let granted = told(&backend.read());
    let seen = Instant::now();
    first.child.kill().expect("a process");
    first.wait_for_exit();
    let second = GatewayProcess::start_with_configuration(config);
    let mut client = second.connect_client();
    client.write(request_with("id-1", "charge", "wide", "10"));
    assert_eq!(client.read().status(), 409);
    let passed = seen.elapsed().as_secs_f64();
    let mut client = second.connect_client();
    client.write(request_with("id-2", "read", "wide", "10"));
    let mut backend = place.accept();
    let again = backend.read();
    assert_eq!(
        again.header("request-id"),
        Some("id-2"),
        "the unsafe one was sent on again"
    );
    assert!(
        told(&again) <= granted - passed + 0.003,
        "{} after {granted} less {passed}",
        told(&again)
    );
    backend.respond(200, "", "ok");
    assert_eq!(client.read().status(), 200);
    // One that nobody has seen is taken as ever.
    client.write(request_with("id-3", "charge", "wide", LONG));
    assert_eq!(backend.read().header("request-id"), Some("id-3"));
}

/// Guards the switch for the handover: what cannot be a file is told with its key, and without it nothing is written.
#[test]
fn a_handover_that_cannot_be_kept_stops_the_start() {
    let discovery = TestListener::new();
    for bad in ["/", "/nowhere/at/all"] {
        let config = json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.address().to_string(),
            "seed": "1", "limits": {"sockets": 256}, "settings": default_settings(), "handover": bad,
        });
        let child = spawn_with_configuration(&config.to_string(), &[]).child;
        let output = child.wait_with_output().expect("an exit");
        assert_eq!(output.status.code(), Some(1));
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            text.contains("handover") && text.lines().count() == 1,
            "{text}"
        );
    }
}

/// Guards against a machine that vanished: its connections stay open and silent. The first attempt that finds out ends with
/// its time, and takes along the idle connections that are as dead; the next request dials anew.
#[test]
fn a_silent_loss_takes_the_idle_connections_along() {
    let fixture = TestFixture::new(1);
    let mut clients = [
        fixture.program.connect_client(),
        fixture.program.connect_client(),
    ];
    let mut links = Vec::new();
    for (i, client) in clients.iter_mut().enumerate() {
        client.write(request_with(&format!("id-{i}"), "charge", "wide", LONG));
        let mut backend = fixture.backends[0].accept();
        backend.read();
        links.push(backend);
    }
    for (client, backend) in clients.iter_mut().zip(&mut links) {
        backend.respond(200, "", "ok");
        assert_eq!(client.read().status(), 200);
    }
    // From here on the backend says nothing. Both connections end: the one that was used and the idle one.
    clients[0].write(request_with("id-2", "charge", "wide", "0.7"));
    assert!(clients[0].read().status() >= 400);
    let heard: Vec<bool> = links
        .iter()
        .map(|link| link.receives_within(MAX_WAIT))
        .collect();
    assert_eq!(heard.iter().filter(|heard| **heard).count(), 1, "{heard:?}");
    for (mut link, heard) in links.into_iter().zip(heard) {
        let mut rest = Vec::new();
        // A reset is an end as well; a read that only ran out of patience is none.
        let ended = link.reader.read_to_end(&mut rest);
        let open = ended.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
        assert!(!open, "still open, heard {heard}");
    }
    clients[0].write(request_with("id-3", "charge", "wide", LONG));
    let mut backend = fixture.backends[0].accept();
    assert_eq!(backend.read().header("request-id"), Some("id-3"));
    backend.respond(200, "", "ok");
    assert_eq!(clients[0].read().status(), 200);
}
