//! Which requests are retried, over loopback sockets: those that never ran, and those that may be repeated where and for as
//! long as that is safe.

use cometspool_fault_injection::scripted_peers::*;
use serde_json::Value;
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// A way in which an attempt ends.
struct AttemptEnd {
    name: &'static str,
    act: fn(&mut ScriptedConnection),
}

fn close(backend: &mut ScriptedConnection) {
    backend.reader.get_mut().shutdown(Shutdown::Both).unwrap();
}

/// Ways in which a backend ends an attempt that may have run.
const MAY_HAVE_RUN: [AttemptEnd; 6] = [
    AttemptEnd {
        name: "500",
        act: |backend| backend.respond(500, "", ""),
    },
    AttemptEnd {
        name: "500 that claims not to have started",
        act: |backend| backend.respond(500, "Not-Started: 1\r\n", ""),
    },
    AttemptEnd {
        name: "503 without Not-Started",
        act: |backend| backend.respond(503, "", ""),
    },
    AttemptEnd {
        name: "504 with another Not-Started",
        act: |backend| backend.respond(504, "Not-Started: 0\r\n", ""),
    },
    AttemptEnd {
        name: "close without a response",
        act: close,
    },
    AttemptEnd {
        name: "close within a response",
        act: |backend| {
            backend.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
            close(backend);
        },
    },
];

/// A non-idempotent request that may have run is not retried, and its response is neither 200 nor a rejection.
#[test]
fn a_non_idempotent_request_that_may_have_run_fails_without_a_retry() {
    for AttemptEnd { name, act } in MAY_HAVE_RUN {
        let fixture = TestFixture::new(2);
        let mut client = fixture.program.connect_client();
        client.write(request_with("id-1", "charge", "wide", LONG_TIMEOUT));
        let (_, mut backend) = fixture.accept_any();
        backend.read();
        act(&mut backend);
        let status = client.read().status();
        assert!(status >= 500 && status != 503, "{name}: {status}");
        assert!(fixture.no_backend_contacted(), "{name}: retried");
    }
}

/// A request that never ran is retried, also a non-idempotent one.
#[test]
fn a_non_idempotent_request_that_never_ran_is_retried() {
    for status in [503, 504] {
        let fixture = TestFixture::new(2);
        let mut client = fixture.program.connect_client();
        client.write(request_with("id-1", "charge", "wide", LONG_TIMEOUT));
        let (first, mut backend) = fixture.accept_any();
        backend.read();
        backend.respond(status, "Not-Started: 1\r\n", "");
        // The backend that rejected it is avoided for a while.
        let mut backend = fixture.backends[1 - first].accept();
        assert_eq!(backend.read().header("request-id"), Some("id-1"));
        backend.respond(200, "", "done");
        assert_eq!(client.read().status(), 200, "{status}");
    }
}

/// A request whose connection was refused never ran, so also a non-idempotent one may be rejected.
#[test]
fn a_refused_connection_counts_as_never_run() {
    let discovery = TestListener::new();
    let refusing = refusing_address();
    let program = GatewayProcess::start(
        default_settings(),
        discovery.address(),
        endpoint_list(1, true, &[endpoint("s", refusing.address, "up")]),
    );
    let mut client = program.connect_client();
    client.write(request_with("id-1", "charge", "wide", LONG_TIMEOUT));
    assert_eq!(client.read().status(), 429);
}

/// An attempt of an idempotent request that hangs is given up by closing its connection first, and another backend serves
/// the request well before its client stops waiting.
#[test]
fn a_hung_attempt_leaves_time_for_a_retry() {
    let mut settings = default_settings();
    settings["fleet_size"] = 1.into();
    settings["grades"][0]["aim"] = 600.0.into();
    settings["grades"][0]["late_worth"] = 0.5.into();
    let fixture = TestFixture::with_settings(settings, 2);
    let mut client = fixture.program.connect_client();
    client.write(request_with("id-1", "read", "wide", LONG_TIMEOUT));
    let (first, mut hung) = fixture.accept_any();
    hung.read();
    let mut other = fixture.backends[1 - first].accept();
    hung.expect_close();
    assert_eq!(other.read().header("request-id"), Some("id-1"));
    other.respond(200, "", "in time");
    assert_eq!(client.read().body, b"in time");
}

/// A gateway with three backends, the last in a cell of its own.
struct Cells {
    program: GatewayProcess,
    backends: Vec<TestListener>,
    _discovery: TestListener,
}

impl Cells {
    /// Starts a gateway for which a cell remembers an idempotency key for `memory_ms`.
    fn start(memory_ms: f64) -> Cells {
        let mut settings = default_settings();
        settings["grades"][1]["group"] = "cell".into();
        settings["grades"][1]["memory_span"] = memory_ms.into();
        let discovery = TestListener::new();
        let backends: Vec<TestListener> = (0..3).map(|_| TestListener::new()).collect();
        let hosts: Vec<Value> = (0..3)
            .map(|i| {
                let mut host = endpoint(&format!("s-{i}"), backends[i].address(), "up");
                host["block"] = u32::from(i == 2).into();
                host
            })
            .collect();
        let program = GatewayProcess::start(
            settings,
            discovery.address(),
            endpoint_list(7, true, &hosts),
        );
        Cells {
            program,
            backends,
            _discovery: discovery,
        }
    }
}

/// A way in which an attempt that may have run ends, with the end of its connection.
struct FinalEnd {
    name: &'static str,
    act: fn(ScriptedConnection),
}

const FINAL_ENDS: [FinalEnd; 3] = [
    FinalEnd {
        name: "an error",
        act: |mut backend| backend.respond(500, "", ""),
    },
    FinalEnd {
        name: "a close without a response",
        act: drop,
    },
    FinalEnd {
        name: "a close within a response",
        act: |mut backend| {
            backend.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
        },
    },
];

/// The first attempt of a request with an idempotency key may have run: every retry is sent to the same cell, and once the
/// cell may have forgotten the key there is none, and no response that calls a repetition safe.
#[test]
fn a_request_with_a_key_is_retried_only_where_and_while_its_key_is_remembered() {
    for FinalEnd { name, act } in FINAL_ENDS {
        for memory_ms in [8000.0, 50.0] {
            let Cells {
                program,
                backends,
                _discovery,
            } = Cells::start(memory_ms);
            let mut client = program.connect_client();
            client.write(request_with("keyed", "extend", "wide", LONG_TIMEOUT));
            let (first, mut backend) =
                accept_any_unless_answered(&backends, &client).expect("a first attempt");
            assert_eq!(backend.read().header("idempotency-key"), Some("5c0f6e1a"));
            let received = Instant::now();
            if memory_ms < 100.0 {
                // A longer wait does no harm: the key stays forgotten.
                wait_for("a key that is forgotten", || {
                    (received.elapsed() > Duration::from_millis(60)).then_some(())
                });
            }
            act(backend);
            let retry = accept_any_unless_answered(&backends, &client);
            if memory_ms < 100.0 {
                assert!(
                    retry.is_none(),
                    "{name}: retried after its key was forgotten"
                );
                let status = client.read().status();
                assert!(status >= 500 && status != 503, "{name}: {status}");
                continue;
            }
            let Some((second, mut backend)) = retry else {
                // Its cell may have no other backend.
                assert_eq!(first, 2, "{name}: another of its cell was there");
                assert!(client.read().status() >= 500, "{name}");
                continue;
            };
            assert_eq!(first == 2, second == 2, "{name}: retried in another cell");
            assert_eq!(backend.read().header("request-id"), Some("keyed"), "{name}");
            backend.respond(200, "", "once");
            assert_eq!(client.read().body, b"once", "{name}");
        }
    }
}

/// A backend to which a connection is established only once `open` is called.
struct ClosedBackend {
    listener: TestListener,
    /// Connections in its accept queue; they stay there after their other ends have closed.
    fillers: usize,
}

impl ClosedBackend {
    fn new() -> ClosedBackend {
        let FullBacklog { listener, fillers } = listener_with_full_backlog();
        ClosedBackend {
            listener,
            fillers: fillers.len(),
        }
    }

    fn is_connecting(&self) -> bool {
        is_connecting(self.listener.address())
    }

    /// Lets the waiting connection be established.
    fn open(&mut self) -> ScriptedConnection {
        for _ in 0..std::mem::take(&mut self.fillers) {
            self.listener.accept();
        }
        self.listener.accept()
    }
}

/// What happened to a request with a key whose retry was due within the window in which its key is remembered, and could be
/// sent only after it.
#[derive(Debug, PartialEq)]
enum LateRetry {
    /// It was sent to the second backend.
    Sent,
    /// The request was answered with this status.
    Answered(u16),
    /// The window had passed before there was a retry: the run shows nothing.
    NotTried,
}

fn delay_retry_beyond_window(memory_ms: f64) -> LateRetry {
    let mut settings = default_settings();
    settings["grades"][1]["memory_span"] = memory_ms.into();
    settings["policy_limits"]["dial_timeout"] = 20_000.0.into();
    let discovery = TestListener::new();
    let mut backends = [ClosedBackend::new(), ClosedBackend::new()];
    let hosts: Vec<Value> = (0..2)
        .map(|i| endpoint(&format!("s-{i}"), backends[i].listener.address(), "up"))
        .collect();
    let program = GatewayProcess::start(
        settings,
        discovery.address(),
        endpoint_list(7, true, &hosts),
    );
    let mut client = program.connect_client();
    client.write(request_with("keyed", "extend", "wide", LONG_TIMEOUT));
    let first = wait_for("a first attempt", || {
        backends.iter().position(ClosedBackend::is_connecting)
    });
    let start = Instant::now();
    let mut connection = backends[first].open();
    assert_eq!(connection.read().header("request-id"), Some("keyed"));
    connection.respond(500, "", "");
    let second = &mut backends[1 - first];
    wait_for("a retry or a response", || {
        (second.is_connecting() || client.is_readable()).then_some(())
    });
    if !second.is_connecting() {
        return LateRetry::NotTried;
    }
    wait_for("the end of the window", || {
        (start.elapsed().as_secs_f64() * 1000.0 > memory_ms).then_some(())
    });
    let late = second.open();
    if late.is_readable_before(&client) {
        LateRetry::Sent
    } else {
        LateRetry::Answered(client.read().status())
    }
}

/// A retry that was due within the window in which its key is remembered, but whose connection is established only after
/// it, is not sent, and the request fails at once.
#[test]
fn a_retry_is_not_sent_after_its_key_may_be_forgotten() {
    // On a machine that is held up, the longer window shows it.
    let outcome = [3000.0, 7000.0]
        .into_iter()
        .map(delay_retry_beyond_window)
        .find(|outcome| *outcome != LateRetry::NotTried);
    assert_eq!(outcome, Some(LateRetry::Answered(502)));
}
