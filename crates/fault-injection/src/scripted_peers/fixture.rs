//! A gateway with scripted peers, its settings, and well-formed requests to the gateway.

use super::listener::try_accept_any;
use super::{wait_for, GatewayProcess, ScriptedConnection, TestListener, WatchStream};
use serde_json::{json, Value};
use std::net::SocketAddr;

/// The start line of a request for the complete endpoint list.
pub const LIST_REQUEST: &str = "GET /catalog/members HTTP/1.1";
/// A health check request.
pub const HEALTH_CHECK: &str = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";
/// A timeout of a request, so long that no response in a test results from its deadline, s.
pub const LONG_TIMEOUT: &str = "8";

/// The start line of a watch request for the changes after a version of the endpoint list.
pub fn watch_request(version: u64) -> String {
    format!("GET /catalog/members?watch=1&from={version} HTTP/1.1")
}

/// Settings with a request class of each idempotency (`read` idempotent, `extend` with an idempotency key, `charge`
/// non-idempotent) and two rate plans, `wide` and `narrow`. Times are in milliseconds.
pub fn default_settings() -> Value {
    let class = |name: &str, idempotency: &str| {
        json!({"name": name, "aim": 4000.0, "give_up": 8000.0, "credit": 1.0, "late_worth": 0.0,
               "idempotency": idempotency, "group": "all", "memory_span": 8000.0, "streaming": false})
    };
    json!({
        "fleet_size": 2, "me": 0, "my_zone": 0, "zones": ["uio-1"], "tick": 2.0, "registry_mode": "pushed",
        "grades": [class("read", "safe"), class("extend", "keyed"), class("charge", "unsafe")],
        "plans": [
            {"name": "wide", "per_second": 1000.0, "peak_units": 4000.0, "max_out": 0, "pays": 1.0},
            {"name": "narrow", "per_second": 0.5, "peak_units": 2.0, "max_out": 0, "pays": 1.0},
        ],
        "extra": {"max_units": 8, "meter": 500.0, "cost_after": true},
        "policy_limits": {"send_cap": 3, "second_copies": false, "cancel": true, "probes": false,
            "retry_after": true, "max_retry_after": 2000.0, "dial_timeout": 5000.0, "idle_close": 600000.0},
        "report": {"names": [], "via": "off"},
        "rules": {"answer_slack": 8.0, "stop_sending_within": 500.0, "start_capacity": 0.2, "warm_up": 15000.0,
            "overload_factor": 3.0, "fall": 1500.0},
    })
}

/// One entry of an endpoint list in the form of the discovery protocol.
pub fn endpoint(host: &str, address: SocketAddr, health: &str) -> Value {
    json!({"host": host, "dial": address.to_string(), "site": "uio-1", "class": "std", "block": 0,
           "health": health, "share": 1.0, "born_ms": 0})
}

/// A complete endpoint list of version `seq`, or the changes that lead to that version, in the form of the discovery
/// protocol.
pub fn endpoint_list(seq: u64, complete: bool, hosts: &[Value]) -> Value {
    json!({"seq": seq, "whole": complete, "hosts": hosts})
}

/// A gateway with scripted backends and a scripted discovery service whose endpoint list it watches.
pub struct TestFixture {
    /// The gateway.
    pub program: GatewayProcess,
    /// The listener of the discovery service.
    pub discovery: TestListener,
    /// The open watch of the endpoint list.
    pub watch: WatchStream,
    /// The listeners of the backends. Backend `i` is listed as host `s-{i}`.
    pub backends: Vec<TestListener>,
}

impl TestFixture {
    /// A gateway with [`default_settings`] and this many backends.
    pub fn new(backends: usize) -> TestFixture {
        TestFixture::with_settings(default_settings(), backends)
    }

    /// A gateway with these settings and this many backends, all listed in version 7 of the endpoint list.
    pub fn with_settings(settings: Value, backends: usize) -> TestFixture {
        let discovery = TestListener::new();
        let backends: Vec<TestListener> = (0..backends).map(|_| TestListener::new()).collect();
        let hosts: Vec<Value> = backends
            .iter()
            .enumerate()
            .map(|(i, backend)| endpoint(&format!("s-{i}"), backend.address(), "up"))
            .collect();
        let program = GatewayProcess::start(
            settings,
            discovery.address(),
            endpoint_list(7, true, &hosts),
        );
        let connection = discovery.accept_request(&watch_request(7));
        TestFixture {
            program,
            discovery,
            watch: WatchStream::begin_response(connection),
            backends,
        }
    }

    /// Waits for the next connection to any backend, and returns it with the backend's index.
    pub fn accept_any(&self) -> (usize, ScriptedConnection) {
        wait_for("a connection to a backend", || {
            try_accept_any(&self.backends)
        })
    }

    /// Whether no backend has a connection in its accept queue. A connection that is found is accepted and dropped.
    pub fn no_backend_contacted(&self) -> bool {
        !self
            .backends
            .iter()
            .any(TestListener::has_pending_connection)
    }
}

/// A well-formed request of a class on the plan `wide` with a timeout of 1.5 s; its method, headers and body follow
/// from the class.
pub fn request(id: &str, class: &str) -> String {
    request_with(id, class, "wide", "1.5")
}

/// A well-formed request of a class on a rate plan, with its timeout in seconds.
pub fn request_with(id: &str, class: &str, plan: &str, timeout: &str) -> String {
    let (method, extra, body) = match class {
        "read" => ("GET", "", ""),
        "extend" => (
            "POST",
            "Idempotency-Key: 5c0f6e1a\r\nContent-Length: 5\r\n",
            "hello",
        ),
        _ => ("POST", "Content-Length: 5\r\n", "hello"),
    };
    format!(
        "{method} /{class}/a?b=c HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
         Api-Plan: {plan}\r\nCookie: client=00000000b4d65521\r\nRequest-Timeout: {timeout}\r\n\
         Api-Terms: units=1,spread=1,first=0\r\n{extra}\r\n{body}"
    )
}
