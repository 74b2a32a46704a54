//! Last known number of open flows at each sibling agent.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;
use wire::Candidate;

/// Factor by which the local flow count may exceed the sibling's.
const OVERLOAD_FACTOR: f64 = 1.05;

/// Flows allowed on top, so that small counts don't move flows back and forth.
const OVERLOAD_MARGIN_FLOWS: f64 = 2.0;

#[derive(Debug)]
pub(crate) struct Loads {
    /// Open flows, with the time of the report.
    open: HashMap<Candidate, (u32, Instant)>,
    ttl: Duration,
}

impl Loads {
    pub(crate) fn new(ttl: Duration) -> Self {
        Self {
            open: HashMap::new(),
            ttl,
        }
    }

    pub(crate) fn set(&mut self, member: Candidate, open: u32, now: Instant) {
        self.open.insert(member, (open, now));
    }

    /// Counts a flow that was forwarded to a sibling, until its next report.
    pub(crate) fn add_forwarded(&mut self, member: Candidate) {
        if let Some((open, _)) = self.open.get_mut(&member) {
            *open += 1;
        }
    }

    pub(crate) fn retain(&mut self, keep: impl Fn(&Candidate) -> bool) {
        self.open.retain(|member, _| keep(member));
    }

    /// Whether `own` flows at weight `weight` are too many compared with a sibling.
    ///
    /// False if the sibling's load is unknown or older than its maximum age.
    pub(crate) fn exceeds(
        &self,
        own: usize,
        weight: u16,
        sibling: Candidate,
        sibling_weight: u16,
        now: Instant,
    ) -> bool {
        let Some((open, reported_at)) = self.open.get(&sibling) else {
            return false;
        };
        if now > *reported_at + self.ttl || weight == 0 || sibling_weight == 0 {
            return false;
        }
        let scale = f64::from(weight) / f64::from(sibling_weight);
        own as f64 > (f64::from(*open) * OVERLOAD_FACTOR + OVERLOAD_MARGIN_FLOWS) * scale
    }
}
