//! How a call to discovery or the watch that it opened fails, and what follows from it.

use super::deadline::WatchEnd;
use super::object_framer::FramingError;
use hyper::StatusCode;

/// Why a call or a watch ended other than by the agent closing it between two objects.
#[derive(Debug, thiserror::Error)]
pub(super) enum WatchError {
    /// The connection could not be made or failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// HTTP failed on the connection.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// No request could be built.
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    /// The response had a status other than 200.
    #[error("status {0}")]
    Status(StatusCode),
    /// The response's head did not come within its timeout.
    #[error("no answer in time")]
    ResponseTimeout,
    /// No object and no heartbeat came within the silence timeout.
    #[error("silent")]
    Silent(#[from] tokio::time::error::Elapsed),
    /// The body ended or fell silent within an object.
    #[error("an object that never ended")]
    Truncated,
    /// An object is no endpoint list.
    #[error("unreadable line: {0}")]
    InvalidList(#[from] serde_json::Error),
    /// The body is not a sequence of objects.
    #[error(transparent)]
    Framing(#[from] FramingError),
    /// Changes that follow an earlier version than the one known: they cannot be applied to it.
    #[error("changes that lead back from version {known} to {received}")]
    VersionRegressed {
        /// The version that the watch was at.
        known: u64,
        /// The version of the changes.
        received: u64,
    },
}

impl WatchError {
    /// Whether the watch cannot be resumed at its version, so that the full list has to be requested.
    pub(super) fn requires_full_list(&self) -> bool {
        match self {
            WatchError::Truncated
            | WatchError::InvalidList(_)
            | WatchError::Framing(_)
            | WatchError::VersionRegressed { .. } => true,
            // An agent that is overloaded knows the version: asking it for the full list would keep it overloaded.
            WatchError::Status(status) => status.is_client_error() && !self.is_overload(),
            WatchError::Io(_)
            | WatchError::Http(_)
            | WatchError::Request(_)
            | WatchError::ResponseTimeout
            | WatchError::Silent(_) => false,
        }
    }

    /// Whether discovery rejected the call because it has too many (503 or 429).
    pub(super) fn is_overload(&self) -> bool {
        matches!(
            self,
            WatchError::Status(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
        )
    }

    /// The kind of end by which [`super::deadline::Deadline`] goes.
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
