//! Tests the checker itself: each rule of the protocol is left out in turn, and the checker must
//! find the fault in some run. A checker that missed all deliberate faults would prove nothing.

use cometspool_replicated_log::fault::{enable, Fault};
use cometspool_replicated_log::simulation::{run_random, Simulation, SimulationConfig};
use cometspool_replicated_log::{Settings, Timing};
use std::panic::{catch_unwind, UnwindSafe};

/// Whether a run shows a fault: the checker reports a violation; or the consensus library reaches
/// an impossible state and panics; or a group whose replicas are running and connected did not
/// complete all writes, as it always does without a fault.
fn shows_fault(run: impl FnOnce() -> Simulation + UnwindSafe) -> bool {
    catch_unwind(run).map_or(true, |group| {
        !group.violations().is_empty() || group.pending_writes() > 0
    })
}

/// Whether the checker reports a violation or the run panics. Incomplete writes are allowed.
fn shows_violation(run: impl FnOnce() -> Simulation + UnwindSafe) -> bool {
    catch_unwind(run).map_or(true, |group| !group.violations().is_empty())
}

/// Starts a group of three replicas and runs it until it has a leader.
fn start_group(timing: Timing, seed: u64) -> Simulation {
    let settings = Settings {
        timing,
        ..Settings::default()
    };
    let mut group = Simulation::new(SimulationConfig {
        nodes: 3,
        founders: 3,
        clients: 4,
        is_durable: true,
        settings,
        seed,
    });
    group.run_while(20_000.0, |group| group.leader().is_none());
    group
}

/// A run in which sessions expire early, and duplicated requests arrive much later.
fn run_with_late_duplicates(seed: u64) -> Simulation {
    let timing = Timing {
        session_timeout_ms: 200,
        clock_interval: 200.0,
        ..Timing::default()
    };
    let mut group = start_group(timing, seed);
    group.link_conditions.duplication = 0.5;
    for _ in 0..10 {
        (0..4).for_each(|client| group.write(client));
        group.run_until(group.now + 4000.0);
    }
    group
}

/// A run in which two of three replicas lose their disks at once. They receive the third replica's
/// messages, and it does not receive theirs.
fn run_with_lost_majority(seed: u64) -> Simulation {
    let timing = Timing {
        replacement_delay: 5000.0,
        ..Timing::default()
    };
    let mut group = start_group(timing, seed);
    group.write_for(1000.0, 10.0);
    group.run_until(group.now + 1000.0);
    group.block(0, 2);
    group.block(1, 2);
    for node in [0, 1] {
        group.kill(node);
        group.wipe(node);
        group.start(node);
    }
    group.write_for(20_000.0, 10.0);
    group
}

/// Whether the run that is designed for a fault shows it.
fn is_detected(fault: Fault, seed: u64) -> bool {
    match fault {
        Fault::WriteAfterExpiry => shows_fault(move || run_with_late_duplicates(seed)),
        // A group that lost its majority correctly makes no progress.
        Fault::BootstrapWithNonEmpty => shows_violation(move || run_with_lost_majority(seed)),
        _ => shows_fault(move || run_random(seed)),
    }
}

#[test]
fn every_deliberate_fault_is_found() {
    // Panics of the consensus library are expected here, so their output is suppressed.
    std::panic::set_hook(Box::new(|_| {}));
    let mut missed = Vec::new();
    for fault in Fault::ALL {
        enable(None);
        assert!(
            (0..5).all(|seed| !is_detected(fault, seed)),
            "{fault:?}: its runs show a fault where none is enabled"
        );
        enable(Some(fault));
        match (0..60).find(|seed| is_detected(fault, *seed)) {
            Some(seed) => println!("{fault:?}: found by seed {seed}"),
            None => missed.push(fault),
        }
        enable(None);
    }
    let _ = std::panic::take_hook();
    assert_eq!(missed, []);
}
