//! Limits on client connections, over loopback sockets. Clients try to use up the gateway's file descriptors.
//! Discovery, health checks and backend connections still get theirs, idle client connections are evicted to make room
//! for new clients, and every client that has sent a request gets a response.

use cometspool_fault_injection::scripted_peers::*;
use std::time::{Duration, Instant};

/// Limit on the file descriptors of the gateway.
const DESCRIPTOR_LIMIT: u32 = 64;
/// Idle clients that connect: far more than the gateway has descriptors for.
const IDLE_CLIENTS: usize = 200;
/// Clients that each send a request at the same time: more than may be connected, but few enough for the system's
/// accept queue of the listener.
const BURST_CLIENTS: usize = 100;
/// Client connections that may be open at once under [`DESCRIPTOR_LIMIT`].
const CLIENT_CONNECTION_LIMIT: usize = 24;
/// Longest time until a new endpoint list is in force, from when the discovery service can be reached again.
const MAX_TIME_TO_IN_FORCE: Duration = Duration::from_secs(6);

/// A gateway limited to [`DESCRIPTOR_LIMIT`] descriptors, its discovery service, and the only backend on its initial
/// endpoint list.
struct LimitedGateway {
    program: GatewayProcess,
    discovery: TestListener,
    backend: TestListener,
}

impl LimitedGateway {
    fn start() -> LimitedGateway {
        let discovery = TestListener::new();
        let backend = TestListener::new();
        let initial_list = endpoint_list(1, true, &[endpoint("s-0", backend.address(), "up")]);
        let program = GatewayProcess::start_with_descriptor_limit(
            DESCRIPTOR_LIMIT,
            default_settings(),
            discovery.address(),
            initial_list,
        );
        LimitedGateway {
            program,
            discovery,
            backend,
        }
    }
}

/// Opens client connections and leaves them idle; every fourth first makes a health check.
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

/// Checks that a new client's request is forwarded to this backend, and that the backend's response reaches the client.
fn assert_served(program: &GatewayProcess, backend: &TestListener, id: &str) {
    let mut client = program.connect_client();
    client.write(request_with(id, "read", "wide", LONG_TIMEOUT));
    let mut connection = backend
        .accept_unless_answered(&client)
        .expect("no forwarded request reached the backend");
    assert_eq!(connection.read().header("request-id"), Some(id));
    connection.respond(200, "Connection: close\r\n", id);
    assert_eq!(client.read().body, id.as_bytes());
}

/// Guards against idle clients that take the descriptors reserved for others. They use up all client connections while
/// the discovery service is down and when it recovers. The new endpoint list still comes into force, and health checks,
/// backend connections and requests of new clients still succeed.
#[test]
fn idle_clients_take_no_descriptors_reserved_for_others() {
    let LimitedGateway {
        program,
        discovery,
        backend,
    } = LimitedGateway::start();
    let new_backend = TestListener::new();
    let watch = discovery.accept_request(&watch_request(1));
    let idle_before_outage = idle_clients(&program, IDLE_CLIENTS);
    // The discovery service goes down: its open watch is cut off, and the next call gets no response.
    drop(WatchStream::begin_response(watch));
    let hung_call = discovery.accept_request(&watch_request(1));
    let idle_during_outage = idle_clients(&program, IDLE_CLIENTS);
    program.connect_healthy_client();
    assert_served(&program, &backend, "down");
    assert!(
        program.descriptor_count() <= DESCRIPTOR_LIMIT as usize,
        "{} descriptors are open",
        program.descriptor_count()
    );
    // The discovery service answers new calls again; the call that hangs never gets a response.
    let recovered_at = Instant::now();
    let watch_call = discovery.accept_request(&watch_request(1));
    let mut watch = WatchStream::begin_response(watch_call);
    let removed = endpoint("s-0", backend.address(), "removed");
    let added = endpoint("s-1", new_backend.address(), "up");
    watch.send_line(&endpoint_list(2, false, &[removed, added]).to_string());
    let backends = [backend, new_backend];
    wait_for("the new endpoint list in force", || {
        let mut client = program.connect_client();
        client.write(request_with(
            &format!("{:?}", recovered_at.elapsed()),
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
        recovered_at.elapsed() < MAX_TIME_TO_IN_FORCE,
        "the new endpoint list was in force only after {:?}",
        recovered_at.elapsed()
    );
    program.connect_healthy_client();
    assert_served(&program, &backends[1], "back");
    // Once the idle clients have disconnected, as many clients as the limit allows connect and stay connected.
    drop((idle_before_outage, idle_during_outage, hung_call));
    let mut clients: Vec<ScriptedConnection> = (0..CLIENT_CONNECTION_LIMIT)
        .map(|_| program.connect_healthy_client())
        .collect();
    for client in &mut clients {
        client.write(HEALTH_CHECK);
        assert_eq!(client.read().status(), 200);
    }
}

/// Guards against evicting a new client as an idle one. A client whose request has arrived when the gateway evicts
/// connections gets a response, even if idle clients hold all client connections and far more new clients connect at
/// once than the limit allows.
#[test]
fn a_connection_with_a_request_is_not_closed_to_make_room() {
    let LimitedGateway {
        program,
        discovery: _discovery,
        backend: _backend,
    } = LimitedGateway::start();
    let idle = idle_clients(&program, CLIENT_CONNECTION_LIMIT);
    // The requests arrive while the gateway is paused, so all of them wait unread when it resumes.
    program.pause();
    let mut clients: Vec<ScriptedConnection> = (0..BURST_CLIENTS)
        .map(|_| program.connect_client())
        .collect();
    for client in &mut clients {
        client.write(HEALTH_CHECK);
    }
    program.resume();
    let unanswered = clients
        .iter_mut()
        .filter(|client| !client.receives_within(MAX_WAIT))
        .count();
    assert_eq!(
        unanswered, 0,
        "clients closed without a response, of {BURST_CLIENTS}"
    );
    drop(idle);
}

/// A gateway at its limit on client connections evicts idle ones to admit new clients.
#[test]
fn idle_connections_make_room_for_new_clients() {
    let LimitedGateway {
        mut program,
        discovery: _discovery,
        backend: _backend,
    } = LimitedGateway::start();
    // These 60 connections would need more descriptors than the gateway may use.
    let mut clients = Vec::new();
    for _ in 0..60 {
        clients.push(program.connect_healthy_client());
    }
    assert!(
        program.child.try_wait().unwrap().is_none(),
        "the gateway has exited"
    );
}

/// Connections on which a request has begun but stalls are evicted for new clients too.
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

/// Connections that never carried a request are evicted before connections that did.
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

/// Guards against clients that hold connections without ever completing a request. Each gets an error response or is
/// closed within 3 s of connecting, whether it has sent nothing, part of a head, a head that never ends or part of a
/// body. A client that has been served may stay connected.
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
    let mut endless_head = fixture.program.connect_client();
    endless_head.write(&request[..request.len() - 9]);
    // This client keeps sending short header lines, so a timeout on inactivity alone would never close it.
    let closed_after = wait_for("the close of the connection with an endless head", || {
        let written = std::io::Write::write_all(endless_head.reader.get_mut(), b"X: y\r\n");
        std::thread::sleep(Duration::from_millis(50));
        (written.is_err() || endless_head.is_readable()).then(|| start.elapsed().as_secs_f64())
    });
    assert!(closed_after > 1.0, "closed after {closed_after} s");
    let mut status_lines = Vec::new();
    for client in &mut clients {
        let mut text = String::new();
        let _ = std::io::Read::read_to_string(&mut client.reader, &mut text);
        status_lines.push(text.lines().next().unwrap_or_default().to_owned());
    }
    assert_eq!(status_lines, ["", "", "HTTP/1.1 408 Request Timeout"]);
    // The bound leaves time for a busy machine: the test guards against a connection that is never closed.
    assert!(start.elapsed().as_secs_f64() < 8.0);
    served.write(HEALTH_CHECK);
    assert_eq!(served.read().status(), 200);
    assert!(fixture.no_backend_contacted());
}
