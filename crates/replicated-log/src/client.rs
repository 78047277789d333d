//! A client of the log: numbers its writes, retries them until they are answered, and reports the
//! result of each.

use crate::entry::Command;
use crate::message::{Outcome, Request, Response};
use crate::replicated_state::SESSION_WINDOW;
use crate::settings::Millis;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// Replicas that a client remembers at most.
const MAX_REPLICAS: usize = 1_024;

/// The result of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// It is acknowledged; this is the state machine's answer.
    Acknowledged(Vec<u8>),
    /// It may have been applied, and will not be from here on.
    Unknown,
}

/// What the caller has to do for a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientEffect {
    /// Send a request.
    Send {
        /// The name of the replica.
        replica: String,
        /// The request.
        request: Request,
    },
    /// A write has ended.
    Ended {
        /// Its number, as [`Client::write`] returned it.
        sequence: u64,
        /// Its result.
        result: WriteResult,
    },
}

/// A write that has been accepted by [`Client::write`].
#[derive(Debug)]
pub struct StartedWrite {
    /// The client's number for it.
    pub sequence: u64,
    /// What has to be done.
    pub effects: Vec<ClientEffect>,
}

struct PendingWrite {
    payload: Vec<u8>,
    /// When it was last sent; negative infinity if it is due at once.
    last_sent: Millis,
    /// How often it was sent in this session.
    attempts: u32,
}

/// A client. It has one session at a time, and opens another when that one expires.
pub struct Client {
    replicas: Vec<String>,
    /// Counts up to the replica that is asked now, modulo the number of replicas.
    target: usize,
    /// A request without a response for this long is sent to another replica.
    response_timeout: Millis,
    session: Option<u64>,
    session_nonce: u64,
    /// When it last asked for a session; negative infinity if it may ask at once.
    session_requested: Millis,
    /// When it last followed a response that named another leader.
    last_redirect: Millis,
    next_sequence: u64,
    pending: BTreeMap<u64, PendingWrite>,
    rng: StdRng,
}

impl Client {
    /// A client of the replicas of these names. `seed` determines its random choices.
    pub fn new(replicas: Vec<String>, response_timeout: Millis, seed: u64) -> Client {
        let mut rng = StdRng::seed_from_u64(seed);
        let target = rng.random_range(0..replicas.len().max(1));
        Client {
            replicas,
            target,
            response_timeout,
            session: None,
            session_nonce: 0,
            session_requested: f64::NEG_INFINITY,
            last_redirect: f64::NEG_INFINITY,
            next_sequence: 1,
            pending: BTreeMap::new(),
            rng,
        }
    }

    /// The number of writes that have not ended.
    pub fn pending_writes(&self) -> usize {
        self.pending.len()
    }

    /// Starts a write at `now`; `None` if as many are pending as a session takes.
    pub fn write(&mut self, now: Millis, payload: Vec<u8>) -> Option<StartedWrite> {
        let span = self.next_sequence - self.answered_below();
        if self.pending.len() as u64 >= SESSION_WINDOW / 2 || span >= SESSION_WINDOW {
            return None;
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.pending.insert(
            sequence,
            PendingWrite {
                payload,
                last_sent: f64::NEG_INFINITY,
                attempts: 0,
            },
        );
        Some(StartedWrite {
            sequence,
            effects: self.tick(now),
        })
    }

    /// Abandons a write: its result stays unknown.
    pub fn abandon(&mut self, sequence: u64) {
        self.pending.remove(&sequence);
    }

    /// Replaces the names of the replicas.
    pub fn set_replicas(&mut self, replicas: Vec<String>) {
        if replicas != self.replicas {
            self.replicas = replicas;
            self.target = 0;
        }
    }

    fn answered_below(&self) -> u64 {
        self.pending
            .first_key_value()
            .map_or(self.next_sequence, |(sequence, _)| *sequence)
    }

    /// Sends what is due at `now`.
    pub fn tick(&mut self, now: Millis) -> Vec<ClientEffect> {
        if self.replicas.is_empty() || self.pending.is_empty() {
            return Vec::new();
        }
        match self.session {
            None => self.request_session(now).into_iter().collect(),
            Some(session) => self.send_due_writes(now, session),
        }
    }

    fn request_session(&mut self, now: Millis) -> Option<ClientEffect> {
        if now - self.session_requested < self.response_timeout {
            return None;
        }
        if self.session_requested.is_finite() {
            self.target += 1;
        }
        // Each request has a nonce of its own: a late response to an earlier one opens a session
        // that nobody uses, and that expires.
        self.session_nonce = self.rng.random_range(1..=u64::MAX);
        self.session_requested = now;
        Some(ClientEffect::Send {
            replica: self.target_name(),
            request: Request::OpenSession {
                nonce: self.session_nonce,
            },
        })
    }

    fn send_due_writes(&mut self, now: Millis, session: u64) -> Vec<ClientEffect> {
        let response_timeout = self.response_timeout;
        let is_due = |write: &PendingWrite| now - write.last_sent >= response_timeout;
        let has_timed_out = |write: &PendingWrite| write.last_sent.is_finite() && is_due(write);
        if self.pending.values().any(has_timed_out) {
            self.target += 1;
        }
        let replica = self.target_name();
        let answered_below = self.answered_below();
        let mut effects = Vec::new();
        for (sequence, write) in &mut self.pending {
            if !is_due(write) {
                continue;
            }
            write.last_sent = now;
            write.attempts += 1;
            effects.push(ClientEffect::Send {
                replica: replica.clone(),
                request: Request::Write(Command {
                    session,
                    sequence: *sequence,
                    answered_below,
                    payload: write.payload.clone(),
                }),
            });
        }
        effects
    }

    /// When [`Client::tick`] is to be called next; `None` while nothing is pending.
    pub fn next_tick(&self) -> Option<Millis> {
        if self.session.is_none() {
            let due = self.session_requested + self.response_timeout;
            return (!self.pending.is_empty()).then_some(due);
        }
        self.pending
            .values()
            .map(|write| write.last_sent + self.response_timeout)
            .min_by(f64::total_cmp)
    }

    fn target_name(&self) -> String {
        self.replicas[self.target % self.replicas.len()].clone()
    }

    /// Handles a response that arrived at `now`.
    pub fn receive(&mut self, now: Millis, response: Response) -> Vec<ClientEffect> {
        let mut effects = Vec::new();
        match response {
            Response::SessionOpened { nonce, session } => {
                if nonce == self.session_nonce && self.session.is_none() {
                    self.session = session;
                }
            }
            Response::Written {
                session,
                sequence,
                outcome,
            } => {
                if Some(session) == self.session {
                    self.handle_outcome(sequence, outcome, &mut effects);
                }
            }
            Response::NotLeader {
                leader: Some(leader),
            } => self.follow_redirect(now, leader),
            Response::NotLeader { leader: None } | Response::Busy => {}
        }
        effects.extend(self.tick(now));
        effects
    }

    fn handle_outcome(&mut self, sequence: u64, outcome: Outcome, effects: &mut Vec<ClientEffect>) {
        match outcome {
            Outcome::Applied(answer) => {
                self.end(sequence, WriteResult::Acknowledged(answer), effects);
            }
            Outcome::SessionExpired => self.leave_session(sequence, effects),
            // Too many are open, or it was answered long ago and the answer was discarded.
            Outcome::Rejected => self.end(sequence, WriteResult::Unknown, effects),
        }
    }

    fn end(&mut self, sequence: u64, result: WriteResult, effects: &mut Vec<ClientEffect>) {
        if self.pending.remove(&sequence).is_some() {
            effects.push(ClientEffect::Ended { sequence, result });
        }
    }

    /// The session has expired, as the response to the write `answered` reports.
    fn leave_session(&mut self, answered: u64, effects: &mut Vec<ClientEffect>) {
        self.session = None;
        self.session_requested = f64::NEG_INFINITY;
        // A write that was sent once, and reported as expired, was not applied: it goes into the
        // next session. Of one that was sent more often, or has no response yet, an earlier attempt
        // may have been applied.
        let may_be_applied = |sequence: u64, write: &PendingWrite| {
            write.attempts > 1 || (write.attempts == 1 && sequence != answered)
        };
        let unknown: Vec<u64> = self
            .pending
            .iter()
            .filter(|(sequence, write)| may_be_applied(**sequence, write))
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in unknown {
            self.end(sequence, WriteResult::Unknown, effects);
        }
        for write in self.pending.values_mut() {
            write.last_sent = f64::NEG_INFINITY;
            write.attempts = 0;
        }
    }

    fn follow_redirect(&mut self, now: Millis, leader: String) {
        // Each of many writes brings such a response, and two replicas may each take the other for
        // the leader: only one is followed in a while, or all pending writes would go to and fro
        // without end.
        let is_too_soon = now - self.last_redirect < self.response_timeout / 3.0;
        if !self.replicas.contains(&leader) && self.replicas.len() < MAX_REPLICAS {
            // The group has changed since this client learned of it.
            self.replicas.push(leader.clone());
        }
        let Some(place) = self.replicas.iter().position(|name| *name == leader) else {
            return;
        };
        if is_too_soon || place == self.target % self.replicas.len() {
            return;
        }
        self.last_redirect = now;
        // What went to another replica is sent to the leader at once. It counts as sent again,
        // which can only make a result unknown, and never wrong.
        self.target = place;
        self.session_requested = f64::NEG_INFINITY;
        for write in self.pending.values_mut() {
            write.last_sent = f64::NEG_INFINITY;
        }
    }
}
