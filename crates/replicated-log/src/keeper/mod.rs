//! A keeper: one seat of a group that holds the log, or one that would have one.
//!
//! The rules that it adds to the agreement library's: nothing is said before what it rests on is written through (`held`);
//! one that starts again asks others what they saw of it before it takes part (`Phase::Doubt`), and one that has forgotten is
//! somebody else; a keeper is replaced by a change of the configuration that the log itself holds.

mod agree;
mod begin;
mod catch_up;
mod out;

use crate::entry::{Config, Entry, Id, Office, Position};
use crate::fault::Fault;
use crate::log::{Note, Shared};
use crate::machine::{Done, Machine, Replica};
use crate::store::Found;
use crate::transfer::{Before, Fetching, Image};
use crate::wire::{Answer, Body, Envelope, Request, Seen};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::sequence_paxos::{PaxosMessage, PaxosMsg};
use omnipaxos::messages::Message;
use omnipaxos::{ClusterConfig, OmniPaxos, ServerConfig};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Times, in ms, and bounds.
#[derive(Clone, Debug)]
pub struct Times {
    /// Between two ticks of the agreement.
    pub tick: f64,
    /// Ticks of a round in which keepers ask each other who is there.
    pub election_ticks: u64,
    /// Ticks after which what may be lost is said again.
    pub resend_ticks: u64,
    /// Between two entries that move the record's time on.
    pub passed: f64,
    /// Silence after which a keeper is replaced, if another stands by.
    pub replace: f64,
    /// How long a session outlives its client's last word.
    pub session: u64,
    /// Between asking for what is missing and asking somebody else.
    pub patience: f64,
    /// Between two pieces of a snapshot: bounds what catching up takes from others.
    pub piece_gap: f64,
    /// Bytes of a piece, and of the entries of one answer.
    pub piece: usize,
    /// Entries that are kept in the log at most before it is cut off.
    pub log_entries: u64,
    /// Entries that stay when it is, for those who lag a little.
    pub tail: u64,
    /// Entries that are proposed and not decided at most.
    pub in_hand: u64,
}

impl Default for Times {
    fn default() -> Times {
        Times {
            tick: 50.0,
            election_ticks: 6,
            resend_ticks: 10,
            passed: 1000.0,
            replace: 30_000.0,
            session: 60_000,
            patience: 1000.0,
            piece_gap: 10.0,
            piece: 64 * 1024,
            log_entries: 16_384,
            tail: 4096,
            in_hand: 4096,
        }
    }
}

/// With what a keeper starts.
#[derive(Debug)]
pub enum Start {
    /// An empty store, or none at all: a new identity. It may found a record with the keepers of these names, itself among
    /// them; it looks for a record among them in any case.
    Empty(Id, Vec<String>),
    /// What a store held, and the names as above.
    Found(Box<Found>, Vec<String>),
}

/// What is to be done for a keeper.
#[derive(Debug)]
pub enum Effect {
    /// Write these to the end of the store, through to the disk; then say so with the number.
    Write(u64, Vec<Note>),
    /// Write a new store that holds these alone and put it in the old one's place; then the same.
    Rewrite(u64, Vec<Note>),
    /// For the keeper of this name.
    Send(String, Box<Envelope>),
    /// For the client of this name.
    Answer(String, Answer),
    /// This store is older than what its keeper has said: drop it and start as somebody else.
    Forgotten,
}

/// How a keeper stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It has nothing.
    Empty,
    /// It has no seat, and follows.
    Learner,
    /// It started again and asks what was seen of it.
    Doubt,
    /// It has a seat.
    Follower,
    /// It has a seat and leads.
    Leader,
}

enum Phase {
    Empty,
    /// It has the state as of its position, in memory alone, and no seat.
    Learner,
    /// The seats that have told what they saw of it.
    Doubt(BTreeSet<u64>),
    Seated(Box<OmniPaxos<Entry, Shared>>),
}

/// One of whom something is known.
#[derive(Clone, Debug, Default)]
struct Known {
    /// When it was last heard, ms, and the number of its last word.
    heard: f64,
    number: (u64, u64),
    seen: Seen,
    /// How far it says it is, if it stands by.
    stands_by: Option<Position>,
    /// Its last word was that it has nothing, and would found a record with the same keepers.
    empty: bool,
}

enum Held {
    Send(Id, u32, Body),
    Answer(String, Answer),
}

/// A keeper and its copy of the record.
pub struct Keeper<M> {
    id: Id,
    names: Vec<String>,
    zones: BTreeMap<String, String>,
    times: Times,
    durable: bool,
    chance: StdRng,
    phase: Phase,
    /// Nought while it knows none.
    record: u64,
    config: Option<Config>,
    log: Shared,
    replica: Replica<M>,
    /// Entries of the configuration that the replica has.
    applied: u64,
    image: Option<Image>,
    before: Option<Before>,
    fetching: Fetching,
    known: BTreeMap<Id, Known>,
    /// Who waits for what: a session's write, or an opening by the number that was drawn.
    waiting: BTreeMap<(u64, u64), Vec<String>>,
    starts: u64,
    /// Keepers that have not told yet what they saw of it before this start.
    unheard: BTreeSet<Id>,
    said: u64,
    writes: u64,
    synced: u64,
    held: Vec<(u64, Held)>,
    /// What was decided when all that it had to write was written.
    decided_through: u64,
    ticks: u64,
    next_tick: f64,
    /// The office that it holds, and up to when it has said what time passed.
    office: Option<(Office, f64)>,
    /// The office that it has asked the log for.
    asked: Office,
    forgotten: bool,
    /// The group has gone on to another configuration than its own.
    overtaken: bool,
    born: f64,
    /// Words that were not heeded: of another record, or old.
    pub foreign: u64,
    /// See above.
    pub stale: u64,
}

/// The key of an opening among those who wait: no session has this number.
const OPENING: u64 = 0;

impl<M: Machine> Keeper<M> {
    /// A keeper that starts at `now`, ms of a steady clock. `durable` tells whether what it is to write is written through;
    /// otherwise it keeps all in memory, and has to start empty. `zones` has the zone of each front door that may keep.
    pub fn new(
        now: f64,
        start: Start,
        times: Times,
        durable: bool,
        zones: BTreeMap<String, String>,
        seed: u64,
    ) -> (Keeper<M>, Vec<Effect>) {
        let (id, names, found) = match start {
            Start::Empty(id, names) => (id, names, None),
            Start::Found(found, names) => (found.kept.id.clone(), names, Some(*found)),
        };
        let replica = Replica::new(times.session);
        let mut keeper = Keeper {
            id,
            names,
            zones,
            durable,
            chance: StdRng::seed_from_u64(seed),
            phase: Phase::Empty,
            record: 0,
            config: None,
            log: Shared::default(),
            replica,
            applied: 0,
            image: None,
            before: None,
            fetching: Fetching::default(),
            known: BTreeMap::new(),
            waiting: BTreeMap::new(),
            starts: found.as_ref().map_or(0, |found| found.starts) + 1,
            unheard: BTreeSet::new(),
            said: 0,
            writes: 0,
            synced: if durable { 0 } else { u64::MAX },
            held: Vec::new(),
            decided_through: 0,
            ticks: 0,
            next_tick: now,
            office: None,
            asked: Office::default(),
            forgotten: false,
            overtaken: false,
            born: now,
            foreign: 0,
            stale: 0,
            times,
        };
        let mut effects = Vec::new();
        if let Some(Found {
            begun: Some((record, config, at, state)),
            log,
            ..
        }) = found
        {
            keeper.log.0.replace(log);
            keeper.record = record;
            match Replica::read(&state) {
                Some(replica) if config.seat(&keeper.id).is_some() => {
                    keeper.replica = replica;
                    keeper.applied = at.index;
                    keeper.image = Some(Image::new(at, config.clone(), state));
                    keeper.config = Some(config);
                    keeper.phase = Phase::Doubt(BTreeSet::new());
                    keeper.unheard = keeper.others().into_iter().collect();
                }
                // The checksum is right and the state is not: another program wrote it.
                _ => effects.push(Effect::Forgotten),
            }
        }
        keeper
            .log
            .0
            .borrow_mut()
            .notes
            .push(Note::Start(keeper.starts));
        keeper.settle(now, &mut effects);
        (keeper, effects)
    }

    /// Who it is.
    pub fn id(&self) -> &Id {
        &self.id
    }

    /// How it stands.
    pub fn standing(&self) -> Standing {
        match &self.phase {
            Phase::Empty => Standing::Empty,
            Phase::Learner => Standing::Learner,
            Phase::Doubt(_) => Standing::Doubt,
            Phase::Seated(_) if self.leads() => Standing::Leader,
            Phase::Seated(_) => Standing::Follower,
        }
    }

    /// The record's number; nought if it knows none.
    pub fn record(&self) -> u64 {
        self.record
    }

    /// Who keeps the log, as far as it knows.
    pub fn config(&self) -> Option<&Config> {
        self.config.as_ref()
    }

    /// How far its copy is.
    pub fn position(&self) -> Position {
        Position {
            config: self.config.as_ref().map_or(0, |config| config.number),
            index: self.applied,
        }
    }

    /// Its copy of all that the log comes to: as old as its position.
    pub fn replica(&self) -> &Replica<M> {
        &self.replica
    }

    /// Who leads, as far as it knows.
    pub fn leader(&self) -> Option<&str> {
        let Phase::Seated(paxos) = &self.phase else {
            return None;
        };
        let (seat, _) = paxos.get_current_leader()?;
        self.config.as_ref()?.at(seat).map(|id| &*id.name)
    }

    /// When it wants to be called next, ms of its clock.
    pub fn next(&self) -> f64 {
        self.next_tick
    }

    fn leads(&self) -> bool {
        let Phase::Seated(paxos) = &self.phase else {
            return false;
        };
        paxos.get_current_leader() == Some((paxos.get_pid(), true))
    }

    fn seat_of(&self, id: &Id) -> Option<u64> {
        self.config.as_ref()?.seat(id)
    }

    fn others(&self) -> Vec<Id> {
        let keepers = self.config.iter().flat_map(|config| &config.keepers);
        keepers
            .filter(|keeper| **keeper != self.id)
            .cloned()
            .collect()
    }

    /// The disk has all writes up to this number.
    pub fn written(&mut self, now: f64, number: u64) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.synced = self.synced.max(number);
        self.settle(now, &mut effects);
        effects
    }

    /// Time has passed.
    pub fn tick(&mut self, now: f64) -> Vec<Effect> {
        let mut effects = Vec::new();
        if now < self.next_tick || self.forgotten {
            return effects;
        }
        // Ticks that were missed are not made up for: whoever stood still has not waited for anybody.
        self.next_tick = now + self.times.tick;
        self.ticks += 1;
        let often = self.ticks.is_multiple_of(self.times.election_ticks);
        match &mut self.phase {
            Phase::Seated(paxos) => {
                paxos.tick();
                self.lead(now);
            }
            Phase::Doubt(_) if self.overtaken && now - self.born > self.times.replace => {
                // The group went on to other keepers, and those of its own it would have to hear from do not answer.
                self.forgotten = true;
                effects.push(Effect::Forgotten);
                return effects;
            }
            Phase::Empty if often => self.look_for_others(),
            Phase::Learner if often && self.config.is_some() => {
                let at = self.position();
                self.others()
                    .iter()
                    .for_each(|other| self.say(other, Body::StandsBy(at)));
            }
            Phase::Doubt(_) | Phase::Empty | Phase::Learner => {}
        }
        self.take_seat(now);
        if often {
            self.unheard
                .clone()
                .iter()
                .for_each(|other| self.say(other, Body::Doubt));
        }
        self.fetch(now);
        self.settle(now, &mut effects);
        effects
    }

    /// Somebody's word has come.
    pub fn receive(&mut self, now: f64, envelope: Envelope) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Envelope {
            record,
            config,
            from,
            number,
            horizon,
            body,
        } = envelope;
        if self.forgotten || from == self.id {
            return effects;
        }
        if record != 0 && self.record != 0 && record != self.record {
            self.foreign += 1;
            return effects;
        }
        let known = self.known.entry(from.clone()).or_default();
        if number <= known.number {
            self.stale += 1;
            return effects;
        }
        (known.heard, known.number) = (now, number);
        known.empty = matches!(&body, Body::Empty(names) if *names == self.names);
        self.forget_some();
        if matches!(body, Body::Paxos(_)) {
            self.compare(now, &from, config, horizon);
        }
        self.take(now, from, config, record, body, &mut effects);
        self.settle(now, &mut effects);
        effects
    }

    /// A client's word has come.
    pub fn request(&mut self, now: f64, client: &str, request: Request) -> Vec<Effect> {
        let mut effects = Vec::new();
        if let Some(answer) = self.ask(client, request) {
            self.held
                .push((self.writes, Held::Answer(client.to_owned(), answer)));
        }
        self.settle(now, &mut effects);
        effects
    }

    fn ask(&mut self, client: &str, request: Request) -> Option<Answer> {
        if let Request::Write(command) = &request {
            if let Some(outcome) = self.replica.known(command.session, command.number) {
                return Some(Answer::Written(command.session, command.number, outcome));
            }
        }
        let elsewhere = Answer::Elsewhere(self.leader().map(str::to_owned));
        let (leads, in_hand) = (self.leads(), self.in_hand());
        let Phase::Seated(paxos) = &mut self.phase else {
            return Some(elsewhere);
        };
        if !leads || paxos.is_reconfigured().is_some() {
            return Some(elsewhere);
        }
        if in_hand >= self.times.in_hand || self.waiting.len() as u64 >= 2 * self.times.in_hand {
            return Some(Answer::Busy);
        }
        let (key, entry) = match request {
            Request::Open(drawn) => ((OPENING, drawn), Entry::Open(drawn)),
            Request::Write(command) => ((command.session, command.number), Entry::Write(command)),
        };
        // A change of the keepers is under way: it is over soon, and the next leader takes it.
        if paxos.append(entry).is_err() {
            return Some(elsewhere);
        }
        let waiting = self.waiting.entry(key).or_default();
        if !waiting.iter().any(|name| name == client) {
            waiting.push(client.to_owned());
        }
        None
    }

    fn in_hand(&self) -> u64 {
        let log = self.log.0.borrow();
        log.accepted_index().saturating_sub(log.decided)
    }

    /// Whoever asks for nothing long enough is not remembered: names are told by others, and there is no end of lives.
    fn forget_some(&mut self) {
        const MOST: usize = 1_024;
        while self.known.len() > MOST {
            let config = self.config.as_ref();
            let spare = self
                .known
                .iter()
                .filter(|(id, _)| config.is_none_or(|config| config.seat(id).is_none()));
            let Some(oldest) = spare
                .min_by(|a, b| a.1.heard.total_cmp(&b.1.heard))
                .map(|(id, _)| id.clone())
            else {
                return;
            };
            self.known.remove(&oldest);
        }
    }

    /// Sees from a word of the agreement's whether its sender is ahead by a change, or past what it has cut off.
    fn compare(&mut self, now: f64, from: &Id, config: u32, horizon: u64) {
        let Some(own) = self.config.as_ref().map(|config| config.number) else {
            return;
        };
        let behind = config == own && horizon > self.log.0.borrow().decided;
        if config > own || (behind && matches!(self.phase, Phase::Seated(_))) {
            self.fetch_from(now, from);
        } else if config < own {
            self.tell_position(from);
        }
    }

    fn take(
        &mut self,
        now: f64,
        from: Id,
        config: u32,
        record: u64,
        body: Body,
        effects: &mut Vec<Effect>,
    ) {
        match body {
            Body::Paxos(message) => self.agree(&from, config, message),
            Body::Doubt => {
                let seen = self.seen_of(&from);
                self.say(&from, Body::Saw(seen));
                if self.config.as_ref().is_some_and(|own| own.number > config) {
                    self.tell_position(&from);
                }
            }
            Body::Saw(seen) => self.was_seen(now, &from, seen, effects),
            Body::Empty(names) => self.met_empty(from, names),
            Body::Begin(config) => {
                let own = config.number == 1 && config.seat(&self.id).is_some();
                if matches!(self.phase, Phase::Empty) && own && record != 0 {
                    self.record = record;
                    self.begin(config, 0);
                }
            }
            Body::Outside(at) => {
                self.overtaken |= at.config > self.position().config;
                if at > self.position() {
                    if matches!(self.phase, Phase::Empty) {
                        self.record = record;
                        self.phase = Phase::Learner;
                    }
                    self.fetch_from(now, &from);
                }
            }
            Body::Fetch(position) => self.answer_fetch(&from, position),
            Body::StandsBy(position) => {
                if let Some(known) = self.known.get_mut(&from) {
                    known.stands_by = Some(position);
                }
            }
            Body::Want(at, offset) => {
                let Some(image) = &self.image else { return };
                let body = if image.at == at {
                    image.piece(offset, self.times.piece)
                } else {
                    image.offer()
                };
                self.say(&from, body);
            }
            Body::Tail(at, entries, next) => self.tail(now, from, at, entries, next),
            Body::Offer(at, length, sum, config) => {
                if at > self.position() || self.config.is_none() {
                    self.fetching.offered(
                        now - 4.0 * self.times.patience,
                        now,
                        at,
                        length,
                        sum,
                        config,
                    );
                    (self.fetching.from, self.fetching.next) =
                        (Some((from, now)), now + self.times.piece_gap);
                }
            }
            Body::Piece(at, offset, bytes) => {
                if let Some((_, since)) = &mut self.fetching.from {
                    *since = now;
                }
                self.fetching.next = now + self.times.piece_gap;
                if let Some(whole) = self.fetching.piece(now, at, offset, &bytes) {
                    self.fetching = Fetching::default();
                    if let Some(replica) = Replica::read(&whole.bytes) {
                        self.install(whole.at, whole.config, replica, whole.bytes);
                    }
                }
            }
        }
    }
}

fn cluster(config: &Config) -> ClusterConfig {
    ClusterConfig {
        configuration_id: config.number,
        nodes: (1..=config.keepers.len() as u64).collect(),
        flexible_quorum: None,
    }
}

/// The most of both, of one configuration.
fn most(a: Seen, b: Seen) -> Seen {
    Seen {
        config: a.config.max(b.config),
        promised: a.promised.max(b.promised),
        accepted: a.accepted.max(b.accepted),
    }
}
