//! The simulated network: its conditions, and the faults that it injects.

use super::{Event, Simulation};
use crate::timing::Millis;
use rand::RngExt;

/// Longest time after which a replayed datagram arrives again, in milliseconds.
const MAX_REPLAY_DELAY: Millis = 30_000.0;
/// Number of one-way delays that an anti-entropy message takes, including the handshake of its
/// connection.
const ANTI_ENTROPY_DELAYS: f64 = 3.0;

/// The path from one node to another, in that direction only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link {
    /// The sender.
    pub from: usize,
    /// The receiver.
    pub to: usize,
}

/// A range of one-way delays, which are drawn uniformly from it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DelayRange {
    /// Shortest delay.
    pub min: Millis,
    /// Longest delay.
    pub max: Millis,
}

/// The conditions on every link. Fractions are from 0 to 1, and refer to the datagrams that are
/// sent.
#[derive(Clone, Debug)]
pub struct NetworkConditions {
    /// The one-way delay.
    pub delay: DelayRange,
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Fraction of datagrams that arrive twice.
    pub duplication: f64,
    /// Fraction of datagrams in which a byte is changed.
    pub corruption: f64,
    /// Fraction of datagrams that arrive again, up to 30 s later.
    pub replay: f64,
}

impl Default for NetworkConditions {
    fn default() -> NetworkConditions {
        // The one-way delays in the operators' data centers.
        let delay = DelayRange { min: 1.4, max: 2.6 };
        NetworkConditions {
            delay,
            loss: 0.0,
            duplication: 0.0,
            corruption: 0.0,
            replay: 0.0,
        }
    }
}

/// The faults that are injected into one datagram.
struct DatagramFaults {
    lost: bool,
    duplicated: bool,
    corrupted: bool,
    replayed: bool,
}

impl Simulation {
    /// Sends an anti-entropy message. It goes over a connection, so it arrives completely or not at
    /// all, and only if neither direction of the link is blocked.
    pub(super) fn send_anti_entropy(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let there = Link { from, to };
        let back = Link { from: to, to: from };
        if self.blocked_links.contains(&there) || self.blocked_links.contains(&back) {
            return;
        }
        self.anti_entropy_bytes += bytes.len() as u64;
        let at = self.now + ANTI_ENTROPY_DELAYS * self.sample_delay();
        self.schedule(at, to, Event::AntiEntropy { from, bytes });
    }

    /// Sends a datagram.
    pub(super) fn send_datagram(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let faults = self.sample_faults();
        if faults.lost || self.blocked_links.contains(&Link { from, to }) {
            return;
        }
        if faults.corrupted {
            // Frames carry a checksum: a corrupted datagram is counted and dropped before a member
            // receives it.
            self.corrupted_datagrams += 1;
            return;
        }
        let at = self.now + self.sample_delay();
        if faults.duplicated {
            let later = at + self.sample_delay();
            self.schedule(later, to, Event::Datagram(bytes.clone()));
        }
        if faults.replayed {
            let later = at + self.rng.random_range(0.0..MAX_REPLAY_DELAY);
            self.schedule(later, to, Event::Datagram(bytes.clone()));
        }
        self.schedule(at, to, Event::Datagram(bytes));
    }

    fn sample_faults(&mut self) -> DatagramFaults {
        let NetworkConditions {
            loss,
            duplication,
            corruption,
            replay,
            ..
        } = self.network;
        let mut draw = |fraction: f64| fraction > 0.0 && self.rng.random_bool(fraction);
        // The order of these random draws must not change, because a seed has to replay the same
        // run.
        DatagramFaults {
            lost: draw(loss),
            duplicated: draw(duplication),
            corrupted: draw(corruption),
            replayed: draw(replay),
        }
    }

    fn sample_delay(&mut self) -> Millis {
        let DelayRange { min, max } = self.network.delay;
        self.rng.random_range(min..=max)
    }
}
