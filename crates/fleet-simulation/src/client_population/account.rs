//! The account of how gateways kept to the customers' quotas, over all attempts of all customers.

use std::collections::BTreeMap;

/// What became of all attempts of clients. Weights are priority weights times the plan's weight factor; a unit is a
/// request that is forwarded.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaAccount {
    /// Weight requested: that of the requests a single gateway that sees all requests would admit within quota, and
    /// the reduced weight that the plan gives to the rest.
    pub offered: f64,
    /// Weight served in time within the quotas.
    pub served: f64,
    /// Reduced weight of what was served in time over the quotas.
    pub served_over_quota: f64,
    /// Cost of what was forwarded over the quotas.
    pub over_quota_cost: f64,
    /// Units forwarded within the quotas.
    pub units_within_quota: f64,
    /// Units forwarded over the quotas.
    pub units_over_quota: f64,
    /// All attempts of clients, retries included.
    pub attempts: u64,
    /// Rejected attempts whose customer had at least half of its quota's burst unused.
    pub rejected_within_quota: u64,
    /// Rejected attempts by the name of the reason.
    pub rejections_by_reason: BTreeMap<String, u64>,
    /// Least margin left below any ceiling with its slack, as a fraction of the slack; negative where a ceiling was
    /// exceeded, infinite where no plan has one.
    pub min_ceiling_margin: f64,
}

impl QuotaAccount {
    /// Weight served less the cost of what was forwarded over the quotas, as a fraction of the weight offered.
    pub fn net_value(&self) -> f64 {
        (self.served + self.served_over_quota - self.over_quota_cost) / self.offered.max(1e-9)
    }
}
