//! Many front doors and many backends: nothing ends below 1,024 of either.

use cometspool_fault_injection::scripted_peers::*;
use cometspool_fault_injection::standins::Manner;
use cometspool_fault_injection::{Plan, Rig};
use serde_json::json;
use std::collections::BTreeSet;

/// Front doors and backends that have to be borne at least.
const MANY: usize = 1_024;
/// More than that.
const MORE: usize = 1_500;

/// Guards long lists of backends: one front door takes in 1,500 and serves from more than 1,024 of them.
#[test]
fn a_list_of_1500_backends_is_served_from() {
    let plan = Plan {
        processes: 1,
        backends: MORE,
        fleet: None,
        ..Plan::default()
    };
    let mut rig = Rig::new(&plan).expect("a rig");
    // A backend begins up to a largest request behind the others: with small ones all come to their turns soon.
    rig.processes[0].config["settings"]["extra"]["max_units"] = 1.into();
    (0..MORE).for_each(|backend| {
        rig.act(
            backend,
            Manner {
                work_ms: 0.0,
                ..Manner::default()
            },
        );
    });
    rig.start_one(0).expect("a start");
    rig.await_serving();
    let at = rig.processes[0].config["listen"]
        .as_str()
        .and_then(|at| at.parse().ok())
        .expect("an address");
    let mut client = ScriptedConnection::connect(at);
    for i in 0..MORE + MORE / 4 {
        client.write(request_with(&format!("id-{i}"), "read", "wide", "8"));
        assert_eq!(client.read().status(), 200, "request {i}");
    }
    let served: BTreeSet<String> = rig.history.read(|events| {
        events
            .iter()
            .filter(|event| event.what == "ran")
            .map(|event| event.who.clone())
            .collect()
    });
    assert!(served.len() > MANY, "{} backends served", served.len());
}

/// Guards long fleet blocks: a front door that is told of 1,500 others, and may keep a link to each of 1,024, starts,
/// serves, and is found by the one of them that is there.
#[test]
fn a_fleet_block_of_1500_peers_is_read() {
    let plan = Plan {
        processes: 2,
        ..Plan::default()
    };
    let mut rig = Rig::new(&plan).expect("a rig");
    let config = &mut rig.processes[0].config;
    config["limits"]["sockets"] = (4 * MANY).into();
    config["fleet"]["links"] = MANY.into();
    let told = config["fleet"]["peers"].as_array_mut().expect("peers");
    told.extend((1..MORE).map(|i| json!({"name": format!("absent-{i}"), "dial": "127.0.0.1:9"})));
    assert_eq!(told.len(), MORE);
    (0..plan.processes).for_each(|i| rig.start_one(i).expect("a start"));
    rig.await_serving();
    rig.agree(&[0, 1], "two that know each other");
}
