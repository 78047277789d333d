//! The simulated links between replicas.

use super::events::Event;
use super::{parse_node_name, Simulation};
use crate::message::Envelope;
use crate::settings::Millis;
use rand::RngExt;

/// Minimum length of the range from which the delay of a duplicate is drawn, in milliseconds.
const MIN_DUPLICATE_DELAY_RANGE: Millis = 5.0;

/// A range of one-way delays in milliseconds, inclusive at both ends.
#[derive(Clone, Copy, Debug)]
pub struct DelayRange {
    /// The shortest delay.
    pub min: Millis,
    /// The longest delay.
    pub max: Millis,
}

/// Delay, loss, duplication and reordering of messages on all links. Probabilities are between 0
/// and 1.
#[derive(Clone, Debug)]
pub struct LinkConditions {
    /// The range of one-way delays, drawn from uniformly.
    pub delay: DelayRange,
    /// The probability that a message is lost.
    pub loss: f64,
    /// The probability that a message arrives twice.
    pub duplication: f64,
    /// The probability that a message gets an additional delay, so that later ones may overtake it.
    pub reordering: f64,
    /// The maximum of that additional delay in milliseconds, drawn uniformly from zero.
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
    /// The sending node.
    pub from: usize,
    /// The receiving node.
    pub to: usize,
}

impl Simulation {
    /// Blocks messages from one node to another.
    pub fn block(&mut self, from: usize, to: usize) {
        self.blocked_links.insert(Link { from, to });
    }

    /// Blocks messages between two nodes in both directions.
    pub fn disconnect(&mut self, a: usize, b: usize) {
        self.block(a, b);
        self.block(b, a);
    }

    /// Partitions the network: disconnects the nodes of each part from those of all other parts.
    pub fn partition(&mut self, parts: &[&[usize]]) {
        for (number, part) in parts.iter().enumerate() {
            for other in parts[number + 1..].iter().copied().flatten() {
                for node in *part {
                    self.disconnect(*node, *other);
                }
            }
        }
    }

    /// Sends a message between replicas, subject to the conditions of the links.
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

    /// Encodes and decodes a message, as if it were sent between processes.
    fn encode_and_decode(&mut self, envelope: &Envelope) -> Option<Box<Envelope>> {
        let bytes = postcard::to_stdvec(envelope).ok()?;
        self.statistics.bytes += bytes.len() as u64;
        let decoded = postcard::from_bytes(&bytes).ok();
        if decoded.is_none() {
            let message = &envelope.message;
            self.run_violations
                .push(format!("message cannot be decoded: {message:?}"));
        }
        decoded.map(Box::new)
    }

    /// Draws the arrival time of a message. A connection keeps messages in order, except for those
    /// that are chosen for reordering.
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
