//! Routes from service addresses to the steering of each service.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use steering::Steering;
use units::ServiceId;
use watcher::View;

/// Route to the agents of a service.
#[derive(Debug)]
pub struct Route {
    /// Selects the candidates of a flow.
    pub steering: Steering,
    /// Generation of the steering; a flow cache entry of another generation is stale.
    pub generation: u32,
}

/// Routes of all services; immutable.
#[derive(Debug, Default)]
pub struct Routes {
    by_address: HashMap<SocketAddrV4, Option<Arc<Route>>>,
    by_service: BTreeMap<ServiceId, Arc<Route>>,
    service_ips: HashSet<Ipv4Addr>,
    generation: u32,
}

impl Routes {
    /// Builds the routes of a view; reuses the steering of each service whose table is unchanged.
    #[must_use]
    pub fn updated(&self, view: &View) -> Self {
        let mut next = Self {
            generation: self.generation,
            ..Self::default()
        };
        for (id, service) in &view.services {
            let Some(address) = service.service.address else {
                continue;
            };
            next.service_ips.insert(*address.ip());
            let Some(tables) = view.tables.get(id) else {
                next.by_address.insert(address, None);
                continue;
            };
            let previous = self.by_service.get(id);
            let route = match previous.filter(|r| r.steering.epoch() == tables.current.epoch) {
                Some(route) => Arc::clone(route),
                None => {
                    next.generation += 1;
                    let earlier = tables.earlier.iter().map(|table| &**table);
                    let steering = match previous {
                        Some(previous) => {
                            previous
                                .steering
                                .updated(&tables.current, earlier, tables.received_at)
                        }
                        None => Steering::new(&tables.current, earlier, tables.received_at),
                    };
                    Arc::new(Route {
                        steering,
                        generation: next.generation,
                    })
                }
            };
            next.by_service.insert(*id, Arc::clone(&route));
            next.by_address.insert(address, Some(route));
        }
        next
    }

    /// Finds the route of an address; `None` if no service has the address, `Some(None)` if the
    /// service has no table yet.
    #[must_use]
    pub fn find(&self, address: SocketAddrV4) -> Option<Option<&Route>> {
        self.by_address.get(&address).map(Option::as_deref)
    }

    /// Whether an address belongs to a service, and so can't belong to a caller.
    #[must_use]
    pub fn is_service_ip(&self, ip: Ipv4Addr) -> bool {
        self.service_ips.contains(&ip)
    }
}
