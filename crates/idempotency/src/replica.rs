//! Keys that one replica remembers.

use std::collections::{BTreeSet, HashMap};

use api::{
    Claim, ClaimReply, Done, KeySet, Lookup, MAX_STORED_RESPONSE_BYTES, RequestKey, StoredResponse,
};
use units::{HostName, Incarnation, Millis};

use crate::{MAX_AHEAD, replicas};

/// Released attempts remembered per key, newest last.
const MAX_RELEASED: usize = 8;

/// Memory bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaLimits {
    /// Keys; at 250 bytes a key the default takes about 66 MB.
    pub keys: usize,
    /// Bytes of kept answers.
    pub answers: usize,
}

impl Default for ReplicaLimits {
    fn default() -> Self {
        Self {
            keys: 1 << 18,
            answers: 64 << 20,
        }
    }
}

#[derive(Debug, Clone, Default)]
struct Entry {
    /// Attempt that holds the claim, with the digest of its request.
    holder: Option<(u128, u64)>,
    done: bool,
    answer: Option<Box<StoredResponse>>,
    /// Attempts that gave the claim back. A late copy of their claim must not
    /// take it again, since nobody would ever release it.
    released: Vec<u128>,
}

/// Claims granted by this agent.
#[derive(Debug, Clone)]
pub struct Replica {
    host: HostName,
    incarnation: Incarnation,
    limits: ReplicaLimits,
    window: Millis,
    horizon: Millis,
    sets: Vec<KeySet>,
    /// Keys before this time are forgotten and never granted again. It never
    /// falls, even if the clock or the window do.
    floor: Millis,
    entries: HashMap<RequestKey, Entry>,
    order: BTreeSet<RequestKey>,
    kept: usize,
}

impl Replica {
    /// Replica that remembers nothing and grants nothing before [`Replica::configure`].
    #[must_use]
    pub fn new(host: HostName, incarnation: Incarnation, limits: ReplicaLimits) -> Self {
        Self {
            host,
            incarnation,
            limits,
            window: Millis(0),
            horizon: Millis(0),
            sets: Vec::new(),
            floor: Millis(0),
            entries: HashMap::new(),
            order: BTreeSet::new(),
            kept: 0,
        }
    }

    /// Takes the window, the key sets and the horizon; an older horizon is refused.
    pub fn configure(&mut self, window: Millis, sets: &[KeySet], horizon: Millis) {
        self.window = window;
        if horizon >= self.horizon {
            self.horizon = horizon;
            self.sets = sets.to_vec();
        }
    }

    /// Keys remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of kept answers.
    #[must_use]
    pub fn kept(&self) -> usize {
        self.kept
    }

    /// Grants the key or says what is known of it.
    pub fn claim(&mut self, now: Millis, claim: &Claim) -> ClaimReply {
        self.expire(now);
        if !self.knows(now, &claim.key, claim.incarnation) {
            return ClaimReply::Unknown;
        }
        if let Some(entry) = self.entries.get_mut(&claim.key) {
            if entry.released.contains(&claim.attempt) {
                return ClaimReply::Unknown;
            }
            if entry.holder.is_some() {
                return reply(entry, claim.attempt, Some(claim.digest));
            }
            entry.holder = Some((claim.attempt, claim.digest));
            return ClaimReply::Granted;
        }
        if self.entries.len() >= self.limits.keys {
            return ClaimReply::Unknown;
        }
        self.insert(&claim.key).holder = Some((claim.attempt, claim.digest));
        ClaimReply::Granted
    }

    /// Takes the outcome of an attempt; returns whether it was of use here.
    pub fn done(&mut self, now: Millis, done: &Done) -> bool {
        self.expire(now);
        if !self.knows(now, &done.key, done.incarnation) {
            return false;
        }
        if !self.entries.contains_key(&done.key) && self.entries.len() >= self.limits.keys {
            return false;
        }
        let room = self.limits.answers.saturating_sub(self.kept);
        let entry = if self.entries.contains_key(&done.key) {
            match self.entries.get_mut(&done.key) {
                Some(entry) => entry,
                None => return false,
            }
        } else {
            self.insert(&done.key)
        };
        let holds = entry.holder.is_some_and(|(held, _)| held == done.attempt);
        if done.released {
            return release(entry, done.attempt, holds);
        }
        if entry.done {
            return false;
        }
        // An attempt that is done has begun with two other grants; what this
        // replica granted meanwhile can't have begun.
        let digest = entry.holder.filter(|_| holds).map_or(0, |(_, d)| d);
        entry.holder = Some((done.attempt, digest));
        entry.done = true;
        let answer = done.answer.as_ref().filter(|answer| {
            let size = size(answer);
            answer.body.len() <= MAX_STORED_RESPONSE_BYTES && size <= room
        });
        if let Some(answer) = answer {
            entry.answer = Some(Box::new(answer.clone()));
            self.kept += size(answer);
        }
        true
    }

    /// What is known of a key, without claiming it. A key that is not claimed is `Unknown`.
    pub fn lookup(&mut self, now: Millis, lookup: &Lookup) -> ClaimReply {
        self.expire(now);
        if !self.knows(now, &lookup.key, lookup.incarnation) {
            return ClaimReply::Unknown;
        }
        match self.entries.get(&lookup.key) {
            Some(entry) if entry.holder.is_some() => reply(entry, 0, None),
            _ => ClaimReply::Unknown,
        }
    }

    /// Forgets keys older than the window.
    pub fn expire(&mut self, now: Millis) {
        if self.window == Millis(0) {
            return;
        }
        self.floor = self.floor.max(now.since(self.window));
        while let Some(first) = self.order.first() {
            if first.time >= self.floor {
                return;
            }
            let Some(key) = self.order.pop_first() else {
                return;
            };
            if let Some(answer) = self.entries.remove(&key).and_then(|entry| entry.answer) {
                self.kept -= size(&answer);
            }
        }
    }

    fn insert(&mut self, key: &RequestKey) -> &mut Entry {
        self.order.insert(key.clone());
        self.entries.entry(key.clone()).or_default()
    }

    /// Whether this incarnation would remember an earlier claim of the key.
    fn knows(&self, now: Millis, key: &RequestKey, incarnation: Incarnation) -> bool {
        let in_time = key.time >= self.floor
            && key.time <= self.horizon
            && key.time.since(now) <= MAX_AHEAD
            && self.window > Millis(0);
        in_time
            && incarnation == self.incarnation
            && replicas(key, &self.sets)
                .iter()
                .any(|m| m.host == self.host && m.incarnation == self.incarnation)
    }
}

fn release(entry: &mut Entry, attempt: u128, holds: bool) -> bool {
    if entry.done {
        return false;
    }
    if holds {
        entry.holder = None;
    }
    if !entry.released.contains(&attempt) {
        if entry.released.len() >= MAX_RELEASED {
            entry.released.remove(0);
        }
        entry.released.push(attempt);
    }
    true
}

fn reply(entry: &Entry, attempt: u128, digest: Option<u64>) -> ClaimReply {
    let Some((holder, held)) = entry.holder else {
        return ClaimReply::Unknown;
    };
    if holder == attempt && !entry.done {
        return ClaimReply::Granted;
    }
    ClaimReply::Taken {
        attempt: holder,
        answer: entry.answer.as_deref().cloned(),
        done: entry.done,
        differs: digest.is_some_and(|digest| held != 0 && digest != held),
    }
}

fn size(answer: &StoredResponse) -> usize {
    answer.body.len() + answer.content_type.as_ref().map_or(0, |text| text.len()) + 32
}
