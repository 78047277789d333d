//! The intervals and timeouts of the protocol.

use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

/// Milliseconds: either a point on the caller's monotonic clock, or a span between two such points.
///
/// This crate reads no clock, so a point has a meaning only relative to other points from the same
/// caller. Points and spans are finite and never negative.
pub type Millis = f64;

/// Maximum length of a datagram, in bytes. With the headers around it, it fits into an Ethernet
/// frame and is never fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1300;

/// Number of gossip rounds after which an update has most likely reached every member: each round
/// triples the number of members that have it.
const DISSEMINATION_ROUNDS: f64 = 10.0;

/// The intervals and timeouts of the protocol.
#[derive(Clone, Debug, PartialEq)]
pub struct Timing {
    /// Interval between two probes. Each probe goes to the next member of a shuffled list.
    pub probe_interval: Millis,
    /// Time within which the target of a probe has to answer. After it, other members are asked to
    /// probe the target.
    pub probe_timeout: Millis,
    /// How long a suspected member may refute the suspicion before it is declared failed.
    pub suspicion_timeout: Millis,
    /// Interval between two rounds of gossip, while there are updates to disseminate.
    pub gossip_interval: Millis,
    /// Number of members that each round of gossip is sent to.
    pub gossip_fanout: usize,
    /// Number of members that are asked to probe a target that did not answer.
    pub indirect_probes: usize,
    /// Interval between two attempts to reach a member that is configured or failed recently, and
    /// is missing from the view.
    pub reconnect_interval: Millis,
    /// Longest interval between two anti-entropy exchanges with a random member.
    pub anti_entropy_interval: Millis,
    /// How long a failed member counts as part of the fleet.
    pub failed_retention: Millis,
    /// How long after its start a process may take its name over from a predecessor that appears to
    /// be alive.
    pub name_takeover_window: Millis,
    /// How late a timer may fire before the process counts as stalled.
    pub timer_tolerance: Millis,
}

impl Timing {
    /// Returns the timing for a fleet of about `size` members. Suspicion lasts as long as an update
    /// needs to reach all of them, so it grows with the logarithm of the size (SWIM, section 4.2).
    pub fn for_size(size: u32) -> Timing {
        let scale = f64::from(size.max(2)).log10().max(1.0);
        Timing {
            probe_interval: 1000.0,
            probe_timeout: 300.0,
            suspicion_timeout: 3000.0 * scale,
            gossip_interval: 400.0,
            gossip_fanout: 3,
            indirect_probes: 3,
            reconnect_interval: 5000.0,
            anti_entropy_interval: 30_000.0,
            failed_retention: 600_000.0,
            name_takeover_window: 10_000.0,
            timer_tolerance: 250.0,
        }
    }

    /// Time after which an update has most likely reached every member.
    pub(crate) fn dissemination_time(&self) -> Millis {
        DISSEMINATION_ROUNDS * self.gossip_interval
    }

    /// Returns this timing as the configuration of the protocol library. The library's own periodic
    /// announcements are off, because anti-entropy does their job.
    pub(crate) fn foca_config(&self, size: u32) -> foca::Config {
        let mut config = foca::Config::new_lan(NonZeroU32::new(size).unwrap_or(NonZeroU32::MIN));
        config.probe_period = to_duration(self.probe_interval);
        config.probe_rtt = to_duration(self.probe_timeout);
        config.num_indirect_probes = at_least_one(self.indirect_probes);
        config.suspect_to_down_after = to_duration(self.suspicion_timeout);
        config.remove_down_after = Some(to_duration(self.failed_retention));
        config.max_packet_size = at_least_one(MAX_DATAGRAM_BYTES);
        config.notify_down_members = true;
        config.periodic_announce = None;
        config.periodic_announce_to_down_members = None;
        config.periodic_gossip = Some(foca::PeriodicParams {
            frequency: to_duration(self.gossip_interval),
            num_members: at_least_one(self.gossip_fanout),
        });
        config
    }
}

fn to_duration(span: Millis) -> Duration {
    Duration::try_from_secs_f64(span / 1000.0).unwrap_or(Duration::from_secs(1))
}

fn at_least_one(count: usize) -> NonZeroUsize {
    NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN)
}
