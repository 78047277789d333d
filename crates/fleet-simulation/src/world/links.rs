//! The links between front doors and backends: dials, handshakes and ends.

use super::schedule::SimEvent;
use super::World;
use crate::pooling::{CheckoutResult, DialResult, Pool, PoolStep};
use crate::scenario::Ill;
use cometspool::{Idempotency, Millis, Outcome};

/// Time after which a dial that nobody answers is given up.
const DIAL_TIMEOUT: Millis = 250.0;
/// Work of a handshake.
const HANDSHAKE: f64 = 1.0;

/// A link between a front door and a backend.
pub(super) struct Link {
    pub(super) backend: usize,
    /// Whether the backend's process still has it, and whether its front door has heard that it is gone.
    pub(super) open: bool,
    pub(super) reset: bool,
}

impl World {
    /// Tells a front door's pool something and does what comes of it.
    pub(super) fn pool<T>(
        &mut self,
        door: usize,
        tell: impl FnOnce(&mut Pool, Millis, &mut Vec<PoolStep>) -> T,
    ) -> T {
        let mut steps = Vec::new();
        let told = tell(&mut self.doors[door].pool, self.now, &mut steps);
        for step in steps {
            match step {
                PoolStep::Dial { backend, dial } => self.dial(door, backend, dial),
                PoolStep::Assign { call, connection } => {
                    self.calls[call].waits = false;
                    self.calls[call].link = Some(connection);
                    self.transmit(call);
                }
                PoolStep::Fail { call, is_full } => {
                    self.calls[call].waits = false;
                    self.settle(
                        call,
                        if is_full {
                            Outcome::Rejected
                        } else {
                            Outcome::ConnectFailed
                        },
                    );
                }
                PoolStep::Close(connection) => self.close_link(connection),
                PoolStep::Wake { backend, at } => self.schedule(at, SimEvent::Wake(door, backend)),
            }
        }
        told
    }

    pub(super) fn take_link(&mut self, call: usize) {
        let (Ok((door, _)), backend) = (self.calls[call].from, self.calls[call].backend) else {
            return;
        };
        let class = self.requests[self.calls[call].request as usize].class;
        let once = self.spec.classes[class].class.idempotency == Idempotency::NonIdempotent;
        loop {
            match self.pool(door, |pool, now, steps| {
                pool.checkout(now, backend, call, once, steps)
            }) {
                // One that was reset is seen to be, and is none.
                CheckoutResult::Reused(link) if self.links[link as usize].reset => {
                    self.pool(door, |pool, now, steps| {
                        pool.connection_closed(now, backend, steps);
                    });
                }
                CheckoutResult::Reused(link) => {
                    self.calls[call].link = Some(link);
                    self.transmit(call);
                    return;
                }
                CheckoutResult::Queued => {
                    // It may have been given one, or none, by what came of asking.
                    if self.calls[call].link.is_none() && !self.calls[call].settled {
                        self.calls[call].waits = true;
                        self.schedule(self.now + DIAL_TIMEOUT, SimEvent::Waited(call));
                    }
                    return;
                }
                CheckoutResult::Exhausted => {
                    self.settle(call, Outcome::NotSent);
                    return;
                }
            }
        }
    }

    fn dial(&mut self, door: usize, backend: usize, call: Option<usize>) {
        self.tally.dials += 1;
        let second = (self.now / 1000.0) as usize;
        let by_second = &mut self.tally.dials_by_second;
        by_second.resize(by_second.len().max(second + 1), 0);
        by_second[second] += 1;
        let (from, to) = (self.doors[door].zone, self.backends[backend].spec.zone);
        let silent = !self.reaches(from, to) || self.backends[backend].spec.ill == Ill::Silent;
        let (takes, answered) = if silent {
            (DIAL_TIMEOUT, false)
        } else {
            (2.0 * self.one_way_delay(from, to), true)
        };
        self.schedule(
            self.now + takes,
            SimEvent::Dialled(door, backend, call, answered),
        );
    }

    pub(super) fn dialled(
        &mut self,
        door: usize,
        backend: usize,
        call: Option<usize>,
        answered: bool,
    ) {
        let node = &self.backends[backend];
        let full = self.spec.table.is_some_and(|table| node.links >= table);
        let up = answered && node.spec.ill != Ill::Dead && !full;
        let result = if up {
            self.record_load(backend, Some(door), HANDSHAKE);
            self.backends[backend].links += 1;
            let peak = &mut self.tally.peaks[backend];
            *peak = (*peak).max(self.backends[backend].links);
            self.links.push(Link {
                backend,
                open: true,
                reset: false,
            });
            DialResult::Connected(self.links.len() as u64 - 1)
        } else {
            self.tally.crowded += u64::from(answered && full);
            DialResult::Failed
        };
        self.pool(door, |pool, now, steps| {
            pool.dial_finished(now, backend, call, result, steps);
        });
    }

    fn close_link(&mut self, link: u64) {
        let link = &mut self.links[link as usize];
        if std::mem::replace(&mut link.open, false) {
            let node = &mut self.backends[link.backend];
            node.links = node.links.saturating_sub(1);
        }
    }

    /// A process that dies resets its links.
    pub(super) fn reset_links(&mut self, backend: usize) {
        for link in self.links.iter_mut().filter(|link| link.backend == backend) {
            (link.open, link.reset) = (false, true);
        }
        self.backends[backend].links = 0;
    }

    /// An attempt is over for its front door: its link is free again, or goes with it.
    pub(super) fn leave_link(&mut self, call: usize, outcome: Outcome) {
        let (Ok((door, _)), backend) = (self.calls[call].from, self.calls[call].backend) else {
            return;
        };
        if std::mem::take(&mut self.calls[call].waits) {
            self.pool(door, |pool, now, _| pool.cancel_wait(now, backend, call));
        }
        let Some(link) = self.calls[call].link.take() else {
            return;
        };
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected)
            && !self.links[link as usize].reset
        {
            self.pool(door, |pool, now, steps| {
                pool.release(now, backend, link, steps);
            });
        } else {
            self.close_link(link);
            self.pool(door, |pool, now, steps| {
                pool.connection_closed(now, backend, steps);
            });
        }
    }
}
