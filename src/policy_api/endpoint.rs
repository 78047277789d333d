//! The endpoint list: the backends that a gateway may forward to.

use super::ids::{BackendId, CellId, Millis, ZoneId};

/// Whether a backend accepts requests, according to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The backend accepts requests.
    Ready,
    /// The backend finishes the requests in flight and accepts no new ones.
    Draining,
    /// The backend is no longer in the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendEntry {
    /// The backend that the entry describes.
    pub id: BackendId,
    /// Availability zone that the backend runs in.
    pub zone: ZoneId,
    /// Cell whose store of idempotency keys the backend uses.
    pub cell: CellId,
    /// Whether the backend accepts requests.
    pub availability: Availability,
    /// Time of the backend's last start, ms; `None` if it has long been warm. Another value than before means that the
    /// backend has restarted.
    pub started_at: Option<Millis>,
    /// Capacity relative to the other backends; 1 if it is not known.
    pub weight: f64,
}

/// What the entries of an [`Event::EndpointsChanged`](crate::Event::EndpointsChanged) are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that have changed.
    Changes,
    /// The complete list: a backend without an entry is removed.
    Full,
    /// The complete list as an earlier incarnation of this gateway last had it.
    Cached,
    /// A poll or a subscription failed. The previous list stays in force.
    Failed,
}
