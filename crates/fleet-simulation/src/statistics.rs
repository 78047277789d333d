//! The figures of a run.

use crate::client_population::QuotaAccount;
use cometspool::Millis;

/// What a run gave.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunStatistics {
    /// Requests of clients.
    pub requests: u64,
    /// Their worth, and the worth of those served within their aims.
    pub requested_worth: f64,
    /// Worth served in time.
    pub served_worth: f64,
    /// Requests served, refused at once and failed.
    pub ends: [u64; 3],
    /// Requests that failed after their aim had passed or more than half of their time had.
    pub late_failures: u64,
    /// Attempts sent, first ones among them.
    pub attempts: u64,
    /// First attempts.
    pub first_attempts: u64,
    /// First attempts that did not come to a good answer.
    pub failed_first_attempts: u64,
    /// Work that backends did, and the part of it for attempts that served nobody in time.
    pub work: f64,
    /// Wasted work.
    pub wasted_work: f64,
    /// Worth asked and served by second.
    pub worth_by_second: Vec<SecondWorth>,
    /// First attempts by second, and those of them to backends that were ill or cut off.
    pub first_attempts_by_second: Vec<FirstAttempts>,
    /// Highest load put on a backend in 2 s, over what it could do in them.
    pub peak_over_capacity: f64,
    /// Attempts that crossed zones.
    pub cross_zone_attempts: u64,
    /// Times that a gateway set a backend aside: one that is well, and one that is ill or cut off.
    pub set_aside: [u64; 2],
    /// Dials, and those of them that a full table refused.
    pub dials: u64,
    /// Dials refused by a full table.
    pub refused_dials: u64,
    /// Dials by second.
    pub dials_by_second: Vec<u32>,
    /// Most connections open at once at each backend.
    pub peak_connections: Vec<usize>,
    /// Attempts by backend and second.
    pub attempts_by_backend: Vec<Vec<u32>>,
    /// What came to each backend while it was cold, handshakes included.
    pub cold_work: Vec<Vec<ColdWork>>,
    /// When each backend started, and until when it took requests.
    pub incarnations: Vec<Incarnation>,
    /// What came of the customers' quotas.
    pub quota_account: QuotaAccount,
}

/// Worth of the requests that came in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SecondWorth {
    /// Worth of all of them.
    pub requested: f64,
    /// Worth of those that were served in time.
    pub served: f64,
}

/// First attempts of one second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FirstAttempts {
    /// All of them.
    pub total: u64,
    /// Those to backends that were faulty or unreachable.
    pub to_faulty: u64,
}

/// The life of a backend's process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Incarnation {
    /// When it started; negative infinity for before the run.
    pub started_at: Millis,
    /// When it ended; infinity where it did not.
    pub ended_at: Millis,
}

/// Work that came to a cold backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdWork {
    /// When.
    pub at: Millis,
    /// How much, ms of a core.
    pub work: f64,
    /// Whether whoever sent it had been told of the backend's start.
    pub sender_knew_start: bool,
}

impl RunStatistics {
    /// Part of the worth asked that was served in time.
    pub fn served_share(&self) -> f64 {
        self.served_worth / self.requested_worth.max(1e-9)
    }

    /// The lowest share served in any ten seconds that begin with a whole one, from `from` on.
    pub fn worst_ten_seconds(&self, from: usize) -> f64 {
        let seconds = self.worth_by_second.get(from..).unwrap_or(&[]);
        let served_share = |ten_seconds: &[SecondWorth]| {
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
