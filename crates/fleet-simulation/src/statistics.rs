//! The statistics of a run.

use crate::client_population::QuotaAccount;
use cometspool::Millis;

/// The statistics of a run. Weights are priority weights, work is in milliseconds of one core of reference speed, and
/// vectors "by second" are indexed by the whole second of simulated time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunStatistics {
    /// Client requests, retries of rejected ones not counted.
    pub requests: u64,
    /// Sum of the weights of these requests.
    pub requested_weight: f64,
    /// Sum of the weights of the requests that were served within their latency objective.
    pub served_weight: f64,
    /// How requests ended, retries of rejected ones included.
    pub outcomes: OutcomeCounts,
    /// Requests that were rejected or failed after their latency objective or more than half of their deadline had
    /// passed.
    pub late_failures: u64,
    /// Attempts that gateways sent, first ones included.
    pub attempts: u64,
    /// First attempts of requests.
    pub first_attempts: u64,
    /// Requests whose first attempt to end did not succeed.
    pub failed_first_attempts: u64,
    /// Work that backends did.
    pub work: f64,
    /// The part of it that did not contribute to a request served in time.
    pub wasted_work: f64,
    /// Weight requested and served, by the second in which the requests arrived.
    pub weight_by_second: Vec<WeightSums>,
    /// First attempts by second.
    pub first_attempts_by_second: Vec<FirstAttempts>,
    /// Highest load of a backend in slow start within 2 s, as a multiple of its capacity then.
    pub peak_over_capacity: f64,
    /// Attempts sent from one zone to another.
    pub cross_zone_attempts: u64,
    /// Times that a gateway ejected a backend as an outlier.
    pub ejections: EjectionCounts,
    /// Connections dialed.
    pub dials: u64,
    /// Dials rejected because the backend had no room for another connection.
    pub rejected_dials: u64,
    /// Dials by second.
    pub dials_by_second: Vec<u32>,
    /// Most connections open at once, by backend.
    pub peak_connections: Vec<usize>,
    /// Attempts by backend, then by second.
    pub attempts_by_backend: Vec<Vec<u32>>,
    /// Work that arrived while the backend was in slow start, by backend; handshakes included.
    pub cold_work: Vec<Vec<ColdWork>>,
    /// Start and end of each backend's process; a restart in place replaces its start.
    pub incarnations: Vec<Incarnation>,
    /// Use of the customers' quotas.
    pub quota_account: QuotaAccount,
}

/// Requests by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Served, in time or late.
    pub served: u64,
    /// Rejected by a gateway.
    pub rejected: u64,
    /// Failed, or not answered before the deadline.
    pub failed: u64,
}

impl OutcomeCounts {
    /// All requests that ended.
    pub fn total(&self) -> u64 {
        self.served + self.rejected + self.failed
    }
}

/// Ejections of backends, counted by the log lines of the policies, by whether they were justified.
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
    /// Weight of all of them.
    pub requested: f64,
    /// Weight of those that were served within their latency objective.
    pub served: f64,
}

/// First attempts sent in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FirstAttempts {
    /// All of them.
    pub total: u64,
    /// Those to backends that were faulty or unreachable.
    pub to_faulty: u64,
}

/// The lifetime of a backend's process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Incarnation {
    /// When it started, ms; negative infinity if before the run.
    pub started_at: Millis,
    /// When it ended, ms; infinity if it did not.
    pub ended_at: Millis,
}

/// Work that arrived at a backend in slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdWork {
    /// When it arrived, ms.
    pub at: Millis,
    /// How much, in milliseconds of one core of reference speed.
    pub work: f64,
    /// Whether its sender had been notified of the backend's start.
    pub sender_knew_start: bool,
}

impl RunStatistics {
    /// Part of the requested weight that was served in time.
    pub fn served_share(&self) -> f64 {
        self.served_weight / self.requested_weight.max(1e-9)
    }

    /// The lowest served share of any ten consecutive seconds, from second `from` on.
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
