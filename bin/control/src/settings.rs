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

/// Most replicas of one group; more only make each commit slower.
const MAX_PEERS: usize = 7;

/// Most replicas that may be lost at the same time.
const MAX_TOLERATED: usize = (MAX_PEERS - 1) / 2;

/// Settings file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Replica id, also in `peers`; left out with `group`.
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
    /// Data folder; an observer has none.
    #[serde(default)]
    pub folder: PathBuf,
    /// File with the shared key.
    #[serde(default)]
    pub key_file: Option<PathBuf>,
    /// Name of the deployment, in place of a key file: see [`Key::from_public_name`].
    #[serde(default)]
    pub deployment: Option<Box<str>>,
    /// Every replica of the first membership; left out with `group`.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Seeds of the group, in place of `id`, `peers` and `join`.
    #[serde(default)]
    pub group: Option<Group>,
    /// Size of the files.
    #[serde(default)]
    pub files: Files,
    /// Join a group that exists already.
    #[serde(default)]
    pub join: bool,
    /// Keep no files: the replica joins at each start and never votes.
    #[serde(default)]
    pub observer: bool,
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

/// Group that forms from addresses alone.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Replicas to form the group with, or to ask for a place in it.
    pub seeds: Vec<SocketAddr>,
    /// The group is new: every seed starts now, with an empty folder.
    #[serde(default)]
    pub bootstrap: bool,
    /// Replicas that may be lost at the same time; twice as many and one vote.
    pub tolerated: usize,
}

/// Size of the files.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Files {
    /// Log after which a snapshot is taken.
    pub snapshot: Bytes,
    /// Entries kept before a snapshot for replicas that lag.
    pub tail: u64,
    /// Log in one file.
    pub segment: Bytes,
}

impl Default for Files {
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
    /// Settings of the replica.
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

    /// Key that seals the messages.
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

impl Group {
    /// Ids follow the order of the addresses, so that every seed gives out the same ones.
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

/// Makes the data folder, unless there is none, and checks that it can be written to.
pub fn prepare(folder: &Path) -> Result<(), ControlError> {
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

/// Reads and checks the settings.
///
/// # Errors
/// With the place and the remedy of the first finding.
pub fn load(path: &Path) -> Result<Settings, JsoncError> {
    let document = startup::load::<Settings>(path)?;
    check(&document)?;
    Ok(document.value)
}

fn check_group(document: &Document<Settings>, group: &Group) -> Result<(), JsoncError> {
    let settings = &document.value;
    if settings.id != ReplicaId::default() || !settings.peers.is_empty() || settings.join {
        let message = "id, peers and join follow from the group; remove them";
        return Err(document.invalid("group", message));
    }
    if group.seeds.is_empty() || group.seeds.len() > MAX_PEERS {
        let message = format!("{} seeds; name 1 to {MAX_PEERS}", group.seeds.len());
        return Err(document.invalid("group.seeds", message));
    }
    if group.tolerated > MAX_TOLERATED {
        let message = format!(
            "{} is out of range; use at most {MAX_TOLERATED}",
            group.tolerated
        );
        return Err(document.invalid("group.tolerated", message));
    }
    Ok(())
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
            let message = "a key file is given as well; remove one of both";
            return Err(document.invalid("deployment", message));
        }
        (None, None) => {
            let message = "name the file with the shared key";
            return Err(document.invalid("key_file", message));
        }
        _ => {}
    }
    if let Some(group) = &settings.group {
        return check_group(document, group);
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
