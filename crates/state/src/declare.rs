//! Creation, change and retirement of declarations.

use api::{AuditEvent, Conflict, PutReply, Stored};
use profile::{Declaration, Profile, Route, Service};
use serde::{Deserialize, Serialize};
use units::{ServiceId, ServiceName, Version};

use crate::table_log::TableLog;
use crate::{Outcome, State};

/// Maximum number of profiles.
pub const MAX_PROFILES: usize = 1_024;

/// Maximum number of services; the design size has 2,100.
pub const MAX_SERVICES: usize = 4_096;

/// Maximum number of retired services, and of dropped routes, listed for nodes. A node that missed
/// more gets a complete reply.
pub const MAX_RETIRED: usize = 4_096;

/// Maximum length of an author.
pub const MAX_AUTHOR_BYTES: usize = 128;

/// Highest service number; a service id has 24 bits below its region.
const MAX_SERVICE_NUMBER: u32 = (1 << 24) - 1;

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
    /// Id; never reused for another service.
    pub id: ServiceId,
    /// Configuration version of its last change.
    pub version: Version,
    /// Author of that change.
    pub author: Box<str>,
    /// Accepted declaration.
    pub body: Service,
}

/// Declaration that an operator's request creates, changes or retires.
pub(crate) struct ChangeRequest<'a> {
    pub(crate) kind: &'a str,
    pub(crate) name: &'a str,
    pub(crate) expected: Version,
    pub(crate) author: &'a str,
}

impl State {
    pub(crate) fn put(&mut self, expected: Version, author: &str, body: &Declaration) -> Outcome {
        let request = ChangeRequest {
            kind: body.kind(),
            name: body.name(),
            expected,
            author,
        };
        if let Some(rejection) = self.check_request(&request) {
            return rejection;
        }
        let rejection = match body {
            Declaration::Profile(profile) => self.check_profile(profile),
            Declaration::Service(service) => self.check_service(service),
            Declaration::Route(route) => self.check_route(route),
        };
        if let Some(rejection) = rejection {
            return rejection;
        }
        self.config = self.config.next();
        match body {
            Declaration::Profile(profile) => self.store_profile(author, profile),
            Declaration::Service(service) => self.store_service(author, service),
            Declaration::Route(route) => self.store_route(author, route),
        }
        self.accepted(&request, true)
    }

    pub(crate) fn retire(&mut self, request: &ChangeRequest<'_>) -> Outcome {
        if let Some(rejection) = self.check_request(request) {
            return rejection;
        }
        if request.expected == Version(0) {
            return Outcome::unknown(format!("{} {} does not exist", request.kind, request.name));
        }
        let rejection = match request.kind {
            "profile" => self.retire_profile(request.name),
            "route" => self.retire_route(request.name),
            _ => self.retire_service(request.name),
        };
        rejection.unwrap_or_else(|| self.accepted(request, false))
    }

    fn accepted(&mut self, request: &ChangeRequest<'_>, put: bool) -> Outcome {
        let (kind, name) = (request.kind.into(), request.name.into());
        let event = if put {
            AuditEvent::Put { kind, name }
        } else {
            AuditEvent::Retire { kind, name }
        };
        self.record(request.author, self.config, event);
        Outcome::Put(PutReply {
            version: self.config,
            repeated: false,
        })
    }

    /// Rejects an invalid author, an unknown kind and an unexpected version.
    fn check_request(&self, request: &ChangeRequest<'_>) -> Option<Outcome> {
        if let Some(rejection) = check_author(request.author) {
            return Some(rejection);
        }
        if !matches!(request.kind, "profile" | "service" | "route") {
            let message = format!("kind {:?} is not profile, service or route", request.kind);
            return Some(Outcome::invalid(message));
        }
        let current = self.stored(request.kind, request.name);
        let current = current.map_or(Version(0), |stored| stored.version);
        (current != request.expected).then(|| {
            Outcome::Conflict(Conflict {
                expected: request.expected,
                current,
                author: self.audit.author(request.kind, request.name),
            })
        })
    }

    fn check_profile(&self, profile: &Profile) -> Option<Outcome> {
        if !self.profiles.contains_key(&profile.name) && self.profiles.len() >= MAX_PROFILES {
            return Some(Outcome::full(format!("{MAX_PROFILES} profiles exist")));
        }
        reject_findings(&profile::check_declaration(
            &Declaration::Profile(profile.clone()),
            None,
        ))
    }

    fn check_service(&self, service: &Service) -> Option<Outcome> {
        let Some(profile) = self.profiles.get(&service.profile) else {
            return Some(Outcome::invalid(format!(
                "service {}: profile {} does not exist; create it first",
                service.name, service.profile
            )));
        };
        let mut others = self.services.values().map(|entry| &entry.body);
        let same_address = |s: &&Service| s.address == service.address && s.name != service.name;
        if let Some(address) = service.address
            && let Some(other) = others.find(same_address)
        {
            return Some(Outcome::invalid(format!(
                "service {}: {address} is the address of service {} already; give each service \
                 its own",
                service.name, other.name
            )));
        }
        if let Some(entry) = self.services.get(&service.name) {
            let immutable = [
                ("tenant", entry.body.tenant != service.tenant),
                ("address", entry.body.address != service.address),
                ("region", entry.body.region != service.region),
            ];
            if let Some((field, _)) = immutable.iter().find(|(_, changed)| *changed) {
                return Some(Outcome::invalid(format!(
                    "service {}: its {field} can't change, that would break its flows; declare \
                     a new service, move the callers, then retire this one",
                    service.name
                )));
            }
        } else if self.services.len() >= MAX_SERVICES {
            return Some(Outcome::full(format!("{MAX_SERVICES} services exist")));
        } else if self.last_service >= MAX_SERVICE_NUMBER {
            return Some(Outcome::full("every service id was used"));
        }
        let declaration = Declaration::Service(service.clone());
        reject_findings(&profile::check_declaration(
            &declaration,
            Some(&profile.body),
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

    pub(crate) fn store_service(&mut self, author: &str, service: &Service) {
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
        let uses_profile = |entry: &&ServiceEntry| entry.body.profile.as_str() == name;
        if let Some(entry) = self.services.values().find(uses_profile) {
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
        let has_target = |r: &&Route| r.targets.iter().any(|t| t.service.as_str() == name);
        if let Some(route) = routes.find(has_target) {
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

    /// Removes a service with its table, key sets and counts.
    pub(crate) fn remove_service(&mut self, name: &ServiceName) {
        let Some(entry) = self.services.remove(name) else {
            return;
        };
        self.tables.remove(&entry.id);
        self.keys.remove(&entry.id);
        self.record_retired(entry.id);
        self.burn.remove_service(entry.id);
    }

    fn record_retired(&mut self, id: ServiceId) {
        self.retired.push_back((self.index, id));
        if self.retired.len() > MAX_RETIRED {
            let oldest = self.retired.pop_front().map_or(0, |(index, _)| index);
            self.pruned_index = self.pruned_index.max(oldest);
        }
    }

    /// Current declaration with its version and author.
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

    /// All declarations: profiles, services, then routes.
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

/// Rejects an author that is empty or too long for the audit log.
pub(crate) fn check_author(author: &str) -> Option<Outcome> {
    let valid = (1..=MAX_AUTHOR_BYTES).contains(&author.len());
    (!valid).then(|| {
        Outcome::invalid(format!(
            "the author must have 1 to {MAX_AUTHOR_BYTES} bytes"
        ))
    })
}

fn reject_findings(list: &[Box<str>]) -> Option<Outcome> {
    (!list.is_empty()).then(|| Outcome::invalid(list.join("; ")))
}
