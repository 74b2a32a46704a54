//! Counts for the burn report.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use api::{Bucket, Counts};
use units::{ClassName, Millis};

/// Minutes kept while nobody takes them; older ones are dropped.
const MAX_MINUTES: u64 = 24 * 60;

/// How a request counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Counted {
    /// Within the objective.
    Good,
    /// Answered, but late or with a server error.
    Bad,
    /// Refused as not run.
    NotRun,
    /// Outcome unknown, or the response was cut.
    Unknown,
}

/// Counts per class and minute.
#[derive(Debug, Default)]
pub(crate) struct Meter {
    buckets: BTreeMap<(u64, ClassName), Counts>,
}

/// Unix time.
pub(crate) fn unix_now() -> Millis {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO)
        .into()
}

impl Meter {
    pub(crate) fn add(&mut self, now: Millis, class: &ClassName, counted: Counted) {
        let minute = now.0 / 60_000;
        let counts = self.buckets.entry((minute, class.clone())).or_default();
        match counted {
            Counted::Good => counts.good += 1,
            Counted::Bad => counts.bad += 1,
            Counted::NotRun => {
                counts.bad += 1;
                counts.not_run += 1;
            }
            Counted::Unknown => {
                counts.bad += 1;
                counts.unknown += 1;
            }
        }
        let oldest = minute.saturating_sub(MAX_MINUTES);
        while let Some(entry) = self.buckets.first_entry()
            && entry.key().0 < oldest
        {
            entry.remove();
        }
    }

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
