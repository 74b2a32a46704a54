//! Who a process is.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use api::{Role, Scope};
use serde::Deserialize;
use units::{DataCentre, HostName, Incarnation, Millis, Region};
use watcher::{Replicas, WatcherSettings};

/// Who a process is and where control is; part of the settings of each.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// Host.
    pub host: HostName,
    /// Data centre.
    pub centre: DataCentre,
    /// Region.
    #[serde(default)]
    pub region: Region,
    /// Control replicas.
    pub control: Vec<SocketAddr>,
    /// Name of the deployment; tells its messages from those of others.
    pub deployment: Box<str>,
}

impl Identity {
    /// Settings of a watcher for this process.
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

/// Incarnation of a process that starts now.
#[must_use]
pub fn new_incarnation() -> Incarnation {
    Incarnation(time_of_day().0)
}

/// Unix time; zero before 1970.
pub(crate) fn time_of_day() -> Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Millis::from(since.unwrap_or_default())
}
