//! Bootstrap of a new log, and the entry of a replica into a configuration as a voter.

use super::{Phase, Replica};
use crate::fault::Fault;
use crate::identity::{Configuration, Position, ReplicaId};
use crate::log::{Checkpoint, LogRecord};
use crate::message::PeerMessage;
use crate::state_machine::StateMachine;
use crate::transfer::Snapshot;
use omnipaxos::ServerConfig;
use rand::RngExt;

impl<M: StateMachine> Replica<M> {
    pub(super) fn announce_uninitialized(&mut self) {
        let founders = self.founders.clone();
        for name in &founders {
            if *name == self.id.name {
                continue;
            }
            // Messages are addressed by name only: the incarnation that currently runs under the
            // name receives them.
            let to = ReplicaId {
                name: name.clone(),
                incarnation: 0,
            };
            let message = PeerMessage::Uninitialized {
                founders: founders.clone(),
            };
            self.send(&to, message);
        }
    }

    /// Handles the announcement of a peer whose store is empty. A log is bootstrapped only if all
    /// founders are known to be empty. It is never bootstrapped again for a replica that lost its
    /// store.
    pub(super) fn handle_uninitialized(&mut self, sender: &ReplicaId, founders: &[String]) {
        match (&self.phase, &self.configuration) {
            (Phase::Empty, _) => {
                if founders == self.founders {
                    self.bootstrap_if_ready();
                }
            }
            (_, Some(own)) if own.number == 1 && own.has_voter(sender) => {
                let bootstrap = PeerMessage::Bootstrap(own.clone());
                self.send(sender, bootstrap);
            }
            _ => self.send_position(sender),
        }
    }

    /// Bootstraps a log once all founders are known to be empty, if this replica's name sorts first
    /// among them.
    fn bootstrap_if_ready(&mut self) {
        let voters = self.uninitialized_founders();
        let is_first = voters.first() == Some(&self.id);
        if voters.len() == self.founders.len() && voters.len() > 1 && is_first {
            self.log_id = self.rng.random_range(1..=u64::MAX);
            self.enter_configuration(Configuration { number: 1, voters }, 0);
        }
    }

    /// The founders that are known to be empty, including this replica, sorted by name.
    fn uninitialized_founders(&self) -> Vec<ReplicaId> {
        // A peer whose last message was of another kind already has a log or knows of one.
        let accepts_all = Fault::BootstrapWithNonEmpty.is_enabled();
        let mut peers: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_uninitialized || accepts_all)
            .filter(|(id, _)| self.founders.contains(&id.name))
            .collect();
        // Of several incarnations under one name, only the one with the latest message is still
        // running.
        peers.sort_by(|a, b| b.1.last_received.total_cmp(&a.1.last_received));
        let mut founders = vec![self.id.clone()];
        for (id, _) in peers {
            if founders.iter().all(|founder| founder.name != id.name) {
                founders.push(id.clone());
            }
        }
        founders.sort();
        founders
    }

    /// Handles the first configuration of a log that the founders have bootstrapped. The sender is
    /// another founder.
    pub(super) fn handle_bootstrap(&mut self, log_id: u64, configuration: Configuration) {
        let is_founder = configuration.number == 1 && configuration.has_voter(&self.id);
        if matches!(self.phase, Phase::Empty) && is_founder && log_id != 0 {
            self.log_id = log_id;
            self.enter_configuration(configuration, 0);
        }
    }

    /// Becomes a voter of a configuration in which this replica has never voted. Its state contains
    /// all entries before `index`.
    pub(super) fn enter_configuration(&mut self, configuration: Configuration, index: u64) {
        let position = Position {
            configuration: configuration.number,
            index,
        };
        let state = self.state.snapshot();
        let checkpoint = LogRecord::Checkpoint(Checkpoint {
            log_id: self.log_id,
            configuration: configuration.clone(),
            position,
            state: state.clone(),
        });
        {
            let mut log = self.log.borrow_mut();
            // The checkpoint supersedes the records of the previous configuration.
            log.replay(checkpoint.clone());
            log.unwritten = vec![checkpoint, LogRecord::Started(self.start_count)];
            if index > 0 {
                log.mark_as_fetched();
            }
        }
        self.snapshot = Some(Snapshot::new(position, configuration.clone(), state));
        self.applied = index;
        self.configuration = Some(configuration);
        self.recovery_queries.clear();
        self.writes.decided_when_durable = 0;
        self.start_voting();
    }

    /// Starts to vote with the log in its current state.
    pub(super) fn start_voting(&mut self) {
        let Some(configuration) = &self.configuration else {
            return;
        };
        let Some(voter_id) = configuration.voter_id(&self.id) else {
            return;
        };
        let server = ServerConfig {
            pid: voter_id,
            election_tick_timeout: self.settings.timing.election_ticks,
            resend_message_tick_timeout: self.settings.timing.resend_ticks,
            ..ServerConfig::default()
        };
        self.led_term = None;
        // The consensus library rejects only a configuration of a single voter, which is never
        // created.
        let cluster = configuration.to_cluster();
        if let Ok(paxos) = cluster.build_for_server(server, self.log.clone()) {
            self.phase = Phase::Voter(Box::new(paxos));
        }
    }
}
