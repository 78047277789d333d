//! Up to which idle age pooled connections turn out to be alive.

use crate::policy_api::Millis;

/// Ages below this fall into the first bucket; each later bucket starts at twice the age of the one
/// before.
const FIRST_BUCKET_END: Millis = 4.0;
/// Number of buckets: the last one starts at about 16 s.
const BUCKETS: usize = 13;
/// Time after which an observation counts half.
const HALF_LIFE: Millis = 4_000.0;
/// A bucket fails if at least this many connections broke in it, decayed, …
const MIN_BROKEN: f64 = 2.0;
/// … and if they are at least this part of the connections used.
const MIN_BROKEN_PART: f64 = 0.2;

/// What was observed of connections in one range of idle ages.
#[derive(Clone, Copy, Default)]
struct AgeBucket {
    /// Connections reused, as of `updated_at`, decayed.
    used: f64,
    /// Those of them that broke, decayed likewise.
    broken: f64,
    updated_at: Millis,
}

impl AgeBucket {
    /// The weight that what was counted at `updated_at` has now.
    fn decay(&self, now: Millis) -> f64 {
        (-(now - self.updated_at).max(0.0) / HALF_LIFE).exp2()
    }

    fn record(&mut self, now: Millis, broke: bool) {
        let decay = self.decay(now);
        self.used = self.used * decay + 1.0;
        self.broken = self.broken * decay + f64::from(u8::from(broke));
        self.updated_at = now;
    }

    fn is_failing(&self, now: Millis) -> bool {
        self.broken * self.decay(now) >= MIN_BROKEN && self.broken >= MIN_BROKEN_PART * self.used
    }
}

/// Estimates up to which idle age pooled connections are alive.
///
/// Backends close earlier than they announce, and middleboxes drop idle connections silently. Every
/// request on a pooled connection is an observation; idempotent requests go on using old
/// connections, so a recovery is observed as well.
///
/// The estimate is one for all backends: a single backend that breaks young connections is not told
/// apart, and breaks that have nothing to do with age cost needless new connections once they pass
/// [`MIN_BROKEN_PART`].
#[derive(Default)]
pub(super) struct IdleAgeEstimator([AgeBucket; BUCKETS]);

impl IdleAgeEstimator {
    fn bucket_of(idle_for: Millis) -> usize {
        let doublings = (idle_for / FIRST_BUCKET_END).log2().max(-1.0);
        (doublings as isize + 1).clamp(0, BUCKETS as isize - 1) as usize
    }

    /// Records whether a connection that had been idle for `idle_for` broke under its next request.
    pub(super) fn record(&mut self, now: Millis, idle_for: Millis, broke: bool) {
        self.0[Self::bucket_of(idle_for)].record(now, broke);
    }

    /// Whether connections of this idle age, and of every lower one, have held of late.
    pub(super) fn is_reliable(&self, now: Millis, idle_for: Millis) -> bool {
        let buckets_up_to = &self.0[..=Self::bucket_of(idle_for)];
        !buckets_up_to.iter().any(|bucket| bucket.is_failing(now))
    }
}
