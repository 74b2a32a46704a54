//! Defines the identity of a process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use api::{Role, Scope};
use serde::Deserialize;
use units::{DataCentre, HostName, Incarnation, Millis, Region};
use watcher::{Replicas, WatcherSettings};

/// Identity of a process and the addresses of control; part of the settings of every process.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// Name of the host that runs the process.
    pub host: HostName,
    /// Data centre of the host.
    pub centre: DataCentre,
    /// Region of the data centre.
    #[serde(default)]
    pub region: Region,
    /// Addresses of the control replicas.
    pub control: Vec<SocketAddr>,
    /// Name of the deployment; messages of other deployments are rejected.
    pub deployment: Box<str>,
}

impl Identity {
    /// Returns the settings of a watcher for this process.
    #[must_use]
    pub fn watcher(
        &self,
        role: Role,
        scope: Scope,
        incarnation: Incarnation,
        replicas: Arc<Replicas>,
    ) -> WatcherSettings {
        WatcherSettings {
            control: replicas,
            region: self.region,
            incarnation,
            ..WatcherSettings::new(self.host.clone(), role, self.centre.clone(), scope)
        }
    }
}

/// Creates the incarnation of a process that starts now.
#[must_use]
pub fn new_incarnation() -> Incarnation {
    Incarnation(unix_time().0)
}

/// Unix time; zero before 1970.
pub(crate) fn unix_time() -> Millis {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Millis::from(since_epoch.unwrap_or_default())
}
