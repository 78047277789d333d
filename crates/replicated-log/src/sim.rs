//! A group of keepers and its clients in one process, over a network and disks drawn from a seed.
//!
//! Time is simulated, in ms. What stands between two may delay, lose, double, reorder or cut; a keeper may be killed at any
//! effect, with what it has not written through lost or torn, its disk wiped, put back or damaged, or stand still. What every
//! client was told is kept for the checkers.

use crate::client::{Client, ClientEffect, Ended};
use crate::entry::Id;
use crate::fault::Fault;
use crate::keeper::{Effect, Keeper, Standing, Start, Times};
use crate::log::Note;
use crate::machine::Machine;
use crate::store::{self, Kept};
use crate::wire::{Answer, Envelope, Request};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// What carries between all.
#[derive(Clone, Debug)]
pub struct Network {
    /// One way, ms, drawn evenly between these.
    pub delay: (f64, f64),
    /// Part that is lost.
    pub loss: f64,
    /// Part that comes twice.
    pub duplicate: f64,
    /// Part that comes up to this much later, ms.
    pub straggle: (f64, f64),
}

impl Default for Network {
    fn default() -> Network {
        Network {
            delay: (1.4, 2.6),
            loss: 0.0,
            duplicate: 0.0,
            straggle: (0.0, 0.0),
        }
    }
}

/// A list that grows: what each write adds is its bytes, and its answer the place it got.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct List(pub Vec<Vec<u8>>);

impl Machine for List {
    fn apply(&mut self, _: u64, command: &[u8]) -> Vec<u8> {
        self.0.push(command.to_vec());
        (self.0.len() as u64 - 1).to_le_bytes().to_vec()
    }

    fn passed(&mut self, _: u64) {}

    fn write(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.0).unwrap_or_default()
    }

    fn read(bytes: &[u8]) -> Option<List> {
        postcard::from_bytes(bytes).ok().map(List)
    }
}

/// What became of a write.
#[derive(Clone, Debug)]
pub struct Write {
    /// Its client, and its number there.
    pub of: (usize, u64),
    /// When it was asked for, ms.
    pub from: f64,
    /// When it ended, ms, and how; not at all by the end of the play unless told.
    pub ended: Option<(f64, Ended)>,
}

/// One disk: what is written through, and what may or may not be there after a crash.
#[derive(Clone, Debug, Default)]
struct Disk {
    sound: Vec<u8>,
    loose: Vec<u8>,
    /// What tells this file from a copy.
    file: String,
    backup: Option<Vec<u8>>,
}

struct Seat {
    keeper: Option<Keeper<List>>,
    disk: Disk,
    lives: u64,
    stopped: Option<f64>,
    waiting: Vec<What>,
    /// Disk writes take this long, ms.
    slow: f64,
    run: u64,
    /// When its next tick is due.
    planned: f64,
}

#[derive(Clone, Debug)]
enum What {
    Tick,
    Word(Box<Envelope>),
    Request(usize, Request),
    Written(u64, u64, usize),
    Client(usize),
    Answer(usize, Answer),
}

/// What acted, so that a clean play can show that it was no idle one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Acted {
    /// Words lost, doubled, and that came late.
    pub lost: u64,
    /// See above.
    pub doubled: u64,
    /// See above.
    pub late: u64,
    /// Changes of the leader that were seen.
    pub leaders: u64,
    /// Keepers that were killed, disks that were wiped, stores put back, torn or damaged.
    pub kills: u64,
    /// See above.
    pub wipes: u64,
    /// Stores that a keeper dropped as its own: forgotten, a copy, damaged.
    pub dropped: u64,
    /// Configurations that began after the first.
    pub changes: u64,
    /// Bytes between keepers.
    pub bytes: u64,
}

/// The play.
pub struct Sim {
    /// The time, ms.
    pub now: f64,
    /// What stands between all.
    pub network: Network,
    /// One-way cuts, by seat; clients reach every keeper that runs.
    pub cuts: BTreeSet<(usize, usize)>,
    /// What clients asked for.
    pub writes: Vec<Write>,
    /// What acted.
    pub acted: Acted,
    /// All that was ever seen applied: by position in the list, the first that was seen there, and by whom.
    seen: Vec<Vec<u8>>,
    /// Where two keepers had something else at one place.
    pub diverged: Vec<String>,
    seats: Vec<Seat>,
    clients: Vec<Client>,
    /// When the last word in order arrives, by link.
    arrived: BTreeMap<(usize, usize), f64>,
    /// When each client is called next.
    calls: Vec<f64>,
    times: Times,
    durable: bool,
    founders: usize,
    /// What is to come, by when, as bits (a time is never under nought, so they are ordered as it is), and then by turn.
    events: BTreeMap<(u64, u64), (usize, What)>,
    order: u64,
    chance: StdRng,
    leader: Option<usize>,
    config: u32,
}

fn name(seat: usize) -> String {
    format!("k{seat}")
}

impl Sim {
    /// Keepers, of whom the first `founders` found the record, and clients. All keepers start.
    pub fn new(
        keepers: usize,
        founders: usize,
        clients: usize,
        durable: bool,
        times: Times,
        seed: u64,
    ) -> Sim {
        let mut chance = StdRng::seed_from_u64(seed);
        let names: Vec<String> = (0..founders).map(name).collect();
        let count = clients;
        let clients = (0..clients)
            .map(|_| Client::new(names.clone(), 300.0, chance.random()))
            .collect();
        let seat = |_| Seat {
            keeper: None,
            disk: Disk::default(),
            lives: 0,
            stopped: None,
            waiting: Vec::new(),
            slow: 0.5,
            run: 0,
            planned: 0.0,
        };
        let mut sim = Sim {
            now: 0.0,
            network: Network::default(),
            cuts: BTreeSet::new(),
            writes: Vec::new(),
            acted: Acted::default(),
            seen: Vec::new(),
            diverged: Vec::new(),
            seats: (0..keepers).map(seat).collect(),
            arrived: BTreeMap::new(),
            calls: vec![0.0; count],
            clients,
            times,
            durable,
            founders,
            events: BTreeMap::new(),
            order: 0,
            chance,
            leader: None,
            config: 1,
        };
        (0..keepers).for_each(|seat| sim.start(seat));
        sim
    }

    fn names(&self) -> Vec<String> {
        (0..self.founders).map(name).collect()
    }

    /// Starts a keeper with what its disk holds.
    pub fn start(&mut self, seat: usize) {
        let zones = (0..self.seats.len())
            .map(|seat| (name(seat), format!("zone-{}", seat % 3)))
            .collect();
        let own = &mut self.seats[seat];
        own.run += 1;
        own.planned = self.now;
        own.stopped = None;
        own.waiting.clear();
        let bytes = std::mem::take(&mut own.disk.sound);
        let found = match bytes.is_empty() || !self.durable {
            true => None,
            false => match store::decode(&bytes, &own.disk.file) {
                Ok(found) => Some(found),
                Err(_) => {
                    self.acted.dropped += 1;
                    None
                }
            },
        };
        let start = match found {
            Some(found) => {
                own.disk.sound = bytes[..found.sound].to_vec();
                Start::Found(Box::new(found), self.names())
            }
            None => {
                let own = &mut self.seats[seat];
                own.lives += 1;
                own.disk.file = format!("{seat}/{}", own.lives);
                let mut id = Id {
                    name: name(seat),
                    life: self.chance.random(),
                };
                if Fault::VoteAfterAmnesia.is_in() {
                    id.life = seat as u64 + 1;
                }
                own.disk.sound = store::head(&Kept {
                    id: id.clone(),
                    file: own.disk.file.clone(),
                });
                Start::Empty(id, self.names())
            }
        };
        let (keeper, effects) = Keeper::new(
            self.now,
            start,
            self.times.clone(),
            self.durable,
            zones,
            self.chance.random(),
        );
        self.seats[seat].keeper = Some(keeper);
        self.push(self.now, seat, What::Tick);
        self.carry_out(seat, effects);
    }

    /// Kills a keeper. Of what was not written through, a drawn part is there after.
    pub fn kill(&mut self, seat: usize) {
        let own = &mut self.seats[seat];
        if own.keeper.take().is_some() {
            self.acted.kills += 1;
            own.run += 1;
            let loose = std::mem::take(&mut own.disk.loose);
            let there = self.chance.random_range(0..=loose.len());
            own.disk.sound.extend(&loose[..there]);
        }
    }

    /// Takes the disk of a keeper that does not run.
    pub fn wipe(&mut self, seat: usize) {
        self.acted.wipes += 1;
        self.seats[seat].disk = Disk::default();
    }

    /// Keeps a copy of what a keeper's disk holds now.
    pub fn back_up(&mut self, seat: usize) {
        self.seats[seat].disk.backup = Some(self.seats[seat].disk.sound.clone());
    }

    /// Puts the copy back in place of what a keeper's disk holds. `told` is whether the copy can be told from the file by the
    /// system: a disk that was set back whole can't.
    pub fn put_back(&mut self, seat: usize, told: bool) {
        self.acted.wipes += 1;
        let disk = &mut self.seats[seat].disk;
        if let Some(backup) = disk.backup.clone() {
            disk.sound = backup;
            if told {
                disk.file.push_str(" (copy)");
            }
        }
    }

    /// Cuts bytes off the end of what a keeper's disk holds.
    pub fn tear(&mut self, seat: usize, bytes: usize) {
        self.acted.wipes += 1;
        let sound = &mut self.seats[seat].disk.sound;
        sound.truncate(sound.len().saturating_sub(bytes));
    }

    /// Changes a byte in the middle of what a keeper's disk holds.
    pub fn damage(&mut self, seat: usize) {
        self.acted.wipes += 1;
        let sound = &mut self.seats[seat].disk.sound;
        let middle = sound.len() / 2;
        if let Some(byte) = sound.get_mut(middle) {
            *byte ^= 0x10;
        }
    }

    /// Stops a keeper for a time; what comes meanwhile waits for it.
    pub fn stop(&mut self, seat: usize, time: f64) {
        self.seats[seat].stopped = Some(self.now + time);
        self.seats[seat].planned = self.now + time;
        self.push(self.now + time, seat, What::Tick);
    }

    /// How long a keeper's disk takes for a write, ms.
    pub fn slow_disk(&mut self, seat: usize, time: f64) {
        self.seats[seat].slow = time;
    }

    /// Cuts two from each other.
    pub fn cut(&mut self, a: usize, b: usize) {
        self.cuts.extend([(a, b), (b, a)]);
    }

    /// Cuts the keepers into parts.
    pub fn split(&mut self, parts: &[&[usize]]) {
        for (number, part) in parts.iter().enumerate() {
            for other in &parts[number + 1..] {
                part.iter()
                    .for_each(|a| other.iter().for_each(|b| self.cut(*a, *b)));
            }
        }
    }

    /// Whether a keeper runs.
    pub fn runs(&self, seat: usize) -> bool {
        self.seats[seat].keeper.is_some()
    }

    /// A keeper that runs.
    pub fn keeper(&self, seat: usize) -> Option<&Keeper<List>> {
        self.seats[seat].keeper.as_ref()
    }

    /// Who leads, of those that run and think so; the one in the latest office.
    pub fn leading(&self) -> Option<usize> {
        let leads = |seat: &usize| {
            let own = &self.seats[*seat];
            own.stopped.is_none()
                && own
                    .keeper
                    .as_ref()
                    .is_some_and(|k| k.standing() == Standing::Leader)
        };
        (0..self.seats.len())
            .filter(leads)
            .max_by_key(|seat| self.keeper(*seat).map(|k| k.replica().office()))
    }

    /// Has a client ask for a write; its bytes are its own.
    pub fn write(&mut self, client: usize) {
        let number = self.writes.len() as u64;
        let bytes = postcard::to_stdvec(&(client as u64, number)).unwrap_or_default();
        if let Some((own, effects)) = self.clients[client].write(self.now, bytes) {
            self.writes.push(Write {
                of: (client, own),
                from: self.now,
                ended: None,
            });
            self.client_effects(client, effects);
        }
    }

    /// Has the clients write in turn, a write each `gap` ms, for a time.
    pub fn ask(&mut self, span: f64, gap: f64) {
        let end = self.now + span;
        while self.now < end {
            self.write(self.writes.len() % self.clients.len());
            self.run_to(self.now + gap);
        }
    }

    /// Writes that were promised.
    pub fn promised(&self) -> usize {
        self.writes
            .iter()
            .filter(|write| matches!(write.ended, Some((_, Ended::Done(_)))))
            .count()
    }

    fn push(&mut self, at: f64, to: usize, what: What) {
        self.order += 1;
        self.events
            .insert((at.max(0.0).to_bits(), self.order), (to, what));
    }

    /// Plays until a time.
    pub fn run_to(&mut self, end: f64) {
        self.run_while(end, |_| true);
    }

    /// Plays until a time, or until this no longer holds; tells whether it ended to hold.
    pub fn run_while(&mut self, end: f64, goes_on: impl Fn(&Sim) -> bool) -> bool {
        while let Some(first) = self
            .events
            .first_entry()
            .filter(|first| f64::from_bits(first.key().0) <= end)
        {
            let ((at, _), (to, what)) = first.remove_entry();
            self.now = self.now.max(f64::from_bits(at));
            self.happen(to, what);
            if !goes_on(self) {
                return true;
            }
        }
        self.now = self.now.max(end);
        !goes_on(self)
    }

    fn happen(&mut self, to: usize, what: What) {
        match what {
            What::Client(client) if self.now < self.calls[client] => {}
            What::Client(client) => {
                let effects = self.clients[client].tick(self.now);
                self.client_effects(client, effects);
            }
            What::Answer(client, answer) => {
                let effects = self.clients[client].answered(self.now, answer);
                self.client_effects(client, effects);
            }
            what => self.keeper_event(to, what),
        }
    }

    fn keeper_event(&mut self, seat: usize, what: What) {
        if let Some(until) = self.seats[seat].stopped {
            if self.now < until {
                if !matches!(what, What::Tick) && self.seats[seat].waiting.len() < 512 {
                    self.seats[seat].waiting.push(what);
                }
                return;
            }
            self.seats[seat].stopped = None;
            let waiting = std::mem::take(&mut self.seats[seat].waiting);
            waiting
                .into_iter()
                .for_each(|what| self.keeper_event(seat, what));
        }
        let (now, run) = (self.now, self.seats[seat].run);
        if let What::Written(of, _, bytes) = &what {
            if *of == run {
                let disk = &mut self.seats[seat].disk;
                let through: Vec<u8> = disk.loose.drain(..(*bytes).min(disk.loose.len())).collect();
                disk.sound.extend(through);
            }
        }
        let ticked = matches!(what, What::Tick);
        if ticked && now < self.seats[seat].planned {
            return;
        }
        let Some(keeper) = &mut self.seats[seat].keeper else {
            return;
        };
        let effects = match what {
            What::Tick => keeper.tick(now),
            What::Word(envelope) => keeper.receive(now, *envelope),
            What::Request(client, request) => keeper.request(now, &client.to_string(), request),
            What::Written(of, number, _) if of == run => keeper.written(now, number),
            _ => return,
        };
        let next = keeper.next();
        if ticked {
            let next = next.max(now + 1.0);
            self.seats[seat].planned = next;
            self.push(next, seat, What::Tick);
        }
        self.carry_out(seat, effects);
        self.look(seat);
    }

    /// Holds what a keeper has applied against what others had.
    fn look(&mut self, seat: usize) {
        let Some(keeper) = &self.seats[seat].keeper else {
            return;
        };
        let list = &keeper.replica().machine.0;
        let known = self.seen.len().min(list.len());
        // Only the last ones can be new; all are compared at the end.
        if known > 0 && self.seen[known - 1] != list[known - 1] {
            self.diverged.push(format!(
                "{} at {}: place {}",
                name(seat),
                self.now,
                known - 1
            ));
        }
        let more = list[known..].to_vec();
        let config = keeper.config().map_or(1, |config| config.number);
        let leads = keeper.standing() == Standing::Leader;
        self.seen.extend(more);
        if config > self.config {
            self.acted.changes += u64::from(config - self.config);
            self.config = config;
        }
        if leads && self.leader != Some(seat) {
            self.leader = Some(seat);
            self.acted.leaders += 1;
        }
    }

    fn delay(&mut self) -> f64 {
        self.chance
            .random_range(self.network.delay.0..=self.network.delay.1)
    }

    fn carry_out(&mut self, seat: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Write(number, notes) => self.written(seat, number, &notes, false),
                Effect::Rewrite(number, notes) => self.written(seat, number, &notes, true),
                Effect::Send(to, envelope) => self.send(seat, &to, envelope),
                Effect::Answer(client, answer) => {
                    let Ok(client) = client.parse::<usize>() else {
                        continue;
                    };
                    let at = self.now + self.delay();
                    if !self.by_chance(self.network.loss) {
                        self.push(at, 0, What::Answer(client, answer));
                    }
                }
                Effect::Forgotten => {
                    self.acted.dropped += 1;
                    self.seats[seat].keeper = None;
                    self.seats[seat].disk.sound.clear();
                    self.seats[seat].disk.loose.clear();
                    self.start(seat);
                    return;
                }
            }
        }
    }

    fn written(&mut self, seat: usize, number: u64, notes: &[Note], anew: bool) {
        let bytes = store::encode(notes);
        let (own, mut loose) = (&mut self.seats[seat], bytes.len());
        if anew {
            // A new file is put in the place of the old one by a rename: one or the other is there. What was on its way into
            // the old one is in the new one.
            let Some(keeper) = &own.keeper else { return };
            own.disk.sound = store::head(&Kept {
                id: keeper.id().clone(),
                file: own.disk.file.clone(),
            });
            own.disk.sound.extend(bytes);
            own.disk.loose.clear();
            loose = 0;
        } else {
            own.disk.loose.extend(bytes);
        }
        let (run, at) = (own.run, self.now + own.slow);
        self.push(at, seat, What::Written(run, number, loose));
    }

    fn by_chance(&mut self, part: f64) -> bool {
        part > 0.0 && self.chance.random_bool(part)
    }

    fn send(&mut self, from: usize, to: &str, envelope: Box<Envelope>) {
        let Some(to) = to
            .strip_prefix('k')
            .and_then(|seat| seat.parse::<usize>().ok())
        else {
            return;
        };
        if to >= self.seats.len() || self.cuts.contains(&(from, to)) {
            return;
        }
        let (loss, double, (part, most)) = (
            self.network.loss,
            self.network.duplicate,
            self.network.straggle,
        );
        if self.by_chance(loss) {
            self.acted.lost += 1;
            return;
        }
        // It goes as bytes, as it would between processes.
        let Ok(bytes) = postcard::to_stdvec(&*envelope) else {
            return;
        };
        self.acted.bytes += bytes.len() as u64;
        let Ok(envelope) = postcard::from_bytes::<Envelope>(&bytes) else {
            self.diverged
                .push(format!("a word that cannot be read: {:?}", envelope.body));
            return;
        };
        let mut at = self.now + self.delay();
        // A connection carries in order; only what straggles is overtaken.
        if self.by_chance(part) {
            self.acted.late += 1;
            at += self.chance.random_range(0.0..most.max(1.0));
        } else {
            let last = self.arrived.entry((from, to)).or_default();
            at = at.max(*last);
            *last = at;
        }
        if self.by_chance(double) {
            self.acted.doubled += 1;
            let again = at + self.chance.random_range(0.0..most.max(5.0));
            self.push(again, to, What::Word(Box::new(envelope.clone())));
        }
        self.push(at, to, What::Word(Box::new(envelope)));
    }

    fn client_effects(&mut self, client: usize, effects: Vec<ClientEffect>) {
        for effect in effects {
            match effect {
                ClientEffect::Send(keeper, request) => {
                    let seat = keeper
                        .strip_prefix('k')
                        .and_then(|seat| seat.parse::<usize>().ok());
                    let Some(seat) = seat.filter(|seat| *seat < self.seats.len()) else {
                        continue;
                    };
                    let at = self.now + self.delay();
                    let loss = self.network.loss;
                    if self.by_chance(loss) {
                        continue;
                    }
                    if self.by_chance(self.network.duplicate) {
                        let again = at + self.chance.random_range(0.0..2000.0);
                        self.push(again, seat, What::Request(client, request.clone()));
                    }
                    self.push(at, seat, What::Request(client, request));
                }
                ClientEffect::Ended(number, ended) => {
                    let now = self.now;
                    let write = self
                        .writes
                        .iter_mut()
                        .find(|write| write.of == (client, number));
                    if let Some(write) = write {
                        write.ended = Some((now, ended));
                    }
                }
            }
        }
        // One call is planned at a time: an earlier one takes the place of a later.
        if let Some(at) = self.clients[client].next().map(|at| at.max(self.now + 1.0)) {
            if self.calls[client] <= self.now || at < self.calls[client] {
                self.calls[client] = at;
                self.push(at, 0, What::Client(client));
            }
        }
    }

    /// What a play broke, if anything: every promised write is there, once, at the place that it was told; none is there
    /// twice; no two keepers ever had something else at one place; and who asked after another was promised comes after it.
    pub fn broken(&self) -> Vec<String> {
        let mut broken = self.diverged.clone();
        for seat in 0..self.seats.len() {
            let list = self.keeper(seat).map(|keeper| &keeper.replica().machine.0);
            if let Some(place) =
                list.and_then(|list| list.iter().zip(&self.seen).position(|(a, b)| a != b))
            {
                broken.push(format!(
                    "{} has something else at place {place}",
                    name(seat)
                ));
            }
        }
        let mut places: BTreeMap<&[u8], usize> = BTreeMap::new();
        for (place, bytes) in self.seen.iter().enumerate() {
            if let Some(first) = places.insert(bytes, place) {
                broken.push(format!("one write at places {first} and {place}"));
            }
        }
        let mut promised: Vec<(f64, f64, u64)> = Vec::new();
        for (number, write) in self.writes.iter().enumerate() {
            let bytes =
                postcard::to_stdvec(&(write.of.0 as u64, number as u64)).unwrap_or_default();
            let place = places.get(&bytes[..]).copied();
            if let Some((at, Ended::Done(answer))) = &write.ended {
                let told = answer[..].try_into().map(u64::from_le_bytes).ok();
                if place.map(|place| place as u64) != told {
                    broken.push(format!(
                        "write {number} was promised at {told:?} and is at {place:?}"
                    ));
                }
                promised.push((write.from, *at, told.unwrap_or_default()));
            }
        }
        // Linearizable: sorted by when they were asked for, no earlier place than any that was promised before that.
        let mut by_end: Vec<(f64, u64)> = promised
            .iter()
            .map(|(_, end, place)| (*end, *place))
            .collect();
        by_end.sort_by(|a, b| a.0.total_cmp(&b.0));
        promised.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (mut done, mut highest) = (0, None);
        for (from, _, place) in promised {
            while by_end.get(done).is_some_and(|(end, _)| *end < from) {
                highest = highest.max(Some(by_end[done].1));
                done += 1;
            }
            if highest.is_some_and(|highest| place < highest) {
                broken.push(format!(
                    "place {place} was asked for after place {highest:?} was promised"
                ));
            }
        }
        broken
    }
}

/// A play with faults of every kind, drawn from a seed, and a rest without any at its end. At most one keeper's disk is
/// touched before the group is whole again, as promises bear no more.
pub fn drawn(seed: u64) -> Sim {
    let mut chance = StdRng::seed_from_u64(seed ^ 0x5eed);
    let founders = if chance.random_bool(0.7) { 3 } else { 5 };
    let keepers = founders + chance.random_range(0..=1);
    let (durable, clients) = (chance.random_bool(0.8), 4);
    let times = Times {
        replace: 3000.0,
        log_entries: 64,
        tail: 16,
        piece: 256,
        ..Times::default()
    };
    let mut sim = Sim::new(keepers, founders, clients, durable, times, chance.random());
    sim.run_while(20_000.0, |sim| sim.leading().is_none());
    let end = sim.now + 30_000.0;
    while sim.now < end {
        let at = sim.now + chance.random_range(50.0..800.0);
        while sim.now < at {
            sim.write(chance.random_range(0..clients));
            sim.run_to(sim.now + chance.random_range(2.0..40.0));
        }
        fault(&mut sim, &mut chance, keepers, founders);
    }
    sim.cuts.clear();
    sim.network = Network::default();
    (0..keepers).for_each(|seat| sim.slow_disk(seat, 0.5));
    (0..keepers)
        .filter(|seat| !sim.runs(*seat))
        .collect::<Vec<_>>()
        .into_iter()
        .for_each(|seat| sim.start(seat));
    sim.run_while(sim.now + 120_000.0, |sim| {
        sim.writes.iter().any(|write| write.ended.is_none())
    });
    sim.run_to(sim.now + 5000.0);
    sim
}

fn fault(sim: &mut Sim, chance: &mut StdRng, keepers: usize, founders: usize) {
    let seat = chance.random_range(0..keepers);
    // Whether every seat of the group has a keeper that runs and takes part: a disk may go then, and no second one.
    let whole = sim
        .leading()
        .and_then(|leader| sim.keeper(leader)?.config().cloned())
        .is_some_and(|config| {
            let sits = |id: &Id| {
                (0..keepers)
                    .filter_map(|seat| sim.keeper(seat))
                    .any(|keeper| {
                        keeper.id() == id
                            && keeper
                                .config()
                                .is_some_and(|own| own.number == config.number)
                            && matches!(keeper.standing(), Standing::Leader | Standing::Follower)
                    })
            };
            // Its loss has to be one of the group's: one that stands by may be about to take a seat.
            let own = sim
                .keeper(seat)
                .is_some_and(|keeper| config.seat(keeper.id()).is_some());
            own && config.keepers.len() == founders && config.keepers.iter().all(sits)
        });
    match chance.random_range(0..16) {
        0 | 1 => {
            sim.network = Network {
                loss: *pick(chance, &[0.0, 0.02, 0.1, 0.3]),
                duplicate: *pick(chance, &[0.0, 0.05, 0.2]),
                straggle: (*pick(chance, &[0.0, 0.05, 0.2]), 3000.0),
                ..Network::default()
            };
        }
        2 => sim.cuts.clear(),
        3 => {
            let other = chance.random_range(0..keepers);
            if chance.random_bool(0.5) {
                sim.cut(seat, other);
            } else {
                sim.cuts.insert((seat, other));
            }
        }
        4 => {
            let (some, rest): (Vec<usize>, Vec<usize>) =
                (0..keepers).partition(|_| chance.random_bool(0.5));
            sim.split(&[&some, &rest]);
        }
        5 => sim.stop(seat, chance.random_range(100.0..8000.0)),
        6 => sim.slow_disk(seat, *pick(chance, &[0.5, 5.0, 50.0, 500.0])),
        7..=10 if whole && sim.runs(seat) => {
            if chance.random_bool(0.5) {
                sim.back_up(seat);
            }
            sim.kill(seat);
            match chance.random_range(0..3) {
                0 => sim.wipe(seat),
                1 => sim.put_back(seat, true),
                _ => sim.damage(seat),
            }
        }
        11 if sim.durable => {
            // All at once, with their disks.
            (0..keepers).for_each(|seat| sim.kill(seat));
            (0..keepers).for_each(|seat| sim.start(seat));
        }
        _ => {
            let dead: Vec<usize> = (0..keepers).filter(|seat| !sim.runs(*seat)).collect();
            match dead.first() {
                Some(dead) if chance.random_bool(0.6) => sim.start(*dead),
                // In memory a kill takes all that a keeper has.
                _ if sim.durable || whole => sim.kill(seat),
                _ => {}
            }
        }
    }
}

fn pick<'a, T>(chance: &mut StdRng, from: &'a [T]) -> &'a T {
    &from[chance.random_range(0..from.len())]
}
