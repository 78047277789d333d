//! A seed plays the same run again: the order of the random draws and of the events is part of what the figures and a failing
//! seed rely on.

use cometspool_membership::sim::{Network, Sim};
use cometspool_membership::{Change, Times};

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
    compared_bytes: u64,
    damaged: u64,
    fingerprint: u64,
}

fn outcome(sim: &Sim) -> Outcome {
    let mut fingerprint = Fingerprint(0xcbf2_9ce4_8422_2325);
    for seen in &sim.seen {
        let (kind, member) = match &seen.change {
            Change::Up(member) => (0, member),
            Change::Left(member) => (1, member),
            Change::Failed(member) => (2, member),
            Change::Twin(member) => (3, member),
            Change::Displaced(member) => (4, member),
        };
        fingerprint.add(seen.at.to_bits());
        fingerprint.add(seen.by as u64);
        fingerprint.add(kind);
        fingerprint.add(member.number);
        fingerprint.add(member.life);
        member
            .name
            .bytes()
            .for_each(|byte| fingerprint.add(u64::from(byte)));
    }
    for member in (0..10).filter_map(|index| sim.member(index)) {
        let counters = member.counters();
        fingerprint.add(counters.heard);
        fingerprint.add(counters.heard_bytes);
        fingerprint.add(counters.malformed);
        fingerprint.add(counters.differed);
        fingerprint.add(counters.held_up);
        fingerprint.add(counters.returned);
        fingerprint.add(u64::from(member.self_doubt()));
        fingerprint.add(member.view().revision);
        fingerprint.add(member.view().failed.len() as u64);
    }
    let (datagrams, bytes) = sim.sent();
    Outcome {
        changes: sim.seen.len(),
        datagrams,
        bytes,
        compared_bytes: sim.compared_bytes,
        damaged: sim.damaged,
        fingerprint: fingerprint.0,
    }
}

/// Guards the order of draws and events through every kind of fault that the simulation knows.
#[test]
fn a_seed_replays_the_same_run_event_by_event() {
    let network = Network {
        delay: (1.0, 40.0),
        loss: 0.1,
        duplicate: 0.05,
        damage: 0.02,
        replay: 0.02,
    };
    let mut sim = Sim::new(10, 4, Times::of(10), network, 42);
    (0..10).for_each(|index| sim.start(index));
    sim.run_to(30_000.0);
    sim.tell_load(2, 400);
    sim.kill(3);
    sim.stop(4, 15_000.0);
    sim.run_to(70_000.0);
    sim.start(3);
    sim.leave(5);
    sim.split(&[vec![0, 1, 2], vec![3, 4, 6, 7, 8, 9]]);
    sim.run_to(130_000.0);
    sim.cuts.clear();
    sim.rename(5, "n8");
    sim.start(5);
    sim.tell_load(7, 900);
    sim.run_to(200_000.0);
    sim.clock_ahead = -60_000.0;
    sim.kill(1);
    sim.start(1);
    sim.take_address(0, 6);
    sim.run_to(300_000.0);
    let expected = Outcome {
        changes: 365,
        datagrams: 14_552,
        bytes: 961_885,
        compared_bytes: 32_626,
        damaged: 270,
        fingerprint: 6_133_508_839_526_921_070,
    };
    assert_eq!(outcome(&sim), expected);
}
