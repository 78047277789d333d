//! A replica: a voter of a group that agrees on a log, or one that could become a voter.
//!
//! Beside the rules of the agreement library it follows three of its own. No message leaves before
//! the disk writes that it rests on are durable (see `output`). A replica that restarts with its
//! store first asks its peers what they know of it, and one that lost data must rejoin under a new
//! identity (see `recovery`). A voter is replaced by a reconfiguration that the log itself holds
//! (see `leadership`).

mod agreement;
mod bootstrap;
mod catch_up;
mod client_requests;
mod compaction;
mod effect;
mod leadership;
mod output;
mod peers;
mod receive;
mod recovery;

pub use effect::{Effect, Role, Start};

use crate::entry::Entry;
use crate::identity::{Configuration, LeaderTerm, Position, ReplicaId};
use crate::log::{LogRecord, SharedLog};
use crate::replicated_state::ReplicatedState;
use crate::settings::{Millis, Settings};
use crate::state_machine::StateMachine;
use crate::store::LoadedStore;
use crate::transfer::{CatchUp, PreviousConfiguration, Snapshot};
use client_requests::RequestKey;
use omnipaxos::OmniPaxos;
use output::PendingOutput;
use peers::Peer;
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::collections::{BTreeMap, BTreeSet};

/// What a replica takes part in.
enum Phase {
    /// It has no state.
    Empty,
    /// It has the state as of its position, in memory only, and no vote.
    Learner,
    /// It restarted and asks its peers what they know of it. Holds the ids of the voters that have
    /// replied.
    Recovering(BTreeSet<u64>),
    /// It votes.
    Voter(Box<OmniPaxos<Entry, SharedLog>>),
}

/// How far the disk is with the writes that were issued to it.
struct WriteProgress {
    /// Whether records are written to a disk at all; otherwise every write counts as durable.
    is_durable: bool,
    /// The number of the last write that was issued.
    issued: u64,
    /// The number up to which all writes are durable.
    durable: u64,
    /// The number of decided entries when all that was issued was last durable.
    decided_when_durable: u64,
}

impl WriteProgress {
    fn new(is_durable: bool) -> WriteProgress {
        WriteProgress {
            is_durable,
            issued: 0,
            durable: if is_durable { 0 } else { u64::MAX },
            decided_when_durable: 0,
        }
    }
}

/// The term that a replica leads, as the log has confirmed it.
struct LedTerm {
    term: LeaderTerm,
    /// The time up to which the log's time has been advanced.
    measured_until: Millis,
}

/// A replica with its copy of the log's state.
pub struct Replica<M> {
    id: ReplicaId,
    /// The names of the replicas that may found a log together.
    founders: Vec<String>,
    /// The zone of each replica, by name.
    zones: BTreeMap<String, String>,
    settings: Settings,
    rng: StdRng,
    phase: Phase,
    /// Zero while it belongs to no log.
    log_id: u64,
    configuration: Option<Configuration>,
    log: SharedLog,
    state: ReplicatedState<M>,
    /// Entries of the configuration that are applied to the state.
    applied: u64,
    /// The latest snapshot that it can send.
    snapshot: Option<Snapshot>,
    previous_configuration: Option<PreviousConfiguration>,
    catch_up: CatchUp,
    peers: BTreeMap<ReplicaId, Peer>,
    /// The clients that wait for each request.
    waiting_clients: BTreeMap<RequestKey, Vec<String>>,
    /// How often it has started with its store.
    start_count: u64,
    /// Voters that have not replied yet what they knew of it before this start.
    recovery_queries: BTreeSet<ReplicaId>,
    messages_sent: u64,
    writes: WriteProgress,
    pending_output: Vec<PendingOutput>,
    ticks: u64,
    next_tick: Millis,
    led_term: Option<LedTerm>,
    /// The latest term for which it has appended an entry that begins it.
    requested_term: LeaderTerm,
    /// Its store is older than what it has sent: it does nothing more.
    has_lost_data: bool,
    /// The group has moved on to a later configuration than its own.
    is_superseded: bool,
    started_at: Millis,
    /// Messages that were ignored because they belong to another log.
    pub foreign_messages: u64,
    /// Messages that were ignored because a later one from the same sender had arrived.
    pub stale_messages: u64,
}

impl<M: StateMachine> Replica<M> {
    /// A replica that starts at `now`. If `is_durable`, the caller writes its records to a disk and
    /// reports when they are durable; otherwise everything is in memory, and the replica must start
    /// empty. `zones` has the zone of each replica that may vote, by name. `seed` determines its
    /// random choices.
    ///
    /// Returns the effects to carry out, beside the replica.
    pub fn new(
        now: Millis,
        start: Start,
        settings: Settings,
        is_durable: bool,
        zones: BTreeMap<String, String>,
        seed: u64,
    ) -> (Replica<M>, Vec<Effect>) {
        let (id, founders, store) = match start {
            Start::Empty { id, founders } => (id, founders, None),
            Start::Stored { store, founders } => {
                (store.header.replica.clone(), founders, Some(*store))
            }
        };
        let start_count = store.as_ref().map_or(0, |store| store.start_count) + 1;
        let mut replica = Replica {
            id,
            founders,
            zones,
            rng: StdRng::seed_from_u64(seed),
            phase: Phase::Empty,
            log_id: 0,
            configuration: None,
            log: SharedLog::default(),
            state: ReplicatedState::new(settings.timing.session_timeout_ms),
            applied: 0,
            snapshot: None,
            previous_configuration: None,
            catch_up: CatchUp::default(),
            peers: BTreeMap::new(),
            waiting_clients: BTreeMap::new(),
            start_count,
            recovery_queries: BTreeSet::new(),
            messages_sent: 0,
            writes: WriteProgress::new(is_durable),
            pending_output: Vec::new(),
            ticks: 0,
            next_tick: now,
            led_term: None,
            requested_term: LeaderTerm::default(),
            has_lost_data: false,
            is_superseded: false,
            started_at: now,
            foreign_messages: 0,
            stale_messages: 0,
            settings,
        };
        let effects = replica.start(now, store);
        (replica, effects)
    }

    fn start(&mut self, now: Millis, store: Option<LoadedStore>) -> Vec<Effect> {
        let mut effects = Vec::new();
        if let Some(store) = store {
            self.load(store, &mut effects);
        }
        let started = LogRecord::Started(self.start_count);
        self.log.borrow_mut().unwritten.push(started);
        self.settle(now, &mut effects);
        effects
    }

    /// Its identity.
    pub fn id(&self) -> &ReplicaId {
        &self.id
    }

    /// Its role.
    pub fn role(&self) -> Role {
        match &self.phase {
            Phase::Empty => Role::Empty,
            Phase::Learner => Role::Learner,
            Phase::Recovering(_) => Role::Recovering,
            Phase::Voter(_) if self.is_leader() => Role::Leader,
            Phase::Voter(_) => Role::Follower,
        }
    }

    /// Identifies its log; zero if it belongs to none.
    pub fn log_id(&self) -> u64 {
        self.log_id
    }

    /// The latest configuration that it knows.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// The position up to which its state is applied.
    pub fn position(&self) -> Position {
        Position {
            configuration: self.configuration_number(),
            index: self.applied,
        }
    }

    /// Its copy of the state, as of its position.
    pub fn state(&self) -> &ReplicatedState<M> {
        &self.state
    }

    /// The name of the leader, as far as it knows.
    pub fn leader(&self) -> Option<&str> {
        let Phase::Voter(paxos) = &self.phase else {
            return None;
        };
        let (voter_id, _) = paxos.get_current_leader()?;
        let leader = self.configuration.as_ref()?.voter(voter_id)?;
        Some(&leader.name)
    }

    /// When [`Replica::tick`] is to be called next.
    pub fn next_tick(&self) -> Millis {
        self.next_tick
    }

    fn is_leader(&self) -> bool {
        let Phase::Voter(paxos) = &self.phase else {
            return false;
        };
        paxos.get_current_leader() == Some((paxos.get_pid(), true))
    }

    /// The number of its configuration; zero without one.
    fn configuration_number(&self) -> u32 {
        self.configuration
            .as_ref()
            .map_or(0, |configuration| configuration.number)
    }

    fn voter_id_of(&self, replica: &ReplicaId) -> Option<u64> {
        self.configuration.as_ref()?.voter_id(replica)
    }

    /// The voters of its configuration, itself excepted.
    fn other_voters(&self) -> Vec<ReplicaId> {
        self.configuration
            .iter()
            .flat_map(|configuration| &configuration.voters)
            .filter(|voter| **voter != self.id)
            .cloned()
            .collect()
    }
}
