//! Request counts per class and minute for the error budget burn report.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use api::{Bucket, Counts};
use units::{ClassName, Millis};

/// Minutes for which counts are kept until they are collected; older ones are dropped.
const RETENTION_MINUTES: u64 = 24 * 60;

/// Result of a request with respect to the objective of its class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestResult {
    /// Answered within the objective.
    Good,
    /// Answered, but late or with a server error.
    Bad,
    /// Rejected without being run.
    NotRun,
    /// The outcome is unknown, or the response was truncated.
    Unknown,
}

/// Request counts per class and minute.
#[derive(Debug, Default)]
pub(crate) struct RequestCounts {
    buckets: BTreeMap<(u64, ClassName), Counts>,
}

/// Current Unix time.
pub(crate) fn unix_now() -> Millis {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO)
        .into()
}

impl RequestCounts {
    pub(crate) fn record(&mut self, now: Millis, class: &ClassName, result: RequestResult) {
        let minute = now.0 / 60_000;
        let counts = self.buckets.entry((minute, class.clone())).or_default();
        match result {
            RequestResult::Good => counts.good += 1,
            RequestResult::Bad => counts.bad += 1,
            RequestResult::NotRun => {
                counts.bad += 1;
                counts.not_run += 1;
            }
            RequestResult::Unknown => {
                counts.bad += 1;
                counts.unknown += 1;
            }
        }
        let oldest = minute.saturating_sub(RETENTION_MINUTES);
        while let Some(entry) = self.buckets.first_entry()
            && entry.key().0 < oldest
        {
            entry.remove();
        }
    }

    /// Returns the counts since the last call and resets them.
    pub(crate) fn take(&mut self) -> Vec<Bucket> {
        std::mem::take(&mut self.buckets)
            .into_iter()
            .map(|((minute, class), counts)| Bucket {
                minute,
                class: Some(class),
                counts,
            })
            .collect()
    }
}
