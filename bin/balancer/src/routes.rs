//! Steering of every service by its address.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use steering::Steering;
use units::ServiceId;
use watcher::View;

/// Steering of a service.
#[derive(Debug)]
pub struct Route {
    /// Steering.
    pub steering: Steering,
    /// Number of this steering; flow cache entries of another one are stale.
    pub generation: u32,
}

/// Routes of all services; immutable.
#[derive(Debug, Default)]
pub struct Routes {
    by_address: HashMap<SocketAddrV4, Option<Arc<Route>>>,
    by_service: BTreeMap<ServiceId, Arc<Route>>,
    own: HashSet<Ipv4Addr>,
    generation: u32,
}

impl Routes {
    /// Routes for a view; steerings whose table did not change are kept.
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
            next.own.insert(*address.ip());
            let Some(tables) = view.tables.get(id) else {
                next.by_address.insert(address, None);
                continue;
            };
            let held = self.by_service.get(id);
            let route = match held.filter(|r| r.steering.epoch() == tables.current.epoch) {
                Some(route) => Arc::clone(route),
                None => {
                    next.generation += 1;
                    let earlier = tables.earlier.iter().map(|table| &**table);
                    let steering = match held {
                        Some(held) => {
                            held.steering
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

    /// Route of a service address; `None` if no service has it, `Some(None)` if it has no table yet.
    #[must_use]
    pub fn find(&self, address: SocketAddrV4) -> Option<Option<&Route>> {
        self.by_address.get(&address).map(Option::as_deref)
    }

    /// Whether an address is one of the services'; no caller has it.
    #[must_use]
    pub fn is_own(&self, ip: Ipv4Addr) -> bool {
        self.own.contains(&ip)
    }
}
