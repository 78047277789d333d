//! Tests of membership under faults, in simulation. All time limits are in simulated time, so the
//! speed of the machine does not matter.

use cometspool_membership::simulation::{DelayRange, Link, NetworkConditions, Simulation};
use cometspool_membership::{Change, Member, Membership, Millis, Timing};
use proptest::prelude::*;

const MINUTE: Millis = 60_000.0;

/// Starts a fleet, and runs it until all members know each other.
fn start_converged_fleet(
    count: usize,
    peers_each: usize,
    network: NetworkConditions,
    seed: u64,
) -> Simulation {
    let mut simulation = Simulation::new(
        count,
        peers_each,
        Timing::for_size(count as u32),
        network,
        seed,
    );
    (0..count).for_each(|node| simulation.start(node));
    await_convergence(
        &mut simulation,
        &(0..count).collect::<Vec<_>>(),
        2.0 * MINUTE,
        "after a start",
    );
    simulation
}

/// Runs until the members on these nodes know each other and nobody else. Fails if that takes
/// longer than `within`.
fn await_convergence(simulation: &mut Simulation, nodes: &[usize], within: Millis, when: &str) {
    let converged = simulation.run_while(simulation.now + within, |simulation| {
        !simulation.has_converged(nodes)
    });
    let known: Vec<usize> = nodes
        .iter()
        .map(|node| {
            simulation
                .member(*node)
                .map_or(0, |member| member.view().present.len())
        })
        .collect();
    assert!(
        converged,
        "{when}: of {} members, each has this many in its view: {known:?}",
        nodes.len()
    );
}

fn count_reported_failures(simulation: &Simulation, since: Millis) -> usize {
    simulation
        .observed_changes
        .iter()
        .filter(|observed| observed.at >= since && matches!(observed.change, Change::Failed(_)))
        .count()
}

/// Guards convergence after three events: a whole fleet starts at once, most of it fails, and a
/// tenth of it at a time is restarted.
#[test]
fn a_fleet_of_300_converges_after_start_mass_failure_and_rolling_restart() {
    let mut simulation = start_converged_fleet(300, 5, NetworkConditions::default(), 1);
    let (killed, survivors): (Vec<usize>, Vec<usize>) = (0..300).partition(|node| node % 10 < 7);
    killed.iter().for_each(|node| simulation.kill(*node));
    await_convergence(
        &mut simulation,
        &survivors,
        3.0 * MINUTE,
        "after seven in ten members were killed",
    );
    killed.iter().for_each(|node| simulation.start(*node));
    let all: Vec<usize> = (0..300).collect();
    await_convergence(
        &mut simulation,
        &all,
        3.0 * MINUTE,
        "after the killed members were restarted",
    );
    for tenth in 0..10 {
        let start = simulation.now;
        let part: Vec<usize> = (0..300).filter(|node| node % 10 == tenth).collect();
        part.iter().for_each(|node| simulation.leave(*node));
        simulation.run_until(start + 2000.0);
        part.iter().for_each(|node| simulation.start(*node));
        await_convergence(
            &mut simulation,
            &all,
            3.0 * MINUTE,
            "after a tenth of the members was restarted",
        );
        let failed = count_reported_failures(&simulation, start);
        assert!(
            failed <= 300,
            "{failed} reports of a failure, although 30 members left and came back"
        );
    }
}

/// Guards failure detection on faulty links: no running member is declared failed, and a killed one
/// is.
#[test]
fn loss_duplication_corruption_and_replay_cause_no_false_failure() {
    let network = NetworkConditions {
        loss: 0.3,
        duplication: 0.1,
        corruption: 0.05,
        replay: 0.05,
        ..NetworkConditions::default()
    };
    let mut simulation = start_converged_fleet(30, 29, network, 2);
    let all: Vec<usize> = (0..30).collect();
    let start = simulation.now;
    simulation.run_until(start + 5.0 * MINUTE);
    let false_failures = count_reported_failures(&simulation, start);
    await_convergence(&mut simulation, &all, 2.0 * MINUTE, "on faulty links");
    assert_eq!(
        false_failures, 0,
        "reports of a failure, although no member failed"
    );
    assert!(
        simulation.corrupted_datagrams > 1000,
        "only {} datagrams were corrupted",
        simulation.corrupted_datagrams
    );
    simulation.kill(7);
    await_convergence(
        &mut simulation,
        &(0..30).filter(|node| *node != 7).collect::<Vec<_>>(),
        2.0 * MINUTE,
        "after one member was killed",
    );
}

/// Guards partial partitions. Two members that reach each other only through others are not
/// declared failed. A member that sends but receives nothing leaves the views of the others, and
/// rejoins once it receives again.
#[test]
fn members_rejoin_after_one_way_loss_and_a_blocked_pair_stays_connected() {
    let mut simulation = start_converged_fleet(12, 11, NetworkConditions::default(), 3);
    let all: Vec<usize> = (0..12).collect();
    simulation.blocked_links = [Link { from: 0, to: 2 }, Link { from: 2, to: 0 }].into();
    let start = simulation.now;
    simulation.run_until(start + 3.0 * MINUTE);
    assert_eq!(
        count_reported_failures(&simulation, start),
        0,
        "indirect probes reach both members of the blocked pair"
    );
    await_convergence(
        &mut simulation,
        &all,
        MINUTE,
        "with a blocked pair of members",
    );
    simulation.blocked_links = (1..12).map(|from| Link { from, to: 0 }).collect();
    let rest: Vec<usize> = (1..12).collect();
    await_convergence(
        &mut simulation,
        &rest,
        3.0 * MINUTE,
        "without the member that receives nothing",
    );
    simulation.blocked_links.clear();
    await_convergence(
        &mut simulation,
        &all,
        3.0 * MINUTE,
        "after that member receives again",
    );
}

/// Guards against false failures after a pause. A paused process resumes with all its timers due,
/// and must not declare the other members failed.
#[test]
fn a_paused_member_declares_no_other_member_failed() {
    let mut simulation = start_converged_fleet(10, 9, NetworkConditions::default(), 4);
    let all: Vec<usize> = (0..10).collect();
    let start = simulation.now;
    simulation.pause(4, 20_000.0);
    simulation.run_until(start + 20_000.0);
    await_convergence(&mut simulation, &all, 2.0 * MINUTE, "after a pause");
    let failures_it_reported = simulation.observed_changes.iter().filter(|observed| {
        observed.observer == 4
            && observed.at >= start
            && matches!(&observed.change, Change::Failed(_))
    });
    assert_eq!(
        failures_it_reported.count(),
        0,
        "the paused member declared others failed"
    );
    let member = simulation.member(4).expect("the member runs");
    assert!(
        member.counters().stalls >= 1 && member.counters().rejoins >= 1,
        "{:?}",
        member.counters()
    );
}

/// Guards recovery from a partition: three groups that declared each other failed rejoin without
/// intervention.
#[test]
fn a_partition_into_thirds_heals() {
    let mut simulation = start_converged_fleet(30, 5, NetworkConditions::default(), 5);
    let third = |n: usize| (0..30).filter(|node| node % 3 == n).collect::<Vec<usize>>();
    simulation.partition(&[third(0), third(1), third(2)]);
    for n in 0..3 {
        await_convergence(
            &mut simulation,
            &third(n),
            3.0 * MINUTE,
            "within one group of the partition",
        );
    }
    let reachable = simulation
        .member(0)
        .expect("the member runs")
        .view()
        .reachable_fraction();
    assert!(
        (reachable - 1.0 / 3.0).abs() < 0.01,
        "{reachable} of the fleet is reachable"
    );
    simulation.blocked_links.clear();
    await_convergence(
        &mut simulation,
        &(0..30).collect::<Vec<_>>(),
        3.0 * MINUTE,
        "after the partition",
    );
}

/// Guards the ownership of names. Of two processes under one name, all members choose the same one.
/// A restarted process takes its own name back, even if its clock was set back by an hour. A member
/// that left is not reported as failed.
#[test]
fn a_name_has_one_holder_and_a_leave_is_not_a_failure() {
    let mut simulation = start_converged_fleet(8, 7, NetworkConditions::default(), 6);
    simulation.run_until(simulation.now + 20_000.0);
    // Node 7 leaves and starts again under the name of node 3, which is running. The process that
    // started later keeps the name.
    simulation.leave(7);
    await_convergence(
        &mut simulation,
        &(0..7).collect::<Vec<_>>(),
        MINUTE,
        "after one member left",
    );
    let left = simulation
        .observed_changes
        .iter()
        .filter(|observed| matches!(observed.change, Change::Left(_)))
        .count();
    assert_eq!(
        (left, count_reported_failures(&simulation, 0.0)),
        (7, 0),
        "each remaining member reports a leave and no failure"
    );
    simulation.set_name(7, "n3");
    simulation.start(7);
    simulation.run_until(simulation.now + 2.0 * MINUTE);
    let reported_holders: Vec<u64> = [0, 1, 2, 4, 5, 6, 7]
        .iter()
        .filter_map(|node| {
            simulation
                .member(*node)?
                .view()
                .present
                .get("n3")
                .map(|member| member.instance_id)
        })
        .collect();
    let later_instance_id = simulation
        .member(7)
        .expect("the member runs")
        .local_member()
        .instance_id;
    assert_eq!(reported_holders, [later_instance_id; 7]);
    assert!(
        simulation.member(3).expect("the member runs").is_defunct(),
        "the earlier process no longer participates"
    );
    assert!(simulation
        .observed_changes
        .iter()
        .any(|observed| observed.observer == 3 && matches!(observed.change, Change::NameLost(_))));
    // Node 1 is killed and restarted at once, with its clock set back by an hour. Its generation
    // has to exceed its predecessor's.
    simulation.wall_clock_offset = -3_600_000.0;
    simulation.kill(1);
    simulation.start(1);
    let rest = [0, 1, 2, 4, 5, 6, 7];
    simulation.run_until(simulation.now + MINUTE);
    let restarted_instance_id = simulation
        .member(1)
        .expect("the member runs")
        .local_member()
        .instance_id;
    for node in rest {
        let known = simulation.member(node).and_then(|member| {
            member
                .view()
                .present
                .get("n1")
                .map(|member| member.instance_id)
        });
        assert_eq!(
            known,
            Some(restarted_instance_id),
            "in the view of node {node}"
        );
    }
}

/// Guards against mistaken identity: a member that took over another's address does not count as
/// that member. Also guards one-sided configurations: a process whose peers are only itself, or
/// nobody, is a fleet of one that others still find.
#[test]
fn a_reused_address_does_not_stand_for_its_previous_member() {
    let mut simulation = start_converged_fleet(6, 5, NetworkConditions::default(), 7);
    simulation.kill(2);
    simulation.take_over_address(5, 2);
    await_convergence(
        &mut simulation,
        &[0, 1, 3, 4, 5],
        2.0 * MINUTE,
        "without the member whose address was taken over",
    );
    assert!(simulation
        .member(0)
        .expect("the member runs")
        .view()
        .failed
        .contains_key("n2"));
    let mut simulation =
        Simulation::new(4, 3, Timing::for_size(4), NetworkConditions::default(), 8);
    simulation.set_configured_peers(0, vec![]);
    simulation.set_configured_peers(1, vec![1]);
    simulation.set_configured_peers(2, vec![0, 1]);
    simulation.set_configured_peers(3, vec![2]);
    (0..4).for_each(|node| simulation.start(node));
    await_convergence(
        &mut simulation,
        &[0, 1, 2, 3],
        MINUTE,
        "with one-sided lists of peers",
    );
}

/// Guards the dissemination of load reports. Repeated as a gateway does, they reach all members,
/// and the latest report counts even if an earlier one arrives after it.
#[test]
fn load_reports_reach_all_members_and_the_latest_wins() {
    let mut simulation = start_converged_fleet(
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
    simulation.report_load(2, 100);
    for _ in 0..30 {
        simulation.run_until(simulation.now + 10_000.0);
        simulation.report_load(2, 700);
    }
    let known = |node: usize| {
        simulation
            .member(node)
            .and_then(|member| member.load_of("n2"))
    };
    assert!(
        (0..10).all(|node| known(node) == Some(700)),
        "{:?}",
        (0..10).map(known).collect::<Vec<_>>()
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against arbitrary bytes: none of them ends the process, and those that are not a
    /// message change nothing.
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
