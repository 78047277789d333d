//! Any number of members in one process, over a network drawn from a seed: what the tests and the figures play.
//!
//! Time is simulated, in ms; nothing waits. A datagram or a comparison's message can be delayed, lost, doubled, damaged or
//! cut by what stands between two members; a member can be killed, stopped, started anew or slowed.

use crate::core::Membership;
use crate::counters::Counters;
use crate::effect::{Change, Effect};
use crate::member::Member;
use crate::times::Times;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// What carries between members.
#[derive(Clone, Debug)]
pub struct Network {
    /// One way, ms, drawn evenly between these.
    pub delay: (f64, f64),
    /// Part of the datagrams that is lost.
    pub loss: f64,
    /// Part that comes twice.
    pub duplicate: f64,
    /// Part in which a byte is changed.
    pub damage: f64,
    /// Part that is kept and comes again up to 30 s later.
    pub replay: f64,
}

impl Default for Network {
    fn default() -> Network {
        // The operators' halls: 1.4 to 2.6 ms one way.
        Network {
            delay: (1.4, 2.6),
            loss: 0.0,
            duplicate: 0.0,
            damage: 0.0,
            replay: 0.0,
        }
    }
}

/// Something that a member saw change.
#[derive(Clone, Debug)]
pub struct Seen {
    /// When, ms.
    pub at: f64,
    /// Who saw it.
    pub by: usize,
    /// What.
    pub change: Change,
}

struct Seat {
    member: Option<Membership>,
    /// What was counted in its earlier lives.
    before: Counters,
    /// Until when it stands still; what comes meanwhile waits.
    stopped: Option<f64>,
    waiting: Vec<What>,
}

#[derive(Clone, Debug)]
enum What {
    Tick,
    Datagram(Vec<u8>),
    Compared { from: usize, bytes: Vec<u8> },
}

/// A fleet in simulated time.
pub struct Sim {
    /// The time, ms.
    pub now: f64,
    /// What stands between all.
    pub network: Network,
    /// One-way cuts.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Changes, in the order in which they were seen.
    pub seen: Vec<Seen>,
    /// Bytes of comparisons.
    pub compared_bytes: u64,
    /// Datagrams dropped for their checksum.
    pub damaged: u64,
    /// What each start adds to the number of a member: under nought where the clock was set back.
    pub clock_ahead: f64,
    seats: Vec<Seat>,
    names: Vec<String>,
    told: Vec<Vec<usize>>,
    addresses: BTreeMap<SocketAddr, usize>,
    times: Times,
    size: u32,
    /// What is to come, by when, as bits (a time is never under nought, so they are ordered as it is), and then by turn.
    events: BTreeMap<(u64, u64), (usize, What)>,
    order: u64,
    chance: StdRng,
    /// Seats whose tick is due at a time that stands in `events`.
    ticks: Vec<f64>,
}

fn address(seat: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (seat / 250) as u8, (seat % 250) as u8], 9100))
}

impl Sim {
    /// Seats for `count` members, each of whom is told of `told` others drawn by chance (all, if that is more). Nobody is
    /// started yet.
    pub fn new(count: usize, told: usize, times: Times, network: Network, seed: u64) -> Sim {
        let mut chance = StdRng::seed_from_u64(seed);
        let mut pick = |seat: usize| -> Vec<usize> {
            if told + 1 >= count {
                return (0..count).filter(|other| *other != seat).collect();
            }
            let mut picked = BTreeSet::new();
            while picked.len() < told {
                picked.insert(chance.random_range(0..count));
                picked.remove(&seat);
            }
            picked.into_iter().collect()
        };
        let told = (0..count).map(&mut pick).collect();
        Sim {
            now: 0.0,
            network,
            cuts: BTreeSet::new(),
            seen: Vec::new(),
            compared_bytes: 0,
            damaged: 0,
            clock_ahead: 0.0,
            seats: (0..count)
                .map(|_| Seat {
                    member: None,
                    before: Counters::default(),
                    stopped: None,
                    waiting: Vec::new(),
                })
                .collect(),
            names: (0..count).map(|seat| format!("n{seat}")).collect(),
            told,
            addresses: (0..count).map(|seat| (address(seat), seat)).collect(),
            times,
            size: count as u32,
            events: BTreeMap::new(),
            order: 0,
            chance,
            ticks: vec![f64::INFINITY; count],
        }
    }

    /// Gives a seat the name of another: two processes under one name.
    pub fn rename(&mut self, seat: usize, name: &str) {
        name.clone_into(&mut self.names[seat]);
    }

    /// Changes whom a seat is told of when it starts next.
    pub fn tell(&mut self, seat: usize, told: Vec<usize>) {
        self.told[seat] = told;
    }

    /// Puts the process of one seat at the address of another: datagrams for that address come here.
    pub fn take_address(&mut self, seat: usize, of: usize) {
        self.addresses.insert(address(of), seat);
    }

    /// Starts a member, anew if it was there before.
    pub fn start(&mut self, seat: usize) {
        let (number, life) = (
            (1_000_000.0 + self.now + self.clock_ahead) as u64,
            self.chance.random(),
        );
        let own = Member {
            number,
            life,
            zone: format!("zone-{}", seat % 3),
            version: 1,
            keeper: seat < 3,
            ..Member::unknown(&self.names[seat], address(seat))
        };
        let told = self.told[seat]
            .iter()
            .map(|other| Member::unknown(&self.names[*other], address(*other)))
            .collect();
        let member = Membership::new(
            self.now,
            own,
            told,
            self.times.clone(),
            self.size,
            self.chance.random(),
        );
        self.seats[seat].member = Some(member);
        self.seats[seat].stopped = None;
        self.seats[seat].waiting.clear();
        self.plan_tick(seat);
    }

    /// Kills a member.
    pub fn kill(&mut self, seat: usize) {
        if let Some(member) = self.seats[seat].member.take() {
            let (counters, before) = (member.counters(), &mut self.seats[seat].before);
            before.sent += counters.sent;
            before.sent_bytes += counters.sent_bytes;
        }
    }

    /// Lets a member go by its own choice.
    pub fn leave(&mut self, seat: usize) {
        let now = self.now;
        if let Some(member) = &mut self.seats[seat].member {
            let effects = member.leave(now);
            self.carry_out(seat, effects);
        }
        self.kill(seat);
    }

    /// Stops a member for a time; what comes meanwhile waits for it.
    pub fn stop(&mut self, seat: usize, time: f64) {
        self.seats[seat].stopped = Some(self.now + time);
        self.push(self.now + time, seat, What::Tick);
    }

    /// Cuts the members into parts that hear nothing of each other.
    pub fn split(&mut self, parts: &[Vec<usize>]) {
        for (number, part) in parts.iter().enumerate() {
            for (i, j) in parts
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != number)
                .flat_map(|(_, other)| {
                    part.iter()
                        .flat_map(move |i| other.iter().map(move |j| (*i, *j)))
                })
            {
                self.cuts.insert((i, j));
            }
        }
    }

    /// A member that runs.
    pub fn member(&self, seat: usize) -> Option<&Membership> {
        self.seats[seat].member.as_ref()
    }

    /// Seats in which a member runs that takes part.
    pub fn running(&self) -> Vec<usize> {
        let runs = |seat: &usize| {
            self.seats[*seat]
                .member
                .as_ref()
                .is_some_and(|member| !member.gone())
        };
        (0..self.seats.len()).filter(runs).collect()
    }

    /// Whether each of these knows all of these to be present, and nobody else.
    pub fn agree(&self, seats: &[usize]) -> bool {
        let names: BTreeSet<&str> = seats
            .iter()
            .map(|seat| self.names[*seat].as_str())
            .collect();
        seats.iter().all(|seat| {
            self.member(*seat).is_some_and(|member| {
                member
                    .view()
                    .present
                    .keys()
                    .map(|name| &**name)
                    .eq(names.iter().copied())
            })
        })
    }

    /// Datagrams and their bytes that all have sent.
    pub fn sent(&self) -> (u64, u64) {
        let now = |seat: &Seat| {
            seat.member
                .as_ref()
                .map(Membership::counters)
                .unwrap_or_default()
        };
        self.seats.iter().fold((0, 0), |(sent, bytes), seat| {
            (
                sent + seat.before.sent + now(seat).sent,
                bytes + seat.before.sent_bytes + now(seat).sent_bytes,
            )
        })
    }

    /// Has a member tell its load.
    pub fn tell_load(&mut self, seat: usize, load: u16) {
        let now = self.now;
        if let Some(member) = &mut self.seats[seat].member {
            member.report_load(now, load);
        }
    }

    fn push(&mut self, at: f64, to: usize, what: What) {
        self.order += 1;
        self.events.insert((at.to_bits(), self.order), (to, what));
    }

    fn plan_tick(&mut self, seat: usize) {
        let next = self.seats[seat].member.as_ref().and_then(Membership::next);
        if let Some(at) = next.filter(|at| *at < self.ticks[seat]) {
            let at = at.max(self.now);
            self.ticks[seat] = at;
            self.push(at, seat, What::Tick);
        }
    }

    /// Plays until a time.
    pub fn run_to(&mut self, end: f64) {
        self.run_while(end, |_| true);
    }

    /// Plays until a time, or until this no longer holds; looked at every 250 ms. Tells whether it ended to hold.
    pub fn run_while(&mut self, end: f64, goes_on: impl Fn(&Sim) -> bool) -> bool {
        let mut look = self.now;
        while let Some(at) = self
            .events
            .first_key_value()
            .map(|((at, _), _)| f64::from_bits(*at))
        {
            if at > end {
                break;
            }
            if at >= look {
                look = at + 250.0;
                if !goes_on(self) {
                    return true;
                }
            }
            if let Some((_, (to, what))) = self.events.pop_first() {
                self.now = self.now.max(at);
                self.happen(at, to, what);
            }
        }
        self.now = self.now.max(end);
        !goes_on(self)
    }

    fn happen(&mut self, at: f64, seat: usize, what: What) {
        if matches!(what, What::Tick) && at >= self.ticks[seat] {
            self.ticks[seat] = f64::INFINITY;
        }
        if let Some(until) = self.seats[seat].stopped {
            if self.now < until {
                // As a socket does: what comes while nobody reads waits, up to a bound.
                if !matches!(what, What::Tick) && self.seats[seat].waiting.len() < 256 {
                    self.seats[seat].waiting.push(what);
                }
                return;
            }
            self.seats[seat].stopped = None;
            let waiting = std::mem::take(&mut self.seats[seat].waiting);
            waiting.into_iter().for_each(|what| self.act(seat, what));
        }
        self.act(seat, what);
    }

    fn act(&mut self, seat: usize, what: What) {
        let now = self.now;
        let Some(member) = &mut self.seats[seat].member else {
            return;
        };
        let effects = match what {
            What::Tick => member.tick(now),
            What::Datagram(bytes) => member.receive(now, &bytes),
            What::Compared { from, bytes } => {
                let (effects, back) = member.compare(now, &bytes);
                if let Some(back) = back {
                    self.send_compared(seat, from, back);
                }
                effects
            }
        };
        self.carry_out(seat, effects);
        self.plan_tick(seat);
    }

    fn delay(&mut self) -> f64 {
        self.chance
            .random_range(self.network.delay.0..=self.network.delay.1)
    }

    fn send_compared(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        // A comparison goes over a connection: it comes whole or not at all, and only if both directions carry.
        if self.cuts.contains(&(from, to)) || self.cuts.contains(&(to, from)) {
            return;
        }
        self.compared_bytes += bytes.len() as u64;
        let at = self.now + 3.0 * self.delay();
        self.push(at, to, What::Compared { from, bytes });
    }

    fn carry_out(&mut self, seat: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Changed(change) => self.seen.push(Seen {
                    at: self.now,
                    by: seat,
                    change,
                }),
                Effect::Compare { with, bytes } => {
                    if let Some(to) = self.addresses.get(&with.address).copied() {
                        // The way checks the name of whom it reaches.
                        if self.names[to] == *with.name {
                            self.send_compared(seat, to, bytes);
                        }
                    }
                }
                Effect::Send { to, bytes } => {
                    let Some(to) = self.addresses.get(&to.address).copied() else {
                        continue;
                    };
                    self.datagram(seat, to, bytes.to_vec());
                }
            }
        }
    }

    fn datagram(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let network = self.network.clone();
        let mut by_chance = |part: f64| part > 0.0 && self.chance.random_bool(part);
        let (lost, twice, damaged, again) = (
            by_chance(network.loss),
            by_chance(network.duplicate),
            by_chance(network.damage),
            by_chance(network.replay),
        );
        if lost || self.cuts.contains(&(from, to)) {
            return;
        }
        if damaged {
            // Frames carry a checksum: what is damaged is counted and dropped before a member sees it.
            self.damaged += 1;
            return;
        }
        let at = self.now + self.delay();
        if twice {
            let later = at + self.delay();
            self.push(later, to, What::Datagram(bytes.clone()));
        }
        if again {
            let later = at + self.chance.random_range(0.0..30_000.0);
            self.push(later, to, What::Datagram(bytes.clone()));
        }
        self.push(at, to, What::Datagram(bytes));
    }
}
