//! The conditions on each direction of a link between two processes, and counters of their effects.
//!
//! A link has two [`Direction`]s, each with [`LinkConditions`] of its own that apply to all traffic in that direction,
//! whichever side opened the connection. No bytes are lost or reordered on TCP, since retransmission by the system
//! hides that from a process: a lost packet appears as a delay ([`RETRANSMISSION`]). [`crate::proxy`] forwards the
//! traffic.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// The delay that a lost packet causes on a TCP stream: the minimum retransmission timeout (RFC 6298) of Linux,
/// `RTO_MIN`.
pub const RETRANSMISSION: Duration = Duration::from_millis(200);
/// The longest queue of a rate limit, as the time that a datagram waits in it; datagrams beyond it are lost.
const MAX_QUEUE: Duration = Duration::from_secs(1);
/// The value of [`Direction::truncate_after`] while no connection is to be truncated.
const NO_TRUNCATION: u64 = u64::MAX;

/// The conditions on one direction of a link. The default forwards everything at once.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkConditions {
    /// Nothing passes, and neither side is notified. Data that TCP has buffered passes once this condition ends.
    #[serde(rename = "cut")]
    pub blackhole: bool,
    /// Connection attempts are refused, and open connections are reset.
    #[serde(rename = "refuse")]
    pub reject_connections: bool,
    /// The delay in one direction, ms.
    pub delay_ms: f64,
    /// The maximum of an additional delay, which is uniform from zero on, ms. It can make datagrams overtake each
    /// other.
    #[serde(rename = "spread_ms")]
    pub jitter_ms: f64,
    /// The fraction of datagrams that are lost; on TCP, of chunks that are delayed by [`RETRANSMISSION`].
    pub loss: f64,
    /// The fraction of datagrams that are delivered twice.
    pub duplicate: f64,
    /// The fraction of datagrams that are delivered out of order, up to four delays and 20 ms late.
    pub reorder: f64,
    /// The fraction of datagrams and TCP chunks in which one bit is changed.
    #[serde(rename = "damage")]
    pub corrupt: f64,
    /// The rate limit, bytes per second; `None` for no limit.
    pub bytes_per_s: Option<f64>,
}

impl LinkConditions {
    /// Conditions under which nothing passes.
    pub fn blackhole() -> LinkConditions {
        LinkConditions {
            blackhole: true,
            ..LinkConditions::default()
        }
    }

    /// The conditions of a direction on which both of these are in force.
    pub fn combined_with(&self, other: &LinkConditions) -> LinkConditions {
        let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        LinkConditions {
            blackhole: self.blackhole || other.blackhole,
            reject_connections: self.reject_connections || other.reject_connections,
            delay_ms: self.delay_ms + other.delay_ms,
            jitter_ms: self.jitter_ms + other.jitter_ms,
            loss: either(self.loss, other.loss),
            duplicate: either(self.duplicate, other.duplicate),
            reorder: either(self.reorder, other.reorder),
            corrupt: either(self.corrupt, other.corrupt),
            bytes_per_s: match (self.bytes_per_s, other.bytes_per_s) {
                (Some(a), Some(b)) => Some(a.min(b)),
                (a, b) => a.or(b),
            },
        }
    }
}

/// Counters of one direction of a link, which show whether a fault had an effect.
#[derive(Debug, Default)]
pub struct LinkCounters {
    /// Bytes forwarded on TCP.
    pub bytes: AtomicU64,
    /// Datagrams forwarded.
    pub datagrams: AtomicU64,
    /// Bytes of the datagrams forwarded.
    pub datagram_bytes: AtomicU64,
    /// Datagrams lost at random, to a blackhole, or to a full queue; TCP chunks delayed by [`RETRANSMISSION`].
    pub lost: AtomicU64,
    /// TCP chunks that a blackhole kept back.
    pub stalled: AtomicU64,
    /// Datagrams delivered twice.
    pub duplicated: AtomicU64,
    /// Datagrams delivered out of order.
    pub reordered: AtomicU64,
    /// Datagrams and TCP chunks with a changed bit.
    pub corrupted: AtomicU64,
    /// TCP chunks and datagrams that a delay or a rate limit kept back.
    pub delayed: AtomicU64,
    /// Connections that were reset or truncated.
    pub closed: AtomicU64,
    /// Periods in which connection attempts were refused.
    pub rejecting_periods: AtomicU64,
}

impl LinkCounters {
    /// The counters by the names under which they are reported.
    pub fn to_json(&self) -> serde_json::Value {
        let value = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        serde_json::json!({
            "bytes": value(&self.bytes), "datagrams": value(&self.datagrams), "datagram_bytes": value(&self.datagram_bytes),
            "lost": value(&self.lost), "held": value(&self.stalled), "duplicated": value(&self.duplicated),
            "reordered": value(&self.reordered), "damaged": value(&self.corrupted), "delayed": value(&self.delayed),
            "ended": value(&self.closed), "refusals": value(&self.rejecting_periods),
        })
    }
}

/// Adds one to a counter.
pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// One direction of a link between two processes.
pub struct Direction {
    conditions: watch::Sender<LinkConditions>,
    /// Counts the resets that were requested.
    resets: watch::Sender<u64>,
    /// How many bytes may still pass before a connection is truncated, or [`NO_TRUNCATION`].
    truncate_after: AtomicU64,
    rng: Mutex<StdRng>,
    /// When the rate limit will have forwarded all bytes that it has been given.
    rate_limit_free_at: Mutex<Instant>,
    /// Counts the traffic so far, and the effects of the conditions on it.
    pub counters: LinkCounters,
}

/// What happens to one datagram.
pub(crate) struct DatagramDelivery {
    /// The delay after which each copy is forwarded; empty if the datagram is lost.
    pub(crate) copy_delays: Vec<Duration>,
    /// Whether one bit of the datagram is changed.
    pub(crate) corrupted: bool,
}

impl Direction {
    /// A direction without faults. Its random draws come from `seed`.
    pub fn new(seed: u64) -> Arc<Direction> {
        Arc::new(Direction {
            conditions: watch::Sender::new(LinkConditions::default()),
            resets: watch::Sender::new(0),
            truncate_after: AtomicU64::new(NO_TRUNCATION),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            rate_limit_free_at: Mutex::new(Instant::now()),
            counters: LinkCounters::default(),
        })
    }

    /// Changes the conditions from now on.
    pub fn set_conditions(&self, conditions: LinkConditions) {
        if conditions.reject_connections {
            self.reset_connections();
        }
        self.conditions.send_replace(conditions);
    }

    /// The conditions in force.
    pub fn conditions(&self) -> LinkConditions {
        self.conditions.borrow().clone()
    }

    /// Resets every open connection.
    pub fn reset_connections(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    /// Lets `bytes` more bytes pass, and then resets the connection on which this number is reached.
    pub fn truncate_connection(&self, bytes: u64) {
        self.truncate_after.store(bytes, Ordering::Relaxed);
    }

    /// Subscribes to changes of the conditions.
    pub(crate) fn watch_conditions(&self) -> watch::Receiver<LinkConditions> {
        self.conditions.subscribe()
    }

    /// Subscribes to requests to reset connections.
    pub(crate) fn watch_resets(&self) -> watch::Receiver<u64> {
        self.resets.subscribe()
    }

    /// Counts `bytes` towards a requested truncation. If the connection is to be truncated within them, returns how
    /// many of them still pass.
    pub(crate) fn truncate_within(&self, bytes: usize) -> Option<usize> {
        let remaining = self.truncate_after.load(Ordering::Relaxed);
        if remaining <= bytes as u64 {
            self.truncate_after.store(NO_TRUNCATION, Ordering::Relaxed);
            return Some(remaining as usize);
        }
        if remaining != NO_TRUNCATION {
            self.truncate_after
                .store(remaining - bytes as u64, Ordering::Relaxed);
        }
        None
    }

    fn rng(&self) -> MutexGuard<'_, StdRng> {
        self.rng
            .lock()
            .expect("no panic while the generator is locked")
    }

    /// Returns `true` with this probability. A probability of zero makes no random draw.
    pub(crate) fn occurs(&self, probability: f64) -> bool {
        probability > 0.0 && self.rng().random_bool(probability.clamp(0.0, 1.0))
    }

    /// A delay that is uniform between `base_ms` and `base_ms + jitter_ms`.
    pub(crate) fn random_delay(&self, base_ms: f64, jitter_ms: f64) -> Duration {
        let jitter = if jitter_ms > 0.0 {
            self.rng().random_range(0.0..jitter_ms)
        } else {
            0.0
        };
        Duration::try_from_secs_f64((base_ms + jitter) / 1000.0).unwrap_or_default()
    }

    /// How long this many bytes wait for the rate limit; `None` if they may be dropped and the queue is longer than
    /// [`MAX_QUEUE`].
    pub(crate) fn rate_limit_delay(
        &self,
        conditions: &LinkConditions,
        bytes: usize,
        may_drop: bool,
    ) -> Option<Duration> {
        let Some(rate) = conditions.bytes_per_s.filter(|rate| *rate > 0.0) else {
            return Some(Duration::ZERO);
        };
        let now = Instant::now();
        let mut free_at = self
            .rate_limit_free_at
            .lock()
            .expect("no panic while the rate limit is locked");
        let start = (*free_at).max(now);
        if may_drop && start - now > MAX_QUEUE {
            return None;
        }
        *free_at = start + Duration::try_from_secs_f64(bytes as f64 / rate).unwrap_or(MAX_QUEUE);
        Some(*free_at - now)
    }

    /// Changes one random bit, unless there are no bytes.
    pub(crate) fn corrupt(&self, bytes: &mut [u8]) {
        if bytes.is_empty() {
            return;
        }
        let mut rng = self.rng();
        let position = rng.random_range(0..bytes.len());
        bytes[position] ^= 1 << rng.random_range(0..8u32);
        increment(&self.counters.corrupted);
    }

    /// Decides what happens to a datagram of this many bytes under the conditions in force.
    pub(crate) fn plan_datagram(&self, bytes: usize) -> DatagramDelivery {
        let conditions = self.conditions();
        let lost =
            conditions.blackhole || conditions.reject_connections || self.occurs(conditions.loss);
        let queued = self.rate_limit_delay(&conditions, bytes, true);
        let Some(queued) = queued.filter(|_| !lost) else {
            increment(&self.counters.lost);
            return DatagramDelivery {
                copy_delays: Vec::new(),
                corrupted: false,
            };
        };
        let mut first = queued + self.random_delay(conditions.delay_ms, conditions.jitter_ms);
        if self.occurs(conditions.reorder) {
            increment(&self.counters.reordered);
            first += self.random_delay(1.0, 4.0 * conditions.delay_ms + 20.0);
        }
        let mut copy_delays = vec![first];
        if self.occurs(conditions.duplicate) {
            increment(&self.counters.duplicated);
            copy_delays.push(first + self.random_delay(0.0, conditions.delay_ms + 5.0));
        }
        if first > Duration::ZERO {
            increment(&self.counters.delayed);
        }
        DatagramDelivery {
            copy_delays,
            corrupted: self.occurs(conditions.corrupt),
        }
    }
}
