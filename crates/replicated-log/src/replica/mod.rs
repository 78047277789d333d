//! A replica of the log: a voter of the group, or a candidate for a vote.
//!
//! On top of the consensus library's protocol, a replica follows three rules of its own. No message
//! leaves before the disk writes that it depends on are durable (see `output`). A replica that
//! restarts with its store first queries its peers for what they know of its promises; if its store
//! has lost data, it must rejoin under a new identity (see `recovery`). A voter is replaced by a
//! reconfiguration that is itself an entry of the log (see `leadership`).

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

/// The phase of a replica's participation in the group, with the data that belongs to it.
enum Phase {
    /// The replica has no state.
    Empty,
    /// The replica has no vote. It keeps the state up to its position in memory only.
    Learner,
    /// The replica restarted with its store and queries the other voters. Holds the voter ids of
    /// those that have replied.
    Recovering(BTreeSet<u64>),
    /// The replica votes.
    Voter(Box<OmniPaxos<Entry, SharedLog>>),
}

/// Progress of the writes that were issued to the disk.
struct WriteProgress {
    /// Whether records are written to a disk at all. If not, every write counts as durable.
    is_durable: bool,
    /// The number of the last issued write.
    issued: u64,
    /// All writes up to this number are durable.
    durable: u64,
    /// The number of decided entries at the last time when every issued write was durable.
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

/// A term that this replica leads and whose `LeaderElected` entry is decided.
struct LedTerm {
    term: LeaderTerm,
    /// The local time that the log's time already accounts for.
    measured_until: Millis,
}

/// A replica and its copy of the replicated state.
pub struct Replica<M> {
    id: ReplicaId,
    /// The names of the replicas that may bootstrap a log together.
    founders: Vec<String>,
    /// The zone of each replica, by name.
    zones: BTreeMap<String, String>,
    settings: Settings,
    rng: StdRng,
    phase: Phase,
    /// Zero while the replica belongs to no log.
    log_id: u64,
    configuration: Option<Configuration>,
    log: SharedLog,
    state: ReplicatedState<M>,
    /// The number of entries of this configuration that are applied to the state.
    applied: u64,
    /// The latest snapshot that this replica can send.
    snapshot: Option<Snapshot>,
    previous_configuration: Option<PreviousConfiguration>,
    catch_up: CatchUp,
    peers: BTreeMap<ReplicaId, Peer>,
    /// The names of the clients that wait for each request.
    waiting_clients: BTreeMap<RequestKey, Vec<String>>,
    /// How often the replica has started with this store, the current start included.
    start_count: u64,
    /// Voters that have not yet answered a recovery query since this start.
    recovery_queries: BTreeSet<ReplicaId>,
    messages_sent: u64,
    writes: WriteProgress,
    pending_output: Vec<PendingOutput>,
    ticks: u64,
    next_tick: Millis,
    led_term: Option<LedTerm>,
    /// The latest term for which this replica has proposed a `LeaderElected` entry.
    proposed_term: LeaderTerm,
    /// The store lacks something that this replica has already promised or accepted, so the replica
    /// takes no further action.
    has_lost_data: bool,
    /// The group has a later configuration than this replica.
    is_superseded: bool,
    started_at: Millis,
    /// Number of ignored messages that belong to another log.
    pub foreign_messages: u64,
    /// Number of ignored messages whose sender had already sent a later one that arrived.
    pub stale_messages: u64,
}

impl<M: StateMachine> Replica<M> {
    /// Creates a replica that starts at `now`. If `is_durable` is set, the caller writes the
    /// replica's records to a disk and reports when they are durable. Otherwise everything is kept
    /// in memory, and the replica must start empty. `zones` maps the name of each replica that may
    /// vote to its zone. `seed` determines the random choices.
    ///
    /// Returns the replica and the first effects to execute.
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
            proposed_term: LeaderTerm::default(),
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
        self.process_ready(now, &mut effects);
        effects
    }

    /// The name of this replica and the incarnation of its store.
    pub fn id(&self) -> &ReplicaId {
        &self.id
    }

    /// The current role: voter and leader, voter only, or without a vote.
    pub fn role(&self) -> Role {
        match &self.phase {
            Phase::Empty => Role::Empty,
            Phase::Learner => Role::Learner,
            Phase::Recovering(_) => Role::Recovering,
            Phase::Voter(_) if self.is_leader() => Role::Leader,
            Phase::Voter(_) => Role::Follower,
        }
    }

    /// The id of the log that this replica belongs to; zero if it belongs to none.
    pub fn log_id(&self) -> u64 {
        self.log_id
    }

    /// The latest configuration that this replica knows; `None` without a log.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// The position up to which entries are applied to the state.
    pub fn position(&self) -> Position {
        Position {
            configuration: self.configuration_number(),
            index: self.applied,
        }
    }

    /// This replica's copy of the state at [`Replica::position`].
    pub fn state(&self) -> &ReplicatedState<M> {
        &self.state
    }

    /// The name of the current leader, if this replica votes and knows of one.
    pub fn leader(&self) -> Option<&str> {
        let Phase::Voter(paxos) = &self.phase else {
            return None;
        };
        let (voter_id, _) = paxos.get_current_leader()?;
        let leader = self.configuration.as_ref()?.voter(voter_id)?;
        Some(&leader.name)
    }

    /// The time at which the caller calls [`Replica::tick`] next.
    pub fn next_tick(&self) -> Millis {
        self.next_tick
    }

    fn is_leader(&self) -> bool {
        let Phase::Voter(paxos) = &self.phase else {
            return false;
        };
        paxos.get_current_leader() == Some((paxos.get_pid(), true))
    }

    /// The number of the current configuration; zero without one.
    fn configuration_number(&self) -> u32 {
        self.configuration
            .as_ref()
            .map_or(0, |configuration| configuration.number)
    }

    fn voter_id_of(&self, replica: &ReplicaId) -> Option<u64> {
        self.configuration.as_ref()?.voter_id(replica)
    }

    /// The voters of the current configuration except this replica.
    fn other_voters(&self) -> Vec<ReplicaId> {
        self.configuration
            .iter()
            .flat_map(|configuration| &configuration.voters)
            .filter(|voter| **voter != self.id)
            .cloned()
            .collect()
    }
}
