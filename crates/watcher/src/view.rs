//! A node's view of its services.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use api::{KeySet, RouteView, ServiceView, Table, TableUpdate, WatchReply};
use tokio::time::Instant;
use units::{Millis, ServiceId, Version};

/// Earlier tables kept per service besides the current one.
pub const MAX_EARLIER_TABLES: usize = 3;

/// Time for which a key set is kept after its successor started: twice the longest key window.
const KEY_SET_RETENTION: Millis = Millis(7_200_000);

/// Tables of a service.
#[derive(Debug, Clone)]
pub struct Tables {
    /// Newest table.
    pub current: Arc<Table>,
    /// Earlier tables, newest first, at most [`MAX_EARLIER_TABLES`].
    pub earlier: Vec<Arc<Table>>,
    /// When the newest table was received.
    pub received_at: Instant,
}

/// Tables, profiles and key sets. Immutable; each change creates a new view.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Configuration version.
    pub config: Version,
    /// Services with their profiles.
    pub services: BTreeMap<ServiceId, Arc<ServiceView>>,
    /// Routes by address.
    pub routes: Arc<BTreeMap<SocketAddrV4, Arc<RouteView>>>,
    /// Member tables.
    pub tables: BTreeMap<ServiceId, Tables>,
    /// Key sets in order of start.
    pub keys: BTreeMap<ServiceId, Arc<[KeySet]>>,
    /// Key time up to which the key sets are final.
    pub horizon: Millis,
    /// Number of key sets removed from the front of `keys`.
    pruned: BTreeMap<ServiceId, u64>,
}

impl View {
    /// Number that the next key set of a service will have.
    fn next_key_set(&self, service: ServiceId) -> u64 {
        let pruned = self.pruned.get(&service).copied().unwrap_or(0);
        pruned + self.keys.get(&service).map_or(0, |sets| sets.len() as u64)
    }

    /// Whether the reply has an older configuration than this view.
    pub(crate) fn is_older(&self, reply: &WatchReply) -> bool {
        reply.config < self.config
    }

    /// Applies a reply; `None` if it changes nothing.
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
            changed |= next.remove_service(*service);
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

    fn remove_service(&mut self, service: ServiceId) -> bool {
        self.tables.remove(&service);
        self.keys.remove(&service);
        self.pruned.remove(&service);
        self.services.remove(&service).is_some()
    }

    fn put_service(&mut self, service: &ServiceView) -> bool {
        let newer = self
            .services
            .get(&service.id)
            .is_none_or(|own| own.version < service.version);
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
            (Some(tables), update) => {
                let mut table = Table::clone(&tables.current);
                if !table.apply(update) {
                    return false;
                }
                let previous = std::mem::replace(&mut tables.current, Arc::new(table));
                tables.earlier.insert(0, previous);
                tables.earlier.truncate(MAX_EARLIER_TABLES);
                tables.received_at = now;
                true
            }
            (None, TableUpdate::Snapshot(table)) => {
                let current = Arc::new(table.clone());
                self.tables.insert(
                    service,
                    Tables {
                        current,
                        earlier: Vec::new(),
                        received_at: now,
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
        let received = self.next_key_set(service);
        let end = first + sets.len() as u64;
        if end <= received {
            return false;
        }
        let mut all: Vec<KeySet> = Vec::new();
        if first <= received {
            all.extend(
                self.keys
                    .get(&service)
                    .into_iter()
                    .flat_map(|sets| sets.iter().cloned()),
            );
            all.extend(sets.iter().skip((received - first) as usize).cloned());
        } else {
            // The replica has already removed sets that this node never received; the node's own
            // sets are older than those.
            all.extend(sets.iter().cloned());
        }
        let expired = all
            .iter()
            .skip(1)
            .take_while(|next| next.start + KEY_SET_RETENTION < self.horizon)
            .count();
        all.drain(..expired);
        self.pruned.insert(service, end - all.len() as u64);
        self.keys.insert(service, all.into());
        true
    }
}
