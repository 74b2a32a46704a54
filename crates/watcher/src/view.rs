//! What a node knows of its services.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use api::{KeySet, RouteView, ServiceView, Table, TableUpdate, WatchReply};
use tokio::time::Instant;
use units::{Millis, ServiceId, Version};

/// Earlier tables that are kept besides the current one.
pub const EARLIER_TABLES: usize = 3;

/// Key sets kept after their successor started: the longest key window, twice.
const KEY_SETS_KEPT: Millis = Millis(7_200_000);

/// Tables of a service.
#[derive(Debug, Clone)]
pub struct Tables {
    /// Newest.
    pub current: Arc<Table>,
    /// Earlier ones, newest first, at most [`EARLIER_TABLES`].
    pub earlier: Vec<Arc<Table>>,
    /// Receipt of the newest.
    pub changed: Instant,
}

/// Tables, profiles and key sets; immutable, a new one per change.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Configuration version.
    pub config: Version,
    /// Services with their profiles.
    pub services: BTreeMap<ServiceId, Arc<ServiceView>>,
    /// Routes by address.
    pub routes: Arc<BTreeMap<SocketAddrV4, Arc<RouteView>>>,
    /// Members.
    pub tables: BTreeMap<ServiceId, Tables>,
    /// Key sets in order of start.
    pub keys: BTreeMap<ServiceId, Arc<[KeySet]>>,
    /// Key times up to which the key sets are final.
    pub horizon: Millis,
    /// Key sets dropped from the front of `keys`.
    dropped: BTreeMap<ServiceId, u64>,
}

impl View {
    fn key_sets(&self, service: ServiceId) -> u64 {
        let dropped = self.dropped.get(&service).copied().unwrap_or(0);
        dropped + self.keys.get(&service).map_or(0, |sets| sets.len() as u64)
    }

    /// Whether the reply comes from a replica that is behind this view.
    pub(crate) fn is_older(&self, reply: &WatchReply) -> bool {
        reply.config < self.config
    }

    /// The view after a reply, or `None` if the reply changes nothing.
    #[must_use]
    pub fn updated(&self, reply: &WatchReply, now: Instant) -> Option<Self> {
        if self.is_older(reply) {
            return None;
        }
        let mut next = self.clone();
        let mut changed = reply.config > self.config || reply.horizon > self.horizon;
        next.config = reply.config;
        next.horizon = self.horizon.max(reply.horizon);
        for service in &reply.services {
            changed |= next.put_service(service);
        }
        let present = |id: &ServiceId| reply.services.iter().any(|service| service.id == *id);
        let absent = self
            .services
            .keys()
            .filter(|id| reply.complete && !present(id));
        for service in reply.retired.iter().chain(absent) {
            changed |= next.forget(*service);
        }
        changed |= next.put_routes(reply);
        for update in &reply.tables {
            changed |= next.put_table(update, now);
        }
        for (service, first, sets) in &reply.keys {
            changed |= next.put_keys(*service, *first, sets);
        }
        changed.then_some(next)
    }

    fn forget(&mut self, service: ServiceId) -> bool {
        self.tables.remove(&service);
        self.keys.remove(&service);
        self.dropped.remove(&service);
        self.services.remove(&service).is_some()
    }

    fn put_service(&mut self, service: &ServiceView) -> bool {
        let newer = self
            .services
            .get(&service.id)
            .is_none_or(|held| held.version < service.version);
        if newer {
            self.services.insert(service.id, Arc::new(service.clone()));
        }
        newer
    }

    fn put_routes(&mut self, reply: &WatchReply) -> bool {
        if reply.routes.is_empty() && reply.dropped.is_empty() && !reply.complete {
            return false;
        }
        let mut routes = if reply.complete {
            BTreeMap::new()
        } else {
            BTreeMap::clone(&self.routes)
        };
        for address in &reply.dropped {
            routes.remove(address);
        }
        for route in &reply.routes {
            routes.insert(route.address, Arc::new(route.clone()));
        }
        let changed = *self.routes != routes;
        self.routes = Arc::new(routes);
        changed
    }

    fn put_table(&mut self, update: &TableUpdate, now: Instant) -> bool {
        let service = match update {
            TableUpdate::Snapshot(table) => table.service,
            TableUpdate::Delta(delta) => delta.service,
        };
        if !self.services.contains_key(&service) {
            return false;
        }
        match (self.tables.get_mut(&service), update) {
            (Some(held), update) => {
                let mut table = Table::clone(&held.current);
                if !table.apply(update) {
                    return false;
                }
                let before = std::mem::replace(&mut held.current, Arc::new(table));
                held.earlier.insert(0, before);
                held.earlier.truncate(EARLIER_TABLES);
                held.changed = now;
                true
            }
            (None, TableUpdate::Snapshot(table)) => {
                let current = Arc::new(table.clone());
                self.tables.insert(
                    service,
                    Tables {
                        current,
                        earlier: Vec::new(),
                        changed: now,
                    },
                );
                true
            }
            (None, TableUpdate::Delta(_)) => false,
        }
    }

    fn put_keys(&mut self, service: ServiceId, first: u64, sets: &[KeySet]) -> bool {
        if !self.services.contains_key(&service) {
            return false;
        }
        let known = self.key_sets(service);
        let end = first + sets.len() as u64;
        if end <= known {
            return false;
        }
        let mut all: Vec<KeySet> = Vec::new();
        if first <= known {
            all.extend(
                self.keys
                    .get(&service)
                    .into_iter()
                    .flat_map(|held| held.iter().cloned()),
            );
            all.extend(sets.iter().skip((known - first) as usize).cloned());
        } else {
            // The replica dropped sets that this node never saw; what it holds is older still.
            all.extend(sets.iter().cloned());
        }
        let expired = all
            .iter()
            .skip(1)
            .take_while(|next| next.start + KEY_SETS_KEPT < self.horizon)
            .count();
        all.drain(..expired);
        self.dropped.insert(service, end - all.len() as u64);
        self.keys.insert(service, all.into());
        true
    }
}
