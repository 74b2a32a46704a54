//! Routes and complete configurations.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use api::{AuditEvent, ReplaceReply, RouteView, Stored, TargetView};
use profile::{Declaration, Deployment, Protocol, Route};
use serde::{Deserialize, Serialize};
use units::{Blob, ProfileName, Revision, ServiceId, ServiceName, Version};

use crate::{MAX_PROFILES, MAX_RETIRED, MAX_SERVICES, Outcome, State};

/// Maximum number of routes; the design size has 2,100 addresses.
pub const MAX_ROUTES: usize = 16_384;

/// Maximum number of former services of a route, kept for flows that are still open there.
pub const MAX_FORMER_SERVICES: usize = 4;

/// Accepted route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct RouteEntry {
    pub(crate) version: Version,
    pub(crate) author: Box<str>,
    /// Log index of its last change.
    index: u64,
    pub(crate) body: Route,
    /// Former services, newest first.
    former: Vec<ServiceName>,
}

/// Accepted complete configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct AcceptedDeployment {
    revision: Revision,
    source: Blob,
}

impl State {
    /// Revision of the newest complete configuration; 0 before the first one.
    #[must_use]
    pub fn revision(&self) -> Revision {
        let deployment = self.deployment.as_ref();
        deployment.map_or(Revision(0), |deployment| deployment.revision)
    }

    /// The operator's document of the newest complete configuration.
    #[must_use]
    pub fn source(&self) -> Option<&Blob> {
        self.deployment
            .as_ref()
            .map(|deployment| &deployment.source)
    }

    /// Replaces all declarations with a complete configuration if its revision is higher.
    pub(crate) fn replace(&mut self, author: &str, next: &Deployment) -> Outcome {
        let current = self.revision();
        if next.revision <= current {
            return Outcome::Replaced(ReplaceReply {
                revision: current,
                changed: false,
            });
        }
        if let Some(rejection) = self.check_deployment(author, next) {
            return rejection;
        }
        self.config = self.config.next();
        // Unchanged declarations keep their version, so that they aren't sent to nodes again.
        for profile in &next.profiles {
            let current = self.profiles.get(&profile.name);
            if current.is_none_or(|entry| entry.body != *profile) {
                self.store_profile(author, profile);
            }
        }
        for service in &next.services {
            let current = self.services.get(&service.name);
            if current.is_none_or(|entry| entry.body != *service) {
                self.store_service(author, service);
            }
        }
        for route in &next.routes {
            let current = self.routes.get(&route.address);
            if current.is_none_or(|entry| entry.body != *route) {
                self.store_route(author, route);
            }
        }
        self.remove_undeclared(next);
        self.deployment = Some(AcceptedDeployment {
            revision: next.revision,
            source: next.source.clone(),
        });
        let revision = next.revision;
        self.record(author, self.config, AuditEvent::Replace { revision });
        Outcome::Replaced(ReplaceReply {
            revision,
            changed: true,
        })
    }

    fn check_deployment(&self, author: &str, next: &Deployment) -> Option<Outcome> {
        if let Some(rejection) = crate::declare::check_author(author) {
            return Some(rejection);
        }
        let sizes = [
            ("profiles", next.profiles.len(), MAX_PROFILES),
            ("services", next.services.len(), MAX_SERVICES),
            ("routes", next.routes.len(), MAX_ROUTES),
        ];
        if let Some((what, count, limit)) = sizes.iter().find(|(_, count, limit)| count > limit) {
            return Some(Outcome::full(format!("{count} {what}; at most {limit}")));
        }
        let mut findings = next.findings();
        for service in &next.services {
            let current = self.services.get(&service.name);
            if current.is_some_and(|entry| entry.body.tenant != service.tenant) {
                findings.push(format!("service {}: its tenant can't change", service.name).into());
            }
        }
        (!findings.is_empty()).then(|| Outcome::invalid(findings.join("; ")))
    }

    /// Removes declarations that a complete configuration no longer contains. Services with members
    /// are kept; a later configuration removes them once their members have left.
    fn remove_undeclared(&mut self, next: &Deployment) {
        let routes: BTreeSet<SocketAddrV4> = next.routes.iter().map(|r| r.address).collect();
        let gone: Vec<_> = self.routes.keys().copied().collect();
        for address in gone.into_iter().filter(|a| !routes.contains(a)) {
            self.drop_route(address);
        }
        let declared: BTreeSet<&ServiceName> = next.services.iter().map(|s| &s.name).collect();
        let is_empty = |id: &ServiceId| {
            let log = self.tables.get(id);
            log.is_none_or(|log| log.table.members.is_empty())
        };
        let gone: Vec<_> = self
            .services
            .values()
            .filter(|entry| !declared.contains(&entry.body.name) && is_empty(&entry.id))
            .map(|entry| entry.body.name.clone())
            .collect();
        for name in gone {
            self.remove_service(&name);
        }
        let used: BTreeSet<ProfileName> = self
            .services
            .values()
            .map(|entry| entry.body.profile.clone())
            .chain(next.profiles.iter().map(|profile| profile.name.clone()))
            .collect();
        self.profiles.retain(|name, _| used.contains(name));
    }

    pub(crate) fn check_route(&self, route: &Route) -> Option<Outcome> {
        let same_name = |other: &&Route| other.name == route.name;
        let mut others = self.routes.values().map(|entry| &entry.body);
        if let Some(other) = others.find(same_name)
            && other.address != route.address
        {
            return Some(Outcome::invalid(format!(
                "route {}: its address can't change, that would break its flows; declare a new \
                 route, move the callers, then retire this one",
                route.name
            )));
        }
        let current = self.routes.get(&route.address);
        let services = self.services.values();
        let taken = services
            .filter(|entry| entry.body.address == Some(route.address))
            .map(|entry| format!("service {}", entry.body.name))
            .chain(
                current
                    .filter(|entry| entry.body.name != route.name)
                    .map(|entry| format!("route {}", entry.body.name)),
            )
            .next();
        if let Some(other) = taken {
            return Some(Outcome::invalid(format!(
                "route {}: {} is the address of {other} already; give each its own",
                route.name, route.address
            )));
        }
        if current.is_none() && self.routes.len() >= MAX_ROUTES {
            return Some(Outcome::full(format!("{MAX_ROUTES} routes exist")));
        }
        let findings = profile::check_route(route, |name: &ServiceName| self.protocol_of(name));
        let texts: Vec<_> = findings
            .iter()
            .map(|(field, message)| format!("route {}: {field}: {message}", route.name))
            .collect();
        (!texts.is_empty()).then(|| Outcome::invalid(texts.join("; ")))
    }

    fn protocol_of(&self, name: &ServiceName) -> Option<Protocol> {
        let entry = self.services.get(name)?;
        let profile = self.profiles.get(&entry.body.profile)?;
        Some(profile.body.protocol)
    }

    pub(crate) fn store_route(&mut self, author: &str, route: &Route) {
        let previous = self.routes.remove(&route.address);
        let mut former = Vec::new();
        if let Some(previous) = previous {
            let targets = previous
                .body
                .targets
                .into_iter()
                .map(|target| target.service);
            former.extend(targets.chain(previous.former));
            former.retain(|name| !route.targets.iter().any(|t| t.service == *name));
            former.truncate(MAX_FORMER_SERVICES);
        }
        let entry = RouteEntry {
            version: self.config,
            author: author.into(),
            index: self.index,
            body: route.clone(),
            former,
        };
        self.routes.insert(route.address, entry);
    }

    pub(crate) fn retire_route(&mut self, name: &str) -> Option<Outcome> {
        let mut routes = self.routes.values().map(|entry| &entry.body);
        let address = routes.find(|r| r.name.as_str() == name)?.address;
        self.drop_route(address);
        self.config = self.config.next();
        None
    }

    fn drop_route(&mut self, address: SocketAddrV4) {
        self.routes.remove(&address);
        self.dropped.push_back((self.index, address));
        if self.dropped.len() > MAX_RETIRED {
            let oldest = self.dropped.pop_front().map_or(0, |(index, _)| index);
            self.pruned_index = self.pruned_index.max(oldest);
        }
    }

    pub(crate) fn stored_route(&self, name: &str) -> Option<Stored> {
        let mut entries = self.routes.values();
        let entry = entries.find(|entry| entry.body.name.as_str() == name)?;
        Some(stored(entry))
    }

    pub(crate) fn stored_routes(&self) -> impl Iterator<Item = Stored> {
        self.routes.values().map(stored)
    }

    /// Routes that changed after a log index.
    pub(crate) fn routes_since(&self, index: u64) -> Vec<RouteView> {
        let newer = self.routes.values().filter(|entry| entry.index > index);
        newer.map(|entry| self.route_view(entry)).collect()
    }

    /// Addresses whose route was dropped after a log index and not declared again.
    pub(crate) fn dropped_since(&self, index: u64) -> Vec<SocketAddrV4> {
        let newer = self.dropped.iter().filter(|(dropped, _)| *dropped > index);
        let addresses: BTreeSet<_> = newer.map(|(_, address)| *address).collect();
        let absent = addresses.into_iter();
        absent.filter(|a| !self.routes.contains_key(a)).collect()
    }

    fn route_view(&self, entry: &RouteEntry) -> RouteView {
        let route = &entry.body;
        let id = |name: &ServiceName| self.services.get(name).map(|entry| entry.id);
        let targets = route.targets.iter().filter_map(|target| {
            Some(TargetView {
                service: id(&target.service)?,
                weight: target.weight,
            })
        });
        RouteView {
            address: route.address,
            targets: targets.collect(),
            former: entry.former.iter().filter_map(id).collect(),
            latency_ms: route.latency_ms,
            priority: route.priority,
        }
    }
}

fn stored(entry: &RouteEntry) -> Stored {
    Stored {
        version: entry.version,
        author: entry.author.clone(),
        body: Declaration::Route(entry.body.clone()),
    }
}
