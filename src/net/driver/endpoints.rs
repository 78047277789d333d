//! Endpoint bookkeeping: what the endpoint list means to the connection pools and to the policy.
//!
//! The table gives names their ids, and guards against lists that are stale, endpoints that share an address, and
//! clocks that disagree.
//!
//! Bounds: ids, address owners and future incarnations are kept for listed endpoints. Ended incarnations are kept for
//! listed endpoints, and for others as long as there are no more than [`MAX_ENDED_INCARNATIONS`] in all when the next
//! list comes.

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

/// Ended incarnations beyond which those of endpoints that are no longer listed are forgotten.
const MAX_ENDED_INCARNATIONS: usize = 4096;

/// The endpoint that was last listed at an address.
struct AddressOwner {
    name: String,
    /// When it started, in Unix milliseconds.
    started_at_ms: Millis,
}

/// An incarnation of an endpoint that reports a start that lies in the future.
struct FutureIncarnation {
    /// The start that the list gives, in Unix milliseconds.
    reported_start: Millis,
    /// The start that the policy is given, in Unix milliseconds: when the incarnation was first reported, by our
    /// clock.
    assumed_start: Millis,
}

/// What a list changes, for [`Event::EndpointsChanged`](cometspool::Event::EndpointsChanged).
pub(super) struct EndpointChanges {
    /// What kind of list it was.
    pub kind: ListKind,
    /// One for each endpoint of the list, followed by the removals of endpoints that it displaced.
    pub entries: Vec<BackendEntry>,
}

/// The endpoints that are listed.
pub(super) struct EndpointTable {
    context: Rc<RuntimeContext>,
    connections: Rc<UpstreamConnections>,
    /// By endpoint name.
    ids: HashMap<String, BackendId>,
    future_incarnations: HashMap<BackendId, FutureIncarnation>,
    address_owners: HashMap<SocketAddr, AddressOwner>,
    /// By endpoint name, the start of the process that was listed as draining or removed last, or was left out of a
    /// full list; in Unix milliseconds.
    ended_incarnations: HashMap<String, Millis>,
}

impl EndpointTable {
    /// An empty table that keeps `connections` up to date.
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
            entries.extend(self.displace(endpoint));
        }
        let ids = &self.ids;
        self.address_owners
            .retain(|_, owner| ids.contains_key(&owner.name));
        EndpointChanges { kind, entries }
    }

    /// Records which incarnations end with this list, and guards against taking an end back: a stale list does not
    /// revive a process that was listed as draining or removed. Returns the list to go by, if it is another one.
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

    /// Whether this incarnation of the endpoint, or a later one, is known to have ended.
    fn has_ended(&self, endpoint: &Endpoint) -> bool {
        self.ended_incarnations
            .get(&endpoint.name)
            .is_some_and(|started_at| *started_at >= endpoint.started_at_ms)
    }

    /// Removes endpoints that a full list leaves out: they have ended, though nothing says so. In a stale list they
    /// may be missing because they had not started yet.
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
        let started_at = has_start.then(|| self.plausible_start(id, endpoint.started_at_ms));
        if availability == Availability::Removed {
            // Its entry still tells the start that the policy knows.
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

    /// The number of starts in the future that are kept.
    #[cfg(test)]
    pub(super) fn future_incarnation_count(&self) -> usize {
        self.future_incarnations.len()
    }

    /// The id of a zone by its name; the largest id for one that the settings do not name.
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

    /// The id of the endpoint of this name, which gets one if it has none.
    fn id_of(&mut self, name: &str) -> BackendId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        // All gateways must give an endpoint the same id, in whatever order they learn of endpoints: the policy splits
        // endpoints among gateways by the order of ids. If two names hash alike, the later one gets the next free id.
        let mut number = hash_name(name);
        while self.ids.values().any(|taken| taken.0 == number) {
            number = number.wrapping_add(1);
        }
        let id = BackendId(number);
        self.ids.insert(name.to_owned(), id);
        id
    }

    /// When an endpoint started that reports `reported`, both in Unix milliseconds. Guards against clocks that
    /// disagree: no start lies in the future. An endpoint whose clock is ahead of ours counts as started when we
    /// first heard of it; else its slow start would not begin until our clock reaches the reported time.
    fn plausible_start(&mut self, id: BackendId, reported: Millis) -> Millis {
        let now = self.context.clock.now();
        if reported <= now && !self.future_incarnations.contains_key(&id) {
            return reported;
        }
        let known = self
            .future_incarnations
            .entry(id)
            .or_insert(FutureIncarnation {
                reported_start: reported,
                assumed_start: now,
            });
        if known.reported_start != reported {
            known.reported_start = reported;
            known.assumed_start = now.min(reported);
        }
        known.assumed_start
    }

    /// Guards against sending to an address that another endpoint has taken over: of two listed at one address, the
    /// one that started later is there, or else the one listed last. The other is returned as removed, though the
    /// list may say so only later.
    fn displace(&mut self, endpoint: &Endpoint) -> Option<BackendEntry> {
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
        "endpoint removed: another has its address"
        );
        let removed = Endpoint {
            name: displaced,
            health: Health::Removed,
            ..endpoint.clone()
        };
        Some(self.apply_endpoint(&removed))
    }

    /// Whether the previous owner of an endpoint's address is another endpoint that may still be sent to there.
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

/// The id of an endpoint by its name, unless another endpoint has that id: FNV-1a over the name, folded to 32 bits.
/// Gateways of all releases must agree on it.
pub(super) fn hash_name(name: &str) -> u32 {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    let hash = hasher.finish();
    (hash ^ (hash >> 32)) as u32
}
