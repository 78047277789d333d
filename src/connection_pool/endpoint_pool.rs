//! The connections to one backend: idle, busy and being dialed, the attempts that wait for one, and
//! how many may be held.

use super::{ConnectionId, DialId, WaiterId, SETTLE_TIME};
use crate::policy_api::Millis;
use std::collections::VecDeque;
use std::vec::Drain;

/// Standard deviations of random variation by which a gateway may exceed its mean demand.
const DEMAND_DEVIATIONS: f64 = 3.0;
/// Time constant of the mean demand while demand is at or below it.
pub(super) const DEMAND_MEMORY: Millis = 10_000.0;
/// Time constant of the mean demand while demand is above it: a rise has to be followed soon.
const DEMAND_RISE_MEMORY: Millis = 1_000.0;
/// Dials in flight at once to one backend.
pub(super) const MAX_CONCURRENT_DIALS: usize = 2;
/// Once a backend's table is full, no dial starts, and no further refusal counts, for this long.
const TABLE_FULL_BACKOFF: Millis = 250.0;
/// Time in which the limit taken from a full table grows by one connection. It is slow against the
/// halving so that the gateways of a fleet settle at a level.
pub(super) const TABLE_LIMIT_GROWTH: Millis = 2_000.0;
/// A limit taken from a full table is forgotten once it has grown to this many connections.
const FORGOTTEN_TABLE_LIMIT: f64 = 64.0;
/// Mean demand below which a backend counts as unused.
const NEGLIGIBLE_DEMAND: f64 = 0.01;

/// An idle connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct IdleConnection {
    pub(super) id: ConnectionId,
    pub(super) idle_since: Millis,
}

/// A limit inferred from a backend whose connection table was full.
#[derive(Clone, Copy, Debug)]
struct TableLimit {
    connections: f64,
    inferred_at: Millis,
}

impl TableLimit {
    /// The limit as it has grown since it was inferred.
    fn at(&self, now: Millis) -> f64 {
        self.connections + (now - self.inferred_at).max(0.0) / TABLE_LIMIT_GROWTH
    }
}

/// The connections to one backend.
#[derive(Default)]
pub(super) struct EndpointPool {
    /// Connections that carry nothing, by the time since when, the most recently used last.
    pub(super) idle: Vec<IdleConnection>,
    /// Connections that carry an attempt.
    pub(super) busy: usize,
    /// Dials in flight. A dial that started before the backend changed is not among them: it leads
    /// elsewhere.
    pub(super) dials: Vec<DialId>,
    /// Attempts that wait for a connection, the first come first.
    pub(super) waiters: VecDeque<WaiterId>,
    /// Mean number of concurrent attempts, as of `demand_at`.
    pub(super) mean_demand: f64,
    demand_at: Millis,
    /// Unknown until the backend has refused a connection.
    table_limit: Option<TableLimit>,
    /// No dial starts before this time.
    pub(super) no_dial_before: Millis,
    /// The latest time at which the driver was asked to wake the pool for `no_dial_before`.
    wakeup_at: Millis,
    /// When a dial ahead of demand is due.
    pub(super) preconnect_at: Option<Millis>,
}

impl EndpointPool {
    /// What is left of a removed backend while `busy` connections still carry attempts.
    pub(super) fn with_busy(busy: usize) -> EndpointPool {
        EndpointPool {
            busy,
            ..EndpointPool::default()
        }
    }

    /// Connections and dials in flight.
    pub(super) fn total(&self) -> usize {
        self.idle.len() + self.busy + self.dials.len()
    }

    /// Whether at least one connection is up.
    pub(super) fn has_connection(&self) -> bool {
        self.busy + self.idle.len() > 0
    }

    /// Brings the mean demand up to now. To be called before `busy` or `waiters` changes.
    pub(super) fn observe_demand(&mut self, now: Millis) {
        let demand = (self.busy + self.waiters.len()) as f64;
        let memory = if demand > self.mean_demand {
            DEMAND_RISE_MEMORY
        } else {
            DEMAND_MEMORY
        };
        let decay = (-(now - self.demand_at).max(0.0) / memory).exp();
        self.mean_demand = self.mean_demand * decay + demand * (1.0 - decay);
        self.demand_at = now;
    }

    /// Connections that may be held, `spare` of them whatever the demand.
    pub(super) fn connection_limit(&self, now: Millis, spare: f64) -> usize {
        let margin = DEMAND_DEVIATIONS * self.mean_demand.sqrt();
        let needed = (self.mean_demand + margin).floor() + spare;
        let table_limit = self
            .table_limit
            .map_or(f64::INFINITY, |limit| limit.at(now));
        needed.min(table_limit.floor()).max(1.0) as usize
    }

    /// Index of the idle connection to reuse: the most recently used one that has settled, or else
    /// the most recent one.
    pub(super) fn best_idle(&self, now: Millis) -> Option<usize> {
        let settled = self
            .idle
            .iter()
            .rposition(|connection| now - connection.idle_since >= SETTLE_TIME);
        settled.or(self.idle.len().checked_sub(1))
    }

    /// Adds a connection that has been idle since `idle_since`, in its place by that time.
    pub(super) fn insert_idle(&mut self, id: ConnectionId, idle_since: Millis) {
        let index = self
            .idle
            .partition_point(|connection| connection.idle_since <= idle_since);
        self.idle.insert(index, IdleConnection { id, idle_since });
    }

    /// Takes out the idle connections that have been idle for `max_idle_time` or exceed the limit,
    /// the least recently used first.
    pub(super) fn remove_surplus(
        &mut self,
        now: Millis,
        spare: f64,
        max_idle_time: Millis,
    ) -> Drain<'_, IdleConnection> {
        let limit = self.connection_limit(now, spare);
        let surplus = self.total().saturating_sub(limit);
        let expired = self
            .idle
            .iter()
            .take_while(|connection| now - connection.idle_since >= max_idle_time)
            .count();
        let removed = expired.max(surplus).min(self.idle.len());
        self.idle.drain(..removed)
    }

    /// Takes a finished dial out of those in flight; whether it was one of them. It is not if the
    /// backend has changed since the dial started.
    pub(super) fn remove_dial(&mut self, dial: DialId) -> bool {
        let index = self.dials.iter().position(|in_flight| *in_flight == dial);
        index.map(|index| self.dials.remove(index)).is_some()
    }

    /// Whether the backoff after a full table still forbids a dial.
    pub(super) fn is_backing_off(&self, now: Millis) -> bool {
        now < self.no_dial_before
    }

    /// The time at which to wake the pool for the end of the backoff, unless the driver has been
    /// asked already.
    pub(super) fn request_wakeup(&mut self) -> Option<Millis> {
        if self.wakeup_at >= self.no_dial_before {
            return None;
        }
        self.wakeup_at = self.no_dial_before;
        Some(self.no_dial_before)
    }

    /// Halves the limit because the backend's connection table is full. Several refusals at a time
    /// count once.
    pub(super) fn record_table_full(&mut self, now: Millis, spare: f64) {
        if self.is_backing_off(now) {
            return;
        }
        let limit = self.connection_limit(now, spare) as f64;
        let held = (self.total() as f64).min(limit);
        self.table_limit = Some(TableLimit {
            connections: (held / 2.0).max(1.0),
            inferred_at: now,
        });
        self.no_dial_before = now + TABLE_FULL_BACKOFF;
    }

    /// Forgets what is known of a backend that another process has replaced: its dials, its limit
    /// and its backoff.
    pub(super) fn forget_endpoint(&mut self) {
        self.dials.clear();
        self.table_limit = None;
        self.no_dial_before = 0.0;
        self.wakeup_at = 0.0;
        self.preconnect_at = None;
    }

    /// Whether anything is held here that is worth keeping.
    pub(super) fn is_in_use(&self, now: Millis) -> bool {
        let has_table_limit = self
            .table_limit
            .is_some_and(|limit| limit.at(now) < FORGOTTEN_TABLE_LIMIT);
        self.total() + self.waiters.len() > 0
            || self.preconnect_at.is_some()
            || has_table_limit
            || self.mean_demand > NEGLIGIBLE_DEMAND
    }
}
