//! The endpoint list: the backends that a gateway may forward to.

use super::ids::{BackendId, CellId, Millis, ZoneId};

/// State of a backend in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It accepts requests.
    Ready,
    /// It finishes the requests in flight and accepts no new ones.
    Draining,
    /// It is gone from the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendEntry {
    /// Which backend.
    pub id: BackendId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its state.
    pub availability: Availability,
    /// Time of its last start, ms; `None` if it has long been warm.
    pub started_at: Option<Millis>,
    /// Capacity relative to the other backends; 1 where nothing is known.
    pub weight: f64,
}

/// What an [`Event::EndpointsChanged`](crate::Event::EndpointsChanged) carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the changed entries.
    Changes,
    /// The whole list.
    Full,
    /// The whole list as this gateway last had it in an earlier incarnation.
    Cached,
    /// A poll or subscription failed; the previous list stays in force.
    Failed,
}
