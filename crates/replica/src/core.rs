//! Task of a replica: events in, actions out.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Instant;

use replication::{
    Action, Body, Command, Event, MemberKind, MembershipChange, Message, Payload, ReplicaState,
    RoleName, StorageWrite,
};
use slog::{Logger, crit, info, warn};
use tokio::sync::{mpsc, oneshot, watch};
use units::ReplicaId;

use crate::disk::{Disk, Job};
use crate::files::Files;
use crate::form::FIRST_TERM;
use crate::input::{Input, Reply, reason};
use crate::peers::Peers;
use crate::waiters::{Waiter, Waiters};
use crate::wire::{Answer, Standing, Wire};
use crate::work::{Done, Task, Worker};
use crate::{Machine, Peer, PeerStatus, ProposeError, ReplicaSettings, ReplicaStatus, Role};

/// Requests that are handled together, so that they share a write and a message.
const BATCH: usize = 512;

/// Messages that may wait for a write while the disk does not respond; more are
/// dropped, the protocol repeats them.
const HELD: usize = 4096;

/// Name of a message that decides who leads.
fn election(body: &Body) -> Option<&'static str> {
    match body {
        Body::PreVote { .. } => Some("asked whether it would vote"),
        Body::PreVoteReply { granted: true } => Some("a vote would be given"),
        Body::PreVoteReply { granted: false } => Some("a vote would be denied"),
        Body::Vote { .. } => Some("asked for its vote"),
        Body::VoteReply { granted: true } => Some("vote received"),
        Body::VoteReply { granted: false } => Some("vote denied"),
        Body::TakeOver => Some("asked to take over"),
        Body::Removed { .. } => Some("told of its removal"),
        _ => None,
    }
}

/// Task of a replica.
pub(crate) struct Core {
    pub(crate) settings: ReplicaSettings,
    pub(crate) log: Logger,
    pub(crate) state: ReplicaState,
    pub(crate) inputs: mpsc::Receiver<Input>,
    pub(crate) done: mpsc::UnboundedReceiver<Done>,
    pub(crate) disk: Disk,
    pub(crate) worker: Worker,
    pub(crate) peers: Peers,
    pub(crate) status: watch::Sender<ReplicaStatus>,
    pub(crate) progress: Progress,
}

/// What is left of a replica that its group has removed.
pub(crate) struct Removed {
    pub(crate) inputs: mpsc::Receiver<Input>,
    pub(crate) status: watch::Sender<ReplicaStatus>,
    pub(crate) files: Files,
    pub(crate) machine: Machine,
    /// Last entry that the state machine has applied; committed, so it stays as it is.
    pub(crate) applied: u64,
}

/// What the task keeps besides the state.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    waiters: Waiters,
    transfer: Option<Reply<()>>,
    stop: Option<oneshot::Sender<()>>,
    /// Messages that wait for a write.
    held: Vec<(u64, ReplicaId, Message)>,
    synced: u64,
    /// Last index that was handed to the state machine, and last one applied.
    handed: u64,
    applied: u64,
    /// Index of the last snapshot, and log bytes since.
    snapshot: u64,
    bytes: u64,
    is_encoding: bool,
    fault: Option<Box<str>>,
    /// Address and last contact of senders.
    contacts: HashMap<ReplicaId, (SocketAddr, Instant)>,
    is_broken: bool,
    /// The group has removed this replica.
    is_removed: bool,
}

impl Progress {
    /// After a start from a snapshot, with a state machine that has applied the entries up to an
    /// index.
    pub(crate) fn after(snapshot: u64, applied: u64) -> Self {
        Self {
            handed: applied,
            applied,
            snapshot,
            ..Self::default()
        }
    }
}

/// Requests that are handled together.
#[derive(Default)]
struct Batch {
    commands: Vec<(u64, Command)>,
    reads: Vec<Reply<()>>,
}

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

impl Core {
    /// Runs until the replica is stopped, or removed by its group.
    pub(crate) async fn run(mut self) -> Option<Removed> {
        self.apply(self.state.commit_index());
        self.update();
        while self.progress.stop.is_none() && !self.progress.is_broken {
            if self.progress.is_removed {
                return self.removed().await;
            }
            let due = self.state.deadline().into();
            tokio::select! {
                Some(done) = self.done.recv() => self.finish(done),
                input = self.inputs.recv() => match input {
                    Some(input) => self.take(input),
                    None => break,
                },
                () = tokio::time::sleep_until(due) => {}
            }
            while let Ok(done) = self.done.try_recv() {
                self.finish(done);
            }
            self.handle(Event::Tick);
            self.take_snapshot();
            self.update();
        }
        // Requests that still wait were never accepted.
        self.inputs.close();
        while let Ok(input) = self.inputs.try_recv() {
            let reason = "the replica has stopped".into();
            input.refuse(ProposeError::Refused { reason });
        }
        self.peers.retain(|_| false);
        self.done.close();
        drop(self.disk.stop().await);
        self.worker.stop().await;
        if let Some(reply) = self.progress.stop {
            // The caller of `stop` may have gone away.
            let _ = reply.send(());
        }
        None
    }

    /// Gives back what a replica under a new id needs; callers that wait learn that their outcome
    /// is unknown.
    async fn removed(mut self) -> Option<Removed> {
        warn!(
            self.log,
            "the group has removed this replica; joining it again under a new id"
        );
        self.peers.retain(|_| false);
        self.done.close();
        let files = self.disk.stop().await?;
        let machine = self.worker.stop().await?;
        Some(Removed {
            applied: self.progress.handed,
            inputs: self.inputs,
            status: self.status,
            files,
            machine,
        })
    }

    /// Handles a request and those that wait behind it.
    fn take(&mut self, first: Input) {
        let mut batch = Batch::default();
        self.accept(first, &mut batch);
        for _ in 1..BATCH {
            match self.inputs.try_recv() {
                Ok(input) => self.accept(input, &mut batch),
                Err(_) => break,
            }
        }
        if !batch.commands.is_empty() {
            self.handle(Event::Propose(batch.commands));
        }
        if !batch.reads.is_empty() {
            let token = self.progress.waiters.add_reads(batch.reads);
            self.handle(Event::Read { token });
        }
    }

    fn accept(&mut self, input: Input, batch: &mut Batch) {
        match input {
            Input::Wire(wire, reply) => self.receive(wire, reply),
            Input::Propose(command, reply) => {
                if let Some(error) = self.refusal(batch.commands.len()) {
                    return drop(reply.send(Err(error)));
                }
                let token = self.progress.waiters.add(Waiter::Propose(reply));
                batch.commands.push((token, command.into()));
            }
            Input::Confirm(reply) => batch.reads.push(reply),
            Input::Change(change, reply) => self.change(change, Waiter::Change(reply)),
            Input::Transfer(reply) => {
                let waiting = self.progress.transfer.replace(reply);
                drop(waiting);
                self.handle(Event::Transfer { token: 0 });
            }
            Input::Stop(reply) => self.progress.stop = Some(reply),
        }
    }

    /// Why no command is accepted at the moment.
    fn refusal(&mut self, waiting: usize) -> Option<ProposeError> {
        if self.state.role() != RoleName::Leader {
            return Some(self.not_leader());
        }
        let limit = self.settings.max_pending;
        let full = self.progress.waiters.count(limit) + waiting >= limit;
        full.then(|| {
            let reason = format!("{limit} commands are waiting; try again later").into();
            ProposeError::Refused { reason }
        })
    }

    fn not_leader(&self) -> ProposeError {
        let leader = self.state.leader().filter(|id| *id != self.state.id());
        match (leader, &self.progress.fault) {
            (None, Some(fault)) => ProposeError::Refused {
                reason: fault.clone(),
            },
            _ => {
                let leader = leader.and_then(|id| self.address(id));
                ProposeError::NotLeader { leader }
            }
        }
    }

    fn address(&self, id: ReplicaId) -> Option<SocketAddr> {
        let contact = || self.progress.contacts.get(&id).map(|(address, _)| *address);
        self.state.address(id).or_else(contact)
    }

    fn receive(&mut self, wire: Wire, reply: Option<oneshot::Sender<Answer>>) {
        match (wire, reply) {
            (Wire::Batch { from, to, messages }, _) => {
                if to != self.state.id() {
                    return;
                }
                self.progress
                    .contacts
                    .insert(from.id, (from.address, now()));
                for message in messages {
                    let election = election(&message.body);
                    let term = message.term;
                    self.handle(Event::Message {
                        from: from.id,
                        message,
                    });
                    if let Some(what) = election {
                        let vote = self.state.vote();
                        info!(self.log, "{what}"; "from" => from.id.0, "its_term" => term,
                            "term" => vote.term, "voted" => vote.voted_for.map(|id| id.0));
                    }
                }
            }
            (Wire::Probe, Some(reply)) => {
                let peers = crate::form::first_members(&self.settings);
                // A replica that joined knows of a leader even before it heard one.
                let term = match self.state.term() {
                    0 => FIRST_TERM + 1,
                    term => term,
                };
                let standing = Standing {
                    term,
                    formed: true,
                    ready: true,
                    observer: self.settings.observer,
                    peers,
                };
                // The asker repeats the question if it has gone away.
                let _ = reply.send(Answer::State(standing));
            }
            (Wire::Join { address, observer }, Some(reply)) => {
                let id = ReplicaId(self.state.config().next_id);
                let votes = !observer;
                self.change(
                    MembershipChange::Join { address, votes },
                    Waiter::Join(id, reply),
                );
            }
            (Wire::Probe | Wire::Join { .. }, None) => {}
        }
    }

    fn change(&mut self, change: MembershipChange, waiter: Waiter) {
        if self.state.role() != RoleName::Leader {
            return waiter.fail(self.not_leader());
        }
        let token = self.progress.waiters.add(waiter);
        self.handle(Event::Change { token, change });
    }

    fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.state.handle(now(), event, &mut out);
        for action in out {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Removed => self.progress.is_removed = true,
            Action::Store { seq, write } => {
                if let StorageWrite::Install(snapshot) = &write {
                    self.progress.handed = snapshot.index;
                    let task = Task::Restore(std::sync::Arc::clone(snapshot));
                    self.progress.is_broken |= !self.worker.send(task);
                }
                let commit = self.state.commit_index();
                self.progress.is_broken |= !self.disk.send(Job::Write { seq, write, commit });
            }
            Action::Send { to, message, after } if after > self.progress.synced => {
                if self.progress.held.len() < HELD {
                    self.progress.held.push((after, to, message));
                }
            }
            Action::Send { to, message, .. } => self.send(to, message),
            Action::Commit { index } => self.apply(index),
            Action::Proposed { token, term, index } => {
                self.progress.waiters.place(token, term, index);
            }
            Action::Read { token, index } => {
                self.progress.waiters.confirm(token, index);
                self.progress.waiters.release(self.progress.applied);
            }
            Action::Refused {
                token,
                reason: cause,
            } => {
                let error = match cause {
                    replication::RefusalReason::NotLeader => self.not_leader(),
                    _ => ProposeError::Refused {
                        reason: reason(cause).into(),
                    },
                };
                if token == 0 {
                    self.transferred(Err(error));
                } else {
                    self.progress.waiters.refuse(token, &error);
                }
            }
        }
    }

    fn transferred(&mut self, result: Result<(), ProposeError>) {
        if let Some(reply) = self.progress.transfer.take() {
            // The caller may have given up.
            let _ = reply.send(result);
        }
    }

    fn send(&mut self, to: ReplicaId, message: Message) {
        if let Some(address) = self.address(to) {
            self.peers.send(Peer { id: to, address }, message);
        }
    }

    /// Hands committed entries to the state machine.
    fn apply(&mut self, index: u64) {
        let from = self.progress.handed + 1;
        let entries: Vec<_> = (from..=index)
            .filter_map(|i| self.state.entry(i).cloned())
            .collect();
        if entries
            .iter()
            .any(|e| matches!(e.payload, Payload::Config(_)))
        {
            let members = &self.state.config().members;
            self.peers.retain(|id| members.contains_key(&id));
            self.progress
                .contacts
                .retain(|id, _| members.contains_key(id));
        }
        self.progress.bytes += entries.iter().map(|e| e.size() as u64).sum::<u64>();
        self.progress.handed = self.progress.handed.max(index);
        self.progress.is_broken |= !self.worker.send(Task::Apply(entries));
    }

    /// Takes a snapshot when the log has grown enough.
    fn take_snapshot(&mut self) {
        let Progress {
            handed,
            snapshot,
            bytes,
            ..
        } = self.progress;
        let due = handed.saturating_sub(snapshot) >= self.settings.snapshot_entries
            || bytes >= self.settings.snapshot_bytes;
        if !due || self.progress.is_encoding || handed <= snapshot {
            return;
        }
        if let Some((term, config)) = self.state.snapshot_metadata(handed) {
            let task = Task::Snapshot {
                index: handed,
                term,
                config,
            };
            self.progress.is_encoding = true;
            self.progress.bytes = 0;
            self.progress.is_broken |= !self.worker.send(task);
        }
    }

    /// Handles the report of a thread.
    fn finish(&mut self, done: Done) {
        match done {
            Done::Stored { seq } => self.stored(seq),
            Done::Fault(fault) => {
                let ok = fault.is_none();
                self.progress.fault = fault;
                self.handle(Event::Disk { ok });
            }
            Done::Snapshot(snapshot) => {
                self.progress.is_encoding = false;
                if let Some(snapshot) = snapshot {
                    self.progress.snapshot = self.progress.snapshot.max(snapshot.index);
                    self.handle(Event::Snapshot(snapshot));
                }
            }
            Done::Applied(entries) => {
                let last = entries.iter().map(|entry| entry.index).max();
                self.progress.applied = last.unwrap_or(self.progress.applied);
                // A proposer that reads the status after its answer must find its entry in it.
                self.update();
                for entry in entries {
                    self.progress.waiters.applied(entry);
                }
                self.progress.waiters.release(self.progress.applied);
            }
            Done::Taken(snapshot) => {
                let tail = self.settings.tail;
                self.progress.is_broken |= !self.disk.send(Job::Snapshot { snapshot, tail });
            }
            Done::Restored { index } => {
                self.progress.applied = index;
                self.progress.snapshot = self.progress.snapshot.max(index);
                self.progress.waiters.skip(index);
                self.progress.waiters.release(index);
            }
            Done::Rejected { index, message } => {
                crit!(self.log, "cannot restore a snapshot; the replica stops";
                    "index" => index, "error" => %message);
                self.progress.is_broken = true;
            }
        }
    }

    fn stored(&mut self, seq: u64) {
        self.progress.synced = seq;
        let ready = self
            .progress
            .held
            .extract_if(.., |(after, ..)| *after <= seq);
        for (_, to, message) in ready.collect::<Vec<_>>() {
            self.send(to, message);
        }
        self.handle(Event::Stored { seq });
    }

    /// Publishes the status; observers are woken only for changes that matter to them.
    fn update(&mut self) {
        let status = self.current_status();
        let role = status.role;
        if role != Role::Leader {
            self.transferred(Ok(()));
        }
        let log = &self.log;
        self.status.send_if_modified(|old| {
            if (old.role, old.leader) != (status.role, status.leader) {
                info!(log, "role or leader changed"; "role" => %status.role, "term" => status.term,
                    "leader" => status.leader.map(|l| l.0));
            }
            let changes = |s: &ReplicaStatus| (s.id, s.role, s.leader_address, s.applied);
            let changed = changes(old) != changes(&status)
                || (&old.fault, old.leader) != (&status.fault, status.leader);
            *old = status;
            changed
        });
    }

    fn current_status(&self) -> ReplicaStatus {
        let state = &self.state;
        let known = state.peers();
        let peer = |(id, member): (&ReplicaId, &replication::Member)| {
            let contact = self.progress.contacts.get(id).map(|(_, at)| *at);
            PeerStatus {
                id: *id,
                address: member.address,
                voter: member.kind == MemberKind::Voter,
                matched: known
                    .iter()
                    .find(|p| p.id == *id)
                    .map_or(0, |p| p.match_index),
                contact,
            }
        };
        let members = state
            .config()
            .members
            .iter()
            .filter(|(id, _)| **id != state.id());
        ReplicaStatus {
            id: state.id(),
            role: match state.role() {
                RoleName::Learner => Role::Learner,
                RoleName::Follower => Role::Follower,
                RoleName::Candidate => Role::Candidate,
                RoleName::Leader => Role::Leader,
            },
            leader: state.leader(),
            leader_address: state.leader().and_then(|id| self.address(id)),
            term: state.term(),
            commit: state.commit_index(),
            applied: self.progress.applied,
            peers: members.map(peer).collect(),
            fault: self.progress.fault.clone(),
        }
    }
}
