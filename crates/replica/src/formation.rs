//! Start of a replica without files, or of one whose group never had a leader.
//!
//! A data folder can be empty because the group is new or because the disk was lost.
//! In the second case the replica may have voted and acknowledged entries that it
//! no longer knows, so it must not act under its old id. Two rules distinguish the
//! cases: a new group elects its first leader only after every replica has files, and
//! a replica forms the group only after every other one has reported that it knows of
//! no election. If one knows of an election, the replica requests a new id from the
//! leader.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use replication::{Config, Entry, Payload, Restored, Vote};
use slog::{Logger, error, info, warn};
use storage::StorageError;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use units::ReplicaId;

use crate::files::Files;
use crate::input::Input;
use crate::messages::{FormationStatus, PeerReply, PeerRequest};
use crate::peers::send_request;
use crate::{Peer, ProposeError, ReplicaSettings};

/// Time between rounds of probes or join requests.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum wait for the reply to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Term of the entry with the initial membership; the first election is in the next term.
pub(crate) const FIRST_TERM: u64 = 1;

/// Result of [`Formation::run`].
pub(crate) enum FormationOutcome {
    /// The replica takes part under this id.
    Run(ReplicaId, Restored),
    /// A stop was requested.
    Stop(tokio::sync::oneshot::Sender<()>),
    /// All handles were dropped.
    Dropped,
}

/// Replica that does not take part in a group yet.
pub(crate) struct Formation<'a> {
    pub(crate) settings: &'a ReplicaSettings,
    pub(crate) client: &'a rpc::Client,
    pub(crate) log: &'a Logger,
    pub(crate) inputs: &'a mut mpsc::Receiver<Input>,
    pub(crate) files: &'a mut Files,
    /// Initial membership, sorted by id; observers are removed once they are known.
    pub(crate) peers: Vec<Peer>,
}

/// Initial membership including this replica, sorted by id.
pub(crate) fn initial_members(settings: &ReplicaSettings) -> Vec<Peer> {
    let local = Peer {
        id: settings.id,
        address: settings.address,
    };
    let all = settings.peers.iter().copied().chain([local]);
    let members: BTreeMap<ReplicaId, SocketAddr> = all.map(|p| (p.id, p.address)).collect();
    members
        .into_iter()
        .map(|(id, address)| Peer { id, address })
        .collect()
}

/// Whether the group may never have had a leader, according to the files.
pub(crate) fn is_unelected(restored: &Restored) -> bool {
    let entries = &restored.entries;
    restored.vote.term == FIRST_TERM && restored.snapshot.is_none() && entries.len() <= 1
}

impl Formation<'_> {
    /// Runs until the replica can take part.
    pub(crate) async fn run(
        mut self,
        mut restored: Option<(ReplicaId, Restored)>,
    ) -> FormationOutcome {
        if let Some((id, known)) = restored.take_if(|(_, known)| !is_unelected(known)) {
            return FormationOutcome::Run(id, known);
        }
        if self.settings.join && restored.is_none() {
            return self.join().await;
        }
        // Without the first entry, a crash interrupted the formation, which starts again.
        let mut first = restored.filter(|(_, known)| !known.entries.is_empty());
        loop {
            let formed = first.is_some();
            let status = FormationStatus {
                term: if formed { FIRST_TERM } else { 0 },
                formed,
                ready: false,
                observer: false,
                peers: initial_members(self.settings),
            };
            let statuses = match self.probe_peers(&status).await {
                Ok(statuses) => statuses,
                Err(outcome) => return outcome,
            };
            if self.remove_observers(&statuses) {
                continue;
            }
            let statuses: Vec<_> = statuses.into_iter().map(|(_, status)| status).collect();
            let is_elected = statuses.iter().any(|s| s.term > FIRST_TERM);
            if is_elected && !formed {
                warn!(self.log, "the group exists but this replica's data folder is empty; \
                    joining as a learner under a new id"; "old_id" => %self.settings.id);
                return self.join().await;
            }
            if statuses.iter().any(|s| s.formed && s.peers != status.peers) {
                warn!(
                    self.log,
                    "another replica has a different list of peers; \
                    configure the same list on all replicas of a new group"
                );
            } else if formed {
                let all_replied = statuses.len() + 1 == self.peers.len();
                if is_elected
                    || statuses.iter().any(|s| s.ready)
                    || all_replied && statuses.iter().all(|s| s.formed)
                {
                    return first.map_or(FormationOutcome::Dropped, |(id, known)| {
                        FormationOutcome::Run(id, known)
                    });
                }
            } else if statuses.len() + 1 == self.peers.len() {
                first = self.try_write(Self::write_initial_state);
            }
            if let Err(outcome) = self
                .serve_while(Some(&status), tokio::time::sleep(RETRY_INTERVAL))
                .await
            {
                return outcome;
            }
        }
    }

    /// Removes the observers from the initial membership; returns whether there were any.
    fn remove_observers(&mut self, statuses: &[(SocketAddr, FormationStatus)]) -> bool {
        let is_observer = |peer: &Peer| {
            let mut statuses = statuses.iter();
            statuses.any(|(address, s)| *address == peer.address && s.observer)
        };
        let previous_count = self.peers.len();
        self.peers.retain(|peer| !is_observer(peer));
        previous_count > self.peers.len()
    }

    /// State with the entry of the initial membership, identical on each replica.
    fn initial_state(&self) -> Restored {
        let members = self.peers.iter().map(|p| (p.id, p.address));
        let payload = Payload::Config(Config::new(members));
        let entries = vec![Entry {
            term: FIRST_TERM,
            index: 1,
            payload,
        }];
        let vote = Vote {
            term: FIRST_TERM,
            voted_for: None,
        };
        Restored {
            vote,
            entries,
            ..Restored::default()
        }
    }

    /// Runs a step that writes files. Logs an error and returns `None`; the caller repeats
    /// the step later.
    fn try_write<T>(&mut self, step: impl Fn(&mut Self) -> Result<T, StorageError>) -> Option<T> {
        match step(self) {
            Ok(value) => Some(value),
            Err(cause) => {
                error!(self.log, "cannot write the replica's initial files; retrying"; "error" => %cause);
                None
            }
        }
    }

    /// Writes the initial state, which forms a new group.
    fn write_initial_state(&mut self) -> Result<(ReplicaId, Restored), StorageError> {
        let (id, initial) = (self.settings.id, self.initial_state());
        self.files.save_vote(id, initial.vote)?;
        initial
            .entries
            .iter()
            .try_for_each(|e| self.files.append(e, 0))?;
        self.files.sync()?;
        info!(self.log, "formed a new group"; "replicas" => self.peers.len());
        Ok((id, initial))
    }

    /// Requests the formation status of all other replicas.
    async fn probe_peers(
        &mut self,
        status: &FormationStatus,
    ) -> Result<Vec<(SocketAddr, FormationStatus)>, FormationOutcome> {
        let mut probes = JoinSet::new();
        for peer in self.peers.iter().filter(|p| p.id != self.settings.id) {
            let (client, address) = (self.client.clone(), peer.address);
            probes.spawn(async move {
                let reply =
                    send_request(&client, address, &PeerRequest::Probe, PROBE_TIMEOUT).await;
                (address, reply)
            });
        }
        let all_replies = async {
            let mut statuses = Vec::new();
            while let Some(reply) = probes.join_next().await {
                if let Ok((address, Ok(PeerReply::State(status)))) = reply {
                    statuses.push((address, status));
                }
            }
            statuses
        };
        self.serve_while(Some(status), all_replies).await
    }

    /// Requests a new id from the leader until it is assigned.
    async fn join(&mut self) -> FormationOutcome {
        let local_address = self.settings.address;
        let peer_addresses: Vec<_> = self.settings.peers.iter().map(|p| p.address).collect();
        let timeout = self.settings.propose_timeout + PROBE_TIMEOUT;
        // Replicas that form the group need to know that this one is an observer, so that
        // they don't wait for it.
        let status = self.settings.observer.then(|| FormationStatus {
            term: 0,
            formed: false,
            ready: false,
            observer: true,
            peers: initial_members(self.settings),
        });
        let mut leader_hint = None;
        for attempt in 0.. {
            let others: Vec<_> = peer_addresses
                .iter()
                .copied()
                .filter(|a| *a != local_address)
                .collect();
            let next = others.get(attempt % others.len().max(1)).copied();
            if let Some(address) = leader_hint.take().or(next) {
                let client = self.client.clone();
                let request = PeerRequest::Join {
                    address: local_address,
                    observer: self.settings.observer,
                };
                let reply = async move { send_request(&client, address, &request, timeout).await };
                match self.serve_while(status.as_ref(), reply).await {
                    Ok(Ok(PeerReply::Joined { id })) => {
                        if let Some(outcome) = self.try_write(|formation| formation.save_new_id(id))
                        {
                            return outcome;
                        }
                    }
                    Ok(Ok(PeerReply::NotLeader { leader })) => {
                        leader_hint = leader.filter(|l| *l != local_address)
                    }
                    Ok(_) => {}
                    Err(outcome) => return outcome,
                }
            }
            let pause = tokio::time::sleep(RETRY_INTERVAL);
            if let Err(outcome) = self.serve_while(status.as_ref(), pause).await {
                return outcome;
            }
        }
        FormationOutcome::Dropped
    }

    /// Stores the id that the leader has assigned.
    fn save_new_id(&mut self, id: ReplicaId) -> Result<FormationOutcome, StorageError> {
        self.files.save_vote(id, Vote::default())?;
        info!(self.log, "joined the group as a learner"; "id" => %id);
        Ok(FormationOutcome::Run(id, Restored::default()))
    }

    /// Waits for a future while replying to probes with `status`, if given, and rejecting
    /// other requests.
    async fn serve_while<T>(
        &mut self,
        status: Option<&FormationStatus>,
        work: impl Future<Output = T>,
    ) -> Result<T, FormationOutcome> {
        tokio::pin!(work);
        loop {
            let input = tokio::select! {
                result = &mut work => return Ok(result),
                input = self.inputs.recv() => input,
            };
            match (input, status) {
                (None, _) => return Err(FormationOutcome::Dropped),
                (Some(Input::Stop(reply)), _) => return Err(FormationOutcome::Stop(reply)),
                (Some(Input::Peer(PeerRequest::Probe, Some(reply))), Some(status)) => {
                    // If the peer has given up, it sends the probe again.
                    let _ = reply.send(PeerReply::State(status.clone()));
                }
                (Some(other), _) => other.reject(ProposeError::NotLeader { leader: None }),
            }
        }
    }
}
