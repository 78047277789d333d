//! A front door whose descriptors idle clients fill, over loopback sockets: the list, health checks and backends keep theirs,
//! and whoever comes with a request gets in.

use cometspool_fault_injection::scripted_peers::*;
use std::time::{Duration, Instant};

/// Descriptors of the front door, and idle clients: far more than it has room for.
const SOCKETS: u32 = 64;
const CROWD: usize = 200;
/// Clients that come with a request at once: within the line that the system keeps for a listener.
const BURST: usize = 100;
/// Room for clients within these descriptors.
const ROOM: usize = 24;
/// What discovery has is in force so long after it can be reached.
const IN_FORCE: Duration = Duration::from_secs(6);
const HEALTH: &str = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";
const WATCH: &str = "GET /catalog/members?watch=1&from=1 HTTP/1.1";

/// A front door with few descriptors, its discovery, and the one backend that it knows.
fn tight_front_door() -> (GatewayProcess, TestListener, TestListener) {
    let (discovery, backend) = (TestListener::new(), TestListener::new());
    let known = endpoint_list(1, true, &[endpoint("s-0", backend.address(), "up")]);
    let program = GatewayProcess::start_with_descriptor_limit(
        SOCKETS,
        default_settings(),
        discovery.address(),
        known,
    );
    (program, discovery, backend)
}

fn assert_healthy(program: &GatewayProcess) -> ScriptedConnection {
    let mut client = program.connect_client();
    client.write(HEALTH);
    assert_eq!(client.read().status(), 200);
    client
}

/// Idle clients, every fourth of which has asked something before.
fn idle_clients(program: &GatewayProcess, count: usize) -> Vec<ScriptedConnection> {
    (0..count)
        .map(|i| {
            if i % 4 == 0 {
                assert_healthy(program)
            } else {
                program.connect_client()
            }
        })
        .collect()
}

/// A request by a new client gets to this backend and is served.
fn assert_served(program: &GatewayProcess, backend: &TestListener, id: &str) {
    let mut client = program.connect_client();
    client.write(request_with(id, "read", "wide", "8"));
    let mut wire = backend
        .accept_unless_answered(&client)
        .expect("a request that is sent on");
    assert_eq!(wire.read().header("request-id"), Some(id));
    wire.respond(200, "Connection: close\r\n", id);
    assert_eq!(client.read().body, id.as_bytes());
}

/// Guards the list, health checks, backends and new clients against idle clients that take all room while discovery is down
/// and when it comes back.
#[test]
fn a_crowd_of_idle_clients_takes_nobody_elses_descriptors() {
    let (program, discovery, backend) = tight_front_door();
    let fresh = TestListener::new();
    let mut watch = discovery.accept();
    assert_eq!(watch.read().start_line, WATCH);
    let before = idle_clients(&program, CROWD);
    // Discovery is down: the watch is reset and the calls after it hang.
    drop(WatchStream::begin_response(watch));
    let mut hung = discovery.accept();
    assert_eq!(hung.read().start_line, WATCH);
    let meanwhile = idle_clients(&program, CROWD);
    assert_healthy(&program);
    assert_served(&program, &backend, "down");
    assert!(
        program.descriptor_count() <= SOCKETS as usize,
        "{} descriptors",
        program.descriptor_count()
    );
    // Discovery can be reached again; the call that hung has no answer.
    let back = Instant::now();
    let mut again = discovery.accept();
    assert_eq!(again.read().start_line, WATCH);
    let mut watch = WatchStream::begin_response(again);
    let gone = endpoint("s-0", backend.address(), "removed");
    let list = endpoint_list(2, false, &[gone, endpoint("s-1", fresh.address(), "up")]);
    watch.send_line(&list.to_string());
    let places = [backend, fresh];
    wait_for("the list in force", || {
        let mut client = program.connect_client();
        client.write(request_with(
            &format!("{:?}", back.elapsed()),
            "read",
            "wide",
            "8",
        ));
        let (place, mut wire) = accept_any_unless_answered(&places, &client)?;
        wire.read();
        wire.respond(200, "Connection: close\r\n", "");
        assert_eq!(client.read().status(), 200);
        (place == 1).then_some(())
    });
    assert!(
        back.elapsed() < IN_FORCE,
        "in force after {:?}",
        back.elapsed()
    );
    assert_healthy(&program);
    assert_served(&program, &places[1], "back");
    // The idle ones leave: as many as there is room for come in and stay.
    drop((before, meanwhile, hung));
    let mut fresh_clients: Vec<ScriptedConnection> =
        (0..ROOM).map(|_| assert_healthy(&program)).collect();
    for client in &mut fresh_clients {
        client.write(HEALTH);
        assert_eq!(client.read().status(), 200);
    }
}

/// Guards new clients against being taken for idle ones: whoever has asked by the time room is made gets an answer, also
/// where far more come at once than there is room for, behind idle ones.
#[test]
fn whoever_has_asked_is_not_closed_to_make_room() {
    let (program, _discovery, _backend) = tight_front_door();
    let idle = idle_clients(&program, ROOM);
    // All of these have come when the front door looks next.
    program.pause();
    let mut asking: Vec<ScriptedConnection> =
        (0..BURST).map(|_| program.connect_client()).collect();
    for client in &mut asking {
        client.write(HEALTH);
    }
    program.resume();
    let unanswered = asking
        .iter_mut()
        .filter(|client| !client.receives_within(MAX_WAIT))
        .count();
    assert_eq!(unanswered, 0, "of {BURST} closed without an answer");
    drop(idle);
}
