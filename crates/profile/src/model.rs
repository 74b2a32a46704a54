//! Types of the declarations.

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
    /// Passes bytes through.
    #[default]
    Tcp,
    /// Parses HTTP/1.1 requests and admits each one.
    Http,
    /// Passes packets on unchanged to a backend server that ends the flows itself.
    Opaque,
}

/// Order in which classes are refused under overload.
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
    /// Refused first.
    Bulk,
    /// Refused after bulk.
    #[default]
    Normal,
    /// Refused last.
    Critical,
}

/// A class of requests; the first one that matches counts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name.
    pub name: ClassName,
    /// Method, any if left out.
    #[serde(default)]
    pub method: Option<Box<str>>,
    /// Path prefix.
    pub path: Box<str>,
    /// Order of refusal.
    #[serde(default)]
    pub tier: Tier,
    /// May use the reserved slots.
    #[serde(default)]
    pub short: bool,
    /// Holds a stream open; takes no slot.
    #[serde(default)]
    pub stream: bool,
    /// Whether running a request twice equals running it once.
    pub idempotent: bool,
    /// Time from arrival to the end of the answer.
    pub deadline_ms: Millis,
    /// Largest request body.
    #[serde(default = "default_limit")]
    pub limit: Bytes,
}

fn default_limit() -> Bytes {
    Bytes(1 << 20)
}

/// Limits of the work at one backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Concurrency {
    /// Requests that may wait at an agent.
    pub queue: u32,
    /// Slots that only short classes may use.
    pub reserved: u16,
    /// Run time after which a request counts as long.
    pub long_ms: Millis,
    /// Open flows at one backend server.
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

/// Retries made by the system.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Retry {
    /// Retries as a share of requests.
    pub budget: Percent,
    /// Attempts of one request, the first included.
    pub attempts: u8,
    /// Mean wait before the first retry; doubles with each one.
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

/// How a backend server leaves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Drain {
    /// Time within which no new work may reach a leaving backend server.
    pub stop_ms: Millis,
    /// Longest time that established flows are kept; 0 is no limit.
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
    /// Path of the probe; a connection is tried if left out.
    pub path: Option<Box<str>>,
    /// Time between probes.
    pub interval_ms: Millis,
    /// Successes in a row until the server counts as healthy.
    pub rise: u8,
    /// Failures in a row until it does not.
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
    /// Time for which a key is remembered.
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
    /// Class measured.
    pub class: ClassName,
    /// Latency that counts as good.
    pub latency_ms: Millis,
    /// Share of requests that must be good.
    pub share: Percent,
}

/// How traffic for a kind of service is treated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Name.
    pub name: ProfileName,
    /// Protocol.
    #[serde(default)]
    pub protocol: Protocol,
    /// Classes in order of match; `http` only.
    #[serde(default)]
    pub classes: Vec<Class>,
    /// Limits.
    #[serde(default)]
    pub concurrency: Concurrency,
    /// Retries.
    #[serde(default)]
    pub retry: Retry,
    /// Drain.
    #[serde(default)]
    pub drain: Drain,
    /// Time over which a new backend server's share rises.
    #[serde(default)]
    pub warmup_ms: Millis,
    /// Time without packets after which a flow may be forgotten; `opaque` only.
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

/// A service that picks a profile.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Firm that owns it.
    pub tenant: TenantName,
    /// Profile.
    pub profile: ProfileName,
    /// Address that callers use; left out if only routes lead to the service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddrV4>,
    /// Region that decides its members.
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
    /// Services; their weights add up to more than 0.
    pub targets: Vec<Target>,
    /// Whether running a request twice equals running it once.
    pub idempotent: bool,
    /// Time from a request's start until its answer is of no use.
    pub deadline_ms: Millis,
    /// Time within which an answer is wanted.
    pub latency_ms: Millis,
    /// Order under overload; 0 is refused last.
    #[serde(default)]
    pub priority: u8,
}

/// A whole configuration; takes the place of the one before if its revision is higher.
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
    /// The operator's document as it came; it is read back unchanged.
    pub source: Blob,
}

/// One declaration as it is accepted or retired.
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
