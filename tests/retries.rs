//! Where an attempt's end meets what may be sent again, over loopback sockets: a keyed request goes nowhere outside its group,
//! and nowhere once those in it have forgotten its key.

use cometspool_fault_injection::scripted_peers::*;
use serde_json::Value;
use std::time::{Duration, Instant};

/// Long enough that no answer of these tests comes from a deadline.
const LONG: &str = "8";

/// Three backends, the last in a cell of its own, and keyed requests that a cell remembers for `memory` ms.
fn cells(memory: f64) -> (GatewayProcess, Vec<TestListener>, TestListener) {
    let mut settings = default_settings();
    settings["grades"][1]["group"] = "cell".into();
    settings["grades"][1]["memory_span"] = memory.into();
    let (discovery, places) = (
        TestListener::new(),
        vec![
            TestListener::new(),
            TestListener::new(),
            TestListener::new(),
        ],
    );
    let hosts: Vec<Value> = (0..3)
        .map(|i| {
            let mut host = endpoint(&format!("s-{i}"), places[i].address(), "up");
            host["block"] = u32::from(i == 2).into();
            host
        })
        .collect();
    let program = GatewayProcess::start(
        settings,
        discovery.address(),
        endpoint_list(7, true, &hosts),
    );
    (program, places, discovery)
}

type End = (&'static str, fn(ScriptedConnection));

/// Ways in which an attempt that may have run ends.
fn ends() -> [End; 3] {
    [
        ("an error", |mut backend| backend.respond(500, "", "")),
        ("an end without an answer", drop),
        ("an end within an answer", |mut backend| {
            backend.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
        }),
    ]
}

/// Guards keyed requests whose first attempt may have run: every further one goes to the same cell, and once the cell may have
/// forgotten the key there is none, and no answer that calls a repeat harmless.
#[test]
fn a_keyed_request_is_sent_again_only_where_and_while_its_key_is_remembered() {
    for (name, end) in ends() {
        for memory in [8000.0, 50.0] {
            let (program, places, _discovery) = cells(memory);
            let mut client = program.connect_client();
            client.write(request_with("keyed", "extend", "wide", LONG));
            let (first, mut backend) =
                accept_any_unless_answered(&places, &client).expect("a first attempt");
            assert_eq!(backend.read().header("idempotency-key"), Some("5c0f6e1a"));
            let sent = Instant::now();
            if memory < 100.0 {
                // Later is as good: the key is forgotten from then on.
                wait_for("a key that is forgotten", || {
                    (sent.elapsed() > Duration::from_millis(60)).then_some(())
                });
            }
            end(backend);
            let next = accept_any_unless_answered(&places, &client);
            if memory < 100.0 {
                assert!(
                    next.is_none(),
                    "{name}: sent again after its key was forgotten"
                );
                let status = client.read().status();
                assert!(status >= 500 && status != 503, "{name}: {status}");
                continue;
            }
            let Some((second, mut backend)) = next else {
                // Its cell may have nobody else.
                assert_eq!(first, 2, "{name}: another of its cell was there");
                assert!(client.read().status() >= 500, "{name}");
                continue;
            };
            assert_eq!(first == 2, second == 2, "{name}: sent from cell to cell");
            assert_eq!(backend.read().header("request-id"), Some("keyed"), "{name}");
            backend.respond(200, "", "once");
            assert_eq!(client.read().body, b"once", "{name}");
        }
    }
}

/// A backend that lets a connection come up only once `open` is called.
struct Shut {
    place: TestListener,
    fillers: usize,
}

impl Shut {
    fn new() -> Shut {
        let FullBacklog {
            listener: place,
            fillers,
        } = listener_with_full_backlog();
        // They wait in its line after their other ends have closed.
        Shut {
            place,
            fillers: fillers.len(),
        }
    }

    fn dialled(&self) -> bool {
        is_connecting(self.place.address())
    }

    /// The connection that waits to come up.
    fn open(&mut self) -> ScriptedConnection {
        for _ in 0..std::mem::take(&mut self.fillers) {
            self.place.accept();
        }
        self.place.accept()
    }
}

/// What became of a keyed request whose further attempt was dialled within its window and could begin only after it.
#[derive(Debug, PartialEq)]
enum Late {
    /// It was sent to the second backend.
    Sent,
    /// It was answered with this status.
    Answered(u16),
    /// The window had passed before there was a further attempt: nothing is shown.
    NotTried,
}

fn begin_late(memory: f64) -> Late {
    let mut settings = default_settings();
    settings["grades"][1]["memory_span"] = memory.into();
    settings["policy_limits"]["dial_timeout"] = 20_000.0.into();
    let discovery = TestListener::new();
    let mut backends = [Shut::new(), Shut::new()];
    let hosts: Vec<Value> = (0..2)
        .map(|i| endpoint(&format!("s-{i}"), backends[i].place.address(), "up"))
        .collect();
    let program = GatewayProcess::start(
        settings,
        discovery.address(),
        endpoint_list(7, true, &hosts),
    );
    let mut client = program.connect_client();
    client.write(request_with("keyed", "extend", "wide", LONG));
    let first = wait_for("a first attempt", || {
        backends.iter().position(Shut::dialled)
    });
    let begun = Instant::now();
    let mut link = backends[first].open();
    assert_eq!(link.read().header("request-id"), Some("keyed"));
    link.respond(500, "", "");
    let second = &mut backends[1 - first];
    wait_for("a further attempt or an answer", || {
        (second.dialled() || client.is_readable()).then_some(())
    });
    if !second.dialled() {
        return Late::NotTried;
    }
    wait_for("the end of the window", || {
        (begun.elapsed().as_secs_f64() * 1000.0 > memory).then_some(())
    });
    let late = second.open();
    if late.is_readable_before(&client) {
        Late::Sent
    } else {
        Late::Answered(client.read().status())
    }
}

/// Guards keyed requests against a connection that comes up late: a further attempt that was due within the window, and could
/// begin only after it, is not sent, and the request fails at once.
#[test]
fn a_further_attempt_does_not_begin_after_its_window() {
    // On a machine that is held up, the wider window shows it.
    let late = [3000.0, 7000.0]
        .into_iter()
        .map(begin_late)
        .find(|late| *late != Late::NotTried);
    assert_eq!(late, Some(Late::Answered(502)));
}
