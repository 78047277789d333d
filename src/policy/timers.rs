//! The timers of the policy, and how each is encoded as a [`TimerId`].

use crate::policy_api::*;

/// Id of the timer for the next poll of the endpoint list.
const POLL_LIST: TimerId = TimerId(u64::MAX);

/// The purpose of a timer.
pub(super) enum PolicyTimer {
    /// Polls the endpoint list.
    PollList,
    /// A request becomes slow, or reaches its final deadline.
    RequestDeadline(RequestId),
    /// An attempt has been in flight so long that its request may be hedged.
    Hedge {
        request: RequestId,
        /// Index of the attempt, from 0.
        attempt: u32,
    },
}

impl PolicyTimer {
    /// Encodes the timer. The low 32 bits are the request; the high 32 bits are 0, or the index of the attempt plus 1.
    pub(super) fn id(&self) -> TimerId {
        match self {
            PolicyTimer::PollList => POLL_LIST,
            PolicyTimer::RequestDeadline(request) => TimerId(u64::from(request.0)),
            PolicyTimer::Hedge { request, attempt } => {
                TimerId(u64::from(attempt + 1) << 32 | u64::from(request.0))
            }
        }
    }

    /// Decodes the timer with this id.
    pub(super) fn from_id(id: TimerId) -> PolicyTimer {
        if id == POLL_LIST {
            return PolicyTimer::PollList;
        }
        let request = RequestId(id.0 as u32);
        match id.0 >> 32 {
            0 => PolicyTimer::RequestDeadline(request),
            attempt => PolicyTimer::Hedge {
                request,
                attempt: attempt as u32 - 1,
            },
        }
    }
}
