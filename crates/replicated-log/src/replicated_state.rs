//! The state that every replica derives from the log: the users' state machine, the client sessions
//! and the log's time.

use crate::entry::{Command, Entry};
use crate::fault::Fault;
use crate::identity::{Configuration, LeaderTerm};
use crate::message::Outcome;
use crate::state_machine::{RestoreError, StateMachine};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of open sessions; larger than the number of gateways.
const MAX_SESSIONS: usize = 4096;
/// Maximum number of answers that a session keeps. Writes beyond this window are rejected until the
/// client reports which answers it has received.
pub(crate) const SESSION_WINDOW: u64 = 256;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Session {
    /// The log's time of the client's last write, in milliseconds.
    last_active_ms: u64,
    /// The client has received the answers to all writes below this sequence number.
    answered_below: u64,
    answers: BTreeMap<u64, Vec<u8>>,
}

/// The part of the state that does not belong to the users' state machine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct SystemState {
    now_ms: u64,
    leader_term: LeaderTerm,
    next_session: u64,
    sessions: BTreeMap<u64, Session>,
    session_timeout_ms: u64,
    /// Unused and always `None`; reserves its field in the encoding of a snapshot.
    configuration: Option<Configuration>,
}

/// The encoded form of a snapshot.
#[derive(Serialize, Deserialize)]
struct EncodedState<S> {
    system: S,
    state_machine: Vec<u8>,
}

/// A replica's copy of the state that results from applying the log.
#[derive(Clone, Debug, Default)]
pub struct ReplicatedState<M> {
    system: SystemState,
    /// The users' state machine.
    pub state_machine: M,
}

/// The result of applying an entry, for the clients that wait for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// A session was requested.
    SessionOpened {
        /// The nonce of the client's request.
        nonce: u64,
        /// The number of the new session; `None` if too many sessions are open.
        session: Option<u64>,
    },
    /// A write was applied, rejected, or found to belong to an expired session.
    Written {
        /// The session of the write.
        session: u64,
        /// The write's sequence number.
        sequence: u64,
        /// The outcome that the client is sent.
        outcome: Outcome,
    },
    /// A leader began its term.
    LeaderElected(LeaderTerm),
    /// No client waits for this entry.
    Nothing,
}

impl<M: StateMachine> ReplicatedState<M> {
    /// The state of an empty log. A session expires `session_timeout_ms` milliseconds of the log's
    /// time after its client's last write.
    pub fn new(session_timeout_ms: u64) -> ReplicatedState<M> {
        ReplicatedState {
            system: SystemState {
                next_session: 1,
                session_timeout_ms,
                ..SystemState::default()
            },
            state_machine: M::default(),
        }
    }

    /// The log's time in milliseconds: the sum of the time that leaders measured during their
    /// terms. It never runs ahead of a monotonic clock by more than the drift of those leaders'
    /// clocks.
    pub fn now_ms(&self) -> u64 {
        self.system.now_ms
    }

    /// The latest leader term in the log.
    pub fn leader_term(&self) -> LeaderTerm {
        self.system.leader_term
    }

    /// The number of open sessions.
    pub fn session_count(&self) -> usize {
        self.system.sessions.len()
    }

    /// The outcome of a write, if this copy of the state knows it. An outcome that any replica
    /// knows is final.
    pub fn outcome_of(&self, session: u64, sequence: u64) -> Option<Outcome> {
        let Some(open) = self.system.sessions.get(&session) else {
            // Session numbers only increase: a number below the next one was assigned before, so
            // its session has expired.
            let has_expired = session != 0 && session < self.system.next_session;
            let is_known = has_expired && !Fault::WriteAfterExpiry.is_enabled();
            return is_known.then_some(Outcome::SessionExpired);
        };
        let answer = open.answers.get(&sequence)?;
        Some(Outcome::Applied(answer.clone()))
    }

    /// Applies one entry.
    pub fn apply(&mut self, entry: &Entry) -> Applied {
        match entry {
            Entry::OpenSession { nonce } => Applied::SessionOpened {
                nonce: *nonce,
                session: self.open_session(),
            },
            Entry::Write(command) => Applied::Written {
                session: command.session,
                sequence: command.sequence,
                outcome: self.write(command),
            },
            Entry::LeaderElected(term) => {
                self.system.leader_term = *term;
                Applied::LeaderElected(*term)
            }
            Entry::AdvanceTime { term, elapsed_ms } => {
                // Time that a former leader measured overlaps the term of its successor and would
                // be counted twice.
                if *term == self.system.leader_term {
                    self.advance_time(*elapsed_ms);
                }
                Applied::Nothing
            }
        }
    }

    fn open_session(&mut self) -> Option<u64> {
        if self.system.sessions.len() >= MAX_SESSIONS {
            return None;
        }
        let number = self.system.next_session;
        self.system.next_session += 1;
        let session = Session {
            last_active_ms: self.system.now_ms,
            ..Session::default()
        };
        self.system.sessions.insert(number, session);
        Some(number)
    }

    fn write(&mut self, command: &Command) -> Outcome {
        let now_ms = self.system.now_ms;
        if Fault::WriteAfterExpiry.is_enabled() {
            self.system.sessions.entry(command.session).or_default();
        }
        let Some(session) = self.system.sessions.get_mut(&command.session) else {
            return Outcome::SessionExpired;
        };
        session.last_active_ms = now_ms;
        session.answered_below = session.answered_below.max(command.answered_below);
        session.answers = session.answers.split_off(&session.answered_below);
        let earlier_answer = session.answers.get(&command.sequence);
        if let Some(answer) = earlier_answer.filter(|_| !Fault::NoDeduplication.is_enabled()) {
            return Outcome::Applied(answer.clone());
        }
        let window = session.answered_below..session.answered_below + SESSION_WINDOW;
        if !window.contains(&command.sequence) {
            return Outcome::Rejected;
        }
        let answer = self.state_machine.apply(now_ms, &command.payload);
        session.answers.insert(command.sequence, answer.clone());
        Outcome::Applied(answer)
    }

    fn advance_time(&mut self, elapsed_ms: u64) {
        let now_ms = self.system.now_ms.saturating_add(elapsed_ms);
        let timeout_ms = self.system.session_timeout_ms;
        self.system.now_ms = now_ms;
        self.system
            .sessions
            .retain(|_, session| session.last_active_ms.saturating_add(timeout_ms) > now_ms);
        self.state_machine.advance_time(now_ms);
    }

    /// Encodes the whole state as a snapshot.
    pub fn snapshot(&self) -> Vec<u8> {
        if Fault::SnapshotWithoutSessions.is_enabled() {
            let mut system = self.system.clone();
            for session in system.sessions.values_mut() {
                session.answers.clear();
            }
            return self.encode_with(&system);
        }
        self.encode_with(&self.system)
    }

    fn encode_with(&self, system: &SystemState) -> Vec<u8> {
        let encoded = EncodedState {
            system,
            state_machine: self.state_machine.snapshot(),
        };
        // Encoding plain values into a vector cannot fail.
        postcard::to_stdvec(&encoded).unwrap_or_default()
    }

    /// Decodes the state from a snapshot.
    ///
    /// # Errors
    ///
    /// Returns a [`RestoreError`] if the bytes are not a snapshot, or if the state machine rejects
    /// its part of it.
    pub fn restore(bytes: &[u8]) -> Result<ReplicatedState<M>, RestoreError> {
        let encoded: EncodedState<SystemState> = postcard::from_bytes(bytes)?;
        Ok(ReplicatedState {
            system: encoded.system,
            state_machine: M::restore(&encoded.state_machine)?,
        })
    }
}
