//! A leader's duties beyond consensus: it appends the entry that begins its term, advances the
//! log's time, and replaces lost voters.

use super::peers::Peer;
use super::{Phase, Replica};
use crate::entry::Entry;
use crate::identity::{Configuration, LeaderTerm, Position, ReplicaId};
use crate::settings::Millis;
use crate::state_machine::StateMachine;

/// A lost voter and the standby that takes over its vote.
struct Replacement<'a> {
    lost: &'a ReplicaId,
    successor: &'a ReplicaId,
}

impl<M: StateMachine> Replica<M> {
    pub(super) fn tick_leader(&mut self, now: Millis) {
        if !self.is_leader() {
            self.led_term = None;
            return;
        }
        self.append_own_entries(now);
        if self.is_new_heartbeat_round() {
            self.replace_lost_voter(now);
        }
    }

    /// Appends the `LeaderElected` entry of the term, and the entries that advance the log's time.
    /// The consensus library rejects entries during a reconfiguration; the leader then retries at a
    /// later tick.
    fn append_own_entries(&mut self, now: Millis) {
        let is_full = self.undecided_entries() >= self.settings.limits.undecided_entries;
        let Phase::Voter(paxos) = &mut self.phase else {
            return;
        };
        let term = LeaderTerm::from_ballot(&paxos.get_promise());
        if self.proposed_term != term {
            if paxos.append(Entry::LeaderElected(term)).is_ok() {
                self.proposed_term = term;
            }
            return;
        }
        let Some(led) = &mut self.led_term else {
            return;
        };
        let elapsed = (now - led.measured_until).floor();
        let is_due = elapsed >= self.settings.timing.clock_interval;
        if led.term == term && is_due && !is_full {
            led.measured_until += elapsed;
            // If this entry is never decided, the log's time lags by that much, and whatever
            // depends on it expires later.
            let _ = paxos.append(Entry::AdvanceTime {
                term,
                elapsed_ms: elapsed as u64,
            });
        }
    }

    /// Proposes a reconfiguration that gives the vote of a lost voter to a standby that has caught
    /// up. Only one reconfiguration runs at a time: the log accepts no second one before the first
    /// is complete.
    fn replace_lost_voter(&mut self, now: Millis) {
        let Some(next) = self.next_configuration(now) else {
            return;
        };
        let Phase::Voter(paxos) = &mut self.phase else {
            return;
        };
        if let Ok(metadata) = postcard::to_stdvec(&next) {
            // The consensus library rejects the proposal if another reconfiguration is in progress.
            let _ = paxos.reconfigure(next.to_cluster(), Some(metadata));
        }
    }

    /// The next configuration, in which one lost voter is replaced. `None` if no voter is lost, if
    /// no standby is ready, or if this replica is not connected to a majority of the new voters.
    fn next_configuration(&self, now: Millis) -> Option<Configuration> {
        let configuration = self.configuration.as_ref()?;
        let ready = self.ready_standbys(now, configuration);
        if ready.is_empty() {
            return None;
        }
        let replacement = self
            .successor_with_same_name(configuration, &ready)
            .or_else(|| self.successor_of_silent_voter(now, configuration, &ready))?;
        let replace = |voter: &ReplicaId| {
            if voter == replacement.lost {
                replacement.successor.clone()
            } else {
                voter.clone()
            }
        };
        let next = Configuration {
            number: configuration.number + 1,
            voters: configuration.voters.iter().map(replace).collect(),
        };
        // A reconfiguration to voters without a connected majority would stop a group that still
        // works.
        let connected = next
            .voters
            .iter()
            .filter(|voter| **voter == self.id || self.is_connected(now, voter))
            .count();
        (connected >= configuration.majority()).then_some(next)
    }

    /// The connected standbys that are ready to become voters and lag behind this replica's log by
    /// no more than half of the retained entries.
    fn ready_standbys(&self, now: Millis, configuration: &Configuration) -> Vec<&ReplicaId> {
        let own = self.position();
        let max_lag = self.settings.limits.retained_entries / 2;
        let has_caught_up = |position: &Position| {
            position.configuration == own.configuration && position.index + max_lag >= own.index
        };
        self.peers
            .iter()
            .filter(|(id, _)| !configuration.has_voter(id))
            .filter(|(_, peer)| self.is_recently_active(now, peer))
            .filter(|(_, peer)| peer.standby.as_ref().is_some_and(has_caught_up))
            .map(|(id, _)| id)
            .collect()
    }

    fn is_recently_active(&self, now: Millis, peer: &Peer) -> bool {
        now - peer.last_received < 2.0 * self.settings.timing.response_timeout
    }

    fn is_connected(&self, now: Millis, id: &ReplicaId) -> bool {
        self.peers
            .get(id)
            .is_some_and(|peer| self.is_recently_active(now, peer))
    }

    /// Finds a standby with the same name as a voter. Such a voter has lost its store, or now runs
    /// on another machine.
    fn successor_with_same_name<'a>(
        &self,
        configuration: &'a Configuration,
        ready: &[&'a ReplicaId],
    ) -> Option<Replacement<'a>> {
        configuration
            .voters
            .iter()
            .filter(|voter| **voter != self.id)
            .find_map(|lost| {
                let successor = ready
                    .iter()
                    .copied()
                    .find(|standby| standby.name == lost.name)?;
                Some(Replacement { lost, successor })
            })
    }

    /// Finds a standby for a voter that has been silent for longer than the replacement delay. A
    /// standby in a zone without another voter is preferred.
    fn successor_of_silent_voter<'a>(
        &self,
        now: Millis,
        configuration: &'a Configuration,
        ready: &[&'a ReplicaId],
    ) -> Option<Replacement<'a>> {
        let lost = configuration
            .voters
            .iter()
            .find(|voter| **voter != self.id && self.is_silent(now, voter))?;
        let remaining: Vec<&ReplicaId> = configuration
            .voters
            .iter()
            .filter(|voter| *voter != lost)
            .collect();
        let zone = |id: &ReplicaId| self.zones.get(&id.name);
        let has_free_name = |id: &ReplicaId| remaining.iter().all(|other| other.name != id.name);
        let has_own_zone = |id: &ReplicaId| remaining.iter().all(|other| zone(other) != zone(id));
        let successor = ready
            .iter()
            .copied()
            .filter(|standby| has_free_name(standby))
            .max_by_key(|standby| has_own_zone(standby))?;
        Some(Replacement { lost, successor })
    }

    fn is_silent(&self, now: Millis, id: &ReplicaId) -> bool {
        let delay = self.settings.timing.replacement_delay;
        self.peers
            .get(id)
            .is_none_or(|peer| now - peer.last_received > delay)
    }
}
