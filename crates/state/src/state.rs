//! Replicated state and its transitions.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

use api::{Announce, AuditEntry, AuditEvent, BurnBatch, KeyMember, KeySet, Table};
use burn::Ledger;
use profile::Protocol;
use serde::{Deserialize, Serialize};
use units::{HostName, Incarnation, Millis, ProfileName, ServiceId, ServiceName, Version};
use xxhash_rust::xxh3::xxh3_64;

use crate::audit::Audit;
use crate::declare::{ChangeRequest, ProfileEntry};
use crate::key_log::KeyLog;
use crate::outcomes::Outcomes;
use crate::routes::{AcceptedDeployment, RouteEntry};
use crate::table_log::TableLog;
use crate::{Action, Command, Outcome, Plan, ServiceEntry, StateError, TableChange};

/// Version of the snapshot format.
const SNAPSHOT_FORMAT: u8 = 1;

/// Time in ms for which a key set is kept beyond the key window, to allow for clock skew.
const KEY_CLOCK_MARGIN_MS: u64 = 60_000;

/// Author of audit entries that no operator caused.
const SYSTEM_AUTHOR: &str = "control";

/// Complete replicated state of control.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    pub(crate) index: u64,
    /// Index of the last command that may change a node's view.
    #[serde(rename = "news")]
    change_index: u64,
    /// Newest time of a command; never decreases.
    pub(crate) now: Millis,
    pub(crate) config: Version,
    pub(crate) in_force: Version,
    pub(crate) profiles: BTreeMap<ProfileName, ProfileEntry>,
    pub(crate) services: BTreeMap<ServiceName, ServiceEntry>,
    pub(crate) last_service: u32,
    pub(crate) tables: BTreeMap<ServiceId, TableLog>,
    pub(crate) keys: BTreeMap<ServiceId, KeyLog>,
    /// Retired services with the log index of their retirement, oldest first.
    pub(crate) retired: VecDeque<(u64, ServiceId)>,
    /// Log index of the newest entry pruned from `retired` or `dropped`.
    #[serde(rename = "forgotten")]
    pub(crate) pruned_index: u64,
    #[serde(default)]
    pub(crate) routes: BTreeMap<SocketAddrV4, RouteEntry>,
    /// Addresses of dropped routes with the log index of the change, oldest first.
    #[serde(default)]
    pub(crate) dropped: VecDeque<(u64, SocketAddrV4)>,
    /// Newest complete configuration.
    #[serde(rename = "replaced", default)]
    pub(crate) deployment: Option<AcceptedDeployment>,
    pub(crate) horizon: Millis,
    pub(crate) plans: BTreeMap<u64, Plan>,
    pub(crate) last_plan: u64,
    #[serde(rename = "answers")]
    pub(crate) outcomes: Outcomes,
    pub(crate) audit: Audit,
    pub(crate) burn: Ledger,
}

impl State {
    /// Applies a command of the log; returns the encoded [`Outcome`].
    ///
    /// A command whose index was already applied has no effect.
    pub fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        if index <= self.index {
            return Outcome::Done.encode();
        }
        self.index = index;
        match Command::decode(command) {
            Ok(command) => {
                let outcome = self.execute(&command);
                if affects_nodes(&command.action) {
                    self.change_index = index;
                }
                outcome.encode()
            }
            Err(e) => Outcome::invalid(e.to_string()).encode(),
        }
    }

    fn execute(&mut self, command: &Command) -> Outcome {
        self.now = self.now.max(command.proposed_at);
        match &command.action {
            Action::Put {
                expected,
                key,
                author,
                body,
            } => {
                let digest = request_digest(&(expected, author, body));
                self.run_once(key, digest, |state| state.put(*expected, author, body))
            }
            Action::Retire {
                kind,
                name,
                expected,
                key,
                author,
            } => {
                let request = ChangeRequest {
                    kind,
                    name,
                    expected: *expected,
                    author,
                };
                let digest = request_digest(&(kind, name, expected, author));
                self.run_once(key, digest, |state| state.retire(&request))
            }
            Action::Replace { author, deployment } => self.replace(author, deployment),
            Action::Announce(request) => self.announce_once(request),
            Action::Members(changes) => self.change_members(changes),
            Action::KeySet { service, members } => self.add_key_set(*service, members),
            Action::Horizon(until) => {
                self.horizon = self.horizon.max(*until);
                Outcome::Done
            }
            Action::InForce {
                version,
                nodes,
                missing,
            } => self.set_in_force(*version, *nodes, missing),
            Action::Burn(batches) => self.add_burn(batches),
        }
    }

    /// Runs an operator's request and stores its outcome, unless the key was used before.
    fn run_once(
        &mut self,
        key: &str,
        digest: u64,
        run: impl FnOnce(&mut Self) -> Outcome,
    ) -> Outcome {
        match self.outcomes.check(self.now, key, digest) {
            Ok(key) => {
                let outcome = run(self);
                self.outcomes.insert(key, digest, outcome.clone());
                outcome
            }
            Err(outcome) => *outcome,
        }
    }

    fn announce_once(&mut self, request: &Announce) -> Outcome {
        let parts = (&request.target, request.start, request.end, &request.author);
        self.run_once(&request.key, request_digest(&parts), |state| {
            state.announce(request)
        })
    }

    fn change_members(&mut self, changes: &[TableChange]) -> Outcome {
        for change in changes {
            let applied = self
                .tables
                .get_mut(&change.service)
                .and_then(|log| log.apply(self.now, self.index, change));
            let Some(applied) = applied else { continue };
            let put = applied.put.iter().map(|m| (&m.host, m.state.to_string()));
            let gone = applied.gone.iter().map(|(host, _)| (host, "gone".into()));
            for (host, state) in put.chain(gone).collect::<Vec<_>>() {
                let event = AuditEvent::Member {
                    host: host.clone(),
                    state: state.into(),
                };
                self.record(SYSTEM_AUTHOR, Version(0), event);
            }
        }
        Outcome::Done
    }

    fn add_key_set(&mut self, service: ServiceId, members: &[KeyMember]) -> Outcome {
        let Some(entry) = self.services.values().find(|entry| entry.id == service) else {
            return Outcome::unknown(format!("service id {service} does not exist"));
        };
        let profile = self.profiles.get(&entry.body.profile);
        let window = profile.map_or(Millis(0), |entry| entry.body.keys.window_ms);
        let before = self.now.since(Millis(window.0 + KEY_CLOCK_MARGIN_MS));
        let log = self.keys.entry(service).or_default();
        log.add(self.horizon, self.index, members);
        log.prune(before);
        Outcome::Done
    }

    fn set_in_force(&mut self, version: Version, nodes: u32, missing: &[HostName]) -> Outcome {
        if version > self.in_force && version <= self.config {
            self.in_force = version;
            let missing = missing.to_vec();
            self.record(
                SYSTEM_AUTHOR,
                version,
                AuditEvent::InForce { nodes, missing },
            );
        }
        Outcome::Done
    }

    fn add_burn(&mut self, batches: &[BurnBatch]) -> Outcome {
        let mut numbers = Vec::new();
        for batch in batches {
            let service = self.services.get(&batch.service).map(|entry| entry.id);
            numbers.push(service.map(|id| self.burn.add(self.now, id, batch)));
        }
        Outcome::Burn(numbers)
    }

    pub(crate) fn record(&mut self, author: &str, version: Version, event: AuditEvent) {
        self.audit.add(AuditEntry {
            at: self.now,
            author: author.into(),
            version,
            event,
        });
    }

    /// Encodes the complete state.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        let mut raw = vec![SNAPSHOT_FORMAT];
        raw.extend(rmp_serde::to_vec_named(self).unwrap_or_default());
        raw
    }

    /// Replaces the state with a snapshot; an error leaves it unchanged.
    ///
    /// # Errors
    /// When the bytes are not a snapshot of this format.
    pub fn restore(&mut self, raw: &[u8]) -> Result<(), StateError> {
        let known = SNAPSHOT_FORMAT;
        let (&found, body) = raw
            .split_first()
            .ok_or_else(|| StateError::Snapshot("it is empty".into()))?;
        if found != known {
            return Err(StateError::Format { found, known });
        }
        *self =
            rmp_serde::from_slice(body).map_err(|e| StateError::Snapshot(e.to_string().into()))?;
        Ok(())
    }

    /// Index of the last applied command.
    #[must_use]
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Index of the last command that may change the reply to a long poll.
    #[must_use]
    pub fn change_index(&self) -> u64 {
        self.change_index
    }

    /// Newest time of a command.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Newest configuration version.
    #[must_use]
    pub fn config(&self) -> Version {
        self.config
    }

    /// Newest configuration version that was in force at every live node.
    #[must_use]
    pub fn in_force(&self) -> Version {
        self.in_force
    }

    /// Key time up to which the key sets are final.
    #[must_use]
    pub fn horizon(&self) -> Millis {
        self.horizon
    }

    /// A service by name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceEntry> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceEntry> {
        self.services.values()
    }

    /// All member tables.
    pub fn tables(&self) -> impl Iterator<Item = &Table> {
        self.tables.values().map(|log| &log.table)
    }

    /// Member table of a service.
    #[must_use]
    pub fn table(&self, service: ServiceId) -> Option<&Table> {
        self.tables.get(&service).map(|log| &log.table)
    }

    /// Highest known incarnation of a host in a service, including hosts that left.
    #[must_use]
    pub fn highest_incarnation(&self, service: ServiceId, host: &HostName) -> Option<Incarnation> {
        self.tables.get(&service)?.highest_incarnation(host)
    }

    /// Whether agents of a service store idempotency keys.
    #[must_use]
    pub fn stores_keys(&self, service: ServiceId) -> bool {
        let entry = self.services.values().find(|entry| entry.id == service);
        let profile = entry.and_then(|entry| self.profiles.get(&entry.body.profile));
        profile.is_some_and(|profile| profile.body.protocol != Protocol::Opaque)
    }

    /// Newest key set of a service.
    #[must_use]
    pub fn latest_key_set(&self, service: ServiceId) -> Option<&KeySet> {
        self.keys.get(&service)?.last()
    }
}

/// Hash that distinguishes requests with the same operator key.
fn request_digest<T: Serialize>(request: &T) -> u64 {
    xxh3_64(&rmp_serde::to_vec_named(request).unwrap_or_default())
}

/// Whether an action may change a node's view. Counts from agents arrive four times per second and
/// must not complete every long poll.
fn affects_nodes(action: &Action) -> bool {
    match action {
        Action::Burn(_) | Action::InForce { .. } | Action::Announce(_) => false,
        Action::Put { .. }
        | Action::Retire { .. }
        | Action::Replace { .. }
        | Action::Members(_)
        | Action::KeySet { .. }
        | Action::Horizon(_) => true,
    }
}
