//! The versions of the endpoint list that this gateway has seen.

use super::error::WatchError;
use super::EndpointUpdate;
use crate::net::control::endpoint_list::EndpointList;
use std::time::Duration;
use tokio::time::Instant;

/// For how long a lower version counts as an older list, sent by an agent that lags behind another one. After this time
/// a lower version means that discovery has begun to number anew.
const STALE_WINDOW: Duration = Duration::from_secs(60);

/// The highest version of late.
#[derive(Clone, Copy, Debug)]
struct NewestVersion {
    version: u64,
    received_at: Instant,
}

/// Owns the version from which a watch is resumed, and distinguishes a stale list from a current one.
///
/// The two differ after a watch that could not be resumed: the full list is requested without a version then, and may come
/// from an agent that lags.
#[derive(Debug, Default)]
pub(super) struct VersionTracker {
    resume_from: Option<u64>,
    newest: Option<NewestVersion>,
}

impl VersionTracker {
    /// Starts at the list that an earlier process cached, if there is one.
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

    /// The version from which a watch can be resumed; none where the full list is needed.
    pub(super) fn resume_from(&self) -> Option<u64> {
        self.resume_from
    }

    /// Forgets where to resume, so that the next call requests the full list.
    pub(super) fn require_full_list(&mut self) {
        self.resume_from = None;
    }

    /// Whether a list just received is stale.
    ///
    /// # Errors
    /// [`WatchError::VersionRegressed`] if it holds changes that follow an earlier version than the one known.
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

    /// Records a list that has been applied, as [`VersionTracker::classify`] had it.
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
