//! Stores the claims that one replica has granted.

use std::collections::{BTreeSet, HashMap};

use api::{
    Claim, ClaimReply, Done, KeySet, Lookup, MAX_STORED_RESPONSE_BYTES, RequestKey, StoredResponse,
};
use units::{HostName, Incarnation, Millis};

use crate::{MAX_CLOCK_SKEW, members_for_key};

/// Limit of the released attempts retained per key.
const MAX_RELEASED_ATTEMPTS: usize = 8;

/// Memory limits of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaLimits {
    /// Retained keys; a key takes 250 bytes, so the default takes about 66 MB.
    pub keys: usize,
    /// Maximum total size of the stored responses in bytes.
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
    /// Attempt that holds the claim, and the digest of its request; a digest of
    /// 0 is not known.
    holder: Option<(u128, u64)>,
    done: bool,
    answer: Option<Box<StoredResponse>>,
    /// Attempts that released the claim, newest last. A delayed copy of their
    /// claim message must not take it again, since nothing would release it.
    released: Vec<u128>,
}

/// Replica that grants claims of idempotency keys.
#[derive(Debug, Clone)]
pub struct ClaimReplica {
    host: HostName,
    incarnation: Incarnation,
    limits: ReplicaLimits,
    window: Millis,
    horizon: Millis,
    sets: Vec<KeySet>,
    /// Keys before this time have been dropped and are never granted again. It
    /// never decreases, even if the clock is set back or the window grows.
    low_watermark: Millis,
    entries: HashMap<RequestKey, Entry>,
    /// Keys of `entries`, ordered by time.
    ordered_keys: BTreeSet<RequestKey>,
    stored_bytes: usize,
}

impl ClaimReplica {
    /// Empty replica, which grants nothing before [`ClaimReplica::configure`].
    #[must_use]
    pub fn new(host: HostName, incarnation: Incarnation, limits: ReplicaLimits) -> Self {
        Self {
            host,
            incarnation,
            limits,
            window: Millis(0),
            horizon: Millis(0),
            sets: Vec::new(),
            low_watermark: Millis(0),
            entries: HashMap::new(),
            ordered_keys: BTreeSet::new(),
            stored_bytes: 0,
        }
    }

    /// Updates the window, and the key sets with their horizon unless the horizon is older than
    /// the current one.
    pub fn configure(&mut self, window: Millis, sets: &[KeySet], horizon: Millis) {
        self.window = window;
        if horizon >= self.horizon {
            self.horizon = horizon;
            self.sets = sets.to_vec();
        }
    }

    /// Number of retained keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is retained.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Total size of the stored responses in bytes.
    #[must_use]
    pub fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    /// Grants the key to an attempt, or returns what is known of it.
    pub fn claim(&mut self, now: Millis, claim: &Claim) -> ClaimReply {
        self.expire(now);
        if !self.is_authoritative(now, &claim.key, claim.incarnation) {
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

    /// Records the outcome of an attempt; returns whether it was accepted.
    pub fn complete(&mut self, now: Millis, done: &Done) -> bool {
        self.expire(now);
        if !self.is_authoritative(now, &done.key, done.incarnation) {
            return false;
        }
        if !self.entries.contains_key(&done.key) && self.entries.len() >= self.limits.keys {
            return false;
        }
        let free_bytes = self.limits.answers.saturating_sub(self.stored_bytes);
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
        // An attempt that is done was started. If this replica granted the key
        // to another attempt, the quorum was the other two replicas, so that
        // attempt can't have started.
        let digest = entry.holder.filter(|_| holds).map_or(0, |(_, d)| d);
        entry.holder = Some((done.attempt, digest));
        entry.done = true;
        let answer = done.answer.as_ref().filter(|answer| {
            let size = stored_size(answer);
            answer.body.len() <= MAX_STORED_RESPONSE_BYTES && size <= free_bytes
        });
        if let Some(answer) = answer {
            entry.answer = Some(Box::new(answer.clone()));
            self.stored_bytes += stored_size(answer);
        }
        true
    }

    /// Returns what is known of a key without claiming it; `Unknown` if nobody holds the claim.
    pub fn lookup(&mut self, now: Millis, lookup: &Lookup) -> ClaimReply {
        self.expire(now);
        if !self.is_authoritative(now, &lookup.key, lookup.incarnation) {
            return ClaimReply::Unknown;
        }
        match self.entries.get(&lookup.key) {
            Some(entry) if entry.holder.is_some() => reply(entry, 0, None),
            _ => ClaimReply::Unknown,
        }
    }

    /// Drops keys older than the window.
    pub fn expire(&mut self, now: Millis) {
        if self.window == Millis(0) {
            return;
        }
        self.low_watermark = self.low_watermark.max(now.since(self.window));
        while let Some(first) = self.ordered_keys.first() {
            if first.time >= self.low_watermark {
                return;
            }
            let Some(key) = self.ordered_keys.pop_first() else {
                return;
            };
            if let Some(answer) = self.entries.remove(&key).and_then(|entry| entry.answer) {
                self.stored_bytes -= stored_size(&answer);
            }
        }
    }

    fn insert(&mut self, key: &RequestKey) -> &mut Entry {
        self.ordered_keys.insert(key.clone());
        self.entries.entry(key.clone()).or_default()
    }

    /// Whether this incarnation would still hold an earlier claim of the key, and is one of its
    /// replicas.
    fn is_authoritative(&self, now: Millis, key: &RequestKey, incarnation: Incarnation) -> bool {
        let in_window = key.time >= self.low_watermark
            && key.time <= self.horizon
            && key.time.since(now) <= MAX_CLOCK_SKEW
            && self.window > Millis(0);
        in_window
            && incarnation == self.incarnation
            && members_for_key(key, &self.sets)
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
        if entry.released.len() >= MAX_RELEASED_ATTEMPTS {
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

fn stored_size(answer: &StoredResponse) -> usize {
    answer.body.len() + answer.content_type.as_ref().map_or(0, |text| text.len()) + 32
}
