//! The network: who reaches whom, and how long one way takes.

use super::Simulation;
use cometspool::Millis;

impl Simulation {
    pub(super) fn one_way_delay(&self, from: u32, to: u32) -> Millis {
        if from == to {
            self.scenario.one_way_delays.within_zone
        } else {
            self.scenario.one_way_delays.between_zones
        }
    }

    pub(super) fn reaches(&self, from: u32, to: u32) -> bool {
        let cut = |zone| self.partitioned_zones.get(&zone).copied().unwrap_or(false);
        from == to || !(cut(from) || cut(to))
    }
}
