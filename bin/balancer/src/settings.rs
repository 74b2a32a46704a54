//! Settings of a balancer.

use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};

use jsonc::JsoncError;
use serde::Deserialize;
use startup::{LogSettings, MetricsSettings};
use units::{DataCentre, HostName, Millis, Region};

/// Largest number of packet workers.
const MAX_WORKERS: usize = 64;

/// Largest number of cache entries.
const MAX_ENTRIES: usize = 1 << 24;

/// Settings file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Host.
    pub host: HostName,
    /// Data centre.
    pub centre: DataCentre,
    /// Region.
    #[serde(default)]
    pub region: Region,
    /// UDP address for packets from the fabric.
    pub packets: SocketAddrV4,
    /// TCP address of the HTTP interface; none if left out.
    #[serde(default)]
    pub http: Option<SocketAddr>,
    /// Control replicas.
    pub control: Vec<SocketAddr>,
    /// File with the shared key.
    pub key_file: PathBuf,
    /// Packet workers, one thread each.
    #[serde(default = "default_workers")]
    pub workers: usize,
    /// Entries of the flow cache of each worker.
    #[serde(default = "default_entries")]
    pub cache: usize,
    /// Longest time for which packets are still sent on after a stop request.
    #[serde(default = "default_linger")]
    pub linger_ms: Millis,
    /// Ways to addresses of other processes that can't be reached directly.
    #[serde(default)]
    pub routes: Vec<rpc::AddressOverride>,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
    /// Metrics.
    #[serde(default)]
    pub metrics: MetricsSettings,
}

fn default_workers() -> usize {
    1
}

fn default_entries() -> usize {
    steering::CacheSettings::default().entries
}

fn default_linger() -> Millis {
    Millis(10_000)
}

/// Reads and checks the settings.
///
/// # Errors
/// With the place and the remedy of the first finding.
pub fn load(path: &Path) -> Result<Settings, JsoncError> {
    let document = startup::load::<Settings>(path)?;
    let settings = &document.value;
    if settings.control.is_empty() {
        return Err(document.invalid(
            "control",
            "name at least one control replica as \"ip:port\"",
        ));
    }
    if settings.workers == 0 || settings.workers > MAX_WORKERS {
        let message = format!(
            "{} is out of range; use 1 to {MAX_WORKERS}",
            settings.workers
        );
        return Err(document.invalid("workers", message));
    }
    if settings.cache > MAX_ENTRIES {
        let message = format!(
            "{} is out of range; use at most {MAX_ENTRIES}",
            settings.cache
        );
        return Err(document.invalid("cache", message));
    }
    Ok(document.value)
}
