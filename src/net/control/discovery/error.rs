//! Errors of a call to discovery and of the watch that it opens, and how to continue after each.

use super::deadline::{WatchEnd, SILENCE_TIMEOUT};
use super::object_framer::FramingError;
use hyper::StatusCode;

/// Reasons why a call or a watch failed. A watch that the agent closes between two objects has not failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum WatchError {
    /// The connection could not be established, or failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The HTTP exchange on the connection failed.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The HTTP request could not be built.
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    /// The response had a status other than 200.
    #[error("expected status 200 OK, got {0}")]
    Status(StatusCode),
    /// The response head did not arrive within the response timeout.
    #[error("no response head within the response timeout")]
    ResponseTimeout,
    /// Neither an object nor a heartbeat arrived within the silence timeout.
    #[error("no object or heartbeat within {SILENCE_TIMEOUT:?}")]
    Silent(#[from] tokio::time::error::Elapsed),
    /// The body ended or fell silent within an object.
    #[error("the response ended or fell silent within an object")]
    Truncated,
    /// An object of the response is not a valid endpoint list.
    #[error("invalid endpoint list: {0}")]
    InvalidList(#[from] serde_json::Error),
    /// The body is not a sequence of objects.
    #[error(transparent)]
    Framing(#[from] FramingError),
    /// Changes have a lower version than the list that they would be applied to.
    #[error("expected changes of version {known} or later, got version {received}")]
    VersionRegressed {
        /// The version that the watch had reached.
        known: u64,
        /// The version of the received changes.
        received: u64,
    },
}

impl WatchError {
    /// Whether the watch cannot be resumed at its version, so that the full list must be requested.
    pub(super) fn requires_full_list(&self) -> bool {
        match self {
            WatchError::Truncated
            | WatchError::InvalidList(_)
            | WatchError::Framing(_)
            | WatchError::VersionRegressed { .. } => true,
            // An overloaded agent still knows the version. Requests for the full list would keep the agent overloaded.
            WatchError::Status(status) => status.is_client_error() && !self.is_overload(),
            WatchError::Io(_)
            | WatchError::Http(_)
            | WatchError::Request(_)
            | WatchError::ResponseTimeout
            | WatchError::Silent(_) => false,
        }
    }

    /// Whether discovery rejected the call because it is overloaded (status 503 or 429).
    pub(super) fn is_overload(&self) -> bool {
        matches!(
            self,
            WatchError::Status(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
        )
    }

    /// How the call ended, as [`super::deadline::UpdateDeadline`] distinguishes it.
    pub(super) fn watch_end(&self) -> WatchEnd {
        match self {
            WatchError::ResponseTimeout => WatchEnd::TimedOut,
            WatchError::Silent(_) | WatchError::Truncated => WatchEnd::Silent,
            WatchError::Status(_) if self.is_overload() => WatchEnd::Rejected,
            WatchError::Io(_)
            | WatchError::Http(_)
            | WatchError::Request(_)
            | WatchError::Status(_) => WatchEnd::Failed,
            WatchError::InvalidList(_)
            | WatchError::Framing(_)
            | WatchError::VersionRegressed { .. } => WatchEnd::Closed,
        }
    }
}

#[cfg(test)]
mod tests;
