//! Checks beyond the syntax of a single value: contradictions and unsafe values.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use jsonc::{Document, JsoncError};
use units::ServiceName;

use crate::{Declaration, Declarations, Deployment, Profile, Protocol, Route, Service, Tier};

/// Maximum number of classes in a profile.
pub const MAX_CLASSES: usize = 32;

/// Maximum number of services of a route.
pub const MAX_TARGETS: usize = 64;

/// Maximum deadline in ms: one day, which is longer than a shift.
const MAX_DEADLINE_MS: u64 = 86_400_000;

/// Maximum time in ms until a leaving backend server gets no new work.
const MAX_STOP_MS: u64 = 3_000;

/// Maximum retry budget in percent; a larger one lets retries overload a slow service.
const MAX_BUDGET_PERCENT: f64 = 20.0;

/// Maximum attempts of one request.
const MAX_ATTEMPTS: u8 = 5;

/// Range of key windows in ms: a shorter window misses resends of callers, a longer one does not
/// fit in memory.
const KEY_WINDOW_MS: std::ops::RangeInclusive<u64> = 60_000..=3_600_000;

/// Maximum number of queued requests at one agent.
const MAX_QUEUE: u32 = 65_536;

/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: u64 = 1 << 30;

type Files = [Document<Declarations>];

/// Returns all findings, names first, then by file.
#[must_use]
pub fn check(files: &Files) -> Vec<JsoncError> {
    let mut errors = Vec::new();
    check_names(files, &mut errors);
    for file in files {
        for (index, profile) in file.value.profiles.iter().enumerate() {
            check_profile(
                &Location {
                    file,
                    path: format!("profiles[{index}]"),
                },
                profile,
                &mut errors,
            );
        }
        for (index, service) in file.value.services.iter().enumerate() {
            let location = Location {
                file,
                path: format!("services[{index}]"),
            };
            check_service(&location, service, files, &mut errors);
        }
        for (index, route) in file.value.routes.iter().enumerate() {
            let location = Location {
                file,
                path: format!("routes[{index}]"),
            };
            let protocol = |name: &ServiceName| protocol_of(files, name);
            for (field, message) in check_route(route, protocol) {
                errors.push(location.error(field, message));
            }
        }
    }
    errors
}

/// Findings on one declaration that was not read from a file, as `path: message`.
///
/// A service is checked together with the profile that it uses.
#[must_use]
pub fn check_declaration(declaration: &Declaration, profile: Option<&Profile>) -> Vec<Box<str>> {
    let mut value = Declarations::default();
    value.profiles.extend(profile.cloned());
    match declaration {
        Declaration::Profile(profile) => value.profiles = vec![profile.clone()],
        Declaration::Service(service) => value.services = vec![service.clone()],
        Declaration::Route(route) => value.routes = vec![route.clone()],
    }
    messages(&[Document::without_positions(value)])
}

impl Deployment {
    /// All findings, as `path: message`.
    #[must_use]
    pub fn findings(&self) -> Vec<Box<str>> {
        let value = Declarations {
            profiles: self.profiles.clone(),
            services: self.services.clone(),
            routes: self.routes.clone(),
        };
        messages(&[Document::without_positions(value)])
    }
}

fn messages(files: &Files) -> Vec<Box<str>> {
    let message = |error: JsoncError| match error {
        JsoncError::Invalid { path, message, .. } => format!("{path}: {message}").into(),
        JsoncError::Read { .. } => error.to_string().into(),
    };
    check(files).into_iter().map(message).collect()
}

struct Location<'a> {
    file: &'a Document<Declarations>,
    path: String,
}

impl Location<'_> {
    fn error(&self, field: &str, message: String) -> JsoncError {
        self.file
            .invalid(&format!("{}.{field}", self.path), message)
    }

    fn item(&self, field: &str, index: usize) -> Self {
        Self {
            file: self.file,
            path: format!("{}.{field}[{index}]", self.path),
        }
    }
}

fn check_names(files: &Files, errors: &mut Vec<JsoncError>) {
    let mut profiles = BTreeSet::new();
    let mut services = BTreeSet::new();
    let mut routes = BTreeSet::new();
    let mut addresses = BTreeMap::new();
    for file in files {
        for (index, profile) in file.value.profiles.iter().enumerate() {
            if !profiles.insert(&profile.name) {
                let message = format!(
                    "profile {} stands twice; rename or remove one",
                    profile.name
                );
                errors.push(file.invalid(&format!("profiles[{index}].name"), message));
            }
        }
        for (index, service) in file.value.services.iter().enumerate() {
            if !services.insert(&service.name) {
                let message = format!(
                    "service {} stands twice; rename or remove one",
                    service.name
                );
                errors.push(file.invalid(&format!("services[{index}].name"), message));
            }
            let Some(address) = service.address else {
                continue;
            };
            if let Some(other) = addresses.insert(address, format!("service {}", service.name)) {
                let message =
                    format!("{address} is the address of {other} already; give each its own");
                errors.push(file.invalid(&format!("services[{index}].address"), message));
            }
        }
        for (index, route) in file.value.routes.iter().enumerate() {
            if !routes.insert(&route.name) {
                let message = format!("route {} stands twice; rename or remove one", route.name);
                errors.push(file.invalid(&format!("routes[{index}].name"), message));
            }
            let address = route.address;
            if let Some(other) = addresses.insert(address, format!("route {}", route.name)) {
                let message =
                    format!("{address} is the address of {other} already; give each its own");
                errors.push(file.invalid(&format!("routes[{index}].address"), message));
            }
        }
    }
}

/// Protocol of a service that the files declare.
fn protocol_of(files: &Files, name: &ServiceName) -> Option<Protocol> {
    let mut services = files.iter().flat_map(|file| &file.value.services);
    let service = services.find(|service| service.name == *name)?;
    let mut profiles = files.iter().flat_map(|file| &file.value.profiles);
    let profile = profiles.find(|profile| profile.name == service.profile)?;
    Some(profile.protocol)
}

/// Findings on a route as field and message; `protocol` returns the protocol of a declared
/// service.
#[must_use]
pub fn check_route(
    route: &Route,
    protocol: impl Fn(&ServiceName) -> Option<Protocol>,
) -> Vec<(&'static str, String)> {
    let mut findings = Vec::new();
    if !is_usable_by_callers(route.address) {
        let message = format!("{} is not an address that callers can use", route.address);
        findings.push(("address", message));
    }
    if route.targets.len() > MAX_TARGETS {
        let message = format!("{} services; at most {MAX_TARGETS}", route.targets.len());
        findings.push(("targets", message));
    }
    if route.targets.iter().all(|target| target.weight == 0) {
        let message = "no service has a weight; give at least one a weight above 0".into();
        findings.push(("targets", message));
    }
    for target in &route.targets {
        let message = match protocol(&target.service) {
            Some(Protocol::Opaque) => continue,
            Some(other) => format!(
                "service {} has protocol {other}; a route needs opaque",
                target.service
            ),
            None => format!("service {} does not exist; declare it", target.service),
        };
        findings.push(("targets", message));
    }
    if route.deadline_ms.0 == 0 || route.deadline_ms.0 > MAX_DEADLINE_MS {
        let message = format!(
            "{} is out of range; use 1 to {MAX_DEADLINE_MS}",
            route.deadline_ms
        );
        findings.push(("deadline_ms", message));
    }
    findings
}

fn is_usable_by_callers(address: SocketAddrV4) -> bool {
    let ip = address.ip();
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !ip.is_broadcast()
}

fn check_service(
    location: &Location<'_>,
    service: &Service,
    files: &Files,
    errors: &mut Vec<JsoncError>,
) {
    let declares_profile = |file: &Document<Declarations>| {
        file.value
            .profiles
            .iter()
            .any(|p| p.name == service.profile)
    };
    if !files.iter().any(declares_profile) {
        let message = format!(
            "profile {} is not declared in this folder; declare it",
            service.profile
        );
        errors.push(location.error("profile", message));
    }
    let profiles = files.iter().flat_map(|file| &file.value.profiles);
    let opaque = profiles
        .filter(|profile| profile.name == service.profile)
        .any(|profile| profile.protocol == Protocol::Opaque);
    match service.address {
        Some(address) if opaque => {
            let message =
                format!("{address} belongs to an opaque service; declare a route with it instead");
            errors.push(location.error("address", message));
        }
        Some(address) if !is_usable_by_callers(address) => {
            let message = format!("{address} is not an address that callers can use");
            errors.push(location.error("address", message));
        }
        None if !opaque => {
            let message = "callers need an address; give one as \"ip:port\"".into();
            errors.push(location.error("address", message));
        }
        _ => {}
    }
}

fn check_profile(location: &Location<'_>, profile: &Profile, errors: &mut Vec<JsoncError>) {
    check_limits(location, profile, errors);
    check_classes(location, profile, errors);
    for (index, objective) in profile.objectives.iter().enumerate() {
        let location = location.item("objectives", index);
        if !profile
            .classes
            .iter()
            .any(|class| class.name == objective.class)
        {
            let message = format!("class {} is not declared in this profile", objective.class);
            errors.push(location.error("class", message));
        }
        if objective.share.value() >= 100.0 || objective.share.value() <= 0.0 {
            let message = format!(
                "{} leaves no error budget to burn; use more than 0 and less than 100",
                objective.share
            );
            errors.push(location.error("share", message));
        }
    }
}

fn check_limits(location: &Location<'_>, profile: &Profile, errors: &mut Vec<JsoncError>) {
    let mut range = |field: &str, value: u64, allowed: std::ops::RangeInclusive<u64>| {
        if !allowed.contains(&value) {
            let message = format!(
                "{value} is out of range; use {} to {}",
                allowed.start(),
                allowed.end()
            );
            errors.push(location.error(field, message));
        }
    };
    range("drain.stop_ms", profile.drain.stop_ms.0, 0..=MAX_STOP_MS);
    range(
        "retry.attempts",
        profile.retry.attempts.into(),
        1..=MAX_ATTEMPTS.into(),
    );
    range(
        "concurrency.queue",
        profile.concurrency.queue.into(),
        1..=MAX_QUEUE.into(),
    );
    range(
        "concurrency.flows",
        profile.concurrency.flows.into(),
        1..=1_000_000,
    );
    range(
        "concurrency.long_ms",
        profile.concurrency.long_ms.0,
        1..=MAX_DEADLINE_MS,
    );
    range(
        "health.interval_ms",
        profile.health.interval_ms.0,
        50..=60_000,
    );
    range("health.rise", profile.health.rise.into(), 1..=100);
    range("health.fall", profile.health.fall.into(), 1..=100);
    range("keys.window_ms", profile.keys.window_ms.0, KEY_WINDOW_MS);
    range("warmup_ms", profile.warmup_ms.0, 0..=3_600_000);
    if profile.retry.budget.value() > MAX_BUDGET_PERCENT {
        let message = format!(
            "{} is unsafe under overload; use at most {MAX_BUDGET_PERCENT}%",
            profile.retry.budget
        );
        errors.push(location.error("retry.budget", message));
    }
}

fn check_classes(location: &Location<'_>, profile: &Profile, errors: &mut Vec<JsoncError>) {
    match profile.protocol {
        Protocol::Tcp | Protocol::Opaque if !profile.classes.is_empty() => {
            let message = format!(
                "a profile with protocol {} can't have classes; use \"http\" or remove them",
                profile.protocol
            );
            errors.push(location.error("classes", message));
        }
        Protocol::Http if profile.classes.is_empty() => {
            let message =
                "an http profile needs at least one class; add one with path \"/\"".into();
            errors.push(location.error("classes", message));
        }
        _ => {}
    }
    if profile.classes.len() > MAX_CLASSES {
        let message = format!(
            "{} classes; at most {MAX_CLASSES} are accepted",
            profile.classes.len()
        );
        errors.push(location.error("classes", message));
    }
    let mut names = BTreeSet::new();
    for (index, class) in profile.classes.iter().enumerate() {
        let location = location.item("classes", index);
        if !names.insert(&class.name) {
            errors.push(location.error(
                "name",
                format!("class {} stands twice; rename one", class.name),
            ));
        }
        if !class.path.starts_with('/') {
            errors.push(location.error("path", format!("{:?} must start with '/'", class.path)));
        }
        if class.deadline_ms.0 == 0 || class.deadline_ms.0 > MAX_DEADLINE_MS {
            let message = format!(
                "{} is out of range; use 1 to {MAX_DEADLINE_MS}",
                class.deadline_ms
            );
            errors.push(location.error("deadline_ms", message));
        }
        if class.limit.0 > MAX_BODY_BYTES {
            errors.push(location.error(
                "limit",
                format!(
                    "{} is out of range; use at most {MAX_BODY_BYTES}",
                    class.limit
                ),
            ));
        }
        if class
            .method
            .as_deref()
            .is_some_and(|m| m.is_empty() || !m.bytes().all(|b| b.is_ascii_uppercase()))
        {
            errors.push(location.error(
                "method",
                "use an upper-case HTTP method or leave it out".into(),
            ));
        }
        if class.tier == Tier::Bulk && class.short {
            errors.push(location.error(
                "short",
                "a bulk class can't use the reserved slots; remove one of both".into(),
            ));
        }
        if class.stream && !class.idempotent {
            errors.push(location.error("stream", "a stream must be idempotent".into()));
        }
        let unreachable = profile.classes[..index].iter().any(|earlier| {
            class.path.starts_with(&*earlier.path)
                && (earlier.method.is_none() || earlier.method == class.method)
        });
        if unreachable {
            let message = format!(
                "{} is never reached: an earlier class matches all of it; move it up",
                class.path
            );
            errors.push(location.error("path", message));
        }
    }
}
