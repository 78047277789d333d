//! Test of a gateway that is killed and restarted under the same name with a hand-over file, over loopback sockets.

use cometspool_fault_injection::scripted_peers::*;
use serde_json::json;
use std::time::Instant;

/// Guards against a successor that runs a request of the killed process a second time, or that grants a retried request
/// more time than it had left. A non-idempotent request that was forwarded is rejected; an idempotent one is forwarded
/// with the remaining timeout.
#[test]
fn a_successor_runs_nothing_twice_and_extends_no_timeout() {
    let discovery = TestListener::new();
    let listener = TestListener::new();
    let path = temporary_path("handover");
    // The latency objectives exceed the client's timeout, so that the timeout granted to a backend is the client's.
    let mut settings = default_settings();
    for class in settings["grades"].as_array_mut().expect("classes") {
        class["aim"] = 20_000.0.into();
        class["give_up"] = 20_000.0.into();
    }
    let hosts = [endpoint("s-0", listener.address(), "up")];
    let config = json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.address().to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "known": endpoint_list(7, true, &hosts), "settings": settings, "handover": path,
    });
    let mut first = GatewayProcess::start_with_configuration(config.clone());
    let mut non_idempotent = first.connect_client();
    let mut idempotent = first.connect_client();
    non_idempotent.write(request_with("id-1", "charge", "wide", "10"));
    let mut backend = listener.accept();
    backend.read();
    idempotent.write(request_with("id-2", "read", "wide", "10"));
    let mut backend = listener.accept();
    let granted = backend.read().granted_timeout();
    let received = Instant::now();
    first.child.kill().expect("a process");
    first.wait_for_exit();
    let second = GatewayProcess::start_with_configuration(config);
    let mut client = second.connect_client();
    client.write(request_with("id-1", "charge", "wide", "10"));
    assert_eq!(client.read().status(), 409);
    let elapsed = received.elapsed().as_secs_f64();
    let mut client = second.connect_client();
    client.write(request_with("id-2", "read", "wide", "10"));
    let mut backend = listener.accept();
    let repeated = backend.read();
    assert_eq!(
        repeated.header("request-id"),
        Some("id-2"),
        "the non-idempotent request was forwarded again"
    );
    let remaining = repeated.granted_timeout();
    assert!(
        remaining <= granted - elapsed + 0.003,
        "{remaining} after {granted} less {elapsed}"
    );
    backend.respond(200, "", "ok");
    assert_eq!(client.read().status(), 200);
    // A request with a new id is forwarded as usual.
    client.write(request_with("id-3", "charge", "wide", LONG_TIMEOUT));
    assert_eq!(backend.read().header("request-id"), Some("id-3"));
}
