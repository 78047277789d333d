//! Outlier detection over loopback sockets: which failures count against a backend, and which are the gateway's own.

use cometspool_fault_injection::scripted_peers::*;
use std::io::Read;

/// A backend lets a request of one class (`charge`) time out but answers requests of another class (`read`). Requests
/// of the second class are still sent to it. The next request of the first class is sent to the other backend,
/// although that backend is busier.
#[test]
fn a_class_that_hangs_at_a_backend_is_sent_elsewhere() {
    let fixture = TestFixture::new(2);
    let mut client = fixture.program.connect_client();
    client.write(request_with("id-1", "charge", "wide", "2"));
    let (hanging_index, mut backend) = fixture.accept_any();
    backend.read();
    assert!(client.read().status() >= 500);
    let mut waiting_client = fixture.program.connect_client();
    waiting_client.write(request_with("id-2", "charge", "wide", LONG_TIMEOUT));
    let mut busy_connection = fixture.backends[1 - hanging_index].accept();
    assert_eq!(busy_connection.read().header("request-id"), Some("id-2"));
    let mut read_connection: Option<ScriptedConnection> = None;
    for i in 0..150 {
        client.write(request_with(
            &format!("read-{i}"),
            "read",
            "wide",
            LONG_TIMEOUT,
        ));
        let backend =
            read_connection.get_or_insert_with(|| fixture.backends[hanging_index].accept());
        backend.read();
        backend.respond(200, "", "good");
        assert_eq!(client.read().body, b"good");
    }
    client.write(request_with("id-3", "charge", "wide", LONG_TIMEOUT));
    let mut rerouted = fixture.backends[1 - hanging_index].accept();
    assert_eq!(rerouted.read().header("request-id"), Some("id-3"));
    rerouted.respond(200, "", "done");
    assert_eq!(client.read().body, b"done");
}

/// A lack of descriptors is the gateway's own failure and does not count against a backend. If no descriptor is left
/// for a further backend connection, the request is rejected at once and no backend is ejected.
#[test]
fn a_lack_of_descriptors_ejects_no_backend() {
    let discovery = TestListener::new();
    let backend = TestListener::new();
    let initial_list = endpoint_list(1, true, &[endpoint("s-0", backend.address(), "up")]);
    // A limit of 32 descriptors leaves three for backend connections.
    let mut program = GatewayProcess::start_with_descriptor_limit(
        32,
        default_settings(),
        discovery.address(),
        initial_list,
    );
    let mut in_flight = Vec::new();
    for id in 0..3 {
        let mut client = program.connect_client();
        client.write(request_with(
            &format!("id-{id}"),
            "charge",
            "wide",
            LONG_TIMEOUT,
        ));
        let mut connection = backend.accept();
        connection.read();
        in_flight.push((client, connection));
    }
    let mut client = program.connect_client();
    client.write(request_with("id-3", "charge", "wide", LONG_TIMEOUT));
    assert_eq!(client.read().status(), 429);
    for (mut client, mut connection) in in_flight {
        connection.respond(200, "", "ok");
        assert_eq!(client.read().status(), 200);
    }
    program.terminate();
    let mut log = String::new();
    program.log.read_to_string(&mut log).unwrap();
    assert!(
        log.contains("shutting down") && !log.contains("set aside"),
        "{log}"
    );
}
