//! Failure scenarios of the replicated log, each on a simulated group.

use cometspool_replicated_log::simulation::{
    run_random, AppendList, LinkConditions, RunStatistics, Simulation, SimulationConfig,
};
use cometspool_replicated_log::{Limits, Replica, Role, Settings, Timing};

fn settings() -> Settings {
    Settings {
        timing: Timing {
            replacement_delay: 5000.0,
            ..Timing::default()
        },
        limits: Limits {
            chunk_bytes: 256,
            log_entries: 64,
            retained_entries: 16,
            ..Limits::default()
        },
    }
}

/// Starts a group that its first three replicas bootstrap, with the rest as standbys, and runs it
/// until it has a leader.
fn start_group(nodes: usize, clients: usize, is_durable: bool, seed: u64) -> Simulation {
    let mut group = Simulation::new(SimulationConfig {
        nodes,
        founders: 3,
        clients,
        is_durable,
        settings: settings(),
        seed,
    });
    let has_leader = group.run_while(20_000.0, |group| group.leader().is_none());
    assert!(has_leader, "a leader must be elected");
    group
}

/// Runs until all writes are complete, and then checks the whole run.
fn finish_and_check(group: &mut Simulation) {
    let deadline = group.now + 120_000.0;
    let all_completed = group.run_while(deadline, |group| group.pending_writes() > 0);
    assert!(
        all_completed,
        "all writes must complete: {} are pending",
        group.pending_writes()
    );
    group.run_until(group.now + 5000.0);
    assert_eq!(group.violations(), Vec::<String>::new());
}

fn is_voting(replica: &Replica<AppendList>) -> bool {
    matches!(replica.role(), Role::Leader | Role::Follower)
}

#[test]
fn a_group_without_faults_acknowledges_every_write_once_and_in_order() {
    for is_durable in [true, false] {
        let mut group = start_group(3, 4, is_durable, 1);
        group.write_for(5000.0, 10.0);
        finish_and_check(&mut group);
        assert_eq!(group.acknowledged_writes(), group.writes.len());
        assert!(
            group.acknowledged_writes() >= 400,
            "{}",
            group.acknowledged_writes()
        );
    }
}

/// Guards against the loss of acknowledged writes when the leader or any minority is killed, and
/// when all replicas are killed and restart from their disks.
#[test]
fn acknowledged_writes_survive_leaders_minorities_and_a_restart_of_all() {
    let mut group = start_group(3, 4, true, 2);
    for round in 0..6 {
        group.write_for(1000.0, 10.0);
        let leader = group.leader().expect("a leader");
        group.kill(leader);
        group.write_for(3000.0, 10.0);
        if round == 3 {
            (0..3).for_each(|node| group.kill(node));
            group.run_until(group.now + 500.0);
            (0..3).for_each(|node| group.start(node));
        } else {
            group.start(leader);
        }
        let has_leader = group.run_while(group.now + 10_000.0, |group| group.leader().is_none());
        assert!(has_leader, "round {round}");
    }
    finish_and_check(&mut group);
    assert!(
        group.statistics.leader_changes >= 6,
        "{:?}",
        group.statistics
    );
}

/// Guards against replicas that lost data. Their disks are wiped, restored from a backup or
/// corrupted, one after another, with acknowledged writes in between.
#[test]
fn replicas_that_lose_their_disks_one_after_another_are_replaced() {
    let mut group = start_group(3, 4, true, 3);
    for round in 0..9 {
        let node = round % 3;
        group.back_up(node);
        group.write_for(1500.0, 10.0);
        group.kill(node);
        match round / 3 {
            0 => group.wipe(node),
            1 => group.restore_backup(node, round == 3),
            _ => group.corrupt(node),
        }
        group.write_for(1500.0, 10.0);
        group.start(node);
        let all_vote = group.run_while(group.now + 60_000.0, |group| {
            !(0..3).all(|node| group.replica(node).is_some_and(is_voting))
        });
        assert!(all_vote, "round {round}: {}", describe_replicas(&group));
    }
    finish_and_check(&mut group);
    assert!(
        group.statistics.reconfigurations >= 8 && group.statistics.discarded_stores >= 4,
        "{:?}",
        group.statistics
    );
}

fn describe_replicas(group: &Simulation) -> String {
    let replicas: Vec<_> = (0..3)
        .map(|node| {
            let replica = group.replica(node)?;
            Some((replica.role(), replica.position(), replica.id()))
        })
        .collect();
    format!("{replicas:?}")
}

/// Guards against a voter that never returns and is not replaced. A standby must get its vote, in
/// another zone than the remaining voters.
#[test]
fn a_lost_voter_is_replaced_by_a_standby_in_a_free_zone() {
    let mut group = start_group(5, 2, true, 4);
    group.write_for(2000.0, 10.0);
    group.kill(1);
    group.wipe(1);
    let is_replaced = group.run_while(group.now + 30_000.0, |group| {
        group.statistics.reconfigurations == 0
    });
    assert!(is_replaced, "the group must be reconfigured");
    group.write_for(1000.0, 10.0);
    // The fifth replica is in the zone of the lost one, the fourth in the zone of the first one.
    let configuration = group
        .leader()
        .and_then(|node| group.replica(node)?.configuration().cloned())
        .expect("a leader");
    assert!(
        configuration.voters.iter().any(|id| id.name == "r4"),
        "{configuration:?}"
    );
    finish_and_check(&mut group);
}

/// A pattern of blocked links.
struct Topology {
    name: &'static str,
    nodes: usize,
    /// The pairs of nodes that are disconnected. Node 0 is the leader; the others follow in order.
    disconnected: &'static [(usize, usize)],
}

const TOPOLOGIES: [Topology; 4] = [
    Topology {
        name: "a chain",
        nodes: 3,
        disconnected: &[(0, 1)],
    },
    Topology {
        name: "a leader connected to a majority whose members are connected to nobody else",
        nodes: 5,
        disconnected: &[(1, 2), (1, 3), (1, 4), (2, 3), (2, 4), (3, 4)],
    },
    Topology {
        name: "one follower that alone is connected to a majority",
        nodes: 5,
        disconnected: &[(0, 2), (0, 3), (0, 4), (2, 3), (2, 4), (3, 4)],
    },
    Topology {
        name: "an isolated leader",
        nodes: 5,
        disconnected: &[(0, 1), (0, 2), (0, 3), (0, 4)],
    },
];

/// Guards against a group that stops when links are partly blocked: a replica that is connected to
/// a majority must soon lead.
#[test]
fn a_group_makes_progress_if_any_replica_is_connected_to_a_majority() {
    for topology in TOPOLOGIES {
        for seed in 0..5 {
            makes_progress(&topology, seed);
        }
    }
}

fn makes_progress(topology: &Topology, seed: u64) {
    let name = topology.name;
    let mut group = Simulation::new(SimulationConfig {
        nodes: topology.nodes,
        founders: topology.nodes,
        clients: 2,
        is_durable: true,
        settings: settings(),
        seed,
    });
    assert!(
        group.run_while(20_000.0, |group| group.leader().is_none()),
        "{name}: a leader must be elected"
    );
    group.write_for(500.0, 10.0);
    let leader = group.leader().expect("a leader");
    let nodes: Vec<usize> = std::iter::once(leader)
        .chain((0..topology.nodes).filter(|node| *node != leader))
        .collect();
    for (a, b) in topology.disconnected {
        group.disconnect(nodes[*a], nodes[*b]);
    }
    let before = group.acknowledged_writes();
    group.write(0);
    let has_progress = group.run_while(group.now + 5000.0, |group| {
        group.acknowledged_writes() == before
    });
    assert!(
        has_progress,
        "{name}, seed {seed}: 5 s without an acknowledged write"
    );
    group.blocked_links.clear();
    finish_and_check(&mut group);
}

/// Guards against a group that stops when its leader can only send or only receive.
#[test]
fn a_group_makes_progress_if_its_leader_is_connected_one_way_only() {
    for can_send in [true, false] {
        let mut group = start_group(3, 2, true, 7);
        let leader = group.leader().expect("a leader");
        for other in (0..3).filter(|node| *node != leader) {
            if can_send {
                group.block(other, leader);
            } else {
                group.block(leader, other);
            }
        }
        let before = group.acknowledged_writes();
        group.write(0);
        assert!(
            group.run_while(group.now + 5000.0, |group| {
                group.acknowledged_writes() == before
            }),
            "one-way links, leader can send: {can_send}"
        );
        group.blocked_links.clear();
        finish_and_check(&mut group);
    }
}

/// Guards against writes or a new log after a lost majority: the remaining replica must acknowledge
/// nothing, and no replica may bootstrap another log.
#[test]
fn a_lost_majority_acknowledges_nothing_and_founds_no_log() {
    let mut group = start_group(3, 2, true, 5);
    group.write_for(1000.0, 10.0);
    finish_and_check(&mut group);
    let before = group.acknowledged_writes();
    let log_id = group.replica(0).map(Replica::log_id);
    for node in [1, 2] {
        group.kill(node);
        group.wipe(node);
        group.start(node);
    }
    group.write(0);
    group.run_until(group.now + 60_000.0);
    let after = group.acknowledged_writes();
    assert_eq!((after, group.statistics.reconfigurations), (before, 0));
    for node in [1, 2] {
        let replica = group.replica(node).expect("the replica is running");
        assert!(
            replica.log_id() == 0 || Some(replica.log_id()) == log_id,
            "a replica must not bootstrap a log of its own"
        );
        assert!(!is_voting(replica), "{:?}", replica.role());
    }
}

/// Guards against a paused leader that resumes: its outdated messages must not lead to a wrong
/// acknowledgement.
#[test]
fn a_leader_that_resumes_after_half_a_minute_does_no_harm() {
    let mut group = start_group(3, 4, true, 6);
    for _ in 0..3 {
        group.write_for(1000.0, 5.0);
        let leader = group.leader().expect("a leader");
        group.pause(leader, 30_000.0);
        group.write_for(40_000.0, 40.0);
    }
    finish_and_check(&mut group);
    assert!(
        group.statistics.leader_changes >= 3,
        "{:?}",
        group.statistics
    );
}

/// The counts of events that must each have occurred over many runs.
fn fault_counts(statistics: RunStatistics) -> [u64; 6] {
    [
        statistics.lost,
        statistics.leader_changes,
        statistics.kills,
        statistics.disk_faults,
        statistics.discarded_stores,
        statistics.reconfigurations,
    ]
}

fn number_from_environment(variable: &str, default: u64) -> u64 {
    std::env::var(variable)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// Guards against the loss of acknowledged writes under random combinations of all faults, drawn
/// from a seed.
#[test]
fn random_faults_lead_to_no_violation() {
    let seeds = number_from_environment("RECORD_SEEDS", 60);
    let first = number_from_environment("RECORD_FROM", 0);
    let mut sums = [0; 6];
    for seed in first..first + seeds {
        let run = run_random(seed);
        assert_eq!(run.violations(), Vec::<String>::new(), "seed {seed}");
        for (sum, count) in sums.iter_mut().zip(fault_counts(run.statistics)) {
            *sum += count;
        }
        assert!(
            run.acknowledged_writes() > 0 && run.pending_writes() == 0,
            "seed {seed}: {} acknowledged, {} pending",
            run.acknowledged_writes(),
            run.pending_writes()
        );
    }
    assert!(
        sums.iter().all(|sum| *sum >= seeds / 8),
        "some kind of fault occurred too rarely: {sums:?}"
    );
    println!(
        "{seeds} seeds: lost, leader changes, kills, disk faults, discarded stores, \
         reconfigurations: {sums:?}"
    );
}

/// Guards against a replica in memory that keeps its old identity after a restart: it must rejoin
/// under a new one, and get its vote by a reconfiguration.
#[test]
fn a_replica_in_memory_rejoins_under_a_new_identity_after_a_restart() {
    let mut group = start_group(3, 2, false, 8);
    for node in [0, 1, 2, 0] {
        group.write_for(1000.0, 10.0);
        group.kill(node);
        group.write_for(2000.0, 10.0);
        let before = group.statistics.reconfigurations;
        group.start(node);
        assert!(
            group.run_while(group.now + 30_000.0, |group| {
                group.statistics.reconfigurations == before
            }),
            "node {node} must get a vote again"
        );
        group.run_until(group.now + 3000.0);
    }
    group.link_conditions = LinkConditions::default();
    finish_and_check(&mut group);
}
