//! Last known open flows of the siblings.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;
use wire::Candidate;

/// Share by which the own flows may exceed the sibling's.
const SURPLUS: f64 = 1.05;

/// Flows by which they may exceed it on top, so that few flows don't bounce.
const MARGIN: f64 = 2.0;

#[derive(Debug)]
pub(crate) struct Loads {
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

    /// Counts a flow that was passed to a sibling until its next report.
    pub(crate) fn passed(&mut self, member: Candidate) {
        if let Some((open, _)) = self.open.get_mut(&member) {
            *open += 1;
        }
    }

    pub(crate) fn retain(&mut self, keep: impl Fn(&Candidate) -> bool) {
        self.open.retain(|member, _| keep(member));
    }

    /// Whether `own` flows at weight `weight` are too many beside a sibling of a weight.
    pub(crate) fn exceeds(
        &self,
        own: usize,
        weight: u16,
        sibling: Candidate,
        sibling_weight: u16,
        now: Instant,
    ) -> bool {
        let Some((open, at)) = self.open.get(&sibling) else {
            return false;
        };
        if now > *at + self.ttl || weight == 0 || sibling_weight == 0 {
            return false;
        }
        let scale = f64::from(weight) / f64::from(sibling_weight);
        own as f64 > (f64::from(*open) * SURPLUS + MARGIN) * scale
    }
}
