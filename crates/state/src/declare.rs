//! Creating, changing and retiring declarations.

use api::{AuditEvent, Conflict, PutReply, Stored};
use profile::{Declaration, Profile, Route, Service};
use serde::{Deserialize, Serialize};
use units::{ServiceId, ServiceName, Version};

use crate::table_log::TableLog;
use crate::{Outcome, State};

/// Most profiles.
pub const MAX_PROFILES: usize = 1_024;

/// Most services; the design size has 2,100.
pub const MAX_SERVICES: usize = 4_096;

/// Retired services listed for nodes; a node that missed more gets everything anew.
pub const MAX_RETIRED: usize = 4_096;

/// Longest author in bytes.
pub const MAX_AUTHOR: usize = 128;

/// Service numbers per region; a service id has 24 bits below its region.
const MAX_NUMBER: u32 = (1 << 24) - 1;

/// Accepted profile.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct ProfileEntry {
    pub(crate) version: Version,
    pub(crate) author: Box<str>,
    pub(crate) body: Profile,
}

/// Accepted service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Id; never used for another service.
    pub id: ServiceId,
    /// Configuration version of its last change.
    pub version: Version,
    /// Author of that change.
    pub author: Box<str>,
    /// Declaration.
    pub body: Service,
}

/// What a request names.
pub(crate) struct Named<'a> {
    pub(crate) kind: &'a str,
    pub(crate) name: &'a str,
    pub(crate) expected: Version,
    pub(crate) author: &'a str,
}

impl State {
    pub(crate) fn put(&mut self, expected: Version, author: &str, body: &Declaration) -> Outcome {
        let named = Named {
            kind: body.kind(),
            name: body.name(),
            expected,
            author,
        };
        if let Some(refused) = self.check_request(&named) {
            return refused;
        }
        let refused = match body {
            Declaration::Profile(profile) => self.check_profile(profile),
            Declaration::Service(service) => self.check_service(service),
            Declaration::Route(route) => self.check_route(route),
        };
        if let Some(refused) = refused {
            return refused;
        }
        self.config = self.config.next();
        match body {
            Declaration::Profile(profile) => self.store_profile(author, profile),
            Declaration::Service(service) => self.put_service(author, service),
            Declaration::Route(route) => self.store_route(author, route),
        }
        self.accepted(&named, true)
    }

    pub(crate) fn retire(&mut self, named: &Named<'_>) -> Outcome {
        if let Some(refused) = self.check_request(named) {
            return refused;
        }
        if named.expected == Version(0) {
            return Outcome::unknown(format!("{} {} does not exist", named.kind, named.name));
        }
        let refused = match named.kind {
            "profile" => self.retire_profile(named.name),
            "route" => self.retire_route(named.name),
            _ => self.retire_service(named.name),
        };
        refused.unwrap_or_else(|| self.accepted(named, false))
    }

    fn accepted(&mut self, named: &Named<'_>, put: bool) -> Outcome {
        let (kind, name) = (named.kind.into(), named.name.into());
        let event = if put {
            AuditEvent::Put { kind, name }
        } else {
            AuditEvent::Retire { kind, name }
        };
        self.record(named.author, self.config, event);
        Outcome::Put(PutReply {
            version: self.config,
            repeated: false,
        })
    }

    /// Refuses a bad author, an unknown kind and an unexpected version.
    fn check_request(&self, named: &Named<'_>) -> Option<Outcome> {
        if let Some(refused) = check_author(named.author) {
            return Some(refused);
        }
        if !matches!(named.kind, "profile" | "service" | "route") {
            let message = format!("kind {:?} is not profile, service or route", named.kind);
            return Some(Outcome::invalid(message));
        }
        let current = self.stored(named.kind, named.name);
        let current = current.map_or(Version(0), |stored| stored.version);
        (current != named.expected).then(|| {
            Outcome::Conflict(Conflict {
                expected: named.expected,
                current,
                author: self.audit.author(named.kind, named.name),
            })
        })
    }

    fn check_profile(&self, profile: &Profile) -> Option<Outcome> {
        if !self.profiles.contains_key(&profile.name) && self.profiles.len() >= MAX_PROFILES {
            return Some(Outcome::full(format!("{MAX_PROFILES} profiles exist")));
        }
        findings(&profile::check_declaration(
            &Declaration::Profile(profile.clone()),
            None,
        ))
    }

    fn check_service(&self, service: &Service) -> Option<Outcome> {
        let Some(picked) = self.profiles.get(&service.profile) else {
            return Some(Outcome::invalid(format!(
                "service {}: profile {} does not exist; create it first",
                service.name, service.profile
            )));
        };
        let mut others = self.services.values().map(|entry| &entry.body);
        let same = |s: &&Service| s.address == service.address && s.name != service.name;
        if let Some(address) = service.address
            && let Some(other) = others.find(same)
        {
            return Some(Outcome::invalid(format!(
                "service {}: {address} is the address of service {} already; give each service \
                 its own",
                service.name, other.name
            )));
        }
        if let Some(entry) = self.services.get(&service.name) {
            let fixed = [
                ("tenant", entry.body.tenant != service.tenant),
                ("address", entry.body.address != service.address),
                ("region", entry.body.region != service.region),
            ];
            if let Some((field, _)) = fixed.iter().find(|(_, differs)| *differs) {
                return Some(Outcome::invalid(format!(
                    "service {}: its {field} can't change, that would break its flows; declare \
                     a new service, move the callers, then retire this one",
                    service.name
                )));
            }
        } else if self.services.len() >= MAX_SERVICES {
            return Some(Outcome::full(format!("{MAX_SERVICES} services exist")));
        } else if self.last_service >= MAX_NUMBER {
            return Some(Outcome::full("every service id was used"));
        }
        let declaration = Declaration::Service(service.clone());
        findings(&profile::check_declaration(
            &declaration,
            Some(&picked.body),
        ))
    }

    pub(crate) fn store_profile(&mut self, author: &str, profile: &Profile) {
        let entry = ProfileEntry {
            version: self.config,
            author: author.into(),
            body: profile.clone(),
        };
        self.profiles.insert(profile.name.clone(), entry);
    }

    pub(crate) fn put_service(&mut self, author: &str, service: &Service) {
        let (version, author) = (self.config, author.into());
        if let Some(entry) = self.services.get_mut(&service.name) {
            entry.version = version;
            entry.author = author;
            entry.body = service.clone();
            return;
        }
        self.last_service += 1;
        let id = ServiceId::new(service.region, self.last_service);
        let entry = ServiceEntry {
            id,
            version,
            author,
            body: service.clone(),
        };
        self.services.insert(service.name.clone(), entry);
        self.tables
            .insert(id, TableLog::new(id, self.now, self.index));
    }

    fn retire_profile(&mut self, name: &str) -> Option<Outcome> {
        let used = |entry: &&ServiceEntry| entry.body.profile.as_str() == name;
        if let Some(entry) = self.services.values().find(used) {
            return Some(Outcome::invalid(format!(
                "profile {name} is in use by service {}; move or retire the service first",
                entry.body.name
            )));
        }
        self.profiles.retain(|profile, _| profile.as_str() != name);
        self.config = self.config.next();
        None
    }

    fn retire_service(&mut self, name: &str) -> Option<Outcome> {
        let entry = self
            .services
            .values()
            .find(|e| e.body.name.as_str() == name);
        let id = entry?.id;
        let members = self
            .tables
            .get(&id)
            .map_or(0, |log| log.table.members.len());
        if members > 0 {
            return Some(Outcome::invalid(format!(
                "service {name} has {members} backend servers whose flows would break; stop \
                 them first"
            )));
        }
        let mut routes = self.routes.values().map(|entry| &entry.body);
        let leads = |r: &&Route| r.targets.iter().any(|t| t.service.as_str() == name);
        if let Some(route) = routes.find(leads) {
            return Some(Outcome::invalid(format!(
                "route {} leads to service {name}; change or retire the route first",
                route.name
            )));
        }
        let name = entry?.body.name.clone();
        self.remove_service(&name);
        self.config = self.config.next();
        None
    }

    /// Removes a service with its table.
    pub(crate) fn remove_service(&mut self, name: &ServiceName) {
        let Some(entry) = self.services.remove(name) else {
            return;
        };
        self.tables.remove(&entry.id);
        self.keys.remove(&entry.id);
        self.note_retired(entry.id);
        self.burn.forget(entry.id);
    }

    fn note_retired(&mut self, id: ServiceId) {
        self.retired.push_back((self.index, id));
        if self.retired.len() > MAX_RETIRED {
            let oldest = self.retired.pop_front().map_or(0, |(index, _)| index);
            self.forgotten = self.forgotten.max(oldest);
        }
    }

    /// A declaration with its version.
    #[must_use]
    pub fn stored(&self, kind: &str, name: &str) -> Option<Stored> {
        match kind {
            "profile" => {
                let entry = self.profiles.get(&name.parse().ok()?)?;
                Some(stored_profile(entry))
            }
            "service" => {
                let entry = self.services.get(&name.parse().ok()?)?;
                Some(stored_service(entry))
            }
            "route" => self.stored_route(name),
            _ => None,
        }
    }

    /// Every declaration: profiles, services, routes.
    #[must_use]
    pub fn declarations(&self) -> Vec<Stored> {
        let profiles = self.profiles.values().map(stored_profile);
        profiles
            .chain(self.services.values().map(stored_service))
            .chain(self.stored_routes())
            .collect()
    }
}

fn stored_profile(entry: &ProfileEntry) -> Stored {
    Stored {
        version: entry.version,
        author: entry.author.clone(),
        body: Declaration::Profile(entry.body.clone()),
    }
}

fn stored_service(entry: &ServiceEntry) -> Stored {
    Stored {
        version: entry.version,
        author: entry.author.clone(),
        body: Declaration::Service(entry.body.clone()),
    }
}

/// Refuses an author that is missing or too long for the audit record.
pub(crate) fn check_author(author: &str) -> Option<Outcome> {
    let fits = (1..=MAX_AUTHOR).contains(&author.len());
    (!fits).then(|| Outcome::invalid(format!("the author must have 1 to {MAX_AUTHOR} bytes")))
}

fn findings(list: &[Box<str>]) -> Option<Outcome> {
    (!list.is_empty()).then(|| Outcome::invalid(list.join("; ")))
}
