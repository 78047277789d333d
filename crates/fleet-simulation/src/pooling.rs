//! The links between front doors and backends: the pools' core as it serves.

use cometspool::Millis;

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

/// The pools' core as it serves.
pub(crate) struct Pool(links::Links<usize>);

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
