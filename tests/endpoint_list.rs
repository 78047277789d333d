//! Tests of changes of the endpoint list, over loopback sockets: JSON layout, draining backends, decreasing versions,
//! and old addresses of backends and of discovery.

use cometspool_fault_injection::scripted_peers::*;
use serde_json::{json, Value};
use std::io::Write;
use std::net::TcpListener;

/// Guards against rejecting a pretty-printed list, both in a watch and as the full list, with heartbeats in between.
#[test]
fn an_indented_list_is_accepted() {
    let mut fixture = TestFixture::new(1);
    let watched = TestListener::new();
    let hosts = [endpoint("s-1", watched.address(), "up")];
    fixture
        .watch
        .send_line(&format!("{:#}", endpoint_list(8, true, &hosts)));
    fixture.watch.send_line("");
    fixture.program.wait_until_served_by(&watched, "watched");
    fixture.watch.finish();
    fixture
        .discovery
        .accept_request(&watch_request(8))
        .respond(404, "", "");
    let listed = TestListener::new();
    let hosts = [endpoint("s-2", listed.address(), "up")];
    let mut connection = fixture.discovery.accept_request(LIST_REQUEST);
    connection.respond(
        200,
        "",
        &format!("\n{:#}\n\n", endpoint_list(9, true, &hosts)),
    );
    fixture.discovery.accept_request(&watch_request(9));
    fixture.program.wait_until_served_by(&listed, "listed");
}

/// Guards against new requests to a draining backend. Its idle connection is closed, and while no other backend is
/// left, requests are rejected immediately. Once the backend is up again, it gets requests again.
#[test]
fn a_draining_backend_gets_no_new_requests() {
    let mut fixture = TestFixture::new(1);
    let mut client = fixture.program.connect_client();
    client.write(request_with("id-1", "read", "wide", LONG_TIMEOUT));
    let mut backend = fixture.backends[0].accept();
    backend.read();
    backend.respond(200, "", "ok");
    assert_eq!(client.read().status(), 200);
    let draining = endpoint("s-0", fixture.backends[0].address(), "draining");
    fixture
        .watch
        .send_line(&endpoint_list(8, false, &[draining]).to_string());
    backend.expect_close();
    client.write(request_with("id-2", "read", "wide", LONG_TIMEOUT));
    assert_eq!(client.read().status(), 429);
    assert!(fixture.no_backend_contacted());
    // The gateway rejects requests until the watch event has arrived.
    let up = endpoint("s-0", fixture.backends[0].address(), "up");
    fixture
        .watch
        .send_line(&endpoint_list(9, true, &[up]).to_string());
    let mut backend = (3..)
        .find_map(|id| {
            client.write(request_with(
                &format!("id-{id}"),
                "read",
                "wide",
                LONG_TIMEOUT,
            ));
            let accepted = fixture.backends[0].accept_unless_answered(&client);
            if accepted.is_none() {
                assert_eq!(client.read().status(), 429);
            }
            accepted
        })
        .expect("a connection");
    backend.read();
    backend.respond(200, "", "back");
    assert_eq!(client.read().body, b"back");
}

/// Guards against a request that is sent to a backend which began to drain while the connection was being established.
/// The gateway checks the list again before it writes the first byte. Nothing has been sent by then, so the request is
/// rejected.
#[test]
fn a_backend_that_drains_while_a_connection_is_established_gets_nothing() {
    let discovery = TestListener::new();
    let FullBacklog {
        listener: backend,
        fillers,
    } = listener_with_full_backlog();
    let up = [endpoint("s-0", backend.address(), "up")];
    let program = GatewayProcess::start(
        default_settings(),
        discovery.address(),
        endpoint_list(7, true, &up),
    );
    let connection = discovery.accept_request(&watch_request(7));
    let mut watch = WatchStream::begin_response(connection);
    let mut client = program.connect_client();
    client.write(request_with("id-1", "charge", "wide", LONG_TIMEOUT));
    wait_for("a connection attempt that hangs", || {
        is_connecting(backend.address()).then_some(())
    });
    let draining = endpoint("s-0", backend.address(), "draining");
    watch.send_line(&endpoint_list(8, false, &[draining]).to_string());
    watch.finish();
    // The request from version 8 shows that the watch event has been processed.
    discovery.accept_request(&watch_request(8));
    for _ in &fillers {
        backend.accept();
    }
    backend.accept().expect_close();
    assert_eq!(client.read().status(), 429);
}

/// A way in which a backend leaves the list.
struct Departure {
    name: &'static str,
    /// Whether the list that reports the departure is a full one.
    is_full: bool,
    hosts: fn(&TestListener) -> Vec<Value>,
}

const DEPARTURES: [Departure; 3] = [
    Departure {
        name: "draining",
        is_full: false,
        hosts: |backend| vec![endpoint("s-0", backend.address(), "draining")],
    },
    Departure {
        name: "removed",
        is_full: false,
        hosts: |backend| vec![endpoint("s-0", backend.address(), "removed")],
    },
    Departure {
        name: "not listed",
        is_full: true,
        hosts: |_| Vec::new(),
    },
];

/// Guards against a stale list that restores a backend after discovery has reported it as draining or removed. Neither
/// a stale full list nor the changes that follow it may restore the backend. A new process under the same name, which
/// has another start time, is a different backend and gets requests.
#[test]
fn an_older_list_restores_no_departed_backend() {
    for Departure {
        name,
        is_full,
        hosts,
    } in DEPARTURES
    {
        let mut fixture = TestFixture::new(1);
        let up = || endpoint("s-0", fixture.backends[0].address(), "up");
        let departed = endpoint_list(12, is_full, &hosts(&fixture.backends[0]));
        fixture.watch.send_line(&departed.to_string());
        fixture.watch.finish();
        fixture
            .discovery
            .accept_request(&watch_request(12))
            .respond(404, "", "");
        let mut connection = fixture.discovery.accept_request(LIST_REQUEST);
        connection.respond(200, "", &endpoint_list(9, true, &[up()]).to_string());
        let connection = fixture.discovery.accept_request(&watch_request(9));
        let mut watch = WatchStream::begin_response(connection);
        let expect_rejected = |id: &str| {
            let mut client = fixture.program.connect_client();
            client.write(request_with(id, "read", "wide", LONG_TIMEOUT));
            assert!(
                fixture.backends[0]
                    .accept_unless_answered(&client)
                    .is_none(),
                "{name}: {id} was forwarded"
            );
            assert_eq!(client.read().status(), 429, "{name}: {id}");
        };
        expect_rejected("older-complete");
        watch.send_line(&endpoint_list(10, false, &[up()]).to_string());
        watch.finish();
        let connection = fixture.discovery.accept_request(&watch_request(10));
        let mut watch = WatchStream::begin_response(connection);
        expect_rejected("older-change");
        let mut restarted = up();
        restarted["born_ms"] = json!(5.0);
        watch.send_line(&endpoint_list(11, false, &[restarted]).to_string());
        fixture
            .program
            .wait_until_served_by(&fixture.backends[0], "another-process");
    }
}

/// Guards against applying changes to the wrong version: changes of an earlier version than the known one are not
/// applied, and the full list is requested.
#[test]
fn changes_to_an_earlier_version_request_the_complete_list() {
    let mut fixture = TestFixture::new(1);
    fixture
        .watch
        .send_line(&endpoint_list(6, false, &[]).to_string());
    let mut connection = fixture.discovery.accept_request(LIST_REQUEST);
    connection.respond(200, "", &endpoint_list(6, true, &[]).to_string());
    fixture.discovery.accept_request(&watch_request(6));
}

/// Guards against a list from the old address of discovery after a reload has changed the address. The old response is
/// ignored whether it arrives before or after the one from the new address.
#[test]
fn the_old_discovery_address_is_ignored_after_a_new_configuration() {
    for late in [false, true] {
        let old = TestListener::new();
        let moved = TestListener::new();
        let listed = TestListener::new();
        let ignored = TestListener::new();
        let program = GatewayProcess::start(default_settings(), old.address(), Value::Null);
        let mut old_call = old.accept_request(LIST_REQUEST);
        let mut config = program.config.clone();
        config["discovery"] = moved.address().to_string().into();
        program.reload(&config.to_string());
        let mut new_call = moved.accept_request(LIST_REQUEST);
        let respond_from_old = |connection: &mut ScriptedConnection| {
            let hosts = [endpoint("s-0", ignored.address(), "up")];
            let list = endpoint_list(50, true, &hosts).to_string();
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
                list.len()
            );
            // The write may fail, since the gateway has closed the connection.
            let _ = connection.reader.get_mut().write_all(head.as_bytes());
        };
        if !late {
            respond_from_old(&mut old_call);
        }
        let hosts = [endpoint("s-1", listed.address(), "up")];
        new_call.respond(200, "", &endpoint_list(8, true, &hosts).to_string());
        moved.accept_request(&watch_request(8));
        if late {
            respond_from_old(&mut old_call);
        }
        old_call.expect_close();
        program.wait_until_served_by(&listed, "moved");
        assert!(!ignored.has_pending_connection());
    }
}

/// Guards against requests to the old address of a backend that is listed again at another address. A request that
/// waits for a connection to the old address is not sent there, and the next request goes to the current address.
#[test]
fn a_backend_listed_at_another_address_gets_nothing_at_the_former_one() {
    let discovery = TestListener::new();
    let FullBacklog {
        listener: old_backend,
        fillers,
    } = listener_with_full_backlog();
    let current_backend = TestListener::new();
    let up = |listener: &TestListener| endpoint("s-0", listener.address(), "up");
    let program = GatewayProcess::start(
        default_settings(),
        discovery.address(),
        endpoint_list(7, true, &[up(&old_backend)]),
    );
    let connection = discovery.accept_request(&watch_request(7));
    let mut watch = WatchStream::begin_response(connection);
    let mut client = program.connect_client();
    client.write(request_with("id-1", "charge", "wide", LONG_TIMEOUT));
    wait_for("a connection attempt that hangs", || {
        is_connecting(old_backend.address()).then_some(())
    });
    let removed = endpoint("s-0", old_backend.address(), "removed");
    watch.send_line(&endpoint_list(8, false, &[removed]).to_string());
    watch.send_line(&endpoint_list(9, false, &[up(&current_backend)]).to_string());
    // The waiting request is either sent to the current address or rejected.
    let accepted = current_backend.accept_unless_answered(&client);
    for _ in &fillers {
        old_backend.accept();
    }
    match accepted {
        Some(mut backend) => {
            assert_eq!(backend.read().header("request-id"), Some("id-1"));
            backend.respond(200, "", "now");
            assert_eq!(client.read().body, b"now");
        }
        None => {
            assert_eq!(client.read().status(), 429);
            program.wait_until_served_by(&current_backend, "next");
        }
    }
    // The connection to the old address may be established, but nothing must be sent on it.
    if let Some(mut stale) = old_backend.try_accept() {
        stale.expect_close();
    }
}

/// What the endpoint list says of a new process at the address of one that has gone.
enum NewProcess {
    /// Another backend.
    OtherName,
    /// The same backend with a later start.
    LaterStart,
}

/// The start of the first process at an address, in Unix milliseconds.
const FIRST_START: u64 = 1_700_000_000_000;

/// A new process listens at the address of a backend whose former process still holds a pooled connection. After the list
/// says so, the former process gets nothing more, and the new one gets each request once.
fn replace_process(new_process: &NewProcess) {
    let discovery = TestListener::new();
    let former = TestListener::new();
    let address = former.address();
    let host = |name: &str, health: &str, started: u64| {
        let mut host = endpoint(name, address, health);
        host["born_ms"] = started.into();
        host
    };
    let program = GatewayProcess::start(
        default_settings(),
        discovery.address(),
        endpoint_list(7, true, &[host("s-0", "up", FIRST_START)]),
    );
    let connection = discovery.accept_request(&watch_request(7));
    let mut watch = WatchStream::begin_response(connection);
    let mut client = program.connect_client();
    client.write(request_with("id-1", "charge", "wide", LONG_TIMEOUT));
    let mut pooled = former.accept();
    pooled.read();
    pooled.respond(200, "", "former");
    assert_eq!(client.read().body, b"former");

    drop(former);
    let current = TestListener {
        socket: wait_for("the address", || TcpListener::bind(address).ok()),
    };
    let hosts = match new_process {
        NewProcess::OtherName => vec![
            host("s-0", "removed", FIRST_START),
            host("s-9", "up", FIRST_START + 1000),
        ],
        NewProcess::LaterStart => vec![host("s-0", "up", FIRST_START + 1000)],
    };
    watch.send_line(&endpoint_list(8, false, &hosts).to_string());
    pooled.expect_close();
    for number in 0..10 {
        let id = format!("next-{number}");
        client.write(request_with(&id, "charge", "wide", LONG_TIMEOUT));
        let mut backend = current.accept();
        assert_eq!(backend.read().header("request-id"), Some(id.as_str()));
        backend.respond(200, "Connection: close\r\n", &id);
        assert_eq!(client.read().body, id.as_bytes());
    }
    assert!(!current.has_pending_connection());
}

/// Guards against work for a process that has gone: another backend takes over its address.
#[test]
fn another_backend_at_the_address_of_a_former_one_is_not_taken_for_it() {
    replace_process(&NewProcess::OtherName);
}

/// Guards against work for a process that has gone: the same backend restarts at its address.
#[test]
fn a_restarted_backend_is_not_taken_for_its_former_process() {
    replace_process(&NewProcess::LaterStart);
}
