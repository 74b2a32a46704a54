//! Routes and the rankings of their services; immutable, a new one per view.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::sync::Arc;

use api::RouteView;
use steering::CentreSteering;
use units::{Flow, ServiceId, Version};
use watcher::View;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Seed for the choice of a service; the choice must not depend on that of an agent.
const SERVICE_SEED: u64 = 0x5EED;

/// Routes and the rankings of their services.
#[derive(Debug, Default)]
pub struct Directory {
    config: Version,
    routes: Arc<HashMap<SocketAddrV4, Arc<RouteView>>>,
    services: BTreeMap<ServiceId, Arc<CentreSteering>>,
}

impl Directory {
    /// Directory of a view; what did not change is shared.
    #[must_use]
    pub fn updated(&self, view: &View) -> Self {
        let same = self.routes.len() == view.routes.len()
            && view.routes.iter().all(|(address, route)| {
                self.routes
                    .get(address)
                    .is_some_and(|r| Arc::ptr_eq(r, route))
            });
        let routes = if same {
            Arc::clone(&self.routes)
        } else {
            let entries = view.routes.iter().map(|(a, r)| (*a, Arc::clone(r)));
            Arc::new(entries.collect())
        };
        let services = view.tables.iter().map(|(id, tables)| {
            let known = self.services.get(id);
            let steering = match known {
                Some(known) if known.current().epoch == tables.current.epoch => Arc::clone(known),
                _ => {
                    let earlier = tables.earlier.iter().map(|table| &**table);
                    let known = known.map(|known| &**known);
                    Arc::new(CentreSteering::new(&tables.current, earlier, known))
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

    /// Configuration version; 0 before the first.
    #[must_use]
    pub fn config_version(&self) -> Version {
        self.config
    }

    /// Routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Route of an address.
    #[must_use]
    pub fn route(&self, address: SocketAddrV4) -> Option<&RouteView> {
        self.routes.get(&address).map(|route| &**route)
    }

    /// Ranking of a service.
    #[must_use]
    pub fn steering(&self, service: ServiceId) -> Option<&CentreSteering> {
        self.services.get(&service).map(|steering| &**steering)
    }

    /// Whether an address is one that callers use; no caller has it.
    #[must_use]
    pub fn is_route_address(&self, address: SocketAddrV4) -> bool {
        self.routes.contains_key(&address)
    }
}

/// Service that a new flow goes to; copies of its SYN get the same one.
pub(crate) fn pick(route: &RouteView, flow: &Flow) -> Option<ServiceId> {
    let total: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
    let hash = xxh3_64_with_seed(&flow.to_bytes(), SERVICE_SEED);
    // Scales the hash to the weights without the bias of a remainder.
    let mut at = u64::try_from((u128::from(hash) * u128::from(total)) >> 64).unwrap_or(0);
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if at < weight {
            return Some(target.service);
        }
        at -= weight;
    }
    None
}

/// Services in which an open flow may be, the likeliest first.
pub(crate) fn holders(route: &RouteView, flow: &Flow) -> impl Iterator<Item = ServiceId> {
    let first = pick(route, flow);
    let targets = route.targets.iter().map(|target| target.service);
    let others = targets.chain(route.former.iter().copied());
    first
        .into_iter()
        .chain(others.filter(move |service| Some(*service) != first))
}
