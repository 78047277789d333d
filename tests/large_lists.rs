//! Tests of lists with many gateways and many backends: neither kind has a limit below 1,024.

use cometspool_fault_injection::scripted_peers::*;
use cometspool_fault_injection::stub_services::BackendBehavior;
use cometspool_fault_injection::{Cluster, ClusterConfig};
use serde_json::json;
use std::collections::BTreeSet;

/// Number of gateways and of backends that have to be supported at least.
const REQUIRED_LENGTH: usize = 1_024;
/// Length of the lists in these tests.
const LIST_LENGTH: usize = 1_500;

/// Guards against a limit on backends: a gateway accepts a list of 1,500 of them and serves from
/// more than 1,024.
#[test]
fn requests_are_spread_over_a_list_of_1500_backends() {
    let config = ClusterConfig {
        processes: 1,
        backends: LIST_LENGTH,
        fleet: None,
        ..ClusterConfig::default()
    };
    let mut cluster = Cluster::new(&config).expect("a cluster");
    // A backend may start up to one largest request behind the others. With small requests, all
    // backends soon get their turn.
    cluster.processes[0].config["settings"]["extra"]["max_units"] = 1.into();
    for backend in 0..LIST_LENGTH {
        let immediate = BackendBehavior {
            work_ms: 0.0,
            ..BackendBehavior::default()
        };
        cluster.set_backend_behavior(backend, immediate);
    }
    cluster.start_process(0).expect("a start");
    cluster.wait_until_serving();
    let address = cluster.processes[0].config["listen"]
        .as_str()
        .and_then(|address| address.parse().ok())
        .expect("an address");
    let mut client = ScriptedConnection::connect(address);
    for i in 0..LIST_LENGTH + LIST_LENGTH / 4 {
        client.write(request_with(
            &format!("id-{i}"),
            "read",
            "wide",
            LONG_TIMEOUT,
        ));
        assert_eq!(client.read().status(), 200, "request {i}");
    }
    let served: BTreeSet<String> = cluster.history.read(|events| {
        events
            .iter()
            .filter(|event| event.kind == "ran")
            .map(|event| event.source.clone())
            .collect()
    });
    assert!(
        served.len() > REQUIRED_LENGTH,
        "{} backends served",
        served.len()
    );
}

/// Guards against a limit on peers: a gateway that is configured with 1,500 peers, and may connect
/// to 1,024 of them, starts, serves, and is found by the only one of them that is running.
#[test]
fn a_fleet_section_with_1500_peers_is_accepted() {
    let cluster_config = ClusterConfig {
        processes: 2,
        ..ClusterConfig::default()
    };
    let mut cluster = Cluster::new(&cluster_config).expect("a cluster");
    let config = &mut cluster.processes[0].config;
    config["limits"]["sockets"] = (4 * REQUIRED_LENGTH).into();
    config["fleet"]["links"] = REQUIRED_LENGTH.into();
    let peers = config["fleet"]["peers"].as_array_mut().expect("peers");
    let absent = |i| json!({"name": format!("absent-{i}"), "dial": "127.0.0.1:9"});
    peers.extend((1..LIST_LENGTH).map(absent));
    assert_eq!(peers.len(), LIST_LENGTH);
    for process in 0..cluster_config.processes {
        cluster.start_process(process).expect("a start");
    }
    cluster.wait_until_serving();
    cluster.wait_for_agreement(&[0, 1], "two gateways that know each other");
}
