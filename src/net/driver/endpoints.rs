//! The endpoint table: applies endpoint lists to the connection pools and translates them into changes for the policy.
//!
//! The table assigns an id to each endpoint name. It guards against stale lists, against endpoints that share an
//! address, and against clock skew.
//!
//! An incarnation of an endpoint is one run of its process, identified by the time at which the process started.
//!
//! Bounds: ids, address owners and future incarnations are kept for listed endpoints only. Ended incarnations of
//! endpoints that are no longer listed are dropped when a list arrives and there are more than
//! [`MAX_ENDED_INCARNATIONS`] ended incarnations in all.

use crate::net::control::discovery::EndpointUpdate;
use crate::net::control::endpoint_list::{Endpoint, EndpointList, Health};
use crate::net::runtime::context::RuntimeContext;
use crate::net::upstream::pool_driver::UpstreamConnections;
use cometspool::settings;
use cometspool::{Availability, BackendEntry, BackendId, CellId, ListKind, Millis, ZoneId};
use fnv::FnvHasher;
use std::collections::{HashMap, HashSet};
use std::hash::Hasher;
use std::net::SocketAddr;
use std::rc::Rc;

/// The number of ended incarnations above which those of endpoints that are no longer listed are dropped.
const MAX_ENDED_INCARNATIONS: usize = 4096;

/// The endpoint to which an address belongs.
struct AddressOwner {
    name: String,
    /// When the endpoint's process started, in Unix milliseconds.
    started_at_ms: Millis,
}

/// An incarnation whose reported start was in the future on this gateway's clock.
struct FutureIncarnation {
    /// The start in the endpoint list, in Unix milliseconds.
    reported_start: Millis,
    /// The start that the policy gets instead, in Unix milliseconds: when the incarnation was first reported, on this
    /// gateway's clock.
    effective_start: Millis,
}

/// The changes that a list makes, for [`Event::EndpointsChanged`](cometspool::Event::EndpointsChanged).
pub(super) struct EndpointChanges {
    /// The kind of the list.
    pub kind: ListKind,
    /// One entry for each endpoint of the list, followed by the removals of endpoints that lost an address conflict.
    pub entries: Vec<BackendEntry>,
}

/// The listed endpoints.
pub(super) struct EndpointTable {
    context: Rc<RuntimeContext>,
    connections: Rc<UpstreamConnections>,
    /// By endpoint name.
    ids: HashMap<String, BackendId>,
    future_incarnations: HashMap<BackendId, FutureIncarnation>,
    address_owners: HashMap<SocketAddr, AddressOwner>,
    /// By endpoint name, when the incarnation started that was last listed as draining or removed, or was missing from
    /// a full list; in Unix milliseconds.
    ended_incarnations: HashMap<String, Millis>,
}

impl EndpointTable {
    /// Creates an empty table that applies endpoint changes to `connections`.
    pub(super) fn new(
        context: Rc<RuntimeContext>,
        connections: Rc<UpstreamConnections>,
    ) -> EndpointTable {
        EndpointTable {
            context,
            connections,
            ids: HashMap::new(),
            future_incarnations: HashMap::new(),
            address_owners: HashMap::new(),
            ended_incarnations: HashMap::new(),
        }
    }

    /// Whether no endpoint is listed.
    pub(super) fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Applies a list to the table and to the connection pools, and returns the changes for the policy.
    pub(super) fn apply(&mut self, list: &EndpointList, update: EndpointUpdate) -> EndpointChanges {
        let kind = match update {
            EndpointUpdate::Cached => ListKind::Cached,
            EndpointUpdate::Current | EndpointUpdate::Stale if list.is_full => ListKind::Full,
            EndpointUpdate::Current | EndpointUpdate::Stale => ListKind::Changes,
        };
        let corrected = self.record_ended(list, update);
        let list = corrected.as_ref().unwrap_or(list);
        if kind != ListKind::Changes {
            self.remove_unlisted(list, update);
        }
        let mut entries = Vec::new();
        for endpoint in &list.endpoints {
            entries.push(self.apply_endpoint(endpoint));
        }
        for endpoint in &list.endpoints {
            entries.extend(self.resolve_address_conflict(endpoint));
        }
        let ids = &self.ids;
        self.address_owners
            .retain(|_, owner| ids.contains_key(&owner.name));
        EndpointChanges { kind, entries }
    }

    /// Records which incarnations this list ends. A stale list must not bring back an incarnation that has ended, so an
    /// endpoint that such a list reports as up is treated as draining. Returns the corrected list if there is such an
    /// endpoint, and `None` if the list applies unchanged.
    fn record_ended(
        &mut self,
        list: &EndpointList,
        update: EndpointUpdate,
    ) -> Option<EndpointList> {
        let mut corrected: Option<EndpointList> = None;
        for (index, endpoint) in list.endpoints.iter().enumerate() {
            if endpoint.health != Health::Up {
                self.ended_incarnations
                    .insert(endpoint.name.clone(), endpoint.started_at_ms);
            } else if update == EndpointUpdate::Stale && self.has_ended(endpoint) {
                let corrected = corrected.get_or_insert_with(|| list.clone());
                corrected.endpoints[index].health = Health::Draining;
            } else {
                self.ended_incarnations.remove(&endpoint.name);
            }
        }
        if self.ended_incarnations.len() > MAX_ENDED_INCARNATIONS {
            let ids = &self.ids;
            self.ended_incarnations
                .retain(|name, _| ids.contains_key(name));
        }
        corrected
    }

    /// Whether the listed incarnation of an endpoint, or a later one, is known to have ended.
    fn has_ended(&self, endpoint: &Endpoint) -> bool {
        self.ended_incarnations
            .get(&endpoint.name)
            .is_some_and(|started_at| *started_at >= endpoint.started_at_ms)
    }

    /// Removes endpoints that are missing from a full list, which also means that their incarnations have ended. A
    /// stale list does not show that: an endpoint may be missing from it because it had not started yet.
    fn remove_unlisted(&mut self, list: &EndpointList, update: EndpointUpdate) {
        let listed: HashSet<&str> = list
            .endpoints
            .iter()
            .map(|endpoint| endpoint.name.as_str())
            .collect();
        for (name, id) in &self.ids {
            if listed.contains(name.as_str()) {
                continue;
            }
            if update != EndpointUpdate::Stale {
                let started_at = self.connections.started_at(*id);
                self.ended_incarnations.insert(name.clone(), started_at);
            }
            self.connections.remove_endpoint(*id);
        }
        self.ids.retain(|name, _| listed.contains(name.as_str()));
        let ids = &self.ids;
        self.future_incarnations
            .retain(|id, _| ids.values().any(|known| known == id));
    }

    /// Applies one endpoint of a list to the table and to the connection pools, and returns its entry for the policy.
    pub(super) fn apply_endpoint(&mut self, endpoint: &Endpoint) -> BackendEntry {
        let id = self.id_of(&endpoint.name);
        let availability = match endpoint.health {
            Health::Up => {
                self.connections
                    .add_endpoint(id, endpoint.address, endpoint.started_at_ms);
                Availability::Ready
            }
            Health::Draining => {
                self.connections.drain_endpoint(id);
                Availability::Draining
            }
            Health::Removed => {
                self.connections.remove_endpoint(id);
                self.ids.remove(&endpoint.name);
                Availability::Removed
            }
        };
        let has_start = endpoint.started_at_ms > 0.0;
        let started_at = has_start.then(|| self.effective_start(id, endpoint.started_at_ms));
        if availability == Availability::Removed {
            // Dropped only now, because the entry for the removal carries the start that the policy already knows.
            self.future_incarnations.remove(&id);
        }
        BackendEntry {
            id,
            zone: self.zone_id(&endpoint.zone),
            cell: CellId(endpoint.cell),
            availability,
            started_at,
            weight: endpoint.weight,
        }
    }

    /// The number of future incarnations that are kept.
    #[cfg(test)]
    pub(super) fn future_incarnation_count(&self) -> usize {
        self.future_incarnations.len()
    }

    /// Returns the id of a zone by its name, or the largest id if the settings do not name the zone.
    fn zone_id(&self, name: &str) -> ZoneId {
        let name = settings::normalize_name(name);
        let index = self
            .context
            .names
            .zones
            .iter()
            .position(|zone| *zone == name);
        ZoneId(index.map_or(u32::MAX, |index| index as u32))
    }

    /// Returns the id of the endpoint with this name, and assigns one if it has none.
    fn id_of(&mut self, name: &str) -> BackendId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        // The policy assigns subsets of the endpoints to gateways by the order of ids. All gateways must therefore give
        // an endpoint the same id, whatever the order in which they learn of endpoints. If the hashes of two names
        // collide, the name that is learned later gets the next free id.
        let mut number = hash_name(name);
        while self.ids.values().any(|taken| taken.0 == number) {
            number = number.wrapping_add(1);
        }
        let id = BackendId(number);
        self.ids.insert(name.to_owned(), id);
        id
    }

    /// Returns the start that the policy gets for an endpoint that reports the start `reported`, both in Unix
    /// milliseconds. Because of clock skew, a reported start may be in the future on this gateway's clock. Such an
    /// endpoint counts as started when its start was first reported; otherwise its slow start would not begin until
    /// this gateway's clock reaches the reported time.
    fn effective_start(&mut self, id: BackendId, reported: Millis) -> Millis {
        let now = self.context.clock.now();
        if reported <= now && !self.future_incarnations.contains_key(&id) {
            return reported;
        }
        let incarnation = self
            .future_incarnations
            .entry(id)
            .or_insert(FutureIncarnation {
                reported_start: reported,
                effective_start: now,
            });
        if incarnation.reported_start != reported {
            incarnation.reported_start = reported;
            incarnation.effective_start = now.min(reported);
        }
        incarnation.effective_start
    }

    /// Resolves a conflict between two endpoints listed at one address, so that no request is sent to an address that
    /// another endpoint has taken over. The address belongs to the endpoint that started later, or to the one listed
    /// last if both started at the same time. The other endpoint is removed, even if the list does not say so yet, and
    /// the entry for its removal is returned.
    fn resolve_address_conflict(&mut self, endpoint: &Endpoint) -> Option<BackendEntry> {
        if endpoint.health != Health::Up {
            return None;
        }
        let owner = AddressOwner {
            name: endpoint.name.clone(),
            started_at_ms: endpoint.started_at_ms,
        };
        let previous = self.address_owners.insert(endpoint.address, owner)?;
        if !self.conflicts(&previous, endpoint) {
            return None;
        }
        let displaced = if previous.started_at_ms > endpoint.started_at_ms {
            self.address_owners.insert(endpoint.address, previous);
            endpoint.name.clone()
        } else {
            previous.name
        };
        tracing::warn!(
        endpoint = displaced,
        address = %endpoint.address,
        "endpoint removed: another endpoint is listed at its address"
        );
        let removed = Endpoint {
            name: displaced,
            health: Health::Removed,
            ..endpoint.clone()
        };
        Some(self.apply_endpoint(&removed))
    }

    /// Whether the previous owner of an endpoint's address is another endpoint that still takes new requests there.
    fn conflicts(&self, previous: &AddressOwner, endpoint: &Endpoint) -> bool {
        if previous.name == endpoint.name {
            return false;
        }
        let Some(id) = self.ids.get(&previous.name) else {
            return false;
        };
        self.connections.address_of(*id) == Some(endpoint.address)
    }
}

/// Returns the id that an endpoint gets by its name, unless another endpoint has that id: the 64-bit FNV-1a hash of
/// the name, folded to 32 bits. Gateways of all releases must compute the same id.
pub(super) fn hash_name(name: &str) -> u32 {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    let hash = hasher.finish();
    (hash ^ (hash >> 32)) as u32
}
