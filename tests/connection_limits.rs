//! A gateway whose file descriptors clients use up, over loopback sockets: the discovery service, health checks and
//! backends keep theirs, idle connections are closed to make room, and every client with a request gets in.

use cometspool_fault_injection::scripted_peers::*;
use std::time::{Duration, Instant};

/// The descriptor limit of the gateway.
const DESCRIPTORS: u32 = 64;
/// Idle clients: far more than there are descriptors for.
const IDLE_CLIENTS: usize = 200;
/// Clients that send a request at once: within the system's accept queue of a listener.
const BURST: usize = 100;
/// Clients for which there are descriptors.
const CLIENT_ROOM: usize = 24;
/// The time within which a list is in force after the discovery service can be reached.
const IN_FORCE: Duration = Duration::from_secs(6);

/// A gateway with few descriptors, its discovery service, and the one backend that it knows.
struct LimitedGateway {
    program: GatewayProcess,
    discovery: TestListener,
    backend: TestListener,
}

impl LimitedGateway {
    fn start() -> LimitedGateway {
        let discovery = TestListener::new();
        let backend = TestListener::new();
        let known = endpoint_list(1, true, &[endpoint("s-0", backend.address(), "up")]);
        let program = GatewayProcess::start_with_descriptor_limit(
            DESCRIPTORS,
            default_settings(),
            discovery.address(),
            known,
        );
        LimitedGateway {
            program,
            discovery,
            backend,
        }
    }
}

/// Idle clients, every fourth of which has made a health check before.
fn idle_clients(program: &GatewayProcess, count: usize) -> Vec<ScriptedConnection> {
    (0..count)
        .map(|i| {
            if i % 4 == 0 {
                program.connect_healthy_client()
            } else {
                program.connect_client()
            }
        })
        .collect()
}

/// A request of a new client reaches this backend and is served.
fn assert_served(program: &GatewayProcess, backend: &TestListener, id: &str) {
    let mut client = program.connect_client();
    client.write(request_with(id, "read", "wide", LONG_TIMEOUT));
    let mut connection = backend
        .accept_unless_answered(&client)
        .expect("a forwarded request");
    assert_eq!(connection.read().header("request-id"), Some(id));
    connection.respond(200, "Connection: close\r\n", id);
    assert_eq!(client.read().body, id.as_bytes());
}

/// Idle clients use up all room for clients while the discovery service is down and when it recovers: the endpoint list,
/// health checks, backends and new clients work all the same.
#[test]
fn idle_clients_take_no_descriptors_reserved_for_others() {
    let LimitedGateway {
        program,
        discovery,
        backend,
    } = LimitedGateway::start();
    let new_backend = TestListener::new();
    let watch = discovery.accept_request(&watch_request(1));
    let before = idle_clients(&program, IDLE_CLIENTS);
    // The discovery service is down: the watch is reset and the calls after it hang.
    drop(WatchStream::begin_response(watch));
    let hung = discovery.accept_request(&watch_request(1));
    let meanwhile = idle_clients(&program, IDLE_CLIENTS);
    program.connect_healthy_client();
    assert_served(&program, &backend, "down");
    assert!(
        program.descriptor_count() <= DESCRIPTORS as usize,
        "{} descriptors",
        program.descriptor_count()
    );
    // The service can be reached again; the call that hung has no response.
    let recovered = Instant::now();
    let call = discovery.accept_request(&watch_request(1));
    let mut watch = WatchStream::begin_response(call);
    let removed = endpoint("s-0", backend.address(), "removed");
    let added = endpoint("s-1", new_backend.address(), "up");
    watch.send_line(&endpoint_list(2, false, &[removed, added]).to_string());
    let backends = [backend, new_backend];
    wait_for("the list in force", || {
        let mut client = program.connect_client();
        client.write(request_with(
            &format!("{:?}", recovered.elapsed()),
            "read",
            "wide",
            LONG_TIMEOUT,
        ));
        let (index, mut connection) = accept_any_unless_answered(&backends, &client)?;
        connection.read();
        connection.respond(200, "Connection: close\r\n", "");
        assert_eq!(client.read().status(), 200);
        (index == 1).then_some(())
    });
    assert!(
        recovered.elapsed() < IN_FORCE,
        "in force after {:?}",
        recovered.elapsed()
    );
    program.connect_healthy_client();
    assert_served(&program, &backends[1], "back");
    // The idle clients disconnect: as many as there is room for get in and stay.
    drop((before, meanwhile, hung));
    let mut clients: Vec<ScriptedConnection> = (0..CLIENT_ROOM)
        .map(|_| program.connect_healthy_client())
        .collect();
    for client in &mut clients {
        client.write(HEALTH_CHECK);
        assert_eq!(client.read().status(), 200);
    }
}

/// A new client is not taken for an idle one: whoever has sent a request by the time that room is made gets a response,
/// also where far more clients connect at once than there is room for, behind idle ones.
#[test]
fn a_connection_with_a_request_is_not_closed_to_make_room() {
    let LimitedGateway {
        program,
        discovery: _discovery,
        backend: _backend,
    } = LimitedGateway::start();
    let idle = idle_clients(&program, CLIENT_ROOM);
    // All of these requests have arrived when the gateway looks next.
    program.pause();
    let mut clients: Vec<ScriptedConnection> =
        (0..BURST).map(|_| program.connect_client()).collect();
    for client in &mut clients {
        client.write(HEALTH_CHECK);
    }
    program.resume();
    let unanswered = clients
        .iter_mut()
        .filter(|client| !client.receives_within(MAX_WAIT))
        .count();
    assert_eq!(unanswered, 0, "of {BURST} closed without a response");
    drop(idle);
}

/// A gateway full of idle connections closes some to let new clients in.
#[test]
fn idle_connections_make_room_for_new_clients() {
    let LimitedGateway {
        mut program,
        discovery: _discovery,
        backend: _backend,
    } = LimitedGateway::start();
    // There are fewer descriptors than these connections need.
    let mut clients = Vec::new();
    for _ in 0..60 {
        clients.push(program.connect_healthy_client());
    }
    assert!(
        program.child.try_wait().unwrap().is_none(),
        "ended by itself"
    );
}

/// Connections on which a request has started and does not end make room for new clients too.
#[test]
fn stalled_requests_make_room_for_new_clients() {
    let LimitedGateway {
        program,
        discovery: _discovery,
        backend: _backend,
    } = LimitedGateway::start();
    let stalled: Vec<ScriptedConnection> = (0..40)
        .map(|_| {
            let mut client = program.connect_client();
            client.write("GET /_health HTTP/1.1\r\nHo");
            client
        })
        .collect();
    program.connect_healthy_client();
    drop(stalled);
}

/// To make room, connections that never carried a request are closed before one that did.
#[test]
fn unused_connections_make_room_before_used_ones() {
    let LimitedGateway {
        program,
        discovery: _discovery,
        backend: _backend,
    } = LimitedGateway::start();
    let mut used: Vec<ScriptedConnection> = (0..8).map(|_| program.connect_client()).collect();
    let mut check_health = |unused: usize| {
        for client in &mut used {
            client.write(HEALTH_CHECK);
            assert_eq!(
                client.read().status(),
                200,
                "after {unused} unused connections"
            );
        }
    };
    check_health(0);
    let unused: Vec<ScriptedConnection> = (1..=60)
        .map(|number| {
            let client = program.connect_client();
            check_health(number);
            client
        })
        .collect();
    drop(unused);
}

/// Clients hold connections and never end a request: each is rejected or closed within 3 s of its connect, whether it has
/// sent nothing, half a head, a head without end or half a body. A client that has been served may stay.
#[test]
fn a_connection_without_a_complete_request_is_closed_in_time() {
    let fixture = TestFixture::new(1);
    let mut served = fixture.program.connect_client();
    served.write(HEALTH_CHECK);
    served.read();
    let request = request_with("id-1", "charge", "wide", LONG_TIMEOUT);
    let start = Instant::now();
    let mut clients: Vec<ScriptedConnection> = ["", &request[..40], &request[..request.len() - 2]]
        .iter()
        .map(|text| {
            let mut client = fixture.program.connect_client();
            client.write(text);
            client
        })
        .collect();
    let mut endless = fixture.program.connect_client();
    endless.write(&request[..request.len() - 9]);
    // It goes on to send a little, so that no pause shows that it stalls.
    let end = wait_for("the end of a head without end", || {
        let written = std::io::Write::write_all(endless.reader.get_mut(), b"X: y\r\n");
        std::thread::sleep(Duration::from_millis(50));
        (written.is_err() || endless.is_readable()).then(|| start.elapsed().as_secs_f64())
    });
    assert!(end > 1.0, "closed after {end} s");
    let mut status_lines = Vec::new();
    for client in &mut clients {
        let mut text = String::new();
        let _ = std::io::Read::read_to_string(&mut client.reader, &mut text);
        status_lines.push(text.lines().next().unwrap_or_default().to_owned());
    }
    assert_eq!(status_lines, ["", "", "HTTP/1.1 408 Request Timeout"]);
    // Generous for a busy machine: the test is for a connection that stays open.
    assert!(start.elapsed().as_secs_f64() < 8.0);
    served.write(HEALTH_CHECK);
    assert_eq!(served.read().status(), 200);
    assert!(fixture.no_backend_contacted());
}
