//! Clients that leave while their request waits, over loopback sockets: where the leaving and the means to send meet in one
//! turn of the loop, the leaving is seen first, and nothing is sent on for nobody.

use cometspool_fault_injection::scripted_peers::*;
use serde_json::Value;
use std::net::TcpStream;
use std::time::Duration;

/// Long enough that no answer of these tests comes from a deadline.
const LONG: &str = "8";

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Leaves {
    Closes,
    Resets,
}

const WAYS: [Leaves; 2] = [Leaves::Closes, Leaves::Resets];

fn leave(client: ScriptedConnection, how: Leaves) {
    leave_all(vec![client], how);
}

/// Returns once the system has ended the connections: a process that is being started beside may hold copies for a moment.
fn leave_all(clients: Vec<ScriptedConnection>, how: Leaves) {
    let ends = |client: &ScriptedConnection| {
        let stream = client.reader.get_ref();
        ConnectionEnds {
            local: stream.local_addr().expect("an address"),
            remote: stream.peer_addr().expect("an address"),
        }
    };
    let pairs: Vec<ConnectionEnds> = clients.iter().map(ends).collect();
    for client in clients.iter().filter(|_| matches!(how, Leaves::Resets)) {
        client.reset_on_close();
    }
    drop(clients);
    wait_for("the end of connections", || {
        (!any_established(&pairs)).then_some(())
    });
}

/// Settings that permit calling attempts off, or do not.
fn cancelling(cancel: bool) -> Value {
    let mut settings = default_settings();
    settings["policy_limits"]["cancel"] = cancel.into();
    settings
}

/// The next request that anybody is sent is this client's own: what went before was sent nowhere.
fn only_the_next_is_sent(
    program: &GatewayProcess,
    mut next: impl FnMut() -> ScriptedConnection,
    name: &str,
) {
    let mut client = program.connect_client();
    client.write(request_with("next", "charge", "wide", LONG));
    let mut backend = next();
    let got = backend.read();
    assert_eq!(got.header("request-id"), Some("next"), "{name}");
    backend.respond(200, "", "ok");
    assert_eq!(client.read().body, b"ok", "{name}");
}

/// Guards a request that waits for a dial: its client leaves, then the dial comes up, and the connection carries nothing of it,
/// whether attempts may be called off or not, and whether both are found in one turn of the loop or the leaving first.
#[test]
fn a_dial_that_comes_up_after_the_leaving_carries_nothing() {
    let runs: Vec<_> = [true, false]
        .into_iter()
        .flat_map(|cancel| {
            WAYS.into_iter()
                .flat_map(move |how| [(cancel, how, true), (cancel, how, false)])
        })
        .map(|(cancel, how, one_turn)| {
            std::thread::spawn(move || {
                let name = format!("cancel {cancel}, {how:?}, one turn {one_turn}");
                let discovery = TestListener::new();
                let FullBacklog {
                    listener: backend,
                    fillers,
                } = listener_with_full_backlog();
                let list = endpoint_list(7, true, &[endpoint("s-0", backend.address(), "up")]);
                let program = GatewayProcess::start(cancelling(cancel), discovery.address(), list);
                let mut client = program.connect_client();
                client.write(request_with("left", "charge", "wide", LONG));
                wait_for("a dial that hangs", || {
                    is_connecting(backend.address()).then_some(())
                });
                if one_turn {
                    program.pause();
                }
                leave(client, how);
                for _ in &fillers {
                    backend.accept();
                }
                // The system asks again by itself.
                wait_for("a dial that is up", || {
                    (!is_connecting(backend.address())).then_some(())
                });
                if one_turn {
                    program.resume();
                }
                let mut link = Some(backend.accept());
                only_the_next_is_sent(
                    &program,
                    || link.take().expect("the link that was dialled"),
                    &name,
                );
            })
        })
        .collect();
    runs.into_iter()
        .for_each(|fixture| fixture.join().expect("a fixture that held"));
}

/// Guards a request that waits for a link: its client leaves in the turn in which another's answer frees one.
#[test]
fn a_link_that_comes_free_with_the_leaving_carries_nothing() {
    for (cancel, how) in [
        (true, Leaves::Closes),
        (false, Leaves::Closes),
        (false, Leaves::Resets),
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
        let program = GatewayProcess::start(cancelling(cancel), discovery.address(), list);
        let mut first = program.connect_client();
        first.write(request_with("first", "charge", "wide", LONG));
        let mut link = backend.accept();
        link.read();
        let _fillers: Vec<TcpStream> = fillers
            .iter()
            .map(|_| TcpStream::connect(backend.address()).expect("room for two"))
            .collect();
        let mut client = program.connect_client();
        client.write(request_with("left", "charge", "wide", LONG));
        wait_for("a dial that hangs", || {
            is_connecting(backend.address()).then_some(())
        });
        program.pause();
        link.respond(200, "", "one");
        leave(client, how);
        program.resume();
        assert_eq!(first.read().body, b"one");
        let mut link = Some(link);
        let name = format!("cancel {cancel}, {how:?}");
        only_the_next_is_sent(
            &program,
            || link.take().expect("the link that came free"),
            &name,
        );
    }
}

/// Guards a request that never ran and would go out again: its client leaves in the turn in which that is told, with further
/// bytes behind its request or without.
#[test]
fn no_retry_goes_out_for_a_client_that_has_left() {
    for cancel in [true, false] {
        for (how, behind) in [
            (Leaves::Closes, false),
            (Leaves::Resets, false),
            (Leaves::Closes, true),
        ] {
            let fixture = TestFixture::with_settings(cancelling(cancel), 2);
            let mut client = fixture.program.connect_client();
            let further = if behind {
                request_with("behind", "charge", "wide", LONG)
            } else {
                String::new()
            };
            client.write(request_with("left", "charge", "wide", LONG) + &further);
            let (_, mut backend) = fixture.accept_any();
            assert_eq!(backend.read().header("request-id"), Some("left"));
            fixture.program.pause();
            backend.respond(503, "Not-Started: 1\r\n", "");
            leave(client, how);
            fixture.program.resume();
            let name = format!("cancel {cancel}, {how:?}, bytes behind {behind}");
            let next = || {
                wait_for("the next request", || {
                    let called = fixture.backends.iter().find_map(TestListener::try_accept);
                    called.or_else(|| {
                        backend.receives_within(Duration::from_millis(1)).then(|| {
                            ScriptedConnection::new(backend.reader.get_ref().try_clone().unwrap())
                        })
                    })
                })
            };
            only_the_next_is_sent(&fixture.program, next, &name);
            assert!(fixture.no_backend_contacted(), "{name}");
        }
    }
}

/// Guards against requests of nobody: what lay unread while the process stood still, from a client that left meanwhile, with
/// one request or several behind each other, is not sent on.
#[test]
fn what_a_client_left_behind_unread_is_not_sent_on() {
    for how in WAYS {
        for count in [1, 3] {
            let fixture = TestFixture::new(1);
            let mut client = fixture.program.connect_client();
            // The front door has accepted it.
            client.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
            assert_eq!(client.read().status(), 200);
            fixture.program.pause();
            for i in 0..count {
                client.write(request_with(&format!("left-{i}"), "charge", "wide", LONG));
            }
            leave(client, how);
            fixture.program.resume();
            let next = || fixture.backends[0].accept();
            only_the_next_is_sent(
                &fixture.program,
                next,
                &format!("{how:?}, {count} requests"),
            );
        }
    }
}

/// Guards against an end that hides behind further bytes: the attempt is called off all the same, well before its time, and
/// what is behind is not sent on.
#[test]
fn an_end_behind_further_bytes_is_seen() {
    let mut settings = default_settings();
    for key in ["aim", "give_up"] {
        settings["grades"][0][key] = 600_000.0.into();
    }
    // Behind it: a further request, more than is read ahead, and what is no request at all.
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
        // As much as the way takes.
        let _ = std::io::Write::write(client.reader.get_mut(), behind.as_bytes());
        leave(client, Leaves::Closes);
        backend.expect_close();
        only_the_next_is_sent(
            &fixture.program,
            || fixture.backends[0].accept(),
            &behind[..behind.len().min(12)],
        );
    }
}

/// Counts the term itself, over many clients that leave in bursts while their requests wait for dials and links under load: of
/// those that had left before anything came up for them none is sent on, whoever stays is answered, and nothing is sent twice.
#[test]
fn of_many_that_leave_while_they_wait_none_is_sent_on() {
    const STAY: usize = 4; // every so many one
    for (cancel, count) in [(true, 80), (false, 80)] {
        let discovery = TestListener::new();
        // A backend to which nothing comes up is given a few requests only, so there are several.
        let backends: Vec<FullBacklog> = (0..12).map(|_| listener_with_full_backlog()).collect();
        let up = |(i, backend): (usize, &FullBacklog)| {
            endpoint(&format!("s-{i}"), backend.listener.address(), "up")
        };
        let list = endpoint_list(
            7,
            true,
            &backends.iter().enumerate().map(up).collect::<Vec<_>>(),
        );
        // Nothing ends by its time, however slow the machine is.
        let mut settings = cancelling(cancel);
        settings["policy_limits"]["dial_timeout"] = 60_000.0.into();
        for key in ["aim", "give_up"] {
            settings["grades"][0][key] = 600_000.0.into();
        }
        let program = GatewayProcess::start(settings, discovery.address(), list);
        let mut clients: Vec<Option<ScriptedConnection>> = (0..count)
            .map(|i| {
                let mut client = program.connect_client();
                client.write(request_with(&format!("r-{i}"), "read", "wide", "600"));
                Some(client)
            })
            .collect();
        for backend in &backends {
            wait_for("a dial that hangs", || {
                is_connecting(backend.listener.address()).then_some(())
            });
        }
        // Whoever is refused at once waits no longer.
        let waits = |client: &Option<ScriptedConnection>| {
            client.as_ref().is_some_and(|client| !client.is_readable())
        };
        let mut left = 0;
        // In two bursts, by both ways of leaving.
        for how in WAYS {
            let burst = (0..count)
                .filter(|i| i % STAY > 0 && (i % 2 == 0) == matches!(how, Leaves::Closes));
            let burst: Vec<Option<ScriptedConnection>> = burst.map(|i| clients[i].take()).collect();
            left += burst.iter().filter(|client| waits(client)).count();
            leave_all(burst.into_iter().flatten().collect(), how);
        }
        assert!(left >= 15, "only {left} left while they waited");
        let staying: Vec<(usize, ScriptedConnection)> = clients
            .into_iter()
            .enumerate()
            .filter_map(|(i, client)| Some((i, client?)))
            .collect();
        // From now on whatever comes up is answered.
        let sent = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
        for FullBacklog { listener, fillers } in backends {
            fillers.iter().for_each(|_| drop(listener.accept()));
            let noted = sent.clone();
            listener.socket.set_nonblocking(false).expect("a listener");
            std::thread::spawn(move || {
                while let Ok((stream, _)) = listener.socket.accept() {
                    let noted = noted.clone();
                    std::thread::spawn(move || {
                        let mut link = ScriptedConnection::new(stream);
                        while let Ok([_, ..]) = std::io::BufRead::fill_buf(&mut link.reader) {
                            let id = link.read().header("request-id").expect("an id").to_owned();
                            noted.lock().expect("no panic").push(id.clone());
                            link.respond(200, "", &id);
                        }
                    });
                }
            });
        }
        let mut served = 0;
        for (i, mut client) in staying {
            let answer = client.read();
            // One that found no room was refused at once; nobody is given another's answer.
            assert!(
                matches!(answer.status(), 200 | 429),
                "r-{i}: {}",
                answer.status()
            );
            if answer.status() == 200 {
                assert_eq!(answer.body, format!("r-{i}").as_bytes());
                served += 1;
            }
        }
        let mut sent = sent.lock().expect("no panic").clone();
        sent.sort();
        let number = |id: &String| id[2..].parse::<usize>().expect("a number");
        let late = sent.iter().filter(|id| number(id) % STAY > 0).count();
        assert_eq!(
            late, 0,
            "cancel {cancel}: sent on for clients that had left, of {left}"
        );
        assert_eq!(sent.len(), served, "cancel {cancel}: {sent:?}");
        sent.dedup();
        assert_eq!(sent.len(), served, "sent twice");
        println!("calling off {cancel}: {left} left while they waited, {late} of these were sent on, {served} who stayed were served");
    }
}
