//! Clients that disconnect while their request waits, over loopback sockets: where the disconnect and the chance to send are
//! found in one turn of the event loop, the disconnect is processed first, and nothing is forwarded for a client that left.

use cometspool_fault_injection::scripted_peers::*;
use serde_json::Value;
use std::io::{BufRead, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How a client disconnects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disconnect {
    Close,
    Reset,
}

const DISCONNECTS: [Disconnect; 2] = [Disconnect::Close, Disconnect::Reset];

fn disconnect(client: ScriptedConnection, how: Disconnect) {
    disconnect_all(vec![client], how);
}

/// Returns once the system has closed the connections: a process that is being started by another test may hold copies of
/// their descriptors for a moment.
fn disconnect_all(clients: Vec<ScriptedConnection>, how: Disconnect) {
    let ends = |client: &ScriptedConnection| {
        let stream = client.reader.get_ref();
        ConnectionEnds {
            local: stream.local_addr().expect("an address"),
            remote: stream.peer_addr().expect("an address"),
        }
    };
    let connections: Vec<ConnectionEnds> = clients.iter().map(ends).collect();
    if how == Disconnect::Reset {
        clients.iter().for_each(ScriptedConnection::reset_on_close);
    }
    drop(clients);
    wait_for("the close of connections", || {
        (!any_established(&connections)).then_some(())
    });
}

/// Settings with or without the permission to cancel attempts.
fn with_cancellation(cancel: bool) -> Value {
    let mut settings = default_settings();
    settings["policy_limits"]["cancel"] = cancel.into();
    settings
}

/// Settings in which a request of the class `read` has ten minutes.
fn with_long_reads(mut settings: Value) -> Value {
    for key in ["aim", "give_up"] {
        settings["grades"][0][key] = 600_000.0.into();
    }
    settings
}

/// Sends a request of another client, and asserts that it is the next one that a backend gets: what was sent before it was
/// not forwarded. `accept` returns the connection on which a backend gets a request.
fn assert_only_next_is_forwarded(
    program: &GatewayProcess,
    accept: impl FnOnce() -> ScriptedConnection,
    name: &str,
) {
    let mut client = program.connect_client();
    client.write(request_with("next", "charge", "wide", LONG_TIMEOUT));
    let mut backend = accept();
    let forwarded = backend.read();
    assert_eq!(forwarded.header("request-id"), Some("next"), "{name}");
    backend.respond(200, "", "ok");
    assert_eq!(client.read().body, b"ok", "{name}");
}

/// The attempt of a client that disconnects is canceled long before its deadline, and the gateway goes on serving.
#[test]
fn a_disconnected_clients_attempt_is_canceled() {
    let fixture = TestFixture::with_settings(with_long_reads(default_settings()), 1);
    let mut client = fixture.program.connect_client();
    client.write(request_with("id-1", "read", "wide", "600"));
    let mut backend = fixture.backends[0].accept();
    backend.read();
    drop(client);
    backend.expect_close();
    let mut client = fixture.program.connect_client();
    client.write(request_with("id-2", "read", "wide", LONG_TIMEOUT));
    let mut backend = fixture.backends[0].accept();
    assert_eq!(backend.read().header("request-id"), Some("id-2"));
    backend.respond(200, "", "ok");
    assert_eq!(client.read().status(), 200);
}

/// A client disconnects while its request waits for a connection, which is established then.
fn disconnect_while_connecting(cancel: bool, how: Disconnect, one_turn: bool) {
    let name = format!("cancel {cancel}, {how:?}, one turn {one_turn}");
    let discovery = TestListener::new();
    let FullBacklog {
        listener: backend,
        fillers,
    } = listener_with_full_backlog();
    let list = endpoint_list(7, true, &[endpoint("s-0", backend.address(), "up")]);
    let program = GatewayProcess::start(with_cancellation(cancel), discovery.address(), list);
    let mut client = program.connect_client();
    client.write(request_with("left", "charge", "wide", LONG_TIMEOUT));
    wait_for("a connection attempt that hangs", || {
        is_connecting(backend.address()).then_some(())
    });
    if one_turn {
        program.pause();
    }
    disconnect(client, how);
    for _ in &fillers {
        backend.accept();
    }
    // The system repeats the attempt by itself.
    wait_for("an established connection", || {
        (!is_connecting(backend.address())).then_some(())
    });
    if one_turn {
        program.resume();
    }
    let connection = backend.accept();
    assert_only_next_is_forwarded(&program, || connection, &name);
}

/// A client disconnects while its request waits for a connection: once that is established it carries nothing of the
/// request, whether attempts may be canceled or not, and whether both are found in one turn of the event loop or the
/// disconnect first.
#[test]
fn a_connection_established_after_the_disconnect_carries_nothing() {
    let mut runs = Vec::new();
    for cancel in [true, false] {
        for how in DISCONNECTS {
            for one_turn in [true, false] {
                runs.push(std::thread::spawn(move || {
                    disconnect_while_connecting(cancel, how, one_turn);
                }));
            }
        }
    }
    for run in runs {
        run.join().expect("a case that passed");
    }
}

/// A client whose request waits for a connection disconnects in the turn in which the response to another request releases
/// one.
#[test]
fn a_connection_released_with_the_disconnect_carries_nothing() {
    for (cancel, how) in [
        (true, Disconnect::Close),
        (false, Disconnect::Close),
        (false, Disconnect::Reset),
    ] {
        let discovery = TestListener::new();
        let FullBacklog {
            listener: backend,
            fillers,
        } = listener_with_full_backlog();
        for _ in &fillers {
            backend.accept();
        }
        let list = endpoint_list(7, true, &[endpoint("s-0", backend.address(), "up")]);
        let program = GatewayProcess::start(with_cancellation(cancel), discovery.address(), list);
        let mut first = program.connect_client();
        first.write(request_with("first", "charge", "wide", LONG_TIMEOUT));
        let mut connection = backend.accept();
        connection.read();
        let _fillers: Vec<TcpStream> = fillers
            .iter()
            .map(|_| TcpStream::connect(backend.address()).expect("a queue for two"))
            .collect();
        let mut client = program.connect_client();
        client.write(request_with("left", "charge", "wide", LONG_TIMEOUT));
        wait_for("a connection attempt that hangs", || {
            is_connecting(backend.address()).then_some(())
        });
        program.pause();
        connection.respond(200, "", "one");
        disconnect(client, how);
        program.resume();
        assert_eq!(first.read().body, b"one");
        let name = format!("cancel {cancel}, {how:?}");
        assert_only_next_is_forwarded(&program, || connection, &name);
    }
}

/// A client disconnects in the turn in which its attempt is reported as not started, with further bytes behind its request
/// or without: there is no retry.
#[test]
fn a_disconnected_clients_request_is_not_retried() {
    for cancel in [true, false] {
        for (how, has_bytes_behind) in [
            (Disconnect::Close, false),
            (Disconnect::Reset, false),
            (Disconnect::Close, true),
        ] {
            let fixture = TestFixture::with_settings(with_cancellation(cancel), 2);
            let mut client = fixture.program.connect_client();
            let behind = if has_bytes_behind {
                request_with("behind", "charge", "wide", LONG_TIMEOUT)
            } else {
                String::new()
            };
            client.write(request_with("left", "charge", "wide", LONG_TIMEOUT) + &behind);
            let (_, mut backend) = fixture.accept_any();
            assert_eq!(backend.read().header("request-id"), Some("left"));
            fixture.program.pause();
            backend.respond(503, "Not-Started: 1\r\n", "");
            disconnect(client, how);
            fixture.program.resume();
            let name = format!("cancel {cancel}, {how:?}, bytes behind {has_bytes_behind}");
            // The next request comes on the connection that is open or on a new one.
            let accept = || {
                wait_for("the next request", || {
                    let accepted = fixture.backends.iter().find_map(TestListener::try_accept);
                    accepted.or_else(|| {
                        backend.receives_within(Duration::from_millis(1)).then(|| {
                            let stream = backend.reader.get_ref().try_clone().unwrap();
                            ScriptedConnection::new(stream)
                        })
                    })
                })
            };
            assert_only_next_is_forwarded(&fixture.program, accept, &name);
            assert!(fixture.no_backend_contacted(), "{name}");
        }
    }
}

/// Requests that lay unread while the process was stopped, from a client that disconnected meanwhile, one or several behind
/// each other, are not forwarded.
#[test]
fn unread_requests_of_a_disconnected_client_are_not_forwarded() {
    for how in DISCONNECTS {
        for count in [1, 3] {
            let fixture = TestFixture::new(1);
            // The gateway has accepted the connection.
            let mut client = fixture.program.connect_healthy_client();
            fixture.program.pause();
            for i in 0..count {
                let id = format!("left-{i}");
                client.write(request_with(&id, "charge", "wide", LONG_TIMEOUT));
            }
            disconnect(client, how);
            fixture.program.resume();
            assert_only_next_is_forwarded(
                &fixture.program,
                || fixture.backends[0].accept(),
                &format!("{how:?}, {count} requests"),
            );
        }
    }
}

/// A disconnect behind further bytes is seen all the same: the attempt is canceled well before its deadline, and what is
/// behind it is not forwarded.
#[test]
fn a_disconnect_behind_further_bytes_is_seen() {
    let settings = with_long_reads(default_settings());
    // A further request, more than is read ahead, and what is no request at all.
    for behind in [
        request_with("behind", "read", "wide", "600"),
        "x".repeat(200_000),
        "\r\n\r\n".to_owned(),
    ] {
        let fixture = TestFixture::with_settings(settings.clone(), 1);
        let mut client = fixture.program.connect_client();
        client.write(request_with("left", "read", "wide", "600"));
        let mut backend = fixture.backends[0].accept();
        assert_eq!(backend.read().header("request-id"), Some("left"));
        client.reader.get_ref().set_nonblocking(true).unwrap();
        // As much as the system buffers.
        let _ = client.reader.get_mut().write(behind.as_bytes());
        disconnect(client, Disconnect::Close);
        backend.expect_close();
        assert_only_next_is_forwarded(
            &fixture.program,
            || fixture.backends[0].accept(),
            &behind[..behind.len().min(12)],
        );
    }
}

/// Clients of one run with many of them.
const CLIENTS: usize = 80;
/// Every so many clients, one stays connected.
const STAYING: usize = 4;
/// Backends of such a run: one to which no connection is established gets few requests, so there are several.
const BACKENDS: usize = 12;

/// Accepts all connections of a backend and answers each request with its id, from threads of its own; the ids are
/// recorded.
fn serve_and_record(backend: FullBacklog, ids: &Arc<Mutex<Vec<String>>>) {
    let FullBacklog { listener, fillers } = backend;
    for _ in &fillers {
        drop(listener.accept());
    }
    listener.socket.set_nonblocking(false).expect("a listener");
    let ids = ids.clone();
    std::thread::spawn(move || {
        while let Ok((stream, _)) = listener.socket.accept() {
            let ids = ids.clone();
            std::thread::spawn(move || {
                let mut connection = ScriptedConnection::new(stream);
                while let Ok([_, ..]) = connection.reader.fill_buf() {
                    let request = connection.read();
                    let id = request.header("request-id").expect("an id").to_owned();
                    ids.lock().expect("no panic").push(id.clone());
                    connection.respond(200, "", &id);
                }
            });
        }
    });
}

/// Starts a gateway whose backends establish no connection, with no deadline that a slow machine could reach.
fn start_with_closed_backends(
    cancel: bool,
    discovery: &TestListener,
    backends: &[FullBacklog],
) -> GatewayProcess {
    let hosts: Vec<Value> = backends
        .iter()
        .enumerate()
        .map(|(i, backend)| endpoint(&format!("s-{i}"), backend.listener.address(), "up"))
        .collect();
    let mut settings = with_long_reads(with_cancellation(cancel));
    settings["policy_limits"]["dial_timeout"] = 60_000.0.into();
    GatewayProcess::start(
        settings,
        discovery.address(),
        endpoint_list(7, true, &hosts),
    )
}

/// Disconnects all clients but every fourth in two bursts, one by each way; returns how many of them were still waiting.
fn disconnect_in_bursts(clients: &mut [Option<ScriptedConnection>]) -> usize {
    // A request that was rejected at once waits no longer.
    let is_waiting = |client: &&Option<ScriptedConnection>| {
        client.as_ref().is_some_and(|client| !client.is_readable())
    };
    let mut waiting = 0;
    for how in DISCONNECTS {
        let burst: Vec<Option<ScriptedConnection>> = (0..clients.len())
            .filter(|i| i % STAYING > 0 && (i % 2 == 0) == (how == Disconnect::Close))
            .map(|i| clients[i].take())
            .collect();
        waiting += burst.iter().filter(is_waiting).count();
        disconnect_all(burst.into_iter().flatten().collect(), how);
    }
    waiting
}

/// Many clients disconnect in bursts while their requests wait for connections under load: of those that had disconnected
/// before any connection was established none is forwarded, those that stay get their responses, and nothing is forwarded
/// twice.
#[test]
fn no_request_is_forwarded_for_many_clients_that_disconnect_while_waiting() {
    for cancel in [true, false] {
        let discovery = TestListener::new();
        let backends: Vec<FullBacklog> = (0..BACKENDS)
            .map(|_| listener_with_full_backlog())
            .collect();
        let program = start_with_closed_backends(cancel, &discovery, &backends);
        let mut clients: Vec<Option<ScriptedConnection>> = (0..CLIENTS)
            .map(|i| {
                let mut client = program.connect_client();
                client.write(request_with(&format!("r-{i}"), "read", "wide", "600"));
                Some(client)
            })
            .collect();
        for backend in &backends {
            wait_for("a connection attempt that hangs", || {
                is_connecting(backend.listener.address()).then_some(())
            });
        }
        let disconnected = disconnect_in_bursts(&mut clients);
        assert!(
            disconnected >= 15,
            "only {disconnected} disconnected while they waited"
        );
        let forwarded = Arc::new(Mutex::new(Vec::new()));
        for backend in backends {
            serve_and_record(backend, &forwarded);
        }
        let mut served = 0;
        for (i, client) in clients.into_iter().enumerate() {
            let Some(mut client) = client else { continue };
            let response = client.read();
            // A request for which there was no room was rejected at once; nobody gets another client's response.
            assert!(
                matches!(response.status(), 200 | 429),
                "r-{i}: {}",
                response.status()
            );
            if response.status() == 200 {
                assert_eq!(response.body, format!("r-{i}").as_bytes());
                served += 1;
            }
        }
        let mut forwarded = forwarded.lock().expect("no panic").clone();
        forwarded.sort();
        let number = |id: &String| id[2..].parse::<usize>().expect("a number");
        let late = forwarded
            .iter()
            .filter(|id| number(id) % STAYING > 0)
            .count();
        assert_eq!(
            late, 0,
            "cancel {cancel}: forwarded for disconnected clients, of {disconnected}"
        );
        assert_eq!(forwarded.len(), served, "cancel {cancel}: {forwarded:?}");
        forwarded.dedup();
        assert_eq!(forwarded.len(), served, "forwarded twice");
        println!(
            "cancel {cancel}: {disconnected} disconnected while they waited, {late} of these were forwarded, {served} that stayed were served"
        );
    }
}
