//! The figures of a customer's quota at one gateway, by the number of gateways over which its requests are spread.

use super::{rate_limit, PolicyContext};
use crate::policy_api::*;

/// Least depth of a token bucket, in largest requests of its customer; the design's figure. An even share of the
/// burst below so many mean requests is a fragment.
const MIN_DEPTH_REQUESTS: f64 = 2.0;
/// How much faster than the recent average a report of the meter is forgotten.
const METER_DECAY_FACTOR: f64 = 2.0;

/// What a gateway has observed that its share of a quota depends on.
pub(super) struct ObservedTraffic {
    /// Units of the customer's largest request, the present one included.
    pub largest_request: f64,
    /// Mean units of a request, over all customers.
    pub mean_request_units: f64,
    /// When the meter last reported anything of any customer, ms.
    pub meter_reported_at: Millis,
}

/// The figures of a customer's quota at this gateway.
pub(super) struct LocalQuota {
    /// Decay rate of the recent average, 1/ms.
    pub decay_rate: f64,
    /// Decay rate of what the meter reported, 1/ms. A fragment gets too few reports to forget them sooner than the
    /// average.
    pub meter_decay_rate: f64,
    /// Recent average rate at which the penalty box shuts, units a second.
    pub penalty_box_limit: f64,
    /// Even share of the quota's rate, units a second.
    pub even_rate: f64,
    /// Capacity of the token bucket, units.
    pub depth: f64,
    /// Number of gateways over which the customer's requests are spread.
    pub gateway_count: f64,
    /// Mean units of a request.
    pub mean_request_units: f64,
    /// When the meter last reported anything of any customer, ms.
    pub meter_reported_at: Millis,
    /// Concurrent attempts that this gateway's share covers; infinite where the plan has no limit.
    pub concurrency: f64,
    /// Whether the even share of the burst does not hold two mean requests.
    pub is_fragment: bool,
}

impl LocalQuota {
    /// The quota of the customer that sent a request.
    pub(super) fn new(
        context: &PolicyContext,
        request: &Request,
        traffic: &ObservedTraffic,
    ) -> LocalQuota {
        let plan = context.plan(request.plan);
        let gateway_count = request.gateway_count;
        let decay_rate = rate_limit::decay_rate(&context.settings, plan);
        let even_burst = plan.burst / gateway_count;
        let least_burst = MIN_DEPTH_REQUESTS * traffic.mean_request_units;
        let is_fragment = gateway_count > 1.0 && even_burst < least_burst;
        let burst = if is_fragment { plan.burst } else { even_burst };
        LocalQuota {
            decay_rate,
            meter_decay_rate: if is_fragment {
                decay_rate
            } else {
                METER_DECAY_FACTOR * decay_rate
            },
            penalty_box_limit: rate_limit::penalty_box_limit(plan, decay_rate),
            even_rate: plan.rate / gateway_count,
            depth: burst.max(MIN_DEPTH_REQUESTS * traffic.largest_request),
            gateway_count,
            mean_request_units: traffic.mean_request_units,
            meter_reported_at: traffic.meter_reported_at,
            concurrency: if plan.max_concurrency > 0 {
                f64::from(plan.max_concurrency) / gateway_count
            } else {
                f64::INFINITY
            },
            is_fragment,
        }
    }
}
