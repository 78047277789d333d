//! Clients that leave while their request waits, over loopback sockets: where the leaving and the means to send meet in one
//! turn of the loop, the leaving is seen first, and nothing is sent on for nobody.

use cometspool_fault_injection::hand::*;
use serde_json::Value;
use std::net::{SocketAddr, TcpStream};
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

fn leave(client: Wire, how: Leaves) {
    leave_all(vec![client], how);
}

/// Returns once the system has ended the connections: a process that is being started beside may hold copies for a moment.
fn leave_all(clients: Vec<Wire>, how: Leaves) {
    let ends = |client: &Wire| {
        let stream = client.reader.get_ref();
        (
            stream.local_addr().expect("an address"),
            stream.peer_addr().expect("an address"),
        )
    };
    let pairs: Vec<(SocketAddr, SocketAddr)> = clients.iter().map(ends).collect();
    for client in clients.iter().filter(|_| matches!(how, Leaves::Resets)) {
        client.reset_on_close();
    }
    drop(clients);
    wait_for("the end of connections", || {
        (!connected(&pairs)).then_some(())
    });
}

/// Settings that permit calling attempts off, or do not.
fn cancelling(cancel: bool) -> Value {
    let mut settings = settings();
    settings["policy_limits"]["cancel"] = cancel.into();
    settings
}

/// The next request that anybody is sent is this client's own: what went before was sent nowhere.
fn only_the_next_is_sent(program: &Program, mut next: impl FnMut() -> Wire, name: &str) {
    let mut client = program.client();
    client.write(request_of("next", "charge", "wide", LONG));
    let mut backend = next();
    let got = backend.read();
    assert_eq!(got.header("request-id"), Some("next"), "{name}");
    backend.answer(200, "", "ok");
    assert_eq!(client.read().body, b"ok", "{name}");
}

/// Guards a request that waits for a dial: its client leaves, then the dial comes up, and the connection carries nothing of it,
/// whether attempts may be called off or not, and whether both are found in one turn of the loop or the leaving first.
#[test]
fn a_dial_that_comes_up_after_the_leaving_carries_nothing() {
    let scenes: Vec<_> = [true, false]
        .into_iter()
        .flat_map(|cancel| {
            WAYS.into_iter()
                .flat_map(move |how| [(cancel, how, true), (cancel, how, false)])
        })
        .map(|(cancel, how, one_turn)| {
            std::thread::spawn(move || {
                let name = format!("cancel {cancel}, {how:?}, one turn {one_turn}");
                let discovery = Place::new();
                let (backend, fillers) = crowded_place();
                let list = members(7, true, &[member("s-0", backend.address(), "up")]);
                let program = Program::start(cancelling(cancel), discovery.address(), list);
                let mut client = program.client();
                client.write(request_of("left", "charge", "wide", LONG));
                wait_for("a dial that hangs", || {
                    dialling(backend.address()).then_some(())
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
                    (!dialling(backend.address())).then_some(())
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
    scenes
        .into_iter()
        .for_each(|scene| scene.join().expect("a scene that held"));
}

/// Guards a request that waits for a link: its client leaves in the turn in which another's answer frees one.
#[test]
fn a_link_that_comes_free_with_the_leaving_carries_nothing() {
    for (cancel, how) in [
        (true, Leaves::Closes),
        (false, Leaves::Closes),
        (false, Leaves::Resets),
    ] {
        let discovery = Place::new();
        let (backend, fillers) = crowded_place();
        for _ in &fillers {
            backend.accept();
        }
        let list = members(7, true, &[member("s-0", backend.address(), "up")]);
        let program = Program::start(cancelling(cancel), discovery.address(), list);
        let mut first = program.client();
        first.write(request_of("first", "charge", "wide", LONG));
        let mut link = backend.accept();
        link.read();
        let _fillers: Vec<TcpStream> = fillers
            .iter()
            .map(|_| TcpStream::connect(backend.address()).expect("room for two"))
            .collect();
        let mut client = program.client();
        client.write(request_of("left", "charge", "wide", LONG));
        wait_for("a dial that hangs", || {
            dialling(backend.address()).then_some(())
        });
        program.pause();
        link.answer(200, "", "one");
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
            let scene = Scene::with(cancelling(cancel), 2);
            let mut client = scene.program.client();
            let further = if behind {
                request_of("behind", "charge", "wide", LONG)
            } else {
                String::new()
            };
            client.write(request_of("left", "charge", "wide", LONG) + &further);
            let (_, mut backend) = scene.accept_any();
            assert_eq!(backend.read().header("request-id"), Some("left"));
            scene.program.pause();
            backend.answer(503, "Not-Started: 1\r\n", "");
            leave(client, how);
            scene.program.resume();
            let name = format!("cancel {cancel}, {how:?}, bytes behind {behind}");
            let next = || {
                wait_for("the next request", || {
                    let called = scene.backends.iter().find_map(Place::try_accept);
                    called.or_else(|| {
                        backend
                            .hears(Duration::from_millis(1))
                            .then(|| Wire::new(backend.reader.get_ref().try_clone().unwrap()))
                    })
                })
            };
            only_the_next_is_sent(&scene.program, next, &name);
            assert!(scene.nobody_called(), "{name}");
        }
    }
}

/// Guards against requests of nobody: what lay unread while the process stood still, from a client that left meanwhile, with
/// one request or several behind each other, is not sent on.
#[test]
fn what_a_client_left_behind_unread_is_not_sent_on() {
    for how in WAYS {
        for count in [1, 3] {
            let scene = Scene::new(1);
            let mut client = scene.program.client();
            // The front door has accepted it.
            client.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
            assert_eq!(client.read().status(), 200);
            scene.program.pause();
            for i in 0..count {
                client.write(request_of(&format!("left-{i}"), "charge", "wide", LONG));
            }
            leave(client, how);
            scene.program.resume();
            let next = || scene.backends[0].accept();
            only_the_next_is_sent(&scene.program, next, &format!("{how:?}, {count} requests"));
        }
    }
}

/// Guards against an end that hides behind further bytes: the attempt is called off all the same, well before its time, and
/// what is behind is not sent on.
#[test]
fn an_end_behind_further_bytes_is_seen() {
    let mut settings = settings();
    for key in ["aim", "give_up"] {
        settings["grades"][0][key] = 600_000.0.into();
    }
    // Behind it: a further request, more than is read ahead, and what is no request at all.
    for behind in [
        request_of("behind", "read", "wide", "600"),
        "x".repeat(200_000),
        "\r\n\r\n".to_owned(),
    ] {
        let scene = Scene::with(settings.clone(), 1);
        let mut client = scene.program.client();
        client.write(request_of("left", "read", "wide", "600"));
        let mut backend = scene.backends[0].accept();
        assert_eq!(backend.read().header("request-id"), Some("left"));
        client.reader.get_ref().set_nonblocking(true).unwrap();
        // As much as the way takes.
        let _ = std::io::Write::write(client.reader.get_mut(), behind.as_bytes());
        leave(client, Leaves::Closes);
        backend.expect_end();
        only_the_next_is_sent(
            &scene.program,
            || scene.backends[0].accept(),
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
        let discovery = Place::new();
        // A backend to which nothing comes up is given a few requests only, so there are several.
        let backends: Vec<(Place, Vec<TcpStream>)> = (0..12).map(|_| crowded_place()).collect();
        let up = |(i, (place, _)): (usize, &(Place, Vec<TcpStream>))| {
            member(&format!("s-{i}"), place.address(), "up")
        };
        let list = members(
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
        let program = Program::start(settings, discovery.address(), list);
        let mut clients: Vec<Option<Wire>> = (0..count)
            .map(|i| {
                let mut client = program.client();
                client.write(request_of(&format!("r-{i}"), "read", "wide", "600"));
                Some(client)
            })
            .collect();
        for (place, _) in &backends {
            wait_for("a dial that hangs", || {
                dialling(place.address()).then_some(())
            });
        }
        // Whoever is refused at once waits no longer.
        let waits = |client: &Option<Wire>| client.as_ref().is_some_and(|client| !client.speaks());
        let mut left = 0;
        // In two bursts, by both ways of leaving.
        for how in WAYS {
            let burst = (0..count)
                .filter(|i| i % STAY > 0 && (i % 2 == 0) == matches!(how, Leaves::Closes));
            let burst: Vec<Option<Wire>> = burst.map(|i| clients[i].take()).collect();
            left += burst.iter().filter(|client| waits(client)).count();
            leave_all(burst.into_iter().flatten().collect(), how);
        }
        assert!(left >= 15, "only {left} left while they waited");
        let staying: Vec<(usize, Wire)> = clients
            .into_iter()
            .enumerate()
            .filter_map(|(i, client)| Some((i, client?)))
            .collect();
        // From now on whatever comes up is answered.
        let sent = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
        for (place, fillers) in backends {
            fillers.iter().for_each(|_| drop(place.accept()));
            let noted = sent.clone();
            place.0.set_nonblocking(false).expect("a listener");
            std::thread::spawn(move || {
                while let Ok((stream, _)) = place.0.accept() {
                    let noted = noted.clone();
                    std::thread::spawn(move || {
                        let mut link = Wire::new(stream);
                        while let Ok([_, ..]) = std::io::BufRead::fill_buf(&mut link.reader) {
                            let id = link.read().header("request-id").expect("an id").to_owned();
                            noted.lock().expect("no panic").push(id.clone());
                            link.answer(200, "", &id);
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
