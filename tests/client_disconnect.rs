//! Clients that disconnect while their requests wait, over loopback sockets. If the gateway finds a disconnect and the
//! opportunity to send the request in the same iteration of its event loop, it processes the disconnect first, so that
//! nothing is forwarded for a disconnected client.

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

/// Disconnects clients and waits until the operating system has closed their connections. This may take a moment if
/// another test is starting a process, which briefly holds copies of the file descriptors.
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

/// Settings that permit cancelling attempts, or not.
fn with_cancellation(cancel: bool) -> Value {
    let mut settings = default_settings();
    settings["policy_limits"]["cancel"] = cancel.into();
    settings
}

/// Settings in which requests of the class `read` may take ten minutes.
fn with_long_reads(mut settings: Value) -> Value {
    for key in ["aim", "give_up"] {
        settings["grades"][0][key] = 600_000.0.into();
    }
    settings
}

/// Sends a request from another client and asserts that it is the next one that a backend receives, so no earlier
/// request was forwarded. `accept` returns the connection on which a backend receives the request.
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

/// When a client disconnects, its attempt is cancelled long before the deadline, and the gateway serves the next
/// request.
#[test]
fn a_disconnected_clients_attempt_is_cancelled() {
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

/// Disconnects a client while its request waits for a connection, lets the connection be established, and checks that
/// the request is not forwarded. With `one_iteration`, the gateway finds both in one iteration of its event loop.
fn disconnect_while_connecting(cancel: bool, how: Disconnect, one_iteration: bool) {
    let name = format!("cancel {cancel}, {how:?}, one iteration {one_iteration}");
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
    if one_iteration {
        program.pause();
    }
    disconnect(client, how);
    for _ in &fillers {
        backend.accept();
    }
    // The operating system retries the connection attempt on its own.
    wait_for("an established connection", || {
        (!is_connecting(backend.address())).then_some(())
    });
    if one_iteration {
        program.resume();
    }
    let connection = backend.accept();
    assert_only_next_is_forwarded(&program, || connection, &name);
}

/// If a client disconnects while its request waits for a connection, nothing of the request is sent on the connection
/// once it is established. This holds whether or not attempts may be cancelled, and whether the gateway finds the
/// disconnect first or both events in one iteration of its event loop.
#[test]
fn a_connection_established_after_the_disconnect_carries_nothing() {
    let mut runs = Vec::new();
    for cancel in [true, false] {
        for how in DISCONNECTS {
            for one_iteration in [true, false] {
                runs.push(std::thread::spawn(move || {
                    disconnect_while_connecting(cancel, how, one_iteration);
                }));
            }
        }
    }
    for run in runs {
        run.join().expect("a case that passed");
    }
}

/// If a client whose request waits for a connection disconnects in the same iteration of the event loop in which the
/// response to another request releases one, nothing of the request is sent on that connection.
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
            .map(|_| TcpStream::connect(backend.address()).expect("room in the accept queue"))
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

/// If a client disconnects in the same iteration of the event loop in which its backend responds that the request was
/// not started, the request is not retried, whether or not further bytes follow it.
#[test]
fn a_disconnected_clients_request_is_not_retried() {
    for cancel in [true, false] {
        for (how, has_bytes_after) in [
            (Disconnect::Close, false),
            (Disconnect::Reset, false),
            (Disconnect::Close, true),
        ] {
            let fixture = TestFixture::with_settings(with_cancellation(cancel), 2);
            let mut client = fixture.program.connect_client();
            let following = if has_bytes_after {
                request_with("behind", "charge", "wide", LONG_TIMEOUT)
            } else {
                String::new()
            };
            client.write(request_with("left", "charge", "wide", LONG_TIMEOUT) + &following);
            let (_, mut backend) = fixture.accept_any();
            assert_eq!(backend.read().header("request-id"), Some("left"));
            fixture.program.pause();
            backend.respond(503, "Not-Started: 1\r\n", "");
            disconnect(client, how);
            fixture.program.resume();
            let name = format!("cancel {cancel}, {how:?}, bytes after {has_bytes_after}");
            // The next request arrives on the open connection or on a new one.
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

/// If one or several pipelined requests lie unread while the gateway is stopped and their client disconnects meanwhile,
/// the requests are not forwarded.
#[test]
fn unread_requests_of_a_disconnected_client_are_not_forwarded() {
    for how in DISCONNECTS {
        for count in [1, 3] {
            let fixture = TestFixture::new(1);
            // The gateway must have accepted the connection before it is stopped.
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

/// A disconnect is detected even if unread bytes precede it: the attempt is cancelled well before its deadline, and the
/// bytes are not forwarded.
#[test]
fn a_disconnect_behind_further_bytes_is_seen() {
    let settings = with_long_reads(default_settings());
    // A further request, more bytes than the gateway reads ahead, and bytes that are not a request.
    for following in [
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
        // This writes as much as the operating system buffers.
        let _ = client.reader.get_mut().write(following.as_bytes());
        disconnect(client, Disconnect::Close);
        backend.expect_close();
        assert_only_next_is_forwarded(
            &fixture.program,
            || fixture.backends[0].accept(),
            &following[..following.len().min(12)],
        );
    }
}

/// The number of clients in a run with many clients.
const CLIENTS: usize = 80;
/// One client in this many stays connected.
const STAYING: usize = 4;
/// The number of backends in a run with many clients. There are several, because the gateway sends few requests to a
/// backend to which no connection is established.
const BACKENDS: usize = 12;

/// Spawns threads that accept all connections of a backend, respond to each request with its id, and record the ids in
/// `ids`.
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

/// Starts a gateway to whose backends no connection can be established, with deadlines so long that even a slow machine
/// does not reach them.
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

/// Disconnects all clients but every fourth in two bursts, one for each way to disconnect. Returns how many of the
/// disconnected clients were still waiting for a response.
fn disconnect_in_bursts(clients: &mut [Option<ScriptedConnection>]) -> usize {
    // A client whose request was rejected at once no longer waits.
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

/// Many clients disconnect in bursts while their requests wait for connections, before any connection is established.
/// None of their requests is forwarded, the clients that stay connected get their responses, and no request is
/// forwarded twice.
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
            "only {disconnected} clients disconnected while they waited"
        );
        let forwarded = Arc::new(Mutex::new(Vec::new()));
        for backend in backends {
            serve_and_record(backend, &forwarded);
        }
        let mut served = 0;
        for (i, client) in clients.into_iter().enumerate() {
            let Some(mut client) = client else { continue };
            let response = client.read();
            // A request that exceeded the gateway's capacity was rejected at once. No client gets the response to the
            // request of another.
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
            "cancel {cancel}: requests of disconnected clients forwarded, of {disconnected}"
        );
        assert_eq!(forwarded.len(), served, "cancel {cancel}: {forwarded:?}");
        forwarded.dedup();
        assert_eq!(forwarded.len(), served, "a request was forwarded twice");
        println!(
            "cancel {cancel}: {disconnected} clients disconnected while waiting, requests of {late} of these were forwarded, {served} that stayed were served"
        );
    }
}

/// Bytes that a client sends behind its request: far more than the gateway reads in one turn.
const EXCESS_BYTES: usize = 3_000_000;
/// How long after a disconnect a backend ends its attempt. Long after the 0.1 s within which the gateway has to see the
/// disconnect.
const ATTEMPT_AFTER_DISCONNECT: Duration = Duration::from_millis(400);

/// Writes `EXCESS_BYTES`, as far as the system takes them without waiting.
fn write_excess(client: &mut ScriptedConnection) {
    let stream = client.reader.get_mut();
    stream.set_nonblocking(true).unwrap();
    let bytes = vec![b'\n'; EXCESS_BYTES];
    let mut written = 0;
    while written < bytes.len() {
        match stream.write(&bytes[written..]) {
            Ok(count) => written += count,
            Err(error) => {
                assert_eq!(error.kind(), std::io::ErrorKind::WouldBlock);
                break;
            }
        }
    }
    stream.set_nonblocking(false).unwrap();
}

/// Guards against a disconnect that is hidden behind more bytes than the gateway reads in one turn: when the attempt
/// ends that was in flight at the disconnect, the request is not sent to another backend.
#[test]
fn a_disconnect_behind_megabytes_is_seen_before_a_retry() {
    let fixture = TestFixture::with_settings(with_cancellation(false), 2);
    let mut client = fixture.program.connect_client();
    client.write(request_with("left", "read", "wide", LONG_TIMEOUT));
    let (_, mut backend) = fixture.accept_any();
    assert_eq!(backend.read().header("request-id"), Some("left"));
    write_excess(&mut client);
    drop(client);
    std::thread::sleep(ATTEMPT_AFTER_DISCONNECT);
    backend.respond(503, "Not-Started: 1\r\nConnection: close\r\n", "");
    drop(backend);
    let accept = || fixture.accept_any().1;
    assert_only_next_is_forwarded(&fixture.program, accept, "after the excess");
}

/// A client that sends much behind its request and stays still gets its response.
#[test]
fn a_client_that_sends_megabytes_and_stays_is_answered() {
    let fixture = TestFixture::new(1);
    let mut client = fixture.program.connect_client();
    client.write(request_with("stays", "read", "wide", LONG_TIMEOUT));
    write_excess(&mut client);
    let mut backend = fixture.backends[0].accept();
    backend.read();
    backend.respond(200, "", "ok");
    assert_eq!(client.read().body, b"ok");
}
