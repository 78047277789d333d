//! A planned stop where other events cross it, over loopback sockets: deadlines beyond its end, signals that come again, no list
//! yet, clients that go on sending on each connection that stays open.

use cometspool_fault_injection::scripted_peers::*;
use serde_json::Value;
use std::time::{Duration, Instant};

/// Long enough that no answer of these tests comes from a deadline.
const LONG: &str = "60";

/// Settings of a deployment whose clients wait for a minute.
fn patient() -> Value {
    let mut settings = default_settings();
    for class in settings["grades"].as_array_mut().expect("classes") {
        for key in ["aim", "give_up"] {
            class[key] = 60_000.0.into();
        }
    }
    settings
}

/// Guards requests whose deadline lies beyond the stop's end: a hung one, one whose answer never ends and one that waits for a
/// dial are answered before the process is killed, 3.7 s after it was told where deadlines are longer than 3 s, and the program
/// ends by itself. Told twice, and with a new configuration between, it keeps to the same end.
#[test]
fn no_deadline_outlasts_the_stop() {
    let discovery = TestListener::new();
    let FullBacklog {
        listener: crowded,
        fillers: _fillers,
    } = listener_with_full_backlog();
    let place = TestListener::new();
    let up = |host: &str, place: &TestListener| {
        endpoint_list(7, true, &[endpoint(host, place.address(), "up")])
    };
    let mut sends = GatewayProcess::start(patient(), discovery.address(), up("s-0", &place));
    let mut dials = GatewayProcess::start(patient(), discovery.address(), up("s-1", &crowded));
    let mut clients: Vec<ScriptedConnection> = ["hung", "endless"]
        .iter()
        .map(|id| {
            let mut client = sends.connect_client();
            client.write(request_with(id, "charge", "wide", LONG));
            client
        })
        .collect();
    let mut hung = place.accept();
    hung.read();
    let mut endless = place.accept();
    endless.read();
    endless.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
    let mut waiting = dials.connect_client();
    waiting.write(request_with("waits", "charge", "wide", LONG));
    wait_for("a dial", || is_connecting(crowded.address()).then_some(()));
    let told = Instant::now();
    for program in [&sends, &dials] {
        program.terminate();
        program.reload(&program.config.to_string());
        program.terminate();
    }
    for client in &mut clients {
        let status = client.read().status();
        assert!(
            status >= 500 && status != 503,
            "what may have run was refused: {status}"
        );
    }
    assert!(waiting.read().status() >= 400);
    assert_eq!(sends.wait_for_exit().code(), Some(0));
    assert_eq!(dials.wait_for_exit().code(), Some(0));
    // Far from 60 s; the stop's own end is 3.55 s.
    assert!(
        told.elapsed() < Duration::from_secs(30),
        "{:?}",
        told.elapsed()
    );
}

/// Guards a stop before there is a list: it ends by itself, and who asks meanwhile is refused.
#[test]
fn a_stop_before_there_is_a_list_ends_by_itself() {
    let discovery = TestListener::new();
    let mut program = GatewayProcess::start(patient(), discovery.address(), Value::Null);
    let mut client = program.connect_client();
    client.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(client.read().status(), 503);
    program.terminate();
    while program.read_log_line() != "n0: stopping\n" {}
    client.write(request_with("early", "charge", "wide", LONG));
    let answer = client.read();
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (429, Some("close"))
    );
    client.expect_close();
    assert_eq!(program.wait_for_exit().code(), Some(0));
}

/// Guards clients that send on each connection that stays open, one after another, from before the stop until the program has
/// ended: each request gets an answer, or its connection ends before a byte of an answer and the client asks again on a new one;
/// a new one that is refused, or ends as well, has found nobody any more. None is sent on twice by that.
#[test]
fn whoever_goes_on_sending_gets_an_answer_or_a_close() {
    let fixture = TestFixture::with_settings(patient(), 1);
    let address = fixture.program.address;
    let backend = std::thread::spawn({
        let place = fixture.backends.into_iter().next().expect("a backend");
        move || {
            let mut ids = Vec::new();
            while let Some(mut wire) =
                wait_for("a request or the end", || match place.try_accept() {
                    Some(wire) => Some(Some(wire)),
                    None => std::net::TcpStream::connect(address)
                        .is_err()
                        .then_some(None),
                })
            {
                // One request to a connection, so that all come by here.
                let sent = wire.read();
                ids.push(sent.header("request-id").expect("an id").to_owned());
                wire.respond(200, "Connection: close\r\n", "ok");
            }
            ids
        }
    });
    let mut program = fixture.program;
    let mut client = program.connect_client();
    let (mut served, mut refused, mut resent) = (0, 0, 0);
    for i in 0.. {
        if i == 20 {
            program.terminate();
        }
        let request = request_with(&format!("r-{i}"), "charge", "wide", LONG);
        let status = ask(&mut client, &request).or_else(|| {
            resent += 1;
            let stream = std::net::TcpStream::connect(address).ok()?;
            client = ScriptedConnection::new(stream);
            ask(&mut client, &request)
        });
        match status {
            Some(200) => served += 1,
            Some(429) => refused += 1,
            Some(other) => panic!("r-{i}: {other}"),
            None => break,
        }
    }
    assert_eq!(program.wait_for_exit().code(), Some(0));
    let mut ids = backend.join().expect("a backend");
    let sent = ids.len();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), sent, "sent on twice");
    assert!(
        served >= 20 && sent == served,
        "{served} served, {sent} sent on, {refused} refused, {resent} resent"
    );
}

/// Asks on a connection; nothing if it ended before a byte of an answer. One that ends within an answer fails the test.
fn ask(client: &mut ScriptedConnection, request: &str) -> Option<u16> {
    use std::io::{BufRead, Write};
    client.reader.get_mut().write_all(request.as_bytes()).ok()?;
    let said = client.reader.fill_buf().ok()?;
    (!said.is_empty()).then(|| client.read().status())
}
