//! Which requests are retried, over loopback sockets: those that never ran, and those whose repetition is safe, for as
//! long as it is safe and only at backends where it is safe.

use cometspool_fault_injection::scripted_peers::*;
use serde_json::Value;
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// A way in which a backend ends an attempt; the connection may stay open.
struct AttemptEnd {
    name: &'static str,
    act: fn(&mut ScriptedConnection),
}

fn close(backend: &mut ScriptedConnection) {
    backend.reader.get_mut().shutdown(Shutdown::Both).unwrap();
}

/// The ways to end an attempt after which its request may have run.
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

/// A non-idempotent request that may have run is not retried, and the client's response is neither 200 nor a rejection.
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

/// A request that never ran is retried, even if it is non-idempotent.
#[test]
fn a_non_idempotent_request_that_never_ran_is_retried() {
    for status in [503, 504] {
        let fixture = TestFixture::new(2);
        let mut client = fixture.program.connect_client();
        client.write(request_with("id-1", "charge", "wide", LONG_TIMEOUT));
        let (first, mut backend) = fixture.accept_any();
        backend.read();
        backend.respond(status, "Not-Started: 1\r\n", "");
        // The backend that rejected the request is avoided for a while.
        let mut backend = fixture.backends[1 - first].accept();
        assert_eq!(backend.read().header("request-id"), Some("id-1"));
        backend.respond(200, "", "done");
        assert_eq!(client.read().status(), 200, "{status}");
    }
}

/// A request whose connection was refused never ran, so even a non-idempotent one is rejected, which permits a retry.
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

/// If an attempt of an idempotent request hangs, its connection is closed, and another backend serves the request well
/// before the client stops waiting.
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

/// A gateway with three backends: two in one cell, and the last in another cell.
struct Cells {
    program: GatewayProcess,
    backends: Vec<TestListener>,
    _discovery: TestListener,
}

impl Cells {
    /// Starts a gateway with settings by which a cell remembers an idempotency key for `retention_ms`.
    fn start(retention_ms: f64) -> Cells {
        let mut settings = default_settings();
        settings["grades"][1]["group"] = "cell".into();
        settings["grades"][1]["memory_span"] = retention_ms.into();
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

/// A way in which a backend ends an attempt, and its connection with it, after which the request may have run.
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

/// If the first attempt of a request with an idempotency key may have run, retries go only to the same cell. Once the
/// cell may have forgotten the key, there is no retry, and the client does not get a response that permits one.
#[test]
fn a_request_with_a_key_is_retried_only_where_and_while_its_key_is_remembered() {
    for FinalEnd { name, act } in FINAL_ENDS {
        for retention_ms in [8000.0, 50.0] {
            let Cells {
                program,
                backends,
                _discovery,
            } = Cells::start(retention_ms);
            let mut client = program.connect_client();
            client.write(request_with("keyed", "extend", "wide", LONG_TIMEOUT));
            let (first, mut backend) =
                accept_any_unless_answered(&backends, &client).expect("a first attempt");
            assert_eq!(backend.read().header("idempotency-key"), Some("5c0f6e1a"));
            let received = Instant::now();
            if retention_ms < 100.0 {
                // A longer wait does not change the result: the key stays forgotten.
                wait_for("the end of the retention of the key", || {
                    (received.elapsed() > Duration::from_millis(60)).then_some(())
                });
            }
            act(backend);
            let retry = accept_any_unless_answered(&backends, &client);
            if retention_ms < 100.0 {
                assert!(
                    retry.is_none(),
                    "{name}: retried after its key was forgotten"
                );
                let status = client.read().status();
                assert!(status >= 500 && status != 503, "{name}: {status}");
                continue;
            }
            let Some((second, mut backend)) = retry else {
                // The third backend is the only one of its cell.
                assert_eq!(
                    first, 2,
                    "{name}: no retry although the cell has another backend"
                );
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

/// A backend to which no connection is established until `open` is called.
struct ClosedBackend {
    listener: TestListener,
    /// The number of connections that fill the accept queue; they stay there after the other ends have closed them.
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

    /// Empties the accept queue, so that the waiting connection is established, and accepts it.
    fn open(&mut self) -> ScriptedConnection {
        for _ in 0..std::mem::take(&mut self.fillers) {
            self.listener.accept();
        }
        self.listener.accept()
    }
}

/// The outcome for a request with an idempotency key whose retry was due while the key was remembered, but could be
/// sent only after the key may have been forgotten.
#[derive(Debug, PartialEq)]
enum DelayedRetry {
    /// The retry was sent to the second backend.
    Sent,
    /// The request was answered with this status.
    Answered(u16),
    /// No retry was due before the key may have been forgotten, so the run is not conclusive.
    Inconclusive,
}

/// Runs a request whose retry gets its connection only after `retention_ms`, when its key may have been forgotten.
fn delay_retry_beyond_retention(retention_ms: f64) -> DelayedRetry {
    let mut settings = default_settings();
    settings["grades"][1]["memory_span"] = retention_ms.into();
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
        return DelayedRetry::Inconclusive;
    }
    wait_for("the end of the retention of the key", || {
        (start.elapsed().as_secs_f64() * 1000.0 > retention_ms).then_some(())
    });
    let late = second.open();
    if late.is_readable_before(&client) {
        DelayedRetry::Sent
    } else {
        DelayedRetry::Answered(client.read().status())
    }
}

/// A retry that is due while its key is remembered, but gets its connection only after the key may have been forgotten,
/// is not sent, and the request fails at once.
#[test]
fn a_retry_is_not_sent_after_its_key_may_be_forgotten() {
    // If a slow machine makes the run with the shorter retention inconclusive, the longer one is tried.
    let outcome = [3000.0, 7000.0]
        .into_iter()
        .map(delay_retry_beyond_retention)
        .find(|outcome| *outcome != DelayedRetry::Inconclusive);
    assert_eq!(outcome, Some(DelayedRetry::Answered(502)));
}
