//! Settings of a control replica.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use jsonc::{Document, JsoncError};
use replica::{Peer, ReplicaSettings};
use rpc::{Key, KeyError};
use serde::Deserialize;
use startup::{LogSettings, MetricsSettings};
use units::{Bytes, DataCentre, HostName, Region, ReplicaId};

use crate::error::ControlError;

/// Largest number of replicas in a group; more would only slow down each commit.
const MAX_REPLICAS: usize = 7;

/// Largest number of simultaneous replica failures that a group can tolerate.
const MAX_TOLERATED_FAILURES: usize = (MAX_REPLICAS - 1) / 2;

/// Settings file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Replica id, also listed in `peers`; omitted with `group`.
    #[serde(default)]
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
    /// Data folder; empty for an observer.
    #[serde(default)]
    pub folder: PathBuf,
    /// File with the shared key.
    #[serde(default)]
    pub key_file: Option<PathBuf>,
    /// Name of the deployment, in place of a key file: see [`Key::from_public_name`].
    #[serde(default)]
    pub deployment: Option<Box<str>>,
    /// Every replica of the initial membership; omitted with `group`.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Group that is formed from seed addresses, in place of `id`, `peers` and `join`.
    #[serde(default)]
    pub group: Option<GroupSettings>,
    /// Size limits of the log and snapshot files.
    #[serde(default)]
    pub files: FileSettings,
    /// Join an existing group.
    #[serde(default)]
    pub join: bool,
    /// Store no files: the replica joins the group at each start and never votes.
    #[serde(default)]
    pub observer: bool,
    /// Overrides for addresses of other processes that can't be reached directly.
    #[serde(default)]
    pub routes: Vec<rpc::AddressOverride>,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
    /// Metrics.
    #[serde(default)]
    pub metrics: MetricsSettings,
}

/// Group whose members are derived from seed addresses.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSettings {
    /// Replicas with which to form the group, or from which to request membership.
    pub seeds: Vec<SocketAddr>,
    /// Form a new group: every seed starts now, with an empty data folder.
    #[serde(default)]
    pub bootstrap: bool,
    /// Number `n` of simultaneous replica failures to tolerate; the group has `2n + 1` voters.
    pub tolerated: usize,
}

/// Size limits of the log and snapshot files.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FileSettings {
    /// Log size that triggers a snapshot.
    pub snapshot: Bytes,
    /// Log entries before a snapshot that are kept for lagging replicas.
    pub tail: u64,
    /// Size of a log segment file.
    pub segment: Bytes,
}

impl Default for FileSettings {
    fn default() -> Self {
        let replica = ReplicaSettings::default();
        Self {
            snapshot: Bytes(replica.snapshot_bytes),
            tail: replica.retained_entries,
            segment: Bytes(replica.segment_bytes),
        }
    }
}

impl Settings {
    /// Converts to the settings of the replica.
    #[must_use]
    pub fn replica(&self) -> ReplicaSettings {
        let common = ReplicaSettings {
            id: self.id,
            address: self.listen,
            folder: self.folder.clone(),
            peers: self.peers.clone(),
            join: self.join || self.observer,
            observer: self.observer,
            snapshot_bytes: self.files.snapshot.0,
            retained_entries: self.files.tail,
            segment_bytes: self.files.segment.0,
            ..ReplicaSettings::default()
        };
        match &self.group {
            Some(group) => group.replica(common),
            None => common,
        }
    }

    /// Returns the key that seals messages between processes.
    ///
    /// # Errors
    /// When the key file can't be used.
    pub fn key(&self) -> Result<Key, KeyError> {
        match (&self.key_file, &self.deployment) {
            (Some(file), _) => Key::read(file),
            (None, name) => Ok(Key::from_public_name(name.as_deref().unwrap_or_default())),
        }
    }
}

impl GroupSettings {
    /// Completes the replica settings. Ids are assigned in address order, so that every seed
    /// assigns the same ones.
    fn replica(&self, common: ReplicaSettings) -> ReplicaSettings {
        let mut seeds = self.seeds.clone();
        seeds.sort_unstable();
        seeds.dedup();
        let ids = (1..).map(ReplicaId);
        let peers: Vec<_> = ids
            .zip(seeds)
            .map(|(id, address)| Peer { id, address })
            .collect();
        let own = peers.iter().find(|peer| peer.address == common.address);
        ReplicaSettings {
            id: own.map_or(ReplicaId(peers.len() as u64 + 1), |peer| peer.id),
            join: !self.bootstrap || own.is_none() || common.observer,
            max_voters: Some(2 * self.tolerated + 1),
            peers,
            ..common
        }
    }
}

/// Creates the data folder, if one is set, and checks that it is writable.
pub fn prepare_data_folder(folder: &Path) -> Result<(), ControlError> {
    if folder.as_os_str().is_empty() {
        return Ok(());
    }
    let probe = folder.join(".probe");
    std::fs::create_dir_all(folder)
        .and_then(|()| std::fs::write(&probe, b""))
        .and_then(|()| std::fs::remove_file(&probe))
        .map_err(|source| ControlError::Folder {
            folder: folder.display().to_string().into(),
            source,
        })
}

/// Reads and validates the settings.
///
/// # Errors
/// The first problem found, with its position in the file and how to fix it.
pub fn load(path: &Path) -> Result<Settings, JsoncError> {
    let document = startup::load::<Settings>(path)?;
    validate(&document)?;
    Ok(document.value)
}

fn validate_group(document: &Document<Settings>, group: &GroupSettings) -> Result<(), JsoncError> {
    let settings = &document.value;
    if settings.id != ReplicaId::default() || !settings.peers.is_empty() || settings.join {
        let message = "id, peers and join follow from the group; remove them";
        return Err(document.invalid("group", message));
    }
    if group.seeds.is_empty() || group.seeds.len() > MAX_REPLICAS {
        let message = format!("{} seeds; name 1 to {MAX_REPLICAS}", group.seeds.len());
        return Err(document.invalid("group.seeds", message));
    }
    if group.tolerated > MAX_TOLERATED_FAILURES {
        let message = format!(
            "{} is out of range; use at most {MAX_TOLERATED_FAILURES}",
            group.tolerated
        );
        return Err(document.invalid("group.tolerated", message));
    }
    Ok(())
}

fn validate(document: &Document<Settings>) -> Result<(), JsoncError> {
    let settings = &document.value;
    if settings.listen.port() == 0 || settings.listen.ip().is_unspecified() {
        let message = format!(
            "{} is not an address that the other replicas can reach; give an IP address and port",
            settings.listen
        );
        return Err(document.invalid("listen", message));
    }
    if settings.folder.as_os_str().is_empty() != settings.observer {
        let message = "name a data folder, or set \"observer\" for a replica without files";
        return Err(document.invalid("folder", message));
    }
    if settings.log.level.parse::<slog::Level>().is_err() {
        let message = format!(
            "{:?} is not a level; use debug, info, warning or error",
            settings.log.level
        );
        return Err(document.invalid("log.level", message));
    }
    match (&settings.key_file, &settings.deployment) {
        (Some(_), Some(_)) => {
            let message = "deployment and key_file are both set; remove one of them";
            return Err(document.invalid("deployment", message));
        }
        (None, None) => {
            let message = "name the file with the shared key";
            return Err(document.invalid("key_file", message));
        }
        _ => {}
    }
    if let Some(group) = &settings.group {
        return validate_group(document, group);
    }
    if settings.peers.is_empty() || settings.peers.len() > MAX_REPLICAS {
        let message = format!(
            "{} replicas; name 1 to {MAX_REPLICAS}, this one included",
            settings.peers.len()
        );
        return Err(document.invalid("peers", message));
    }
    let (mut ids, mut addresses) = (BTreeSet::new(), BTreeSet::new());
    for (index, peer) in settings.peers.iter().enumerate() {
        if !ids.insert(peer.id) {
            let message = format!("replica {} is listed twice; remove one", peer.id);
            return Err(document.invalid(&format!("peers[{index}].id"), message));
        }
        if !addresses.insert(peer.address) {
            let message = format!("{} is listed twice; remove one", peer.address);
            return Err(document.invalid(&format!("peers[{index}].address"), message));
        }
    }
    let own = settings.peers.iter().find(|peer| peer.id == settings.id);
    match own {
        Some(peer) if peer.address != settings.listen => {
            let message = format!(
                "replica {} has the address {} in peers; use the same address in both",
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
