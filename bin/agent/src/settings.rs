//! Settings of an agent.

use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};

use jsonc::JsoncError;
use serde::Deserialize;
use startup::{LogSettings, MetricsSettings};
use units::{DataCentre, HostName, Incarnation, Region, ServiceName, Slots, Weight};

/// Largest number of slots.
const MAX_SLOTS: u16 = 1024;

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
    /// Service that the backend server runs.
    pub service: ServiceName,
    /// UDP address for packets.
    pub packets: SocketAddrV4,
    /// TCP address of the HTTP interface.
    pub http: SocketAddrV4,
    /// UDP address of the fabric, for answers.
    pub fabric: SocketAddr,
    /// TCP address of the backend server.
    pub backend: SocketAddr,
    /// Requests that the backend server runs at the same time.
    pub slots: Slots,
    /// Share of new flows.
    #[serde(default)]
    pub weight: Weight,
    /// Control replicas.
    pub control: Vec<SocketAddr>,
    /// File with the shared key.
    pub key_file: PathBuf,
    /// Start of this agent; Unix ms at the start if left out.
    #[serde(default)]
    pub incarnation: Option<Incarnation>,
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

/// Reads and checks the settings.
///
/// # Errors
/// With the place and the remedy of the first finding.
pub fn load(path: &Path) -> Result<Settings, JsoncError> {
    let document = startup::load::<Settings>(path)?;
    let settings = &document.value;
    let error = |field, message: String| Err(document.invalid(field, message));
    if settings.control.is_empty() {
        let message = "name at least one control replica as \"ip:port\"";
        return error("control", message.into());
    }
    let slots = settings.slots.0;
    if slots == 0 || slots > MAX_SLOTS {
        return error(
            "slots",
            format!("{slots} is out of range; use 1 to {MAX_SLOTS}"),
        );
    }
    if settings.weight.0 == 0 {
        return error("weight", "0 takes no flows; use 1 or more".into());
    }
    for (field, address) in [("packets", settings.packets), ("http", settings.http)] {
        if address.ip().is_unspecified() || address.port() == 0 {
            let message = format!("{address} is announced to others; use a fixed address");
            return error(field, message);
        }
    }
    Ok(document.value)
}
