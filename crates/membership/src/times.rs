//! How often members probe, tell and compare, and how long they wait.

use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

/// Greatest datagram, bytes: fits an Ethernet frame beside the headers round it, so that none is cut in pieces.
pub const GREATEST_DATAGRAM: usize = 1300;

/// How often and how long; ms.
#[derive(Clone, Debug, PartialEq)]
pub struct Times {
    /// Between two probes, each of a member drawn in turn.
    pub probe: f64,
    /// A probe's answer is expected within this; after it others are asked to probe.
    pub round_trip: f64,
    /// How long a member that did not answer may defend itself.
    pub suspicion: f64,
    /// Between two rounds of gossip, while there is news.
    pub gossip: f64,
    /// Members told in a round.
    pub gossip_to: usize,
    /// Members asked to probe for one.
    pub indirect: usize,
    /// Between two attempts to reach somebody who should be there and is not.
    pub heal: f64,
    /// Between two comparisons of all that is known with a member drawn by chance.
    pub compare: f64,
    /// How long one that failed counts as part of the fleet.
    pub mourn: f64,
    /// How long after its start a process may take its name from a predecessor that seems alive.
    pub settle: f64,
    /// How late a timer may fire before the process doubts itself.
    pub tolerance: f64,
}

impl Times {
    /// Times for a fleet of about so many: suspicion lasts as long as news needs to reach all, so it grows with the
    /// logarithm of the size (SWIM, section 4.2).
    pub fn of(size: u32) -> Times {
        let spread = f64::from(size.max(2)).log10().max(1.0);
        Times {
            probe: 1000.0,
            round_trip: 300.0,
            suspicion: 3000.0 * spread,
            gossip: 400.0,
            gossip_to: 3,
            indirect: 3,
            heal: 5000.0,
            compare: 30_000.0,
            mourn: 600_000.0,
            settle: 10_000.0,
            tolerance: 250.0,
        }
    }

    /// When news has most likely reached all: ten rounds of gossip, each of which trebles those who know.
    pub(crate) fn settled_news(&self) -> f64 {
        10.0 * self.gossip
    }

    pub(crate) fn foca(&self, size: u32) -> foca::Config {
        let ms =
            |ms: f64| Duration::try_from_secs_f64(ms / 1000.0).unwrap_or(Duration::from_secs(1));
        let some = |count: usize| NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN);
        let mut config = foca::Config::new_lan(NonZeroU32::new(size).unwrap_or(NonZeroU32::MIN));
        config.probe_period = ms(self.probe);
        config.probe_rtt = ms(self.round_trip);
        config.num_indirect_probes = some(self.indirect);
        config.suspect_to_down_after = ms(self.suspicion);
        config.remove_down_after = Some(ms(self.mourn));
        config.max_packet_size = some(GREATEST_DATAGRAM);
        config.notify_down_members = true;
        config.periodic_announce = None;
        config.periodic_announce_to_down_members = None;
        config.periodic_gossip = Some(foca::PeriodicParams {
            frequency: ms(self.gossip),
            num_members: some(self.gossip_to),
        });
        config
    }
}
