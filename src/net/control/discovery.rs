//! Service discovery: watches the endpoint list, and resumes an interrupted watch at the version last received.
//!
//! The discovery agent of the platform answers `GET /catalog/members` with the full list. It answers the same path with
//! `watch=1&from=…` with an unbounded response: one JSON object for each change, and heartbeats in between. If a watch
//! delivers invalid data, the full list is requested instead.
//!
//! Two time limits bound the loop. The silence timeout runs from the last complete object or heartbeat; the bytes of an
//! object that never ends do not extend it. [`deadline`] limits each call and the pause after it, so that every change
//! takes effect in time.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`watch`] | the loop: calls discovery, resumes the watch or requests the full list, pauses between calls |
//! | [`response`] | one call: connection, request, response body |
//! | [`object_framer`] | splits the body into JSON objects, sans I/O |
//! | [`versions`] | the version to resume from, and the detection of stale lists |
//! | [`deadline`] | the response timeout and the longest pause |
//! | [`error`] | the errors that end a call |

mod deadline;
mod error;
mod object_framer;
mod response;
mod versions;
mod watch;

use crate::net::control::endpoint_list::EndpointList;

#[cfg(test)]
pub(crate) use deadline::MAX_BACKOFF;
pub(crate) use watch::watch_endpoints;

/// The origin of an endpoint list, and whether it is up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndpointUpdate {
    /// Cached by a previous process of this gateway. Discovery has not been reached yet.
    Cached,
    /// The newest list that discovery has sent.
    Current,
    /// Sent by discovery, but with a lower version than a list received shortly before. Either the agent lags behind,
    /// or discovery has restarted its version numbers. A stale list must not undo the removal of an endpoint.
    Stale,
}

/// Receives the endpoint lists from discovery.
pub(crate) trait EndpointObserver {
    /// Applies a full list, or the changes since the previous list.
    fn endpoints_updated(&self, list: &EndpointList, update: EndpointUpdate);
}
