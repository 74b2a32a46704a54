//! Settings of a control replica.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use jsonc::{Document, JsoncError};
use replica::{Peer, ReplicaSettings};
use serde::Deserialize;
use startup::{LogSettings, MetricsSettings};
use units::{DataCentre, HostName, Region, ReplicaId};

/// Most replicas of one group; more only make each commit slower.
const MAX_PEERS: usize = 7;

/// Settings file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Replica id, also in `peers`.
    pub id: ReplicaId,
    /// Host.
    pub host: HostName,
    /// Data centre.
    pub centre: DataCentre,
    /// Region.
    #[serde(default)]
    pub region: Region,
    /// Address for operators, nodes and the other replicas.
    pub listen: SocketAddr,
    /// Data folder.
    pub folder: PathBuf,
    /// File with the shared key.
    pub key_file: PathBuf,
    /// Every replica of the first membership.
    pub peers: Vec<Peer>,
    /// Join a group that exists already.
    #[serde(default)]
    pub join: bool,
    /// Ways to addresses of other processes that can't be reached directly.
    #[serde(default)]
    pub routes: Vec<rpc::Route>,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
    /// Metrics.
    #[serde(default)]
    pub metrics: MetricsSettings,
}

impl Settings {
    /// Settings of the replica.
    #[must_use]
    pub fn replica(&self) -> ReplicaSettings {
        ReplicaSettings {
            id: self.id,
            address: self.listen,
            folder: self.folder.clone(),
            peers: self.peers.clone(),
            join: self.join,
            ..ReplicaSettings::default()
        }
    }
}

/// Reads and checks the settings.
///
/// # Errors
/// With the place and the remedy of the first finding.
pub fn load(path: &Path) -> Result<Settings, JsoncError> {
    let document = startup::load::<Settings>(path)?;
    check(&document)?;
    Ok(document.value)
}

fn check(document: &Document<Settings>) -> Result<(), JsoncError> {
    let settings = &document.value;
    if settings.listen.port() == 0 || settings.listen.ip().is_unspecified() {
        let message = format!(
            "{} is not an address that the other replicas can reach; give an IP address and port",
            settings.listen
        );
        return Err(document.invalid("listen", message));
    }
    if settings.log.level.parse::<slog::Level>().is_err() {
        let message = format!(
            "{:?} is not a level; use debug, info, warning or error",
            settings.log.level
        );
        return Err(document.invalid("log.level", message));
    }
    if settings.peers.is_empty() || settings.peers.len() > MAX_PEERS {
        let message = format!(
            "{} replicas; name 1 to {MAX_PEERS}, this one included",
            settings.peers.len()
        );
        return Err(document.invalid("peers", message));
    }
    let (mut ids, mut addresses) = (BTreeSet::new(), BTreeSet::new());
    for (index, peer) in settings.peers.iter().enumerate() {
        if !ids.insert(peer.id) {
            let message = format!("replica {} stands twice; remove one", peer.id);
            return Err(document.invalid(&format!("peers[{index}].id"), message));
        }
        if !addresses.insert(peer.address) {
            let message = format!("{} stands twice; remove one", peer.address);
            return Err(document.invalid(&format!("peers[{index}].address"), message));
        }
    }
    let own = settings.peers.iter().find(|peer| peer.id == settings.id);
    match own {
        Some(peer) if peer.address != settings.listen => {
            let message = format!(
                "replica {} has the address {} in peers; make both equal",
                settings.id, peer.address
            );
            Err(document.invalid("listen", message))
        }
        None if !settings.join => {
            let message = format!(
                "replica {} is not in peers; add it, or set \"join\" to join a group",
                settings.id
            );
            Err(document.invalid("id", message))
        }
        _ => Ok(()),
    }
}
