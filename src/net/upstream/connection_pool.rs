//! Which link to a backend a request takes, when one is dialled, and which are kept: the core of the pools.
//!
//! Nothing here has a socket or a clock. What happened comes in with its time, what is to be done goes out as
//! [`Effect`]s; links and those who wait for one are numbers of the driver's. The experiments of `crates/fleet-simulation` play the
//! same file.
//!
//! What a backend's table of connections holds is told nowhere, and all front doors share it. So each holds what its own
//! attempts need by Little's law, with room for chance, and takes a refusal beside links that work for a full table: it
//! halves what it holds there, and grows slowly.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, VecDeque};

/// A time in milliseconds.
type Millis = f64;

/// A link, as the driver numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct LinkId(pub u64);

/// One that waits for a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Ticket(pub u64);

/// A dial, as it is begun: what comes of it is told under the same number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct DialId(pub u64);

/// What bounds the links, by the settings and the limits of the machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Bounds {
    /// Links and dials that there may be at once, to all backends.
    pub budget: usize,
    /// A backend closes a link that has been idle this long.
    pub idle_close: Millis,
    /// Front doors of the fleet.
    pub doors: u32,
    /// Price of a new link for each first try, and of links held, as the settings tell them.
    pub handshake_price: f64,
    /// Price of the links open on average, over a hundred for each backend.
    pub connection_price: f64,
}

impl Bounds {
    /// Links that a front door may hold at a backend beyond what its mean need and chance ask for.
    fn spare(&self) -> f64 {
        (FLEET_SPARE / f64::from(self.doors.max(1)))
            .max(LEAST_SPARE)
            .floor()
    }
}

/// Something for the driver to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Effect<B> {
    /// Dial a backend and tell how it went.
    Dial(B, DialId),
    /// One that waits has its link.
    Give(Ticket, LinkId),
    /// One that waits has none.
    Fail(Ticket, Why),
    /// Close a link.
    Close(LinkId),
    /// Ask again at this time whether a dial is due.
    Wake(B, Millis),
}

/// Why one that waited has no link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Why {
    /// The backend refuses, is silent or cannot be reached.
    Unreachable,
    /// It works and takes no further link, or takes it too slowly.
    Full,
    /// It is no longer to be sent to, or is another process now.
    Gone,
    /// This front door has no descriptor for one.
    Own,
}

/// What a request gets at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Taken {
    /// A link that was idle for so many milliseconds.
    Kept(LinkId, u32),
    /// A place in the line; an effect tells more.
    Waits,
    /// This front door has no room for a further link.
    NoRoom,
}

/// Part of the backends' idle time for which a link is kept: one closed there costs a request.
const IDLE_PART: f64 = 0.6;
/// A link is taken again rather after than before this time since its last answer: what a backend sends behind an
/// answer has come by then. Where there is no other, it rests for what is left of this.
pub(crate) const SETTLED: Millis = 3.0;
/// Links that the whole fleet may hold at a backend before any need has been seen, and what each front door may hold of
/// them at the least.
const FLEET_SPARE: f64 = 64.0;
const LEAST_SPARE: f64 = 2.0;
/// Standard deviations of chance by which a front door may pass its mean need.
const CHANCE: f64 = 3.0;
/// Time over which the mean need is taken, and while it rises: what waits is news.
const NEED_MEMORY: Millis = 10_000.0;
const NEED_RISE: Millis = 1_000.0;
/// Dials to one backend that one front door has out at once.
const AT_ONCE: usize = 2;
/// What a front door holds of a table that is full is halved, no more often than this; as long it dials no more.
const BACK_OFF: Millis = 250.0;
/// In this time it grows by one link again: slow against the halving, so that a fleet finds a level.
const GROW: Millis = 2_000.0;

// ---- How old a kept link may be ---------------------------------------------------------------------

/// Shortest idle age told apart from younger ones; each band of ages is twice as old as the one before.
const YOUNGEST: Millis = 4.0;
/// Bands of idle ages: the last begins at about 16 s.
const BANDS: usize = 13;
/// What was seen of a band counts half after this.
const AGES_HALFLIFE: Millis = 4_000.0;
/// Broken links from which a band of ages is taken to fail, if they are this part of those used.
const FAILING: f64 = 2.0;
const FAILING_PART: f64 = 0.2;

#[derive(Clone, Copy, Default)]
struct Band {
    used: f64,
    broken: f64,
    at: Millis,
}

impl Band {
    fn kept(&self, now: Millis) -> f64 {
        (-(now - self.at).max(0.0) / AGES_HALFLIFE).exp2()
    }
}

/// Up to what idle age kept links turn out to be alive. Backends close earlier than they say, and what lies between
/// forgets links unseen. It learns from every request on a kept link; those that may be repeated go on using old ones,
/// so a recovery is learnt too. It covers no backend that alone breaks young links, and hurts, by new links that were not
/// needed, where breaks that have nothing to do with age pass the part.
#[derive(Default)]
struct Ages([Band; BANDS]);

impl Ages {
    fn band(idle: Millis) -> usize {
        ((idle / YOUNGEST).log2().max(-1.0) as isize + 1).clamp(0, BANDS as isize - 1) as usize
    }

    /// What became of a request on a link that had been idle so long.
    fn learn(&mut self, now: Millis, idle: Millis, broke: bool) {
        let band = &mut self.0[Self::band(idle)];
        let kept = band.kept(now);
        band.used = band.used * kept + 1.0;
        band.broken = band.broken * kept + f64::from(u8::from(broke));
        band.at = now;
    }

    /// Whether links of this idle age, and of every lower one, hold.
    fn hold(&self, now: Millis, idle: Millis) -> bool {
        let fails = |band: &Band| {
            band.broken * band.kept(now) >= FAILING && band.broken >= FAILING_PART * band.used
        };
        !self.0[..=Self::band(idle)].iter().any(fails)
    }
}

// ---- Links ------------------------------------------------------------------------------------------

/// The links to one backend.
#[derive(Default)]
struct Shelf {
    /// Those that carry nothing and since when, the most recently used last.
    idle: Vec<(LinkId, Millis)>,
    busy: usize,
    /// Dials under way. One that was begun before the backend changed is none of these: what comes of it leads elsewhere.
    dials: Vec<DialId>,
    waiting: VecDeque<Ticket>,
    /// Attempts at a time on average, as of `need_at`.
    need: f64,
    need_at: Millis,
    /// Links that its table seems to have room for, as of `most_at`; unknown until it turned one away.
    most: Option<f64>,
    most_at: Millis,
    /// No dial before this.
    not_before: Millis,
    /// When it has last been asked to be woken for that.
    wakes: Millis,
    /// Dials ahead of traffic that are due.
    ahead: Option<Millis>,
}

impl Shelf {
    fn held(&self) -> usize {
        self.idle.len() + self.busy + self.dials.len()
    }

    /// Brings the mean need up to now; call before what is out or waits changes.
    fn observe(&mut self, now: Millis) {
        let present = (self.busy + self.waiting.len()) as f64;
        let memory = if present > self.need {
            NEED_RISE
        } else {
            NEED_MEMORY
        };
        let keep = (-(now - self.need_at).max(0.0) / memory).exp();
        self.need = self.need * keep + present * (1.0 - keep);
        self.need_at = now;
    }

    /// Links that may be held, `spare` of them whatever the need.
    fn limit(&self, now: Millis, spare: f64) -> usize {
        let needed = (self.need + CHANCE * self.need.sqrt()).floor() + spare;
        let room = self.most.map_or(f64::INFINITY, |most| {
            most + (now - self.most_at).max(0.0) / GROW
        });
        needed.min(room.floor()).max(1.0) as usize
    }
}

/// The links to all backends, which `B` names.
pub(crate) struct Links<B> {
    bounds: Bounds,
    shelves: BTreeMap<B, Shelf>,
    ages: Ages,
    rng: Pcg32,
    /// First tries a second on average, as of `rate_at`.
    rate: f64,
    rate_at: Millis,
    open: usize,
    dialled: u64,
}

impl<B: Copy + Ord> Links<B> {
    /// No links yet; `seed` is the only source of chance.
    pub(crate) fn new(bounds: Bounds, seed: u64) -> Links<B> {
        let (shelves, ages) = (BTreeMap::new(), Ages::default());
        let rng = Pcg32::seed_from_u64(seed);
        Links {
            bounds,
            shelves,
            ages,
            rng,
            rate: 0.0,
            rate_at: 0.0,
            open: 0,
            dialled: 0,
        }
    }

    /// Reckons with so many front doors from now on.
    pub(crate) fn fleet_of(&mut self, doors: u32) {
        self.bounds.doors = doors;
    }

    /// Links and dials that there are.
    #[cfg(test)]
    pub(crate) fn open(&self) -> usize {
        self.open
    }

    /// Backends of which something is held.
    #[cfg(test)]
    pub(crate) fn shelves(&self) -> usize {
        self.shelves.len()
    }

    /// A request wants a link to a backend. One that must run `once` gets no link of an age that is in doubt.
    pub(crate) fn take(
        &mut self,
        now: Millis,
        to: B,
        who: Ticket,
        once: bool,
        effects: &mut Vec<Effect<B>>,
    ) -> Taken {
        self.observe_rate(now);
        let longest = self.longest_idle();
        let shelf = self.shelves.entry(to).or_default();
        shelf.observe(now);
        let settled = shelf
            .idle
            .iter()
            .rposition(|(_, since)| now - since >= SETTLED);
        if let Some(place) = settled.or(shelf.idle.len().checked_sub(1)) {
            let (link, since) = shelf.idle[place];
            let idle = now - since;
            // A dial costs no more than what is in doubt; an unsafe request would be lost with it.
            if idle < longest && (!once || self.ages.hold(now, idle)) {
                shelf.idle.remove(place);
                shelf.busy += 1;
                return Taken::Kept(link, idle.max(0.0) as u32);
            }
        }
        // Nobody is kept waiting for a shortage of this front door's own: it is known at once.
        if self.open >= self.bounds.budget && !self.close_oldest(effects) {
            return Taken::NoRoom;
        }
        self.shelves.entry(to).or_default().waiting.push_back(who);
        self.dial(now, to, effects);
        Taken::Waits
    }

    /// Begins the dials that are due: no more than wait, few at a time, and none beyond what may be held.
    fn dial(&mut self, now: Millis, to: B, effects: &mut Vec<Effect<B>>) {
        let spare = self.bounds.spare();
        let Some(shelf) = self.shelves.get_mut(&to) else {
            return;
        };
        while shelf.dials.len() < shelf.waiting.len().min(AT_ONCE) && self.open < self.bounds.budget
        {
            // What is idle and was not good enough is no reason to go without.
            let held = shelf.busy + shelf.dials.len();
            if held > 0 && held >= shelf.limit(now, spare) {
                return;
            }
            if held > 0 && now < shelf.not_before {
                if shelf.wakes < shelf.not_before {
                    shelf.wakes = shelf.not_before;
                    effects.push(Effect::Wake(to, shelf.not_before));
                }
                return;
            }
            self.dialled += 1;
            self.open += 1;
            shelf.dials.push(DialId(self.dialled));
            effects.push(Effect::Dial(to, DialId(self.dialled)));
        }
    }

    /// A time that was asked for has come.
    pub(crate) fn wake(&mut self, now: Millis, to: B, effects: &mut Vec<Effect<B>>) {
        let Some(shelf) = self.shelves.get_mut(&to) else {
            return;
        };
        let ahead = shelf.ahead.take_if(|at| *at <= now).is_some();
        if ahead && shelf.held() == 0 && self.open < self.bounds.budget {
            self.dialled += 1;
            self.open += 1;
            shelf.dials.push(DialId(self.dialled));
            effects.push(Effect::Dial(to, DialId(self.dialled)));
        }
        self.dial(now, to, effects);
    }

    /// Demand will use a backend to which there is no link: one is dialled ahead, at a time of its own within `spread`.
    /// Whatever the fleet learns at one instant, its dials come one by one; a request that is sooner dials at once. Where
    /// handshakes have a price none is made on a guess: one in twenty-five is never used, and what it saves is a round trip.
    pub(crate) fn ahead(
        &mut self,
        now: Millis,
        to: B,
        spread: Millis,
        effects: &mut Vec<Effect<B>>,
    ) {
        if self.bounds.handshake_price > 0.0 {
            return;
        }
        let part = f64::from(self.rng.next_u32()) / 4_294_967_296.0;
        let shelf = self.shelves.entry(to).or_default();
        if shelf.held() == 0 && shelf.ahead.is_none() {
            let at = now + spread * part;
            shelf.ahead = Some(at);
            effects.push(Effect::Wake(to, at));
        }
    }

    /// A dial came up as this link: for whoever waits longest, or for later.
    pub(crate) fn dialled(
        &mut self,
        now: Millis,
        to: B,
        dial: DialId,
        link: LinkId,
        effects: &mut Vec<Effect<B>>,
    ) {
        let Some(shelf) = self.over(to, dial) else {
            self.open = self.open.saturating_sub(1);
            effects.push(Effect::Close(link));
            return;
        };
        shelf.observe(now);
        shelf.busy += 1;
        self.freed(now, to, link, effects);
        self.dial(now, to, effects);
    }

    /// A dial did not come up; it was this front door's own doing (`own`) or the backend's.
    pub(crate) fn refused(
        &mut self,
        now: Millis,
        to: B,
        dial: DialId,
        own: bool,
        effects: &mut Vec<Effect<B>>,
    ) {
        self.open = self.open.saturating_sub(1);
        let spare = self.bounds.spare();
        let Some(shelf) = self.over(to, dial) else {
            return;
        };
        shelf.observe(now);
        let live = shelf.busy + shelf.idle.len() > 0;
        if live && !own {
            Self::crowded_shelf(shelf, now, spare);
        }
        if live {
            // Others wait on for a link that comes free; the one whose dial this was may go elsewhere.
            if let Some(who) = shelf.waiting.pop_front() {
                effects.push(Effect::Fail(who, if own { Why::Own } else { Why::Full }));
            }
        } else {
            // Whoever else waits is better off elsewhere, at once; a dial that still comes up is kept.
            let why = if own { Why::Own } else { Why::Unreachable };
            effects.extend(shelf.waiting.drain(..).map(|who| Effect::Fail(who, why)));
        }
        self.dial(now, to, effects);
    }

    /// Takes a dial that is over off the shelf it was begun for; nothing if what it was begun for has changed since.
    fn over(&mut self, to: B, dial: DialId) -> Option<&mut Shelf> {
        let shelf = self.shelves.get_mut(&to)?;
        let place = shelf
            .dials
            .iter()
            .position(|under_way| *under_way == dial)?;
        shelf.dials.remove(place);
        Some(shelf)
    }

    /// A backend turned a new link's first request away: its table is full.
    pub(crate) fn crowded(&mut self, now: Millis, to: B) {
        if let Some(shelf) = self.shelves.get_mut(&to) {
            Self::crowded_shelf(shelf, now, self.bounds.spare());
        }
    }

    fn crowded_shelf(shelf: &mut Shelf, now: Millis, spare: f64) {
        // Several refusals of one moment are one piece of news.
        if now >= shelf.not_before {
            let held = (shelf.held() as f64).min(shelf.limit(now, spare) as f64);
            (shelf.most, shelf.most_at) = (Some((held / 2.0).max(1.0)), now);
            shelf.not_before = now + BACK_OFF;
        }
    }

    /// A link has carried its request and is whole: for whoever waits longest, or for later.
    pub(crate) fn freed(&mut self, now: Millis, to: B, link: LinkId, effects: &mut Vec<Effect<B>>) {
        self.returned(now, to, link, 0.0, effects);
    }

    /// A link comes back that has carried nothing since it had been idle for so long: it is as old as it was.
    pub(crate) fn returned(
        &mut self,
        now: Millis,
        to: B,
        link: LinkId,
        idle: Millis,
        effects: &mut Vec<Effect<B>>,
    ) {
        let Some(shelf) = self.shelves.get_mut(&to) else {
            self.open = self.open.saturating_sub(1);
            effects.push(Effect::Close(link));
            return;
        };
        shelf.observe(now);
        if let Some(who) = shelf.waiting.pop_front() {
            effects.push(Effect::Give(who, link));
            return;
        }
        shelf.busy = shelf.busy.saturating_sub(1);
        let place = shelf
            .idle
            .partition_point(|(_, since)| *since <= now - idle);
        shelf.idle.insert(place, (link, now - idle));
    }

    /// A link that carried something is gone.
    pub(crate) fn lost(&mut self, now: Millis, to: B, effects: &mut Vec<Effect<B>>) {
        self.open = self.open.saturating_sub(1);
        if let Some(shelf) = self.shelves.get_mut(&to) {
            shelf.observe(now);
            shelf.busy = shelf.busy.saturating_sub(1);
        }
        self.dial(now, to, effects);
    }

    /// One that waited does so no longer. Its dial goes on: what comes of it is kept.
    pub(crate) fn left(&mut self, now: Millis, to: B, who: Ticket) {
        if let Some(shelf) = self.shelves.get_mut(&to) {
            shelf.observe(now);
            shelf.waiting.retain(|waiting| *waiting != who);
        }
    }

    /// What is idle to a backend leads nowhere: it drains, fell silent, or another process has its address. `anew` if
    /// dials under way lead nowhere either.
    pub(crate) fn close(&mut self, to: B, anew: bool, effects: &mut Vec<Effect<B>>) {
        let Some(shelf) = self.shelves.get_mut(&to) else {
            return;
        };
        self.open = self.open.saturating_sub(shelf.idle.len());
        effects.extend(shelf.idle.drain(..).map(|(link, _)| Effect::Close(link)));
        if anew {
            shelf.dials.clear();
            (shelf.most, shelf.not_before, shelf.wakes, shelf.ahead) = (None, 0.0, 0.0, None);
            effects.extend(
                shelf
                    .waiting
                    .drain(..)
                    .map(|who| Effect::Fail(who, Why::Gone)),
            );
        }
    }

    /// A backend that is gone. Links that carry something end with what they carry.
    pub(crate) fn forget(&mut self, to: B, effects: &mut Vec<Effect<B>>) {
        self.close(to, true, effects);
        let Some(shelf) = self.shelves.remove(&to) else {
            return;
        };
        // What is still out comes back to nobody; the driver closes it and tells.
        if shelf.busy > 0 {
            self.shelves.insert(
                to,
                Shelf {
                    busy: shelf.busy,
                    ..Shelf::default()
                },
            );
        }
    }

    /// Whether a dial to a backend is under way.
    pub(crate) fn dialling(&self, to: B) -> bool {
        self.shelves
            .get(&to)
            .is_some_and(|shelf| !shelf.dials.is_empty())
    }

    /// Links to a backend that carry nothing.
    #[cfg(test)]
    pub(crate) fn idle(&self, to: B) -> usize {
        self.shelves.get(&to).map_or(0, |shelf| shelf.idle.len())
    }

    /// Links to a backend that may be held.
    #[cfg(test)]
    pub(crate) fn most(&self, now: Millis, to: B) -> usize {
        let spare = self.bounds.spare();
        self.shelves
            .get(&to)
            .map_or(spare as usize, |shelf| shelf.limit(now, spare))
    }

    /// Makes idle links older.
    #[cfg(test)]
    pub(crate) fn age(&mut self, by: Millis) {
        for (_, since) in self.shelves.values_mut().flat_map(|shelf| &mut shelf.idle) {
            *since -= by;
        }
    }

    /// Learns whether a link that had been idle so long has borne another request.
    pub(crate) fn learn(&mut self, now: Millis, idle: Millis, broke: bool) {
        self.ages.learn(now, idle, broke);
    }

    /// Closes what has been idle for too long or is more than is needed, and forgets backends of which nothing is held.
    pub(crate) fn tidy(&mut self, now: Millis, effects: &mut Vec<Effect<B>>) {
        let (longest, spare) = (self.longest_idle(), self.bounds.spare());
        for shelf in self.shelves.values_mut() {
            shelf.observe(now);
            let limit = shelf.limit(now, spare);
            let over = shelf.held().saturating_sub(limit);
            // The least recently used go first.
            let old = shelf
                .idle
                .iter()
                .take_while(|(_, since)| now - since >= longest)
                .count();
            let gone = old.max(over).min(shelf.idle.len());
            self.open = self.open.saturating_sub(gone);
            effects.extend(
                shelf
                    .idle
                    .drain(..gone)
                    .map(|(link, _)| Effect::Close(link)),
            );
        }
        self.shelves.retain(|_, shelf| {
            let known = shelf
                .most
                .is_some_and(|most| most + (now - shelf.most_at) / GROW < 64.0);
            shelf.held() + shelf.waiting.len() > 0
                || shelf.ahead.is_some()
                || known
                || shelf.need > 0.01
        });
    }

    /// For how long a link is kept that nobody uses: well short of the backends' own limit, and no longer than what it
    /// costs to keep is under the price of a new one. The settings price both over the whole fleet: a handshake for each
    /// first try, and the links open on average over a hundred for each backend.
    fn longest_idle(&self) -> Millis {
        let longest = IDLE_PART * self.bounds.idle_close;
        let fleet = self.rate * f64::from(self.bounds.doors.max(1));
        let (handshake, keeping) = (self.bounds.handshake_price, self.bounds.connection_price);
        if keeping > 0.0 && fleet > 0.0 {
            let backends = self.shelves.len().max(1) as f64;
            longest.min(1000.0 * handshake.max(0.0) * 100.0 * backends / (keeping * fleet))
        } else {
            longest
        }
    }

    fn observe_rate(&mut self, now: Millis) {
        let keep = (-(now - self.rate_at).max(0.0) / NEED_MEMORY).exp();
        self.rate = self.rate * keep + 1000.0 / NEED_MEMORY;
        self.rate_at = now;
    }

    /// Closes the link that has been idle longest, wherever it leads; tells whether there was one.
    fn close_oldest(&mut self, effects: &mut Vec<Effect<B>>) -> bool {
        let shelves = self
            .shelves
            .values_mut()
            .filter(|shelf| !shelf.idle.is_empty());
        let oldest = shelves.min_by(|a, b| a.idle[0].1.total_cmp(&b.idle[0].1));
        let Some(shelf) = oldest else { return false };
        let (link, _) = shelf.idle.remove(0);
        self.open = self.open.saturating_sub(1);
        effects.push(Effect::Close(link));
        true
    }
}

#[cfg(test)]
// `crates/fleet-simulation` includes this file by its path, from where the default place would be another.
#[path = "connection_pool/tests.rs"]
mod tests;
