//! Immutable snapshot of routes and the rankers of their services; rebuilt for each view.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Arc;

use api::{RouteView, Table};
use steering::CentreSteering;
use tokio::time::Instant;
use units::{Epoch, Flow, ServiceId, Version};
use watcher::{Tables, View};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hash seed for choosing a service, so that the choice is independent of the choice of an agent.
const SERVICE_SEED: u64 = 0x5EED;

/// Members of a service.
#[derive(Debug, Clone)]
struct Service {
    steering: Arc<CentreSteering>,
    /// Oldest known epoch since which the tables list every present member.
    members_since: Epoch,
}

/// Routes and the rankers of their services.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    config: Version,
    routes: Arc<HashMap<SocketAddrV4, Arc<RouteView>>>,
    services: BTreeMap<ServiceId, Service>,
    read_at: Option<Instant>,
}

impl Directory {
    /// Creates the directory of a view; unchanged parts are shared with this one.
    #[must_use]
    pub fn updated(&self, view: &View) -> Self {
        let unchanged = self.routes.len() == view.routes.len()
            && view.routes.iter().all(|(address, route)| {
                self.routes
                    .get(address)
                    .is_some_and(|r| Arc::ptr_eq(r, route))
            });
        let routes = if unchanged {
            Arc::clone(&self.routes)
        } else {
            let entries = view.routes.iter().map(|(a, r)| (*a, Arc::clone(r)));
            Arc::new(entries.collect())
        };
        let services = view.tables.iter().map(|(id, tables)| {
            let previous = self.services.get(id);
            let service = match previous {
                Some(previous) if previous.steering.current().epoch == tables.current.epoch => {
                    previous.clone()
                }
                _ => Service::new(tables, previous),
            };
            (*id, service)
        });
        Self {
            config: view.config,
            routes,
            services: services.collect(),
            read_at: self.read_at,
        }
    }

    /// The directory after a linearizable read that began at `read_at` and that its view includes.
    #[must_use]
    pub fn with_read_at(self, read_at: Option<Instant>) -> Self {
        Self { read_at, ..self }
    }

    /// Start of the last linearizable read: the directory includes every change that was committed
    /// before.
    #[must_use]
    pub fn read_at(&self) -> Option<Instant> {
        self.read_at
    }

    /// Version of the configuration; 0 before the first view.
    #[must_use]
    pub fn config_version(&self) -> Version {
        self.config
    }

    /// Number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Returns the route of an address.
    #[must_use]
    pub fn route(&self, address: SocketAddrV4) -> Option<&RouteView> {
        self.routes.get(&address).map(|route| &**route)
    }

    /// Returns the rankers of a service.
    #[must_use]
    pub fn steering(&self, service: ServiceId) -> Option<&CentreSteering> {
        self.services
            .get(&service)
            .map(|service| &*service.steering)
    }

    /// Services of a route that may have an open flow, after `searched` were searched under tables of
    /// these epochs without finding it.
    pub(crate) fn unsearched(
        &self,
        route: &RouteView,
        flow: &Flow,
        searched: &[(ServiceId, Epoch)],
    ) -> Vec<ServiceId> {
        let is_searched = |service: &ServiceId| {
            let entry = searched.iter().find(|(id, _)| id == service);
            let members_since = self.services.get(service).map(|s| s.members_since);
            entry.is_some_and(|(_, epoch)| members_since.is_some_and(|since| since <= *epoch))
        };
        let services = possible_services(route, flow);
        services.filter(|service| !is_searched(service)).collect()
    }

    /// Whether an address belongs to a route; callers never send from such an address.
    #[must_use]
    pub fn is_route_address(&self, address: SocketAddrV4) -> bool {
        self.routes.contains_key(&address)
    }
}

impl Service {
    fn new(tables: &Tables, previous: Option<&Self>) -> Self {
        let earlier = tables.earlier.iter().map(|table| &**table);
        let previous = previous.map(|previous| &*previous.steering);
        Self {
            steering: Arc::new(CentreSteering::new(&tables.current, earlier, previous)),
            members_since: members_since(tables),
        }
    }
}

/// Epoch of the oldest table that, like all later ones, lists every present member.
fn members_since(tables: &Tables) -> Epoch {
    let lists_present = |table: &&Arc<Table>| {
        let members = table.members.iter().map(|m| (m.packets, m.incarnation));
        let members: HashSet<_> = members.collect();
        let mut present = tables.current.members.iter();
        present.all(|member| members.contains(&(member.packets, member.incarnation)))
    };
    let oldest = tables.earlier.iter().take_while(lists_present).last();
    oldest.unwrap_or(&tables.current).epoch
}

/// Chooses the service of a new flow by weight; retransmitted SYNs get the same service.
pub(crate) fn choose_service(route: &RouteView, flow: &Flow) -> Option<ServiceId> {
    let total: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
    let hash = xxh3_64_with_seed(&flow.to_bytes(), SERVICE_SEED);
    // Scales the hash to the total weight; a remainder would be biased.
    let mut position = u64::try_from((u128::from(hash) * u128::from(total)) >> 64).unwrap_or(0);
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if position < weight {
            return Some(target.service);
        }
        position -= weight;
    }
    None
}

/// Services that an open flow may belong to, the most likely first.
pub(crate) fn possible_services(route: &RouteView, flow: &Flow) -> impl Iterator<Item = ServiceId> {
    let first = choose_service(route, flow);
    let targets = route.targets.iter().map(|target| target.service);
    let others = targets.chain(route.former.iter().copied());
    first
        .into_iter()
        .chain(others.filter(move |service| Some(*service) != first))
}
