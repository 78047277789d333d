//! Limits of the pools: how many connections a gateway may hold, and how long it keeps an idle one.

use crate::policy_api::Millis;

/// The fraction of the backends' idle timeout for which an idle connection is kept at most. A
/// request may be lost on a connection that the backend closes first.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;
/// The number of connections that all gateways together may hold to a backend without observed
/// demand.
const FLEET_SPARE_CONNECTIONS: f64 = 64.0;
/// The minimum number of connections that each gateway may hold to a backend without observed
/// demand.
const MIN_SPARE_CONNECTIONS: f64 = 2.0;

/// The limits of the pools, from the settings and the resources of the machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolLimits {
    /// The maximum number of connections and dials in flight, over all backends.
    pub max_connections: usize,
    /// The idle time after which a backend closes a connection, in milliseconds.
    pub endpoint_idle_timeout: Millis,
    /// The number of gateways in the fleet.
    pub gateway_count: u32,
    /// The price of a handshake for each first attempt of the fleet.
    pub handshake_cost: f64,
    /// The price of each hundred connections per backend that are open on average.
    pub connection_cost: f64,
}

impl PoolLimits {
    /// The number of connections that this gateway may hold to a backend beyond its observed demand.
    pub(super) fn spare_connections(&self) -> f64 {
        (FLEET_SPARE_CONNECTIONS / f64::from(self.gateway_count.max(1)))
            .max(MIN_SPARE_CONNECTIONS)
            .floor()
    }

    /// How long an idle connection is kept, in milliseconds. This is well short of the backends' own
    /// idle timeout, and ends when keeping a connection becomes more expensive than a new one.
    ///
    /// The settings give both prices for the whole fleet: the price of handshakes per first attempt,
    /// and the price of open connections per hundred connections to a backend. The request rate of
    /// the fleet is estimated as `request_rate` (requests per second at this gateway) times
    /// the number of gateways.
    pub(super) fn max_idle_time(&self, request_rate: f64, endpoint_count: usize) -> Millis {
        let longest = IDLE_TIMEOUT_FRACTION * self.endpoint_idle_timeout;
        let fleet_rate = request_rate * f64::from(self.gateway_count.max(1));
        if self.connection_cost > 0.0 && fleet_rate > 0.0 {
            let endpoints = endpoint_count.max(1) as f64;
            let handshake_cost = self.handshake_cost.max(0.0);
            longest.min(
                1000.0 * handshake_cost * 100.0 * endpoints / (self.connection_cost * fleet_rate),
            )
        } else {
            longest
        }
    }
}
