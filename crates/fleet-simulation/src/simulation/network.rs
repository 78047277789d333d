//! Model of the network: reachability of zones and one-way delays.

use super::Simulation;
use cometspool::Millis;

impl Simulation {
    /// Returns the one-way delay of a message from one zone to another, ms.
    pub(super) fn one_way_delay(&self, from: u32, to: u32) -> Millis {
        if from == to {
            self.scenario.one_way_delays.within_zone
        } else {
            self.scenario.one_way_delays.between_zones
        }
    }

    /// Whether messages from one zone reach another. A partition of either zone prevents it; messages within a zone
    /// always arrive.
    pub(super) fn is_reachable(&self, from: u32, to: u32) -> bool {
        from == to || !(self.is_partitioned(from) || self.is_partitioned(to))
    }

    /// Whether messages between a gateway and a backend arrive; false if a partition separates their zones.
    pub(super) fn is_backend_reachable(&self, gateway: usize, backend: usize) -> bool {
        self.is_reachable(
            self.gateways[gateway].zone,
            self.backends[backend].spec.zone,
        )
    }

    /// Returns the one-way delay between a gateway and a backend, ms.
    pub(super) fn delay_to_backend(&self, gateway: usize, backend: usize) -> Millis {
        self.one_way_delay(
            self.gateways[gateway].zone,
            self.backends[backend].spec.zone,
        )
    }

    fn is_partitioned(&self, zone: u32) -> bool {
        self.partitioned_zones.get(&zone).copied().unwrap_or(false)
    }
}
