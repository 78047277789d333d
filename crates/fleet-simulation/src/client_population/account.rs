//! Totals that measure how well the gateways enforce the quotas, over all attempts of all customers.

use std::collections::BTreeMap;

/// Totals over all requests of clients. Weights are priority weights multiplied by the plan's weight factor. Every
/// request counts as one unit, and only forwarded requests take units from a quota.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaAccount {
    /// Weight of the requests that clients sent, retries not included. A request counts with its full weight if a
    /// single gateway that sees all requests would admit it within quota, and with the plan's over-quota weight
    /// otherwise.
    pub offered: f64,
    /// Weight of the requests within quota that were served in time.
    pub served: f64,
    /// Weight of the over-quota requests that were served in time, reduced to the plan's over-quota weight.
    pub served_over_quota: f64,
    /// Cost of the over-quota requests that were forwarded.
    pub over_quota_cost: f64,
    /// Units forwarded within quota.
    pub units_within_quota: f64,
    /// Units forwarded over quota.
    pub units_over_quota: f64,
    /// Number of requests that clients sent, retries included.
    pub attempts: u64,
    /// Number of rejected requests whose customer had at least half of its quota's burst unused.
    pub rejected_within_quota: u64,
    /// Number of rejected requests by the name of the reject reason.
    pub rejections_by_reason: BTreeMap<String, u64>,
    /// Minimum distance to any ceiling plus its slack, as a fraction of the slack. Negative if a ceiling plus its slack
    /// was exceeded, infinite if no plan has a ceiling.
    pub min_ceiling_margin: f64,
}

impl QuotaAccount {
    /// Returns the served weight minus the cost of over-quota requests, as a fraction of the offered weight.
    pub fn net_value(&self) -> f64 {
        (self.served + self.served_over_quota - self.over_quota_cost) / self.offered.max(1e-9)
    }
}
