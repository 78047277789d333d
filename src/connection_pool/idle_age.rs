//! Estimates up to which idle age pooled connections are still alive when they are reused.

use crate::policy_api::Millis;

/// The upper end of the first bucket of idle ages, in milliseconds. The second bucket starts there,
/// and each later one starts at twice the age at which the previous one starts.
const FIRST_BUCKET_END: Millis = 4.0;
/// The number of buckets; the last one starts at about 16 s.
const BUCKETS: usize = 13;
/// The time after which the weight of an observation has halved, in milliseconds.
const HALF_LIFE: Millis = 4_000.0;
/// The minimum decayed number of broken connections for a bucket to be failing.
const MIN_BROKEN: f64 = 2.0;
/// The minimum fraction of reused connections that broke for a bucket to be failing.
const MIN_BROKEN_FRACTION: f64 = 0.2;

/// The observations of reused connections in one range of idle ages.
#[derive(Clone, Copy, Default)]
struct AgeBucket {
    /// The exponentially decayed number of reused connections, as of `updated_at`.
    reused: f64,
    /// The exponentially decayed number of those that broke, as of `updated_at`.
    broken: f64,
    updated_at: Millis,
}

impl AgeBucket {
    /// The factor by which the counts have decayed since `updated_at`.
    fn decay(&self, now: Millis) -> f64 {
        (-(now - self.updated_at).max(0.0) / HALF_LIFE).exp2()
    }

    fn record(&mut self, now: Millis, broke: bool) {
        let decay = self.decay(now);
        self.reused = self.reused * decay + 1.0;
        self.broken = self.broken * decay + f64::from(u8::from(broke));
        self.updated_at = now;
    }

    fn is_failing(&self, now: Millis) -> bool {
        self.broken * self.decay(now) >= MIN_BROKEN
            && self.broken >= MIN_BROKEN_FRACTION * self.reused
    }
}

/// Estimates up to which idle age pooled connections are still alive.
///
/// Backends may close idle connections earlier than they announce, and middleboxes drop idle
/// connections silently. Every request on a pooled connection is an observation. Requests that may
/// run more than once still use connections of a failing idle age, so a recovery is observed as
/// well.
///
/// There is one estimate for all backends, so a single backend that breaks connections of low idle
/// age affects the others. Breaks that are unrelated to the idle age cause needless new connections
/// once their fraction reaches [`MIN_BROKEN_FRACTION`].
#[derive(Default)]
pub(super) struct IdleAgeEstimator([AgeBucket; BUCKETS]);

impl IdleAgeEstimator {
    fn bucket_of(idle_for: Millis) -> usize {
        let doublings = (idle_for / FIRST_BUCKET_END).log2().max(-1.0);
        (doublings as isize + 1).clamp(0, BUCKETS as isize - 1) as usize
    }

    /// Records whether a connection that had been idle for `idle_for` milliseconds broke on its next
    /// request.
    pub(super) fn record(&mut self, now: Millis, idle_for: Millis, broke: bool) {
        self.0[Self::bucket_of(idle_for)].record(now, broke);
    }

    /// Whether connections of this idle age and of all lower ones have recently been reliable.
    pub(super) fn is_reliable(&self, now: Millis, idle_for: Millis) -> bool {
        let buckets_up_to = &self.0[..=Self::bucket_of(idle_for)];
        !buckets_up_to.iter().any(|bucket| bucket.is_failing(now))
    }
}
