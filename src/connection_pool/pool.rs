//! The pools of all backends: checkout, dialing, return and eviction of connections.

use super::endpoint_pool::{EndpointPool, DEMAND_MEMORY, MAX_CONCURRENT_DIALS};
use super::idle_age::IdleAgeEstimator;
use super::limits::PoolLimits;
use super::{Checkout, ConnectionId, DialFailure, DialId, PoolAction, PoolError, WaiterId};
use crate::measure::uniform;
use crate::policy_api::Millis;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;

/// The connections to all backends, which `B` names.
///
/// The owner reports every event with its time and carries out the [`PoolAction`]s that each call
/// appends, in order. Times must not run backwards.
pub struct ConnectionPool<B> {
    pub(super) limits: PoolLimits,
    pub(super) endpoints: BTreeMap<B, EndpointPool>,
    idle_ages: IdleAgeEstimator,
    rng: Pcg32,
    /// First attempts a second on average, as of `request_rate_at`.
    request_rate: f64,
    request_rate_at: Millis,
    /// Connections and dials in flight.
    open: usize,
    last_dial: u64,
}

impl<B: Copy + Ord> ConnectionPool<B> {
    /// A pool without connections; `seed` is the only source of randomness.
    pub fn new(limits: PoolLimits, seed: u64) -> ConnectionPool<B> {
        ConnectionPool {
            limits,
            endpoints: BTreeMap::new(),
            idle_ages: IdleAgeEstimator::default(),
            rng: Pcg32::seed_from_u64(seed),
            request_rate: 0.0,
            request_rate_at: 0.0,
            open: 0,
            last_dial: 0,
        }
    }

    /// Sizes the pools for a fleet of `gateway_count` gateways from now on.
    pub fn set_gateway_count(&mut self, gateway_count: u32) {
        self.limits.gateway_count = gateway_count;
    }

    /// Connections and dials in flight, over all backends.
    pub fn open_connections(&self) -> usize {
        self.open
    }

    /// Backends of which anything is held or remembered.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// Idle connections to a backend.
    pub fn idle_connections(&self, endpoint: B) -> usize {
        self.endpoints
            .get(&endpoint)
            .map_or(0, |pool| pool.idle.len())
    }

    /// Connections to a backend that may be held at present.
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

    /// Makes every idle connection `by` milliseconds older, for tests that cannot wait.
    #[doc(hidden)]
    pub fn age_idle_connections(&mut self, by: Millis) {
        for pool in self.endpoints.values_mut() {
            for connection in &mut pool.idle {
                connection.idle_since -= by;
            }
        }
    }

    /// Takes a connection to a backend for an attempt, or queues the attempt as `waiter`.
    ///
    /// An attempt that must run no more than once (`run_once`) gets no connection of an idle age at
    /// which connections have broken of late.
    pub fn checkout(
        &mut self,
        now: Millis,
        endpoint: B,
        waiter: WaiterId,
        run_once: bool,
        actions: &mut Vec<PoolAction<B>>,
    ) -> Checkout {
        self.observe_request_rate(now);
        if let Some(reused) = self.reuse_idle(now, endpoint, run_once) {
            return reused;
        }
        // An attempt does not wait for a shortage of this gateway's own: it learns of it at once.
        if self.is_exhausted() && !self.close_longest_idle(actions) {
            return Checkout::Exhausted;
        }
        let pool = self.endpoints.entry(endpoint).or_default();
        pool.waiters.push_back(waiter);
        self.start_due_dials(now, endpoint, actions);
        Checkout::Queued
    }

    fn reuse_idle(&mut self, now: Millis, endpoint: B, run_once: bool) -> Option<Checkout> {
        let max_idle_time = self.max_idle_time();
        let pool = self.endpoints.entry(endpoint).or_default();
        pool.observe_demand(now);
        let index = pool.best_idle(now)?;
        let connection = pool.idle[index];
        let idle_for = now - connection.idle_since;
        // A request that must run once would be lost with a broken connection; any other costs no
        // more than a dial.
        let is_reliable = !run_once || self.idle_ages.is_reliable(now, idle_for);
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

    /// A waiter no longer waits. Its dial goes on, and the connection that comes of it is kept.
    pub fn cancel_wait(&mut self, now: Millis, endpoint: B, waiter: WaiterId) {
        if let Some(pool) = self.endpoints.get_mut(&endpoint) {
            pool.observe_demand(now);
            pool.waiters.retain(|waiting| *waiting != waiter);
        }
    }

    /// Schedules a dial to a backend that demand is about to reach and to which there is no
    /// connection, at a random time within `within` milliseconds.
    ///
    /// The random time spreads the dials of a fleet that learns of a backend at one instant; a
    /// request that comes sooner dials at once. Where handshakes have a price no dial is made on a
    /// guess: one in twenty-five is never used, and all that it saves is a round trip.
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
        let random_part = uniform(&mut self.rng);
        let pool = self.endpoints.entry(endpoint).or_default();
        if pool.total() == 0 && pool.preconnect_at.is_none() {
            let at = now + within * random_part;
            pool.preconnect_at = Some(at);
            actions.push(PoolAction::Wake(endpoint, at));
        }
    }

    /// A time has come for which [`PoolAction::Wake`] asked.
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

    /// Starts the dials that are due: no more than there are waiters, few at a time, and none
    /// beyond the limit.
    fn start_due_dials(&mut self, now: Millis, endpoint: B, actions: &mut Vec<PoolAction<B>>) {
        while self.is_dial_due(now, endpoint, actions) {
            self.start_dial(endpoint, actions);
        }
    }

    /// Whether a dial for a waiter may start now. Asks to be woken where only the backoff forbids
    /// it.
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
        // Idle connections do not count: a waiter dials although they are there, so they were not
        // good enough for it.
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

    /// A dial came up as `connection`, which goes to the first waiter or is kept idle.
    pub fn dial_succeeded(
        &mut self,
        now: Millis,
        endpoint: B,
        dial: DialId,
        connection: ConnectionId,
        actions: &mut Vec<PoolAction<B>>,
    ) {
        let Some(pool) = self.take_dialed(endpoint, dial) else {
            self.close_stray(connection, actions);
            return;
        };
        pool.observe_demand(now);
        pool.busy += 1;
        self.release(now, endpoint, connection, actions);
        self.start_due_dials(now, endpoint, actions);
    }

    /// A dial failed.
    ///
    /// Beside working connections a remote failure counts as a full table and fails the first
    /// waiter only: the others wait for a connection that is released. Where nothing works it fails
    /// all waiters, who are better off elsewhere.
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

    /// Takes a finished dial off its backend's pool; `None` if the backend has changed since the
    /// dial started.
    fn take_dialed(&mut self, endpoint: B, dial: DialId) -> Option<&mut EndpointPool> {
        let pool = self.endpoints.get_mut(&endpoint)?;
        pool.remove_dial(dial).then_some(pool)
    }

    /// A backend rejected the first request on a new connection: its connection table is full.
    pub fn record_table_full(&mut self, now: Millis, endpoint: B) {
        if let Some(pool) = self.endpoints.get_mut(&endpoint) {
            pool.record_table_full(now, self.limits.spare_connections());
        }
    }

    /// A connection has carried its request to the end, and goes to the first waiter or is kept
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

    /// A connection comes back that has carried nothing since it was checked out; it has been idle
    /// for `idle_for`.
    pub fn release_unused(
        &mut self,
        now: Millis,
        endpoint: B,
        connection: ConnectionId,
        idle_for: Millis,
        actions: &mut Vec<PoolAction<B>>,
    ) {
        let Some(pool) = self.endpoints.get_mut(&endpoint) else {
            self.close_stray(connection, actions);
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

    /// A connection that was checked out is closed.
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

    /// Another process has a backend's address, or the backend drains: closes its idle connections,
    /// fails its waiters and disowns its dials in flight.
    pub fn reset_endpoint(&mut self, endpoint: B, actions: &mut Vec<PoolAction<B>>) {
        self.close_idle(endpoint, actions);
        let Some(pool) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        pool.forget_endpoint();
        for waiter in pool.waiters.drain(..) {
            actions.push(PoolAction::Fail(waiter, PoolError::EndpointRemoved));
        }
    }

    /// Resets a backend that is gone, and forgets it. Connections that carry attempts close when
    /// these end.
    pub fn remove_endpoint(&mut self, endpoint: B, actions: &mut Vec<PoolAction<B>>) {
        self.reset_endpoint(endpoint, actions);
        let Some(removed) = self.endpoints.remove(&endpoint) else {
            return;
        };
        // The driver closes and reports what is still busy; until then it has to be counted.
        if removed.busy > 0 {
            let remainder = EndpointPool::with_busy(removed.busy);
            self.endpoints.insert(endpoint, remainder);
        }
    }

    /// Records whether a connection that had been idle for `idle_for` broke under its next request.
    pub fn record_reuse(&mut self, now: Millis, idle_for: Millis, broke: bool) {
        self.idle_ages.record(now, idle_for, broke);
    }

    /// Closes connections that have been idle for too long or exceed the limit, and forgets
    /// backends of which nothing is held. To be called at regular intervals.
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

    /// For how long an idle connection is kept, by the request rate observed here.
    pub(super) fn max_idle_time(&self) -> Millis {
        self.limits
            .max_idle_time(self.request_rate, self.endpoints.len())
    }

    fn observe_request_rate(&mut self, now: Millis) {
        let decay = (-(now - self.request_rate_at).max(0.0) / DEMAND_MEMORY).exp();
        self.request_rate = self.request_rate * decay + 1000.0 / DEMAND_MEMORY;
        self.request_rate_at = now;
    }

    /// Whether the connections and dials in flight use up what this gateway may open.
    fn is_exhausted(&self) -> bool {
        self.open >= self.limits.max_connections
    }

    fn count_closed(&mut self, connections: usize) {
        self.open = self.open.saturating_sub(connections);
    }

    /// Closes a connection that no backend's pool owns any more.
    fn close_stray(&mut self, connection: ConnectionId, actions: &mut Vec<PoolAction<B>>) {
        self.count_closed(1);
        actions.push(PoolAction::Close(connection));
    }

    /// Closes the connection that has been idle longest, to whichever backend; whether there was
    /// one.
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
        self.close_stray(connection.id, actions);
        true
    }
}
