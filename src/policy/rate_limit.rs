//! The recent average rate limiter of the design: how fast a customer's CEWMA decays, and when the penalty box
//! rejects it.

use super::Rejection;
use crate::measure::Cewma;
use crate::policy_api::*;
use std::f64::consts::LN_2;

/// Limit of the penalty box, in quota rates, beside the burst's share; the design's figure.
const PENALTY_BOX_FACTOR: f64 = 3.0;

/// Halflife of the recent average, in burst lengths (burst over rate). The design asks for one at least: a
/// lasting flood should shut the box, a cluster of retries should not.
pub(super) const HALFLIFE_BURSTS: f64 = 4.0;

/// Halflife of the recent average where a plan has no burst length, in longest deadlines.
const HALFLIFE_DEADLINES: f64 = 1.0;

/// Least of the longest deadlines that a halflife is measured in, ms.
const MIN_LONGEST_DEADLINE: Millis = 1000.0;

/// Halflife of the recent average of a plan that has a rate, ms.
pub(super) fn halflife(plan: &Plan) -> Millis {
    HALFLIFE_BURSTS * 1000.0 * plan.burst / plan.rate
}

/// Decay rate λ of a plan's recent average, 1/ms.
pub(super) fn decay_rate(settings: &Settings, plan: &Plan) -> f64 {
    let halflife = if plan.rate > 0.0 && plan.burst > 0.0 {
        halflife(plan)
    } else {
        HALFLIFE_DEADLINES * longest_deadline(settings)
    };
    LN_2 / halflife
}

fn longest_deadline(settings: &Settings) -> Millis {
    settings
        .classes
        .iter()
        .map(|class| class.deadline)
        .fold(MIN_LONGEST_DEADLINE, f64::max)
}

/// The recent average rate at which the penalty box shuts, units a second: the design's factor on the quota's
/// rate, and λ times the burst, so that use within the quota and its burst, with retries, does not reach it.
pub(super) fn penalty_box_limit(plan: &Plan, decay_rate: f64) -> f64 {
    PENALTY_BOX_FACTOR * plan.rate + 1000.0 * decay_rate * plan.burst
}

/// Rejects every request while the recent average is beyond the limit. Rejected arrivals feed the average as
/// well; the box opens by itself as it decays, after `ln(rate / limit) / λ`.
pub(super) fn check_penalty_box(
    now: Millis,
    average: &Cewma,
    decay_rate: f64,
    limit: f64,
) -> Result<(), Rejection> {
    let rate = average.rate(now, decay_rate);
    if rate > limit {
        let retry_after = (rate / limit).ln() / decay_rate;
        return Err(Rejection::until(RejectReason::PenaltyBox, retry_after));
    }
    Ok(())
}
