//! The watch of the endpoint list, over loopback sockets: how it is resumed, and how soon a list is in force after a fault
//! of the discovery service.

use cometspool_fault_injection::scripted_peers::*;
use serde_json::Value;
use std::io::Write;
use std::time::{Duration, Instant};

/// The time within which a list is in force after the discovery service has it and can be reached.
const IN_FORCE: Duration = Duration::from_secs(6);
/// The same after a configuration that moves the discovery service.
const IN_FORCE_AFTER_MOVE: Duration = Duration::from_secs(4);
/// How long a call waits for its response here, less than the least timeout of a call.
const LONG_WAIT: Duration = Duration::from_millis(1200);
/// The time of a slow response after a call that hung: the timeout of such a call is longer.
const SLOW_RESPONSE: Duration = Duration::from_secs(2);
/// The time of the slowest response within the timeout of any call.
const SLOWEST_RESPONSE: Duration = Duration::from_millis(2800);

/// A watch that ends is resumed from the version last received, and an unreadable line makes the gateway request the
/// complete list.
#[test]
fn a_watch_resumes_and_an_unreadable_line_requests_the_complete_list() {
    let mut fixture = TestFixture::new(1);
    let hosts = [endpoint("s-0", fixture.backends[0].address(), "up")];
    fixture.watch.send_line("");
    fixture
        .watch
        .send_line(&endpoint_list(12, false, &hosts).to_string());
    fixture.watch.finish();
    let connection = fixture.discovery.accept_request(&watch_request(12));
    let mut watch = WatchStream::begin_response(connection);
    watch.send_line("{\"seq\":13,\"whole\":");
    let mut connection = fixture.discovery.accept_request(LIST_REQUEST);
    connection.respond(200, "", &endpoint_list(20, true, &hosts).to_string());
    fixture.discovery.accept_request(&watch_request(20));
}

/// An overloaded discovery service is not asked for more than before: one that rejects a watch knows the version, so the
/// changes are requested again, and the complete list only where it says that there is no such watch.
#[test]
fn a_rejected_watch_is_requested_from_the_same_version() {
    let fixture = TestFixture::new(1);
    fixture.watch.finish();
    for status in [503, 503, 500, 404] {
        let mut connection = fixture.discovery.accept_request(&watch_request(7));
        connection.respond(status, "", "");
    }
    fixture.discovery.accept_request(LIST_REQUEST);
}

/// A watch whose other end has vanished sends nothing and does not end: it is requested again.
#[test]
fn a_silent_watch_is_requested_again() {
    let fixture = TestFixture::new(1);
    fixture.discovery.accept_request(&watch_request(7));
}

/// Where a watch falls silent, and which request has to follow.
struct SilentWatch {
    name: &'static str,
    /// What the service sends before.
    sent: String,
    /// Whether it goes on to send single spaces, each a chunk of its own.
    drips: bool,
    next_request: String,
}

fn silent_watches() -> Vec<SilentWatch> {
    let complete = LIST_REQUEST.to_owned();
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let indented = format!("{:#}", endpoint_list(9, false, &[]));
    let case = |name, sent, drips, next_request| SilentWatch {
        name,
        sent,
        drips,
        next_request,
    };
    vec![
        case(
            "before the first byte",
            String::new(),
            false,
            watch_request(7),
        ),
        case(
            "within the header",
            head[..20].to_owned(),
            false,
            watch_request(7),
        ),
        case("after the header", head.to_owned(), false, watch_request(7)),
        case(
            "after a heartbeat",
            head.to_owned() + &chunk("\n"),
            false,
            watch_request(7),
        ),
        case(
            "after an empty list",
            head.to_owned() + &chunk(&endpoint_list(8, false, &[]).to_string()),
            false,
            watch_request(8),
        ),
        case(
            "within a line",
            head.to_owned() + &chunk("{\"seq\":9,\"whole\":"),
            false,
            complete.clone(),
        ),
        case(
            "within an indented list",
            head.to_owned() + &chunk(&indented[..indented.len() - 3]),
            false,
            complete.clone(),
        ),
        case(
            "dripping",
            head.to_owned() + &chunk("{\"seq\":9,\"whole\":"),
            true,
            complete,
        ),
    ]
}

/// A watch that falls silent is closed, whatever it sent last: from its first byte, after its header, between two lines,
/// within a line, within an indented list. It is requested again from the known version, and the complete list where part
/// of an object arrived. Bytes of an object that never ends are no heartbeat.
#[test]
fn silence_ends_a_watch_wherever_it_starts() {
    let runs: Vec<_> = silent_watches()
        .into_iter()
        .map(|case| {
            std::thread::spawn(move || {
                let discovery = TestListener::new();
                let _program = GatewayProcess::start(
                    default_settings(),
                    discovery.address(),
                    endpoint_list(7, true, &[]),
                );
                let mut connection = discovery.accept_request(&watch_request(7));
                connection.write(&case.sent);
                let mut next = wait_for(case.name, || {
                    if case.drips {
                        // The gateway may have closed its end by now.
                        let _ = connection.reader.get_mut().write_all(b"1\r\n \r\n");
                        std::thread::sleep(Duration::from_millis(50));
                    }
                    discovery.try_accept()
                });
                assert_eq!(next.read().start_line, case.next_request, "{}", case.name);
            })
        })
        .collect();
    for run in runs {
        run.join().expect("a case that passed");
    }
}

/// Settings of a fleet so large that frequent calls would overload the discovery service.
fn large_fleet() -> Value {
    let mut settings = default_settings();
    settings["fleet_size"] = 300.into();
    settings
}

/// Responds to a watch request that has been read with a new list that holds `backend` alone, and waits until a request
/// reaches it.
fn bring_list_in_force(
    program: &GatewayProcess,
    connection: ScriptedConnection,
    backend: &TestListener,
) {
    let mut watch = WatchStream::begin_response(connection);
    let hosts = [endpoint("s-1", backend.address(), "up")];
    watch.send_line(&endpoint_list(8, true, &hosts).to_string());
    program.wait_until_served_by(backend, "in-force");
}

/// A large fleet pauses for long between calls, but after each call that the discovery service rejects, at once or late,
/// its list is in force in time.
#[test]
fn after_a_rejected_call_the_list_is_in_force_in_time() {
    for status in [503, 429] {
        let discovery = TestListener::new();
        let backend = TestListener::new();
        let program = GatewayProcess::start(
            large_fleet(),
            discovery.address(),
            endpoint_list(7, true, &[]),
        );
        for wait in [Duration::ZERO, LONG_WAIT] {
            // Each of these calls may be the last one before the service can be reached again.
            let mut rejected = discovery.accept_request(&watch_request(7));
            let available = Instant::now();
            // The service takes this long to reject it.
            std::thread::sleep(wait);
            rejected.respond(status, "", "");
            // The request has to be read first: a response that overtakes it would end the connection.
            let call = discovery.accept_request(&watch_request(7));
            assert!(
                available.elapsed() < IN_FORCE,
                "{status} after {wait:?}: called again after {:?}",
                available.elapsed()
            );
            if wait == LONG_WAIT {
                bring_list_in_force(&program, call, &backend);
                assert!(
                    available.elapsed() < IN_FORCE,
                    "{status}: in force after {:?}",
                    available.elapsed()
                );
            } else {
                drop(call);
            }
        }
    }
}

/// A watch falls silent and the first call after it is rejected: the list is in force in time, although the silence has
/// taken most of it.
#[test]
fn after_a_silent_watch_and_a_rejected_call_the_list_is_in_force_in_time() {
    let backend = TestListener::new();
    let mut fixture = TestFixture::with_settings(large_fleet(), 0);
    fixture.watch.send_line("");
    let silent = Instant::now();
    fixture
        .discovery
        .accept_request(&watch_request(7))
        .respond(503, "", "");
    let call = fixture.discovery.accept_request(&watch_request(7));
    bring_list_in_force(&fixture.program, call, &backend);
    assert!(
        silent.elapsed() < IN_FORCE,
        "in force after {:?}",
        silent.elapsed()
    );
}

/// Calls hang while the discovery service recovers: each times out early enough that a further one, also with a slow
/// response, is in time.
#[test]
fn after_a_hung_call_the_list_is_in_force_in_time() {
    let discovery = TestListener::new();
    let backend = TestListener::new();
    let program = GatewayProcess::start(
        large_fleet(),
        discovery.address(),
        endpoint_list(7, true, &[]),
    );
    let _first = discovery.accept_request(&watch_request(7));
    let _second = discovery.accept_request(&watch_request(7));
    let available = Instant::now();
    let call = discovery.accept_request(&watch_request(7));
    // The response is slow, but within the timeout of the calls before.
    std::thread::sleep(SLOW_RESPONSE);
    bring_list_in_force(&program, call, &backend);
    assert!(
        available.elapsed() < IN_FORCE,
        "in force after {:?}",
        available.elapsed()
    );
}

/// Connection attempts to the discovery service hang: each times out early enough for the slowest response to a further
/// call.
#[test]
fn after_a_hung_connection_attempt_the_list_is_in_force_in_time() {
    let FullBacklog {
        listener: discovery,
        fillers,
    } = listener_with_full_backlog();
    let backend = TestListener::new();
    let program = GatewayProcess::start(
        large_fleet(),
        discovery.address(),
        endpoint_list(7, true, &[]),
    );
    wait_for("a connection attempt that hangs", || {
        is_connecting(discovery.address()).then_some(())
    });
    let available = Instant::now();
    wait_for("a connection attempt that times out", || {
        (!is_connecting(discovery.address())).then_some(())
    });
    assert!(
        available.elapsed() + SLOWEST_RESPONSE < IN_FORCE,
        "timed out after {:?}",
        available.elapsed()
    );
    for _ in &fillers {
        discovery.accept();
    }
    let call = discovery.accept_request(&watch_request(7));
    bring_list_in_force(&program, call, &backend);
    assert!(
        available.elapsed() < IN_FORCE,
        "in force after {:?}",
        available.elapsed()
    );
}

/// The discovery service moves, and rejects the first call at its new address: the list is in force in time.
#[test]
fn after_a_move_and_a_rejected_call_the_list_is_in_force_in_time() {
    let moved = TestListener::new();
    let backend = TestListener::new();
    let fixture = TestFixture::with_settings(large_fleet(), 0);
    let mut config = fixture.program.config.clone();
    config["discovery"] = moved.address().to_string().into();
    let reloaded = Instant::now();
    fixture.program.reload(&config.to_string());
    moved.accept_request(&watch_request(7)).respond(503, "", "");
    let call = moved.accept_request(&watch_request(7));
    bring_list_in_force(&fixture.program, call, &backend);
    assert!(
        reloaded.elapsed() < IN_FORCE_AFTER_MOVE,
        "in force after {:?}",
        reloaded.elapsed()
    );
}
