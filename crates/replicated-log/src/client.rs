//! A client of the log: assigns sequence numbers to its writes, retries them until they are
//! answered, and reports the result of each.

use crate::entry::Command;
use crate::message::{Outcome, Request, Response};
use crate::replicated_state::SESSION_WINDOW;
use crate::settings::Millis;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// Maximum number of replica names that a client keeps.
const MAX_REPLICAS: usize = 1_024;

/// The result of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The write was applied, with the state machine's answer.
    Acknowledged(Vec<u8>),
    /// The write may have been applied. If it was not applied by now, it never will be.
    Unknown,
}

/// An action that the caller has to execute for a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientEffect {
    /// Send a request to a replica.
    Send {
        /// The name of the receiving replica.
        replica: String,
        /// The request to send.
        request: Request,
    },
    /// Report the result of a write, which is now complete.
    Completed {
        /// The write's sequence number, as [`Client::write`] returned it.
        sequence: u64,
        /// Whether the write was acknowledged.
        result: WriteResult,
    },
}

/// A write that has been accepted by [`Client::write`].
#[derive(Debug)]
pub struct StartedWrite {
    /// The sequence number that the client assigned to the write.
    pub sequence: u64,
    /// The effects to execute.
    pub effects: Vec<ClientEffect>,
}

struct PendingWrite {
    payload: Vec<u8>,
    /// When the write was last sent; negative infinity if it is due at once.
    last_sent: Millis,
    /// How often the write was sent in this session.
    attempts: u32,
}

/// A client of the log. It has one session at a time, and opens a new one when that session
/// expires.
pub struct Client {
    replicas: Vec<String>,
    /// Index, modulo the number of replicas, of the replica that currently gets the requests.
    target: usize,
    /// A request without a response for this long is sent to another replica.
    response_timeout: Millis,
    session: Option<u64>,
    session_nonce: u64,
    /// When a session was last requested; negative infinity if a request may be sent at once.
    session_requested: Millis,
    /// When the client last followed a `NotLeader` response to another replica.
    last_redirect: Millis,
    next_sequence: u64,
    pending: BTreeMap<u64, PendingWrite>,
    rng: StdRng,
}

impl Client {
    /// Creates a client of the replicas with these names. `seed` determines its random choices.
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

    /// The number of writes whose result is not yet known.
    pub fn pending_writes(&self) -> usize {
        self.pending.len()
    }

    /// Starts a write at `now`. Returns `None` if the client already has as many writes pending as
    /// the session allows.
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

    /// Abandons a write, whose result then stays unknown.
    pub fn abandon(&mut self, sequence: u64) {
        self.pending.remove(&sequence);
    }

    /// Replaces the list of replica names.
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

    /// Sends or retries all requests that are due at `now`.
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
        // Each request has its own nonce. A late response to an earlier request opens a session
        // that remains unused and expires.
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

    /// The time at which the caller calls [`Client::tick`] next; `None` while no write is pending.
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
                self.complete_write(sequence, WriteResult::Acknowledged(answer), effects);
            }
            Outcome::SessionExpired => self.handle_session_expired(sequence, effects),
            // The session has too many writes in flight, or the answer to this write was already
            // discarded.
            Outcome::Rejected => self.complete_write(sequence, WriteResult::Unknown, effects),
        }
    }

    fn complete_write(
        &mut self,
        sequence: u64,
        result: WriteResult,
        effects: &mut Vec<ClientEffect>,
    ) {
        if self.pending.remove(&sequence).is_some() {
            effects.push(ClientEffect::Completed { sequence, result });
        }
    }

    /// Handles the expiry of the session, which the response to the write `answered` reported.
    fn handle_session_expired(&mut self, answered: u64, effects: &mut Vec<ClientEffect>) {
        self.session = None;
        self.session_requested = f64::NEG_INFINITY;
        // A write that was sent once and reported as expired was not applied, so it is sent again
        // in the next session. An earlier attempt may have been applied if the write was sent more
        // than once, or if it has no response yet.
        let may_have_been_applied = |sequence: u64, write: &PendingWrite| {
            write.attempts > 1 || (write.attempts == 1 && sequence != answered)
        };
        let unknown: Vec<u64> = self
            .pending
            .iter()
            .filter(|(sequence, write)| may_have_been_applied(**sequence, write))
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in unknown {
            self.complete_write(sequence, WriteResult::Unknown, effects);
        }
        for write in self.pending.values_mut() {
            write.last_sent = f64::NEG_INFINITY;
            write.attempts = 0;
        }
    }

    fn follow_redirect(&mut self, now: Millis, leader: String) {
        // Each pending write may cause such a response, and two replicas may each name the other as
        // leader. Redirects are therefore rate-limited; otherwise all pending writes would bounce
        // between the two replicas endlessly.
        let is_too_soon = now - self.last_redirect < self.response_timeout / 3.0;
        if !self.replicas.contains(&leader) && self.replicas.len() < MAX_REPLICAS {
            // The group has changed since the client got its list of replicas.
            self.replicas.push(leader.clone());
        }
        let Some(index) = self.replicas.iter().position(|name| *name == leader) else {
            return;
        };
        if is_too_soon || index == self.target % self.replicas.len() {
            return;
        }
        self.last_redirect = now;
        // Requests that were sent to another replica are sent to the leader at once. Each counts as
        // a further attempt, which can only make a result unknown, and never wrong.
        self.target = index;
        self.session_requested = f64::NEG_INFINITY;
        for write in self.pending.values_mut() {
            write.last_sent = f64::NEG_INFINITY;
        }
    }
}
