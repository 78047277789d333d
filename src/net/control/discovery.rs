//! Service discovery: a watch on the endpoint list that is resumed where it ended.
//!
//! The agent of the platform answers `GET /catalog/members` with the full list, and the same path with `watch=1&from=…`
//! with an unbounded response of one JSON object for each change and a heartbeat in between. A watch that cannot be read
//! is replaced by the full list.
//!
//! Two clocks bound the loop. A silence timeout runs from the last complete object or heartbeat: the bytes of an object
//! that never ends do not extend it. [`deadline`] bounds each call and the pause after it, so that a change takes effect in
//! time.
//!
//! | module | what it does |
//! | --- | --- |
//! | [`watch`] | the loop: calls, full list or resumption, pauses |
//! | [`response`] | one call: connection, request, body |
//! | [`object_framer`] | the body's bytes to JSON objects, without I/O |
//! | [`versions`] | which version to resume from, and which lists are stale |
//! | [`deadline`] | response timeouts and the longest pause |
//! | [`error`] | how a call ended |

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

/// Where a list comes from and how recent it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndpointUpdate {
    /// Cached by an earlier process of this gateway; discovery has not been reached yet.
    Cached,
    /// The newest that discovery has sent.
    Current,
    /// Sent by discovery, but of a lower version than one shortly before: an agent lags, or discovery numbers anew. It
    /// must not undo the removal of an endpoint.
    Stale,
}

/// Receives the endpoint lists that discovery sends.
pub(crate) trait EndpointObserver {
    /// Applies a full list, or the changes to the one before.
    fn endpoints_updated(&self, list: &EndpointList, update: EndpointUpdate);
}
