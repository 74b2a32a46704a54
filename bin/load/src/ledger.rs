//! What callers were told, and its comparison with what backend servers did.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, PoisonError};

use crate::backend::{Entry, unix_ms};
use crate::caller::{Ask, Outcome};

/// One attempt of a request as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// Id of the request; resends have the same.
    pub id: Box<str>,
    /// Idempotency key.
    pub key: Option<Box<str>>,
    /// Whether running it twice equals running it once.
    pub idempotent: bool,
    /// What the caller was told.
    pub outcome: Outcome,
    /// Unix time in ms at which it was told.
    pub at: u64,
}

/// Attempts in the order in which callers were told.
#[derive(Debug, Default)]
pub struct Ledger(Mutex<Vec<Line>>);

impl Ledger {
    /// Adds an attempt that just ended.
    pub fn add(&self, ask: &Ask, outcome: Outcome) {
        let line = Line {
            id: ask.id.as_str().into(),
            key: ask.key.as_deref().map(Into::into),
            idempotent: ask.method == http::Method::GET,
            outcome,
            at: unix_ms(),
        };
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(line);
    }

    /// Copy of all lines.
    #[must_use]
    pub fn lines(&self) -> Vec<Line> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// Result of the comparison.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Attempts by outcome.
    pub counts: BTreeMap<Outcome, usize>,
    /// Ids whose answer was declared complete and was wrong (P3).
    pub wrong: Vec<Box<str>>,
    /// Ids told as not run that a backend server began (P4).
    pub ran: Vec<Box<str>>,
    /// Ids or keys of non-idempotent requests that began more than once (P5).
    pub repeated: Vec<Box<str>>,
    /// Ids answered completely that no backend server began (P3).
    pub invented: Vec<Box<str>>,
}

impl Verdict {
    /// Whether no guarantee was broken.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let lists = [&self.wrong, &self.ran, &self.repeated, &self.invented];
        lists.iter().all(|list| list.is_empty())
    }
}

/// Compares what callers were told with the records of all backend servers.
#[must_use]
pub fn judge(lines: &[Line], entries: &[Entry]) -> Verdict {
    let mut begins: HashMap<&str, Vec<u64>> = HashMap::new();
    let mut keys: BTreeMap<&str, usize> = BTreeMap::new();
    for entry in entries {
        begins.entry(&entry.id).or_default().push(entry.begun);
        if let Some(key) = &entry.key {
            *keys.entry(key).or_default() += 1;
        }
    }
    let mut last: HashMap<&str, usize> = HashMap::new();
    for (number, line) in lines.iter().enumerate() {
        last.insert(&line.id, number);
    }
    let mut verdict = Verdict::default();
    for (number, line) in lines.iter().enumerate() {
        *verdict.counts.entry(line.outcome).or_default() += 1;
        let times = begins.get(&*line.id).map_or(&[][..], Vec::as_slice);
        let is_last = last.get(&*line.id) == Some(&number);
        match line.outcome {
            Outcome::Wrong => verdict.wrong.push(line.id.clone()),
            Outcome::Complete if times.is_empty() => verdict.invented.push(line.id.clone()),
            // A later attempt may run; nothing may have begun before this was told.
            Outcome::NotRun if times.iter().any(|begun| is_last || *begun < line.at) => {
                verdict.ran.push(line.id.clone());
            }
            _ => {}
        }
        if is_last && !line.idempotent && times.len() > 1 {
            verdict.repeated.push(line.id.clone());
        }
    }
    let twice = keys.iter().filter(|(_, count)| **count > 1);
    verdict
        .repeated
        .extend(twice.map(|(key, _)| Box::from(*key)));
    verdict
}
