//! The local quota: the limits that apply to a customer at one gateway, given the number of gateways over which its
//! requests are spread.

use super::{rate_limit, PolicyContext};
use crate::policy_api::*;

/// Minimum depth of a token bucket, in multiples of its customer's largest request; set by the design of the recent
/// average rate limiter. Also the number of mean requests below which an equal share of the burst is a small share.
const MIN_DEPTH_REQUESTS: f64 = 2.0;
/// How many times faster than the recent average a report of the meter is forgotten.
const METER_DECAY_FACTOR: f64 = 2.0;

/// The observations of this gateway that a local quota depends on.
pub(super) struct ObservedTraffic {
    /// Units of the customer's largest request, including the present one.
    pub largest_request: f64,
    /// Mean units of a request, over all customers.
    pub mean_request_units: f64,
    /// When the usage meter last reported on any customer, ms.
    pub meter_reported_at: Millis,
}

/// The limits that apply to one customer at this gateway.
pub(super) struct LocalQuota {
    /// Decay rate of the recent average, 1/ms.
    pub decay_rate: f64,
    /// Decay rate of the meter's reports, 1/ms. A small share gets too few reports to forget them faster than the
    /// recent average.
    pub meter_decay_rate: f64,
    /// Recent average rate above which the penalty box rejects, units a second.
    pub penalty_box_limit: f64,
    /// Equal share of the quota's rate, units a second.
    pub equal_share_rate: f64,
    /// Capacity of the token bucket, units.
    pub depth: f64,
    /// Number of gateways over which the customer's requests are spread.
    pub gateway_count: f64,
    /// Mean units of a request, over all customers.
    pub mean_request_units: f64,
    /// When the usage meter last reported on any customer, ms.
    pub meter_reported_at: Millis,
    /// This gateway's share of the limit on concurrent attempts; infinite if the plan has no limit.
    pub concurrency_limit: f64,
    /// Whether this gateway has a small share: its equal share of the burst holds fewer than two mean requests.
    pub is_small_share: bool,
}

impl LocalQuota {
    /// Computes the local quota of the customer that sent `request`.
    pub(super) fn new(
        context: &PolicyContext,
        request: &Request,
        traffic: &ObservedTraffic,
    ) -> LocalQuota {
        let plan = context.plan(request.plan);
        let gateway_count = request.gateway_count;
        let decay_rate = rate_limit::decay_rate(&context.settings, plan);
        let equal_share_burst = plan.burst / gateway_count;
        let least_burst = MIN_DEPTH_REQUESTS * traffic.mean_request_units;
        let is_small_share = gateway_count > 1.0 && equal_share_burst < least_burst;
        let burst = if is_small_share {
            plan.burst
        } else {
            equal_share_burst
        };
        LocalQuota {
            decay_rate,
            meter_decay_rate: if is_small_share {
                decay_rate
            } else {
                METER_DECAY_FACTOR * decay_rate
            },
            penalty_box_limit: rate_limit::penalty_box_limit(plan, decay_rate),
            equal_share_rate: plan.rate / gateway_count,
            depth: burst.max(MIN_DEPTH_REQUESTS * traffic.largest_request),
            gateway_count,
            mean_request_units: traffic.mean_request_units,
            meter_reported_at: traffic.meter_reported_at,
            concurrency_limit: if plan.max_concurrency > 0 {
                f64::from(plan.max_concurrency) / gateway_count
            } else {
                f64::INFINITY
            },
            is_small_share,
        }
    }
}
