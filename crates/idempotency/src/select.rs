//! Replicas of a key.

use api::{KeyMember, KeySet, RequestKey};
use units::Millis;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use crate::{MAX_AHEAD, REPLICAS};

/// Why a key has no replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SelectError {
    /// Its time is further ahead than clocks differ.
    Ahead,
    /// Its time is older than the window.
    Old,
    /// Its time is past the horizon known here: its key set is not final.
    PastHorizon,
    /// No key set covers its time, or the set has too few members.
    NoSet,
}

/// Checks the time of a key and returns its replicas, at least two.
///
/// # Errors
/// See [`SelectError`].
pub fn select(
    key: &RequestKey,
    sets: &[KeySet],
    now: Millis,
    window: Millis,
    horizon: Millis,
) -> Result<Vec<KeyMember>, SelectError> {
    if key.time.since(now) > MAX_AHEAD {
        return Err(SelectError::Ahead);
    }
    if now.since(key.time) >= window {
        return Err(SelectError::Old);
    }
    if key.time > horizon {
        return Err(SelectError::PastHorizon);
    }
    let members = replicas(key, sets);
    if members.len() < crate::QUORUM {
        return Err(SelectError::NoSet);
    }
    Ok(members)
}

/// Replicas of a key under the key set of its time: the members that rank
/// highest for the key by rendezvous hashing, at most three.
#[must_use]
pub fn replicas(key: &RequestKey, sets: &[KeySet]) -> Vec<KeyMember> {
    let covering = sets
        .iter()
        .filter(|set| set.start <= key.time)
        .max_by_key(|set| set.start);
    let Some(set) = covering else {
        return Vec::new();
    };
    let seed = hash_key(key);
    let mut ranked: Vec<(u64, &KeyMember)> = set
        .members
        .iter()
        .map(|member| {
            (
                xxh3_64_with_seed(member.host.as_str().as_bytes(), seed),
                member,
            )
        })
        .collect();
    // The host decides between equal hashes, so that the order of the set does not matter.
    ranked.sort_by(|a, b| (b.0, &b.1.host).cmp(&(a.0, &a.1.host)));
    // One host must not hold two of the votes.
    ranked.dedup_by(|a, b| a.1.host == b.1.host);
    ranked
        .into_iter()
        .take(REPLICAS)
        .map(|(_, member)| member.clone())
        .collect()
}

fn hash_key(key: &RequestKey) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(&key.time.0.to_be_bytes());
    hasher.update(key.text.as_bytes());
    hasher.digest()
}

/// Hash of a request; two requests under one key must have the same.
#[must_use]
pub fn digest(method: &str, target: &str, length: Option<u64>, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [method.as_bytes(), target.as_bytes()] {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.update(&length.unwrap_or(u64::MAX).to_be_bytes());
    hasher.update(body);
    hasher.digest()
}
