//! Tests that a seed replays the same run. The published measurements and the replay of a failing
//! seed rely on the order of the random draws and of the events.

use cometspool_membership::simulation::{DelayRange, NetworkConditions, Simulation};
use cometspool_membership::{Change, Timing};

/// An FNV-1a hash over 64-bit words.
struct Fingerprint(u64);

impl Fingerprint {
    fn add(&mut self, word: u64) {
        for byte in word.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

/// The summary of a run.
#[derive(Debug, PartialEq)]
struct RunSummary {
    changes: usize,
    datagrams: u64,
    bytes: u64,
    anti_entropy_bytes: u64,
    corrupted: u64,
    fingerprint: u64,
}

fn summarize(simulation: &Simulation) -> RunSummary {
    let mut fingerprint = Fingerprint(0xcbf2_9ce4_8422_2325);
    for observed in &simulation.observed_changes {
        let (kind, member) = match &observed.change {
            Change::Joined(member) => (0, member),
            Change::Left(member) => (1, member),
            Change::Failed(member) => (2, member),
            Change::NameConflict(member) => (3, member),
            Change::NameLost(member) => (4, member),
        };
        fingerprint.add(observed.at.to_bits());
        fingerprint.add(observed.observer as u64);
        fingerprint.add(kind);
        fingerprint.add(member.generation);
        fingerprint.add(member.instance_id);
        member
            .name
            .bytes()
            .for_each(|byte| fingerprint.add(u64::from(byte)));
    }
    for member in (0..10).filter_map(|index| simulation.member(index)) {
        let counters = member.counters();
        fingerprint.add(counters.received);
        fingerprint.add(counters.received_bytes);
        fingerprint.add(counters.malformed);
        fingerprint.add(counters.digest_mismatches);
        fingerprint.add(counters.stalls);
        fingerprint.add(counters.rejoins);
        fingerprint.add(u64::from(member.health_score()));
        fingerprint.add(member.view().revision);
        fingerprint.add(member.view().failed.len() as u64);
    }
    let traffic = simulation.traffic();
    RunSummary {
        changes: simulation.observed_changes.len(),
        datagrams: traffic.datagrams,
        bytes: traffic.bytes,
        anti_entropy_bytes: simulation.anti_entropy_bytes,
        corrupted: simulation.corrupted_datagrams,
        fingerprint: fingerprint.0,
    }
}

/// Guards the order of random draws and of events, under every kind of fault that the simulation
/// injects.
#[test]
fn a_seed_replays_the_same_run_event_by_event() {
    let network = NetworkConditions {
        delay: DelayRange {
            min: 1.0,
            max: 40.0,
        },
        loss: 0.1,
        duplication: 0.05,
        corruption: 0.02,
        replay: 0.02,
    };
    let mut simulation = Simulation::new(10, 4, Timing::for_size(10), network, 42);
    (0..10).for_each(|index| simulation.start(index));
    simulation.run_until(30_000.0);
    simulation.report_load(2, 400);
    simulation.kill(3);
    simulation.pause(4, 15_000.0);
    simulation.run_until(70_000.0);
    simulation.start(3);
    simulation.leave(5);
    simulation.partition(&[vec![0, 1, 2], vec![3, 4, 6, 7, 8, 9]]);
    simulation.run_until(130_000.0);
    simulation.blocked_links.clear();
    simulation.set_name(5, "n8");
    simulation.start(5);
    simulation.report_load(7, 900);
    simulation.run_until(200_000.0);
    simulation.wall_clock_offset = -60_000.0;
    simulation.kill(1);
    simulation.start(1);
    simulation.take_over_address(0, 6);
    simulation.run_until(300_000.0);
    let expected = RunSummary {
        changes: 365,
        datagrams: 14_552,
        bytes: 961_885,
        anti_entropy_bytes: 32_626,
        corrupted: 270,
        fingerprint: 6_133_508_839_526_921_070,
    };
    assert_eq!(summarize(&simulation), expected);
}
