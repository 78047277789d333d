//! The pool of one backend: its idle and busy connections, its dials in flight, the attempts that
//! wait for a connection, and the connection limit.

use super::{ConnectionId, DialId, WaiterId, SETTLE_TIME};
use crate::policy_api::Millis;
use std::collections::VecDeque;
use std::vec::Drain;

/// The margin of the connection limit above the mean demand, in standard deviations of the demand.
const DEMAND_DEVIATIONS: f64 = 3.0;
/// The time constant of the mean demand while the demand is at or below the mean, in milliseconds.
pub(super) const DEMAND_TIME_CONSTANT: Millis = 10_000.0;
/// The time constant of the mean demand while the demand is above the mean, in milliseconds. It is
/// shorter so that the mean follows a rise quickly.
const DEMAND_RISE_TIME_CONSTANT: Millis = 1_000.0;
/// The maximum number of dials in flight to one backend.
pub(super) const MAX_CONCURRENT_DIALS: usize = 2;
/// The backoff after a backend's connection table was found full, in milliseconds. Until it ends, no
/// dial starts while connections are busy, and no further refusal counts.
const TABLE_FULL_BACKOFF: Millis = 250.0;
/// The time in which a table limit grows by one connection, in milliseconds. The growth is slow
/// compared with the halving so that the gateways of a fleet converge to a stable level.
pub(super) const TABLE_LIMIT_GROWTH_INTERVAL: Millis = 2_000.0;
/// The size in connections from which a table limit is no longer a reason to keep the pool of a
/// backend that is otherwise unused.
const IRRELEVANT_TABLE_LIMIT: f64 = 64.0;
/// The mean demand, in concurrent attempts, at or below which a backend counts as unused.
const NEGLIGIBLE_DEMAND: f64 = 0.01;

/// An idle connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct IdleConnection {
    pub(super) id: ConnectionId,
    pub(super) idle_since: Millis,
}

/// A connection limit inferred from a refusal because the backend's connection table was full.
#[derive(Clone, Copy, Debug)]
struct TableLimit {
    connections: f64,
    inferred_at: Millis,
}

impl TableLimit {
    /// The limit at `now`, with its growth since it was inferred.
    fn at(&self, now: Millis) -> f64 {
        self.connections + (now - self.inferred_at).max(0.0) / TABLE_LIMIT_GROWTH_INTERVAL
    }
}

/// The pool of one backend.
#[derive(Default)]
pub(super) struct EndpointPool {
    /// Connections that are not checked out, the most recently used last.
    pub(super) idle: Vec<IdleConnection>,
    /// The number of connections that are checked out by attempts.
    pub(super) busy: usize,
    /// Dials in flight, without those that started before the backend was last reset: they may lead
    /// to another process.
    pub(super) dials: Vec<DialId>,
    /// Attempts that wait for a connection, in order of arrival.
    pub(super) waiters: VecDeque<WaiterId>,
    /// The mean number of concurrent attempts, as of `demand_updated_at`.
    pub(super) mean_demand: f64,
    demand_updated_at: Millis,
    /// `None` until the backend refuses a connection because its table is full.
    table_limit: Option<TableLimit>,
    /// The end of the backoff after a full table: no dial starts before this time while connections
    /// are busy.
    pub(super) no_dial_before: Millis,
    /// The value of `no_dial_before` for which the driver was last asked to wake the pool.
    wakeup_at: Millis,
    /// When a preconnect dial is due; `None` if none is scheduled.
    pub(super) preconnect_at: Option<Millis>,
}

impl EndpointPool {
    /// The remaining pool of a removed backend while `busy` connections are still checked out.
    pub(super) fn with_busy(busy: usize) -> EndpointPool {
        EndpointPool {
            busy,
            ..EndpointPool::default()
        }
    }

    /// The number of connections and dials in flight.
    pub(super) fn total(&self) -> usize {
        self.idle.len() + self.busy + self.dials.len()
    }

    /// Whether at least one connection is established.
    pub(super) fn has_connection(&self) -> bool {
        self.busy + self.idle.len() > 0
    }

    /// Updates the mean demand to `now`. Must be called before each change of `busy` or `waiters`.
    pub(super) fn observe_demand(&mut self, now: Millis) {
        let demand = (self.busy + self.waiters.len()) as f64;
        let time_constant = if demand > self.mean_demand {
            DEMAND_RISE_TIME_CONSTANT
        } else {
            DEMAND_TIME_CONSTANT
        };
        let decay = (-(now - self.demand_updated_at).max(0.0) / time_constant).exp();
        self.mean_demand = self.mean_demand * decay + demand * (1.0 - decay);
        self.demand_updated_at = now;
    }

    /// The number of connections that may be held: the mean demand with a margin plus `spare`, capped
    /// by the table limit, and at least one.
    pub(super) fn connection_limit(&self, now: Millis, spare: f64) -> usize {
        let margin = DEMAND_DEVIATIONS * self.mean_demand.sqrt();
        let needed = (self.mean_demand + margin).floor() + spare;
        let table_limit = self
            .table_limit
            .map_or(f64::INFINITY, |limit| limit.at(now));
        needed.min(table_limit.floor()).max(1.0) as usize
    }

    /// The index of the idle connection to reuse: the most recently used one that is settled (see
    /// [`SETTLE_TIME`]), or else the most recently used one.
    pub(super) fn best_idle(&self, now: Millis) -> Option<usize> {
        let settled = self
            .idle
            .iter()
            .rposition(|connection| now - connection.idle_since >= SETTLE_TIME);
        settled.or(self.idle.len().checked_sub(1))
    }

    /// Adds a connection that has been idle since `idle_since`; keeps the order by that time.
    pub(super) fn insert_idle(&mut self, id: ConnectionId, idle_since: Millis) {
        let index = self
            .idle
            .partition_point(|connection| connection.idle_since <= idle_since);
        self.idle.insert(index, IdleConnection { id, idle_since });
    }

    /// Removes the idle connections that have been idle for `max_idle_time` or exceed the connection
    /// limit, the least recently used first.
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

    /// Removes a finished dial from those in flight. Returns `false` if the dial is not among them
    /// because the backend was reset after the dial started.
    pub(super) fn remove_dial(&mut self, dial: DialId) -> bool {
        let index = self.dials.iter().position(|in_flight| *in_flight == dial);
        index.map(|index| self.dials.remove(index)).is_some()
    }

    /// Whether the backoff after a full table still forbids dials.
    pub(super) fn is_backing_off(&self, now: Millis) -> bool {
        now < self.no_dial_before
    }

    /// Returns the end of the backoff, when the driver is to wake the pool; `None` if the driver has
    /// already been asked to.
    pub(super) fn request_wakeup(&mut self) -> Option<Millis> {
        if self.wakeup_at >= self.no_dial_before {
            return None;
        }
        self.wakeup_at = self.no_dial_before;
        Some(self.no_dial_before)
    }

    /// Halves the connection limit because the backend's connection table is full. Refusals during
    /// the backoff that follows do not count.
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

    /// Clears the state that applies only to the backend's previous process or address: dials in
    /// flight, table limit, backoff and scheduled preconnect.
    pub(super) fn clear_process_state(&mut self) {
        self.dials.clear();
        self.table_limit = None;
        self.no_dial_before = 0.0;
        self.wakeup_at = 0.0;
        self.preconnect_at = None;
    }

    /// Whether this pool still has to be kept: it has connections, dials, waiters, a scheduled
    /// preconnect, a relevant table limit or recent demand.
    pub(super) fn is_in_use(&self, now: Millis) -> bool {
        let has_table_limit = self
            .table_limit
            .is_some_and(|limit| limit.at(now) < IRRELEVANT_TABLE_LIMIT);
        self.total() + self.waiters.len() > 0
            || self.preconnect_at.is_some()
            || has_table_limit
            || self.mean_demand > NEGLIGIBLE_DEMAND
    }
}
