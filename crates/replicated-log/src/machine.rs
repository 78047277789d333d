//! The state machine over the log: the users' part, and round it the sessions and the record's time.

use crate::entry::{Command, Config, Entry, Office};
use crate::fault::Fault;
use crate::wire::Outcome;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What is kept in a record. It must come to the same for the same writes, wherever it runs.
pub trait Machine: Default {
    /// Carries out a write at the record's time, ms, and answers it.
    fn apply(&mut self, now: u64, command: &[u8]) -> Vec<u8>;
    /// The record's time has moved on.
    fn passed(&mut self, now: u64);
    /// All of it, as bytes.
    fn write(&self) -> Vec<u8>;
    /// From such bytes, if they are sound.
    fn read(bytes: &[u8]) -> Option<Self>;
}

/// Sessions that are open at most: more than front doors.
const SESSIONS: usize = 4096;
/// Answers that a session keeps at most; writes beyond are refused until the client says which it has.
pub(crate) const WINDOW: u64 = 256;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Session {
    /// When its client was last heard, in the record's time.
    heard: u64,
    /// The client has the answers to all below this.
    below: u64,
    answers: BTreeMap<u64, Vec<u8>>,
}

/// Everything but the users' part.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Frame {
    now: u64,
    office: Office,
    next_session: u64,
    sessions: BTreeMap<u64, Session>,
    /// How long a session outlives its client's last word, ms.
    session_ms: u64,
    config: Option<Config>,
}

/// A keeper's copy of all that the log comes to.
#[derive(Clone, Debug, Default)]
pub struct Replica<M> {
    frame: Frame,
    /// The users' part.
    pub machine: M,
}

/// What carrying out an entry came to, for whoever waits for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Done {
    /// A session was opened for the client that drew this number; none if there is no room.
    Opened(u64, Option<u64>),
    /// A write of a session, by number, came to this.
    Written(u64, u64, Outcome),
    /// A leader took office.
    Office(Office),
    /// Nothing to tell.
    Nothing,
}

impl<M: Machine> Replica<M> {
    /// The copy at a record's beginning.
    pub fn new(session_ms: u64) -> Replica<M> {
        Replica {
            frame: Frame {
                next_session: 1,
                session_ms,
                ..Frame::default()
            },
            machine: M::default(),
        }
    }

    /// The record's time, ms: the sum of what leaders measured in office, so it never runs ahead of any steady clock by more
    /// than that leader's own drift.
    pub fn now(&self) -> u64 {
        self.frame.now
    }

    /// Who leads, as the log has it.
    pub fn office(&self) -> Office {
        self.frame.office
    }

    /// Sessions that are open.
    pub fn sessions(&self) -> usize {
        self.frame.sessions.len()
    }

    /// What a write has come to, if it is known here: final wherever it is known.
    pub fn known(&self, session: u64, number: u64) -> Option<Outcome> {
        let Some(open) = self.frame.sessions.get(&session) else {
            // Numbers only grow: one below the next was given once and is over.
            let over = session != 0 && session < self.frame.next_session;
            return (over && !Fault::LateWrites.is_in()).then_some(Outcome::Expired);
        };
        open.answers
            .get(&number)
            .map(|answer| Outcome::Done(answer.clone()))
    }

    /// Carries out one entry.
    pub fn apply(&mut self, entry: &Entry) -> Done {
        match entry {
            Entry::Open(drawn) => Done::Opened(*drawn, self.open()),
            Entry::Write(command) => {
                Done::Written(command.session, command.number, self.carry_out(command))
            }
            Entry::Office(office) => {
                self.frame.office = *office;
                Done::Office(*office)
            }
            Entry::Passed(office, ms) => {
                // Time that somebody measured who is not in office any more lies in another's as well: it would count twice.
                if *office == self.frame.office {
                    self.pass(*ms);
                }
                Done::Nothing
            }
        }
    }

    fn open(&mut self) -> Option<u64> {
        if self.frame.sessions.len() >= SESSIONS {
            return None;
        }
        let number = self.frame.next_session;
        self.frame.next_session += 1;
        self.frame.sessions.insert(
            number,
            Session {
                heard: self.frame.now,
                ..Session::default()
            },
        );
        Some(number)
    }

    fn carry_out(&mut self, command: &Command) -> Outcome {
        let now = self.frame.now;
        if Fault::LateWrites.is_in() {
            self.frame.sessions.entry(command.session).or_default();
        }
        let Some(session) = self.frame.sessions.get_mut(&command.session) else {
            return Outcome::Expired;
        };
        session.heard = now;
        session.below = session.below.max(command.below);
        session.answers = session.answers.split_off(&session.below);
        if let Some(answer) = session
            .answers
            .get(&command.number)
            .filter(|_| !Fault::NoSessions.is_in())
        {
            return Outcome::Done(answer.clone());
        }
        if command.number < session.below || command.number >= session.below + WINDOW {
            return Outcome::Refused;
        }
        let answer = self.machine.apply(now, &command.bytes);
        session.answers.insert(command.number, answer.clone());
        Outcome::Done(answer)
    }

    fn pass(&mut self, ms: u64) {
        self.frame.now = self.frame.now.saturating_add(ms);
        let (now, after) = (self.frame.now, self.frame.session_ms);
        self.frame
            .sessions
            .retain(|_, session| session.heard.saturating_add(after) > now);
        self.machine.passed(now);
    }

    /// All of it, as bytes.
    pub fn write(&self) -> Vec<u8> {
        if Fault::StateWithoutSessions.is_in() {
            let mut frame = self.frame.clone();
            frame
                .sessions
                .values_mut()
                .for_each(|session| session.answers.clear());
            return postcard::to_stdvec(&(&frame, self.machine.write())).unwrap_or_default();
        }
        // A vector takes any bytes.
        postcard::to_stdvec(&(&self.frame, self.machine.write())).unwrap_or_default()
    }

    /// From such bytes, if they are sound.
    pub fn read(bytes: &[u8]) -> Option<Replica<M>> {
        let (frame, rest): (Frame, Vec<u8>) = postcard::from_bytes(bytes).ok()?;
        Some(Replica {
            frame,
            machine: M::read(&rest)?,
        })
    }
}
