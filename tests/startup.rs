//! Tests of the start-up of gateways, over loopback sockets: when a gateway reports that it is healthy, and many
//! gateways that start at the same time.

use cometspool_fault_injection::scripted_peers::*;
use cometspool_fault_injection::{Cluster, ClusterConfig};
use serde_json::Value;
use std::net::{SocketAddr, TcpStream};

/// Number of gateways that are restarted together.
const GATEWAYS: usize = 40;
/// Number of backends in their endpoint list.
const BACKENDS: usize = 200;

/// Guards against a gateway that reports itself healthy before it has an endpoint list.
#[test]
fn the_health_check_fails_until_there_is_an_endpoint_list() {
    let discovery = TestListener::new();
    let program = GatewayProcess::start(default_settings(), discovery.address(), Value::Null);
    let mut connection = discovery.accept_request(LIST_REQUEST);
    let mut client = program.connect_client();
    client.write(HEALTH_CHECK);
    assert_eq!(client.read().status(), 503);
    let backend = TestListener::new();
    let hosts = [endpoint("s-0", backend.address(), "up")];
    connection.respond(200, "", &endpoint_list(1, true, &hosts).to_string());
    // The watch that follows shows that the list has been processed.
    discovery.accept_request(&watch_request(1));
    client.write(HEALTH_CHECK);
    assert_eq!(client.read().status(), 200);
}

/// Waits until the health check of a gateway succeeds. The gateway may not be listening yet.
fn wait_until_healthy(name: &str, address: SocketAddr) {
    wait_for(&format!("a healthy {name}"), || {
        let mut client = ScriptedConnection::new(TcpStream::connect(address).ok()?);
        client.write(HEALTH_CHECK);
        (client.read().status() == 200).then_some(())
    });
}

/// Guards against gateways that do not become healthy when all are restarted at the same time, as after a power
/// failure. In the second round no gateway has a cached endpoint list, so all request the list from discovery at the
/// same time.
#[test]
fn forty_gateways_that_start_at_once_all_become_healthy() {
    let config = ClusterConfig {
        processes: GATEWAYS,
        backends: BACKENDS,
        peers_per_process: Some(3),
        handover: true,
        ..ClusterConfig::default()
    };
    let mut cluster = Cluster::start(&config).expect("a cluster");
    for has_cached_list in [true, false] {
        for process in &mut cluster.processes {
            process.kill();
            if !has_cached_list {
                process.config["known"] = Value::Null;
            }
        }
        for process in 0..GATEWAYS {
            cluster.start_process(process).expect("a start");
        }
        for process in &cluster.processes {
            let address = process.config["listen"]
                .as_str()
                .and_then(|address| address.parse().ok());
            wait_until_healthy(&process.name, address.expect("an address"));
        }
        assert!(
            !cluster
                .processes
                .iter_mut()
                .any(cometspool_fault_injection::process::Process::has_crashed),
            "a process has ended"
        );
    }
}
