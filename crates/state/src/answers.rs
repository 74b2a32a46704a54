//! Outcomes of operator requests, by operator key.

use std::collections::BTreeMap;

use api::RequestKey;
use serde::{Deserialize, Serialize};
use units::Millis;

use crate::{Outcome, Refusal};

/// Outcomes kept; the design size has 7,500 changes per day.
pub const MAX_ANSWERS: usize = 8_192;

/// Time in ms that a key may be ahead of the leader's clock; a key from the
/// far future would never be the oldest one and so never be forgotten.
pub const KEY_AHEAD_MS: u64 = 300_000;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Answer {
    digest: u64,
    outcome: Outcome,
}

/// First outcomes by key, oldest key first.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Answers {
    kept: BTreeMap<RequestKey, Answer>,
    /// Newest key time that was forgotten.
    forgotten: Option<Millis>,
}

impl Answers {
    /// Parses a key and looks it up: `Err` is the outcome to return.
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
        if let Some(answer) = self.kept.get(&key) {
            return Err(Box::new(if answer.digest == digest {
                repeated(answer.outcome.clone())
            } else {
                let message = format!("operator key {key} was used for another request");
                Outcome::invalid(message)
            }));
        }
        if self.forgotten.is_some_and(|time| key.time <= time) {
            let message = format!(
                "operator key {key} is too old to tell whether it was used; \
                 look at the current declaration and use a new key"
            );
            return Err(Box::new(Outcome::Refused(Refusal::KeyTooOld(
                message.into(),
            ))));
        }
        if key.time.since(now).0 > KEY_AHEAD_MS {
            let message = format!(
                "operator key {key} is more than {KEY_AHEAD_MS} ms ahead of control's clock; \
                 correct the operator's clock"
            );
            return Err(Box::new(Outcome::invalid(message)));
        }
        Ok(key)
    }

    /// Keeps the first outcome of a key and forgets the oldest key above the limit.
    pub(crate) fn keep(&mut self, key: RequestKey, digest: u64, outcome: Outcome) {
        self.kept.insert(key, Answer { digest, outcome });
        while self.kept.len() > MAX_ANSWERS {
            if let Some((key, _)) = self.kept.pop_first() {
                self.forgotten = self.forgotten.max(Some(key.time));
            }
        }
    }
}

fn repeated(outcome: Outcome) -> Outcome {
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
