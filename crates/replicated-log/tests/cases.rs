//! The hard cases of the record, each on a simulated group.

use cometspool_replicated_log::sim::{Network, Sim};
use cometspool_replicated_log::{Standing, Times};

fn times() -> Times {
    Times {
        replace: 5000.0,
        log_entries: 64,
        tail: 16,
        piece: 256,
        ..Times::default()
    }
}

/// Three keepers, of more that stand by, and as many clients as told.
fn group(keepers: usize, clients: usize, durable: bool, seed: u64) -> Sim {
    let mut sim = Sim::new(keepers, 3, clients, durable, times(), seed);
    let led = sim.run_while(20_000.0, |sim| sim.leading().is_none());
    assert!(led, "a leader is due");
    sim
}

fn settle(sim: &mut Sim) {
    let ended = sim.run_while(sim.now + 120_000.0, |sim| {
        sim.writes.iter().any(|write| write.ended.is_none())
    });
    assert!(
        ended,
        "all writes were due to end: {} open",
        sim.writes.iter().filter(|w| w.ended.is_none()).count()
    );
    sim.run_to(sim.now + 5000.0);
    assert_eq!(sim.broken(), Vec::<String>::new());
}

#[test]
fn a_quiet_group_promises_every_write_once_and_in_order() {
    for durable in [true, false] {
        let mut sim = group(3, 4, durable, 1);
        sim.ask(5000.0, 10.0);
        settle(&mut sim);
        assert_eq!(sim.promised(), sim.writes.len());
        assert!(sim.promised() >= 400, "{}", sim.promised());
    }
}

/// Guards promises against the death of any minority, the leader above all, and of all with their disks.
#[test]
fn promises_outlive_leaders_minorities_and_all_with_their_disks() {
    let mut sim = group(3, 4, true, 2);
    for round in 0..6 {
        sim.ask(1000.0, 10.0);
        let leader = sim.leading().expect("a leader");
        sim.kill(leader);
        sim.ask(3000.0, 10.0);
        if round == 3 {
            (0..3).for_each(|seat| sim.kill(seat));
            sim.run_to(sim.now + 500.0);
            (0..3).for_each(|seat| sim.start(seat));
        } else {
            sim.start(leader);
        }
        let led = sim.run_while(sim.now + 10_000.0, |sim| sim.leading().is_none());
        assert!(led, "round {round}");
    }
    settle(&mut sim);
    assert!(sim.acted.leaders >= 6, "{:?}", sim.acted);
}

/// Guards against a keeper that has forgotten: wiped, older, torn, damaged, one after another, with promises in between.
#[test]
fn one_keeper_after_another_loses_its_disk_and_is_replaced() {
    let mut sim = group(3, 4, true, 3);
    for round in 0..9 {
        let seat = round % 3;
        sim.back_up(seat);
        sim.ask(1500.0, 10.0);
        sim.kill(seat);
        match round / 3 {
            0 => sim.wipe(seat),
            1 => sim.put_back(seat, round == 3),
            _ => sim.damage(seat),
        }
        sim.ask(1500.0, 10.0);
        sim.start(seat);
        let back = sim.run_while(sim.now + 60_000.0, |sim| {
            let seated = |keeper: &cometspool_replicated_log::Keeper<_>| {
                matches!(keeper.standing(), Standing::Leader | Standing::Follower)
            };
            !(0..3).all(|seat| sim.keeper(seat).is_some_and(seated))
        });
        assert!(
            back,
            "round {round}: {:?}",
            (0..3)
                .map(|s| sim
                    .keeper(s)
                    .map(|k| (k.standing(), k.position(), k.id().clone())))
                .collect::<Vec<_>>()
        );
    }
    settle(&mut sim);
    assert!(
        sim.acted.changes >= 8 && sim.acted.dropped >= 4,
        "{:?}",
        sim.acted
    );
}

/// Guards the seat of one that is gone for good: a keeper that stands by takes it, in another zone than the rest's.
#[test]
fn one_that_is_gone_is_replaced_by_one_that_stands_by() {
    let mut sim = group(5, 2, true, 4);
    sim.ask(2000.0, 10.0);
    sim.kill(1);
    sim.wipe(1);
    let replaced = sim.run_while(sim.now + 30_000.0, |sim| sim.acted.changes == 0);
    assert!(replaced, "a change of the group");
    sim.ask(1000.0, 10.0);
    // The fifth keeper is in the lost one's zone, the fourth in the first one's.
    let config = sim
        .leading()
        .and_then(|seat| sim.keeper(seat)?.config().cloned())
        .expect("a leader");
    assert!(
        config.keepers.iter().any(|id| id.name == "k4"),
        "{config:?}"
    );
    settle(&mut sim);
}

/// Guards going on where links are partly broken: whoever reaches a majority leads soon.
#[test]
fn a_group_goes_on_wherever_somebody_reaches_a_majority() {
    // Who is cut from whom, with the leader as 0 and the others in order.
    type Shape = (&'static str, usize, &'static [(usize, usize)]);
    let shapes: [Shape; 4] = [
        ("a chain", 3, &[(0, 1)]),
        (
            "a leader that hears a majority which hears nobody else",
            5,
            &[(1, 2), (1, 3), (1, 4), (2, 3), (2, 4), (3, 4)],
        ),
        (
            "one other that alone hears a majority",
            5,
            &[(0, 2), (0, 3), (0, 4), (2, 3), (2, 4), (3, 4)],
        ),
        ("a leader alone", 5, &[(0, 1), (0, 2), (0, 3), (0, 4)]),
    ];
    for (shape, count, cuts) in shapes {
        for seed in 0..5 {
            let mut sim = Sim::new(count, count, 2, true, times(), seed);
            assert!(
                sim.run_while(20_000.0, |sim| sim.leading().is_none()),
                "{shape}: a leader"
            );
            sim.ask(500.0, 10.0);
            let leader = sim.leading().expect("a leader");
            let seats: Vec<usize> = std::iter::once(leader)
                .chain((0..count).filter(|s| *s != leader))
                .collect();
            cuts.iter().for_each(|(a, b)| sim.cut(seats[*a], seats[*b]));
            let before = sim.promised();
            sim.write(0);
            let went_on = sim.run_while(sim.now + 5000.0, |sim| sim.promised() == before);
            assert!(went_on, "{shape}, seed {seed}: 5 s without a promise");
            sim.cuts.clear();
            settle(&mut sim);
        }
    }
    // One way only: the leader is heard and hears nobody, or hears and is not heard.
    for heard in [true, false] {
        let mut sim = group(3, 2, true, 7);
        let leader = sim.leading().expect("a leader");
        for other in (0..3).filter(|seat| *seat != leader) {
            sim.cuts.insert(if heard {
                (other, leader)
            } else {
                (leader, other)
            });
        }
        let before = sim.promised();
        sim.write(0);
        assert!(
            sim.run_while(sim.now + 5000.0, |sim| sim.promised() == before),
            "one way, heard {heard}"
        );
        sim.cuts.clear();
        settle(&mut sim);
    }
}

/// Guards against a lost majority: nothing is promised by a rest, and nobody begins a record of his own.
#[test]
fn a_lost_majority_promises_nothing_and_founds_nothing() {
    let mut sim = group(3, 2, true, 5);
    sim.ask(1000.0, 10.0);
    settle(&mut sim);
    let (before, record) = (
        sim.promised(),
        sim.keeper(0).map(cometspool_replicated_log::Keeper::record),
    );
    for seat in [1, 2] {
        sim.kill(seat);
        sim.wipe(seat);
        sim.start(seat);
    }
    sim.write(0);
    sim.run_to(sim.now + 60_000.0);
    assert_eq!((sim.promised(), sim.acted.changes), (before, 0));
    for seat in [1, 2] {
        let keeper = sim.keeper(seat).expect("it runs");
        assert!(
            keeper.record() == 0 || Some(keeper.record()) == record,
            "a record of its own"
        );
        assert!(
            !matches!(keeper.standing(), Standing::Leader | Standing::Follower),
            "{:?}",
            keeper.standing()
        );
    }
}

/// Guards a leader that stood still: what it says when it wakes promises nothing that is not so.
#[test]
fn a_leader_that_wakes_after_half_a_minute_does_no_harm() {
    let mut sim = group(3, 4, true, 6);
    for _ in 0..3 {
        sim.ask(1000.0, 5.0);
        let leader = sim.leading().expect("a leader");
        sim.stop(leader, 30_000.0);
        sim.ask(40_000.0, 40.0);
    }
    settle(&mut sim);
    assert!(sim.acted.leaders >= 3, "{:?}", sim.acted);
}

/// Guards the promises under everything at once, drawn from a seed.
#[test]
fn drawn_faults_break_nothing() {
    let seeds: u64 = std::env::var("RECORD_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(60);
    let from: u64 = std::env::var("RECORD_FROM")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut sums = [0; 6];
    for seed in from..from + seeds {
        let sim = cometspool_replicated_log::sim::drawn(seed);
        assert_eq!(sim.broken(), Vec::<String>::new(), "seed {seed}");
        let acted = sim.acted;
        for (sum, more) in sums.iter_mut().zip([
            acted.lost,
            acted.leaders,
            acted.kills,
            acted.wipes,
            acted.dropped,
            acted.changes,
        ]) {
            *sum += more;
        }
        let open = sim
            .writes
            .iter()
            .filter(|write| write.ended.is_none())
            .count();
        assert!(
            sim.promised() > 0 && open == 0,
            "seed {seed}: {} promised, {open} open",
            sim.promised()
        );
    }
    assert!(
        sums.iter().all(|sum| *sum >= seeds / 8),
        "faults that did not act: {sums:?}"
    );
    println!("{seeds} seeds: lost, leaders, kills, wipes, dropped, changes: {sums:?}");
}

/// Guards a group whose disks are memory: one that starts again is somebody else, and is given its seat anew.
#[test]
fn a_group_in_memory_takes_a_restarted_keeper_for_somebody_else() {
    let mut sim = group(3, 2, false, 8);
    for seat in [0, 1, 2, 0] {
        sim.ask(1000.0, 10.0);
        sim.kill(seat);
        sim.ask(2000.0, 10.0);
        let changes = sim.acted.changes;
        sim.start(seat);
        assert!(
            sim.run_while(sim.now + 30_000.0, |sim| sim.acted.changes == changes),
            "seat {seat} is given anew"
        );
        sim.run_to(sim.now + 3000.0);
    }
    sim.network = Network::default();
    settle(&mut sim);
}
