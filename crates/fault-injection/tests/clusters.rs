//! Clusters of more than a thousand processes and backends: distinct addresses, and links only between configured
//! peers.

use cometspool_fault_injection::address_block::{AddressBlock, MAX_PROCESSES, MAX_STUBS};
use cometspool_fault_injection::{Cluster, ClusterConfig};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;

/// The number of processes, and of stub services, that a cluster must support.
const LARGE_CLUSTER_SIZE: usize = 1_024;

/// All addresses of a block with `count` processes and as many stub services.
fn all_addresses(block: &AddressBlock, count: usize) -> Vec<SocketAddr> {
    let own = (0..count).flat_map(|i| {
        [
            block.client_address(i),
            block.fleet_address(i),
            block.stub_address(i),
        ]
    });
    let links = (0..count)
        .flat_map(|from| (0..count).map(move |to| (from, to)))
        .filter(|(from, to)| from != to);
    own.chain(links.map(|(from, to)| block.link_address(from, to)))
        .collect()
}

/// No address is used twice among 1,024 processes, as many stub services and the links between all pairs of processes,
/// nor by a second cluster of this size beside the first.
#[test]
fn addresses_of_a_thousand_processes_and_of_two_clusters_are_distinct() {
    let one = AddressBlock::acquire().expect("addresses");
    let other = AddressBlock::acquire().expect("addresses");
    let mut all = all_addresses(&one, LARGE_CLUSTER_SIZE);
    all.extend(all_addresses(&other, LARGE_CLUSTER_SIZE));
    assert!(all.iter().all(|address| address.ip().is_loopback()));
    assert_eq!(all.iter().collect::<HashSet<_>>().len(), all.len());
    assert_eq!(
        all.len(),
        2 * (3 * LARGE_CLUSTER_SIZE + LARGE_CLUSTER_SIZE * (LARGE_CLUSTER_SIZE - 1))
    );
    // The last addresses of a range do not reach into the next range.
    let last = [
        one.client_address(MAX_PROCESSES - 1),
        one.stub_address(0),
        one.stub_address(MAX_STUBS - 1),
    ];
    let hosts: Vec<_> = last.iter().map(std::net::SocketAddr::ip).collect();
    assert!(hosts.is_sorted_by(|a, b| a < b), "{hosts:?}");
}

/// Without a fleet section there are no links; with one, there are links only between configured peers.
#[test]
fn links_exist_only_between_configured_peers() {
    let config = |fleet, peers_per_process| ClusterConfig {
        processes: 5,
        fleet,
        peers_per_process,
        ..ClusterConfig::default()
    };
    let section = || Some(serde_json::json!({}));
    assert_eq!(config(None, None).peers(4), Vec::<usize>::new());
    assert_eq!(config(section(), None).peers(4), [0, 1, 2, 3]);
    assert_eq!(config(section(), Some(2)).peers(4), [0, 1]);
    let cluster = Cluster::new(&config(section(), Some(1))).expect("a cluster");
    let linked = |from, to| cluster.direction(from, to).is_some();
    assert!(linked(4, 0) && linked(0, 4) && !linked(0, 2) && !linked(2, 0));
}

/// A cluster of more than a thousand processes works: the first and the last of 1,024 discover each other over their
/// link and serve with a list of 1,100 backends.
#[test]
fn the_first_and_the_last_of_a_thousand_processes_find_each_other() {
    let config = ClusterConfig {
        processes: LARGE_CLUSTER_SIZE,
        backends: 1_100,
        peers_per_process: Some(1),
        ..ClusterConfig::default()
    };
    let first = 0;
    let last = LARGE_CLUSTER_SIZE - 1;
    let mut cluster = Cluster::new(&config).expect("a cluster");
    cluster.start_process(first).expect("a start");
    cluster.start_process(last).expect("a start");
    cluster.wait_until_serving();
    cluster.wait_for_agreement(&[first, last], "agreement of the two");
    let forwarded = |from, to| {
        cluster
            .direction(from, to)
            .expect("a link")
            .counters
            .datagrams
            .load(Ordering::Relaxed)
    };
    assert!(
        forwarded(last, first) > 0,
        "{} datagrams",
        forwarded(last, first)
    );
}
