//! The pools of all backends: checkout, dialing, release and eviction of connections.

use super::endpoint_pool::{EndpointPool, DEMAND_TIME_CONSTANT, MAX_CONCURRENT_DIALS};
use super::idle_age::IdleAgeEstimator;
use super::limits::PoolLimits;
use super::{Checkout, ConnectionId, DialFailure, DialId, PoolAction, PoolError, WaiterId};
use crate::measure::uniform;
use crate::policy_api::Millis;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;

/// The pools of all backends; `B` identifies a backend.
///
/// The driver reports every event with its time, and executes in order the [`PoolAction`]s that each
/// call appends. The times of successive calls must not decrease.
pub struct ConnectionPool<B> {
    pub(super) limits: PoolLimits,
    pub(super) endpoints: BTreeMap<B, EndpointPool>,
    idle_ages: IdleAgeEstimator,
    rng: Pcg32,
    /// The average number of checkouts per second, as of `request_rate_updated_at`.
    request_rate: f64,
    request_rate_updated_at: Millis,
    /// The number of connections and dials in flight, over all backends.
    open: usize,
    /// The id that was assigned last to a dial.
    last_dial: u64,
}

impl<B: Copy + Ord> ConnectionPool<B> {
    /// Creates pools without connections. `seed` determines all random choices.
    pub fn new(limits: PoolLimits, seed: u64) -> ConnectionPool<B> {
        ConnectionPool {
            limits,
            endpoints: BTreeMap::new(),
            idle_ages: IdleAgeEstimator::default(),
            rng: Pcg32::seed_from_u64(seed),
            request_rate: 0.0,
            request_rate_updated_at: 0.0,
            open: 0,
            last_dial: 0,
        }
    }

    /// Sets the number of gateways in the fleet, from which the pools derive their limits.
    pub fn set_gateway_count(&mut self, gateway_count: u32) {
        self.limits.gateway_count = gateway_count;
    }

    /// The number of connections and dials in flight, over all backends.
    pub fn open_connections(&self) -> usize {
        self.open
    }

    /// The number of backends for which any state is held.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// The number of idle connections to a backend.
    pub fn idle_connections(&self, endpoint: B) -> usize {
        self.endpoints
            .get(&endpoint)
            .map_or(0, |pool| pool.idle.len())
    }

    /// The number of connections that may be held to a backend at present.
    pub fn connection_limit(&self, now: Millis, endpoint: B) -> usize {
        let spare = self.limits.spare_connections();
        self.endpoints
            .get(&endpoint)
            .map_or(spare as usize, |pool| pool.connection_limit(now, spare))
    }

    /// Whether a dial to a backend is in flight.
    pub fn is_dialing(&self, endpoint: B) -> bool {
        self.endpoints
            .get(&endpoint)
            .is_some_and(|pool| !pool.dials.is_empty())
    }

    /// Adds `by` milliseconds to the idle age of every idle connection, for tests that cannot wait.
    #[doc(hidden)]
    pub fn age_idle_connections(&mut self, by: Millis) {
        for pool in self.endpoints.values_mut() {
            for connection in &mut pool.idle {
                connection.idle_since -= by;
            }
        }
    }

    /// Checks out a connection to a backend for an attempt, or queues the attempt as `waiter`.
    ///
    /// An attempt whose request must run at most once (`at_most_once`) reuses no connection of an
    /// idle age at which connections have broken recently.
    pub fn checkout(
        &mut self,
        now: Millis,
        endpoint: B,
        waiter: WaiterId,
        at_most_once: bool,
        actions: &mut Vec<PoolAction<B>>,
    ) -> Checkout {
        self.observe_request_rate(now);
        if let Some(reused) = self.reuse_idle(now, endpoint, at_most_once) {
            return reused;
        }
        // If this gateway has reached its own connection limit, the attempt fails at once instead of
        // waiting.
        if self.is_exhausted() && !self.close_longest_idle(actions) {
            return Checkout::Exhausted;
        }
        let pool = self.endpoints.entry(endpoint).or_default();
        pool.waiters.push_back(waiter);
        self.start_due_dials(now, endpoint, actions);
        Checkout::Queued
    }

    fn reuse_idle(&mut self, now: Millis, endpoint: B, at_most_once: bool) -> Option<Checkout> {
        let max_idle_time = self.max_idle_time();
        let pool = self.endpoints.entry(endpoint).or_default();
        pool.observe_demand(now);
        let index = pool.best_idle(now)?;
        let connection = pool.idle[index];
        let idle_for = now - connection.idle_since;
        // If the connection breaks, a request that must run at most once may be lost; any other
        // request is sent again at no more than the cost of a dial.
        let is_reliable = !at_most_once || self.idle_ages.is_reliable(now, idle_for);
        if idle_for >= max_idle_time || !is_reliable {
            return None;
        }
        pool.idle.remove(index);
        pool.busy += 1;
        Some(Checkout::Reused {
            connection: connection.id,
            idle_ms: idle_for.max(0.0) as u32,
        })
    }

    /// Removes a waiter from the queue. A dial in flight continues, and its connection is kept.
    pub fn cancel_wait(&mut self, now: Millis, endpoint: B, waiter: WaiterId) {
        if let Some(pool) = self.endpoints.get_mut(&endpoint) {
            pool.observe_demand(now);
            pool.waiters.retain(|waiting| *waiting != waiter);
        }
    }

    /// Schedules a dial ahead of demand to a backend without connections, at a random time in the
    /// next `within` milliseconds.
    ///
    /// The random time spreads the dials of a fleet whose gateways all learn of a backend at the
    /// same moment; a request that comes earlier dials at once. If handshakes have a price, no dial
    /// is made ahead of demand: one in twenty-five such connections is never used, and one that is
    /// used saves only a round trip.
    pub fn preconnect(
        &mut self,
        now: Millis,
        endpoint: B,
        within: Millis,
        actions: &mut Vec<PoolAction<B>>,
    ) {
        if self.limits.handshake_cost > 0.0 {
            return;
        }
        let random_fraction = uniform(&mut self.rng);
        let pool = self.endpoints.entry(endpoint).or_default();
        if pool.total() == 0 && pool.preconnect_at.is_none() {
            let at = now + within * random_fraction;
            pool.preconnect_at = Some(at);
            actions.push(PoolAction::Wake(endpoint, at));
        }
    }

    /// Starts the dials that are due at a time that [`PoolAction::Wake`] has asked for.
    pub fn wake(&mut self, now: Millis, endpoint: B, actions: &mut Vec<PoolAction<B>>) {
        let Some(pool) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        let preconnect_due = pool.preconnect_at.take_if(|at| *at <= now).is_some();
        if preconnect_due && pool.total() == 0 && !self.is_exhausted() {
            self.start_dial(endpoint, actions);
        }
        self.start_due_dials(now, endpoint, actions);
    }

    /// Starts the dials that are due: at most one for each waiter, at most [`MAX_CONCURRENT_DIALS`]
    /// at a time, and none beyond the connection limit.
    fn start_due_dials(&mut self, now: Millis, endpoint: B, actions: &mut Vec<PoolAction<B>>) {
        while self.is_dial_due(now, endpoint, actions) {
            self.start_dial(endpoint, actions);
        }
    }

    /// Whether a dial for a waiter is to start now. If only the backoff prevents the dial, this asks
    /// the driver to wake the pool when the backoff ends.
    fn is_dial_due(&mut self, now: Millis, endpoint: B, actions: &mut Vec<PoolAction<B>>) -> bool {
        let is_exhausted = self.is_exhausted();
        let spare = self.limits.spare_connections();
        let Some(pool) = self.endpoints.get_mut(&endpoint) else {
            return false;
        };
        let wanted_dials = pool.waiters.len().min(MAX_CONCURRENT_DIALS);
        if is_exhausted || pool.dials.len() >= wanted_dials {
            return false;
        }
        // Idle connections do not count towards the limit: if there are any, they were not suitable
        // for the waiter.
        let in_use = pool.busy + pool.dials.len();
        if in_use == 0 {
            return true;
        }
        if in_use >= pool.connection_limit(now, spare) {
            return false;
        }
        if !pool.is_backing_off(now) {
            return true;
        }
        if let Some(at) = pool.request_wakeup() {
            actions.push(PoolAction::Wake(endpoint, at));
        }
        false
    }

    fn start_dial(&mut self, endpoint: B, actions: &mut Vec<PoolAction<B>>) {
        self.last_dial += 1;
        self.open += 1;
        let dial = DialId(self.last_dial);
        self.endpoints.entry(endpoint).or_default().dials.push(dial);
        actions.push(PoolAction::Dial(endpoint, dial));
    }

    /// Records that a dial has established `connection`, which is assigned to the first waiter or
    /// kept idle.
    pub fn dial_succeeded(
        &mut self,
        now: Millis,
        endpoint: B,
        dial: DialId,
        connection: ConnectionId,
        actions: &mut Vec<PoolAction<B>>,
    ) {
        let Some(pool) = self.take_dialed(endpoint, dial) else {
            self.close_unowned(connection, actions);
            return;
        };
        pool.observe_demand(now);
        pool.busy += 1;
        self.release(now, endpoint, connection, actions);
        self.start_due_dials(now, endpoint, actions);
    }

    /// Records that a dial has failed.
    ///
    /// If other connections to the backend work, a remote failure counts as a full connection table,
    /// and only the first waiter fails: the others wait for a connection to be released. If no
    /// connection works, all waiters fail, so that their requests can be sent to other backends.
    pub fn dial_failed(
        &mut self,
        now: Millis,
        endpoint: B,
        dial: DialId,
        failure: DialFailure,
        actions: &mut Vec<PoolAction<B>>,
    ) {
        self.count_closed(1);
        let spare = self.limits.spare_connections();
        let Some(pool) = self.take_dialed(endpoint, dial) else {
            return;
        };
        pool.observe_demand(now);
        let has_connection = pool.has_connection();
        if has_connection && failure == DialFailure::Remote {
            pool.record_table_full(now, spare);
        }
        let error = match failure {
            DialFailure::Local => PoolError::LocalLimit,
            DialFailure::Remote if has_connection => PoolError::EndpointFull,
            DialFailure::Remote => PoolError::Unreachable,
        };
        let failed_waiters = if has_connection {
            pool.waiters.len().min(1)
        } else {
            pool.waiters.len()
        };
        for waiter in pool.waiters.drain(..failed_waiters) {
            actions.push(PoolAction::Fail(waiter, error));
        }
        self.start_due_dials(now, endpoint, actions);
    }

    /// Removes a finished dial and returns the pool of its backend; `None` if the backend was reset
    /// or removed after the dial started.
    fn take_dialed(&mut self, endpoint: B, dial: DialId) -> Option<&mut EndpointPool> {
        let pool = self.endpoints.get_mut(&endpoint)?;
        pool.remove_dial(dial).then_some(pool)
    }

    /// Records that a backend's connection table is full: it rejected the first request on a new
    /// connection.
    pub fn record_table_full(&mut self, now: Millis, endpoint: B) {
        if let Some(pool) = self.endpoints.get_mut(&endpoint) {
            pool.record_table_full(now, self.limits.spare_connections());
        }
    }

    /// Returns a connection after a complete exchange; it is assigned to the first waiter or kept
    /// idle.
    pub fn release(
        &mut self,
        now: Millis,
        endpoint: B,
        connection: ConnectionId,
        actions: &mut Vec<PoolAction<B>>,
    ) {
        self.release_unused(now, endpoint, connection, 0.0, actions);
    }

    /// Returns a connection that has carried no request since it was checked out, and that has been
    /// idle for `idle_for` milliseconds in all.
    pub fn release_unused(
        &mut self,
        now: Millis,
        endpoint: B,
        connection: ConnectionId,
        idle_for: Millis,
        actions: &mut Vec<PoolAction<B>>,
    ) {
        let Some(pool) = self.endpoints.get_mut(&endpoint) else {
            self.close_unowned(connection, actions);
            return;
        };
        pool.observe_demand(now);
        if let Some(waiter) = pool.waiters.pop_front() {
            actions.push(PoolAction::Assign(waiter, connection));
            return;
        }
        pool.busy = pool.busy.saturating_sub(1);
        pool.insert_idle(connection, now - idle_for);
    }

    /// Records that a checked-out connection has been closed.
    pub fn connection_closed(
        &mut self,
        now: Millis,
        endpoint: B,
        actions: &mut Vec<PoolAction<B>>,
    ) {
        self.count_closed(1);
        if let Some(pool) = self.endpoints.get_mut(&endpoint) {
            pool.observe_demand(now);
            pool.busy = pool.busy.saturating_sub(1);
        }
        self.start_due_dials(now, endpoint, actions);
    }

    /// Closes the idle connections to a backend.
    pub fn close_idle(&mut self, endpoint: B, actions: &mut Vec<PoolAction<B>>) {
        let Some(pool) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        self.open = self.open.saturating_sub(pool.idle.len());
        for connection in pool.idle.drain(..) {
            actions.push(PoolAction::Close(connection.id));
        }
    }

    /// Resets the pool of a backend that is draining, has moved, or whose process has been replaced:
    /// closes its idle connections, fails its waiters, and disregards its dials in flight, whose
    /// connections are closed when they are established.
    pub fn reset_endpoint(&mut self, endpoint: B, actions: &mut Vec<PoolAction<B>>) {
        self.close_idle(endpoint, actions);
        let Some(pool) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        pool.clear_process_state();
        for waiter in pool.waiters.drain(..) {
            actions.push(PoolAction::Fail(waiter, PoolError::EndpointRemoved));
        }
    }

    /// Resets the pool of a backend that is no longer listed, and drops it. Checked-out connections
    /// are closed when their attempts end.
    pub fn remove_endpoint(&mut self, endpoint: B, actions: &mut Vec<PoolAction<B>>) {
        self.reset_endpoint(endpoint, actions);
        let Some(removed) = self.endpoints.remove(&endpoint) else {
            return;
        };
        // Checked-out connections count until the driver has closed and reported them.
        if removed.busy > 0 {
            let remainder = EndpointPool::with_busy(removed.busy);
            self.endpoints.insert(endpoint, remainder);
        }
    }

    /// Records whether a connection that had been idle for `idle_for` milliseconds broke on its next
    /// request.
    pub fn record_reuse(&mut self, now: Millis, idle_for: Millis, broke: bool) {
        self.idle_ages.record(now, idle_for, broke);
    }

    /// Closes connections that have been idle for too long or exceed the connection limit, and drops
    /// the pools that are no longer in use. Must be called at regular intervals.
    pub fn evict_expired(&mut self, now: Millis, actions: &mut Vec<PoolAction<B>>) {
        let max_idle_time = self.max_idle_time();
        let spare = self.limits.spare_connections();
        for pool in self.endpoints.values_mut() {
            pool.observe_demand(now);
            let removed = pool.remove_surplus(now, spare, max_idle_time);
            self.open = self.open.saturating_sub(removed.len());
            actions.extend(removed.map(|connection| PoolAction::Close(connection.id)));
        }
        self.endpoints.retain(|_, pool| pool.is_in_use(now));
    }

    /// How long an idle connection is kept at the observed request rate, in milliseconds.
    pub(super) fn max_idle_time(&self) -> Millis {
        self.limits
            .max_idle_time(self.request_rate, self.endpoints.len())
    }

    fn observe_request_rate(&mut self, now: Millis) {
        let decay = (-(now - self.request_rate_updated_at).max(0.0) / DEMAND_TIME_CONSTANT).exp();
        self.request_rate = self.request_rate * decay + 1000.0 / DEMAND_TIME_CONSTANT;
        self.request_rate_updated_at = now;
    }

    /// Whether the connections and dials in flight have reached this gateway's limit.
    fn is_exhausted(&self) -> bool {
        self.open >= self.limits.max_connections
    }

    fn count_closed(&mut self, connections: usize) {
        self.open = self.open.saturating_sub(connections);
    }

    /// Closes a connection that does not belong to any backend's pool, or no longer does.
    fn close_unowned(&mut self, connection: ConnectionId, actions: &mut Vec<PoolAction<B>>) {
        self.count_closed(1);
        actions.push(PoolAction::Close(connection));
    }

    /// Closes the connection that has been idle longest, over all backends; returns `false` if none
    /// is idle.
    fn close_longest_idle(&mut self, actions: &mut Vec<PoolAction<B>>) -> bool {
        let with_idle = self
            .endpoints
            .values_mut()
            .filter(|pool| !pool.idle.is_empty());
        let longest_idle =
            with_idle.min_by(|a, b| a.idle[0].idle_since.total_cmp(&b.idle[0].idle_since));
        let Some(pool) = longest_idle else {
            return false;
        };
        let connection = pool.idle.remove(0);
        self.close_unowned(connection.id, actions);
        true
    }
}
