//! Rigs of more than a thousand processes and backends: addresses of their own, and links where they are needed.

use cometspool_fault_injection::ground::{Ground, MOST_PROCESSES, MOST_STAND_INS};
use cometspool_fault_injection::{Plan, Rig};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;

/// Processes and stand-ins that a rig has to hold at least.
const MANY: usize = 1_024;

/// All addresses of a ground with so many processes and stand-ins.
fn addresses(ground: &Ground, count: usize) -> Vec<SocketAddr> {
    let own = (0..count).flat_map(|i| [ground.clients(i), ground.fleet(i), ground.stand_in(i)]);
    let links = (0..count)
        .flat_map(|i| (0..count).map(move |j| (i, j)))
        .filter(|(i, j)| i != j);
    own.chain(links.map(|(i, j)| ground.link(i, j))).collect()
}

/// Guards against two things at one address: 1,024 processes, their stand-ins and the links of all pairs, and those of a
/// second rig beside them.
#[test]
fn addresses_of_a_thousand_processes_and_of_two_rigs_are_distinct() {
    let (one, other) = (
        Ground::take().expect("addresses"),
        Ground::take().expect("addresses"),
    );
    let mut all = addresses(&one, MANY);
    all.extend(addresses(&other, MANY));
    assert!(all.iter().all(|address| address.ip().is_loopback()));
    assert_eq!(all.iter().collect::<HashSet<_>>().len(), all.len());
    assert_eq!(all.len(), 2 * (3 * MANY + MANY * (MANY - 1)));
    // The last ones of their kinds do not run over into another's.
    let last = [
        one.clients(MOST_PROCESSES - 1),
        one.stand_in(0),
        one.stand_in(MOST_STAND_INS - 1),
    ];
    let hosts: Vec<_> = last.iter().map(std::net::SocketAddr::ip).collect();
    assert!(hosts.is_sorted_by(|a, b| a < b), "{hosts:?}");
}

/// Guards against links that nobody needs: none without a fleet block, and otherwise one to each that a process is told of.
#[test]
fn links_stand_only_between_those_that_are_told_of_each_other() {
    let plan = |fleet, told_peers| Plan {
        processes: 5,
        fleet,
        told_peers,
        ..Plan::default()
    };
    let block = || Some(serde_json::json!({}));
    assert_eq!(plan(None, None).peers(4), Vec::<usize>::new());
    assert_eq!(plan(block(), None).peers(4), [0, 1, 2, 3]);
    assert_eq!(plan(block(), Some(2)).peers(4), [0, 1]);
    let rig = Rig::new(&plan(block(), Some(1))).expect("a rig");
    let linked = |i, j| rig.direction(i, j).is_some();
    assert!(linked(4, 0) && linked(0, 4) && !linked(0, 2) && !linked(2, 0));
}

/// Guards a rig beyond a thousand: the first and the last of 1,024 processes find each other over their link and serve from
/// a list of 1,100 backends.
#[test]
fn the_first_and_the_last_of_a_thousand_processes_find_each_other() {
    let plan = Plan {
        processes: MANY,
        backends: 1_100,
        told_peers: Some(1),
        ..Plan::default()
    };
    let (first, last) = (0, MANY - 1);
    let mut rig = Rig::new(&plan).expect("a rig");
    rig.start_one(first).expect("a start");
    rig.start_one(last).expect("a start");
    rig.await_serving();
    rig.agree(&[first, last], "two that know each other");
    let carried = |from, to| {
        rig.direction(from, to)
            .expect("a link")
            .acted
            .datagrams
            .load(Ordering::Relaxed)
    };
    assert!(
        carried(last, first) > 0,
        "{} datagrams",
        carried(last, first)
    );
}
