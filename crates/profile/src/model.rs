//! Types of declarations.

use std::net::SocketAddrV4;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use units::{
    Blob, Bytes, ClassName, Millis, Percent, ProfileName, Region, Revision, RouteName, ServiceName,
    TenantName,
};

/// How the agent treats the bytes of a flow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum Protocol {
    /// Forwards bytes unchanged.
    #[default]
    Tcp,
    /// Parses HTTP/1.1 and decides on admission for each request.
    Http,
    /// Forwards packets unchanged to a backend server that terminates the flows itself.
    Opaque,
}

/// Priority of a class under overload.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum Tier {
    /// Rejected first.
    Bulk,
    /// Rejected after bulk.
    #[default]
    Normal,
    /// Rejected last.
    Critical,
}

/// A class of requests; a request belongs to the first class that matches.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name.
    pub name: ClassName,
    /// Method; any method if left out.
    #[serde(default)]
    pub method: Option<Box<str>>,
    /// Path prefix.
    pub path: Box<str>,
    /// Priority under overload.
    #[serde(default)]
    pub tier: Tier,
    /// Whether requests may use the reserved slots.
    #[serde(default)]
    pub short: bool,
    /// Whether requests are long-lived streams, which occupy no slot.
    #[serde(default)]
    pub stream: bool,
    /// Whether running a request twice has the same effect as running it once.
    pub idempotent: bool,
    /// Maximum time from arrival of the request to the end of the response.
    pub deadline_ms: Millis,
    /// Maximum size of a request body.
    #[serde(default = "default_limit")]
    pub limit: Bytes,
}

fn default_limit() -> Bytes {
    Bytes(1 << 20)
}

/// Concurrency limits of one backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Concurrency {
    /// Maximum number of queued requests at an agent.
    pub queue: u32,
    /// Slots that only short classes may use.
    pub reserved: u16,
    /// Run time above which a request counts as long.
    pub long_ms: Millis,
    /// Maximum number of open flows at one backend server.
    pub flows: u32,
}

impl Default for Concurrency {
    fn default() -> Self {
        Self {
            queue: 64,
            reserved: 1,
            long_ms: Millis(1_000),
            flows: 20_000,
        }
    }
}

/// Retries by the system.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Retry {
    /// Maximum retries as a share of requests.
    pub budget: Percent,
    /// Maximum attempts of one request, including the first.
    pub attempts: u8,
    /// Mean delay before the first retry; doubles with each retry.
    pub backoff_ms: Millis,
}

impl Default for Retry {
    fn default() -> Self {
        let budget = Percent::try_from(10.0).unwrap_or_default();
        Self {
            budget,
            attempts: 2,
            backoff_ms: Millis(20),
        }
    }
}

/// Draining of a backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Drain {
    /// Maximum time until a draining backend server gets no new work.
    pub stop_ms: Millis,
    /// Maximum time for which established flows are kept; 0 means no limit.
    pub keep_ms: Millis,
}

impl Default for Drain {
    fn default() -> Self {
        Self {
            stop_ms: Millis(3_000),
            keep_ms: Millis(0),
        }
    }
}

/// Health probes of the backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Health {
    /// Path of the HTTP probe; if left out, the probe opens a connection only.
    pub path: Option<Box<str>>,
    /// Time between probes.
    pub interval_ms: Millis,
    /// Consecutive successes until the backend server counts as healthy.
    pub rise: u8,
    /// Consecutive failures until the backend server counts as unhealthy.
    pub fall: u8,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            path: None,
            interval_ms: Millis(500),
            rise: 2,
            fall: 3,
        }
    }
}

/// Idempotency keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Keys {
    /// Time for which a key is stored.
    pub window_ms: Millis,
}

impl Default for Keys {
    fn default() -> Self {
        Self {
            window_ms: Millis(600_000),
        }
    }
}

/// Service-level objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Class that the objective applies to.
    pub class: ClassName,
    /// Maximum latency of a good request.
    pub latency_ms: Millis,
    /// Share of requests that must be good.
    pub share: Percent,
}

/// Traffic settings shared by services of one kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Name.
    pub name: ProfileName,
    /// Protocol.
    #[serde(default)]
    pub protocol: Protocol,
    /// Classes in matching order; `http` only.
    #[serde(default)]
    pub classes: Vec<Class>,
    /// Concurrency limits.
    #[serde(default)]
    pub concurrency: Concurrency,
    /// Retries.
    #[serde(default)]
    pub retry: Retry,
    /// Draining.
    #[serde(default)]
    pub drain: Drain,
    /// Time over which the share of a new backend server increases.
    #[serde(default)]
    pub warmup_ms: Millis,
    /// Time without packets after which the state of a flow may be dropped; `opaque` only.
    #[serde(default = "default_idle")]
    pub idle_ms: Millis,
    /// Health probes.
    #[serde(default)]
    pub health: Health,
    /// Idempotency keys.
    #[serde(default)]
    pub keys: Keys,
    /// Objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
}

fn default_idle() -> Millis {
    Millis(60_000)
}

/// A service and the profile it uses.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Company that owns the service.
    pub tenant: TenantName,
    /// Profile.
    pub profile: ProfileName,
    /// Address that callers use; left out if only routes lead to the service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddrV4>,
    /// Region that manages the members of the service.
    #[serde(default)]
    pub region: Region,
}

/// A service that a route leads to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Service, with an `opaque` profile.
    pub service: ServiceName,
    /// Share of the route's new flows, relative to the other targets.
    pub weight: u32,
}

/// An address whose new flows go to one or more services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name.
    pub name: RouteName,
    /// Address that callers use.
    pub address: SocketAddrV4,
    /// Services; at least one weight is above 0.
    pub targets: Vec<Target>,
    /// Whether running a request twice has the same effect as running it once.
    pub idempotent: bool,
    /// Time from the start of a request after which its response is useless.
    pub deadline_ms: Millis,
    /// Target latency of a response.
    pub latency_ms: Millis,
    /// Priority under overload; 0 is rejected last.
    #[serde(default)]
    pub priority: u8,
}

/// A complete configuration; replaces the current one if its revision is higher.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Deployment {
    /// Revision.
    pub revision: Revision,
    /// Profiles.
    pub profiles: Vec<Profile>,
    /// Services.
    pub services: Vec<Service>,
    /// Routes.
    pub routes: Vec<Route>,
    /// Original document of the operator, returned unchanged when read.
    pub source: Blob,
}

/// A single declaration, the unit of acceptance and retirement.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Declaration {
    /// Profile.
    Profile(Profile),
    /// Service.
    Service(Service),
    /// Route.
    Route(Route),
}

impl Declaration {
    /// `profile`, `service` or `route`.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Profile(_) => "profile",
            Self::Service(_) => "service",
            Self::Route(_) => "route",
        }
    }

    /// Name within its kind.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::Profile(profile) => profile.name.as_str(),
            Self::Service(service) => service.name.as_str(),
            Self::Route(route) => route.name.as_str(),
        }
    }
}
