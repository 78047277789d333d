//! When an answer of a backend is whole, over loopback sockets: one that tells its length or comes in chunks with its last
//! byte, any other where its connection ends in order. What is cut or too long reaches no client as an answer.

use cometspool_fault_injection::scripted_peers::*;
use std::io::Read;
use std::time::{Duration, Instant};

/// Long enough that no answer of these tests comes from a deadline.
const LONG: &str = "8";
/// The head of an answer that ends with its connection.
const HEAD: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\nApi-Usage: 12\r\n\r\n";

fn reset(wire: ScriptedConnection) {
    wire.reset_on_close();
}

/// A client's request that has reached the only backend whole.
fn begun(fixture: &TestFixture, id: &str, class: &str) -> (ScriptedConnection, ScriptedConnection) {
    let mut client = fixture.program.connect_client();
    client.write(request_with(id, class, "wide", LONG));
    let mut backend = fixture.backends[0].accept();
    assert_eq!(backend.read().header("request-id"), Some(id));
    (client, backend)
}

/// Returns once the front door has served another request: what had come before it has been read by then.
fn serve_another(fixture: &TestFixture, id: &str) {
    let (mut client, mut backend) = begun(fixture, id, "read");
    backend.respond(200, "Connection: close\r\n", "another");
    assert_eq!(client.read().body, b"another");
}

/// Guards answers that tell no length: the connection stays open until the backend ends it, however the body is cut into
/// pieces, and what came is passed on whole, with a length by which the client can tell.
#[test]
fn an_answer_without_a_length_is_whole_where_its_connection_ends() {
    let long = "0123456789abcdef".repeat(25_000);
    for pieces in [
        vec![""],
        vec!["whole"],
        vec!["in ", "two"],
        vec![long.as_str(), "and more"],
    ] {
        let fixture = TestFixture::new(1);
        let (mut client, mut backend) = begun(&fixture, "id-1", "charge");
        backend.write(HEAD);
        for (number, piece) in pieces.iter().enumerate() {
            backend.write(piece);
            serve_another(&fixture, &format!("between-{number}"));
            assert!(
                !client.is_readable() && !backend.is_readable(),
                "ended before the backend did"
            );
        }
        drop(backend);
        let answer = client.read();
        assert_eq!(answer.status(), 200);
        assert!(
            answer.body == pieces.concat().as_bytes(),
            "{} bytes",
            answer.body.len()
        );
        assert!(answer.header("content-length").is_some());
        // Its connection carries nothing more.
        serve_another(&fixture, "next");
    }
}

/// Guards against a cut answer passed for a whole one: a reset is no end, before the first byte of the body or after any.
#[test]
fn a_reset_cuts_an_answer_without_a_length() {
    for said in ["", "half"] {
        let fixture = TestFixture::new(1);
        let (mut client, mut backend) = begun(&fixture, "id-1", "charge");
        backend.write(format!("{HEAD}{said}"));
        serve_another(&fixture, "between");
        reset(backend);
        assert_eq!(client.read().status(), 502, "{said:?}");
        assert!(
            fixture.no_backend_contacted(),
            "{said:?}: an unsafe request that may have run was sent again"
        );
        // What may be repeated is served elsewhere.
        let (mut client, mut backend) = begun(&fixture, "id-2", "read");
        backend.write(format!("{HEAD}{said}"));
        serve_another(&fixture, "between-2");
        reset(backend);
        let mut backend = fixture.backends[0].accept();
        assert_eq!(backend.read().header("request-id"), Some("id-2"));
        backend.respond(200, "", "again");
        assert_eq!(client.read().body, b"again", "{said:?}");
    }
}

/// Guards a request's time: an answer without a length that does not end is given up with the request.
#[test]
fn an_answer_without_an_end_is_given_up_in_time() {
    let fixture = TestFixture::new(1);
    let mut client = fixture.program.connect_client();
    client.write(request_with("id-1", "charge", "wide", "1.5"));
    let mut backend = fixture.backends[0].accept();
    backend.read();
    backend.write(format!("{HEAD}half"));
    assert_eq!(client.read().status(), 502);
    backend.expect_close();
}

/// Guards memory: an answer without a length, or in chunks, is given up once it is longer than any answer may be.
#[test]
fn an_answer_that_proves_too_long_is_a_failure_at_once() {
    let megabyte = "x".repeat(1 << 20);
    for (name, begin) in [
        ("no length", format!("{HEAD}{megabyte}x")),
        (
            "chunks",
            format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n100001\r\n{megabyte}x"),
        ),
    ] {
        let fixture = TestFixture::new(1);
        let (mut client, mut backend) = begun(&fixture, "id-1", "charge");
        // The front door may close before all is written.
        let _ = std::io::Write::write_all(backend.reader.get_mut(), begin.as_bytes());
        assert_eq!(client.read().status(), 502, "{name}");
        backend.expect_close();
    }
}

/// Guards long answers against each other: memory is set aside as they grow, so many that come at once and tell no length
/// before their end all come whole.
#[test]
fn many_long_answers_at_once_come_whole() {
    let body = "0123456789abcdef".repeat(6_000);
    let heads = [
        HEAD.to_owned(),
        format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n",
            body.len()
        ),
    ];
    let (discovery, backends) = (
        TestListener::new(),
        (0..10)
            .map(|_| TestListener::new())
            .collect::<Vec<TestListener>>(),
    );
    let hosts: Vec<_> = backends
        .iter()
        .enumerate()
        .map(|(i, place)| endpoint(&format!("s-{i}"), place.address(), "up"))
        .collect();
    // 32 MB leave 8 MB for long answers.
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
            LONG,
        ));
        let (_, mut wire) =
            accept_any_unless_answered(&backends, &client).expect("a request that is sent on");
        wire.read();
        wire.write(format!("{}{body}", heads[number % 2]));
        open.push((client, wire));
    }
    for (number, (mut client, mut wire)) in open.into_iter().enumerate() {
        if number % 2 == 1 {
            wire.write("\r\n0\r\n\r\n");
        }
        drop(wire);
        let answer = client.read();
        assert_eq!(answer.status(), 200, "number {number}");
        assert!(
            answer.body == body.as_bytes(),
            "number {number}: {} bytes",
            answer.body.len()
        );
    }
}

/// Asks for long answers, one after another, and reads none until the front door can write no more and the time of the last one
/// is just over. Whether all of them then come whole; nothing if the machine was too slow to tell.
fn read_just_after_the_deadline() -> Option<bool> {
    let timeout = Duration::from_millis(1500);
    let fixture = TestFixture::new(1);
    let mut client = fixture.program.connect_client();
    let mut ask =
        |id: usize| client.write(request_with(&format!("id-{id}"), "charge", "wide", "1.5"));
    ask(0);
    let mut backend = fixture.backends[0].accept();
    let body = "0123456789abcdef".repeat(60_000);
    let mut answered = 0;
    let mut last = Instant::now();
    // The system takes some MB for a reader that does not read; what is beyond waits in the front door.
    while backend.receives_within(Duration::from_millis(300)) {
        last = Instant::now();
        backend.read();
        backend.respond(200, "", &body);
        answered += 1;
        ask(answered);
    }
    let late = timeout + Duration::from_millis(50);
    wait_for("the end of the last one's time", || {
        (last.elapsed() > late).then_some(())
    });
    let mut got = Vec::new();
    let reader = &mut client.reader;
    let whole = std::io::Read::take(reader, (answered * body.len()) as u64)
        .read_to_end(&mut got)
        .is_ok();
    let in_time = last.elapsed() < timeout + Duration::from_millis(400);
    in_time.then_some(whole && got.len() == answered * body.len())
}

/// Guards long answers to slow clients: what is being written when the request's time is over goes on for as long as its client
/// may still take it.
#[test]
fn an_answer_that_is_being_written_at_the_deadline_comes_whole() {
    let told = (0..10).find_map(|_| read_just_after_the_deadline());
    assert_eq!(told, Some(true));
}
