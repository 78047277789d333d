//! The loop that watches the endpoint list for as long as the gateway runs.

use super::deadline::{UpdateDeadline, WatchEnd};
use super::error::WatchError;
use super::response::WatchResponse;
use super::versions::VersionTracker;
use super::{EndpointObserver, EndpointUpdate};
use crate::net::control::backoff::Backoff;
use crate::net::control::endpoint_list::EndpointList;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch::Receiver;
use tokio::time::Instant;

/// Watches the endpoint list, starting from the `cached` list of a previous process, and passes each list to
/// `observer`. Never returns.
///
/// `agent` is the address of the discovery agent. When an address is sent, even the same one, the current call is
/// dropped immediately and the watch is resumed at that address.
pub(crate) async fn watch_endpoints(
    observer: Rc<dyn EndpointObserver>,
    mut agent: Receiver<SocketAddr>,
    cached: Option<EndpointList>,
    backoff: Backoff,
) {
    let mut watch = EndpointWatch::new(observer, cached.as_ref(), backoff);
    // Dropped explicitly: this function never returns, so the list would stay in memory for as long as the gateway
    // runs.
    drop(cached);
    loop {
        let address = *agent.borrow_and_update();
        let call = watch.begin_call();
        let result = tokio::select! {
            result = watch.run_call(address, &call) => result,
            _ = agent.changed() => {
                watch.deadline.address_changed();
                continue;
            }
        };
        let Some(pause) = watch.end_call(&call, result) else {
            continue;
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            _ = agent.changed() => watch.deadline.address_changed(),
        }
    }
}

/// The parameters of one call to discovery.
struct Call {
    started_at: Instant,
    /// The version from which the watch is resumed; `None` requests the full list.
    resume_from: Option<u64>,
    /// Timeout for the connection and the response head.
    response_timeout: Duration,
}

impl Call {
    /// Path and query of the request, as the protocol of the platform defines them.
    fn path(&self) -> String {
        match self.resume_from {
            Some(version) => format!("/catalog/members?watch=1&from={version}"),
            None => "/catalog/members".to_owned(),
        }
    }
}

/// The state of the watch that is kept across calls.
struct EndpointWatch {
    observer: Rc<dyn EndpointObserver>,
    versions: VersionTracker,
    deadline: UpdateDeadline,
    backoff: Backoff,
    /// Whether the last call delivered no new version. An outage is logged once, not for each failed call.
    in_outage: bool,
}

impl EndpointWatch {
    fn new(
        observer: Rc<dyn EndpointObserver>,
        cached: Option<&EndpointList>,
        backoff: Backoff,
    ) -> EndpointWatch {
        let versions = VersionTracker::new(cached);
        if let Some(list) = cached {
            observer.endpoints_updated(list, EndpointUpdate::Cached);
        }
        EndpointWatch {
            observer,
            versions,
            deadline: UpdateDeadline::default(),
            backoff,
            in_outage: false,
        }
    }

    fn begin_call(&self) -> Call {
        Call {
            started_at: Instant::now(),
            resume_from: self.versions.resume_from(),
            response_timeout: self.deadline.response_timeout(),
        }
    }

    /// Makes the call and applies each object of the response until the response ends.
    async fn run_call(&mut self, agent: SocketAddr, call: &Call) -> Result<(), WatchError> {
        let mut response = WatchResponse::open(agent, &call.path(), call.response_timeout).await?;
        response.read_objects(|object| self.apply(object)).await
    }

    fn apply(&mut self, object: &[u8]) -> Result<(), WatchError> {
        let list: EndpointList = serde_json::from_slice(object)?;
        let update = self.versions.classify(&list)?;
        self.observer.endpoints_updated(&list, update);
        self.versions.record(list.version, update);
        Ok(())
    }

    /// Handles the end of a call. Returns the pause before the next call, or `None` if the full list has been received
    /// and the watch can be opened immediately.
    fn end_call(&mut self, call: &Call, result: Result<(), WatchError>) -> Option<Duration> {
        if result.as_ref().is_err_and(WatchError::requires_full_list) {
            self.versions.require_full_list();
        }
        let watch_end = match &result {
            Ok(()) => WatchEnd::Closed,
            Err(error) => error.watch_end(),
        };
        let max_pause = self.deadline.call_ended(call.started_at, watch_end);
        let resume_from = self.versions.resume_from();
        let version_changed = resume_from != call.resume_from;
        if version_changed && resume_from.is_some() {
            self.backoff.reset();
        }
        let requested_full_list = call.resume_from.is_none();
        if requested_full_list && result.is_ok() && resume_from.is_some() {
            return None;
        }
        if !self.in_outage || version_changed {
            log_watch_end(&result);
        }
        self.in_outage = !version_changed;
        if watch_end == WatchEnd::Rejected {
            Some(self.backoff.after_rejection(max_pause))
        } else {
            Some(self.backoff.after_failure())
        }
    }
}

fn log_watch_end(result: &Result<(), WatchError>) {
    match result {
        Ok(()) => tracing::warn!("endpoint list watch closed by discovery"),
        Err(error) => tracing::warn!(%error, "endpoint list watch failed"),
    }
}
