//! How many connections a gateway may hold, and for how long an idle one is worth keeping.

use crate::policy_api::Millis;

/// Part of the backends' idle timeout for which an idle connection is kept. One that the backend
/// closes first may cost a request.
const IDLE_TIMEOUT_PART: f64 = 0.6;
/// Connections that all gateways together may hold at a backend before any demand has been
/// observed.
const FLEET_SPARE_CONNECTIONS: f64 = 64.0;
/// Connections that each gateway may hold at a backend at least before any demand has been
/// observed.
const MIN_SPARE_CONNECTIONS: f64 = 2.0;

/// The limits of the pools, from the settings and from the resources of the machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolLimits {
    /// Connections and dials in flight at once, over all backends.
    pub max_connections: usize,
    /// Idle time after which a backend closes a connection, in milliseconds.
    pub endpoint_idle_timeout: Millis,
    /// Gateways of the fleet.
    pub gateway_count: u32,
    /// Price of a handshake, for each first attempt of the fleet.
    pub handshake_cost: f64,
    /// Price of the connections open on average, for each hundred per backend.
    pub connection_cost: f64,
}

impl PoolLimits {
    /// Connections that this gateway may hold at a backend beyond what observed demand calls for.
    pub(super) fn spare_connections(&self) -> f64 {
        (FLEET_SPARE_CONNECTIONS / f64::from(self.gateway_count.max(1)))
            .max(MIN_SPARE_CONNECTIONS)
            .floor()
    }

    /// For how many milliseconds an idle connection is kept: well short of the backends' own idle
    /// timeout, and no longer than keeping it costs less than a new one.
    ///
    /// The settings price both over the whole fleet, a handshake for each first attempt and the
    /// open connections for each hundred per backend. The fleet's rate is taken as `request_rate`
    /// (a second, at this gateway) times the number of gateways.
    pub(super) fn max_idle_time(&self, request_rate: f64, endpoint_count: usize) -> Millis {
        let longest = IDLE_TIMEOUT_PART * self.endpoint_idle_timeout;
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
