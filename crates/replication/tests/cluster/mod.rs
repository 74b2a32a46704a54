//! Deterministic simulation of a cluster with in-memory disks and an unreliable network,
//! controlled by a seed.
//!
//! It checks at each step that a term has one leader, that a committed entry is the same
//! on all replicas and never changes, and that a read sees everything committed before it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use replication::*;
use units::ReplicaId;

pub fn id(n: u64) -> ReplicaId {
    ReplicaId(n)
}

pub fn address(n: u64) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8], 7))
}

/// Faults of the network and the disks.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    /// Probability that a message is lost.
    pub loss_percent: u32,
    /// Probability that a message is duplicated.
    pub duplicate_percent: u32,
    /// Maximum additional delay of a message.
    pub max_delay_ms: u64,
    /// Maximum time until a write is synced.
    pub max_sync_ms: u64,
}

pub struct Node {
    pub state: ReplicaState,
    disk: Restored,
    /// Writes that a crash loses: sequence number, write, and time of the sync in ms.
    unsynced: VecDeque<(u64, StorageWrite, u64)>,
    /// Messages that wait for a write: its sequence number, receiver and message.
    held_messages: Vec<(u64, ReplicaId, Message)>,
    /// Sequence number of the last synced write.
    synced: u64,
    pub commit_index: u64,
}

pub struct Cluster {
    pub nodes: BTreeMap<ReplicaId, Node>,
    /// Disks of stopped replicas.
    pub stopped: BTreeMap<ReplicaId, Restored>,
    pub now_ms: u64,
    start: Instant,
    pub rng: StdRng,
    pub faults: Faults,
    /// Blocked links: sender and receiver.
    pub blocked: BTreeSet<(ReplicaId, ReplicaId)>,
    /// Messages in transit by time of arrival and number.
    network: BTreeMap<(u64, u64), (ReplicaId, ReplicaId, Message)>,
    messages_sent: u64,
    /// Leader of each term, to detect a second one.
    pub term_leaders: BTreeMap<u64, ReplicaId>,
    /// Committed entries by index, as first seen on any replica.
    pub committed: BTreeMap<u64, Entry>,
    /// Committed index when each read started, by token.
    reads: BTreeMap<u64, u64>,
    pub reads_served: usize,
    pub refused: Vec<RefusalReason>,
    /// Replicas that learned of their removal, in order.
    pub removed: Vec<ReplicaId>,
    /// Number of voters up to which joining replicas are promoted.
    pub max_voters: Option<usize>,
    /// Replicas that granted a vote, in order.
    pub votes: Vec<ReplicaId>,
    /// Number of messages with entries that were sent.
    pub append_messages: usize,
    /// Number of entries that compaction keeps before a snapshot.
    retained_entries: u64,
}

impl Cluster {
    pub fn new(seed: u64, voters: u64, faults: Faults) -> Self {
        let mut cluster = Self {
            nodes: BTreeMap::new(),
            stopped: BTreeMap::new(),
            now_ms: 0,
            start: Instant::now(),
            rng: StdRng::seed_from_u64(seed),
            faults,
            blocked: BTreeSet::new(),
            network: BTreeMap::new(),
            messages_sent: 0,
            term_leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            reads: BTreeMap::new(),
            reads_served: 0,
            refused: Vec::new(),
            removed: Vec::new(),
            max_voters: None,
            votes: Vec::new(),
            append_messages: 0,
            retained_entries: 20,
        };
        cluster.boot_voters(voters);
        cluster
    }

    /// Starts the initial voters.
    pub fn boot_voters(&mut self, voters: u64) {
        let config = Config::new((1..=voters).map(|n| (id(n), address(n))));
        for n in 1..=voters {
            let payload = Payload::Config(config.clone());
            let entries = vec![Entry {
                term: 1,
                index: 1,
                payload,
            }];
            let vote = Vote {
                term: 1,
                voted_for: None,
            };
            self.boot(
                id(n),
                Restored {
                    vote,
                    entries,
                    ..Restored::default()
                },
            );
        }
    }

    pub fn instant(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    pub fn boot(&mut self, id: ReplicaId, disk: Restored) {
        let settings = Settings {
            id,
            retained_entries: self.retained_entries,
            chunk_bytes: 100,
            batch_bytes: 400,
            max_voters: self.max_voters,
            ..Settings::default()
        };
        let restored = copy(&disk);
        let commit_index = disk.snapshot.as_ref().map_or(0, |s| s.index);
        let rng = StdRng::seed_from_u64(self.rng.random());
        let state = ReplicaState::new(settings, restored, rng, self.instant());
        let (unsynced, held_messages) = (VecDeque::new(), Vec::new());
        self.nodes.insert(
            id,
            Node {
                state,
                disk,
                unsynced,
                held_messages,
                synced: 0,
                commit_index,
            },
        );
    }

    /// Stops a node immediately; its unsynced writes are lost.
    pub fn crash(&mut self, id: ReplicaId) {
        if let Some(node) = self.nodes.remove(&id) {
            self.stopped.insert(id, node.disk);
        }
    }

    pub fn restart(&mut self, id: ReplicaId) {
        if let Some(disk) = self.stopped.remove(&id) {
            self.boot(id, disk);
        }
    }

    pub fn leader(&self) -> Option<ReplicaId> {
        let leads = self
            .nodes
            .iter()
            .filter(|(_, n)| n.state.role() == RoleName::Leader);
        leads.max_by_key(|(_, n)| n.state.term()).map(|(id, _)| *id)
    }

    pub fn handle(&mut self, id: ReplicaId, event: Event) {
        if let Event::Read { token } = event {
            let known = self.committed.last_key_value().map_or(0, |(i, _)| *i);
            self.reads.insert(token, known);
        }
        let now = self.instant();
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let mut out = Vec::new();
        node.state.handle(now, event, &mut out);
        let term = node.state.term();
        if node.state.role() == RoleName::Leader {
            let other = *self.term_leaders.entry(term).or_insert(id);
            assert_eq!(other, id, "two leaders in term {term}");
        }
        for action in out {
            self.carry_out(id, action);
        }
    }

    fn carry_out(&mut self, id: ReplicaId, action: Action) {
        let synced_at = self.now_ms + self.rng.random_range(0..=self.faults.max_sync_ms);
        let node = self.nodes.get_mut(&id).expect("running node");
        match action {
            Action::Store { seq, write } => {
                if let StorageWrite::Install(s) = &write {
                    assert_eq!(
                        s.data,
                        snapshot_data(s.index, s.data.0.len()),
                        "snapshot chunks were assembled in the wrong order"
                    );
                    node.commit_index = node.commit_index.max(s.index);
                }
                node.unsynced.push_back((seq, write, synced_at));
            }
            Action::Send { to, message, after } if after > node.synced => {
                node.held_messages.push((after, to, message));
            }
            Action::Send { to, message, .. } => self.send(id, to, message),
            Action::Commit { index } => self.check_commit(id, index),
            Action::Read { token, index } => {
                let known = self.reads[&token];
                assert!(index >= known, "read at {index} misses entry {known}");
                self.reads_served += 1;
            }
            Action::Removed => self.removed.push(id),
            Action::Refused { reason, .. } => self.refused.push(reason),
            Action::Proposed { .. } => {}
        }
    }

    fn check_commit(&mut self, id: ReplicaId, index: u64) {
        let node = self.nodes.get_mut(&id).expect("running node");
        for i in node.commit_index + 1..=index {
            let entry = node.state.entry(i).expect("committed entry is in the log");
            let known = self.committed.entry(i).or_insert_with(|| entry.clone());
            assert_eq!(known, entry, "entry {i} of {id} changed after its commit");
        }
        node.commit_index = node.commit_index.max(index);
    }

    fn send(&mut self, from: ReplicaId, to: ReplicaId, message: Message) {
        match message.body {
            Body::VoteReply { granted: true } => self.votes.push(from),
            Body::Append { .. } => self.append_messages += 1,
            _ => {}
        }
        let copies = 1 + u32::from(self.rng.random_range(0..100) < self.faults.duplicate_percent);
        for _ in 0..copies {
            if self.blocked.contains(&(from, to))
                || self.rng.random_range(0..100) < self.faults.loss_percent
            {
                continue;
            }
            let at = self.now_ms + 1 + self.rng.random_range(0..=self.faults.max_delay_ms);
            self.messages_sent += 1;
            self.network
                .insert((at, self.messages_sent), (from, to, message.clone()));
        }
    }

    /// Advances the simulation by one millisecond.
    pub fn step(&mut self) {
        self.now_ms += 1;
        while let Some(entry) = self.network.first_entry()
            && entry.key().0 <= self.now_ms
        {
            let (from, to, message) = entry.remove();
            self.handle(to, Event::Message { from, message });
        }
        let ids: Vec<_> = self.nodes.keys().copied().collect();
        for id in ids {
            self.sync_next_write(id);
            if self.nodes[&id].state.deadline() <= self.instant() {
                self.handle(id, Event::Tick);
            }
        }
    }

    fn sync_next_write(&mut self, id: ReplicaId) {
        let now = self.now_ms;
        let node = self.nodes.get_mut(&id).expect("running node");
        let Some((seq, write, _)) = node.unsynced.pop_front_if(|(_, _, at)| *at <= now) else {
            return;
        };
        match write {
            StorageWrite::Vote(vote) => node.disk.vote = vote,
            StorageWrite::Append(entries) => {
                node.disk.entries.retain(|e| e.index < entries[0].index);
                node.disk.entries.extend(entries);
            }
            StorageWrite::Install(snapshot) => {
                node.disk.entries.clear();
                node.disk.snapshot = Some(snapshot);
            }
        }
        node.synced = seq;
        for (_, to, message) in node
            .held_messages
            .extract_if(.., |h| h.0 <= seq)
            .collect::<Vec<_>>()
        {
            self.send(id, to, message);
        }
        self.handle(id, Event::Stored { seq });
    }

    /// Takes a snapshot at the committed index, with `size` bytes of data.
    pub fn compact(&mut self, id: ReplicaId, size: usize) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let index = node.commit_index;
        let Some((term, config)) = node.state.snapshot_metadata(index) else {
            return;
        };
        if node
            .unsynced
            .iter()
            .any(|(_, w, _)| matches!(w, StorageWrite::Install(_)))
        {
            return;
        }
        let data = snapshot_data(index, size);
        let snapshot = Arc::new(Snapshot {
            index,
            term,
            config,
            data,
        });
        let first = index.saturating_sub(self.retained_entries);
        node.disk.entries.retain(|e| e.index >= first);
        node.disk.snapshot = Some(Arc::clone(&snapshot));
        self.handle(id, Event::Snapshot(snapshot));
    }

    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.step();
        }
    }

    pub fn propose(&mut self, id: ReplicaId, value: u64) {
        let command = value.to_be_bytes().to_vec().into();
        self.handle(id, Event::Propose(vec![(value, command)]));
    }

    /// Runs until all running nodes have committed an entry; returns false after `limit_ms`.
    pub fn run_until_committed(&mut self, index: u64, limit_ms: u64) -> bool {
        for _ in 0..limit_ms {
            if self.nodes.values().all(|n| n.commit_index >= index) {
                return true;
            }
            self.step();
        }
        false
    }

    pub fn run_until_leader(&mut self) -> ReplicaId {
        for _ in 0..5000 {
            self.step();
            if let Some(leader) = self.leader() {
                return leader;
            }
        }
        panic!("no leader after 5 s");
    }
}

/// Data of a snapshot; each byte differs from the next, so that misplaced chunks show.
fn snapshot_data(index: u64, size: usize) -> Command {
    let bytes: Vec<u8> = (index..).map(|n| n as u8).take(size).collect();
    bytes.into()
}

pub fn copy(disk: &Restored) -> Restored {
    let Restored {
        vote,
        snapshot,
        entries,
        commit_index,
    } = disk;
    Restored {
        vote: *vote,
        snapshot: snapshot.clone(),
        entries: entries.clone(),
        commit_index: *commit_index,
    }
}
