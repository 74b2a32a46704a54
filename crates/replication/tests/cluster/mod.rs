//! Several states with files in memory and a lossy network, by seed.
//!
//! Each step checks: one leader per term; a committed entry is the same
//! everywhere and for ever; a read sees all that was committed before it.

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

/// Faults of the network and the disks, in percent and ms.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    pub loss: u32,
    pub duplicate: u32,
    pub delay: u64,
    /// Longest time until a write is synced.
    pub sync: u64,
}

pub struct Node {
    pub state: ReplicaState,
    disk: Restored,
    /// Writes that a crash loses.
    unsynced: VecDeque<(u64, Write, u64)>,
    held: Vec<(u64, ReplicaId, Message)>,
    synced: u64,
    pub commit_index: u64,
}

pub struct Cluster {
    pub nodes: BTreeMap<ReplicaId, Node>,
    pub stopped: BTreeMap<ReplicaId, Restored>,
    pub now: u64,
    start: Instant,
    pub rng: StdRng,
    pub faults: Faults,
    pub cut: BTreeSet<(ReplicaId, ReplicaId)>,
    network: BTreeMap<(u64, u64), (ReplicaId, ReplicaId, Message)>,
    sent: u64,
    pub leaders: BTreeMap<u64, ReplicaId>,
    pub committed: BTreeMap<u64, Entry>,
    /// Committed index when the read began.
    reads: BTreeMap<u64, u64>,
    pub answered: usize,
    pub refused: Vec<RefusalReason>,
    /// Replicas that learned that they were removed, in order.
    pub removed: Vec<ReplicaId>,
    /// Most voters that joining replicas make.
    pub voters: Option<usize>,
    /// Ids that gave a vote, in order.
    pub votes: Vec<ReplicaId>,
    /// Messages with entries that were sent.
    pub appended: usize,
    tail: u64,
}

impl Cluster {
    pub fn new(seed: u64, voters: u64, faults: Faults) -> Self {
        let mut cluster = Self {
            nodes: BTreeMap::new(),
            stopped: BTreeMap::new(),
            now: 0,
            start: Instant::now(),
            rng: StdRng::seed_from_u64(seed),
            faults,
            cut: BTreeSet::new(),
            network: BTreeMap::new(),
            sent: 0,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            reads: BTreeMap::new(),
            answered: 0,
            refused: Vec::new(),
            removed: Vec::new(),
            voters: None,
            votes: Vec::new(),
            appended: 0,
            tail: 20,
        };
        cluster.found(voters);
        cluster
    }

    /// Starts the first voters.
    pub fn found(&mut self, voters: u64) {
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

    pub fn time(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    pub fn boot(&mut self, id: ReplicaId, disk: Restored) {
        let settings = Settings {
            id,
            retained_entries: self.tail,
            chunk_bytes: 100,
            batch_bytes: 400,
            max_voters: self.voters,
            ..Settings::default()
        };
        let restored = copy(&disk);
        let commit_index = disk.snapshot.as_ref().map_or(0, |s| s.index);
        let rng = StdRng::seed_from_u64(self.rng.random());
        let state = ReplicaState::new(settings, restored, rng, self.time());
        let (unsynced, held) = (VecDeque::new(), Vec::new());
        self.nodes.insert(
            id,
            Node {
                state,
                disk,
                unsynced,
                held,
                synced: 0,
                commit_index,
            },
        );
    }

    /// Stops a node at once; unsynced writes are lost.
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

    pub fn event(&mut self, id: ReplicaId, event: Event) {
        if let Event::Read { token } = event {
            let known = self.committed.last_key_value().map_or(0, |(i, _)| *i);
            self.reads.insert(token, known);
        }
        let now = self.time();
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let mut out = Vec::new();
        node.state.handle(now, event, &mut out);
        let term = node.state.term();
        if node.state.role() == RoleName::Leader {
            let other = *self.leaders.entry(term).or_insert(id);
            assert_eq!(other, id, "two leaders in term {term}");
        }
        for action in out {
            self.act(id, action);
        }
    }

    fn act(&mut self, id: ReplicaId, action: Action) {
        let sync = self.now + self.rng.random_range(0..=self.faults.sync);
        let node = self.nodes.get_mut(&id).expect("running node");
        match action {
            Action::Store { seq, write } => {
                if let Write::Install(s) = &write {
                    assert_eq!(
                        s.data,
                        content(s.index, s.data.0.len()),
                        "chunks are mixed up"
                    );
                    node.commit_index = node.commit_index.max(s.index);
                }
                node.unsynced.push_back((seq, write, sync));
            }
            Action::Send { to, message, after } if after > node.synced => {
                node.held.push((after, to, message));
            }
            Action::Send { to, message, .. } => self.send(id, to, message),
            Action::Commit { index } => self.check_commit(id, index),
            Action::Read { token, index } => {
                let known = self.reads[&token];
                assert!(index >= known, "read at {index} misses entry {known}");
                self.answered += 1;
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
            Body::Append { .. } => self.appended += 1,
            _ => {}
        }
        let copies = 1 + u32::from(self.rng.random_range(0..100) < self.faults.duplicate);
        for _ in 0..copies {
            if self.cut.contains(&(from, to)) || self.rng.random_range(0..100) < self.faults.loss {
                continue;
            }
            let at = self.now + 1 + self.rng.random_range(0..=self.faults.delay);
            self.sent += 1;
            self.network
                .insert((at, self.sent), (from, to, message.clone()));
        }
    }

    /// Runs one millisecond.
    pub fn step(&mut self) {
        self.now += 1;
        while let Some(entry) = self.network.first_entry()
            && entry.key().0 <= self.now
        {
            let (from, to, message) = entry.remove();
            self.event(to, Event::Message { from, message });
        }
        let ids: Vec<_> = self.nodes.keys().copied().collect();
        for id in ids {
            self.sync(id);
            if self.nodes[&id].state.deadline() <= self.time() {
                self.event(id, Event::Tick);
            }
        }
    }

    fn sync(&mut self, id: ReplicaId) {
        let now = self.now;
        let node = self.nodes.get_mut(&id).expect("running node");
        let Some((seq, write, _)) = node.unsynced.pop_front_if(|(_, _, at)| *at <= now) else {
            return;
        };
        match write {
            Write::Vote(vote) => node.disk.vote = vote,
            Write::Append(entries) => {
                node.disk.entries.retain(|e| e.index < entries[0].index);
                node.disk.entries.extend(entries);
            }
            Write::Install(snapshot) => {
                node.disk.entries.clear();
                node.disk.snapshot = Some(snapshot);
            }
        }
        node.synced = seq;
        for (_, to, message) in node.held.extract_if(.., |h| h.0 <= seq).collect::<Vec<_>>() {
            self.send(id, to, message);
        }
        self.event(id, Event::Stored { seq });
    }

    /// Takes a snapshot at the committed index.
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
            .any(|(_, w, _)| matches!(w, Write::Install(_)))
        {
            return;
        }
        let data = content(index, size);
        let snapshot = Arc::new(Snapshot {
            index,
            term,
            config,
            data,
        });
        let first = index.saturating_sub(self.tail);
        node.disk.entries.retain(|e| e.index >= first);
        node.disk.snapshot = Some(Arc::clone(&snapshot));
        self.event(id, Event::Snapshot(snapshot));
    }

    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.step();
        }
    }

    pub fn propose(&mut self, id: ReplicaId, value: u64) {
        let command = value.to_be_bytes().to_vec().into();
        self.event(id, Event::Propose(vec![(value, command)]));
    }

    /// Runs until all running nodes have committed an entry, at most for a time.
    pub fn settle(&mut self, index: u64, limit: u64) -> bool {
        for _ in 0..limit {
            if self.nodes.values().all(|n| n.commit_index >= index) {
                return true;
            }
            self.step();
        }
        false
    }

    pub fn elect(&mut self) -> ReplicaId {
        for _ in 0..5000 {
            self.step();
            if let Some(leader) = self.leader() {
                return leader;
            }
        }
        panic!("no leader after 5 s");
    }
}

/// Data of a snapshot in which every position differs from the next.
fn content(index: u64, size: usize) -> Command {
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
