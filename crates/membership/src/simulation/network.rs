//! The simulated network: its conditions, and what becomes of a message.

use super::{Event, Simulation};
use crate::timing::Millis;
use rand::RngExt;

/// Longest time after which a replayed datagram arrives once more.
const MAX_REPLAY_DELAY: Millis = 30_000.0;
/// One-way delays that a message of a comparison takes, with the handshake of its connection.
const COMPARISON_DELAYS: f64 = 3.0;

/// The way from one node to another, in that direction alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link {
    /// The sender.
    pub from: usize,
    /// The receiver.
    pub to: usize,
}

/// One-way delays, drawn evenly between two bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DelayRange {
    /// Shortest delay.
    pub min: Millis,
    /// Longest delay.
    pub max: Millis,
}

/// The conditions on every link. Fractions are from 0 to 1, of the datagrams that are sent.
#[derive(Clone, Debug)]
pub struct NetworkConditions {
    /// The one-way delay.
    pub delay: DelayRange,
    /// Fraction that is lost.
    pub loss: f64,
    /// Fraction that arrives twice.
    pub duplication: f64,
    /// Fraction in which a byte is changed.
    pub corruption: f64,
    /// Fraction that arrives once more up to 30 s later.
    pub replay: f64,
}

impl Default for NetworkConditions {
    fn default() -> NetworkConditions {
        // Measured in the operators' data halls.
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

/// What becomes of one datagram.
struct Fate {
    lost: bool,
    duplicated: bool,
    corrupted: bool,
    replayed: bool,
}

impl Simulation {
    /// Sends a message of a comparison. It goes over a connection: it arrives whole or not at all,
    /// and only if both directions carry.
    pub(super) fn send_comparison(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let there = Link { from, to };
        let back = Link { from: to, to: from };
        if self.blocked_links.contains(&there) || self.blocked_links.contains(&back) {
            return;
        }
        self.comparison_bytes += bytes.len() as u64;
        let at = self.now + COMPARISON_DELAYS * self.draw_delay();
        self.schedule(at, to, Event::Comparison { from, bytes });
    }

    /// Sends a datagram.
    pub(super) fn send_datagram(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let fate = self.draw_fate();
        if fate.lost || self.blocked_links.contains(&Link { from, to }) {
            return;
        }
        if fate.corrupted {
            // Frames carry a checksum: a corrupted one is counted and dropped before a member sees
            // it.
            self.corrupted_datagrams += 1;
            return;
        }
        let at = self.now + self.draw_delay();
        if fate.duplicated {
            let later = at + self.draw_delay();
            self.schedule(later, to, Event::Datagram(bytes.clone()));
        }
        if fate.replayed {
            let later = at + self.rng.random_range(0.0..MAX_REPLAY_DELAY);
            self.schedule(later, to, Event::Datagram(bytes.clone()));
        }
        self.schedule(at, to, Event::Datagram(bytes));
    }

    fn draw_fate(&mut self) -> Fate {
        let NetworkConditions {
            loss,
            duplication,
            corruption,
            replay,
            ..
        } = self.network;
        let mut draw = |fraction: f64| fraction > 0.0 && self.rng.random_bool(fraction);
        // The order of the draws is part of what a seed replays.
        Fate {
            lost: draw(loss),
            duplicated: draw(duplication),
            corrupted: draw(corruption),
            replayed: draw(replay),
        }
    }

    fn draw_delay(&mut self) -> Millis {
        let DelayRange { min, max } = self.network.delay;
        self.rng.random_range(min..=max)
    }
}
