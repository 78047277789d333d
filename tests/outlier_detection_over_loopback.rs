//! Faults of backends, and of the gateway itself, over loopback sockets: which of them count against a backend.

use cometspool_fault_injection::scripted_peers::*;
use std::io::Read;

/// A backend lets one class hang and answers the others: the next request of that class is sent elsewhere, although the
/// other backend is busier, and other classes are still sent there.
#[test]
fn a_class_that_hangs_at_a_backend_is_sent_elsewhere() {
    let fixture = TestFixture::new(2);
    let mut client = fixture.program.connect_client();
    client.write(request_with("id-1", "charge", "wide", "2"));
    let (hanging, mut backend) = fixture.accept_any();
    backend.read();
    assert!(client.read().status() >= 500);
    let mut busy = fixture.program.connect_client();
    busy.write(request_with("id-2", "charge", "wide", LONG_TIMEOUT));
    let mut first = fixture.backends[1 - hanging].accept();
    assert_eq!(first.read().header("request-id"), Some("id-2"));
    let mut connection: Option<ScriptedConnection> = None;
    for i in 0..150 {
        client.write(request_with(
            &format!("read-{i}"),
            "read",
            "wide",
            LONG_TIMEOUT,
        ));
        let backend = connection.get_or_insert_with(|| fixture.backends[hanging].accept());
        backend.read();
        backend.respond(200, "", "good");
        assert_eq!(client.read().body, b"good");
    }
    client.write(request_with("id-3", "charge", "wide", LONG_TIMEOUT));
    let mut second = fixture.backends[1 - hanging].accept();
    assert_eq!(second.read().header("request-id"), Some("id-3"));
    second.respond(200, "", "done");
    assert_eq!(client.read().body, b"done");
}

/// The gateway's own lack of descriptors is no fault of a backend: without room for a further connection a request is
/// rejected at once, and no backend is ejected.
#[test]
fn a_lack_of_descriptors_ejects_no_backend() {
    let discovery = TestListener::new();
    let backend = TestListener::new();
    let known = endpoint_list(1, true, &[endpoint("s-0", backend.address(), "up")]);
    // Room for three connections to backends.
    let mut program = GatewayProcess::start_with_descriptor_limit(
        32,
        default_settings(),
        discovery.address(),
        known,
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
