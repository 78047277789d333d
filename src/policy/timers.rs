//! The timers of the policy, and how each is packed into a [`TimerId`].

use crate::policy_api::*;

/// The timer to poll the endpoint list again.
const POLL_LIST: TimerId = TimerId(u64::MAX);

/// What a timer is for.
pub(super) enum PolicyTimer {
    /// The endpoint list is to be polled again.
    PollList,
    /// A request has become slow, or has reached its final deadline.
    RequestDeadline(RequestId),
    /// An attempt has been in flight for so long that its request may be hedged.
    Hedge {
        request: RequestId,
        /// Index of the attempt, from 0.
        attempt: u32,
    },
}

impl PolicyTimer {
    /// The low half of the id is the request; the high half is 0, or the index of an attempt plus 1.
    pub(super) fn id(&self) -> TimerId {
        match self {
            PolicyTimer::PollList => POLL_LIST,
            PolicyTimer::RequestDeadline(request) => TimerId(u64::from(request.0)),
            PolicyTimer::Hedge { request, attempt } => {
                TimerId(u64::from(attempt + 1) << 32 | u64::from(request.0))
            }
        }
    }

    /// The timer with this id.
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
