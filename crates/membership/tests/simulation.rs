//! Membership under faults, in simulation. What must come about has a limit in simulated time, so
//! the machine's speed does not matter.

use cometspool_membership::simulation::{DelayRange, Link, NetworkConditions, Simulation};
use cometspool_membership::{Change, Member, Membership, Millis, Timing};
use proptest::prelude::*;

const MINUTE: Millis = 60_000.0;

/// A fleet whose members all know each other.
fn start_converged_fleet(
    count: usize,
    peers_each: usize,
    network: NetworkConditions,
    seed: u64,
) -> Simulation {
    let mut sim = Simulation::new(
        count,
        peers_each,
        Timing::for_size(count as u32),
        network,
        seed,
    );
    (0..count).for_each(|node| sim.start(node));
    await_convergence(
        &mut sim,
        &(0..count).collect::<Vec<_>>(),
        2.0 * MINUTE,
        "after a start",
    );
    sim
}

/// Runs until the members on these nodes know each other and nobody else, which has to come about
/// within a time.
fn await_convergence(sim: &mut Simulation, nodes: &[usize], within: Millis, when: &str) {
    let converged = sim.run_while(sim.now + within, |sim| !sim.has_converged(nodes));
    let known: Vec<usize> = nodes
        .iter()
        .map(|node| {
            sim.member(*node)
                .map_or(0, |member| member.view().present.len())
        })
        .collect();
    assert!(
        converged,
        "{when}: of {} members, known are {known:?}",
        nodes.len()
    );
}

fn count_reported_failures(sim: &Simulation, since: Millis) -> usize {
    sim.observed_changes
        .iter()
        .filter(|observed| observed.at >= since && matches!(observed.change, Change::Failed(_)))
        .count()
}

/// Guards the start of a whole fleet at once, the failure of most of it, and a rolling restart of a
/// tenth at a time.
#[test]
fn a_fleet_of_300_converges_after_start_mass_failure_and_rolling_restart() {
    let mut sim = start_converged_fleet(300, 5, NetworkConditions::default(), 1);
    let (killed, survivors): (Vec<usize>, Vec<usize>) = (0..300).partition(|node| node % 10 < 7);
    killed.iter().for_each(|node| sim.kill(*node));
    await_convergence(
        &mut sim,
        &survivors,
        3.0 * MINUTE,
        "after seven in ten were killed",
    );
    killed.iter().for_each(|node| sim.start(*node));
    let all: Vec<usize> = (0..300).collect();
    await_convergence(&mut sim, &all, 3.0 * MINUTE, "after they were restarted");
    for tenth in 0..10 {
        let start = sim.now;
        let part: Vec<usize> = (0..300).filter(|node| node % 10 == tenth).collect();
        part.iter().for_each(|node| sim.leave(*node));
        sim.run_until(start + 2000.0);
        part.iter().for_each(|node| sim.start(*node));
        await_convergence(&mut sim, &all, 3.0 * MINUTE, "after a tenth was restarted");
        let failed = count_reported_failures(&sim, start);
        assert!(
            failed <= 300,
            "{failed} reports of a failure where 30 left and came back"
        );
    }
}

/// Guards failure detection on bad links: no member that runs is declared failed, and one that was
/// killed is.
#[test]
fn loss_duplication_corruption_and_replay_cause_no_false_failure() {
    let network = NetworkConditions {
        loss: 0.3,
        duplication: 0.1,
        corruption: 0.05,
        replay: 0.05,
        ..NetworkConditions::default()
    };
    let mut sim = start_converged_fleet(30, 29, network, 2);
    let all: Vec<usize> = (0..30).collect();
    let start = sim.now;
    sim.run_until(start + 5.0 * MINUTE);
    let wrong = count_reported_failures(&sim, start);
    await_convergence(&mut sim, &all, 2.0 * MINUTE, "under bad links");
    assert_eq!(wrong, 0, "reports of a failure where nobody failed");
    assert!(
        sim.corrupted_datagrams > 1000,
        "only {} were corrupted",
        sim.corrupted_datagrams
    );
    sim.kill(7);
    await_convergence(
        &mut sim,
        &(0..30).filter(|node| *node != 7).collect::<Vec<_>>(),
        2.0 * MINUTE,
        "after one was killed",
    );
}

/// Guards partial partitions: a member that receives nothing but is received, and two that reach
/// each other only through others.
#[test]
fn members_rejoin_after_one_way_loss_and_a_blocked_pair_stays_connected() {
    let mut sim = start_converged_fleet(12, 11, NetworkConditions::default(), 3);
    let all: Vec<usize> = (0..12).collect();
    sim.blocked_links = [Link { from: 0, to: 2 }, Link { from: 2, to: 0 }].into();
    let start = sim.now;
    sim.run_until(start + 3.0 * MINUTE);
    assert_eq!(
        count_reported_failures(&sim, start),
        0,
        "indirect probes vouch for both"
    );
    await_convergence(&mut sim, &all, MINUTE, "with a pair that is cut off");
    sim.blocked_links = (1..12).map(|from| Link { from, to: 0 }).collect();
    let rest: Vec<usize> = (1..12).collect();
    await_convergence(
        &mut sim,
        &rest,
        3.0 * MINUTE,
        "without one that receives nothing",
    );
    sim.blocked_links.clear();
    await_convergence(&mut sim, &all, 3.0 * MINUTE, "after it receives again");
}

/// Guards a process that was paused: it wakes with all its timers due and must not declare the
/// others failed.
#[test]
fn a_paused_member_declares_no_other_member_failed() {
    let mut sim = start_converged_fleet(10, 9, NetworkConditions::default(), 4);
    let all: Vec<usize> = (0..10).collect();
    let start = sim.now;
    sim.pause(4, 20_000.0);
    sim.run_until(start + 20_000.0);
    await_convergence(&mut sim, &all, 2.0 * MINUTE, "after a pause");
    let by_it = sim.observed_changes.iter().filter(|observed| {
        observed.observer == 4
            && observed.at >= start
            && matches!(&observed.change, Change::Failed(_))
    });
    assert_eq!(by_it.count(), 0, "it declared others failed");
    let member = sim.member(4).expect("it runs");
    assert!(
        member.counters().stalls >= 1 && member.counters().rejoins >= 1,
        "{:?}",
        member.counters()
    );
}

/// Guards recovery from a partition: thirds that declared each other failed find each other again
/// without help.
#[test]
fn a_partition_into_thirds_heals() {
    let mut sim = start_converged_fleet(30, 5, NetworkConditions::default(), 5);
    let third = |n: usize| (0..30).filter(|node| node % 3 == n).collect::<Vec<usize>>();
    sim.partition(&[third(0), third(1), third(2)]);
    for n in 0..3 {
        await_convergence(&mut sim, &third(n), 3.0 * MINUTE, "within a third");
    }
    let reachable = sim.member(0).expect("it runs").view().reachable_fraction();
    assert!(
        (reachable - 1.0 / 3.0).abs() < 0.01,
        "{reachable} of the fleet is reachable"
    );
    sim.blocked_links.clear();
    await_convergence(
        &mut sim,
        &(0..30).collect::<Vec<_>>(),
        3.0 * MINUTE,
        "after the partition",
    );
}

/// Guards names: two processes under one name settle it in the same way everywhere, a restarted one
/// takes its own name back even with a clock that is set back an hour, and `left` is not `failed`.
#[test]
fn a_name_has_one_holder_and_a_leave_is_not_a_failure() {
    let mut sim = start_converged_fleet(8, 7, NetworkConditions::default(), 6);
    sim.run_until(sim.now + 20_000.0);
    // Node 7 leaves and starts again under the name of node 3, which runs: the later one has it.
    sim.leave(7);
    await_convergence(
        &mut sim,
        &(0..7).collect::<Vec<_>>(),
        MINUTE,
        "after one left",
    );
    let left = sim
        .observed_changes
        .iter()
        .filter(|observed| matches!(observed.change, Change::Left(_)))
        .count();
    assert_eq!(
        (left, count_reported_failures(&sim, 0.0)),
        (7, 0),
        "each reports that it left"
    );
    sim.set_name(7, "n3");
    sim.start(7);
    sim.run_until(sim.now + 2.0 * MINUTE);
    let reported_holders: Vec<u64> = [0, 1, 2, 4, 5, 6, 7]
        .iter()
        .filter_map(|node| {
            sim.member(*node)?
                .view()
                .present
                .get("n3")
                .map(|member| member.instance_id)
        })
        .collect();
    let winner = sim.member(7).expect("it runs").local_member().instance_id;
    assert_eq!(reported_holders, [winner; 7]);
    assert!(
        sim.member(3).expect("it runs").is_defunct(),
        "the earlier one takes part no more"
    );
    assert!(sim
        .observed_changes
        .iter()
        .any(|observed| observed.observer == 3 && matches!(observed.change, Change::NameLost(_))));
    // Killed and restarted at once, with its clock an hour back: its generation has to go above its
    // predecessor's.
    sim.wall_clock_offset = -3_600_000.0;
    sim.kill(1);
    sim.start(1);
    let rest = [0, 1, 2, 4, 5, 6, 7];
    sim.run_until(sim.now + MINUTE);
    let fresh = sim.member(1).expect("it runs").local_member().instance_id;
    for node in rest {
        let known = sim.member(node).and_then(|member| {
            member
                .view()
                .present
                .get("n1")
                .map(|member| member.instance_id)
        });
        assert_eq!(known, Some(fresh), "as node {node} knows it");
    }
}

/// Guards addresses: a member that took over another's address does not count as that one. A list
/// of peers that names only the process itself, or nobody, makes a fleet of one, which others still
/// find.
#[test]
fn a_reused_address_does_not_stand_for_its_previous_member() {
    let mut sim = start_converged_fleet(6, 5, NetworkConditions::default(), 7);
    sim.kill(2);
    sim.take_over_address(5, 2);
    await_convergence(
        &mut sim,
        &[0, 1, 3, 4, 5],
        2.0 * MINUTE,
        "without one whose address is another's",
    );
    assert!(sim
        .member(0)
        .expect("it runs")
        .view()
        .failed
        .contains_key("n2"));
    let mut sim = Simulation::new(4, 3, Timing::for_size(4), NetworkConditions::default(), 8);
    sim.set_configured_peers(0, vec![]);
    sim.set_configured_peers(1, vec![1]);
    sim.set_configured_peers(2, vec![0, 1]);
    sim.set_configured_peers(3, vec![2]);
    (0..4).for_each(|node| sim.start(node));
    await_convergence(
        &mut sim,
        &[0, 1, 2, 3],
        MINUTE,
        "with one-sided lists of peers",
    );
}

/// Guards load reports: repeated as a gateway does, they reach all members, and the latest one
/// counts even where an earlier one arrives after it.
#[test]
fn load_reports_reach_all_members_and_the_latest_wins() {
    let mut sim = start_converged_fleet(
        10,
        9,
        NetworkConditions {
            delay: DelayRange {
                min: 1.0,
                max: 2000.0,
            },
            ..NetworkConditions::default()
        },
        9,
    );
    sim.report_load(2, 100);
    for _ in 0..30 {
        sim.run_until(sim.now + 10_000.0);
        sim.report_load(2, 700);
    }
    let known = |node: usize| sim.member(node).and_then(|member| member.load_of("n2"));
    assert!(
        (0..10).all(|node| known(node) == Some(700)),
        "{:?}",
        (0..10).map(known).collect::<Vec<_>>()
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against arbitrary bytes: none end the process, and those that are not a message
    /// change nothing.
    #[test]
    fn arbitrary_bytes_are_dropped_and_counted(
        datagrams in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 1..40),
    ) {
        let local = Member { generation: 5, instance_id: 1, ..Member::at_address("own", "127.0.0.1:1".parse().unwrap()) };
        let mut membership = Membership::new(0.0, local, Vec::new(), Timing::for_size(3), 3, 1);
        for (at, bytes) in datagrams.iter().enumerate() {
            membership.handle_datagram(at as f64, bytes);
            membership.handle_anti_entropy(at as f64, bytes);
            membership.tick(at as f64);
        }
        let counters = membership.counters();
        prop_assert_eq!(counters.received, datagrams.len() as u64);
        prop_assert!(counters.malformed >= datagrams.len() as u64);
        prop_assert_eq!(membership.view().present.len(), 1);
    }
}
