//! Many front doors and many backends: nothing ends below 1,024 of either.

use cometspool_fault_injection::scripted_peers::*;
use cometspool_fault_injection::stub_services::BackendBehavior;
use cometspool_fault_injection::{Cluster, ClusterConfig};
use serde_json::json;
use std::collections::BTreeSet;

/// Front doors and backends that have to be borne at least.
const MANY: usize = 1_024;
/// More than that.
const MORE: usize = 1_500;

/// Guards long lists of backends: one front door takes in 1,500 and serves from more than 1,024 of them.
#[test]
fn a_list_of_1500_backends_is_served_from() {
    let plan = ClusterConfig {
        processes: 1,
        backends: MORE,
        fleet: None,
        ..ClusterConfig::default()
    };
    let mut cluster = Cluster::new(&plan).expect("a cluster");
    // A backend begins up to a largest request behind the others: with small ones all come to their turns soon.
    cluster.processes[0].config["settings"]["extra"]["max_units"] = 1.into();
    (0..MORE).for_each(|backend| {
        cluster.set_backend_behavior(
            backend,
            BackendBehavior {
                work_ms: 0.0,
                ..BackendBehavior::default()
            },
        );
    });
    cluster.start_process(0).expect("a start");
    cluster.wait_until_serving();
    let at = cluster.processes[0].config["listen"]
        .as_str()
        .and_then(|at| at.parse().ok())
        .expect("an address");
    let mut client = ScriptedConnection::connect(at);
    for i in 0..MORE + MORE / 4 {
        client.write(request_with(&format!("id-{i}"), "read", "wide", "8"));
        assert_eq!(client.read().status(), 200, "request {i}");
    }
    let served: BTreeSet<String> = cluster.history.read(|events| {
        events
            .iter()
            .filter(|event| event.kind == "ran")
            .map(|event| event.source.clone())
            .collect()
    });
    assert!(served.len() > MANY, "{} backends served", served.len());
}

/// Guards long fleet blocks: a front door that is told of 1,500 others, and may keep a link to each of 1,024, starts,
/// serves, and is found by the one of them that is there.
#[test]
fn a_fleet_block_of_1500_peers_is_read() {
    let plan = ClusterConfig {
        processes: 2,
        ..ClusterConfig::default()
    };
    let mut cluster = Cluster::new(&plan).expect("a cluster");
    let config = &mut cluster.processes[0].config;
    config["limits"]["sockets"] = (4 * MANY).into();
    config["fleet"]["links"] = MANY.into();
    let told = config["fleet"]["peers"].as_array_mut().expect("peers");
    told.extend((1..MORE).map(|i| json!({"name": format!("absent-{i}"), "dial": "127.0.0.1:9"})));
    assert_eq!(told.len(), MORE);
    (0..plan.processes).for_each(|i| cluster.start_process(i).expect("a start"));
    cluster.wait_until_serving();
    cluster.wait_for_agreement(&[0, 1], "two that know each other");
}
