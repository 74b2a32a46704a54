//! First steps of a replica without files, or whose group never had a leader.
//!
//! A folder can be empty because the group is new or because the disk was lost.
//! In the second case the replica may have voted and acknowledged entries that it
//! no longer knows, so it must not act under its old id. To tell the cases apart:
//! a new group elects its first leader only after every replica has files, and a
//! replica forms the group only after every other one said that it has not seen
//! an election. If any has, the replica asks the leader for a new id.

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
use crate::peers::call;
use crate::wire::{Answer, Standing, Wire};
use crate::{Peer, ProposeError, ReplicaSettings};

/// Time between rounds of questions.
const PAUSE: Duration = Duration::from_millis(100);

/// Longest wait for an answer to a question.
const LIMIT: Duration = Duration::from_secs(1);

/// Term of the first membership; elections begin with the next one.
pub(crate) const FIRST_TERM: u64 = 1;

/// How a replica starts.
pub(crate) enum Start {
    /// Takes part.
    Run(ReplicaId, Restored),
    /// Stop was requested.
    Stop(tokio::sync::oneshot::Sender<()>),
    /// All handles were dropped.
    Dropped,
}

/// Replica that does not take part yet.
pub(crate) struct Forming<'a> {
    pub(crate) settings: &'a ReplicaSettings,
    pub(crate) client: &'a rpc::Client,
    pub(crate) log: &'a Logger,
    pub(crate) inputs: &'a mut mpsc::Receiver<Input>,
    pub(crate) files: &'a mut Files,
    /// First membership, by id; without observers once they are known.
    pub(crate) peers: Vec<Peer>,
}

/// First membership by id, with the replica itself.
pub(crate) fn first_members(settings: &ReplicaSettings) -> Vec<Peer> {
    let own = Peer {
        id: settings.id,
        address: settings.address,
    };
    let all = settings.peers.iter().copied().chain([own]);
    let members: BTreeMap<ReplicaId, SocketAddr> = all.map(|p| (p.id, p.address)).collect();
    members
        .into_iter()
        .map(|(id, address)| Peer { id, address })
        .collect()
}

/// Whether the group of these files may never have had a leader.
pub(crate) fn is_new(restored: &Restored) -> bool {
    let entries = &restored.entries;
    restored.vote.term == FIRST_TERM && restored.snapshot.is_none() && entries.len() <= 1
}

impl Forming<'_> {
    /// Runs until the replica can take part.
    pub(crate) async fn run(mut self, mut restored: Option<(ReplicaId, Restored)>) -> Start {
        if let Some((id, known)) = restored.take_if(|(_, known)| !is_new(known)) {
            return Start::Run(id, known);
        }
        if self.settings.join && restored.is_none() {
            return self.join().await;
        }
        // Without the first entry, a crash interrupted the forming.
        let mut first = restored.filter(|(_, known)| !known.entries.is_empty());
        loop {
            let formed = first.is_some();
            let standing = Standing {
                term: if formed { FIRST_TERM } else { 0 },
                formed,
                ready: false,
                observer: false,
                peers: first_members(self.settings),
            };
            let answers = match self.ask(&standing).await {
                Ok(answers) => answers,
                Err(start) => return start,
            };
            if self.leave_out(&answers) {
                continue;
            }
            let answers: Vec<_> = answers.into_iter().map(|(_, answer)| answer).collect();
            let elected = answers.iter().any(|a| a.term > FIRST_TERM);
            if elected && !formed {
                warn!(self.log, "the group exists but this replica's folder is empty; \
                    joining as a learner under a new id"; "old_id" => %self.settings.id);
                return self.join().await;
            }
            if answers
                .iter()
                .any(|a| a.formed && a.peers != standing.peers)
            {
                warn!(
                    self.log,
                    "another replica was started with other peers; \
                    give all replicas of a new group the same list"
                );
            } else if formed {
                let all = answers.len() + 1 == self.peers.len();
                if elected
                    || answers.iter().any(|a| a.ready)
                    || all && answers.iter().all(|a| a.formed)
                {
                    return first.map_or(Start::Dropped, |(id, known)| Start::Run(id, known));
                }
            } else if answers.len() + 1 == self.peers.len() {
                first = self.try_write(Self::form);
            }
            if let Err(start) = self.serve(Some(&standing), tokio::time::sleep(PAUSE)).await {
                return start;
            }
        }
    }

    /// Forms the group without the peers that keep nothing; whether there were any.
    fn leave_out(&mut self, answers: &[(SocketAddr, Standing)]) -> bool {
        let observes = |peer: &Peer| {
            let mut answers = answers.iter();
            answers.any(|(address, a)| *address == peer.address && a.observer)
        };
        let before = self.peers.len();
        self.peers.retain(|peer| !observes(peer));
        before > self.peers.len()
    }

    fn first_state(&self) -> Restored {
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

    /// Writes files; a failure is reported and the step tried again later.
    fn try_write<T>(&mut self, step: impl Fn(&mut Self) -> Result<T, StorageError>) -> Option<T> {
        match step(self) {
            Ok(value) => Some(value),
            Err(cause) => {
                error!(self.log, "cannot write the replica's first files"; "error" => %cause);
                None
            }
        }
    }

    /// Writes the first membership; the same at each replica.
    fn form(&mut self) -> Result<(ReplicaId, Restored), StorageError> {
        let (id, first) = (self.settings.id, self.first_state());
        self.files.vote(id, first.vote)?;
        first
            .entries
            .iter()
            .try_for_each(|e| self.files.append(e, 0))?;
        self.files.sync()?;
        info!(self.log, "formed a new group"; "replicas" => self.peers.len());
        Ok((id, first))
    }

    /// Asks all other replicas how far they are.
    async fn ask(&mut self, standing: &Standing) -> Result<Vec<(SocketAddr, Standing)>, Start> {
        let mut calls = JoinSet::new();
        for peer in self.peers.iter().filter(|p| p.id != self.settings.id) {
            let (client, address) = (self.client.clone(), peer.address);
            calls.spawn(async move {
                let answer = call(&client, address, &Wire::Probe, LIMIT).await;
                (address, answer)
            });
        }
        let all = async {
            let mut answers = Vec::new();
            while let Some(answer) = calls.join_next().await {
                if let Ok((address, Ok(Answer::State(standing)))) = answer {
                    answers.push((address, standing));
                }
            }
            answers
        };
        self.serve(Some(standing), all).await
    }

    /// Asks the leader for a new id.
    async fn join(&mut self) -> Start {
        let own = self.settings.address;
        let known: Vec<_> = self.settings.peers.iter().map(|p| p.address).collect();
        let limit = self.settings.propose_timeout + LIMIT;
        // Replicas that form the group need to know that they must not wait for this one.
        let standing = self.settings.observer.then(|| Standing {
            term: 0,
            formed: false,
            ready: false,
            observer: true,
            peers: first_members(self.settings),
        });
        let mut hint = None;
        for turn in 0.. {
            let others: Vec<_> = known.iter().copied().filter(|a| *a != own).collect();
            let next = others.get(turn % others.len().max(1)).copied();
            if let Some(address) = hint.take().or(next) {
                let client = self.client.clone();
                let wire = Wire::Join {
                    address: own,
                    observer: self.settings.observer,
                };
                let request = async move { call(&client, address, &wire, limit).await };
                match self.serve(standing.as_ref(), request).await {
                    Ok(Ok(Answer::Joined { id })) => {
                        if let Some(start) = self.try_write(|forming| forming.joined(id)) {
                            return start;
                        }
                    }
                    Ok(Ok(Answer::NotLeader { leader })) => hint = leader.filter(|l| *l != own),
                    Ok(_) => {}
                    Err(start) => return start,
                }
            }
            let pause = tokio::time::sleep(PAUSE);
            if let Err(start) = self.serve(standing.as_ref(), pause).await {
                return start;
            }
        }
        Start::Dropped
    }

    fn joined(&mut self, id: ReplicaId) -> Result<Start, StorageError> {
        self.files.vote(id, Vote::default())?;
        info!(self.log, "joined the group as a learner"; "id" => %id);
        Ok(Start::Run(id, Restored::default()))
    }

    /// Waits for something and answers requests meanwhile.
    async fn serve<T>(
        &mut self,
        standing: Option<&Standing>,
        work: impl Future<Output = T>,
    ) -> Result<T, Start> {
        tokio::pin!(work);
        loop {
            let input = tokio::select! {
                result = &mut work => return Ok(result),
                input = self.inputs.recv() => input,
            };
            match (input, standing) {
                (None, _) => return Err(Start::Dropped),
                (Some(Input::Stop(reply)), _) => return Err(Start::Stop(reply)),
                (Some(Input::Wire(Wire::Probe, Some(reply))), Some(standing)) => {
                    // The asker repeats the question if it has gone away.
                    let _ = reply.send(Answer::State(standing.clone()));
                }
                (Some(other), _) => other.refuse(ProposeError::NotLeader { leader: None }),
            }
        }
    }
}
