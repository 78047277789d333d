//! The links between replicas.

use super::events::Event;
use super::{parse_node_name, Simulation};
use crate::message::Envelope;
use crate::settings::Millis;
use rand::RngExt;

/// The range from which the delay of a duplicate is drawn is at least this long.
const MIN_DUPLICATE_DELAY_RANGE: Millis = 5.0;

/// A range of one-way delays, both ends included.
#[derive(Clone, Copy, Debug)]
pub struct DelayRange {
    /// The shortest.
    pub min: Millis,
    /// The longest.
    pub max: Millis,
}

/// What happens to messages on all links. Probabilities are between 0 and 1.
#[derive(Clone, Debug)]
pub struct LinkConditions {
    /// The one-way delay, drawn uniformly.
    pub delay: DelayRange,
    /// The probability that a message is lost.
    pub loss: f64,
    /// The probability that a message arrives twice.
    pub duplication: f64,
    /// The probability that a message is delayed further, so that later ones may overtake it.
    pub reordering: f64,
    /// The longest further delay, drawn uniformly from zero.
    pub max_reordering_delay: Millis,
}

impl Default for LinkConditions {
    fn default() -> LinkConditions {
        LinkConditions {
            delay: DelayRange { min: 1.4, max: 2.6 },
            loss: 0.0,
            duplication: 0.0,
            reordering: 0.0,
            max_reordering_delay: 0.0,
        }
    }
}

/// One direction of the link between two nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link {
    /// The sender.
    pub from: usize,
    /// The receiver.
    pub to: usize,
}

impl Simulation {
    /// Blocks what one node sends to another.
    pub fn block(&mut self, from: usize, to: usize) {
        self.blocked_links.insert(Link { from, to });
    }

    /// Blocks what two nodes send to each other.
    pub fn disconnect(&mut self, a: usize, b: usize) {
        self.block(a, b);
        self.block(b, a);
    }

    /// Disconnects the nodes of each part from those of all others.
    pub fn partition(&mut self, parts: &[&[usize]]) {
        for (number, part) in parts.iter().enumerate() {
            for other in parts[number + 1..].iter().copied().flatten() {
                for node in *part {
                    self.disconnect(*node, *other);
                }
            }
        }
    }

    /// Carries a message between replicas, as the conditions of the links have it.
    pub(super) fn send(&mut self, from: usize, to: &str, envelope: &Envelope) {
        let Some(to) = parse_node_name(to).filter(|to| *to < self.nodes.len()) else {
            return;
        };
        let link = Link { from, to };
        if self.blocked_links.contains(&link) {
            return;
        }
        if self.sample_bool(self.link_conditions.loss) {
            self.statistics.lost += 1;
            return;
        }
        let Some(envelope) = self.encode_and_decode(envelope) else {
            return;
        };
        let at = self.sample_arrival_time(link);
        if self.sample_bool(self.link_conditions.duplication) {
            self.statistics.duplicated += 1;
            let range = self
                .link_conditions
                .max_reordering_delay
                .max(MIN_DUPLICATE_DELAY_RANGE);
            let duplicate_at = at + self.rng.random_range(0.0..range);
            self.schedule(duplicate_at, to, Event::Message(envelope.clone()));
        }
        self.schedule(at, to, Event::Message(envelope));
    }

    /// Passes a message through its encoding, as between processes.
    fn encode_and_decode(&mut self, envelope: &Envelope) -> Option<Box<Envelope>> {
        let bytes = postcard::to_stdvec(envelope).ok()?;
        self.statistics.bytes += bytes.len() as u64;
        let decoded = postcard::from_bytes(&bytes).ok();
        if decoded.is_none() {
            let message = &envelope.message;
            self.run_violations
                .push(format!("a message cannot be decoded: {message:?}"));
        }
        decoded.map(Box::new)
    }

    /// When a message arrives. A connection keeps the order of messages; only stragglers are
    /// overtaken.
    fn sample_arrival_time(&mut self, link: Link) -> Millis {
        let at = self.now + self.sample_delay();
        if self.sample_bool(self.link_conditions.reordering) {
            self.statistics.delayed += 1;
            let max = self.link_conditions.max_reordering_delay.max(1.0);
            return at + self.rng.random_range(0.0..max);
        }
        let last = self.last_arrivals.entry(link).or_default();
        *last = at.max(*last);
        *last
    }
}
