//! Tracks the versions of the endpoint list that this gateway has received.

use super::error::WatchError;
use super::EndpointUpdate;
use crate::net::control::endpoint_list::EndpointList;
use std::time::Duration;
use tokio::time::Instant;

/// How long a lower version counts as stale after a higher one. Within this time, a lower version comes from an
/// agent that lags behind another one. Later, a lower version means that discovery has restarted its version numbers.
const STALE_WINDOW: Duration = Duration::from_secs(60);

/// The newest version and when it was received.
#[derive(Clone, Copy, Debug)]
struct NewestVersion {
    version: u64,
    received_at: Instant,
}

/// Tracks the version from which the watch is resumed, and distinguishes stale lists from current ones.
///
/// The version to resume from and the newest version differ after a watch could not be resumed: the full list is then
/// requested without a version, and may come from an agent that lags behind.
#[derive(Debug, Default)]
pub(super) struct VersionTracker {
    resume_from: Option<u64>,
    newest: Option<NewestVersion>,
}

impl VersionTracker {
    /// Starts at the version of the list that a previous process cached, if there is one.
    pub(super) fn new(cached: Option<&EndpointList>) -> VersionTracker {
        let Some(list) = cached else {
            return VersionTracker::default();
        };
        VersionTracker {
            resume_from: Some(list.version),
            newest: Some(NewestVersion {
                version: list.version,
                received_at: Instant::now(),
            }),
        }
    }

    /// The version from which the watch can be resumed; `None` if the full list is required.
    pub(super) fn resume_from(&self) -> Option<u64> {
        self.resume_from
    }

    /// Discards the version to resume from, so that the next call requests the full list.
    pub(super) fn require_full_list(&mut self) {
        self.resume_from = None;
    }

    /// Determines whether a list that was just received is current or stale.
    ///
    /// # Errors
    /// [`WatchError::VersionRegressed`] if the list holds changes with a lower version than the one to resume from.
    pub(super) fn classify(&self, list: &EndpointList) -> Result<EndpointUpdate, WatchError> {
        let received = list.version;
        if let Some(known) = self.resume_from {
            if !list.is_full && received < known {
                return Err(WatchError::VersionRegressed { known, received });
            }
        }
        let is_stale = self.newest.is_some_and(|newest| {
            received < newest.version && newest.received_at.elapsed() < STALE_WINDOW
        });
        if is_stale {
            Ok(EndpointUpdate::Stale)
        } else {
            Ok(EndpointUpdate::Current)
        }
    }

    /// Records the version of a list that has been applied. `update` is the result of [`VersionTracker::classify`].
    pub(super) fn record(&mut self, version: u64, update: EndpointUpdate) {
        if update != EndpointUpdate::Stale {
            self.newest = Some(NewestVersion {
                version,
                received_at: Instant::now(),
            });
        }
        self.resume_from = Some(version);
    }
}

#[cfg(test)]
mod tests;
