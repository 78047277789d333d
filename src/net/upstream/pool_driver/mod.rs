//! The driver of the connection pools: the sockets, dials and waiting attempts for the decisions of
//! the state machine in [`cometspool::connection_pool`], which does no I/O itself.

mod attempt_handle;
mod checkout;
mod connection;
mod pool_state;
mod request_progress;
mod socket;

pub(crate) use attempt_handle::AttemptHandle;
pub(crate) use checkout::{CheckedOutConnection, CheckoutError};

use crate::net::runtime::clock::Clock;
use crate::net::runtime::memory::MemoryBudget;
use cometspool::connection_pool::{ConnectionPool, PoolLimits};
use cometspool::settings::ConnectionSettings;
use cometspool::{BackendId, DeliveryMode, Millis};
use pool_state::{Endpoint, PoolState};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The interval between two evictions of expired idle connections.
const EVICTION_INTERVAL: Duration = Duration::from_millis(500);

/// The connections to all backends.
pub(crate) struct UpstreamConnections {
    state: Rc<PoolState>,
}

impl UpstreamConnections {
    /// Creates pools without backends for one of `gateway_count` gateways, with at most
    /// `max_connections` connections and dials in flight in total. Memory for long response heads is reserved from
    /// `head_budget`. `seed` randomizes the times of
    /// preconnect dials.
    pub(crate) fn new(
        settings: ConnectionSettings,
        max_connections: usize,
        head_budget: MemoryBudget,
        gateway_count: u32,
        seed: u64,
        clock: Clock,
    ) -> UpstreamConnections {
        let limits = PoolLimits {
            max_connections,
            endpoint_idle_timeout: settings.idle_timeout,
            gateway_count,
            handshake_cost: settings.handshake_cost,
            connection_cost: settings.connection_cost,
        };
        let dial_timeout =
            Duration::try_from_secs_f64(settings.dial_timeout / 1000.0).unwrap_or_default();
        UpstreamConnections {
            state: Rc::new(PoolState::new(
                limits,
                dial_timeout,
                head_budget,
                seed,
                clock,
            )),
        }
    }

    /// Sets the number of gateways in the fleet, from which the pools derive their limits.
    pub(crate) fn set_fleet_size(&self, gateway_count: u32) {
        self.state
            .pool
            .borrow_mut()
            .set_gateway_count(gateway_count);
    }

    /// Adds or updates a backend that takes new requests. `started_at` is when the backend's process
    /// started, in Unix milliseconds; 0 if it started long ago.
    pub(crate) fn add_endpoint(&self, id: BackendId, address: SocketAddr, started_at: Millis) {
        let endpoint = Endpoint {
            address,
            started_at,
            takes_new: true,
        };
        let previous = self.state.endpoints.borrow_mut().insert(id, endpoint);
        // Connections to a former address or to a previous process are of no use any more.
        let is_replaced = previous.is_some_and(|previous| !previous.is_same_process(&endpoint));
        if is_replaced {
            self.state
                .update(|pool, _, actions| pool.reset_endpoint(id, actions));
        }
    }

    /// Marks a backend as draining: it takes no new requests.
    pub(crate) fn drain_endpoint(&self, id: BackendId) {
        if let Some(endpoint) = self.state.endpoints.borrow_mut().get_mut(&id) {
            endpoint.takes_new = false;
        }
        self.state
            .update(|pool, _, actions| pool.reset_endpoint(id, actions));
    }

    /// Removes a backend that is no longer listed.
    pub(crate) fn remove_endpoint(&self, id: BackendId) {
        self.state.endpoints.borrow_mut().remove(&id);
        self.state
            .update(|pool, _, actions| pool.remove_endpoint(id, actions));
    }

    /// Closes the idle connections to a backend.
    pub(crate) fn close_idle(&self, id: BackendId) {
        self.state
            .update(|pool, _, actions| pool.close_idle(id, actions));
    }

    /// Whether a backend takes new requests.
    pub(crate) fn takes_new(&self, id: BackendId) -> bool {
        self.address_of(id).is_some()
    }

    /// The address of a backend; `None` if it takes no new requests.
    pub(crate) fn address_of(&self, id: BackendId) -> Option<SocketAddr> {
        self.state.address_of(id)
    }

    /// When a backend's process started, as last reported, in Unix milliseconds; 0 if it started
    /// long ago or the backend is unknown.
    pub(crate) fn started_at(&self, id: BackendId) -> Millis {
        self.state
            .endpoints
            .borrow()
            .get(&id)
            .map_or(0.0, |endpoint| endpoint.started_at)
    }

    /// Dials a backend ahead of demand, at a random time in the next `within` milliseconds.
    pub(crate) fn preconnect(&self, id: BackendId, within: Millis) {
        if self.takes_new(id) {
            self.state
                .update(|pool, now, actions| pool.preconnect(now, id, within, actions));
        }
    }

    /// Checks out a connection to a backend within `timeout` milliseconds: an idle one, or else the
    /// first that another attempt releases or that a dial establishes. With
    /// [`DeliveryMode::Once`], no idle connection is reused at an idle age at which connections have
    /// broken recently.
    ///
    /// # Errors
    ///
    /// If no connection is available in time or at all; see [`CheckoutError`].
    pub(crate) async fn checkout(
        &self,
        id: BackendId,
        delivery: DeliveryMode,
        timeout: Millis,
    ) -> Result<CheckedOutConnection, CheckoutError> {
        let at_most_once = delivery == DeliveryMode::Once;
        checkout::checkout(&self.state, id, at_most_once, timeout).await
    }

    /// Records that the connection table of a backend is full: it rejected the first request on a
    /// new connection.
    pub(crate) fn record_table_full(&self, id: BackendId) {
        self.state
            .update(|pool, now, _| pool.record_table_full(now, id));
    }

    /// Records whether a connection that had been idle for `idle_for` milliseconds broke on its next
    /// request.
    pub(crate) fn record_reuse(&self, idle_for: Millis, broke: bool) {
        self.state
            .update(|pool, now, _| pool.record_reuse(now, idle_for, broke));
    }

    /// The longest time that a dial may take, in milliseconds.
    pub(crate) fn dial_timeout(&self) -> Millis {
        self.state.dial_timeout.as_secs_f64() * 1000.0
    }

    /// The one-way network delay of a response, estimated from dials, in milliseconds; 0 before the
    /// first dial.
    pub(crate) fn one_way_delay(&self) -> Millis {
        self.state.one_way_delay()
    }

    /// Closes expired idle connections at regular intervals; never returns.
    pub(crate) async fn evict_expired(&self) {
        loop {
            tokio::time::sleep(EVICTION_INTERVAL).await;
            self.state.update(ConnectionPool::evict_expired);
        }
    }

    /// The number of idle connections to a backend.
    #[cfg(test)]
    pub(crate) fn idle_connections(&self, id: BackendId) -> usize {
        self.state.pool.borrow().idle_connections(id)
    }

    /// The number of connections that may be held to a backend at present.
    #[cfg(test)]
    pub(crate) fn connection_limit(&self, id: BackendId) -> usize {
        let now = self.state.clock.now();
        self.state.pool.borrow().connection_limit(now, id)
    }

    /// Adds `by` to the idle age of every idle connection.
    #[cfg(test)]
    pub(crate) fn age_idle_connections(&self, by: Duration) {
        let by = by.as_secs_f64() * 1000.0;
        self.state.pool.borrow_mut().age_idle_connections(by);
    }
}

#[cfg(test)]
mod tests;
