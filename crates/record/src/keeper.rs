//! A keeper: one seat of a group that holds the log, or one that would have one.
//!
//! The rules that it adds to the agreement library's: nothing is said before what it rests on is written through (`held`);
//! one that starts again asks others what they saw of it before it takes part (`Phase::Doubt`), and one that has forgotten is
//! somebody else; a keeper is replaced by a change of the configuration that the log itself holds.

use crate::entry::{Config, Entry, Id, Office, Position};
use crate::fault::Fault;
use crate::log::{Note, Shared};
use crate::machine::{Done, Machine, Replica};
use crate::store::Found;
use crate::transfer::{Before, Fetching, Image};
use crate::wire::{Answer, Body, Envelope, Outcome, Request, Seen};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::sequence_paxos::{PaxosMessage, PaxosMsg};
use omnipaxos::messages::Message;
use omnipaxos::{ClusterConfig, OmniPaxos, ServerConfig};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

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
    held: VecDeque<(u64, Held)>,
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
            held: VecDeque::new(),
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
        if let Some(Found { begun: Some((record, config, at, state)), log, .. }) = found {
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
        keeper.log.0.borrow_mut().notes.push(Note::Start(keeper.starts));
        keeper.settle(now, &mut effects);
        (keeper, effects)
    }

    // ---- What there is to tell --------------------------------------------------------------------------

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
        Position { config: self.config.as_ref().map_or(0, |config| config.number), index: self.applied }
    }

    /// Its copy of all that the log comes to: as old as its position.
    pub fn replica(&self) -> &Replica<M> {
        &self.replica
    }

    /// Who leads, as far as it knows.
    pub fn leader(&self) -> Option<&str> {
        let Phase::Seated(paxos) = &self.phase else { return None };
        let (seat, _) = paxos.get_current_leader()?;
        self.config.as_ref()?.at(seat).map(|id| &*id.name)
    }

    /// When it wants to be called next, ms of its clock.
    pub fn next(&self) -> f64 {
        self.next_tick
    }

    fn leads(&self) -> bool {
        let Phase::Seated(paxos) = &self.phase else { return false };
        paxos.get_current_leader() == Some((paxos.get_pid(), true))
    }

    fn seat_of(&self, id: &Id) -> Option<u64> {
        self.config.as_ref()?.seat(id)
    }

    fn others(&self) -> Vec<Id> {
        let keepers = self.config.iter().flat_map(|config| &config.keepers);
        keepers.filter(|keeper| **keeper != self.id).cloned().collect()
    }

    // ---- What comes in ----------------------------------------------------------------------------------

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
                self.others().iter().for_each(|other| self.say(other, Body::StandsBy(at)));
            }
            Phase::Doubt(_) | Phase::Empty | Phase::Learner => {}
        }
        self.take_seat(now);
        if often {
            self.unheard.clone().iter().for_each(|other| self.say(other, Body::Doubt));
        }
        self.fetch(now);
        self.settle(now, &mut effects);
        effects
    }

    /// Somebody's word has come.
    pub fn receive(&mut self, now: f64, envelope: Envelope) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Envelope { record, config, from, number, horizon, body } = envelope;
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
            self.held.push_back((self.writes, Held::Answer(client.to_owned(), answer)));
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
        let Phase::Seated(paxos) = &mut self.phase else { return Some(elsewhere) };
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
        const MOST: usize = 256;
        while self.known.len() > MOST {
            let config = self.config.as_ref();
            let spare =
                self.known.iter().filter(|(id, _)| config.is_none_or(|config| config.seat(id).is_none()));
            let Some(oldest) = spare.min_by(|a, b| a.1.heard.total_cmp(&b.1.heard)).map(|(id, _)| id.clone())
            else {
                return;
            };
            self.known.remove(&oldest);
        }
    }

    /// Sees from a word of the agreement's whether its sender is ahead by a change, or past what it has cut off.
    fn compare(&mut self, now: f64, from: &Id, config: u32, horizon: u64) {
        let Some(own) = self.config.as_ref().map(|config| config.number) else { return };
        let behind = config == own && horizon > self.log.0.borrow().decided;
        if config > own || (behind && matches!(self.phase, Phase::Seated(_))) {
            self.fetch_from(now, from);
        } else if config < own {
            let at = self.position();
            self.say(from, Body::Outside(at));
        }
    }

    fn take(&mut self, now: f64, from: Id, config: u32, record: u64, body: Body, effects: &mut Vec<Effect>) {
        match body {
            Body::Paxos(message) => self.agree(&from, config, message),
            Body::Doubt => {
                let seen = self.seen_of(&from);
                self.say(&from, Body::Saw(seen));
                if self.config.as_ref().is_some_and(|own| own.number > config) {
                    let at = self.position();
                    self.say(&from, Body::Outside(at));
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
                let body = if image.at == at { image.piece(offset, self.times.piece) } else { image.offer() };
                self.say(&from, body);
            }
            Body::Tail(at, entries, next) => self.tail(now, from, at, entries, next),
            Body::Offer(at, length, sum, config) => {
                if at > self.position() || self.config.is_none() {
                    self.fetching.offered(now - 4.0 * self.times.patience, now, at, length, sum, config);
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
            // Clients' words come by their own way.
            Body::Request(_) | Body::Answer(_) => {}
        }
    }

    // ---- Beginning --------------------------------------------------------------------------------------

    fn look_for_others(&mut self) {
        let names = self.names.clone();
        let own = self.id.name.clone();
        for name in names.iter().filter(|name| **name != own) {
            // Whoever has the name answers.
            let to = Id { name: name.clone(), life: 0 };
            self.say(&to, Body::Empty(names.clone()));
        }
    }

    /// One with an empty store is there. A record is founded only where all that are to keep it are as empty, and told so; it
    /// is never begun anew for one that has forgotten.
    fn met_empty(&mut self, from: Id, names: Vec<String>) {
        match (&self.phase, &self.config) {
            (Phase::Empty, _) if names == self.names => {
                // Whoever says anything else has a record, or knows of one.
                let anybody = Fault::FoundAnew.is_in();
                let empty = self
                    .known
                    .iter()
                    .filter(|(id, known)| (known.empty || anybody) && names.contains(&id.name));
                let mut met: Vec<Id> = empty.map(|(id, _)| id.clone()).collect();
                // Of several lives under one name the last that was heard is the one that runs.
                met.sort_by(|a, b| self.known[b].heard.total_cmp(&self.known[a].heard));
                let mut keepers = vec![self.id.clone()];
                for id in met {
                    if keepers.iter().all(|keeper| keeper.name != id.name) {
                        keepers.push(id);
                    }
                }
                keepers.sort();
                let first = keepers.first() == Some(&self.id);
                if keepers.len() == names.len() && keepers.len() > 1 && first {
                    self.record = self.chance.random_range(1..=u64::MAX);
                    self.begin(Config { number: 1, keepers }, 0);
                }
            }
            (Phase::Empty, _) => {}
            (_, Some(config)) if config.number == 1 && config.seat(&from).is_some() => {
                let begin = Body::Begin(config.clone());
                self.say(&from, begin);
            }
            _ => {
                let at = self.position();
                self.say(&from, Body::Outside(at));
            }
        }
    }

    /// Takes a seat of a configuration, from a position on whose state is in the replica. It has never voted there.
    fn begin(&mut self, config: Config, index: u64) {
        let at = Position { config: config.number, index };
        let state = self.replica.write();
        self.image = Some(Image::new(at, config.clone(), state.clone()));
        let note = Note::Begin(self.record, config.clone(), at, state);
        {
            let mut log = self.log.0.borrow_mut();
            // What was noted of the configuration before counts no more.
            log.replay(note.clone());
            log.notes = vec![note, Note::Start(self.starts)];
            if index > 0 {
                log.accept_by_state();
            }
        }
        self.applied = index;
        self.config = Some(config);
        self.unheard.clear();
        self.decided_through = 0;
        self.sit();
    }

    /// Takes part in the agreement from what the log has.
    fn sit(&mut self) {
        let Some(config) = &self.config else { return };
        let Some(seat) = config.seat(&self.id) else { return };
        let cluster = cluster(config);
        let server = ServerConfig {
            pid: seat,
            election_tick_timeout: self.times.election_ticks,
            resend_message_tick_timeout: self.times.resend_ticks,
            ..ServerConfig::default()
        };
        self.office = None;
        // It can refuse only a configuration of one, which is never made.
        if let Ok(paxos) = cluster.build_for_server(server, self.log.clone()) {
            self.phase = Phase::Seated(Box::new(paxos));
        }
    }

    // ---- After a start with a store -----------------------------------------------------------------------

    fn own_seen(&self) -> Seen {
        let log = self.log.0.borrow();
        Seen {
            config: self.config.as_ref().map_or(0, |config| config.number),
            promised: log.promise.unwrap_or_default(),
            accepted: (log.accepted.unwrap_or_default(), log.accepted_index()),
        }
    }

    /// What is known here of another's promises: what it said, and what follows from this log, as a leader has accepted all that
    /// is decided in its ballot.
    fn seen_of(&self, other: &Id) -> Seen {
        let seen = self.known.get(other).map(|known| known.seen).unwrap_or_default();
        let own = self.own_seen();
        let led = self.seat_of(other).is_some_and(|seat| seat == own.accepted.0.pid);
        if led && seen.config <= own.config {
            // Entries go out before their leader has written them, but not that they are decided.
            let decided = self.log.0.borrow().decided;
            let implied = Seen { promised: own.accepted.0, accepted: (own.accepted.0, decided), ..own };
            return if seen.config < own.config { implied } else { most(seen, implied) };
        }
        seen
    }

    /// Takes its seat again once all others have told what they saw; or as many as make a majority with it, if the rest does not
    /// answer for a while: without them it could do nothing, and waiting for all would stop a group that has lost one. It goes on
    /// asking the rest.
    fn take_seat(&mut self, now: f64) {
        let (Phase::Doubt(saw), Some(config)) = (&self.phase, &self.config) else { return };
        let waited = now - self.born >= self.times.patience;
        if saw.len() + 1 >= config.keepers.len() || (waited && saw.len() + 1 >= config.majority()) {
            self.sit();
        }
    }

    fn was_seen(&mut self, now: f64, from: &Id, seen: Seen, effects: &mut Vec<Effect>) {
        let (own, seat, decided) = (self.own_seen(), self.seat_of(from), self.log.0.borrow().decided);
        let Some(seat) = seat else { return };
        self.unheard.remove(from);
        // What lies within what it knows to be decided is there, in whatever ballot it was accepted.
        let accepted = seen.accepted > own.accepted && seen.accepted.1 > decided;
        let forgot = seen.config > own.config
            || (seen.config == own.config && (seen.promised > own.promised || accepted));
        if forgot {
            self.forgotten = true;
            effects.push(Effect::Forgotten);
            return;
        }
        let Phase::Doubt(saw) = &mut self.phase else { return };
        saw.insert(seat);
        self.take_seat(now);
    }

    // ---- The agreement ------------------------------------------------------------------------------------

    fn agree(&mut self, from: &Id, config: u32, mut message: Message<Entry>) {
        let (Some(own), Some(seat)) = (self.config.as_ref(), self.seat_of(from)) else { return };
        let (own, own_seat) = (own.number, self.seat_of(&self.id));
        let (says, is_for) = match &message {
            Message::SequencePaxos(message) => (message.from, message.to),
            Message::BLE(message) => (message.from, message.to),
        };
        if config != own || says != seat || Some(is_for) != own_seat {
            return;
        }
        self.witness(from, &message);
        let (cut, length, decided, accepted, ended) = {
            let log = self.log.0.borrow();
            (log.cut, log.length(), log.decided, (log.accepted, log.accepted_index()), log.stop.is_some())
        };
        let Phase::Seated(paxos) = &mut self.phase else { return };
        if let Message::SequencePaxos(message) = &message {
            // What is cut off cannot be sent as entries: whoever lacks it fetches first, and then says this again.
            let lacks = match &message.msg {
                PaxosMsg::Promise(promise) => (promise.decided_idx as u64) < cut,
                PaxosMsg::Prepare(prepare) => (prepare.decided_idx as u64) < cut,
                _ => false,
            };
            if lacks && !Fault::SendBeyondCut.is_in() {
                let at = self.position();
                self.say(from, Body::Outside(at));
                return;
            }
        }
        if let Message::SequencePaxos(PaxosMessage { msg: PaxosMsg::Promise(promise), .. }) = &mut message {
            // One that promises after the majority did, and accepted last in the ballot that the majority's longest log is of,
            // would be sent entries from where that log ended. Its state may have been fetched and reach further, and this log
            // be cut off beyond: it is sent what comes after its decided entries, as one of any other ballot is.
            let ballot = paxos.get_promise();
            let led = paxos.get_current_leader() == Some((paxos.get_pid(), true)) && promise.n == ballot;
            if led && promise.n_accepted != ballot {
                promise.n_accepted = Ballot::with(0, 0, 2, 0);
            }
        }
        if let Message::SequencePaxos(PaxosMessage { msg: PaxosMsg::AcceptSync(sync), .. }) = &mut message {
            // The library counts an accepted end as an entry, and then begins one after it, so that the end is counted twice and
            // what was accepted seems one longer than it is (0.2.4, `send_accsync`): it could never be decided.
            if sync.log_sync.suffix.is_empty() {
                sync.log_sync.sync_idx = sync.log_sync.sync_idx.min(length as usize);
            }
            // What was fetched meanwhile is not written again; an answer to what this one no longer lacks is of no use.
            let known = (decided.min(length) as usize).saturating_sub(sync.log_sync.sync_idx);
            if known > sync.log_sync.suffix.len() {
                return;
            }
            sync.log_sync.suffix.drain(..known);
            sync.log_sync.sync_idx += known;
        }
        // The library passes over an end that it has accepted and is told again, so an answer that was lost is never made good
        // (0.2.4, `handle_accept_stopsign` and its sequence numbers). To begin anew with the leader says it again.
        let again = matches!(&message, Message::SequencePaxos(message)
            if matches!(&message.msg, PaxosMsg::AcceptStopSign(stop) if ended && accepted.0 == Some(stop.n)));
        if again {
            paxos.reconnected(seat);
        } else {
            paxos.handle_incoming(message);
        }
    }

    /// Keeps what a message tells of its sender's promises.
    fn witness(&mut self, from: &Id, message: &Message<Entry>) {
        let Message::SequencePaxos(message) = message else { return };
        let config = self.config.as_ref().map_or(0, |config| config.number);
        let (promised, accepted) = match &message.msg {
            PaxosMsg::Promise(promise) => (promise.n, (promise.n_accepted, promise.accepted_idx as u64)),
            PaxosMsg::Prepare(prepare) => (prepare.n, (prepare.n_accepted, prepare.accepted_idx as u64)),
            PaxosMsg::Accepted(accepted) => (accepted.n, (accepted.n, accepted.accepted_idx as u64)),
            PaxosMsg::NotAccepted(not) => (not.n, Default::default()),
            _ => return,
        };
        self.note_seen(from, Seen { config, promised, accepted });
    }

    fn note_seen(&mut self, of: &Id, seen: Seen) {
        if let Some(known) = self.known.get_mut(of) {
            known.seen = if seen.config > known.seen.config { seen } else { most(known.seen, seen) };
        }
    }

    /// What a leader does beside the agreement: takes office in the log, moves its time on, replaces who is lost.
    fn lead(&mut self, now: f64) {
        if !self.leads() {
            self.office = None;
            return;
        }
        let waits = self.in_hand() >= self.times.in_hand;
        let Phase::Seated(paxos) = &mut self.phase else { return };
        let office = Office::of(&paxos.get_promise());
        // A change that is under way refuses entries: then there is nothing to do here but to wait.
        if self.asked != office {
            if paxos.append(Entry::Office(office)).is_ok() {
                self.asked = office;
            }
        } else if let Some((held, since)) = &mut self.office {
            let passed = (now - *since).floor();
            if *held == office && passed >= self.times.passed && !waits {
                *since += passed;
                // If it does not come to be decided, time stands still that long: whatever hangs on it ends late.
                let _ = paxos.append(Entry::Passed(office, passed as u64));
            }
        }
        if self.ticks.is_multiple_of(self.times.election_ticks) {
            self.replace(now);
        }
    }

    /// Gives the seat of one that is lost to one that stands by and is caught up. One change at a time: the log takes no
    /// second one before the first is done.
    fn replace(&mut self, now: f64) {
        let at = self.position();
        let (Some(config), Phase::Seated(paxos)) = (&self.config, &mut self.phase) else { return };
        let near = |position: &Position| {
            position.config == at.config && position.index + self.times.tail / 2 >= at.index
        };
        let recent = |known: &Known| now - known.heard < 2.0 * self.times.patience;
        let ready: Vec<&Id> = self
            .known
            .iter()
            .filter(|(id, known)| config.seat(id).is_none() && recent(known))
            .filter(|(_, known)| known.stands_by.as_ref().is_some_and(near))
            .map(|(id, _)| id)
            .collect();
        if ready.is_empty() {
            return;
        }
        let silent = |id: &&Id| {
            **id != self.id && self.known.get(id).is_none_or(|known| now - known.heard > self.times.replace)
        };
        // Somebody else under its name: the one that had the seat has forgotten, or is on another machine.
        let successor = |id: &Id| ready.iter().find(|other| other.name == id.name).copied();
        let renamed =
            config.keepers.iter().filter(|id| **id != self.id).find_map(|id| Some((id, successor(id)?)));
        let change = renamed.or_else(|| {
            let lost = config.keepers.iter().find(silent)?;
            let zone = |id: &Id| self.zones.get(&id.name);
            let rest = || config.keepers.iter().filter(|id| *id != lost);
            let free = |id: &&&Id| rest().all(|other| other.name != id.name);
            let apart = |id: &Id| rest().all(|other| zone(other) != zone(id));
            ready.iter().filter(free).max_by_key(|id| apart(id)).map(|id| (lost, *id))
        });
        let Some((lost, new)) = change else { return };
        let swap = |id: &Id| if id == lost { new.clone() } else { id.clone() };
        // A majority of those that are to be must be there, or the change would end what still goes.
        let there = |id: &&Id| **id == self.id || self.known.get(id).is_some_and(recent);
        if config.keepers.iter().map(swap).filter(|id| there(&id)).count() < config.majority() {
            return;
        }
        let next = Config { number: config.number + 1, keepers: config.keepers.iter().map(swap).collect() };
        if let Ok(told) = postcard::to_stdvec(&next) {
            // One that is under way already refuses another.
            let _ = paxos.reconfigure(cluster(&next), Some(told));
        }
    }

    // ---- Catching up ----------------------------------------------------------------------------------------

    fn fetch_from(&mut self, now: f64, from: &Id) {
        if self.fetching.from.is_none() {
            self.fetching.from = Some((from.clone(), now));
            self.fetching.next = now;
        }
    }

    /// Asks for what is missing, a piece at a time.
    fn fetch(&mut self, now: f64) {
        if let Some((_, since)) = &self.fetching.from {
            if now - since > self.times.patience {
                // Somebody else may be there: what has come so far stays.
                self.fetching.from = None;
            }
        }
        let learns = matches!(self.phase, Phase::Learner);
        if self.fetching.from.is_none() && learns && now >= self.fetching.next {
            let others = self.others();
            let place = self.chance.random_range(0..others.len().max(1));
            match others.get(place) {
                Some(other) => self.fetching.from = Some((other.clone(), now)),
                None => {
                    self.fetching.next = now + self.times.patience / 2.0;
                    self.look_for_others();
                }
            }
        }
        let Some((from, _)) = self.fetching.from.clone().filter(|_| now >= self.fetching.next) else {
            return;
        };
        let body = match &self.fetching.incoming {
            Some(incoming) => Body::Want(incoming.at, incoming.bytes.len() as u64),
            None => Body::Fetch(self.config.is_some().then(|| self.position())),
        };
        self.fetching.next = now + self.times.patience / 2.0;
        self.say(&from, body);
    }

    fn answer_fetch(&mut self, from: &Id, position: Option<Position>) {
        let Some(config) = &self.config else { return };
        let log = self.log.0.borrow();
        let here = matches!(self.phase, Phase::Seated(_)) && log.cut <= self.applied;
        let answer = match (position, &self.before) {
            (Some(at), _)
                if here && at.config == config.number && (log.cut..=self.applied).contains(&at.index) =>
            {
                let entries = self.some_of(log.decided_from(at.index));
                Some(Body::Tail(at, entries, None))
            }
            (Some(at), Some(before)) if at.config == before.config && at.index >= before.from => {
                let rest = before.entries.get((at.index - before.from) as usize..).unwrap_or_default();
                let entries = self.some_of(rest);
                let next = (entries.len() == rest.len()).then(|| before.next.clone());
                Some(Body::Tail(at, entries, next))
            }
            _ => self.image.as_ref().map(Image::offer),
        };
        drop(log);
        if let Some(answer) = answer {
            self.say(from, answer);
        }
    }

    /// As many entries from the front as one answer takes.
    fn some_of(&self, entries: &[Entry]) -> Vec<Entry> {
        let mut room = self.times.piece;
        let fits = |entry: &&Entry| {
            let size = match entry {
                Entry::Write(command) => command.bytes.len() + 32,
                _ => 32,
            };
            let fits = room >= size;
            room = room.saturating_sub(size);
            fits
        };
        let count = entries.iter().take_while(fits).count();
        // One that is larger than all room still goes, alone.
        entries[..count.max(1).min(entries.len())].to_vec()
    }

    /// Takes in entries that are decided.
    fn tail(&mut self, now: f64, from: Id, at: Position, entries: Vec<Entry>, next: Option<Config>) {
        let elsewhere = at != self.position() && !Fault::TailAnywhere.is_in();
        if elsewhere || matches!(self.phase, Phase::Empty | Phase::Doubt(_)) {
            return;
        }
        self.fetching = Fetching { next: now + self.times.patience / 2.0, ..Fetching::default() };
        let more = !entries.is_empty();
        for entry in &entries {
            self.replica.apply(entry);
            self.applied += 1;
        }
        if matches!(self.phase, Phase::Seated(_)) && more {
            self.log.0.borrow_mut().learn(at.index, entries);
            if next.is_none() {
                // The agreement goes on from there, with what this one accepted beyond.
                self.sit();
            }
        }
        match next {
            Some(next) => self.go_on(next),
            // Whoever had some may have more.
            None if more => (self.fetching.from, self.fetching.next) = (Some((from, now)), now),
            None => {}
        }
    }

    /// Puts the state of a snapshot in the place of its own.
    fn install(&mut self, at: Position, config: Config, replica: Replica<M>, state: Vec<u8>) {
        let own = self.position();
        let same = self.config.as_ref().is_some_and(|own| own.number == at.config);
        if self.config.is_some() && at <= own {
            return;
        }
        let seated = config.seat(&self.id).is_some();
        if seated && matches!(self.phase, Phase::Doubt(_)) {
            // It first has to hear what was seen of it.
            return;
        }
        self.replica = replica;
        self.applied = at.index;
        match &self.phase {
            // It keeps its seat and its promises; of its log what the state does not have.
            Phase::Seated(_) if same => {
                {
                    let mut log = self.log.0.borrow_mut();
                    log.notes.clear();
                    if at.index > log.length() {
                        log.cut_off(at.index);
                        log.accept_by_state();
                    } else {
                        log.cut_off(at.index);
                    }
                    log.decided = log.decided.max(at.index);
                }
                self.image = Some(Image::new(at, config, state));
                self.rewrite();
                self.sit();
            }
            _ if seated => self.begin(config, at.index),
            _ => {
                self.image = Some(Image::new(at, config.clone(), state));
                self.config = Some(config);
                self.phase = Phase::Learner;
            }
        }
    }

    /// The configuration is over, and all of it is in the replica.
    fn go_on(&mut self, next: Config) {
        {
            let log = self.log.0.borrow();
            if let Some(config) = self.config.as_ref().filter(|_| matches!(self.phase, Phase::Seated(_))) {
                let (config, from) = (config.number, log.cut);
                let mut entries = log.entries.clone();
                if Fault::ForgetTail.is_in() {
                    entries.pop();
                }
                self.before = Some(Before { config, from, entries, next: next.clone() });
            }
        }
        if next.seat(&self.id).is_some() {
            self.begin(next, 0);
        } else {
            self.applied = 0;
            self.image = Some(Image::new(
                Position { config: next.number, index: 0 },
                next.clone(),
                self.replica.write(),
            ));
            self.config = Some(next);
            self.phase = Phase::Learner;
            self.log.0.borrow_mut().notes.clear();
        }
    }

    // ---- What goes out ------------------------------------------------------------------------------------

    fn say(&mut self, to: &Id, body: Body) {
        let config = self.config.as_ref().map_or(0, |config| config.number);
        self.held.push_back((self.writes, Held::Send(to.clone(), config, body)));
    }

    /// Notes go to the disk, what is decided into the replica, and what rests on writes that are through goes out.
    fn settle(&mut self, now: f64, effects: &mut Vec<Effect>) {
        if self.forgotten {
            return;
        }
        self.note(effects);
        self.gather();
        while self.apply(now) {
            self.note(effects);
            self.gather();
        }
        self.compact();
        self.note(effects);
        if self.synced >= self.writes {
            self.decided_through = self.log.0.borrow().decided;
        }
        let all = Fault::SayBeforeWritten.is_in();
        let (ready, held) =
            std::mem::take(&mut self.held).into_iter().partition(|(number, _)| *number <= self.synced || all);
        self.held = held;
        let ready: VecDeque<(u64, Held)> = ready;
        ready.into_iter().for_each(|(_, held)| self.release(held, effects));
    }

    fn note(&mut self, effects: &mut Vec<Effect>) {
        let mut log = self.log.0.borrow_mut();
        // How much is decided is learnt again from others: nothing waits for it, and it goes with what is written next.
        if log.notes.iter().all(|note| matches!(note, Note::Decided(_))) {
            let last = log.notes.pop();
            log.notes.clear();
            log.notes.extend(last);
            return;
        }
        let notes = std::mem::take(&mut log.notes);
        drop(log);
        if self.durable {
            self.writes += 1;
            // A store that begins anew is written anew.
            let anew = notes.iter().any(|note| matches!(note, Note::Begin(..)));
            let write =
                if anew { Effect::Rewrite(self.writes, notes) } else { Effect::Write(self.writes, notes) };
            effects.push(write);
        }
    }

    /// Takes the library's messages. They are held until what they rest on is written.
    fn gather(&mut self) {
        let Phase::Seated(paxos) = &mut self.phase else { return };
        let mut messages = Vec::new();
        paxos.take_outgoing_messages(&mut messages);
        let Some(config) = &self.config else { return };
        for message in messages {
            let to = match &message {
                Message::SequencePaxos(message) => message.to,
                Message::BLE(message) => message.to,
            };
            let Some(to) = config.at(to) else { continue };
            let waits = |held: &(u64, Held)| matches!(held, (number, Held::Send(id, ..)) if id == to && *number > self.synced);
            // New entries go out while this disk still writes them, so that all disks write at once: a leader may lose what it has
            // only proposed. What it counts itself in for is told once it is written.
            let early = match &message {
                Message::SequencePaxos(PaxosMessage { msg: PaxosMsg::AcceptDecide(accept), .. }) => {
                    accept.decided_idx as u64 <= self.decided_through
                }
                _ => false,
            };
            // Who is there and would lead promises nothing.
            let free = matches!(message, Message::BLE(_)) || (early && !self.held.iter().any(waits));
            let number = if free { self.synced } else { self.writes };
            self.held.push_back((
                number.min(self.writes),
                Held::Send(to.clone(), config.number, Body::Paxos(message)),
            ));
        }
    }

    /// Carries out what has been decided; tells whether a new configuration began with it.
    fn apply(&mut self, now: f64) -> bool {
        if !matches!(self.phase, Phase::Seated(_)) {
            return false;
        }
        let (entries, stop) = {
            let log = self.log.0.borrow();
            let entries = match self.leads() && Fault::AnswerBeforeMajority.is_in() {
                true => log.entries[self.applied.saturating_sub(log.cut) as usize..].to_vec(),
                false => log.decided_from(self.applied).to_vec(),
            };
            (entries, log.stopped().cloned())
        };
        for entry in entries {
            let done = self.replica.apply(&entry);
            self.applied += 1;
            let (key, answer) = match done {
                Done::Opened(drawn, session) => ((OPENING, drawn), Answer::Opened(drawn, session)),
                Done::Written(session, number, outcome) => {
                    ((session, number), Answer::Written(session, number, outcome))
                }
                Done::Office(office) => {
                    let own = self.leads() && self.asked == office;
                    self.office = own.then_some((office, now));
                    continue;
                }
                Done::Nothing => continue,
            };
            for client in self.waiting.remove(&key).unwrap_or_default() {
                self.held.push_back((self.writes, Held::Answer(client, answer.clone())));
            }
        }
        let next = stop.and_then(|stop| postcard::from_bytes::<Config>(&stop.metadata?).ok());
        match next {
            Some(next) => {
                self.waiting.clear();
                self.go_on(next);
                true
            }
            None => false,
        }
    }

    /// Cuts the log off where it is long, with the state in the place of what goes.
    fn compact(&mut self) {
        let (cut, length) = {
            let log = self.log.0.borrow();
            (log.cut, log.length())
        };
        let to = self.applied.saturating_sub(self.times.tail);
        let (Phase::Seated(paxos), Some(config)) = (&mut self.phase, &self.config) else { return };
        if length - cut < self.times.log_entries || to <= cut {
            return;
        }
        // It refuses only what is not decided, and this is.
        if paxos.snapshot(Some(to as usize), true).is_err() {
            return;
        }
        let at = Position { config: config.number, index: self.applied };
        self.image = Some(Image::new(at, config.clone(), self.replica.write()));
        self.rewrite();
    }

    /// Notes the state and the log as a store that is written anew.
    fn rewrite(&mut self) {
        let Some(image) = &self.image else { return };
        let mut log = self.log.0.borrow_mut();
        let begin = Note::Begin(self.record, image.config.clone(), image.at, image.bytes.to_vec());
        log.notes = vec![begin, Note::Start(self.starts)];
        let whole = log.whole();
        log.notes.extend(whole);
    }

    fn release(&mut self, held: Held, effects: &mut Vec<Effect>) {
        match held {
            Held::Answer(client, answer) => effects.push(Effect::Answer(client, answer)),
            Held::Send(to, config, body) => {
                self.said += 1;
                let horizon = self.log.0.borrow().cut;
                let envelope = Envelope {
                    record: self.record,
                    config,
                    from: self.id.clone(),
                    number: (self.starts, self.said),
                    horizon,
                    body,
                };
                effects.push(Effect::Send(to.name, Box::new(envelope)));
            }
        }
    }

    /// What a write came to here, if it is known.
    pub fn outcome(&self, session: u64, number: u64) -> Option<Outcome> {
        self.replica.known(session, number)
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
