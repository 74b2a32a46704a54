//! Request counts aggregated by service, class and time.

use std::collections::BTreeMap;

use api::{BurnBatch, Counts};
use serde::{Deserialize, Serialize};
use units::{ClassName, HostName, Incarnation, Millis, ServiceId};

/// Maximum number of buckets counted per batch; one hour of 32 classes and flows has 1,980.
pub const MAX_BUCKETS: usize = 4_096;

/// Maximum number of agents whose batches are tracked; the design size has 28,000 hosts.
pub const MAX_AGENTS: usize = 65_536;

/// Length of a bucket in minutes and number of buckets kept, per resolution.
const TIERS: [(u64, u64); 3] = [(1, 61), (5, 73), (60, 73)];

/// Time for which the number of an agent's last batch is kept; the counts of an
/// older batch are outside every window.
const AGENT_RETENTION_MS: u64 = 3 * 86_400_000;

const MINUTE_MS: u64 = 60_000;

type AgentKey = (ServiceId, HostName, Incarnation);

/// Number of an agent's last batch and when it was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Agent {
    number: u64,
    #[serde(rename = "at")]
    received_at: Millis,
}

/// Buckets by resolution, then by start in units of the bucket length.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Series {
    tiers: [BTreeMap<u64, Counts>; 3],
}

/// Counts of all services, part of the replicated state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    series: BTreeMap<ServiceId, BTreeMap<Option<ClassName>, Series>>,
    agents: BTreeMap<AgentKey, Agent>,
    pruned: u64,
}

impl Ledger {
    /// Adds the counts of a batch unless it was added before; returns the newest batch number of the
    /// agent's incarnation.
    pub fn add(&mut self, now: Millis, service: ServiceId, batch: &BurnBatch) -> u64 {
        self.prune(now);
        let key = (service, batch.host.clone(), batch.incarnation);
        let last_number = self.agents.get(&key).map(|agent| agent.number);
        let last = last_number.unwrap_or(0);
        // Without a record of the agent, a first batch with number 0 counts as well.
        if last_number.is_some() && batch.number <= last {
            return last;
        }
        let agent = Agent {
            number: batch.number,
            received_at: now,
        };
        self.agents.insert(key, agent);
        let classes = self.series.entry(service).or_default();
        for bucket in batch.buckets.iter().take(MAX_BUCKETS) {
            if classes.len() >= MAX_SERIES && !classes.contains_key(&bucket.class) {
                continue;
            }
            let series = classes.entry(bucket.class.clone()).or_default();
            series.add(now, bucket.minute, &bucket.counts);
        }
        batch.number
    }

    /// Sum of a class over the window that ends now; class `None` stands for flows.
    #[must_use]
    pub fn sum(
        &self,
        now: Millis,
        service: ServiceId,
        class: Option<&ClassName>,
        window: Millis,
    ) -> Counts {
        let series = self
            .series
            .get(&service)
            .and_then(|classes| classes.get(&class.cloned()));
        series.map_or_else(Counts::default, |series| series.sum(now, window))
    }

    /// Sum of all classes and flows over the window that ends now.
    #[must_use]
    pub fn total(&self, now: Millis, service: ServiceId, window: Millis) -> Counts {
        let mut total = Counts::default();
        for series in self.series.get(&service).into_iter().flatten() {
            total.add(&series.1.sum(now, window));
        }
        total
    }

    /// When the last batch of an agent was received.
    #[must_use]
    pub fn last_received(
        &self,
        service: ServiceId,
        host: &HostName,
        incarnation: Incarnation,
    ) -> Option<Millis> {
        let key = (service, host.clone(), incarnation);
        self.agents.get(&key).map(|agent| agent.received_at)
    }

    /// Removes the counts of a retired service.
    pub fn remove_service(&mut self, service: ServiceId) {
        self.series.remove(&service);
        self.agents.retain(|key, _| key.0 != service);
    }

    fn prune(&mut self, now: Millis) {
        let minute = now.0 / MINUTE_MS;
        if minute > self.pruned {
            self.pruned = minute;
            self.agents
                .retain(|_, agent| now.since(agent.received_at).0 < AGENT_RETENTION_MS);
            for series in self.series.values_mut().flat_map(BTreeMap::values_mut) {
                series.prune(now);
            }
        }
        while self.agents.len() >= MAX_AGENTS {
            let oldest = self
                .agents
                .iter()
                .min_by_key(|(_, agent)| agent.received_at);
            let Some(key) = oldest.map(|(key, _)| key.clone()) else {
                break;
            };
            self.agents.remove(&key);
        }
    }
}

/// Maximum number of classes per service: those of its profile, of earlier versions of the profile,
/// and flows.
const MAX_SERIES: usize = 128;

impl Series {
    fn add(&mut self, now: Millis, minute: u64, counts: &Counts) {
        // An agent whose clock is ahead must not add counts in the future, outside every window.
        let minute = minute.min(now.0 / MINUTE_MS);
        for (tier, (length, kept)) in self.tiers.iter_mut().zip(TIERS) {
            let first = oldest_slot(now, length, kept);
            let slot = minute / length;
            if slot >= first {
                tier.entry(slot).or_default().add(counts);
            }
        }
    }

    fn prune(&mut self, now: Millis) {
        for (tier, (length, kept)) in self.tiers.iter_mut().zip(TIERS) {
            *tier = tier.split_off(&oldest_slot(now, length, kept));
        }
    }

    fn sum(&self, now: Millis, window: Millis) -> Counts {
        let mut sum = Counts::default();
        let finest = self
            .tiers
            .iter()
            .zip(TIERS)
            .find(|(_, (length, kept))| window.0 <= length * (kept - 1) * MINUTE_MS);
        if let Some((tier, (length, _))) = finest {
            let slots = window.0.div_ceil(length * MINUTE_MS);
            let last = now.0 / MINUTE_MS / length;
            for (_, counts) in tier.range(last.saturating_sub(slots)..) {
                sum.add(counts);
            }
        }
        sum
    }
}

/// Start of the oldest bucket that is kept, in units of the bucket length.
fn oldest_slot(now: Millis, length: u64, kept: u64) -> u64 {
    (now.0 / MINUTE_MS / length).saturating_sub(kept - 1)
}
