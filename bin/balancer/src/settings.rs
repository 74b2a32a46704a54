//! Settings of the balancer.

use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};

use jsonc::JsoncError;
use serde::Deserialize;
use startup::{LogSettings, MetricsSettings};
use units::{DataCentre, HostName, Millis, Region};

const MAX_WORKERS: usize = 64;

/// Maximum number of flow cache entries per worker.
const MAX_CACHE_ENTRIES: usize = 1 << 24;

/// Content of the settings file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host.
    pub host: HostName,
    /// Data centre of the host.
    pub centre: DataCentre,
    /// Region of the host.
    #[serde(default)]
    pub region: Region,
    /// UDP address for packets from the fabric.
    pub packets: SocketAddrV4,
    /// TCP address of the HTTP interface; the interface is disabled without it.
    #[serde(default)]
    pub http: Option<SocketAddr>,
    /// Addresses of the control replicas.
    pub control: Vec<SocketAddr>,
    /// File with the shared key, which authenticates messages.
    pub key_file: PathBuf,
    /// Number of packet workers; the runtime has one thread for each and one more.
    #[serde(default = "default_workers")]
    pub workers: usize,
    /// Number of flow cache entries per worker.
    #[serde(default = "default_entries")]
    pub cache: usize,
    /// Maximum time for which packets are forwarded after a stop signal.
    #[serde(default = "default_linger")]
    pub linger_ms: Millis,
    /// Replacement addresses of processes that can't be reached directly.
    #[serde(default)]
    pub routes: Vec<rpc::AddressOverride>,
    /// Logging.
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

/// Reads and validates the settings.
///
/// # Errors
/// Reports the first invalid setting with its position and a valid value.
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
    if settings.cache > MAX_CACHE_ENTRIES {
        let message = format!(
            "{} is out of range; use at most {MAX_CACHE_ENTRIES}",
            settings.cache
        );
        return Err(document.invalid("cache", message));
    }
    Ok(document.value)
}
