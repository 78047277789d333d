//! Handling of client requests.

use super::{Effect, Phase, Replica};
use crate::entry::Entry;
use crate::message::{Request, Response};
use crate::settings::Millis;
use crate::state_machine::StateMachine;

/// Identifies a request for which clients wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RequestKey {
    session: u64,
    sequence: u64,
}

impl RequestKey {
    pub(super) fn write(session: u64, sequence: u64) -> RequestKey {
        RequestKey { session, sequence }
    }

    /// The key of a request for a session. Session numbers start at one, so the key uses session
    /// zero.
    pub(super) fn open_session(nonce: u64) -> RequestKey {
        RequestKey {
            session: 0,
            sequence: nonce,
        }
    }
}

impl<M: StateMachine> Replica<M> {
    /// Handles a client's request that arrived at `now`.
    pub fn request(&mut self, now: Millis, client: &str, request: Request) -> Vec<Effect> {
        let mut effects = Vec::new();
        if let Some(response) = self.accept_request(client, request) {
            self.respond(client.to_owned(), response);
        }
        self.process_ready(now, &mut effects);
        effects
    }

    /// Proposes a request to the log, or returns an immediate response to it.
    fn accept_request(&mut self, client: &str, request: Request) -> Option<Response> {
        if let Some(response) = self.cached_response(&request) {
            return Some(response);
        }
        let not_leader = Response::NotLeader {
            leader: self.leader().map(str::to_owned),
        };
        let is_leader = self.is_leader();
        let is_busy = self.is_busy();
        let Phase::Voter(paxos) = &mut self.phase else {
            return Some(not_leader);
        };
        if !is_leader || paxos.is_reconfigured().is_some() {
            return Some(not_leader);
        }
        if is_busy {
            return Some(Response::Busy);
        }
        let (key, entry) = match request {
            Request::OpenSession { nonce } => (
                RequestKey::open_session(nonce),
                Entry::OpenSession { nonce },
            ),
            Request::Write(command) => (
                RequestKey::write(command.session, command.sequence),
                Entry::Write(command),
            ),
        };
        // The library rejects entries only during a reconfiguration. The client retries, and the
        // next leader accepts the request.
        if paxos.append(entry).is_err() {
            return Some(not_leader);
        }
        let clients = self.waiting_clients.entry(key).or_default();
        if !clients.iter().any(|name| name == client) {
            clients.push(client.to_owned());
        }
        None
    }

    /// The response to a write whose outcome is already known from the state.
    fn cached_response(&self, request: &Request) -> Option<Response> {
        let Request::Write(command) = request else {
            return None;
        };
        let outcome = self.state.outcome_of(command.session, command.sequence)?;
        Some(Response::Written {
            session: command.session,
            sequence: command.sequence,
            outcome,
        })
    }

    /// Whether the number of undecided entries or of waiting requests has reached its limit.
    fn is_busy(&self) -> bool {
        let limit = self.settings.limits.undecided_entries;
        self.undecided_entries() >= limit || self.waiting_clients.len() as u64 >= 2 * limit
    }

    pub(super) fn undecided_entries(&self) -> u64 {
        let log = self.log.borrow();
        log.accepted_index().saturating_sub(log.decided)
    }
}
