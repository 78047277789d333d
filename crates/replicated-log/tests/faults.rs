//! The checkers find what is wrong: each rule is left out in turn, and a play must show it. A checker that finds nothing then
//! would find nothing ever.

use cometspool_replicated_log::fault::{put_in, Fault};
use cometspool_replicated_log::sim::{drawn, Sim};
use cometspool_replicated_log::Times;

/// Whether a play broke a rule: it says so; or the agreement library met what cannot be and stopped; or a group that has
/// everything it needs never came back, as none that keeps the rules does.
fn breaks(play: impl FnOnce() -> Sim + std::panic::UnwindSafe) -> bool {
    let stuck = |sim: &Sim| sim.writes.iter().any(|write| write.ended.is_none());
    std::panic::catch_unwind(play).map_or(true, |sim| !sim.broken().is_empty() || stuck(&sim))
}

/// Sessions that end soon, and words that come much later.
fn late(seed: u64) -> Sim {
    let mut sim = Sim::new(
        3,
        3,
        4,
        true,
        Times {
            session: 200,
            passed: 200.0,
            ..Times::default()
        },
        seed,
    );
    sim.run_while(20_000.0, |sim| sim.leading().is_none());
    sim.network.duplicate = 0.5;
    for _ in 0..10 {
        (0..4).for_each(|client| sim.write(client));
        sim.run_to(sim.now + 4000.0);
    }
    sim
}

/// Two of three lose their disks at once, and are not heard by the third, whom they hear.
fn lost(seed: u64) -> Sim {
    let mut sim = Sim::new(
        3,
        3,
        4,
        true,
        Times {
            replace: 5000.0,
            ..Times::default()
        },
        seed,
    );
    sim.run_while(20_000.0, |sim| sim.leading().is_none());
    sim.ask(1000.0, 10.0);
    sim.run_to(sim.now + 1000.0);
    sim.cuts.extend([(0, 2), (1, 2)]);
    for seat in [0, 1] {
        sim.kill(seat);
        sim.wipe(seat);
        sim.start(seat);
    }
    sim.ask(20_000.0, 10.0);
    sim
}

#[test]
fn every_deliberate_fault_is_found() {
    // What the agreement library says as it stops is expected here.
    std::panic::set_hook(Box::new(|_| {}));
    let play = |fault: Fault, seed: u64| match fault {
        Fault::LateWrites => breaks(move || late(seed)),
        // It stays stuck: that is what is right there.
        Fault::FoundAnew => std::panic::catch_unwind(move || lost(seed))
            .map_or(true, |sim| !sim.broken().is_empty()),
        _ => breaks(move || drawn(seed)),
    };
    let mut missed = Vec::new();
    for fault in Fault::ALL {
        put_in(None);
        assert!(
            (0..5).all(|seed| !play(fault, seed)),
            "{fault:?}: its plays break with no fault in"
        );
        put_in(Some(fault));
        match (0..60).find(|seed| play(fault, *seed)) {
            Some(seed) => println!("{fault:?}: found by seed {seed}"),
            None => missed.push(fault),
        }
        put_in(None);
    }
    let _ = std::panic::take_hook();
    assert_eq!(missed, []);
}
