//! Record of every request that a backend server began.

use std::sync::{Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// Requests recorded; later ones are only counted.
const MAX_ENTRIES: usize = 1_000_000;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum End {
    /// Not ended.
    Running,
    /// Finished its work.
    Done,
    /// Cancelled: the connection was closed before the work was done.
    Cancelled,
    /// Done, and its answer was broken off on purpose.
    Died,
}

/// One request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Header `X-Request-Id`.
    pub id: Box<str>,
    /// Header `Idempotency-Key`.
    pub key: Option<Box<str>>,
    /// Method.
    pub method: Box<str>,
    /// Path.
    pub path: Box<str>,
    /// Unix time in ms at which it began.
    pub begun: u64,
    /// Unix time in ms at which it ended.
    pub ended: Option<u64>,
    /// How it ended.
    pub end: End,
}

/// Sums over the record.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Connections accepted.
    pub connections: u64,
    /// Bytes received by the echo.
    pub bytes: u64,
    /// Requests begun.
    pub begun: u64,
    /// Requests whose work was finished.
    pub done: u64,
    /// Requests cancelled.
    pub cancelled: u64,
    /// Requests refused before they began.
    pub shed: u64,
    /// Most requests in progress at a time.
    pub peak: u64,
    /// Requests in progress.
    pub busy: u64,
    /// Unix time in ms of the newest begin or new connection; 0 if there was none.
    pub latest: u64,
}

#[derive(Debug, Default)]
struct Inner {
    entries: Vec<Entry>,
    summary: Summary,
}

/// The record.
#[derive(Debug, Default)]
pub struct Record(Mutex<Inner>);

/// Unix time in ms.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| {
        u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
    })
}

impl Record {
    fn with<T>(&self, act: impl FnOnce(&mut Inner) -> T) -> T {
        act(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Copy of all entries.
    #[must_use]
    pub fn entries(&self) -> Vec<Entry> {
        self.with(|inner| inner.entries.clone())
    }

    /// Sums.
    #[must_use]
    pub fn summary(&self) -> Summary {
        self.with(|inner| inner.summary)
    }

    /// How often a request with this id began.
    #[must_use]
    pub fn begins(&self, id: &str) -> usize {
        self.with(|inner| {
            inner
                .entries
                .iter()
                .filter(|entry| &*entry.id == id)
                .count()
        })
    }

    pub(super) fn connected(&self) {
        self.with(|inner| {
            inner.summary.connections += 1;
            inner.summary.latest = unix_ms();
        });
    }

    pub(super) fn echoed(&self, bytes: usize) {
        self.with(|inner| inner.summary.bytes += bytes as u64);
    }

    pub(super) fn shed(&self) {
        self.with(|inner| inner.summary.shed += 1);
    }

    pub(super) fn begin(&self, entry: Entry) -> usize {
        self.with(|inner| {
            let sums = &mut inner.summary;
            sums.begun += 1;
            sums.busy += 1;
            sums.peak = sums.peak.max(sums.busy);
            sums.latest = entry.begun;
            if inner.entries.len() < MAX_ENTRIES {
                inner.entries.push(entry);
            }
            inner.entries.len() - 1
        })
    }

    pub(super) fn end(&self, number: usize, end: End) {
        self.with(|inner| {
            inner.summary.busy -= 1;
            match end {
                End::Cancelled => inner.summary.cancelled += 1,
                _ => inner.summary.done += 1,
            }
            if let Some(entry) = inner.entries.get_mut(number) {
                entry.end = end;
                entry.ended = Some(unix_ms());
            }
        });
    }
}
