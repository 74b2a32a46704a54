//! Task of a replica: passes requests, peer messages and reports of the threads to
//! the replication algorithm and executes the actions that it returns.

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

use crate::disk::{DiskJob, DiskThread};
use crate::files::Files;
use crate::formation::FIRST_TERM;
use crate::input::{Input, ReplySender, refusal_text};
use crate::machine::{MachineJob, MachineThread, Report};
use crate::messages::{FormationStatus, PeerReply, PeerRequest};
use crate::peers::PeerQueues;
use crate::pending::{PendingRequest, PendingRequests};
use crate::{Peer, PeerStatus, ProposeError, ReplicaSettings, ReplicaStatus, Role, StateMachine};

/// Maximum number of requests in a batch; the requests of a batch share a disk write
/// and a message to each peer.
const MAX_BATCH: usize = 512;

/// Maximum number of messages that wait for a disk write. While the disk does not
/// respond, further ones are dropped; the protocol sends them again.
const MAX_DEFERRED: usize = 4096;

/// Log message for a received election message; `None` for any other message.
fn election_event(body: &Body) -> Option<&'static str> {
    match body {
        Body::PreVote { .. } => Some("pre-vote request received"),
        Body::PreVoteReply { granted: true } => Some("pre-vote granted"),
        Body::PreVoteReply { granted: false } => Some("pre-vote denied"),
        Body::Vote { .. } => Some("vote request received"),
        Body::VoteReply { granted: true } => Some("vote granted"),
        Body::VoteReply { granted: false } => Some("vote denied"),
        Body::TakeOver => Some("leadership transfer request received"),
        Body::Removed { .. } => Some("removal from the group reported"),
        _ => None,
    }
}

/// Task of a replica.
pub(crate) struct ReplicaTask {
    pub(crate) settings: ReplicaSettings,
    pub(crate) log: Logger,
    pub(crate) state: ReplicaState,
    pub(crate) inputs: mpsc::Receiver<Input>,
    pub(crate) reports: mpsc::UnboundedReceiver<Report>,
    pub(crate) disk: DiskThread,
    pub(crate) machine: MachineThread,
    pub(crate) peers: PeerQueues,
    pub(crate) status: watch::Sender<ReplicaStatus>,
    pub(crate) progress: Progress,
}

/// Parts of a removed replica that it needs to join the group again.
pub(crate) struct RemovedReplica {
    pub(crate) inputs: mpsc::Receiver<Input>,
    pub(crate) status: watch::Sender<ReplicaStatus>,
    pub(crate) files: Files,
    pub(crate) machine: StateMachine,
    /// Index of the last entry that the state machine has applied. The entry is
    /// committed, so the state machine stays valid.
    pub(crate) applied_index: u64,
}

/// State of the task besides that of the replication algorithm.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    pending: PendingRequests,
    /// Caller that waits for a leadership transfer.
    transfer: Option<ReplySender<()>>,
    /// Caller that waits for the replica to stop.
    stop: Option<oneshot::Sender<()>>,
    /// Messages with the sequence number of the disk write that has to be synced
    /// before they are sent.
    deferred: Vec<(u64, ReplicaId, Message)>,
    /// Sequence number of the last synced disk write.
    synced_seq: u64,
    /// Last index that was submitted to the state machine.
    submitted_index: u64,
    /// Last index that the state machine has applied.
    applied_index: u64,
    /// Last index that the newest snapshot covers.
    snapshot_index: u64,
    /// Size in bytes of the entries submitted since the last snapshot was requested.
    unsaved_bytes: u64,
    /// A snapshot was requested and is not on disk yet.
    snapshot_pending: bool,
    /// Error of the disk thread while writes fail.
    storage_error: Option<Box<str>>,
    /// Address of each sender, and when its last message arrived.
    contacts: HashMap<ReplicaId, (SocketAddr, Instant)>,
    /// The replica stops because of an error.
    has_failed: bool,
    /// The group has removed this replica.
    is_removed: bool,
}

impl Progress {
    /// Progress at the start, with the last index that the snapshot covers and the last
    /// one that the state machine has applied.
    pub(crate) fn new(snapshot_index: u64, applied_index: u64) -> Self {
        Self {
            submitted_index: applied_index,
            applied_index,
            snapshot_index,
            ..Self::default()
        }
    }
}

/// Requests that are passed to the replication algorithm together.
#[derive(Default)]
struct Batch {
    commands: Vec<(u64, Command)>,
    reads: Vec<ReplySender<()>>,
}

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

impl ReplicaTask {
    /// Runs until the replica is stopped or its group removes it.
    pub(crate) async fn run(mut self) -> Option<RemovedReplica> {
        self.submit_committed(self.state.commit_index());
        self.publish_status();
        while self.progress.stop.is_none() && !self.progress.has_failed {
            if self.progress.is_removed {
                return self.into_removed().await;
            }
            let deadline = self.state.deadline().into();
            tokio::select! {
                Some(report) = self.reports.recv() => self.handle_report(report),
                input = self.inputs.recv() => match input {
                    Some(input) => self.handle_inputs(input),
                    None => break,
                },
                () = tokio::time::sleep_until(deadline) => {}
            }
            while let Ok(report) = self.reports.try_recv() {
                self.handle_report(report);
            }
            self.handle(Event::Tick);
            self.request_snapshot();
            self.publish_status();
        }
        // Requests that are still queued were never accepted.
        self.inputs.close();
        while let Ok(input) = self.inputs.try_recv() {
            let reason = "the replica has stopped".into();
            input.reject(ProposeError::Refused { reason });
        }
        self.peers.retain(|_| false);
        self.reports.close();
        drop(self.disk.stop().await);
        self.machine.stop().await;
        if let Some(reply) = self.progress.stop {
            // The caller of `stop` may have given up.
            let _ = reply.send(());
        }
        None
    }

    /// Stops the threads and returns the parts that the replica needs to join again
    /// under a new id. Pending requests end with an unknown outcome.
    async fn into_removed(mut self) -> Option<RemovedReplica> {
        warn!(
            self.log,
            "the group removed this replica; rejoining under a new id"
        );
        self.peers.retain(|_| false);
        self.reports.close();
        let files = self.disk.stop().await?;
        let machine = self.machine.stop().await?;
        Some(RemovedReplica {
            applied_index: self.progress.submitted_index,
            inputs: self.inputs,
            status: self.status,
            files,
            machine,
        })
    }

    /// Handles a request together with those that are queued behind it.
    fn handle_inputs(&mut self, first: Input) {
        let mut batch = Batch::default();
        self.handle_input(first, &mut batch);
        for _ in 1..MAX_BATCH {
            match self.inputs.try_recv() {
                Ok(input) => self.handle_input(input, &mut batch),
                Err(_) => break,
            }
        }
        if !batch.commands.is_empty() {
            self.handle(Event::Propose(batch.commands));
        }
        if !batch.reads.is_empty() {
            let token = self.progress.pending.add_reads(batch.reads);
            self.handle(Event::Read { token });
        }
    }

    fn handle_input(&mut self, input: Input, batch: &mut Batch) {
        match input {
            Input::Peer(request, reply) => self.handle_peer_request(request, reply),
            Input::Propose(command, reply) => {
                if let Some(error) = self.proposal_error(batch.commands.len()) {
                    return drop(reply.send(Err(error)));
                }
                let token = self.progress.pending.add(PendingRequest::Propose(reply));
                batch.commands.push((token, command.into()));
            }
            Input::ConfirmLeadership(reply) => batch.reads.push(reply),
            Input::Change(change, reply) => {
                self.propose_change(change, PendingRequest::Change(reply))
            }
            Input::TransferLeadership(reply) => {
                let replaced = self.progress.transfer.replace(reply);
                drop(replaced);
                self.handle(Event::Transfer { token: 0 });
            }
            Input::Stop(reply) => self.progress.stop = Some(reply),
        }
    }

    /// Error for a new command if it can't be accepted, with the number of commands
    /// that are already in the batch.
    fn proposal_error(&mut self, batched: usize) -> Option<ProposeError> {
        if self.state.role() != RoleName::Leader {
            return Some(self.not_leader());
        }
        let limit = self.settings.max_pending;
        let is_full = self.progress.pending.count(limit) + batched >= limit;
        is_full.then(|| {
            let reason = format!("{limit} commands are waiting; try again later").into();
            ProposeError::Refused { reason }
        })
    }

    fn not_leader(&self) -> ProposeError {
        let leader = self.state.leader().filter(|id| *id != self.state.id());
        match (leader, &self.progress.storage_error) {
            (None, Some(error)) => ProposeError::Refused {
                reason: error.clone(),
            },
            _ => {
                let leader = leader.and_then(|id| self.address(id));
                ProposeError::NotLeader { leader }
            }
        }
    }

    fn address(&self, id: ReplicaId) -> Option<SocketAddr> {
        let last_address = || self.progress.contacts.get(&id).map(|(address, _)| *address);
        self.state.address(id).or_else(last_address)
    }

    fn handle_peer_request(
        &mut self,
        request: PeerRequest,
        reply: Option<oneshot::Sender<PeerReply>>,
    ) {
        match (request, reply) {
            (PeerRequest::Batch { from, to, messages }, _) => {
                if to != self.state.id() {
                    return;
                }
                self.progress
                    .contacts
                    .insert(from.id, (from.address, now()));
                for message in messages {
                    let event = election_event(&message.body);
                    let term = message.term;
                    self.handle(Event::Message {
                        from: from.id,
                        message,
                    });
                    if let Some(event) = event {
                        let vote = self.state.vote();
                        info!(self.log, "{event}"; "from" => from.id.0, "its_term" => term,
                            "term" => vote.term, "voted" => vote.voted_for.map(|id| id.0));
                    }
                }
            }
            (PeerRequest::Probe, Some(reply)) => {
                let peers = crate::formation::initial_members(&self.settings);
                // A replica that joined the group knows that a leader was elected, even
                // before it receives a message from one.
                let term = match self.state.term() {
                    0 => FIRST_TERM + 1,
                    term => term,
                };
                let status = FormationStatus {
                    term,
                    formed: true,
                    ready: true,
                    observer: self.settings.observer,
                    peers,
                };
                // If the peer has given up, it sends the probe again.
                let _ = reply.send(PeerReply::State(status));
            }
            (PeerRequest::Join { address, observer }, Some(reply)) => {
                let id = ReplicaId(self.state.config().next_id);
                let votes = !observer;
                self.propose_change(
                    MembershipChange::Join { address, votes },
                    PendingRequest::Join(id, reply),
                );
            }
            (PeerRequest::Probe | PeerRequest::Join { .. }, None) => {}
        }
    }

    fn propose_change(&mut self, change: MembershipChange, request: PendingRequest) {
        if self.state.role() != RoleName::Leader {
            return request.fail(self.not_leader());
        }
        let token = self.progress.pending.add(request);
        self.handle(Event::Change { token, change });
    }

    fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.state.handle(now(), event, &mut out);
        for action in out {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Removed => self.progress.is_removed = true,
            Action::Store { seq, write } => {
                if let StorageWrite::Install(snapshot) = &write {
                    self.progress.submitted_index = snapshot.index;
                    let job = MachineJob::Restore(std::sync::Arc::clone(snapshot));
                    self.progress.has_failed |= !self.machine.send(job);
                }
                let commit_index = self.state.commit_index();
                let job = DiskJob::Write {
                    seq,
                    write,
                    commit_index,
                };
                self.progress.has_failed |= !self.disk.send(job);
            }
            Action::Send { to, message, after } if after > self.progress.synced_seq => {
                if self.progress.deferred.len() < MAX_DEFERRED {
                    self.progress.deferred.push((after, to, message));
                }
            }
            Action::Send { to, message, .. } => self.send(to, message),
            Action::Commit { index } => self.submit_committed(index),
            Action::Proposed { token, term, index } => {
                self.progress.pending.assign_index(token, term, index);
            }
            Action::Read { token, index } => {
                self.progress.pending.confirm_reads(token, index);
                self.progress
                    .pending
                    .complete_reads(self.progress.applied_index);
            }
            Action::Refused { token, reason } => {
                let error = match reason {
                    replication::RefusalReason::NotLeader => self.not_leader(),
                    _ => ProposeError::Refused {
                        reason: refusal_text(reason).into(),
                    },
                };
                if token == 0 {
                    self.finish_transfer(Err(error));
                } else {
                    self.progress.pending.reject(token, &error);
                }
            }
        }
    }

    fn finish_transfer(&mut self, result: Result<(), ProposeError>) {
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

    /// Submits the committed entries up to an index to the state machine.
    fn submit_committed(&mut self, index: u64) {
        let first = self.progress.submitted_index + 1;
        let entries: Vec<_> = (first..=index)
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
        self.progress.unsaved_bytes += entries.iter().map(|e| e.size() as u64).sum::<u64>();
        self.progress.submitted_index = self.progress.submitted_index.max(index);
        self.progress.has_failed |= !self.machine.send(MachineJob::Apply(entries));
    }

    /// Requests a snapshot when the log has grown by the configured size.
    fn request_snapshot(&mut self) {
        let Progress {
            submitted_index,
            snapshot_index,
            unsaved_bytes,
            ..
        } = self.progress;
        let is_due = submitted_index.saturating_sub(snapshot_index)
            >= self.settings.snapshot_entries
            || unsaved_bytes >= self.settings.snapshot_bytes;
        if !is_due || self.progress.snapshot_pending || submitted_index <= snapshot_index {
            return;
        }
        if let Some((term, config)) = self.state.snapshot_metadata(submitted_index) {
            let job = MachineJob::Snapshot {
                index: submitted_index,
                term,
                config,
            };
            self.progress.snapshot_pending = true;
            self.progress.unsaved_bytes = 0;
            self.progress.has_failed |= !self.machine.send(job);
        }
    }

    /// Handles a report of the disk thread or the state machine thread.
    fn handle_report(&mut self, report: Report) {
        match report {
            Report::Stored { seq } => self.handle_stored(seq),
            Report::StorageError(error) => {
                let ok = error.is_none();
                self.progress.storage_error = error;
                self.handle(Event::Disk { ok });
            }
            Report::SnapshotWritten(snapshot) => {
                self.progress.snapshot_pending = false;
                if let Some(snapshot) = snapshot {
                    self.progress.snapshot_index = self.progress.snapshot_index.max(snapshot.index);
                    self.handle(Event::Snapshot(snapshot));
                }
            }
            Report::Applied(entries) => {
                let last_index = entries.iter().map(|entry| entry.index).max();
                self.progress.applied_index = last_index.unwrap_or(self.progress.applied_index);
                // The status is published before the responses, so that a caller that reads
                // it after its response finds its entry included.
                self.publish_status();
                for entry in entries {
                    self.progress.pending.complete_entry(entry);
                }
                self.progress
                    .pending
                    .complete_reads(self.progress.applied_index);
            }
            Report::SnapshotTaken(snapshot) => {
                let retained_entries = self.settings.retained_entries;
                let job = DiskJob::Snapshot {
                    snapshot,
                    retained_entries,
                };
                self.progress.has_failed |= !self.disk.send(job);
            }
            Report::Restored { index } => {
                self.progress.applied_index = index;
                self.progress.snapshot_index = self.progress.snapshot_index.max(index);
                self.progress.pending.fail_through(index);
                self.progress.pending.complete_reads(index);
            }
            Report::RestoreFailed { index, message } => {
                crit!(self.log, "cannot restore a snapshot; the replica stops";
                    "index" => index, "error" => %message);
                self.progress.has_failed = true;
            }
        }
    }

    fn handle_stored(&mut self, seq: u64) {
        self.progress.synced_seq = seq;
        let ready = self
            .progress
            .deferred
            .extract_if(.., |(after, ..)| *after <= seq);
        for (_, to, message) in ready.collect::<Vec<_>>() {
            self.send(to, message);
        }
        self.handle(Event::Stored { seq });
    }

    /// Publishes the status. Watchers are notified only of changes of the id, role,
    /// leader, applied index or storage error.
    fn publish_status(&mut self) {
        let status = self.current_status();
        let role = status.role;
        if role != Role::Leader {
            self.finish_transfer(Ok(()));
        }
        let log = &self.log;
        self.status.send_if_modified(|old| {
            if (old.role, old.leader) != (status.role, status.leader) {
                info!(log, "role or leader changed"; "role" => %status.role, "term" => status.term,
                    "leader" => status.leader.map(|l| l.0));
            }
            let watched = |s: &ReplicaStatus| (s.id, s.role, s.leader_address, s.applied_index);
            let changed = watched(old) != watched(&status)
                || (&old.storage_error, old.leader) != (&status.storage_error, status.leader);
            *old = status;
            changed
        });
    }

    fn current_status(&self) -> ReplicaStatus {
        let state = &self.state;
        let peer_states = state.peers();
        let peer_status = |(id, member): (&ReplicaId, &replication::Member)| {
            let last_contact = self.progress.contacts.get(id).map(|(_, at)| *at);
            PeerStatus {
                id: *id,
                address: member.address,
                voter: member.kind == MemberKind::Voter,
                match_index: peer_states
                    .iter()
                    .find(|p| p.id == *id)
                    .map_or(0, |p| p.match_index),
                last_contact,
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
            commit_index: state.commit_index(),
            applied_index: self.progress.applied_index,
            peers: members.map(peer_status).collect(),
            storage_error: self.progress.storage_error.clone(),
        }
    }
}
