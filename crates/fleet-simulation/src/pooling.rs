//! The links between front doors and backends: the pools' core as it serves, and what was there before it.

use cometspool::Millis;

#[cfg(not(feature = "base"))]
#[path = "../../../src/net/upstream/connection_pool.rs"]
#[allow(dead_code, unreachable_pub, missing_docs)]
mod links;

/// Something for the world to do.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Act {
    /// Dial a backend, for nobody or for this call.
    Dial(usize, Option<usize>),
    /// A call has this link.
    Give(usize, u64),
    /// A call has none: nothing is there (`false`), or it has no room (`true`).
    Fail(usize, bool),
    /// Close a link.
    Close(u64),
    /// Ask again at this time.
    Wake(usize, Millis),
}

/// What a call gets at once.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Got {
    Kept(u64),
    Waits,
    NoRoom,
}

/// A dial that came up, or why not.
pub(crate) enum Dialled {
    Up(u64),
    Refused,
}

/// Descriptors for links of a front door: two fifths of 576, as on the days of many.
const BUDGET: usize = 220;
/// Idle time after which a backend closes a link.
const IDLE_CLOSE: Millis = 30_000.0;

/// What was there before: an idle link, or a dial for oneself.
#[cfg(feature = "base")]
pub(crate) struct Pool {
    idle: std::collections::BTreeMap<usize, Vec<(u64, Millis)>>,
    waiting: std::collections::BTreeSet<usize>,
    open: usize,
}

#[cfg(feature = "base")]
impl Pool {
    pub fn new(_doors: u32, _seed: u64) -> Pool {
        Pool {
            idle: Default::default(),
            waiting: Default::default(),
            open: 0,
        }
    }

    pub fn take(
        &mut self,
        now: Millis,
        to: usize,
        call: usize,
        _once: bool,
        acts: &mut Vec<Act>,
    ) -> Got {
        let idle = self.idle.entry(to).or_default();
        if let Some(place) = idle
            .iter()
            .rposition(|(_, since)| now - since < 0.6 * IDLE_CLOSE)
        {
            return Got::Kept(idle.remove(place).0);
        }
        if self.open >= BUDGET {
            let Some(oldest) = self.idle.values_mut().find(|idle| !idle.is_empty()) else {
                return Got::NoRoom;
            };
            acts.push(Act::Close(oldest.remove(0).0));
            self.open -= 1;
        }
        self.open += 1;
        self.waiting.insert(call);
        acts.push(Act::Dial(to, Some(call)));
        Got::Waits
    }

    pub fn dialled(
        &mut self,
        _: Millis,
        _to: usize,
        call: Option<usize>,
        how: Dialled,
        acts: &mut Vec<Act>,
    ) {
        let waits = call.filter(|call| self.waiting.remove(call));
        match (how, waits) {
            (Dialled::Up(link), Some(call)) => acts.push(Act::Give(call, link)),
            (Dialled::Up(link), None) => {
                self.open -= 1;
                acts.push(Act::Close(link));
            }
            (Dialled::Refused, waits) => {
                self.open -= 1;
                acts.extend(waits.map(|call| Act::Fail(call, false)));
            }
        }
    }

    pub fn left(&mut self, _: Millis, _to: usize, call: usize) {
        self.waiting.remove(&call);
    }

    pub fn freed(&mut self, now: Millis, to: usize, link: u64, _: &mut Vec<Act>) {
        self.idle.entry(to).or_default().push((link, now));
    }

    pub fn lost(&mut self, _: Millis, _to: usize, _: &mut Vec<Act>) {
        self.open -= 1;
    }

    pub fn gone(&mut self, to: usize, acts: &mut Vec<Act>) {
        for (link, _) in self.idle.remove(&to).unwrap_or_default() {
            self.open -= 1;
            acts.push(Act::Close(link));
        }
    }

    pub fn tidy(&mut self, now: Millis, acts: &mut Vec<Act>) {
        for idle in self.idle.values_mut() {
            let old = idle
                .iter()
                .take_while(|(_, since)| now - since >= 0.6 * IDLE_CLOSE)
                .count();
            self.open -= old;
            acts.extend(idle.drain(..old).map(|(link, _)| Act::Close(link)));
        }
    }

    pub fn wake(&mut self, _: Millis, _to: usize, _: &mut Vec<Act>) {}
}

/// The pools' core as it serves.
#[cfg(not(feature = "base"))]
pub(crate) struct Pool(links::Links<usize>);

#[cfg(not(feature = "base"))]
impl Pool {
    pub(crate) fn new(doors: u32, seed: u64) -> Pool {
        let (handshake_price, connection_price) = (0.02, 0.0);
        let bounds = links::Bounds {
            budget: BUDGET,
            idle_close: IDLE_CLOSE,
            doors,
            handshake_price,
            connection_price,
        };
        Pool(links::Links::new(bounds, seed))
    }

    fn with<T>(
        &mut self,
        acts: &mut Vec<Act>,
        tell: impl FnOnce(&mut links::Links<usize>, &mut Vec<links::Effect<usize>>) -> T,
    ) -> T {
        let mut effects = Vec::new();
        let told = tell(&mut self.0, &mut effects);
        acts.extend(effects.into_iter().map(|effect| match effect {
            links::Effect::Dial(to, dial) => Act::Dial(to, Some(dial.0 as usize)),
            links::Effect::Give(who, link) => Act::Give(who.0 as usize, link.0),
            links::Effect::Fail(who, why) => {
                Act::Fail(who.0 as usize, why != links::Why::Unreachable)
            }
            links::Effect::Close(link) => Act::Close(link.0),
            links::Effect::Wake(to, at) => Act::Wake(to, at),
        }));
        told
    }

    pub(crate) fn take(
        &mut self,
        now: Millis,
        to: usize,
        call: usize,
        once: bool,
        acts: &mut Vec<Act>,
    ) -> Got {
        match self.with(acts, |links, fx| {
            links.take(now, to, links::Ticket(call as u64), once, fx)
        }) {
            links::Taken::Kept(link, _) => Got::Kept(link.0),
            links::Taken::Waits => Got::Waits,
            links::Taken::NoRoom => Got::NoRoom,
        }
    }

    pub(crate) fn dialled(
        &mut self,
        now: Millis,
        to: usize,
        dial: Option<usize>,
        how: Dialled,
        acts: &mut Vec<Act>,
    ) {
        let dial = links::DialId(dial.unwrap_or_default() as u64);
        self.with(acts, |links, fx| match how {
            Dialled::Up(link) => links.dialled(now, to, dial, links::LinkId(link), fx),
            Dialled::Refused => links.refused(now, to, dial, false, fx),
        });
    }

    pub(crate) fn left(&mut self, now: Millis, to: usize, call: usize) {
        self.0.left(now, to, links::Ticket(call as u64));
    }

    pub(crate) fn freed(&mut self, now: Millis, to: usize, link: u64, acts: &mut Vec<Act>) {
        self.with(acts, |links, fx| {
            links.freed(now, to, links::LinkId(link), fx);
        });
    }

    pub(crate) fn lost(&mut self, now: Millis, to: usize, acts: &mut Vec<Act>) {
        self.with(acts, |links, fx| links.lost(now, to, fx));
    }

    pub(crate) fn gone(&mut self, to: usize, acts: &mut Vec<Act>) {
        self.with(acts, |links, fx| links.forget(to, fx));
    }

    pub(crate) fn silent(&mut self, to: usize, acts: &mut Vec<Act>) {
        self.with(acts, |links, fx| links.close(to, false, fx));
    }

    pub(crate) fn ahead(&mut self, now: Millis, to: usize, within: Millis, acts: &mut Vec<Act>) {
        self.with(acts, |links, fx| links.ahead(now, to, within, fx));
    }

    pub(crate) fn tidy(&mut self, now: Millis, acts: &mut Vec<Act>) {
        self.with(acts, |links, fx| links.tidy(now, fx));
    }

    pub(crate) fn wake(&mut self, now: Millis, to: usize, acts: &mut Vec<Act>) {
        self.with(acts, |links, fx| links.wake(now, to, fx));
    }
}

#[cfg(feature = "base")]
impl Pool {
    pub fn silent(&mut self, to: usize, acts: &mut Vec<Act>) {
        self.gone(to, acts);
    }
}
