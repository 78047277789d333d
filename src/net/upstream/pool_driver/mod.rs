//! The driver of the connection pools: sockets, dials and waiting attempts around the pure core in
//! [`cometspool::connection_pool`].

mod attempt_handle;
mod checkout;
mod connection;
mod pool_state;
mod request_progress;
mod socket;

pub(crate) use attempt_handle::AttemptHandle;
pub(crate) use checkout::{CheckedOutConnection, CheckoutError};

use crate::net::runtime::clock::Clock;
use cometspool::connection_pool::{ConnectionPool, PoolLimits};
use cometspool::settings::ConnectionSettings;
use cometspool::{BackendId, DeliveryMode, Millis};
use pool_state::{Endpoint, PoolState};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How often expired connections are looked for.
const EVICTION_INTERVAL: Duration = Duration::from_millis(500);

/// The connections to all backends.
pub(crate) struct UpstreamConnections {
    state: Rc<PoolState>,
}

impl UpstreamConnections {
    /// No backends yet. At most `max_connections` connections and dials at once, for one of
    /// `gateway_count` gateways; `seed` spreads the dials ahead of demand.
    pub(crate) fn new(
        settings: ConnectionSettings,
        max_connections: usize,
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
            state: Rc::new(PoolState::new(limits, dial_timeout, seed, clock)),
        }
    }

    /// Sizes the pools for a fleet of `gateway_count` gateways from now on.
    pub(crate) fn set_fleet_size(&self, gateway_count: u32) {
        self.state
            .pool
            .borrow_mut()
            .set_gateway_count(gateway_count);
    }

    /// Adds or updates a backend that takes new requests. `started_at` is when its process started,
    /// in Unix milliseconds; 0 for long ago.
    pub(crate) fn add_endpoint(&self, id: BackendId, address: SocketAddr, started_at: Millis) {
        let endpoint = Endpoint {
            address,
            started_at,
            takes_new: true,
        };
        let previous = self.state.endpoints.borrow_mut().insert(id, endpoint);
        // Connections to another address or to an earlier process lead nowhere.
        let is_replaced = previous.is_some_and(|previous| !previous.is_same_process(&endpoint));
        if is_replaced {
            self.state
                .report(|pool, _, actions| pool.reset_endpoint(id, actions));
        }
    }

    /// Marks a backend as one that takes no new requests.
    pub(crate) fn drain_endpoint(&self, id: BackendId) {
        if let Some(endpoint) = self.state.endpoints.borrow_mut().get_mut(&id) {
            endpoint.takes_new = false;
        }
        self.state
            .report(|pool, _, actions| pool.reset_endpoint(id, actions));
    }

    /// Removes a backend that is gone.
    pub(crate) fn remove_endpoint(&self, id: BackendId) {
        self.state.endpoints.borrow_mut().remove(&id);
        self.state
            .report(|pool, _, actions| pool.remove_endpoint(id, actions));
    }

    /// Closes the idle connections to a backend.
    pub(crate) fn close_idle(&self, id: BackendId) {
        self.state
            .report(|pool, _, actions| pool.close_idle(id, actions));
    }

    /// Whether a backend takes new requests.
    pub(crate) fn takes_new(&self, id: BackendId) -> bool {
        self.address_of(id).is_some()
    }

    /// The address of a backend, if it takes new requests.
    pub(crate) fn address_of(&self, id: BackendId) -> Option<SocketAddr> {
        self.state.address_of(id)
    }

    /// When a backend's process started, as it was last reported, in Unix milliseconds; 0 for long
    /// ago or if the backend is unknown.
    pub(crate) fn started_at(&self, id: BackendId) -> Millis {
        self.state
            .endpoints
            .borrow()
            .get(&id)
            .map_or(0.0, |endpoint| endpoint.started_at)
    }

    /// Dials a backend ahead of demand, at a random time within `within` milliseconds.
    pub(crate) fn preconnect(&self, id: BackendId, within: Millis) {
        if self.takes_new(id) {
            self.state
                .report(|pool, now, actions| pool.preconnect(now, id, within, actions));
        }
    }

    /// Takes a connection to a backend: a pooled one, the first that is released, or a new one,
    /// whichever comes first, within `timeout` milliseconds in all. For a request that must run
    /// only once, none of an idle age at which connections have broken of late.
    ///
    /// # Errors
    ///
    /// If there is no connection in time, or none can be had; see [`CheckoutError`].
    pub(crate) async fn checkout(
        &self,
        id: BackendId,
        delivery: DeliveryMode,
        timeout: Millis,
    ) -> Result<CheckedOutConnection, CheckoutError> {
        let run_once = delivery == DeliveryMode::Once;
        checkout::checkout(&self.state, id, run_once, timeout).await
    }

    /// Records that a backend rejected the first request on a new connection: its connection table
    /// is full.
    pub(crate) fn record_table_full(&self, id: BackendId) {
        self.state
            .report(|pool, now, _| pool.record_table_full(now, id));
    }

    /// Records whether a connection that had been idle for `idle_for` milliseconds broke under its
    /// next request.
    pub(crate) fn record_reuse(&self, idle_for: Millis, broke: bool) {
        self.state
            .report(|pool, now, _| pool.record_reuse(now, idle_for, broke));
    }

    /// How long a dial may take at most, in milliseconds.
    pub(crate) fn dial_timeout(&self) -> Millis {
        self.state.dial_timeout.as_secs_f64() * 1000.0
    }

    /// How long a response takes to arrive, estimated from dials, in milliseconds; 0 before the
    /// first.
    pub(crate) fn one_way_delay(&self) -> Millis {
        self.state.one_way_delay()
    }

    /// Closes expired connections at regular intervals, for as long as it is polled.
    pub(crate) async fn evict_expired(&self) {
        loop {
            tokio::time::sleep(EVICTION_INTERVAL).await;
            self.state.report(ConnectionPool::evict_expired);
        }
    }

    /// Idle connections to a backend.
    #[cfg(test)]
    pub(crate) fn idle_connections(&self, id: BackendId) -> usize {
        self.state.pool.borrow().idle_connections(id)
    }

    /// Connections to a backend that may be held.
    #[cfg(test)]
    pub(crate) fn connection_limit(&self, id: BackendId) -> usize {
        let now = self.state.clock.now();
        self.state.pool.borrow().connection_limit(now, id)
    }

    /// Makes every idle connection older.
    #[cfg(test)]
    pub(crate) fn age_idle_connections(&self, by: Duration) {
        let by = by.as_secs_f64() * 1000.0;
        self.state.pool.borrow_mut().age_idle_connections(by);
    }
}

#[cfg(test)]
mod tests;
