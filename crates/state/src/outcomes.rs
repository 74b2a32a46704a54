//! Stored outcomes of operator requests, by operator key.

use std::collections::BTreeMap;

use api::RequestKey;
use serde::{Deserialize, Serialize};
use units::Millis;

use crate::{Outcome, Refusal};

/// Maximum number of stored outcomes; the design size has 7,500 changes per day.
pub const MAX_OUTCOMES: usize = 8_192;

/// Time in ms by which a key may be ahead of the leader's clock. A key from the far future would
/// never become the oldest one and so would never be pruned.
pub const MAX_KEY_SKEW_MS: u64 = 300_000;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct StoredOutcome {
    digest: u64,
    outcome: Outcome,
}

/// First outcome of each key, oldest key first.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Outcomes {
    #[serde(rename = "kept")]
    entries: BTreeMap<RequestKey, StoredOutcome>,
    /// Newest time of a pruned key.
    #[serde(rename = "forgotten")]
    pruned_until: Option<Millis>,
}

impl Outcomes {
    /// Parses a key and looks it up. `Err` is the outcome to return without running the request.
    pub(crate) fn check(
        &self,
        now: Millis,
        key: &str,
        digest: u64,
    ) -> Result<RequestKey, Box<Outcome>> {
        let key: RequestKey = match key.parse() {
            Ok(key) => key,
            Err(e) => return Err(Box::new(Outcome::invalid(format!("operator key: {e}")))),
        };
        if let Some(stored) = self.entries.get(&key) {
            return Err(Box::new(if stored.digest == digest {
                mark_repeated(stored.outcome.clone())
            } else {
                let message = format!("operator key {key} was used for another request");
                Outcome::invalid(message)
            }));
        }
        if self.pruned_until.is_some_and(|time| key.time <= time) {
            let message = format!(
                "operator key {key} is too old to tell whether it was used; \
                 look at the current declaration and use a new key"
            );
            return Err(Box::new(Outcome::Refused(Refusal::KeyTooOld(
                message.into(),
            ))));
        }
        if key.time.since(now).0 > MAX_KEY_SKEW_MS {
            let message = format!(
                "operator key {key} is more than {MAX_KEY_SKEW_MS} ms ahead of control's clock; \
                 correct the operator's clock"
            );
            return Err(Box::new(Outcome::invalid(message)));
        }
        Ok(key)
    }

    /// Stores the first outcome of a key and prunes the oldest keys above the limit.
    pub(crate) fn insert(&mut self, key: RequestKey, digest: u64, outcome: Outcome) {
        self.entries.insert(key, StoredOutcome { digest, outcome });
        while self.entries.len() > MAX_OUTCOMES {
            if let Some((key, _)) = self.entries.pop_first() {
                self.pruned_until = self.pruned_until.max(Some(key.time));
            }
        }
    }
}

fn mark_repeated(outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::Put(mut reply) => {
            reply.repeated = true;
            Outcome::Put(reply)
        }
        Outcome::Announced(mut reply) => {
            reply.repeated = true;
            Outcome::Announced(reply)
        }
        other => other,
    }
}
