//! Tests of the endpoint list watch, over loopback sockets: how the watch is resumed, and how soon a new list takes
//! effect after a failure of discovery.

use cometspool_fault_injection::scripted_peers::*;
use serde_json::Value;
use std::io::Write;
use std::time::{Duration, Instant};

/// Time within which a list must take effect once discovery has the list and can be reached.
const UPDATE_DEADLINE: Duration = Duration::from_secs(6);
/// Time within which a list must take effect after a reload that changes the address of discovery.
const UPDATE_DEADLINE_AFTER_ADDRESS_CHANGE: Duration = Duration::from_secs(4);
/// How long discovery takes for a late rejection. This is below the shortest response timeout of a call.
const REJECTION_DELAY: Duration = Duration::from_millis(1200);
/// How long discovery takes for a slow response to a call after one that timed out. The response timeout of such a call
/// is longer.
const SLOW_RESPONSE: Duration = Duration::from_secs(2);
/// The longest response timeout of any call.
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_millis(2800);

/// Guards against a watch that loses or repeats changes. A watch that ends is resumed from the version last received.
/// After an incomplete object, the full list is requested.
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

/// Guards against adding load to an overloaded discovery agent. An agent that rejects a watch still knows the version,
/// so the watch is requested again from that version. The full list is requested only after a status that says that the
/// watch does not exist.
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

/// Guards against waiting forever on a watch whose peer has vanished: such a watch sends nothing and does not end, so
/// it is requested again.
#[test]
fn a_silent_watch_is_requested_again() {
    let fixture = TestFixture::new(1);
    fixture.discovery.accept_request(&watch_request(7));
}

/// A watch that falls silent, and the request that must follow.
struct SilentWatch {
    name: &'static str,
    /// The bytes that discovery sends before the silence.
    sent: String,
    /// Whether discovery then sends single spaces forever, each in a chunk of its own.
    trickles: bool,
    /// The start line of the request that must follow.
    next_request: String,
}

fn silent_watches() -> Vec<SilentWatch> {
    let full_list = LIST_REQUEST.to_owned();
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let indented = format!("{:#}", endpoint_list(9, false, &[]));
    let case = |name, sent, trickles, next_request| SilentWatch {
        name,
        sent,
        trickles,
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
            full_list.clone(),
        ),
        case(
            "within an indented list",
            head.to_owned() + &chunk(&indented[..indented.len() - 3]),
            false,
            full_list.clone(),
        ),
        case(
            "within a trickling object",
            head.to_owned() + &chunk("{\"seq\":9,\"whole\":"),
            true,
            full_list,
        ),
    ]
}

/// Guards against waiting forever on a silent watch, wherever in the response the silence begins. The watch is closed
/// and requested again from the known version, or the full list is requested if a part of an object has arrived. The
/// bytes of an object that never ends must not count as heartbeats.
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
                    if case.trickles {
                        // The write may fail, since the gateway may have closed the connection.
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

/// Settings of a fleet so large that frequent calls of all gateways would overload discovery.
fn large_fleet() -> Value {
    let mut settings = default_settings();
    settings["fleet_size"] = 300.into();
    settings
}

/// Responds to a watch request that has been read with a new list that contains only `backend`, and waits until a
/// request reaches that backend.
fn send_list_and_wait_until_served(
    program: &GatewayProcess,
    connection: ScriptedConnection,
    backend: &TestListener,
) {
    let mut watch = WatchStream::begin_response(connection);
    let hosts = [endpoint("s-1", backend.address(), "up")];
    watch.send_line(&endpoint_list(8, true, &hosts).to_string());
    program.wait_until_served_by(backend, "in-force");
}

/// Guards against backoff that delays a list beyond the update deadline. A large fleet pauses for a long time after a
/// rejected call, but a list must take effect in time, whether the call was rejected immediately or late.
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
        for wait in [Duration::ZERO, REJECTION_DELAY] {
            // Each of these calls may be the last one before discovery is available again.
            let mut rejected = discovery.accept_request(&watch_request(7));
            let available = Instant::now();
            // Discovery takes this long to reject the call.
            std::thread::sleep(wait);
            rejected.respond(status, "", "");
            // The request must be read first, since a response that arrives before the request would end the
            // connection.
            let call = discovery.accept_request(&watch_request(7));
            assert!(
                available.elapsed() < UPDATE_DEADLINE,
                "{status} after {wait:?}: called again after {:?}",
                available.elapsed()
            );
            if wait == REJECTION_DELAY {
                send_list_and_wait_until_served(&program, call, &backend);
                assert!(
                    available.elapsed() < UPDATE_DEADLINE,
                    "{status}: took effect after {:?}",
                    available.elapsed()
                );
            } else {
                drop(call);
            }
        }
    }
}

/// Guards against exceeding the update deadline when a watch falls silent and the first call after it is rejected. The
/// silence timeout uses up most of the deadline.
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
    send_list_and_wait_until_served(&fixture.program, call, &backend);
    assert!(
        silent.elapsed() < UPDATE_DEADLINE,
        "took effect after {:?}",
        silent.elapsed()
    );
}

/// Guards against calls that hang for too long while discovery recovers. Each call must time out early enough for a
/// further call with a slow response to deliver the list in time.
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
    // The response is slow, but within the response timeout after a call that timed out.
    std::thread::sleep(SLOW_RESPONSE);
    send_list_and_wait_until_served(&program, call, &backend);
    assert!(
        available.elapsed() < UPDATE_DEADLINE,
        "took effect after {:?}",
        available.elapsed()
    );
}

/// Guards against connection attempts to discovery that hang for too long. Each attempt must time out early enough for
/// the slowest response to a further call.
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
        available.elapsed() + MAX_RESPONSE_TIMEOUT < UPDATE_DEADLINE,
        "timed out after {:?}",
        available.elapsed()
    );
    for _ in &fillers {
        discovery.accept();
    }
    let call = discovery.accept_request(&watch_request(7));
    send_list_and_wait_until_served(&program, call, &backend);
    assert!(
        available.elapsed() < UPDATE_DEADLINE,
        "took effect after {:?}",
        available.elapsed()
    );
}

/// Guards against exceeding the update deadline when discovery rejects the first call at its new address.
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
    send_list_and_wait_until_served(&fixture.program, call, &backend);
    assert!(
        reloaded.elapsed() < UPDATE_DEADLINE_AFTER_ADDRESS_CHANGE,
        "took effect after {:?}",
        reloaded.elapsed()
    );
}
