//! The network: who reaches whom, and how long one way takes.

use super::World;
use cometspool::Millis;

impl World {
    pub(super) fn one_way_delay(&self, from: u32, to: u32) -> Millis {
        if from == to {
            self.spec.way.0
        } else {
            self.spec.way.1
        }
    }

    pub(super) fn reaches(&self, from: u32, to: u32) -> bool {
        let cut = |zone| self.cut.get(&zone).copied().unwrap_or(false);
        from == to || !(cut(from) || cut(to))
    }
}
