//! The statistics of a run.

use crate::client_population::QuotaAccount;
use cometspool::Millis;

/// The statistics of a run. Weights are priority weights, work is in milliseconds on one core of reference speed, and
/// vectors "by second" are indexed by the whole second of simulated time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunStatistics {
    /// Number of client requests, not counting retries of rejected requests.
    pub requests: u64,
    /// Sum of the weights of the requests in [`Self::requests`].
    pub requested_weight: f64,
    /// Sum of the weights of the requests that were served within their latency objective.
    pub served_weight: f64,
    /// Number of requests by outcome, including retries of rejected requests.
    pub outcomes: OutcomeCounts,
    /// Number of requests that were rejected or failed late: after their latency objective, or after more than half of
    /// the time until their deadline.
    pub late_failures: u64,
    /// Number of attempts that gateways sent, including first attempts.
    pub attempts: u64,
    /// Number of first attempts of requests.
    pub first_attempts: u64,
    /// Number of requests of which the attempt that ended first did not succeed.
    pub failed_first_attempts: u64,
    /// Work that all backends did.
    pub work: f64,
    /// Part of [`Self::work`] that did not contribute to a request served in time.
    pub wasted_work: f64,
    /// Requested and served weight, by the second in which the requests arrived.
    pub weight_by_second: Vec<WeightSums>,
    /// First attempts, by second.
    pub first_attempts_by_second: Vec<FirstAttempts>,
    /// Maximum load of a backend in slow start within 2 s, as a multiple of its capacity at that time.
    pub peak_over_capacity: f64,
    /// Number of attempts that gateways sent to a backend in another zone.
    pub cross_zone_attempts: u64,
    /// Number of times that a gateway ejected a backend as an outlier.
    pub ejections: EjectionCounts,
    /// Number of dials.
    pub dials: u64,
    /// Number of dials that were rejected because the backend had reached its connection limit.
    pub rejected_dials: u64,
    /// Number of dials, by second.
    pub dials_by_second: Vec<u32>,
    /// Maximum number of connections that were open at the same time, by backend.
    pub peak_connections: Vec<usize>,
    /// Number of attempts, by backend and then by second.
    pub attempts_by_backend: Vec<Vec<u32>>,
    /// Work that arrived at a backend in slow start (a cold backend), by backend; includes handshakes.
    pub cold_work: Vec<Vec<ColdWork>>,
    /// Lifetime of each backend's process, by backend; a restart under the same id replaces the start time.
    pub incarnations: Vec<Incarnation>,
    /// Totals that measure the use of the customers' quotas.
    pub quota_account: QuotaAccount,
}

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Requests that were served, within their latency objective or later.
    pub served: u64,
    /// Requests that a gateway rejected.
    pub rejected: u64,
    /// Requests that failed or got no response before their deadline.
    pub failed: u64,
}

impl OutcomeCounts {
    /// Returns the number of all requests that ended.
    pub fn total(&self) -> u64 {
        self.served + self.rejected + self.failed
    }
}

/// Number of ejections of backends, by whether the ejection was justified. Ejections are counted from the log lines of
/// the policy engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EjectionCounts {
    /// Ejections of backends that were healthy and reachable.
    pub healthy: u64,
    /// Ejections of backends that were faulty or unreachable.
    pub faulty: u64,
}

/// Weight of the requests that arrived in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WeightSums {
    /// Weight of all requests.
    pub requested: f64,
    /// Weight of the requests that were served within their latency objective.
    pub served: f64,
}

/// First attempts sent in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FirstAttempts {
    /// Number of all first attempts.
    pub total: u64,
    /// Number of first attempts to backends that were faulty or unreachable.
    pub to_faulty: u64,
}

/// The lifetime of a backend's process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Incarnation {
    /// Simulated time of the start, ms; negative infinity if the process started before the run.
    pub started_at: Millis,
    /// Simulated time of the end, ms; infinity if the process was running at the end of the run.
    pub ended_at: Millis,
}

/// Work that arrived at a backend in slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdWork {
    /// Simulated time of the arrival, ms.
    pub at: Millis,
    /// Amount of work, in milliseconds on one core of reference speed.
    pub work: f64,
    /// Whether the sender had been notified of the backend's start; always true for work that a backend sent.
    pub sender_knew_start: bool,
}

impl RunStatistics {
    /// Returns the served weight as a fraction of the requested weight.
    pub fn served_share(&self) -> f64 {
        self.served_weight / self.requested_weight.max(1e-9)
    }

    /// Returns the minimum served share of any ten consecutive seconds, from second `from` on.
    pub fn worst_ten_seconds(&self, from: usize) -> f64 {
        let seconds = self.weight_by_second.get(from..).unwrap_or(&[]);
        let served_share = |ten_seconds: &[WeightSums]| {
            let mut requested = 0.0;
            let mut served = 0.0;
            for second in ten_seconds {
                requested += second.requested;
                served += second.served;
            }
            served / f64::max(requested, 1e-9)
        };
        seconds.windows(10).map(served_share).fold(1.0, f64::min)
    }
}
