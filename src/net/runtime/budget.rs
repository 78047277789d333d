//! A request's time. One [`Budget`] is made where a request's time starts; every wait below it (the rest of its body, a
//! link, a dial, the write, the answer, a further attempt, the final word) is cut out of that one and no other.
//!
//! Nothing here reads a clock: times come in as [`Millis`] on the front door's own, which no step of the wall clock moves.

use cometspool::Millis;
use std::cell::Cell;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Instant;

/// How many times what its class lets a client wait a request may ask for. Up to this it is held to its class; what is
/// beyond is no time that a client of this service would name, and is turned down like one that cannot be read.
const ABSURD: f64 = 10.0;

/// The time that a request has, fixed once. Copies of it are the same budget: two attempts of one request end together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Budget {
    end: Millis,
}

impl Budget {
    /// The budget of a request whose first byte came at `began`, by the seconds that its client told; `None` if what was
    /// told is no time: not a number, nothing or less, or absurdly more than the `most` that its class allows.
    pub(crate) fn from_header(seconds: &str, began: Millis, most: Millis) -> Option<Budget> {
        let told = 1000.0 * seconds.parse::<f64>().ok()?;
        let sane = told > 0.0 && told <= ABSURD * most;
        (sane && began.is_finite()).then(|| Budget {
            end: began + told.min(most),
        })
    }

    /// When its client stops waiting.
    pub(crate) fn end(&self) -> Millis {
        self.end
    }

    /// What is left of it; never less than nothing.
    pub(crate) fn remaining(&self, now: Millis) -> Millis {
        (self.end - now).max(0.0)
    }

    /// Whether nothing is left of it.
    pub(crate) fn is_expired(&self, now: Millis) -> bool {
        self.remaining(now) <= 0.0
    }

    /// The same budget, ending at `end` at the latest: with a planned stop, or with what a predecessor had granted.
    pub(crate) fn capped_at(&self, end: Millis) -> Budget {
        Budget {
            end: self.end.min(end),
        }
    }

    /// The part of it that an attempt begun now may take, `limit` at most; `None` if there is nothing left to take.
    pub(crate) fn attempt_deadline(
        &self,
        now: Millis,
        limit: Option<Millis>,
    ) -> Option<AttemptDeadline> {
        let until = self.end.min(now + limit.unwrap_or(f64::INFINITY));
        (until > now).then_some(AttemptDeadline {
            end: until,
            begin_before: f64::INFINITY,
        })
    }
}

/// The part of a budget that one attempt may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AttemptDeadline {
    end: Millis,
    begin_before: Millis,
}

impl AttemptDeadline {
    /// When the attempt is given up.
    pub(crate) fn end(&self) -> Millis {
        self.end
    }

    /// The same part for an attempt that may reach its backend only before `time`, if there is one: from then on the
    /// backends may have forgotten the key of an earlier attempt, and this one would run a second time.
    pub(crate) fn begin_before(self, time: Option<Millis>) -> AttemptDeadline {
        AttemptDeadline {
            begin_before: time.unwrap_or(f64::INFINITY),
            ..self
        }
    }

    /// Whether the attempt may still reach its backend.
    pub(crate) fn may_begin(&self, now: Millis) -> bool {
        now < self.begin_before
    }

    /// How long a wait for a connection may last that by itself might last `most`.
    pub(crate) fn wait(&self, now: Millis, most: Millis) -> Millis {
        (self.begin_before.min(self.end) - now).clamp(0.0, most.max(0.0))
    }

    /// What a backend is told that it has, in seconds: what is left, less the way its answer takes. One that ends its
    /// work just in time for a clock of its own would be late here. At least a millisecond: nothing would be misread.
    pub(crate) fn header_value(&self, now: Millis, way_back: Millis) -> String {
        let left = self.end - now - way_back.max(0.0);
        // Cut, not rounded: nobody is told more than there is.
        format!("{:.3}", (left.max(1.0).floor()) / 1000.0)
    }
}

// ---- Lag --------------------------------------------------------------------------------------------

/// By how much something may be late before the loop counts as held up: timers are that coarse, and a turn of the loop
/// that is merely full takes that long.
const TOLERANCE: Millis = 20.0;
/// For how long a loop that is too busy to sleep may take to read what waited.
const CATCH_UP: Millis = 50.0;

/// When the loop last woke, when it did so before that, and how often. Each sleep looks for what has come, so what is read
/// after one came after the waking before it. Written by the runtime's own hook; a note taken before a sleep would not do,
/// as a pause may lie between that and the look.
#[derive(Clone, Debug)]
pub(crate) struct WakeRecorder {
    start: Instant,
    noted: Arc<[AtomicU64; 3]>,
}

impl WakeRecorder {
    /// A loop that has not slept yet.
    pub(crate) fn new() -> WakeRecorder {
        WakeRecorder {
            start: Instant::now(),
            noted: Arc::default(),
        }
    }

    /// The instant from which it counts.
    pub(crate) fn started_at(&self) -> Instant {
        self.start
    }

    /// The loop wakes now.
    pub(crate) fn record_wake(&self) {
        self.woke(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX));
    }

    fn woke(&self, micros: u64) {
        let [before, last, times] = &*self.noted;
        before.store(last.swap(micros, Ordering::Relaxed), Ordering::Relaxed);
        times.fetch_add(1, Ordering::Relaxed);
    }

    /// When it woke before it last did, in milliseconds from its start.
    fn before(&self) -> Millis {
        self.noted[0].load(Ordering::Relaxed) as f64 / 1000.0
    }

    fn times(&self) -> u64 {
        self.noted[2].load(Ordering::Relaxed)
    }
}

/// A time for which the loop was held up.
#[derive(Clone, Copy, Debug)]
struct Stall {
    /// When it last had nothing left to read.
    since: Millis,
    /// When that was found out, and how often the loop had slept by then.
    found: Millis,
    times: u64,
}

/// Whether the process was kept from running: paused, starved of its core, or held up by a task. Bytes that came
/// meanwhile waited unread, and their client's time ran: what is read next is taken to have come when the loop last had
/// nothing left to read. It may have come later; then it is answered sooner than it need be.
///
/// What shows it is something that runs late. That is charged until the loop has slept once more: a signal that ends a
/// pause may end the sleep too, and the bytes are seen by the next one.
#[derive(Debug)]
pub(crate) struct StallMonitor {
    woken: WakeRecorder,
    /// Where the loop's start stands on the front door's clock.
    zero: Millis,
    /// When something last ran, and when the next thing should at the latest.
    alive: Cell<Millis>,
    next: Cell<Millis>,
    held_up: Cell<Option<Stall>>,
    worst: Cell<Millis>,
}

impl StallMonitor {
    /// Of a loop that wakes as `woken` tells; its start stands at `zero` on the front door's clock.
    pub(crate) fn new(woken: WakeRecorder, zero: Millis) -> StallMonitor {
        let (held_up, worst) = (Cell::new(None), Cell::new(0.0));
        StallMonitor {
            woken,
            zero,
            alive: Cell::new(zero),
            next: Cell::new(f64::INFINITY),
            held_up,
            worst,
        }
    }

    /// Something will run at `at`, unless the loop is held up.
    pub(crate) fn expect(&self, at: Millis) {
        self.next.set(at);
    }

    /// Something that was due at `at` runs now.
    pub(crate) fn timer_fired(&self, at: Millis, now: Millis) {
        self.look(now);
        if now - at > TOLERANCE {
            self.late(now);
        } else if self
            .still(now)
            .is_none_or(|held_up| now - held_up.found > CATCH_UP)
        {
            self.held_up.set(None);
        }
        self.alive.set(self.alive.get().max(now));
    }

    /// When bytes may have come that are read now.
    pub(crate) fn arrival_time(&self, now: Millis) -> Millis {
        self.look(now);
        self.still(now)
            .map_or(now, |held_up| held_up.since.min(now))
    }

    /// Readers, and timers set since, may be woken before the one that would have told.
    fn look(&self, now: Millis) {
        if now - self.next.get() > TOLERANCE {
            self.next.set(f64::INFINITY);
            self.late(now);
        }
    }

    fn late(&self, now: Millis) {
        let quiet = self
            .alive
            .get()
            .max(self.zero + self.woken.before())
            .min(now);
        let since = self.still(now).map_or(quiet, |held_up| held_up.since);
        self.held_up.set(Some(Stall {
            since,
            found: now,
            times: self.woken.times(),
        }));
        self.worst.set(self.worst.get().max(now - since));
    }

    /// The time held up, while what waited through it may still be read.
    fn still(&self, now: Millis) -> Option<Stall> {
        let held_up = self.held_up.get()?;
        (self.woken.times() <= held_up.times + 1 && now >= held_up.found).then_some(held_up)
    }

    /// The longest time for which the loop was held up since this was last asked, if it ever was.
    pub(crate) fn take_longest_stall(&self) -> Option<Millis> {
        Some(self.worst.replace(0.0)).filter(|worst| *worst > 0.0)
    }
}

#[cfg(test)]
mod tests;
