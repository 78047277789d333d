//! The recent average rate limiter: the decay rate of a customer's CEWMA, and the limit above which the penalty box
//! rejects the customer's requests. The comments below call the design of this rate limiter "the design".

use super::Rejection;
use crate::measure::Cewma;
use crate::policy_api::*;
use std::f64::consts::LN_2;

/// Multiple of the quota's rate in the limit of the penalty box, to which a part for the burst is added; set by the
/// design.
const PENALTY_BOX_FACTOR: f64 = 3.0;

/// Halflife of the recent average, in burst lengths; a burst length is the burst divided by the rate. The design asks
/// for at least one: a lasting flood should reach the limit of the penalty box, a cluster of retries should not.
pub(super) const HALFLIFE_IN_BURST_LENGTHS: f64 = 4.0;

/// Halflife of the recent average for a plan without a burst length, in multiples of the longest deadline of all
/// classes.
const HALFLIFE_IN_DEADLINES: f64 = 1.0;

/// Minimum value of the longest deadline that a halflife is computed from, ms.
const MIN_LONGEST_DEADLINE: Millis = 1000.0;

/// Halflife of the recent average of a plan that has a rate, ms.
pub(super) fn halflife(plan: &Plan) -> Millis {
    HALFLIFE_IN_BURST_LENGTHS * 1000.0 * plan.burst / plan.rate
}

/// Decay rate λ of a plan's recent average, 1/ms.
pub(super) fn decay_rate(settings: &Settings, plan: &Plan) -> f64 {
    let halflife = if plan.rate > 0.0 && plan.burst > 0.0 {
        halflife(plan)
    } else {
        HALFLIFE_IN_DEADLINES * longest_deadline(settings)
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

/// The recent average rate above which the penalty box rejects, units a second: [`PENALTY_BOX_FACTOR`] times the
/// quota's rate, plus λ times the burst. Use within the quota and its burst, retries included, does not reach it.
pub(super) fn penalty_box_limit(plan: &Plan, decay_rate: f64) -> f64 {
    PENALTY_BOX_FACTOR * plan.rate + 1000.0 * decay_rate * plan.burst
}

/// Rejects every request of a customer while its recent average rate is above the limit. Rejected requests raise the
/// average as well. Without further requests, the average decays to the limit after `ln(rate / limit) / λ`.
pub(super) fn check_penalty_box(
    now: Millis,
    average: &Cewma,
    decay_rate: f64,
    limit: f64,
) -> Result<(), Rejection> {
    let rate = average.rate(now, decay_rate);
    if rate > limit {
        let retry_after = (rate / limit).ln() / decay_rate;
        return Err(Rejection::with_retry_after(
            RejectReason::PenaltyBox,
            retry_after,
        ));
    }
    Ok(())
}
