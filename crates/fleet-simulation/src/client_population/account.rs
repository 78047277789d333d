//! The account that every attempt of a customer is held to.

use std::collections::BTreeMap;

/// What came of all attempts, in worth and in attempts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaAccount {
    /// Worth that a single gateway with full knowledge would admit, and what the rest would earn.
    pub offered: f64,
    /// Worth served in time within the quotas.
    pub served: f64,
    /// Worth earned by what was served over the quotas.
    pub served_over_quota: f64,
    /// Cost of what was forwarded over the quotas.
    pub over_quota_cost: f64,
    /// Units forwarded within the quotas.
    pub units_within_quota: f64,
    /// Units forwarded over the quotas.
    pub units_over_quota: f64,
    /// All attempts of clients, retries included.
    pub attempts: u64,
    /// Rejected attempts whose customer had at least half of its quota unused.
    pub rejected_within_quota: u64,
    /// Rejected attempts by reason.
    pub rejections_by_reason: BTreeMap<String, u64>,
    /// Least margin left below any ceiling with its slack, as a fraction of the slack; negative where a ceiling was passed.
    pub min_ceiling_margin: f64,
}

impl QuotaAccount {
    /// Worth served less the cost of what went over the quotas, as a fraction of what was offered.
    pub fn net_value(&self) -> f64 {
        (self.served + self.served_over_quota - self.over_quota_cost) / self.offered.max(1e-9)
    }
}
