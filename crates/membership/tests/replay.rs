//! A seed replays the same run: the order of the random draws and of the events is part of what the
//! figures and a failing seed rely on.

use cometspool_membership::simulation::{DelayRange, NetworkConditions, Simulation};
use cometspool_membership::{Change, Timing};

/// FNV-1a over 64-bit words.
struct Fingerprint(u64);

impl Fingerprint {
    fn add(&mut self, word: u64) {
        for byte in word.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

/// What a run came to.
#[derive(Debug, PartialEq)]
struct Outcome {
    changes: usize,
    datagrams: u64,
    bytes: u64,
    anti_entropy_bytes: u64,
    corrupted: u64,
    fingerprint: u64,
}

fn outcome(sim: &Simulation) -> Outcome {
    let mut fingerprint = Fingerprint(0xcbf2_9ce4_8422_2325);
    for observed in &sim.observed_changes {
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
    for member in (0..10).filter_map(|index| sim.member(index)) {
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
    let traffic = sim.traffic();
    Outcome {
        changes: sim.observed_changes.len(),
        datagrams: traffic.datagrams,
        bytes: traffic.bytes,
        anti_entropy_bytes: sim.anti_entropy_bytes,
        corrupted: sim.corrupted_datagrams,
        fingerprint: fingerprint.0,
    }
}

/// Guards the order of draws and events through every kind of fault that the simulation knows.
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
    let mut sim = Simulation::new(10, 4, Timing::for_size(10), network, 42);
    (0..10).for_each(|index| sim.start(index));
    sim.run_until(30_000.0);
    sim.report_load(2, 400);
    sim.kill(3);
    sim.pause(4, 15_000.0);
    sim.run_until(70_000.0);
    sim.start(3);
    sim.leave(5);
    sim.partition(&[vec![0, 1, 2], vec![3, 4, 6, 7, 8, 9]]);
    sim.run_until(130_000.0);
    sim.blocked_links.clear();
    sim.set_name(5, "n8");
    sim.start(5);
    sim.report_load(7, 900);
    sim.run_until(200_000.0);
    sim.wall_clock_offset = -60_000.0;
    sim.kill(1);
    sim.start(1);
    sim.take_over_address(0, 6);
    sim.run_until(300_000.0);
    let expected = Outcome {
        changes: 365,
        datagrams: 14_552,
        bytes: 961_885,
        anti_entropy_bytes: 32_626,
        corrupted: 270,
        fingerprint: 6_133_508_839_526_921_070,
    };
    assert_eq!(outcome(&sim), expected);
}
