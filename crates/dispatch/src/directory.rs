//! Immutable snapshot of routes and the rankers of their services; rebuilt for each view.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::sync::Arc;

use api::RouteView;
use steering::CentreSteering;
use units::{Flow, ServiceId, Version};
use watcher::View;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hash seed for choosing a service, so that the choice is independent of the choice of an agent.
const SERVICE_SEED: u64 = 0x5EED;

/// Routes and the rankers of their services.
#[derive(Debug, Default)]
pub struct Directory {
    config: Version,
    routes: Arc<HashMap<SocketAddrV4, Arc<RouteView>>>,
    services: BTreeMap<ServiceId, Arc<CentreSteering>>,
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
            let steering = match previous {
                Some(previous) if previous.current().epoch == tables.current.epoch => {
                    Arc::clone(previous)
                }
                _ => {
                    let earlier = tables.earlier.iter().map(|table| &**table);
                    let previous = previous.map(|previous| &**previous);
                    Arc::new(CentreSteering::new(&tables.current, earlier, previous))
                }
            };
            (*id, steering)
        });
        Self {
            config: view.config,
            routes,
            services: services.collect(),
        }
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
        self.services.get(&service).map(|steering| &**steering)
    }

    /// Whether an address belongs to a route; callers never send from such an address.
    #[must_use]
    pub fn is_route_address(&self, address: SocketAddrV4) -> bool {
        self.routes.contains_key(&address)
    }
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

/// Whether an open flow of the route may belong to another service than the given one.
pub(crate) fn has_other_services(route: &RouteView, service: ServiceId) -> bool {
    let mut targets = route.targets.iter().map(|target| target.service);
    targets.any(|s| s != service) || route.former.iter().any(|s| *s != service)
}
