//! Settings of the agent.

use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};

use jsonc::JsoncError;
use serde::Deserialize;
use startup::{LogSettings, MetricsSettings};
use units::{DataCentre, HostName, Incarnation, Region, ServiceName, Slots, Weight};

const MAX_SLOTS: u16 = 1024;

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
    /// Service that the backend server runs.
    pub service: ServiceName,
    /// UDP address for packets.
    pub packets: SocketAddrV4,
    /// TCP address of the HTTP interface.
    pub http: SocketAddrV4,
    /// UDP address of the fabric, for packets to callers.
    pub fabric: SocketAddr,
    /// TCP address of the backend server.
    pub backend: SocketAddr,
    /// Number of requests that the backend server runs concurrently.
    pub slots: Slots,
    /// Relative share of new flows.
    #[serde(default)]
    pub weight: Weight,
    /// Addresses of the control replicas.
    pub control: Vec<SocketAddr>,
    /// File with the shared key, which authenticates messages.
    pub key_file: PathBuf,
    /// Incarnation of this agent; the Unix time of its start in ms by default.
    #[serde(default)]
    pub incarnation: Option<Incarnation>,
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

/// Reads and validates the settings.
///
/// # Errors
/// Reports the first invalid setting with its position and a valid value.
pub fn load(path: &Path) -> Result<Settings, JsoncError> {
    let document = startup::load::<Settings>(path)?;
    let settings = &document.value;
    let invalid = |field, message: String| Err(document.invalid(field, message));
    if settings.control.is_empty() {
        let message = "name at least one control replica as \"ip:port\"";
        return invalid("control", message.into());
    }
    let slots = settings.slots.0;
    if slots == 0 || slots > MAX_SLOTS {
        return invalid(
            "slots",
            format!("{slots} is out of range; use 1 to {MAX_SLOTS}"),
        );
    }
    if settings.weight.0 == 0 {
        return invalid("weight", "0 accepts no flows; use 1 or more".into());
    }
    for (field, address) in [("packets", settings.packets), ("http", settings.http)] {
        if address.ip().is_unspecified() || address.port() == 0 {
            let message = format!("{address} is announced to other processes; use a fixed address");
            return invalid(field, message);
        }
    }
    Ok(document.value)
}
