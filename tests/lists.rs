//! The list of backends where two events cross, over loopback sockets: silence, layout, versions that go back, old addresses.

use cometspool_fault_injection::scripted_peers::*;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// Long enough that no answer of these tests comes from a deadline.
const LONG: &str = "8";

fn watch_from(seq: u64) -> String {
    format!("GET /catalog/members?watch=1&from={seq} HTTP/1.1")
}

/// The agent's next call, which has to be this one.
fn called(discovery: &TestListener, first: &str) -> ScriptedConnection {
    let mut wire = discovery.accept();
    assert_eq!(wire.read().start_line, first);
    wire
}

/// Asks until a request reaches a backend: until then it is refused, as there is nobody to send it to.
fn served_by(program: &GatewayProcess, backend: &TestListener, name: &str) {
    let mut client = program.connect_client();
    let begun = Instant::now();
    let reached = (0..).find_map(|i| {
        assert!(begun.elapsed() < MAX_WAIT, "{name}: nobody to send it to");
        client.write(request_with(&format!("{name}-{i}"), "read", "wide", LONG));
        let reached = backend.accept_unless_answered(&client);
        if reached.is_none() {
            assert_eq!(client.read().status(), 429);
        }
        reached
    });
    let mut backend = reached.expect("a connection");
    backend.read();
    backend.respond(200, "Connection: close\r\n", name);
    assert_eq!(client.read().body, name.as_bytes());
}

/// Guards against a watch that is broken unseen, whatever it said last: from its first byte, after its header, between two
/// lines, within a line, within an indented list. It is opened anew, from what is known; where half an object came, the whole
/// list is asked for. Bytes of an object that never ends are no sign of life.
#[test]
fn silence_ends_a_watch_wherever_it_begins() {
    let whole = "GET /catalog/members HTTP/1.1".to_owned();
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let indented = format!("{:#}", endpoint_list(9, false, &[]));
    let cases = [
        ("before the first byte", String::new(), false, watch_from(7)),
        (
            "within the header",
            head[..20].to_owned(),
            false,
            watch_from(7),
        ),
        ("after the header", head.to_owned(), false, watch_from(7)),
        (
            "after a sign of life",
            head.to_owned() + &chunk("\n"),
            false,
            watch_from(7),
        ),
        (
            "after an empty list",
            head.to_owned() + &chunk(&endpoint_list(8, false, &[]).to_string()),
            false,
            watch_from(8),
        ),
        (
            "within a line",
            head.to_owned() + &chunk("{\"seq\":9,\"whole\":"),
            false,
            whole.clone(),
        ),
        (
            "within an indented list",
            head.to_owned() + &chunk(&indented[..indented.len() - 3]),
            false,
            whole.clone(),
        ),
        (
            "dripping",
            head.to_owned() + &chunk("{\"seq\":9,\"whole\":"),
            true,
            whole,
        ),
    ];
    let runs: Vec<_> = cases
        .into_iter()
        .map(|(name, said, drips, then)| {
            std::thread::spawn(move || {
                let discovery = TestListener::new();
                let _program = GatewayProcess::start(
                    default_settings(),
                    discovery.address(),
                    endpoint_list(7, true, &[]),
                );
                let mut wire = called(&discovery, &watch_from(7));
                wire.write(said);
                let mut again = wait_for(name, || {
                    if drips {
                        // The front door may have closed its end by now.
                        let _ = std::io::Write::write_all(wire.reader.get_mut(), b"1\r\n \r\n");
                        std::thread::sleep(Duration::from_millis(50));
                    }
                    discovery.try_accept()
                });
                assert_eq!(again.read().start_line, then, "{name}");
            })
        })
        .collect();
    runs.into_iter()
        .for_each(|fixture| fixture.join().expect("a fixture that held"));
}

/// Guards lists that come indented: over many lines, in a watch and as the whole list, with signs of life between.
#[test]
fn an_indented_list_is_taken_in() {
    let mut fixture = TestFixture::new(1);
    let fresh = TestListener::new();
    let hosts = [endpoint("s-1", fresh.address(), "up")];
    fixture
        .watch
        .send_line(&format!("{:#}", endpoint_list(8, true, &hosts)));
    fixture.watch.send_line("");
    served_by(&fixture.program, &fresh, "watched");
    fixture.watch.connection.write("0\r\n\r\n");
    drop(fixture.watch);
    called(&fixture.discovery, &watch_from(8)).respond(404, "", "");
    let last = TestListener::new();
    let hosts = [endpoint("s-2", last.address(), "up")];
    let mut wire = called(&fixture.discovery, "GET /catalog/members HTTP/1.1");
    wire.respond(
        200,
        "",
        &format!("\n{:#}\n\n", endpoint_list(9, true, &hosts)),
    );
    called(&fixture.discovery, &watch_from(9));
    served_by(&fixture.program, &last, "listed");
}

/// Guards what has been told against a list that is older: one that lags brings back no process that was told to drain or to
/// be gone, nor do the changes that follow in it; a new process of that name is another matter, and so is a newer version.
#[test]
fn an_older_list_brings_back_nothing_that_has_ended() {
    type End = fn(&TestListener) -> Vec<Value>;
    let ends: [(&str, End); 3] = [
        ("draining", |place| {
            vec![endpoint("s-0", place.address(), "draining")]
        }),
        ("removed", |place| {
            vec![endpoint("s-0", place.address(), "removed")]
        }),
        ("not listed", |_| Vec::new()),
    ];
    for (name, end) in ends {
        let mut fixture = TestFixture::new(1);
        let up = || endpoint("s-0", fixture.backends[0].address(), "up");
        fixture.watch.send_line(
            &endpoint_list(12, name == "not listed", &end(&fixture.backends[0])).to_string(),
        );
        fixture.watch.connection.write("0\r\n\r\n");
        drop(fixture.watch);
        called(&fixture.discovery, &watch_from(12)).respond(404, "", "");
        let mut wire = called(&fixture.discovery, "GET /catalog/members HTTP/1.1");
        wire.respond(200, "", &endpoint_list(9, true, &[up()]).to_string());
        let mut watch = WatchStream::begin_response(called(&fixture.discovery, &watch_from(9)));
        let refused = |id: &str| {
            let mut client = fixture.program.connect_client();
            client.write(request_with(id, "read", "wide", LONG));
            assert!(
                fixture.backends[0]
                    .accept_unless_answered(&client)
                    .is_none(),
                "{name}: {id} was sent on"
            );
            assert_eq!(client.read().status(), 429, "{name}: {id}");
        };
        refused("older-whole");
        watch.send_line(&endpoint_list(10, false, &[up()]).to_string());
        watch.connection.write("0\r\n\r\n");
        drop(watch);
        let mut watch = WatchStream::begin_response(called(&fixture.discovery, &watch_from(10)));
        refused("older-change");
        let mut anew = up();
        anew["born_ms"] = json!(5.0);
        watch.send_line(&endpoint_list(11, false, &[anew]).to_string());
        served_by(&fixture.program, &fixture.backends[0], "another-process");
    }
}

/// Guards against changes that lead back: they say what came after a version, so from a later one they lead nowhere, and the
/// whole list is asked for.
#[test]
fn changes_to_an_earlier_version_ask_for_the_whole_list() {
    let mut fixture = TestFixture::new(1);
    fixture
        .watch
        .send_line(&endpoint_list(6, false, &[]).to_string());
    let mut wire = called(&fixture.discovery, "GET /catalog/members HTTP/1.1");
    wire.respond(200, "", &endpoint_list(6, true, &[]).to_string());
    called(&fixture.discovery, &watch_from(6));
}

/// Guards the move of discovery: what the old address answers late is not read any more, whole list or change, whether it
/// comes before the new one has answered or after.
#[test]
fn the_old_address_tells_nothing_after_a_new_configuration() {
    for late in [false, true] {
        let (old, fresh, right) = (
            TestListener::new(),
            TestListener::new(),
            TestListener::new(),
        );
        let wrong = TestListener::new();
        let program = GatewayProcess::start(default_settings(), old.address(), Value::Null);
        let mut asked = called(&old, "GET /catalog/members HTTP/1.1");
        let mut config = program.config.clone();
        config["discovery"] = fresh.address().to_string().into();
        program.reload(&config.to_string());
        let mut moved = called(&fresh, "GET /catalog/members HTTP/1.1");
        let tell = |asked: &mut ScriptedConnection| {
            let list =
                endpoint_list(50, true, &[endpoint("s-0", wrong.address(), "up")]).to_string();
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
                list.len()
            );
            // Its reader has left.
            let _ = std::io::Write::write_all(asked.reader.get_mut(), head.as_bytes());
        };
        if !late {
            tell(&mut asked);
        }
        moved.respond(
            200,
            "",
            &endpoint_list(8, true, &[endpoint("s-1", right.address(), "up")]).to_string(),
        );
        called(&fresh, &watch_from(8));
        if late {
            tell(&mut asked);
        }
        asked.expect_close();
        served_by(&program, &right, "moved");
        assert!(!wrong.has_pending_connection());
    }
}

/// Guards a name that comes back elsewhere or as another process: what waits for a connection to what was there before gets
/// none, and the next request goes to where it is now.
#[test]
fn a_backend_listed_again_elsewhere_is_not_sent_to_where_it_was() {
    let discovery = TestListener::new();
    let FullBacklog {
        listener: before,
        fillers,
    } = listener_with_full_backlog();
    let after = TestListener::new();
    let up = |place: &TestListener| endpoint("s-0", place.address(), "up");
    let program = GatewayProcess::start(
        default_settings(),
        discovery.address(),
        endpoint_list(7, true, &[up(&before)]),
    );
    let mut watch = WatchStream::begin_response(called(&discovery, &watch_from(7)));
    let mut client = program.connect_client();
    client.write(request_with("id-1", "charge", "wide", LONG));
    wait_for("a dial that hangs", || {
        is_connecting(before.address()).then_some(())
    });
    watch.send_line(
        &endpoint_list(8, false, &[endpoint("s-0", before.address(), "removed")]).to_string(),
    );
    watch.send_line(&endpoint_list(9, false, &[up(&after)]).to_string());
    // What waited is sent where it is now, or refused: never to where it was.
    let sent = after.accept_unless_answered(&client);
    for _ in &fillers {
        before.accept();
    }
    match sent {
        Some(mut backend) => {
            assert_eq!(backend.read().header("request-id"), Some("id-1"));
            backend.respond(200, "", "now");
            assert_eq!(client.read().body, b"now");
        }
        None => {
            assert_eq!(client.read().status(), 429);
            served_by(&program, &after, "next");
        }
    }
    // The dial to the old place may come up; nothing is said on it.
    if let Some(mut stale) = before.try_accept() {
        stale.expect_close();
    }
}

/// What discovery has is in force so long after it had it and could be reached, and after a new configuration.
const IN_FORCE: Duration = Duration::from_secs(6);
const IN_FORCE_ELSEWHERE: Duration = Duration::from_secs(4);
/// How long a call is let wait here, below the time that a call gets at least.
const LONG_WAIT: Duration = Duration::from_millis(1200);
/// A slow answer after a call that hung: such a call is let wait for longer.
const SLOW_ANSWER: Duration = Duration::from_secs(2);
/// The slowest one that is waited for.
const SLOWEST_ANSWER: Duration = Duration::from_millis(2800);

/// Settings of a fleet whose calls would keep a service busy if they came often.
fn large_fleet() -> Value {
    let mut large = default_settings();
    large["fleet_size"] = 300.into();
    large
}

/// Answers a call whose request has been read with a new list that holds `fresh` alone, and waits until a request gets there.
fn told_and_served(program: &GatewayProcess, call: ScriptedConnection, fresh: &TestListener) {
    let mut watch = WatchStream::begin_response(call);
    watch.send_line(&endpoint_list(8, true, &[endpoint("s-1", fresh.address(), "up")]).to_string());
    served_by(program, fresh, "in-force");
}

/// Guards the list against long pauses of a large fleet: after each call that discovery refuses, at once or after a wait,
/// what it has is in force in time.
#[test]
fn after_a_refused_call_the_list_is_in_force_in_time() {
    for status in [503, 429] {
        let discovery = TestListener::new();
        let fresh = TestListener::new();
        let program = GatewayProcess::start(
            large_fleet(),
            discovery.address(),
            endpoint_list(7, true, &[]),
        );
        for wait in [Duration::ZERO, LONG_WAIT] {
            // Each of these calls may be the last one before discovery can be reached again.
            let mut refused = called(&discovery, &watch_from(7));
            let had = Instant::now();
            // The service takes this long to refuse it.
            std::thread::sleep(wait);
            refused.respond(status, "", "");
            // A response that overtakes its request would end the connection: `called` has read the request.
            let call = called(&discovery, &watch_from(7));
            assert!(
                had.elapsed() < IN_FORCE,
                "{status} after {wait:?}: called again after {:?}",
                had.elapsed()
            );
            if wait == LONG_WAIT {
                told_and_served(&program, call, &fresh);
                assert!(
                    had.elapsed() < IN_FORCE,
                    "{status}: in force after {:?}",
                    had.elapsed()
                );
            } else {
                drop(call);
            }
        }
    }
}

/// Guards the list after a watch that fell silent, where the first call after it is refused: the silence has taken most of
/// the time.
#[test]
fn after_a_silent_watch_and_a_refused_call_the_list_is_in_force_in_time() {
    let fresh = TestListener::new();
    let mut fixture = TestFixture::with_settings(large_fleet(), 0);
    fixture.watch.send_line("");
    let silent = Instant::now();
    called(&fixture.discovery, &watch_from(7)).respond(503, "", "");
    let call = called(&fixture.discovery, &watch_from(7));
    told_and_served(&fixture.program, call, &fresh);
    assert!(
        silent.elapsed() < IN_FORCE,
        "in force after {:?}",
        silent.elapsed()
    );
}

/// Guards the list against calls that hang while discovery comes back: each is given up early enough that a further one,
/// also one whose answer is slow, is in time.
#[test]
fn after_a_hung_call_the_list_is_in_force_in_time() {
    let discovery = TestListener::new();
    let fresh = TestListener::new();
    let program = GatewayProcess::start(
        large_fleet(),
        discovery.address(),
        endpoint_list(7, true, &[]),
    );
    let _first = called(&discovery, &watch_from(7));
    let _second = called(&discovery, &watch_from(7));
    let had = Instant::now();
    let call = called(&discovery, &watch_from(7));
    // The answer is slow, but no slower than the calls before were let wait.
    std::thread::sleep(SLOW_ANSWER);
    told_and_served(&program, call, &fresh);
    assert!(
        had.elapsed() < IN_FORCE,
        "in force after {:?}",
        had.elapsed()
    );
}

/// Guards the list against dials that hang: each is given up early enough for the slowest answer to a further one.
#[test]
fn after_a_hung_dial_the_list_is_in_force_in_time() {
    let FullBacklog {
        listener: discovery,
        fillers,
    } = listener_with_full_backlog();
    let fresh = TestListener::new();
    let program = GatewayProcess::start(
        large_fleet(),
        discovery.address(),
        endpoint_list(7, true, &[]),
    );
    wait_for("a dial that hangs", || {
        is_connecting(discovery.address()).then_some(())
    });
    let had = Instant::now();
    wait_for("a dial that is given up", || {
        (!is_connecting(discovery.address())).then_some(())
    });
    assert!(
        had.elapsed() + SLOWEST_ANSWER < IN_FORCE,
        "given up after {:?}",
        had.elapsed()
    );
    for _ in &fillers {
        discovery.accept();
    }
    told_and_served(&program, called(&discovery, &watch_from(7)), &fresh);
    assert!(
        had.elapsed() < IN_FORCE,
        "in force after {:?}",
        had.elapsed()
    );
}

/// Guards the list at a new address of discovery that refuses the first call.
#[test]
fn after_a_move_and_a_refused_call_the_list_is_in_force_in_time() {
    let moved = TestListener::new();
    let fresh = TestListener::new();
    let fixture = TestFixture::with_settings(large_fleet(), 0);
    let mut config = fixture.program.config.clone();
    config["discovery"] = moved.address().to_string().into();
    let told = Instant::now();
    fixture.program.reload(&config.to_string());
    called(&moved, &watch_from(7)).respond(503, "", "");
    told_and_served(&fixture.program, called(&moved, &watch_from(7)), &fresh);
    assert!(
        told.elapsed() < IN_FORCE_ELSEWHERE,
        "in force after {:?}",
        told.elapsed()
    );
}
