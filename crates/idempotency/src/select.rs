//! Selection of the replicas of a key.

use api::{KeyMember, KeySet, RequestKey};
use units::Millis;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use crate::{MAX_CLOCK_SKEW, REPLICAS};

/// Reason why no replicas can be selected for a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SelectError {
    /// The time of the key is ahead by more than [`MAX_CLOCK_SKEW`].
    InFuture,
    /// The time of the key is older than the window.
    Expired,
    /// The time of the key is past the horizon known here, so its key set may still change.
    PastHorizon,
    /// No key set covers the time of the key, or the set has too few members.
    NoKeySet,
}

/// Validates the time of a key and returns the agents that store its claims, at least two.
///
/// # Errors
/// See [`SelectError`].
pub fn select_members(
    key: &RequestKey,
    sets: &[KeySet],
    now: Millis,
    window: Millis,
    horizon: Millis,
) -> Result<Vec<KeyMember>, SelectError> {
    if key.time.since(now) > MAX_CLOCK_SKEW {
        return Err(SelectError::InFuture);
    }
    if now.since(key.time) >= window {
        return Err(SelectError::Expired);
    }
    if key.time > horizon {
        return Err(SelectError::PastHorizon);
    }
    let members = members_for_key(key, sets);
    if members.len() < crate::QUORUM {
        return Err(SelectError::NoKeySet);
    }
    Ok(members)
}

/// Returns the agents that store the claims of a key: the members of the key set in force at its
/// time that rank highest by rendezvous hashing, at most three.
#[must_use]
pub fn members_for_key(key: &RequestKey, sets: &[KeySet]) -> Vec<KeyMember> {
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
    // Ties are broken by host, so that the result does not depend on the order of the set.
    ranked.sort_by(|a, b| (b.0, &b.1.host).cmp(&(a.0, &a.1.host)));
    // One host must not hold two votes of a quorum.
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

/// Digest of a request, by which the reuse of a key for another request is detected.
#[must_use]
pub fn request_digest(method: &str, target: &str, length: Option<u64>, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [method.as_bytes(), target.as_bytes()] {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.update(&length.unwrap_or(u64::MAX).to_be_bytes());
    hasher.update(body);
    hasher.digest()
}
