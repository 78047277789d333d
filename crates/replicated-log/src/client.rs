//! A client of a record: numbers its writes, repeats them until they are answered, and tells what came of each.

use crate::entry::Command;
use crate::machine::WINDOW;
use crate::wire::{Answer, Outcome, Request};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// Keepers that a client knows of at most.
const MOST_KEEPERS: usize = 1_024;

/// What came of a write, for whoever asked for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// It is promised, and this is the answer.
    Done(Vec<u8>),
    /// Nobody can say: it may have been carried out, and will not be from here on.
    Unknown,
}

/// What is to be done for a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientEffect {
    /// For the keeper of this name.
    Send(String, Request),
    /// A write, by its number, has ended.
    Ended(u64, Ended),
}

struct Open {
    bytes: Vec<u8>,
    /// When it was last sent, ms, and how often.
    sent: f64,
    times: u32,
}

/// A client.
pub struct Client {
    keepers: Vec<String>,
    /// Whom it asks now: who is said to lead, or the next one.
    asks: usize,
    /// Whoever gets no answer in this time, ms, asks somebody else.
    patience: f64,
    session: Option<u64>,
    drawn: u64,
    /// When it last asked for a session.
    asked: f64,
    /// When it last followed a word on who leads.
    moved: f64,
    next: u64,
    open: BTreeMap<u64, Open>,
    chance: StdRng,
}

impl Client {
    /// A client of the keepers of these names.
    pub fn new(keepers: Vec<String>, patience: f64, seed: u64) -> Client {
        let mut chance = StdRng::seed_from_u64(seed);
        let asks = chance.random_range(0..keepers.len().max(1));
        Client {
            keepers,
            asks,
            patience,
            session: None,
            drawn: 0,
            asked: f64::NEG_INFINITY,
            moved: f64::NEG_INFINITY,
            next: 1,
            open: BTreeMap::new(),
            chance,
        }
    }

    /// Writes that have not ended.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Asks for a write, and names it; none if as many are open as a session takes.
    pub fn write(&mut self, now: f64, bytes: Vec<u8>) -> Option<(u64, Vec<ClientEffect>)> {
        if self.open.len() as u64 >= WINDOW / 2 || self.next - self.below() >= WINDOW {
            return None;
        }
        let number = self.next;
        self.next += 1;
        self.open.insert(
            number,
            Open {
                bytes,
                sent: f64::NEG_INFINITY,
                times: 0,
            },
        );
        Some((number, self.tick(now)))
    }

    /// Gives up on a write: what came of it stays unknown.
    pub fn give_up(&mut self, number: u64) {
        self.open.remove(&number);
    }

    /// Changes whom it asks.
    pub fn keepers(&mut self, keepers: Vec<String>) {
        if keepers != self.keepers {
            (self.keepers, self.asks) = (keepers, 0);
        }
    }

    fn below(&self) -> u64 {
        self.open
            .first_key_value()
            .map_or(self.next, |(number, _)| *number)
    }

    /// Sends what is due.
    pub fn tick(&mut self, now: f64) -> Vec<ClientEffect> {
        let late = |sent: f64, patience: f64| now - sent >= patience;
        let mut effects = Vec::new();
        if self.keepers.is_empty() || self.open.is_empty() {
            return effects;
        }
        let Some(session) = self.session else {
            if late(self.asked, self.patience) {
                if self.asked.is_finite() {
                    self.asks += 1;
                }
                // Each asking is another: an opening that comes late opens one that nobody uses, and that ends.
                self.drawn = self.chance.random_range(1..=u64::MAX);
                self.asked = now;
                effects.push(ClientEffect::Send(self.whom(), Request::Open(self.drawn)));
            }
            return effects;
        };
        let patience = self.patience;
        if self
            .open
            .values()
            .any(|open| open.sent.is_finite() && late(open.sent, patience))
        {
            self.asks += 1;
        }
        let (whom, below) = (self.whom(), self.below());
        for (number, open) in self
            .open
            .iter_mut()
            .filter(|(_, open)| late(open.sent, patience))
        {
            (open.sent, open.times) = (now, open.times + 1);
            let command = Command {
                session,
                number: *number,
                below,
                bytes: open.bytes.clone(),
            };
            effects.push(ClientEffect::Send(whom.clone(), Request::Write(command)));
        }
        effects
    }

    /// When it wants to be called next, ms, if anything is open.
    pub fn next(&self) -> Option<f64> {
        if self.session.is_none() {
            return (!self.open.is_empty()).then_some(self.asked + self.patience);
        }
        self.open
            .values()
            .map(|open| open.sent + self.patience)
            .min_by(f64::total_cmp)
    }

    fn whom(&self) -> String {
        self.keepers[self.asks % self.keepers.len()].clone()
    }

    /// Takes a keeper's answer.
    pub fn answered(&mut self, now: f64, answer: Answer) -> Vec<ClientEffect> {
        let mut effects = Vec::new();
        match answer {
            Answer::Opened(drawn, session) if drawn == self.drawn && self.session.is_none() => {
                self.session = session;
            }
            Answer::Written(session, number, outcome) if Some(session) == self.session => {
                match outcome {
                    Outcome::Done(bytes) => {
                        if self.open.remove(&number).is_some() {
                            effects.push(ClientEffect::Ended(number, Ended::Done(bytes)));
                        }
                    }
                    Outcome::Expired => {
                        self.session = None;
                        self.asked = f64::NEG_INFINITY;
                        // What was sent once and refused was not carried out: it goes into the next session. Of what was sent more
                        // often, or has no answer yet, an earlier word may have been heeded.
                        let over = |(other, open): (&u64, &Open)| {
                            (open.times > 1 || (open.times == 1 && *other != number))
                                .then_some(*other)
                        };
                        let unknown: Vec<u64> = self.open.iter().filter_map(over).collect();
                        for number in unknown {
                            self.open.remove(&number);
                            effects.push(ClientEffect::Ended(number, Ended::Unknown));
                        }
                        self.open
                            .values_mut()
                            .for_each(|open| (open.sent, open.times) = (f64::NEG_INFINITY, 0));
                    }
                    // Too many are open, or it was answered long ago and the answer was lost with it.
                    Outcome::Refused => {
                        if self.open.remove(&number).is_some() {
                            effects.push(ClientEffect::Ended(number, Ended::Unknown));
                        }
                    }
                }
            }
            Answer::Elsewhere(Some(leader)) => {
                // Each of many writes brings such an answer, and two keepers may each take the other for the leader: only now and
                // then one is followed, or all that is open would go to and fro without end.
                let soon = now - self.moved < self.patience / 3.0;
                if !self.keepers.contains(&leader) && self.keepers.len() < MOST_KEEPERS {
                    // The group has changed since it was told of it.
                    self.keepers.push(leader.clone());
                }
                let place = self
                    .keepers
                    .iter()
                    .position(|keeper| *keeper == leader)
                    .filter(|_| !soon);
                if let Some(place) =
                    place.filter(|place| *place != self.asks % self.keepers.len().max(1))
                {
                    self.moved = now;
                    // What went to another is sent to the leader at once; it counts as sent again, which only makes an end
                    // in doubt more likely, and never a wrong one.
                    self.asks = place;
                    self.asked = f64::NEG_INFINITY;
                    self.open
                        .values_mut()
                        .for_each(|open| open.sent = f64::NEG_INFINITY);
                }
            }
            Answer::Opened(..) | Answer::Written(..) | Answer::Elsewhere(None) | Answer::Busy => {}
        }
        effects.extend(self.tick(now));
        effects
    }
}
